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

// court is a fleet of juries on virtual time before data nodes that may be sick. Each member avoids a node
// for a while after a bad outcome, as its module does.
type court struct {
	rng     *rand.Rand
	juries  []*OutlierDetector
	tables  []*Table
	zones   []string
	now     Micros
	nodes   int
	asks    float64                          // of a member in a period
	loss    float64                          // of messages
	cut     func(a, b int) bool              // between members
	outcome func(m, n int) (Outcome, Micros) // of a member's attempt at a node
	avoid   [][]Micros
	tries   [][]int // by member and node, while that was open to it
	bytes   int
}

func newCourt(members, nodes int, zones []string, asks float64, seed uint64) *court {
	c := &court{rng: rand.New(rand.NewPCG(seed, 2)), nodes: nodes, asks: asks, now: 1_000 * simPeriod}
	for i := range members {
		z := zones[i%len(zones)]
		c.zones = append(c.zones, z)
		c.juries = append(c.juries, NewOutlierDetector(Member{name(i), z}, simPeriod, most))
		c.tables = append(c.tables, NewTable(name(i)))
		c.avoid = append(c.avoid, make([]Micros, nodes))
		c.tries = append(c.tries, make([]int, nodes))
	}
	c.cut = func(int, int) bool { return false }
	c.outcome = func(int, int) (Outcome, Micros) { return Served, 10_000 }
	return c
}

func nodeName(n uint64) string { return fmt.Sprintf("n%d", n) }

// out tells that a member holds a node to be out.
func (c *court) out(m, n int) bool {
	for _, v := range c.tables[m].SickVerdicts(c.now, nodeName(uint64(n))) {
		if _, z := v.Node(); z == "" || z == c.zones[m] {
			return true
		}
	}
	return false
}

