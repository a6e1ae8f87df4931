package core

import (
	"time"

	"lapislever/balance"
	"lapislever/internal/watchdog"
)

// Attempt is one send of a part. Backends keep the pointer and hand it back with the outcome.
type Attempt struct {
	Query    *Query
	Shard    int
	Replica  balance.ReplicaID
	Timeout  time.Duration // how long the core will wait
	Deadline time.Time     // and up to when
	StartBy  time.Time     // it must not begin later, as its key is forgotten then; zero: it may
	Ticket   any           // the gate's

	watch  *watchdog.Watchdog // looks at writes that are under way; nil: nobody does
	write  *watchdog.Call     // the writer's, while one is
	passed bool               // by the gate
	p      *part
	number int
	sent   balance.Micros
	over   bool
	// Of one that is over:
	ended   balance.Micros
	outcome balance.Outcome
}

// heldTicks is how many whole ticks of the watchdog a write may be held.
const heldTicks = 4

// HoldReason is why an attempt may not begin.
type HoldReason string

// The reasons why an attempt may not begin.
const (
	NoHold         HoldReason = ""
	HoldExpired    HoldReason = "its time is over"
	HoldWindow     HoldReason = "the window for repeats of its key is over"
	HoldClientLeft HoldReason = "its client has left"
	HoldFinished   HoldReason = "its request is over"
	HoldDraining   HoldReason = "its server drains"
)

// BeginWrite asks whether the attempt's first byte may be written now, and how long the core will wait for
// the attempt from there. Where it may, the caller makes the system call at once and then calls EndWrite: in
// between the query's end waits for the call or aborts it. Nothing may come between the two, in particular no
// look at a clock and nothing that waits; the time given has been read before.
func (a *Attempt) BeginWrite(w Writer, now time.Time) (wait time.Duration, hold HoldReason) {
	wait = a.Deadline.Sub(now)
	switch {
	case wait <= 0:
		return wait, HoldExpired
	case !a.StartBy.IsZero() && now.After(a.StartBy):
		return wait, HoldWindow
	case a.Query.ClientLeft != nil && a.Query.ClientLeft():
		return wait, HoldClientLeft
	case !a.Query.writes.enter(w):
		return wait, HoldFinished
	}
	if a.watch != nil {
		a.write = a.watch.Begin(func(ticks int) { a.writeHeld(w, ticks) })
	}
	return wait, NoHold
}

// EndWrite tells that the write which BeginWrite has allowed has returned.
func (a *Attempt) EndWrite(w Writer) {
	if a.watch != nil {
		a.watch.End(a.write)
	}
	a.Query.writes.leave(w)
}

// writeHeld aborts a write whose thread is held up, once it may not have begun any more, or has been held
// for so long that the time it tells its server is wrong.
func (a *Attempt) writeHeld(w Writer, ticks int) {
	now := time.Now()
	left := a.Query.ClientLeft != nil && a.Query.ClientLeft()
	windowOver := !a.StartBy.IsZero() && now.After(a.StartBy)
	if left || windowOver || now.After(a.Deadline) || ticks >= heldTicks {
		a.Query.writes.abortWriter(w)
	}
}

// beaten tells that an attempt of the same part that was sent later has been answered.
func (a *Attempt) beaten() bool {
	for _, later := range a.p.tries[a.number+1:] {
		if later.over && later.outcome == balance.OK {
			return true
		}
	}
	return false
}

// IsFirst tells that the attempt is the first of its part.
func (a *Attempt) IsFirst() bool { return a.number == 0 }
