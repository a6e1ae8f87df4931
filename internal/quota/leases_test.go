package quota

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
)

// leaseState is a state of the model: three members that vote on each other's leases.
type leaseState struct {
	now      Micros
	procs    [3]*Leases
	views    [3]int // bit set of the members that each believes to be alive
	inFlight []message
	starts   int
	path     []string
}

var threeMembers = []string{"m0", "m1", "m2"}

func (t *Leases) clone() *Leases {
	c := *t
	c.votes, c.leases = maps.Clone(t.votes), slices.Clone(t.leases)
	for i := range c.leases {
		c.leases[i].votedUntil = slices.Clone(c.leases[i].votedUntil)
	}
	return &c
}

func (x *leaseState) clone() *leaseState {
	c := *x
	for i := range c.procs {
		c.procs[i] = x.procs[i].clone()
	}
	c.inFlight, c.path = slices.Clone(x.inFlight), slices.Clip(x.path)
	return &c
}

func (x *leaseState) send(from int, list []Message) {
	for _, m := range list {
		x.inFlight = append(x.inFlight, message{from: from, to: slices.Index(threeMembers, m.To), data: m.Data})
	}
	x.inFlight = x.inFlight[max(0, len(x.inFlight)-6):]
}

func (x *leaseState) tick(i int) {
	var alive []string
	for j, name := range threeMembers {
		if j == i || x.views[i]>>j&1 == 1 {
			alive = append(alive, name)
		}
	}
	x.send(i, x.procs[i].Tick(x.now, alive))
}

// heldTwice reports whether a lease has two holders.
func (x *leaseState) heldTwice() bool {
	holders := map[string]int{}
	for _, t := range x.procs {
		for _, of := range t.Held(x.now) {
			holders[of]++
		}
	}
	for _, n := range holders {
		if n > 1 {
			return true
		}
	}
	return false
}

func (x *leaseState) fingerprint() uint64 {
	var b []byte
	put := func(n ...Micros) {
		for _, v := range n {
			b = binary.LittleEndian.AppendUint64(b, uint64(v))
		}
	}
	put(Micros(x.starts))
	for i, t := range x.procs {
		put(max(0, t.votesFrom-x.now), Micros(x.views[i]))
		for _, name := range threeMembers {
			v := t.votes[name]
			b = append(append(b, v.to...), '/')
			put(max(0, v.until-x.now))
		}
		for _, c := range t.leases {
			b = append(append(b, c.owner...), '/')
			put(max(0, c.until-x.now), Micros(c.seq), x.now-c.askedAt)
			for _, u := range c.votedUntil {
				put(max(0, u-x.now))
			}
		}
	}
	for _, f := range x.inFlight {
		put(Micros(f.from), Micros(f.to))
		b = append(b, f.data...)
	}
	return xxhash.Sum64(b)
}

// exploreLeases tries every sequence of up to steps events, in at most maxStates states. It returns the first
// sequence after which a lease has two holders.
func exploreLeases(steps, maxStates int, noStartWait bool) (found []string, states int) {
	first := &leaseState{now: 1_000_000_000}
	begin := func(x *leaseState, i int) {
		x.procs[i] = NewLeases(threeMembers[i], threeMembers, 7, period, x.now)
		x.procs[i].FaultNoStartWait = noStartWait
		x.views[i] = 7
	}
	for i := range first.procs {
		begin(first, i)
	}
	first.now += terms(period, 1.1)
	for i := range first.procs { // all members are up, and the third holds its own lease
		first.views[i] = 7
	}
	for first.tick(2); len(first.inFlight) > 0; {
		f := first.inFlight[0]
		first.inFlight = first.inFlight[1:]
		first.send(f.to, first.procs[f.to].Receive(first.now, threeMembers[f.from], f.data))
	}
	type todo struct {
		*leaseState
		left int
	}
	seen := map[uint64]int{}
	stack := []todo{{first, steps}}
	for len(stack) > 0 && states < maxStates {
		x := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if x.heldTwice() {
			return x.path, states
		}
		p := x.fingerprint()
		if left, ok := seen[p]; x.left == 0 || ok && left >= x.left {
			continue
		}
		seen[p] = x.left
		states++
		step := func(what string, do func(c *leaseState)) {
			c := x.clone()
			do(c)
			c.path = append(c.path, what)
			stack = append(stack, todo{c, x.left - 1})
		}
		for k, f := range x.inFlight {
			what := fmt.Sprint(f.from, ">", f.to, " kind ", f.data[0])
			deliver := func(c *leaseState) {
				c.send(f.to, c.procs[f.to].Receive(c.now, threeMembers[f.from], f.data))
			}
			step("lose "+what, func(c *leaseState) { c.inFlight = slices.Delete(c.inFlight, k, k+1) })
			step("deliver "+what, func(c *leaseState) { c.inFlight = slices.Delete(c.inFlight, k, k+1); deliver(c) })
			if len(x.inFlight) < 4 {
				step("deliver and keep "+what, deliver)
			}
		}
		for i := range x.procs {
			if x.starts < 2 {
				step(fmt.Sprint("restart ", i), func(c *leaseState) { c.starts++; begin(c, i) })
			}
			step(fmt.Sprint("tick ", i), func(c *leaseState) { c.tick(i) })
			step(fmt.Sprint("member 2 is dead to ", i), func(c *leaseState) {
				if c.views[i] &^= 4; i == 2 {
					c.views[i] = 7
				}
			})
		}
		step("half a term", func(c *leaseState) { c.now += terms(period, 0.5) })
	}
	return nil, states
}

