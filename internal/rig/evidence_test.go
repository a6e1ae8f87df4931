package rig

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// evidenceVerdicts are the verdicts by evidence at a member's door: kind and what.
func (m *Member) evidenceVerdicts() (out []string) {
	reply, err := m.CallAdmin("GET", "/admin/verdicts", "")
	if err != nil || reply.Status != 200 {
		return []string{"?"}
	}
	var v struct {
		Verdicts []struct{ Kind, What, By string }
	}
	_ = json.Unmarshal(reply.Body, &v)
	for _, x := range v.Verdicts {
		if x.By == "evidence" {
			out = append(out, x.Kind+" "+x.What)
		}
	}
	return out
}

// startEvidenceRig is five members in two zones before eight data nodes, with a short period, so that an
// illness is told and over in seconds.
func startEvidenceRig(t *testing.T, share float64, seed uint64, edit ...string) *Rig {
	t.Helper()
	r, err := New(Config{Dir: t.TempDir(), Period: period / 2, Members: 5, Nodes: 8, Seed: seed, Rate: 40,
		ExtraFleetConfig: fmt.Sprintf("[fleet.evidence]\nshare = %g\n", share), SettingsEdits: edit})
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, r)
	for _, m := range r.Members() {
		if err := m.Start(); err != nil {
			t.Fatal(err)
		}
	}
	awaitConverged(t, r, "start")
	return r
}

// Measured: what sick nodes still get and how long sound ones are out, with verdicts by evidence, without,
// and without the modules' messages too (each finds out alone). LAPISLEVER_LONG=1 prints the table.
func TestMeasureEvidenceVerdicts(t *testing.T) {
	if os.Getenv("LAPISLEVER_LONG") == "" {
		t.Skip("a long measurement")
	}
	type trial struct {
		name  string
		begin func(r *Rig)
		sick  []string
	}
	zone := func(r *Rig, z string, node string, f Fault) {
		for _, m := range r.Members() {
			if m.Zone == z {
				r.SetLinkFault(m.Name, node, f)
			}
		}
	}
	trials := []trial{
		{"failing for all", func(r *Rig) { r.SetNodeFault(0, Failing) }, []string{"n0"}},
		{"slow for all", func(r *Rig) { r.SetNodeFault(0, Slow) }, []string{"n0"}},
		{"deaf for all", func(r *Rig) { r.SetNodeFault(0, Unresponsive) }, []string{"n0"}},
		{"deaf to one zone", func(r *Rig) { zone(r, "praha", "n0", Fault{Cut: true}) }, nil},
		{"one member's links sick", func(r *Rig) {
			for i := range 8 {
				r.SetLinkFault("m01", fmt.Sprint("n", i), Fault{DelayMS: 600})
			}
		}, nil},
		{"two of a shard", func(r *Rig) {
			r.SetNodeFault(0, Failing)
			r.SetNodeFault(2, Unresponsive)
		}, []string{"n0", "n2"}},
		{"a blink", func(r *Rig) {
			r.SetNodeFault(0, Unresponsive)
			time.AfterFunc(500*time.Millisecond, func() { r.SetNodeFault(0, Healthy) })
		}, nil},
		{"failing, cut in 3 and 2", func(r *Rig) {
			r.partition([][]string{{"m00", "m01", "m02"}, {"m03", "m04"}}, false, Fault{})
			r.SetNodeFault(0, Failing)
		}, []string{"n0"}},
	}
	mute := []string{`"peers":true`, `"peers":false`}
	const span = 20 * time.Second
	for _, x := range trials {
		for _, way := range []struct {
			name  string
			share float64
			edit  []string
		}{{"evidence", 0.25, nil}, {"messages only", 0, nil}, {"alone", 0, mute},
			{"evidence, no messages", 0.25, mute}} {
			r := startEvidenceRig(t, way.share, 61, way.edit...)
			time.Sleep(4 * time.Second)
			x.begin(r)
			from := r.History.elapsedMS()
			wrongOut := map[string]float64{} // node-seconds that sound nodes are out by a member's door
			known := -1.0
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				for _, m := range r.Members() {
					for _, v := range m.evidenceVerdicts() {
						wrongOut[v] += 0.25
						if known < 0 {
							known = (r.History.elapsedMS() - from) / 1000
						}
					}
				}
			}
			const second = 1000.0
			got, in := 0, map[string]float64{}
			seen := map[string]map[int]int{}
			for _, e := range r.History.Events() {
				if e.Kind == KindPart && e.AtMS > from {
					if seen[e.Subject] == nil {
						seen[e.Subject] = map[int]int{}
					}
					seen[e.Subject][int((e.AtMS-from)/second)]++
				}
			}
			for i := range 8 {
				node := fmt.Sprint("n", i)
				for s := range int(span / time.Second) {
					switch n := seen[node][s]; {
					case slices.Contains(x.sick, node):
						got += n
						if n > 0 {
							in["wrongly in"]++
						}
					case n == 0:
						in["wrongly out"]++
					}
				}
			}
			late, bad, total := 0, 0, 0
			for _, e := range r.History.Events() {
				if e.Kind == KindAnswer && e.AtMS > from {
					total++
					if e.Status != 200 {
						bad++
					} else if e.TookMS > 400 {
						late++
					}
				}
			}
			t.Logf("%-24s %-22s sick got %4d parts, node-seconds %v, judged after %.1f s, member-seconds out %v, "+
				"queries %d late %d not served %d", x.name, way.name, got, in, known, wrongOut, total, late, bad)
			r.Close()
		}
	}
}

