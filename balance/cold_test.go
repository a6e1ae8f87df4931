package balance

import (
	"math"
	"math/rand/v2"
	"testing"
)

// coldFleet plays instances that know nothing of one another before one replica that starts, and returns the
// largest use of its budget: what all send it in any FallSpan over N + 2 x root of N + 2, N being
// FallMultiple x its present capacity x FallSpan by the told climb, in parts of mean work.
type coldFleet struct {
	instances int
	anew      bool // all of them start with the replica: none knows what a warm one carries
	shift     bool // the traffic moves to other instances while the replica is cold
	alone     bool // nothing else holds the shard from then on: it gets all that it may
}

const (
	coldWarm  = 4    // warm replicas beside it
	fullRate  = 13.8 // parts a second of a warm replica
	loadShare = 0.55 // of that is asked for
	burstMore = 1.5  // times that, for some seconds
	hotOne    = 4.0  // times the mean traffic, of one instance in ten
	servedIn  = 80 * ms
)

func (f coldFleet) play(t *testing.T, seed uint64) (worst float64, sent int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 99))
	s := settings()
	s.Peers, s.FallMultiple, s.FallSpan, s.ColdShare, s.Ramp = f.instances, 2.5, 2000*ms, 0.18, 12_000*ms
	s.Classes[0] = Class{Aim: 1500 * ms, Deadline: 4000 * ms, Worth: 1, Need: 1, Floor: 1}
	replicas := ready(coldWarm + 1)
	begun := 20_000 * ms
	var all []*bench
	var weights []float64
	fresh := func(i int, now Micros) *bench {
		s.Number = i
		b, err := New(s, rng.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		k := &bench{t: t, b: b, now: now}
		k.step(Event{Kind: List, Mode: Full, Replicas: replicas})
		return k
	}
	total := 0.0
	for i := range f.instances {
		all = append(all, fresh(i, begun))
		w := 1.0
		if i%10 == 9 {
			w = hotOne
		}
		weights = append(weights, w)
		total += w
	}
	draw := func() int {
		x := rng.Float64() * total
		for i, w := range weights {
			if x -= w; x < 0 {
				return i
			}
		}
		return 0
	}
	type due struct {
		at   Micros
		k    *bench
		id   uint32
		to   ReplicaID
		tryN int
	}
	var pending []due
	var times []Micros
	started := begun + 15_000*ms
	cold := replicas[0].ID
	book := func(k *bench, acts []Action, now Micros) {
		for _, a := range of(Send, acts) {
			pending = append(pending, due{now + servedIn, k, a.ID, a.Replica, 0})
			if a.Replica == cold && now >= started {
				times = append(times, now)
			}
		}
	}
	for now := begun; now < started+s.Ramp; now += s.Tick {
		if now == started {
			replicas[0].Started = now
			for i := range replicas[1:] {
				if f.alone {
					replicas[i+1].State = Removed
				}
			}
			for i, k := range all {
				if f.anew {
					all[i] = fresh(i, now)
				} else {
					k.now = now
					k.step(Event{Kind: List, Mode: Delta, Replicas: replicas})
				}
			}
			if f.anew {
				pending = nil
			}
		}
		rate := loadShare * fullRate * (coldWarm + 1)
		if burst := now - started; burst >= 1500*ms && burst < 8000*ms {
			rate *= burstMore
		}
		if f.shift && now == started+4000*ms {
			rng.Shuffle(len(weights), func(i, j int) { weights[i], weights[j] = weights[j], weights[i] })
		}
		for len(pending) > 0 && pending[0].at <= now {
			d := pending[0]
			pending = pending[1:]
			d.k.now = now
			book(d.k, d.k.result(d.id, d.tryN, d.to, OK), now)
		}
		for x := rng.ExpFloat64(); x < rate*float64(s.Tick)/1e6; x += rng.ExpFloat64() {
			k := all[draw()]
			k.now = now
			k.query(0, 1)
			book(k, k.out, now)
		}
	}
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at < from+s.FallSpan {
				n++
			}
		}
		share := s.ColdShare + (1-s.ColdShare)*float64(from-started)/float64(s.Ramp)
		allowed := s.FallMultiple * share * fullRate * float64(s.FallSpan) / 1e6
		worst = max(worst, float64(n)/(allowed+2*math.Sqrt(allowed)+2))
	}
	return worst, len(times)
}

func TestColdBudgetHoldsForTheFleet(t *testing.T) {
	for _, f := range []coldFleet{
		{2, false, false, false}, {30, false, false, false}, {300, false, false, false},
		{2, true, false, false}, {30, true, false, false}, {300, true, false, false},
		{2, false, true, false}, {30, false, true, false}, {300, false, true, false},
		{2, false, true, true}, {30, false, true, true}, {300, false, true, true},
		{2, true, true, true}, {30, true, true, true}, {300, true, true, true},
	} {
		worst, sum := 0.0, 0
		for seed := range uint64(5) {
			w, n := f.play(t, seed)
			worst, sum = max(worst, w), sum+n
		}
		t.Logf("%+v: at most %.2f of the budget, %d parts", f, worst, sum/5)
		if worst > 1 {
			t.Errorf("%+v: %.2f of the budget", f, worst)
		}
	}
}
