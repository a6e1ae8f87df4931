package quota

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
)

// keyedFleet simulates members with a limit for each key and reliable links, and records the admitted
// requests by key.
type keyedFleet struct {
	now      Micros
	procs    []*KeyedShares
	admitted map[uint64][]Micros
	limit    Limit
}

func newKeyedFleet(n int) *keyedFleet {
	x := &keyedFleet{now: 1, admitted: map[uint64][]Micros{},
		limit: Limit{Name: "t", ID: LimitID("t"), Rate: 30, Burst: 9}}
	for i := range n {
		x.procs = append(x.procs, NewKeyedShares(x.limit, n, period, uint64(i+1), 1))
	}
	return x
}

func (x *keyedFleet) ask(i int, key string) bool {
	id := KeyID(x.limit.ID, key)
	ok, _ := x.procs[i].Take(x.now, id)
	if ok {
		x.admitted[id] = append(x.admitted[id], x.now)
	}
	return ok
}

// tick ends a period: all messages arrive immediately.
func (x *keyedFleet) tick() {
	type envelope struct {
		from int
		Message
	}
	var queue []envelope
	for i, k := range x.procs {
		var peers []string
		for j := range x.procs {
			if j != i {
				peers = append(peers, fmt.Sprint("m", j))
			}
		}
		for _, s := range k.Tick(x.now, peers) {
			queue = append(queue, envelope{i, s})
		}
	}
	for len(queue) > 0 {
		e := queue[0]
		queue = queue[1:]
		var to int
		_, _ = fmt.Sscanf(e.To, "m%d", &to)
		for _, s := range x.procs[to].Receive(x.now, fmt.Sprint("m", e.from), e.Data) {
			queue = append(queue, envelope{to, s})
		}
	}
}

// exceededKey describes a key that got more in a time window than its rate and burst allow, or returns "".
func (x *keyedFleet) exceededKey() string {
	for id, at := range x.admitted {
		for _, span := range []Micros{100_000, 1_000_000, 5_000_000} {
			first := 0
			for i, t := range at {
				for at[first] <= t-span {
					first++
				}
				if n, most := float64(i-first+1), x.limit.Rate*float64(span)/1e6+x.limit.Burst; n > most {
					return fmt.Sprintf("key %x got %.0f in %d us, limit %.0f", id, n, span, most)
				}
			}
		}
	}
	return ""
}

// Each key has the rate for itself: a heavy key at one member gets nine tenths of the rate there, small keys
// are admitted beside it, and a key that alternates between the sketch and its own share never exceeds the
// limit.
func TestEachKeyIsLimitedSeparately(t *testing.T) {
	x := newKeyedFleet(3)
	rng := rand.New(rand.NewPCG(1, 1))
	small, smallIn := 0, 0
	from := Micros(0)
	for p := range 200 {
		for k := range 20 {
			x.now += period / 20
			if k%2 == 0 || p > 60 {
				x.ask(0, "heavy")
				x.ask(0, "heavy")
			}
			if p%40 < 20 { // intermittent demand
				for range 3 {
					x.ask(rng.IntN(3), "moody")
				}
			}
			if p > 20 && x.ask(rng.IntN(3), fmt.Sprint("small", rng.IntN(400))) {
				smallIn++
			}
			if p > 20 {
				small++
			}
		}
		if p == 99 {
			from = x.now
		}
		x.tick()
	}
	n := 0
	for _, at := range x.admitted[KeyID(x.limit.ID, "heavy")] {
		if at > from {
			n++
		}
	}
	if got := float64(n) / (float64(x.now-from) / 1e6); got < 0.88*x.limit.Rate {
		t.Errorf("the heavy key gets %.1f requests per second of %.0f", got, x.limit.Rate)
	}
	if float64(smallIn) < 0.98*float64(small) {
		t.Errorf("%d of %d requests of small keys are admitted", smallIn, small)
	}
	if over := x.exceededKey(); over != "" {
		t.Error(over)
	}
	if n := x.procs[0].Len(); n > 40 {
		t.Errorf("%d keys have their own share", n)
	}
}