// allHoldEvidence tells that all members that run hold just these judgements.
func allHoldEvidence(r *Rig, want ...string) func() bool {
	return func() bool {
		for _, m := range r.RunningMembers() {
			if got := m.evidenceVerdicts(); !slices.Equal(got, want) {
				return false
			}
		}
		return true
	}
}

// A node that fails for all is out at all, nothing more is sent to it, and it is back by itself once its time
// is over. One that a zone can't reach is out for that zone alone. A member whose own links are sick accuses
// everybody, and nothing comes of it. An operator's word goes before evidence.
func TestEvidenceVerdictsAcrossFleet(t *testing.T) {
	r := startEvidenceRig(t, 0.25, 62)
	if !waitUntil(waitTimeout, func() bool {
		return partsBetween(r, "n0", 0, 1e12) > 20 && partsBetween(r, "n1", 0, 1e12) > 20
	}) {
		t.Fatal("n0 and n1 receive no parts even before the fault")
	}
	r.SetNodeFault(0, Failing)
	if !waitUntil(waitTimeout, allHoldEvidence(r, "node_sick n0")) {
		t.Fatalf("%v at m00", r.Member("m00").evidenceVerdicts())
	}
	out := r.History.elapsedMS()
	r.SetNodeFault(0, Healthy)
	time.Sleep(10 * period)
	if n := partsBetween(r, "n0", out+50, 1e12); n > 0 {
		t.Errorf("%d parts went to a node that is out", n)
	}
	used := func() bool { return partsBetween(r, "n0", out, 1e12) > 10 }
	if !waitUntil(waitTimeout, allHoldEvidence(r)) || !waitUntil(waitTimeout, used) {
		t.Fatal("the node is never back")
	}
	for _, m := range r.Members() {
		if m.Zone == "praha" {
			r.SetLinkFault(m.Name, "n1", Fault{Cut: true})
		}
	}
	if !waitUntil(2*waitTimeout, allHoldEvidence(r, "path_sick n1@praha")) {
		for _, m := range r.Members() {
			reply, err := m.CallAdmin("GET", "/admin/verdicts", "")
			t.Logf("%s: %s %v", m.Name, reply.Body, err)
		}
		t.Fatal("n1 is not judged")
	}
	at := r.History.elapsedMS()
	if !waitUntil(waitTimeout, func() bool { return partsBetween(r, "n1", at, 1e12) > 10 }) {
		t.Error("the other zone does not use the node either")
	}
	status, s := r.Member("m03").fleetCall(t, "uncordon", "n1", "?wait=2s")
	if status != 200 || len(s.Missing) > 0 {
		t.Errorf("%d %+v", status, s)
	}
	if !waitUntil(waitTimeout, allHoldEvidence(r)) {
		t.Error("an operator's word does not go before evidence")
	}
	for _, m := range r.Members() {
		r.SetLinkFault(m.Name, "n1", Fault{})
	}
	for i := range 8 {
		r.SetLinkFault("m01", fmt.Sprint("n", i), Fault{Cut: true})
	}
	for range 40 {
		time.Sleep(period / 2)
		for _, m := range r.Members() {
			if got := m.evidenceVerdicts(); len(got) > 0 {
				t.Fatalf("%s holds %v: one member's word", m.Name, got)
			}
		}
	}
	for i := range 8 {
		r.SetLinkFault("m01", fmt.Sprint("n", i), Fault{})
	}
	if !r.Quiesce(waitTimeout) {
		t.Error("queries without an answer")
	}
	for _, f := range Check(r.History.Events(), false) {
		t.Error(f)
	}
}
