package membership

// Two processes of one name: a restart goes behind its predecessor, and of two strangers the later one gives
// way.

import (
	"encoding/binary"
	"net/netip"
)

// rivalsMost is how often one goes behind a process that comes forward again before it is held to run.
const rivalsMost = 3

// rival hears of another process of our name.
func (v *View) rival(r record) {
	switch {
	case v.left || r.birth == v.self.birth || !v.joining && !r.above(&v.self):
		return
	case r.state != Alive || r.addr == v.self.addr: // it is gone, or could not be where we are
		v.goBehind(r)
	case v.claim == nil || v.claim.rival.birth != r.birth:
		v.claim = &claim{rival: r, since: v.now}
		v.callClaim()
	case r.inc > v.claim.rival.inc:
		v.claim.rival.inc = r.inc
	}
}

// goBehind takes the incarnation after another process's.
func (v *View) goBehind(r record) {
	v.claim = nil
	if v.joining {
		v.become(r.inc + 1)
		return
	}
	v.setSelf(max(v.self.inc, r.inc+1))
}

// callClaim calls for the other process of our name, directly and through others. One that does not answer
// in time is gone.
func (v *View) callClaim() {
	c := v.claim
	if c == nil {
		return
	}
	if v.now-c.since >= claimFor*v.cfg.Period {
		if v.rivalOf != c.rival.birth {
			v.rivalOf, v.rivals = c.rival.birth, 0
		}
		if v.rivals++; v.rivals > rivalsMost && c.rival.birth < v.self.birth {
			v.conflict = &Conflict{Addr: c.rival.addr, Birth: c.rival.birth, Refused: true}
			return
		}
		v.goBehind(c.rival)
		return
	}
	v.sendClaim(c.rival.addr)
}

func (v *View) sendClaim(to netip.AddrPort) {
	body := func(hops byte) []byte {
		b := appendAddr(v.begin(kindClaim), to)
		b = binary.LittleEndian.AppendUint32(b, uint32(v.age()))
		b, _ = put(append(b, hops), v.me())
		return b
	}
	v.send(to, body(0), false)
	for _, m := range v.others(2, 0) {
		v.sendTo(m, body(1), false)
	}
}

// age is for how many periods this process has run.
func (v *View) age() Micros { return (v.now - v.begun) / v.cfg.Period }

func appendAddr(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().AsSlice()
	b = append(append(b, byte(len(ip))), ip...)
	return binary.LittleEndian.AppendUint16(b, a.Port())
}

// claimed hears that a process of our name runs elsewhere; or passes that on.
func (v *View) claimed(from *member, msg message) {
	if len(msg.entries) == 0 || !msg.entries[0].full {
		return
	}
	r := msg.entries[0].record
	if r.name != v.self.name || msg.addr != v.self.addr {
		if msg.hops > 0 && v.spend() { // of a stranger too: nobody else may take its word to the other one
			b := binary.LittleEndian.AppendUint32(appendAddr(v.begin(kindClaim), msg.addr), msg.inc)
			b, _ = put(append(b, 0), msg.entries[0])
			v.send(v.to(r.name, msg.addr), b, false)
		}
		return
	}
	if r.birth == v.self.birth || v.left {
		return
	}
	if v.conflict == nil {
		v.conflict = &Conflict{Addr: r.addr, Birth: r.birth}
	}
	if v.self.birth > r.birth { // the other one decides
		v.sendClaim(r.addr)
		return
	}
	mine, theirs := v.age(), Micros(msg.inc)
	loser := r.birth
	if theirs-mine >= closeAge {
		loser = v.self.birth
		v.conflict.Refused = true
	} else if v.claim != nil {
		v.goBehind(v.claim.rival)
	} else if r.above(&v.self) {
		v.goBehind(r)
	}
	to := []*member{}
	if from != nil {
		to = append(to, from)
	}
	body := func(hops byte) []byte {
		b := append(appendAddr(v.begin(kindVerdict), r.addr), hops)
		b = binary.LittleEndian.AppendUint64(b, loser)
		return binary.LittleEndian.AppendUint64(b, r.birth)
	}
	v.send(r.addr, body(0), false)
	for _, m := range to {
		v.sendTo(m, body(1), false)
	}
}

// judged hears which of two processes of our name has to give way; or passes that on.
func (v *View) judged(msg message) {
	if msg.other != v.self.birth {
		if msg.hops > 0 && v.spend() {
			b := append(appendAddr(v.begin(kindVerdict), msg.addr), 0)
			b = binary.LittleEndian.AppendUint64(b, msg.birth)
			v.send(msg.addr, binary.LittleEndian.AppendUint64(b, msg.other), false)
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
		v.conflict.Refused = true
		v.claim = nil
	case v.claim != nil:
		v.goBehind(v.claim.rival)
	}
}
