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
	AskAgain Micros = 1_000_000
	AskMost  Micros = 4_000_000
)

// Tuned constants.
const (
	// Replica weights.
	minWeight, midWeight, maxWeight = 1.0, 50.0, 100.0
	weightStep                      = 5.0        // gain per success; a failure costs this times its penalty
	halfLife                        = 10_000_000 // us in which a weight moves half of its distance to midWeight
	lossTimeout, lossError          = 1.0, 2.0   // multiples of weightStep
	lossRefused, lossBusy           = 3.0, 0.2

	// Latency per part, and the decisions based on it.
	speedLife      = 4_000_000 // us, half-life of latency samples
	fewPeers       = 4.0       // peers; in larger fleets samples of peers arrive and decay faster and weigh more
	ownTrust       = 3.0       // weight of an own sample, where a plain one weighs 1
	classTrust     = 1.0       // additional multiple of that for samples of the same class
	peerTrust      = 3.0       // weight of a sample mixed from peers, divided by 1 + the number of own samples
	lostTime       = 0.5       // share of the shortest aim that is recorded for a part without an answer
	hotShare       = 1.3       // the slowest required part may take this multiple of the share admitted
	firstCost      = 0.1       // share of the shortest aim that a part is expected to take before any sample
	pacePrior      = 3.0       // samples that the initial value of a mean counts as
	paceParts      = 30.0      // parts over which shares and means are smoothed
	speedPower     = 4.0       // draw probability is proportional to weight / latency to this power
	capShare       = 0.25      // share of the shortest aim that our calls open at a replica may need
	minCap, maxCap = 0, 16     // bounds of that number of calls
	joinShare      = 0.5       // share of the shortest aim that a call may take for further parts to join it
	crossChance    = 0.25      // factor on the draw weight of a replica in another zone if crossing has a cost
	callPower      = 2.0       // exponent of the number of parts that could share a call, in the draw weight
	tellGap        = 250_000   // us between messages, each to a randomly chosen peer
	maxHeard       = 8.0       // samples; bounds the weight of what peers report of a replica
	workGain       = 0.2       // EWMA gain of the number of parts per query of a class

	// Hedging.
	firstDelayShare = 0.25      // share of the aim: the initial hedge delay
	delayQuantile   = 0.95      // quantile of the class's part latency that the hedge delay then tracks
	quantileGain    = 0.1       // relative step of the quantile tracker
	maxDelayShare   = 0.5       // share of the aim: the maximum hedge delay
	maxInFlight     = 3         // attempts of one part at a time
	copyShare       = 0.1       // hedged attempts per recent part,
	lateCopyShare   = 0.2       // and per recent part if the last attempt is overdue,
	copySpare       = 1.0       // plus this number, so that an instance with little traffic can hedge at all
	copySpan        = 5_000_000 // us that count as recent if the settings give no ResendSpan
	overdueFactor   = 2.5       // hedge delays after which an attempt is overdue and counts as timed out,
	overdueShare    = 0.6       // or share of the aim, whichever is shorter

	// Admission, by the expected latency of the parts.
	admitShare, admitAlone = 0.45, 0.25 // share of the aim to admit by; the second is added with up to
	admitPeers             = 3.0        // this many peers, which hide little waiting work, and shrinks beyond
	admitLeast             = 0.55       // part of that share left for work without worth
	admitTail              = 2.6        // multiple of that share allowed to the last required part
	hopeShare              = 1.0        // share of the time to the aim that a part may be expected to take
	vainParts              = 60.0       // parts over which the share of rejected ones is smoothed
	vainCut, vainMost      = 3.0, 0.5   // multiple of that share cut from admission, and the maximum cut
	proveAfter             = 3_000_000  // us of refusing all queries, after which one is admitted as a trial;
	//                                     the limit documented for this is 4 s
	admitQuantile     = 0.8       // of the required parts: the slowest of few, not the one outlier of many
	overPart, farOver = 1.2, 1.8  // a tenant's share of the local traffic over its share of the quotas
	quotaLeast        = 8.0       // queries of a tenant needed to judge its share
	quotaSpan         = 5_000_000 // us over which a tenant's rate is compared with its quota

	// Cold replicas.
	leastCold   = 1e-6       // parts per us from all peers, times the cold share, without any measurement
	coldBoost   = 1.0        // share of FallMultiple - 1 by which a cold replica may exceed its capacity
	coldBurst   = 0.6        // share of FallMultiple - 1, times rate and FallSpan, that tokens may accumulate
	gaugeSpan   = 2_000_000  // us over which served parts are counted, at least
	gaugeParts  = 64.0       // with fewer parts counting continues in large fleets, less the standard error:
	gaugeMost   = 8.0        // the maximum of small counts is biased upwards; maximum number of spans
	gaugeCrowd  = 2.0        // fleet scale above which that applies, see updateEvidenceScale
	carriedLife = 60_000_000 // us, half-life of the measured capacity

	// Idle connections.
	staleAfter = 300_000    // us without use after which a connection counts as idle
	reapLoss   = 0.05       // idle connections are being dropped if more than this share of sends on them is
	reapTimes  = 2.0        // lost, plus this multiple of the share lost on connections in use
	reapLife   = 10_000_000 // us, half-life of these samples

	// Probes.
	probeLoss = 0.05      // share of unanswered parts above which probes are worth their cost
	sweepSpan = 3_000_000 // us in which all replicas are probed once

	noteSlow, noteWell    = 3.0, 1.5 // multiples of the mean latency: reported as avoided, as used again
	sweep                 = 10_000   // us between two passes over the open queries
	advice                = 0.3      // share of the shortest aim: the longest retry advice; half is the shortest
	patienceSlack         = 50_000.0 // us by which a client may wait less than others without counting as late
	stepShare, stepDelays = 0.5, 2.0 // share of the aim, and hedge delays: the most reserved for a second step
	aimMargin             = 0.03     // share of the aim reserved for the way back to the client
	tolerance             = 5e-5     // absolute error allowed in a sum of part weights
)

