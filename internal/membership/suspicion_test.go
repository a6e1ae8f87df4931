package membership

import (
	"fmt"
	"testing"
)

// Search for suspicions that never end: of six members, two stop receiving datagrams of the others but are
// still heard by them. Every combination of up to two pauses of members within the first slots is tried.
const (
	pauseMembers    = 6
	deafMembers     = 2 // the first members, which receive nothing
	suspicionBound  = 30 * slotsPerPeriod
	pauseStartSlots = 5 * slotsPerPeriod // slots in which a pause may begin
	maxPauseSlots   = slotsPerPeriod
)

// pause stops a member for some slots: it does nothing meanwhile, and datagrams to it wait.
type pause struct{ member, from, slots int }

func (p pause) covers(slot int) bool { return slot >= p.from && slot < p.from+p.slots }

// runPaused runs up to the bound and describes a suspicion that has not ended by then.
func (w *world) runPaused(pauses []pause) string {
	paused := func(i, slot int) bool {
		for _, p := range pauses {
			if p.member == i && p.covers(slot) {
				return true
			}
		}
		return false
	}
	var waiting []inFlightDatagram
	for slot := range suspicionBound {
		w.now += checkSlot
		w.inFlight, waiting = append(w.inFlight, waiting...), nil
		for i, v := range w.views {
			if !paused(i, slot) {
				v.Tick(w.now)
				w.collect(i)
			}
		}
		for len(w.inFlight) > 0 {
			f := w.inFlight[0]
			switch {
			case f.from >= deafMembers && f.to < deafMembers:
				w.inFlight = w.inFlight[1:]
			case paused(f.to, slot):
				waiting = append(waiting, f)
				w.inFlight = w.inFlight[1:]
			default:
				w.deliver(0)
			}
		}
	}
	for _, v := range w.views[deafMembers:] {
		for _, m := range v.members {
			if m.suspect {
				return fmt.Sprintf("%s still suspects %s, with votes %x", v.self.name, m.name, m.votes)
			}
		}
	}
	return ""
}

// Every suspicion ends within its bound, whichever healthy members are paused meanwhile.
func TestSuspicionsEndWithinBound(t *testing.T) {
	first := convergedWorld(t, pauseMembers, false)
	var pauses []pause
	for member := deafMembers; member < pauseMembers; member++ {
		for from := 0; from < pauseStartSlots; from += bound(3, 1) {
			for length := 2; length <= maxPauseSlots; length += bound(2, 1) {
				pauses = append(pauses, pause{member, from, length})
			}
		}
	}
	runs, faults := 0, 0
	for i, one := range pauses {
		for _, two := range pauses[i:] {
			if runs++; one.member == two.member && one != two {
				continue
			}
			if fault := first.clone().runPaused([]pause{one, two}); fault != "" {
				if faults++; faults <= 3 {
					t.Errorf("pauses %+v and %+v: %s", one, two, fault)
				}
			}
		}
	}
	t.Logf("%d runs, %d faults", runs, faults)
}
