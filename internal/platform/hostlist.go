package platform

// The list of data nodes in discovery's form, and the copy of it that this process holds. The copy is what
// other processes of this coordinator receive; see listlink.go. This file must never decide what a change
// means for queries.

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
)

// hostList is a list in discovery's form.
type hostList struct {
	Seq      int64  `json:"seq"`
	Complete bool   `json:"whole"`
	Hosts    []host `json:"hosts"`
}

// usedByBoth returns the list with those nodes as draining that another list does not name, or has as
// draining while this one knows of no later start.
func (l *hostList) usedByBoth(other *hostList) *hostList {
	known := make(map[string]*host, len(other.Hosts))
	for i := range other.Hosts {
		known[other.Hosts[i].Host] = &other.Hosts[i]
	}
	both := *l
	both.Hosts = slices.Clone(l.Hosts)
	for i := range both.Hosts {
		h := &both.Hosts[i]
		o := known[h.Host]
		if h.Health == inService && (o == nil || o.Health != inService && h.Born <= o.Born) {
			h.Health = terminating
		}
	}
	return &both
}

// named returns the entries that have a name.
func (l *hostList) named() []host {
	if !slices.ContainsFunc(l.Hosts, host.nameless) {
		return l.Hosts
	}
	return slices.DeleteFunc(slices.Clone(l.Hosts), host.nameless)
}

func (h host) nameless() bool { return h.Host == "" }

// atLeast reports whether the list is one, and its version not lower than another one's.
func (l *hostList) atLeast(other *hostList) bool {
	return l != nil && (other == nil || l.Seq >= other.Seq)
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

// Host is an entry of discovery's list.
type Host = host

// replicas converts a list to the module's form.
func (c *Config) replicas(hosts []host) []balance.Replica {
	out := make([]balance.Replica, 0, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		zone := -1
		for j, z := range c.Zones {
			if z == formatScalar(h.Site) { // as in the settings
				zone = j
			}
		}
		state := balance.Removed
		switch h.Health {
		case inService:
			state = balance.Ready
		case terminating:
			state = balance.Draining
		}
		out = append(out, balance.Replica{ID: core.ServerID(h.Host), Zone: zone, Cell: h.Block, State: state,
			Size: h.Share, Started: balance.Micros(h.Born * 1000)})
	}
	return out
}

// listSource is where a list comes from.
type listSource string

// The sources of a list.
const (
	fromConfig      listSource = "configuration" // the configuration's list, which may be out of date
	fromState       listSource = "state"         // the folder in which an earlier process has saved it
	fromPredecessor listSource = "predecessor"   // the process that this one takes over from
	fromLink        listSource = "link"          // another process of an upgrade, while this one runs
	fromDiscovery   listSource = "discovery"
)

// listOrigin tells how far a list can be relied upon.
type listOrigin struct {
	source listSource
	// confirmed is set if discovery itself has told the list to this process, or to another one that runs beside
	// it.
	confirmed bool
	toldAt    time.Time // when discovery last told or confirmed it; zero: unknown
}

// heldList is the list as this process holds it. The watcher alone changes it.
type heldList struct {
	mu      sync.Mutex // guards all below
	version int64
	origin  listOrigin
	whole   bool // a full list has been taken in, and not changes alone
	hosts   map[string]host
}

// apply takes in a full list, or changes. The list held is of its version and origin then.
func (l *heldList) apply(list *hostList, origin listOrigin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list.Complete || l.hosts == nil {
		l.hosts = make(map[string]host, len(list.Hosts))
	}
	l.whole = l.whole || list.Complete
	for _, h := range list.named() {
		if h.Health == terminated {
			delete(l.hosts, h.Host)
		} else {
			l.hosts[h.Host] = h
		}
	}
	l.version, l.origin = list.Seq, origin
}

// state returns the version and the origin of the list held, and whether a full list is held.
func (l *heldList) state() (version int64, origin listOrigin, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.origin, l.whole
}

// currentVersion returns the version held; 0: none yet.
func (l *heldList) currentVersion() int64 {
	version, _, _ := l.state()
	return version
}

// size returns the number of nodes that the list held names.
func (l *heldList) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.hosts)
}

// full returns the full list with its origin, or nil where none is held.
func (l *heldList) full() (list *hostList, origin listOrigin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.whole {
		return nil, listOrigin{}
	}
	hosts := slices.SortedFunc(maps.Values(l.hosts), func(a, b host) int { return cmp.Compare(a.Host, b.Host) })
	return &hostList{Seq: l.version, Complete: true, Hosts: hosts}, l.origin
}
