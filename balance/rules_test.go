package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// world plays a legal history of events against one instance and checks every action against the rules. The
// figures come from a fixed seed: the same history each time.
type world struct {
	s        Settings
	rng      *rand.Rand
	now      Micros
	b        *Balancer
	replicas map[ReplicaID]*simReplica
	ids      []ReplicaID
	queries  map[uint32]*simQuery
	parts    map[uint32]*simPart
	pending  []pending
	extras   []Micros
	taken    []Micros
	nextID   uint32
	ended    int
	sends    []simSend
	spoil    func([]Action) []Action // plants a breach
	broken   []string
}

type simReplica struct {
	Replica
	told Micros // when it was told to drain or gone
	mood int
}

type simQuery struct {
	class    int
	deadline Micros
	parts    []uint32
	in       float64
	over     bool
	second   bool
	whole    bool
}

type simPart struct {
	query    uint32
	shard    int
	weight   float64
	in       bool
	attempts []simAttempt
}

type simSend struct {
	at      Micros
	replica ReplicaID
	share   float64 // of its capacity that a cold replica has, 1 when warm
}

type simAttempt struct {
	replica  ReplicaID
	sent     Micros
	out      bool
	neverRan bool
}

type pending struct {
	at Micros
	ev Event
}

func (w *world) breach(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func newWorld(seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := Settings{
		Tick: 5 * ms, Cells: 2 + rng.IntN(4), Reach: 1 + rng.IntN(2), BatchMax: 1 + rng.IntN(3), Peers: 2,
		MaxAttempts: 2 + rng.IntN(3), CanCancel: rng.IntN(4) > 0, CanCopy: rng.IntN(4) > 0, CanAdvise: true,
		MaxRetryAfter: 800 * ms, ColdShare: 0.2, Ramp: 8000 * ms, FallMultiple: 2, FallSpan: 1000 * ms,
		ReportQueue: -1, Subscribe: rng.IntN(3) == 0, WorthByWork: rng.IntN(2) == 0,
	}
	if rng.IntN(2) == 0 {
		s.ResendSpan, s.ResendRatio, s.SpareAttempts = 2000*ms, 0.05, 4
	}
	for _, e := range []Effect{Safe, Keyed, Unsafe} {
		c := Class{Aim: Micros(500+rng.IntN(1000)) * ms, Effect: e, Window: 700 * ms, Worth: 1 + rng.Float64(),
			Need: 1, Floor: 1, Partial: 0.9}
		c.Deadline = 3 * c.Aim
		switch rng.IntN(4) {
		case 0:
			c.Floor = 0.5
		case 1:
			c.Need, c.Floor = 0.6, 0.6
		}
		if e == Safe && rng.IntN(2) == 0 {
			c.SecondStep = 2
		}
		s.Classes = append(s.Classes, c)
	}
	w := &world{s: s, rng: rng, now: 50_000 * ms, replicas: map[ReplicaID]*simReplica{},
		queries: map[uint32]*simQuery{}, parts: map[uint32]*simPart{}}
	b, err := New(s, seed)
	if err != nil {
		panic(err)
	}
	w.b = b
	var list []Replica
	for i := range s.Cells * (2 + rng.IntN(2)) {
		r := Replica{ID: ReplicaID(100 + i), Cell: i % s.Cells, State: Ready, Size: 2}
		w.replicas[r.ID] = &simReplica{Replica: r}
		w.ids = append(w.ids, r.ID)
		list = append(list, r)
	}
	w.apply([]Event{{Kind: List, Mode: Cached, Replicas: list}})
	return w
}

// apply hands a batch over and checks what comes back.
func (w *world) apply(events []Event) {
	actions := w.b.Step(w.now, events, nil)
	if w.spoil != nil {
		actions = w.spoil(actions)
	}
	for _, a := range actions {
		w.check(a)
	}
}

func (w *world) check(a Action) {
	switch a.Kind {
	case Wake:
		w.pending = append(w.pending, pending{w.now + max(a.After, w.s.Tick), Event{Kind: WakeUp}})
	case Watch, Fetch:
		mode := Delta
		if w.rng.IntN(3) == 0 {
			mode = Failed
		}
		w.pending = append(w.pending, pending{w.now + 50*ms, Event{Kind: List, Mode: mode}})
	case Send:
		w.send(a)
	case Cancel:
		p := w.parts[a.ID]
		if p == nil || a.Attempt >= len(p.attempts) {
			w.breach("cancel of an attempt that was never made: %+v", a)
			return
		}
		if p.attempts[a.Attempt].out {
			w.pending = append(w.pending, pending{w.now + ms, Event{Kind: Result, ID: a.ID, Attempt: a.Attempt,
				Replica: p.attempts[a.Attempt].replica, Outcome: Cancelled}})
		}
	case Answer, Refuse, Fail:
		w.final(a)
	}
}

func (w *world) send(a Action) {
	p := w.parts[a.ID]
	if p == nil {
		w.breach("sent %d, which is no part", a.ID)
		return
	}
	q, r, c := w.queries[p.query], w.replicas[a.Replica], w.s.Classes[w.queries[p.query].class]
	if q.over || p.in {
		w.breach("sent a part after its end")
	}
	if (r.Cell-p.shard%w.s.Cells+w.s.Cells)%w.s.Cells >= w.s.Reach {
		w.breach("shard %d is not held by cell %d", p.shard, r.Cell)
	}
	if r.State != Ready && w.now > r.told {
		w.breach("sent to a replica that drains or is gone")
	}
	if len(p.attempts) >= w.s.MaxAttempts {
		w.breach("attempt %d of a part", len(p.attempts)+1)
	}
	var ran Micros
	for _, t := range p.attempts {
		if t.out && !w.s.CanCopy {
			w.breach("two attempts of a part at once")
		}
		if !t.neverRan {
			if ran == 0 {
				ran = t.sent
			}
			if c.Effect == Unsafe {
				w.breach("an unsafe part that may have run was sent again")
			}
		}
	}
	if c.Effect == Keyed && ran > 0 && w.now > ran+c.Window {
		w.breach("a keyed part was repeated after its window")
	}
	var before Micros // the host has to know it: it may be a while until the attempt begins
	if c.Effect == Keyed && ran > 0 {
		before = ran + c.Window
	}
	if a.StartBy != before {
		w.breach("an attempt may begin until %d, its window ends at %d", a.StartBy, before)
	}
	if len(p.attempts) > 0 && w.s.ResendSpan > 0 {
		w.extras = append(w.extras, w.now)
		used := count(w.extras, w.now-w.s.ResendSpan)
		allowed := w.s.SpareAttempts + w.s.ResendRatio*float64(count(w.taken, w.now-w.s.ResendSpan))
		if float64(used) > allowed {
			w.breach("%d further attempts in the span, %.1f allowed", used, allowed)
		}
	}
	share := 1.0
	if age := w.now - r.Started; r.Started > 0 && age < w.s.Ramp {
		share = w.s.ColdShare + (1-w.s.ColdShare)*float64(age)/float64(w.s.Ramp)
	}
	w.sends = append(w.sends, simSend{w.now, r.ID, share})
	w.parts[a.ID].attempts = append(p.attempts, simAttempt{replica: a.Replica, sent: w.now, out: true})
	w.pending = append(w.pending, w.outcome(a, r, len(p.attempts)-1))
}

func count(at []Micros, since Micros) (n int) {
	for _, t := range at {
		if t >= since {
			n++
		}
	}
	return n
}

// outcome draws how an attempt will end: each replica has a mood that changes now and then.
func (w *world) outcome(a Action, r *simReplica, attempt int) pending {
	took, o := Micros(20+w.rng.IntN(200))*ms, OK
	switch {
	case r.mood == 1:
		took, o = 2*ms, []Outcome{Error, Busy, NoConnection, Reset}[w.rng.IntN(4)]
	case r.mood == 2:
		took, o = a.After, TimedOut
	case r.mood == 3:
		took *= 8
	}
	if took >= a.After {
		took, o = a.After, TimedOut
	}
	ev := Event{Kind: Result, ID: a.ID, Attempt: attempt, Replica: r.ID, Outcome: o}
	return pending{w.now + max(took, w.s.Tick), ev}
}

func (w *world) final(a Action) {
	q := w.queries[a.ID]
	if q == nil || q.over {
		w.breach("final answer for %d, which is not open", a.ID)
		return
	}
	c := w.s.Classes[q.class]
	need, floor, all := c.Need, c.Floor, true
	if q.second {
		if need, floor = 1, c.Floor; c.Floor >= c.Need {
			floor = 1
		}
	}
	for _, id := range q.parts {
		all = all && w.parts[id].in
	}
	switch a.Kind {
	case Answer:
		if q.in < floor-1e-4 {
			w.breach("answered with %.2f in, %.2f is the least", q.in, floor)
		}
		if a.Complete && (q.in < need-1e-4 || q.second && (!all || !q.whole)) {
			w.breach("an answer was called whole that is not")
		}
		if c.SecondStep > 0 && !q.second {
			q.second, q.whole, q.in = true, a.Complete, 0
			old := q.parts
			q.parts = nil
			var events []Event
			for _, id := range old {
				if w.parts[id].in && len(events) < c.SecondStep {
					events = append(events, w.part(a.ID, q, w.parts[id].shard, 0))
				}
			}
			for i := range events {
				events[i].Weight = 1 / float64(len(events))
				w.parts[events[i].ID].weight = events[i].Weight
				w.pending = append(w.pending, pending{w.now + w.s.Tick, events[i]})
			}
			return
		}
	case Refuse:
		for _, id := range q.parts {
			for _, t := range w.parts[id].attempts {
				if c.Effect == Unsafe && !t.neverRan {
					w.breach("refused a query of which an unsafe part may have run")
				}
			}
		}
	}
	if w.now > q.deadline {
		w.breach("final answer %d us late", w.now-q.deadline)
	}
	q.over = true
	w.ended++
}

func (w *world) part(qid uint32, q *simQuery, shard int, weight float64) Event {
	w.nextID++
	w.parts[w.nextID] = &simPart{query: qid, shard: shard, weight: weight}
	q.parts = append(q.parts, w.nextID)
	w.taken = append(w.taken, w.now)
	return Event{Kind: Part, ID: w.nextID, Number: float32(qid), Class: q.class, Shard: shard, Weight: weight,
		Deadline: q.deadline}
}

// query makes the events of a new query.
func (w *world) query() []Event {
	w.nextID++
	id, class := w.nextID, w.rng.IntN(len(w.s.Classes))
	share := 0.6 + 0.4*w.rng.Float64()
	q := &simQuery{class: class, deadline: w.now + Micros(share*float64(w.s.Classes[class].Deadline))}
	w.queries[id] = q
	w.taken = append(w.taken, w.now)
	n := 1 + w.rng.IntN(5)
	events := []Event{{Kind: Query, ID: id, Number: float32(id), Class: class, Weight: float64(n),
		Deadline: q.deadline}}
	for range n {
		events = append(events, w.part(id, q, w.rng.IntN(2*w.s.Cells), 1/float64(n)))
	}
	return events
}

// play runs the history for a while and then lets everything end.
func (w *world) play(steps int) {
	for i := 0; i < steps || len(w.pending) > 0 && i < steps+2000; i++ {
		w.now += 5 * ms
		var events []Event
		slices.SortStableFunc(w.pending, func(a, b pending) int { return int(a.at - b.at) })
		for len(w.pending) > 0 && w.pending[0].at <= w.now {
			ev := w.pending[0].ev
			w.pending = w.pending[1:]
			if ev.Kind == Result && !w.settle(&ev) {
				continue
			}
			events = append(events, ev)
		}
		if i < steps {
			for w.rng.IntN(3) == 0 {
				events = append(events, w.query()...)
			}
			if w.rng.IntN(100) == 0 {
				events = append(events, w.change())
			}
			if r := w.replicas[w.ids[w.rng.IntN(len(w.ids))]]; w.rng.IntN(50) == 0 {
				r.mood = max(0, w.rng.IntN(8)-4)
			}
		}
		w.apply(events)
	}
}

// settle books a result in the world's own record; false where the attempt had ended already.
func (w *world) settle(ev *Event) bool {
	p := w.parts[ev.ID]
	t := &p.attempts[ev.Attempt]
	if !t.out {
		return false
	}
	t.out = false
	t.neverRan = ev.Outcome == Busy || ev.Outcome == NoConnection || ev.Outcome == NotSent
	q := w.queries[p.query]
	ev.Closed = p.in || q.over || ev.Outcome == OK
	if ev.Outcome == OK && !p.in && !q.over && slices.Contains(q.parts, ev.ID) {
		p.in = true
		q.in += p.weight
	}
	return true
}

// change makes a replica drain, go, come back cold or stay as it is.
func (w *world) change() Event {
	r := w.replicas[w.ids[w.rng.IntN(len(w.ids))]]
	switch {
	case r.State == Ready && w.rng.IntN(2) == 0:
		r.State, r.told = []State{Draining, Removed}[w.rng.IntN(2)], w.now
	default:
		r.State, r.Started = Ready, w.now-Micros(w.rng.IntN(500))*ms
	}
	return Event{Kind: List, Mode: Delta, Replicas: []Replica{r.Replica}}
}

// close checks what must hold at the end of a history.
func (w *world) close() {
	for id, q := range w.queries {
		if !q.over {
			w.breach("query %d got no final answer", id)
		}
	}
	w.closeCold()
	if n := len(w.b.queries) + len(w.b.parts) + len(w.b.byQuery) + len(w.b.byNumber); n > 0 {
		w.breach("%d pieces of state kept after everything ended", n)
	}
	for _, r := range w.b.replicas {
		if r.calls != 0 {
			w.breach("replica %d has %d calls out after everything ended", r.ID, r.calls)
		}
	}
}

// closeCold checks that no cold replica got much more than its share of what a warm one got at its busiest.
func (w *world) closeCold() {
	type bucket struct {
		replica ReplicaID
		at      Micros
	}
	warm, most := map[bucket]int{}, 0
	for _, o := range w.sends {
		if o.share == 1 {
			k := bucket{o.replica, o.at / (2 * w.s.FallSpan)}
			warm[k]++
			most = max(most, warm[k])
		}
	}
	for i, c := range w.sends {
		if c.share == 1 {
			continue
		}
		cold, share := 0, 0.0
		for _, o := range w.sends[i:] {
			if o.at >= c.at+2*w.s.FallSpan {
				break
			}
			if o.replica == c.replica && o.share < 1 {
				cold, share = cold+1, max(share, o.share)
			}
		}
		if float64(cold) > 1.3*share*float64(most)+4 { // two spans, and what may be saved up before
			w.breach("cold replica %d got %d parts in two spans, the busiest warm one %d", c.replica, cold, most)
			return
		}
	}
}

func TestRulesOverLongHistories(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(seed)
		w.play(4000)
		w.close()
		if len(w.broken) > 0 {
			t.Fatalf("seed %d: %d breaches, the first: %s", seed, len(w.broken), w.broken[0])
		}
		if w.ended < 1000 {
			t.Fatalf("seed %d: only %d queries ended", seed, w.ended)
		}
	}
}

