package balance

import "testing"

// ring returns a deployment where each cell has one replica and a shard is held by three cells in a row, and
// where calls cost.
func ring(cells int) (Settings, []Replica) {
	s := settings()
	s.Cells, s.Reach, s.BatchMax, s.CallCost = cells, 3, 16, 60*ms
	var rs []Replica
	for i := range cells {
		rs = append(rs, Replica{ID: ReplicaID(i + 1), Cell: i, State: Ready, Size: 1})
	}
	return s, rs
}

// Parts of neighbouring shards share calls up to the number told: with three holders each, drawn one by one
// they made 1.4 parts a call (matricula, 0.50 untouched).
func TestPartsOfAStepShareCalls(t *testing.T) {
	for most, want := range map[int]float64{16: 2, 1: 1} {
		s, rs := ring(40)
		s.BatchMax = most
		k := start(t, s, rs...)
		parts, calls := 0, 0
		for range 20 {
			id := k.query(0, 30)
			at := map[ReplicaID]int{}
			for _, a := range of(Send, k.out) {
				at[a.Replica]++
				parts++
			}
			for r, n := range at {
				if n > 3*most {
					t.Fatalf("%d parts at replica %d, which holds three of their shards", n, r)
				}
				calls += (n + most - 1) / most
			}
			for i, a := range of(Send, k.out) {
				k.now += ms
				k.result(id+1+uint32(i), 0, a.Replica, OK)
			}
			k.now += 200 * ms
		}
		if got := float64(parts) / float64(calls); got < want {
			t.Errorf("at most %d parts a call: %.2f on average, want %.1f", most, got, want)
		}
	}
}

// A call with many parts takes longer; that is no slowness of its replica.
func TestLargeCallIsNoSlowness(t *testing.T) {
	s, rs := ring(3) // every replica holds every shard
	k := start(t, s, rs...)
	for range 10 {
		id := k.query(0, 6)
		sends := of(Send, k.out)
		at := map[ReplicaID]Micros{}
		for _, a := range sends {
			at[a.Replica]++
		}
		for n := Micros(1); n <= 6; n++ { // 40 ms a part, all of a call together
			k.now += 40 * ms
			for i, a := range sends {
				if at[a.Replica] == n {
					k.result(id+1+uint32(i), 0, a.Replica, OK)
				}
			}
		}
		k.now += 100 * ms
	}
	for _, r := range k.b.replicas {
		if e := k.b.expect(r, 0); e > 60_000 {
			t.Errorf("replica %d is expected to take %.0f ms a part, not 40", r.ID, e/1000)
		}
	}
}

// A class that this instance has not met yet is not taken to be worth most: sparse instances held
// all they saw for worthless and refused it at half the limit (matricula big-1, value 0.01).
func TestClassNotMetYetDoesNotCount(t *testing.T) {
	s := settings()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Worth = 3
	k := start(t, s, ready(3)...)
	k.query(0, 20)
	if v := k.b.value(&query{rules: &k.b.s.Classes[0], class: 0, tenant: -1}); v < 0.99 {
		t.Fatalf("value %v of the only class met", v)
	}
}

// A replica that leaves one class unanswered while it serves the other and its probes pass is avoided for
// that class, keeps the other, and is found again once it answers (duplicados big-1).
func TestOneClassUnansweredIsAvoidedForThatClass(t *testing.T) {
	s := settings()
	s.CanProbe = true
	s.Classes = append(s.Classes, s.Classes[0])
	k := start(t, s, ready(3)...)
	// run plays queries of both classes by turns and returns the share of each that went to replica 1 first.
	run := func(queries int, silent bool) (share [2]float64) {
		for i := range queries {
			class := i % 2
			id := k.query(class, 1)
			todo := append([]Action(nil), k.out...)
			for first, ended := true, false; !ended; first = false {
				todo = append(todo, k.wait(60*ms)...)
				work := todo
				todo = nil
				for _, a := range work {
					switch {
					case a.Kind == Answer || a.Kind == Refuse || a.Kind == Fail:
						ended = true
					case a.Kind == Cancel:
						k.result(a.ID, a.Attempt, 1, Cancelled)
					case a.Kind == Probe:
						k.step(Event{Kind: ProbeResult, Replica: a.Replica, Outcome: OK})
					case a.Kind == Send && a.Replica == 1 && class == 0 && silent: // no answer
						share[0] += 2 / float64(queries)
					case a.Kind == Send:
						if a.Replica == 1 && first {
							share[class] += 2 / float64(queries)
						}
						todo = append(todo, k.result(id+1, len(k.b.tries(id+1))-1, a.Replica, OK)...)
					}
				}
			}
		}
		return share
	}
	run(200, false)
	run(200, true)
	if got := run(400, true); got[0] > 0.1 || got[1] < 2*got[0] || got[1] < 0.1 {
		t.Errorf("%.2f of the unanswered class and %.2f of the other went to the replica", got[0], got[1])
	}
	run(600, false)
	if got := run(300, false); got[0] < 0.15 {
		t.Errorf("%.2f of the class's parts half a minute after it was answered again", got[0])
	}
}

// Where calls cost, a cold replica is charged for them: it gets fewer parts that come one by one.
func TestColdReplicaIsChargedForCalls(t *testing.T) {
	sent := map[Micros]int{}
	for _, cost := range []Micros{0, 60 * ms} {
		for seed := range uint64(40) {
			s := settings()
			s.CallCost, s.BatchMax, s.Peers, s.FallMultiple, s.Ramp = cost, 16, 40, 3, 60_000*ms
			b, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			k := &bench{t: t, b: b, now: 20_000 * ms}
			rs := ready(2)
			k.step(Event{Kind: List, Mode: Full, Replicas: rs})
			serve(k, 100, 150*ms, func(*bench, uint32, Action) Outcome { return OK })
			rs[0].Started, rs[1].State = k.now, Removed
			k.step(Event{Kind: List, Mode: Full, Replicas: rs})
			for range 550 {
				id := k.query(0, 1)
				for _, a := range of(Send, k.out) {
					sent[cost]++
					k.result(id+1, 0, a.Replica, OK)
				}
				k.now += 100 * ms
			}
		}
	}
	if free, dear := sent[0], sent[60*ms]; dear == 0 || float64(dear) > 0.65*float64(free) {
		t.Fatalf("%d parts where calls cost, %d where they don't", dear, free)
	}
}

// Where crossing zones has a price the draw keeps most parts in the instance's own zone, and leaves it as
// soon as the replica there is slow.
func TestOwnZoneIsPreferredWhereCrossingCosts(t *testing.T) {
	for _, c := range []struct {
		cost      float64
		slow      bool
		low, high float64
	}{{0, false, 0.2, 0.5}, {0.02, false, 0.55, 0.9}, {0.02, true, 0, 0.2}} {
		s := settings()
		s.CrossCost, s.Zone = c.cost, 1
		rs := ready(3)
		for i := range rs {
			rs[i].Zone = i
		}
		k := start(t, s, rs...)
		own := 0.0
		for range 300 {
			id := k.query(0, 1)
			a := one(t, Send, k.out)
			if a.Replica == 2 {
				own += 1.0 / 300
			}
			if k.now += 60 * ms; c.slow && a.Replica == 2 {
				k.now += 140 * ms
			}
			k.result(id+1, 0, a.Replica, OK)
		}
		if own < c.low || own > c.high {
			t.Errorf("price %v, slow %v: %.2f of the parts stay in the zone", c.cost, c.slow, own)
		}
	}
}
