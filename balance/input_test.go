package balance

import (
	"math"
	"testing"
)

// Invalid input: no panic, no rule violated, and the rest of the Step is processed.

func TestBadInputIsIgnored(t *testing.T) {
	s := settings()
	s.Peers, s.CanTell, s.CanProbe, s.Cells = 3, true, true, 2
	s.Tenants = []Tenant{{Quota: 1}}
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	bad := map[string][]Event{
		"class":       {{Kind: Query, ID: 900, Number: 900, Class: 7}, {Kind: Query, ID: 901, Class: -1}},
		"tenant":      {{Kind: Query, ID: 902, Number: 902, Tenant: 9}, {Kind: Query, ID: 903, Tenant: -2}},
		"orphan part": {{Kind: Part, ID: 904, Number: 77}},
		"probe":       {{Kind: ProbeResult, Replica: 99, Outcome: OK, Report: []float32{nan, inf, -1}}},
		"report":      {{Kind: ProbeResult, Replica: 1, Outcome: OK, Report: []float32{nan, inf, -1}}},
		"outcome":     {{Kind: Result, ID: 905, Attempt: -1}, {Kind: Result, ID: 1, Attempt: 99, Outcome: OK}},
		"list": {{Kind: List, Mode: Delta, Replicas: []Replica{
			{ID: 5, State: Ready, Cell: -3, Size: math.NaN()}, {ID: 6, State: Ready, Cell: 1 << 20, Size: math.Inf(1)},
			{ID: 1, State: Ready, Size: 2}, {ID: 1, State: Ready, Size: -2}, {ID: 2, State: Ready, Started: 1 << 60},
		}}},
		"kind": {{Kind: 200}},
	}
	for name, events := range bad {
		k := start(t, s, readyReplicas(3)...)
		for shard := range 4 {
			events = append(events, Event{Kind: Part, ID: 910 + uint32(shard), Number: 902, Shard: shard - 2,
				Weight: math.NaN()})
		}
		k.step(events...)
		id := k.query(0, 1)
		sends := ofKind(Send, k.actions)
		if len(sends) != 1 {
			t.Errorf("%s: %d sends for a valid query after it", name, len(sends))
			continue
		}
		if k.result(id+1, 0, sends[0].Replica, OK); len(ofKind(Answer, k.actions)) != 1 {
			t.Errorf("%s: a valid query has no answer", name)
		}
		k.wait(4000 * ms)
		k.now -= 10_000 * ms // the clock goes back
		k.query(0, 1)
	}
}

func TestMessagesOfAnyBytes(t *testing.T) {
	s := settings()
	s.Peers, s.CanTell = 3, true
	k := start(t, s, readyReplicas(3)...)
	msg := []byte{}
	x := uint32(1)
	for n := range 700 {
		k.step(Event{Kind: Message, From: uint32(n), Data: msg})
		if n%2 == 0 && len(msg)%entrySize == 1 { // with a valid checksum and the hash of an existing replica
			h := replicaHash(1)
			for i := 1; i < len(msg); i += entrySize {
				msg[i], msg[i+1], msg[i+2] = byte(h), byte(h>>8), byte(h>>16)
			}
			msg[0] = checksum(msg[1:])
			k.step(Event{Kind: Message, From: uint32(n), Data: msg})
		}
		x = x*1664525 + 1013904223
		msg = append(msg, byte(x>>24))
	}
	r := k.balancer.byID[1]
	if e := k.balancer.expectedLatency(r, 0); math.IsNaN(e) || e <= 0 || e > k.balancer.minAim ||
		r.peerLatency.n > maxPeerSamples+1 {
		t.Fatalf("random messages led to an expected latency of %v with a sample weight of %v", e, r.peerLatency.n)
	}
	k.query(0, 1)
	exactlyOne(t, Send, k.actions)
}

