package balance

import "testing"

// Regression tests, each with the failure that it guards against.

// Under overload a query that cannot meet its aim is refused before it costs anything (incident i999af7).
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	k := start(t, settings(), readyReplicas(1)...)
	refused := 0
	for i := range 40 {
		k.query(0, 1)
		if n := len(ofKind(Refuse, k.actions)); n > 0 {
			refused += n
			if len(ofKind(Send, k.actions)) > 0 {
				t.Fatalf("query %d was refused after it had been sent", i)
			}
		}
	}
	if refused == 0 || refused == 40 {
		t.Fatalf("%d of 40 queries refused with one replica, want only the excess", refused)
	}
}

// A high measured latency must not exclude a replica forever: it decays without new samples (incident
// i93e8b7).
func TestMeasuredLatencyDecays(t *testing.T) {
	k := start(t, settings(), readyReplicas(1)...)
	for range 20 {
		k.balancer.recordLatency(k.balancer.byID[1], 0, 100e6)
	}
	k.query(0, 1)
	exactlyOne(t, Refuse, k.actions)
	k.now += 60_000 * ms
	k.query(0, 1)
	exactlyOne(t, Send, k.actions)
}

// Queries of the class of the lowest worth per work are refused first, and those beyond a tenant's quota
// before others (incident i02387c).
func TestValueOrdersRefusals(t *testing.T) {
	s := settings()
	s.WorthByWork, s.OverShareWorth, s.Peers = true, 0.1, 1
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Worth = 2
	s.Tenants = []Tenant{{Quota: 1}, {Quota: 1000}}
	k := start(t, s, readyReplicas(1)...)
	rules := k.balancer.settings.Classes
	low, high := k.balancer.relativeWorth(&query{rules: &rules[0], class: 0, tenant: 1}),
		k.balancer.relativeWorth(&query{rules: &rules[1], class: 1, tenant: 1})
	if low >= high {
		t.Fatalf("relative worth %v of the class of lower worth, %v of the other", low, high)
	}
	for range 20 {
		k.step(Event{Kind: Query, ID: 5000 + k.lastID, Number: 5000 + float32(k.lastID), Tenant: 0,
			Deadline: k.now})
		k.lastID++
	}
	over, under := k.balancer.relativeWorth(&query{rules: &rules[1], class: 1}),
		k.balancer.relativeWorth(&query{rules: &rules[1], class: 1, tenant: 1})
	if over >= under {
		t.Fatalf("relative worth %v beyond the quota, %v within", over, under)
	}
}

// countSends serves n queries of one part, ends each attempt with the outcome for its replica, and counts
// the sends to each replica.
func countSends(k *instance, n int, outcome func(ReplicaID) Outcome) map[ReplicaID]int {
	sent := map[ReplicaID]int{}
	for range n {
		id := k.query(0, 1)
		sends := ofKind(Send, k.actions)
		k.now += 100 * ms
		for try := 0; len(sends) == 1; try++ {
			sent[sends[0].Replica]++
			sends = ofKind(Send, k.result(id+1, try, sends[0].Replica, outcome(sends[0].Replica)))
		}
	}
	return sent
}

// A replica that rejects parts or fails immediately always looks idle. It gets almost no parts while it does
// so, and is used again afterwards (incidents i897b66 and i0fb731).
func TestFailingReplicaIsAvoided(t *testing.T) {
	for _, o := range []Outcome{Busy, Error, NoConnection, Reset} {
		k := start(t, settings(), readyReplicas(3)...)
		sent := countSends(k, 200, func(r ReplicaID) Outcome {
			if r == 1 {
				return o
			}
			return OK
		})
		if sent[1] > 20 {
			t.Errorf("outcome %d: %d of 200 parts went to the failing replica", o, sent[1])
		}
		ok := func(ReplicaID) Outcome { return OK }
		countSends(k, 300, ok)
		if sent = countSends(k, 200, ok); sent[1] < 30 {
			t.Errorf("outcome %d: %d of 200 parts half a minute after it recovered", o, sent[1])
		}
	}
}

