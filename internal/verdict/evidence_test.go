package verdict

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const simPeriod = 200_000

// detectorFleet simulates, on virtual time, a fleet of outlier detectors and data nodes that may be sick.
// Each member avoids a node for some time after a bad outcome, as its module does.
type detectorFleet struct {
	rng           *rand.Rand
	detectors     []*OutlierDetector
	tables        []*Table
	zones         []string
	now           Micros
	nodes         int
	attempts      float64                          // attempts per member and period
	loss          float64                          // fraction of messages lost
	cut           func(a, b int) bool              // members that cannot reach each other
	outcome       func(m, n int) (Outcome, Micros) // outcome of an attempt of member m at node n
	avoidUntil    [][]Micros
	attemptCounts [][]int // attempts by member and node
	bytes         int
}

func newDetectorFleet(members, nodes int, zones []string, attempts float64, seed uint64) *detectorFleet {
	c := &detectorFleet{rng: rand.New(rand.NewPCG(seed, 2)), nodes: nodes, attempts: attempts,
		now: 1_000 * simPeriod}
	for i := range members {
		z := zones[i%len(zones)]
		c.zones = append(c.zones, z)
		c.detectors = append(c.detectors, NewOutlierDetector(Member{memberName(i), z}, simPeriod, maxMessage))
		c.tables = append(c.tables, NewTable(memberName(i)))
		c.avoidUntil = append(c.avoidUntil, make([]Micros, nodes))
		c.attemptCounts = append(c.attemptCounts, make([]int, nodes))
	}
	c.cut = func(int, int) bool { return false }
	c.outcome = func(int, int) (Outcome, Micros) { return Served, 10_000 }
	return c
}

func nodeName(n uint64) string { return fmt.Sprintf("n%d", n) }

// isSick reports whether a verdict that applies to a member says that a node is sick.
func (c *detectorFleet) isSick(m, n int) bool {
	for _, v := range c.tables[m].SickVerdicts(c.now, nodeName(uint64(n))) {
		if _, z := v.Node(); z == "" || z == c.zones[m] {
			return true
		}
	}
	return false
}

// period simulates one period: first attempts, then messages, then verdicts, which all reachable members
// merge immediately.
func (c *detectorFleet) period() {
	c.now += simPeriod
	for m, j := range c.detectors {
		k := int(c.attempts)
		if c.rng.Float64() < c.attempts-float64(k) {
			k++
		}
		for range k {
			n := c.rng.IntN(c.nodes)
			if c.avoidUntil[m][n] > c.now || c.isSick(m, n) {
				continue
			}
			c.attemptCounts[m][n]++
			e, took := c.outcome(m, n)
			if took += Micros(c.rng.IntN(4_000)); e != Served || took > 400_000 {
				c.avoidUntil[m][n] = c.now + Micros(20+c.rng.IntN(20))*simPeriod
			}
			j.Observe(c.now, uint64(n), 0, e, took)
		}
	}
	type envelope struct {
		from int
		Message
	}
	var queue []envelope
	for m, j := range c.detectors {
		var others []Member
		for o := range c.detectors {
			if o != m && !c.cut(m, o) {
				others = append(others, Member{memberName(o), c.zones[o]})
			}
		}
		for _, s := range j.Tick(c.now, others, len(c.detectors), true) {
			queue = append(queue, envelope{m, s})
		}
	}
	for len(queue) > 0 {
		msg := queue[0]
		queue = queue[1:]
		var to int
		_, _ = fmt.Sscanf(msg.To, "m%d", &to)
		c.bytes += len(msg.Data)
		if c.cut(msg.from, to) || c.rng.Float64() < c.loss {
			continue
		}
		more, ok := c.detectors[to].Receive(c.now, Member{memberName(msg.from), c.zones[msg.from]}, msg.Data)
		if !ok {
			panic("a detector rejects the message of another one")
		}
		for _, s := range more {
			queue = append(queue, envelope{to, s})
		}
	}
	for m, t := range c.tables {
		t.Expire(c.now)
		for _, x := range t.TakeChanges() {
			if n := 0; !x.InForce {
				name, _ := x.Verdict.Node()
				_, _ = fmt.Sscanf(name, "n%d", &n)
				c.detectors[m].ClearEvidence(uint64(n))
			}
		}
	}
	for m, j := range c.detectors {
		alive := 0
		for o := range c.detectors {
			if !c.cut(m, o) {
				alive++
			}
		}
		for _, x := range j.Outliers(c.now) {
			v, ok := c.tables[m].SickVerdict(c.now, simPeriod, nodeName(x.Node), x)
			if !ok || c.tables[m].CountSick(c.now, x.Zone) >= MaxSick(c.nodes, 0.25, alive, len(c.detectors)) {
				continue
			}
			v, _ = c.tables[m].Issue(c.now, c.now/1000, v)
			for o, t := range c.tables {
				if !c.cut(m, o) {
					t.Merge(c.now, v, 0)
				}
			}
		}
	}
}