// The checks above must be able to fail: each planted breach has to be seen.
func TestPlantedBreachesAreSeen(t *testing.T) {
	edit := func(f func(w *world, a Action) []Action) func(w *world) {
		return func(w *world) {
			w.spoil = func(in []Action) (out []Action) {
				for _, a := range in {
					out = append(out, f(w, a)...)
				}
				return out
			}
		}
	}
	for name, plant := range map[string]func(w *world){
		"lost": edit(func(w *world, a Action) []Action {
			if a.Kind == Answer && a.ID%50 == 0 {
				return nil
			}
			return []Action{a}
		}),
		"twice": edit(func(w *world, a Action) []Action {
			if a.Kind == Refuse {
				return []Action{a, a}
			}
			return []Action{a}
		}),
		"duplicate": edit(func(w *world, a Action) []Action {
			if a.Kind == Send && w.s.Classes[w.queries[w.parts[a.ID].query].class].Effect == Unsafe {
				return []Action{a, a}
			}
			return []Action{a}
		}),
		"drain": edit(func(w *world, a Action) []Action {
			for _, id := range w.ids {
				if r := w.replicas[id]; a.Kind == Send && r.State != Ready && r.told < w.now {
					a.Replica = id
				}
			}
			return []Action{a}
		}),
		"cold": edit(func(w *world, a Action) []Action {
			for _, id := range w.ids {
				r := w.replicas[id]
				if a.Kind == Send && r.State == Ready && r.Started > 0 && w.now-r.Started < w.s.Ramp {
					a.Replica = id
				}
			}
			return []Action{a}
		}),
		"whole": edit(func(w *world, a Action) []Action {
			if a.Kind == Refuse {
				return []Action{{Kind: Answer, ID: a.ID, Complete: true}}
			}
			return []Action{a}
		}),
		"budget": func(w *world) {
			w.b.s.ResendSpan = 0
			w.s.ResendSpan, w.s.ResendRatio, w.s.SpareAttempts = 2000*ms, 0, 1
		},
	} {
		seen := false
		for seed := uint64(0); seed < 5 && !seen; seed++ {
			w := newWorld(seed)
			plant(w)
			w.play(1500)
			for id, q := range w.queries {
				if !q.over {
					w.breach("query %d got no final answer", id)
				}
			}
			w.closeCold()
			seen = len(w.broken) > 0
		}
		if !seen {
			t.Errorf("%s: the planted breach was not seen", name)
		}
	}
}

