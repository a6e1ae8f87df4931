package balance

import (
	"strings"
	"testing"
)

// Regression tests for large fleets, each with the failure that it guards against.

// serveQueries submits n queries of one part, ends each attempt with the outcome that reply returns, and
// returns all actions.
func serveQueries(k *instance, n int, gap Micros,
	reply func(k *instance, id uint32, a Action) Outcome) []Action {
	var all []Action
	for range n {
		id := k.query(0, 1)
		todo := append([]Action(nil), k.actions...)
		all = append(all, todo...)
		k.now += 50 * ms
		for try := 0; try < 3; {
			sends := ofKind(Send, todo)
			if len(sends) == 0 {
				break
			}
			todo = append([]Action(nil), k.result(id+1, try, sends[0].Replica, reply(k, id, sends[0]))...)
			all = append(all, todo...)
			try++
		}
		k.now += gap
	}
	return all
}

// A reset on a connection that has been idle for long is the connection's fault: the replica is not blamed,
// and idle connections are closed before the next send (incident i7aeccf, days with dropped connections).
func TestStaleConnectionIsNotTheReplicasFault(t *testing.T) {
	k := start(t, settings(), readyReplicas(1)...)
	resets := 0
	opened := false // a Close was requested, so that the next send opens a new connection
	all := serveQueries(k, 60, 2000*ms, func(k *instance, id uint32, a Action) Outcome {
		opened = opened || len(ofKind(Close, k.actions)) > 0
		p := k.balancer.parts[a.ID]
		if t := p.attempts[len(p.attempts)-1]; t.onIdleConn {
			resets++
			return Reset
		}
		return OK
	})
	if resets == 0 || resets > 15 {
		t.Fatalf("%d resets in 60 queries, want a few until the cause is detected", resets)
	}
	if n := len(ofKind(Close, all)); n < 40 {
		t.Fatalf("%d idle connections closed before a send, want most of 60", n)
	}
	if e := k.balancer.expectedLatency(k.balancer.byID[1], 0); e > 0.3*k.balancer.minAim {
		t.Fatalf("the replica is blamed: %v us expected", e)
	}
}

// If connections in use lose as many attempts, the replica is at fault and no connection is closed.
func TestLossesOnBusyConnectionsAreTheReplicas(t *testing.T) {
	k := start(t, settings(), readyReplicas(1)...)
	n := 0
	all := serveQueries(k, 200, 20*ms, func(*instance, uint32, Action) Outcome {
		if n++; n%3 == 0 {
			return Reset
		}
		return OK
	})
	if c := len(ofKind(Close, all)); c > 0 {
		t.Fatalf("%d connections closed", c)
	}
	if e := k.balancer.expectedLatency(k.balancer.byID[1], 0); e < 0.1*k.balancer.minAim {
		t.Fatalf("the replica is not blamed: %v us expected", e)
	}
}

// Successful probes do not outweigh parts that went unanswered: load reports and shallow probes can be wrong.
func TestPassedProbeDoesNotWinOverOwnOutcomes(t *testing.T) {
	s := settings()
	s.CanProbe = true
	k := start(t, s, readyReplicas(2)...)
	slow := k.balancer.byID[1]
	for range 4 {
		k.balancer.recordLatency(slow, 0, 900_000)
	}
	slow.unanswered = true
	before := k.balancer.expectedLatency(slow, 0)
	for range 50 {
		k.step(Event{Kind: ProbeResult, Replica: 1, Outcome: OK, Report: []float32{0, 0}})
	}
	if after := k.balancer.expectedLatency(slow, 0); after < 0.9*before {
		t.Fatalf("50 reports of idleness took the expected time from %v to %v", before, after)
	}
}

// Probes are sent only while parts go unanswered, because they cost the replicas work.
func TestProbesOnlyWhilePartsGoUnanswered(t *testing.T) {
	s := settings()
	s.CanProbe = true
	k := start(t, s, readyReplicas(6)...)
	ok := func(*instance, uint32, Action) Outcome { return OK }
	if n := len(ofKind(Probe, serveQueries(k, 50, 100*ms, ok))); n > 0 {
		t.Fatalf("%d probes without any loss", n)
	}
	k.balancer.lossShare = 0.3
	k.now += 30_000 * ms // earlier samples have decayed
	if n := len(ofKind(Probe, serveQueries(k, 3, 100*ms, ok))); n == 0 {
		t.Fatal("no probe although 30% of the parts went unanswered")
	}
}

