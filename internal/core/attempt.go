package core

import (
	"time"

	"lapislever/balance"
	"lapislever/internal/watchdog"
)

// Attempt is one send of a part. Backends keep the pointer and return it with the outcome.
type Attempt struct {
	Query    *Query
	Shard    int
	Replica  balance.ReplicaID
	Timeout  time.Duration // how long the core waits for it
	Deadline time.Time     // when the core stops waiting
	StartBy  time.Time     // latest time at which it may begin, as its key expires then; zero: no limit
	Ticket   any           // belongs to the admission controller

	watchdog  *watchdog.Watchdog // watches its writes; nil: none
	writeCall *watchdog.Call     // the write under way; belongs to the writer
	admitted  bool               // allowed by the admission controller
	part      *part
	number    int
	sent      balance.Micros
	timer     *timer // nil: the attempt was not sent
	done      bool
	// Set when done:
	endedAt balance.Micros
	outcome balance.Outcome
}

// maxHeldTicks is the number of full ticks of the watchdog for which a write may be held up.
const maxHeldTicks = 4

// HoldReason states why an attempt may not begin.
type HoldReason string

// The reasons why an attempt may not begin. The texts are written to the log.
const (
	NoHold         HoldReason = ""
	HoldExpired    HoldReason = "its time is over"
	HoldWindow     HoldReason = "the window for repeats of its key is over"
	HoldClientLeft HoldReason = "its client has left"
	HoldFinished   HoldReason = "its request is over"
	HoldDraining   HoldReason = "its server drains"
)

// BeginWrite reports whether the attempt's first byte may be written now, and how long the core will wait
// for the attempt from then on. If it may, the caller must make the system call immediately and then call
// EndWrite. In between, the end of the query waits for the write or aborts it. Nothing may happen between
// BeginWrite and the system call, in particular no reading of a clock and nothing that blocks; now has
// been read before.
func (a *Attempt) BeginWrite(w Writer, now time.Time) (wait time.Duration, hold HoldReason) {
	wait = a.Deadline.Sub(now)
	switch {
	case wait <= 0:
		return wait, HoldExpired
	case !a.StartBy.IsZero() && now.After(a.StartBy):
		return wait, HoldWindow
	case !a.Query.writes.enter(w):
		return wait, HoldFinished
	}
	if a.watchdog != nil {
		a.writeCall = a.watchdog.Begin(func(ticks int) { a.onWriteHeld(w, ticks) })
	}
	// The look at the client's socket is a system call too, in which the thread may be held up: it is watched.
	if a.clientLeft() {
		a.EndWrite(w)
		return wait, HoldClientLeft
	}
	return wait, NoHold
}

// clientLeft asks whether the client has closed its connection.
func (a *Attempt) clientLeft() bool { return a.Query.ClientLeft != nil && a.Query.ClientLeft() }

// EndWrite reports that the write permitted by BeginWrite has returned.
func (a *Attempt) EndWrite(w Writer) {
	if a.watchdog != nil {
		a.watchdog.End(a.writeCall)
	}
	a.Query.writes.leave(w)
}

// onWriteHeld aborts a write whose thread is held up, if the attempt may no longer begin, or if the write
// has been held for so long that the time-out it announces to the server is wrong.
func (a *Attempt) onWriteHeld(w Writer, ticks int) {
	now := time.Now()
	windowOver := !a.StartBy.IsZero() && now.After(a.StartBy)
	if windowOver || now.After(a.Deadline) || ticks >= maxHeldTicks || a.clientLeft() {
		a.Query.writes.abortWriter(w)
	}
}

// superseded reports whether a later attempt of the same part has been answered.
func (a *Attempt) superseded() bool {
	for _, later := range a.part.attempts[a.number+1:] {
		if later.done && later.outcome == balance.OK {
			return true
		}
	}
	return false
}

// IsFirst reports whether this is the first attempt of its part.
func (a *Attempt) IsFirst() bool { return a.number == 0 }
