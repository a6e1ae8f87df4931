package membership

// An exhaustive check of small fleets: three members, every choice of a bounded number of faults, and for a
// shorter time every order of delivery. States that differ in numbers drawn at random only count as one.

import (
	"encoding/binary"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

const (
	checkPeriod = 3_000
	checkSlot   = checkPeriod / slots
)

// clone copies a view, so that two futures can be tried.
func (v *View) clone() *View {
	c := *v
	rng := *v.rng
	c.rng = &rng
	c.list, c.births = nil, map[uint64]*member{}
	for _, m := range v.list {
		x := *m
		x.votes = slices.Clone(m.votes)
		c.list = append(c.list, &x)
		c.births[x.birth] = &x
	}
	c.round, c.probes, c.watches = slices.Clone(v.round), slices.Clone(v.probes), slices.Clone(v.watches)
	c.knocks = slices.Clone(v.knocks)
	c.news.levels = make([][]item, len(v.news.levels))
	for i := range v.news.levels {
		c.news.levels[i] = slices.Clone(v.news.levels[i])
	}
	if v.claim != nil {
		x := *v.claim
		c.claim = &x
	}
	c.out, c.changes, c.heard = nil, nil, nil
	return &c
}

// flight is a datagram on its way.
type flight struct {
	from, to int
	data     []byte
}

// world is one state of the fleet that is checked.
type world struct {
	now                                        Micros
	views                                      []*View // nil: not running
	flying                                     []flight
	births                                     map[uint64]int
	gone                                       map[uint64]bool // processes that ended
	losses, crashes, starts, swaps, cuts, left int
	path                                       []string
}

func (w *world) clone() *world {
	c := *w
	c.views = slices.Clone(w.views)
	for i, v := range c.views {
		if v != nil {
			c.views[i] = v.clone()
		}
	}
	c.flying = slices.Clone(w.flying)
	c.births, c.gone = maps.Clone(w.births), maps.Clone(w.gone)
	c.path = slices.Clip(w.path)
	return &c
}

func checkAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + i)}), 7946)
}

