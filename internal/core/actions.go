package core

// Execution of the module's actions.

import (
	"container/heap"
	"math"
	"time"

	"lapislever/balance"
)

// execute executes the module's actions in order. Sends are collected, so that those of this Step to one
// server share calls of at most BatchMax parts.
func (c *Core) execute() {
	for i := range c.actions {
		a := &c.actions[i]
		switch a.Kind {
		case balance.Send:
			c.send(a)
		case balance.Cancel:
			if p := c.parts[a.ID]; p != nil && a.Attempt >= 0 && a.Attempt < len(p.attempts) {
				if t := p.attempts[a.Attempt]; !t.done {
					o := balance.Cancelled
					if c.cancelAttempt(t) {
						o = balance.NotSent
					}
					c.endAttempt(t, o, nil, nil)
				}
			}
		case balance.Answer:
			if q := c.queries[a.ID]; q != nil {
				f := FinalAnswer{Outcome: Answered, Complete: a.Complete}
				for _, p := range q.parts {
					if p.value != nil {
						f.Values = append(f.Values, *p.value)
					}
				}
				c.finish(q, f)
			}
		case balance.Refuse, balance.Fail:
			if q := c.queries[a.ID]; q != nil {
				f := FinalAnswer{Outcome: Failed}
				if a.Kind == balance.Refuse {
					f = FinalAnswer{Outcome: Refused, RetryAfter: time.Duration(a.After) * time.Microsecond}
				}
				c.logEnd(q, f.Outcome.String(), a.Text)
				c.finish(q, f)
			}
		case balance.Probe:
			sent := false
			for _, b := range c.cfg.Backends {
				sent = sent || b.Probe(a.Replica)
			}
			if !sent {
				c.events = append(c.events, balance.Event{Kind: balance.ProbeResult, Replica: a.Replica,
					Outcome: balance.NoConnection})
			}
		case balance.Wake:
			if at := c.now + max(1, a.After); c.wakeAt == 0 || at < c.wakeAt {
				c.wakeAt = at
			}
		case balance.Watch, balance.Unwatch:
			if c.cfg.Discovery != nil {
				c.cfg.Discovery.Watch(a.Kind == balance.Watch)
			}
		case balance.Fetch:
			if c.cfg.Discovery != nil {
				c.cfg.Discovery.Fetch()
			}
		case balance.Note:
			text := a.Text
			c.deferLog(func() { c.cfg.Log.Info("module", "note", text) })
		case balance.Tell:
			if c.cfg.Peers != nil {
				c.cfg.Peers.Tell(a.To, a.Text)
			}
		case balance.Close:
			for _, b := range c.cfg.Backends {
				b.CloseIdle(a.Replica)
			}
		}
	}
	c.flushSends()
}

// cancelAttempt cancels an attempt. An attempt of the current Step that has not been passed to its backend
// is only removed.
func (c *Core) cancelAttempt(a *Attempt) bool {
	for i, s := range c.sends {
		if s == a {
			c.sends = append(c.sends[:i], c.sends[i+1:]...)
			return true
		}
	}
	return a.Query.Backend.Cancel(a)
}

// send creates an attempt and holds it until the other actions of the Step are executed.
func (c *Core) send(act *balance.Action) {
	p := c.parts[act.ID]
	if p == nil || !p.query.open || p.answered {
		c.cfg.Log.Error("module sent a part that is already finished", "id", act.ID)
		return
	}
	timeout := min(max(act.After, 0), math.MaxInt32)
	a := &Attempt{Query: p.query, Shard: p.spec.Shard, Replica: act.Replica, part: p, number: len(p.attempts),
		sent: c.now, watchdog: &c.watchdog}
	deadline := min(c.now+timeout, p.query.deadline)
	if timeout == 0 {
		deadline = p.query.deadline
	}
	a.Timeout = time.Duration(max(0, deadline-c.now)) * time.Microsecond
	a.Deadline = c.toTime(deadline)
	if act.StartBy > 0 {
		a.StartBy = c.toTime(act.StartBy)
	}
	p.attempts = append(p.attempts, a)
	p.pending++
	if c.cfg.Admission != nil {
		var otherwise balance.Outcome
		if a.admitted, otherwise = c.cfg.Admission.AllowSend(a); !a.admitted {
			c.endAttempt(a, otherwise, nil, nil)
			return
		}
	}
	a.timer = &timer{at: deadline, attempt: a}
	heap.Push(&c.timers, a.timer)
	c.sends = append(c.sends, a)
}

// flushSends passes the sends of this Step to their backends.
func (c *Core) flushSends() {
	for len(c.sends) > 0 {
		first := c.sends[0]
		var call, rest []*Attempt
		for _, a := range c.sends {
			if len(call) < max(1, c.cfg.Settings.BatchMax) && a.Replica == first.Replica &&
				a.Query.Backend == first.Query.Backend {
				call = append(call, a)
			} else {
				rest = append(rest, a)
			}
		}
		c.sends = rest
		if !first.Query.Backend.Send(first.Replica, call) {
			for _, a := range call {
				c.endAttempt(a, balance.NoConnection, nil, nil)
			}
		}
	}
}
