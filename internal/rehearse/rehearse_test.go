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

	// What the program is made of: so that results that go test has kept do not outlive a change of it.
	_ "lapislever/internal/console"
	_ "lapislever/internal/platform"
	"lapislever/internal/rig"
)

func TestMain(m *testing.M) {
	code := m.Run()
	rig.RemoveProgram()
	os.Exit(code)
}

// The tool's own scenarios are sound, and every fault of a bad one is told with line and key.
func TestScenarios(t *testing.T) {
	if len(Names()) < 4 {
		t.Fatalf("%v", Names())
	}
	for _, name := range Names() {
		if s, err := Open(name); err != nil || s.Name != name || s.About == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
	_, err := Parse("bad.toml", `about = "x"
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
		t.Fatal("taken")
	}
	for _, want := range []string{"bad.toml:2: members", "bad.toml:6: node.slots", "bad.toml:10: load.rate",
		"unknown key load.colour", "load.step[1].at_s", "event[1].do", `event[2].who: "n0" can't be told to kill`,
		`"x" is no member and no node`, `"n9" is no member and no node`, "event[3].by"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("not told: %s\n%v", want, err)
		}
	}
	if _, err := Open("nowhere"); err == nil || !strings.Contains(err.Error(), "demo") {
		t.Errorf("%v", err)
	}
}

// An emulated node works on so many parts at a time, keeps so many waiting, turns the others away, and does
// what its script says.
func TestLedger(t *testing.T) {
	l := newLedger(Ledger{Slots: 2, Queue: 3, WorkMS: 100, Fixed: true}, 1)
	ends := map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	begun := time.Now()
	for range 9 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			end := l.serve()
			mu.Lock()
			ends[end]++
			mu.Unlock()
		}()
	}
	wait.Wait()
	if ends["S"] != 5 || ends["B"] != 4 || l.done.Load() != 5 || l.full.Load() != 4 {
		t.Errorf("%v", ends)
	}
	if took := time.Since(begun); took < 300*time.Millisecond { // five of 100 ms, two at a time
		t.Errorf("all done after %v", took)
	}
	l.set("fail", 0)
	if end := l.serve(); end != "E" {
		t.Errorf("%q of one that fails", end)
	}
	l.set("deaf", 0)
	if end := l.serve(); end != "" {
		t.Errorf("%q of one that is deaf", end)
	}
	l.set("slow", 3)
	begun = time.Now()
	if end := l.serve(); end != "S" || time.Since(begun) < 300*time.Millisecond {
		t.Errorf("%q after %v of one that is slow", end, time.Since(begun))
	}
}

// A difference that is the same at each seed is real, one that is not is noise, and runs that have no partner
// do not count.
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
		case "goodput": // 6, 4 and 5; t of 2 degrees is 4.303
			if !d.Real || d.Pairs != 3 || d.Mean != 5 || d.Half < 2.48 || d.Half > 2.49 {
				t.Errorf("%+v", d)
			}
		case "late":
			if d.Real {
				t.Errorf("%+v", d)
			}
		}
	}
	var out bytes.Buffer
	if err := WriteDifferences(&out, "x", "y", list); err != nil || !strings.Contains(out.String(), "real") ||
		!strings.Contains(out.String(), "noise") {
		t.Errorf("%v %s", err, out.String())
	}
	if _, err := Compare(a[:1], b); err == nil {
		t.Error("one pair is compared")
	}
}

