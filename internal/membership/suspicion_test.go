package membership

import (
	"fmt"
	"testing"
)

// The search for suspicions that do not end: six members, two of which hear nothing of the others from some
// moment on but are heard, and each way in which up to two members are held up for a while in the first
// slots.
const (
	cutMembers  = 6
	cutDeaf     = 2 // of them, the first ones
	cutBound    = 30 * slots
	holdSlots   = 5 * slots // in which a hold may begin
	holdLongest = slots
)

// heldUp is a member that is held up: it does nothing meanwhile, and what comes to it waits.
type heldUp struct{ member, from, slots int }

func (h heldUp) at(slot int) bool { return slot >= h.from && slot < h.from+h.slots }

// play goes on up to the bound, and names a suspicion that has not ended by then.
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
				return fmt.Sprintf("%s suspects %s still, with votes %x", v.self.name, m.name, m.votes)
			}
		}
	}
	return ""
}

// No suspicion outlives its bound, whoever of those that are well is held up meanwhile.
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
					t.Errorf("held %+v and %+v: %s", one, two, fault)
				}
			}
		}
	}
	t.Logf("%d plays, %d faults", plays, faults)
}
