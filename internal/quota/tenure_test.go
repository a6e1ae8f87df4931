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

// ballot is three members that vote on each other's rests.
type ballot struct {
	now    Micros
	procs  [3]*Leases
	views  [3]int // which others each holds to be alive, by bits
	flying []flight
	starts int
	path   []string
}

var three = []string{"m0", "m1", "m2"}

func (t *Leases) clone() *Leases {
	c := *t
	c.votes, c.claims = maps.Clone(t.votes), slices.Clone(t.claims)
	for i := range c.claims {
		c.claims[i].term = slices.Clone(c.claims[i].term)
	}
	return &c
}

func (x *ballot) clone() *ballot {
	c := *x
	for i := range c.procs {
		c.procs[i] = x.procs[i].clone()
	}
	c.flying, c.path = slices.Clone(x.flying), slices.Clip(x.path)
	return &c
}

func (x *ballot) send(from int, list []Message) {
	for _, m := range list {
		x.flying = append(x.flying, flight{from: from, to: slices.Index(three, m.To), data: m.Data})
	}
	x.flying = x.flying[max(0, len(x.flying)-6):]
}

func (x *ballot) tick(i int) {
	var alive []string
	for j, name := range three {
		if j == i || x.views[i]>>j&1 == 1 {
			alive = append(alive, name)
		}
	}
	x.send(i, x.procs[i].Tick(x.now, alive))
}

// two tells that two members have one's rest at a time.
func (x *ballot) two() bool {
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

func (x *ballot) print() uint64 {
	var b []byte
	put := func(n ...Micros) {
		for _, v := range n {
			b = binary.LittleEndian.AppendUint64(b, uint64(v))
		}
	}
	put(Micros(x.starts))
	for i, t := range x.procs {
		put(max(0, t.silent-x.now), Micros(x.views[i]))
		for _, name := range three {
			v := t.votes[name]
			b = append(append(b, v.to...), '/')
			put(max(0, v.until-x.now))
		}
		for _, c := range t.claims {
			b = append(append(b, c.of...), '/')
			put(max(0, c.until-x.now), Micros(c.seq), x.now-c.asked)
			for _, u := range c.term {
				put(max(0, u-x.now))
			}
		}
	}
	for _, f := range x.flying {
		put(Micros(f.from), Micros(f.to))
		b = append(b, f.data...)
	}
	return xxhash.Sum64(b)
}

// exploreVotes tries every choice for so many steps.
func exploreVotes(steps, most int, hasty bool) (found []string, states int) {
	first := &ballot{now: 1_000_000_000}
	begin := func(x *ballot, i int) {
		x.procs[i] = NewLeases(three[i], three, 7, period, x.now)
		x.procs[i].Hasty = hasty
		x.views[i] = 7
	}
	for i := range first.procs {
		begin(first, i)
	}
	first.now += span(period, 1.1)
	for i := range first.procs { // all are up, and the third has its own rest
		first.views[i] = 7
	}
	for first.tick(2); len(first.flying) > 0; {
		f := first.flying[0]
		first.flying = first.flying[1:]
		first.send(f.to, first.procs[f.to].Receive(first.now, three[f.from], f.data))
	}
	type todo struct {
		*ballot
		left int
	}
	seen := map[uint64]int{}
	stack := []todo{{first, steps}}
	for len(stack) > 0 && states < most {
		x := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if x.two() {
			return x.path, states
		}
		p := x.print()
		if left, ok := seen[p]; x.left == 0 || ok && left >= x.left {
			continue
		}
		seen[p] = x.left
		states++
		step := func(what string, do func(c *ballot)) {
			c := x.clone()
			do(c)
			c.path = append(c.path, what)
			stack = append(stack, todo{c, x.left - 1})
		}
		for k, f := range x.flying {
			what := fmt.Sprint(f.from, ">", f.to, " kind ", f.data[0])
			deliver := func(c *ballot) {
				c.send(f.to, c.procs[f.to].Receive(c.now, three[f.from], f.data))
			}
			step("lose "+what, func(c *ballot) { c.flying = slices.Delete(c.flying, k, k+1) })
			step("deliver "+what, func(c *ballot) { c.flying = slices.Delete(c.flying, k, k+1); deliver(c) })
			if len(x.flying) < 4 {
				step("deliver and keep "+what, deliver)
			}
		}
		for i := range x.procs {
			if x.starts < 2 {
				step(fmt.Sprint("restart ", i), func(c *ballot) { c.starts++; begin(c, i) })
			}
			step(fmt.Sprint("the turn of ", i), func(c *ballot) { c.tick(i) })
			step(fmt.Sprint("the third is dead to ", i), func(c *ballot) {
				if c.views[i] &^= 4; i == 2 {
					c.views[i] = 7
				}
			})
		}
		step("half a term", func(c *ballot) { c.now += span(period, 0.5) })
	}
	return nil, states
}

// No order of delivery, loss, repetition, restart, wrong views and time gives one member's rest to two; a
// voter that votes as soon as it has started is found.
func TestEveryOrderOfVotes(t *testing.T) {
	found, states := exploreVotes(7, 25_000, false)
	if found != nil {
		t.Fatalf("two holders after %v", found)
	}
	t.Logf("%d states", states)
	found, states = exploreVotes(7, 600_000, true)
	if found == nil {
		t.Fatalf("a hasty voter is not found in %d states", states)
	}
	t.Logf("planted fault found after %d states: %v", states, found)
}

// lockInput is one event in the life of a member's rest, as its holder sees it.
type lockInput struct {
	who  int
	take bool
}

var oneHolder = porcupine.Model{
	Init: func() any { return -1 },
	Step: func(state, input, _ any) (bool, any) {
		switch in := input.(lockInput); {
		case in.take:
			return state.(int) < 0, in.who
		default:
			return state.(int) == in.who, -1
		}
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// holdings plays faults and returns the history of who had which member's rest.
func holdings(t *testing.T, seed uint64, hasty bool) map[string][]porcupine.Operation {
	f := newFleet(t, 3, seed, 0.5)
	f.hasty = hasty
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
			if !f.down[i] { // who is stopped looks at its clock before it uses anything
				for _, of := range p.tenure.Held(f.clock(i)) {
					now[of] = true
				}
			}
			for _, of := range f.names {
				k := held{of, i}
				if has[k] != now[of] {
					has[k] = now[of]
					out[of] = append(out[of], porcupine.Operation{ClientId: i, Input: lockInput{i, now[of]},
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

// The history of each rest is that of a lock: taken when it is free, given back by who has it. With hasty
// voters it is not.
func TestRestsAreHeldLikeLocks(t *testing.T) {
	operations, wrong := 0, 0
	for seed := range uint64(6) {
		for of, history := range holdings(t, seed, false) {
			operations += len(history)
			if !porcupine.CheckOperations(oneHolder, history) {
				t.Errorf("seed %d: the rest of %s is not held like a lock", seed, of)
			}
		}
	}
	for seed := uint64(0); seed < 100 && wrong == 0; seed++ {
		for _, history := range holdings(t, seed, true) {
			if !porcupine.CheckOperations(oneHolder, history) {
				wrong++
			}
		}
	}
	if operations < 50 || wrong == 0 {
		t.Errorf("%d takings and givings, %d histories of hasty voters that are wrong", operations, wrong)
	}
	t.Logf("%d takings and givings; %d wrong histories with hasty voters", operations, wrong)
}
