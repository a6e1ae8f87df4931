package platform

// A coordinator's part in the fleet: joining, handover and leaving. Membership and failure detection are
// in internal/membership.

import (
	"fmt"
	"net/netip"
	"slices"
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
	// joinPeriods is how many periods a start waits at most to be admitted to the fleet: enough for one try that
	// nobody answers, for another process with this name that doesn't answer either, and some margin.
	joinPeriods = 16
	// leavePeriods is how many periods the shutdown waits at most for others to learn of it.
	leavePeriods = 3
	// verdictPeriods is how many periods a start waits at most for the fleet's verdicts.
	verdictPeriods = 12
	verdictPoll    = 5 * time.Millisecond
	bindRetry      = 200 * time.Millisecond
)

func (c *Config) fleetSockets() int {
	if c.Fleet == nil {
		return 0
	}
	return fleet.MaxSockets
}

// fleetSharesPeerSocket reports whether the fleet's socket is also the one for other coordinators. It then
// carries the module's messages to them.
func (c *Config) fleetSharesPeerSocket() bool {
	return c.Fleet != nil && c.Fleet.Fleet.Listen == c.PeerListen
}

// openFleet opens the fleet's socket. A process that takes over from another one receives the socket from
// it, and starts when that one stops: see takeOverFleet.
func (k *Coordinator) openFleet(received *receivedSockets, besideOld bool) (err error) {
	if received != nil && received.fleet != nil {
		k.fleet, err = fleet.Open(k.cfg.Fleet, k.log, received.fleet)
		return err
	}
	for k.fleet, err = fleet.Open(k.cfg.Fleet, k.log, nil); err != nil; {
		if !besideOld {
			return err
		}
		// The process beside this one holds the socket and could not hand it over. It ends sooner or later.
		k.log.Warn("the fleet's socket is in use: waiting for it", "err", err)
		time.Sleep(bindRetry)
		k.fleet, err = fleet.Open(k.cfg.Fleet, k.log, nil)
	}
	return nil
}

// startFleet joins the fleet, unless this process takes over from another one. It waits until this member
// is admitted and has received the fleet's verdicts, or until that takes too long. The core must be
// running.
func (k *Coordinator) startFleet() error {
	if k.fleet == nil || k.upgrade.fleetState != nil {
		return nil
	}
	if err := k.fleet.Start(nil, k.fleetHost()); err != nil {
		return err
	}
	return k.awaitFleetJoin()
}

// applyVerdict applies a fleet-wide verdict here.
func (k *Coordinator) applyVerdict(c verdict.Change) bool {
	if c.Verdict.Kind == verdict.Prefix {
		k.applyPrefixVerdict(c)
		return true
	}
	name, _ := c.Verdict.Node()
	id := core.ServerID(name)
	source := core.ByFleetOperator
	switch c.Verdict.Kind {
	case verdict.SickNode:
		source = core.ByFleetEvidence
	case verdict.SickPath:
		source = core.ByZoneEvidence
	}
	if !k.core.ApplyVerdict(id, source, c.InForce, c.Verdict.Stamp) {
		return false
	}
	if source == core.ByFleetOperator { // the successor receives verdicts by evidence with the table
		k.upgrade.forwardCordon(id, source, c.InForce)
	}
	return true
}

// fleetHost returns the functions that the fleet calls in this process.
func (k *Coordinator) fleetHost() fleet.Host {
	return fleet.Host{Apply: k.applyVerdict, NodeName: k.nodeName,
		NodeCount: func() int { return int(k.core.Counts().ListedServers.Load()) }}
}

// nodeName returns the name of a data node, whichever backend it belongs to.
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

// reportAttempt reports how an attempt ended to the fleet, where that is evidence about the node.
func (k *Coordinator) reportAttempt(s core.AttemptResult) {
	outcome := verdict.Failed
	switch {
	case s.Outcome == balance.OK:
		outcome = verdict.Served
	case s.Outcome == balance.TimedOut:
		outcome = verdict.TimedOut
	case s.Superseded:
		outcome = verdict.HedgeWon
	case s.Outcome == balance.Cancelled:
		outcome = verdict.Cancelled
	case s.Outcome == balance.Busy, s.Outcome == balance.NotSent:
		return
	}
	k.fleet.ObserveAttempt(uint64(s.Replica), s.Class, outcome, s.Elapsed)
}

// enableEvidence lets evidence against data nodes count, where the fleet's file says so.
func (k *Coordinator) enableEvidence(coreCfg *core.Config) {
	if !k.cfg.Fleet.EvidenceEnabled() {
		return
	}
	m := &k.cfg.Module
	coreCfg.OnAttemptEnd = k.reportAttempt
	coreCfg.LimitCordons = func(listed []verdict.ListedNode, sick []uint64) map[uint64]bool {
		return verdict.LimitEjections(listed, sick, m.Cells, m.Reach, k.cfg.Fleet.EvidenceShare())
	}
}

