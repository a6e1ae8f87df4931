// Package platform speaks the platform's protocol: the clients' front, the frames to data nodes, the watch
// on discovery, the datagrams between coordinators, and the configuration that a coordinator is started
// with. It must never hold the state of a query or decide anything: both are behind the core's queue.
//
// This file owns the configuration and the names that the settings give: classes, zones and load reports.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/wire"
)

// Config is the configuration of one coordinator, as the platform writes it.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"` // where operators call; empty: nowhere
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string         `json:"peer_listen"`
	Peers      []string       `json:"peers"`
	PeersAll   string         `json:"peers_all"`
	Known      *hostList      `json:"known"`
	Settings   map[string]any `json:"settings"`

	TempDir     string           `json:"-"` // the platform's; an upgrade's two processes meet there
	Module      balance.Settings `json:"-"`
	Classes     []string         `json:"-"`
	Zones       []string         `json:"-"`
	Columns     []string         `json:"-"` // of a load report
	Shards      int              `json:"-"`
	Streams     int              `json:"-"` // calls that one connection carries
	ConnIdle    time.Duration    `json:"-"`
	DialTimeout time.Duration    `json:"-"`
}

// Load reads the file that RELAY_CONFIG names; the other variables stand in for what it leaves out.
func Load(env func(string) string) (*Config, error) {
	path := env("RELAY_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("RELAY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(text, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.TempDir = env("TMPDIR")
	return c, nil
}

// Parse reads a configuration and checks it.
func Parse(text []byte, env func(string) string) (*Config, error) {
	c := &Config{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if err := d.Decode(c); err != nil {
		return nil, err
	}
	for _, v := range []struct {
		field *string
		name  string
	}{{&c.Name, "RELAY_NAME"}, {&c.Listen, "RELAY_LISTEN"}, {&c.Discovery, "RELAY_DISCOVERY"},
		{&c.Operator, "RELAY_OPERATOR"}} {
		if *v.field == "" {
			*v.field = env(v.name)
		}
	}
	if c.Listen == "" {
		return nil, fmt.Errorf("listen is missing")
	}
	if c.Discovery == "" {
		return nil, fmt.Errorf("discovery is missing")
	}
	for _, a := range append([]string{c.PeerListen, c.PeersAll}, c.Peers...) {
		if _, _, err := net.SplitHostPort(a); a != "" && err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.Operator); c.Operator != "" && err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return c, c.derive()
}

// Alone is the configuration of a coordinator without the platform: no clients' front of its own, no
// discovery.
func Alone(settings map[string]any) (*Config, error) {
	text, err := json.Marshal(map[string]any{"settings": settings})
	if err != nil {
		return nil, err
	}
	c := &Config{Name: "alone"}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if err := d.Decode(c); err != nil {
		return nil, err
	}
	return c, c.derive()
}

// derive reads the settings and fills in what limits are not given.
func (c *Config) derive() error {
	if c.Seed != "" {
		if _, err := strconv.ParseUint(c.Seed, 16, 64); err != nil {
			return fmt.Errorf("seed: %q is not 16 hex digits", c.Seed)
		}
	}
	flat := map[string]string{}
	flatten("", c.Settings, flat)
	lines := make([]string, 0, len(flat))
	for k, v := range flat {
		lines = append(lines, k+"="+v)
	}
	sort.Strings(lines)
	var err error
	if c.Module, err = wire.ParseSettings(strings.Join(lines, "\n")); err != nil {
		return err
	}
	if _, err := balance.New(c.Module, 0); err != nil { // what the module itself refuses
		return err
	}
	list := func(key string) []string {
		if flat[key] == "" {
			return nil
		}
		return strings.Split(flat[key], ",")
	}
	c.Zones, c.Columns = list("azs"), list("reporting.columns")
	for i := range c.Module.Classes {
		name := flat[fmt.Sprintf("lanes.%d.name", i)]
		if name == "" {
			return fmt.Errorf("setting lanes.%d.name: is missing", i)
		}
		c.Classes = append(c.Classes, name)
	}
	number := func(key string, absent float64) float64 {
		v, perr := strconv.ParseFloat(flat[key], 64)
		if flat[key] == "" {
			return absent
		}
		if perr != nil && err == nil {
			err = fmt.Errorf("setting %s: %q is not a number", key, flat[key])
		}
		return v
	}
	c.Shards = int(number("extra.slices", math.MaxInt32))
	c.Streams = max(1, int(number("bounds.streamsPerConn", 32)))
	c.ConnIdle = time.Duration(number("bounds.connIdleUs", 15e6)) * time.Microsecond
	c.DialTimeout = time.Duration(number("bounds.dialTimeoutUs", 250e3)) * time.Microsecond
	if c.DialTimeout <= 0 {
		c.DialTimeout = time.Second
	}
	if err == nil && c.Limits.Sockets <= 0 {
		c.Limits.Sockets = 1024
	}
	if c.Limits.MemoryMB <= 0 {
		c.Limits.MemoryMB = 192
	}
	return err
}

// flatten writes nested settings as the simulator does: paths joined by dots, lists of plain values joined
// by commas, lists of objects with their length under .count.
func flatten(path string, v any, out map[string]string) {
	at := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(at(k), x, out)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, x := range v {
			switch x.(type) {
			case map[string]any, []any:
				flatten(at(strconv.Itoa(i)), x, out)
			default:
				plain = append(plain, scalar(x))
			}
		}
		if len(plain) < len(v) {
			out[at("count")] = strconv.Itoa(len(v))
		} else {
			out[path] = strings.Join(plain, ",")
		}
	default:
		out[path] = scalar(v)
	}
}

func scalar(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return strings.NewReplacer(" ", "_", ",", "_").Replace(v)
	default:
		return fmt.Sprint(v)
	}
}

// seed is the number that random choices start from.
func (c *Config) seed() uint64 {
	s, _ := strconv.ParseUint(c.Seed, 16, 64)
	return s
}

// class is the place of a class by its name, or -1.
func (c *Config) class(name string) int {
	for i, n := range c.Classes {
		if n == name {
			return i
		}
	}
	return -1
}

// report reads a load report, `name=value` joined by commas, in the order of the settings' columns. One that
// cannot be read, or lacks a column, tells nothing: half of it would pass for an idle node.
func (c *Config) report(text string) []float32 {
	if text == "-" || text == "" || len(c.Columns) == 0 {
		return nil
	}
	out := make([]float32, len(c.Columns))
	lacking := len(c.Columns)
	for _, item := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(item, "=")
		v, err := strconv.ParseFloat(value, 32)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			return nil
		}
		for i, col := range c.Columns {
			if col == name || reportNames[name] == col {
				out[i] = float32(v)
				lacking--
			}
		}
	}
	if lacking != 0 {
		return nil
	}
	return out
}

// reportNames are the names that data nodes may use for the settings' columns.
var reportNames = map[string]string{"inflight": "active", "queue": "waiting", "util": "cpu",
	"latency_ms": "avg_ms", "qps": "rps", "eps": "err_rps"}

// hostList is discovery's form of a list.
type hostList struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

// replicas turns a list into the module's form.
func (c *Config) replicas(hosts []host) []balance.Replica {
	out := make([]balance.Replica, 0, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		zone := -1
		for j, z := range c.Zones {
			if z == h.Site {
				zone = j
			}
		}
		state := balance.Gone
		switch h.Health {
		case "in_service":
			state = balance.Ready
		case "terminating":
			state = balance.Draining
		}
		out = append(out, balance.Replica{ID: core.ServerID(h.Host), Zone: zone, Cell: h.Block, State: state,
			Size: h.Share, Started: balance.Micros(h.Born * 1000)})
	}
	return out
}
