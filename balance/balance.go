package balance

// The decisions of a co-ordinator. api.go in this folder is the interface: read it first.
//
// Step books what happened and then advances every open query in order of arrival. Everything follows from
// the settings, the seed and the events: no clock, no goroutine, nothing ordered by a map.

import (
	"math"
	"math/rand/v2"
	"slices"
)

// How long a failed call for the list is waited with, in us: at first, and after many failures. What was
// missed counts as told after 6 s, however the calls ended; the host's own limits on a call come on top.
const (
	AskAgain          Micros = 1_000_000
	MaxListRetryDelay Micros = 4_000_000
)

// Tuned constants.
const (
	// Weights, as the design has them.
	minWeight, midWeight, maxWeight = 1.0, 50.0, 100.0
	weightStep                      = 5.0        // gained by a success, lost x the multipliers below
	halfLife                        = 10_000_000 // us in which half of a weight's distance to the middle goes
	lossTimeout, lossError          = 1.0, 2.0   // multipliers of a lost step
	lossRefused, lossBusy           = 3.0, 0.2

	// Time per part, and what goes by it.
	speedLife      = 4_000_000 // us in which half of what was seen of a replica's speed is forgotten
	fewPeers       = 4.0       // of more peers, what all have seen comes faster, ages faster and counts more
	ownTrust       = 3.0       // own outcomes count as so many seen by others
	classTrust     = 1.0       // and those of the class itself so many times more
	peerTrust      = 3.0       // what messages have mixed counts as so many, and less the more is seen here
	lostTime       = 0.5       // share of the shortest aim that a part without an answer counts as
	hotShare       = 1.3       // times the share, of the time to the aim, for the slowest needed part
	firstCost      = 0.1       // share of the shortest aim that a part is taken to need at first
	pacePrior      = 3.0       // the mean of all replicas starts as if from so many parts
	paceParts      = 30.0      // parts over which the share of lost ones is taken
	speedPower     = 4.0       // the draw goes by weight over time per part to this power
	capShare       = 0.25      // share of the shortest aim that a replica may need for what we have out there
	minCap, maxCap = 0, 16
	joinShare      = 0.5     // share of the shortest aim that a call may take, for a part to join it
	crossChance    = 0.25    // of a replica in another zone, in the draw, where crossing has a price
	callPower      = 2.0     // the draw goes by the parts that could share a call to this power
	tellGap        = 250_000 // us between messages to a peer drawn at random
	maxHeard       = 8.0     // a replica's tally from messages is cut to so many parts
	workGain       = 0.2     // EWMA gain of the parts that a query of a class needs

	// Hedging.
	firstDelayShare = 0.25      // the delay starts at this share of the aim
	delayQuantile   = 0.95      // and then tracks this quantile of the class's part latency
	quantileGain    = 0.1       // relative step of the quantile tracker
	maxDelayShare   = 0.5       // the delay stays within this share of the aim
	maxInFlight     = 3         // attempts of one part at a time
	copyShare       = 0.1       // copies stay under this share of recent parts
	lateCopyShare   = 0.2       // and those of overdue parts with them under this one
	copySpare       = 1.0       // and this many more, so that a quiet instance may copy at all
	copySpan        = 5_000_000 // us that count as recent, where no span is told
	overdueFactor   = 2.5       // an attempt older than this x the delay counts as a time-out at once
	overdueShare    = 0.6       // or older than this share of the aim

	// Admission, by the time that parts are expected to take.
	admitShare, admitAlone = 0.45, 0.25 // the share, and what comes on top while few peers hide what waits
	admitPeers             = 3.0        // with so many; with more it shrinks
	admitLeast             = 0.55       // of the share is left for work of no worth
	admitTail              = 2.6        // times the share, of the time to the aim, for the last needed part
	hopeShare              = 1.0        // of the time to the aim that a part may be expected to take
	vainParts              = 60.0       // parts over which the share of those sent in vain is taken
	vainCut, vainMost      = 3.0, 0.5   // times that share comes off the admitted one, and at the most
	proveAfter             = 3_000_000  // us of refusals alone; then one query is let in to see (page: 4 s)
	admitQuantile          = 0.8        // of the needed parts: of few the slowest, of many not the odd one
	overPart, farOver      = 1.2, 1.8   // times its part of the quotas that a tenant has of the traffic here
	quotaLeast             = 8.0        // queries of a tenant that tell of its part
	quotaSpan              = 5_000_000  // us over which a tenant's rate is measured against its quota

	// Cold replicas.
	leastCold   = 1e-6       // parts a us from all peers, times the cold share, where nothing is known
	coldBoost   = 1.0        // share of what the told multiple leaves above 1 that a cold replica may get
	coldBurst   = 0.6        // share of what the told multiple leaves above the rate that may be saved up
	gaugeSpan   = 2_000_000  // us over which served parts are counted, at the least
	gaugeParts  = 64.0       // of fewer, among many peers, the count goes on, less what is chance:
	gaugeMost   = 8.0        // the largest of small counts is over what is carried; spans at most
	gaugeCrowd  = 2.0        // times a few peers: from there on
	carriedLife = 60_000_000 // us after which half of what was carried is forgotten

	// Idle connections.
	staleAfter = 300_000    // us without use after which a connection counts as idle
	reapLoss   = 0.05       // losses on idle connections over this share
	reapTimes  = 2.0        // and so many times those on connections in use tell that idle ones are dropped
	reapLife   = 10_000_000 // us in which half of that evidence is forgotten

	// Probes.
	probeLoss = 0.05      // share of parts without an answer that makes them worth their cost
	sweepSpan = 3_000_000 // us that one look at all replicas takes

	noteSlow, noteWell    = 3.0, 1.5 // times the mean time per part: reported as avoided, as used again
	sweep                 = 10_000   // us between looks at the open queries
	advice                = 0.3      // of the shortest aim is the longest advice, half of it the shortest
	patienceSlack         = 50_000.0 // us that a client's own time may differ from what others wait
	stepShare, stepDelays = 0.5, 2.0 // of the aim, and hedge delays: the most that is left for a second step
	aimMargin             = 0.03     // share of the aim kept for the way back to the client
	tolerance             = 5e-5     // by which a sum of weights may fall short
)

