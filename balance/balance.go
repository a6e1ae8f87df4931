package balance

// The decisions of a coordinator. The interface is in api.go; read that first.
//
// Step records the events and then advances every open query in order of arrival. Decisions depend only on
// the settings, the seed and the events: there is no clock and no goroutine, and no result depends on the
// iteration order of a map.

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Delay before a failed list call is retried, in us: the initial value and the maximum of its exponential
// back-off. Missed changes count as announced after 6 s, however the calls ended; the host's own time limit
// of a call adds to these delays.
const (
	ListRetryDelay    Micros = 1_000_000
	MaxListRetryDelay Micros = 4_000_000
)

// Parameters of the decisions, grouped by what they govern; the last group holds the rest. Times marked us
// are in microseconds.
const (
	// Replica weights.
	minWeight, midWeight, maxWeight  = 1.0, 50.0, 100.0
	weightStep                       = 5.0        // gain per success; a failure costs this times its penalty
	weightHalfLife                   = 10_000_000 // us, half-life of a weight's distance to midWeight
	timeoutPenalty, errorPenalty     = 1.0, 2.0   // multiples of weightStep
	noConnectionPenalty, busyPenalty = 3.0, 0.2

	// Latency per part, and the decisions based on it. Plain samples have a weight of 1.
	latencyHalfLife    = 4_000_000 // us, half-life of samples
	smallFleet         = 4.0       // peers; with more, shared samples spread and decay faster and weigh more
	ownSampleWeight    = 3.0       // of this instance's samples
	classSampleWeight  = 1.0       // multiple of that in addition, for samples of the same class
	peerSampleWeight   = 3.0       // of shared samples, divided by 1 + the number of own ones
	lostPartLatency    = 0.5       // share of the shortest aim, recorded for a part without an answer
	hotShardFactor     = 1.3       // multiple of the admitted share for the slowest required part
	initialLatency     = 0.1       // share of the shortest aim, assumed for a part before any sample
	priorSamples       = 3.0       // weight of the initial value in a mean
	ewmaParts          = 30.0      // parts over which shares and means are smoothed
	latencyExponent    = 4.0       // draw weights are proportional to 1 / latency to this power
	slotLatencyShare   = 0.25      // share of the shortest aim that our open calls at a replica may need
	minSlots, maxSlots = 0, 16     // bounds of the number of those calls
	joinLatencyShare   = 0.5       // share of the shortest aim that a call may take if more parts join it
	crossZoneFactor    = 0.25      // on the draw weight of a replica in another zone, if crossing has a cost
	sharedCallExponent = 2.0       // draw weights grow with the parts that could share a call, to this power
	gossipInterval     = 250_000   // us between messages, each to a randomly chosen peer
	maxPeerSamples     = 8.0       // bounds the number of shared samples of a replica
	workGain           = 0.2       // EWMA gain of the number of parts per query of a class

	// Hedging.
	initialHedgeDelay   = 0.25      // share of the aim; from there on
	hedgeQuantile       = 0.95      // the hedge delay tracks this quantile of the class's part latency
	quantileStep        = 0.1       // relative step of the quantile tracker
	maxHedgeDelay       = 0.5       // share of the aim
	maxParallelAttempts = 3         // attempts of one part in flight
	hedgeShare          = 0.1       // hedged attempts per recent query or part,
	overdueHedgeShare   = 0.2       // and if the last attempt is overdue,
	spareHedges         = 1.0       // plus this number, so that an instance with little traffic can hedge
	defaultHedgeSpan    = 5_000_000 // us that count as recent if the settings give no ResendSpan
	overdueFactor       = 2.5       // hedge delays after which an attempt is overdue and counts as timed out,
	overdueShare        = 0.6       // or share of the aim, whichever is shorter

	// Admission, by the expected latency of the parts. The admitted share is the share of the aim that the
	// required parts may take: admitShare, plus smallFleetAdmitShare with up to smallFleetAdmitPeers peers
	// and less with more, because the waiting work of many peers is not visible here.
	admitShare, smallFleetAdmitShare  = 0.45, 0.25
	smallFleetAdmitPeers              = 3.0
	minAdmitShare                     = 0.55      // part of the admitted share left for queries without worth
	tailAllowance                     = 2.6       // multiple of the admitted share for the last required part
	maxWaitShare                      = 1.0       // share of the time to the aim that a part may take
	rejectedEWMAParts                 = 60.0      // parts over which the share of rejected ones is smoothed
	rejectedCut, maxRejectedCut       = 3.0, 0.5  // multiple of that cut from the admitted share; maximum cut
	trialInterval                     = 3_000_000 // us of refusing all before a trial; documented as 4 s
	admitQuantile                     = 0.8       // of the required parts: one outlier of many is ignored
	overQuotaRatio, farOverQuotaRatio = 1.2, 1.8  // share of local traffic / share of quotas, see overQuota
	minQuotaQueries                   = 8.0       // queries of a tenant that make farOverQuotaRatio apply
	quotaSpan                         = 5_000_000 // us over which a tenant's rate is compared with its quota

	// Cold replicas.
	minColdRate        = 1e-6       // parts per us of all peers, times the cold share, if unmeasured
	coldRateBoost      = 1.0        // share of FallMultiple - 1 by which a cold replica's share is exceeded
	coldBurst          = 0.6        // tokens that may accumulate, over (FallMultiple - 1) x rate x FallSpan
	capacitySpan       = 2_000_000  // us over which served parts are counted, at least
	minCapacityParts   = 64.0       // with fewer, large fleets count on and deduct the standard error:
	maxCapacitySpans   = 8.0        // the maximum of small counts is biased upwards; limit of spans
	capacityFleetScale = 2.0        // fleet scale from which this applies, see updateEvidenceScale
	capacityHalfLife   = 60_000_000 // us, half-life of the measured capacity

	// Idle connections. They are considered dropped while idle if the share of lost sends on them exceeds
	// idleLossShare plus idleLossRatio times the share lost on connections in use.
	idleAfter        = 300_000 // us without use
	idleLossShare    = 0.05
	idleLossRatio    = 2.0
	idleLossHalfLife = 10_000_000 // us, half-life of these samples

	// Probes.
	probeLossShare = 0.05      // share of unanswered parts above which probes are worth their cost
	probeRound     = 3_000_000 // us in which all replicas are considered once

	// Multiples of the mean latency at which a replica is reported as avoided and as used again.
	avoidedRatio, recoveredRatio = 3.0, 1.5
	scanInterval                 = 10_000   // us between two passes over the open queries
	maxAdviceShare               = 0.3      // share of the shortest aim; the shortest advice is half of it
	patienceSlack                = 50_000.0 // us that a first try may wait less than those of other clients
	// Share of the aim, and number of hedge delays: the most that a first step reserves for the second one.
	secondStepShare, secondStepDelays = 0.5, 2.0
	aimMargin                         = 0.03 // share of the aim reserved for the way back to the client
	weightTolerance                   = 5e-5 // absolute error allowed in a sum of part weights
)

