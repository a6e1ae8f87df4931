package balance

import "testing"

// ringDeployment returns a deployment with one replica per cell, every shard held by three consecutive
// cells, and a cost per call.
func ringDeployment(cells int) (Settings, []Replica) {
	s := settings()
	s.Cells, s.Reach, s.BatchMax, s.CallCost = cells, 3, 16, 60*ms
	var rs []Replica
	for i := range cells {
		rs = append(rs, Replica{ID: ReplicaID(i + 1), Cell: i, State: Ready, Size: 1})
	}
	return s, rs
}

// Parts of neighbouring shards share calls up to BatchMax. When the replicas of parts with three holders each
// were drawn independently, calls had only 1.4 parts on average (scenario matricula, 0.50 untouched).
func TestPartsOfAStepShareCalls(t *testing.T) {
	for most, want := range map[int]float64{16: 2, 1: 1} {
		s, rs := ringDeployment(40)
		s.BatchMax = most
		k := start(t, s, rs...)
		parts, calls := 0, 0
		for range 20 {
			id := k.query(0, 30)
			at := map[ReplicaID]int{}
			for _, a := range ofKind(Send, k.actions) {
				at[a.Replica]++
				parts++
			}
			for r, n := range at {
				if n > 3*most {
					t.Fatalf("%d parts sent to replica %d, which holds three of their shards", n, r)
				}
				calls += (n + most - 1) / most
			}
			for i, a := range ofKind(Send, k.actions) {
				k.now += ms
				k.result(id+1+uint32(i), 0, a.Replica, OK)
			}
			k.now += 200 * ms
		}
		if got := float64(parts) / float64(calls); got < want {
			t.Errorf("with at most %d parts per call: %.2f on average, want at least %.1f", most, got, want)
		}
	}
}

// A call with many parts takes longer; its replica must not be considered slow for that.
func TestLargeCallIsNoSlowness(t *testing.T) {
	s, rs := ringDeployment(3) // every replica holds every shard
	k := start(t, s, rs...)
	for range 10 {
		id := k.query(0, 6)
		sends := ofKind(Send, k.actions)
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
	for _, r := range k.balancer.replicas {
		if e := k.balancer.expectedLatency(r, 0); e > 60_000 {
			t.Errorf("replica %d: expected latency %.0f ms per part, want about 40", r.ID, e/1000)
		}
	}
}

// A class without any query so far must not count as the class of the highest worth per work: instances with
// little traffic valued all their queries at almost nothing and refused them at half the limit (scenario
// matricula big-1, value 0.01).
func TestClassNotMetYetDoesNotCount(t *testing.T) {
	s := settings()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Worth = 3
	k := start(t, s, readyReplicas(3)...)
	k.query(0, 20)
	if v := k.balancer.relativeWorth(
		&query{rules: &k.balancer.settings.Classes[0], class: 0, tenant: -1}); v < 0.99 {
		t.Fatalf("relative worth %v of the only class with queries", v)
	}
}

// A replica that leaves one class unanswered while it serves the other and passes probes is avoided for that
// class, still used for the other, and used for both once it answers again (scenario duplicados big-1).
func TestOneClassUnansweredIsAvoidedForThatClass(t *testing.T) {
	s := settings()
	s.CanProbe = true
	s.Classes = append(s.Classes, s.Classes[0])
	k := start(t, s, readyReplicas(3)...)
	// run alternates queries of both classes and returns the share of each that went to replica 1 first.
	run := func(queries int, silent bool) (share [2]float64) {
		for i := range queries {
			class := i % 2
			id := k.query(class, 1)
			todo := append([]Action(nil), k.actions...)
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
						todo = append(todo, k.result(id+1, len(k.balancer.attempts(id+1))-1, a.Replica, OK)...)
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
		t.Errorf("%.2f of the parts went to the replica half a minute after it answered again", got[0])
	}
}

// If calls have a cost, it counts against the budget of a cold replica: it gets fewer parts when each comes
// in a call of its own.
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
			k := &instance{t: t, balancer: b, now: 20_000 * ms}
			rs := readyReplicas(2)
			k.step(Event{Kind: List, Mode: Full, Replicas: rs})
			serveQueries(k, 100, 150*ms, func(*instance, uint32, Action) Outcome { return OK })
			rs[0].Started, rs[1].State = k.now, Removed
			k.step(Event{Kind: List, Mode: Full, Replicas: rs})
			for range 550 {
				id := k.query(0, 1)
				for _, a := range ofKind(Send, k.actions) {
					sent[cost]++
					k.result(id+1, 0, a.Replica, OK)
				}
				k.now += 100 * ms
			}
		}
	}
	if withoutCost, withCost := sent[0], sent[60*ms]; withCost == 0 ||
		float64(withCost) > 0.65*float64(withoutCost) {
		t.Fatalf("%d parts with a cost per call, %d without", withCost, withoutCost)
	}
}

// If crossing zones has a cost, most parts stay in the instance's own zone, unless the replica there is slow.
func TestOwnZoneIsPreferredWhereCrossingCosts(t *testing.T) {
	for _, c := range []struct {
		cost      float64
		slow      bool
		low, high float64
	}{{0, false, 0.2, 0.5}, {0.02, false, 0.55, 0.9}, {0.02, true, 0, 0.2}} {
		s := settings()
		s.CrossCost, s.Zone = c.cost, 1
		rs := readyReplicas(3)
		for i := range rs {
			rs[i].Zone = i
		}
		k := start(t, s, rs...)
		own := 0.0
		for range 300 {
			id := k.query(0, 1)
			a := exactlyOne(t, Send, k.actions)
			if a.Replica == 2 {
				own += 1.0 / 300
			}
			if k.now += 60 * ms; c.slow && a.Replica == 2 {
				k.now += 140 * ms
			}
			k.result(id+1, 0, a.Replica, OK)
		}
		if own < c.low || own > c.high {
			t.Errorf("cost %v, slow %v: %.2f of the parts stay in the zone", c.cost, c.slow, own)
		}
	}
}
