package core

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Counts holds the counters of this process since its start. Each is updated where the event happens and
// may be read by any goroutine at any time.
type Counts struct {
	AttemptsSent    atomic.Int64 // attempts whose last byte was written to a server
	ActiveQueries   atomic.Int64 // queries submitted and not yet ended
	ListedServers   atomic.Int64 // servers in the list
	AvoidedServers  atomic.Int64 // those of them that are cordoned or avoided by the module
	ConfigsApplied  atomic.Int64 // configurations applied while running
	ConfigsRejected atomic.Int64 // configurations rejected while running

	mu      sync.Mutex // guards the map; the counts in it are atomics
	classes map[string]*ClassCount
}

// ClassCount counts the replies to queries of a class by outcome. A front counts a reply when it writes
// it, because only the front knows what the client receives.
type ClassCount struct{ counts [Failed + 1]atomic.Int64 }

// Add counts one reply.
func (c *ClassCount) Add(e QueryOutcome) { c.counts[e].Add(1) }

// Count returns the number of replies with an outcome.
func (c *ClassCount) Count(e QueryOutcome) int64 { return c.counts[e].Load() }

// Class returns the counter of a class by name. It is the same for the lifetime of the process.
func (c *Counts) Class(name string) *ClassCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.classes == nil {
		c.classes = map[string]*ClassCount{}
	}
	x := c.classes[name]
	if x == nil {
		x = &ClassCount{}
		c.classes[name] = x
	}
	return x
}

// Classes returns the counters of all classes used so far.
func (c *Counts) Classes() map[string]*ClassCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.classes)
}
