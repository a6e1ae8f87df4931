package rehearse

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	// The packages of the program are imported so that a change in them invalidates cached test results.
	_ "lapislever/internal/console"
	_ "lapislever/internal/platform"
	"lapislever/internal/rig"
)

func TestMain(m *testing.M) {
	code := m.Run()
	rig.RemoveProgram()
	os.Exit(code)
}

// The built-in scenarios are valid, and every error in an invalid scenario is reported with its line and key.
func TestScenarios(t *testing.T) {
	if len(ScenarioNames()) < 4 {
		t.Fatalf("only %v are built in", ScenarioNames())
	}
	for _, name := range ScenarioNames() {
		if s, err := OpenScenario(name); err != nil || s.Name != name || s.About == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
	_, err := ParseScenario("bad.toml", `about = "x"
members = 0
nodes = 4
for_s = 10
[node]
slots = 0
queue = 1
work_ms = 20
[load]
rate = -1
colour = "red"
[[load.step]]
at_s = 99
rate = 1
[[event]]
at_s = 1
do = "dance"
who = ["m00"]
[[event]]
at_s = 1
do = "kill"
who = ["n0", "x"]
[[event]]
at_s = 1
do = "slow"
who = ["n9"]
`)
	if err == nil {
		t.Fatal("an invalid scenario was accepted")
	}
	for _, want := range []string{"bad.toml:2: members", "bad.toml:6: node.slots", "bad.toml:10: load.rate",
		"unknown key load.colour", "load.step[1].at_s", "event[1].do", `event[2].who: "n0" can't be told to kill`,
		`"x" is no member and no node`, `"n9" is no member and no node`, "event[3].by"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error lacks %q:\n%v", want, err)
		}
	}
	if _, err := OpenScenario("nowhere"); err == nil || !strings.Contains(err.Error(), "demo") {
		t.Errorf("error for an unknown scenario: %v", err)
	}
}

// An emulated node bounds its concurrent parts and its queue, rejects further parts, and follows its failure
// mode.
func TestEmulatedNode(t *testing.T) {
	n := newEmulatedNode(Ledger{Slots: 2, Queue: 3, WorkMS: 100, FixedWork: true}, 1)
	ends := map[string]int{}
	var mu sync.Mutex
	var pending sync.WaitGroup
	started := time.Now()
	for range 9 {
		pending.Add(1)
		go func() {
			defer pending.Done()
			end := n.serve()
			mu.Lock()
			ends[end]++
			mu.Unlock()
		}()
	}
	pending.Wait()
	if ends["S"] != 5 || ends["B"] != 4 || n.completed.Load() != 5 || n.rejected.Load() != 4 {
		t.Errorf("end letters %v, want 5 S and 4 B", ends)
	}
	if took := time.Since(started); took < 300*time.Millisecond { // five parts of 100 ms, two at a time
		t.Errorf("all parts done after %v", took)
	}
	n.setMode("fail", 0)
	if end := n.serve(); end != "E" {
		t.Errorf("end letter %q in mode fail", end)
	}
	n.setMode("deaf", 0)
	if end := n.serve(); end != "" {
		t.Errorf("end letter %q in mode deaf", end)
	}
	n.setMode("slow", 3)
	started = time.Now()
	if end := n.serve(); end != "S" || time.Since(started) < 300*time.Millisecond {
		t.Errorf("end letter %q after %v in mode slow", end, time.Since(started))
	}
}

