package core

import (
	"time"

	"lapislever/balance"
)

// Attempt is one send of a part. Backends keep the pointer and hand it back with the outcome.
type Attempt struct {
	Query   *Query
	Shard   int
	Replica balance.ReplicaID
	Timeout time.Duration // how long the core will wait
	Until   time.Time     // and up to when
	Before  time.Time     // it must not begin later, as its key is forgotten then; zero: it may
	Ticket  any           // the gate's

	passed bool // by the gate
	p      *part
	number int
	sent   balance.Micros
	over   bool
	// Of one that is over:
	ended   balance.Micros
	outcome balance.Outcome
}

// Hold is why an attempt may not begin.
type Hold string

// The reasons why an attempt may not begin.
const (
	MayBegin     Hold = ""
	HoldOverdue  Hold = "its time is over"
	HoldWindow   Hold = "the window for repeats of its key is over"
	HoldLeft     Hold = "its client has left"
	HoldAnswered Hold = "its request is over"
)

// BeginWrite asks whether the attempt's first byte may be written now, and how long the core will wait for
// the attempt from there. Where it may, the caller makes the system call at once and then calls EndWrite: in
// between the query's end waits for the call or aborts it. Nothing may come between the two, in particular no
// look at a clock and nothing that waits; the time given has been read before.
func (a *Attempt) BeginWrite(w Writer, now time.Time) (wait time.Duration, hold Hold) {
	wait = a.Until.Sub(now)
	switch {
	case wait <= 0:
		return wait, HoldOverdue
	case !a.Before.IsZero() && now.After(a.Before):
		return wait, HoldWindow
	case a.Query.ClientLeft != nil && a.Query.ClientLeft():
		return wait, HoldLeft
	case !a.Query.writes.enter(w):
		return wait, HoldAnswered
	}
	return wait, MayBegin
}

// EndWrite tells that the write which BeginWrite has allowed has returned.
func (a *Attempt) EndWrite(w Writer) { a.Query.writes.leave(w) }

// First tells that the attempt is the first of its part.
func (a *Attempt) First() bool { return a.number == 0 }
