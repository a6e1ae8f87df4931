package core

// The servers as discovery lists them, with what operators and evidence have put out laid over.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lapislever/balance"
	"lapislever/internal/verdict"
)

// Cordon puts a server out or back, and returns once that holds. It gives up waiting after the time given;
// the call may then be carried out all the same.
func (c *Core) Cordon(id balance.ReplicaID, out bool, within time.Duration) (known, inTime bool) {
	done := make(chan bool, 1)
	return ask(c, Cordon{Server: id, Cordoned: out, Done: done}, done, within)
}

// IsListed tells that a server is listed; false too where the core does not say so in time.
func (c *Core) IsListed(id balance.ReplicaID, within time.Duration) bool {
	done := make(chan bool, 1)
	known, _ := ask(c, knows{server: id, done: done}, done, within)
	return known
}

// ApplyVerdict puts a server out or back by the fleet's word, and returns once that holds here, or false once the core
// has ended. The server need not be listed: it may be yet.
func (c *Core) ApplyVerdict(id balance.ReplicaID, by CordonSource, out bool, order uint64) bool {
	for {
		done := make(chan bool, 1)
		if _, inTime := ask(c, Cordon{Server: id, Cordoned: out, Source: by, AllowUnlisted: true, Order: order, Done: done}, done,
			time.Second); inTime {
			return true
		}
		select {
		case <-c.done:
			return false
		default: // it is busy: once more, which does no more than once
		}
	}
}

// HandoverState is what operators have said so far. What was queued before has then been taken in.
func (c *Core) HandoverState(within time.Duration) (HandoverState, bool) {
	done := make(chan HandoverState, 1)
	return ask(c, cordons{done: done}, done, within)
}

// learn remembers what discovery lists, and lays over it what operators have said.
func (c *Core) learn(e *ListUpdate) {
	if !e.ReceivedAt.IsZero() {
		c.starts.take(e.Replicas, c.clock(e.ReceivedAt), wallMicros(e.ReceivedAt), e.Mode == balance.Cached)
	}
	if e.Mode == balance.Full || e.Mode == balance.Cached {
		clear(c.listed)
	}
	c.sawList = c.sawList || len(e.Replicas) > 0
	for _, r := range e.Replicas {
		if r.State == balance.Removed {
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
	if e.Mode != balance.Cached { // ids never come again, and would else pile up
		maps.DeleteFunc(c.since, func(id balance.ReplicaID, _ balance.Micros) bool {
			_, ok := c.listed[id]
			return !ok
		})
		c.starts.forget(c.listed)
	}
}

// overlay is what the module is told of a listed server.
func (c *Core) overlay(r balance.Replica) balance.Replica {
	r.Started = max(r.Started, c.since[r.ID])
	if c.isOut(r.ID) && r.State == balance.Ready {
		r.State = balance.Draining
	}
	return r
}

// tell has the module hear of servers. What is queued for one that must stop does not go out any more.
func (c *Core) tell(mode balance.ListMode, replicas []balance.Replica) {
	for i := range replicas {
		if r := &replicas[i]; r.State != balance.Ready {
			c.stopSends(r.ID)
		}
	}
	c.countAt = 0
	c.events = append(c.events, balance.Event{Kind: balance.List, Mode: mode, Replicas: replicas})
}

// isOut tells that somebody has put a server out.
func (c *Core) isOut(id balance.ReplicaID) bool {
	return c.byHand(id) || c.judged[uint64(id)]
}

// byHand tells that an operator has.
func (c *Core) byHand(id balance.ReplicaID) bool {
	for _, by := range c.outs[:ByFleetEvidence] {
		if _, out := by[id]; out {
			return true
		}
	}
	return false
}

// isJudged tells that evidence speaks against a server, whether or not it is out for that.
func (c *Core) isJudged(id balance.ReplicaID) bool {
	_, all := c.outs[ByFleetEvidence][id]
	_, here := c.outs[ByZoneEvidence][id]
	return all || here
}

// guard chooses anew which of the servers that are judged are out, and has the module hear of those for which
// that has changed, but for what it is about to hear of anyway.
func (c *Core) guard(but balance.ReplicaID) {
	if c.cfg.LimitCordons == nil || len(c.outs[ByFleetEvidence])+len(c.outs[ByZoneEvidence])+len(c.judged) == 0 {
		return
	}
	nodes := make([]verdict.ListedNode, 0, len(c.listed))
	for id, r := range c.listed {
		nodes = append(nodes, verdict.ListedNode{ID: uint64(id), Cell: r.Cell,
			Up: r.State == balance.Ready && !c.byHand(id)})
	}
	var sick []uint64
	for _, by := range c.outs[ByFleetEvidence:] {
		for id := range by {
			sick = append(sick, uint64(id))
		}
	}
	slices.SortFunc(sick, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(c.order[balance.ReplicaID(a)], c.order[balance.ReplicaID(b)]), cmp.Compare(a, b))
	})
	was := c.judged
	c.judged = c.cfg.LimitCordons(nodes, slices.Compact(sick))
	now := c.clock(time.Now())
	var told []balance.Replica
	for id, r := range c.listed {
		if out := c.judged[uint64(id)]; out != was[uint64(id)] {
			if !out {
				c.since[id] = now // nobody knows in what state it comes back
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

// cordon puts a server out or back. Called twice it does no more than once.
func (c *Core) cordon(e Cordon) {
	r, listed := c.listed[e.Server]
	by := c.outs[e.Source]
	since, out := by[e.Server]
	known := listed || out || e.AllowUnlisted
	if known && e.Cordoned != out {
		if e.At == 0 {
			e.At = c.clock(time.Now())
		}
		if e.Cordoned {
			by[e.Server] = e.At
		} else {
			delete(by, e.Server)
			// Else the list has told of the start, and knows better when that was, or it is the guard's to say.
			if r.Started <= since && e.Source < ByFleetEvidence {
				c.since[e.Server] = e.At
			}
		}
		if e.Source >= ByFleetEvidence {
			c.order[e.Server] = e.Order
			if !e.Cordoned && !c.isJudged(e.Server) {
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

// countList writes the list's figures, now and then and after each change.
func (c *Core) countList() {
	if c.now < c.countAt {
		return
	}
	c.countAt = c.now + countSpan.Microseconds()
	c.cfg.Counts.ListedServers.Store(int64(len(c.listed)))
	avoided := c.module.Avoided()
	for id := range c.listed {
		if c.isOut(id) {
			avoided++
		}
	}
	c.cfg.Counts.AvoidedServers.Store(int64(avoided))
}

func (c *Core) stopSends(to balance.ReplicaID) {
	for _, b := range c.cfg.Backends {
		for _, a := range b.CancelQueued(to) {
			c.settle(a, balance.NotSent, nil, nil)
		}
	}
}