// A difference that is consistent across seeds is significant, an inconsistent one is not, and runs without a
// counterpart of the same seed are ignored.
func TestCompare(t *testing.T) {
	run := func(seed uint64, goodput, late float64) *Run {
		return &Run{Seed: seed, Figures: map[string]float64{"goodput": goodput, "late": late}}
	}
	a := []*Run{run(1, 100, 0.1), run(2, 110, 0.3), run(3, 90, 0.2), run(9, 1, 1)}
	b := []*Run{run(3, 95, 0.3), run(1, 106, 0.2), run(2, 114, 0.05)}
	list, err := Compare(a, b)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range list {
		switch d.Name {
		case "goodput": // differences 6, 4 and 5; t is 4.303 with 2 degrees of freedom
			if !d.Significant || d.Pairs != 3 || d.MeanDiff != 5 || d.HalfWidth < 2.48 || d.HalfWidth > 2.49 {
				t.Errorf("goodput should differ significantly: %+v", d)
			}
		case "late":
			if d.Significant {
				t.Errorf("late should not differ significantly: %+v", d)
			}
		}
	}
	var out bytes.Buffer
	if err := WriteDifferences(&out, "x", "y", list); err != nil || !strings.Contains(out.String(), "real") ||
		!strings.Contains(out.String(), "noise") {
		t.Errorf("the comparison lacks a verdict, error %v:\n%s", err, out.String())
	}
	if _, err := Compare(a[:1], b); err == nil {
		t.Error("a single pair was compared")
	}
}

// A run with real processes: for some seconds the load is more than twice the capacity of the nodes, while
// one process is killed and restarted and another is partitioned from the rest. Goodput must not collapse,
// requests of higher worth are preferred, the overload level rises, goodput recovers afterwards, every
// request ends exactly once, and the run can be saved, loaded, compared and drawn.
func TestRealProcesses(t *testing.T) {
	s, err := ParseScenario("short.toml", `about = "a short overload"
members = 3
nodes = 4
for_s = 12
[node]
slots = 2
queue = 24
work_ms = 40
[load]
rate = 50
retries = 2
posts = 0.3
[[load.step]]
at_s = 3
rate = 240
[[load.step]]
at_s = 8
rate = 50
[[event]]
at_s = 4
do = "kill"
who = ["m02"]
[[event]]
at_s = 5.5
do = "start"
who = ["m02"]
[[event]]
at_s = 6
do = "cut"
who = ["m00"]
from = ["m01", "m02"]
[[event]]
at_s = 7.5
do = "heal"
`)
	if err != nil {
		t.Fatal(err)
	}
	seconds := 0
	runner := &Runner{Progress: func(int, Second) { seconds++ }}
	r, err := runner.Run(s, 3, "as-is")
	if err != nil {
		t.Fatal(err)
	}
	overloaded, before, after, level := Second{}, Second{}, Second{}, 0
	for i, x := range r.Seconds {
		if x.Requests != x.InTime+x.Late+x.Refused+x.Lost {
			t.Errorf("second %d: %d requests were asked, but %d ended", i, x.Requests,
				x.InTime+x.Late+x.Refused+x.Lost)
		}
		level = max(level, x.MaxLevel)
		sum := &overloaded
		switch {
		case i < 3:
			sum = &before
		case i >= 10:
			sum = &after
		case i < 5 || i >= 8:
			continue
		}
		sum.Requests += x.Requests
		sum.InTime += x.InTime
		sum.Worth += x.Worth
	}
	var table bytes.Buffer
	if err := r.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", table.String())
	// Only half of the capacity is required, because the machine may be busy with other tests. Without load
	// shedding, twice the load would leave no goodput at all.
	if float64(overloaded.InTime) < 0.5*3*r.Capacity {
		t.Errorf("%d requests answered in time in 3 s; the nodes can process %.0f per second",
			overloaded.InTime, r.Capacity)
	}
	if overloaded.Worth < 1.3*float64(overloaded.InTime) {
		t.Errorf("%d answered requests have a worth of %.0f: what is worth most is not preferred",
			overloaded.InTime, overloaded.Worth)
	}
	if level == 0 {
		t.Error("the overload level stayed 0")
	}
	if after.InTime < after.Requests*8/10 {
		t.Errorf("after the overload, %d of %d requests were answered in time", after.InTime, after.Requests)
	}
	if seconds < 8 {
		t.Errorf("progress on how the run goes was reported %d times", seconds)
	}
	dir := filepath.Join(t.TempDir(), "runs")
	for _, label := range []string{"as-is", "other"} {
		for seed := range uint64(2) {
			relabeled := *r
			relabeled.Label, relabeled.Seed = label, seed
			if _, err := relabeled.Save(dir); err != nil {
				t.Fatal(err)
			}
		}
	}
	var out bytes.Buffer
	for _, args := range [][]string{{"compare", "short", "as-is", "other"}, {"report", "short"}, {"list"}} {
		if err := Command(append(args, "--dir", dir), &out, &out, ""); err != nil {
			t.Fatalf("%v: %v", args, err)
		}
	}
	page, err := os.ReadFile(filepath.Join(dir, "short.html"))
	if err != nil || bytes.Count(page, []byte("<svg")) != 8 || bytes.Contains(page, []byte("<script")) {
		t.Errorf("unexpected report page: error %v, %d bytes", err, len(page))
	}
	for _, args := range [][]string{nil, {"dance"}, {"run"}, {"compare", "short", "as-is"}} {
		if err := Command(args, &out, &out, ""); err == nil {
			t.Errorf("invalid arguments %v were accepted", args)
		}
	}
}

