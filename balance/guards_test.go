package balance

import "testing"

// The guards, each with the failure that it answers.

// Overload: a query that cannot make its aim is refused before it costs anything (incident i999af7).
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	k := start(t, settings(), ready(1)...)
	refused := 0
	for i := range 40 {
		k.query(0, 1)
		if n := len(of(Refuse, k.out)); n > 0 {
			refused += n
			if len(of(Send, k.out)) > 0 {
				t.Fatalf("query %d was refused after it had been sent", i)
			}
		}
	}
	if refused == 0 || refused == 40 {
		t.Fatalf("%d of 40 queries refused at one replica, want the excess only", refused)
	}
}

// A high learned time per part must not lock a replica out for good: it fades without news (i93e8b7).
func TestLearnedTimeFades(t *testing.T) {
	k := start(t, settings(), ready(1)...)
	for range 20 {
		k.b.saw(k.b.byID[1], 0, 100e6)
	}
	k.query(0, 1)
	one(t, Refuse, k.out)
	k.now += 60_000 * ms
	k.query(0, 1)
	one(t, Send, k.out)
}

// The class whose work is worth least goes first, and traffic beyond a tenant's quota before other (i02387c).
func TestValueOrdersRefusals(t *testing.T) {
	s := settings()
	s.WorthByWork, s.OverShareWorth, s.Peers = true, 0.1, 1
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Worth = 2
	s.Tenants = []Tenant{{Quota: 1}, {Quota: 1000}}
	k := start(t, s, ready(1)...)
	rules := k.b.s.Classes
	low, high := k.b.value(&query{rules: &rules[0], class: 0, tenant: 1}),
		k.b.value(&query{rules: &rules[1], class: 1, tenant: 1})
	if low >= high {
		t.Fatalf("value %v of the class of less worth, %v of the other", low, high)
	}
	for range 20 {
		k.step(Event{Kind: Query, ID: 5000 + k.ids, Number: 5000 + float32(k.ids), Tenant: 0, Deadline: k.now})
		k.ids++
	}
	over, under := k.b.value(&query{rules: &rules[1], class: 1}),
		k.b.value(&query{rules: &rules[1], class: 1, tenant: 1})
	if over >= under {
		t.Fatalf("value %v beyond the quota, %v within", over, under)
	}
}

// drive serves queries of one part, each attempt ending as outcome says, and counts the sends by replica.
func drive(k *bench, n int, outcome func(ReplicaID) Outcome) map[ReplicaID]int {
	sent := map[ReplicaID]int{}
	for range n {
		id := k.query(0, 1)
		sends := of(Send, k.out)
		k.now += 100 * ms
		for try := 0; len(sends) == 1; try++ {
			sent[sends[0].Replica]++
			sends = of(Send, k.result(id+1, try, sends[0].Replica, outcome(sends[0].Replica)))
		}
	}
	return sent
}

// A replica that turns parts away or fails at once looks idle for ever; it is all but left alone while it
// does so (i897b66, i0fb731), and found again after.
func TestFailingReplicaIsLeftAlone(t *testing.T) {
	for _, o := range []Outcome{Busy, Error, NoConnection, Reset} {
		k := start(t, settings(), ready(3)...)
		sent := drive(k, 200, func(r ReplicaID) Outcome {
			if r == 1 {
				return o
			}
			return OK
		})
		if sent[1] > 20 {
			t.Errorf("outcome %d: %d of 200 parts went to the failing replica", o, sent[1])
		}
		ok := func(ReplicaID) Outcome { return OK }
		drive(k, 300, ok)
		if sent = drive(k, 200, ok); sent[1] < 30 {
			t.Errorf("outcome %d: %d of 200 parts half a minute after it was mended", o, sent[1])
		}
	}
}

// A path that loses half its attempts never misses many in a row, and is avoided all the same.
func TestLossyPathIsAvoided(t *testing.T) {
	k := start(t, settings(), ready(3)...)
	n := 0
	sent := drive(k, 300, func(r ReplicaID) Outcome {
		if n++; r == 1 && n%2 == 0 {
			return Reset
		}
		return OK
	})
	if sent[1] > 45 {
		t.Fatalf("%d of 300 parts over a path that loses half", sent[1])
	}
}

// After a mass restart nothing warm is left to compare with: what was carried before still counts (icdcc6d).
func TestMassRestartIsServedFromMemory(t *testing.T) {
	k := start(t, settings(), ready(4)...)
	serve := func() (n int) {
		for range 400 {
			id := k.query(0, 1)
			for _, a := range of(Send, k.out) {
				k.result(id+1, a.Attempt, a.Replica, OK)
				n++
			}
			k.now += 10 * ms
		}
		return n
	}
	before := serve()
	rs := ready(4)
	for i := range rs {
		rs[i].Started = k.now
	}
	k.step(Event{Kind: List, Mode: Full, Replicas: rs})
	after := serve()
	if after < before/8 || after > before*9/10 {
		t.Fatalf("%d parts sent to cold replicas, %d before the restart", after, before)
	}
}

