package membership

import (
	"net/netip"
	"slices"
)

// Snapshot is the state that a process hands over to its successor. The successor continues with the same
// identity, so other members do not notice the change.
type Snapshot struct {
	Birth       uint64           `json:"birth"`
	Incarnation uint32           `json:"inc"`
	Seq         uint64           `json:"seq"`
	Age         Micros           `json:"age"`
	Joined      bool             `json:"joined"`
	Members     []MemberSnapshot `json:"members"`
}

// MemberSnapshot is one member in a snapshot. Times are durations before the snapshot was taken.
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

// seqJump is the number of sequence numbers that a successor skips, for datagrams that its predecessor may
// still have sent after the snapshot.
const seqJump = 1 << 24

// Snapshot returns the state that the successor needs.
func (v *View) Snapshot() Snapshot {
	s := Snapshot{Birth: v.self.birth, Incarnation: v.self.inc, Seq: v.seq, Age: v.now - v.startedAt,
		Joined: !v.joining}
	for _, m := range v.members {
		s.Members = append(s.Members, MemberSnapshot{Name: m.name, Zone: m.zone, Addr: m.addr, Birth: m.birth,
			Incarnation: m.inc, State: m.state, Since: v.now - m.since, Ended: v.now - m.endedAt,
			Top: m.replay.highest, Votes: slices.Clone(m.votes), Stamp: m.stamp})
	}
	return s
}

// Resume returns a view that continues from the snapshot of another process of this member. Config.Birth is
// ignored.
func Resume(cfg Config, s Snapshot, now Micros) (*View, error) {
	cfg.Birth = s.Birth
	v, err := New(cfg, now)
	if err != nil {
		return nil, err
	}
	v.startedAt, v.seq, v.joining = now-s.Age, s.Seq+seqJump, !s.Joined
	v.joinIDs[0] = uint32(v.rng.Uint64())
	v.digest -= v.self.sum()
	v.self.inc = s.Incarnation
	v.digest += v.self.sum()
	for _, h := range s.Members {
		if h.Birth == 0 || h.Name == "" || h.State == Suspect || h.State > Left || !v.allowsName(h.Name) {
			continue
		}
		r := record{name: h.Name, zone: h.Zone, addr: h.Addr, birth: h.Birth, inc: h.Incarnation, state: h.State}
		if m := v.setRecord(r, now-h.Ended); m != nil {
			m.since, m.replay, m.stamp = now-h.Since, replayWindow{highest: h.Top, seen: 1<<64 - 1}, h.Stamp
			if h.State == Dead {
				m.votes = h.Votes
			}
		}
	}
	v.changes = nil // the predecessor has already reported them
	return v, nil
}

// Reclaim continues this process's membership after a successor that had taken it over has ended.
func (v *View) Reclaim(now Micros) {
	v.Tick(now)
	v.seq += 2 * seqJump
	if !v.joining && !v.left {
		v.setOwnIncarnation(v.self.inc + 1) // a later one of the successor is learned like any accusation
	}
}
