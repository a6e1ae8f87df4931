package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// The plain types of an instance's state. Nothing here decides or is tuned.

// Balancer is one co-ordinator's decisions. It is not safe for concurrent use.
type Balancer struct {
	s          Settings
	rng        *rand.Rand
	now        Micros
	steps      int
	replicas   []*replica
	byID       map[ReplicaID]*replica
	byHash     map[uint32]*replica // by the hash that messages name it by
	tellAt     Micros              // next message to a peer
	tellNext   int                 // replica that was told of last
	idle, busy tally               // attempts lost, of those on idle connections and on others
	refused    int                 // by admission since the last gauge
	denied     Micros              // since when queries were refused and nothing was sent; 0: they are not
	overload   bool                // reported
	lossShare  float64             // EWMA of attempts that got no timely answer
	vain       float64             // EWMA of attempts that were answered, but not served
	probeAt    Micros
	probeNext  int // replica that was looked at last
	cells      [][]*replica
	queries    []*query
	byQuery    map[uint32]*query
	byNumber   map[float32]*query
	parts      map[uint32]*part
	classes    []class
	taken      window   // queries and parts
	tenants    []window // queries of each
	extras     window   // attempts beyond a part's first
	copies     window
	served     float64 // successes of warm replicas while they are counted
	counted    int     // spans that the count has lasted
	span       Micros  // that limits of further attempts look at
	gaugeAt    Micros
	carried    float64 // parts a us and unit of size that warm replicas have served us
	usualSize  float64 // of all warm replicas
	out        []Action
	patience   float64 // largest share of a class's time that a client was seen to wait for a try
	beside     float64 // EWMA of the other parts in a part's call
	wakeAt     Micros
	asked      bool // a list call is out
	watching   bool
	askAt      Micros
	askGap     Micros // wait after the next failure, twice the last one
	minAim     float64
	crowd      float64 // peers for each of a few, at least 1
	heed       float64 // the same of those whose evidence a message stands for
	life       float64 // us in which half of what was seen of a replica's speed is forgotten
	until      Micros  // no query is held beyond this, as the instance ends; 0: it does not
	all        tally   // time per part over all replicas
	free       []*replica
}

type replica struct {
	Replica
	weight   float64
	updated  Micros // when weight was last decayed
	calls    int    // our calls out, the slots in use
	parts    int    // and the parts in them
	wanted   int    // parts of the query at hand that it could be sent
	wantedAt int    // the Step of that count
	start    Micros // when it last started, as listed or as seen here; 0: long ago
	down     bool   // its process was found dead, and has served nothing since
	since    Micros // when that was last seen
	tokens   float64
	refilled Micros
	used     Micros  // when our connection to it last carried something
	noted    bool    // reported as avoided
	lost     bool    // the last part that was decided went unanswered
	own      tally   // time per part as seen here
	classes  []tally // the same for each class
	pool     tally   // as seen by all, as far as messages have spread it
	open     *call   // the call that further sends of this Step may share
}

type call struct {
	step, sent, live int
	before           int // parts out at the replica when the call began
}

type attempt struct {
	r       *replica
	call    *call
	sent    Micros
	live    bool
	never   bool // proved not to have run
	overdue bool
	stale   bool // sent on a connection that had been idle
	domain  int  // of its replica at that time
}

type part struct {
	id     uint32
	q      *query
	shard  int
	weight float64
	done   bool
	tries  []attempt
	live   int
	ran    Micros // when the first attempt was sent that may have run; 0: none
}

type query struct {
	id       uint32
	number   float32
	class    int
	rules    *Class // that it began with; what is changed later binds later queries
	most     int    // attempts for one part
	tenant   int
	aim      Micros
	deadline Micros
	parts    []*part
	got      float64 // weight of the parts that are in
	in       int
	second   bool
	whole    bool // the first step's answer was whole
	ended    bool
	admitted bool
	began    bool
	late     bool // a repeat of one whose aim has passed
}

type class struct {
	delay float64 // tracked quantile of part latency, us
	work  float64 // EWMA of the parts that a query needs
}

// tally sums what was seen, older entries counting less.
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

// window counts moments within a sliding span, which only ever moves forward.
type window struct {
	at   []Micros
	head int
}

func (w *window) add(t Micros) { w.at = append(w.at, t) }

// count forgets the moments before since and returns how many are left. What is kept moves at most once,
// so the cost of an event does not grow with what the span holds.
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

// recount finds again when the first attempt that may have run was sent.
func (p *part) recount() {
	p.ran = 0
	for i := range p.tries {
		if t := &p.tries[i]; !t.never && (p.ran == 0 || t.sent < p.ran) {
			p.ran = t.sent
		}
	}
}

// bound is the domain that a keyed part may have run in, if any: no other knows of its repeats.
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

// release frees the slot of an attempt.
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

// holders calls f for every ready replica of a shard.
func (b *Balancer) holders(shard int, f func(*replica)) {
	for j := range min(b.s.Reach, b.s.Cells) {
		for _, r := range b.cells[((shard+j)%b.s.Cells+b.s.Cells)%b.s.Cells] {
			f(r)
		}
	}
}

// index sorts the replicas that may get work by cell, and all by the hash that messages name them by.
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

// end closes a query: nothing of it goes out any more.
func (b *Balancer) end(q *query) {
	q.ended = true
	delete(b.byQuery, q.id)
	if b.byNumber[q.number] == q {
		delete(b.byNumber, q.number)
	}
	b.close(q)
}

// close withdraws what the parts of a query still have out and forgets the parts that have nothing.
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

// Memory is what the instance that takes this one's place has to know.
func (b *Balancer) Memory() Memory {
	m := Memory{Carried: b.carried, UsualSize: b.usualSize, Starts: map[ReplicaID]Micros{}}
	for _, r := range b.replicas {
		if b.cold(r) {
			m.Starts[r.ID] = r.start
		}
	}
	return m
}

// adopt takes settings in. Classes keep their places; the records of new ones begin anew. What is open holds
// on to the rules that it began with, which stand in the list of classes that was there before.
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

// want counts for each replica the parts of a query that it could be sent now, in one call.
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

// joins tells that a further part of this Step shares a call that is open to the replica.
func (b *Balancer) joins(r *replica) bool {
	return r.open != nil && r.open.step == b.steps && r.open.sent < b.s.BatchMax
}

// load is what a replica had to do for us until an attempt's end, in parts: those out before, and its call's.
func (t *attempt) load() float64 { return float64(t.call.before + t.call.sent) }

// note writes a line for the operators.
func (b *Balancer) note(format string, args ...any) {
	b.out = append(b.out, Action{Kind: Note, Text: fmt.Sprintf(format, args...)})
}
