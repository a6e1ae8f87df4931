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

// shareState is a state of the model: three members, one of which demands more than its share. Messages may
// be delivered in any order, twice or never, and processes may restart.
type shareState struct {
	now      Micros
	shares   [3]*Share
	inFlight []message
	starts   int
	path     []string
}

func (s *Share) clone() *Share {
	c := *s
	rng := *s.rng
	c.rng = &rng
	c.lent, c.borrowed, c.pending = slices.Clone(s.lent), slices.Clone(s.borrowed), slices.Clone(s.pending)
	return &c
}

func (x *shareState) clone() *shareState {
	c := *x
	for i := range c.shares {
		c.shares[i] = x.shares[i].clone()
	}
	c.inFlight, c.path = slices.Clone(x.inFlight), slices.Clip(x.path)
	return &c
}

func (x *shareState) send(from int, list []Message) {
	for _, m := range list {
		x.inFlight = append(x.inFlight, message{from: from, to: int(m.To[1] - '0'), data: m.Data})
	}
}

// fingerprint returns a hash of the state. Random IDs are replaced by their order of appearance.
func (x *shareState) fingerprint() uint64 {
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
		put(uint64(max(0, s.usableFrom-x.now)), math.Float64bits(s.rate), math.Float64bits(s.demand))
		for k, list := range [][]loan{s.lent, s.borrowed, s.pending} {
			for _, l := range list {
				put(uint64(k), name(l.id), math.Float64bits(l.amount), uint64(max(0, l.until-x.now)),
					uint64(x.now-l.askedAt), uint64(l.seq))
			}
		}
	}
	for _, f := range x.inFlight {
		put(uint64(f.from), uint64(f.to), uint64(f.data[0]), name(binary.LittleEndian.Uint64(f.data[9:])),
			uint64(binary.LittleEndian.Uint32(f.data[17:])), binary.LittleEndian.Uint64(f.data[21:]))
	}
	return xxhash.Sum64(b)
}

// exceeds reports whether the rates in use add up to more than the limit.
func (x *shareState) exceeds(limit Limit) bool {
	sum := 0.0
	for _, s := range x.shares {
		s.refill(x.now)
		sum += s.rate
	}
	return sum > limit.Rate/(1+MaxDrift)*(1+1e-9)
}

// explore tries every sequence of up to steps events, depth first, in at most maxStates states. It returns
// the first sequence that exceeds the limit.
func explore(limit Limit, steps, maxStates int, noStartWait bool) (found []string, states int) {
	first := &shareState{now: 1_000_000_000}
	for i := range first.shares {
		first.shares[i] = NewShare(limit, 3, period, uint64(i+1), first.now)
		first.shares[i].FaultNoStartWait = noStartWait
	}
	first.now += terms(period, 2)
	for i, s := range first.shares {
		s.refill(first.now)
		if i == 2 {
			s.requests = 100
		}
	}
	first.send(2, first.shares[2].Tick(first.now, []string{"m0", "m1"}))
	type todo struct {
		*shareState
		left int
	}
	seen := map[uint64]int{}
	stack := []todo{{first, steps}}
	for len(stack) > 0 && states < maxStates {
		x := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if x.exceeds(limit) {
			return x.path, states
		}
		p := x.fingerprint()
		if left, ok := seen[p]; x.left == 0 || ok && left >= x.left {
			continue
		}
		seen[p] = x.left
		states++
		step := func(what string, do func(c *shareState)) {
			c := x.clone()
			do(c)
			c.path = append(c.path, what)
			stack = append(stack, todo{c, x.left - 1})
		}
		for k, f := range x.inFlight {
			what := fmt.Sprint(f.from, ">", f.to, " kind ", f.data[0])
			deliver := func(c *shareState) {
				c.send(f.to, c.shares[f.to].Receive(c.now, fmt.Sprint("m", f.from), f.data))
			}
			step("lose "+what, func(c *shareState) { c.inFlight = slices.Delete(c.inFlight, k, k+1) })
			step("deliver "+what, func(c *shareState) { c.inFlight = slices.Delete(c.inFlight, k, k+1); deliver(c) })
			if len(x.inFlight) < 5 {
				step("deliver and keep "+what, deliver)
			}
		}
		for i := range x.shares {
			if x.starts < 2 {
				step(fmt.Sprint("restart ", i), func(c *shareState) {
					c.starts++
					c.shares[i] = NewShare(limit, 3, period, uint64(10+c.starts), c.now)
					c.shares[i].FaultNoStartWait = noStartWait
				})
			}
		}
		step("a third of a term", func(c *shareState) { c.now += terms(period, 0.33) })
		step("tick 2", func(c *shareState) {
			c.shares[2].requests = 100
			c.send(2, c.shares[2].Tick(c.now, []string{"m0", "m1"}))
			c.inFlight = c.inFlight[max(0, len(c.inFlight)-6):]
		})
	}
	return nil, states
}

// No sequence of deliveries, losses, duplicates, restarts and time steps makes the rates add up to more than
// the limit. The same search finds the fault of a process that forgets its predecessor's loans.
func TestEveryMessageOrder(t *testing.T) {
	limit := Limit{Name: "l", ID: 7, Rate: 30, Burst: 9}
	steps, maxStates := 7, 60_000
	if os.Getenv("LAPISLEVER_LONG") != "" {
		steps, maxStates = 11, 5_000_000
	}
	found, states := explore(limit, steps, maxStates, false)
	t.Logf("%d states", states)
	if found != nil {
		t.Fatalf("limit exceeded after %v", found)
	}
	if found, states = explore(limit, steps, maxStates, true); found == nil {
		t.Fatalf("the fault of a forgotten loan was not found in %d states", states)
	}
	t.Logf("injected fault found after %d states: %v", states, found)
}

// BenchmarkTakeFromAllCores measures one decision under a lock that all cores contend for, as the fronts do.
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