// New returns an instance that starts now with these settings. The seed must differ between instances.
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

// Step takes the events of this moment in their order, appends the actions to out and returns it.
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
		if e.MaxAttempts > 0 {
			q.most = e.MaxAttempts
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
	case StreamStarted:
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
	case SettingsChanged:
		if e.Settings.check() == nil && len(e.Settings.Classes) >= len(b.classes) {
			b.adopt(e.Settings)
		}
	case Restored:
		b.carried, b.usualSize = e.Memory.Carried, e.Memory.UsualSize
	case Stopping:
		b.until = max(1, e.Deadline)
		for _, q := range b.queries {
			b.limit(q)
		}
	}
}

// limit keeps a query within the life of an instance that ends: what is not served by then gets its final
// answer while there is still somebody to give it.
func (b *Balancer) limit(q *query) {
	if b.until > 0 {
		q.deadline, q.aim = min(q.deadline, b.until), min(q.aim, b.until)
	}
}

// age finds out whether a query repeats one whose aim has passed, so that it earns its late worth at most.
// Clients wait the same share of a class's time for each try, or what is left of it: who waits less began
// earlier.
func (b *Balancer) age(q *query, repeat bool) {
	c := q.rules
	left := q.deadline - b.now
	b.patience = min(1, max(b.patience, float64(left)/float64(c.Deadline)))
	if !repeat || float64(left) > b.patience*float64(c.Deadline)-patienceSlack {
		return
	}
	q.late = q.deadline-c.Deadline+c.Aim <= b.now
}

