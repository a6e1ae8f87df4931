package balance

import "testing"

// twoStepSettings returns a deployment whose only class has a second step and partial answers from 0.75.
func twoStepSettings() Settings {
	s := settings()
	s.Classes = []Class{{Aim: 1000 * ms, Deadline: 3000 * ms, Worth: 5, LateWorth: 0.3, Need: 1, Floor: 0.75,
		Partial: 0.8, SecondStep: 2}}
	return s
}

// A first step that lacks one part is answered early enough for the second step (scenario duplicados big-1:
// 16% failed because the second step began at the aim).
func TestFirstStepLeavesTimeForTheSecond(t *testing.T) {
	k := start(t, twoStepSettings(), readyReplicas(3)...)
	id := k.query(0, 4)
	for i, a := range ofKind(Send, k.actions)[:3] {
		k.result(id+1+uint32(i), 0, a.Replica, OK)
	}
	begun := k.now
	for len(ofKind(Answer, k.actions)) == 0 && k.now < begun+1000*ms {
		k.now += 10 * ms
		k.step(Event{Kind: WakeUp})
	}
	if exactlyOne(t, Answer, k.actions).Complete {
		t.Fatal("an answer that lacks a part was marked complete")
	}
	if left := begun + 1000*ms - k.now; left < 300*ms || left > 600*ms {
		t.Fatalf("the second step begins %d ms before the aim", left/ms)
	}
}

// A second step that is incomplete at the aim continues: the worth of the whole query is at stake, and only
// little is missing.
func TestSecondStepGoesOnPastTheAim(t *testing.T) {
	k := start(t, twoStepSettings(), readyReplicas(3)...)
	id := k.query(0, 4)
	for i, a := range ofKind(Send, k.actions) {
		k.result(id+1+uint32(i), 0, a.Replica, OK)
	}
	k.step(Event{Kind: Part, ID: 901, Number: float32(id), Shard: 0, Weight: 0.5, Deadline: k.now + 3000*ms},
		Event{Kind: Part, ID: 902, Number: float32(id), Shard: 1, Weight: 0.5, Deadline: k.now + 3000*ms})
	first := ofKind(Send, k.actions)
	k.result(901, 0, first[0].Replica, OK)
	for _, a := range k.wait(1200 * ms) {
		if a.Kind == Refuse || a.Kind == Fail || a.Kind == Answer {
			t.Fatalf("ended with half of the second step missing: %+v", a)
		}
	}
	if a := exactlyOne(t, Answer, k.result(902, 0, first[1].Replica, OK)); !a.Complete {
		t.Fatal("all parts were answered, but the answer is not complete")
	}
}

// Past the aim a query continues only if its late worth exceeds what its missing parts cost. Otherwise it
// ends in the Step that decides so, with advice when to retry.
func TestLateQueryContinuesOnlyIfWorthwhile(t *testing.T) {
	for lacks, goesOn := range map[int]bool{1: true, 8: false} {
		s := settings()
		s.Classes[0].LateWorth = 0.3
		k := start(t, s, readyReplicas(3)...)
		k.balancer.classes[0].meanParts = 10
		id := k.query(0, 10)
		for i, a := range ofKind(Send, k.actions)[:10-lacks] {
			k.result(id+1+uint32(i), 0, a.Replica, OK)
		}
		ended := ofKind(Refuse, k.wait(1000*ms))
		if goesOn != (len(ended) == 0) {
			t.Errorf("%d of 10 parts missing at the aim: %d refused", lacks, len(ended))
		}
		if len(ended) == 1 && ended[0].After == 0 {
			t.Error("no advice when to retry")
		}
	}
}

// Clients wait the same share of their class's deadline for every try, so one that waits less started
// earlier, and its query may repeat one that is past its aim. Without late worth such a query is refused
// before it costs anything (scenario matricula rough-2: 34 attempts per query went to repeats that could
// earn nothing).
func TestRepeatPastItsAimIsDetectedByItsDeadline(t *testing.T) {
	for worth, sends := range map[float64]int{0: 0, 0.3: 1} {
		s := settings()
		s.Classes[0].LateWorth = worth
		k := start(t, s, readyReplicas(3)...)
		ask := func(left Micros) []Action {
			k.lastID += 2
			id := k.lastID
			k.step(Event{Kind: Query, ID: id, Number: float32(id), Weight: 1, Deadline: k.now + left},
				Event{Kind: Part, ID: id + 1, Number: float32(id), Weight: 1, Deadline: k.now + left})
			return k.actions
		}
		for _, left := range []Micros{2400 * ms, 2380 * ms, 2400 * ms} { // 0.8 of the class's deadline
			if n := len(ofKind(Send, ask(left))); n != 1 {
				t.Fatalf("%d sends for a first try that waits %d ms", n, left/ms)
			}
		}
		if n := len(ofKind(Send, ask(1900*ms))); n != sends { // started 1.1 s ago, the aim is 1 s
			t.Errorf("late worth %v: %d sends for a repeat past its aim, want %d", worth, n, sends)
		}
		if n := len(ofKind(Send, ask(2200*ms))); n != 1 {
			t.Errorf("late worth %v: %d sends for a repeat within its aim", worth, n)
		}
	}
}

