package membership

// What datagrams bring: who is believed, what is taken from them and what is answered.

import (
	"encoding/binary"
	"net/netip"
	"slices"
)

const (
	mostKnocks = 512
	incMost    = 1 << 31 // no incarnation comes near it in earnest
)

func (v *View) drop(why Reason) { v.figures.Dropped[why]++ }

// Receive takes in a datagram that has been opened.
func (v *View) Receive(now Micros, data []byte) {
	v.Tick(now)
	v.figures.Received++
	r := read(data)
	h := r.head()
	switch {
	case r.Bad || h.inc > incMost:
		v.drop(Malformed)
		return
	case h.birth == v.self.birth:
		v.drop(Echo)
		return
	}
	msg := v.parse(h, &r)
	if r.Bad {
		v.drop(Malformed)
		return
	}
	if m := v.births[h.birth]; m != nil {
		v.fromKnown(m, h, msg)
	} else {
		v.fromStranger(h, msg)
	}
}

// message is a datagram taken apart; which fields count its kind tells.
type message struct {
	id      uint32
	birth   uint64
	other   uint64
	inc     uint32
	addr    netip.AddrPort
	hops    byte
	depth   int
	prefix  uint32
	sums    [16]uint32
	back    bool
	births  []uint64
	entries []entry
	app     byte
	data    []byte
}

func (v *View) parse(h head, r *reader) (m message) {
	switch h.kind {
	case kindPing:
		m.id, m.birth = r.U32(), r.U64()
	case kindAck, kindNack, kindJoin, kindWelcome:
		m.id = r.U32()
	case kindAsk, kindReached:
		m.id, m.birth, m.inc = r.U32(), r.U64(), r.U32()
	case kindSums:
		m.depth, m.prefix = int(r.U8()), r.U32()
		for i := range m.sums {
			m.sums[i] = r.U32()
		}
	case kindRecords:
		m.depth, m.prefix, m.back = int(r.U8()), r.U32(), r.U8() == 1
	case kindWant:
		for len(r.Rest) > 0 && !r.Bad {
			m.births = append(m.births, r.U64())
		}
	case kindClaim:
		m.addr, m.inc, m.hops = r.addr(), r.U32(), r.U8()
	case kindVerdict:
		m.addr, m.hops, m.birth, m.other = r.addr(), r.U8(), r.U64(), r.U64()
	case kindApp:
		m.app = r.U8()
		m.data, r.Rest = r.Rest, nil
	}
	r.Bad = r.Bad || m.depth > treeDepth || m.inc > incMost
	m.entries = r.entries()
	for i := range m.entries {
		r.Bad = r.Bad || m.entries[i].inc > incMost
	}
	return m
}

// introduced is the sender's own line, if it says who it is.
func (m *message) introduced(h head) (record, bool) {
	if len(m.entries) > 0 && m.entries[0].full && m.entries[0].birth == h.birth && m.entries[0].what == isAlive {
		r := m.entries[0].record
		r.inc = h.inc
		return r, true
	}
	return record{}, false
}

// fromKnown takes in what a process says that is in the view.
func (v *View) fromKnown(m *member, h head, msg message) {
	if !m.window.fresh(h.seq) {
		v.drop(Replayed)
		return
	}
	m.stamp, m.app = h.stamp, h.app
	if h.inc > m.inc && h.kind != kindClaim && h.kind != kindVerdict { // it has heard of an accusation
		if m = v.revive(m, h.inc); m == nil {
			return
		}
	}
	if m.state != Alive {
		v.fromGone(m, h, msg)
		return
	}
	if msg.birth != v.self.birth || h.kind != kindPing { // of a ping: before the answer, which may be to it
		defer v.compare(m, h)
	}
	v.mergeAll(m, msg.entries)
	if m = v.births[h.birth]; m == nil {
		return
	}
	switch h.kind {
	case kindPing:
		v.sendTo(m, v.numbered(kindAck, msg.id), true)
		v.compare(m, h)
	case kindAck:
		v.acked(h, msg.id)
	case kindAsk:
		v.probeFor(m, msg)
	case kindReached:
		v.reached(m, msg)
	case kindNack:
		for i := range v.probes {
			if p := &v.probes[i]; p.id == msg.id && p.origin == 0 && p.asked > 0 {
				p.nacked++
			}
		}
	case kindAccuse:
		for i := range msg.entries {
			e := &msg.entries[i]
			if s := v.births[e.birth]; s != nil && s.state == Alive && e.what == isSuspect {
				if e.inc == s.inc {
					v.watch(s, v.now, false)
				} else if e.inc < s.inc {
					v.push([]*member{m}, v.entryOf(s, false))
				}
			}
		}
	case kindJoin:
		v.greet(v.to(m.name, m.addr), m.name, msg.id)
	case kindWelcome:
		v.welcomed(h, msg)
	case kindSums:
		v.compareSums(m, msg)
	case kindRecords:
		v.takeRecords(m, msg)
	case kindWant:
		v.introduce(m, msg.births)
	case kindClaim:
		v.claimed(m, msg)
	case kindVerdict:
		v.judged(msg)
	case kindTurned:
		v.figures.TurnedDown++
	case kindApp:
		v.heard = append(v.heard, Heard{From: m.name, Kind: msg.app, Data: slices.Clone(msg.data)})
	}
}

