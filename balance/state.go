package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// The state of an instance and its bookkeeping. Decisions and their parameters are in balance.go.

// Balancer makes the decisions of one coordinator. It is not safe for concurrent use.
type Balancer struct {
	settings           Settings
	rng                *rand.Rand
	now                Micros
	steps              int
	replicas           []*replica
	byID               map[ReplicaID]*replica
	byHash             map[uint32]*replica // by the hash used in messages
	nextGossip         Micros              // time of the next message to a peer
	gossipCursor       int                 // index of the replica reported last
	idleLoss, busyLoss decayingMean        // share of attempts lost on idle connections, and on those in use
	refused            int                 // queries refused by admission since the last capacity update
	refusingSince      Micros              // since when every query was refused and nothing sent; 0: no
	overloadReported   bool
	lossShare          float64 // EWMA of the share of attempts without an answer in time
	rejectedShare      float64 // EWMA of the share of answered attempts that were rejected or failed
	nextProbe          Micros
	probeCursor        int // index of the replica considered last
	cells              [][]*replica
	queries            []*query
	byQuery            map[uint32]*query
	byNumber           map[float32]*query
	parts              map[uint32]*part
	classes            []classState
	arrivals           slidingWindow   // arrivals of queries and parts
	tenantArrivals     []slidingWindow // arrivals of each tenant's queries
	retries            slidingWindow   // attempts beyond a part's first
	hedges             slidingWindow
	warmServed         float64 // successes of warm replicas in the current count
	capacitySpans      int     // capacity spans covered by the current count
	retrySpan          Micros  // sliding span that the limits on further attempts consider
	nextCapacityUpdate Micros
	warmRate           float64 // parts per us and unit of size that warm replicas have served this instance
	warmSize           float64 // total size of the warm replicas, decaying
	out                []Action
	maxPatience        float64 // largest share of a class's deadline that a client has waited for a try
	otherCallParts     float64 // EWMA of the number of other parts in a part's call
	wakeAt             Micros
	listPending        bool
	subscribed         bool
	nextListCall       Micros
	listBackoff        Micros       // delay after the next failure, twice the previous one
	minAim             float64      // shortest aim of all classes
	fleetScale         float64      // number of peers as a multiple of smallFleet, at least 1
	gossipScale        float64      // the same for the number of peers whose samples a message represents
	evidenceHalfLife   float64      // us, half-life of latency samples
	shutdownAt         Micros       // shutdown time, beyond which no query is held; 0: none
	latency            decayingMean // latency per part over all replicas
	candidates         []*replica
}

type replica struct {
	Replica
	weight          float64
	weightAt        Micros // when weight was last decayed
	openCalls       int    // our calls in flight, i.e. the slots in use
	openParts       int    // our parts in flight
	wantedParts     int    // number of parts of the current query that it could be sent
	wantedStep      int    // Step in which wantedParts was counted
	startedAt       Micros // time of the last start, as listed or observed; 0: long ago
	down            bool   // its process refused connections and has served nothing since
	downAt          Micros // when a connection was last refused
	tokens          float64
	refilledAt      Micros
	lastUsed        Micros // when our connection to it was last used
	reportedAvoided bool
	unanswered      bool           // the last part decided there went unanswered
	ownLatency      decayingMean   // latency per part as measured by this instance
	classLatency    []decayingMean // the same for each class
	peerLatency     decayingMean   // latency per part as shared among all instances
	openCall        *call          // call that further sends of this Step may share
}

type call struct {
	step, sent, pending int
	partsBefore         int // our parts in flight at the replica when the call began
}

type attempt struct {
	replica    *replica
	call       *call
	sent       Micros
	pending    bool
	neverRan   bool // proved not to have run
	overdue    bool
	onIdleConn bool // sent on a connection that had been idle
	domain     int  // domain of its replica when it was sent
}

type part struct {
	id       uint32
	query    *query
	shard    int
	weight   float64
	done     bool
	attempts []attempt
	pending  int
	firstRun Micros // when the first attempt that may have run was sent; 0: none
}

type query struct {
	id             uint32
	number         float32
	class          int
	rules          *Class // rules in force when it arrived; later changes apply to later queries
	maxAttempts    int    // maximum attempts for one part
	tenant         int
	aim            Micros
	deadline       Micros
	parts          []*part
	receivedWeight float64 // weight of the parts that were answered
	receivedParts  int
	inSecondStep   bool
	firstComplete  bool // the first step's answer was complete
	ended          bool
	admitted       bool
	streaming      bool
	late           bool // it repeats a query whose aim has passed
}

type classState struct {
	hedgeDelay float64 // us, tracked quantile of part latency after which a part is hedged
	meanParts  float64 // EWMA of the number of parts per query; 0: no query yet
}

// decayingMean is the sum and the number of samples, both of which decay exponentially.
type decayingMean struct {
	sum, n    float64
	updatedAt Micros
}

func (t *decayingMean) decay(now Micros, life float64) {
	keep := math.Exp2(-float64(now-t.updatedAt) / life)
	t.sum, t.n, t.updatedAt = t.sum*keep, t.n*keep, now
}

func (t *decayingMean) add(x, n float64) {
	t.sum += x * n
	t.n += n
}

// slidingWindow counts events within a span of time that only moves forward.
type slidingWindow struct {
	times []Micros
	head  int
}

func (w *slidingWindow) add(t Micros) { w.times = append(w.times, t) }