// list takes in what discovery says of the replicas.
func (b *Balancer) list(e *Event) {
	if e.Mode != Cached && e.Mode != Local {
		b.asked = false
		b.watching = e.Mode != Failed
		b.askGap = min(2*b.askGap, MaxListRetryDelay) // growing and random: it may be down
		if b.watching || b.askGap == 0 {
			b.askGap = AskAgain
		}
		if b.s.MustAsk > 0 { // after a failed call four times that may pass
			b.askGap = min(b.askGap, b.s.MustAsk)
		}
		b.askAt = b.now + b.askGap/2 + b.rng.Int64N(b.askGap/2+1)
	}
	if e.Mode == Failed {
		return
	}
	if e.Mode != Delta && e.Mode != Local {
		for _, r := range b.replicas {
			r.State = Removed // unless the list names it below
		}
	}
	for _, l := range e.Replicas {
		if l.Size = min(1e9, l.Size); !(l.Size > 0) { // absent or absurd: no size may break a sum
			l.Size = 1e-9
		}
		l.Started = min(l.Started, b.now) // a clock ahead of ours means just now
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
		dead := r.State == Removed && r.calls == 0
		if dead {
			delete(b.byID, r.ID)
		}
		return dead
	})
	b.index()
}

// restart begins a replica's record anew. What may be sent it while it is cold begins at a random level: many
// instances that hear of a start together must neither send together at once nor come ripe together later.
func (b *Balancer) restart(r *replica, at Micros) {
	r.weight, r.lost, r.down, r.own, r.pool = midWeight, false, false, tally{}, tally{}
	clear(r.classes)
	r.start, r.tokens, r.updated, r.refilled = at, b.rng.Float64(), b.now, b.now
}

// saw books the time that a part took at a replica. Where there is no answer it is what it took at the least.
func (b *Balancer) saw(r *replica, class int, took float64) {
	b.blame(r, class, took)
	b.all.decay(b.now, b.life)
	b.all.add(min(took, b.minAim), 1)
}

// blame books it for the replica alone: what fails at once tells nothing of how long parts take elsewhere.
func (b *Balancer) blame(r *replica, class int, took float64) {
	b.fade(r)
	r.classes[class].add(min(took, b.minAim), 1)
	r.own.add(min(took, b.minAim), 1)
	r.pool.add(min(took, b.minAim), 1)
}

// pace is the mean time per part. Without news it fades: what keeps an instance from sending must not last.
func (b *Balancer) pace() float64 {
	b.all.decay(b.now, b.life)
	return (b.all.sum + pacePrior*firstCost*b.minAim) / (b.all.n + pacePrior)
}

// mix finds how old evidence may get, and for how many instances' evidence a peer's message stands. Of many
// instances each meets a replica seldom, but together they meet it often: evidence ages as fast as messages
// spread it to all of them, and what a message says counts by how many are mixed in it. Where there are so
// many replicas that messages are no faster than forgetting they bring no news, and all would act on the past
// together.
func (b *Balancer) mix() {
	peers := max(1, float64(b.s.Peers))
	turn := tellGap * max(1, float64(len(b.replicas))*entrySize/maxMessage) // between messages on one replica
	b.crowd = max(1, peers/fewPeers)
	b.life = min(speedLife, max(speedLife/b.crowd, turn*math.Log2(peers)))
	if b.heed = 1; b.life < speedLife {
		b.heed = max(1, min(peers, math.Exp2(b.life/turn))/fewPeers)
	}
}

// fade forgets with time what was seen of a replica.
func (b *Balancer) fade(r *replica) {
	r.own.decay(b.now, b.life)
	r.pool.decay(b.now, b.life)
	for i := range r.classes {
		r.classes[i].decay(b.now, b.life)
	}
}

// expect is the time that a part of a class is expected to take at a replica, waiting included. Own outcomes
// outrank all else, and those of the class the others: one may be left unanswered while others are served. Of
// many instances each meets a replica seldom, and its own evidence is old: what they have seen together
// counts by how many of them it stands for.
func (b *Balancer) expect(r *replica, class int) float64 {
	b.fade(r)
	heed, c := b.heed*peerTrust/(1+r.own.n), r.classes[class]
	return (b.pace() + ownTrust*(r.own.sum+classTrust*c.sum) + heed*r.pool.sum) /
		(1 + ownTrust*(r.own.n+classTrust*c.n) + heed*r.pool.n)
}

