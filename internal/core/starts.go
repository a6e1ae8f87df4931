package core

import (
	"time"

	"lapislever/balance"
)

// stepLeast is the least difference between the wall clock and the module's at which the wall clock counts as
// stepped.
const stepLeast = balance.Micros(500_000)

// startTimes keeps when servers started on the module's clock. Lists tell it by the wall clock, which may be
// stepped while this process runs: a server that has just started would pass for one that is long warm.
type startTimes struct {
	told  map[balance.ReplicaID]balance.Micros // as the last list told it
	start map[balance.ReplicaID]balance.Micros // on the module's clock
	skew  balance.Micros                       // of the wall clock against the module's, at the last list
	heard balance.Micros                       // when discovery was last heard; 0: never
}

func newStartTimes() startTimes {
	return startTimes{told: map[balance.ReplicaID]balance.Micros{},
		start: map[balance.ReplicaID]balance.Micros{}}
}

// take translates the starts of a list that was heard at a moment of the module's clock, when the wall clock
// read wall. What was told before a step keeps the moment that it had then.
func (s *startTimes) take(list []balance.Replica, now, wall balance.Micros, cached bool) {
	skew := wall - now
	if -stepLeast < skew && skew < stepLeast {
		skew = 0
	}
	step := skew - s.skew
	stepped := s.heard > 0 && (step >= stepLeast || step <= -stepLeast)
	for i := range list {
		r := &list[i]
		if r.Started == 0 {
			continue
		}
		if at, known := s.told[r.ID]; known && at == r.Started {
			r.Started = s.start[r.ID]
			continue
		}
		start := r.Started - skew
		if stepped { // it may be from before the step; news since the last list is no older than that
			start = max(start, s.heard)
		}
		s.told[r.ID], s.start[r.ID] = r.Started, start
		r.Started = start
	}
	if !cached {
		s.skew, s.heard = skew, now
	}
}

// forget drops servers that are not listed any more.
func (s *startTimes) forget(listed map[balance.ReplicaID]balance.Replica) {
	for id := range s.told {
		if _, ok := listed[id]; !ok {
			delete(s.told, id)
			delete(s.start, id)
		}
	}
}

// shift moves what another process has told from its module's clock, which read from, to this one's, which
// reads to: the two differ by as much as the wall clock was stepped between their starts.
func (in *HandoverState) shift(from, to balance.Micros) {
	by := to - from
	if from == 0 || -stepLeast < by && by < stepLeast {
		return
	}
	all := []map[balance.ReplicaID]balance.Micros{in.Cordons, in.FleetCordons, in.RestoredAt, in.Memory.Starts}
	for _, moments := range all {
		for id := range moments {
			moments[id] += by
		}
	}
}

// wallMicros is the wall clock's reading that a moment bears.
func wallMicros(t time.Time) balance.Micros { return t.UnixMicro() }
