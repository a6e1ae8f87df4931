package core

// Names that a new query may not bear. A name identifies the parts of a query at their servers; what was
// sent for a query that has ended without an answer may still run there.

import (
	"lapislever/balance"
)

const (
	// maxHeldNames bounds the names that are held. Beyond it the one held for longest is forgotten.
	maxHeldNames = 8192
	// maxNameHold bounds for how long a name is held where a class has no shorter deadline, in microseconds.
	maxNameHold = 60_000_000
)

// heldName is a name that is taken until a time.
type heldName struct {
	name  string
	until balance.Micros
}

// heldNames are the names that are held, each until a time of its own.
type heldNames struct {
	byName map[string]*heldName
	order  []*heldName // as they were held
}

// holds reports whether a name is held.
func (h *heldNames) holds(name string, now balance.Micros) bool {
	x := h.byName[name]
	return x != nil && now < x.until
}

// hold holds a name until a time, or for longer if it is held for longer already.
func (h *heldNames) hold(name string, until, now balance.Micros) {
	if x := h.byName[name]; x != nil && x.until >= until {
		return
	}
	if h.byName == nil {
		h.byName = map[string]*heldName{}
	}
	x := &heldName{name, until}
	h.byName[name] = x
	h.order = append(h.order, x)
	h.expire(now)
}

// release has a name no longer held.
func (h *heldNames) release(name string) { delete(h.byName, name) }

// expire forgets names from the oldest on, as far as their time is over or there are too many.
func (h *heldNames) expire(now balance.Micros) {
	for len(h.order) > 0 {
		first := h.order[0]
		current := h.byName[first.name] == first
		if current && first.until > now && len(h.order) <= maxHeldNames {
			return
		}
		if current {
			delete(h.byName, first.name)
		}
		h.order[0] = nil
		h.order = h.order[1:]
	}
}

// nameTaken reports whether a query of this name is open, or has ended and may still run.
func (c *Core) nameTaken(name string, now balance.Micros) bool {
	return c.byName[name] != nil || c.held.holds(name, now)
}

// nameHold returns until when a query's name is taken: as long as a client of its class may wait for it.
func (c *Core) nameHold(q *Query, openedAt balance.Micros) balance.Micros {
	wait := balance.Micros(0)
	switch {
	case q.Rules != nil:
		wait = q.Rules.Deadline
	case q.Class < len(c.cfg.Settings.Classes):
		wait = c.cfg.Settings.Classes[q.Class].Deadline
	}
	return openedAt + min(max(wait, c.toMicros(q.Deadline)-openedAt), maxNameHold)
}

// holdName holds the name of a query that ends without an answer, if an attempt of it may run or have run.
func (c *Core) holdName(q *Query) {
	for _, p := range q.parts {
		for _, a := range p.attempts {
			if !a.done || mayHaveRun(a.outcome) {
				until := c.nameHold(q, q.openedAt)
				c.held.hold(q.Name, until, c.now)
				if c.cfg.Names != nil && until > c.now {
					c.cfg.Names.NameHeld(q.Name, toDuration(until-c.now))
				}
				return
			}
		}
	}
}

// mayHaveRun reports whether an attempt with this outcome may have run at its server.
func mayHaveRun(o balance.Outcome) bool {
	return o != balance.Busy && o != balance.NoConnection && o != balance.NotSent
}