// probe looks at replicas that we have seen little of lately, while a good share of our parts gets no answer.
// The fault may lie between us and some of them, and peers' experience then misleads.
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

// probeEnd books a probe. A pass counts as what it took, at least as a part that did not wait, and as nothing
// against parts that went unanswered: it may tell of the path only.
func (b *Balancer) probeEnd(e *Event) {
	r := b.byID[e.Replica]
	if r == nil {
		return
	}
	b.fade(r)
	switch {
	case e.Outcome == Malformed:
	case e.Outcome != OK:
		r.own.add(lostTime*b.minAim, 1)
	case !r.lost:
		r.own.add(max(firstCost*b.minAim, float64(e.Elapsed)), 1)
	}
}

// tell gives half of the tally of some replicas to a peer drawn at random. That mixes until every instance
// holds about the mean of what all have seen; a lost message takes weight from all alike, so the mean stands.
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

// hear takes in a peer's message. Whatever it says is bounded, and own outcomes outrank it.
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

// chance is a replica's part in the draw: the design's weight, times listed size, over its expected time. It
// grows with the parts that could share a call there, where calls cost, and falls for other zones, where
// crossing does.
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

// reaped tells that connections are dropped unseen while idle: what is sent on an idle one is lost far more
// often than on one in use. That is no replica's fault, and closing it before a send opens a sound one. It
// costs handshakes for a while where a silent replica merely happens to be met on idle connections.
func (b *Balancer) reaped() bool {
	b.idle.decay(b.now, reapLife)
	b.busy.decay(b.now, reapLife)
	rate := func(t *tally) float64 { return t.sum / (t.n + pacePrior) }
	return rate(&b.idle) > reapLoss+reapTimes*rate(&b.busy)
}

// reaps books whether an attempt was lost, and tells whether the connection is to blame for it.
func (b *Balancer) reaps(t *attempt, lost float64) bool {
	blame := b.reaped() && t.stale
	if t.stale {
		b.idle.add(lost, 1)
	} else {
		b.busy.add(lost, 1)
	}
	return blame
}

