package quota

import (
	"os"
	"testing"
)

// Measures how much of a limit is in use, how fast and at what cost, by the number of members and the number
// of members with traffic, compared with a fixed split and with gossiped counts. LAPISLEVER_LONG=1 prints the
// table.
func TestMeasureLending(t *testing.T) {
	if os.Getenv("LAPISLEVER_LONG") == "" {
		t.Skip("a long measurement")
	}
	for _, n := range []int{3, 5, 10, 100, 300, 1000} {
		for _, hot := range []int{1, max(1, n/10), n} {
			f := newFaultFleet(t, n, uint64(n), 1)
			f.rate.Rate, f.rate.Burst = float64(20*n), float64(5*n)
			for i := range n {
				f.start(i)
			}
			f.alive = func(int) []string { return f.names } // constant, as computing it is expensive at this size
			f.run(12)
			f.bytes = 0
			for i := range hot {
				f.demand[i] = 1.5 * f.rate.Rate / float64(hot)
			}
			until := -1
			for p := range 300 {
				f.run(1)
				sum := 0.0
				for i := range hot {
					sum += f.procs[i].share.rate
				}
				if until < 0 && sum >= 0.9*f.rate.Rate/(1+MaxDrift) {
					until = p + 1
				}
				if p > 60 && until >= 0 {
					break
				}
			}
			f.bytes, f.admittedByRate = 0, 0
			f.run(25)
			t.Logf("%4d members, traffic at %4d: 0.9 in use after %3d periods, then %.3f let in "+
				"(a fixed split: %.3f), worst sum %.4f, %.0f B a second and member", n, hot, until,
				float64(f.admittedByRate)/5/f.rate.Rate,
				float64(hot)/float64(n), f.maxRate, float64(f.bytes)/5/float64(n))
		}
	}
	// Gossiped counts: each member sends all others its admitted count once per period, and uses what they
	// leave.
	for _, cutFor := range []int{0, 10, 50} {
		const n, rate = 5, 200.0
		known := [n][n]float64{} // per second
		worst := 0.0
		for p := range 200 {
			let := [n]float64{}
			sum := 0.0
			for i := range n {
				others := 0.0
				for j := range n {
					if j != i {
						others += known[i][j]
					}
				}
				let[i] = max(0, min(150, rate-others))
				sum += let[i]
			}
			if worst = max(worst, sum/rate); p > 60 && p <= 60+cutFor {
				continue // all members are isolated
			}
			for i := range n {
				for j := range n {
					known[i][j] = let[j]
				}
			}
			if p == 50 { // demand moves, and all counts are outdated
				known = [n][n]float64{}
			}
		}
		t.Logf("gossiped counts, 5 members: up to %.2f of the limit in a period (cut for %d periods)", worst,
			cutFor)
	}
}
