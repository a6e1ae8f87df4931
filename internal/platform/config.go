// Package platform implements the platform's protocol: the clients' front, the frames to data nodes, the
// watch on discovery, the datagrams between coordinators, and the configuration that a coordinator is
// started with. It must never hold the state of a query or decide anything: both belong to the core, which
// is reached through its queue.
//
// This file reads the configuration and the names that the settings define: classes, zones and load
// reports.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"os"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"lapislever/balance"
	"lapislever/internal/fleet"
	"lapislever/internal/wire"
)

// defaultMemoryMB is the limit on memory where the file states none.
const defaultMemoryMB = 192

// maxDeadline bounds a deadline: one year, in microseconds.
const maxDeadline = 365 * 24 * 3600 * 1_000_000

// Config is the configuration of one coordinator, as the platform writes it.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"` // address of the admin endpoint; empty: none
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

	TempDir string `json:"-"` // the platform's; the processes of an upgrade meet there
	// StateDir is a folder that outlasts a process, for what the next one should know; empty: none.
	StateDir string        `json:"-"`
	Fleet    *fleet.Config `json:"-"` // nil without a fleet

	// memoryAssumed is set where the file states no limit on memory.
	memoryAssumed bool

	raw        map[string]any // the file as it was read
	otherRules []ruleSet      // rules that requests may follow beside those in force, superseded ones first

	Module         balance.Settings `json:"-"`
	Classes        []string         `json:"-"`
	Zones          []string         `json:"-"`
	ReportColumns  []string         `json:"-"` // columns of a load report
	Shards         int              `json:"-"`
	StreamsPerConn int              `json:"-"` // calls in flight on one connection
	ConnIdle       time.Duration    `json:"-"`
	DialTimeout    time.Duration    `json:"-"`
}

// Load reads the file that RELAY_CONFIG names. Other environment variables provide fields that it omits.
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

// Parse reads a configuration and validates it.
func Parse(text []byte, env func(string) string) (*Config, error) {
	c := &Config{}
	if err := decodeStrict(text, c); err != nil {
		return nil, err
	}
	if err := decodeStrict(text, &c.raw); err != nil {
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

// Standalone returns the configuration of a coordinator that runs without the platform: it has no clients'
// front of its own and no discovery.
func Standalone(settings map[string]any) (*Config, error) {
	text, err := json.Marshal(map[string]any{"settings": settings})
	if err != nil {
		return nil, err
	}
	c := &Config{Name: "alone"}
	if err := decodeStrict(text, c); err != nil {
		return nil, err
	}
	return c, c.derive()
}

// JoinFleet has the coordinator join a fleet, whose members then exchange the module's messages. A
// coordinator without the platform learns from the fleet's file how many members there can be.
func (c *Config) JoinFleet(f *fleet.Config) error {
	for i, l := range f.Limits {
		if l.Class != "" && !slices.Contains(c.Classes, l.Class) {
			return fmt.Errorf("limit[%d].class: there is no class %q, only %s", i+1, l.Class,
				strings.Join(c.Classes, ", "))
		}
	}
	c.Fleet = f
	c.Module.TellMost = fleet.MaxMessage
	if c.raw == nil {
		c.Module.Peers, c.Module.Number, c.Module.CanTell = f.MaxMembers(), f.RosterIndex(), true
	}
	return nil
}

// decodeStrict reads exactly one JSON value. Numbers stay as they are written.
func decodeStrict(text []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("something follows the configuration")
	}
	return nil
}

// derive reads the settings and fills in the limits that are not given.
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
	if _, err := balance.New(c.Module, 0); err != nil { // rejects what the module itself rejects
		return err
	}
	split := func(key string) []string {
		if flat[key] == "" {
			return nil
		}
		return strings.Split(flat[key], ",")
	}
	c.Zones, c.ReportColumns = split("azs"), split("reporting.columns")
	for i := range c.Module.Classes {
		name := flat[fmt.Sprintf("lanes.%d.name", i)]
		if name == "" {
			return fmt.Errorf("setting lanes.%d.name: is missing", i)
		}
		if slices.Contains(c.Classes, name) {
			return fmt.Errorf("setting lanes.%d.name: %q is there twice", i, name)
		}
		if d := c.Module.Classes[i].Deadline; d <= 0 || d > maxDeadline {
			return fmt.Errorf("setting lanes.%d.hardLimitUs: %s is no possible time", i,
				flat[fmt.Sprintf("lanes.%d.hardLimitUs", i)])
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
	c.StreamsPerConn = max(1, int(number("bounds.streamsPerConn", 32)))
	c.ConnIdle = time.Duration(number("bounds.connIdleUs", 15e6)) * time.Microsecond
	c.DialTimeout = time.Duration(number("bounds.dialTimeoutUs", 250e3)) * time.Microsecond
	if c.DialTimeout <= 0 {
		c.DialTimeout = time.Second
	}
	if err == nil && c.Limits.Sockets <= 0 {
		c.Limits.Sockets = 1024
	}
	if c.Limits.MemoryMB <= 0 {
		c.Limits.MemoryMB, c.memoryAssumed = defaultMemoryMB, true
	}
	return err
}

// flatten writes nested settings in the simulator's form: paths joined by dots, lists of plain values
// joined by commas, and for lists of objects their length under .count.
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
				plain = append(plain, formatScalar(x))
			}
		}
		if len(plain) < len(v) {
			out[at("count")] = strconv.Itoa(len(v))
		} else {
			out[path] = strings.Join(plain, ",")
		}
	default:
		out[path] = formatScalar(v)
	}
}