// New returns an instance that starts now with the given settings. The seed must differ between instances.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		rng:  rand.New(rand.NewPCG(seed, 0x736f7272656c)),
		byID: map[ReplicaID]*replica{}, byHash: map[uint32]*replica{},
		byQuery: map[uint32]*query{}, byNumber: map[float32]*query{}, parts: map[uint32]*part{},
	}
	b.applySettings(&s)
	return b, nil
}

// Step processes the events of this moment in order, appends the resulting actions to out and returns it.
func (b *Balancer) Step(now Micros, events []Event, out []Action) []Action {
	b.now, b.out = max(now, b.now), out
	b.steps++
	for i := range events {
		b.handle(&events[i])
	}
	if b.settings.Subscribe && !b.subscribed && !b.listPending && b.now >= b.nextListCall {
		b.listPending = true
		b.out = append(b.out, Action{Kind: Watch})
	}
	b.updateCapacity()
	b.sendGossip()
	b.sendProbes()
	for _, q := range b.queries {
		if !q.ended {
			b.advance(q)
		}
	}
	b.queries = slices.DeleteFunc(b.queries, func(q *query) bool { return q.ended })
	if (len(b.queries) > 0 || b.settings.Subscribe) && b.wakeAt <= b.now {
		b.wakeAt = b.now + max(scanInterval, b.settings.Tick)
		b.out = append(b.out, Action{Kind: Wake, After: b.wakeAt - b.now})
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) handle(e *Event) {
	switch e.Kind {
	case Query:
		b.arrivals.add(b.now)
		if e.Class < 0 || e.Class >= len(b.settings.Classes) || b.byQuery[e.ID] != nil {
			return
		}
		if e.Tenant >= 0 && e.Tenant < len(b.tenantArrivals) {
			b.tenantArrivals[e.Tenant].add(b.now)
		}
		q := &query{id: e.ID, number: e.Number, class: e.Class, tenant: e.Tenant, deadline: e.Deadline,
			rules: &b.settings.Classes[e.Class], maxAttempts: b.settings.MaxAttempts}
		if e.Rules != nil {
			q.rules = e.Rules
		}
		if e.MaxAttempts > 0 {
			q.maxAttempts = e.MaxAttempts
		}
		c := q.rules
		q.aim = b.now + Micros((1-aimMargin)*(float64(c.Aim)+c.AimStretch*float64(e.Hint)))
		q.aim = min(q.aim, e.Deadline)
		b.detectLateRepeat(q, e.Repeat || !b.settings.MarksRepeat)
		b.capDeadline(q)
		b.byQuery[q.id], b.byNumber[q.number] = q, q
		b.queries = append(b.queries, q)
	case Part:
		b.arrivals.add(b.now)
		if q := b.byNumber[e.Number]; q != nil && b.parts[e.ID] == nil {
			p := &part{id: e.ID, query: q, shard: e.Shard}
			if e.Weight > 0 {
				p.weight = e.Weight
			}
			q.parts = append(q.parts, p)
			b.parts[p.id] = p
		}
	case Result:
		p, i := b.parts[e.ID], e.Attempt
		if p != nil && i >= 0 && i < len(p.attempts) && p.attempts[i].pending {
			b.recordResult(p, &p.attempts[i], e)
		}
	case StreamStarted:
		if p := b.parts[e.ID]; p != nil {
			p.query.streaming = true
		}
	case ClientGone:
		if q := b.byQuery[e.ID]; q != nil {
			b.end(q)
		}
	case List:
		b.applyList(e)
	case ProbeResult:
		b.recordProbe(e)
	case Message:
		b.mergeGossip(e.Data)
	case SettingsChanged:
		if e.Settings.validate() == nil && len(e.Settings.Classes) >= len(b.classes) {
			b.applySettings(e.Settings)
		}
	case Restored:
		b.warmRate, b.warmSize = e.Memory.Carried, e.Memory.UsualSize
	case Stopping:
		b.shutdownAt = max(1, e.Deadline)
		for _, q := range b.queries {
			b.capDeadline(q)
		}
	}
}

// capDeadline limits the aim and deadline of a query to the shutdown of this instance: a query that is not
// served by then still gets its final answer while the process exists.
func (b *Balancer) capDeadline(q *query) {
	if b.shutdownAt > 0 {
		q.deadline, q.aim = min(q.deadline, b.shutdownAt), min(q.aim, b.shutdownAt)
	}
}

// detectLateRepeat finds out whether a query repeats one whose aim has passed, so that it earns at most
// its late worth. Clients wait the same share of a class's deadline for each try, or what is left of it,
// so a client that waits less has started earlier.
func (b *Balancer) detectLateRepeat(q *query, repeat bool) {
	c := q.rules
	left := q.deadline - b.now
	b.maxPatience = min(1, max(b.maxPatience, float64(left)/float64(c.Deadline)))
	if !repeat || float64(left) > b.maxPatience*float64(c.Deadline)-patienceSlack {
		return
	}
	q.late = q.deadline-c.Deadline+c.Aim <= b.now
}

// applyList updates the replicas from a List event.
func (b *Balancer) applyList(e *Event) {
	if e.Mode != Cached && e.Mode != Local {
		b.listPending = false
		b.subscribed = e.Mode != Failed
		b.listBackoff = min(2*b.listBackoff, MaxListRetryDelay) // back-off with jitter: discovery may be down
		if b.subscribed || b.listBackoff == 0 {
			b.listBackoff = ListRetryDelay
		}
		if b.settings.MustAsk > 0 { // the rules on drains allow up to four times this after a failed call
			b.listBackoff = min(b.listBackoff, b.settings.MustAsk)
		}
		b.nextListCall = b.now + b.listBackoff/2 + b.rng.Int64N(b.listBackoff/2+1)
	}
	if e.Mode == Failed {
		return
	}
	if e.Mode != Delta && e.Mode != Local {
		for _, r := range b.replicas {
			r.State = Removed // unless the list contains it, see below
		}
	}
	for _, entry := range e.Replicas {
		if entry.Size = min(1e9, entry.Size); !(entry.Size > 0) { // sums must stay finite and positive
			entry.Size = 1e-9
		}
		entry.Started = min(entry.Started, b.now) // a time in the future, by a clock ahead of ours, means now
		r := b.byID[entry.ID]
		if r == nil {
			r = &replica{classLatency: make([]decayingMean, len(b.settings.Classes))}
			b.byID[entry.ID] = r
			b.replicas = append(b.replicas, r)
			b.resetReplica(r, entry.Started)
		} else if entry.Started > r.startedAt {
			b.resetReplica(r, entry.Started)
		}
		r.Replica = entry
	}
	b.replicas = slices.DeleteFunc(b.replicas, func(r *replica) bool {
		unused := r.State == Removed && r.openCalls == 0
		if unused {
			delete(b.byID, r.ID)
		}
		return unused
	})
	b.reindex()
}

// resetReplica discards what is known of a replica after its restart. Its tokens, which limit the parts it
// may receive while it is cold, start at a random level: instances that learn of a restart at the same
// time must neither all send at once nor all accumulate their next token at the same time later.
func (b *Balancer) resetReplica(r *replica, at Micros) {
	r.weight, r.unanswered, r.down, r.ownLatency, r.peerLatency =
		midWeight, false, false, decayingMean{}, decayingMean{}
	clear(r.classLatency)
	r.startedAt, r.tokens, r.weightAt, r.refilledAt = at, b.rng.Float64(), b.now, b.now
}

// recordLatency records the latency of a part at a replica. For a part without an answer it is the time
// waited so far, a lower bound.
func (b *Balancer) recordLatency(r *replica, class int, latency float64) {
	b.recordReplicaLatency(r, class, latency)
	b.latency.decay(b.now, b.evidenceHalfLife)
	b.latency.add(min(latency, b.minAim), 1)
}

// recordReplicaLatency records a latency for the replica only, not in the mean of all replicas: immediate
// failures say nothing about the latency elsewhere.
func (b *Balancer) recordReplicaLatency(r *replica, class int, latency float64) {
	b.decayEvidence(r)
	r.classLatency[class].add(min(latency, b.minAim), 1)
	r.ownLatency.add(min(latency, b.minAim), 1)
	r.peerLatency.add(min(latency, b.minAim), 1)
}

// meanLatency returns the mean latency per part over all replicas. Without new samples it decays towards
// its initial value, because a value that keeps an instance from sending must not persist.
func (b *Balancer) meanLatency() float64 {
	b.latency.decay(b.now, b.evidenceHalfLife)
	return (b.latency.sum + priorSamples*initialLatency*b.minAim) / (b.latency.n + priorSamples)
}

// updateEvidenceScale sets the half-life of latency samples, and how many instances' samples a peer's
// message represents. In a large fleet each instance uses a replica rarely, but together they use it
// often: samples decay as fast as messages spread them to all instances, and a message weighs by the
// number of instances mixed into it. With so many replicas that messages spread no faster than samples
// decay, messages carry no news, and all instances would act together on outdated samples; they then weigh
// as in a small fleet.
func (b *Balancer) updateEvidenceScale() {
	peers := max(1, float64(b.settings.Peers))
	// Interval between two messages about one replica.
	interval := gossipInterval * max(1, float64(len(b.replicas))*entrySize/maxMessageSize)
	b.fleetScale = max(1, peers/smallFleet)
	b.evidenceHalfLife = min(latencyHalfLife, max(latencyHalfLife/b.fleetScale, interval*math.Log2(peers)))
	if b.gossipScale = 1; b.evidenceHalfLife < latencyHalfLife {
		b.gossipScale = max(1, min(peers, math.Exp2(b.evidenceHalfLife/interval))/smallFleet)
	}
}

// decayEvidence decays the latency samples of a replica to the present.
func (b *Balancer) decayEvidence(r *replica) {
	r.ownLatency.decay(b.now, b.evidenceHalfLife)
	r.peerLatency.decay(b.now, b.evidenceHalfLife)
	for i := range r.classLatency {
		r.classLatency[i].decay(b.now, b.evidenceHalfLife)
	}
}

// expectedLatency returns the expected latency of a part of a class at a replica, queueing included. Own
// samples outweigh all others, and own samples of the class outweigh those of other classes: a replica may
// serve some classes and leave another unanswered. In a large fleet own samples are few and old, so the
// samples shared by peers weigh by the number of instances that they represent.
func (b *Balancer) expectedLatency(r *replica, class int) float64 {
	b.decayEvidence(r)
	peerWeight, c := b.gossipScale*peerSampleWeight/(1+r.ownLatency.n), r.classLatency[class]
	return (b.meanLatency() + ownSampleWeight*(r.ownLatency.sum+classSampleWeight*c.sum) +
		peerWeight*r.peerLatency.sum) /
		(1 + ownSampleWeight*(r.ownLatency.n+classSampleWeight*c.n) + peerWeight*r.peerLatency.n)
}

// sendProbes probes replicas with few recent own samples while a significant share of our parts gets no
// answer. The fault may be on the path between this instance and some replicas, in which case the peers'
// samples are misleading.
func (b *Balancer) sendProbes() {
	if !b.settings.CanProbe || b.now < b.nextProbe || b.lossShare < probeLossShare || len(b.replicas) == 0 {
		return
	}
	due := int(min(b.now-b.nextProbe, probeRound/4)*Micros(len(b.replicas))/probeRound) + 1
	for ; due > 0; due-- {
		b.probeCursor = (b.probeCursor + 1) % len(b.replicas)
		r := b.replicas[b.probeCursor]
		if b.decayEvidence(r); r.State == Ready && r.ownLatency.n < 1 {
			b.out = append(b.out, Action{Kind: Probe, Replica: r.ID})
		}
	}
	b.nextProbe = b.now + probeRound/Micros(len(b.replicas))
}

// recordProbe records the result of a probe. A success counts as a sample of its duration, at least that
// of a part without queueing. It is ignored if the last part decided there went unanswered, because it may
// show only that the path works.
func (b *Balancer) recordProbe(e *Event) {
	r := b.byID[e.Replica]
	if r == nil {
		return
	}
	b.decayEvidence(r)
	switch {
	case e.Outcome == Malformed:
	case e.Outcome != OK:
		r.ownLatency.add(lostPartLatency*b.minAim, 1)
	case !r.unanswered:
		r.ownLatency.add(max(initialLatency*b.minAim, float64(e.Elapsed)), 1)
	}
}

// sendGossip sends half of the sample weight of some replicas to a randomly chosen peer. This averages
// until every instance holds about the mean of all samples. A lost message removes weight from all samples
// in it alike, so the mean is unaffected.
func (b *Balancer) sendGossip() {
	if !b.settings.CanTell || b.settings.Peers < 2 || len(b.replicas) == 0 || b.now < b.nextGossip {
		return
	}
	b.nextGossip = b.now + gossipInterval
	m := message{limit: b.settings.TellMost}
	for range b.replicas {
		b.gossipCursor = (b.gossipCursor + 1) % len(b.replicas)
		r := b.replicas[b.gossipCursor]
		b.decayEvidence(r)
		if b.byHash[replicaHash(r.ID)] == r &&
			m.add(replicaHash(r.ID), r.peerLatency.sum/r.peerLatency.n, r.peerLatency.n/2) {
			r.peerLatency.sum, r.peerLatency.n = r.peerLatency.sum/2, r.peerLatency.n/2
		}
		if m.full() {
			break
		}
	}
	if text := m.encode(); text != "" {
		to := b.rng.IntN(b.settings.Peers - 1)
		if to >= b.settings.Number {
			to++
		}
		b.out = append(b.out, Action{Kind: Tell, To: uint32(to), Text: text})
	}
}

// mergeGossip adds a peer's message to the shared samples. Values and weights are bounded, and own samples
// outweigh them.
func (b *Balancer) mergeGossip(data []byte) {
	forEachEntry(data, func(hash uint32, latency, n float64) {
		if r := b.byHash[hash]; r != nil {
			b.decayEvidence(r)
			r.peerLatency.add(min(b.minAim, latency), n)
			if excess := r.peerLatency.n / maxPeerSamples; excess > 1 {
				r.peerLatency.sum, r.peerLatency.n = r.peerLatency.sum/excess, r.peerLatency.n/excess
			}
		}
	})
}

// drawWeight returns the weight of a replica in the random draw: its replica weight times its listed size,
// divided by a power of its expected latency. It grows with the number of parts that could share a call
// there if calls have a cost, and is reduced for other zones if crossing has a cost.
func (b *Balancer) drawWeight(r *replica, class int) float64 {
	c := r.weight * r.Size * math.Pow(b.minAim/max(b.expectedLatency(r, class), 1), latencyExponent)
	if r.Zone != b.settings.Zone && b.settings.CrossCost > 0 {
		c *= crossZoneFactor
	}
	if b.settings.CallCost > 0 && r.wantedStep == b.steps {
		c *= math.Pow(float64(max(1, min(r.wantedParts, b.settings.BatchMax))), sharedCallExponent)
	}
	return c
}

// idleDropsDetected reports whether connections are silently dropped while idle: sends on idle connections
// are lost far more often than sends on connections in use. The replica is not at fault, and closing the
// idle connection before a send opens a working one. If a silent replica is merely met on idle connections
// more often, this costs unnecessary handshakes for a while.
func (b *Balancer) idleDropsDetected() bool {
	b.idleLoss.decay(b.now, idleLossHalfLife)
	b.busyLoss.decay(b.now, idleLossHalfLife)
	rate := func(t *decayingMean) float64 { return t.sum / (t.n + priorSamples) }
	return rate(&b.idleLoss) > idleLossShare+idleLossRatio*rate(&b.busyLoss)
}

// recordConnLoss records whether an attempt was lost (1) or not (0), and reports whether the connection
// rather than the replica is to blame for a loss.
func (b *Balancer) recordConnLoss(t *attempt, lost float64) bool {
	connBlamed := b.idleDropsDetected() && t.onIdleConn
	if t.onIdleConn {
		b.idleLoss.add(lost, 1)
	} else {
		b.busyLoss.add(lost, 1)
	}
	return connBlamed
}

// recordResult records the end of an attempt.
func (b *Balancer) recordResult(p *part, t *attempt, e *Event) {
	b.release(p, t)
	r, c := t.replica, &b.classes[p.query.class]
	if e.Outcome != Cancelled && e.Outcome != TimedOut {
		r.lastUsed = b.now
	}
	age := float64(b.now - t.sent)
	switch e.Outcome {
	case OK:
		b.rejectedShare -= b.rejectedShare / rejectedEWMAParts
	case Error, Busy, Malformed: // time-outs are left out: an unanswered part takes no capacity from others
		b.rejectedShare += (1 - b.rejectedShare) / rejectedEWMAParts
	}
	switch e.Outcome {
	case OK:
		// Restarted before the list says so. A full connection table at the replica looks the same.
		if r.down && t.sent >= r.downAt {
			b.resetReplica(r, b.now)
		}
		if !b.isCold(r) {
			b.warmServed++
		}
		if age > c.hedgeDelay { // the hedge delay tracks a quantile of the class's part latency
			c.hedgeDelay *= 1 + quantileStep*hedgeQuantile
		} else {
			c.hedgeDelay *= 1 - quantileStep*(1-hedgeQuantile)
		}
		c.hedgeDelay = min(c.hedgeDelay, maxHedgeDelay*float64(p.query.rules.Aim))
		b.recordLatency(r, p.query.class, age/t.load())
		b.otherCallParts += (float64(t.call.sent-1) - b.otherCallParts) / ewmaParts
		if !t.overdue {
			b.recordConnLoss(t, 0)
			b.lossShare -= b.lossShare / ewmaParts
			r.unanswered = false
			b.adjustWeight(r, weightStep)
		}
	case Cancelled:
		if age > b.expectedLatency(r, p.query.class) { // slower than the other attempt and than expected
			b.recordLatency(r, p.query.class, age/t.load())
		}
	case Error, Reset:
		if e.Outcome == Reset && b.recordConnLoss(t, 1) {
			break
		}
		b.recordReplicaLatency(r, p.query.class, lostPartLatency*b.minAim)
		b.adjustWeight(r, -weightStep*errorPenalty)
	case Malformed: // no latency sample; the weight drops for a replica that only sends malformed answers
		b.adjustWeight(r, -weightStep*timeoutPenalty)
	case TimedOut:
		if !t.overdue {
			b.adjustWeight(r, -weightStep*timeoutPenalty)
		}
	case NoConnection:
		b.recordReplicaLatency(r, p.query.class, lostPartLatency*b.minAim)
		// Refused rather than timed out: the process is not running.
		if b.settings.DialTimeout <= 0 || b.now-t.sent < b.settings.DialTimeout {
			r.down, r.downAt = true, b.now
		}
		b.adjustWeight(r, -weightStep*noConnectionPenalty)
	case Busy: // its queue is full: a part sent now would wait behind all of it
		b.recordLatency(r, p.query.class, b.minAim)
		r.peerLatency.add(b.minAim, 1/b.fleetScale-1) // all peers see the same full queue at once: 1 in total
		b.adjustWeight(r, -weightStep*busyPenalty)
	}
	if t.neverRan = e.Outcome == Busy || e.Outcome == NoConnection || e.Outcome == NotSent; t.neverRan {
		p.updateFirstRun()
	}
	if p.query.ended || p.done {
		return
	}
	if e.Outcome == OK {
		p.done = true
		p.query.receivedWeight += p.weight
		p.query.receivedParts++
		b.cancelAttempts(p)
	}
}

// cancelAttempts cancels the attempts of a part that are still in flight.
func (b *Balancer) cancelAttempts(p *part) {
	for i := range p.attempts {
		if p.attempts[i].pending && b.settings.CanCancel {
			b.out = append(b.out, Action{Kind: Cancel, ID: p.id, Attempt: i})
		}
	}
}

// adjustWeight decays a replica's weight towards midWeight and then changes it.
func (b *Balancer) adjustWeight(r *replica, by float64) {
	keep := math.Exp2(-float64(b.now-r.weightAt) / weightHalfLife)
	r.weight = midWeight + (r.weight-midWeight)*keep
	r.weight = min(maxWeight, max(minWeight, r.weight+by))
	r.weightAt = b.now
}

// slotLimit returns the maximum number of open calls to a replica: the number of parts that it is expected
// to serve in slotLatencyShare of the shortest aim.
func (b *Balancer) slotLimit(r *replica, class int) int {
	return int(min(maxSlots, max(minSlots, slotLatencyShare*b.minAim/max(b.expectedLatency(r, class), 1))))
}

// thresholds returns the weight required for a complete answer and for any answer in the current step.
func (b *Balancer) thresholds(q *query) (need, floor float64) {
	c := q.rules
	need, floor = c.Need, c.Floor
	if q.inSecondStep {
		if floor >= need {
			floor = 1
		}
		need = 1
	}
	return need - weightTolerance, floor - weightTolerance
}

// answer answers the current step of a query.
func (b *Balancer) answer(q *query) {
	need, _ := b.thresholds(q)
	complete := q.receivedWeight >= need &&
		(!q.inSecondStep || q.firstComplete && q.receivedParts == len(q.parts))
	b.out = append(b.out, Action{Kind: Answer, ID: q.id, Complete: complete})
	if q.rules.SecondStep > 0 && !q.inSecondStep {
		b.closeParts(q)
		q.inSecondStep, q.firstComplete, q.receivedWeight, q.receivedParts = true, complete, 0, 0
		return
	}
	b.end(q)
}

// giveUp gives the final answer of a query that cannot be served completely: a partial answer if enough
// parts were answered; otherwise a refusal if no part may have run or a repeat is safe, and a failure if not.
func (b *Balancer) giveUp(q *query, reason string) {
	_, floor := b.thresholds(q)
	if q.receivedWeight >= floor && q.receivedParts > 0 {
		b.answer(q)
		if q.ended {
			return
		}
	}
	refusable := q.rules.Effect == Safe
	if !refusable && !q.inSecondStep {
		refusable = true
		for _, p := range q.parts {
			refusable = refusable && p.firstRun == 0 && !p.done
		}
	}
	a := Action{Kind: Fail, ID: q.id, Text: reason}
	if refusable {
		a.Kind = Refuse
		if b.settings.CanAdvise {
			a.After = Micros((1 + b.rng.Float64()) / 2 *
				min(maxAdviceShare*b.minAim, float64(b.settings.MaxRetryAfter)))
		}
	}
	b.out = append(b.out, a)
	b.end(q)
}

// advance takes the next actions for a query.
func (b *Balancer) advance(q *query) {
	need, floor := b.thresholds(q)
	switch {
	case len(q.parts) > 0 && q.receivedWeight >= need && (!q.inSecondStep || q.receivedParts == len(q.parts)):
		b.answer(q)
		return
	case b.now+max(scanInterval, b.settings.Tick) >= q.deadline,
		b.now >= q.aim && q.receivedWeight < floor && !b.worthContinuing(q, floor):
		b.giveUp(q, ReasonNoTime)
		return
	case q.receivedParts > 0 && q.receivedWeight >= floor && b.now >= b.partialAnswerAt(q):
		b.answer(q)
		return
	}
	if !q.admitted && len(q.parts) > 0 {
		if !q.inSecondStep && !b.admit(q) {
			if b.refused++; b.refusingSince == 0 {
				b.refusingSince = b.now
			}
			b.giveUp(q, ReasonOverload)
			return
		}
		q.admitted = true
		k := &b.classes[q.class]
		if k.meanParts == 0 {
			k.meanParts = float64(len(q.parts))
		}
		k.meanParts += workGain * (float64(len(q.parts)) - k.meanParts)
	}
	b.markOverdue(q)
	reachable, covered := 0.0, 0.0 // weight that can still arrive; weight that has arrived or is on track
	for _, p := range q.parts {
		if p.done || p.pending > 0 || len(p.attempts) < q.maxAttempts && b.mayRepeat(p) {
			reachable += p.weight
		}
		if p.done || b.onTrack(p, need < 1-2*weightTolerance) {
			covered += p.weight
		}
	}
	if len(q.parts) > 0 && reachable < floor {
		b.giveUp(q, ReasonNoReplica)
		return
	}
	if b.settings.CallCost > 0 && b.settings.BatchMax > 1 {
		b.countWanted(q)
	}
	for pass := range 2 {
		for _, p := range q.parts {
			if p.done || p.pending > 0 || need < 1-2*weightTolerance && covered >= need+p.weight {
				continue
			}
			if pass == 0 && need < 1-2*weightTolerance && !b.hasFreeReplica(p) {
				continue // if not every part is required, those with a free replica go first
			}
			if len(p.attempts) < q.maxAttempts && b.mayRepeat(p) && b.send(p, false) {
				covered += p.weight
			}
		}
	}
	for _, p := range q.parts {
		if !p.done && p.pending > 0 && (need >= 1-2*weightTolerance || covered < need) {
			b.hedge(p)
		}
	}
}

// partialAnswerAt returns when a query is answered partially. A first step leaves the second one time for
// a part and a hedged attempt: a second step begun at the aim would fail, and the worth of the first step
// would be lost with it.
func (b *Balancer) partialAnswerAt(q *query) Micros {
	if c := q.rules; c.SecondStep > 0 && !q.inSecondStep {
		return q.aim -
			Micros(min(secondStepShare*float64(c.Aim), secondStepDelays*b.classes[q.class].hedgeDelay))
	}
	return q.aim
}

// worthContinuing reports whether a query past its aim should continue: its late worth per part that it
// still needs exceeds what the best class earns per part in time. If given up, the client would repeat the
// query, and the repeat would be late too.
func (b *Balancer) worthContinuing(q *query, floor float64) bool {
	missing := max(1, (floor-q.receivedWeight)*float64(len(q.parts)))
	return q.rules.LateWorth*b.relativeWorth(q)*b.classes[q.class].meanParts >= missing
}

// admit reports whether a query is to be served. Under overload this keeps queues short: work that cannot
// earn its worth is refused before it costs anything, that of the least worth per work first. Expected
// latencies decay without new samples, so an instance that refuses everything tries again.
func (b *Balancer) admit(q *query) bool {
	_, floor := b.thresholds(q)
	waits := make([]float64, 0, len(q.parts))
	for _, p := range q.parts {
		leastWait := math.Inf(1)
		b.forEachHolder(p.shard, func(r *replica) {
			if b.coldBudgetAllows(r) { // a part that waits for a cold replica would delay the whole query
				leastWait = min(leastWait,
					b.expectedLatency(r, q.class)*(float64(r.openParts)+1+b.otherCallParts))
			}
		})
		if !math.IsInf(leastWait, 1) {
			waits = append(waits, leastWait)
		}
	}
	if float64(len(waits)) < floor*float64(len(q.parts)) || len(waits) == 0 ||
		q.late && q.rules.LateWorth <= 0 {
		return false
	}
	slices.Sort(waits)
	wait := waits[min(len(waits)-1, int(admitQuantile*floor*float64(len(waits))))]
	smallness := min(1, smallFleetAdmitPeers/float64(max(1, b.settings.Peers)))
	share := admitShare + smallFleetAdmitShare*smallness
	// Rejected parts are sent again and use capacity twice. In a small fleet the queues seen here show that.
	share *= 1 - (1-smallness)*min(maxRejectedCut, rejectedCut*b.rejectedShare)
	// Relative delay of the last required part.
	tail := math.Log(float64(len(q.parts)) / (1 + b.otherCallParts))
	if floor < 1-2*weightTolerance {
		tail = min(tail, -math.Log(1-floor))
	}
	// There are two limits: queues are kept short relative to the aims of the classes, and a query whose
	// client waits less than that is refused only if it is unlikely to be served in that time.
	left := float64(q.aim - b.now)
	horizon := max(left, min(b.minAim, float64(q.rules.Aim)))
	limit := min(share*min(b.minAim, horizon), tailAllowance*share*horizon/(1+tail))
	lastWait := waits[min(len(waits)-1, int(floor*float64(len(waits))))] // possibly at a hot shard
	return wait <= maxWaitShare*left &&
		max(wait, lastWait*limit/(hotShardFactor*share*horizon)) <=
			limit*(minAdmitShare+(1-minAdmitShare)*b.relativeWorth(q)) ||
		// A trial: peers' samples may be outdated, or reflect another path.
		b.refusingSince > 0 && b.now-b.refusingSince >= trialInterval
}

// relativeWorth returns the worth of a query per unit of work, as a share of that of the best class.
func (b *Balancer) relativeWorth(q *query) float64 {
	best, own := 1e-9, 0.0
	for i := range b.settings.Classes {
		c := &b.settings.Classes[i]
		if i == q.class {
			c = q.rules
		}
		v := c.Worth
		if !b.settings.WorthByWork {
			v /= max(1, b.classes[i].meanParts)
		}
		// The number of parts of a class is unknown until its first query.
		if i == q.class || !c.Dropped && (b.settings.WorthByWork || b.classes[i].meanParts > 0) {
			best = max(best, v)
		}
		if i == q.class {
			own = v
		}
	}
	if b.overQuota(q.tenant) {
		own *= b.settings.OverShareWorth
	}
	if q.late {
		own *= q.rules.LateWorth
	}
	return own / best
}

// overQuota reports whether a tenant exceeds its quota, as far as one instance can tell. Callers are
// distributed unevenly, so the local rate times the number of peers counts only for a tenant that also has
// more than its share of the local traffic; far more than its share counts by itself. This can be wrong if
// tenants use different instances.
func (b *Balancer) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantArrivals) || b.settings.Tenants[tenant].Quota <= 0 {
		return false
	}
	since, total, quotas := b.now-quotaSpan, 0.0, 0.0
	for i := range b.tenantArrivals {
		total += float64(b.tenantArrivals[i].count(since))
		quotas += b.settings.Tenants[i].Quota
	}
	own, quota := float64(b.tenantArrivals[tenant].count(since)), b.settings.Tenants[tenant].Quota
	// The tenant's share of the local traffic over its share of the quotas.
	relativeShare := own / total * quotas / quota
	aboveQuota := own*float64(max(1, b.settings.Peers)) > quota*quotaSpan/1e6
	return relativeShare > overQuotaRatio && aboveQuota ||
		relativeShare > farOverQuotaRatio && own > minQuotaQueries
}

