package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// simulation runs a random but valid history of events against one instance and checks every action
// against the rules. All random values come from a seed, so a seed always gives the same history.
type simulation struct {
	s          Settings
	rng        *rand.Rand
	now        Micros
	b          *Balancer
	replicas   map[ReplicaID]*simReplica
	ids        []ReplicaID
	queries    map[uint32]*simQuery
	parts      map[uint32]*simPart
	pending    []pendingEvent
	retries    []Micros
	arrivals   []Micros
	nextID     uint32
	ended      int
	sends      []simSend
	tamper     func([]Action) []Action // injects a violation
	violations []string
}

type simReplica struct {
	Replica
	stateChangedAt Micros // when it was listed as draining or removed
	failureMode    int
}

type simQuery struct {
	class          int
	deadline       Micros
	parts          []uint32
	receivedWeight float64
	finished       bool
	inSecondStep   bool
	firstComplete  bool
}

type simPart struct {
	query    uint32
	shard    int
	weight   float64
	received bool
	attempts []simAttempt
}

type simSend struct {
	at            Micros
	replica       ReplicaID
	capacityShare float64 // share of its capacity that a cold replica has, 1 when warm
}

type simAttempt struct {
	replica  ReplicaID
	sent     Micros
	pending  bool
	neverRan bool
}

type pendingEvent struct {
	at    Micros
	event Event
}