// A path that loses half of the attempts is avoided although it never loses several in a row.
func TestLossyPathIsAvoided(t *testing.T) {
	k := start(t, settings(), readyReplicas(3)...)
	n := 0
	sent := countSends(k, 300, func(r ReplicaID) Outcome {
		if n++; r == 1 && n%2 == 0 {
			return Reset
		}
		return OK
	})
	if sent[1] > 45 {
		t.Fatalf("%d of 300 parts over a path that loses half", sent[1])
	}
}

// After a restart of all replicas no warm one is left to compare with: the capacity measured before still
// counts (incident icdcc6d).
func TestMassRestartUsesRememberedCapacity(t *testing.T) {
	k := start(t, settings(), readyReplicas(4)...)
	serve := func() (n int) {
		for range 400 {
			id := k.query(0, 1)
			for _, a := range ofKind(Send, k.actions) {
				k.result(id+1, a.Attempt, a.Replica, OK)
				n++
			}
			k.now += 10 * ms
		}
		return n
	}
	before := serve()
	rs := readyReplicas(4)
	for i := range rs {
		rs[i].Started = k.now
	}
	k.step(Event{Kind: List, Mode: Full, Replicas: rs})
	after := serve()
	if after < before/8 || after > before*9/10 {
		t.Fatalf("%d parts sent to cold replicas, %d before the restart", after, before)
	}
}

// A query is refused if a part of it would have to wait for a cold replica (incident icdcc6d).
func TestColdOnlyHolderRefusesAtOnce(t *testing.T) {
	rs := readyReplicas(2)
	rs[1].Cell, rs[1].Started = 1, 19_990*ms
	s := settings()
	s.Cells = 2
	k := start(t, s, rs...)
	k.query(0, 2)
	exactlyOne(t, Refuse, k.actions)
	if len(ofKind(Send, k.actions)) > 0 {
		t.Fatal("sent a part of a query that cannot be served")
	}
}

// If not every part is required, an unsent part replaces a late one without using the retry budget (incident
// if370bf).
func TestUnsentPartReplacesLatePart(t *testing.T) {
	s := settings()
	s.Classes[0].Need, s.Classes[0].Floor = 0.5, 0.5
	k := start(t, s, readyReplicas(4)...)
	k.query(0, 8)
	first := len(ofKind(Send, k.actions))
	for _, a := range ofKind(Send, k.wait(300*ms)) {
		if p := k.balancer.parts[a.ID]; len(p.attempts) > 1 {
			t.Fatal("a part was hedged while others were unsent")
		}
		first++
	}
	if first != 8 {
		t.Fatalf("%d of 8 parts sent", first)
	}
}

// Further attempts stay within the configured retry budget.
func TestBudgetHolds(t *testing.T) {
	s := settings()
	s.ResendSpan, s.ResendRatio, s.SpareAttempts = 2000*ms, 0.05, 3
	k := start(t, s, readyReplicas(3)...)
	extra := 0
	for range 30 {
		id := k.query(0, 1)
		for try, sends := 0, ofKind(Send, k.actions); len(sends) == 1; try++ {
			extra += min(try, 1)
			sends = ofKind(Send, k.result(id+1, try, sends[0].Replica, Reset))
		}
	}
	if extra == 0 || extra > 6 {
		t.Fatalf("%d further attempts for 60 queries and parts, 6 allowed", extra)
	}
}

// The sliding windows do not grow without bound when no budget is configured and no attempt is hedged.
func TestWindowsAreFreed(t *testing.T) {
	s := settings()
	s.CanCopy = false
	k := start(t, s, readyReplicas(3)...)
	for i := range 2000 {
		id := k.query(0, 1)
		for try, sends := 0, ofKind(Send, k.actions); len(sends) == 1; try++ {
			o := OK
			if i%20 == 0 && try == 0 {
				o = Error
			}
			sends = ofKind(Send, k.result(id+1, try, sends[0].Replica, o))
		}
		k.now += 20 * ms
	}
	if n := len(k.balancer.arrivals.times) + len(k.balancer.retries.times); n > 1500 {
		t.Fatalf("%d times kept after 40 s at 100 queries and parts per second", n)
	}
}

