package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const period = 200_000

// world is a fleet of shares with clocks of their own, links that do anything, and a count of what is let in.
type world struct {
	t      testing.TB
	rng    *rand.Rand
	limit  Limit
	now    Micros // real time
	shares []*Share
	skew   []float64
	offset []float64
	demand []float64 // a second
	owed   []float64
	down   []bool
	frozen []bool
	flying []flight
	loss   float64
	late   float64 // share of messages that come much later
	cut    func(a, b int) bool
	let    []Micros // when something was let in, in real time
	seed   uint64
	forget bool
	worst  float64 // the largest sum of rates, over the limit's
}

type flight struct {
	at       Micros
	from, to int
	data     []byte
}

func newWorld(t testing.TB, n int, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), limit: Limit{Name: "l", ID: 7, Rate: 200, Burst: 50},
		cut: func(int, int) bool { return false }, seed: seed, demand: make([]float64, n), owed: make([]float64, n),
		down: make([]bool, n), frozen: make([]bool, n)}
	for range n {
		w.skew = append(w.skew, 1+Drift*(2*w.rng.Float64()-1))
		w.offset = append(w.offset, w.rng.Float64()*1e9)
		w.shares = append(w.shares, nil)
	}
	for i := range n {
		w.start(i)
	}
	return w
}

// clock is a member's time: it never stops, also while the process does.
func (w *world) clock(i int) Micros { return Micros(w.offset[i] + float64(w.now)*w.skew[i]) }

func (w *world) start(i int) {
	w.seed++
	w.shares[i] = NewShare(w.limit, len(w.shares), period, w.seed, w.clock(i))
	w.shares[i].Forget = w.forget
	w.down[i] = false
}

func (w *world) send(from int, list []Message) {
	for _, s := range list {
		var to int
		_, _ = fmt.Sscanf(s.To, "m%d", &to)
		wait := Micros(w.rng.IntN(3_000))
		if w.rng.Float64() < w.late {
			wait += Micros(w.rng.IntN(4_000_000))
		}
		if w.rng.Float64() >= w.loss && !w.cut(from, to) {
			w.flying = append(w.flying, flight{w.now + wait, from, to, s.Data})
		}
	}
}

// step lets 10 ms go by.
func (w *world) step(tick bool) {
	w.now += 10_000
	flying := w.flying
	w.flying = nil
	for _, f := range flying {
		switch {
		case f.at > w.now || w.frozen[f.to]:
			w.flying = append(w.flying, f)
		case !w.down[f.to]:
			w.send(f.to, w.shares[f.to].Receive(w.clock(f.to), fmt.Sprint("m", f.from), f.data))
		}
	}
	sum, caps := 0.0, 0.0
	for i, s := range w.shares {
		if w.down[i] || w.frozen[i] {
			continue
		}
		if tick {
			var peers []string
			for j := range w.shares {
				if j != i {
					peers = append(peers, fmt.Sprint("m", j))
				}
			}
			w.send(i, s.Tick(w.clock(i), peers))
		}
		for w.owed[i] += w.demand[i] / 100; w.owed[i] >= 1; w.owed[i]-- {
			if ok, _ := s.Take(w.clock(i)); ok {
				w.let = append(w.let, w.now)
			}
		}
		s.refill(w.clock(i))
		sum, caps = sum+s.rate, caps+s.cap()
	}
	w.worst = max(w.worst, sum/(w.limit.Rate/(1+Drift)))
	if caps > w.limit.Burst*1.000001 && !w.forget {
		w.t.Fatalf("%.1f s: buckets hold %.2f of %.0f", float64(w.now)/1e6, caps, w.limit.Burst)
	}
}

func (w *world) run(periods int) {
	for range periods {
		for k := range period / 10_000 {
			w.step(k == 0)
		}
	}
}

// over is by how many the worst window has more in it than its limit.
func (w *world) over() float64 {
	worst := 0.0
	for _, span := range []Micros{100_000, 500_000, 1_000_000, 3_000_000, 10_000_000} {
		first := 0
		for i, at := range w.let {
			for w.let[first] <= at-span {
				first++
			}
			worst = max(worst, float64(i-first+1)-w.limit.Rate*float64(span)/1e6-w.limit.Burst)
		}
	}
	return worst
}

func (w *world) rateOver(periods int) float64 {
	before := len(w.let)
	w.run(periods)
	return float64(len(w.let)-before) / (float64(periods*period) / 1e6)
}

// chaos does things to members and links, again and again.
func (w *world) chaos(rounds int) {
	n := len(w.shares)
	for range rounds {
		i := w.rng.IntN(n)
		switch w.rng.IntN(7) {
		case 0:
			w.down[i] = true
		case 1:
			w.start(i) // a crash and a start at once
		case 2:
			w.frozen[i] = true
		case 3:
			for j := range n {
				w.frozen[j] = false
			}
		case 4:
			mask := w.rng.Uint64()
			w.cut = func(a, b int) bool { return mask>>a&1 != mask>>b&1 }
		case 5:
			w.cut = func(int, int) bool { return false }
		case 6:
			for j := range n {
				w.demand[j] = float64(w.rng.IntN(3)) * w.limit.Rate / 2 * w.rng.Float64()
			}
		}
		for j := range n {
			if w.down[j] && w.rng.IntN(3) == 0 {
				w.start(j)
			}
		}
		w.run(1 + w.rng.IntN(12))
	}
}

