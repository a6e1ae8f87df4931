package membership

// Exhaustive check of small fleets: three members, every combination of a bounded number of faults, and for a
// shorter time every order of delivery. States that differ only in randomly drawn numbers are treated as one.

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
	checkSlot   = checkPeriod / slotsPerPeriod
)

// clone copies a view, so that the search can branch.
func (v *View) clone() *View {
	c := *v
	rng := *v.rng
	c.rng = &rng
	c.members, c.byBirth = nil, map[uint64]*member{}
	for _, m := range v.members {
		x := *m
		x.votes = slices.Clone(m.votes)
		c.members = append(c.members, &x)
		c.byBirth[x.birth] = &x
	}
	c.probeOrder, c.probes, c.watches = slices.Clone(v.probeOrder), slices.Clone(v.probes),
		slices.Clone(v.watches)
	c.candidates = slices.Clone(v.candidates)
	c.updates.bySends = make([][]queuedUpdate, len(v.updates.bySends))
	for i := range v.updates.bySends {
		c.updates.bySends[i] = slices.Clone(v.updates.bySends[i])
	}
	if v.claim != nil {
		x := *v.claim
		c.claim = &x
	}
	c.outgoing, c.changes, c.appMessages = nil, nil, nil
	return &c
}

// inFlightDatagram is a datagram that has not been delivered yet.
type inFlightDatagram struct {
	from, to int
	data     []byte
}

// world is one state of the simulated fleet.
type world struct {
	now                                                         Micros
	views                                                       []*View // nil: not running
	inFlight                                                    []inFlightDatagram
	birthIndex                                                  map[uint64]int
	ended                                                       map[uint64]bool // births of processes that ended
	losses, crashes, starts, reorderings, isolations, slotsLeft int
	path                                                        []string
}

func (w *world) clone() *world {
	c := *w
	c.views = slices.Clone(w.views)
	for i, v := range c.views {
		if v != nil {
			c.views[i] = v.clone()
		}
	}
	c.inFlight = slices.Clone(w.inFlight)
	c.birthIndex, c.ended = maps.Clone(w.birthIndex), maps.Clone(w.ended)
	c.path = slices.Clip(w.path)
	return &c
}

func checkAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + i)}), 7946)
}