// The samples of one instance reach another through messages and change its expected latencies.
func TestMessagesReportASlowReplica(t *testing.T) {
	s := settings()
	s.Peers, s.CanTell = 2, true
	a := start(t, s, readyReplicas(2)...)
	s.Number = 1
	b := start(t, s, readyReplicas(2)...)
	for range 8 {
		a.balancer.recordLatency(a.balancer.byID[1], 0, 900_000)
		a.balancer.recordLatency(a.balancer.byID[2], 0, 50_000)
	}
	messages := 0
	for range 10 {
		a.now += gossipInterval
		for _, m := range ofKind(Tell, a.step(Event{Kind: WakeUp})) {
			if m.To != 1 || len(m.Text) > 256 {
				t.Fatalf("message of %d bytes to peer %d", len(m.Text), m.To)
			}
			b.now = a.now
			b.step(Event{Kind: Message, From: 0, Data: []byte(m.Text)})
			messages++
		}
	}
	if slow, quick := b.balancer.expectedLatency(b.balancer.byID[1], 0),
		b.balancer.expectedLatency(b.balancer.byID[2], 0); messages == 0 || slow < 2*quick {
		t.Fatalf("after %d messages %v us expected of the slow replica, %v of the other", messages, slow, quick)
	}
}

// In a large fleet each instance uses a replica rarely: its own old samples of an overload must not keep it
// away once its peers are served without delay again. In a small fleet own samples suffice.
func TestManyPeersOutweighOldEvidence(t *testing.T) {
	expected := func(peers int) float64 {
		s := settings()
		s.Peers, s.CanTell = peers, true
		k := start(t, s, readyReplicas(2)...)
		for range 3 {
			k.balancer.recordLatency(k.balancer.byID[1], 0, 800_000)
		}
		for range 8 { // two seconds of peers' messages
			k.wait(gossipInterval)
			var m message
			m.add(replicaHash(1), 20_000, 0.5)
			k.step(Event{Kind: Message, From: 1, Data: []byte(m.encode())})
		}
		return k.balancer.expectedLatency(k.balancer.byID[1], 0)
	}
	if few, many := expected(3), expected(80); few < 3*many {
		t.Fatalf("%.0f us expected with 3 instances, %.0f with 80", few, many)
	}
}

// With so many replicas that messages arrive no faster than samples decay, messages have little weight: with
// 200 replicas and 300 instances a run without faults lost half its score because all instances acted on
// outdated samples.
func TestSlowGossipCountsForFewInstances(t *testing.T) {
	for n, want := range map[int]float64{2: 20, 60: 20, 400: 1} {
		s := settings()
		s.Peers = 80
		if k := start(t, s, readyReplicas(n)...); k.balancer.gossipScale != want {
			t.Errorf("%d replicas: gossip scale %v", n, k.balancer.gossipScale)
		}
	}
	s := settings()
	s.Peers = 4
	if k := start(t, s, readyReplicas(16)...); k.balancer.gossipScale != 1 ||
		k.balancer.evidenceHalfLife != latencyHalfLife {
		t.Errorf("4 peers: gossip scale %v, half-life %v us", k.balancer.gossipScale, k.balancer.evidenceHalfLife)
	}
}

// A queue that is full for half a second rejects parts of every instance. That is one event seen by many
// instances, not many events: it must not outweigh the parts served afterwards for seconds.
func TestFullQueueCountsOnceForAllPeers(t *testing.T) {
	shared := func(peers int) float64 {
		s := settings()
		s.Peers, s.CanTell = peers, true
		k := start(t, s, readyReplicas(2)...)
		id := k.query(0, 1)
		send := exactlyOne(t, Send, k.actions)
		k.result(id+1, 0, send.Replica, Busy)
		return k.balancer.byID[send.Replica].peerLatency.n
	}
	if few, many := shared(4), shared(80); few != 1 || many > 0.06 {
		t.Fatalf("a rejection has weight %v with 4 peers, %v with 80", few, many)
	}
}