// sickNodes returns the subjects of all verdicts by evidence that are in force at any member.
func (c *detectorFleet) sickNodes() (all []string) {
	for _, t := range c.tables {
		for _, e := range t.entries {
			if (e.Kind == SickNode || e.Kind == SickPath) && e.inForce(c.now-e.issuedAt) &&
				!slices.Contains(all, e.What) {
				all = append(all, e.What)
			}
		}
	}
	slices.Sort(all)
	return all
}

// untilSick simulates up to maxPeriods periods until a node is found sick. It returns the number of periods
// before, or -1.
func (c *detectorFleet) untilSick(maxPeriods int) int {
	for i := range maxPeriods {
		if c.period(); len(c.sickNodes()) > 0 {
			return i
		}
	}
	return -1
}

// Sick nodes are found within a window, with a verdict for the members that they are sick for. Healthy nodes
// are never found sick.
func TestEvidence(t *testing.T) {
	failing := func(c *detectorFleet, of func(m, n int) bool) {
		c.outcome = func(m, n int) (Outcome, Micros) {
			if of(m, n) {
				return Failed, 1_000
			}
			return Served, 10_000
		}
	}
	for _, x := range []struct {
		name    string
		members int
		asks    float64
		loss    float64
		begin   func(c *detectorFleet)
		want    string // subjects of the verdicts; empty: there may be none
	}{
		{"failing", 5, 8, 0, func(c *detectorFleet) { failing(c, func(_, n int) bool { return n == 3 }) }, "n3"},
		{"failing, a third of messages lost", 12, 8, 0.3, func(c *detectorFleet) {
			failing(c, func(_, n int) bool { return n == 3 })
		}, "n3"},
		{"slow", 5, 8, 0, func(c *detectorFleet) {
			c.outcome = func(_, n int) (Outcome, Micros) {
				if n == 3 {
					return Served, 600_000
				}
				return Served, 10_000
			}
		}, "n3"},
		{"hedged before it answers", 5, 8, 0, func(c *detectorFleet) {
			c.outcome = func(_, n int) (Outcome, Micros) {
				if n == 3 {
					return Cancelled, 300_000
				}
				return Served, 10_000
			}
		}, "n3"},
		{"loses to hedged requests early", 5, 8, 0, func(c *detectorFleet) {
			c.outcome = func(_, n int) (Outcome, Micros) {
				if n == 3 {
					return HedgeWon, 60_000
				}
				return Served, 20_000
			}
		}, "n3"},
		{"one in ten loses to a hedged request at every node", 5, 8, 0, func(c *detectorFleet) {
			c.outcome = func(int, int) (Outcome, Micros) {
				if c.rng.IntN(10) == 0 {
					return HedgeWon, 60_000
				}
				return Served, 20_000
			}
		}, ""},
		{"unresponsive", 5, 8, 0, func(c *detectorFleet) {
			c.outcome = func(_, n int) (Outcome, Micros) {
				if n == 3 {
					return TimedOut, 500_000
				}
				return Served, 10_000
			}
		}, "n3"},
		{"failing for one zone", 6, 8, 0, func(c *detectorFleet) {
			failing(c, func(m, n int) bool { return n == 3 && c.zones[m] == "a" })
		}, "n3@a"},
		{"one member's links", 5, 8, 0, func(c *detectorFleet) {
			failing(c, func(m, _ int) bool { return m == 1 })
		}, ""},
		{"one member's path to a node", 5, 8, 0, func(c *detectorFleet) {
			failing(c, func(m, n int) bool { return m == 1 && n == 3 })
		}, ""},
		{"all nodes as seen from one zone", 6, 8, 0, func(c *detectorFleet) {
			failing(c, func(m, _ int) bool { return c.zones[m] == "a" })
		}, ""},
		{"everything is slow", 5, 8, 0, func(c *detectorFleet) {
			c.outcome = func(_, n int) (Outcome, Micros) { return TimedOut, 700_000 }
		}, ""},
		{"one in a hundred fails at every node", 5, 8, 0, func(c *detectorFleet) {
			failing(c, func(int, int) bool { return c.rng.IntN(100) == 0 })
		}, ""},
		{"failing for two periods", 12, 3, 0, func(c *detectorFleet) {
			from := c.now
			failing(c, func(_, n int) bool { return n == 3 && c.now < from+2*simPeriod })
		}, ""},
		{"full, not sick", 5, 8, 0, func(c *detectorFleet) {}, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			for seed := range uint64(3) {
				c := newDetectorFleet(x.members, 8, []string{"a", "b"}, x.asks, seed)
				for range 60 {
					c.period()
				}
				x.begin(c)
				took := c.untilSick(2 * Window)
				got := strings.Join(c.sickNodes(), " ")
				if got != x.want || x.want != "" && took > Window {
					t.Errorf("seed %d: %q sick after %d periods, want %q", seed, got, took, x.want)
				}
			}
		})
	}
}