// onTrack reports whether a part has an attempt in flight that is not overdue. If strict, the attempt must
// not have reached the hedge delay either: other parts can replace this one, without using the retry
// budget.
func (b *Balancer) onTrack(p *part, strict bool) bool {
	for i := range p.attempts {
		t := &p.attempts[i]
		if t.pending && !t.overdue &&
			(!strict || float64(b.now-t.sent) < b.classes[p.query.class].hedgeDelay) {
			return true
		}
	}
	return false
}

// markOverdue finds the attempts that are overdue and counts each as timed out immediately. Otherwise a
// replica that accepts parts and answers none would be detected only at the deadline.
func (b *Balancer) markOverdue(q *query) {
	limit := min(overdueFactor*b.classes[q.class].hedgeDelay, overdueShare*float64(q.rules.Aim))
	for _, p := range q.parts {
		for i := range p.attempts {
			t := &p.attempts[i]
			if t.pending && !t.overdue && float64(b.now-t.sent) > limit {
				t.overdue = true
				if b.recordConnLoss(t, 1) {
					continue
				}
				b.recordLatency(t.replica, q.class, float64(b.now-t.sent)/t.load())
				b.lossShare += (1 - b.lossShare) / ewmaParts
				t.replica.unanswered = true
				b.adjustWeight(t.replica, -weightStep*timeoutPenalty)
			}
		}
	}
}

