package membership

// Encoding of a datagram before it is sealed: a header, fixed fields that depend on the kind, then entries up
// to the end. Integers are little-endian.

import (
	"encoding/binary"
	"net/netip"

	"lapislever/internal/datagram"
)

// MaxPlain is the maximum size of a datagram before it is sealed. The seal adds 30 bytes; a sealed datagram
// never exceeds 256 bytes.
const MaxPlain = 226

// The kinds of datagram.
const (
	kindPing        = 1 + iota // id, target's birth: the process at the address sends an ack, whatever its birth
	kindAck                    // id
	kindPingReq                // id, birth and incarnation: request to probe that member
	kindIndirectAck            // id, birth and incarnation of the member that answered the helper
	kindNack                   // id: the member did not answer the helper
	kindWatch                  // entries: request to watch these members too
	kindUpdates                // entries
	kindJoin                   // id; the first entry is the sender's full record
	kindWelcome                // id
	kindSums                   // depth, prefix, 16 sums
	kindRecords                // depth, prefix, flags, entries
	kindWhoIs                  // births: request for the full records of these processes
	kindClaim                  // target address, age in periods, hops; one entry: the sender's full record
	kindClaimResult            // target address, hops, birth of the process that has to stop, target's birth
	kindRejected               // the sender does not admit the receiver: not in its roster, or its view is full
	kindApp                    // application message: kind byte, data
	kindEnd
)

const (
	headerSize       = 1 + 8 + 4 + 6 + 8 + 4 + 4
	voterMask        = 1<<32 - 1
	fullBit          = 0x80
	typeMask         = 0x07
	maxAge           = 1<<16 - 1
	backlogThreshold = 8 // number of unsent updates from which on the probes of a period cannot carry them all
)

// The types of an entry.
const (
	typeAlive   = byte(Alive)
	typeSuspect = byte(Suspect)
	typeDead    = byte(Dead)
	typeLeft    = byte(Left)
	typeVote    = 4
)

// record is the state of one process as it is exchanged between members.
type record struct {
	name, zone string
	addr       netip.AddrPort
	birth      uint64
	inc        uint32
	state      State // Alive, Dead or Left
}

// newerThan reports whether a record supersedes another one of the same name, regardless of their states.
func (r *record) newerThan(o *record) bool {
	return r.inc > o.inc || r.inc == o.inc && r.birth > o.birth
}

// entry is one statement about a process in a datagram.
type entry struct {
	record
	full  bool // name, zone and address are included
	typ   byte
	age   Micros   // periods since the member died or left
	votes []uint32 // for deaths and votes: the voters
}

func (e *entry) size() int {
	n := 1 + 8 + 4
	switch e.typ {
	case typeVote:
		n += 4
	case typeDead:
		n += 3 + 4*len(e.votes)
	case typeLeft:
		n += 2
	}
	if e.full {
		n += 2 + len(e.name) + len(e.zone) + 1 + e.addr.Addr().BitLen()/8 + 2
	}
	return n
}

func (e *entry) append(b []byte) []byte {
	flag := e.typ
	if e.full {
		flag |= fullBit
	}
	b = append(b, flag)
	b = binary.LittleEndian.AppendUint64(b, e.birth)
	b = binary.LittleEndian.AppendUint32(b, e.inc)
	if e.typ == typeDead || e.typ == typeLeft {
		b = binary.LittleEndian.AppendUint16(b, uint16(min(maxAge, max(0, e.age))))
	}
	if e.typ == typeDead {
		b = append(b, byte(len(e.votes)))
	}
	for _, v := range e.votes {
		b = binary.LittleEndian.AppendUint32(b, v)
	}
	if e.full {
		b = append(append(b, byte(len(e.name))), e.name...)
		b = append(append(b, byte(len(e.zone))), e.zone...)
		ip := e.addr.Addr().AsSlice()
		b = append(append(b, byte(len(ip))), ip...)
		b = binary.LittleEndian.AppendUint16(b, e.addr.Port())
	}
	return b
}

// reader decodes a datagram.
type reader struct{ datagram.Reader }

func newReader(b []byte) reader { return reader{datagram.Reader{Rest: b}} }

func (r *reader) addr() netip.AddrPort {
	n := int(r.U8())
	if n != 4 && n != 16 {
		r.Bad = true
		return netip.AddrPort{}
	}
	ip, _ := netip.AddrFromSlice(r.Bytes(n))
	return netip.AddrPortFrom(ip, r.U16())
}

func (r *reader) entry() (e entry) {
	flag := r.U8()
	e.full, e.typ = flag&fullBit != 0, flag&typeMask
	if flag&^(fullBit|typeMask) != 0 || e.typ > typeVote {
		r.Bad = true
	}
	e.birth, e.inc = r.U64(), r.U32()
	votes := 0
	switch e.typ {
	case typeDead:
		e.state, e.age, votes = Dead, Micros(r.U16()), int(r.U8())
	case typeLeft:
		e.state, e.age = Left, Micros(r.U16())
	case typeVote:
		votes = 1
	}
	if votes > maxVotes {
		r.Bad = true
		return e
	}
	for range votes {
		e.votes = append(e.votes, r.U32())
	}
	if e.full {
		e.name, e.zone, e.addr = r.Text(MaxName), r.Text(MaxZone), r.addr()
		r.Bad = r.Bad || e.name == "" || !e.addr.IsValid()
	}
	r.Bad = r.Bad || e.birth == 0
	return e
}

// entries reads entries up to the end. If any is malformed it returns none: a datagram is never used in part.
func (r *reader) entries() (list []entry) {
	for len(r.Rest) > 0 && !r.Bad {
		list = append(list, r.entry())
	}
	if r.Bad {
		return nil
	}
	return list
}

