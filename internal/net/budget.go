package net

// The budget of file descriptors.

import (
	"math"
	"slices"
	"sync/atomic"
)

const (
	// MaxOverflow is the upper limit on connections beyond the budget.
	MaxOverflow = 16
	// maxInputMemory bounds what all clients send, unless it is lowered.
	maxInputMemory = 24 << 20
	// connMemory is the memory that a client connection takes with its two goroutines, its buffers up to their
	// free size and a small request.
	connMemory = 24 << 10
	minClients = 32 // connections that are allowed however little memory there is
)

// Budget limits the file descriptors shared by client and server connections, the number of client
// connections that the memory allows, and the memory of what clients send. Some descriptors are reserved
// for server connections: without them a flood of clients could use up the connections that are needed to
// serve any client.
type Budget struct {
	inUse, capacity, reserved atomic.Int64
	clientsInUse              atomic.Int64 // descriptors in use by clients
	maxOverflow               atomic.Int64 // connections allowed beyond the budget, each only to be refused
	maxClients                atomic.Int64 // client connections that the memory allows
	inputMemory               memoryLimit
	evictors                  atomic.Pointer[[]func() bool] // one per server: evicts an idle connection
}

// NewBudget returns a budget of capacity descriptors, of which clients cannot use the reserved ones.
func NewBudget(capacity, reserved int) *Budget {
	b := &Budget{}
	b.SetLimits(capacity, reserved, max(2, min(MaxOverflow, capacity/4)))
	b.maxClients.Store(math.MaxInt32)
	b.inputMemory.setSize(maxInputMemory)
	return b
}

// LimitMemory bounds the memory that clients take up: one half is for connections, a quarter for what they
// send beyond the little that each connection may hold anyway. The rest is for what handlers make of it.
// Connections and input beyond new limits stay until they end. With limitClients unset the number of
// connections is limited by descriptors alone.
func (b *Budget) LimitMemory(bytes int64, limitClients bool) {
	clients := int64(math.MaxInt32)
	if limitClients {
		clients = max(minClients, bytes/2/connMemory)
	}
	b.maxClients.Store(clients)
	b.inputMemory.setSize(min(bytes/4, maxInputMemory))
}

// InputMemoryInUse returns how many bytes are in use for what clients send.
func (b *Budget) InputMemoryInUse() int64 { return b.inputMemory.inUse() }

// ReserveInput reserves memory for input of another protocol's listener. It returns false if there is not
// enough.
func (b *Budget) ReserveInput(n int) bool { return b.inputMemory.reserve(n) }

// ReleaseInput releases what ReserveInput has reserved.
func (b *Budget) ReleaseInput(n int) { b.inputMemory.release(n) }

// Clients returns the number of client connections within the budget.
func (b *Budget) Clients() int64 { return b.clientsInUse.Load() }

func (b *Budget) tryAcquire(headroom int64) bool {
	for {
		used := b.inUse.Load()
		if used+headroom >= b.capacity.Load() {
			return false
		}
		if b.inUse.CompareAndSwap(used, used+1) {
			return true
		}
	}
}

// AcquireServer acquires a descriptor for a connection to a server. If none is left, it evicts a client
// connection that is idle between requests, as keeping that one open serves no request.
func (b *Budget) AcquireServer() bool {
	if b.tryAcquire(0) {
		return true
	}
	if evictors := b.evictors.Load(); evictors != nil {
		for _, evict := range *evictors {
			if evict() && b.tryAcquire(0) {
				return true
			}
		}
	}
	return false
}

// addEvictor registers f, which evicts an idle client connection if there is one. The servers that share a
// budget, one per front, are asked in turn.
func (b *Budget) addEvictor(f func() bool) {
	for {
		old := b.evictors.Load()
		all := []func() bool{f}
		if old != nil {
			all = append(slices.Clone(*old), f)
		}
		if b.evictors.CompareAndSwap(old, &all) {
			return
		}
	}
}

// AcquireClient acquires a descriptor for a client connection.
func (b *Budget) AcquireClient() bool {
	if b.clientsInUse.Add(1) > b.maxClients.Load() || !b.tryAcquire(b.reserved.Load()) {
		b.clientsInUse.Add(-1)
		return false
	}
	return true
}

// ReleaseClient releases a client connection's descriptor.
func (b *Budget) ReleaseClient() {
	b.clientsInUse.Add(-1)
	b.Release()
}

// acquireAdmitted acquires a descriptor for a client that the admission controller has admitted. The
// descriptors reserved for nodes are not available to it even while unused; others are unless nodes actually
// use them.
func (b *Budget) acquireAdmitted() bool {
	if b.clientsInUse.Add(1) > int64(b.ClientCapacity()) || !b.tryAcquire(0) {
		b.clientsInUse.Add(-1)
		return false
	}
	return true
}

// ClientCapacity returns how many client connections may be open at this moment, including the open ones.
func (b *Budget) ClientCapacity() int {
	others := max(0, b.inUse.Load()-b.clientsInUse.Load())
	return int(max(0, min(b.maxClients.Load(), b.capacity.Load()-max(b.reserved.Load(), others))))
}

// SetLimits changes the budget, and how many clients beyond it may stay connected until they are refused.
// Descriptors in use beyond the new limits stay valid until they are released.
func (b *Budget) SetLimits(capacity, reserved, maxOverflow int) {
	b.capacity.Store(int64(capacity))
	b.reserved.Store(int64(reserved))
	b.maxOverflow.Store(int64(maxOverflow))
}

// Capacity returns the total number of descriptors.
func (b *Budget) Capacity() int { return int(b.capacity.Load()) }

// InUse returns the number of descriptors in use.
func (b *Budget) InUse() int { return int(b.inUse.Load()) }

// Release releases one descriptor.
func (b *Budget) Release() { b.inUse.Add(-1) }
