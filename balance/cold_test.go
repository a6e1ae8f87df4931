package balance

import (
	"math"
	"math/rand/v2"
	"testing"
)

// coldFleet simulates independent instances, without messages between them, around the restart of one
// replica. It determines the largest utilization of the replica's budget: the number of parts that all
// instances send it in any FallSpan, divided by N + 2 x sqrt(N) + 2, where N is FallMultiple x its current
// capacity x FallSpan with the linear climb from ColdShare, in parts of mean work.
type coldFleet struct {
	instances    int
	newInstances bool // all instances start together with the replica and have no capacity estimate
	shiftTraffic bool // the traffic moves to other instances while the replica is cold
	onlyHolder   bool // from the restart on no other replica holds the shard, so it gets all it may
}

const (
	warmReplicas      = 4    // warm replicas in addition to the restarted one
	fullRate          = 13.8 // parts per second that a warm replica can serve
	baseLoad          = 0.55 // share of that rate that is requested
	burstFactor       = 1.5  // factor on the load for some seconds after the restart
	hotInstanceFactor = 4.0  // traffic of one instance in ten, as a multiple of the others'
	serviceTime       = 80 * ms
)

func (f coldFleet) simulate(t *testing.T, seed uint64) (maxUse float64, sent int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 99))
	s := settings()
	s.Peers, s.FallMultiple, s.FallSpan, s.ColdShare, s.Ramp = f.instances, 2.5, 2000*ms, 0.18, 12_000*ms
	s.Classes[0] = Class{Aim: 1500 * ms, Deadline: 4000 * ms, Worth: 1, Need: 1, Floor: 1}
	replicas := readyReplicas(warmReplicas + 1)
	startTime := 20_000 * ms
	var all []*instance
	var weights []float64
	newInstance := func(i int, now Micros) *instance {
		s.Number = i
		b, err := New(s, rng.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		k := &instance{t: t, balancer: b, now: now}
		k.step(Event{Kind: List, Mode: Full, Replicas: replicas})
		return k
	}
	total := 0.0
	for i := range f.instances {
		all = append(all, newInstance(i, startTime))
		w := 1.0
		if i%10 == 9 {
			w = hotInstanceFactor
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
		k    *instance
		id   uint32
		to   ReplicaID
		tryN int
	}
	var pending []due
	var times []Micros
	restartTime := startTime + 15_000*ms
	cold := replicas[0].ID
	recordSends := func(k *instance, acts []Action, now Micros) {
		for _, a := range ofKind(Send, acts) {
			pending = append(pending, due{now + serviceTime, k, a.ID, a.Replica, 0})
			if a.Replica == cold && now >= restartTime {
				times = append(times, now)
			}
		}
	}
	for now := startTime; now < restartTime+s.Ramp; now += s.Tick {
		if now == restartTime {
			replicas[0].Started = now
			for i := range replicas[1:] {
				if f.onlyHolder {
					replicas[i+1].State = Removed
				}
			}
			for i, k := range all {
				if f.newInstances {
					all[i] = newInstance(i, now)
				} else {
					k.now = now
					k.step(Event{Kind: List, Mode: Delta, Replicas: replicas})
				}
			}
			if f.newInstances {
				pending = nil
			}
		}
		rate := baseLoad * fullRate * (warmReplicas + 1)
		if burst := now - restartTime; burst >= 1500*ms && burst < 8000*ms {
			rate *= burstFactor
		}
		if f.shiftTraffic && now == restartTime+4000*ms {
			rng.Shuffle(len(weights), func(i, j int) { weights[i], weights[j] = weights[j], weights[i] })
		}
		for len(pending) > 0 && pending[0].at <= now {
			d := pending[0]
			pending = pending[1:]
			d.k.now = now
			recordSends(d.k, d.k.result(d.id, d.tryN, d.to, OK), now)
		}
		for x := rng.ExpFloat64(); x < rate*float64(s.Tick)/1e6; x += rng.ExpFloat64() {
			k := all[draw()]
			k.now = now
			k.query(0, 1)
			recordSends(k, k.actions, now)
		}
	}
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at < from+s.FallSpan {
				n++
			}
		}
		share := s.ColdShare + (1-s.ColdShare)*float64(from-restartTime)/float64(s.Ramp)
		allowed := s.FallMultiple * share * fullRate * float64(s.FallSpan) / 1e6
		maxUse = max(maxUse, float64(n)/(allowed+2*math.Sqrt(allowed)+2))
	}
	return maxUse, len(times)
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
			w, n := f.simulate(t, seed)
			worst, sum = max(worst, w), sum+n
		}
		t.Logf("%+v: at most %.2f of the budget used, %d parts", f, worst, sum/5)
		if worst > 1 {
			t.Errorf("%+v: %.2f of the budget used", f, worst)
		}
	}
}
