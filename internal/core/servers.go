package core

// The list of servers from discovery, combined with cordons by operators and by evidence.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lapislever/balance"
	"lapislever/internal/verdict"
)

// Cordon cordons or uncordons a server and returns when that is in force. It stops waiting after the given
// time; the request may still be carried out then.
func (c *Core) Cordon(id balance.ReplicaID, out bool, within time.Duration) (known, inTime bool) {
	done := make(chan bool, 1)
	return ask(c, Cordon{Server: id, Out: out, Done: done}, done, within)
}

// IsListed reports whether a server is listed. It returns false if the core does not answer in time.
func (c *Core) Knows(id balance.ReplicaID, within time.Duration) bool {
	done := make(chan bool, 1)
	known, _ := ask(c, knows{server: id, done: done}, done, within)
	return known
}

// ApplyVerdict cordons or uncordons a server by a fleet-wide decision. It returns true when that is in
// force here, and false if the core has stopped. The server need not be listed: it may be listed later.
func (c *Core) Bar(id balance.ReplicaID, by Author, out bool, order uint64) bool {
	for {
		done := make(chan bool, 1)
		if _, inTime := ask(c, Cordon{Server: id, Out: out, By: by, Sure: true, Order: order, Done: done}, done,
			time.Second); inTime {
			return true
		}
		select {
		case <-c.done:
			return false
		default: // the core is busy: try again, as the request is idempotent
		}
	}
}

// HandoverState returns the cordons and the state of the module. Events queued before the call have been
// processed by then.
func (c *Core) Cordoned(within time.Duration) (Inherited, bool) {
	done := make(chan Inherited, 1)
	return ask(c, cordons{done: done}, done, within)
}

// applyList stores the list from discovery, and passes it to the module with the cordons applied.
func (c *Core) learn(e *Listed) {
	if !e.Heard.IsZero() {
		c.starts.take(e.Replicas, c.clock(e.Heard), wallMicros(e.Heard), e.Mode == balance.Cached)
	}
	if e.Mode == balance.Full || e.Mode == balance.Cached {
		clear(c.listed)
	}
	c.sawList = c.sawList || len(e.Replicas) > 0
	for _, r := range e.Replicas {
		if r.State == balance.Gone {
			delete(c.listed, r.ID)
		} else {
			c.listed[r.ID] = r
		}
	}
	c.guard(0)
	replicas := make([]balance.Replica, 0, len(e.Replicas))
	for _, r := range e.Replicas {
		replicas = append(replicas, c.overlay(r))
	}
	e.Replicas = replicas
	if e.Mode != balance.Cached { // IDs of removed servers are not reused and would accumulate
		maps.DeleteFunc(c.since, func(id balance.ReplicaID, _ balance.Micros) bool {
			_, ok := c.listed[id]
			return !ok
		})
		c.starts.forget(c.listed)
	}
}

// applyCordons returns the entry of a listed server as it is passed to the module.
func (c *Core) overlay(r balance.Replica) balance.Replica {
	r.Started = max(r.Started, c.since[r.ID])
	if c.isOut(r.ID) && r.State == balance.Ready {
		r.State = balance.Draining
	}
	return r
}

// notifyModule passes list entries to the module. Queued attempts for servers that are not ready are
// cancelled.
func (c *Core) tell(mode balance.ListMode, replicas []balance.Replica) {
	for i := range replicas {
		if r := &replicas[i]; r.State != balance.Ready {
			c.stopSends(r.ID)
		}
	}
	c.countAt = 0
	c.events = append(c.events, balance.Event{Kind: balance.List, Mode: mode, Replicas: replicas})
}

// isCordoned reports whether a server is cordoned by any source.
func (c *Core) isOut(id balance.ReplicaID) bool {
	return c.byHand(id) || c.judged[uint64(id)]
}

// cordonedByOperator reports whether an operator has cordoned a server.
func (c *Core) byHand(id balance.ReplicaID) bool {
	for _, by := range c.outs[:Judged] {
		if _, out := by[id]; out {
			return true
		}
	}
	return false
}

// hasEvidence reports whether there is a verdict by evidence against a server, whether or not it is
// cordoned for that.
func (c *Core) isJudged(id balance.ReplicaID) bool {
	_, all := c.outs[Judged][id]
	_, here := c.outs[JudgedHere][id]
	return all || here
}

// limitCordons selects anew which of the servers with evidence against them are cordoned, and passes
// changes to the module, except for the server given: the caller is about to do that.
func (c *Core) guard(but balance.ReplicaID) {
	if c.cfg.Guard == nil || len(c.outs[Judged])+len(c.outs[JudgedHere])+len(c.judged) == 0 {
		return
	}
	nodes := make([]verdict.Holder, 0, len(c.listed))
	for id, r := range c.listed {
		nodes = append(nodes, verdict.Holder{ID: uint64(id), Cell: r.Cell,
			Up: r.State == balance.Ready && !c.byHand(id)})
	}
	var sick []uint64
	for _, by := range c.outs[Judged:] {
		for id := range by {
			sick = append(sick, uint64(id))
		}
	}
	slices.SortFunc(sick, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(c.order[balance.ReplicaID(a)], c.order[balance.ReplicaID(b)]), cmp.Compare(a, b))
	})
	was := c.judged
	c.judged = c.cfg.Guard(nodes, slices.Compact(sick))
	now := c.clock(time.Now())
	var told []balance.Replica
	for id, r := range c.listed {
		if out := c.judged[uint64(id)]; out != was[uint64(id)] {
			if !out {
				c.since[id] = now // its state on return is unknown
			}
			if id != but {
				told = append(told, c.overlay(r))
			}
		}
	}
	if len(told) > 0 {
		c.tell(balance.Local, told)
	}
}

// cordon cordons or uncordons a server. It is idempotent.
func (c *Core) cordon(e Cordon) {
	r, listed := c.listed[e.Server]
	by := c.outs[e.By]
	since, out := by[e.Server]
	known := listed || out || e.Sure
	if known && e.Out != out {
		if e.At == 0 {
			e.At = c.clock(time.Now())
		}
		if e.Out {
			by[e.Server] = e.At
		} else {
			delete(by, e.Server)
			// Otherwise the list has reported a start since, which is more accurate, or limitCordons decides.
			if r.Started <= since && e.By < Judged {
				c.since[e.Server] = e.At
			}
		}
		if e.By >= Judged {
			c.order[e.Server] = e.Order
			if !e.Out && !c.isJudged(e.Server) {
				delete(c.order, e.Server)
			}
		}
		c.guard(e.Server)
		if listed {
			c.tell(balance.Local, []balance.Replica{c.overlay(r)})
		}
	}
	if e.Done != nil {
		e.Done <- known
	}
}

// updateListCounts updates the counts of listed and avoided servers, at intervals and after each change.
func (c *Core) countList() {
	if c.now < c.countAt {
		return
	}
	c.countAt = c.now + countSpan.Microseconds()
	c.cfg.Counts.Listed.Store(int64(len(c.listed)))
	avoided := c.module.AvoidedCount()
	for id := range c.listed {
		if c.isOut(id) {
			avoided++
		}
	}
	c.cfg.Counts.Avoided.Store(int64(avoided))
}

func (c *Core) stopSends(to balance.ReplicaID) {
	for _, b := range c.cfg.Backends {
		for _, a := range b.Stop(to) {
			c.settle(a, balance.NotSent, nil, nil)
		}
	}
}
