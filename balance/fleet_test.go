package balance

import (
	"strings"
	"testing"
)

// Guards that large fleets needed, each with the failure that it answers.

// serve hands in queries of one part and answers each attempt as reply says; it returns the actions.
func serve(k *bench, n int, gap Micros, reply func(k *bench, id uint32, a Action) Outcome) []Action {
	var all []Action
	for range n {
		id := k.query(0, 1)
		todo := append([]Action(nil), k.out...)
		all = append(all, todo...)
		k.now += 50 * ms
		for try := 0; try < 3; {
			sends := of(Send, todo)
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

// A reset on a connection long idle is the connection's fault (i7aeccf, days with dropped connections): the
// replica is not blamed, and an idle connection is closed before the next send.
func TestStaleConnectionIsNotTheReplicasFault(t *testing.T) {
	k := start(t, settings(), ready(1)...)
	resets := 0
	opened := false // a connection that was closed by us is opened anew for the next send
	all := serve(k, 60, 2000*ms, func(k *bench, id uint32, a Action) Outcome {
		opened = opened || len(of(Close, k.out)) > 0
		p := k.b.parts[a.ID]
		if t := p.tries[len(p.tries)-1]; t.stale {
			resets++
			return Reset
		}
		return OK
	})
	if resets == 0 || resets > 15 {
		t.Fatalf("%d resets in 60 queries, want a few until the cause is found", resets)
	}
	if n := len(of(Close, all)); n < 40 {
		t.Fatalf("%d idle connections closed before a send, want most of 60", n)
	}
	if e := k.b.expect(k.b.byID[1], 0); e > 0.3*k.b.minAim {
		t.Fatalf("the replica is blamed: %v us expected", e)
	}
}

// Where busy connections lose as many, the replica is at fault and no connection is closed.
func TestLossesOnBusyConnectionsAreTheReplicas(t *testing.T) {
	k := start(t, settings(), ready(1)...)
	n := 0
	all := serve(k, 200, 20*ms, func(*bench, uint32, Action) Outcome {
		if n++; n%3 == 0 {
			return Reset
		}
		return OK
	})
	if c := len(of(Close, all)); c > 0 {
		t.Fatalf("%d connections closed", c)
	}
	if e := k.b.expect(k.b.byID[1], 0); e < 0.1*k.b.minAim {
		t.Fatalf("the replica is not blamed: %v us expected", e)
	}
}

// A probe that passes does not win over parts that went unanswered: load reports and shallow probes may lie.
func TestPassedProbeDoesNotWinOverOwnOutcomes(t *testing.T) {
	s := settings()
	s.CanProbe = true
	k := start(t, s, ready(2)...)
	slow := k.b.byID[1]
	for range 4 {
		k.b.saw(slow, 0, 900_000)
	}
	slow.lost = true
	before := k.b.expect(slow, 0)
	for range 50 {
		k.step(Event{Kind: ProbeResult, Replica: 1, Outcome: OK, Report: []float32{0, 0}})
	}
	if after := k.b.expect(slow, 0); after < 0.9*before {
		t.Fatalf("50 reports of idleness took the expected time from %v to %v", before, after)
	}
}

// Probes start with losses and end with them: they cost the replicas work.
func TestProbesOnlyWhilePartsGoUnanswered(t *testing.T) {
	s := settings()
	s.CanProbe = true
	k := start(t, s, ready(6)...)
	ok := func(*bench, uint32, Action) Outcome { return OK }
	if n := len(of(Probe, serve(k, 50, 100*ms, ok))); n > 0 {
		t.Fatalf("%d probes without any loss", n)
	}
	k.b.lossShare = 0.3
	k.now += 30_000 * ms // what was seen before is forgotten
	if n := len(of(Probe, serve(k, 3, 100*ms, ok))); n == 0 {
		t.Fatal("no probe though three in ten parts went unanswered")
	}
}

// What one instance saw reaches another through messages, and the draw there heeds it.
func TestMessagesTellOfASlowReplica(t *testing.T) {
	s := settings()
	s.Peers, s.CanTell = 2, true
	a := start(t, s, ready(2)...)
	s.Number = 1
	b := start(t, s, ready(2)...)
	for range 8 {
		a.b.saw(a.b.byID[1], 0, 900_000)
		a.b.saw(a.b.byID[2], 0, 50_000)
	}
	heard := 0
	for range 10 {
		a.now += tellGap
		for _, m := range of(Tell, a.step(Event{Kind: WakeUp})) {
			if m.To != 1 || len(m.Text) > 256 {
				t.Fatalf("message of %d bytes to peer %d", len(m.Text), m.To)
			}
			b.now = a.now
			b.step(Event{Kind: Message, From: 0, Data: []byte(m.Text)})
			heard++
		}
	}
	if slow, quick := b.b.expect(b.b.byID[1], 0), b.b.expect(b.b.byID[2], 0); heard == 0 || slow < 2*quick {
		t.Fatalf("after %d messages %v us expected of the slow replica, %v of the other", heard, slow, quick)
	}
}

// An instance of many meets a replica seldom: what it has seen itself of a jam must not keep it away once its
// peers are served at once again. Of a few instances each has evidence enough of its own.
func TestManyPeersOutweighOldEvidence(t *testing.T) {
	expected := func(peers int) float64 {
		s := settings()
		s.Peers, s.CanTell = peers, true
		k := start(t, s, ready(2)...)
		for range 3 {
			k.b.saw(k.b.byID[1], 0, 800_000)
		}
		for range 8 { // two seconds of peers' messages
			k.wait(tellGap)
			var m message
			m.add(hash(1), 20_000, 0.5)
			k.step(Event{Kind: Message, From: 1, Data: []byte(m.text())})
		}
		return k.b.expect(k.b.byID[1], 0)
	}
	if few, many := expected(3), expected(80); few < 3*many {
		t.Fatalf("%.0f us expected among 3 instances, %.0f among 80", few, many)
	}
}

// Where there are so many replicas that messages come no faster than evidence is forgotten, they stand for
// little: with 200 replicas a calm day of 300 instances lost half its score to what all of them held for true
// too late.
func TestWordThatComesLateCountsAsOfFew(t *testing.T) {
	for n, want := range map[int]float64{2: 20, 60: 20, 400: 1} {
		s := settings()
		s.Peers = 80
		if k := start(t, s, ready(n)...); k.b.heed != want {
			t.Errorf("%d replicas: counts %v times", n, k.b.heed)
		}
	}
	s := settings()
	s.Peers = 4
	if k := start(t, s, ready(16)...); k.b.heed != 1 || k.b.life != speedLife {
		t.Errorf("4 peers: counts %v times, ages in %v", k.b.heed, k.b.life)
	}
}

// A queue that is full for half a second turns parts of every instance away. That is one thing seen by many,
// not many things: it must not stand for seconds against all that is served afterwards.
func TestFullQueueCountsOnceForAllPeers(t *testing.T) {
	shared := func(peers int) float64 {
		s := settings()
		s.Peers, s.CanTell = peers, true
		k := start(t, s, ready(2)...)
		id := k.query(0, 1)
		send := one(t, Send, k.out)
		k.result(id+1, 0, send.Replica, Busy)
		return k.b.byID[send.Replica].pool.n
	}
	if few, many := shared(4), shared(80); few != 1 || many > 0.06 {
		t.Fatalf("a refusal counts %v for 4 peers, %v for 80", few, many)
	}
}

// A cold replica gets more as it warms, and never more than the told least climb gives it: its share of what
// a warm one carries, times the multiple that it bears.
func TestColdShareClimbs(t *testing.T) {
	s := settings()
	s.Ramp, s.Reach = 10_000*ms, 1
	rs := ready(1)
	rs[0].Started = 20_000 * ms
	k := start(t, s, rs...)
	const carried = 20.0 / 1e6 // parts a us for its size
	var parts [10]float64
	for i := range parts {
		for end := k.now + 1000*ms; k.now < end; k.now += 10 * ms {
			k.b.now, k.b.carried = k.now, carried/rs[0].Size
			for k.b.admits(k.b.byID[1]) {
				k.b.byID[1].tokens--
				parts[i]++
			}
		}
	}
	for i, n := range parts[1:] {
		share := 0.25 + 0.75*float64(i+2)/10 // at the end of that second
		if most := share * s.FallMultiple * carried * 1e6; n > most+1 || n < 0.8*most-2 {
			t.Errorf("second %d: %v parts, want about %.0f and no more: %v", i+1, n, most, parts)
		}
	}
}

// Where nothing is known yet, all instances together send a cold replica about as much however many they are.
func TestColdFloorIsSharedByPeers(t *testing.T) {
	sent := func(peers int) (n int) {
		for seed := range uint64(peers) {
			s := settings()
			s.Peers = peers
			b, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			k := &bench{t: t, b: b, now: 20_000 * ms}
			rs := ready(1)
			rs[0].Started = k.now
			k.step(Event{Kind: List, Mode: Full, Replicas: rs})
			for range 100 {
				id := k.query(0, 1)
				for _, a := range of(Send, k.out) {
					k.result(id+1, a.Attempt, a.Replica, OK)
					n++
				}
				k.now += 100 * ms
			}
		}
		return n
	}
	if few, many := sent(2), sent(40); few == 0 || many > 2*few+4 {
		t.Fatalf("2 instances send a cold replica %d parts together, 40 send %d", few, many)
	}
}

// A tenant whose clients repeat without end does not starve the others, at a quiet instance and at a hot one.
func TestFloodingTenantIsToldApart(t *testing.T) {
	for _, scale := range []int{1, 10} {
		s := settings()
		s.Peers, s.OverShareWorth = 30, 0.1
		s.Tenants = []Tenant{{Quota: 30}, {Quota: 30}}
		k := start(t, s, ready(4)...)
		for i := range 100 * scale {
			tenant := 0
			if i%10 == 0 {
				tenant = 1
			}
			id := 9000 + uint32(i)
			k.step(Event{Kind: Query, ID: id, Number: float32(id), Tenant: tenant, Deadline: k.now})
			k.now += 40 * ms / Micros(scale)
		}
		if !k.b.overShare(0) || k.b.overShare(1) {
			t.Errorf("at %d queries a second: flooding tenant over its share: %v, the other: %v", 25*scale,
				k.b.overShare(0), k.b.overShare(1))
		}
	}
}

// Copies of overdue parts are capped where no budget is told: in overload all is overdue (grown reduit).
func TestLateCopiesAreCapped(t *testing.T) {
	k := start(t, settings(), ready(40)...)
	first, copies, parts := 0, 0, 0
	for range 40 {
		k.query(0, 4)
		parts += 4
		first += len(of(Send, k.out))
		copies += len(of(Send, k.wait(100*ms)))
	}
	copies += len(of(Send, k.wait(900*ms)))
	if copies == 0 || first < 20 || float64(copies) > (copyShare+lateCopyShare)*float64(5*parts/4)+copySpare {
		t.Fatalf("%d copies of %d parts sent that all go unanswered, %d taken", copies, first, parts)
	}
}

// The report lines are few: one when a replica is avoided, one when it is used again, and two of overload.
func TestReportLinesAreFew(t *testing.T) {
	k := start(t, settings(), ready(3)...)
	bad := true
	reply := func(k *bench, id uint32, a Action) Outcome {
		if a.Replica == 1 && bad {
			return Reset
		}
		return OK
	}
	all := serve(k, 300, 10*ms, reply)
	bad = false
	all = append(all, serve(k, 600, 10*ms, reply)...)
	lines := of(Note, all)
	if len(lines) < 2 || len(lines) > 12 {
		t.Fatalf("%d lines in a minute: %v", len(lines), lines)
	}
	if !strings.Contains(lines[0].Text, "000000000001 avoided: true") {
		t.Fatalf("first line %q", lines[0].Text)
	}
}

// BenchmarkStep is a Step at a large fleet: 170 replicas, a query of 100 parts, and the outcome of each.
func BenchmarkStep(b *testing.B) {
	s := settings()
	s.Peers, s.CanTell, s.CanProbe, s.Cells, s.Reach = 48, true, true, 170, 3
	m, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	rs := ready(170)
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

// A replica that has started anew is not judged by what it did before (icdcc6d).
func TestRestartWipesTheRecord(t *testing.T) {
	k := start(t, settings(), ready(3)...)
	drive(k, 60, func(r ReplicaID) Outcome {
		if r == 1 {
			return NoConnection
		}
		return OK
	})
	rs := ready(3)
	rs[0].Started = k.now
	before := k.b.expect(k.b.byID[1], 0)
	k.step(Event{Kind: List, Mode: Full, Replicas: rs})
	if after := k.b.expect(k.b.byID[1], 0); after > before/2 {
		t.Fatalf("%v us expected before the restart, %v after", before, after)
	}
}

// coldSends tells how many parts instances send a replica that starts now within a while, when each
// has one part for it every gap.
func coldSends(t *testing.T, instances int, gap, while Micros) (sent int) {
	for seed := range uint64(instances) {
		s := settings()
		s.Peers, s.FallMultiple = instances, 3
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		k := &bench{t: t, b: b, now: 20_000 * ms}
		rs := ready(2)
		k.step(Event{Kind: List, Mode: Full, Replicas: rs})
		serve(k, 40, 950*ms, func(*bench, uint32, Action) Outcome { return OK })
		rs[0].Started, rs[1].State = k.now, Removed // nothing else holds the shard
		k.step(Event{Kind: List, Mode: Full, Replicas: rs})
		for end := k.now + while; k.now < end; k.now += gap {
			k.query(0, 1)
			sent += len(of(Send, k.out))
		}
	}
	return sent
}

// Many instances of little traffic that hear of a start together must not each send a first part at once: 79
// of them, each with half a part a second to a warm replica, may together send a cold one 3 x 0.25 of what
// they sent a warm one, in the first second and later (fail-back came to 86% of its limit).
func TestManyInstancesDoNotMeetAtAColdReplica(t *testing.T) {
	for _, while := range []Micros{1000 * ms, 4000 * ms} {
		limit := 0.75 * 79 * 0.5 * float64(while) / 1e6
		if n := coldSends(t, 79, 250*ms, while); n == 0 || float64(n) > limit {
			t.Errorf("%d parts within %d ms of the start, want some and at most %.0f", n, while/ms, limit)
		}
	}
}

// A replica that refused connections and then serves has started anew, whatever the list says; what was slow
// to connect has not.
func TestUnlistedRestartIsAStart(t *testing.T) {
	for took, cold := range map[Micros]bool{2 * ms: true, 250 * ms: false} {
		s := settings()
		s.DialTimeout = 250 * ms
		k := start(t, s, ready(1)...)
		r := k.b.byID[1]
		id := k.query(0, 1)
		k.now += took
		k.result(id+1, 0, 1, NoConnection)
		k.now += 20_000 * ms
		for id = k.query(0, 1); len(of(Send, k.out)) == 0; id = k.query(0, 1) {
			k.now += 500 * ms
		}
		k.now += 50 * ms
		k.result(id+1, 0, 1, OK)
		if k.b.cold(r) != cold {
			t.Errorf("no connection after %d ms: cold %v, want %v", took/ms, k.b.cold(r), cold)
		}
		late := Replica{ID: 1, State: Ready, Size: 2, Started: k.now - 900*ms}
		k.step(Event{Kind: List, Mode: Delta, Replicas: []Replica{late}})
		if begun := r.start; cold && begun != k.now {
			t.Errorf("the listed start, earlier than the one seen, moved it from %d to %d", k.now, begun)
		}
	}
}

// A probe that passes slowly tells of waiting or of a slow way, one that passes at once does not.
func TestSlowProbeCounts(t *testing.T) {
	expected := map[Micros]float64{}
	for _, took := range []Micros{ms, 240 * ms} {
		s := settings()
		s.CanProbe = true
		k := start(t, s, ready(2)...)
		for range 5 {
			k.step(Event{Kind: ProbeResult, Replica: 1, Outcome: OK, Elapsed: took})
		}
		expected[took] = k.b.expect(k.b.byID[1], 0)
	}
	if quick, slow := expected[ms], expected[240*ms]; slow < 1.5*quick {
		t.Fatalf("%.0f us expected after slow probes, %.0f after quick ones", slow, quick)
	}
}

// An instance with a query of nine parts a second and no peers leaves a lost site within seconds, and is back
// on it within half a minute of its return, whether connections are refused or parts get no answer.
func TestLostSiteIsLeftAndFoundAgain(t *testing.T) {
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
				todo := append([]Action(nil), k.out...)
				for tries, begun := map[uint32]int{}, k.now; k.now < begun+1000*ms; {
					next := k.wait(50 * ms) // what was sent is answered after it
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
			t.Errorf("outcome %d: %v of %v parts still go to the lost site", o, there, all)
		}
		lost = false
		run(30)
		if all, there := run(20); there < 0.15*all {
			t.Errorf("outcome %d: %v of %v parts go to the site after its return", o, there, all)
		}
	}
}