func (w *world) start(t testing.TB, i int, equal bool) {
	birth := uint64(len(w.births)+1) * 0x1111
	w.births[birth] = len(w.births)
	v, err := New(Config{Name: string(rune('a' + i)), Zone: "z", Addr: checkAddr(i), Birth: birth, Seed: birth,
		Period: checkPeriod, Settings: Settings{Most: 8, Join: []netip.AddrPort{checkAddr(0), checkAddr(1),
			checkAddr(2)}}, Ablate: Ablation{Equal: equal}}, w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.views[i] = v
}

// take puts on their way what a member sends.
func (w *world) take(i int) {
	sends, _, _ := w.views[i].TakeOutput()
	for _, s := range sends {
		to := int(s.To.Addr().As4()[3]) - 1
		w.flying = append(w.flying, flight{from: i, to: to, data: s.Data})
	}
}

// tick lets one slot go by.
func (w *world) tick() {
	w.now += checkSlot
	for i, v := range w.views {
		if v != nil {
			v.Tick(w.now)
			w.take(i)
		}
	}
}

func (w *world) deliver(k int) {
	f := w.flying[k]
	w.flying = slices.Delete(w.flying, k, k+1)
	if v := w.views[f.to]; v != nil {
		v.Receive(w.now, f.data)
		w.take(f.to)
	}
}

// print stands for a state: everything that tells in the future, but for numbers drawn at random.
func (w *world) print() uint64 {
	var b []byte
	put := func(n ...uint64) {
		for _, x := range n {
			b = binary.LittleEndian.AppendUint64(b, x)
		}
	}
	bit := func(on bool) uint64 {
		if on {
			return 1
		}
		return 0
	}
	put(uint64(w.losses), uint64(w.crashes), uint64(w.starts), uint64(w.swaps), uint64(w.cuts))
	for _, v := range w.views {
		if v == nil {
			put(1<<63 + 1)
			continue
		}
		put(v.self.birth, uint64(v.self.inc), uint64(v.slot), bit(v.joining), bit(v.left), uint64(v.health),
			uint64(min(v.now-v.changed, 4*checkPeriod)), uint64(max(v.syncAt-v.now, 0)), uint64(v.syncLeft),
			bit(v.claim != nil))
		for _, m := range v.list {
			put(m.birth, uint64(m.inc), uint64(m.state), bit(m.suspect), bit(m.met), bit(m.told), uint64(len(m.votes)),
				bit(v.now-m.acked < checkPeriod))
			for _, x := range m.votes {
				put(uint64(x))
			}
		}
		for _, x := range v.watches {
			put(x.birth, uint64(v.now-x.since), bit(x.agree), bit(x.voted))
		}
		for _, p := range v.probes {
			if p.round || p.origin != 0 {
				put(p.birth, uint64(v.now-p.sent), uint64(p.asked), uint64(p.nacked), p.origin)
			}
		}
		for l, level := range v.news.levels {
			for _, x := range level {
				put(uint64(l), x.birth, uint64(x.inc), uint64(x.what))
			}
		}
		for _, x := range v.round[min(v.turn, len(v.round)):] {
			put(x)
		}
	}
	for _, f := range w.flying {
		put(uint64(f.from), uint64(f.to), uint64(f.data[0]), uint64(len(f.data)))
		r := read(f.data)
		if h := r.head(); h.kind == kindPing || h.kind == kindNews || h.kind == kindAccuse {
			put(xxhash.Sum64(r.Rest[min(4, len(r.Rest)):]))
		}
	}
	return xxhash.Sum64(b)
}

// shownAs is a view as its digest counts it.
func shownAs(v *View) string {
	s := ""
	for _, m := range v.Members() {
		state := m.State
		if state == Suspect {
			state = Alive
		}
		s += fmt.Sprint(m.Name, state, m.Incarnation, " ", m.Birth, ";")
	}
	return s
}

// invariants names what must not be in a state that followed another.
func (w *world) invariants(before *world) string {
	digests := map[uint64]string{}
	for i, v := range w.views {
		if v == nil {
			continue
		}
		if was, ok := digests[v.digest]; ok && was != shownAs(v) {
			return fmt.Sprintf("one digest stands for %s and %s", was, shownAs(v))
		}
		digests[v.digest] = shownAs(v)
		for _, m := range v.list {
			if b := before.views[i]; w.gone[m.birth] && m.state == Alive && b != nil && b.births[m.birth] != nil &&
				b.births[m.birth].state == Dead {
				return fmt.Sprintf("%s is over, was dead at %s, and is back", m.name, v.self.name)
			}
			if m.state == Dead && w.crashes == 0 && w.cuts == 0 {
				return fmt.Sprintf("%s holds %s dead, which runs and is in reach", v.self.name, m.name)
			}
		}
		if b := before.views[i]; b != nil && b.self.birth == v.self.birth {
			if v.self.inc < b.self.inc {
				return fmt.Sprintf("%s's own incarnation went back", v.self.name)
			}
			for _, m := range b.list {
				if x := v.births[m.birth]; x != nil && x.inc < m.inc {
					return fmt.Sprintf("the incarnation of %s went back at %s", m.name, v.self.name)
				}
			}
		}
	}
	return ""
}

// returns tells that without further faults all who run see one another again.
func (w *world) returns() string {
	c := w.clone()
	for range 60 * slots {
		c.tick()
		for n := 0; len(c.flying) > 0 && n < 10_000; n++ {
			c.deliver(0)
		}
		if c.agree() {
			return ""
		}
	}
	s := ""
	for _, v := range c.views {
		if v != nil {
			s += fmt.Sprintf("%s sees %v; ", v.self.name, v.Members())
		}
	}
	return "no return: " + s
}

func (w *world) agree() bool {
	up, digest := 0, uint64(0)
	for _, v := range w.views {
		if v != nil {
			up++
			digest = v.digest
		}
	}
	for _, v := range w.views {
		if v == nil {
			continue
		}
		alive, trusted := v.alive()
		if v.digest != digest || alive != up || trusted != up {
			return false
		}
	}
	return true
}

// bounds of one search.
type search struct {
	slots, losses, crashes, starts, swaps, cuts int
	anyOrder                                    bool // of delivery
	states                                      int
	equal                                       bool
}

// settled is some members that see one another.
func settled(t testing.TB, members int, equal bool) *world {
	w := &world{now: 1_000_000, views: make([]*View, members), births: map[uint64]int{}, gone: map[uint64]bool{}}
	for i := range w.views {
		w.start(t, i, equal)
	}
	for range 40 * slots {
		w.tick()
		for len(w.flying) > 0 {
			w.deliver(0)
		}
	}
	if !w.agree() {
		t.Fatal("the members never saw one another")
	}
	return w
}

// run searches all states within the bounds, depth first, and returns the first fault with the way to it.
func (s search) run(t testing.TB) (fault string, path []string, states, ends int) {
	first := settled(t, 3, s.equal)
	seen := map[uint64]int8{} // the most slots left with which a state was met
	stack := []*world{first}
	first.left = s.slots
	for len(stack) > 0 && states < s.states {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		p := w.print()
		if left, ok := seen[p]; ok && int(left) >= w.left {
			continue
		}
		seen[p] = int8(w.left)
		states++
		step := func(what string, act func(*world) bool) {
			c := w.clone()
			if !act(c) {
				return
			}
			c.path = append(c.path, what)
			if f := c.invariants(w); f != "" && fault == "" {
				fault, path = f, c.path
			}
			stack = append(stack, c)
		}
		if len(w.flying) == 0 {
			if w.left == 0 {
				ends++
				if f := w.returns(); f != "" {
					return f, w.path, states, ends
				}
				continue
			}
			for i := range w.views {
				if w.crashes < s.crashes && w.views[i] != nil {
					step(fmt.Sprint("crash ", i), func(c *world) bool {
						c.gone[c.views[i].self.birth] = true
						c.views[i], c.crashes = nil, c.crashes+1
						return true
					})
				}
				if w.starts < s.starts && w.views[i] == nil {
					step(fmt.Sprint("start ", i), func(c *world) bool {
						c.start(t, i, s.equal)
						c.starts++
						return true
					})
				}
			}
			step("slot", func(c *world) bool { c.left--; c.tick(); return true })
			for i := range w.views { // pushed last, and so looked at first
				if w.cuts < s.cuts {
					step(fmt.Sprint("slot without ", i), func(c *world) bool {
						c.left--
						c.cuts++
						c.tick()
						c.flying = slices.DeleteFunc(c.flying, func(f flight) bool { return f.from == i || f.to == i })
						return true
					})
				}
			}
		} else {
			choices := 1
			if s.anyOrder {
				choices = len(w.flying)
			} else if w.swaps < s.swaps {
				choices = min(2, len(w.flying))
			}
			for k := range choices {
				what := fmt.Sprint(w.flying[k].from, ">", w.flying[k].to, " kind ", w.flying[k].data[0])
				if w.losses < s.losses {
					step("lose "+what, func(c *world) bool {
						c.flying, c.losses = slices.Delete(c.flying, k, k+1), c.losses+1
						return true
					})
				}
				step("deliver "+what, func(c *world) bool {
					if !s.anyOrder && k > 0 {
						c.swaps++
					}
					c.deliver(k)
					return true
				})
			}
		}
		if fault != "" {
			return fault, path, states, ends
		}
	}
	return fault, path, states, ends
}

// bound is how far a search goes in CI, and with LAPISLEVER_LONG set.
func bound(ci, long int) int {
	if os.Getenv("LAPISLEVER_LONG") != "" {
		return long
	}
	return ci
}

func TestEveryFewFaults(t *testing.T) {
	for _, s := range []struct {
		name string
		search
	}{
		{"losses", search{slots: bound(18, 45), losses: bound(2, 4), states: bound(25_000, 3_000_000)}},
		{"crash and restart", search{slots: bound(30, 60), crashes: 1, starts: 1,
			states: bound(12_000, 1_000_000)}},
		{"crash, restart, loss", search{slots: bound(12, 45), crashes: 1, starts: 1, losses: 1,
			states: bound(20_000, 3_000_000)}},
		{"every order", search{slots: bound(2, 4), anyOrder: true, losses: 1, crashes: 1, starts: 1,
			states: bound(20_000, 3_000_000)}},
		{"a member cut off", search{slots: bound(14, 45), cuts: bound(6, 24), states: bound(12_000, 2_000_000)}},
		{"swaps", search{slots: bound(18, 45), swaps: 2, losses: bound(1, 2), states: bound(20_000, 2_000_000)}},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			fault, path, states, ends := s.run(t)
			t.Logf("%d states, %d ends", states, ends)
			if fault != "" {
				t.Fatalf("%s\nafter %v", fault, path)
			}
		})
	}
}

// A refutation that bears the incarnation which it refutes brings nobody back, and the search finds that.
func TestThePlantedFaultIsFound(t *testing.T) {
	s := search{slots: 45, cuts: 12, states: 100_000, equal: true}
	fault, path, states, _ := s.run(t)
	if fault == "" {
		t.Fatalf("not found in %d states", states)
	}
	t.Logf("found after %d states and %d steps: %s", states, len(path), fault)
}
