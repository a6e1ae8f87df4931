package core

import (
	"testing"

	"lapislever/balance"
)

// The wall clock is stepped by an hour, back and forth: a server that has just started is cold, one that was
// told before the step keeps its age, and one whose start was told by the clock before the step but comes
// behind it is no older than the last list.
func TestStartsOutliveAStepOfTheWallClock(t *testing.T) {
	const second, hour = balance.Micros(1_000_000), 3600 * balance.Micros(1_000_000)
	for _, step := range []balance.Micros{-hour, hour, 3 * second, -3 * second} {
		s := newStartTimes()
		now := 1000 * hour
		take := func(wall balance.Micros, id balance.ReplicaID, born balance.Micros) balance.Micros {
			list := []balance.Replica{{ID: id, Started: born}}
			s.take(list, now, wall, false)
			return list[0].Started
		}
		if at := take(now, 1, now-20*second); at != now-20*second {
			t.Fatalf("started %d s ago, not 20", (now-at)/second)
		}
		now += 10 * second
		before := now // what discovery stamps by then is by the clock before the step
		now += 10 * second
		if at := take(now+step, 1, now-40*second); at != now-40*second {
			t.Errorf("step %d: told before, it is %d s old, not 40", step/second, (now-at)/second)
		}
		s.heard, s.skew = now-20*second, 0 // as if the list before had been the last one before the step
		if at := take(now+step, 2, before); at < now-20*second {
			t.Errorf("step %d: a start behind the last list passes for %d s old", step/second, (now-at)/second)
		}
		now += second
		if at := take(now+step, 3, now+step-second); at != now-second {
			t.Errorf("step %d: started 1 s ago, told as %d s", step/second, (now-at)/second)
		}
	}
	in := HandoverState{RestoredAt: map[balance.ReplicaID]balance.Micros{1: 5 * second}}
	in.shift(10*second, 10*second+hour)
	if in.RestoredAt[1] != 5*second+hour {
		t.Errorf("handed over, 5 s ago is %d s ago", (10*second+hour-in.RestoredAt[1])/second)
	}
}