// settle books the end of an attempt.
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
	case Error, Busy, Malformed: // silence takes no room that others could have
		b.vain += (1 - b.vain) / vainParts
	}
	switch e.Outcome {
	case OK:
		if r.down && t.sent >= r.since { // back before the list says so; a full connection table looks alike
			b.restart(r, b.now)
		}
		if !b.cold(r) {
			b.served++
		}
		if age > c.delay { // the delay follows a quantile of the class's part latency
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
		if age > b.expect(r, p.q.class) { // the other copy was faster, and this one is slow
			b.saw(r, p.q.class, age/t.load())
		}
	case Error, Reset:
		if e.Outcome == Reset && b.reaps(t, 1) {
			break
		}
		b.blame(r, p.q.class, lostTime*b.minAim)
		b.adjust(r, -weightStep*lossError)
	case Malformed: // tells nothing of how fast it is: of a replica that only ever spoils the weight takes care
		b.adjust(r, -weightStep*lossTimeout)
	case TimedOut:
		if !t.overdue {
			b.adjust(r, -weightStep*lossTimeout)
		}
	case NoConnection:
		b.blame(r, p.q.class, lostTime*b.minAim)
		if b.s.DialTimeout <= 0 || b.now-t.sent < b.s.DialTimeout { // refused, so its process is not there
			r.down, r.since = true, b.now
		}
		b.adjust(r, -weightStep*lossRefused)
	case Busy: // its queue is full: what we send now would wait behind all of that
		b.saw(r, p.q.class, b.minAim)
		r.pool.add(b.minAim, 1/b.crowd-1) // all peers meet the same queue at the same moment
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

// drop withdraws the attempts of a part that are still out: the first success cancels the others.
func (b *Balancer) drop(p *part) {
	for i := range p.tries {
		if p.tries[i].live && b.s.CanCancel {
			b.out = append(b.out, Action{Kind: Cancel, ID: p.id, Attempt: i})
		}
	}
}

// adjust decays a replica's weight toward the middle and then changes it.
func (b *Balancer) adjust(r *replica, by float64) {
	keep := math.Exp2(-float64(b.now-r.updated) / halfLife)
	r.weight = midWeight + (r.weight-midWeight)*keep
	r.weight = min(maxWeight, max(minWeight, r.weight+by))
	r.updated = b.now
}

// slots is the cap on our calls at a replica: what it has lately done in a share of the shortest aim.
func (b *Balancer) slots(r *replica, class int) int {
	return int(min(maxCap, max(minCap, capShare*b.minAim/max(b.expect(r, class), 1))))
}

// shares returns what a whole answer and any answer need in the present step.
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

// answer gives the answer of this step.
func (b *Balancer) answer(q *query) {
	need, _ := b.shares(q)
	whole := q.got >= need && (!q.second || q.whole && q.in == len(q.parts))
	b.out = append(b.out, Action{Kind: Answer, ID: q.id, Complete: whole})
	if q.rules.SecondStep > 0 && !q.second {
		b.close(q)
		q.second, q.whole, q.got, q.in = true, whole, 0, 0
		return
	}
	b.end(q)
}

// giveUp gives the final answer of a query that cannot be served in full: what is in where that is enough,
// else a refusal where nothing may have run or a repeat is safe, else a failure.
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

// advance does what a query needs now.
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
	hope, under := 0.0, 0.0 // weight that can still come in, and that is in or well under way
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
				continue // where not every part is needed, those with a free replica go first
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

// partialAt is when a query is answered from less than the whole. A first step leaves the second time for a
// part and its copy: begun at the aim it would fail, and take what the first step earned with it.
func (b *Balancer) partialAt(q *query) Micros {
	if c := q.rules; c.SecondStep > 0 && !q.second {
		return q.aim - Micros(min(stepShare*float64(c.Aim), stepDelays*b.classes[q.class].delay))
	}
	return q.aim
}

// worthLate tells that a query past its aim is worth going on with: its late worth over the parts that it
// still needs beats what the best class earns a part in time. Given up, it would be asked for again, and late
// too.
func (b *Balancer) worthLate(q *query, floor float64) bool {
	lacks := max(1, (floor-q.got)*float64(len(q.parts)))
	return q.rules.LateWorth*b.value(q)*b.classes[q.class].work >= lacks
}

// admit tells whether a query is to be tried. In overload this keeps queues short: work that cannot earn is
// turned away before it costs anything, the least worth for its work first. What is expected fades without
// news, so an instance that turns all away tries again.
func (b *Balancer) admit(q *query) bool {
	_, floor := b.shares(q)
	waits := make([]float64, 0, len(q.parts))
	for _, p := range q.parts {
		best := math.Inf(1)
		b.holders(p.shard, func(r *replica) {
			if b.admits(r) { // a part held for a cold replica would hold up all the others
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
	// What was sent in vain is sent again, and takes room twice. Few see that in their own queues.
	share *= 1 - (1-few)*min(vainMost, vainCut*b.vain)
	tail := math.Log(float64(len(q.parts)) / (1 + b.beside)) // by which the last needed part is later
	if floor < 1-2*tolerance {
		tail = min(tail, -math.Log(1-floor))
	}
	// Two limits: queues are kept short against the classes' own aims, and a client that waits less than that
	// is turned away only where it would hardly be served in its time.
	left := float64(q.aim - b.now)
	own := max(left, min(b.minAim, float64(q.rules.Aim)))
	limit := min(share*min(b.minAim, own), admitTail*share*own/(1+tail))
	last := waits[min(len(waits)-1, int(floor*float64(len(waits))))] // it may be at a hot shard
	return wait <= hopeShare*left &&
		max(wait, last*limit/(hotShare*share*own)) <= limit*(admitLeast+(1-admitLeast)*b.value(q)) ||
		b.denied > 0 && b.now-b.denied >= proveAfter // what peers tell may be old, or of others' way there
}

// value is the worth of a query for its work, as a share of the best class's.
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
		// Of a class that was not met yet the parts are not known.
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

// overShare tells that a tenant asks for more than its quota, as far as one instance can tell. Callers are
// uneven, so this one's rate times the peers counts only for a tenant that also has more than its part of the
// traffic here; far more than its part counts by itself. It might hurt where tenants use different instances.
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
	part := own / all * quotas / quota // its part of the traffic here over its part of the quotas
	over := own*float64(max(1, b.s.Peers)) > quota*quotaSpan/1e6
	return part > overPart && over || part > farOver && own > quotaLeast
}

// sound tells that a part has an attempt out that is not overdue, or, where other parts may stand in for it
// and are free of the budget, not even past the hedge delay.
func (b *Balancer) sound(p *part, strict bool) bool {
	for i := range p.tries {
		t := &p.tries[i]
		if t.live && !t.overdue && (!strict || float64(b.now-t.sent) < b.classes[p.q.class].delay) {
			return true
		}
	}
	return false
}

// mark finds the attempts that are overdue and counts each as a time-out at once: a replica that takes
// parts and answers none would else be found only at the deadline.
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

// mayRepeat tells whether the class allows another attempt of a part.
func (b *Balancer) mayRepeat(p *part) bool {
	c := p.q.rules
	if p.ran == 0 || c.Effect == Safe {
		return true
	}
	return c.Effect == Keyed && b.now < p.ran+c.Window
}

// hedge copies a part that has waited past the delay.
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

// budget tells whether one more attempt beyond a part's first keeps the told budget.
func (b *Balancer) budget() bool {
	if b.s.ResendSpan <= 0 {
		return true
	}
	since := b.now - b.s.ResendSpan
	allowed := b.s.SpareAttempts + b.s.ResendRatio*float64(b.taken.count(since+1))
	return float64(b.extras.count(since)+1) <= allowed
}

// send starts an attempt of a part if a replica may have it and the budget allows.
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
	r.tokens-- // it counts while the replica is cold
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
	b.out = append(b.out, Action{Kind: Send, ID: p.id, Replica: r.ID, After: after, StartBy: before})
	return true
}

// cold tells that a replica may still be starting.
func (b *Balancer) cold(r *replica) bool {
	return r.start > 0 && b.now-r.start < b.s.Ramp
}

// gauge remembers what warm replicas have served this instance, per unit of listed size: the guide to what a
// cold one can take, held well past the present, as after a mass restart there is nothing warm to compare
// with.
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
	if n < gaugeParts { // by its root a count differs by chance, which adds up over many peers
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
		w.count(b.now - b.span) // forget what no limit looks at any more
	}
}

// report writes what operators want to know, in two lines a gauge at most: a replica that is avoided and used
// again, overload begun and ended.
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

// Avoided counts the replicas that could get work and are avoided at present: what report tells of, but at
// once.
func (b *Balancer) Avoided() int {
	n, usual := 0, b.pace()
	for _, r := range b.replicas {
		if r.State == Ready && (r.down || b.expect(r, 0) > noteSlow*usual) {
			n++
		}
	}
	return n
}

// admits tells whether a cold replica may have one more part: no more than its share of what a like warm one
// has served this instance. The share climbs from the one told for the start, evenly over the ramp: a replica
// is never slower than that.
// Each instance keeps that by itself, so all together they keep it too.
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

// roomy tells that a replica of the part's shard has a free slot.
func (b *Balancer) roomy(p *part) bool {
	found := false
	b.holders(p.shard, func(r *replica) {
		found = found || r.calls < b.slots(r, p.q.class) && b.admits(r)
	})
	return found
}

// pick chooses the replica for an attempt: by weight among those with a free slot; when all are full, the
// one with the fewest of our calls out; last one that has failed this part before.
func (b *Balancer) pick(p *part, copied bool) *replica {
	b.free = b.free[:0]
	var least, last, shared *replica
	total, soonest := 0.0, 0.0
	domain, bound := p.bound()
	b.holders(p.shard, func(r *replica) {
		if b.adjust(r, 0); bound && r.Domain != domain {
			return // a repeat would be executed there
		}
		failed := false // it has failed this part before
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
		return shared // it costs the parts there no call of its own
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
		return nil // a copy waits behind others only for a part that is else lost: it would just add load
	}
	if least != nil {
		return least
	}
	return last
}
