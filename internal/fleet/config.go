// Package fleet connects a coordinator to its fleet: it owns the settings file, the UDP socket, the keys that
// seal datagrams, and the goroutine that owns the membership.View. It must never decide who is a member.
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
	maxKeys       = 8
	maxMembers    = 10_000
)

// Config is the content of the fleet's settings file.
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
			Off bool `toml:"off,omitempty"` // each member sheds load on its own only
		} `toml:"overload,omitempty"`
		Evidence struct {
			Share *float64 `toml:"share,omitempty"` // maximum share of all nodes that evidence may take out; 0: none
		} `toml:"evidence,omitempty"`
	} `toml:"fleet"`
	Limits []Limit `toml:"limit,omitempty"`

	listen netip.AddrPort
	keys   *keyring
	view   membership.Settings
}

// Load reads the settings file and the key file that it names. The error lists all faults.
func Load(path string) (*Config, error) {
	c := &Config{}
	f, err := settings.Load(path, c)
	if err != nil {
		return nil, err
	}
	return c, c.validate(f, filepath.Dir(path))
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)

// validate records all faults and converts the texts to addresses and keys.
func (c *Config) validate(f *settings.File, dir string) error {
	x := &c.Fleet
	name := func(key, s string, most int) {
		f.Require(namePattern.MatchString(s) && len(s) <= most, key,
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
	for member, text := range x.Route {
		name("fleet.route."+member, member, membership.MaxName)
		c.view.Route[member] = address("fleet.route."+member, text)
	}
	f.Require(len(x.Roster) > 0 || x.Most > 0, "fleet.roster", "is missing, and most too: one has to be there")
	f.Require(len(x.Roster) == 0 || x.Most == 0, "fleet.most", "goes without roster")
	f.Require(x.Most >= 0 && x.Most <= maxMembers, "fleet.most", "%d is not within 1 and %d", x.Most, maxMembers)
	f.Require(len(x.Roster) <= maxMembers, "fleet.roster", "has over %d names", maxMembers)
	for i, member := range x.Roster {
		name("fleet.roster", member, membership.MaxName)
		f.Require(!slices.Contains(x.Roster[:i], member), "fleet.roster", "%s is there twice", member)
	}
	f.Require(len(x.Roster) == 0 || slices.Contains(x.Roster, x.Name), "fleet.roster", "lacks this member, %s",
		x.Name)
	if x.Detect.Period == 0 {
		x.Detect.Period = defaultPeriod
	}
	f.Require(x.Detect.Period >= 20 && x.Detect.Period <= 60_000, "fleet.detect.period_ms",
		"%d is not within 20 and 60000", x.Detect.Period)
	if x.Evidence.Share == nil {
		share := defaultEvidenceShare
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
		key := fmt.Sprintf("limit[%d]", i+1)
		c.Limits[i].validate(f, key, c.MaxMembers(), len(x.Roster))
		for _, preceding := range c.Limits[:i] {
			f.Require(preceding.Name != c.Limits[i].Name, key+".name", "%q is there twice", preceding.Name)
		}
	}
	c.view.Roster, c.view.Most, c.view.Stamp = x.Roster, x.Most, c.stamp()
	return f.Err()
}

// Period is the protocol period, the unit of all other times of the fleet.
func (c *Config) Period() time.Duration {
	return time.Duration(c.Fleet.Detect.Period) * time.Millisecond
}

// MaxMembers is the maximum number of members.
func (c *Config) MaxMembers() int {
	if n := len(c.Fleet.Roster); n > 0 {
		return n
	}
	return c.Fleet.Most
}

// RosterIndex is this member's index in the sorted roster, or 0 without a roster.
func (c *Config) RosterIndex() int { return max(0, c.rosterIndexOrNone()) }

// rosterIndexOrNone is this member's index in the sorted roster, or -1 without a roster.
func (c *Config) rosterIndexOrNone() int {
	return slices.Index(slices.Sorted(slices.Values(c.Fleet.Roster)), c.Fleet.Name)
}

// stamp returns a hash of the settings that must be equal on all members. It is never 0.
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

// loadKeys reads a file with one key per line.
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
		if err != nil { // without the key's text, which must not reach a log
			return nil, fmt.Errorf("%s:%d: no base64 key of %d bytes", path, i+1, keySize)
		}
	}
	if len(k.keys) == 0 || len(k.keys) > maxKeys {
		return nil, fmt.Errorf("%s: %d keys, not 1 to %d", path, len(k.keys), maxKeys)
	}
	return k, nil
}