// header is the start of every datagram.
type header struct {
	kind   byte
	birth  uint64
	inc    uint32
	seq    uint64
	digest uint64
	stamp  uint32
	appTag uint32
}

func (r *reader) header() (h header) {
	h.kind, h.birth, h.inc = r.U8(), r.U64(), r.U32()
	h.seq = uint64(r.U32()) | uint64(r.U16())<<32
	h.digest, h.stamp, h.appTag = r.U64(), r.U32(), r.U32()
	r.Bad = r.Bad || h.kind == 0 || h.kind >= kindEnd || h.birth == 0
	return h
}

// newMessage returns a datagram with its header.
func (v *View) newMessage(kind byte) []byte {
	b := make([]byte, 0, MaxPlain)
	b = append(b, kind)
	b = binary.LittleEndian.AppendUint64(b, v.self.birth)
	b = binary.LittleEndian.AppendUint32(b, v.self.inc)
	v.seq++
	b = binary.LittleEndian.AppendUint32(b, uint32(v.seq))
	b = binary.LittleEndian.AppendUint16(b, uint16(v.seq>>32))
	b = binary.LittleEndian.AppendUint64(b, v.digest)
	b = binary.LittleEndian.AppendUint32(b, v.cfg.Stamp)
	return binary.LittleEndian.AppendUint32(b, v.appTag)
}

// newNumbered returns a datagram with its header and a request ID.
func (v *View) newNumbered(kind byte, id uint32) []byte {
	return binary.LittleEndian.AppendUint32(v.newMessage(kind), id)
}

// selfEntry returns this member's own entry with its full record.
func (v *View) selfEntry() entry {
	e := entry{record: v.self, full: true}
	if v.left {
		e.typ, e.state = typeLeft, Left
	}
	return e
}

// entryOf returns the entry for a member's current state.
func (v *View) entryOf(m *member, full bool) entry {
	e := entry{record: m.record, full: full, typ: byte(m.state)}
	if m.state != Alive {
		e.age = (v.now - m.endedAt) / v.cfg.Period
	}
	if m.state == Dead {
		e.votes = m.votes
	}
	return e
}

// appendEntry appends an entry if it fits into the datagram.
func appendEntry(b []byte, e entry) ([]byte, bool) {
	if len(b)+e.size() > MaxPlain {
		return b, false
	}
	return e.append(b), true
}

// route returns the address at which this process reaches a member.
func (v *View) route(name string, addr netip.AddrPort) netip.AddrPort {
	if a, ok := v.cfg.Route[name]; ok {
		return a
	}
	return addr
}

// send queues a datagram. If fill is set, the remaining space is filled with updates.
func (v *View) send(to netip.AddrPort, b []byte, fill bool) {
	if !to.IsValid() {
		return
	}
	if fill && !v.joining {
		_, trusted := v.liveCounts()
		b = v.updates.fill(b, trusted)
	}
	v.stats.Sent++
	v.stats.SentBytes += int64(len(b))
	v.outgoing = append(v.outgoing, Datagram{To: to, Data: b})
}

// sendTo queues a datagram to a member.
func (v *View) sendTo(m *member, b []byte, fill bool) { v.send(v.route(m.name, m.addr), b, fill) }

// queuedUpdate is an update and the number of times it was sent.
type queuedUpdate struct {
	entry
	sent int
}

// updateQueue holds the updates to gossip, least often sent first.
type updateQueue struct {
	bySends [][]queuedUpdate // indexed by the number of times sent
	count   int
}

// supersedes reports whether one update makes another redundant.
func (e *entry) supersedes(o *entry) bool {
	if e.birth != o.birth {
		return false
	}
	if e.inc != o.inc {
		return e.inc > o.inc
	}
	if e.typ == typeVote || o.typ == typeVote {
		return e.typ == typeVote && o.typ == typeVote && e.votes[0] == o.votes[0] || e.typ == typeDead ||
			e.typ == typeLeft
	}
	return e.typ >= o.typ
}

// add queues an update and removes those that it supersedes.
func (n *updateQueue) add(e entry) {
	for sends, level := range n.bySends {
		kept := level[:0]
		for i := range level {
			if !e.supersedes(&level[i].entry) {
				kept = append(kept, level[i])
			}
		}
		n.count -= len(level) - len(kept)
		n.bySends[sends] = kept
	}
	n.insert(queuedUpdate{entry: e})
}

func (n *updateQueue) insert(x queuedUpdate) {
	for len(n.bySends) <= x.sent {
		n.bySends = append(n.bySends, nil)
	}
	n.bySends[x.sent] = append(n.bySends[x.sent], x)
	n.count++
}

// fill appends updates to a datagram. Each is sent retransmitFactor*log2(n+1) times (SWIM, 4.1).
func (n *updateQueue) fill(b []byte, members int) []byte {
	if n.count == 0 {
		return b
	}
	maxSends := retransmitFactor * ceilLog2(members+1)
	var sent []queuedUpdate
	for sends := 0; sends < len(n.bySends) && MaxPlain-len(b) >= 13; sends++ {
		level, i := n.bySends[sends], 0
		for ; i < len(level) && MaxPlain-len(b) >= 13; i++ {
			var ok bool
			if b, ok = appendEntry(b, level[i].entry); !ok {
				break
			}
			level[i].sent++
			sent = append(sent, level[i])
		}
		n.bySends[sends] = append(level[:0], level[i:]...)
		n.count -= i
	}
	for _, x := range sent {
		if x.sent < maxSends {
			n.insert(x)
		}
	}
	return b
}

// ceilLog2 returns the base-2 logarithm, rounded up.
func ceilLog2(n int) int {
	l := 0
	for 1<<l < n {
		l++
	}
	return l
}
