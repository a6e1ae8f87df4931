package admission

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
)

const second = Micros(1_000_000)

func addr(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
}

// Compares the trie with a linear scan while prefixes of both address families are added, changed and
// removed.
func TestTrieAgainstScan(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		any := func() netip.Addr {
			if rng.IntN(2) == 0 {
				return netip.AddrFrom4([4]byte{10, byte(rng.IntN(2)), byte(rng.IntN(4)), byte(rng.IntN(256))})
			}
			b := [16]byte{0x20, 1, byte(rng.IntN(2)), 0, 0, 0, 0, byte(rng.IntN(4)), 15: byte(rng.IntN(256))}
			return netip.AddrFrom16(b)
		}
		var trie Trie[int]
		plain := map[netip.Prefix]*int{}
		for step := range 2000 {
			a := any()
			p := netip.PrefixFrom(a, rng.IntN(a.BitLen()+1)).Masked()
			switch rng.IntN(4) {
			case 0:
				trie.Put(p, nil)
				delete(plain, p)
			case 1, 2:
				v := step
				trie.Put(p, &v)
				plain[p] = &v
			}
			var want *int
			best := -1
			for p, v := range plain {
				if p.Contains(a) && p.Bits() > best {
					want, best = v, p.Bits()
				}
			}
			if got := trie.Find(a); got != want {
				t.Fatalf("seed %d, step %d: %v found, want %v", seed, step, got, want)
			}
			if n := 0; trie.Len() != len(plain) {
				t.Fatalf("%d held, want %d (%d)", trie.Len(), len(plain), n)
			}
		}
	}
}

func TestCapsRatesAndOverrides(t *testing.T) {
	ac := New(Limits{Reserve: 2, MaxTracked: 100, Default: Rule{MaxOpen: 3, Rate: 1, Burst: 2}, Rules: []Rule{
		{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Known: true, MaxOpen: 5},
		{Prefix: netip.MustParsePrefix("10.2.0.0/16"), MaxOpen: 1, MaxTotal: 2},
		{Prefix: netip.MustParsePrefix("10.3.0.9/32"), Gateway: true, Rate: 100, Burst: 50}}})
	at := func(now Micros, a string) Decision {
		return ac.Decide(now, Arrival{Addr: netip.MustParseAddr(a), Capacity: 100})
	}
	want := func(what string, d Decision, v Outcome, r Reason) {
		t.Helper()
		if d.Outcome != v || d.Reason != r || v == Refuse && d.RetryAfter <= 0 {
			t.Errorf("%s: %+v", what, d)
		}
	}
	first := at(0, "10.0.0.1")
	want("first connection", first, Admit, None)
	want("second connection", at(0, "10.0.0.1"), Admit, None)
	d := at(0, "10.0.0.1")
	want("above the burst", d, Refuse, TooFast)
	if d.RetryAfter > second {
		t.Errorf("retry after %d us at a rate of one per second", d.RetryAfter)
	}
	want("after the retry time", at(d.RetryAfter, "10.0.0.1"), Admit, None)
	want("fourth open connection", at(5*second, "10.0.0.1"), Refuse, TooMany)
	ac.Remove(first.ID)
	ac.Remove(first.ID)
	want("after one has ended", at(8*second, "10.0.0.1"), Admit, None)
	for i := range 5 {
		want("known clients have no rate limit", at(0, "10.1.2.3"), Admit, None)
		_ = i
	}
	want("known clients' own cap", at(0, "10.1.2.3"), Refuse, TooMany)
	want("address with a rule", at(0, "10.2.0.1"), Admit, None)
	want("cap of the rule", at(0, "10.2.0.1"), Refuse, TooMany)
	want("another address of the prefix", at(0, "10.2.0.2"), Admit, None)
	want("cap of the prefix", at(0, "10.2.0.3"), Refuse, BlockCap)
	for range 20 {
		want("behind a gateway", at(0, "10.3.0.9"), Admit, None)
	}
	want("address next to the gateway", at(0, "10.3.0.8"), Admit, None)
	ac.Ban(netip.MustParsePrefix("10.0.0.0/24"), 20*second)
	want("banned", at(10*second, "10.0.0.7"), Refuse, Banned)
	ac.SetLimits(Limits{MaxTracked: 100, Default: Rule{MaxOpen: 3}})
	want("banned, after new limits", at(11*second, "::ffff:10.0.0.7"), Refuse, Banned)
	ac.Pin(netip.MustParsePrefix("10.0.0.7/32"), 20*second)
	want("pinned within a banned prefix", at(12*second, "10.0.0.7"), Admit, None)
	want("after the end of the ban", at(20*second, "10.0.0.8"), Admit, None)
	if n := len(ac.Overrides(20 * second)); n != 0 {
		t.Errorf("%d bans and pins in force", n)
	}
}

