package core

import (
	"container/heap"

	"lapislever/balance"
)

// timer is the time at which an open query or a pending attempt has to be checked. It is removed when that
// has ended: it would hold the query, with its payload, until the query's deadline.
type timer struct {
	at      balance.Micros
	attempt *Attempt
	query   *Query
	index   int // in the heap; notQueued: it is not there
}

const notQueued = -1

// timers is a heap of timers, the earliest first.
type timers []*timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push appends a timer; it is called by container/heap.
func (t *timers) Push(x any) {
	added := x.(*timer)
	added.index = len(*t)
	*t = append(*t, added)
}

// Pop removes the last timer; it is called by container/heap.
func (t *timers) Pop() any {
	last := len(*t) - 1
	removed := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	removed.index = notQueued
	return removed
}

// remove removes a timer, unless it is nil or not queued.
func (t *timers) remove(x *timer) {
	if x != nil && x.index != notQueued {
		heap.Remove(t, x.index)
	}
}

// move changes the time of a timer, unless it is nil or not queued.
func (t *timers) move(x *timer, at balance.Micros) {
	if x != nil && x.index != notQueued {
		x.at = at
		heap.Fix(t, x.index)
	}
}
