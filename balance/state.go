package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// The state of an instance and its bookkeeping. Decisions and tuned constants are in balance.go.

// Balancer makes the decisions of one coordinator. It is not safe for concurrent use.
type Balancer struct {
	s          Settings
	rng        *rand.Rand
	now        Micros
	steps      int
	replicas   []*replica
	byID       map[ReplicaID]*replica
	byHash     map[uint32]*replica // by the hash used in messages
	tellAt     Micros              // time of the next message to a peer
	tellNext   int                 // index of the replica reported last
	idle, busy tally               // share of attempts lost on idle connections, and on those in use
	refused    int                 // queries refused by admission since the last capacity update
	denied     Micros              // since when all queries have been refused and nothing sent; 0: not the case
	overload   bool                // overload was reported
	lossShare  float64             // EWMA of the share of attempts without an answer in time
	vain       float64             // EWMA of the share of answered attempts that were rejected or failed
	probeAt    Micros
	probeNext  int // index of the replica considered last
	cells      [][]*replica
	queries    []*query
	byQuery    map[uint32]*query
	byNumber   map[float32]*query
	parts      map[uint32]*part
	classes    []class
	taken      window   // arrivals of queries and parts
	tenants    []window // arrivals of each tenant's queries
	extras     window   // attempts beyond a part's first
	copies     window
	served     float64 // successes of warm replicas in the current count
	counted    int     // capacity spans covered by the current count
	span       Micros  // sliding span that the limits on further attempts consider
	gaugeAt    Micros
	carried    float64 // parts per us and unit of size that warm replicas have served this instance
	usualSize  float64 // total size of the warm replicas, decaying
	out        []Action
	patience   float64 // largest share of a class's deadline that a client has waited for a try
	beside     float64 // EWMA of the number of other parts in a part's call
	wakeAt     Micros
	asked      bool // a list call is pending
	watching   bool
	askAt      Micros
	askGap     Micros  // delay after the next failure, twice the previous one
	minAim     float64 // shortest aim of all classes
	crowd      float64 // number of peers as a multiple of smallFleet, at least 1
	heed       float64 // the same for the number of peers whose samples a message represents
	life       float64 // us, half-life of latency samples
	until      Micros  // shutdown time, beyond which no query is held; 0: none
	all        tally   // latency per part over all replicas
	free       []*replica
}

type replica struct {
	Replica
	weight   float64
	updated  Micros // when weight was last decayed
	calls    int    // our calls in flight, i.e. the slots in use
	parts    int    // our parts in flight
	wanted   int    // number of parts of the current query that it could be sent
	wantedAt int    // Step in which wantedParts was counted
	start    Micros // time of the last start, as listed or observed; 0: long ago
	down     bool   // its process refused connections and has served nothing since
	since    Micros // when a connection was last refused
	tokens   float64
	refilled Micros
	used     Micros  // when our connection to it was last used
	noted    bool    // it was reported as avoided
	lost     bool    // the last part decided there went unanswered
	own      tally   // latency per part as measured by this instance
	classes  []tally // the same for each class
	pool     tally   // latency per part as shared among all instances
	open     *call   // call that further sends of this Step may share
}

type call struct {
	step, sent, live int
	before           int // our parts in flight at the replica when the call began
}

type attempt struct {
	r       *replica
	call    *call
	sent    Micros
	live    bool
	never   bool // proved not to have run
	overdue bool
	stale   bool // sent on a connection that had been idle
	domain  int  // domain of its replica when it was sent
}

type part struct {
	id     uint32
	q      *query
	shard  int
	weight float64
	done   bool
	tries  []attempt
	live   int
	ran    Micros // when the first attempt that may have run was sent; 0: none
}

type query struct {
	id       uint32
	number   float32
	class    int
	rules    *Class // rules in force when it arrived; later changes apply to later queries
	most     int    // maximum attempts for one part
	tenant   int
	aim      Micros
	deadline Micros
	parts    []*part
	got      float64 // weight of the parts that were answered
	in       int
	second   bool
	whole    bool // the first step's answer was complete
	ended    bool
	admitted bool
	began    bool
	late     bool // it repeats a query whose aim has passed
}

type class struct {
	delay float64 // us, tracked quantile of part latency after which a part is hedged
	work  float64 // EWMA of the number of parts per query; 0: no query yet
}

// decayingMean is the sum and the number of samples, both of which decay exponentially.
type tally struct {
	sum, n float64
	at     Micros
}

func (t *tally) decay(now Micros, life float64) {
	keep := math.Exp2(-float64(now-t.at) / life)
	t.sum, t.n, t.at = t.sum*keep, t.n*keep, now
}

func (t *tally) add(x, n float64) {
	t.sum += x * n
	t.n += n
}

// slidingWindow counts events within a span of time that only moves forward.
type window struct {
	at   []Micros
	head int
}

func (w *window) add(t Micros) { w.at = append(w.at, t) }