// A query is not started when a part of it would wait for a cold holder (icdcc6d).
func TestColdOnlyHolderRefusesAtOnce(t *testing.T) {
	rs := ready(2)
	rs[1].Cell, rs[1].Started = 1, 19_990*ms
	s := settings()
	s.Cells = 2
	k := start(t, s, rs...)
	k.query(0, 2)
	one(t, Refuse, k.out)
	if len(of(Send, k.out)) > 0 {
		t.Fatal("a part was sent of a query that cannot be served")
	}
}

// Where not every part is needed, an unsent part stands in for a late one, free of the budget (if370bf).
func TestUnsentPartStandsIn(t *testing.T) {
	s := settings()
	s.Classes[0].Need, s.Classes[0].Floor = 0.5, 0.5
	k := start(t, s, ready(4)...)
	k.query(0, 8)
	first := len(of(Send, k.out))
	for _, a := range of(Send, k.wait(300*ms)) {
		if p := k.b.parts[a.ID]; len(p.tries) > 1 {
			t.Fatal("a part was copied while others were unsent")
		}
		first++
	}
	if first != 8 {
		t.Fatalf("%d of 8 parts sent", first)
	}
}

// Further attempts stay within the told budget in any window.
func TestBudgetHolds(t *testing.T) {
	s := settings()
	s.ResendSpan, s.ResendRatio, s.SpareAttempts = 2000*ms, 0.05, 3
	k := start(t, s, ready(3)...)
	extra := 0
	for range 30 {
		id := k.query(0, 1)
		for try, sends := 0, of(Send, k.out); len(sends) == 1; try++ {
			extra += min(try, 1)
			sends = of(Send, k.result(id+1, try, sends[0].Replica, Reset))
		}
	}
	if extra == 0 || extra > 6 {
		t.Fatalf("%d further attempts for 60 queries and parts, 6 allowed", extra)
	}
}

// Counts of the past do not pile up where no budget is told and no copy is ever made.
func TestWindowsAreFreed(t *testing.T) {
	s := settings()
	s.CanCopy = false
	k := start(t, s, ready(3)...)
	for i := range 2000 {
		id := k.query(0, 1)
		for try, sends := 0, of(Send, k.out); len(sends) == 1; try++ {
			o := OK
			if i%20 == 0 && try == 0 {
				o = Error
			}
			sends = of(Send, k.result(id+1, try, sends[0].Replica, o))
		}
		k.now += 20 * ms
	}
	if n := len(k.b.taken.at) + len(k.b.extras.at); n > 1500 {
		t.Fatalf("%d moments kept after 40 s at 100 queries and parts a second", n)
	}
}

// An instance that ends answers all that it holds while it still can: neither what it holds nor what still
// comes is kept beyond its end, however long the client would wait.
func TestEndingInstanceHoldsNothingBeyondItsEnd(t *testing.T) {
	k := start(t, settings(), ready(3)...)
	held := k.query(0, 1)
	k.step(Event{Kind: Stopping, Deadline: k.now + 500*ms})
	late := k.query(0, 1)
	done := map[uint32]bool{}
	for _, a := range of(Refuse, k.wait(500*ms)) {
		done[a.ID] = a.After > 0
	}
	if !done[held] || !done[late] {
		t.Fatalf("refused with advice: %v, want %d and %d", done, held, late)
	}
}

// Spoilt answers come from any replica alike and tell nothing of its speed: it is not shunned for one, and
// the part goes elsewhere at once. One that only ever spoils loses its weight.
func TestSpoiltAnswerIsNoLoad(t *testing.T) {
	k := start(t, settings(), ready(2)...)
	id := k.query(0, 1)
	first := one(t, Send, k.out)
	r := k.b.byID[first.Replica]
	before := k.b.expect(r, 0)
	if next := one(t, Send, k.result(id+1, 0, first.Replica, Malformed)); next.Replica == first.Replica {
		t.Error("the part went to the same replica")
	}
	if after := k.b.expect(r, 0); after != before {
		t.Errorf("a part there is now expected to take %.0f us, not %.0f", after, before)
	}
	for range 20 {
		k.b.adjust(r, 0)
		q := &query{rules: &k.b.s.Classes[0]}
		k.b.settle(&part{q: q, live: 1}, &attempt{r: r, call: &call{live: 1}, sent: k.now},
			&Event{Kind: Result, Outcome: Malformed})
	}
	if r.weight > midWeight/4 {
		t.Errorf("weight %.0f after twenty spoilt answers in a row", r.weight)
	}
}

