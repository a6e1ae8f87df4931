package membership

// Resolution of two processes with the same name: a restarted process supersedes its predecessor; of two
// running processes the one that started later has to stop.

import (
	"encoding/binary"
	"net/netip"
)

// maxRivalReturns is how often a process may supersede the same rival that keeps reappearing before the rival
// is considered to be running.
const maxRivalReturns = 3

// handleRival handles the record of another process with this member's name.
func (v *View) handleRival(r record) {
	switch {
	case v.left || r.birth == v.self.birth || !v.joining && !r.newerThan(&v.self):
		return
	case r.state != Alive || r.addr == v.self.addr: // it has ended, or had this process's own address
		v.supersede(r)
	case v.claim == nil || v.claim.rival.birth != r.birth:
		v.claim = &claim{rival: r, since: v.now}
		v.advanceClaim()
	case r.inc > v.claim.rival.inc:
		v.claim.rival.inc = r.inc
	}
}

// supersede takes the incarnation following another process's.
func (v *View) supersede(r record) {
	v.claim = nil
	if v.joining {
		v.completeJoin(r.inc + 1)
		return
	}
	v.setOwnIncarnation(max(v.self.inc, r.inc+1))
}

// advanceClaim contacts the other process with this member's name, directly and through other members. A
// process that does not answer within claimPeriods is considered gone.
func (v *View) advanceClaim() {
	c := v.claim
	if c == nil {
		return
	}
	if v.now-c.since >= claimPeriods*v.cfg.Period {
		if v.rivalBirth != c.rival.birth {
			v.rivalBirth, v.rivalReturns = c.rival.birth, 0
		}
		if v.rivalReturns++; v.rivalReturns > maxRivalReturns && c.rival.birth < v.self.birth {
			v.conflict = &Conflict{Addr: c.rival.addr, Birth: c.rival.birth, MustStop: true}
			return
		}
		v.supersede(c.rival)
		return
	}
	v.sendClaim(c.rival.addr)
}

func (v *View) sendClaim(to netip.AddrPort) {
	body := func(hops byte) []byte {
		b := appendAddr(v.newMessage(kindClaim), to)
		b = binary.LittleEndian.AppendUint32(b, uint32(v.agePeriods()))
		b, _ = appendEntry(append(b, hops), v.selfEntry())
		return b
	}
	v.send(to, body(0), false)
	for _, m := range v.randomMembers(2, 0) {
		v.sendTo(m, body(1), false)
	}
}

// agePeriods returns the number of periods that this process has run.
func (v *View) agePeriods() Micros { return (v.now - v.startedAt) / v.cfg.Period }

func appendAddr(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().AsSlice()
	b = append(append(b, byte(len(ip))), ip...)
	return binary.LittleEndian.AppendUint16(b, a.Port())
}

// handleClaim handles the claim of another process with this member's name, or forwards it to the member that
// it is meant for.
func (v *View) handleClaim(from *member, msg message) {
	if len(msg.entries) == 0 || !msg.entries[0].full {
		return
	}
	r := msg.entries[0].record
	if r.name != v.self.name || msg.addr != v.self.addr {
		if msg.hops > 0 && v.takeSyncBudget() { // also from unknown processes: maybe nobody else can forward it
			b := binary.LittleEndian.AppendUint32(appendAddr(v.newMessage(kindClaim), msg.addr), msg.inc)
			b, _ = appendEntry(append(b, 0), msg.entries[0])
			v.send(v.route(r.name, msg.addr), b, false)
		}
		return
	}
	if r.birth == v.self.birth || v.left {
		return
	}
	if v.conflict == nil {
		v.conflict = &Conflict{Addr: r.addr, Birth: r.birth}
	}
	if v.self.birth > r.birth { // the process with the lower birth decides
		v.sendClaim(r.addr)
		return
	}
	ownAge, rivalAge := v.agePeriods(), Micros(msg.inc)
	loser := r.birth
	if rivalAge-ownAge >= ageTolerance {
		loser = v.self.birth
		v.conflict.MustStop = true
	} else if v.claim != nil {
		v.supersede(v.claim.rival)
	} else if r.newerThan(&v.self) {
		v.supersede(r)
	}
	to := []*member{}
	if from != nil {
		to = append(to, from)
	}
	body := func(hops byte) []byte {
		b := append(appendAddr(v.newMessage(kindClaimResult), r.addr), hops)
		b = binary.LittleEndian.AppendUint64(b, loser)
		return binary.LittleEndian.AppendUint64(b, r.birth)
	}
	v.send(r.addr, body(0), false)
	for _, m := range to {
		v.sendTo(m, body(1), false)
	}
}

// handleClaimResult handles the decision which of two processes with this member's name has to stop, or
// forwards it to the member that it is meant for.
func (v *View) handleClaimResult(msg message) {
	if msg.recipient != v.self.birth {
		if msg.hops > 0 && v.takeSyncBudget() {
			b := append(appendAddr(v.newMessage(kindClaimResult), msg.addr), 0)
			b = binary.LittleEndian.AppendUint64(b, msg.birth)
			v.send(msg.addr, binary.LittleEndian.AppendUint64(b, msg.recipient), false)
		}
		return
	}
	if v.conflict == nil {
		v.conflict = &Conflict{Addr: v.self.addr}
		if v.claim != nil {
			v.conflict.Addr, v.conflict.Birth = v.claim.rival.addr, v.claim.rival.birth
		}
	}
	switch {
	case msg.birth == v.self.birth:
		v.conflict.MustStop = true
		v.claim = nil
	case v.claim != nil:
		v.supersede(v.claim.rival)
	}
}