func (w *simulation) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func newSimulation(seed uint64) *simulation {
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
	w := &simulation{s: s, rng: rng, now: 50_000 * ms, replicas: map[ReplicaID]*simReplica{},
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

// apply passes a batch of events to the instance and checks the resulting actions.
func (w *simulation) apply(events []Event) {
	actions := w.b.Step(w.now, events, nil)
	if w.tamper != nil {
		actions = w.tamper(actions)
	}
	for _, a := range actions {
		w.check(a)
	}
}

func (w *simulation) check(a Action) {
	switch a.Kind {
	case Wake:
		w.pending = append(w.pending, pendingEvent{w.now + max(a.After, w.s.Tick), Event{Kind: WakeUp}})
	case Watch, Fetch:
		mode := Delta
		if w.rng.IntN(3) == 0 {
			mode = Failed
		}
		w.pending = append(w.pending, pendingEvent{w.now + 50*ms, Event{Kind: List, Mode: mode}})
	case Send:
		w.checkSend(a)
	case Cancel:
		p := w.parts[a.ID]
		if p == nil || a.Attempt >= len(p.attempts) {
			w.violation("cancelled an attempt that was never made: %+v", a)
			return
		}
		if p.attempts[a.Attempt].pending {
			w.pending = append(w.pending, pendingEvent{w.now + ms, Event{Kind: Result, ID: a.ID, Attempt: a.Attempt,
				Replica: p.attempts[a.Attempt].replica, Outcome: Cancelled}})
		}
	case Answer, Refuse, Fail:
		w.checkFinal(a)
	}
}

func (w *simulation) checkSend(a Action) {
	p := w.parts[a.ID]
	if p == nil {
		w.violation("sent %d, which is not a part", a.ID)
		return
	}
	q, r, c := w.queries[p.query], w.replicas[a.Replica], w.s.Classes[w.queries[p.query].class]
	if q.finished || p.received {
		w.violation("sent a part that is finished")
	}
	if (r.Cell-p.shard%w.s.Cells+w.s.Cells)%w.s.Cells >= w.s.Reach {
		w.violation("shard %d is not held by cell %d", p.shard, r.Cell)
	}
	if r.State != Ready && w.now > r.stateChangedAt {
		w.violation("sent to a draining or removed replica")
	}
	if len(p.attempts) >= w.s.MaxAttempts {
		w.violation("attempt %d of a part", len(p.attempts)+1)
	}
	var ran Micros
	for _, t := range p.attempts {
		if t.pending && !w.s.CanCopy {
			w.violation("two attempts of a part at once")
		}
		if !t.neverRan {
			if ran == 0 {
				ran = t.sent
			}
			if c.Effect == Unsafe {
				w.violation("an unsafe part that may have run was sent again")
			}
		}
	}
	if c.Effect == Keyed && ran > 0 && w.now > ran+c.Window {
		w.violation("a keyed part was repeated after its window")
	}
	var before Micros // passed to the host, because the attempt may begin with a delay
	if c.Effect == Keyed && ran > 0 {
		before = ran + c.Window
	}
	if a.StartBy != before {
		w.violation("StartBy of an attempt is %d, its window ends at %d", a.StartBy, before)
	}
	if len(p.attempts) > 0 && w.s.ResendSpan > 0 {
		w.retries = append(w.retries, w.now)
		used := countSince(w.retries, w.now-w.s.ResendSpan)
		allowed := w.s.SpareAttempts + w.s.ResendRatio*float64(countSince(w.arrivals, w.now-w.s.ResendSpan))
		if float64(used) > allowed {
			w.violation("%d further attempts in the span, %.1f allowed", used, allowed)
		}
	}
	share := 1.0
	if age := w.now - r.Started; r.Started > 0 && age < w.s.Ramp {
		share = w.s.ColdShare + (1-w.s.ColdShare)*float64(age)/float64(w.s.Ramp)
	}
	w.sends = append(w.sends, simSend{w.now, r.ID, share})
	w.parts[a.ID].attempts = append(p.attempts, simAttempt{replica: a.Replica, sent: w.now, pending: true})
	w.pending = append(w.pending, w.outcome(a, r, len(p.attempts)-1))
}

func countSince(at []Micros, since Micros) (n int) {
	for _, t := range at {
		if t >= since {
			n++
		}
	}
	return n
}

// outcome draws the result of an attempt, according to the replica's failure mode, which changes
// occasionally.
func (w *simulation) outcome(a Action, r *simReplica, attempt int) pendingEvent {
	took, o := Micros(20+w.rng.IntN(200))*ms, OK
	switch {
	case r.failureMode == 1:
		took, o = 2*ms, []Outcome{Error, Busy, NoConnection, Reset}[w.rng.IntN(4)]
	case r.failureMode == 2:
		took, o = a.After, TimedOut
	case r.failureMode == 3:
		took *= 8
	}
	if took >= a.After {
		took, o = a.After, TimedOut
	}
	ev := Event{Kind: Result, ID: a.ID, Attempt: attempt, Replica: r.ID, Outcome: o}
	return pendingEvent{w.now + max(took, w.s.Tick), ev}
}

func (w *simulation) checkFinal(a Action) {
	q := w.queries[a.ID]
	if q == nil || q.finished {
		w.violation("final answer for %d, which is not open", a.ID)
		return
	}
	c := w.s.Classes[q.class]
	need, floor, all := c.Need, c.Floor, true
	if q.inSecondStep {
		if need, floor = 1, c.Floor; c.Floor >= c.Need {
			floor = 1
		}
	}
	for _, id := range q.parts {
		all = all && w.parts[id].received
	}
	switch a.Kind {
	case Answer:
		if q.receivedWeight < floor-1e-4 {
			w.violation("answered with weight %.2f, the minimum is %.2f", q.receivedWeight, floor)
		}
		if a.Complete && (q.receivedWeight < need-1e-4 || q.inSecondStep && (!all || !q.firstComplete)) {
			w.violation("an incomplete answer was marked complete")
		}
		if c.SecondStep > 0 && !q.inSecondStep {
			q.inSecondStep, q.firstComplete, q.receivedWeight = true, a.Complete, 0
			old := q.parts
			q.parts = nil
			var events []Event
			for _, id := range old {
				if w.parts[id].received && len(events) < c.SecondStep {
					events = append(events, w.part(a.ID, q, w.parts[id].shard, 0))
				}
			}
			for i := range events {
				events[i].Weight = 1 / float64(len(events))
				w.parts[events[i].ID].weight = events[i].Weight
				w.pending = append(w.pending, pendingEvent{w.now + w.s.Tick, events[i]})
			}
			return
		}
	case Refuse:
		for _, id := range q.parts {
			for _, t := range w.parts[id].attempts {
				if c.Effect == Unsafe && !t.neverRan {
					w.violation("refused a query although an unsafe part of it may have run")
				}
			}
		}
	}
	if w.now > q.deadline {
		w.violation("final answer %d us late", w.now-q.deadline)
	}
	q.finished = true
	w.ended++
}

func (w *simulation) part(qid uint32, q *simQuery, shard int, weight float64) Event {
	w.nextID++
	w.parts[w.nextID] = &simPart{query: qid, shard: shard, weight: weight}
	q.parts = append(q.parts, w.nextID)
	w.arrivals = append(w.arrivals, w.now)
	return Event{Kind: Part, ID: w.nextID, Number: float32(qid), Class: q.class, Shard: shard, Weight: weight,
		Deadline: q.deadline}
}

// query returns the events of a new query.
func (w *simulation) query() []Event {
	w.nextID++
	id, class := w.nextID, w.rng.IntN(len(w.s.Classes))
	share := 0.6 + 0.4*w.rng.Float64()
	q := &simQuery{class: class, deadline: w.now + Micros(share*float64(w.s.Classes[class].Deadline))}
	w.queries[id] = q
	w.arrivals = append(w.arrivals, w.now)
	n := 1 + w.rng.IntN(5)
	events := []Event{{Kind: Query, ID: id, Number: float32(id), Class: class, Weight: float64(n),
		Deadline: q.deadline}}
	for range n {
		events = append(events, w.part(id, q, w.rng.IntN(2*w.s.Cells), 1/float64(n)))
	}
	return events
}

// run simulates the history for a number of steps and then lets all pending events happen.
func (w *simulation) run(steps int) {
	for i := 0; i < steps || len(w.pending) > 0 && i < steps+2000; i++ {
		w.now += 5 * ms
		var events []Event
		slices.SortStableFunc(w.pending, func(a, b pendingEvent) int { return int(a.at - b.at) })
		for len(w.pending) > 0 && w.pending[0].at <= w.now {
			ev := w.pending[0].event
			w.pending = w.pending[1:]
			if ev.Kind == Result && !w.recordResult(&ev) {
				continue
			}
			events = append(events, ev)
		}
		if i < steps {
			for w.rng.IntN(3) == 0 {
				events = append(events, w.query()...)
			}
			if w.rng.IntN(100) == 0 {
				events = append(events, w.changeReplica())
			}
			if r := w.replicas[w.ids[w.rng.IntN(len(w.ids))]]; w.rng.IntN(50) == 0 {
				r.failureMode = max(0, w.rng.IntN(8)-4)
			}
		}
		w.apply(events)
	}
}

// recordResult records a result in the simulation's own state. It returns false if the attempt had already
// ended.
func (w *simulation) recordResult(ev *Event) bool {
	p := w.parts[ev.ID]
	t := &p.attempts[ev.Attempt]
	if !t.pending {
		return false
	}
	t.pending = false
	t.neverRan = ev.Outcome == Busy || ev.Outcome == NoConnection || ev.Outcome == NotSent
	q := w.queries[p.query]
	ev.Closed = p.received || q.finished || ev.Outcome == OK
	if ev.Outcome == OK && !p.received && !q.finished && slices.Contains(q.parts, ev.ID) {
		p.received = true
		q.receivedWeight += p.weight
	}
	return true
}

// changeReplica makes a replica drain, go away or come back cold.
func (w *simulation) changeReplica() Event {
	r := w.replicas[w.ids[w.rng.IntN(len(w.ids))]]
	switch {
	case r.State == Ready && w.rng.IntN(2) == 0:
		r.State, r.stateChangedAt = []State{Draining, Removed}[w.rng.IntN(2)], w.now
	default:
		r.State, r.Started = Ready, w.now-Micros(w.rng.IntN(500))*ms
	}
	return Event{Kind: List, Mode: Delta, Replicas: []Replica{r.Replica}}
}

// checkEnd checks what must hold at the end of a history.
func (w *simulation) checkEnd() {
	for id, q := range w.queries {
		if !q.finished {
			w.violation("query %d got no final answer", id)
		}
	}
	w.checkColdLoad()
	if n := len(w.b.queries) + len(w.b.parts) + len(w.b.byQuery) + len(w.b.byNumber); n > 0 {
		w.violation("%d queries and parts kept after everything ended", n)
	}
	for _, r := range w.b.replicas {
		if r.openCalls != 0 {
			w.violation("replica %d has %d calls out after everything ended", r.ID, r.openCalls)
		}
	}
}

// checkColdLoad checks that no cold replica received much more than its share of the maximum load of a
// warm one.
func (w *simulation) checkColdLoad() {
	type bucket struct {
		replica ReplicaID
		at      Micros
	}
	warm, most := map[bucket]int{}, 0
	for _, o := range w.sends {
		if o.capacityShare == 1 {
			k := bucket{o.replica, o.at / (2 * w.s.FallSpan)}
			warm[k]++
			most = max(most, warm[k])
		}
	}
	for i, c := range w.sends {
		if c.capacityShare == 1 {
			continue
		}
		cold, share := 0, 0.0
		for _, o := range w.sends[i:] {
			if o.at >= c.at+2*w.s.FallSpan {
				break
			}
			if o.replica == c.replica && o.capacityShare < 1 {
				cold, share = cold+1, max(share, o.capacityShare)
			}
		}
		if float64(cold) > 1.3*share*float64(most)+4 { // two spans, and the tokens saved before them
			w.violation("cold replica %d got %d parts in two spans, the busiest warm one %d", c.replica, cold, most)
			return
		}
	}
}

func TestRulesOverLongHistories(t *testing.T) {
	for seed := range uint64(60) {
		w := newSimulation(seed)
		w.run(4000)
		w.checkEnd()
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %d violations, the first: %s", seed, len(w.violations), w.violations[0])
		}
		if w.ended < 1000 {
			t.Fatalf("seed %d: only %d queries ended", seed, w.ended)
		}
	}
}

// The checks above must be able to fail: each injected violation has to be detected.
func TestInjectedViolationsAreDetected(t *testing.T) {
	edit := func(f func(w *simulation, a Action) []Action) func(w *simulation) {
		return func(w *simulation) {
			w.tamper = func(in []Action) (out []Action) {
				for _, a := range in {
					out = append(out, f(w, a)...)
				}
				return out
			}
		}
	}
	for name, plant := range map[string]func(w *simulation){
		"lost": edit(func(w *simulation, a Action) []Action {
			if a.Kind == Answer && a.ID%50 == 0 {
				return nil
			}
			return []Action{a}
		}),
		"twice": edit(func(w *simulation, a Action) []Action {
			if a.Kind == Refuse {
				return []Action{a, a}
			}
			return []Action{a}
		}),
		"duplicate": edit(func(w *simulation, a Action) []Action {
			if a.Kind == Send && w.s.Classes[w.queries[w.parts[a.ID].query].class].Effect == Unsafe {
				return []Action{a, a}
			}
			return []Action{a}
		}),
		"drain": edit(func(w *simulation, a Action) []Action {
			for _, id := range w.ids {
				if r := w.replicas[id]; a.Kind == Send && r.State != Ready && r.stateChangedAt < w.now {
					a.Replica = id
				}
			}
			return []Action{a}
		}),
		"cold": edit(func(w *simulation, a Action) []Action {
			for _, id := range w.ids {
				r := w.replicas[id]
				if a.Kind == Send && r.State == Ready && r.Started > 0 && w.now-r.Started < w.s.Ramp {
					a.Replica = id
				}
			}
			return []Action{a}
		}),
		"whole": edit(func(w *simulation, a Action) []Action {
			if a.Kind == Refuse {
				return []Action{{Kind: Answer, ID: a.ID, Complete: true}}
			}
			return []Action{a}
		}),
		"budget": func(w *simulation) {
			w.b.settings.ResendSpan = 0
			w.s.ResendSpan, w.s.ResendRatio, w.s.SpareAttempts = 2000*ms, 0, 1
		},
	} {
		seen := false
		for seed := uint64(0); seed < 5 && !seen; seed++ {
			w := newSimulation(seed)
			plant(w)
			w.run(1500)
			for id, q := range w.queries {
				if !q.finished {
					w.violation("query %d got no final answer", id)
				}
			}
			w.checkColdLoad()
			seen = len(w.violations) > 0
		}
		if !seen {
			t.Errorf("%s: the injected violation was not detected", name)
		}
	}
}

// The same events give the same actions.
func TestDeterministic(t *testing.T) {
	trace := func() (out []Action) {
		w := newSimulation(3)
		w.tamper = func(a []Action) []Action { out = append(out, a...); return a }
		w.run(1500)
		return out
	}
	if a, b := trace(), trace(); !slices.Equal(a, b) {
		t.Fatal("two runs of the same history differ")
	}
}

func TestClockBackAndStrangeEventsAreHarmless(t *testing.T) {
	k := start(t, settings(), readyReplicas(2)...)
	id := k.query(0, 2)
	k.now -= 5000 * ms
	k.step(Event{Kind: Result, ID: 9999, Outcome: OK}, Event{Kind: Result, ID: id + 1, Attempt: 7, Outcome: OK},
		Event{Kind: Part, ID: 77, Number: 12345, Shard: -3}, Event{Kind: ClientGone, ID: 4242},
		Event{Kind: Query, ID: 88, Class: 40}, Event{Kind: StreamStarted, ID: 1234},
		Event{Kind: ProbeResult, Replica: 55},
		Event{Kind: Message}, Event{Kind: List, Mode: Delta, Replicas: []Replica{{ID: 9, Cell: 99, State: Ready}}},
		Event{Kind: Result, ID: id + 1, Attempt: -1, Outcome: OK})
	k.now += 9000 * ms
	acts := k.wait(100 * ms)
	if n := len(ofKind(Refuse, acts)) + len(ofKind(Fail, acts)) + len(ofKind(Answer, acts)); n != 1 {
		t.Fatalf("%d final answers after the deadline, want 1", n)
	}
}