func (w *world) start(t testing.TB, i int, reuseIncarnation bool) {
	birth := uint64(len(w.birthIndex)+1) * 0x1111
	w.birthIndex[birth] = len(w.birthIndex)
	v, err := New(Config{Name: string(rune('a' + i)), Zone: "z", Addr: checkAddr(i), Birth: birth, Seed: birth,
		Period: checkPeriod, Settings: Settings{Most: 8, Join: []netip.AddrPort{checkAddr(0), checkAddr(1),
			checkAddr(2)}}, Ablate: Ablation{ReuseIncarnation: reuseIncarnation}}, w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.views[i] = v
}

// collect adds a member's outgoing datagrams to those in flight.
func (w *world) collect(i int) {
	sends, _, _ := w.views[i].TakeOutput()
	for _, s := range sends {
		to := int(s.To.Addr().As4()[3]) - 1
		w.inFlight = append(w.inFlight, inFlightDatagram{from: i, to: to, data: s.Data})
	}
}

// tick advances time by one slot.
func (w *world) tick() {
	w.now += checkSlot
	for i, v := range w.views {
		if v != nil {
			v.Tick(w.now)
			w.collect(i)
		}
	}
}

func (w *world) deliver(k int) {
	f := w.inFlight[k]
	w.inFlight = slices.Delete(w.inFlight, k, k+1)
	if v := w.views[f.to]; v != nil {
		v.Receive(w.now, f.data)
		w.collect(f.to)
	}
}

// fingerprint hashes everything in a state that affects its future, except for randomly drawn numbers.
func (w *world) fingerprint() uint64 {
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
	put(uint64(w.losses), uint64(w.crashes), uint64(w.starts), uint64(w.reorderings), uint64(w.isolations))
	for _, v := range w.views {
		if v == nil {
			put(1<<63 + 1)
			continue
		}
		put(v.self.birth, uint64(v.self.inc), uint64(v.slot), bit(v.joining), bit(v.left), uint64(v.health),
			uint64(min(v.now-v.digestChangedAt, 4*checkPeriod)), uint64(max(v.nextSyncAt-v.now, 0)),
			uint64(v.syncBudget), bit(v.claim != nil))
		for _, m := range v.members {
			put(m.birth, uint64(m.inc), uint64(m.state), bit(m.suspect), bit(m.knowsUs), bit(m.notified),
				uint64(len(m.votes)), bit(v.now-m.lastAckedProbe < checkPeriod))
			for _, x := range m.votes {
				put(uint64(x))
			}
		}
		for _, x := range v.watches {
			put(x.birth, uint64(v.now-x.since), bit(x.verifyOnly), bit(x.voted))
		}
		for _, p := range v.probes {
			if p.scheduled || p.requester != 0 {
				put(p.birth, uint64(v.now-p.sentAt), uint64(p.helpersAsked), uint64(p.nacks), p.requester)
			}
		}
		for l, level := range v.updates.bySends {
			for _, x := range level {
				put(uint64(l), x.birth, uint64(x.inc), uint64(x.typ))
			}
		}
		for _, x := range v.probeOrder[min(v.probeIndex, len(v.probeOrder)):] {
			put(x)
		}
	}
	for _, f := range w.inFlight {
		put(uint64(f.from), uint64(f.to), uint64(f.data[0]), uint64(len(f.data)))
		r := newReader(f.data)
		if h := r.header(); h.kind == kindPing || h.kind == kindUpdates || h.kind == kindWatch {
			put(xxhash.Sum64(r.Rest[min(4, len(r.Rest)):]))
		}
	}
	return xxhash.Sum64(b)
}

// digestedView describes a view by what its digest covers.
func digestedView(v *View) string {
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

// invariants describes a violated invariant in a state that followed another one.
func (w *world) invariants(before *world) string {
	digests := map[uint64]string{}
	for i, v := range w.views {
		if v == nil {
			continue
		}
		if was, ok := digests[v.digest]; ok && was != digestedView(v) {
			return fmt.Sprintf("the same digest for %s and %s", was, digestedView(v))
		}
		digests[v.digest] = digestedView(v)
		for _, m := range v.members {
			if b := before.views[i]; w.ended[m.birth] && m.state == Alive && b != nil && b.byBirth[m.birth] != nil &&
				b.byBirth[m.birth].state == Dead {
				return fmt.Sprintf("process %s has ended, was dead at %s, and is alive there again", m.name, v.self.name)
			}
			if m.state == Dead && w.crashes == 0 && w.isolations == 0 {
				return fmt.Sprintf("%s considers %s dead, which is running and reachable", v.self.name, m.name)
			}
		}
		if b := before.views[i]; b != nil && b.self.birth == v.self.birth {
			if v.self.inc < b.self.inc {
				return fmt.Sprintf("%s's own incarnation went back", v.self.name)
			}
			for _, m := range b.members {
				if x := v.byBirth[m.birth]; x != nil && x.inc < m.inc {
					return fmt.Sprintf("the incarnation of %s went back at %s", m.name, v.self.name)
				}
			}
		}
	}
	return ""
}

// recovers checks that without further faults all running members see one another again.
func (w *world) recovers() string {
	c := w.clone()
	for range 60 * slotsPerPeriod {
		c.tick()
		for n := 0; len(c.inFlight) > 0 && n < 10_000; n++ {
			c.deliver(0)
		}
		if c.converged() {
			return ""
		}
	}
	s := ""
	for _, v := range c.views {
		if v != nil {
			s += fmt.Sprintf("%s sees %v; ", v.self.name, v.Members())
		}
	}
	return "no recovery: " + s
}

func (w *world) converged() bool {
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
		alive, trusted := v.liveCounts()
		if v.digest != digest || alive != up || trusted != up {
			return false
		}
	}
	return true
}

// search holds the bounds of one search.
type search struct {
	slots, losses, crashes, starts, reorderings, isolations int
	anyOrder                                                bool // tries every order of delivery
	states                                                  int
	reuseIncarnation                                        bool
}

// convergedWorld returns a world whose members all see one another.
func convergedWorld(t testing.TB, members int, reuseIncarnation bool) *world {
	w := &world{now: 1_000_000, views: make([]*View, members), birthIndex: map[uint64]int{},
		ended: map[uint64]bool{}}
	for i := range w.views {
		w.start(t, i, reuseIncarnation)
	}
	for range 40 * slotsPerPeriod {
		w.tick()
		for len(w.inFlight) > 0 {
			w.deliver(0)
		}
	}
	if !w.converged() {
		t.Fatal("the members did not converge")
	}
	return w
}

// run searches all states within the bounds, depth first, and returns the first fault and the path to it.
func (s search) run(t testing.TB) (fault string, path []string, states, ends int) {
	first := convergedWorld(t, 3, s.reuseIncarnation)
	seen := map[uint64]int8{} // most remaining slots with which a state was visited
	stack := []*world{first}
	first.slotsLeft = s.slots
	for len(stack) > 0 && states < s.states {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		p := w.fingerprint()
		if left, ok := seen[p]; ok && int(left) >= w.slotsLeft {
			continue
		}
		seen[p] = int8(w.slotsLeft)
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
		if len(w.inFlight) == 0 {
			if w.slotsLeft == 0 {
				ends++
				if f := w.recovers(); f != "" {
					return f, w.path, states, ends
				}
				continue
			}
			for i := range w.views {
				if w.crashes < s.crashes && w.views[i] != nil {
					step(fmt.Sprint("crash ", i), func(c *world) bool {
						c.ended[c.views[i].self.birth] = true
						c.views[i], c.crashes = nil, c.crashes+1
						return true
					})
				}
				if w.starts < s.starts && w.views[i] == nil {
					step(fmt.Sprint("start ", i), func(c *world) bool {
						c.start(t, i, s.reuseIncarnation)
						c.starts++
						return true
					})
				}
			}
			step("slot", func(c *world) bool { c.slotsLeft--; c.tick(); return true })
			for i := range w.views { // pushed last, and so explored first
				if w.isolations < s.isolations {
					step(fmt.Sprint("slot without ", i), func(c *world) bool {
						c.slotsLeft--
						c.isolations++
						c.tick()
						c.inFlight = slices.DeleteFunc(c.inFlight, func(f inFlightDatagram) bool {
							return f.from == i || f.to == i
						})
						return true
					})
				}
			}
		} else {
			choices := 1
			if s.anyOrder {
				choices = len(w.inFlight)
			} else if w.reorderings < s.reorderings {
				choices = min(2, len(w.inFlight))
			}
			for k := range choices {
				what := fmt.Sprint(w.inFlight[k].from, ">", w.inFlight[k].to, " kind ", w.inFlight[k].data[0])
				if w.losses < s.losses {
					step("lose "+what, func(c *world) bool {
						c.inFlight, c.losses = slices.Delete(c.inFlight, k, k+1), c.losses+1
						return true
					})
				}
				step("deliver "+what, func(c *world) bool {
					if !s.anyOrder && k > 0 {
						c.reorderings++
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

// bound returns a search bound: the value for CI, or the long one if LAPISLEVER_LONG is set.
func bound(ci, long int) int {
	if os.Getenv("LAPISLEVER_LONG") != "" {
		return long
	}
	return ci
}

func TestExhaustiveFaultCombinations(t *testing.T) {
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
		{"a member isolated", search{slots: bound(14, 45), isolations: bound(6, 24),
			states: bound(12_000, 2_000_000)}},
		{"reorderings", search{slots: bound(18, 45), reorderings: 2, losses: bound(1, 2),
			states: bound(20_000, 2_000_000)}},
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

// A refutation that reuses the refuted incarnation brings no member back; the search must find this fault.
func TestDeliberateFaultIsFound(t *testing.T) {
	s := search{slots: 45, isolations: 12, states: 100_000, reuseIncarnation: true}
	fault, path, states, _ := s.run(t)
	if fault == "" {
		t.Fatalf("not found in %d states", states)
	}
	t.Logf("found after %d states and %d steps: %s", states, len(path), fault)
}
