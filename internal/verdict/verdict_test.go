package verdict

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const (
	second = 1_000_000
	most   = 190
)

func node(what string, on bool) Verdict { return Verdict{Kind: Node, What: what, On: on} }

// picture is what of a table has to be equal at all who know the same.
func picture(t *Table, now Micros) (s string) {
	for _, e := range t.entries {
		s += fmt.Sprintf("%s %v %d %s ends %v; ", e.What, e.On, e.Stamp, e.Member, e.holds(now-e.born))
	}
	return s
}

// The same entries in any order, split and repeated anyhow, give the same table: the merge is commutative,
// associative and idempotent.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type item struct {
			v   Verdict
			age Micros
		}
		var items []item
		for range rapid.IntRange(1, 12).Draw(t, "n") {
			v := node(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "what"), rapid.Bool().Draw(t, "on"))
			v.Stamp, v.Member = rapid.Uint64Range(1, 6).Draw(t, "stamp"), rapid.SampledFrom([]string{"x",
				"y"}).Draw(t, "m")
			v.On = v.Stamp%2 == 0 // one stamp of one member says one thing
			v.Span = Micros(v.Stamp%3) * second
			items = append(items, item{v, rapid.Int64Range(0, 4*second).Draw(t, "age")})
		}
		merge := func(order []item) string {
			table := NewTable("z")
			for _, x := range order {
				table.Merge(10*second, x.v, x.age)
			}
			return picture(table, 10*second)
		}
		twice := rapid.Permutation(append(slices.Clone(items), items...)).Draw(t, "twice")
		if a, b := merge(items), merge(twice); a != b {
			t.Fatalf("%s\nor\n%s", a, b)
		}
	})
}

// All interleavings of three members and two contradicting verdicts on one thing: each member hears the
// two in either order, or from another that has merged them, and all end with the same one. A merge that
// takes what came last is found to differ.
func TestEveryInterleavingOfTwoContraryVerdicts(t *testing.T) {
	run := func(planted bool) (differ int) {
		for _, gap := range []int64{-90_000, 0, 90_000} { // ms between the clocks of the two who speak
			for order := range 1 << 6 {
				tables := []*Table{NewTable("a"), NewTable("b"), NewTable("c")}
				one, _ := tables[0].Issue(0, 1_000_000, node("n", true))
				two, _ := tables[1].Issue(0, 1_000_000+gap, node("n", false))
				for i, table := range tables {
					list := []Verdict{one, two}
					if order>>i&1 == 1 {
						list = []Verdict{two, one}
					}
					if order>>(3+i)&1 == 1 { // and once more
						list = append(list, list[0])
					}
					for _, v := range list {
						if planted {
							v.Stamp += uint64(table.Len()) + table.clock
						}
						table.Merge(0, v, 0)
					}
				}
				for _, table := range tables[1:] {
					if l, _ := table.Lookup(0, Node, "n"); l.On != func() bool {
						x, _ := tables[0].Lookup(0, Node,
							"n")
						return x.On
					}() {
						differ++
					}
				}
			}
		}
		return differ
	}
	if n := run(false); n > 0 {
		t.Fatalf("%d interleavings end in different verdicts", n)
	}
	if run(true) == 0 {
		t.Fatal("a merge by arrival is not found out")
	}
}

// Who has seen a verdict has the last word, although their clock is minutes behind, or has jumped back.
func TestTheLastWordIsTheLast(t *testing.T) {
	a, b := NewTable("a"), NewTable("b")
	v, _ := a.Issue(0, 9_000_000, node("n", true))
	b.Merge(0, v, 0)
	w, _ := b.Issue(0, 1_000, node("n", false)) // its clock is far behind
	if !a.Merge(0, w, 0) {
		t.Fatal("the later word is not taken")
	}
	x, _ := a.Issue(0, 500, node("n", true)) // a's clock has jumped
	if !b.Merge(0, x, 0) || !x.after(&w) {
		t.Fatal("a clock that jumped back has the last word no more")
	}
}

