package translate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"lapislever/balance"
)

const ms = balance.Micros(1000)

// The wheel against a sorted list, over times on every level and gaps of any length.
func TestWheelAgainstASortedList(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := balance.Micros(rng.Int64N(1 << 40))
		w := NewWheel[int](10*ms, now)
		due := map[int]balance.Micros{}
		items := map[int]*Item[int]{}
		for step := range 3000 {
			switch rng.IntN(6) {
			case 0, 1, 2:
				at := now + rng.Int64N(1<<(10+rng.IntN(30)))
				items[step] = &Item[int]{Value: step}
				due[step] = at
				w.Add(items[step], at)
			case 3:
				for id := range items { // any
					w.Remove(items[id])
					w.Remove(items[id])
					delete(items, id)
					delete(due, id)
					break
				}
			case 4:
				for id := range items {
					due[id] = now + rng.Int64N(1<<(10+rng.IntN(30)))
					w.Add(items[id], due[id])
					break
				}
			case 5:
				now += rng.Int64N(1 << (8 + rng.IntN(28)))
				w.Advance(now, func(it *Item[int]) {
					at, held := due[it.Value]
					if !held || at > now {
						t.Fatalf("seed %d: item %d expired at %d, due %d", seed, it.Value, now, at)
					}
					delete(due, it.Value)
					delete(items, it.Value)
				})
				for id, at := range due {
					if at <= now-10*ms-1 {
						t.Fatalf("seed %d: item %d is due at %d, and still held at %d", seed, id, at, now)
					}
				}
			}
			if w.Len() != len(due) {
				t.Fatalf("seed %d: %d held, want %d", seed, w.Len(), len(due))
			}
		}
	}
}

// What the guard says, move by move.
func TestGuard(t *testing.T) {
	g := NewGuard(0, 10_000*ms, 2)
	ask := func(now balance.Micros, key string, domain int) (Verdict, uint64) {
		v, token, by := g.Ask(now, key, 1, domain, 3000*ms)
		if v == Allowed && by > now+3000*ms {
			t.Fatalf("may be written until %d", by)
		}
		return v, token
	}
	want := func(what string, got, want Verdict) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	v, first := ask(0, "a", 0)
	want("the first", v, Allowed)
	v, _ = ask(1000*ms, "a", 1)
	want("in the other form", v, Elsewhere)
	v, second := ask(2000*ms, "a", 0)
	want("a repeat within the window", v, Allowed)
	v, _ = ask(3000*ms, "a", 0)
	want("a repeat past it", v, Past)
	g.Never(3000*ms, "a", 1, first)
	v, third := ask(3500*ms, "a", 0)
	want("once the first has proved never to have run", v, Allowed)
	g.Never(3600*ms, "a", 1, second)
	g.Never(3600*ms, "a", 1, third)
	g.Never(3600*ms, "a", 1, third)
	if g.Len() != 0 {
		t.Errorf("%d keys held of which nothing may have run", g.Len())
	}
	v, _ = ask(4000*ms, "a", 1)
	want("elsewhere, as nothing has run", v, Allowed)
	v, _ = ask(4000*ms, "b", 1)
	want("a second key", v, Allowed)
	v, _ = ask(4000*ms, "c", 1)
	want("a third key where two are the most", v, Crowded)
	want("a query of it", g.Known(4000*ms, "c", 1), Crowded)
	want("a late retry of a known one", g.Known(8000*ms, "a", 1), Past)
	want("its other shard", g.Known(8000*ms, "a", 2), Crowded)
	want("long after", g.Known(4000*ms+13_000*ms+2*guardTick, "a", 1), Allowed)
	if g.Len() != 0 || g.wheel.Len() != 0 {
		t.Errorf("%d keys and %d timers are left", g.Len(), g.wheel.Len())
	}
}