// period lets one pass: attempts, then messages, then judgements, which all in reach merge at once.
func (c *court) period() {
	c.now += simPeriod
	for m, j := range c.juries {
		k := int(c.asks)
		if c.rng.Float64() < c.asks-float64(k) {
			k++
		}
		for range k {
			n := c.rng.IntN(c.nodes)
			if c.avoid[m][n] > c.now || c.out(m, n) {
				continue
			}
			c.tries[m][n]++
			e, took := c.outcome(m, n)
			if took += Micros(c.rng.IntN(4_000)); e != Served || took > 400_000 {
				c.avoid[m][n] = c.now + Micros(20+c.rng.IntN(20))*simPeriod
			}
			j.Observe(c.now, uint64(n), 0, e, took)
		}
	}
	type letter struct {
		from int
		Message
	}
	var post []letter
	for m, j := range c.juries {
		var others []Member
		for o := range c.juries {
			if o != m && !c.cut(m, o) {
				others = append(others, Member{name(o), c.zones[o]})
			}
		}
		for _, s := range j.Tick(c.now, others, len(c.juries), true) {
			post = append(post, letter{m, s})
		}
	}
	for len(post) > 0 {
		l := post[0]
		post = post[1:]
		var to int
		_, _ = fmt.Sscanf(l.To, "m%d", &to)
		c.bytes += len(l.Data)
		if c.cut(l.from, to) || c.rng.Float64() < c.loss {
			continue
		}
		more, ok := c.juries[to].Receive(c.now, Member{name(l.from), c.zones[l.from]}, l.Data)
		if !ok {
			panic("a message of a jury is none")
		}
		for _, s := range more {
			post = append(post, letter{to, s})
		}
	}
	for m, t := range c.tables {
		t.Expire(c.now)
		for _, x := range t.Take() {
			if n := 0; !x.InForce {
				name, _ := x.Verdict.Node()
				_, _ = fmt.Sscanf(name, "n%d", &n)
				c.juries[m].ClearEvidence(uint64(n))
			}
		}
	}
	for m, j := range c.juries {
		alive := 0
		for o := range c.juries {
			if !c.cut(m, o) {
				alive++
			}
		}
		for _, x := range j.Outliers(c.now) {
			v, ok := c.tables[m].SickVerdict(c.now, simPeriod, nodeName(x.Node), x)
			if !ok || c.tables[m].CountSick(c.now, x.Zone) >= MaxSick(c.nodes, 0.25, alive, len(c.juries)) {
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

// judged are all that any member holds to be sick now.
func (c *court) judged() (all []string) {
	for _, t := range c.tables {
		for _, e := range t.entries {
			if (e.Kind == SickNode || e.Kind == SickPath) && e.holds(c.now-e.born) && !slices.Contains(all, e.What) {
				all = append(all, e.What)
			}
		}
	}
	slices.Sort(all)
	return all
}

// untilJudged lets periods pass until something is judged, and returns how many, or -1.
func (c *court) untilJudged(most int) int {
	for i := range most {
		if c.period(); len(c.judged()) > 0 {
			return i
		}
	}
	return -1
}

// What is sick is judged, by what it is sick for, within a window; what is not is never judged.
func TestEvidence(t *testing.T) {
	failing := func(c *court, of func(m, n int) bool) {
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
		begin   func(c *court)
		want    string // judged; empty: nothing may be
	}{
		{"failing", 5, 8, 0, func(c *court) { failing(c, func(_, n int) bool { return n == 3 }) }, "n3"},
		{"failing, a third of messages lost", 12, 8, 0.3, func(c *court) {
			failing(c, func(_, n int) bool { return n == 3 })
		}, "n3"},
		{"slow", 5, 8, 0, func(c *court) {
			c.outcome = func(_, n int) (Outcome, Micros) {
				if n == 3 {
					return Served, 600_000
				}
				return Served, 10_000
			}
		}, "n3"},
		{"hedged before it answers", 5, 8, 0, func(c *court) {
			c.outcome = func(_, n int) (Outcome, Micros) {
				if n == 3 {
					return Cancelled, 300_000
				}
				return Served, 10_000
			}
		}, "n3"},
		{"beaten by hedged requests, soon", 5, 8, 0, func(c *court) {
			c.outcome = func(_, n int) (Outcome, Micros) {
				if n == 3 {
					return HedgeWon, 60_000
				}
				return Served, 20_000
			}
		}, "n3"},
		{"one in ten is beaten anywhere", 5, 8, 0, func(c *court) {
			c.outcome = func(int, int) (Outcome, Micros) {
				if c.rng.IntN(10) == 0 {
					return HedgeWon, 60_000
				}
				return Served, 20_000
			}
		}, ""},
		{"deaf", 5, 8, 0, func(c *court) {
			c.outcome = func(_, n int) (Outcome, Micros) {
				if n == 3 {
					return TimedOut, 500_000
				}
				return Served, 10_000
			}
		}, "n3"},
		{"deaf to one zone", 6, 8, 0, func(c *court) {
			failing(c, func(m, n int) bool { return n == 3 && c.zones[m] == "a" })
		}, "n3@a"},
		{"one member's links", 5, 8, 0, func(c *court) { failing(c, func(m, _ int) bool { return m == 1 }) }, ""},
		{"one member's way to a node", 5, 8, 0, func(c *court) {
			failing(c, func(m, n int) bool { return m == 1 && n == 3 })
		}, ""},
		{"all that one zone reaches", 6, 8, 0, func(c *court) {
			failing(c, func(m, _ int) bool { return c.zones[m] == "a" })
		}, ""},
		{"everything is slow", 5, 8, 0, func(c *court) {
			c.outcome = func(_, n int) (Outcome, Micros) { return TimedOut, 700_000 }
		}, ""},
		{"one in a hundred fails anywhere", 5, 8, 0, func(c *court) {
			failing(c, func(int, int) bool { return c.rng.IntN(100) == 0 })
		}, ""},
		{"a blink", 12, 3, 0, func(c *court) {
			from := c.now
			failing(c, func(_, n int) bool { return n == 3 && c.now < from+2*simPeriod })
		}, ""},
		{"full, not sick", 5, 8, 0, func(c *court) {}, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			for seed := range uint64(3) {
				c := newCourt(x.members, 8, []string{"a", "b"}, x.asks, seed)
				for range 60 {
					c.period()
				}
				x.begin(c)
				took := c.untilJudged(2 * Window)
				got := strings.Join(c.judged(), " ")
				if got != x.want || x.want != "" && took > Window {
					t.Errorf("seed %d: %q judged after %d periods, not %q", seed, got, took, x.want)
				}
			}
		})
	}
}

// That one member's word is enough, and nobody's against it counts, is a fault that these checks find.
func TestOneAccuserIsFound(t *testing.T) {
	c := newCourt(5, 8, []string{"a", "b"}, 8, 1)
	for _, j := range c.juries {
		j.Credulous = true
	}
	c.outcome = func(m, n int) (Outcome, Micros) {
		if m == 1 && n == 3 {
			return Failed, 1_000
		}
		return Served, 10_000
	}
	if c.untilJudged(2*Window) < 0 {
		t.Fatal("nothing is judged by one accuser")
	}
}

// Sides that are cut off from each other together hold no more to be sick than the share, and a minority
// gives no word that only one zone is behind.
func TestEvidenceWhileCut(t *testing.T) {
	c := newCourt(5, 16, []string{"a", "b"}, 12, 3)
	c.cut = func(a, b int) bool { return (a < 3) != (b < 3) }
	c.outcome = func(m, n int) (Outcome, Micros) {
		if n < 10 && (n%2 == 0) == (m < 3) {
			return Failed, 1_000
		}
		return Served, 10_000
	}
	for range 3 * Window {
		c.period()
		if got := c.judged(); len(got) > 4 {
			t.Fatalf("%v: more than a quarter of 16", got)
		}
	}
	if c.untilJudged(4*Window) < 0 {
		t.Fatal("nothing is ever judged")
	}
}

// A node that comes back sick is out for longer each time; an operator's word against a judgement holds.
func TestRelapseAndPardon(t *testing.T) {
	table := NewTable("a")
	now := Micros(1)
	spans := []Micros{}
	for range 7 {
		v, ok := table.SickVerdict(now, simPeriod, "n", Outlier{Reason: "failing"})
		if !ok {
			t.Fatal("not judged again")
		}
		v, _ = table.Issue(now, 1, v)
		if _, again := table.SickVerdict(now+1, simPeriod, "n", Outlier{}); again {
			t.Fatal("judged while it is out")
		}
		spans = append(spans, v.Span/simPeriod)
		now += v.Span
		if _, ok := table.SickVerdict(now+5*simPeriod, simPeriod, "n", Outlier{Since: 6}); ok {
			t.Fatal("judged by what it was judged by before")
		}
		now += 2 * simPeriod
	}
	if want := []Micros{50, 100, 200, 400, 800, 800, 800}; !slices.Equal(spans, want) {
		t.Errorf("out for %v periods, not %v", spans, want)
	}
	now += (relapse + 1) * 800 * simPeriod
	v, _ := table.SickVerdict(now, simPeriod, "n", Outlier{})
	if v.Span != sickSpan*simPeriod {
		t.Errorf("long after its last illness it is out for %d periods", v.Span/simPeriod)
	}
	v, _ = table.Issue(now, 1, v)
	v.On, v.Span = false, 0
	_, _ = table.Issue(now, 1, v)
	if _, ok := table.SickVerdict(now+pardon*Window*simPeriod-1, simPeriod, "n", Outlier{}); ok {
		t.Error("an operator's word against it does not hold")
	}
	if _, ok := table.SickVerdict(now+pardon*Window*simPeriod, simPeriod, "n", Outlier{}); !ok {
		t.Error("it holds forever")
	}
}

// Whatever is judged: no shard is without a node, no more are out than the share (or one), the first to be
// judged go first, and one more judgement takes none out of it that was judged before.
func TestGuard(t *testing.T) {
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
			t.Fatalf("%d of %d are out", len(out), len(nodes))
		}
		held := func(s int, without map[uint64]bool) bool {
			return slices.ContainsFunc(nodes, func(n ListedNode) bool {
				return n.Up && !without[n.ID] && (n.Cell-s%cells+cells)%cells < reach
			})
		}
		for s := range cells {
			if held(s, nil) && !held(s, out) {
				t.Fatalf("shard %d has lost its last node: %v", s, out)
			}
		}
		more := LimitEjections(nodes, append(slices.Clone(sick), 0), cells, reach, share)
		for id := range out {
			if !more[id] {
				t.Fatalf("%d is in again for one more judgement", id)
			}
		}
		if len(LimitEjections(nodes, sick, cells, reach, 0)) > 0 {
			t.Fatal("some are out where none may be")
		}
	})
}