// mayRepeat reports whether the class allows another attempt of a part.
func (b *Balancer) mayRepeat(p *part) bool {
	c := p.query.rules
	if p.firstRun == 0 || c.Effect == Safe {
		return true
	}
	return c.Effect == Keyed && b.now < p.firstRun+c.Window
}

// hedge sends another attempt of a part that has waited longer than the hedge delay.
func (b *Balancer) hedge(p *part) {
	q := p.query
	last := p.attempts[len(p.attempts)-1]
	if !b.settings.CanCopy || q.streaming || q.rules.Effect == Unsafe || !b.mayRepeat(p) ||
		p.pending >= maxParallelAttempts || len(p.attempts) >= q.maxAttempts ||
		float64(b.now-last.sent) < b.classes[q.class].hedgeDelay {
		return
	}
	share := hedgeShare
	if last.overdue {
		share = overdueHedgeShare
	}
	if float64(b.hedges.count(b.now-b.retrySpan)+1) >
		spareHedges+share*float64(b.arrivals.count(b.now-b.retrySpan)) {
		return
	}
	b.send(p, true)
}

// withinRetryBudget reports whether the settings' retry budget allows one more attempt beyond a part's
// first.
func (b *Balancer) withinRetryBudget() bool {
	if b.settings.ResendSpan <= 0 {
		return true
	}
	since := b.now - b.settings.ResendSpan
	allowed := b.settings.SpareAttempts + b.settings.ResendRatio*float64(b.arrivals.count(since+1))
	return float64(b.retries.count(since)+1) <= allowed
}