// An instance that shuts down answers all its queries in time: neither open queries nor new ones are held
// beyond the shutdown, however long their clients would wait.
func TestStoppingInstanceHoldsNothingBeyondItsEnd(t *testing.T) {
	k := start(t, settings(), readyReplicas(3)...)
	held := k.query(0, 1)
	k.step(Event{Kind: Stopping, Deadline: k.now + 500*ms})
	late := k.query(0, 1)
	done := map[uint32]bool{}
	for _, a := range ofKind(Refuse, k.wait(500*ms)) {
		done[a.ID] = a.After > 0
	}
	if !done[held] || !done[late] {
		t.Fatalf("refused with advice: %v, want %d and %d", done, held, late)
	}
}

// A malformed answer can come from any replica and says nothing about its latency: the replica is not avoided
// for one, and the part is immediately sent to another. A replica that only sends malformed answers loses its
// weight.
func TestMalformedAnswerIsNotLoad(t *testing.T) {
	k := start(t, settings(), readyReplicas(2)...)
	id := k.query(0, 1)
	first := exactlyOne(t, Send, k.actions)
	r := k.balancer.byID[first.Replica]
	before := k.balancer.expectedLatency(r, 0)
	if next := exactlyOne(t, Send, k.result(id+1, 0, first.Replica, Malformed)); next.Replica == first.Replica {
		t.Error("the part went to the same replica")
	}
	if after := k.balancer.expectedLatency(r, 0); after != before {
		t.Errorf("a part there is now expected to take %.0f us, not %.0f", after, before)
	}
	for range 20 {
		k.balancer.adjustWeight(r, 0)
		q := &query{rules: &k.balancer.settings.Classes[0]}
		k.balancer.recordResult(&part{query: q, pending: 1},
			&attempt{replica: r, call: &call{pending: 1}, sent: k.now},
			&Event{Kind: Result, Outcome: Malformed})
	}
	if r.weight > midWeight/4 {
		t.Errorf("weight %.0f after twenty malformed answers in a row", r.weight)
	}
}

// A client that waits less than its class's aim says nothing about the queues: its query is refused only if
// it is unlikely to be served in that time (churn day: 8% refused in 15 s, while 60 to 75% of those
// admitted were served).
func TestShortDeadlineIsNotOverload(t *testing.T) {
	for share, sent := range map[float64]int{0.8: 0, 1.2: 1} {
		k := start(t, settings(), readyReplicas(1)...)
		for range 20 {
			k.balancer.recordLatency(k.balancer.byID[1], 0, float64(100*ms))
		}
		left := Micros(share * k.balancer.expectedLatency(k.balancer.byID[1], 0))
		k.step(Event{Kind: Query, ID: 1, Number: 1, Weight: 1, Deadline: k.now + left},
			Event{Kind: Part, ID: 2, Number: 1, Weight: 1, Deadline: k.now + left})
		if got := len(ofKind(Send, k.actions)); got != sent {
			t.Errorf("deadline at %.1f of the expected latency: %d sent, want %d", share, got, sent)
		}
	}
}

// An overdue part at a silent replica is hedged at the other one even if that has no free slot, provided that
// it would be served in time; a part that is only slow is not (churn day, 51 to 52 s: the parts of a stalled
// node reached the aim with a single attempt each).
func TestOverduePartIsHedgedBeyondTheSlots(t *testing.T) {
	k := start(t, settings(), readyReplicas(2)...)
	k.query(0, 1)
	first := exactlyOne(t, Send, k.actions)
	other := k.balancer.byID[3-first.Replica]
	other.openCalls = maxSlots
	if got := ofKind(Send, k.wait(550*ms)); len(got) != 0 {
		t.Fatalf("a slow part was hedged at a full replica: %+v", got)
	}
	if got := ofKind(Send, k.wait(100*ms)); len(got) != 1 || got[0].Replica != other.ID {
		t.Fatalf("sends of the overdue part: %+v", got)
	}
}

