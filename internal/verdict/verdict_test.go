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
	second     = 1_000_000
	maxMessage = 190
)

func nodeVerdict(what string, on bool) Verdict { return Verdict{Kind: Node, What: what, On: on} }

// summary describes the part of a table that must be equal at all members with the same knowledge.
func summary(t *Table, now Micros) (s string) {
	for _, e := range t.entries {
		s += fmt.Sprintf("%s %v %d %s ends %v; ", e.What, e.On, e.Stamp, e.Member, e.inForce(now-e.issuedAt))
	}
	return s
}

// The same entries in any order and with repetitions give the same table: the merge is commutative,
// associative and idempotent.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type item struct {
			v   Verdict
			age Micros
		}
		var items []item
		for range rapid.IntRange(1, 12).Draw(t, "n") {
			v := nodeVerdict(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "what"), rapid.Bool().Draw(t, "on"))
			v.Stamp, v.Member = rapid.Uint64Range(1, 6).Draw(t, "stamp"), rapid.SampledFrom([]string{"x",
				"y"}).Draw(t, "m")
			v.On = v.Stamp%2 == 0 // entries with the same stamp and member are equal
			v.Span = Micros(v.Stamp%3) * second
			items = append(items, item{v, rapid.Int64Range(0, 4*second).Draw(t, "age")})
		}
		merge := func(order []item) string {
			table := NewTable("z")
			for _, x := range order {
				table.Merge(10*second, x.v, x.age)
			}
			return summary(table, 10*second)
		}
		twice := rapid.Permutation(append(slices.Clone(items), items...)).Draw(t, "twice")
		if a, b := merge(items), merge(twice); a != b {
			t.Fatalf("%s\nor\n%s", a, b)
		}
	})
}