// send starts an attempt of a part if the budget allows it and a replica is available.
func (b *Balancer) send(p *part, hedged bool) bool {
	if len(p.attempts) > 0 {
		if !b.withinRetryBudget() {
			return false
		}
	}
	r := b.pickReplica(p, hedged)
	if r == nil {
		return false
	}
	if len(p.attempts) > 0 {
		b.retries.add(b.now)
	}
	if hedged {
		b.hedges.add(b.now)
	}
	b.refusingSince = 0
	r.tokens-- // only relevant while the replica is cold
	if !b.sharesOpenCall(r) {
		r.openCall = &call{step: b.steps, partsBefore: r.openParts}
		r.tokens -= float64(b.settings.CallCost) / (initialLatency * b.minAim)
		r.openCalls++
	}
	r.openParts++
	r.openCall.sent++
	r.openCall.pending++
	if b.settings.CallCost > 0 {
		b.forEachHolder(p.shard, func(r *replica) { r.wantedParts-- })
	}
	onIdleConn := r.openCalls == 1 && b.now-r.lastUsed > idleAfter
	if onIdleConn && b.idleDropsDetected() {
		b.out = append(b.out, Action{Kind: Close, Replica: r.ID})
		onIdleConn = false
	}
	r.lastUsed = b.now
	t := attempt{replica: r, call: r.openCall, sent: b.now, pending: true, onIdleConn: onIdleConn,
		domain: r.Domain}
	p.attempts = append(p.attempts, t)
	p.pending++
	c, startBy := p.query.rules, Micros(0)
	if p.firstRun == 0 {
		p.firstRun = b.now
	} else if c.Effect == Keyed {
		startBy = p.firstRun + c.Window
	}
	until := p.query.aim
	if b.now+Micros(c.LateWorth*float64(c.Aim)) > until {
		until = min(p.query.deadline, b.now+c.Aim)
	}
	timeout := max(until-b.now, scanInterval)
	b.out = append(b.out, Action{Kind: Send, ID: p.id, Replica: r.ID, After: timeout, StartBy: startBy})
	return true
}

