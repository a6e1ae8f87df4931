package platform

// A coordinator's part in the fleet: when it joins, hands its place over, and leaves. What a member is and
// who is alive others decide: internal/membership.

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/fleet"
	lnet "lapislever/internal/net"
	"lapislever/internal/overload"
	"lapislever/internal/verdict"
)

const (
	// joinSlack is how many periods a start waits at most to be let into the fleet: for one that nobody
	// answers, and for another process of its name that does not answer either, and some.
	joinSlack = 16
	// leavePeriods is how long the end waits at most for others to hear of it.
	leavePeriods = 3
	// toldPeriods is how long a start waits at most to be told the fleet's verdicts.
	toldPeriods = 12
	toldLook    = 5 * time.Millisecond
	bindEvery   = 200 * time.Millisecond
)

func (c *Config) fleetSockets() int {
	if c.Fleet == nil {
		return 0
	}
	return fleet.MaxSockets
}

// fleetCarriesPeers tells that the fleet's socket is the one for other coordinators, and carries what the
// module has to say to them.
func (c *Config) fleetCarriesPeers() bool {
	return c.Fleet != nil && c.Fleet.Fleet.Listen == c.PeerListen
}

// joinFleet opens the fleet's socket. One that takes over from another process gets that one's, and begins
// once that one stops: see takeFleetOver.
func (k *Coordinator) joinFleet(h *inheritance, beside bool) (err error) {
	if h != nil && h.fleet != nil {
		k.fleet, err = fleet.Open(k.cfg.Fleet, k.log, h.fleet)
		return err
	}
	for k.fleet, err = fleet.Open(k.cfg.Fleet, k.log, nil); err != nil; {
		if !beside {
			return err
		}
		// The process beside this one has the socket and could not hand it over: it ends sooner or later.
		k.log.Warn("waiting for the fleet's socket", "err", err)
		time.Sleep(bindEvery)
		k.fleet, err = fleet.Open(k.cfg.Fleet, k.log, nil)
	}
	return nil
}

// enterFleet begins to take part, unless this process takes over from another, and waits until this member is
// let in and told what the fleet holds, or goes on alone. The core has to run.
func (k *Coordinator) enterFleet() error {
	if k.fleet == nil || k.upgrade.place != nil {
		return nil
	}
	if err := k.fleet.Start(nil, k.fleetHost()); err != nil {
		return err
	}
	return k.awaitFleet()
}

// carryVerdict carries out here what the whole fleet holds.
func (k *Coordinator) carryVerdict(c verdict.Change) bool {
	if c.Verdict.Kind == verdict.Prefix {
		k.carryPrefix(c)
		return true
	}
	name, _ := c.Verdict.Node()
	id := core.ServerID(name)
	by := core.ByFleetOperator
	switch c.Verdict.Kind {
	case verdict.SickNode:
		by = core.ByFleetEvidence
	case verdict.SickPath:
		by = core.ByZoneEvidence
	}
	if !k.core.ApplyVerdict(id, by, c.InForce, c.Verdict.Stamp) {
		return false
	}
	if by == core.ByFleetOperator { // what is judged the next process hears with the table
		k.upgrade.pass(id, by, c.InForce)
	}
	return true
}

// fleetHost is this process as the fleet's part needs it.
func (k *Coordinator) fleetHost() fleet.Host {
	return fleet.Host{Apply: k.carryVerdict, NodeName: k.nodeName,
		NodeCount: func() int { return int(k.core.Counts().ListedServers.Load()) }}
}

// nodeName is the name of a data node, on whichever way it is reached.
func (k *Coordinator) nodeName(node uint64) (string, bool) {
	if name, ok := k.nodes.Name(balance.ReplicaID(node)); ok {
		return name, true
	}
	for _, x := range k.extras {
		if n, ok := x.(interface {
			ServerName(balance.ReplicaID) (string, bool)
		}); ok {
			if name, ok := n.ServerName(balance.ReplicaID(node)); ok {
				return name, true
			}
		}
	}
	return "", false
}

// witness has the fleet hear how attempts end, as far as that says something of the node.
func (k *Coordinator) witness(s core.AttemptResult) {
	end := verdict.Failed
	switch {
	case s.Outcome == balance.OK:
		end = verdict.Served
	case s.Outcome == balance.TimedOut:
		end = verdict.TimedOut
	case s.Superseded:
		end = verdict.HedgeWon
	case s.Outcome == balance.Cancelled:
		end = verdict.Cancelled
	case s.Outcome == balance.Busy, s.Outcome == balance.NotSent:
		return
	}
	k.fleet.ObserveAttempt(uint64(s.Replica), s.Class, end, s.Elapsed)
}

// judge has evidence against data nodes count, where the fleet's file says so.
func (k *Coordinator) judge(conf *core.Config) {
	if !k.cfg.Fleet.EvidenceEnabled() {
		return
	}
	m := &k.cfg.Module
	conf.OnAttemptEnd = k.witness
	conf.LimitCordons = func(listed []verdict.ListedNode, sick []uint64) map[uint64]bool {
		return verdict.LimitEjections(listed, sick, m.Cells, m.Reach, k.cfg.Fleet.EvidenceShare())
	}
}

