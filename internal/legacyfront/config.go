package legacyfront

// The front's configuration file.

import (
	"fmt"
	"math"
	"net"
	"slices"
	"time"

	"lapislever/internal/ajp"
	"lapislever/internal/grpcnode"
	"lapislever/internal/platform"
	"lapislever/internal/settings"
)

// The values of Server.Form.
const (
	OldForm = "old"
	NewForm = "new"
)

// maxShards limits the number of shards, and of cells, that a file may configure.
const maxShards = 4096

// Server is a [[server]] section.
type Server struct {
	Name       string   `toml:"name"`
	Address    string   `toml:"address"`
	Form       string   `toml:"form"`
	Zone       string   `toml:"zone,omitempty"`
	Cell       int      `toml:"cell"`
	Share      *float64 `toml:"share,omitempty"`
	Draining   bool     `toml:"draining,omitempty"` // completes its attempts and gets no new ones
	TLS        bool     `toml:"tls,omitempty"`
	ServerName string   `toml:"server_name,omitempty"`
}

// Class is a [[class]] section: a class of queries. Times are in seconds.
type Class struct {
	Name      string  `toml:"name"`
	Effect    string  `toml:"effect"` // safe, keyed or unsafe
	Aim       float64 `toml:"aim_s"`
	Deadline  float64 `toml:"deadline_s"`
	Window    float64 `toml:"window_s,omitempty"` // only for a keyed class
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth,omitempty"`
}