// The checks detect the injected fault that one reporter suffices and no opposing report counts.
func TestDetectsSingleReporter(t *testing.T) {
	c := newDetectorFleet(5, 8, []string{"a", "b"}, 8, 1)
	for _, j := range c.detectors {
		j.FaultSingleReporter = true
	}
	c.outcome = func(m, n int) (Outcome, Micros) {
		if m == 1 && n == 3 {
			return Failed, 1_000
		}
		return Served, 10_000
	}
	if c.untilSick(2*Window) < 0 {
		t.Fatal("no node was found sick by a single reporter")
	}
}

// The sides of a partition together declare no more nodes sick than the share, and a minority issues no
// verdict that rests on one zone only.
func TestEvidenceDuringPartition(t *testing.T) {
	c := newDetectorFleet(5, 16, []string{"a", "b"}, 12, 3)
	c.cut = func(a, b int) bool { return (a < 3) != (b < 3) }
	c.outcome = func(m, n int) (Outcome, Micros) {
		if n < 10 && (n%2 == 0) == (m < 3) {
			return Failed, 1_000
		}
		return Served, 10_000
	}
	for range 3 * Window {
		c.period()
		if got := c.sickNodes(); len(got) > 4 {
			t.Fatalf("sick: %v, more than a quarter of 16 nodes", got)
		}
	}
	if c.untilSick(4*Window) < 0 {
		t.Fatal("no node was found sick")
	}
}

// A node that becomes sick again is ejected for longer each time, and an operator's withdrawal of a verdict
// blocks further ones for some time.
func TestRelapseAndOperatorWithdrawal(t *testing.T) {
	table := NewTable("a")
	now := Micros(1)
	spans := []Micros{}
	for range 7 {
		v, ok := table.SickVerdict(now, simPeriod, "n", Outlier{Reason: "failing"})
		if !ok {
			t.Fatal("no further verdict may be issued")
		}
		v, _ = table.Issue(now, 1, v)
		if _, again := table.SickVerdict(now+1, simPeriod, "n", Outlier{}); again {
			t.Fatal("a verdict may be issued while another is in force")
		}
		spans = append(spans, v.Span/simPeriod)
		now += v.Span
		if _, ok := table.SickVerdict(now+5*simPeriod, simPeriod, "n", Outlier{FirstBadAge: 6}); ok {
			t.Fatal("a verdict may be issued on the evidence of the previous one")
		}
		now += 2 * simPeriod
	}
	if want := []Micros{50, 100, 200, 400, 800, 800, 800}; !slices.Equal(spans, want) {
		t.Errorf("ejected for %v periods, want %v", spans, want)
	}
	now += (relapseSpans + 1) * 800 * simPeriod
	v, _ := table.SickVerdict(now, simPeriod, "n", Outlier{})
	if v.Span != sickSpan*simPeriod {
		t.Errorf("long after the last verdict the node is ejected for %d periods", v.Span/simPeriod)
	}
	v, _ = table.Issue(now, 1, v)
	v.On, v.Span = false, 0
	_, _ = table.Issue(now, 1, v)
	if _, ok := table.SickVerdict(now+withdrawalWindows*Window*simPeriod-1, simPeriod, "n", Outlier{}); ok {
		t.Error("an operator's withdrawal does not block a new verdict")
	}
	if _, ok := table.SickVerdict(now+withdrawalWindows*Window*simPeriod, simPeriod, "n", Outlier{}); !ok {
		t.Error("an operator's withdrawal blocks new verdicts for too long")
	}
}