// A play with real processes: more than twice what the nodes can do for some seconds, in which one process is
// killed and back and another is cut off from the rest. What can be done is done, what is worth most is
// served, the level is there and goes, every request has one end, and the run is kept, read and drawn.
func TestPlay(t *testing.T) {
	s, err := Parse("short.toml", `about = "a short overload"
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
	pl := &Player{Progress: func(int, Second) { seconds++ }}
	r, err := pl.Play(s, 3, "as-is")
	if err != nil {
		t.Fatal(err)
	}
	over, before, after, level := Second{}, Second{}, Second{}, 0
	for i, x := range r.Seconds {
		if x.First != x.InTime+x.Late+x.Refused+x.Lost {
			t.Errorf("second %d: %d were asked, and %d ended", i, x.First, x.InTime+x.Late+x.Refused+x.Lost)
		}
		level = max(level, x.LevelMax)
		sum := &over
		switch {
		case i < 3:
			sum = &before
		case i >= 10:
			sum = &after
		case i < 5 || i >= 8:
			continue
		}
		sum.First += x.First
		sum.InTime += x.InTime
		sum.Worth += x.Worth
	}
	var table bytes.Buffer
	if err := r.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", table.String())
	// Half of what can be done, on machines that are busy with other tests too: with twice the load there is
	// no goodput at all where nobody turns anything away.
	if float64(over.InTime) < 0.5*3*r.Capacity {
		t.Errorf("%d answered in time in 3 s, where the nodes can do %.0f a second", over.InTime, r.Capacity)
	}
	if over.Worth < 1.3*float64(over.InTime) {
		t.Errorf("%d are worth %.0f: what is worth most is not served first", over.InTime, over.Worth)
	}
	if level == 0 {
		t.Error("there was never a level")
	}
	if after.InTime < after.First*8/10 {
		t.Errorf("after it %d of %d are answered in time", after.InTime, after.First)
	}
	if seconds < 8 {
		t.Errorf("%d looks at how it goes", seconds)
	}
	dir := filepath.Join(t.TempDir(), "runs")
	for _, label := range []string{"as-is", "other"} {
		for seed := range uint64(2) {
			again := *r
			again.Label, again.Seed = label, seed
			if _, err := again.Save(dir); err != nil {
				t.Fatal(err)
			}
		}
	}
	var out bytes.Buffer
	for _, words := range [][]string{{"compare", "short", "as-is", "other"}, {"report", "short"}, {"list"}} {
		if err := Command(append(words, "--dir", dir), &out, &out, ""); err != nil {
			t.Fatalf("%v: %v", words, err)
		}
	}
	page, err := os.ReadFile(filepath.Join(dir, "short.html"))
	if err != nil || bytes.Count(page, []byte("<svg")) != 8 || bytes.Contains(page, []byte("<script")) {
		t.Errorf("%v: a page of %d bytes", err, len(page))
	}
	for _, words := range [][]string{nil, {"dance"}, {"run"}, {"compare", "short", "as-is"}} {
		if err := Command(words, &out, &out, ""); err == nil {
			t.Errorf("%v is taken", words)
		}
	}
}

// On virtual time a scenario gives the same run for the same seed, also where processes are killed and links
// cut, and another one for another seed; every request has one end; what a node can do is done; a scenario
// that is grown does so many times as much.
func TestVirtual(t *testing.T) {
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
	play := func(seed uint64, times int) *Run {
		s, err := Parse("x.toml", text)
		if err != nil {
			t.Fatal(err)
		}
		s.grow(times)
		r, err := PlayVirtual(s, seed, "x")
		if err != nil {
			t.Fatal(err)
		}
		r.At = time.Time{}
		return r
	}
	print := func(r *Run) string {
		b, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	a := play(1, 1)
	if print(a) != print(play(1, 1)) {
		t.Error("the same seed gives another run")
	}
	if print(a) == print(play(2, 1)) {
		t.Error("another seed gives the same run")
	}
	level := 0
	for i, x := range a.Seconds {
		if x.First != x.InTime+x.Late+x.Refused+x.Lost {
			t.Errorf("second %d: %d were asked, and %d ended", i, x.First, x.InTime+x.Late+x.Refused+x.Lost)
		}
		level = max(level, x.LevelMax)
	}
	if good := a.Figures["goodput"]; good < 0.75*a.Capacity || good > 1.1*a.Capacity || level == 0 {
		t.Errorf("%.0f a second of %.0f, level %d", good, a.Capacity, level)
	}
	if got, want := play(1, 3).Figures["goodput"], 3*a.Figures["goodput"]; got < 0.85*want || got > 1.15*want {
		t.Errorf("three times as large: %.0f a second, not some %.0f", got, want)
	}
	s, _ := Parse("x.toml", text)
	s.Members = 40
	if _, err := (&Player{Program: "/nowhere"}).Play(s, 1, "x"); err == nil {
		t.Error("forty real processes are begun")
	}
}
