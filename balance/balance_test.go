package balance

import (
	"math"
	"strings"
	"testing"
)

const ms = Micros(1000)

// settings returns a minimal deployment: one cell of replicas that hold every shard, and one safe class.
func settings() Settings {
	return Settings{
		Classes: []Class{{Aim: 1000 * ms, Deadline: 3000 * ms, Worth: 1, Need: 1, Floor: 1}},
		Tick:    5 * ms, Cells: 1, Reach: 1, BatchMax: 1, MaxAttempts: 3, Peers: 1,
		CanCancel: true, CanCopy: true, CanAdvise: true, MaxRetryAfter: 1000 * ms,
		ColdShare: 0.25, Ramp: 10_000 * ms, FallMultiple: 2, FallSpan: 1000 * ms, ReportQueue: -1,
	}
}

// instance is a Balancer under test, driven step by step.
type instance struct {
	t        *testing.T
	balancer *Balancer
	now      Micros
	actions  []Action
	lastID   uint32
}

func start(t *testing.T, s Settings, replicas ...Replica) *instance {
	t.Helper()
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	k := &instance{t: t, balancer: b, now: 20_000 * ms}
	k.step(Event{Kind: List, Mode: Full, Replicas: replicas})
	return k
}

func readyReplicas(n int) []Replica {
	var rs []Replica
	for i := range n {
		rs = append(rs, Replica{ID: ReplicaID(i + 1), State: Ready, Size: 2})
	}
	return rs
}

func (k *instance) step(events ...Event) []Action {
	k.actions = k.balancer.Step(k.now, events, nil)
	return k.actions
}

// wait advances the clock, with a wake-up every 10 ms, and returns all actions.
func (k *instance) wait(d Micros) []Action {
	var all []Action
	for end := k.now + d; k.now < end; {
		k.now = min(end, k.now+10*ms)
		all = append(all, k.step(Event{Kind: WakeUp})...)
	}
	return all
}

// query submits a query of n equal parts on shards 0 to n-1 and returns its ID; the IDs of its parts
// follow it.
func (k *instance) query(class, n int) uint32 {
	id := k.lastID + 1
	k.lastID += uint32(n) + 1
	c := k.balancer.settings.Classes[class]
	events := []Event{{Kind: Query, ID: id, Number: float32(id), Class: class, Weight: float64(n),
		Deadline: k.now + c.Deadline}}
	for i := range n {
		events = append(events, Event{Kind: Part, ID: id + 1 + uint32(i), Number: float32(id), Class: class,
			Shard: i, Weight: 1 / float64(n), Deadline: k.now + c.Deadline})
	}
	k.step(events...)
	return id
}

func (k *instance) result(id uint32, attempt int, r ReplicaID, o Outcome) []Action {
	return k.step(Event{Kind: Result, ID: id, Attempt: attempt, Replica: r, Outcome: o, Closed: o == OK})
}

