package core

// The figures of a process.

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Counts are the figures of this process since its start. Each is written where the thing happens and may be
// read at any time from any goroutine.
type Counts struct {
	AttemptsSent    atomic.Int64 // attempts whose last byte was written to a server
	ActiveQueries   atomic.Int64 // queries taken and not yet ended
	ListedServers   atomic.Int64 // servers in the list
	AvoidedServers  atomic.Int64 // of those, the ones that get nothing: put out by hand, or avoided by the module
	ConfigsApplied  atomic.Int64 // configurations taken in while running
	ConfigsRejected atomic.Int64 // and turned down

	mu      sync.Mutex // guards the map; the counts in it are atomics
	classes map[string]*ClassCount
}

// ClassCount counts the replies to a class's queries. Whoever words the reply counts it, as only there it is
// known what the client is told.
type ClassCount struct{ ends [Failed + 1]atomic.Int64 }

// Add counts one reply.
func (c *ClassCount) Add(e QueryOutcome) { c.ends[e].Add(1) }

// Count is how many ended in a way.
func (c *ClassCount) Count(e QueryOutcome) int64 { return c.ends[e].Load() }

// Class is the count of a class by its name, the same for as long as the process runs.
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

// Classes are the counts of all classes that were ever named.
func (c *Counts) Classes() map[string]*ClassCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.classes)
}