// At capacity: the reserve is for known clients, connections that have not authenticated have their own slots
// for a limited time, and idle connections are closed for new ones: those of unknown clients for any, those
// of known clients only for known ones.
func TestAtCapacity(t *testing.T) {
	known := netip.MustParsePrefix("10.9.0.0/16")
	ac := New(Limits{Reserve: 2, Proving: 1, ProveTimeout: second, MaxTracked: 100, Rules: []Rule{{Prefix: known,
		Known: true}}})
	n := 0
	arrive := func(a string, proves bool) Decision {
		n++
		return ac.Decide(0, Arrival{Addr: netip.MustParseAddr(a), Capacity: 6, Authenticates: proves})
	}
	var ids []uint64
	for i := range 3 {
		d := arrive(fmt.Sprint("10.0.0.", i), false)
		if d.Outcome != Admit {
			t.Fatalf("%d: %+v", i, d)
		}
		ids = append(ids, d.ID)
	}
	if d := arrive("10.0.0.9", false); d.Outcome != Refuse || d.Reason != Full {
		t.Errorf("unknown client at the reserve: %+v", d)
	}
	p := arrive("10.0.0.10", true)
	if p.Outcome != AdmitUnauthenticated {
		t.Errorf("client that may authenticate: %+v", p)
	}
	if d := arrive("10.0.0.11", true); d.Outcome != Refuse || d.Reason != Unauthenticated {
		t.Errorf("one client too many that may authenticate: %+v", d)
	}
	if d := arrive("10.9.0.1", false); d.Outcome != AdmitReserved {
		t.Errorf("known client: %+v", d)
	}
	if d := ac.Authenticate(second/2, p.ID, "head-office", true); d.Outcome != Admit ||
		ac.inUse[kindReserve] != 2 {
		t.Errorf("authentication: %+v, %v", d, ac.inUse)
	}
	if d := arrive("10.9.0.2", false); d.Outcome != Refuse || d.Reason != Full {
		t.Errorf("known client with no slot left: %+v", d)
	}
	late := arrive("10.0.0.12", true)
	if over := ac.Overdue(2 * second); len(over) != 1 || over[0] != late.ID {
		t.Errorf("overdue: %v", over)
	}
	if d := ac.Authenticate(2*second, late.ID, "x", true); d.Reason != Unauthenticated {
		t.Errorf("late authentication: %+v", d)
	}
	ac.Remove(late.ID)
	ac.MarkIdle(ids[1])
	ac.MarkIdle(ids[0])
	ac.MarkBusy(ids[1])
	ac.MarkIdle(p.ID)
	if d := arrive("10.0.0.13", false); d.Outcome != EvictIdle || d.ID != ids[0] {
		t.Errorf("an unknown client must evict the idle unknown one: %+v", d)
	}
	ac.Remove(ids[0])
	if d := arrive("10.0.0.13", false); d.Outcome != Admit {
		t.Errorf("an unknown client must get the slot of the evicted one: %+v", d)
	}
	if d := arrive("10.0.0.14", false); d.Outcome != Refuse {
		t.Errorf("an unknown client must not evict a known one: %+v", d)
	}
	if d := arrive("10.9.0.3", false); d.Outcome != EvictIdle || d.ID != p.ID {
		t.Errorf("a known client must evict the idle known one: %+v", d)
	}
}

