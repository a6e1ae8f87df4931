package core

import (
	"time"

	"lapislever/balance"
)

// Simulated is a core without a goroutine, for simulators: the caller passes in events, provides the time
// and runs the Steps. The same events at the same times give the same actions.
type Simulated struct {
	core     *Core
	lastStep balance.Micros // time of the last Step; 0: none yet
}

// NewSimulated returns a core whose module starts at the given time.
func NewSimulated(cfg Config, begin time.Time) (*Simulated, error) {
	c, err := New(cfg)
	if err != nil {
		return nil, err
	}
	c.epoch, c.base = begin, begin.UnixMicro()
	return &Simulated{core: c}, nil
}

// Handle processes an event.
func (v *Simulated) Handle(e Event) { v.core.handle(e) }

// Submit submits a query. If the admission controller refuses it, it has already received its final
// answer.
func (v *Simulated) Submit(q *Query) {
	if v.core.admit(q) {
		v.core.handle(q)
	}
}

// NextStep returns when the next Step is due: immediately if there are events, but at least a tick after
// the last Step, or at the next timer or wake-up; 0: nothing to do.
func (v *Simulated) NextStep(now balance.Micros) balance.Micros {
	at := v.core.nextTime()
	if len(v.core.events) > 0 {
		at = now
	}
	if at == 0 {
		return 0
	}
	return max(at, v.lastStep+v.core.cfg.Settings.Tick, now)
}

// Step runs the module once.
func (v *Simulated) Step(now balance.Micros) {
	v.lastStep = now
	v.core.step(now)
}
