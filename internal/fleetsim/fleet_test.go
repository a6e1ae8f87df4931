package fleetsim

import (
	"fmt"
	"testing"

	"lapislever/internal/membership"
)

var lan = Link{Delay: 200, Jitter: 1_000}

func start(t testing.TB, cfg Config) *Fleet {
	t.Helper()
	if cfg.Link == (Link{}) {
		cfg.Link = lan
	}
	if cfg.Join == 0 {
		cfg.Join = 2
	}
	f, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func periods(d Micros) string { return fmt.Sprintf("%.1f periods", float64(d)/float64(Period)) }

func settle(t testing.TB, f *Fleet, what string, most Micros, among func(int) bool) Micros {
	t.Helper()
	took, ok := f.Until(most*Period, func() bool { return f.Agree(among) })
	if !ok {
		for i := range min(f.Len(), 12) {
			if f.Up(i) {
				v := f.View(i)
				line := fmt.Sprintf("%s %016x joined %v %+v", Name(i), v.Digest(), v.Joined(), v.Figures())
				for _, m := range v.Members() {
					line += fmt.Sprintf(" %s:%v@%d", m.Name, m.State, m.Inc)
				}
				t.Log(line)
			}
		}
		t.Fatalf("%s: not within %d periods", what, most)
	}
	t.Logf("%s: %s", what, periods(took))
	return took
}

func TestLook(t *testing.T) {
	for _, n := range []int{3, 5, 12, 100} {
		for seed := range uint64(3) {
			f := start(t, Config{Members: n, Seed: seed})
			settle(t, f, fmt.Sprint("start ", n), 40, All)
			f.Run(20 * Period)
			f.Kill(n - 1)
			settle(t, f, fmt.Sprint("crash ", n), 40, All)
			if n >= 12 {
				f.Run(10 * Period)
				half := func(i int) bool { return i < n/2 }
				f.Cut(func(a, b int) bool { return half(a) == half(b) })
				settle(t, f, "half one", 100, half)
				settle(t, f, "other half", 100, func(i int) bool { return !half(i) })
				f.Heal()
				settle(t, f, "heal", 60, All)
			}
		}
	}
	_ = membership.Alive
}