// revive takes in that a member is alive in a later incarnation, and passes that on.
func (v *View) revive(m *member, inc uint32) *member {
	r := m.record
	r.inc, r.state = inc, Alive
	if m = v.set(r, 0); m != nil {
		v.news.add(entry{record: r, full: true})
	}
	return m
}

// fromGone answers one that is dead here, or has left. What it says of others is not taken in: it may be
// deaf, and know nothing of what it is accused of. What it says of this member counts: where each holds the
// other to be dead, one of the two has to begin.
func (v *View) fromGone(m *member, h head, msg message) {
	for _, e := range msg.entries {
		if e.birth == v.self.birth {
			v.aboutMe(e)
		}
	}
	switch h.kind {
	case kindPing, kindJoin:
		b := v.numbered(kindAck, msg.id)
		b, _ = put(b, v.me())
		b, _ = put(b, v.entryOf(m, false))
		v.sendTo(m, b, false)
	case kindAck:
		if m.state == Dead && v.syncLeft > 0 { // it has not understood yet
			v.syncLeft--
			v.ping(m, false)
		}
	case kindClaim:
		v.claimed(nil, msg)
	case kindVerdict:
		v.judged(msg)
	}
}

// fromStranger answers a process that is in no view of ours. It is let in once it has answered a probe of the
// address that it claims: anybody may send us its old datagrams.
func (v *View) fromStranger(h head, msg message) {
	switch h.kind {
	case kindPing, kindJoin:
		r, ok := msg.introduced(h)
		switch {
		case !ok:
			v.drop(Unknown)
			return
		case r.name == v.self.name:
			if h.kind == kindJoin { // one of our name: it is told of us, and claims
				v.greet(r.addr, r.name, msg.id)
			}
			return
		case !v.welcome(r.name):
			v.drop(Stranger)
			v.send(v.to(r.name, r.addr), v.begin(kindTurned), false)
			return
		}
		to := v.to(r.name, r.addr)
		if h.kind == kindPing {
			v.send(to, v.numbered(kindAck, msg.id), false)
		} else {
			v.greet(to, r.name, msg.id)
		}
		v.examine(r, h)
	case kindAck:
		v.admit(h, msg.id)
	case kindWelcome:
		v.welcomed(h, msg)
	case kindNews: // only what concerns our own name: see greet and examine
		for i := range msg.entries {
			if e := &msg.entries[i]; e.full && e.name == v.self.name && e.birth != v.self.birth {
				v.rival(e.record)
			}
		}
	case kindClaim:
		v.claimed(nil, msg)
	case kindVerdict:
		v.judged(msg)
	case kindTurned:
		v.figures.TurnedDown++
	default:
		v.drop(Unknown)
	}
}

// greet answers one that asks to be let in: who we are, and what is known of its name.
func (v *View) greet(to netip.AddrPort, name string, id uint32) {
	b, _ := put(v.numbered(kindWelcome, id), v.me())
	if m := v.find(name); m != nil {
		b, _ = put(b, v.entryOf(m, true))
	}
	v.send(to, b, false)
}

// examine probes a stranger at the address that it claims. One that bears no incarnation yet, or one that
// stands behind another process of its name, is told what to go behind.
func (v *View) examine(r record, h head) {
	if m := v.find(r.name); m != nil && !r.above(&m.record) && m.birth != r.birth {
		b, _ := put(v.begin(kindNews), v.entryOf(m, true))
		v.send(v.to(r.name, r.addr), b, false)
		return
	}
	if r.inc == 0 || len(v.knocks) >= mostKnocks || v.joining ||
		slices.ContainsFunc(v.knocks, func(k newcomer) bool { return k.birth == r.birth && k.inc == r.inc }) {
		return
	}
	k := newcomer{record: r, id: uint32(v.rng.Uint64()), at: v.now, num: h.seq}
	v.knocks = append(v.knocks, k)
	b := binary.LittleEndian.AppendUint64(v.numbered(kindPing, k.id), r.birth)
	b, _ = put(b, v.me())
	v.send(v.to(r.name, r.addr), b, false)
}