// The same events give the same actions.
func TestDeterministic(t *testing.T) {
	trace := func() (out []Action) {
		w := newWorld(3)
		w.spoil = func(a []Action) []Action { out = append(out, a...); return a }
		w.play(1500)
		return out
	}
	if a, b := trace(), trace(); !slices.Equal(a, b) {
		t.Fatal("two runs of one history differ")
	}
}

func TestClockBackAndStrangeEventsAreHarmless(t *testing.T) {
	k := start(t, settings(), ready(2)...)
	id := k.query(0, 2)
	k.now -= 5000 * ms
	k.step(Event{Kind: Result, ID: 9999, Outcome: OK}, Event{Kind: Result, ID: id + 1, Attempt: 7, Outcome: OK},
		Event{Kind: Part, ID: 77, Number: 12345, Shard: -3}, Event{Kind: ClientGone, ID: 4242},
		Event{Kind: Query, ID: 88, Class: 40}, Event{Kind: StreamStarted, ID: 1234}, Event{Kind: ProbeResult, Replica: 55},
		Event{Kind: Message}, Event{Kind: List, Mode: Delta, Replicas: []Replica{{ID: 9, Cell: 99, State: Ready}}},
		Event{Kind: Result, ID: id + 1, Attempt: -1, Outcome: OK})
	k.now += 9000 * ms
	acts := k.wait(100 * ms)
	if n := len(of(Refuse, acts)) + len(of(Fail, acts)) + len(of(Answer, acts)); n != 1 {
		t.Fatalf("%d final answers after the deadline, want 1", n)
	}
}
