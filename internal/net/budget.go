package net

// The budget of descriptors.

import (
	"slices"
	"sync/atomic"
)

// Budget counts descriptors that clients and servers share, and the memory of clients' rings. A part of the
// descriptors is kept for servers, so that a crowd of clients cannot take away the means to serve any of
// them.
type Budget struct {
	used, most, kept atomic.Int64
	clients          atomic.Int64 // of those in use
	spare            atomic.Int64 // beyond it, each for a client that is to be refused
	rings            pool
	spared           atomic.Pointer[[]func() bool] // by server: closes a connection that can be spared
}

// NewBudget returns a budget of most descriptors with kept of them closed to clients.
func NewBudget(most, kept int) *Budget {
	b := &Budget{}
	b.SetLimits(most, kept, max(2, min(MaxOverflow, most/4)))
	b.rings.left.Store(poolSize)
	return b
}

// LimitRings bounds the memory of clients' rings beyond their usual size. It comes before any is used.
func (b *Budget) LimitRings(bytes int) { b.rings.left.Store(int64(min(bytes, poolSize))) }

func (b *Budget) take(least int64) bool {
	for {
		u := b.used.Load()
		if u+least >= b.most.Load() {
			return false
		}
		if b.used.CompareAndSwap(u, u+1) {
			return true
		}
	}
}

// AcquireServer takes one for a connection to a server. Where none is left a client's connection that is between
// requests makes way: nobody is served by holding it.
func (b *Budget) AcquireServer() bool {
	if b.take(0) {
		return true
	}
	if all := b.spared.Load(); all != nil {
		for _, spare := range *all {
			if spare() && b.take(0) {
				return true
			}
		}
	}
	return false
}

// spareBy has a connection make way for servers' ones, if f finds one. Servers that share a budget, one a
// front, are asked in turn.
func (b *Budget) spareBy(f func() bool) {
	for {
		old := b.spared.Load()
		all := []func() bool{f}
		if old != nil {
			all = append(slices.Clone(*old), f)
		}
		if b.spared.CompareAndSwap(old, &all) {
			return
		}
	}
}

// AcquireClient takes one for a client's connection.
func (b *Budget) AcquireClient() bool {
	if !b.take(b.kept.Load()) {
		return false
	}
	b.clients.Add(1)
	return true
}

// ReleaseClient gives a client's back.
func (b *Budget) ReleaseClient() {
	b.clients.Add(-1)
	b.Release()
}

// takePlace takes one for a client that a gate has let in: what is kept for nodes counts as theirs whether
// they hold it or not, and no more than that.
func (b *Budget) takePlace() bool {
	if b.clients.Add(1) > int64(b.Places()) || !b.take(0) {
		b.clients.Add(-1)
		return false
	}
	return true
}

// Places is how many clients may be open at this moment, those that are included.
func (b *Budget) Places() int {
	nodes := max(0, b.used.Load()-b.clients.Load())
	return int(max(0, b.most.Load()-max(b.kept.Load(), nodes)))
}

// SetLimits changes the budget, and how many clients beyond it may be held open to be refused. What is held
// beyond it stays until it is given back.
func (b *Budget) SetLimits(most, kept, spare int) {
	b.most.Store(int64(most))
	b.kept.Store(int64(kept))
	b.spare.Store(int64(spare))
}

// Capacity is how many there are.
func (b *Budget) Capacity() int { return int(b.most.Load()) }

// InUse is how many are taken.
func (b *Budget) InUse() int { return int(b.used.Load()) }

// Release gives one back.
func (b *Budget) Release() { b.used.Add(-1) }