// A client that waits less than its class's aim says nothing of the queues: it is turned away only where it
// would hardly be served in its time (churn day: 8% refused in 15 s, of those let in 60 to 75% were served).
func TestLittlePatienceIsNoOverload(t *testing.T) {
	for share, sent := range map[float64]int{0.8: 0, 1.2: 1} {
		k := start(t, settings(), ready(1)...)
		for range 20 {
			k.b.saw(k.b.byID[1], 0, float64(100*ms))
		}
		left := Micros(share * k.b.expect(k.b.byID[1], 0))
		k.step(Event{Kind: Query, ID: 1, Number: 1, Weight: 1, Deadline: k.now + left},
			Event{Kind: Part, ID: 2, Number: 1, Weight: 1, Deadline: k.now + left})
		if got := len(of(Send, k.out)); got != sent {
			t.Errorf("%.1f of the time that a part takes left: %d sent, want %d", share, got, sent)
		}
	}
}

// An overdue part at a replica that answers nothing is copied to the other one even where that has no free
// slot, if it would come in time; a part that is only slow is not (churn day, 51 to 52 s: a node stood still,
// its parts ran into the aim with a single attempt each).
func TestOverduePartIsCopiedBeyondTheSlots(t *testing.T) {
	k := start(t, settings(), ready(2)...)
	k.query(0, 1)
	first := one(t, Send, k.out)
	other := k.b.byID[3-first.Replica]
	other.calls = maxCap
	if got := of(Send, k.wait(550*ms)); len(got) != 0 {
		t.Fatalf("a slow part was copied to a full replica: %+v", got)
	}
	if got := of(Send, k.wait(100*ms)); len(got) != 1 || got[0].Replica != other.ID {
		t.Fatalf("sends of the overdue part: %+v", got)
	}
}

// What is sent in vain is sent again: while much is, fewer queries are let in, and as it ends as many as
// before. Else the repeats of all fill the queues of those that still serve (join+mass, seed 789946599629:
// 12% of the parts in vain, 47% of the queries refused, and less served than by random choice).
func TestMuchInVainLetsFewerIn(t *testing.T) {
	admitted := func(k *bench) (n int) {
		for range 60 {
			k.query(0, 1)
			n += len(of(Send, k.out))
		}
		return n
	}
	many := settings()
	many.Peers = 80
	sound, failing := start(t, many, ready(4)...), start(t, many, ready(4)...)
	failing.b.vain = 0.1
	full, cut := admitted(sound), admitted(failing)
	if cut >= full || cut < full/2 {
		t.Fatalf("%d let in where nothing fails, %d where a tenth does", full, cut)
	}
	k := start(t, settings(), ready(4)...)
	drive(k, 60, func(ReplicaID) Outcome { return Busy })
	if k.b.vain < 0.05 {
		t.Fatalf("all are full: %.2f held to be in vain", k.b.vain)
	}
	// A cut or a lost room is silent: what is sent there takes no room at those that serve, and says nothing of
	// how much they can take (split+mass: 0.88 of the way while time-outs counted, 0.97 without).
	quiet := start(t, settings(), ready(4)...)
	drive(quiet, 60, func(ReplicaID) Outcome { return TimedOut })
	if quiet.b.vain > 0 {
		t.Fatalf("all are silent: %.2f held to be in vain", quiet.b.vain)
	}
	drive(k, 300, func(ReplicaID) Outcome { return OK })
	if k.b.vain > 0.01 {
		t.Fatalf("all is served: %.2f held to be in vain", k.b.vain)
	}
}

// Peers go on telling of a jam, so that an instance turns all away: it still lets one query in every three
// seconds, and no more, to see for itself. On the whole fleet 39 and 46 of 315 instances sent nothing for 4 s
// on a calm day.
func TestInstanceThatTurnsAllAwayGoesOnLooking(t *testing.T) {
	s := settings()
	s.Peers, s.CanTell = 300, true
	k := start(t, s, ready(2)...)
	var sent []Micros
	refused := 0
	for begun := k.now; k.now < begun+20_000*ms; k.now += 100 * ms {
		var m message
		m.add(hash(1), 990_000, 8)
		m.add(hash(2), 990_000, 8)
		k.step(Event{Kind: Message, From: 1, Data: []byte(m.text())})
		if k.now < begun+1000*ms {
			continue // until the word has come
		}
		id := k.query(0, 1)
		refused += len(of(Refuse, k.out))
		for _, a := range of(Send, k.out) {
			sent = append(sent, k.now)
			k.result(id+1, 0, a.Replica, Busy)
			k.step(Event{Kind: ClientGone, ID: id})
		}
	}
	if refused < 150 {
		t.Fatalf("only %d of 190 queries were refused: there is no jam to speak of", refused)
	}
	if len(sent) < 5 || len(sent) > 7 {
		t.Fatalf("%d queries were let in over 19 s", len(sent))
	}
	for i := 1; i < len(sent); i++ {
		if gap := sent[i] - sent[i-1]; gap > 4000*ms {
			t.Errorf("nothing was sent for %d ms", gap/ms)
		}
	}
}