// carryPrefix tells the gates, where there are any, of a word on a prefix.
func (k *Coordinator) carryPrefix(c verdict.Change) {
	p, err := netip.ParsePrefix(c.Verdict.What)
	if err != nil {
		return // from a member of another version: nothing to carry out
	}
	for _, x := range k.extras {
		if g, ok := x.(interface {
			Gate() *lnet.AdmissionController
		}); ok && g.Gate() != nil {
			if c.InForce {
				g.Gate().BanOrPin(p, c.Verdict.Word == verdict.Pin, time.Duration(c.Remaining)*time.Microsecond)
			} else {
				g.Gate().Lift(p)
			}
		}
	}
}

// awaitFleet waits until this member is one.
func (k *Coordinator) awaitFleet() error {
	late := time.NewTimer(joinSlack * k.cfg.Fleet.Period())
	defer late.Stop()
	select {
	case <-k.fleet.Joined():
	case err := <-k.fleet.NameTaken():
		k.fleet.Close()
		return err
	case <-late.C:
		k.log.Warn("not let into the fleet in time: serving all the same")
		return nil
	}
	for end := time.Now().Add(toldPeriods * k.cfg.Fleet.Period()); !k.fleet.VerdictsSynced(); time.Sleep(toldLook) {
		if time.Now().After(end) {
			k.log.Warn("nobody has told the fleet's verdicts in time: serving without what they may be")
			break
		}
	}
	return nil
}

// hearFleet hands the module what other members' modules have to say, and watches for a process that bears
// this one's name and is older.
func (k *Coordinator) hearFleet() {
	for {
		select {
		case h := <-k.fleet.Messages():
			k.core.Post(core.PeerMessage{Data: h.Data})
		case err := <-k.fleet.NameTaken():
			k.failed <- fmt.Errorf("refusing to serve: %w", err)
			return
		case <-k.stop:
			return
		}
	}
}

// fleetGate asks the fleet's level and limits.
type fleetGate struct {
	k      *Coordinator
	ranked *atomic.Pointer[ranked]
}

// ranked are the ranks of a configuration's classes.
type ranked struct {
	conf  *Config
	ranks []int
}

// rank is the place of a class by worth.
func (l fleetGate) rank(conf *Config, class int) int {
	r := l.ranked.Load()
	if r == nil || r.conf != conf {
		worth := make([]float64, len(conf.Module.Classes))
		for i := range worth {
			worth[i] = conf.Module.Classes[i].Worth
		}
		r = &ranked{conf, overload.RankByWorth(worth)}
		l.ranked.Store(r)
	}
	return r.ranks[class]
}

// Admit asks whether a query may be let in.
func (l fleetGate) Admit(q *core.Query) (bool, time.Duration, string) {
	conf := l.k.front.conf.Load()
	class, who := conf.Classes[q.Class], q.Name
	if q.Key != "" {
		who = q.Key // the same for all tries of it
	}
	if ok, after := l.k.fleet.Admit(l.rank(conf, q.Class), class, q.Caller, who, q.Repeat); !ok {
		return false, after, "the fleet is overloaded"
	}
	t, ok, after, limit := l.k.fleet.AllowRequest(class, q.Caller, q.Deadline)
	if !ok {
		return false, after, "limit " + limit + " of the fleet"
	}
	if !t.Empty() {
		q.Ticket = t
	}
	return true, 0, ""
}

// QueryEnded gives back what a query held, and tells how it ended.
func (l fleetGate) QueryEnded(q *core.Query, e core.QueryOutcome) {
	l.k.fleet.RequestFinished(e == core.Answered)
	if t, ok := q.Ticket.(fleet.Ticket); ok {
		q.Ticket = nil
		l.k.fleet.ReleaseTicket(t)
	}
}

// AllowSend asks whether an attempt may be sent.
func (l fleetGate) AllowSend(a *core.Attempt) (bool, balance.Outcome) {
	if !l.k.fleet.AllowByRetryBudget(a.IsFirst()) {
		return false, balance.NotSent
	}
	if !l.k.fleet.HasServerLimits() {
		return true, 0
	}
	t, ok := l.k.fleet.AllowAttempt(uint64(a.Replica), time.Now().Add(a.Timeout))
	if !t.Empty() {
		a.Ticket = t
	}
	return ok, balance.Busy // to the module the node is full
}

// AttemptEnded gives back what an attempt held.
func (l fleetGate) AttemptEnded(a *core.Attempt) {
	if t, ok := a.Ticket.(fleet.Ticket); ok {
		a.Ticket = nil
		l.k.fleet.ReleaseTicket(t)
	}
}

// Failed hears once why this process must not go on serving.
func (k *Coordinator) Failed() <-chan error { return k.failed }

// takeFleetOver goes on as the member that the old process was, once that one has said where it stands. If it
// does not, this process joins as a restarted one: at the same address nobody else can be.
func (k *Coordinator) takeFleetOver() {
	if k.fleet == nil || k.upgrade.place == nil {
		return
	}
	var from *fleet.Handover
	select {
	case from = <-k.upgrade.place:
	case <-time.After(linkWait):
		k.log.Warn("the old process has not said where it stands in the fleet: joining anew")
	case <-k.stop:
		return
	}
	if err := k.fleet.Start(from, k.fleetHost()); err != nil {
		k.log.Error("no part in the fleet", "err", err)
	}
}

// leaveFleet tells the others that this member goes, now that all is answered.
func (k *Coordinator) leaveFleet(until time.Time) {
	if k.fleet == nil {
		return
	}
	wait := min(leavePeriods*k.cfg.Fleet.Period(), max(50*time.Millisecond, time.Until(until)))
	if !k.fleet.Leave(wait) {
		k.log.Warn("the fleet may not have heard that this member leaves")
	}
}
