package quota

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
)

// keyed are members with a limit for each key, links that lose nothing, and a count of what each key got.
type keyed struct {
	now   Micros
	procs []*KeyedShares
	let   map[uint64][]Micros
	limit Limit
}

func newKeyed(n int) *keyed {
	x := &keyed{now: 1, let: map[uint64][]Micros{},
		limit: Limit{Name: "t", ID: LimitID("t"), Rate: 30, Burst: 9}}
	for i := range n {
		x.procs = append(x.procs, NewKeyedShares(x.limit, n, period, uint64(i+1), 1))
	}
	return x
}

func (x *keyed) ask(i int, key string) bool {
	id := KeyID(x.limit.ID, key)
	ok, _ := x.procs[i].Take(x.now, id)
	if ok {
		x.let[id] = append(x.let[id], x.now)
	}
	return ok
}

// tick is a period's end: all messages arrive at once.
func (x *keyed) tick() {
	type letter struct {
		from int
		Message
	}
	var post []letter
	for i, k := range x.procs {
		var peers []string
		for j := range x.procs {
			if j != i {
				peers = append(peers, fmt.Sprint("m", j))
			}
		}
		for _, s := range k.Tick(x.now, peers) {
			post = append(post, letter{i, s})
		}
	}
	for len(post) > 0 {
		l := post[0]
		post = post[1:]
		var to int
		_, _ = fmt.Sscanf(l.To, "m%d", &to)
		for _, s := range x.procs[to].Receive(x.now, fmt.Sprint("m", l.from), l.Data) {
			post = append(post, letter{to, s})
		}
	}
}

// over names a key that got more in a window than its rate and burst allow.
func (x *keyed) over() string {
	for id, at := range x.let {
		for _, span := range []Micros{100_000, 1_000_000, 5_000_000} {
			first := 0
			for i, t := range at {
				for at[first] <= t-span {
					first++
				}
				if n, most := float64(i-first+1), x.limit.Rate*float64(span)/1e6+x.limit.Burst; n > most {
					return fmt.Sprintf("key %x got %.0f in %d us, where %.0f may be", id, n, span, most)
				}
			}
		}
	}
	return ""
}

// Each of many keys has the rate for itself: one that is heavy at one member gets nine tenths of it there,
// small ones are let in beside it, a key that moves to and fro between sketch and share is never over.
func TestEachKeyHasItsOwn(t *testing.T) {
	x := newKeyed(3)
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
			if p%40 < 20 { // now and then
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
	for _, at := range x.let[KeyID(x.limit.ID, "heavy")] {
		if at > from {
			n++
		}
	}
	if got := float64(n) / (float64(x.now-from) / 1e6); got < 0.88*x.limit.Rate {
		t.Errorf("the heavy key gets %.1f of %.0f a second", got, x.limit.Rate)
	}
	if float64(smallIn) < 0.98*float64(small) {
		t.Errorf("%d of %d of small keys are let in", smallIn, small)
	}
	if over := x.over(); over != "" {
		t.Error(over)
	}
	if n := x.procs[0].Len(); n > 40 {
		t.Errorf("%d keys have a share of their own", n)
	}
}

// Ten thousand heavy keys have shares of their own and one more does not; those that stop asking give their
// room up.
func TestKeysAreBounded(t *testing.T) {
	x := newKeyed(2)
	x.now += 20 * period
	for i := range MostKeys + 50 {
		for range 8 {
			x.ask(0, fmt.Sprint(i))
		}
	}
	if n := x.procs[0].Len(); n != MostKeys || x.procs[0].Crowded == 0 {
		t.Fatalf("%d keys, crowded %d", n, x.procs[0].Crowded)
	}
	for range 400 {
		x.now += period
		x.tick()
	}
	if a, b := x.procs[0].Len(), x.procs[1].Len(); a+b > 0 {
		t.Errorf("%d and %d keys still have shares of their own", a, b)
	}
	if len(x.procs[0].order) > 0 {
		t.Error("the order is kept")
	}
}

// What the sketch costs: small keys that are turned away although alone they would not be, by how many there
// are, against a plain map of buckets, and the memory of both.
func TestTheTailAgainstAPlainMap(t *testing.T) {
	for _, x := range []struct {
		keys int
		most float64 // share of wrong refusals
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
			t.Errorf("%d keys: %d let in that a map would not, %.4f of %d turned away for nothing", x.keys, over,
				share, asked)
		}
		t.Logf("%d keys: %.5f of %d turned away for nothing", x.keys, share, asked)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := newKeyed(2)
	x.now += 20 * period
	for i := range MostKeys {
		for range 6 {
			x.ask(0, fmt.Sprint(i))
		}
	}
	clear(x.let)
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d keys of their own and the sketch: %.1f MB", x.procs[0].Len(),
		float64(after.HeapAlloc-before.HeapAlloc)/1e6)
	if n := after.HeapAlloc - before.HeapAlloc; n > 12<<20 {
		t.Errorf("%d bytes", n)
	}
	runtime.KeepAlive(x)
}

// BenchmarkKeyTake is one decision among 10,000 keys, a tenth of them with a share of their own.
func BenchmarkKeyTake(b *testing.B) {
	x := newKeyed(2)
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