// A cold replica gets more as it warms up, and never more than the configured linear climb allows: its share
// of what a warm one serves, times FallMultiple.
func TestColdShareClimbs(t *testing.T) {
	s := settings()
	s.Ramp, s.Reach = 10_000*ms, 1
	rs := readyReplicas(1)
	rs[0].Started = 20_000 * ms
	k := start(t, s, rs...)
	const rate = 20.0 / 1e6 // parts per us for its size
	var parts [10]float64
	for i := range parts {
		for end := k.now + 1000*ms; k.now < end; k.now += 10 * ms {
			k.balancer.now, k.balancer.warmRate = k.now, rate/rs[0].Size
			for k.balancer.coldBudgetAllows(k.balancer.byID[1]) {
				k.balancer.byID[1].tokens--
				parts[i]++
			}
		}
	}
	for i, n := range parts[1:] {
		share := 0.25 + 0.75*float64(i+2)/10 // at the end of that second
		if most := share * s.FallMultiple * rate * 1e6; n > most+1 || n < 0.8*most-2 {
			t.Errorf("second %d: %v parts, want about and at most %.0f: %v", i+1, n, most, parts)
		}
	}
}

// Without any measurement the total that all instances send to a cold replica hardly depends on their number.
func TestColdFloorIsSharedByPeers(t *testing.T) {
	sent := func(peers int) (n int) {
		for seed := range uint64(peers) {
			s := settings()
			s.Peers = peers
			b, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			k := &instance{t: t, balancer: b, now: 20_000 * ms}
			rs := readyReplicas(1)
			rs[0].Started = k.now
			k.step(Event{Kind: List, Mode: Full, Replicas: rs})
			for range 100 {
				id := k.query(0, 1)
				for _, a := range ofKind(Send, k.actions) {
					k.result(id+1, a.Attempt, a.Replica, OK)
					n++
				}
				k.now += 100 * ms
			}
		}
		return n
	}
	if few, many := sent(2), sent(40); few == 0 || many > 2*few+4 {
		t.Fatalf("2 instances send a cold replica %d parts in total, 40 instances %d", few, many)
	}
}

// A tenant whose clients retry without limit is detected as over its quota and does not starve the others, at
// low and at high traffic.
func TestFloodingTenantIsDetected(t *testing.T) {
	for _, scale := range []int{1, 10} {
		s := settings()
		s.Peers, s.OverShareWorth = 30, 0.1
		s.Tenants = []Tenant{{Quota: 30}, {Quota: 30}}
		k := start(t, s, readyReplicas(4)...)
		for i := range 100 * scale {
			tenant := 0
			if i%10 == 0 {
				tenant = 1
			}
			id := 9000 + uint32(i)
			k.step(Event{Kind: Query, ID: id, Number: float32(id), Tenant: tenant, Deadline: k.now})
			k.now += 40 * ms / Micros(scale)
		}
		if !k.balancer.overQuota(0) || k.balancer.overQuota(1) {
			t.Errorf("at %d queries per second: flooding tenant over its quota: %v, the other: %v", 25*scale,
				k.balancer.overQuota(0), k.balancer.overQuota(1))
		}
	}
}

// Hedged attempts of overdue parts are limited even if the settings give no retry budget: under overload
// every part is overdue (scenario grown reduit).
func TestOverdueHedgesAreCapped(t *testing.T) {
	k := start(t, settings(), readyReplicas(40)...)
	first, copies, parts := 0, 0, 0
	for range 40 {
		k.query(0, 4)
		parts += 4
		first += len(ofKind(Send, k.actions))
		copies += len(ofKind(Send, k.wait(100*ms)))
	}
	copies += len(ofKind(Send, k.wait(900*ms)))
	if copies == 0 || first < 20 ||
		float64(copies) > (hedgeShare+overdueHedgeShare)*float64(5*parts/4)+spareHedges {
		t.Fatalf("%d hedged attempts for %d parts sent, none answered, %d arrived", copies, first, parts)
	}
}

