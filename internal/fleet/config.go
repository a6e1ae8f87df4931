// Package fleet owns the fleet's socket: its file, the keys that seal its datagrams, and the one goroutine
// that holds a membership.View. It must never decide who is a member.
package fleet

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lapislever/internal/membership"
	"lapislever/internal/settings"
)

const (
	defaultPeriod = 200 // ms
	mostKeys      = 8
	mostMembers   = 10_000
)

// Config is the file.
type Config struct {
	Fleet struct {
		Name   string            `toml:"name"`
		Zone   string            `toml:"zone"`
		Listen string            `toml:"listen"`
		Join   []string          `toml:"join,omitempty"`
		Keys   string            `toml:"keys,omitempty"`
		Roster []string          `toml:"roster,omitempty"`
		Most   int               `toml:"most,omitempty"`
		Route  map[string]string `toml:"route,omitempty"`
		Detect struct {
			Period int `toml:"period_ms,omitempty"`
		} `toml:"detect,omitempty"`
		Overload struct {
			Off bool `toml:"off,omitempty"` // each member turns away by itself alone
		} `toml:"overload,omitempty"`
		Evidence struct {
			Share *float64 `toml:"share,omitempty"` // of all nodes, that may be out by evidence; 0: none is
		} `toml:"evidence,omitempty"`
	} `toml:"fleet"`
	Limits []Limit `toml:"limit,omitempty"`

	listen netip.AddrPort
	keys   *keyring
	view   membership.Settings
}

// Load reads the file and the keys that it names. All faults are told at once.
func Load(path string) (*Config, error) {
	c := &Config{}
	f, err := settings.Load(path, c)
	if err != nil {
		return nil, err
	}
	return c, c.check(f, filepath.Dir(path))
}

var nameForm = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)

// check notes all that is wrong and makes of the texts what is needed.
func (c *Config) check(f *settings.File, dir string) error {
	x := &c.Fleet
	name := func(key, s string, most int) {
		f.Require(nameForm.MatchString(s) && len(s) <= most, key,
			"%q is not 1 to %d letters, digits, dots, dashes or underscores", s, most)
	}
	name("fleet.name", x.Name, membership.MaxName)
	if x.Zone != "" {
		name("fleet.zone", x.Zone, membership.MaxZone)
	}
	loopback := true
	address := func(key, text string) netip.AddrPort {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			f.AddError(key, "%q is not an IP address and a port", text)
			return netip.AddrPort{}
		}
		loopback = loopback && a.Addr().IsLoopback()
		return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	}
	c.listen = address("fleet.listen", x.Listen)
	for i, text := range x.Join {
		a := address("fleet.join", text)
		if !slices.Contains(c.view.Join, a) && a != c.listen && a.IsValid() {
			c.view.Join = append(c.view.Join, a)
		}
		f.Require(!slices.Contains(x.Join[:i], text), "fleet.join", "%s is there twice", text)
	}
	c.view.Route = map[string]netip.AddrPort{}
	for who, text := range x.Route {
		name("fleet.route."+who, who, membership.MaxName)
		c.view.Route[who] = address("fleet.route."+who, text)
	}
	f.Require(len(x.Roster) > 0 || x.Most > 0, "fleet.roster", "is missing, and most too: one has to be there")
	f.Require(len(x.Roster) == 0 || x.Most == 0, "fleet.most", "goes without roster")
	f.Require(x.Most >= 0 && x.Most <= mostMembers, "fleet.most", "%d is not within 1 and %d", x.Most, mostMembers)
	f.Require(len(x.Roster) <= mostMembers, "fleet.roster", "has over %d names", mostMembers)
	for i, who := range x.Roster {
		name("fleet.roster", who, membership.MaxName)
		f.Require(!slices.Contains(x.Roster[:i], who), "fleet.roster", "%s is there twice", who)
	}
	f.Require(len(x.Roster) == 0 || slices.Contains(x.Roster, x.Name), "fleet.roster", "lacks this member, %s",
		x.Name)
	if x.Detect.Period == 0 {
		x.Detect.Period = defaultPeriod
	}
	f.Require(x.Detect.Period >= 20 && x.Detect.Period <= 60_000, "fleet.detect.period_ms",
		"%d is not within 20 and 60000", x.Detect.Period)
	if x.Evidence.Share == nil {
		share := defaultShare
		x.Evidence.Share = &share
	}
	f.Require(*x.Evidence.Share >= 0 && *x.Evidence.Share <= 0.5, "fleet.evidence.share",
		"%g is not within 0 and 0.5", *x.Evidence.Share)
	c.keys = &keyring{}
	if x.Keys != "" {
		path := x.Keys
		if !filepath.IsAbs(path) {
			path = filepath.Join(dir, path)
		}
		var err error
		if c.keys, err = loadKeys(path); err != nil {
			f.AddError("fleet.keys", "%v", err)
		}
	} else {
		f.Require(loopback, "fleet.keys", "is missing: without it loopback addresses only")
	}
	for i := range c.Limits {
		at := fmt.Sprintf("limit[%d]", i+1)
		c.Limits[i].check(f, at, c.MaxMembers(), len(x.Roster))
		for _, before := range c.Limits[:i] {
			f.Require(before.Name != c.Limits[i].Name, at+".name", "%q is there twice", before.Name)
		}
	}
	c.view.Roster, c.view.Most, c.view.Stamp = x.Roster, x.Most, c.stamp()
	return f.Err()
}

// Period is the time that all of the fleet's are stated in.
func (c *Config) Period() time.Duration {
	return time.Duration(c.Fleet.Detect.Period) * time.Millisecond
}

// MaxMembers is how many members there may be.
func (c *Config) MaxMembers() int {
	if n := len(c.Fleet.Roster); n > 0 {
		return n
	}
	return c.Fleet.Most
}

// RosterIndex is this member's among the roster, by name, or 0.
func (c *Config) RosterIndex() int { return max(0, c.place()) }

// place is the same, or -1 where there is no roster.
func (c *Config) place() int {
	return slices.Index(slices.Sorted(slices.Values(c.Fleet.Roster)), c.Fleet.Name)
}

// stamp sums up what has to be equal at all members. It is never 0.
func (c *Config) stamp() uint32 {
	h := xxhash.New()
	for _, name := range slices.Sorted(slices.Values(c.Fleet.Roster)) {
		_, _ = h.WriteString(name + "\n")
	}
	_ = binary.Write(h, binary.LittleEndian, int64(c.Fleet.Most))
	for _, l := range c.Limits {
		_, _ = fmt.Fprintf(h, "%+v\n", l)
	}
	return uint32(h.Sum64()) | 1
}

// loadKeys reads a file with a key a line.
func loadKeys(path string) (*keyring, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	k := &keyring{}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err == nil && len(key) != keySize {
			err = fmt.Errorf("%d bytes, not %d", len(key), keySize)
		}
		if err == nil {
			err = k.add(key)
		}
		if err != nil { // a key's text is no matter for a log
			return nil, fmt.Errorf("%s:%d: no base64 key of %d bytes", path, i+1, keySize)
		}
	}
	if len(k.keys) == 0 || len(k.keys) > mostKeys {
		return nil, fmt.Errorf("%s: %d keys, not 1 to %d", path, len(k.keys), mostKeys)
	}
	return k, nil
}