// isCold reports whether a replica may still be warming up.
func (b *Balancer) isCold(r *replica) bool {
	return r.startedAt > 0 && b.now-r.startedAt < b.settings.Ramp
}

// updateCapacity tracks how many parts per unit of listed size the warm replicas have served this
// instance, as an estimate of the capacity of a cold one. It is kept long beyond the present because after
// a mass restart no warm replica is left to compare with.
func (b *Balancer) updateCapacity() {
	if b.now < b.nextCapacityUpdate {
		return
	}
	size := 0.0
	for _, r := range b.replicas {
		if r.State == Ready && !b.isCold(r) {
			size += r.Size
		}
	}
	b.warmRate *= math.Exp2(-float64(capacitySpan) / capacityHalfLife)
	b.warmSize = max(size, b.warmSize*math.Exp2(-float64(capacitySpan)/capacityHalfLife))
	n := b.warmServed
	if n < minCapacityParts { // the standard error of a count is its square root, and adds up over many peers
		n -= max(0, 1-capacityFleetScale/b.fleetScale) * math.Sqrt(n)
	}
	if b.capacitySpans++; b.warmSize > 0 {
		b.warmRate = max(b.warmRate, n/float64(b.capacitySpans*capacitySpan)/b.warmSize)
	}
	if b.warmServed >= minCapacityParts ||
		float64(b.capacitySpans) >= min(maxCapacitySpans, b.fleetScale/capacityFleetScale) {
		b.warmServed, b.capacitySpans = 0, 0
	}
	b.nextCapacityUpdate = b.now + capacitySpan
	b.reportChanges()
	for _, w := range []*slidingWindow{&b.arrivals, &b.retries, &b.hedges} {
		w.count(b.now - b.retrySpan) // discard what no limit considers any more
	}
}