// admit lets in one that has answered the probe of its address.
func (v *View) admit(h head, id uint32) {
	i := slices.IndexFunc(v.knocks, func(k newcomer) bool { return k.id == id && k.birth == h.birth })
	if i < 0 {
		v.otherAt(h, id)
		return
	}
	k := v.knocks[i]
	v.knocks = slices.Delete(v.knocks, i, i+1)
	k.inc = max(k.inc, h.inc)
	v.enter(k.record, h.seq)
}

// enter puts a process into the view that has proved to be there.
func (v *View) enter(r record, seq uint64) {
	if !v.welcome(r.name) || r.name == v.self.name {
		return
	}
	if old := v.find(r.name); old != nil && !r.above(&old.record) {
		return
	}
	m := v.set(r, 0)
	if m == nil { // there is no room: it must not count on being one of us
		v.send(v.to(r.name, r.addr), v.begin(kindTurned), false)
	} else {
		m.window.fresh(seq)
		v.news.add(entry{record: r, full: true})
		v.openSync(m)
	}
}

// otherAt hears that another process answers at the address of a member: a restart. It is told of the one
// that was there, to go behind it.
func (v *View) otherAt(h head, id uint32) {
	for i := range v.probes {
		if p := &v.probes[i]; p.id == id && p.origin == 0 {
			if m := v.births[p.birth]; m != nil {
				b, _ := put(v.begin(kindNews), v.entryOf(m, true))
				v.sendTo(m, b, false)
			}
		}
	}
}

// welcomed hears from one that we have called.
func (v *View) welcomed(h head, msg message) {
	if msg.id != v.joinIDs[0] && msg.id != v.joinIDs[1] || msg.id == 0 {
		return
	}
	r, ok := msg.introduced(h)
	if ok && r.name != v.self.name && h.inc > 0 && v.births[h.birth] == nil {
		v.enter(r, h.seq)
	}
	for i := range msg.entries {
		if e := &msg.entries[i]; e.full && e.name == v.self.name && e.birth != v.self.birth {
			v.rival(e.record)
		}
	}
	if v.joining && v.claim == nil {
		v.become(1)
	}
	if m := v.births[h.birth]; m != nil && !v.joining {
		v.ping(m, false)
	}
}

// acked takes in the answer to a probe.
func (v *View) acked(h head, id uint32) {
	i := slices.IndexFunc(v.probes, func(p probe) bool { return p.id == id })
	if i < 0 {
		return
	}
	p := v.probes[i]
	if p.birth != h.birth {
		v.otherAt(h, id)
		return
	}
	v.probes = slices.Delete(v.probes, i, i+1)
	if p.origin != 0 {
		if o := v.births[p.origin]; o != nil {
			b := binary.LittleEndian.AppendUint64(v.numbered(kindReached, p.forID), h.birth)
			v.sendTo(o, binary.LittleEndian.AppendUint32(b, h.inc), true)
		}
		return
	}
	v.evidence(v.births[h.birth], p)
}

// evidence books that a member has answered a probe of ours.
func (v *View) evidence(m *member, p probe) {
	if m == nil {
		return
	}
	if p.round {
		v.fare(-1)
	}
	m.acked, m.met = max(m.acked, p.sent), true
	// The answer to the very probe that began the watch counts too, however late it is.
	if w := v.watching(m.birth); w != nil && m.acked >= w.since {
		v.unwatch(m.birth)
		m.votes = nil // a member believes what it sees
	}
}

// probeFor probes a member for another.
func (v *View) probeFor(m *member, msg message) {
	s := v.births[msg.birth]
	if s == nil {
		v.sendTo(m, v.numbered(kindNack, msg.id), true)
		return
	}
	p := probe{id: uint32(v.rng.Uint64()), birth: s.birth, sent: v.now, origin: m.birth, forID: msg.id}
	v.track(p)
	b := v.pingFor(p.id, s, v.accused(s))
	if msg.inc > 0 && !v.accused(s) {
		e := entry{record: s.record, what: isSuspect}
		e.inc = msg.inc
		b, _ = put(b, e)
	}
	v.sendTo(s, b, true)
}