// Ten thousand heavy keys get their own shares and further ones do not. Keys without requests lose theirs.
func TestKeysAreBounded(t *testing.T) {
	x := newKeyedFleet(2)
	x.now += 20 * period
	for i := range MaxKeys + 50 {
		for range 8 {
			x.ask(0, fmt.Sprint(i))
		}
	}
	if n := x.procs[0].Len(); n != MaxKeys || x.procs[0].Overflows == 0 {
		t.Fatalf("%d keys, %d overflows", n, x.procs[0].Overflows)
	}
	for range 400 {
		x.now += period
		x.tick()
	}
	if a, b := x.procs[0].Len(), x.procs[1].Len(); a+b > 0 {
		t.Errorf("%d and %d keys still have their own share", a, b)
	}
	if len(x.procs[0].order) > 0 {
		t.Error("the order of the keys still has entries")
	}
}

// Compares the sketch with a plain map of buckets: the fraction of requests that it refuses although their
// key is within its limit, by the number of keys, and the memory of keyed shares.
func TestSketchAgainstPlainMap(t *testing.T) {
	for _, x := range []struct {
		keys int
		most float64 // allowed fraction of wrong refusals
	}{{1_000, 0.0001}, {10_000, 0.001}, {100_000, 0.05}} {
		rng := rand.New(rand.NewPCG(7, 7))
		tail := &sketch{}
		type bucket struct {
			level float64
			at    Micros
		}
		plain := map[uint64]*bucket{}
		const rate, burst = 2.0, 3.0
		asked, wrong, over := 0, 0, 0
		for now := Micros(0); now < 20_000_000; now += 1_000_000 / Micros(x.keys/5+1) {
			id := KeyID(1<<40, fmt.Sprint(rng.IntN(x.keys)))
			b := plain[id]
			if b == nil {
				b = &bucket{at: now}
				plain[id] = b
			}
			b.level = max(0, b.level-rate*float64(now-b.at)/1e6)
			b.at = now
			asked++
			may := b.level+1 <= burst
			if tail.take(now, id, rate, burst) {
				if b.level++; b.level > burst+0.01 {
					over++
				}
			} else if may {
				wrong++
			}
		}
		share := float64(wrong) / float64(asked)
		if over > 0 || share > x.most {
			t.Errorf("%d keys: %d admitted that a map would refuse, %.4f of %d refused wrongly", x.keys, over,
				share, asked)
		}
		t.Logf("%d keys: %.5f of %d refused wrongly", x.keys, share, asked)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := newKeyedFleet(2)
	x.now += 20 * period
	for i := range MaxKeys {
		for range 6 {
			x.ask(0, fmt.Sprint(i))
		}
	}
	clear(x.admitted)
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d keys with their own share, and the sketch: %.1f MB", x.procs[0].Len(),
		float64(after.HeapAlloc-before.HeapAlloc)/1e6)
	if n := after.HeapAlloc - before.HeapAlloc; n > 12<<20 {
		t.Errorf("keyed shares use %d bytes", n)
	}
	runtime.KeepAlive(x)
}

// BenchmarkKeyTake measures one decision among 10,000 keys, a tenth of which have their own share.
func BenchmarkKeyTake(b *testing.B) {
	x := newKeyedFleet(2)
	x.now += 20 * period
	ids := make([]uint64, 10_000)
	for i := range ids {
		ids[i] = KeyID(x.limit.ID, fmt.Sprint(i))
		for range 8 * (1 - min(1, i%10)) {
			x.procs[0].Take(x.now, ids[i])
		}
	}
	b.ReportAllocs()
	for i := range b.N {
		x.procs[0].Take(x.now+Micros(i), ids[i%len(ids)])
	}
}
