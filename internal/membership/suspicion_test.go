package membership

import (
	"fmt"
	"testing"
)

// Search for suspicions that never end: of six members, two stop receiving datagrams of the others but are
// still heard by them. Every combination of up to two pauses of members within the first slots is tried.
const (
	cutMembers  = 6
	cutDeaf     = 2 // the first members, which receive nothing
	cutBound    = 30 * slots
	holdSlots   = 5 * slots // slots in which a pause may begin
	holdLongest = slots
)

// pause stops a member for some slots: it does nothing meanwhile, and datagrams to it wait.
type heldUp struct{ member, from, slots int }

func (h heldUp) at(slot int) bool { return slot >= h.from && slot < h.from+h.slots }

// runPaused runs up to the bound and describes a suspicion that has not ended by then.
func (w *world) play(holds []heldUp) string {
	held := func(i, slot int) bool {
		for _, h := range holds {
			if h.member == i && h.at(slot) {
				return true
			}
		}
		return false
	}
	var waiting []flight
	for slot := range cutBound {
		w.now += checkSlot
		w.flying, waiting = append(w.flying, waiting...), nil
		for i, v := range w.views {
			if !held(i, slot) {
				v.Tick(w.now)
				w.take(i)
			}
		}
		for len(w.flying) > 0 {
			f := w.flying[0]
			switch {
			case f.from >= cutDeaf && f.to < cutDeaf:
				w.flying = w.flying[1:]
			case held(f.to, slot):
				waiting = append(waiting, f)
				w.flying = w.flying[1:]
			default:
				w.deliver(0)
			}
		}
	}
	for _, v := range w.views[cutDeaf:] {
		for _, m := range v.list {
			if m.suspect {
				return fmt.Sprintf("%s still suspects %s, with votes %x", v.self.name, m.name, m.votes)
			}
		}
	}
	return ""
}

// Every suspicion ends within its bound, whichever healthy members are paused meanwhile.
func TestNoSuspicionOutlivesItsBound(t *testing.T) {
	first := settled(t, cutMembers, false)
	var holds []heldUp
	for member := cutDeaf; member < cutMembers; member++ {
		for from := 0; from < holdSlots; from += bound(3, 1) {
			for length := 2; length <= holdLongest; length += bound(2, 1) {
				holds = append(holds, heldUp{member, from, length})
			}
		}
	}
	plays, faults := 0, 0
	for i, one := range holds {
		for _, two := range holds[i:] {
			if plays++; one.member == two.member && one != two {
				continue
			}
			if fault := first.clone().play([]heldUp{one, two}); fault != "" {
				if faults++; faults <= 3 {
					t.Errorf("pauses %+v and %+v: %s", one, two, fault)
				}
			}
		}
	}
	t.Logf("%d runs, %d faults", plays, faults)
}
