package core

// Carrying out what the module says.

import (
	"container/heap"
	"math"
	"time"

	"lapislever/balance"
)

// carryOut does what the module said, in its order, but for sends: those of this Step to one server go
// together, in calls of as many parts as one may hold.
func (c *Core) carryOut() {
	for i := range c.actions {
		a := &c.actions[i]
		switch a.Kind {
		case balance.Send:
			c.send(a)
		case balance.Cancel:
			if p := c.parts[a.ID]; p != nil && a.Attempt >= 0 && a.Attempt < len(p.tries) {
				if t := p.tries[a.Attempt]; !t.over {
					o := balance.Cancelled
					if c.withdraw(t) {
						o = balance.NotSent
					}
					c.settle(t, o, nil, nil)
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
				c.final(q, f)
			}
		case balance.Refuse, balance.Fail:
			if q := c.queries[a.ID]; q != nil {
				f := FinalAnswer{Outcome: Failed}
				if a.Kind == balance.Refuse {
					f = FinalAnswer{Outcome: Refused, RetryAfter: time.Duration(a.After) * time.Microsecond}
				}
				c.logEnd(q, f.Outcome.String(), a.Text)
				c.final(q, f)
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
			c.logLater(func() { c.cfg.Log.Info("module", "note", text) })
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
	c.flush()
}

// withdraw gives an attempt up. One of this very Step that has not been handed over is just taken out.
func (c *Core) withdraw(a *Attempt) bool {
	for i, s := range c.sends {
		if s == a {
			c.sends = append(c.sends[:i], c.sends[i+1:]...)
			return true
		}
	}
	return a.Query.Backend.Cancel(a)
}

// send makes an attempt and keeps it until the Step's other actions are read.
func (c *Core) send(act *balance.Action) {
	p := c.parts[act.ID]
	if p == nil || !p.q.open || p.over {
		c.cfg.Log.Error("module sent a part that is over", "id", act.ID)
		return
	}
	after := min(max(act.After, 0), math.MaxInt32)
	a := &Attempt{Query: p.q, Shard: p.spec.Shard, Replica: act.Replica, p: p, number: len(p.tries), sent: c.now,
		watch: &c.watch}
	until := min(c.now+after, p.q.deadline)
	if after == 0 {
		until = p.q.deadline
	}
	a.Timeout = time.Duration(max(0, until-c.now)) * time.Microsecond
	a.Deadline = c.moment(until)
	if act.StartBy > 0 {
		a.StartBy = c.moment(act.StartBy)
	}
	p.tries = append(p.tries, a)
	p.live++
	if c.cfg.Admission != nil {
		var otherwise balance.Outcome
		if a.passed, otherwise = c.cfg.Admission.AllowSend(a); !a.passed {
			c.settle(a, otherwise, nil, nil)
			return
		}
	}
	heap.Push(&c.timers, timer{at: until, a: a})
	c.sends = append(c.sends, a)
}

// flush hands the sends of this Step to their backends.
func (c *Core) flush() {
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
				c.settle(a, balance.NoConnection, nil, nil)
			}
		}
	}
}
