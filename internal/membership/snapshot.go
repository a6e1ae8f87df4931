package membership

import (
	"net/netip"
	"slices"
)

// Snapshot is what one process hands to the next one of the same member, which goes on as the same process:
// no other member notices.
type Snapshot struct {
	Birth       uint64           `json:"birth"`
	Incarnation uint32           `json:"inc"`
	Seq         uint64           `json:"seq"`
	Age         Micros           `json:"age"`
	Joined      bool             `json:"joined"`
	Members     []MemberSnapshot `json:"members"`
}

// MemberSnapshot is one member of a snapshot. Times are spans before it was taken.
type MemberSnapshot struct {
	Name        string         `json:"name"`
	Zone        string         `json:"zone"`
	Addr        netip.AddrPort `json:"addr"`
	Birth       uint64         `json:"birth"`
	Incarnation uint32         `json:"inc"`
	State       State          `json:"state"`
	Since       Micros         `json:"since"`
	Ended       Micros         `json:"ended"`
	Top         uint64         `json:"top"`
	Votes       []uint32       `json:"votes,omitempty"`
	Stamp       uint32         `json:"stamp"`
}

// seqJump is what a process that goes on leaves out of the numbers, for what the other one may have sent
// meanwhile.
const seqJump = 1 << 24

// Snapshot is what the next process needs.
func (v *View) Snapshot() Snapshot {
	s := Snapshot{Birth: v.self.birth, Incarnation: v.self.inc, Seq: v.seq, Age: v.now - v.begun, Joined: !v.joining}
	for _, m := range v.list {
		s.Members = append(s.Members, MemberSnapshot{Name: m.name, Zone: m.zone, Addr: m.addr, Birth: m.birth,
			Incarnation: m.inc, State: m.state, Since: v.now - m.since, Ended: v.now - m.ended, Top: m.window.top,
			Votes: slices.Clone(m.votes), Stamp: m.stamp})
	}
	return s
}

// Resume returns a view that goes on where another process of this member has stopped. Config.Birth does not
// count.
func Resume(cfg Config, s Snapshot, now Micros) (*View, error) {
	cfg.Birth = s.Birth
	v, err := New(cfg, now)
	if err != nil {
		return nil, err
	}
	v.begun, v.seq, v.joining = now-s.Age, s.Seq+seqJump, !s.Joined
	v.joinIDs[0] = uint32(v.rng.Uint64())
	v.digest -= v.self.sum()
	v.self.inc = s.Incarnation
	v.digest += v.self.sum()
	for _, h := range s.Members {
		if h.Birth == 0 || h.Name == "" || h.State == Suspect || h.State > Left || !v.welcome(h.Name) {
			continue
		}
		r := record{name: h.Name, zone: h.Zone, addr: h.Addr, birth: h.Birth, inc: h.Incarnation, state: h.State}
		if m := v.set(r, now-h.Ended); m != nil {
			m.since, m.window, m.stamp = now-h.Since, window{top: h.Top, seen: 1<<64 - 1}, h.Stamp
			if h.State == Dead {
				m.votes = h.Votes
			}
		}
	}
	v.changes = nil // the process before has told
	return v, nil
}

// Again goes on after another process of this member has had its place for a while and is gone.
func (v *View) Again(now Micros) {
	v.Tick(now)
	v.seq += 2 * seqJump
	if !v.joining && !v.left {
		v.setSelf(v.self.inc + 1) // the other one may have borne a later one; it is learnt like any accusation
	}
}