// Few lines are logged: one when a replica is avoided, one when it is used again, and two about overload.
func TestReportLinesAreFew(t *testing.T) {
	k := start(t, settings(), readyReplicas(3)...)
	bad := true
	reply := func(k *instance, id uint32, a Action) Outcome {
		if a.Replica == 1 && bad {
			return Reset
		}
		return OK
	}
	all := serveQueries(k, 300, 10*ms, reply)
	bad = false
	all = append(all, serveQueries(k, 600, 10*ms, reply)...)
	lines := ofKind(Note, all)
	if len(lines) < 2 || len(lines) > 12 {
		t.Fatalf("%d lines in a minute: %v", len(lines), lines)
	}
	if !strings.Contains(lines[0].Text, "000000000001 avoided: true") {
		t.Fatalf("first line %q", lines[0].Text)
	}
}

// BenchmarkStep measures Steps in a large fleet: 170 replicas, a query of 100 parts, and the outcome of each.
func BenchmarkStep(b *testing.B) {
	s := settings()
	s.Peers, s.CanTell, s.CanProbe, s.Cells, s.Reach = 48, true, true, 170, 3
	m, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	rs := readyReplicas(170)
	for i := range rs {
		rs[i].Cell = i
	}
	now := 20_000 * ms
	out := m.Step(now, []Event{{Kind: List, Mode: Full, Replicas: rs}}, nil)
	id := uint32(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * ms
		id++
		events := []Event{{Kind: Query, ID: id, Number: float32(id % 1000), Weight: 100, Deadline: now + 3000*ms}}
		for i := range 100 {
			events = append(events, Event{Kind: Part, ID: id + 1 + uint32(i), Number: float32(id % 1000),
				Shard: i * 7 % 170, Weight: 0.01, Deadline: now + 3000*ms})
		}
		id += 100
		out = m.Step(now, events, out[:0])
		var results []Event
		for _, a := range out {
			if a.Kind == Send {
				results = append(results, Event{Kind: Result, ID: a.ID, Replica: a.Replica, Outcome: OK, Closed: true})
			}
		}
		now += 50 * ms
		out = m.Step(now, results, out[:0])
	}
}

// The samples of a replica are discarded when it restarts (incident icdcc6d).
func TestRestartWipesTheRecord(t *testing.T) {
	k := start(t, settings(), readyReplicas(3)...)
	countSends(k, 60, func(r ReplicaID) Outcome {
		if r == 1 {
			return NoConnection
		}
		return OK
	})
	rs := readyReplicas(3)
	rs[0].Started = k.now
	before := k.balancer.expectedLatency(k.balancer.byID[1], 0)
	k.step(Event{Kind: List, Mode: Full, Replicas: rs})
	if after := k.balancer.expectedLatency(k.balancer.byID[1], 0); after > before/2 {
		t.Fatalf("%v us expected before the restart, %v after", before, after)
	}
}

// coldSends returns how many parts a number of instances send to a replica within a time after its restart,
// if each of them has one part for it every gap.
func coldSends(t *testing.T, instances int, gap, while Micros) (sent int) {
	for seed := range uint64(instances) {
		s := settings()
		s.Peers, s.FallMultiple = instances, 3
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		k := &instance{t: t, balancer: b, now: 20_000 * ms}
		rs := readyReplicas(2)
		k.step(Event{Kind: List, Mode: Full, Replicas: rs})
		serveQueries(k, 40, 950*ms, func(*instance, uint32, Action) Outcome { return OK })
		rs[0].Started, rs[1].State = k.now, Removed // nothing else holds the shard
		k.step(Event{Kind: List, Mode: Full, Replicas: rs})
		for end := k.now + while; k.now < end; k.now += gap {
			k.query(0, 1)
			sent += len(ofKind(Send, k.actions))
		}
	}
	return sent
}

// Many instances with little traffic that learn of a restart at the same time must not all send a first part
// immediately: 79 instances that each send a warm replica half a part per second may together send a cold one
// 3 x 0.25 of that, in the first second and later (scenario fail-back reached 86% of its limit).
func TestManyInstancesDoNotOverloadAColdReplica(t *testing.T) {
	for _, while := range []Micros{1000 * ms, 4000 * ms} {
		limit := 0.75 * 79 * 0.5 * float64(while) / 1e6
		if n := coldSends(t, 79, 250*ms, while); n == 0 || float64(n) > limit {
			t.Errorf("%d parts within %d ms of the restart, want some and at most %.0f", n, while/ms, limit)
		}
	}
}