// reportChanges logs for operators, with at most two lines per capacity span, that a replica is avoided or
// used again and that overload has begun or ended.
func (b *Balancer) reportChanges() {
	if overloaded := b.refused > 0; overloaded != b.overloadReported {
		b.overloadReported = overloaded
		b.note("overload: %v (%d queries refused in %d s)", overloaded, b.refused, capacitySpan/1_000_000)
	}
	b.refused = 0
	for _, r := range b.replicas {
		latency, mean := b.expectedLatency(r, 0), b.meanLatency()
		avoided := latency > avoidedRatio*mean
		if r.State == Ready && avoided != r.reportedAvoided && (avoided || latency < recoveredRatio*mean) {
			r.reportedAvoided = avoided
			b.note("replica %012x avoided: %v (%.0f ms a part, mean %.0f)",
				uint64(r.ID), avoided, latency/1000, mean/1000)
			return
		}
	}
}

// AvoidedCount returns the number of replicas that are ready and currently avoided. Unlike reportChanges it
// has neither delay nor hysteresis, and it counts a replica whose process refused connections.
func (b *Balancer) AvoidedCount() int {
	n, mean := 0, b.meanLatency()
	for _, r := range b.replicas {
		if r.State == Ready && (r.down || b.expectedLatency(r, 0) > avoidedRatio*mean) {
			n++
		}
	}
	return n
}