// reached hears that a helper's probe was answered.
func (v *View) reached(by *member, msg message) {
	i := slices.IndexFunc(v.probes, func(p probe) bool { return p.id == msg.id && p.origin == 0 })
	s := v.births[msg.birth]
	if i < 0 || s == nil || v.probes[i].birth != msg.birth {
		return
	}
	p := v.probes[i]
	v.probes = slices.Delete(v.probes, i, i+1)
	s.helper = by.birth
	if msg.inc > s.inc {
		if s = v.revive(s, msg.inc); s == nil {
			return
		}
	}
	met := s.met
	v.evidence(s, p)
	s.met = met // it has answered the helper, and may not know us
}

// mergeAll takes in what a member says.
func (v *View) mergeAll(from *member, list []entry) {
	var want []uint64
	for _, e := range list {
		if v.merge(e) && len(want) < 16 {
			want = append(want, e.birth)
		}
	}
	if len(want) > 0 && v.syncLeft > 0 {
		v.syncLeft--
		b := v.begin(kindWant)
		for _, x := range want {
			b = binary.LittleEndian.AppendUint64(b, x)
		}
		v.sendTo(from, b, false)
	}
}

// merge takes in one entry. It returns true where the process is not known, and who it is has to be asked.
func (v *View) merge(e entry) (unknown bool) {
	if e.birth == v.self.birth {
		v.aboutMe(e)
		return false
	}
	if e.full && e.name == v.self.name {
		v.rival(e.record)
		return false
	}
	m := v.births[e.birth]
	if m == nil {
		return v.mergeNew(e)
	}
	switch e.what {
	case isAlive:
		if e.inc > m.inc {
			v.revive(m, e.inc)
		}
	case isSuspect:
		if e.inc == m.inc && m.state == Alive && !m.suspect {
			v.doubt(m, true)
			v.news.add(e)
		}
	case isVote:
		if e.inc == m.inc && v.vote(m, e.votes[0]) {
			v.news.add(e)
		}
	case isLeft:
		if e.inc >= m.inc && m.state != Left {
			r := m.record
			r.inc, r.state = e.inc, Left
			if m = v.set(r, v.now-e.age*v.cfg.Period); m != nil {
				v.news.add(v.entryOf(m, false))
			}
		}
	case isDead:
		v.mergeDead(m, e)
	}
	return false
}

// mergeDead takes in that others hold a member to be dead: not on their word alone, but it is told.
func (v *View) mergeDead(m *member, e entry) {
	if e.inc < m.inc || m.state == Left || m.state == Dead && e.inc == m.inc {
		return
	}
	if e.inc > m.inc {
		r := m.record
		r.inc = e.inc
		if m = v.set(r, m.ended); m == nil || m.state == Dead {
			return
		}
	}
	if v.cfg.Ablate.NoSuspicion {
		m.votes = e.votes
		v.declare(m)
		return
	}
	birth, inc := m.birth, m.inc
	for _, by := range e.votes {
		if v.vote(m, by) {
			v.news.add(entry{record: m.record, what: isVote, votes: []uint32{by}})
		}
	}
	if m = v.births[birth]; m == nil || m.inc != inc || m.state != Alive {
		return
	}
	v.doubt(m, true)
	if !m.told {
		m.told = true
		v.ping(m, false)
	}
}

// mergeNew takes in an entry of a process that is not known.
func (v *View) mergeNew(e entry) (unknown bool) {
	if !e.full {
		return e.what == isAlive || e.what == isDead || e.what == isLeft
	}
	if !v.welcome(e.name) || e.inc == 0 {
		return false
	}
	old := v.find(e.name)
	gone := e.what == isDead || e.what == isLeft
	ended := v.now - e.age*v.cfg.Period
	if e.what == isSuspect || e.what == isVote || gone && v.now-ended >= v.keep(e.state) {
		return false
	}
	switch {
	case old == nil, e.above(&old.record) && (!gone || old.state != Alive):
		if m := v.set(e.record, ended); m != nil {
			if !gone {
				v.news.add(entry{record: e.record, full: true})
			} else if e.what == isDead {
				m.votes = e.votes
			}
		}
	case e.above(&old.record): // one that is gone stands before one that runs: that one has to go behind it
		b, _ := put(v.begin(kindNews), e)
		v.sendTo(old, b, false)
	}
	return false
}

// aboutMe answers an accusation by going behind it: SWIM, 4.2.
func (v *View) aboutMe(e entry) {
	if v.left || v.joining || e.what == isAlive || e.inc < v.self.inc {
		return
	}
	v.figures.Refuted++
	if e.what == isSuspect || e.what == isVote {
		v.fare(+1)
	}
	inc := e.inc + 1
	if v.cfg.Ablate.Equal {
		inc = e.inc
	}
	v.setSelf(inc)
}
