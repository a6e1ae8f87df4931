package rig

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// evidenceVerdicts returns the verdicts by evidence that a member's admin endpoint reports, as kind and
// object.
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

// startEvidenceRig starts five members in two zones with eight data nodes. The period is short, so that
// verdicts on faulty nodes are reached and expire within seconds.
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

// Measures how many parts faulty nodes still receive and how long healthy ones are excluded: with verdicts by
// evidence, without them, and without the modules' messages as well, when each member detects faults on its
// own. LAPISLEVER_LONG=1 prints the table.
func TestMeasureEvidenceVerdicts(t *testing.T) {
	if os.Getenv("LAPISLEVER_LONG") == "" {
		t.Skip("a long measurement")
	}
	type trial struct {
		name   string
		begin  func(r *Rig)
		faulty []string
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
		{"unresponsive for all", func(r *Rig) { r.SetNodeFault(0, Unresponsive) }, []string{"n0"}},
		{"unreachable from one zone", func(r *Rig) { zone(r, "praha", "n0", Fault{Cut: true}) }, nil},
		{"one member's links slow", func(r *Rig) {
			for i := range 8 {
				r.SetLinkFault("m01", fmt.Sprint("n", i), Fault{DelayMS: 600})
			}
		}, nil},
		{"two nodes of a shard", func(r *Rig) {
			r.SetNodeFault(0, Failing)
			r.SetNodeFault(2, Unresponsive)
		}, []string{"n0", "n2"}},
		{"unresponsive for 0.5 s", func(r *Rig) {
			r.SetNodeFault(0, Unresponsive)
			time.AfterFunc(500*time.Millisecond, func() { r.SetNodeFault(0, Healthy) })
		}, nil},
		{"failing, partition 3 and 2", func(r *Rig) {
			r.partition([][]string{{"m00", "m01", "m02"}, {"m03", "m04"}}, false, Fault{})
			r.SetNodeFault(0, Failing)
		}, []string{"n0"}},
	}
	noMessages := []string{`"peers":true`, `"peers":false`}
	const span = 20 * time.Second
	for _, x := range trials {
		for _, mode := range []struct {
			name  string
			share float64
			edit  []string
		}{{"evidence", 0.25, nil}, {"messages only", 0, nil}, {"alone", 0, noMessages},
			{"evidence, no messages", 0.25, noMessages}} {
			r := startEvidenceRig(t, mode.share, 61, mode.edit...)
			time.Sleep(4 * time.Second)
			x.begin(r)
			from := r.History.elapsedMS()
			excluded := map[string]float64{} // member-seconds with a verdict, as the members' endpoints report it
			firstVerdict := -1.0
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				for _, m := range r.Members() {
					for _, v := range m.evidenceVerdicts() {
						excluded[v] += 0.25
						if firstVerdict < 0 {
							firstVerdict = (r.History.elapsedMS() - from) / 1000
						}
					}
				}
			}
			const second = 1000.0
			faultyParts, nodeSeconds := 0, map[string]float64{}
			partsPerSecond := map[string]map[int]int{} // by node and second
			for _, e := range r.History.Events() {
				if e.Kind == KindPart && e.AtMS > from {
					if partsPerSecond[e.Subject] == nil {
						partsPerSecond[e.Subject] = map[int]int{}
					}
					partsPerSecond[e.Subject][int((e.AtMS-from)/second)]++
				}
			}
			for i := range 8 {
				node := fmt.Sprint("n", i)
				for s := range int(span / time.Second) {
					switch n := partsPerSecond[node][s]; {
					case slices.Contains(x.faulty, node):
						faultyParts += n
						if n > 0 {
							nodeSeconds["wrongly in"]++
						}
					case n == 0:
						nodeSeconds["wrongly out"]++
					}
				}
			}
			late, failed, total := 0, 0, 0
			for _, e := range r.History.Events() {
				if e.Kind == KindAnswer && e.AtMS > from {
					total++
					if e.Status != 200 {
						failed++
					} else if e.TookMS > 400 {
						late++
					}
				}
			}
			t.Logf("%-24s %-22s faulty nodes got %4d parts, node-seconds %v, first verdict after %.1f s, "+
				"member-seconds excluded %v, queries %d late %d not served %d", x.name, mode.name, faultyParts,
				nodeSeconds, firstVerdict, excluded, total, late, failed)
			r.Close()
		}
	}
}

// allHoldEvidence returns a condition: all running members hold exactly these verdicts by evidence.
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

// A node that fails for all members is excluded by all, gets no more parts, and returns by itself when the
// verdict expires. A node that one zone cannot reach is excluded for that zone only. A member whose own links
// are cut accuses all nodes, without effect. An operator's call overrides evidence.
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
	excludedAt := r.History.elapsedMS()
	r.SetNodeFault(0, Healthy)
	time.Sleep(10 * period)
	if n := partsBetween(r, "n0", excludedAt+50, 1e12); n > 0 {
		t.Errorf("%d parts were sent to an excluded node", n)
	}
	used := func() bool { return partsBetween(r, "n0", excludedAt, 1e12) > 10 }
	if !waitUntil(waitTimeout, allHoldEvidence(r)) || !waitUntil(waitTimeout, used) {
		t.Fatal("the node does not return to service")
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
		t.Fatal("there is no verdict on n1")
	}
	at := r.History.elapsedMS()
	if !waitUntil(waitTimeout, func() bool { return partsBetween(r, "n1", at, 1e12) > 10 }) {
		t.Error("the other zone does not use the node any more")
	}
	status, s := r.Member("m03").fleetCall(t, "uncordon", "n1", "?wait=2s")
	if status != 200 || len(s.Missing) > 0 {
		t.Errorf("%d %+v", status, s)
	}
	if !waitUntil(waitTimeout, allHoldEvidence(r)) {
		t.Error("an operator's call does not override evidence")
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
				t.Fatalf("%s holds %v, on the evidence of a single member", m.Name, got)
			}
		}
	}
	for i := range 8 {
		r.SetLinkFault("m01", fmt.Sprint("n", i), Fault{})
	}
	if !r.Quiesce(waitTimeout) {
		t.Error("some queries were not answered")
	}
	for _, violation := range Check(r.History.Events(), false) {
		t.Error(violation)
	}
}