// count discards the times before since and returns the number of the remaining ones. The remaining times
// are copied at most once, so the cost per event does not grow with the number of events in the span.
func (w *window) count(since Micros) int {
	for w.head < len(w.at) && w.at[w.head] < since {
		w.head++
	}
	if 2*w.head > len(w.at) {
		w.at = append(w.at[:0], w.at[w.head:]...)
		w.head = 0
	}
	return len(w.at) - w.head
}

// updateFirstRun determines when the first attempt that may have run was sent.
func (p *part) recount() {
	p.ran = 0
	for i := range p.tries {
		if t := &p.tries[i]; !t.never && (p.ran == 0 || t.sent < p.ran) {
			p.ran = t.sent
		}
	}
}

// boundDomain returns the domain in which a keyed part may have run, if any: no other domain would
// recognize its repeats.
func (p *part) bound() (domain int, bound bool) {
	if p.q.rules.Effect != Keyed {
		return 0, false
	}
	for i := range p.tries {
		if t := &p.tries[i]; !t.never {
			return t.domain, true
		}
	}
	return 0, false
}

// release frees the slot of a finished attempt.
func (b *Balancer) release(p *part, t *attempt) {
	t.live = false
	p.live--
	t.call.live--
	t.r.parts--
	if t.call.live == 0 {
		t.r.calls--
	}
	if p.live == 0 && (p.q.ended || p.done) {
		delete(b.parts, p.id)
	}
}

// forEachHolder calls f for every ready replica of a shard.
func (b *Balancer) holders(shard int, f func(*replica)) {
	for j := range min(b.s.Reach, b.s.Cells) {
		for _, r := range b.cells[((shard+j)%b.s.Cells+b.s.Cells)%b.s.Cells] {
			f(r)
		}
	}
}

// reindex groups the replicas that are ready by cell, and maps all of them by the hash used in messages.
func (b *Balancer) index() {
	for i := range b.cells {
		b.cells[i] = b.cells[i][:0]
	}
	clear(b.byHash)
	b.mix()
	for _, r := range b.replicas {
		b.byHash[hash(r.ID)] = r
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
	b.close(q)
}

// closeParts cancels the attempts of a query's parts that are in flight and removes the parts that have
// none.
func (b *Balancer) close(q *query) {
	for _, p := range q.parts {
		if !p.done {
			b.drop(p)
			p.done = true
		}
		if p.live == 0 {
			delete(b.parts, p.id)
		}
	}
	q.parts = nil
}

// Memory returns the state for the successor of this instance.
func (b *Balancer) Memory() Memory {
	m := Memory{Carried: b.carried, UsualSize: b.usualSize, Starts: map[ReplicaID]Micros{}}
	for _, r := range b.replicas {
		if b.cold(r) {
			m.Starts[r.ID] = r.start
		}
	}
	return m
}

// applySettings puts settings into force. Classes keep their indexes; new ones start without measurements.
// Open queries keep the rules with which they arrived, because they point into the previous slice of
// classes.
func (b *Balancer) adopt(s *Settings) {
	b.s = *s
	b.s.BatchMax = max(1, s.BatchMax)
	b.minAim = math.Inf(1)
	for i, c := range s.Classes {
		if !c.Dropped {
			b.minAim = min(b.minAim, float64(c.Aim))
		}
		if i >= len(b.classes) {
			b.classes = append(b.classes, class{delay: firstDelayShare * float64(c.Aim)})
		}
	}
	for _, r := range b.replicas {
		r.classes = append(r.classes, make([]tally, len(s.Classes)-len(r.classes))...)
	}
	b.tenants = append(b.tenants[:min(len(b.tenants), len(s.Tenants))],
		make([]window, max(0, len(s.Tenants)-len(b.tenants)))...)
	if b.span = s.ResendSpan; b.span == 0 {
		b.span = copySpan
	}
	b.cells = make([][]*replica, s.Cells)
	b.index()
}

// countWanted counts for each replica the parts of a query that could be sent to it now, in one call.
func (b *Balancer) want(q *query) {
	for _, p := range q.parts {
		if !p.done && p.live == 0 {
			b.holders(p.shard, func(r *replica) {
				if r.wantedAt != b.steps {
					r.wanted, r.wantedAt = 0, b.steps
				}
				r.wanted++
			})
		}
	}
}

// sharesOpenCall reports whether a further part of this Step shares a call already opened to the replica.
func (b *Balancer) joins(r *replica) bool {
	return r.open != nil && r.open.step == b.steps && r.open.sent < b.s.BatchMax
}

// load returns the number of our parts that the replica had to serve until the end of an attempt: those in
// flight when its call began, and those of the call.
func (t *attempt) load() float64 { return float64(t.call.before + t.call.sent) }

// note writes a log line for operators.
func (b *Balancer) note(format string, args ...any) {
	b.out = append(b.out, Action{Kind: Note, Text: fmt.Sprintf(format, args...)})
}
