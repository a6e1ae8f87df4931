package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"lapislever/internal/membership"
)

// Row is one line of a measurement: what was done, at which size, and what came of it.
type Row struct {
	What    string
	Members int
	Loss    float64
	Seeds   int
	Values  []Value
}

// Value is one figure by its name and unit.
type Value struct {
	Name, Unit string
	V          float64
}

func (r Row) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-34s %5d members  loss %2.0f%%  %2d seeds ", r.What, r.Members, 100*r.Loss, r.Seeds)
	for _, v := range r.Values {
		fmt.Fprintf(&b, "  %s %.4g %s", v.Name, v.V, v.Unit)
	}
	return b.String()
}

// quantile is a value below which the given share lies.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(list))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

// Crashes kills one member after another, in so many fleets, and tells how many periods pass until the first
// and until the last of the others knows.
func Crashes(base Config, seeds, kills int) (Row, error) {
	var first, last []float64
	unseen := 0
	for seed := range uint64(seeds) {
		cfg := base
		cfg.Seed = seed + 1
		f, err := New(cfg)
		if err != nil {
			return Row{}, err
		}
		f.Until(400*Period, func() bool { return f.Agree(All) })
		for k := range kills {
			f.Run(7*Period + Micros(k)*Period/7)
			victim := f.Len() - 1 - k
			at, known := f.Now(), map[int]Micros{}
			f.Seen = func(s Seen) {
				if s.Member.Name == Name(victim) && s.Member.State == membership.Dead {
					if _, ok := known[s.By]; !ok {
						known[s.By] = s.At - at
					}
				}
			}
			f.Kill(victim)
			up := 0
			for i := range f.Len() {
				if f.Up(i) {
					up++
				}
			}
			f.Until(100*Period, func() bool { return len(known) >= up })
			unseen += up - len(known)
			lo, hi := Micros(1<<62), Micros(0)
			for _, d := range known {
				lo, hi = min(lo, d), max(hi, d)
			}
			first = append(first, float64(lo)/float64(Period))
			last = append(last, float64(hi)/float64(Period))
		}
	}
	return Row{What: "crash", Members: base.Members, Loss: base.Link.Loss, Seeds: seeds, Values: []Value{
		{"first median", "periods", quantile(first, 0.5)}, {"p99", "periods", quantile(first, 0.99)},
		{"last median", "periods", quantile(last, 0.5)}, {"p99", "periods", quantile(last, 0.99)},
		{"never known", "members", float64(unseen)}}}, nil
}

// FalseDeaths runs sound fleets and counts how often one that runs is held to be dead by anybody, and the
// bytes that it takes.
func FalseDeaths(base Config, seeds int, each Micros) (Row, error) {
	sound, slow, hours, bytes, seconds := 0, 0, 0.0, 0.0, 0.0
	for seed := range uint64(seeds) {
		cfg := base
		cfg.Seed = base.Seed + seed + 1
		f, err := New(cfg)
		if err != nil {
			return Row{}, err
		}
		f.Until(400*Period, func() bool { return f.Agree(All) })
		dead := map[string]bool{}
		f.Seen = func(s Seen) {
			if s.Member.State == membership.Dead {
				dead[fmt.Sprint(s.Member.Name, " ", s.Member.Birth, s.Member.Incarnation)] = true
			}
		}
		was, begun := f.Bytes, f.Now()
		f.Run(each)
		for who := range dead {
			var i int
			if _, _ = fmt.Sscanf(who, "m%04d ", &i); cfg.Slow != nil && cfg.Slow(i) {
				slow++
			} else {
				sound++
			}
		}
		took := float64(f.Now()-begun) / 1e6
		hours += took / 3600 * float64(base.Members)
		bytes += float64(f.Bytes-was) / float64(base.Members)
		seconds += took
	}
	return Row{What: "sound fleet", Members: base.Members, Loss: base.Link.Loss, Seeds: seeds, Values: []Value{
		{"false deaths of sound members", "", float64(sound)}, {"of slow ones", "", float64(slow)},
		{"in", "member-hours", hours}, {"traffic", "B/s a member", bytes / seconds}}}, nil
}

// Heals cuts fleets in half until both sides agree, heals them, and tells how long one view takes.
func Heals(base Config, seeds int) (Row, error) {
	var start, cut, heal []float64
	failed := 0
	for seed := range uint64(seeds) {
		cfg := base
		cfg.Seed = seed + 1
		f, err := New(cfg)
		if err != nil {
			return Row{}, err
		}
		note := func(to *[]float64, most Micros, among func(int) bool) {
			took, ok := f.Until(most*Period, func() bool { return f.Agree(among) })
			if !ok {
				failed++
			}
			*to = append(*to, float64(took)/float64(Period))
		}
		note(&start, 400, All)
		f.Run(5 * Period)
		half := func(i int) bool { return i%2 == 0 }
		f.Cut(func(a, b int) bool { return half(a) == half(b) })
		note(&cut, 400, half)
		f.Run(20 * Period)
		f.Heal()
		note(&heal, 400, All)
	}
	return Row{What: "mass start, halves, heal", Members: base.Members, Loss: base.Link.Loss, Seeds: seeds,
		Values: []Value{{"start", "periods", quantile(start, 0.5)},
			{"one half agrees", "periods", quantile(cut, 0.5)},
			{"one view median", "periods", quantile(heal, 0.5)}, {"most", "periods", quantile(heal, 1)},
			{"failed", "", float64(failed)}}}, nil
}

// Heartbeats is the plainest baseline: each member sends to all others once a period, and one that was not
// heard of for so many periods is dead to whoever did not hear it. Links lose datagrams as the fleet's do,
// and a member that is slow acts and hears late by a time drawn evenly up to its delay.
func Heartbeats(base Config, seeds, silent int, each Micros) Row {
	const size = 40 + overhead // a head and a digest, sealed
	deaths, hours := 0, 0.0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 11))
		n := base.Members
		missed := make([]uint8, n*n)
		for range int(each / Period) {
			for from := range n {
				slow := base.Slow != nil && base.Slow(from)
				for to := range n {
					if from == to {
						continue
					}
					m := &missed[from*n+to]
					if rng.Float64() < base.Link.Loss ||
						slow && rng.Int64N(base.SlowDelay+1) > Period*Micros(silent-1) {
						if *m++; int(*m) == silent {
							deaths++
						}
					} else {
						*m = 0
					}
				}
			}
		}
		hours += float64(each) / 1e6 / 3600 * float64(n)
	}
	return Row{What: fmt.Sprintf("heartbeats to all, %d missed", silent), Members: base.Members,
		Loss: base.Link.Loss, Seeds: seeds, Values: []Value{{"false deaths", "", float64(deaths)},
			{"in", "member-hours", hours}, {"rate", "a member-hour", float64(deaths) / hours},
			{"traffic", "B/s a member", float64(base.Members-1) * size * 1e6 / float64(Period)}}}
}