// count discards the times before since and returns the number of the remaining ones. The remaining times
// are copied at most once, so the cost per event does not grow with the number of events in the span.
func (w *slidingWindow) count(since Micros) int {
	for w.head < len(w.times) && w.times[w.head] < since {
		w.head++
	}
	if 2*w.head > len(w.times) {
		w.times = append(w.times[:0], w.times[w.head:]...)
		w.head = 0
	}
	return len(w.times) - w.head
}

// updateFirstRun determines when the first attempt that may have run was sent.
func (p *part) updateFirstRun() {
	p.firstRun = 0
	for i := range p.attempts {
		if t := &p.attempts[i]; !t.neverRan && (p.firstRun == 0 || t.sent < p.firstRun) {
			p.firstRun = t.sent
		}
	}
}

// boundDomain returns the domain in which a keyed part may have run, if any: no other domain would
// recognize its repeats.
func (p *part) boundDomain() (domain int, bound bool) {
	if p.query.rules.Effect != Keyed {
		return 0, false
	}
	for i := range p.attempts {
		if t := &p.attempts[i]; !t.neverRan {
			return t.domain, true
		}
	}
	return 0, false
}

// release frees the slot of a finished attempt.
func (b *Balancer) release(p *part, t *attempt) {
	t.pending = false
	p.pending--
	t.call.pending--
	t.replica.openParts--
	if t.call.pending == 0 {
		t.replica.openCalls--
	}
	if p.pending == 0 && (p.query.ended || p.done) {
		delete(b.parts, p.id)
	}
}

// forEachHolder calls f for every ready replica of a shard.
func (b *Balancer) forEachHolder(shard int, f func(*replica)) {
	for j := range min(b.settings.Reach, b.settings.Cells) {
		for _, r := range b.cells[((shard+j)%b.settings.Cells+b.settings.Cells)%b.settings.Cells] {
			f(r)
		}
	}
}

// reindex groups the replicas that are ready by cell, and maps all of them by the hash used in messages.
func (b *Balancer) reindex() {
	for i := range b.cells {
		b.cells[i] = b.cells[i][:0]
	}
	clear(b.byHash)
	b.updateEvidenceScale()
	for _, r := range b.replicas {
		b.byHash[replicaHash(r.ID)] = r
		if r.State == Ready && r.Cell >= 0 && r.Cell < len(b.cells) {
			b.cells[r.Cell] = append(b.cells[r.Cell], r)
		}
	}
}

// end closes a query: no further attempt of it is sent.
func (b *Balancer) end(q *query) {
	q.ended = true
	delete(b.byQuery, q.id)
	if b.byNumber[q.number] == q {
		delete(b.byNumber, q.number)
	}
	b.closeParts(q)
}

// closeParts cancels the attempts of a query's parts that are in flight and removes the parts that have
// none.
func (b *Balancer) closeParts(q *query) {
	for _, p := range q.parts {
		if !p.done {
			b.cancelAttempts(p)
			p.done = true
		}
		if p.pending == 0 {
			delete(b.parts, p.id)
		}
	}
	q.parts = nil
}

// Memory returns the state for the successor of this instance.
func (b *Balancer) Memory() Memory {
	m := Memory{Carried: b.warmRate, UsualSize: b.warmSize, Starts: map[ReplicaID]Micros{}}
	for _, r := range b.replicas {
		if b.isCold(r) {
			m.Starts[r.ID] = r.startedAt
		}
	}
	return m
}

// applySettings puts settings into force. Classes keep their indexes; new ones start without measurements.
// Open queries keep the rules with which they arrived, because they point into the previous slice of
// classes.
func (b *Balancer) applySettings(s *Settings) {
	b.settings = *s
	b.settings.BatchMax = max(1, s.BatchMax)
	b.minAim = math.Inf(1)
	for i, c := range s.Classes {
		if !c.Dropped {
			b.minAim = min(b.minAim, float64(c.Aim))
		}
		if i >= len(b.classes) {
			b.classes = append(b.classes, classState{hedgeDelay: initialHedgeDelay * float64(c.Aim)})
		}
	}
	for _, r := range b.replicas {
		r.classLatency = append(r.classLatency, make([]decayingMean, len(s.Classes)-len(r.classLatency))...)
	}
	b.tenantArrivals = append(b.tenantArrivals[:min(len(b.tenantArrivals), len(s.Tenants))],
		make([]slidingWindow, max(0, len(s.Tenants)-len(b.tenantArrivals)))...)
	if b.retrySpan = s.ResendSpan; b.retrySpan == 0 {
		b.retrySpan = defaultHedgeSpan
	}
	b.cells = make([][]*replica, s.Cells)
	b.reindex()
}

// countWanted counts for each replica the parts of a query that could be sent to it now, in one call.
func (b *Balancer) countWanted(q *query) {
	for _, p := range q.parts {
		if !p.done && p.pending == 0 {
			b.forEachHolder(p.shard, func(r *replica) {
				if r.wantedStep != b.steps {
					r.wantedParts, r.wantedStep = 0, b.steps
				}
				r.wantedParts++
			})
		}
	}
}

// sharesOpenCall reports whether a further part of this Step shares a call already opened to the replica.
func (b *Balancer) sharesOpenCall(r *replica) bool {
	return r.openCall != nil && r.openCall.step == b.steps && r.openCall.sent < b.settings.BatchMax
}

// load returns the number of our parts that the replica had to serve until the end of an attempt: those in
// flight when its call began, and those of the call.
func (t *attempt) load() float64 { return float64(t.call.partsBefore + t.call.sent) }

// note writes a log line for operators.
func (b *Balancer) note(format string, args ...any) {
	b.out = append(b.out, Action{Kind: Note, Text: fmt.Sprintf(format, args...)})
}