// No sequence of deliveries, losses, duplicates, restarts, wrong views and time steps gives a lease two
// holders. The same search finds the fault of a voter that votes as soon as it has started.
func TestEveryVoteOrder(t *testing.T) {
	found, states := exploreLeases(7, 25_000, false)
	if found != nil {
		t.Fatalf("two holders after %v", found)
	}
	t.Logf("%d states", states)
	found, states = exploreLeases(7, 600_000, true)
	if found == nil {
		t.Fatalf("the fault of voting without the start wait was not found in %d states", states)
	}
	t.Logf("injected fault found after %d states: %v", states, found)
}

// lockOperation is the acquisition or release of a lease, as its holder sees it.
type lockOperation struct {
	holder  int
	acquire bool
}

var lockModel = porcupine.Model{
	Init: func() any { return -1 },
	Step: func(state, input, _ any) (bool, any) {
		switch in := input.(lockOperation); {
		case in.acquire:
			return state.(int) < 0, in.holder
		default:
			return state.(int) == in.holder, -1
		}
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// leaseHistory runs a fleet under faults and returns the history of the holders of each lease.
func leaseHistory(t *testing.T, seed uint64, noStartWait bool) map[string][]porcupine.Operation {
	f := newFaultFleet(t, 3, seed, 0.5)
	f.noStartWait = noStartWait
	f.loss = 0.1
	out := map[string][]porcupine.Operation{}
	type held struct {
		of  string
		who int
	}
	has := map[held]bool{}
	look := func() {
		for i, p := range f.procs {
			now := map[string]bool{}
			if !f.down[i] { // a stopped process checks its clock before it uses a lease
				for _, of := range p.leases.Held(f.clock(i)) {
					now[of] = true
				}
			}
			for _, of := range f.names {
				k := held{of, i}
				if has[k] != now[of] {
					has[k] = now[of]
					out[of] = append(out[of], porcupine.Operation{ClientId: i, Input: lockOperation{i, now[of]},
						Call: f.now - 20_000, Return: f.now})
				}
			}
		}
	}
	for range 80 {
		i := f.rng.IntN(3)
		switch f.rng.IntN(6) {
		case 0:
			f.down[i] = true
		case 1:
			f.start(i)
		case 2:
			f.frozen[i] = true
		case 3:
			clear(f.frozen)
		case 4:
			f.cut = func(a, b int) bool { return a == i || b == i }
		case 5:
			f.cut = func(int, int) bool { return false }
		}
		for range 1 + f.rng.IntN(12) {
			for k := range period / 20_000 {
				f.step(k == 0)
				look()
			}
		}
		for j := range f.down {
			if f.down[j] && f.rng.IntN(3) == 0 {
				f.start(j)
			}
		}
	}
	return out
}

// The history of each lease is that of a lock: acquired when free, released by its holder. With voters that
// vote without the start wait it is not.
func TestLeasesBehaveLikeLocks(t *testing.T) {
	operations, wrong := 0, 0
	for seed := range uint64(6) {
		for of, history := range leaseHistory(t, seed, false) {
			operations += len(history)
			if !porcupine.CheckOperations(lockModel, history) {
				t.Errorf("seed %d: the lease of %s does not behave like a lock", seed, of)
			}
		}
	}
	for seed := uint64(0); seed < 100 && wrong == 0; seed++ {
		for _, history := range leaseHistory(t, seed, true) {
			if !porcupine.CheckOperations(lockModel, history) {
				wrong++
			}
		}
	}
	if operations < 50 || wrong == 0 {
		t.Errorf("%d operations, %d wrong histories with the injected fault", operations, wrong)
	}
	t.Logf("%d operations; %d wrong histories with the injected fault", operations, wrong)
}
