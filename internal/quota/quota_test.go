package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const period = 200_000

// shareFleet simulates a fleet of shares with drifting clocks and unreliable links, and records the admitted
// requests.
type shareFleet struct {
	t            testing.TB
	rng          *rand.Rand
	limit        Limit
	now          Micros // real time
	shares       []*Share
	skew         []float64
	offset       []float64
	demand       []float64 // requests per second
	owed         []float64
	down         []bool
	frozen       []bool
	inFlight     []message
	loss         float64
	lateFraction float64 // fraction of messages that arrive much later
	cut          func(a, b int) bool
	admitted     []Micros // real times of the admitted requests
	seed         uint64
	noStartWait  bool
	maxRate      float64 // maximum sum of the rates in use, relative to the limit
}

type message struct {
	at       Micros
	from, to int
	data     []byte
}

func newShareFleet(t testing.TB, n int, seed uint64) *shareFleet {
	w := &shareFleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)),
		limit: Limit{Name: "l", ID: 7, Rate: 200, Burst: 50}, cut: func(int, int) bool { return false },
		seed: seed, demand: make([]float64, n), owed: make([]float64, n),
		down: make([]bool, n), frozen: make([]bool, n)}
	for range n {
		w.skew = append(w.skew, 1+MaxDrift*(2*w.rng.Float64()-1))
		w.offset = append(w.offset, w.rng.Float64()*1e9)
		w.shares = append(w.shares, nil)
	}
	for i := range n {
		w.start(i)
	}
	return w
}

// clock returns a member's local time, which also runs while its process is stopped.
func (w *shareFleet) clock(i int) Micros { return Micros(w.offset[i] + float64(w.now)*w.skew[i]) }

func (w *shareFleet) start(i int) {
	w.seed++
	w.shares[i] = NewShare(w.limit, len(w.shares), period, w.seed, w.clock(i))
	w.shares[i].FaultNoStartWait = w.noStartWait
	w.down[i] = false
}

func (w *shareFleet) send(from int, list []Message) {
	for _, s := range list {
		var to int
		_, _ = fmt.Sscanf(s.To, "m%d", &to)
		wait := Micros(w.rng.IntN(3_000))
		if w.rng.Float64() < w.lateFraction {
			wait += Micros(w.rng.IntN(4_000_000))
		}
		if w.rng.Float64() >= w.loss && !w.cut(from, to) {
			w.inFlight = append(w.inFlight, message{w.now + wait, from, to, s.Data})
		}
	}
}

// step advances the time by 10 ms.
func (w *shareFleet) step(tick bool) {
	w.now += 10_000
	pending := w.inFlight
	w.inFlight = nil
	for _, f := range pending {
		switch {
		case f.at > w.now || w.frozen[f.to]:
			w.inFlight = append(w.inFlight, f)
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
				w.admitted = append(w.admitted, w.now)
			}
		}
		s.refill(w.clock(i))
		sum, caps = sum+s.rate, caps+s.capacity()
	}
	w.maxRate = max(w.maxRate, sum/(w.limit.Rate/(1+MaxDrift)))
	if caps > w.limit.Burst*1.000001 && !w.noStartWait {
		w.t.Fatalf("after %.1f s: capacity of all buckets %.2f, limit %.0f", float64(w.now)/1e6, caps,
			w.limit.Burst)
	}
}

func (w *shareFleet) run(periods int) {
	for range periods {
		for k := range period / 10_000 {
			w.step(k == 0)
		}
	}
}

// excess returns by how many admitted requests the worst time window exceeds its limit.
func (w *shareFleet) excess() float64 {
	worst := 0.0
	for _, span := range []Micros{100_000, 500_000, 1_000_000, 3_000_000, 10_000_000} {
		first := 0
		for i, at := range w.admitted {
			for w.admitted[first] <= at-span {
				first++
			}
			worst = max(worst, float64(i-first+1)-w.limit.Rate*float64(span)/1e6-w.limit.Burst)
		}
	}
	return worst
}

func (w *shareFleet) measureRate(periods int) float64 {
	before := len(w.admitted)
	w.run(periods)
	return float64(len(w.admitted)-before) / (float64(periods*period) / 1e6)
}