// On virtual time, a scenario gives the same run for the same seed, even with killed processes and cut links,
// and a different run for another seed. Every request ends exactly once, goodput is near the capacity of the
// nodes, and goodput grows in proportion with the scale of a scenario.
func TestVirtualTime(t *testing.T) {
	const text = `about = "x"
members = 4
nodes = 4
for_s = 14
[node]
slots = 2
queue = 24
work_ms = 20
[load]
rate = 400
retries = 2
posts = 0.3
[[event]]
at_s = 4
do = "kill"
who = ["m01"]
[[event]]
at_s = 6
do = "start"
who = ["m01"]
[[event]]
at_s = 7
do = "cut"
who = ["m00"]
from = ["m02", "m03"]
[[event]]
at_s = 9
do = "heal"
[[event]]
at_s = 10
do = "slow"
who = ["n0"]
by = 3
`
	run := func(seed uint64, factor int) *Run {
		s, err := ParseScenario("x.toml", text)
		if err != nil {
			t.Fatal(err)
		}
		s.scale(factor)
		r, err := RunVirtual(s, seed, "x")
		if err != nil {
			t.Fatal(err)
		}
		r.RecordedAt = time.Time{}
		return r
	}
	encode := func(r *Run) string {
		b, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	a := run(1, 1)
	if encode(a) != encode(run(1, 1)) {
		t.Error("the same seed gave a different run")
	}
	if encode(a) == encode(run(2, 1)) {
		t.Error("another seed gave the same run")
	}
	level := 0
	for i, x := range a.Seconds {
		if x.Requests != x.InTime+x.Late+x.Refused+x.Lost {
			t.Errorf("second %d: %d requests were asked, but %d ended", i, x.Requests,
				x.InTime+x.Late+x.Refused+x.Lost)
		}
		level = max(level, x.MaxLevel)
	}
	if goodput := a.Figures["goodput"]; goodput < 0.75*a.Capacity || goodput > 1.1*a.Capacity || level == 0 {
		t.Errorf("goodput %.0f per second of a capacity of %.0f, level %d", goodput, a.Capacity, level)
	}
	if got, want := run(1, 3).Figures["goodput"], 3*a.Figures["goodput"]; got < 0.85*want || got > 1.15*want {
		t.Errorf("at three times the scale, goodput is %.0f per second instead of about %.0f", got, want)
	}
	s, _ := ParseScenario("x.toml", text)
	s.Members = 40
	if _, err := (&Runner{Program: "/nowhere"}).Run(s, 1, "x"); err == nil {
		t.Error("a run with 40 real processes was started")
	}
}