// coldBudgetAllows reports whether a replica that may be cold can receive one more part: at most its share
// of what a warm one of the same size has served this instance. The share rises linearly over the ramp,
// from ColdShare; a replica never warms up more slowly than that. Each instance keeps to its own share, so
// all of them together do too.
func (b *Balancer) coldBudgetAllows(r *replica) bool {
	if !b.isCold(r) {
		return true
	}
	boost := 1 + coldRateBoost*max(0, b.settings.FallMultiple-1)
	share := b.settings.ColdShare +
		(1-b.settings.ColdShare)*float64(b.now-r.startedAt)/float64(b.settings.Ramp)
	rate := boost * share * max(minColdRate/float64(max(1, b.settings.Peers)), r.Size*b.warmRate)
	burst := max(1, coldBurst*(b.settings.FallMultiple-1)*rate*float64(b.settings.FallSpan))
	r.tokens = min(burst, r.tokens+rate*float64(b.now-r.refilledAt))
	r.refilledAt = b.now
	return r.tokens >= 1
}

// hasFreeReplica reports whether a replica of the part's shard has a free slot.
func (b *Balancer) hasFreeReplica(p *part) bool {
	found := false
	b.forEachHolder(p.shard, func(r *replica) {
		found = found || r.openCalls < b.slotLimit(r, p.query.class) && b.coldBudgetAllows(r)
	})
	return found
}

// pickReplica chooses the replica for an attempt: a weighted random one among those with a free slot; if
// none has one, the one with the shortest expected wait; a replica that has already failed this part only
// as a last resort.
func (b *Balancer) pickReplica(p *part, hedged bool) *replica {
	b.candidates = b.candidates[:0]
	var soonest, fallback, shared *replica
	total, leastWait := 0.0, 0.0
	domain, isBound := p.boundDomain()
	b.forEachHolder(p.shard, func(r *replica) {
		if b.adjustWeight(r, 0); isBound && r.Domain != domain {
			return // a replica of another domain would execute the repeat
		}
		failed := false // it has already failed this part
		for i := range p.attempts {
			if p.attempts[i].replica == r && (p.attempts[i].pending || hedged) {
				return
			}
			failed = failed || p.attempts[i].replica == r
		}
		if !b.coldBudgetAllows(r) {
			return
		}
		if failed {
			if fallback == nil || r.openCalls < fallback.openCalls {
				fallback = r
			}
			return
		}
		if b.settings.CallCost > 0 && b.sharesOpenCall(r) &&
			b.expectedLatency(r, p.query.class)*float64(r.openParts+1) <= joinLatencyShare*b.minAim {
			if shared == nil || b.drawWeight(r, p.query.class) > b.drawWeight(shared, p.query.class) {
				shared = r
			}
		}
		if r.openCalls < b.slotLimit(r, p.query.class) {
			b.candidates = append(b.candidates, r)
			total += b.drawWeight(r, p.query.class)
		}
		if wait := b.expectedLatency(r, p.query.class) * float64(r.openParts+1); soonest == nil ||
			wait < leastWait {
			soonest, leastWait = r, wait
		}
	})
	if shared != nil {
		return shared // the part needs no call of its own
	}
	if len(b.candidates) > 0 {
		x := b.rng.Float64() * total
		for _, r := range b.candidates {
			if x -= b.drawWeight(r, p.query.class); x < 0 {
				return r
			}
		}
		return b.candidates[len(b.candidates)-1]
	}
	if hedged && !(p.attempts[len(p.attempts)-1].overdue && leastWait <= float64(p.query.aim-b.now)) {
		return nil // queueing a hedged attempt would only add load, unless the part is otherwise lost
	}
	if soonest != nil {
		return soonest
	}
	return fallback
}