// Whatever is asked and taken back in whatever order: no key is ever sent to two domains, nor past the window
// of the first send that may still have run, as counted by a record that forgets nothing.
func TestGuardOverLongHistories(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		window, remember := 300*ms, 2000*ms
		g := NewGuard(0, remember, 40)
		type send struct {
			at     balance.Micros
			domain int
			token  uint64
		}
		record := map[string][]send{}
		allowed := 0
		for now := balance.Micros(0); now < 60_000*ms; now += rng.Int64N(20 * ms) {
			key := fmt.Sprint("k", now/(4000*ms), "-", rng.IntN(12)) // each is asked for over four seconds at most
			if sends := record[key]; len(sends) > 0 && rng.IntN(3) == 0 {
				i := rng.IntN(len(sends))
				g.Never(now, key, 0, sends[i].token)
				record[key] = slices.Delete(sends, i, i+1)
				continue
			}
			domain := rng.IntN(2)
			v, token, by := g.Ask(now, key, 0, domain, window)
			sends := record[key]
			if v == Allowed {
				allowed++
				if n := len(sends); n > 0 && now >= sends[n-1].at+window+remember {
					sends = nil // long enough ago to be forgotten
				}
				if len(sends) > 0 && (now >= sends[0].at+window || domain != sends[0].domain || by > sends[0].at+window) {
					t.Fatalf("seed %d: %s sent at %d to %d after %+v", seed, key, now, domain, sends)
				}
				record[key] = append(sends, send{now, domain, token})
			} else if v != Crowded && len(sends) == 0 {
				t.Fatalf("seed %d: %s turned away (%v) though nothing of it may have run", seed, key, v)
			}
		}
		if allowed < 100 {
			t.Fatalf("seed %d: only %d sends were allowed", seed, allowed)
		}
	}
}

// Every status has an outcome and a reason; only the contract's own word makes one that never ran.
func TestStatuses(t *testing.T) {
	for code := Code(0); code < 40; code++ {
		for _, unseen := range []bool{false, true} {
			r := FromStatus(code, unseen)
			if never := r.Outcome == balance.Busy || r.Outcome == balance.NoConnection ||
				r.Outcome == balance.NotSent; never != (unseen && (code == 8 || code == 14)) {
				t.Errorf("status %d, unseen %v: %v", code, unseen, r)
			}
			if (r.Outcome == balance.OK) != (code == OK) || (r.Reason == None) != (code == OK) {
				t.Errorf("status %d: %v", code, r)
			}
			if (r.Reason == UnknownStatus) != (code > 16) {
				t.Errorf("status %d: %v", code, r)
			}
		}
	}
	for text, want := range map[string]bool{"0": true, "16": true, "17": false, "": false, "-1": false,
		"x":          false,
		"4294967296": false, "00000000005": true} {
		if _, ok := ParseStatus(text); ok != want {
			t.Errorf("status %q is known: %v", text, ok)
		}
	}
	for status := 100; status < 600; status++ {
		if r := FromHTTP(status); r.Outcome == balance.OK || r.Outcome == balance.Busy || r.Reason == None {
			t.Errorf("HTTP %d without a status of gRPC: %v", status, r)
		}
	}
}

func TestValues(t *testing.T) {
	for _, c := range []struct {
		a    Answer
		want string
		why  Reason
	}{
		{Answer{Shard: 3, Kind: Text, Text: []byte("5be2")}, "5be2", None},
		{Answer{Shard: 3, Kind: Text}, "", None},
		{Answer{Shard: 3, Kind: Integer, Integer: -17}, "-17", None},
		{Answer{Shard: 3, Kind: Float}, "", UnsupportedKind},
		{Answer{Shard: 3, Kind: Bytes, Text: []byte("x")}, "", UnsupportedKind},
		{Answer{Shard: 3}, "", UnsupportedKind},
		{Answer{Shard: 4, Kind: Text}, "", WrongShard},
		{Answer{Shard: 3, Kind: Text, Text: []byte{0xff}}, "", InvalidUTF8},
		{Answer{Shard: 3, Kind: Text, Text: []byte(strings.Repeat("x", 101))}, "", TooLarge},
	} {
		got, why := c.a.Value(3, 100)
		if string(got) != c.want || why != c.why {
			t.Errorf("%+v: %q, %v", c.a, got, why)
		}
	}
}

// What an old terminal is told is always one of its words, and never a blank one.
func TestWords(t *testing.T) {
	for why := range reasons {
		for i := range 8 {
			refused, overdue, taken := i&1 > 0, i&2 > 0, i&4 > 0
			w := Failed(refused, overdue, taken, why)
			if w.Status == 200 || w.Text == "" || w.Refused != (w.Status == 503) {
				t.Errorf("%v, %v: %+v", why, i, w)
			}
			if w.Refused && (!refused || why.Untranslatable()) {
				t.Errorf("%v, %v: told to come again: %+v", why, i, w)
			}
		}
		if why > None && why.String() == "" {
			t.Errorf("reason %d has no name", why)
		}
	}
	for v := Past; v <= Crowded; v++ {
		if w := Turn(v); w.Refused != (v == Crowded) || w.Status == 200 {
			t.Errorf("%v: %+v", v, w)
		}
	}
}

