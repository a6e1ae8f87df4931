package membership

// Handling of received datagrams: which senders are trusted, what is merged and what is answered.

import (
	"encoding/binary"
	"net/netip"
	"slices"
)

const (
	maxCandidates  = 512
	maxIncarnation = 1 << 31 // far above any incarnation that occurs in practice
)

func (v *View) drop(reason DropReason) { v.stats.Dropped[reason]++ }

// Receive handles a datagram that has been unsealed.
func (v *View) Receive(now Micros, data []byte) {
	v.Tick(now)
	v.stats.Received++
	r := newReader(data)
	h := r.header()
	switch {
	case r.Bad || h.inc > maxIncarnation:
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
	if m := v.byBirth[h.birth]; m != nil {
		v.receiveFromMember(m, h, msg)
	} else {
		v.receiveFromUnknown(h, msg)
	}
}

// message is a decoded datagram; its kind determines which fields are set.
type message struct {
	id        uint32
	birth     uint64
	recipient uint64
	inc       uint32
	addr      netip.AddrPort
	hops      byte
	depth     int
	prefix    uint32
	sums      [16]uint32
	wantReply bool
	births    []uint64
	entries   []entry
	appKind   byte
	data      []byte
}

func (v *View) parse(h header, r *reader) (m message) {
	switch h.kind {
	case kindPing:
		m.id, m.birth = r.U32(), r.U64()
	case kindAck, kindNack, kindJoin, kindWelcome:
		m.id = r.U32()
	case kindPingReq, kindIndirectAck:
		m.id, m.birth, m.inc = r.U32(), r.U64(), r.U32()
	case kindSums:
		m.depth, m.prefix = int(r.U8()), r.U32()
		for i := range m.sums {
			m.sums[i] = r.U32()
		}
	case kindRecords:
		m.depth, m.prefix, m.wantReply = int(r.U8()), r.U32(), r.U8() == 1
	case kindWhoIs:
		for len(r.Rest) > 0 && !r.Bad {
			m.births = append(m.births, r.U64())
		}
	case kindClaim:
		m.addr, m.inc, m.hops = r.addr(), r.U32(), r.U8()
	case kindClaimResult:
		m.addr, m.hops, m.birth, m.recipient = r.addr(), r.U8(), r.U64(), r.U64()
	case kindApp:
		m.appKind = r.U8()
		m.data, r.Rest = r.Rest, nil
	}
	r.Bad = r.Bad || m.depth > treeDepth || m.inc > maxIncarnation
	m.entries = r.entries()
	for i := range m.entries {
		r.Bad = r.Bad || m.entries[i].inc > maxIncarnation
	}
	return m
}

// senderRecord returns the sender's own record, if the datagram starts with it.
func (m *message) senderRecord(h header) (record, bool) {
	if len(m.entries) > 0 && m.entries[0].full && m.entries[0].birth == h.birth &&
		m.entries[0].typ == typeAlive {
		r := m.entries[0].record
		r.inc = h.inc
		return r, true
	}
	return record{}, false
}

// receiveFromMember handles a datagram of a process that is in the view.
func (v *View) receiveFromMember(m *member, h header, msg message) {
	if !m.replay.accept(h.seq) {
		v.drop(Replayed)
		return
	}
	m.stamp, m.appTag = h.stamp, h.appTag
	if h.inc > m.inc && h.kind != kindClaim && h.kind != kindClaimResult { // it has refuted an accusation
		if m = v.raiseIncarnation(m, h.inc); m == nil {
			return
		}
	}
	if m.state != Alive {
		v.receiveFromGone(m, h, msg)
		return
	}
	if msg.birth != v.self.birth || h.kind != kindPing { // pings to this process: below, after the ack
		defer v.compareDigest(m, h)
	}
	v.mergeAll(m, msg.entries)
	if m = v.byBirth[h.birth]; m == nil {
		return
	}
	switch h.kind {
	case kindPing:
		v.sendTo(m, v.newNumbered(kindAck, msg.id), true)
		v.compareDigest(m, h)
	case kindAck:
		v.handleAck(h, msg.id)
	case kindPingReq:
		v.probeOnBehalf(m, msg)
	case kindIndirectAck:
		v.handleIndirectAck(m, msg)
	case kindNack:
		for i := range v.probes {
			if p := &v.probes[i]; p.id == msg.id && p.requester == 0 && p.helpersAsked > 0 {
				p.nacks++
			}
		}
	case kindWatch:
		for i := range msg.entries {
			e := &msg.entries[i]
			if s := v.byBirth[e.birth]; s != nil && s.state == Alive && e.typ == typeSuspect {
				if e.inc == s.inc {
					v.startWatch(s, v.now, false)
				} else if e.inc < s.inc {
					v.sendUpdate([]*member{m}, v.entryOf(s, false))
				}
			}
		}
	case kindJoin:
		v.sendWelcome(v.route(m.name, m.addr), m.name, msg.id)
	case kindWelcome:
		v.handleWelcome(h, msg)
	case kindSums:
		v.compareSums(m, msg)
	case kindRecords:
		v.handleRecords(m, msg)
	case kindWhoIs:
		v.sendIdentities(m, msg.births)
	case kindClaim:
		v.handleClaim(m, msg)
	case kindClaimResult:
		v.handleClaimResult(msg)
	case kindRejected:
		v.stats.Rejections++
	case kindApp:
		v.appMessages = append(v.appMessages, AppMessage{From: m.name, Kind: msg.appKind,
			Data: slices.Clone(msg.data)})
	}
}

// raiseIncarnation records that a member is alive in a later incarnation, and queues the update.
func (v *View) raiseIncarnation(m *member, inc uint32) *member {
	r := m.record
	r.inc, r.state = inc, Alive
	if m = v.setRecord(r, 0); m != nil {
		v.updates.add(entry{record: r, full: true})
	}
	return m
}

// receiveFromGone handles a datagram of a process that is dead here or has left. Its entries on other members
// are ignored: it may receive nothing, and so know nothing of the accusations against itself. Its entries on
// this member count: if two members each consider the other dead, one of them has to refute first.
func (v *View) receiveFromGone(m *member, h header, msg message) {
	for _, e := range msg.entries {
		if e.birth == v.self.birth {
			v.refute(e)
		}
	}
	switch h.kind {
	case kindPing, kindJoin:
		b := v.newNumbered(kindAck, msg.id)
		b, _ = appendEntry(b, v.selfEntry())
		b, _ = appendEntry(b, v.entryOf(m, false))
		v.sendTo(m, b, false)
	case kindAck:
		if m.state == Dead && v.syncBudget > 0 { // it has not received the accusation yet
			v.syncBudget--
			v.ping(m, false)
		}
	case kindClaim:
		v.handleClaim(nil, msg)
	case kindClaimResult:
		v.handleClaimResult(msg)
	}
}

// receiveFromUnknown handles a datagram of a process that is not in the view. The process is admitted once it
// has answered a probe of the address that it claims, because anyone could replay its old datagrams.
func (v *View) receiveFromUnknown(h header, msg message) {
	switch h.kind {
	case kindPing, kindJoin:
		r, ok := msg.senderRecord(h)
		switch {
		case !ok:
			v.drop(Unknown)
			return
		case r.name == v.self.name:
			if h.kind == kindJoin { // it has this member's name: it is sent our record, and then sends a claim
				v.sendWelcome(r.addr, r.name, msg.id)
			}
			return
		case !v.allowsName(r.name):
			v.drop(NotAdmitted)
			v.send(v.route(r.name, r.addr), v.newMessage(kindRejected), false)
			return
		}
		to := v.route(r.name, r.addr)
		if h.kind == kindPing {
			v.send(to, v.newNumbered(kindAck, msg.id), false)
		} else {
			v.sendWelcome(to, r.name, msg.id)
		}
		v.verifyCandidate(r, h)
	case kindAck:
		v.candidateAcked(h, msg.id)
	case kindWelcome:
		v.handleWelcome(h, msg)
	case kindUpdates: // only entries on this member's own name: see sendWelcome and verifyCandidate
		for i := range msg.entries {
			if e := &msg.entries[i]; e.full && e.name == v.self.name && e.birth != v.self.birth {
				v.handleRival(e.record)
			}
		}
	case kindClaim:
		v.handleClaim(nil, msg)
	case kindClaimResult:
		v.handleClaimResult(msg)
	case kindRejected:
		v.stats.Rejections++
	default:
		v.drop(Unknown)
	}
}

// sendWelcome answers a join request with this member's record and the record known for the sender's name.
func (v *View) sendWelcome(to netip.AddrPort, name string, id uint32) {
	b, _ := appendEntry(v.newNumbered(kindWelcome, id), v.selfEntry())
	if m := v.find(name); m != nil {
		b, _ = appendEntry(b, v.entryOf(m, true))
	}
	v.send(to, b, false)
}

// verifyCandidate probes an unknown process at the address that it claims. A process whose record does not
// supersede the known record of its name is sent that record instead. A process that has no incarnation yet
// is not probed.
func (v *View) verifyCandidate(r record, h header) {
	if m := v.find(r.name); m != nil && !r.newerThan(&m.record) && m.birth != r.birth {
		b, _ := appendEntry(v.newMessage(kindUpdates), v.entryOf(m, true))
		v.send(v.route(r.name, r.addr), b, false)
		return
	}
	if r.inc == 0 || len(v.candidates) >= maxCandidates || v.joining ||
		slices.ContainsFunc(v.candidates, func(c candidate) bool { return c.birth == r.birth && c.inc == r.inc }) {
		return
	}
	c := candidate{record: r, probeID: uint32(v.rng.Uint64()), at: v.now, seq: h.seq}
	v.candidates = append(v.candidates, c)
	b := binary.LittleEndian.AppendUint64(v.newNumbered(kindPing, c.probeID), r.birth)
	b, _ = appendEntry(b, v.selfEntry())
	v.send(v.route(r.name, r.addr), b, false)
}

// candidateAcked admits a candidate that has answered the probe of its address.
func (v *View) candidateAcked(h header, id uint32) {
	i := slices.IndexFunc(v.candidates, func(c candidate) bool { return c.probeID == id && c.birth == h.birth })
	if i < 0 {
		v.addressReused(h, id)
		return
	}
	c := v.candidates[i]
	v.candidates = slices.Delete(v.candidates, i, i+1)
	c.inc = max(c.inc, h.inc)
	v.admit(c.record, h.seq)
}

// admit adds a process whose address has been verified to the view.
func (v *View) admit(r record, seq uint64) {
	if !v.allowsName(r.name) || r.name == v.self.name {
		return
	}
	if old := v.find(r.name); old != nil && !r.newerThan(&old.record) {
		return
	}
	m := v.setRecord(r, 0)
	if m == nil { // the view is full: the process must learn that it is not a member
		v.send(v.route(r.name, r.addr), v.newMessage(kindRejected), false)
	} else {
		m.replay.accept(seq)
		v.updates.add(entry{record: r, full: true})
		v.startSync(m)
	}
}

// addressReused handles an answer of another process at a member's address, which is a restart. The process
// is sent the record of its predecessor, so that it can supersede it.
func (v *View) addressReused(h header, id uint32) {
	for i := range v.probes {
		if p := &v.probes[i]; p.id == id && p.requester == 0 {
			if m := v.byBirth[p.birth]; m != nil {
				b, _ := appendEntry(v.newMessage(kindUpdates), v.entryOf(m, true))
				v.sendTo(m, b, false)
			}
		}
	}
}

// handleWelcome handles the answer to a join request of this process.
func (v *View) handleWelcome(h header, msg message) {
	if msg.id != v.joinIDs[0] && msg.id != v.joinIDs[1] || msg.id == 0 {
		return
	}
	r, ok := msg.senderRecord(h)
	if ok && r.name != v.self.name && h.inc > 0 && v.byBirth[h.birth] == nil {
		v.admit(r, h.seq)
	}
	for i := range msg.entries {
		if e := &msg.entries[i]; e.full && e.name == v.self.name && e.birth != v.self.birth {
			v.handleRival(e.record)
		}
	}
	if v.joining && v.claim == nil {
		v.completeJoin(1)
	}
	if m := v.byBirth[h.birth]; m != nil && !v.joining {
		v.ping(m, false)
	}
}

// handleAck handles the answer to a probe.
func (v *View) handleAck(h header, id uint32) {
	i := slices.IndexFunc(v.probes, func(p probe) bool { return p.id == id })
	if i < 0 {
		return
	}
	p := v.probes[i]
	if p.birth != h.birth {
		v.addressReused(h, id)
		return
	}
	v.probes = slices.Delete(v.probes, i, i+1)
	if p.requester != 0 {
		if requester := v.byBirth[p.requester]; requester != nil {
			b := binary.LittleEndian.AppendUint64(v.newNumbered(kindIndirectAck, p.requestID), h.birth)
			v.sendTo(requester, binary.LittleEndian.AppendUint32(b, h.inc), true)
		}
		return
	}
	v.probeAnswered(v.byBirth[h.birth], p)
}

// probeAnswered records that a member has answered a probe of this process.
func (v *View) probeAnswered(m *member, p probe) {
	if m == nil {
		return
	}
	if p.scheduled {
		v.adjustHealth(-1)
	}
	m.lastAckedProbe, m.knowsUs = max(m.lastAckedProbe, p.sentAt), true
	// A late answer to the probe that started the watch counts too.
	if w := v.findWatch(m.birth); w != nil && m.lastAckedProbe >= w.since {
		v.endWatch(m.birth)
		m.votes = nil // a member's own observation outweighs others' votes
	}
}

// probeOnBehalf probes a member at the request of another one.
func (v *View) probeOnBehalf(m *member, msg message) {
	target := v.byBirth[msg.birth]
	if target == nil {
		v.sendTo(m, v.newNumbered(kindNack, msg.id), true)
		return
	}
	p := probe{id: uint32(v.rng.Uint64()), birth: target.birth, sentAt: v.now, requester: m.birth,
		requestID: msg.id}
	v.trackProbe(p)
	b := v.pingMessage(p.id, target, v.isAccused(target))
	if msg.inc > 0 && !v.isAccused(target) {
		e := entry{record: target.record, typ: typeSuspect}
		e.inc = msg.inc
		b, _ = appendEntry(b, e)
	}
	v.sendTo(target, b, true)
}

// handleIndirectAck handles a helper's report that its probe was answered.
func (v *View) handleIndirectAck(helper *member, msg message) {
	i := slices.IndexFunc(v.probes, func(p probe) bool { return p.id == msg.id && p.requester == 0 })
	target := v.byBirth[msg.birth]
	if i < 0 || target == nil || v.probes[i].birth != msg.birth {
		return
	}
	p := v.probes[i]
	v.probes = slices.Delete(v.probes, i, i+1)
	target.lastHelper = helper.birth
	if msg.inc > target.inc {
		if target = v.raiseIncarnation(target, msg.inc); target == nil {
			return
		}
	}
	knewUs := target.knowsUs
	v.probeAnswered(target, p)
	target.knowsUs = knewUs // it has answered the helper and may not know this process
}

// mergeAll merges a member's entries and asks for the records of unknown processes among them.
func (v *View) mergeAll(from *member, list []entry) {
	var unknown []uint64
	for _, e := range list {
		if v.merge(e) && len(unknown) < 16 {
			unknown = append(unknown, e.birth)
		}
	}
	if len(unknown) > 0 && v.syncBudget > 0 {
		v.syncBudget--
		b := v.newMessage(kindWhoIs)
		for _, x := range unknown {
			b = binary.LittleEndian.AppendUint64(b, x)
		}
		v.sendTo(from, b, false)
	}
}

// merge merges one entry. It returns true if the process is unknown and its record has to be requested.
func (v *View) merge(e entry) (unknown bool) {
	if e.birth == v.self.birth {
		v.refute(e)
		return false
	}
	if e.full && e.name == v.self.name {
		v.handleRival(e.record)
		return false
	}
	m := v.byBirth[e.birth]
	if m == nil {
		return v.mergeNew(e)
	}
	switch e.typ {
	case typeAlive:
		if e.inc > m.inc {
			v.raiseIncarnation(m, e.inc)
		}
	case typeSuspect:
		if e.inc == m.inc && m.state == Alive && !m.suspect {
			v.setSuspect(m, true)
			v.updates.add(e)
		}
	case typeVote:
		if e.inc == m.inc && v.addVote(m, e.votes[0]) {
			v.updates.add(e)
		}
	case typeLeft:
		if e.inc >= m.inc && m.state != Left {
			r := m.record
			r.inc, r.state = e.inc, Left
			if m = v.setRecord(r, v.now-e.age*v.cfg.Period); m != nil {
				v.updates.add(v.entryOf(m, false))
			}
		}
	case typeDead:
		v.mergeDead(m, e)
	}
	return false
}

// mergeDead merges the entry that others declared a member dead. The member is not declared dead on their
// word alone: their votes are counted, and the member is sent the accusation.
func (v *View) mergeDead(m *member, e entry) {
	if e.inc < m.inc || m.state == Left || m.state == Dead && e.inc == m.inc {
		return
	}
	if e.inc > m.inc {
		r := m.record
		r.inc = e.inc
		if m = v.setRecord(r, m.endedAt); m == nil || m.state == Dead {
			return
		}
	}
	if v.cfg.Ablate.NoSuspicion {
		m.votes = e.votes
		v.declareDead(m)
		return
	}
	birth, inc := m.birth, m.inc
	for _, voter := range e.votes {
		if v.addVote(m, voter) {
			v.updates.add(entry{record: m.record, typ: typeVote, votes: []uint32{voter}})
		}
	}
	if m = v.byBirth[birth]; m == nil || m.inc != inc || m.state != Alive {
		return
	}
	v.setSuspect(m, true)
	if !m.notified {
		m.notified = true
		v.ping(m, false)
	}
}

// mergeNew merges an entry of an unknown process.
func (v *View) mergeNew(e entry) (unknown bool) {
	if !e.full {
		return e.typ == typeAlive || e.typ == typeDead || e.typ == typeLeft
	}
	if !v.allowsName(e.name) || e.inc == 0 {
		return false
	}
	old := v.find(e.name)
	ended := e.typ == typeDead || e.typ == typeLeft
	endedAt := v.now - e.age*v.cfg.Period
	if e.typ == typeSuspect || e.typ == typeVote || ended && v.now-endedAt >= v.retention(e.state) {
		return false
	}
	switch {
	case old == nil, e.newerThan(&old.record) && (!ended || old.state != Alive):
		if m := v.setRecord(e.record, endedAt); m != nil {
			if !ended {
				v.updates.add(entry{record: e.record, full: true})
			} else if e.typ == typeDead {
				m.votes = e.votes
			}
		}
	case e.newerThan(&old.record): // the ended process ranks above the running one, which must supersede it
		b, _ := appendEntry(v.newMessage(kindUpdates), e)
		v.sendTo(old, b, false)
	}
	return false
}

// refute refutes an accusation of this member by taking a later incarnation: SWIM, 4.2.
func (v *View) refute(e entry) {
	if v.left || v.joining || e.typ == typeAlive || e.inc < v.self.inc {
		return
	}
	v.stats.Refutations++
	if e.typ == typeSuspect || e.typ == typeVote {
		v.adjustHealth(+1)
	}
	inc := e.inc + 1
	if v.cfg.Ablate.ReuseIncarnation {
		inc = e.inc
	}
	v.setOwnIncarnation(inc)
}