// A verdict ends by its age, whatever links and clocks do, is not brought back by what is late, and is
// forgotten after its time.
func TestEnds(t *testing.T) {
	a, b := NewTable("a"), NewTable("b")
	v := node("n", true)
	v.Span = 10 * second
	v, _ = a.Issue(0, 1, v)
	b.Merge(4*second, v, 4*second)
	a.Take()
	b.Take()
	for _, table := range []*Table{a, b} {
		table.Expire(9 * second)
		if len(table.Take()) > 0 || len(table.InForce(9*second)) != 1 {
			t.Fatal("it ends early")
		}
		table.Expire(10 * second)
		if c := table.Take(); len(c) != 1 || c[0].InForce || len(table.InForce(10*second)) != 0 {
			t.Fatalf("%+v", c)
		}
		if table.Merge(11*second, v, second) || len(table.InForce(11*second)) > 0 {
			t.Fatal("a late datagram brings it back")
		}
		table.Expire(10*second + KeepEnded)
		if table.Len() != 0 {
			t.Fatal("it is never forgotten")
		}
		if table.Merge(0, v, 10*second+KeepEnded) {
			t.Fatal("what all have forgotten is taken in")
		}
	}
}

func TestTheTableIsBounded(t *testing.T) {
	table := NewTable("a")
	for i := range Most {
		if _, err := table.Issue(0, 0, node(fmt.Sprint("n", i), i > 0)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := table.Issue(0, 0, node("one more", true)); err != nil {
		t.Fatal("the one that was taken back did not make way:", err)
	}
	if _, err := table.Issue(0, 0, node("and one", true)); err == nil || table.Len() != Most {
		t.Fatalf("%d entries", table.Len())
	}
	if _, err := table.Issue(0, 0, node("", true)); err == nil {
		t.Fatal("a verdict on nothing")
	}
}

// net is some members whose messages get lost now and then.
type net struct {
	now   Micros
	all   []*Gossiper
	rng   *rand.Rand
	loss  float64
	sent  int
	sides func(i, j int) bool
}

func newNet(n int, loss float64, seed uint64) *net {
	w := &net{rng: rand.New(rand.NewPCG(seed, 5)), loss: loss, sides: func(int, int) bool { return true }}
	for i := range n {
		w.all = append(w.all, NewGossiper(NewTable(name(i)), seed+uint64(i), most))
	}
	return w
}

func name(i int) string { return fmt.Sprintf("m%04d", i) }

// round is one period: each looks at the sums of a few others, as their probes tell them.
func (w *net) round() {
	w.now += second / 5
	for i, s := range w.all {
		var peers []Peer
		for j, o := range w.all {
			if i == j || !w.sides(i, j) {
				continue
			}
			p := Peer{Name: name(j)}
			for _, known := range s.peers {
				if known.Name == p.Name {
					p.Digest = known.Digest
				}
			}
			if w.rng.IntN(len(w.all)) < 3 { // heard lately
				p.Digest = o.AnnouncedDigest()
			}
			peers = append(peers, p)
		}
		s.Tick(w.now, peers)
	}
	for more := true; more; {
		more = false
		for i, s := range w.all {
			sends, changes := s.TakePending()
			for _, c := range changes {
				s.Applied(c.Verdict)
				s.Push(w.now, c.Verdict)
				more = true
			}
			for _, m := range sends {
				var j int
				_, _ = fmt.Sscanf(m.To, "m%04d", &j)
				w.sent += len(m.Data)
				if len(m.Data) > most {
					panic("a message is too long")
				}
				if w.rng.Float64() >= w.loss && w.sides(i, j) {
					w.all[j].Receive(w.now, name(i), m.Data)
				}
				more = true
			}
		}
	}
}

func (w *net) until(most int, ok func() bool) int {
	for n := range most {
		if ok() {
			return n
		}
		w.round()
	}
	return -1
}

func (w *net) agree() bool {
	for _, s := range w.all {
		if s.Digest() != w.all[0].Digest() || s.Len() != w.all[0].Len() {
			return false
		}
	}
	return true
}

// A verdict reaches all within its bound at 30% loss, its giver knows who holds it, and one who starts from
// nothing is told by others than the giver.
func TestSpreading(t *testing.T) {
	sizes := []int{3, 12, 100}
	if os.Getenv("LAPISLEVER_LONG") != "" {
		sizes = append(sizes, 300, 1000)
	}
	for _, n := range sizes {
		w := newNet(n, 0.3, uint64(n))
		if w.until(200, func() bool {
			for _, s := range w.all {
				if !s.Synced() {
					return false
				}
			}
			return true
		}) < 0 {
			t.Fatal("a fleet that starts anew never finds that there is nothing to be told")
		}
		v, err := w.all[0].Issue(w.now, 1, node("n", true))
		if err != nil {
			t.Fatal(err)
		}
		limit := 4
		for 1<<((limit-4)/2) < n {
			limit += 2
		}
		took := w.until(limit, func() bool {
			for _, s := range w.all {
				if len(s.InForce(w.now)) != 1 {
					return false
				}
			}
			return true
		})
		if took < 0 {
			t.Fatalf("%d members: not within %d periods", n, limit)
		}
		t.Logf("%d members: %d periods", n, took)
		if w.until(20*limit, func() bool { l, _ := w.all[0].Lookup(w.now, Node, "n"); return len(l.HeldBy) == n }) < 0 {
			t.Fatal("its giver never learns who holds it")
		}
		w.all[0] = NewGossiper(NewTable(name(0)), 99, most) // the giver starts anew
		if w.until(limit+4, func() bool { return len(w.all[0].InForce(w.now)) == 1 && w.all[0].Synced() }) < 0 {
			t.Fatal("who starts from nothing is not told")
		}
		if w.all[0].entries[0].Stamp != v.Stamp {
			t.Fatal("told something else")
		}
	}
}

// Of many that start from nothing at once none passes for one that knows: they are told by the one that does,
// and where nobody does, each goes on after a few periods.
func TestTheUntoldDoNotTellEachOther(t *testing.T) {
	w := newNet(6, 0, 9)
	if w.until(30, func() bool { return w.all[5].Synced() }) < untoldFor {
		t.Fatal("told at once, by those who know nothing")
	}
	for range 10 {
		w.round()
	}
	if _, err := w.all[0].Issue(w.now, 1, node("n", true)); err != nil {
		t.Fatal(err)
	}
	w.round()
	for i := 1; i < 6; i++ {
		w.all[i] = NewGossiper(NewTable(name(i)), uint64(50+i), most)
	}
	for range 20 {
		w.round()
		for _, s := range w.all {
			if s.Synced() && len(s.InForce(w.now)) != 1 {
				t.Fatal("held to be told, and knows nothing")
			}
		}
	}
	if !w.all[5].Synced() {
		t.Fatal("never told")
	}
}

// A thousand at once arrive at all, in bounded messages a period; and so do those of both sides of a cut.
func TestManyAtOnce(t *testing.T) {
	w := newNet(8, 0.1, 7)
	for range 40 {
		w.round()
	}
	for i := range 1000 {
		if _, err := w.all[i%3].Issue(w.now, 1, node(fmt.Sprintf("node-%04d", i), true)); err != nil {
			t.Fatal(err)
		}
	}
	took := w.until(400, w.agree)
	if took < 0 || w.all[5].Len() != 1000 {
		t.Fatalf("%d of 1000 after 400 periods", w.all[5].Len())
	}
	t.Logf("1000 verdicts at 8 members: %d periods, %d bytes a member and period", took, w.sent/8/max(1, took))
	w.sides = func(i, j int) bool { return (i < 4) == (j < 4) }
	for i := range 60 {
		_, _ = w.all[0].Issue(w.now, 5, node(fmt.Sprintf("node-%04d", i), false))
		_, _ = w.all[7].Issue(w.now, 5, node(fmt.Sprintf("node-%04d", i+30), false))
		w.round()
	}
	w.sides = func(int, int) bool { return true }
	if w.until(100, w.agree) < 0 {
		t.Fatal("no one table after the heal")
	}
}

func FuzzReceive(f *testing.F) {
	w := newNet(2, 0, 3)
	w.round()
	_, _ = w.all[0].Issue(w.now, 1, Verdict{Kind: Node, What: "n", On: true, By: "ops", Reason: "disk",
		Span: 60 * second})
	for _, s := range w.all {
		s.Tick(w.now, []Peer{{Name: name(0), Digest: 5}, {Name: name(1), Digest: 7}})
		sends, _ := s.TakePending()
		for _, m := range sends {
			f.Add(m.Data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewGossiper(NewTable("z"), 1, most)
		s.Tick(0, []Peer{{Name: "y", Digest: 9}})
		_, _ = s.Issue(0, 1, node("n", true))
		s.Receive(second, "y", data)
		sends, _ := s.TakePending()
		for _, m := range sends {
			if len(m.Data) > most {
				t.Fatalf("%d bytes", len(m.Data))
			}
		}
		if s.Len() > 1+len(data)/34 {
			t.Fatalf("%d entries of %d bytes", s.Len(), len(data))
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	table := NewTable("a")
	for i := range 1000 {
		_, _ = table.Issue(0, 0, node(fmt.Sprintf("node-%04d", i), true))
	}
	v := node("node-0500", true)
	v.Member = "b"
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		v.Stamp = uint64(i + 10_000)
		table.Merge(0, v, 0)
		table.changes = table.changes[:0]
	}
}