// Config is the configuration file.
type Config struct {
	Listen   string `toml:"listen,omitempty"`   // HTTP listener for old clients; empty means none
	Operator string `toml:"operator,omitempty"` // admin endpoint
	Zone     string `toml:"zone,omitempty"`     // the coordinator's own zone
	Shards   int    `toml:"shards,omitempty"`   // 0 means one per cell
	Reach    int    `toml:"reach,omitempty"`
	Attempts int    `toml:"attempts,omitempty"` // maximum for one part
	Sockets  int    `toml:"sockets,omitempty"`  // maximum number of descriptors that the process opens

	ListenTLS ListenTLS  `toml:"listen_tls,omitempty"`
	Admission *Admission `toml:"admission,omitempty"`

	AJP struct {
		Listen string `toml:"listen,omitempty"`
		Secret string `toml:"secret,omitempty"`
		Packet int    `toml:"packet,omitempty"`
	} `toml:"ajp,omitempty"`

	New struct {
		Streams     int     `toml:"streams,omitempty"`
		Connections int     `toml:"connections,omitempty"`
		Queue       int     `toml:"queue,omitempty"`
		Dial        float64 `toml:"dial_s,omitempty"`
		Idle        float64 `toml:"idle_s,omitempty"`
		Write       float64 `toml:"write_s,omitempty"`
	} `toml:"new,omitempty"`

	TLS struct {
		CA    string  `toml:"ca,omitempty"`
		Cert  string  `toml:"cert,omitempty"`
		Key   string  `toml:"key,omitempty"`
		Watch float64 `toml:"watch_s,omitempty"` // interval between checks of the files for changes
	} `toml:"tls,omitempty"`

	Keys struct {
		Most     int     `toml:"most,omitempty"`
		Remember float64 `toml:"remember_s,omitempty"` // retention after the window
	} `toml:"keys,omitempty"`

	Classes  []Class        `toml:"class"`
	Servers  []Server       `toml:"server"`
	Settings map[string]any `toml:"settings,omitempty"` // overrides of platform settings, by their names
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LoadConfig reads and validates a configuration file.
func LoadConfig(path string) (*Config, error) {
	c := &Config{}
	f, err := settings.Load(path, c)
	if err != nil {
		return nil, err
	}
	return c, c.validate(f)
}

// ParseConfig is LoadConfig for a file's text; name stands for the file in errors.
func ParseConfig(name, text string) (*Config, error) {
	c := &Config{}
	f, err := settings.Parse(name, text, c)
	if err != nil {
		return nil, err
	}
	return c, c.validate(f)
}

// setDefault sets *v to def if it is the zero value.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// validate fills in defaults and reports all errors at once.
func (c *Config) validate(f *settings.File) error {
	setDefault(&c.Reach, 1)
	setDefault(&c.Attempts, 4)
	setDefault(&c.Sockets, 1024)
	setDefault(&c.AJP.Packet, ajp.DefaultSize)
	setDefault(&c.New.Streams, 32)
	setDefault(&c.New.Connections, 2)
	setDefault(&c.New.Queue, 64)
	setDefault(&c.New.Dial, 0.5)
	setDefault(&c.New.Idle, 60)
	setDefault(&c.New.Write, 1)
	setDefault(&c.TLS.Watch, 10)
	setDefault(&c.Keys.Most, 100_000)
	setDefault(&c.Keys.Remember, 60)

	requireAddress := func(key, text string) {
		if _, port, err := net.SplitHostPort(text); err != nil || port == "" {
			f.AddError(key, "%q is not host:port", text)
		}
	}
	requireSeconds := func(key string, s, low, high float64) {
		f.Require(s >= low && s <= high, key, "%g s is not within %g and %g", s, low, high)
	}
	f.Require(c.Listen != "" || c.AJP.Listen != "", "listen",
		"is missing, and ajp.listen too: nobody could call")
	usedBy := map[string]string{}
	for _, l := range []struct{ key, addr string }{{"listen", c.Listen}, {"ajp.listen", c.AJP.Listen},
		{"operator", c.Operator}} {
		if l.addr == "" {
			continue
		}
		requireAddress(l.key, l.addr)
		if _, port, _ := net.SplitHostPort(l.addr); port != "0" {
			f.Require(usedBy[l.addr] == "", l.key, "%s is taken by %s", l.addr, usedBy[l.addr])
			usedBy[l.addr] = l.key
		}
	}
	f.Require(c.AJP.Packet >= 1024 && c.AJP.Packet <= ajp.LargestSize, "ajp.packet",
		"%d is not within 1024 and %d",
		c.AJP.Packet, ajp.LargestSize)
	f.Require(c.New.Streams >= 1 && c.New.Streams <= 1000, "new.streams", "%d is not within 1 and 1000",
		c.New.Streams)
	f.Require(c.New.Connections >= 1 && c.New.Connections <= 64, "new.connections", "%d is not within 1 and 64",
		c.New.Connections)
	f.Require(c.New.Queue >= 0 && c.New.Queue <= 10_000, "new.queue", "%d is not within 0 and 10000",
		c.New.Queue)
	requireSeconds("new.dial_s", c.New.Dial, 0.01, 10)
	requireSeconds("new.idle_s", c.New.Idle, 0.1, 3600)
	requireSeconds("new.write_s", c.New.Write, 0.01, 10)
	requireSeconds("tls.watch_s", c.TLS.Watch, 0.1, 3600)
	requireSeconds("keys.remember_s", c.Keys.Remember, 0, 86400)
	f.Require(c.Keys.Most >= 1, "keys.most", "%d leaves room for no key", c.Keys.Most)
	f.Require(c.Sockets >= 64 && c.Sockets <= 1<<20, "sockets", "%d is not within 64 and %d", c.Sockets, 1<<20)
	if c.Admission != nil {
		c.Admission.validate(f, platform.MaxClients(c.Sockets, c.Operator != ""))
	}
	f.Require((c.ListenTLS.Cert == "") == (c.ListenTLS.Key == ""), "listen_tls.cert", "cert and key go together")
	f.Require(c.ListenTLS.Roots == "" || c.ListenTLS.Cert != "", "listen_tls.client_roots",
		"is of no use without cert")
	f.Require((c.TLS.Cert == "") == (c.TLS.Key == ""), "tls.cert", "cert and key go together")
	f.Require(c.TLS.Cert == "" || c.TLS.CA != "", "tls.ca", "is missing")
	f.Require(c.Attempts >= 1 && c.Attempts <= 16, "attempts", "%d is not within 1 and 16", c.Attempts)

	f.Require(len(c.Classes) > 0, "class", "no [[class]] is given")
	names := map[string]bool{}
	for i := range c.Classes {
		k := &c.Classes[i]
		section := fmt.Sprintf("class[%d]", i+1)
		f.Require(k.Name != "" && !names[k.Name], section+".name", "is missing or taken")
		names[k.Name] = true
		f.Require(slices.Contains([]string{"safe", "keyed", "unsafe"}, k.Effect), section+".effect",
			"%q is not safe, keyed or unsafe", k.Effect)
		requireSeconds(section+".deadline_s", k.Deadline, 0.01, 3600)
		f.Require(k.Aim > 0 && k.Aim <= k.Deadline, section+".aim_s", "%g is not above 0 and within the deadline",
			k.Aim)
		// A send of the old form may have to wait for a connection, which could use up a shorter window.
		f.Require(k.Effect != "keyed" || k.Window >= 1, section+".window_s",
			"%g s: a keyed class needs 1 s at least", k.Window)
		f.Require(k.Effect == "keyed" || k.Window == 0, section+".window_s", "only a keyed class has a window")
		f.Require(k.Worth > 0 && k.LateWorth >= 0 && k.LateWorth <= 1, section+".worth",
			"worth or late_worth is not possible")
	}

	f.Require(len(c.Servers) > 0, "server", "no [[server]] is given")
	names = map[string]bool{}
	cells := 0
	for i := range c.Servers {
		s := &c.Servers[i]
		section := fmt.Sprintf("server[%d]", i+1)
		f.Require(s.Name != "" && !names[s.Name], section+".name", "is missing or taken")
		names[s.Name] = true
		requireAddress(section+".address", s.Address)
		f.Require(s.Form == OldForm || s.Form == NewForm, section+".form", "%q is not old or new", s.Form)
		f.Require(!s.TLS || s.Form == NewForm, section+".tls", "the old form knows no TLS")
		f.Require(!s.TLS || c.TLS.CA != "", section+".tls", "tls.ca is missing")
		f.Require(s.ServerName == "" || s.TLS, section+".server_name", "is of no use without tls")
		f.Require(s.Cell >= 0 && s.Cell < maxShards, section+".cell", "%d is not possible", s.Cell)
		f.Require(s.Share == nil || *s.Share > 0 && *s.Share < math.MaxFloat32, section+".share", "is not possible")
		if s.ServerName == "" && s.TLS {
			s.ServerName, _, _ = net.SplitHostPort(s.Address)
		}
		cells = max(cells, s.Cell+1)
	}
	if cells > 0 && cells <= maxShards {
		hasServer := make([]bool, cells)
		for _, s := range c.Servers {
			if s.Cell >= 0 {
				hasServer[s.Cell] = true
			}
		}
		if i := slices.Index(hasServer, false); i >= 0 && c.Reach == 1 {
			f.AddError("server", "no server is in cell %d", i)
		}
		f.Require(c.Reach >= 1 && c.Reach <= cells, "reach", "%d is not within 1 and the %d cells", c.Reach, cells)
	}
	setDefault(&c.Shards, cells)
	f.Require(c.Shards >= 1 && c.Shards <= maxShards, "shards", "%d is not within 1 and %d", c.Shards, maxShards)
	return f.Err()
}

// zones returns the zones in use: the coordinator's own, then the servers'.
func (c *Config) zones() []string {
	list := []string{c.Zone}
	for _, s := range c.Servers {
		if !slices.Contains(list, s.Zone) {
			list = append(list, s.Zone)
		}
	}
	return list
}

// Standalone returns the settings of a start without the platform, under the platform's names.
func (c *Config) Standalone() map[string]any {
	cells, maxOpen := 1, 0
	for _, s := range c.Servers {
		cells = max(cells, s.Cell+1)
	}
	effects := map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
	var classes, zones []any
	for _, k := range c.Classes {
		class := map[string]any{"name": k.Name, "goalTimeUs": k.Aim * 1e6, "hardLimitUs": k.Deadline * 1e6,
			"idempotency": effects[k.Effect], "worth": k.Worth, "lateWorth": k.LateWorth}
		if k.Effect == "keyed" {
			class["windowUs"] = k.Window * 1e6
		}
		classes = append(classes, class)
	}
	for _, z := range c.zones() {
		zones = append(zones, z)
	}
	maxOpen = max(256, 8*(c.Shards+1))
	all := map[string]any{
		"azs": zones, "zone": 0, "peersTotal": 1, "me": 0, "quantumUs": 5000, "membershipMode": "automatic",
		"callers":   map[string]any{"marksRetry": true},
		"reporting": map[string]any{"columns": []any{"rps", "waiting"}, "via": "answers"},
		"extra":     map[string]any{"places": cells, "slices": c.Shards, "reach": c.Reach, "bundleMax": 1},
		"bounds": map[string]any{"cancel": true, "secondCopies": true, "sendCap": c.Attempts, "probes": true,
			"retryAfter": true, "maxRetryAfterUs": 2_000_000, "connIdleUs": 15_000_000,
			"dialTimeoutUs": c.New.Dial * 1e6, "maxOpen": maxOpen},
		"lanes": classes,
	}
	settings.Overlay(all, c.Settings)
	return all
}

// grpcConfig returns the configuration of the connections to new-form nodes.
func (c *Config) grpcConfig(maxValue int) grpcnode.Config {
	return grpcnode.Config{StreamsPerConn: c.New.Streams, ConnsPerNode: c.New.Connections,
		QueuePerNode: c.New.Queue, MaxValue: maxValue,
		DialTimeout: seconds(c.New.Dial), IdleTimeout: seconds(c.New.Idle), WriteTimeout: seconds(c.New.Write)}
}