// A replica that refused connections and then serves has restarted, whatever the list says; one that was slow
// to connect has not.
func TestUnlistedRestartIsAStart(t *testing.T) {
	for took, cold := range map[Micros]bool{2 * ms: true, 250 * ms: false} {
		s := settings()
		s.DialTimeout = 250 * ms
		k := start(t, s, readyReplicas(1)...)
		r := k.balancer.byID[1]
		id := k.query(0, 1)
		k.now += took
		k.result(id+1, 0, 1, NoConnection)
		k.now += 20_000 * ms
		for id = k.query(0, 1); len(ofKind(Send, k.actions)) == 0; id = k.query(0, 1) {
			k.now += 500 * ms
		}
		k.now += 50 * ms
		k.result(id+1, 0, 1, OK)
		if k.balancer.isCold(r) != cold {
			t.Errorf("connection failed after %d ms: cold %v, want %v", took/ms, k.balancer.isCold(r), cold)
		}
		late := Replica{ID: 1, State: Ready, Size: 2, Started: k.now - 900*ms}
		k.step(Event{Kind: List, Mode: Delta, Replicas: []Replica{late}})
		if begun := r.startedAt; cold && begun != k.now {
			t.Errorf("a listed start earlier than the observed one moved it from %d to %d", k.now, begun)
		}
	}
}

// A slow successful probe indicates queueing or a slow path; a fast one does not.
func TestSlowProbeCounts(t *testing.T) {
	expected := map[Micros]float64{}
	for _, took := range []Micros{ms, 240 * ms} {
		s := settings()
		s.CanProbe = true
		k := start(t, s, readyReplicas(2)...)
		for range 5 {
			k.step(Event{Kind: ProbeResult, Replica: 1, Outcome: OK, Elapsed: took})
		}
		expected[took] = k.balancer.expectedLatency(k.balancer.byID[1], 0)
	}
	if quick, slow := expected[ms], expected[240*ms]; slow < 1.5*quick {
		t.Fatalf("%.0f us expected after slow probes, %.0f after quick ones", slow, quick)
	}
}

// An instance without messages from peers, with one query of nine parts per second, stops using a failed site
// within seconds and uses it again within half a minute of its recovery, whether connections are refused or
// parts get no answer.
func TestLostSiteIsAvoidedAndUsedAgain(t *testing.T) {
	for _, o := range []Outcome{NoConnection, TimedOut} {
		s := settings()
		s.Cells, s.CanProbe, s.Peers, s.MaxAttempts = 9, true, 60, 4
		var rs []Replica
		for i := range 27 {
			rs = append(rs, Replica{ID: ReplicaID(i + 1), Cell: i % 9, Zone: i / 9, State: Ready, Size: 1})
		}
		k := start(t, s, rs...)
		lost := false
		run := func(queries int) (first, there float64) {
			for range queries {
				id := k.query(0, 9)
				todo := append([]Action(nil), k.actions...)
				for tries, begun := map[uint32]int{}, k.now; k.now < begun+1000*ms; {
					next := k.wait(50 * ms) // parts already sent are answered after this time
					for _, a := range todo {
						if a.Kind == Probe && lost && a.Replica <= 9 {
							next = append(next, k.step(Event{Kind: ProbeResult, Replica: a.Replica, Outcome: o})...)
						} else if a.Kind == Probe {
							next = append(next, k.step(Event{Kind: ProbeResult, Replica: a.Replica, Outcome: OK})...)
						}
						if a.Kind != Send || a.ID < id {
							continue
						}
						try := tries[a.ID]
						tries[a.ID]++
						if first += 1; a.Replica <= 9 {
							there++
						}
						if !lost || a.Replica > 9 {
							next = append(next, k.result(a.ID, try, a.Replica, OK)...)
						} else if o == NoConnection {
							next = append(next, k.result(a.ID, try, a.Replica, o)...)
						}
					}
					todo = next
				}
			}
			return first, there
		}
		run(20)
		lost = true
		run(8)
		if all, there := run(10); there > 0.15*all {
			t.Errorf("outcome %d: %v of %v parts still go to the failed site", o, there, all)
		}
		lost = false
		run(30)
		if all, there := run(20); there < 0.15*all {
			t.Errorf("outcome %d: %v of %v parts go to the site after its recovery", o, there, all)
		}
	}
}