// applyPrefixVerdict tells the fronts' admission controllers of a ban or pin of a prefix, or that it was
// lifted.
func (k *Coordinator) applyPrefixVerdict(c verdict.Change) {
	p, err := netip.ParsePrefix(c.Verdict.What)
	if err != nil {
		return // sent by a member of another version: nothing to apply
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

// awaitFleetJoin waits until the fleet has admitted this member.
func (k *Coordinator) awaitFleetJoin() error {
	timeout := time.NewTimer(joinPeriods * k.cfg.Fleet.Period())
	defer timeout.Stop()
	select {
	case <-k.fleet.Joined():
	case err := <-k.fleet.NameTaken():
		k.fleet.Close()
		return err
	case <-timeout.C:
		k.log.Warn("not admitted to the fleet in time: serving anyway")
		return nil
	}
	for deadline := time.Now().Add(
		verdictPeriods * k.cfg.Fleet.Period()); !k.fleet.VerdictsSynced(); time.Sleep(verdictPoll) {
		if time.Now().After(deadline) {
			k.log.Warn("the fleet's verdicts were not received in time: serving without them")
			break
		}
	}
	return nil
}

// receiveFleet passes messages of other members' modules to this module, and ends this process when an
// older process with the same name exists.
func (k *Coordinator) receiveFleet() {
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

// fleetAdmission checks queries and attempts against the fleet's overload level and limits.
type fleetAdmission struct {
	k      *Coordinator
	cached *atomic.Pointer[classRanks]
}

// classRanks are the ranks of a configuration's classes.
type classRanks struct {
	cfg   *Config
	ranks []int
}

// rank returns the rank of a class by worth.
func (f fleetAdmission) rank(cfg *Config, class int) int {
	r := f.cached.Load()
	if r == nil || r.cfg != cfg {
		r = &classRanks{cfg, overload.RankByWorth(cfg.comparableWorths())}
		f.cached.Store(r)
	}
	return r.ranks[class]
}

// comparableWorths returns the worth of each class for its rank. A dropped class must not move the ranks of
// the others, which members that were started since have without it: it counts as the class in force that
// is next below it, or as the least.
func (c *Config) comparableWorths() []float64 {
	var inForce []float64
	for _, x := range c.Module.Classes {
		if !x.Dropped {
			inForce = append(inForce, x.Worth)
		}
	}
	slices.Sort(inForce)
	worths := make([]float64, len(c.Module.Classes))
	for i, x := range c.Module.Classes {
		worths[i] = x.Worth
		if !x.Dropped || len(inForce) == 0 {
			continue
		}
		worths[i] = inForce[0]
		for _, worth := range inForce {
			if worth <= x.Worth {
				worths[i] = worth
			}
		}
	}
	return worths
}

// Admit reports whether a query may be admitted.
func (f fleetAdmission) Admit(q *core.Query) (bool, time.Duration, string) {
	cfg := f.k.front.cfg.Load()
	class, queryID := cfg.Classes[q.Class], q.Name
	if q.Key != "" {
		queryID = q.Key // the same for all retries of the query
	}
	if ok, after := f.k.fleet.Admit(f.rank(cfg, q.Class), class, q.Caller, queryID, q.Repeat); !ok {
		return false, after, "the fleet is overloaded"
	}
	t, ok, after, limit := f.k.fleet.AllowRequest(class, q.Caller, q.Deadline)
	if !ok {
		return false, after, "limit " + limit + " of the fleet"
	}
	if !t.Empty() {
		q.Ticket = t
	}
	return true, 0, ""
}

// QueryEnded releases what a query held, and reports its outcome.
func (f fleetAdmission) QueryEnded(q *core.Query, e core.QueryOutcome) {
	f.k.fleet.RequestFinished(e == core.Answered)
	if t, ok := q.Ticket.(fleet.Ticket); ok {
		q.Ticket = nil
		f.k.fleet.ReleaseTicket(t)
	}
}

// AllowSend reports whether an attempt may be sent.
func (f fleetAdmission) AllowSend(a *core.Attempt) (bool, balance.Outcome) {
	if !f.k.fleet.AllowByRetryBudget(a.IsFirst()) {
		return false, balance.NotSent
	}
	if !f.k.fleet.HasServerLimits() {
		return true, 0
	}
	t, ok := f.k.fleet.AllowAttempt(uint64(a.Replica), time.Now().Add(a.Timeout))
	if !t.Empty() {
		a.Ticket = t
	}
	return ok, balance.Busy // the module treats the node as full
}

// AttemptEnded releases what an attempt held.
func (f fleetAdmission) AttemptEnded(a *core.Attempt) {
	if t, ok := a.Ticket.(fleet.Ticket); ok {
		a.Ticket = nil
		f.k.fleet.ReleaseTicket(t)
	}
}

// Failed returns a channel that receives, once, the reason why this process must stop serving.
func (k *Coordinator) Failed() <-chan error { return k.failed }

// takeOverFleet continues as the member that the old process was, once that one has sent its state. If it
// does not, this process joins like a restarted member: nobody else can be at the same address.
func (k *Coordinator) takeOverFleet() {
	if k.fleet == nil || k.upgrade.fleetState == nil {
		return
	}
	var state *fleet.Handover
	select {
	case state = <-k.upgrade.fleetState:
	case <-time.After(linkTimeout):
		k.log.Warn("the old process did not send its fleet state in time: joining as a restarted member")
	case <-k.stop:
		return
	}
	if err := k.fleet.Start(state, k.fleetHost()); err != nil {
		k.log.Error("joining the fleet failed: serving without it", "err", err)
	}
}

// leaveFleet tells the other members that this one leaves, once everything is answered.
func (k *Coordinator) leaveFleet(until time.Time) {
	if k.fleet == nil {
		return
	}
	wait := min(leavePeriods*k.cfg.Fleet.Period(), max(50*time.Millisecond, time.Until(until)))
	if !k.fleet.Leave(wait) {
		k.log.Warn("the fleet may not have learnt that this member leaves")
	}
}