// For any sick nodes: no shard loses its last node, no more nodes are ejected than the share (or one), and
// another sick node at the end of the list does not bring back one that is ejected.
func TestLimitEjections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cells := rapid.IntRange(1, 5).Draw(t, "cells")
		reach := rapid.IntRange(1, 5).Draw(t, "reach")
		share := rapid.Float64Range(0.01, 0.5).Draw(t, "share")
		var nodes []ListedNode
		for i := range rapid.IntRange(0, 16).Draw(t, "nodes") {
			nodes = append(nodes, ListedNode{uint64(i), rapid.IntRange(0, cells-1).Draw(t, "cell"),
				rapid.IntRange(0, 3).Draw(t, "up") > 0})
		}
		sick := rapid.SliceOfN(rapid.Uint64Range(0, 18), 0, 12).Draw(t, "sick")
		out := LimitEjections(nodes, sick, cells, reach, share)
		if len(out) > max(1, int(share*float64(len(nodes)))) {
			t.Fatalf("%d of %d nodes are ejected", len(out), len(nodes))
		}
		held := func(s int, without map[uint64]bool) bool {
			return slices.ContainsFunc(nodes, func(n ListedNode) bool {
				return n.Up && !without[n.ID] && (n.Cell-s%cells+cells)%cells < reach
			})
		}
		for s := range cells {
			if held(s, nil) && !held(s, out) {
				t.Fatalf("shard %d lost its last node: %v", s, out)
			}
		}
		more := LimitEjections(nodes, append(slices.Clone(sick), 0), cells, reach, share)
		for id := range out {
			if !more[id] {
				t.Fatalf("node %d is not ejected any more after another node became sick", id)
			}
		}
		if len(LimitEjections(nodes, sick, cells, reach, 0)) > 0 {
			t.Fatal("nodes are ejected although the share is 0")
		}
	})
}

// Any input is handled or rejected, and state and messages stay within their bounds.
func FuzzOutlierDetector(f *testing.F) {
	c := newDetectorFleet(3, 4, []string{"a"}, 8, 1)
	c.outcome = func(_, n int) (Outcome, Micros) { return Failed, 1 }
	c.period()
	for _, s := range c.detectors[0].Tick(c.now+simPeriod, []Member{{"m0001", "a"}}, 3, true) {
		f.Add(s.Data)
	}
	f.Add([]byte{msgTallyQuery, 1, 2, 3, 4, 5, 6, 7, 8, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		j := NewOutlierDetector(Member{"m", "a"}, simPeriod, maxMessage)
		out, ok := j.Receive(5*simPeriod, Member{"o", "b"}, data)
		if !ok && len(out) > 0 {
			t.Fatal("a malformed message is answered")
		}
		for _, s := range append(out, j.Tick(6*simPeriod, []Member{{"o", "b"}}, 2, true)...) {
			if len(s.Data) > maxMessage {
				t.Fatalf("a message of %d bytes", len(s.Data))
			}
		}
		j.Outliers(20 * simPeriod)
		if len(j.cases) > maxCases {
			t.Fatal("too many cases")
		}
	})
}

// Memory and messages are bounded when all nodes are sick.
func TestEvidenceIsBounded(t *testing.T) {
	w := NewObserver(simPeriod)
	for n := range uint64(2 * maxNodes) {
		w.Observe(simPeriod, n, int(n), Failed, 1)
		w.Observe(simPeriod, n, int(n), Served, 1)
	}
	if len(w.nodes) > maxNodes || len(w.medians) > maxClasses {
		t.Errorf("%d nodes, %d classes", len(w.nodes), len(w.medians))
	}
	c := newDetectorFleet(30, 200, []string{"a", "b", "c"}, 20, 1)
	c.outcome = func(int, int) (Outcome, Micros) { return Failed, 1 }
	for range 20 {
		c.period()
	}
	if most := 30 * 20 * 2 * (maxReportDatagrams + maxQueried) * maxMessage; c.bytes > most {
		t.Errorf("%d bytes sent, limit %d", c.bytes, most)
	}
	w.Expire(simPeriod * (Window + 3))
	if len(w.nodes) > 0 {
		t.Error("old observations are kept")
	}
}

// BenchmarkObserve measures the cost of one outcome for the core, without the lock.
func BenchmarkObserve(b *testing.B) {
	w := NewObserver(simPeriod)
	b.ReportAllocs()
	for i := range b.N {
		w.Observe(Micros(i), uint64(i%200), i%4, Served, 10_000)
	}
}

// BenchmarkLimitEjections measures one call with a list of 200 nodes, 20 of them sick.
func BenchmarkLimitEjections(b *testing.B) {
	var nodes []ListedNode
	var sick []uint64
	for i := range uint64(200) {
		if nodes = append(nodes, ListedNode{i, int(i % 10), true}); i%10 == 0 {
			sick = append(sick, i)
		}
	}
	for b.Loop() {
		LimitEjections(nodes, sick, 10, 2, 0.25)
	}
}