// chaos injects random faults into members and links and changes the demand, for a number of rounds.
func (w *shareFleet) chaos(rounds int) {
	n := len(w.shares)
	for range rounds {
		i := w.rng.IntN(n)
		switch w.rng.IntN(7) {
		case 0:
			w.down[i] = true
		case 1:
			w.start(i) // crash and immediate restart
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

// With crashes, restarts, stopped processes, partitions, lost and late messages and drifting clocks, the
// rates in use never add up to more than the limit, the buckets never hold more than its burst, and no time
// window contains more requests than allowed.
func TestLimitNeverExceeded(t *testing.T) {
	for seed := range uint64(12) {
		w := newShareFleet(t, 3+int(seed)%3, seed)
		w.loss, w.lateFraction = 0.3*float64(seed%2), 0.1*float64(seed%3)
		for i := range w.demand {
			w.demand[i] = 300
		}
		w.chaos(150)
		if w.maxRate > 1.000001 || w.excess() > 0 {
			t.Fatalf("seed %d: rates reach %.4f of the limit, a window exceeds it by %.1f", seed, w.maxRate,
				w.excess())
		}
	}
}

// A process that does not wait for its predecessor's loans to end exceeds the limit, and the checks of
// shareFleet detect that.
func TestDetectsForgottenLoan(t *testing.T) {
	for seed := range uint64(20) {
		w := newShareFleet(t, 3, seed)
		w.noStartWait = true
		w.demand[0] = 400
		w.run(20)
		for i := range w.shares { // restart all lenders at the same time
			if i > 0 {
				w.start(i)
				w.demand[i] = 400
			}
		}
		w.run(10)
		if w.maxRate > 1.01 {
			return
		}
	}
	t.Fatal("the limit was never exceeded although restarted processes forget their loans")
}

// With all traffic at one of five members, nine tenths of the limit are in use within 3 s. When the lenders
// need their shares again, each has its own back within two terms.
func TestLendingFollowsDemand(t *testing.T) {
	w := newShareFleet(t, 5, 3)
	w.run(15)
	w.demand[2] = 400
	w.run(15) // 3 s
	if got := w.measureRate(10); got < 0.9*w.limit.Rate {
		t.Fatalf("%.0f requests per second admitted of %.0f", got, w.limit.Rate)
	}
	for i := range w.demand {
		w.demand[i] = 400
	}
	w.run(2 * TermPeriods)
	before := map[int]int64{}
	for i, s := range w.shares {
		before[i] = s.Granted
	}
	w.run(25)
	for i, s := range w.shares {
		if got := float64(s.Granted-before[i]) / 5; got < 0.8*w.limit.Rate/5 {
			t.Errorf("member %d admits %.0f requests per second of its %.0f", i, got, w.limit.Rate/5)
		}
	}
	// When all members are isolated, each keeps its own share.
	w.cut = func(int, int) bool { return true }
	w.run(2 * TermPeriods)
	if got := w.measureRate(25); got < 0.95*w.limit.Rate {
		t.Errorf("all members isolated: %.0f requests per second admitted of %.0f", got, w.limit.Rate)
	}
}

// Shares follow demand that moves to another member every second, and the limit is never exceeded.
func TestMovingDemand(t *testing.T) {
	w := newShareFleet(t, 3, 4)
	w.run(15)
	for k := range 60 {
		for i := range w.demand {
			w.demand[i] = 0
		}
		w.demand[k%3] = 180
		w.run(5)
	}
	served := float64(len(w.admitted)) / (60 * 180)
	if served < 0.5 || w.excess() > 0 {
		t.Fatalf("%.2f of the requests were admitted, limit exceeded by %.1f", served, w.excess())
	}
	t.Logf("%.2f of the requests were admitted", served)
}

// During an upgrade the two processes of a member together with all others stay within the limit, also after
// the old process has ended.
func TestTwoProcessesOfOneMember(t *testing.T) {
	w := newShareFleet(t, 3, 5)
	w.run(15)
	w.demand[0] = 400 // member 0 borrows from member 1
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
		if sum := old.rate + next.rate + w.shares[0].rate + w.shares[2].rate; sum > w.limit.Rate/(1+MaxDrift)+1e-6 {
			t.Fatalf("rates add up to %.1f, limit %.1f", sum, w.limit.Rate)
		}
	}
	next.OtherProcessEnded(w.clock(1), false)
	w.run(5)
	if w.maxRate > 1.000001 {
		t.Fatalf("rates reach %.3f of the limit", w.maxRate)
	}
}

func FuzzReceive(f *testing.F) {
	w := newShareFleet(f, 2, 1)
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
		if s.rate > 100 || s.ownRate < 0 || len(s.lent) > 1 {
			t.Fatalf("%+v", s)
		}
	})
}

func BenchmarkTake(b *testing.B) {
	s := NewShare(Limit{ID: 7, Rate: 1e6, Burst: 1e5}, 3, period, 1, 0)
	for i := range 40 {
		s.lent = append(s.lent, loan{id: uint64(i), amount: 100, until: 1 << 60})
	}
	s.recompute(0)
	b.ReportAllocs()
	now := Micros(0)
	for b.Loop() {
		now++
		s.Take(now)
	}
}