// Rejected parts are sent again: while many are rejected, fewer queries are admitted, and afterwards as
// many as before. Otherwise the retries fill the queues of the replicas that still serve (scenario
// join+mass, seed 789946599629: 12% of the parts rejected, 47% of the queries refused, and fewer served
// than with random choice).
func TestManyRejectionsLowerAdmission(t *testing.T) {
	admitted := func(k *instance) (n int) {
		for range 60 {
			k.query(0, 1)
			n += len(ofKind(Send, k.actions))
		}
		return n
	}
	many := settings()
	many.Peers = 80
	healthy, failing := start(t, many, readyReplicas(4)...), start(t, many, readyReplicas(4)...)
	failing.balancer.rejectedShare = 0.1
	full, cut := admitted(healthy), admitted(failing)
	if cut >= full || cut < full/2 {
		t.Fatalf("%d admitted without rejections, %d with a tenth of the parts rejected", full, cut)
	}
	k := start(t, settings(), readyReplicas(4)...)
	countSends(k, 60, func(ReplicaID) Outcome { return Busy })
	if k.balancer.rejectedShare < 0.05 {
		t.Fatalf("all replicas are full: rejected share %.2f", k.balancer.rejectedShare)
	}
	// A network partition or a lost site is silent: parts sent there use no capacity of the replicas that
	// serve, and say nothing about that capacity (scenario split+mass: score 0.88 when time-outs counted,
	// 0.97 without).
	silent := start(t, settings(), readyReplicas(4)...)
	countSends(silent, 60, func(ReplicaID) Outcome { return TimedOut })
	if silent.balancer.rejectedShare > 0 {
		t.Fatalf("all replicas are silent: rejected share %.2f", silent.balancer.rejectedShare)
	}
	countSends(k, 300, func(ReplicaID) Outcome { return OK })
	if k.balancer.rejectedShare > 0.01 {
		t.Fatalf("all parts are served: rejected share %.2f", k.balancer.rejectedShare)
	}
}

// While peers keep reporting high latencies, an instance refuses all queries. It still admits one query every
// three seconds, and no more, as a trial. Before, 39 and 46 of the fleet's 315 instances sent nothing for 4 s
// in runs without faults.
func TestInstanceRefusingAllStillTriesQueries(t *testing.T) {
	s := settings()
	s.Peers, s.CanTell = 300, true
	k := start(t, s, readyReplicas(2)...)
	var sent []Micros
	refused := 0
	for startTime := k.now; k.now < startTime+20_000*ms; k.now += 100 * ms {
		var m message
		m.add(replicaHash(1), 990_000, 8)
		m.add(replicaHash(2), 990_000, 8)
		k.step(Event{Kind: Message, From: 1, Data: []byte(m.encode())})
		if k.now < startTime+1000*ms {
			continue // until the messages take effect
		}
		id := k.query(0, 1)
		refused += len(ofKind(Refuse, k.actions))
		for _, a := range ofKind(Send, k.actions) {
			sent = append(sent, k.now)
			k.result(id+1, 0, a.Replica, Busy)
			k.step(Event{Kind: ClientGone, ID: id})
		}
	}
	if refused < 150 {
		t.Fatalf("only %d of 190 queries were refused: the reports have no effect", refused)
	}
	if len(sent) < 5 || len(sent) > 7 {
		t.Fatalf("%d queries were admitted over 19 s", len(sent))
	}
	for i := 1; i < len(sent); i++ {
		if gap := sent[i] - sent[i-1]; gap > 4000*ms {
			t.Errorf("nothing was sent for %d ms", gap/ms)
		}
	}
}
