package core

import (
	"time"

	"lapislever/balance"
)

// minClockStep is the minimum change of the difference between the wall clock and the module's clock that
// counts as a step of the wall clock.
const minClockStep = balance.Micros(500_000)

// startTimes converts the start times of servers to the module's clock. Lists give them by the wall clock,
// which may be stepped while this process runs: without the conversion a server that has just started
// could pass for one that has been warm for a long time.
type startTimes struct {
	reported map[balance.ReplicaID]balance.Micros // as given by the last list
	started  map[balance.ReplicaID]balance.Micros // on the module's clock
	skew     balance.Micros                       // wall clock minus module clock at the last list
	lastList balance.Micros                       // time of the last list from discovery; 0: none yet
}

func newStartTimes() startTimes {
	return startTimes{reported: map[balance.ReplicaID]balance.Micros{},
		started: map[balance.ReplicaID]balance.Micros{}}
}

// translate converts the start times of a list that was received at now by the module's clock and at wall
// by the wall clock. Start times already known before a step of the wall clock keep their converted value.
func (s *startTimes) translate(list []balance.Replica, now, wall balance.Micros, cached bool) {
	skew := wall - now
	if -minClockStep < skew && skew < minClockStep {
		skew = 0
	}
	step := skew - s.skew
	stepped := s.lastList > 0 && (step >= minClockStep || step <= -minClockStep)
	for i := range list {
		r := &list[i]
		if r.Started == 0 {
			continue
		}
		if at, known := s.reported[r.ID]; known && at == r.Started {
			r.Started = s.started[r.ID]
			continue
		}
		start := r.Started - skew
		if stepped { // possibly a time before the step; but a start new in this list is later than the last one
			start = max(start, s.lastList)
		}
		s.reported[r.ID], s.started[r.ID] = r.Started, start
		r.Started = start
	}
	if !cached {
		s.skew, s.lastList = skew, now
	}
}

// prune removes servers that are no longer listed.
func (s *startTimes) prune(listed map[balance.ReplicaID]balance.Replica) {
	for id := range s.reported {
		if _, ok := listed[id]; !ok {
			delete(s.reported, id)
			delete(s.started, id)
		}
	}
}

// shift converts the times received from another process to this process's module clock. The clock read
// from there when it reads to here; the two differ if the wall clock was stepped between the starts of the
// processes.
func (in *HandoverState) shift(from, to balance.Micros) {
	offset := to - from
	if from == 0 || -minClockStep < offset && offset < minClockStep {
		return
	}
	timeMaps := []map[balance.ReplicaID]balance.Micros{in.Cordons, in.FleetCordons, in.RestoredAt,
		in.Memory.Starts}
	for _, times := range timeMaps {
		for id := range times {
			times[id] += offset
		}
	}
}

// wallMicros returns the wall-clock reading of a time.
func wallMicros(t time.Time) balance.Micros { return t.UnixMicro() }