// Over random histories the counts are correct, the capacity and the reserve are respected, a busy connection
// is never evicted, and at the end no state is left.
func TestControllerOverLongHistories(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2))
		l := Limits{Reserve: rng.IntN(4), Proving: rng.IntN(3), ProveTimeout: second, MaxTracked: 1 + rng.IntN(20),
			Default: Rule{MaxOpen: rng.IntN(5), Rate: float64(rng.IntN(3)), Burst: 3},
			Rules: []Rule{{Prefix: netip.MustParsePrefix("10.0.0.0/29"), Known: true},
				{Prefix: netip.MustParsePrefix("10.0.0.32/28"), MaxTotal: 3},
				{Prefix: netip.MustParsePrefix("10.0.0.64/28"), Gateway: true}}}
		ac := New(l)
		capacity := 12
		type in struct {
			known, busy bool
			addr        netip.Addr
		}
		open := map[uint64]*in{}
		now := Micros(0)
		check := func() {
			t.Helper()
			unknown := 0
			for _, c := range open {
				if !c.known {
					unknown++
				}
			}
			total := ac.inUse[kindGeneral] + ac.inUse[kindReserve] + ac.inUse[kindProving]
			if total != len(open) || ac.inUse[kindGeneral] < 0 || ac.inUse[kindReserve] < 0 ||
				ac.inUse[kindProving] < 0 {
				t.Fatalf("seed %d: counts %v, %d open", seed, ac.inUse, len(open))
			}
			_ = unknown
		}
		for range 4000 {
			now += rng.Int64N(second / 4)
			var some uint64
			for id := range open {
				some = id
				break
			}
			switch c := open[some]; rng.IntN(9) {
			case 0, 1, 2, 3:
				a := addr(rng.IntN(96))
				d := ac.Decide(now, Arrival{Addr: a, Authenticates: rng.IntN(3) == 0, Capacity: capacity})
				known := l.Rules[0].Prefix.Contains(a)
				switch d.Outcome {
				case EvictIdle:
					if open[d.ID].busy || open[d.ID].known && !known {
						t.Fatalf("seed %d: %+v is to be evicted for %v", seed, open[d.ID], a)
					}
					ac.Remove(d.ID)
					delete(open, d.ID)
				case Admit, AdmitReserved, AdmitUnauthenticated:
					open[d.ID] = &in{known: known, busy: true, addr: a}
					unknown := 0
					for _, c := range open {
						if !c.known {
							unknown++
						}
					}
					if len(open) > capacity || !known && unknown > max(0, capacity-l.Reserve) ||
						d.Outcome == AdmitReserved && !known {
						t.Fatalf("seed %d: %d open, %d unknown of %d slots: %+v", seed, len(open), unknown, capacity, d)
					}
				}
			case 4:
				if c != nil {
					ac.Remove(some)
					ac.Remove(some)
					delete(open, some)
				}
			case 5:
				if c != nil {
					c.busy = false
					ac.MarkIdle(some)
				}
			case 6:
				if c != nil {
					c.busy = true
					ac.MarkBusy(some)
				}
			case 7:
				if c != nil {
					if d := ac.Authenticate(now, some, fmt.Sprint("id", rng.IntN(5)), rng.IntN(2) == 0); d.Outcome == Admit {
						c.known = ac.conns[some].known
					} else if d.Outcome == Refuse {
						ac.Remove(some)
						delete(open, some)
					}
				}
			case 8:
				if rng.IntN(20) == 0 {
					capacity = 4 + rng.IntN(12) // admitted connections stay
				} else if rng.IntN(20) == 0 {
					ac.SetLimits(l)
				}
			}
			check()
		}
		for id := range open {
			ac.Remove(id)
			delete(open, id)
		}
		check()
		for _, s := range ac.addrs.byAddr {
			if s.open != 0 {
				t.Fatalf("seed %d: %+v still has open connections", seed, s)
			}
		}
		if len(ac.identities) != 0 || ac.idle[0].first != nil || ac.idle[1].first != nil ||
			len(ac.unauthenticated) != 0 || len(ac.addrs.byAddr) > l.MaxTracked {
			t.Fatalf("seed %d: %d identities, %d addresses, %d unauthenticated left", seed, len(ac.identities),
				len(ac.addrs.byAddr), len(ac.unauthenticated))
		}
	}
}

// Under a flood of distinct addresses memory is bounded and no client is refused wrongly. An evicted address
// gains at most one burst.
func TestFloodOfAddresses(t *testing.T) {
	ac := New(Limits{MaxTracked: 1000, Default: Rule{Rate: 1, Burst: 2}})
	now := Micros(0)
	for i := range 200_000 {
		now += 10
		d := ac.Decide(now, Arrival{Addr: addr(i), Capacity: 100})
		if d.Outcome != Admit {
			t.Fatalf("first connection of address %d: %+v", i, d)
		}
		ac.Remove(d.ID)
	}
	if len(ac.addrs.byAddr) > 1000 || ac.addrs.evicted != 199_000 {
		t.Errorf("%d tracked, %d evicted", len(ac.addrs.byAddr), ac.addrs.evicted)
	}
}

// BenchmarkDecide measures admitting and removing a connection among 1e5 addresses, with the controller and
// with an unbounded map and a linear scan.
func BenchmarkDecide(b *testing.B) {
	const addresses = 100_000
	measure := func(b *testing.B, one func(i int)) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range 2 * addresses {
			one(i)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			one(i)
		}
		b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024, "KiB-held")
	}
	for _, track := range []int{addresses, 4096} {
		b.Run(fmt.Sprintf("controller/track=%d", track), func(b *testing.B) {
			l := Limits{MaxTracked: track, Default: Rule{MaxOpen: 8, Rate: 10, Burst: 20}}
			for i := range 1000 {
				l.Rules = append(l.Rules, Rule{Prefix: netip.PrefixFrom(addr(i*1000), 28), MaxOpen: 4})
			}
			ac, now := New(l), Micros(0)
			measure(b, func(i int) {
				now += 100
				if d := ac.Decide(now, Arrival{Addr: addr(i % addresses), Capacity: 1000}); d.Outcome != Refuse {
					ac.Remove(d.ID)
				}
			})
		})
	}
	b.Run("map and scan", func(b *testing.B) {
		m := map[netip.Addr]*tracked{}
		var rules []netip.Prefix
		for i := range 1000 {
			rules = append(rules, netip.PrefixFrom(addr(i*1000), 28))
		}
		now := Micros(0)
		measure(b, func(i int) {
			now += 100
			a := addr(i % addresses)
			for _, p := range rules {
				if p.Contains(a) {
					break
				}
			}
			s := m[a]
			if s == nil {
				s = &tracked{addr: a}
				m[a] = s
			}
			s.takeToken(now, 10, 20)
		})
	})
}