// Own samples outweigh those of peers: a replica that fails for this instance is avoided although peers
// report low latencies.
func TestOwnOutcomesOutrankMessages(t *testing.T) {
	s := settings()
	s.Peers, s.CanTell = 3, true
	k := start(t, s, readyReplicas(3)...)
	var m message
	m.add(replicaHash(1), 10_000, maxPeerSamples)
	praise := []byte(m.encode())
	sent := countSends(k, 200, func(r ReplicaID) Outcome {
		k.step(Event{Kind: Message, Data: praise})
		if r == 1 {
			return Reset
		}
		return OK
	})
	if sent[1] > 40 {
		t.Fatalf("%d of 200 parts went to a replica that fails here and is fast for a peer", sent[1])
	}
}

func TestContradictingSettingsNameTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Classes":           func(s *Settings) { s.Classes = nil },
		"Cells":             func(s *Settings) { s.Cells = 0 },
		"Reach":             func(s *Settings) { s.Reach = -1 },
		"MaxAttempts":       func(s *Settings) { s.MaxAttempts = 0 },
		"Number":            func(s *Settings) { s.Number = 5 },
		"Tick":              func(s *Settings) { s.Tick = -1 },
		"ColdShare":         func(s *Settings) { s.ColdShare = math.NaN() },
		"FallMultiple":      func(s *Settings) { s.FallMultiple = 0 },
		"FallSpan":          func(s *Settings) { s.FallSpan = 0 },
		"ResendRatio":       func(s *Settings) { s.ResendSpan, s.ResendRatio = 1, math.NaN() },
		"SpareAttempts":     func(s *Settings) { s.ResendSpan, s.SpareAttempts = 1, -1 },
		"Classes[0].Aim":    func(s *Settings) { s.Classes[0].Aim = 0 },
		"Classes[0].Need":   func(s *Settings) { s.Classes[0].Need = 2 },
		"Classes[0].Floor":  func(s *Settings) { s.Classes[0].Floor = 1.5 },
		"Classes[0].Window": func(s *Settings) { s.Classes[0].Effect = Keyed },
	} {
		s := settings()
		invalidate(&s)
		want := "balance: Settings." + field + " "
		if _, err := New(s, 1); err == nil || len(err.Error()) < len(want) || err.Error()[:len(want)] != want {
			t.Errorf("%s invalid: error %v", field, err)
		}
	}
}

// Unusual but possible input around second steps, restarts and lists: each query gets one final answer, and
// later queries are served.
func TestOddSecondStepsStartsAndLists(t *testing.T) {
	s := settings()
	s.Classes[0].SecondStep, s.Classes[0].LateWorth, s.Subscribe = 2, 0.3, true
	k := start(t, s, readyReplicas(2)...)
	finals := func(acts []Action) int {
		return len(ofKind(Answer, acts)) + len(ofKind(Refuse, acts)) + len(ofKind(Fail, acts))
	}

	id := k.query(0, 1) // its second step never receives a part
	k.result(id+1, 0, exactlyOne(t, Send, k.actions).Replica, OK)
	exactlyOne(t, Answer, k.actions)
	if n := finals(k.wait(3100 * ms)); n != 1 {
		t.Errorf("%d final answers of a query whose second step has no parts, want 1", n)
	}
	k.step(Event{Kind: Part, ID: 500, Number: float32(id), Weight: 1}, Event{Kind: Query, ID: 600, Number: 600,
		Deadline: k.now + 3000*ms}, Event{Kind: Part, ID: 601, Number: 600, Weight: 1})
	if a := exactlyOne(t, Send, k.actions); a.ID != 601 {
		t.Errorf("part %d sent, want that of the open query", a.ID)
	}

	begun := k.now - 500*ms
	for _, at := range []Micros{begun, begun - 90_000*ms} {
		k.step(Event{Kind: List, Mode: Delta, Replicas: []Replica{{ID: 1, State: Ready, Started: at}}})
	}
	if !k.balancer.isCold(k.balancer.byID[1]) {
		t.Error("a replica is no longer cold after an earlier start was listed")
	}
	for range 50 {
		k.step(Event{Kind: List, Mode: Failed})
		k.wait(9000 * ms)
	}
	k.query(0, 1)
	exactlyOne(t, Send, k.actions)
}