// All interleavings of two contradicting verdicts on one subject at three members: each member receives the
// two in either order, and possibly one of them twice, and all end with the same one. With an injected fault,
// a merge that keeps the last arrival, they differ.
func TestInterleavingsOfContraryVerdicts(t *testing.T) {
	run := func(injectFault bool) (differ int) {
		for _, gap := range []int64{-90_000, 0, 90_000} { // ms between the clocks of the two issuers
			for order := range 1 << 6 {
				tables := []*Table{NewTable("a"), NewTable("b"), NewTable("c")}
				one, _ := tables[0].Issue(0, 1_000_000, nodeVerdict("n", true))
				two, _ := tables[1].Issue(0, 1_000_000+gap, nodeVerdict("n", false))
				for i, table := range tables {
					list := []Verdict{one, two}
					if order>>i&1 == 1 {
						list = []Verdict{two, one}
					}
					if order>>(3+i)&1 == 1 { // receive the first one again
						list = append(list, list[0])
					}
					for _, v := range list {
						if injectFault {
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
		t.Fatal("the fault of a merge by order of arrival is not detected")
	}
}

// A verdict issued with knowledge of another one supersedes it, even if the issuer's clock is far behind or
// has jumped back.
func TestLaterVerdictWins(t *testing.T) {
	a, b := NewTable("a"), NewTable("b")
	v, _ := a.Issue(0, 9_000_000, nodeVerdict("n", true))
	b.Merge(0, v, 0)
	w, _ := b.Issue(0, 1_000, nodeVerdict("n", false)) // b's clock is far behind
	if !a.Merge(0, w, 0) {
		t.Fatal("the later verdict is not merged")
	}
	x, _ := a.Issue(0, 500, nodeVerdict("n", true)) // a's clock has jumped back
	if !b.Merge(0, x, 0) || !x.supersedes(&w) {
		t.Fatal("a verdict issued after a clock jumped back does not supersede the earlier one")
	}
}

// A verdict ends by its age, independently of delays and of the time of its arrival. A late message does not
// bring it back, and it is removed after the retention time.
func TestVerdictsExpire(t *testing.T) {
	a, b := NewTable("a"), NewTable("b")
	v := nodeVerdict("n", true)
	v.Span = 10 * second
	v, _ = a.Issue(0, 1, v)
	b.Merge(4*second, v, 4*second)
	a.TakeChanges()
	b.TakeChanges()
	for _, table := range []*Table{a, b} {
		table.Expire(9 * second)
		if len(table.TakeChanges()) > 0 || len(table.InForce(9*second)) != 1 {
			t.Fatal("the verdict ends early")
		}
		table.Expire(10 * second)
		if c := table.TakeChanges(); len(c) != 1 || c[0].InForce || len(table.InForce(10*second)) != 0 {
			t.Fatalf("%+v", c)
		}
		if table.Merge(11*second, v, second) || len(table.InForce(11*second)) > 0 {
			t.Fatal("a late message brings the verdict back")
		}
		table.Expire(10*second + RetainEnded)
		if table.Len() != 0 {
			t.Fatal("the verdict is not removed")
		}
		if table.Merge(0, v, 10*second+RetainEnded) {
			t.Fatal("an outdated verdict is merged")
		}
	}
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable("a")
	for i := range MaxEntries {
		if _, err := table.Issue(0, 0, nodeVerdict(fmt.Sprint("n", i), i > 0)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := table.Issue(0, 0, nodeVerdict("one more", true)); err != nil {
		t.Fatal("the withdrawn verdict was not evicted:", err)
	}
	if _, err := table.Issue(0, 0, nodeVerdict("and one", true)); err == nil || table.Len() != MaxEntries {
		t.Fatalf("%d entries", table.Len())
	}
	if _, err := table.Issue(0, 0, nodeVerdict("", true)); err == nil {
		t.Fatal("a verdict without a subject was issued")
	}
}

// gossipNet simulates members with lossy links.
type gossipNet struct {
	now       Micros
	members   []*Gossiper
	rng       *rand.Rand
	loss      float64
	sent      int
	connected func(i, j int) bool
}

func newGossipNet(n int, loss float64, seed uint64) *gossipNet {
	w := &gossipNet{rng: rand.New(rand.NewPCG(seed, 5)), loss: loss,
		connected: func(int, int) bool { return true }}
	for i := range n {
		w.members = append(w.members, NewGossiper(NewTable(memberName(i)), seed+uint64(i), maxMessage))
	}
	return w
}

func memberName(i int) string { return fmt.Sprintf("m%04d", i) }

// round simulates one period: each member learns the digests of a few others, as from their probes.
func (w *gossipNet) round() {
	w.now += second / 5
	for i, s := range w.members {
		var peers []Peer
		for j, o := range w.members {
			if i == j || !w.connected(i, j) {
				continue
			}
			p := Peer{Name: memberName(j)}
			for _, known := range s.peers {
				if known.Name == p.Name {
					p.Digest = known.Digest
				}
			}
			if w.rng.IntN(len(w.members)) < 3 { // probed in this period
				p.Digest = o.AnnouncedDigest()
			}
			peers = append(peers, p)
		}
		s.Tick(w.now, peers)
	}
	for active := true; active; {
		active = false
		for i, s := range w.members {
			messages, changes := s.TakePending()
			for _, c := range changes {
				s.Applied(c.Verdict)
				s.Push(w.now, c.Verdict)
				active = true
			}
			for _, m := range messages {
				var j int
				_, _ = fmt.Sscanf(m.To, "m%04d", &j)
				w.sent += len(m.Data)
				if len(m.Data) > maxMessage {
					panic("a message exceeds the maximum size")
				}
				if w.rng.Float64() >= w.loss && w.connected(i, j) {
					w.members[j].Receive(w.now, memberName(i), m.Data)
				}
				active = true
			}
		}
	}
}

func (w *gossipNet) runUntil(maxRounds int, ok func() bool) int {
	for n := range maxRounds {
		if ok() {
			return n
		}
		w.round()
	}
	return -1
}

func (w *gossipNet) agree() bool {
	for _, s := range w.members {
		if s.Digest() != w.members[0].Digest() || s.Len() != w.members[0].Len() {
			return false
		}
	}
	return true
}

// With 30% loss a verdict reaches all members within the bound, its issuer learns which members have it, and
// an issuer that restarts without state gets it back from the others.
func TestGossip(t *testing.T) {
	sizes := []int{3, 12, 100}
	if os.Getenv("LAPISLEVER_LONG") != "" {
		sizes = append(sizes, 300, 1000)
	}
	for _, n := range sizes {
		w := newGossipNet(n, 0.3, uint64(n))
		if w.runUntil(200, func() bool {
			for _, s := range w.members {
				if !s.Synced() {
					return false
				}
			}
			return true
		}) < 0 {
			t.Fatal("a new fleet does not become synced")
		}
		v, err := w.members[0].Issue(w.now, 1, nodeVerdict("n", true))
		if err != nil {
			t.Fatal(err)
		}
		limit := 4
		for 1<<((limit-4)/2) < n {
			limit += 2
		}
		took := w.runUntil(limit, func() bool {
			for _, s := range w.members {
				if len(s.InForce(w.now)) != 1 {
					return false
				}
			}
			return true
		})
		if took < 0 {
			t.Fatalf("%d members: the verdict did not reach all within %d periods", n, limit)
		}
		t.Logf("%d members: %d periods", n, took)
		if w.runUntil(20*limit, func() bool {
			l, _ := w.members[0].Lookup(w.now, Node, "n")
			return len(l.HeldBy) == n
		}) < 0 {
			t.Fatal("the issuer does not learn which members have the verdict")
		}
		w.members[0] = NewGossiper(NewTable(memberName(0)), 99, maxMessage) // the issuer restarts
		if w.runUntil(limit+4, func() bool {
			return len(w.members[0].InForce(w.now)) == 1 && w.members[0].Synced()
		}) < 0 {
			t.Fatal("a member that restarts without state does not get the verdict")
		}
		if w.members[0].entries[0].Stamp != v.Stamp {
			t.Fatal("the restarted member got a different verdict")
		}
	}
}

// Members that restart without state at the same time do not sync with each other but with the one that has
// the table. If no member has it, each becomes synced after a few periods.
func TestUnsyncedMembersDoNotSyncEachOther(t *testing.T) {
	w := newGossipNet(6, 0, 9)
	if w.runUntil(30, func() bool { return w.members[5].Synced() }) < unsyncedPeriods {
		t.Fatal("synced immediately by members without a table")
	}
	for range 10 {
		w.round()
	}
	if _, err := w.members[0].Issue(w.now, 1, nodeVerdict("n", true)); err != nil {
		t.Fatal(err)
	}
	w.round()
	for i := 1; i < 6; i++ {
		w.members[i] = NewGossiper(NewTable(memberName(i)), uint64(50+i), maxMessage)
	}
	for range 20 {
		w.round()
		for _, s := range w.members {
			if s.Synced() && len(s.InForce(w.now)) != 1 {
				t.Fatal("a member is synced without having the verdict")
			}
		}
	}
	if !w.members[5].Synced() {
		t.Fatal("a restarted member does not become synced")
	}
}

// A thousand verdicts at once reach all members with a bounded number of messages per period, and after a
// partition so do the verdicts of both sides.
func TestManyVerdictsAtOnce(t *testing.T) {
	w := newGossipNet(8, 0.1, 7)
	for range 40 {
		w.round()
	}
	for i := range 1000 {
		if _, err := w.members[i%3].Issue(w.now, 1, nodeVerdict(fmt.Sprintf("node-%04d", i), true)); err != nil {
			t.Fatal(err)
		}
	}
	took := w.runUntil(400, w.agree)
	if took < 0 || w.members[5].Len() != 1000 {
		t.Fatalf("%d of 1000 verdicts after 400 periods", w.members[5].Len())
	}
	t.Logf("1000 verdicts at 8 members: %d periods, %d bytes per member and period", took, w.sent/8/max(1, took))
	w.connected = func(i, j int) bool { return (i < 4) == (j < 4) }
	for i := range 60 {
		_, _ = w.members[0].Issue(w.now, 5, nodeVerdict(fmt.Sprintf("node-%04d", i), false))
		_, _ = w.members[7].Issue(w.now, 5, nodeVerdict(fmt.Sprintf("node-%04d", i+30), false))
		w.round()
	}
	w.connected = func(int, int) bool { return true }
	if w.runUntil(100, w.agree) < 0 {
		t.Fatal("the tables differ after the partition has healed")
	}
}

func FuzzReceive(f *testing.F) {
	w := newGossipNet(2, 0, 3)
	w.round()
	_, _ = w.members[0].Issue(w.now, 1, Verdict{Kind: Node, What: "n", On: true, By: "ops", Reason: "disk",
		Span: 60 * second})
	for _, s := range w.members {
		s.Tick(w.now, []Peer{{Name: memberName(0), Digest: 5}, {Name: memberName(1), Digest: 7}})
		sends, _ := s.TakePending()
		for _, m := range sends {
			f.Add(m.Data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewGossiper(NewTable("z"), 1, maxMessage)
		s.Tick(0, []Peer{{Name: "y", Digest: 9}})
		_, _ = s.Issue(0, 1, nodeVerdict("n", true))
		s.Receive(second, "y", data)
		sends, _ := s.TakePending()
		for _, m := range sends {
			if len(m.Data) > maxMessage {
				t.Fatalf("a message of %d bytes", len(m.Data))
			}
		}
		if s.Len() > 1+len(data)/34 {
			t.Fatalf("%d entries from a message of %d bytes", s.Len(), len(data))
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	table := NewTable("a")
	for i := range 1000 {
		_, _ = table.Issue(0, 0, nodeVerdict(fmt.Sprintf("node-%04d", i), true))
	}
	v := nodeVerdict("node-0500", true)
	v.Member = "b"
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		v.Stamp = uint64(i + 10_000)
		table.Merge(0, v, 0)
		table.changes = table.changes[:0]
	}
}