// Structures for expiry. The work is a guard's: a key is added, and mostly taken out again before it is due,
// as its query was refused unseen; the rest expires.
type expiry interface {
	add(i int, due balance.Micros)
	remove(i int)
	advance(now balance.Micros) int
}

type wheelExpiry struct {
	w     *Wheel[int]
	items []Item[int]
}

func (x *wheelExpiry) add(i int, due balance.Micros) { x.items[i].Value = i; x.w.Add(&x.items[i], due) }
func (x *wheelExpiry) remove(i int)                  { x.w.Remove(&x.items[i]) }
func (x *wheelExpiry) advance(now balance.Micros) (n int) {
	x.w.Advance(now, func(*Item[int]) { n++ })
	return n
}

// mapExpiry sweeps all it holds, once a tick.
type mapExpiry struct {
	m    map[int]balance.Micros
	last balance.Micros
}

func (x *mapExpiry) add(i int, due balance.Micros) { x.m[i] = due }
func (x *mapExpiry) remove(i int)                  { delete(x.m, i) }
func (x *mapExpiry) advance(now balance.Micros) (n int) {
	if now-x.last < guardTick {
		return 0
	}
	x.last = now
	for i, due := range x.m {
		if due <= now {
			delete(x.m, i)
			n++
		}
	}
	return n
}

type heapItem struct {
	due balance.Micros
	i   int
}

type heapExpiry struct {
	h  []heapItem
	at []int // place in the heap, or -1
}

func (x *heapExpiry) Len() int           { return len(x.h) }
func (x *heapExpiry) Less(i, j int) bool { return x.h[i].due < x.h[j].due }
func (x *heapExpiry) Swap(i, j int) {
	x.h[i], x.h[j] = x.h[j], x.h[i]
	x.at[x.h[i].i], x.at[x.h[j].i] = i, j
}
func (x *heapExpiry) Push(v any) { x.at[v.(heapItem).i] = len(x.h); x.h = append(x.h, v.(heapItem)) }
func (x *heapExpiry) Pop() any {
	v := x.h[len(x.h)-1]
	x.h, x.at[v.i] = x.h[:len(x.h)-1], -1
	return v
}
func (x *heapExpiry) add(i int, due balance.Micros) { heap.Push(x, heapItem{due, i}) }
func (x *heapExpiry) remove(i int) {
	if at := x.at[i]; at >= 0 {
		heap.Remove(x, at)
	}
}
func (x *heapExpiry) advance(now balance.Micros) (n int) {
	for len(x.h) > 0 && x.h[0].due <= now {
		heap.Pop(x)
		n++
	}
	return n
}

// BenchmarkExpiry is one key's life among so many that are held.
func BenchmarkExpiry(b *testing.B) {
	for _, held := range []int{1_000, 100_000} {
		for _, kind := range []string{"wheel", "heap", "map"} {
			b.Run(fmt.Sprintf("%s/%d", kind, held), func(b *testing.B) {
				n := 2 * held
				var x expiry
				switch kind {
				case "wheel":
					x = &wheelExpiry{NewWheel[int](guardTick, 0), make([]Item[int], n)}
				case "heap":
					h := &heapExpiry{at: make([]int, n)}
					for i := range h.at {
						h.at[i] = -1
					}
					x = h
				case "map":
					x = &mapExpiry{m: map[int]balance.Micros{}}
				}
				life := 10_000 * ms
				step := life / balance.Micros(held)
				rng := rand.New(rand.NewPCG(1, 1))
				now := balance.Micros(0)
				turn := func(i int) {
					now += step
					x.advance(now)
					x.add(i%n, now+life+rng.Int64N(1000*ms))
					if i%4 != 0 {
						x.remove((i + n - held/8 - 1) % n)
					}
				}
				for i := range n {
					turn(i)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					turn(i)
				}
			})
		}
	}
}