func formatScalar(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return strings.NewReplacer(" ", "_", ",", "_").Replace(v)
	default:
		return fmt.Sprint(v)
	}
}

// seed returns the seed of random choices.
func (c *Config) seed() uint64 {
	s, _ := strconv.ParseUint(c.Seed, 16, 64)
	return s
}

// reloadOver merges a configuration that was read again with the running one. Fields that take a restart
// stay as they are and are returned by name. Classes keep their indexes, as open queries refer to them,
// and a class that was removed is marked as dropped. Nothing is taken from a file that lacks a key.
func (c *Config) reloadOver(old *Config, now time.Time) (*Config, []string, error) {
	if err := missingKey("", old.raw, c.raw); err != nil {
		return nil, nil, err
	}
	merged := *c
	merged.raw = old.raw // only the keys of the file read at the start are needed later
	var needRestart []string
	m := &merged.Module
	for _, f := range []struct {
		name     string
		old, new any // pointers to both
	}{
		{"name", &old.Name, &merged.Name}, {"listen", &old.Listen, &merged.Listen},
		{"limits", &old.Limits, &merged.Limits}, {"peer_listen", &old.PeerListen, &merged.PeerListen},
		{"peers", &old.Peers, &merged.Peers}, {"peers_all", &old.PeersAll, &merged.PeersAll},
		{"operator", &old.Operator, &merged.Operator}, {"azs", &old.Zones, &merged.Zones},
		{"zone", &old.Module.Zone, &m.Zone}, {"me", &old.Module.Number, &m.Number},
		{"peersTotal", &old.Module.Peers, &m.Peers}, {"quantumUs", &old.Module.Tick, &m.Tick},
		{"membershipMode", &old.Module.Subscribe, &m.Subscribe},
	} {
		running, read := reflect.ValueOf(f.old).Elem(), reflect.ValueOf(f.new).Elem()
		if !reflect.DeepEqual(running.Interface(), read.Interface()) {
			needRestart = append(needRestart, f.name)
			read.Set(running)
		}
	}
	merged.Classes = slices.Clone(old.Classes)
	m.Classes = slices.Clone(old.Module.Classes)
	for i, name := range merged.Classes {
		m.Classes[i].Dropped = !slices.Contains(c.Classes, name)
	}
	for i, name := range c.Classes {
		if at := slices.Index(merged.Classes, name); at >= 0 {
			m.Classes[at] = c.Module.Classes[i]
		} else {
			merged.Classes = append(merged.Classes, name)
			m.Classes = append(m.Classes, c.Module.Classes[i])
		}
	}
	merged.otherRules = old.rulesBeside(now)
	return &merged, needRestart, nil
}

// optionalOnReload are keys that a file read again may lack: those that matter only at a start, and
// settings that are optional. The module checks whether a class needs its window.
var optionalOnReload = map[string]bool{"known": true, "seed": true, "windowUs": true, "aimStretch": true,
	"warmKeys": true}

// missingKey returns an error for the first key of the configuration read at the start that a file read
// again lacks or has in another form. The items of a list need the keys that all items of the running list
// have.
func missingKey(path string, old, fresh any) error {
	switch oldValue := old.(type) {
	case map[string]any:
		freshValue, ok := fresh.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is not an object", path)
		}
		for _, k := range slices.Sorted(maps.Keys(oldValue)) {
			at := strings.TrimPrefix(path+"."+k, ".")
			if optionalOnReload[k] {
				continue
			}
			v, ok := freshValue[k]
			if !ok {
				return fmt.Errorf("%s is missing", at)
			}
			if err := missingKey(at, oldValue[k], v); err != nil {
				return err
			}
		}
		return nil
	case []any:
		freshValue, ok := fresh.([]any)
		if !ok {
			return fmt.Errorf("%s is not a list", path)
		}
		if len(oldValue) == 0 {
			return nil
		}
		form := oldValue[0]
		if first, ok := form.(map[string]any); ok {
			common := maps.Clone(first)
			for _, x := range oldValue[1:] {
				m, _ := x.(map[string]any)
				maps.DeleteFunc(common, func(k string, _ any) bool { _, ok := m[k]; return !ok })
			}
			form = common
		}
		for i, x := range freshValue {
			if err := missingKey(fmt.Sprintf("%s.%d", path, i), form, x); err != nil {
				return err
			}
		}
		return nil
	case nil:
		return nil
	}
	if reflect.TypeOf(old) != reflect.TypeOf(fresh) {
		return fmt.Errorf("%s: %v has another type than %v", path, fresh, old)
	}
	return nil
}

// parseReport reads a load report, `name=value` joined by commas, and returns the values in the order of
// the settings' columns. It returns nil for a report that is malformed or lacks a column: part of it could
// pass for the report of an idle node.
func (c *Config) parseReport(text string) []float32 {
	if text == "-" || text == "" || len(c.ReportColumns) == 0 {
		return nil
	}
	out := make([]float32, len(c.ReportColumns))
	missing := len(c.ReportColumns)
	for _, item := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(item, "=")
		v, err := strconv.ParseFloat(value, 32)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			return nil
		}
		for i, column := range c.ReportColumns {
			if column == name || reportAliases[name] == column {
				out[i] = float32(v)
				missing--
			}
		}
	}
	if missing != 0 {
		return nil
	}
	return out
}

// reportAliases are names that data nodes may use for the settings' columns.
var reportAliases = map[string]string{"inflight": "active", "queue": "waiting", "util": "cpu",
	"latency_ms": "avg_ms", "qps": "rps", "eps": "err_rps"}
