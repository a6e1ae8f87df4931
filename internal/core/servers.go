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
func (c *Core) Cordon(id balance.ReplicaID, cordoned bool, timeout time.Duration) (known, inTime bool) {
	done := make(chan bool, 1)
	return request(c, Cordon{Server: id, Cordoned: cordoned, Done: done}, done, timeout)
}

// IsListed reports whether a server is listed. It returns false if the core does not answer in time.
func (c *Core) IsListed(id balance.ReplicaID, timeout time.Duration) bool {
	done := make(chan bool, 1)
	known, _ := request(c, isListedRequest{server: id, done: done}, done, timeout)
	return known
}

// ApplyVerdict cordons or uncordons a server by a fleet-wide decision. It returns true when that is in
// force here, and false if the core has stopped. The server need not be listed: it may be listed later.
func (c *Core) ApplyVerdict(id balance.ReplicaID, source CordonSource, cordoned bool, order uint64) bool {
	for {
		done := make(chan bool, 1)
		if _, inTime := request(c, Cordon{Server: id, Cordoned: cordoned, Source: source, AllowUnlisted: true,
			Order: order, Done: done}, done, time.Second); inTime {
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
func (c *Core) HandoverState(timeout time.Duration) (HandoverState, bool) {
	done := make(chan HandoverState, 1)
	return request(c, handoverRequest{done: done}, done, timeout)
}

// applyList stores the list from discovery, and passes it to the module with the cordons applied.
func (c *Core) applyList(e *ListUpdate) {
	if !e.ReceivedAt.IsZero() {
		c.starts.translate(e.Replicas, c.toMicros(e.ReceivedAt), wallMicros(e.ReceivedAt), e.Mode == balance.Cached)
	}
	if e.Mode == balance.Full || e.Mode == balance.Cached {
		clear(c.servers)
	}
	c.listSeen = c.listSeen || len(e.Replicas) > 0
	for _, r := range e.Replicas {
		if r.State == balance.Removed {
			delete(c.servers, r.ID)
		} else {
			c.servers[r.ID] = r
		}
	}
	c.limitCordons(0)
	replicas := make([]balance.Replica, 0, len(e.Replicas))
	for _, r := range e.Replicas {
		replicas = append(replicas, c.applyCordons(r))
	}
	e.Replicas = replicas
	if e.Mode != balance.Cached { // IDs of removed servers are not reused and would accumulate
		maps.DeleteFunc(c.restoredAt, func(id balance.ReplicaID, _ balance.Micros) bool {
			_, ok := c.servers[id]
			return !ok
		})
		c.starts.prune(c.servers)
	}
}

// applyCordons returns the entry of a listed server as it is passed to the module.
func (c *Core) applyCordons(r balance.Replica) balance.Replica {
	r.Started = max(r.Started, c.restoredAt[r.ID])
	if c.isCordoned(r.ID) && r.State == balance.Ready {
		r.State = balance.Draining
	}
	return r
}

// notifyModule passes list entries to the module. Queued attempts for servers that are not ready are
// cancelled.
func (c *Core) notifyModule(mode balance.ListMode, replicas []balance.Replica) {
	for i := range replicas {
		if r := &replicas[i]; r.State != balance.Ready {
			c.cancelQueued(r.ID)
		}
	}
	c.nextCount = 0
	c.events = append(c.events, balance.Event{Kind: balance.List, Mode: mode, Replicas: replicas})
}

// isCordoned reports whether a server is cordoned by any source.
func (c *Core) isCordoned(id balance.ReplicaID) bool {
	return c.cordonedByOperator(id) || c.evidenceCordons[uint64(id)]
}

// cordonedByOperator reports whether an operator has cordoned a server.
func (c *Core) cordonedByOperator(id balance.ReplicaID) bool {
	for _, cordons := range c.cordons[:ByFleetEvidence] {
		if _, cordoned := cordons[id]; cordoned {
			return true
		}
	}
	return false
}

// hasEvidence reports whether there is a verdict by evidence against a server, whether or not it is
// cordoned for that.
func (c *Core) hasEvidence(id balance.ReplicaID) bool {
	_, fleetWide := c.cordons[ByFleetEvidence][id]
	_, inZone := c.cordons[ByZoneEvidence][id]
	return fleetWide || inZone
}

// limitCordons selects anew which of the servers with evidence against them are cordoned, and passes
// changes to the module, except for the server given: the caller is about to do that.
func (c *Core) limitCordons(except balance.ReplicaID) {
	if c.cfg.LimitCordons == nil ||
		len(c.cordons[ByFleetEvidence])+len(c.cordons[ByZoneEvidence])+len(c.evidenceCordons) == 0 {
		return
	}
	nodes := make([]verdict.ListedNode, 0, len(c.servers))
	for id, r := range c.servers {
		nodes = append(nodes, verdict.ListedNode{ID: uint64(id), Cell: r.Cell,
			Up: r.State == balance.Ready && !c.cordonedByOperator(id)})
	}
	var sick []uint64
	for _, cordons := range c.cordons[ByFleetEvidence:] {
		for id := range cordons {
			sick = append(sick, uint64(id))
		}
	}
	slices.SortFunc(sick, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(c.verdictOrder[balance.ReplicaID(a)], c.verdictOrder[balance.ReplicaID(b)]),
			cmp.Compare(a, b))
	})
	before := c.evidenceCordons
	c.evidenceCordons = c.cfg.LimitCordons(nodes, slices.Compact(sick))
	now := c.toMicros(time.Now())
	var changed []balance.Replica
	for id, r := range c.servers {
		if cordoned := c.evidenceCordons[uint64(id)]; cordoned != before[uint64(id)] {
			if !cordoned {
				c.restoredAt[id] = now // its state on return is unknown
			}
			if id != except {
				changed = append(changed, c.applyCordons(r))
			}
		}
	}
	if len(changed) > 0 {
		c.notifyModule(balance.Local, changed)
	}
}

// cordon cordons or uncordons a server. It is idempotent.
func (c *Core) cordon(e Cordon) {
	r, listed := c.servers[e.Server]
	cordons := c.cordons[e.Source]
	since, cordoned := cordons[e.Server]
	known := listed || cordoned || e.AllowUnlisted
	if known && e.Cordoned != cordoned {
		if e.At == 0 {
			e.At = c.toMicros(time.Now())
		}
		if e.Cordoned {
			cordons[e.Server] = e.At
		} else {
			delete(cordons, e.Server)
			// Otherwise the list has reported a start since, which is more accurate, or limitCordons decides.
			if r.Started <= since && e.Source < ByFleetEvidence {
				c.restoredAt[e.Server] = e.At
			}
		}
		if e.Source >= ByFleetEvidence {
			c.verdictOrder[e.Server] = e.Order
			if !e.Cordoned && !c.hasEvidence(e.Server) {
				delete(c.verdictOrder, e.Server)
			}
		}
		c.limitCordons(e.Server)
		if listed {
			c.notifyModule(balance.Local, []balance.Replica{c.applyCordons(r)})
		}
	}
	if e.Done != nil {
		e.Done <- known
	}
}

// updateListCounts updates the counts of listed and avoided servers, at intervals and after each change.
func (c *Core) updateListCounts() {
	if c.now < c.nextCount {
		return
	}
	c.nextCount = c.now + countInterval.Microseconds()
	c.cfg.Counts.ListedServers.Store(int64(len(c.servers)))
	avoided := c.module.AvoidedCount()
	for id := range c.servers {
		if c.isCordoned(id) {
			avoided++
		}
	}
	c.cfg.Counts.AvoidedServers.Store(int64(avoided))
}

func (c *Core) cancelQueued(to balance.ReplicaID) {
	for _, b := range c.cfg.Backends {
		for _, a := range b.CancelQueued(to) {
			c.endAttempt(a, balance.NotSent, nil, nil)
		}
	}
}