// Any bytes are taken or turned down, and nothing grows beyond its bound.
func FuzzJury(f *testing.F) {
	c := newCourt(3, 4, []string{"a"}, 8, 1)
	c.outcome = func(_, n int) (Outcome, Micros) { return Failed, 1 }
	c.period()
	for _, s := range c.juries[0].Tick(c.now+simPeriod, []Member{{"m0001", "a"}}, 3, true) {
		f.Add(s.Data)
	}
	f.Add([]byte{msgQuest, 1, 2, 3, 4, 5, 6, 7, 8, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		j := NewOutlierDetector(Member{"m", "a"}, simPeriod, most)
		out, ok := j.Receive(5*simPeriod, Member{"o", "b"}, data)
		if !ok && len(out) > 0 {
			t.Fatal("what is none is answered")
		}
		for _, s := range append(out, j.Tick(6*simPeriod, []Member{{"o", "b"}}, 2, true)...) {
			if len(s.Data) > most {
				t.Fatalf("a message of %d bytes", len(s.Data))
			}
		}
		j.Outliers(20 * simPeriod)
		if len(j.trials) > mostCases {
			t.Fatal("too many cases")
		}
	})
}

// Memory and messages are bounded where everything is sick.
func TestEvidenceIsBounded(t *testing.T) {
	w := NewWitness(simPeriod)
	for n := range uint64(2 * mostNodes) {
		w.Observe(simPeriod, n, int(n), Failed, 1)
		w.Observe(simPeriod, n, int(n), Served, 1)
	}
	if len(w.nodes) > mostNodes || len(w.usual) > mostKinds {
		t.Errorf("%d nodes, %d classes", len(w.nodes), len(w.usual))
	}
	c := newCourt(30, 200, []string{"a", "b", "c"}, 20, 1)
	c.outcome = func(int, int) (Outcome, Micros) { return Failed, 1 }
	for range 20 {
		c.period()
	}
	if most := 30 * 20 * 2 * (jurySends + mostAsked) * most; c.bytes > most {
		t.Errorf("%d bytes, where %d may be", c.bytes, most)
	}
	w.Expire(simPeriod * (Window + 3))
	if len(w.nodes) > 0 {
		t.Error("old evidence is kept")
	}
}

// BenchmarkSee is what the core pays for one outcome, beside a lock.
func BenchmarkSee(b *testing.B) {
	w := NewWitness(simPeriod)
	b.ReportAllocs()
	for i := range b.N {
		w.Observe(Micros(i), uint64(i%200), i%4, Served, 10_000)
	}
}

// BenchmarkGuard is one look at a list of 200 with 20 judged.
func BenchmarkGuard(b *testing.B) {
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
