package core

import (
	"testing"

	"lapislever/balance"
)

// After a step of the wall clock in either direction, a server that has just started is cold, a server
// listed before the step keeps its age, and a server whose start was stamped before the step but listed
// after it is no older than the last list.
func TestStartTimesSurviveAStepOfTheWallClock(t *testing.T) {
	const second, hour = balance.Micros(1_000_000), 3600 * balance.Micros(1_000_000)
	for _, step := range []balance.Micros{-hour, hour, 3 * second, -3 * second} {
		s := newStartTimes()
		now := 1000 * hour
		translate := func(wall balance.Micros, id balance.ReplicaID, started balance.Micros) balance.Micros {
			list := []balance.Replica{{ID: id, Started: started}}
			s.translate(list, now, wall, false)
			return list[0].Started
		}
		if at := translate(now, 1, now-20*second); at != now-20*second {
			t.Fatalf("started %d s ago, not 20", (now-at)/second)
		}
		now += 10 * second
		before := now // discovery's stamps up to here are by the clock before the step
		now += 10 * second
		if at := translate(now+step, 1, now-40*second); at != now-40*second {
			t.Errorf("step %d: listed before it, the server is %d s old, not 40", step/second, (now-at)/second)
		}
		s.lastList, s.skew = now-20*second, 0 // as if the previous list were the last one before the step
		if at := translate(now+step, 2, before); at < now-20*second {
			t.Errorf("step %d: a start after the last list counts as %d s old", step/second, (now-at)/second)
		}
		now += second
		if at := translate(now+step, 3, now+step-second); at != now-second {
			t.Errorf("step %d: started 1 s ago, converted to %d s", step/second, (now-at)/second)
		}
	}
	in := HandoverState{RestoredAt: map[balance.ReplicaID]balance.Micros{1: 5 * second}}
	in.shift(10*second, 10*second+hour)
	if in.RestoredAt[1] != 5*second+hour {
		t.Errorf("5 s ago is %d s ago after the handover", (10*second+hour-in.RestoredAt[1])/second)
	}
}
