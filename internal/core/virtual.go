package core

import (
	"time"

	"lapislever/balance"
)

// Simulated is a core without its goroutine, for emulators: who drives it hands in events, says what time it is
// and steps it. Given the same events at the same times it does the same.
type Simulated struct {
	c    *Core
	last balance.Micros // of the last Step; 0: none yet
}

// NewSimulated returns a core whose module starts at the moment given.
func NewSimulated(cfg Config, begin time.Time) (*Simulated, error) {
	c, err := New(cfg)
	if err != nil {
		return nil, err
	}
	c.epoch, c.base = begin, begin.UnixMicro()
	return &Simulated{c: c}, nil
}

// Handle takes in an event.
func (v *Simulated) Handle(e Event) { v.c.take(e) }

// Submit takes in a query, if the gate lets it in; else that has had its final answer.
func (v *Simulated) Submit(q *Query) {
	if v.c.admit(q) {
		v.c.take(q)
	}
}

// NextStep is when the next Step is: at once where there are events, but a tick after the last one, or when
// something asked for it; 0: there is nothing to do.
func (v *Simulated) NextStep(now balance.Micros) balance.Micros {
	at := v.c.nextTime()
	if len(v.c.events) > 0 {
		at = now
	}
	if at == 0 {
		return 0
	}
	return max(at, v.last+v.c.cfg.Settings.Tick, now)
}

// Step runs the module once.
func (v *Simulated) Step(now balance.Micros) {
	v.last = now
	v.c.step(now)
}