// New returns an instance that starts now with the given settings. The seed must differ between instances.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		rng:  rand.New(rand.NewPCG(seed, 0x736f7272656c)),
		byID: map[ReplicaID]*replica{}, byHash: map[uint32]*replica{},
		byQuery: map[uint32]*query{}, byNumber: map[float32]*query{}, parts: map[uint32]*part{},
	}
	b.adopt(&s)
	return b, nil
}

// Step processes the events of this moment in order, appends the resulting actions to out and returns it.
func (b *Balancer) Step(now Micros, events []Event, out []Action) []Action {
	b.now, b.out = max(now, b.now), out
	b.steps++
	for i := range events {
		b.handle(&events[i])
	}
	if b.s.Subscribe && !b.watching && !b.asked && b.now >= b.askAt {
		b.asked = true
		b.out = append(b.out, Action{Kind: Watch})
	}
	b.gauge()
	b.tell()
	b.probe()
	for _, q := range b.queries {
		if !q.ended {
			b.advance(q)
		}
	}
	b.queries = slices.DeleteFunc(b.queries, func(q *query) bool { return q.ended })
	if (len(b.queries) > 0 || b.s.Subscribe) && b.wakeAt <= b.now {
		b.wakeAt = b.now + max(sweep, b.s.Tick)
		b.out = append(b.out, Action{Kind: Wake, After: b.wakeAt - b.now})
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) handle(e *Event) {
	switch e.Kind {
	case Query:
		b.taken.add(b.now)
		if e.Class < 0 || e.Class >= len(b.s.Classes) || b.byQuery[e.ID] != nil {
			return
		}
		if e.Tenant >= 0 && e.Tenant < len(b.tenants) {
			b.tenants[e.Tenant].add(b.now)
		}
		q := &query{id: e.ID, number: e.Number, class: e.Class, tenant: e.Tenant, deadline: e.Deadline,
			rules: &b.s.Classes[e.Class], most: b.s.MaxAttempts}
		if e.Rules != nil {
			q.rules = e.Rules
		}
		if e.Most > 0 {
			q.most = e.Most
		}
		c := q.rules
		q.aim = b.now + Micros((1-aimMargin)*(float64(c.Aim)+c.AimStretch*float64(e.Hint)))
		q.aim = min(q.aim, e.Deadline)
		b.age(q, e.Repeat || !b.s.MarksRepeat)
		b.limit(q)
		b.byQuery[q.id], b.byNumber[q.number] = q, q
		b.queries = append(b.queries, q)
	case Part:
		b.taken.add(b.now)
		if q := b.byNumber[e.Number]; q != nil && b.parts[e.ID] == nil {
			p := &part{id: e.ID, q: q, shard: e.Shard}
			if e.Weight > 0 {
				p.weight = e.Weight
			}
			q.parts = append(q.parts, p)
			b.parts[p.id] = p
		}
	case Result:
		p, i := b.parts[e.ID], e.Attempt
		if p != nil && i >= 0 && i < len(p.tries) && p.tries[i].live {
			b.settle(p, &p.tries[i], e)
		}
	case Began:
		if p := b.parts[e.ID]; p != nil {
			p.q.began = true
		}
	case ClientGone:
		if q := b.byQuery[e.ID]; q != nil {
			b.end(q)
		}
	case List:
		b.list(e)
	case ProbeResult:
		b.probeEnd(e)
	case Message:
		b.hear(e.Data)
	case Changed:
		if e.Settings.check() == nil && len(e.Settings.Classes) >= len(b.classes) {
			b.adopt(e.Settings)
		}
	case Recalled:
		b.carried, b.usualSize = e.Memory.Carried, e.Memory.UsualSize
	case Ending:
		b.until = max(1, e.Deadline)
		for _, q := range b.queries {
			b.limit(q)
		}
	}
}

// capDeadline limits the aim and deadline of a query to the shutdown of this instance: a query that is not
// served by then still gets its final answer while the process exists.
func (b *Balancer) limit(q *query) {
	if b.until > 0 {
		q.deadline, q.aim = min(q.deadline, b.until), min(q.aim, b.until)
	}
}

// detectLateRepeat finds out whether a query repeats one whose aim has passed, so that it earns at most
// its late worth. Clients wait the same share of a class's deadline for each try, or what is left of it,
// so a client that waits less has started earlier.
func (b *Balancer) age(q *query, repeat bool) {
	c := q.rules
	left := q.deadline - b.now
	b.patience = min(1, max(b.patience, float64(left)/float64(c.Deadline)))
	if !repeat || float64(left) > b.patience*float64(c.Deadline)-patienceSlack {
		return
	}
	q.late = q.deadline-c.Deadline+c.Aim <= b.now
}

// applyList updates the replicas from a List event.
func (b *Balancer) list(e *Event) {
	if e.Mode != Cached && e.Mode != Local {
		b.asked = false
		b.watching = e.Mode != Failed
		b.askGap = min(2*b.askGap, AskMost) // exponential back-off with jitter: discovery may be down
		if b.watching || b.askGap == 0 {
			b.askGap = AskAgain
		}
		if b.s.MustAsk > 0 { // up to four times this may pass after a failed call
			b.askGap = min(b.askGap, b.s.MustAsk)
		}
		b.askAt = b.now + b.askGap/2 + b.rng.Int64N(b.askGap/2+1)
	}
	if e.Mode == Failed {
		return
	}
	if e.Mode != Delta && e.Mode != Local {
		for _, r := range b.replicas {
			r.State = Gone // unless the list contains it, see below
		}
	}
	for _, l := range e.Replicas {
		if l.Size = min(1e9, l.Size); !(l.Size > 0) { // sums must stay finite and positive
			l.Size = 1e-9
		}
		l.Started = min(l.Started, b.now) // a time in the future, by a clock ahead of ours, means now
		r := b.byID[l.ID]
		if r == nil {
			r = &replica{classes: make([]tally, len(b.s.Classes))}
			b.byID[l.ID] = r
			b.replicas = append(b.replicas, r)
			b.restart(r, l.Started)
		} else if l.Started > r.start {
			b.restart(r, l.Started)
		}
		r.Replica = l
	}
	b.replicas = slices.DeleteFunc(b.replicas, func(r *replica) bool {
		dead := r.State == Gone && r.calls == 0
		if dead {
			delete(b.byID, r.ID)
		}
		return dead
	})
	b.index()
}

// resetReplica discards what is known of a replica after its restart. Its tokens, which limit the parts it
// may receive while it is cold, start at a random level: instances that learn of a restart at the same
// time must neither all send at once nor all accumulate their next token at the same time later.
func (b *Balancer) restart(r *replica, at Micros) {
	r.weight, r.lost, r.down, r.own, r.pool = midWeight, false, false, tally{}, tally{}
	clear(r.classes)
	r.start, r.tokens, r.updated, r.refilled = at, b.rng.Float64(), b.now, b.now
}

// recordLatency records the latency of a part at a replica. For a part without an answer it is the time
// waited so far, a lower bound.
func (b *Balancer) saw(r *replica, class int, took float64) {
	b.blame(r, class, took)
	b.all.decay(b.now, b.life)
	b.all.add(min(took, b.minAim), 1)
}

// recordReplicaLatency records a latency for the replica only, not in the mean of all replicas: immediate
// failures say nothing about the latency elsewhere.
func (b *Balancer) blame(r *replica, class int, took float64) {
	b.fade(r)
	r.classes[class].add(min(took, b.minAim), 1)
	r.own.add(min(took, b.minAim), 1)
	r.pool.add(min(took, b.minAim), 1)
}

// meanLatency returns the mean latency per part over all replicas. Without new samples it decays towards
// its initial value, because a value that keeps an instance from sending must not persist.
func (b *Balancer) pace() float64 {
	b.all.decay(b.now, b.life)
	return (b.all.sum + pacePrior*firstCost*b.minAim) / (b.all.n + pacePrior)
}

// updateEvidenceScale sets the half-life of latency samples, and how many instances' samples a peer's
// message represents. In a large fleet each instance uses a replica rarely, but together they use it
// often: samples decay as fast as messages spread them to all instances, and a message weighs by the
// number of instances mixed into it. With so many replicas that messages spread no faster than samples
// decay, messages carry no news, and all instances would act together on outdated samples; they then weigh
// as in a small fleet.
func (b *Balancer) mix() {
	peers := max(1, float64(b.s.Peers))
	turn := tellGap * max(1, float64(len(b.replicas))*entrySize/maxMessage) // between messages on one replica
	b.crowd = max(1, peers/fewPeers)
	b.life = min(speedLife, max(speedLife/b.crowd, turn*math.Log2(peers)))
	if b.heed = 1; b.life < speedLife {
		b.heed = max(1, min(peers, math.Exp2(b.life/turn))/fewPeers)
	}
}

// decayEvidence decays the latency samples of a replica to the present.
func (b *Balancer) fade(r *replica) {
	r.own.decay(b.now, b.life)
	r.pool.decay(b.now, b.life)
	for i := range r.classes {
		r.classes[i].decay(b.now, b.life)
	}
}

// expectedLatency returns the expected latency of a part of a class at a replica, queueing included. Own
// samples outweigh all others, and own samples of the class outweigh those of other classes: a replica may
// serve some classes and leave another unanswered. In a large fleet own samples are few and old, so the
// samples shared by peers weigh by the number of instances that they represent.
func (b *Balancer) expect(r *replica, class int) float64 {
	b.fade(r)
	heed, c := b.heed*peerTrust/(1+r.own.n), r.classes[class]
	return (b.pace() + ownTrust*(r.own.sum+classTrust*c.sum) + heed*r.pool.sum) /
		(1 + ownTrust*(r.own.n+classTrust*c.n) + heed*r.pool.n)
}

// sendProbes probes replicas with few recent own samples while a significant share of our parts gets no
// answer. The fault may be on the path between this instance and some replicas, in which case the peers'
// samples are misleading.
func (b *Balancer) probe() {
	if !b.s.CanProbe || b.now < b.probeAt || b.lossShare < probeLoss || len(b.replicas) == 0 {
		return
	}
	due := int(min(b.now-b.probeAt, sweepSpan/4)*Micros(len(b.replicas))/sweepSpan) + 1
	for ; due > 0; due-- {
		b.probeNext = (b.probeNext + 1) % len(b.replicas)
		r := b.replicas[b.probeNext]
		if b.fade(r); r.State == Ready && r.own.n < 1 {
			b.out = append(b.out, Action{Kind: Probe, Replica: r.ID})
		}
	}
	b.probeAt = b.now + sweepSpan/Micros(len(b.replicas))
}

// recordProbe records the result of a probe. A success counts as a sample of its duration, at least that
// of a part without queueing. It is ignored if the last part decided there went unanswered, because it may
// show only that the path works.
func (b *Balancer) probeEnd(e *Event) {
	r := b.byID[e.Replica]
	if r == nil {
		return
	}
	b.fade(r)
	switch {
	case e.Outcome == Spoilt:
	case e.Outcome != OK:
		r.own.add(lostTime*b.minAim, 1)
	case !r.lost:
		r.own.add(max(firstCost*b.minAim, float64(e.Elapsed)), 1)
	}
}

// sendGossip sends half of the sample weight of some replicas to a randomly chosen peer. This averages
// until every instance holds about the mean of all samples. A lost message removes weight from all samples
// in it alike, so the mean is unaffected.
func (b *Balancer) tell() {
	if !b.s.CanTell || b.s.Peers < 2 || len(b.replicas) == 0 || b.now < b.tellAt {
		return
	}
	b.tellAt = b.now + tellGap
	m := message{most: b.s.TellMost}
	for range b.replicas {
		b.tellNext = (b.tellNext + 1) % len(b.replicas)
		r := b.replicas[b.tellNext]
		b.fade(r)
		if b.byHash[hash(r.ID)] == r && m.add(hash(r.ID), r.pool.sum/r.pool.n, r.pool.n/2) {
			r.pool.sum, r.pool.n = r.pool.sum/2, r.pool.n/2
		}
		if m.full() {
			break
		}
	}
	if text := m.text(); text != "" {
		to := b.rng.IntN(b.s.Peers - 1)
		if to >= b.s.Number {
			to++
		}
		b.out = append(b.out, Action{Kind: Tell, To: uint32(to), Text: text})
	}
}

// mergeGossip adds a peer's message to the shared samples. Values and weights are bounded, and own samples
// outweigh them.
func (b *Balancer) hear(data []byte) {
	entries(data, func(h uint32, took, n float64) {
		if r := b.byHash[h]; r != nil {
			b.fade(r)
			r.pool.add(min(b.minAim, took), n)
			if over := r.pool.n / maxHeard; over > 1 {
				r.pool.sum, r.pool.n = r.pool.sum/over, r.pool.n/over
			}
		}
	})
}

// drawWeight returns the weight of a replica in the random draw: its replica weight times its listed size,
// divided by a power of its expected latency. It grows with the number of parts that could share a call
// there if calls have a cost, and is reduced for other zones if crossing has a cost.
func (b *Balancer) chance(r *replica, class int) float64 {
	c := r.weight * r.Size * math.Pow(b.minAim/max(b.expect(r, class), 1), speedPower)
	if r.Zone != b.s.Zone && b.s.CrossCost > 0 {
		c *= crossChance
	}
	if b.s.CallCost > 0 && r.wantedAt == b.steps {
		c *= math.Pow(float64(max(1, min(r.wanted, b.s.BatchMax))), callPower)
	}
	return c
}

// idleDropsDetected reports whether connections are silently dropped while idle: sends on idle connections
// are lost far more often than sends on connections in use. The replica is not at fault, and closing the
// idle connection before a send opens a working one. If a silent replica is merely met on idle connections
// more often, this costs unnecessary handshakes for a while.
func (b *Balancer) reaped() bool {
	b.idle.decay(b.now, reapLife)
	b.busy.decay(b.now, reapLife)
	rate := func(t *tally) float64 { return t.sum / (t.n + pacePrior) }
	return rate(&b.idle) > reapLoss+reapTimes*rate(&b.busy)
}

// recordConnLoss records whether an attempt was lost (1) or not (0), and reports whether the connection
// rather than the replica is to blame for a loss.
func (b *Balancer) reaps(t *attempt, lost float64) bool {
	blame := b.reaped() && t.stale
	if t.stale {
		b.idle.add(lost, 1)
	} else {
		b.busy.add(lost, 1)
	}
	return blame
}

// recordResult records the end of an attempt.
func (b *Balancer) settle(p *part, t *attempt, e *Event) {
	b.release(p, t)
	r, c := t.r, &b.classes[p.q.class]
	if e.Outcome != Cancelled && e.Outcome != TimedOut {
		r.used = b.now
	}
	age := float64(b.now - t.sent)
	switch e.Outcome {
	case OK:
		b.vain -= b.vain / vainParts
	case Error, Busy, Spoilt: // time-outs are left out: an unanswered part takes no capacity from others
		b.vain += (1 - b.vain) / vainParts
	}
	switch e.Outcome {
	case OK:
		// Restarted before the list says so. A full connection table at the replica looks the same.
		if r.down && t.sent >= r.since {
			b.restart(r, b.now)
		}
		if !b.cold(r) {
			b.served++
		}
		if age > c.delay { // the hedge delay tracks a quantile of the class's part latency
			c.delay *= 1 + quantileGain*delayQuantile
		} else {
			c.delay *= 1 - quantileGain*(1-delayQuantile)
		}
		c.delay = min(c.delay, maxDelayShare*float64(p.q.rules.Aim))
		b.saw(r, p.q.class, age/t.load())
		b.beside += (float64(t.call.sent-1) - b.beside) / paceParts
		if !t.overdue {
			b.reaps(t, 0)
			b.lossShare -= b.lossShare / paceParts
			r.lost = false
			b.adjust(r, weightStep)
		}
	case Cancelled:
		if age > b.expect(r, p.q.class) { // another attempt was faster, and this one is slower than expected
			b.saw(r, p.q.class, age/t.load())
		}
	case Error, Reset:
		if e.Outcome == Reset && b.reaps(t, 1) {
			break
		}
		b.blame(r, p.q.class, lostTime*b.minAim)
		b.adjust(r, -weightStep*lossError)
	case Spoilt: // no latency sample; the weight drops for a replica that only sends malformed answers
		b.adjust(r, -weightStep*lossTimeout)
	case TimedOut:
		if !t.overdue {
			b.adjust(r, -weightStep*lossTimeout)
		}
	case NoConnection:
		b.blame(r, p.q.class, lostTime*b.minAim)
		// Refused rather than timed out: the process is not running.
		if b.s.DialTimeout <= 0 || b.now-t.sent < b.s.DialTimeout {
			r.down, r.since = true, b.now
		}
		b.adjust(r, -weightStep*lossRefused)
	case Busy: // its queue is full: a part sent now would wait behind all of it
		b.saw(r, p.q.class, b.minAim)
		r.pool.add(b.minAim, 1/b.crowd-1) // all peers see the same full queue at the same time
		b.adjust(r, -weightStep*lossBusy)
	}
	if t.never = e.Outcome == Busy || e.Outcome == NoConnection || e.Outcome == NotSent; t.never {
		p.recount()
	}
	if p.q.ended || p.done {
		return
	}
	if e.Outcome == OK {
		p.done = true
		p.q.got += p.weight
		p.q.in++
		b.drop(p)
	}
}

// cancelAttempts cancels the attempts of a part that are still in flight.
func (b *Balancer) drop(p *part) {
	for i := range p.tries {
		if p.tries[i].live && b.s.CanCancel {
			b.out = append(b.out, Action{Kind: Cancel, ID: p.id, Attempt: i})
		}
	}
}

// adjustWeight decays a replica's weight towards midWeight and then changes it.
func (b *Balancer) adjust(r *replica, by float64) {
	keep := math.Exp2(-float64(b.now-r.updated) / halfLife)
	r.weight = midWeight + (r.weight-midWeight)*keep
	r.weight = min(maxWeight, max(minWeight, r.weight+by))
	r.updated = b.now
}

// slotLimit returns the maximum number of open calls to a replica: the number of parts that it is expected
// to serve in slotLatencyShare of the shortest aim.
func (b *Balancer) slots(r *replica, class int) int {
	return int(min(maxCap, max(minCap, capShare*b.minAim/max(b.expect(r, class), 1))))
}

// thresholds returns the weight required for a complete answer and for any answer in the current step.
func (b *Balancer) shares(q *query) (need, floor float64) {
	c := q.rules
	need, floor = c.Need, c.Floor
	if q.second {
		if floor >= need {
			floor = 1
		}
		need = 1
	}
	return need - tolerance, floor - tolerance
}

// answer answers the current step of a query.
func (b *Balancer) answer(q *query) {
	need, _ := b.shares(q)
	whole := q.got >= need && (!q.second || q.whole && q.in == len(q.parts))
	b.out = append(b.out, Action{Kind: Answer, ID: q.id, Whole: whole})
	if q.rules.SecondStep > 0 && !q.second {
		b.close(q)
		q.second, q.whole, q.got, q.in = true, whole, 0, 0
		return
	}
	b.end(q)
}

// giveUp gives the final answer of a query that cannot be served completely: a partial answer if enough
// parts are in; otherwise a refusal if no part may have run or a repeat is safe, and a failure if not.
func (b *Balancer) giveUp(q *query, why string) {
	_, floor := b.shares(q)
	if q.got >= floor && q.in > 0 {
		b.answer(q)
		if q.ended {
			return
		}
	}
	safe := q.rules.Effect == Safe
	if !safe && !q.second {
		safe = true
		for _, p := range q.parts {
			safe = safe && p.ran == 0 && !p.done
		}
	}
	a := Action{Kind: Fail, ID: q.id, Text: why}
	if safe {
		a.Kind = Refuse
		if b.s.CanAdvise {
			a.After = Micros((1 + b.rng.Float64()) / 2 * min(advice*b.minAim, float64(b.s.MaxRetryAfter)))
		}
	}
	b.out = append(b.out, a)
	b.end(q)
}

// advance takes the next actions for a query.
func (b *Balancer) advance(q *query) {
	need, floor := b.shares(q)
	switch {
	case len(q.parts) > 0 && q.got >= need && (!q.second || q.in == len(q.parts)):
		b.answer(q)
		return
	case b.now+max(sweep, b.s.Tick) >= q.deadline,
		b.now >= q.aim && q.got < floor && !b.worthLate(q, floor):
		b.giveUp(q, WhyLate)
		return
	case q.in > 0 && q.got >= floor && b.now >= b.partialAt(q):
		b.answer(q)
		return
	}
	if !q.admitted && len(q.parts) > 0 {
		if !q.second && !b.admit(q) {
			if b.refused++; b.denied == 0 {
				b.denied = b.now
			}
			b.giveUp(q, WhyOverload)
			return
		}
		q.admitted = true
		k := &b.classes[q.class]
		if k.work == 0 {
			k.work = float64(len(q.parts))
		}
		k.work += workGain * (float64(len(q.parts)) - k.work)
	}
	b.mark(q)
	hope, under := 0.0, 0.0 // weight that can still arrive; weight that has arrived or is on track
	for _, p := range q.parts {
		if p.done || p.live > 0 || len(p.tries) < q.most && b.mayRepeat(p) {
			hope += p.weight
		}
		if p.done || b.sound(p, need < 1-2*tolerance) {
			under += p.weight
		}
	}
	if len(q.parts) > 0 && hope < floor {
		b.giveUp(q, WhyExhausted)
		return
	}
	if b.s.CallCost > 0 && b.s.BatchMax > 1 {
		b.want(q)
	}
	for pass := range 2 {
		for _, p := range q.parts {
			if p.done || p.live > 0 || need < 1-2*tolerance && under >= need+p.weight {
				continue
			}
			if pass == 0 && need < 1-2*tolerance && !b.roomy(p) {
				continue // if not every part is required, those with a free replica go first
			}
			if len(p.tries) < q.most && b.mayRepeat(p) && b.send(p, false) {
				under += p.weight
			}
		}
	}
	for _, p := range q.parts {
		if !p.done && p.live > 0 && (need >= 1-2*tolerance || under < need) {
			b.hedge(p)
		}
	}
}

// partialAnswerAt returns when a query is answered partially. A first step leaves the second one time for
// a part and a hedged attempt: a second step begun at the aim would fail, and the worth of the first step
// would be lost with it.
func (b *Balancer) partialAt(q *query) Micros {
	if c := q.rules; c.SecondStep > 0 && !q.second {
		return q.aim - Micros(min(stepShare*float64(c.Aim), stepDelays*b.classes[q.class].delay))
	}
	return q.aim
}

// worthContinuing reports whether a query past its aim should continue: its late worth per part that it
// still needs exceeds what the best class earns per part in time. If given up, the client would repeat the
// query, and the repeat would be late too.
func (b *Balancer) worthLate(q *query, floor float64) bool {
	lacks := max(1, (floor-q.got)*float64(len(q.parts)))
	return q.rules.LateWorth*b.value(q)*b.classes[q.class].work >= lacks
}

// admit reports whether a query is to be served. Under overload this keeps queues short: work that cannot
// earn its worth is refused before it costs anything, that of the least worth per work first. Expected
// latencies decay without new samples, so an instance that refuses everything tries again.
func (b *Balancer) admit(q *query) bool {
	_, floor := b.shares(q)
	waits := make([]float64, 0, len(q.parts))
	for _, p := range q.parts {
		best := math.Inf(1)
		b.holders(p.shard, func(r *replica) {
			if b.admits(r) { // a part that waits for a cold replica would delay the whole query
				best = min(best, b.expect(r, q.class)*(float64(r.parts)+1+b.beside))
			}
		})
		if !math.IsInf(best, 1) {
			waits = append(waits, best)
		}
	}
	if float64(len(waits)) < floor*float64(len(q.parts)) || len(waits) == 0 ||
		q.late && q.rules.LateWorth <= 0 {
		return false
	}
	slices.Sort(waits)
	wait := waits[min(len(waits)-1, int(admitQuantile*floor*float64(len(waits))))]
	few := min(1, admitPeers/float64(max(1, b.s.Peers)))
	share := admitShare + admitAlone*few
	// Rejected parts are sent again and use capacity twice. In a small fleet that shows in the own queues.
	share *= 1 - (1-few)*min(vainMost, vainCut*b.vain)
	// Relative delay of the last required part.
	tail := math.Log(float64(len(q.parts)) / (1 + b.beside))
	if floor < 1-2*tolerance {
		tail = min(tail, -math.Log(1-floor))
	}
	// There are two limits: queues are kept short relative to the aims of the classes, and a query whose
	// client waits less than that is refused only if it is unlikely to be served in that time.
	left := float64(q.aim - b.now)
	own := max(left, min(b.minAim, float64(q.rules.Aim)))
	limit := min(share*min(b.minAim, own), admitTail*share*own/(1+tail))
	last := waits[min(len(waits)-1, int(floor*float64(len(waits))))] // possibly at a hot shard
	return wait <= hopeShare*left &&
		max(wait, last*limit/(hotShare*share*own)) <= limit*(admitLeast+(1-admitLeast)*b.value(q)) ||
		b.denied > 0 && b.now-b.denied >= proveAfter // peers' samples may be old, or of another path
}

// relativeWorth returns the worth of a query per unit of work, as a share of that of the best class.
func (b *Balancer) value(q *query) float64 {
	best, own := 1e-9, 0.0
	for i := range b.s.Classes {
		c := &b.s.Classes[i]
		if i == q.class {
			c = q.rules
		}
		v := c.Worth
		if !b.s.WorthByWork {
			v /= max(1, b.classes[i].work)
		}
		// The number of parts of a class is unknown until its first query.
		if i == q.class || !c.Dropped && (b.s.WorthByWork || b.classes[i].work > 0) {
			best = max(best, v)
		}
		if i == q.class {
			own = v
		}
	}
	if b.overShare(q.tenant) {
		own *= b.s.OverShareWorth
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
func (b *Balancer) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenants) || b.s.Tenants[tenant].Quota <= 0 {
		return false
	}
	since, all, quotas := b.now-quotaSpan, 0.0, 0.0
	for i := range b.tenants {
		all += float64(b.tenants[i].count(since))
		quotas += b.s.Tenants[i].Quota
	}
	own, quota := float64(b.tenants[tenant].count(since)), b.s.Tenants[tenant].Quota
	part := own / all * quotas / quota // its share of the local traffic over its share of the quotas
	over := own*float64(max(1, b.s.Peers)) > quota*quotaSpan/1e6
	return part > overPart && over || part > farOver && own > quotaLeast
}

// onTrack reports whether a part has an attempt in flight that is not overdue. If strict, the attempt must
// not have reached the hedge delay either: other parts can replace this one, without using the retry
// budget.
func (b *Balancer) sound(p *part, strict bool) bool {
	for i := range p.tries {
		t := &p.tries[i]
		if t.live && !t.overdue && (!strict || float64(b.now-t.sent) < b.classes[p.q.class].delay) {
			return true
		}
	}
	return false
}

// markOverdue finds the attempts that are overdue and counts each as timed out immediately. Otherwise a
// replica that accepts parts and answers none would be detected only at the deadline.
func (b *Balancer) mark(q *query) {
	limit := min(overdueFactor*b.classes[q.class].delay, overdueShare*float64(q.rules.Aim))
	for _, p := range q.parts {
		for i := range p.tries {
			t := &p.tries[i]
			if t.live && !t.overdue && float64(b.now-t.sent) > limit {
				t.overdue = true
				if b.reaps(t, 1) {
					continue
				}
				b.saw(t.r, q.class, float64(b.now-t.sent)/t.load())
				b.lossShare += (1 - b.lossShare) / paceParts
				t.r.lost = true
				b.adjust(t.r, -weightStep*lossTimeout)
			}
		}
	}
}

// mayRepeat reports whether the class allows another attempt of a part.
func (b *Balancer) mayRepeat(p *part) bool {
	c := p.q.rules
	if p.ran == 0 || c.Effect == Safe {
		return true
	}
	return c.Effect == Keyed && b.now < p.ran+c.Window
}

// hedge sends another attempt of a part that has waited longer than the hedge delay.
func (b *Balancer) hedge(p *part) {
	q := p.q
	last := p.tries[len(p.tries)-1]
	if !b.s.CanCopy || q.began || q.rules.Effect == Unsafe || !b.mayRepeat(p) ||
		p.live >= maxInFlight || len(p.tries) >= q.most ||
		float64(b.now-last.sent) < b.classes[q.class].delay {
		return
	}
	share := copyShare
	if last.overdue {
		share = lateCopyShare
	}
	if float64(b.copies.count(b.now-b.span)+1) > copySpare+share*float64(b.taken.count(b.now-b.span)) {
		return
	}
	b.send(p, true)
}

// withinRetryBudget reports whether the settings' retry budget allows one more attempt beyond a part's
// first.
func (b *Balancer) budget() bool {
	if b.s.ResendSpan <= 0 {
		return true
	}
	since := b.now - b.s.ResendSpan
	allowed := b.s.SpareAttempts + b.s.ResendRatio*float64(b.taken.count(since+1))
	return float64(b.extras.count(since)+1) <= allowed
}

// send starts an attempt of a part if the budget allows it and a replica is available.
func (b *Balancer) send(p *part, copied bool) bool {
	if len(p.tries) > 0 {
		if !b.budget() {
			return false
		}
	}
	r := b.pick(p, copied)
	if r == nil {
		return false
	}
	if len(p.tries) > 0 {
		b.extras.add(b.now)
	}
	if copied {
		b.copies.add(b.now)
	}
	b.denied = 0
	r.tokens-- // only relevant while the replica is cold
	if !b.joins(r) {
		r.open = &call{step: b.steps, before: r.parts}
		r.tokens -= float64(b.s.CallCost) / (firstCost * b.minAim)
		r.calls++
	}
	r.parts++
	r.open.sent++
	r.open.live++
	if b.s.CallCost > 0 {
		b.holders(p.shard, func(r *replica) { r.wanted-- })
	}
	stale := r.calls == 1 && b.now-r.used > staleAfter
	if stale && b.reaped() {
		b.out = append(b.out, Action{Kind: Close, Replica: r.ID})
		stale = false
	}
	r.used = b.now
	t := attempt{r: r, call: r.open, sent: b.now, live: true, stale: stale, domain: r.Domain}
	p.tries = append(p.tries, t)
	p.live++
	c, before := p.q.rules, Micros(0)
	if p.ran == 0 {
		p.ran = b.now
	} else if c.Effect == Keyed {
		before = p.ran + c.Window
	}
	until := p.q.aim
	if b.now+Micros(c.LateWorth*float64(c.Aim)) > until {
		until = min(p.q.deadline, b.now+c.Aim)
	}
	after := max(until-b.now, sweep)
	b.out = append(b.out, Action{Kind: Send, ID: p.id, Replica: r.ID, After: after, Before: before})
	return true
}

// isCold reports whether a replica may still be warming up.
func (b *Balancer) cold(r *replica) bool {
	return r.start > 0 && b.now-r.start < b.s.Ramp
}

// updateCapacity tracks how many parts per unit of listed size the warm replicas have served this
// instance, as an estimate of the capacity of a cold one. It is kept long beyond the present because after
// a mass restart no warm replica is left to compare with.
func (b *Balancer) gauge() {
	if b.now < b.gaugeAt {
		return
	}
	size := 0.0
	for _, r := range b.replicas {
		if r.State == Ready && !b.cold(r) {
			size += r.Size
		}
	}
	b.carried *= math.Exp2(-float64(gaugeSpan) / carriedLife)
	b.usualSize = max(size, b.usualSize*math.Exp2(-float64(gaugeSpan)/carriedLife))
	n := b.served
	if n < gaugeParts { // the standard error of a count is its square root, and adds up over many peers
		n -= max(0, 1-gaugeCrowd/b.crowd) * math.Sqrt(n)
	}
	if b.counted++; b.usualSize > 0 {
		b.carried = max(b.carried, n/float64(b.counted*gaugeSpan)/b.usualSize)
	}
	if b.served >= gaugeParts || float64(b.counted) >= min(gaugeMost, b.crowd/gaugeCrowd) {
		b.served, b.counted = 0, 0
	}
	b.gaugeAt = b.now + gaugeSpan
	b.report()
	for _, w := range []*window{&b.taken, &b.extras, &b.copies} {
		w.count(b.now - b.span) // discard what no limit considers any more
	}
}

// reportChanges logs for operators, with at most two lines per capacity span, that a replica is avoided or
// used again and that overload has begun or ended.
func (b *Balancer) report() {
	if over := b.refused > 0; over != b.overload {
		b.overload = over
		b.note("overload: %v (%d queries refused in %d s)", over, b.refused, gaugeSpan/1_000_000)
	}
	b.refused = 0
	for _, r := range b.replicas {
		took, usual := b.expect(r, 0), b.pace()
		avoided := took > noteSlow*usual
		if r.State == Ready && avoided != r.noted && (avoided || took < noteWell*usual) {
			r.noted = avoided
			b.note("replica %012x avoided: %v (%.0f ms a part, mean %.0f)",
				uint64(r.ID), avoided, took/1000, usual/1000)
			return
		}
	}
}

// AvoidedCount returns the number of replicas that are ready and currently avoided: those that
// reportChanges logs, but without its delay and hysteresis.
func (b *Balancer) Avoided() int {
	n, usual := 0, b.pace()
	for _, r := range b.replicas {
		if r.State == Ready && (r.down || b.expect(r, 0) > noteSlow*usual) {
			n++
		}
	}
	return n
}

// coldBudgetAllows reports whether a replica that may be cold can receive one more part: at most its share
// of what a warm one of the same size has served this instance. The share rises linearly over the ramp,
// from ColdShare; a replica never warms up more slowly than that. Each instance keeps to its own share, so
// all of them together do too.
func (b *Balancer) admits(r *replica) bool {
	if !b.cold(r) {
		return true
	}
	boost := 1 + coldBoost*max(0, b.s.FallMultiple-1)
	share := b.s.ColdShare + (1-b.s.ColdShare)*float64(b.now-r.start)/float64(b.s.Ramp)
	rate := boost * share * max(leastCold/float64(max(1, b.s.Peers)), r.Size*b.carried)
	burst := max(1, coldBurst*(b.s.FallMultiple-1)*rate*float64(b.s.FallSpan))
	r.tokens = min(burst, r.tokens+rate*float64(b.now-r.refilled))
	r.refilled = b.now
	return r.tokens >= 1
}

// hasFreeReplica reports whether a replica of the part's shard has a free slot.
func (b *Balancer) roomy(p *part) bool {
	found := false
	b.holders(p.shard, func(r *replica) {
		found = found || r.calls < b.slots(r, p.q.class) && b.admits(r)
	})
	return found
}

// pickReplica chooses the replica for an attempt: a weighted random one among those with a free slot; if
// none has one, the one with the shortest expected wait; a replica that has already failed this part only
// as a last resort.
func (b *Balancer) pick(p *part, copied bool) *replica {
	b.free = b.free[:0]
	var least, last, shared *replica
	total, soonest := 0.0, 0.0
	domain, bound := p.bound()
	b.holders(p.shard, func(r *replica) {
		if b.adjust(r, 0); bound && r.Domain != domain {
			return // a replica of another domain would execute the repeat
		}
		failed := false // it has already failed this part
		for i := range p.tries {
			if p.tries[i].r == r && (p.tries[i].live || copied) {
				return
			}
			failed = failed || p.tries[i].r == r
		}
		if !b.admits(r) {
			return
		}
		if failed {
			if last == nil || r.calls < last.calls {
				last = r
			}
			return
		}
		if b.s.CallCost > 0 && b.joins(r) && b.expect(r, p.q.class)*float64(r.parts+1) <= joinShare*b.minAim {
			if shared == nil || b.chance(r, p.q.class) > b.chance(shared, p.q.class) {
				shared = r
			}
		}
		if r.calls < b.slots(r, p.q.class) {
			b.free = append(b.free, r)
			total += b.chance(r, p.q.class)
		}
		if late := b.expect(r, p.q.class) * float64(r.parts+1); least == nil || late < soonest {
			least, soonest = r, late
		}
	})
	if shared != nil {
		return shared // the part needs no call of its own
	}
	if len(b.free) > 0 {
		x := b.rng.Float64() * total
		for _, r := range b.free {
			if x -= b.chance(r, p.q.class); x < 0 {
				return r
			}
		}
		return b.free[len(b.free)-1]
	}
	if copied && !(p.tries[len(p.tries)-1].overdue && soonest <= float64(p.q.aim-b.now)) {
		return nil // queueing a hedged attempt would only add load, unless the part is otherwise lost
	}
	if least != nil {
		return least
	}
	return last
}