// A query with one part at a hot shard, whose replicas reject everything as busy, is refused immediately;
// queries without such a part are served (scenario duplicados big-2: 230 queries were given up at their aim
// with 90% of the parts answered).
func TestHotShardShedsItsOwnQueriesOnly(t *testing.T) {
	s := settings()
	s.Cells, s.Peers = 8, 60
	var rs []Replica
	for i := range 16 {
		rs = append(rs, Replica{ID: ReplicaID(i + 1), Cell: i % 8, State: Ready, Size: 1})
	}
	k := start(t, s, rs...)
	for i := range 60 { // shard 7 is held by cell 7, which has replicas 8 and 16
		r := k.balancer.byID[ReplicaID(i%16+1)]
		if r.Cell != 7 {
			k.balancer.recordLatency(r, 0, 60_000)
		} else {
			id, number := 9000+uint32(2*i), 9000+float32(2*i)
			k.step(Event{Kind: Query, ID: id, Number: number, Deadline: k.now + 3000*ms},
				Event{Kind: Part, ID: id + 1, Number: number, Shard: 7, Weight: 1})
			for try, sends := 0, ofKind(Send, k.actions); len(sends) == 1; try++ {
				sends = ofKind(Send, k.result(sends[0].ID, try, sends[0].Replica, Busy))
			}
		}
	}
	k.query(0, 8)
	exactlyOne(t, Refuse, k.actions)
	k.query(0, 7)
	if n := len(ofKind(Send, k.actions)); n != 7 {
		t.Fatalf("%d of 7 parts sent of a query that does not need the hot shard", n)
	}
}

// Failed list calls are retried with exponential back-off and jitter, within MustAsk, the limit of the rules
// on drains: instances that lost discovery at the same time must not keep calling it at the same times.
func TestListCallsBackOff(t *testing.T) {
	for _, must := range []Micros{0, 3000 * ms, 8000 * ms} {
		var first []Micros
		for seed := range uint64(2) {
			s := settings()
			s.Subscribe, s.MustAsk = true, must
			b, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			k := &instance{t: t, balancer: b, now: 20_000 * ms}
			k.step(Event{Kind: List, Mode: Cached, Replicas: readyReplicas(1)})
			var gaps []Micros
			for range 8 {
				failed := k.now
				for k.step(Event{Kind: List, Mode: Failed}); len(ofKind(Watch, k.actions)) == 0; k.wait(0) {
					k.now += 10 * ms
					k.step(Event{Kind: WakeUp})
				}
				gaps = append(gaps, k.now-failed)
			}
			if must == 0 && gaps[7] < 2*gaps[0] { // 2 to 4 s after 0.5 to 1 s
				t.Errorf("delays %v do not grow", gaps)
			}
			// Up to four times MustAsk may pass after a failed call, but missed changes count as announced 6 s after
			// discovery became reachable. Retries at a quarter of 8 s kept discovery overloaded for as long as 80
			// instances called it.
			most := MaxListRetryDelay
			if must > 0 {
				most = min(most, must)
			}
			if gaps[7] > most+20*ms || gaps[7] < most/2-20*ms {
				t.Errorf("delay %d ms, want between half of %d ms and all of it", gaps[7]/ms, most/ms)
			}
			first = append(first, gaps[0])
		}
		if first[0] == first[1] {
			t.Errorf("two instances had the same delay of %d ms", first[0]/ms)
		}
	}
}

// The retry advice of a refusal is derived from the shortest aim, within what clients follow, and random:
// clients that were refused at the same time must not come back at the same time.
func TestRetryAdviceIsBoundedAndSpread(t *testing.T) {
	for _, most := range []Micros{0, 200 * ms, 5000 * ms} {
		seen := map[Micros]bool{}
		for seed := range uint64(20) {
			s := settings()
			s.MaxRetryAfter = most
			b, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			k := &instance{t: t, balancer: b, now: 20_000 * ms}
			k.query(0, 1) // refused, as there is no replica
			after := exactlyOne(t, Refuse, k.actions).After
			if after > min(most, s.Classes[0].Aim) || most > 0 && after < min(most, 100*ms) {
				t.Errorf("advised to retry after %d ms, clients follow at most %d ms", after/ms, most/ms)
			}
			seen[after] = true
		}
		if most > 0 && len(seen) < 10 {
			t.Errorf("only %d different delays from 20 instances", len(seen))
		}
	}
}

// If clients mark repeats, the first try of a client with a short deadline is not taken for a late repeat
// (incident i2cbad8: 350 queries that could have been served were refused in five seconds).
func TestImpatientFirstTryIsNotLate(t *testing.T) {
	for repeat, sends := range map[bool]int{false: 1, true: 0} {
		s := settings()
		s.MarksRepeat = true
		k := start(t, s, readyReplicas(3)...)
		k.query(0, 1)
		k.step(Event{Kind: Query, ID: 70, Number: 70, Weight: 1, Deadline: k.now + 600*ms, Repeat: repeat},
			Event{Kind: Part, ID: 71, Number: 70, Weight: 1, Deadline: k.now + 600*ms})
		if n := len(ofKind(Send, k.actions)); n != sends {
			t.Errorf("marked %v: %d sends, want %d", repeat, n, sends)
		}
	}
}