// Whatever crashes, restarts, stops, is cut off, lost or late, with clocks that drift: the rates in use never
// add up to more than the limit, the buckets hold no more than its burst, and no window has more in it.
func TestNeverOver(t *testing.T) {
	for seed := range uint64(12) {
		w := newWorld(t, 3+int(seed)%3, seed)
		w.loss, w.late = 0.3*float64(seed%2), 0.1*float64(seed%3)
		for i := range w.demand {
			w.demand[i] = 300
		}
		w.chaos(150)
		if w.worst > 1.000001 || w.over() > 0 {
			t.Fatalf("seed %d: rates add up to %.4f of the limit, a window has %.1f too many", seed, w.worst, w.over())
		}
	}
}

// A start that does not wait for what its predecessor has lent is over, and the check finds that.
func TestAForgottenLoanIsFound(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, 3, seed)
		w.forget = true
		w.demand[0] = 400
		w.run(20)
		for i := range w.shares { // the lenders start anew, all at once
			if i > 0 {
				w.start(i)
				w.demand[i] = 400
			}
		}
		w.run(10)
		if w.worst > 1.01 {
			return
		}
	}
	t.Fatal("never over although loans are forgotten")
}

// With all traffic at one of five, nine tenths of the limit are in use within 3 s, and after the lenders want
// their shares back each has its own again within two terms.
func TestLendingIsWorthHaving(t *testing.T) {
	w := newWorld(t, 5, 3)
	w.run(15)
	w.demand[2] = 400
	w.run(15) // 3 s
	if got := w.rateOver(10); got < 0.9*w.limit.Rate {
		t.Fatalf("%.0f of %.0f a second in use", got, w.limit.Rate)
	}
	for i := range w.demand {
		w.demand[i] = 400
	}
	w.run(2 * Term)
	before := map[int]int64{}
	for i, s := range w.shares {
		before[i] = s.Granted
	}
	w.run(25)
	for i, s := range w.shares {
		if got := float64(s.Granted-before[i]) / 5; got < 0.8*w.limit.Rate/5 {
			t.Errorf("member %d has %.0f a second of its %.0f", i, got, w.limit.Rate/5)
		}
	}
	// Cut off, each keeps its floor.
	w.cut = func(int, int) bool { return true }
	w.run(2 * Term)
	if got := w.rateOver(25); got < 0.95*w.limit.Rate {
		t.Errorf("all cut off: %.0f of %.0f a second", got, w.limit.Rate)
	}
}

// Demand that moves to another member every second is followed without ever being over.
func TestDemandThatMoves(t *testing.T) {
	w := newWorld(t, 3, 4)
	w.run(15)
	for k := range 60 {
		for i := range w.demand {
			w.demand[i] = 0
		}
		w.demand[k%3] = 180
		w.run(5)
	}
	served := float64(len(w.let)) / (60 * 180)
	if served < 0.5 || w.over() > 0 {
		t.Fatalf("%.2f of what was asked for was let in, over by %.1f", served, w.over())
	}
	t.Logf("%.2f of what moved every second was let in", served)
}

// An upgrade: two processes of one member, and the old one alone again where the new one fails.
func TestTwoProcessesOfOneMember(t *testing.T) {
	w := newWorld(t, 3, 5)
	w.run(15)
	w.demand[0] = 400 // borrows from 1
	w.run(15)
	old := w.shares[1]
	lent := old.HandOver(w.clock(1))
	if len(lent) == 0 {
		t.Fatal("nothing was lent")
	}
	next := NewShare(w.limit, 3, period, 77, w.clock(1))
	next.TakeOver(w.clock(1), lent)
	w.shares[1] = next
	w.demand[1] = 400
	for range 30 {
		w.run(1)
		if sum := old.rate + next.rate + w.shares[0].rate + w.shares[2].rate; sum > w.limit.Rate/(1+Drift)+1e-6 {
			t.Fatalf("together %.1f of %.1f", sum, w.limit.Rate)
		}
	}
	next.OtherProcessEnded(w.clock(1), false)
	w.run(5)
	if w.worst > 1.000001 {
		t.Fatalf("%.3f of the limit", w.worst)
	}
}

func FuzzReceive(f *testing.F) {
	w := newWorld(f, 2, 1)
	w.run(15)
	w.demand[0] = 400
	for range 20 {
		for i, s := range w.shares {
			for _, m := range s.Tick(w.clock(i), []string{"m0", "m1"}) {
				f.Add(m.Data)
			}
		}
		w.run(1)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewShare(Limit{ID: 7, Rate: 100, Burst: 10}, 2, period, 1, 0)
		s.Receive(10_000_000, "x", data)
		s.Take(10_000_001)
		if s.rate > 100 || s.own < 0 || len(s.lent) > 1 {
			t.Fatalf("%+v", s)
		}
	})
}

func BenchmarkTake(b *testing.B) {
	s := NewShare(Limit{ID: 7, Rate: 1e6, Burst: 1e5}, 3, period, 1, 0)
	for i := range 40 {
		s.lent = append(s.lent, loan{id: uint64(i), rate: 100, until: 1 << 60})
	}
	s.settle(0)
	b.ReportAllocs()
	now := Micros(0)
	for b.Loop() {
		now++
		s.Take(now)
	}
}
