package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"lapislever/internal/membership"
)

// Row is one line of the measurements: an experiment, its parameters and its results.
type Row struct {
	Label   string
	Members int
	Loss    float64
	Seeds   int
	Values  []Value
}

// Value is a measured figure with its name and unit.
type Value struct {
	Name, Unit string
	V          float64
}

func (r Row) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-34s %5d members  loss %2.0f%%  %2d seeds ", r.Label, r.Members, 100*r.Loss, r.Seeds)
	for _, v := range r.Values {
		fmt.Fprintf(&b, "  %s %.4g %s", v.Name, v.V, v.Unit)
	}
	return b.String()
}

// quantile returns the q-quantile of the values, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// MeasureCrashes kills members one after another in a fleet per seed. It measures the number of periods until
// the first and the last of the other members detect each crash.
func MeasureCrashes(base Config, seeds, kills int) (Row, error) {
	var first, last []float64
	undetected := 0
	for seed := range uint64(seeds) {
		cfg := base
		cfg.Seed = seed + 1
		f, err := New(cfg)
		if err != nil {
			return Row{}, err
		}
		f.RunUntil(400*Period, func() bool { return f.Converged(All) })
		for k := range kills {
			f.Run(7*Period + Micros(k)*Period/7)
			victim := f.Len() - 1 - k
			killedAt, detected := f.Now(), map[int]Micros{}
			f.OnChange = func(c ViewChange) {
				if c.Member.Name == Name(victim) && c.Member.State == membership.Dead {
					if _, ok := detected[c.Observer]; !ok {
						detected[c.Observer] = c.At - killedAt
					}
				}
			}
			f.Kill(victim)
			running := 0
			for i := range f.Len() {
				if f.Running(i) {
					running++
				}
			}
			f.RunUntil(100*Period, func() bool { return len(detected) >= running })
			undetected += running - len(detected)
			minDelay, maxDelay := Micros(1<<62), Micros(0)
			for _, d := range detected {
				minDelay, maxDelay = min(minDelay, d), max(maxDelay, d)
			}
			first = append(first, float64(minDelay)/float64(Period))
			last = append(last, float64(maxDelay)/float64(Period))
		}
	}
	return Row{Label: "crash", Members: base.Members, Loss: base.Link.Loss, Seeds: seeds, Values: []Value{
		{"first median", "periods", quantile(first, 0.5)}, {"p99", "periods", quantile(first, 0.99)},
		{"last median", "periods", quantile(last, 0.5)}, {"p99", "periods", quantile(last, 0.99)},
		{"never known", "members", float64(undetected)}}}, nil
}

// MeasureFalseDeaths runs fleets without crashes, each for the given duration. It counts how often any member
// declares a running one dead, for slow members separately, and measures the traffic.
func MeasureFalseDeaths(base Config, seeds int, duration Micros) (Row, error) {
	sound, slow, hours, bytes, seconds := 0, 0, 0.0, 0.0, 0.0
	for seed := range uint64(seeds) {
		cfg := base
		cfg.Seed = base.Seed + seed + 1
		f, err := New(cfg)
		if err != nil {
			return Row{}, err
		}
		f.RunUntil(400*Period, func() bool { return f.Converged(All) })
		dead := map[string]bool{}
		f.OnChange = func(c ViewChange) {
			if c.Member.State == membership.Dead {
				dead[fmt.Sprint(c.Member.Name, " ", c.Member.Birth, c.Member.Incarnation)] = true
			}
		}
		startBytes, start := f.Bytes, f.Now()
		f.Run(duration)
		for id := range dead {
			var i int
			if _, _ = fmt.Sscanf(id, "m%04d ", &i); cfg.IsSlow != nil && cfg.IsSlow(i) {
				slow++
			} else {
				sound++
			}
		}
		elapsed := float64(f.Now()-start) / 1e6
		hours += elapsed / 3600 * float64(base.Members)
		bytes += float64(f.Bytes-startBytes) / float64(base.Members)
		seconds += elapsed
	}
	return Row{Label: "sound fleet", Members: base.Members, Loss: base.Link.Loss, Seeds: seeds, Values: []Value{
		{"false deaths of sound members", "", float64(sound)}, {"of slow ones", "", float64(slow)},
		{"in", "member-hours", hours}, {"traffic", "B/s a member", bytes / seconds}}}, nil
}

// MeasureHealing starts fleets, partitions each into halves until one half has converged, and heals it. It
// measures the number of periods until the views converge in each of the three steps.
func MeasureHealing(base Config, seeds int) (Row, error) {
	var start, cut, heal []float64
	failed := 0
	for seed := range uint64(seeds) {
		cfg := base
		cfg.Seed = seed + 1
		f, err := New(cfg)
		if err != nil {
			return Row{}, err
		}
		measure := func(results *[]float64, maxPeriods Micros, include func(int) bool) {
			elapsed, ok := f.RunUntil(maxPeriods*Period, func() bool { return f.Converged(include) })
			if !ok {
				failed++
			}
			*results = append(*results, float64(elapsed)/float64(Period))
		}
		measure(&start, 400, All)
		f.Run(5 * Period)
		half := func(i int) bool { return i%2 == 0 }
		f.Partition(func(a, b int) bool { return half(a) == half(b) })
		measure(&cut, 400, half)
		f.Run(20 * Period)
		f.Heal()
		measure(&heal, 400, All)
	}
	return Row{Label: "mass start, halves, heal", Members: base.Members, Loss: base.Link.Loss, Seeds: seeds,
		Values: []Value{{"start", "periods", quantile(start, 0.5)},
			{"one half agrees", "periods", quantile(cut, 0.5)},
			{"one view median", "periods", quantile(heal, 0.5)}, {"most", "periods", quantile(heal, 1)},
			{"failed", "", float64(failed)}}}, nil
}

// MeasureHeartbeats measures the simplest baseline: every member sends a heartbeat to all others once a
// period, and a receiver that misses missedLimit of them in a row from one sender declares that sender dead.
// Links lose datagrams as in the fleet, and the heartbeats of a slow member are late by a uniformly
// distributed time of up to SlowDelay.
func MeasureHeartbeats(base Config, seeds, missedLimit int, duration Micros) Row {
	const size = 40 + sealOverhead // header and digest, sealed
	deaths, hours := 0, 0.0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 11))
		n := base.Members
		missed := make([]uint8, n*n)
		for range int(duration / Period) {
			for from := range n {
				slow := base.IsSlow != nil && base.IsSlow(from)
				for to := range n {
					if from == to {
						continue
					}
					m := &missed[from*n+to]
					if rng.Float64() < base.Link.Loss ||
						slow && rng.Int64N(base.SlowDelay+1) > Period*Micros(missedLimit-1) {
						if *m++; int(*m) == missedLimit {
							deaths++
						}
					} else {
						*m = 0
					}
				}
			}
		}
		hours += float64(duration) / 1e6 / 3600 * float64(n)
	}
	return Row{Label: fmt.Sprintf("heartbeats to all, %d missed", missedLimit), Members: base.Members,
		Loss: base.Link.Loss, Seeds: seeds, Values: []Value{{"false deaths", "", float64(deaths)},
			{"in", "member-hours", hours}, {"rate", "a member-hour", float64(deaths) / hours},
			{"traffic", "B/s a member", float64(base.Members-1) * size * 1e6 / float64(Period)}}}
}