func ofKind(kind ActionKind, actions []Action) (found []Action) {
	for _, a := range actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

func exactlyOne(t *testing.T, kind ActionKind, actions []Action) Action {
	t.Helper()
	found := ofKind(kind, actions)
	if len(found) != 1 {
		t.Fatalf("%d actions of kind %d, want 1: %+v", len(found), kind, actions)
	}
	return found[0]
}

func TestFirstSendAtOnceAndAnswer(t *testing.T) {
	k := start(t, settings(), readyReplicas(3)...)
	id := k.query(0, 2)
	sends := ofKind(Send, k.actions)
	if len(sends) != 2 {
		t.Fatalf("sends %+v, want 2", sends)
	}
	if got := ofKind(Answer, k.result(id+1, 0, sends[0].Replica, OK)); len(got) != 0 {
		t.Fatal("answered with half the parts in")
	}
	if a := exactlyOne(t, Answer, k.result(id+2, 0, sends[1].Replica, OK)); !a.Complete || a.ID != id {
		t.Fatalf("answer %+v", a)
	}
	if len(k.balancer.parts)+len(k.balancer.byQuery)+len(k.balancer.byNumber)+len(k.balancer.queries) != 0 {
		t.Fatal("state kept after the end")
	}
}

func TestHedgeAfterDelayAndCancelOfLoser(t *testing.T) {
	k := start(t, settings(), readyReplicas(3)...)
	id := k.query(0, 1)
	first := exactlyOne(t, Send, k.actions)
	if got := ofKind(Send, k.wait(240*ms)); len(got) != 0 {
		t.Fatalf("hedged before a quarter of the aim: %+v", got)
	}
	second := exactlyOne(t, Send, k.wait(30*ms))
	if second.Replica == first.Replica {
		t.Fatal("the hedged attempt went to the same replica")
	}
	acts := k.result(id+1, 1, second.Replica, OK)
	if c := exactlyOne(t, Cancel, acts); c.Attempt != 0 || c.ID != id+1 {
		t.Fatalf("cancel %+v", c)
	}
	exactlyOne(t, Answer, acts)
}

func TestNextCandidateAtOnce(t *testing.T) {
	for _, o := range []Outcome{Busy, NoConnection, Error, Reset} {
		k := start(t, settings(), readyReplicas(2)...)
		id := k.query(0, 1)
		first := exactlyOne(t, Send, k.actions)
		if again := exactlyOne(t, Send, k.result(id+1, 0, first.Replica, o)); again.ID != id+1 {
			t.Fatalf("outcome %d: %+v", o, again)
		}
	}
}

func TestUnsafeIsRepeatedOnlyWhenItNeverRan(t *testing.T) {
	for _, c := range []struct {
		o     Outcome
		again int
		end   ActionKind
	}{{Busy, 1, Refuse}, {NoConnection, 1, Refuse}, {Error, 0, Fail}, {Reset, 0, Fail}, {TimedOut, 0, Fail}} {
		s := settings()
		s.Classes[0].Effect = Unsafe
		k := start(t, s, readyReplicas(4)...)
		id := k.query(0, 1)
		acts := k.result(id+1, 0, exactlyOne(t, Send, k.actions).Replica, c.o)
		if got := len(ofKind(Send, acts)); got != c.again {
			t.Errorf("outcome %d: %d further sends, want %d", c.o, got, c.again)
		}
		if c.again == 1 {
			for i := 1; i < 3; i++ {
				acts = append(acts, k.result(id+1, i, exactlyOne(t, Send, k.actions).Replica, c.o)...)
			}
		}
		exactlyOne(t, c.end, acts)
	}
}

func TestKeyedRepeatStaysInItsWindow(t *testing.T) {
	s := settings()
	s.Classes[0].Effect, s.Classes[0].Window = Keyed, 300*ms
	s.CanCopy = false
	k := start(t, s, readyReplicas(2)...)
	id := k.query(0, 1)
	first := exactlyOne(t, Send, k.actions)
	k.wait(310 * ms)
	if acts := k.result(id+1, 0, first.Replica, Error); len(ofKind(Send, acts)) != 0 {
		t.Fatal("repeated after the window")
	} else {
		exactlyOne(t, Fail, acts)
	}
}

// A keyed part that may have run in one domain is repeated only there, even if its replica has since moved to
// another domain: a replica of another domain would not recognize the repeat and would execute it.
func TestKeyedRepeatStaysInItsDomain(t *testing.T) {
	for _, effect := range []Effect{Keyed, Safe} {
		s := settings()
		s.Classes[0].Effect, s.Classes[0].Window, s.MaxAttempts = effect, 2000*ms, 4
		rs := readyReplicas(4)
		for i := range rs {
			rs[i].Domain = i % 2
		}
		for seed := range uint64(8) {
			b, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			k := &instance{t: t, balancer: b, now: 20_000 * ms}
			k.step(Event{Kind: List, Mode: Full, Replicas: rs})
			id := k.query(0, 1)
			first := exactlyOne(t, Send, k.actions).Replica
			var others []ReplicaID
			for try, at := 0, first; try < 3; try++ {
				sends := ofKind(Send, k.result(id+1, try, at, Reset))
				if len(sends) == 0 {
					break
				}
				at = sends[0].Replica
				others = append(others, at)
			}
			strays := 0
			for _, r := range others {
				if (r-first)%2 != 0 {
					strays++
				}
			}
			if effect == Keyed && strays > 0 || len(others) == 0 {
				t.Errorf("seed %d: first to %d, repeats to %v", seed, first, others)
			}
		}
	}
	// A part that never ran is not bound to a domain, and a replica that moved counts as in its new one.
	s := settings()
	s.Classes[0].Effect, s.Classes[0].Window, s.MaxAttempts = Keyed, 2000*ms, 4
	rs := readyReplicas(2)
	rs[1].Domain = 1
	k := start(t, s, rs...)
	id := k.query(0, 1)
	first := exactlyOne(t, Send, k.actions).Replica
	second := exactlyOne(t, Send, k.result(id+1, 0, first, Busy)).Replica
	if second == first {
		t.Fatal("not sent to the other domain although it never ran")
	}
	rs[second-1].Domain = rs[first-1].Domain
	k.step(Event{Kind: List, Mode: Delta, Replicas: rs})
	if sends := ofKind(Send, k.result(id+1, 1, second, Reset)); len(sends) != 0 {
		t.Fatalf("repeated at replica %d of another domain", sends[0].Replica)
	}
}

func TestDrainStopsSendsAtOnce(t *testing.T) {
	for _, st := range []State{Draining, Removed} {
		k := start(t, settings(), readyReplicas(2)...)
		k.step(Event{Kind: List, Mode: Delta, Replicas: []Replica{{ID: 1, State: st, Size: 2}}})
		for range 20 {
			id := k.query(0, 1)
			for _, a := range ofKind(Send, k.actions) {
				if a.Replica == 1 {
					t.Fatalf("sent to a replica in state %d", st)
				}
				k.result(id+1, 0, a.Replica, OK)
			}
		}
	}
}

func TestColdReplicaGetsItsShareOnly(t *testing.T) {
	rs := readyReplicas(4)
	rs[0].Started = 19_900 * ms
	k := start(t, settings(), rs...)
	var cold, warm float64
	for range 200 {
		id := k.query(0, 1)
		for _, a := range ofKind(Send, k.actions) {
			if a.Replica == 1 {
				cold++
			} else {
				warm++
			}
			k.result(id+1, 0, a.Replica, OK)
		}
		k.now += 10 * ms
	}
	if per := warm / 3; cold > 0.5*per+2 {
		t.Fatalf("the cold replica got %v parts, a warm one %v", cold, per)
	}
}

func TestAnswerBeforeDeadline(t *testing.T) {
	k := start(t, settings(), readyReplicas(2)...)
	k.query(0, 1)
	acts := k.wait(3000 * ms)
	if n := len(ofKind(Refuse, acts)) + len(ofKind(Fail, acts)); n != 1 {
		t.Fatalf("%d final answers, want 1", n)
	}
}

func TestNoReplicaIsRefusedAtOnce(t *testing.T) {
	k := start(t, settings())
	k.query(0, 2)
	if r := exactlyOne(t, Refuse, k.actions); r.After <= 0 {
		t.Fatal("refusal without retry advice")
	}
}

func TestPartialAnswerJustBeforeAim(t *testing.T) {
	s := settings()
	s.Classes[0].Floor, s.Classes[0].Partial = 0.5, 0.9
	k := start(t, s, readyReplicas(2)...)
	id := k.query(0, 2)
	k.result(id+1, 0, ofKind(Send, k.actions)[0].Replica, OK)
	if a := exactlyOne(t, Answer, k.wait(1000*ms)); a.Complete {
		t.Fatal("a partial answer was marked complete")
	}
}

func TestNeedUnderOneAnswersEarly(t *testing.T) {
	s := settings()
	s.Classes[0].Need, s.Classes[0].Floor = 0.6, 0.6
	k := start(t, s, readyReplicas(4)...)
	id := k.query(0, 5)
	sends := ofKind(Send, k.actions)
	if len(sends) < 3 || len(sends) > 4 {
		t.Fatalf("%d parts sent, want the required ones and one spare", len(sends))
	}
	for i, a := range sends[:3] {
		k.result(a.ID, 0, a.Replica, OK)
		if got := len(ofKind(Answer, k.actions)); (got == 1) != (i == 2) {
			t.Fatalf("answers after part %d: %d", i, got)
		}
	}
	_ = id
}

func TestSecondStep(t *testing.T) {
	s := settings()
	s.Classes[0].SecondStep = 1
	k := start(t, s, readyReplicas(2)...)
	id := k.query(0, 1)
	if a := exactlyOne(t, Answer, k.result(id+1, 0, exactlyOne(t, Send, k.actions).Replica, OK)); !a.Complete {
		t.Fatal("first step not complete")
	}
	k.now += 5 * ms
	acts := k.step(Event{Kind: Part, ID: 900, Number: float32(id), Weight: 1})
	if a := exactlyOne(t, Answer, k.result(900, 0, exactlyOne(t, Send, acts).Replica, OK)); !a.Complete {
		t.Fatal("second step not complete")
	}
}

func TestFailuresWeighByKind(t *testing.T) {
	weight := func(o Outcome) float64 {
		k := start(t, settings(), readyReplicas(1)...)
		id := k.query(0, 1)
		k.result(id+1, 0, 1, o)
		return k.balancer.byID[1].weight
	}
	order := []Outcome{OK, Busy, TimedOut, Error, NoConnection}
	for i := 1; i < len(order); i++ {
		if a, b := weight(order[i-1]), weight(order[i]); a <= b {
			t.Errorf("outcome %d leaves weight %v, outcome %d leaves %v", order[i-1], a, order[i], b)
		}
	}
}

func TestWeightDecaysTowardTheMiddle(t *testing.T) {
	k := start(t, settings(), readyReplicas(1)...)
	r := k.balancer.byID[1]
	r.weight = 100
	r.weightAt = k.now
	k.balancer.now = k.now + weightHalfLife
	k.balancer.adjustWeight(r, 0)
	if math.Abs(r.weight-75) > 1e-9 {
		t.Fatalf("weight %v after one half-life, want 75", r.weight)
	}
}

// A replica that accepts parts and answers none is detected when its first part is overdue, not at the
// deadline.
func TestSilentReplicaGetsFewParts(t *testing.T) {
	k := start(t, settings(), readyReplicas(2)...)
	toSilent := 0
	var todo []Action
	for i := range 900 {
		k.query(0, 1)
		todo = append(todo, k.actions...)
		todo = append(todo, k.wait(100*ms)...)
		work := todo
		todo = nil
		for _, a := range work {
			switch {
			case a.Kind == Cancel:
				todo = append(todo, k.result(a.ID, a.Attempt, 1, Cancelled)...)
			case a.Kind == Send && a.Replica == 2:
				todo = append(todo, k.result(a.ID, len(k.balancer.attempts(a.ID))-1, 2, OK)...)
			case a.Kind == Send && i >= 100:
				toSilent++
			}
		}
	}
	if toSilent == 0 || toSilent > 200 {
		t.Fatalf("%d of the last 800 parts went to the silent replica, want a few", toSilent)
	}
}

// attempts returns the attempts of a part, or none if the part is no longer held.
func (b *Balancer) attempts(id uint32) []attempt {
	if p := b.parts[id]; p != nil {
		return p.attempts
	}
	return nil
}

func TestSubscribeAsksAgainAfterFailure(t *testing.T) {
	s := settings()
	s.Subscribe = true
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	k := &instance{t: t, balancer: b, now: 20_000 * ms}
	exactlyOne(t, Watch, k.step(Event{Kind: List, Mode: Cached, Replicas: readyReplicas(1)}))
	if got := ofKind(Watch, k.wait(500*ms)); len(got) != 0 {
		t.Fatal("second list call while one is pending")
	}
	k.step(Event{Kind: List, Mode: Failed})
	exactlyOne(t, Watch, k.wait(1100*ms))
	k.step(Event{Kind: List, Mode: Delta})
	if got := ofKind(Watch, k.wait(3000*ms)); len(got) != 0 {
		t.Fatal("list call while subscribed")
	}
}

func TestNewNamesTheField(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"Classes":     func(s *Settings) { s.Classes = nil },
		"Cells":       func(s *Settings) { s.Cells = 0 },
		"Reach":       func(s *Settings) { s.Reach = 0 },
		"MaxAttempts": func(s *Settings) { s.MaxAttempts = 0 },
		"Aim":         func(s *Settings) { s.Classes[0].Aim = 0 },
		"Floor":       func(s *Settings) { s.Classes[0].Floor = 2 },
	} {
		s := settings()
		invalidate(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// New settings apply to later queries only: an open query keeps the rules of its class and its number of
// attempts. A new class has its own measurements, and the aim of a dropped class is no longer considered.
func TestChangedSettingsBindNewQueriesOnly(t *testing.T) {
	k := start(t, settings(), readyReplicas(4)...)
	open := k.query(0, 1)
	first := exactlyOne(t, Send, k.actions)
	s := settings()
	s.MaxAttempts = 1
	s.Classes = append([]Class(nil), s.Classes...)
	s.Classes[0].Effect, s.Classes[0].Dropped = Unsafe, true
	s.Classes = append(s.Classes, Class{Aim: 400 * ms, Deadline: 800 * ms, Worth: 1, Need: 1, Floor: 1})
	k.step(Event{Kind: SettingsChanged, Settings: &s})
	if k.balancer.minAim != float64(400*ms) {
		t.Errorf("the shortest aim is %.0f us", k.balancer.minAim)
	}
	second := k.query(1, 1)
	sent := exactlyOne(t, Send, k.actions)
	if got := ofKind(Send, k.result(open+1, 0, first.Replica, Error)); len(got) != 1 {
		t.Errorf("an open query is not retried: %+v", got)
	}
	if got := k.result(second+1, 0, sent.Replica, Error); len(ofKind(Send, got)) != 0 ||
		len(ofKind(Refuse, got)) != 1 {
		t.Errorf("a new query is not refused after its only attempt: %+v", got)
	}
	s.MaxAttempts = 0
	k.step(Event{Kind: SettingsChanged, Settings: &s})
	if k.balancer.settings.MaxAttempts != 1 {
		t.Error("invalid settings were applied")
	}
}

// A query can carry its own rules instead of those of its class. The host uses this while it cannot tell
// which version of the rules the client assumed.
func TestQueryWithRulesOfItsOwn(t *testing.T) {
	k := start(t, settings(), readyReplicas(4)...)
	rules := settings().Classes[0]
	rules.Effect = Unsafe
	sends := ofKind(Send, k.step(
		Event{Kind: Query, ID: 1, Number: 1, Weight: 1, Deadline: k.now + 3000*ms, Rules: &rules},
		Event{Kind: Part, ID: 2, Number: 1, Weight: 1, Deadline: k.now + 3000*ms}))
	if got := k.result(2, 0, sends[0].Replica, Error); len(ofKind(Fail, got)) != 1 {
		t.Fatalf("a part that may have run is retried or refused: %+v", got)
	}
}
