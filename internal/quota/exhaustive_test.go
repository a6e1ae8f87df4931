package quota

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// state is three members, of which one wants more, with messages that may be delivered in any order, twice or
// never, and processes that may start anew.
type state struct {
	now    Micros
	shares [3]*Share
	flying []flight
	starts int
	path   []string
}

func (s *Share) clone() *Share {
	c := *s
	rng := *s.rng
	c.rng = &rng
	c.lent, c.in, c.pending = slices.Clone(s.lent), slices.Clone(s.in), slices.Clone(s.pending)
	return &c
}

func (x *state) clone() *state {
	c := *x
	for i := range c.shares {
		c.shares[i] = x.shares[i].clone()
	}
	c.flying, c.path = slices.Clone(x.flying), slices.Clip(x.path)
	return &c
}

func (x *state) send(from int, list []Message) {
	for _, m := range list {
		x.flying = append(x.flying, flight{from: from, to: int(m.To[1] - '0'), data: m.Data})
	}
}

// print stands for a state; numbers drawn at random count by their order only.
func (x *state) print() uint64 {
	var b []byte
	ids := map[uint64]uint64{}
	put := func(n ...uint64) {
		for _, v := range n {
			b = binary.LittleEndian.AppendUint64(b, v)
		}
	}
	name := func(id uint64) uint64 {
		if _, ok := ids[id]; !ok {
			ids[id] = uint64(len(ids))
		}
		return ids[id]
	}
	put(uint64(x.starts))
	for _, s := range x.shares {
		put(uint64(max(0, s.usable-x.now)), math.Float64bits(s.rate), math.Float64bits(s.demand))
		for k, list := range [][]loan{s.lent, s.in, s.pending} {
			for _, l := range list {
				put(uint64(k), name(l.id), math.Float64bits(l.rate), uint64(max(0, l.until-x.now)), uint64(x.now-l.asked),
					uint64(l.seq))
			}
		}
	}
	for _, f := range x.flying {
		put(uint64(f.from), uint64(f.to), uint64(f.data[0]), name(binary.LittleEndian.Uint64(f.data[9:])),
			uint64(binary.LittleEndian.Uint32(f.data[17:])), binary.LittleEndian.Uint64(f.data[21:]))
	}
	return xxhash.Sum64(b)
}

// over tells that the rates in use add up to more than the limit.
func (x *state) over(limit Limit) bool {
	sum := 0.0
	for _, s := range x.shares {
		s.refill(x.now)
		sum += s.rate
	}
	return sum > limit.Rate/(1+Drift)*(1+1e-9)
}

// explore tries every choice for so many steps, depth first.
func explore(limit Limit, steps, most int, forget bool) (found []string, states int) {
	first := &state{now: 1_000_000_000}
	for i := range first.shares {
		first.shares[i] = NewShare(limit, 3, period, uint64(i+1), first.now)
		first.shares[i].Forget = forget
	}
	first.now += span(period, 2)
	for i, s := range first.shares {
		s.refill(first.now)
		if i == 2 {
			s.count = 100
		}
	}
	first.send(2, first.shares[2].Tick(first.now, []string{"m0", "m1"}))
	type todo struct {
		*state
		left int
	}
	seen := map[uint64]int{}
	stack := []todo{{first, steps}}
	for len(stack) > 0 && states < most {
		x := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if x.over(limit) {
			return x.path, states
		}
		p := x.print()
		if left, ok := seen[p]; x.left == 0 || ok && left >= x.left {
			continue
		}
		seen[p] = x.left
		states++
		step := func(what string, do func(c *state)) {
			c := x.clone()
			do(c)
			c.path = append(c.path, what)
			stack = append(stack, todo{c, x.left - 1})
		}
		for k, f := range x.flying {
			what := fmt.Sprint(f.from, ">", f.to, " kind ", f.data[0])
			deliver := func(c *state) {
				c.send(f.to, c.shares[f.to].Receive(c.now, fmt.Sprint("m", f.from), f.data))
			}
			step("lose "+what, func(c *state) { c.flying = slices.Delete(c.flying, k, k+1) })
			step("deliver "+what, func(c *state) { c.flying = slices.Delete(c.flying, k, k+1); deliver(c) })
			if len(x.flying) < 5 {
				step("deliver and keep "+what, deliver)
			}
		}
		for i := range x.shares {
			if x.starts < 2 {
				step(fmt.Sprint("restart ", i), func(c *state) {
					c.starts++
					c.shares[i] = NewShare(limit, 3, period, uint64(10+c.starts), c.now)
					c.shares[i].Forget = forget
				})
			}
		}
		step("a third of a term", func(c *state) { c.now += span(period, 0.33) })
		step("the third member's turn", func(c *state) {
			c.shares[2].count = 100
			c.send(2, c.shares[2].Tick(c.now, []string{"m0", "m1"}))
			c.flying = c.flying[max(0, len(c.flying)-6):]
		})
	}
	return nil, states
}

// No order of delivery, loss, repetition, restart and time has the rates add up to more than the limit; a
// start that forgets what was lent is found.
func TestEveryOrder(t *testing.T) {
	limit := Limit{Name: "l", ID: 7, Rate: 30, Burst: 9}
	steps, most := 7, 60_000
	if os.Getenv("LAPISLEVER_LONG") != "" {
		steps, most = 11, 5_000_000
	}
	found, states := explore(limit, steps, most, false)
	t.Logf("%d states", states)
	if found != nil {
		t.Fatalf("over after %v", found)
	}
	if found, states = explore(limit, steps, most, true); found == nil {
		t.Fatalf("a forgotten loan is not found in %d states", states)
	}
	t.Logf("planted fault found after %d states: %v", states, found)
}

// BenchmarkTakeFromAllCores is one decision under the lock that fronts share.
func BenchmarkTakeFromAllCores(b *testing.B) {
	s := NewShare(Limit{ID: 7, Rate: 1e6, Burst: 1e5}, 3, period, 1, 0)
	var lock sync.Mutex
	b.RunParallel(func(pb *testing.PB) {
		for now := Micros(rand.IntN(100)); pb.Next(); now++ {
			lock.Lock()
			s.Take(now)
			lock.Unlock()
		}
	})
}
