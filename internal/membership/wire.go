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
	kindPing    = 1 + iota // id, target's birth: the process at the address sends an ack, whatever its birth
	kindAck                // id
	kindAsk                // id, birth and incarnation: request to probe that member
	kindReached            // id, birth and incarnation of the member that answered the helper
	kindNack               // id: the member did not answer the helper
	kindAccuse             // entries: request to watch these members too
	kindNews               // entries
	kindJoin               // id; the first entry is the sender's full record
	kindWelcome            // id
	kindSums               // depth, prefix, 16 sums
	kindRecords            // depth, prefix, flags, entries
	kindWant               // births: request for the full records of these processes
	kindClaim              // target address, age in periods, hops; one entry: the sender's full record
	kindVerdict            // target address, hops, birth of the process that has to stop, target's birth
	kindTurned             // the sender does not admit the receiver: not in its roster, or its view is full
	kindApp                // application message: kind byte, data
	kinds
)

const (
	headSize = 1 + 8 + 4 + 6 + 8 + 4 + 4
	lowBits  = 1<<32 - 1
	fullBit  = 0x80
	typeBits = 0x07
	ageMost  = 1<<16 - 1
	backlog  = 8 // number of unsent updates above which probes of one period cannot carry them
)

// The types of an entry.
const (
	isAlive   = byte(Alive)
	isSuspect = byte(Suspect)
	isDead    = byte(Dead)
	isLeft    = byte(Left)
	isVote    = 4
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
func (r *record) above(o *record) bool {
	return r.inc > o.inc || r.inc == o.inc && r.birth > o.birth
}

// entry is one statement about a process in a datagram.
type entry struct {
	record
	full  bool // name, zone and address are included
	what  byte
	age   Micros   // periods since the member died or left
	votes []uint32 // for deaths and votes: the voters
}

func (e *entry) size() int {
	n := 1 + 8 + 4
	switch e.what {
	case isVote:
		n += 4
	case isDead:
		n += 3 + 4*len(e.votes)
	case isLeft:
		n += 2
	}
	if e.full {
		n += 2 + len(e.name) + len(e.zone) + 1 + e.addr.Addr().BitLen()/8 + 2
	}
	return n
}

func (e *entry) append(b []byte) []byte {
	flag := e.what
	if e.full {
		flag |= fullBit
	}
	b = append(b, flag)
	b = binary.LittleEndian.AppendUint64(b, e.birth)
	b = binary.LittleEndian.AppendUint32(b, e.inc)
	if e.what == isDead || e.what == isLeft {
		b = binary.LittleEndian.AppendUint16(b, uint16(min(ageMost, max(0, e.age))))
	}
	if e.what == isDead {
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

func read(b []byte) reader { return reader{datagram.Reader{B: b}} }

func (r *reader) addr() netip.AddrPort {
	n := int(r.U8())
	if n != 4 && n != 16 {
		r.Bad = true
		return netip.AddrPort{}
	}
	ip, _ := netip.AddrFromSlice(r.Take(n))
	return netip.AddrPortFrom(ip, r.U16())
}

func (r *reader) entry() (e entry) {
	flag := r.U8()
	e.full, e.what = flag&fullBit != 0, flag&typeBits
	if flag&^(fullBit|typeBits) != 0 || e.what > isVote {
		r.Bad = true
	}
	e.birth, e.inc = r.U64(), r.U32()
	votes := 0
	switch e.what {
	case isDead:
		e.state, e.age, votes = Dead, Micros(r.U16()), int(r.U8())
	case isLeft:
		e.state, e.age = Left, Micros(r.U16())
	case isVote:
		votes = 1
	}
	if votes > votesMost {
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
	for len(r.B) > 0 && !r.Bad {
		list = append(list, r.entry())
	}
	if r.Bad {
		return nil
	}
	return list
}

// header is the start of every datagram.
type head struct {
	kind   byte
	birth  uint64
	inc    uint32
	seq    uint64
	digest uint64
	stamp  uint32
	app    uint32
}

func (r *reader) head() (h head) {
	h.kind, h.birth, h.inc = r.U8(), r.U64(), r.U32()
	h.seq = uint64(r.U32()) | uint64(r.U16())<<32
	h.digest, h.stamp, h.app = r.U64(), r.U32(), r.U32()
	r.Bad = r.Bad || h.kind == 0 || h.kind >= kinds || h.birth == 0
	return h
}

// newMessage returns a datagram with its header.
func (v *View) begin(kind byte) []byte {
	b := make([]byte, 0, MaxPlain)
	b = append(b, kind)
	b = binary.LittleEndian.AppendUint64(b, v.self.birth)
	b = binary.LittleEndian.AppendUint32(b, v.self.inc)
	v.seq++
	b = binary.LittleEndian.AppendUint32(b, uint32(v.seq))
	b = binary.LittleEndian.AppendUint16(b, uint16(v.seq>>32))
	b = binary.LittleEndian.AppendUint64(b, v.digest)
	b = binary.LittleEndian.AppendUint32(b, v.cfg.Stamp)
	return binary.LittleEndian.AppendUint32(b, v.app)
}

// newNumbered returns a datagram with its header and a request ID.
func (v *View) numbered(kind byte, id uint32) []byte {
	return binary.LittleEndian.AppendUint32(v.begin(kind), id)
}

// selfEntry returns this member's own entry with its full record.
func (v *View) me() entry {
	e := entry{record: v.self, full: true}
	if v.left {
		e.what, e.state = isLeft, Left
	}
	return e
}

// entryOf returns the entry for a member's current state.
func (v *View) entryOf(m *member, full bool) entry {
	e := entry{record: m.record, full: full, what: byte(m.state)}
	if m.state != Alive {
		e.age = (v.now - m.ended) / v.cfg.Period
	}
	if m.state == Dead {
		e.votes = m.votes
	}
	return e
}

// appendEntry appends an entry if it fits into the datagram.
func put(b []byte, e entry) ([]byte, bool) {
	if len(b)+e.size() > MaxPlain {
		return b, false
	}
	return e.append(b), true
}

// route returns the address at which this process reaches a member.
func (v *View) to(name string, addr netip.AddrPort) netip.AddrPort {
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
		_, trusted := v.alive()
		b = v.news.fill(b, trusted)
	}
	v.figures.Sent++
	v.figures.SentBytes += int64(len(b))
	v.out = append(v.out, Send{To: to, Data: b})
}

// sendTo queues a datagram to a member.
func (v *View) sendTo(m *member, b []byte, fill bool) { v.send(v.to(m.name, m.addr), b, fill) }

// queuedUpdate is an update and the number of times it was sent.
type item struct {
	entry
	sent int
}

// updateQueue holds the updates to gossip, least often sent first.
type news struct {
	levels [][]item // indexed by the number of times sent
	count  int
}

// supersedes reports whether one update makes another redundant.
func (e *entry) supersedes(o *entry) bool {
	if e.birth != o.birth {
		return false
	}
	if e.inc != o.inc {
		return e.inc > o.inc
	}
	if e.what == isVote || o.what == isVote {
		return e.what == isVote && o.what == isVote && e.votes[0] == o.votes[0] || e.what == isDead ||
			e.what == isLeft
	}
	return e.what >= o.what
}

// add queues an update and removes those that it supersedes.
func (n *news) add(e entry) {
	for l, level := range n.levels {
		kept := level[:0]
		for i := range level {
			if !e.supersedes(&level[i].entry) {
				kept = append(kept, level[i])
			}
		}
		n.count -= len(level) - len(kept)
		n.levels[l] = kept
	}
	n.push(item{entry: e})
}

func (n *news) push(x item) {
	for len(n.levels) <= x.sent {
		n.levels = append(n.levels, nil)
	}
	n.levels[x.sent] = append(n.levels[x.sent], x)
	n.count++
}

// fill appends updates to a datagram. Each is sent retransmitFactor*log2(n+1) times (SWIM, 4.1).
func (n *news) fill(b []byte, members int) []byte {
	if n.count == 0 {
		return b
	}
	most := newsFactor * log2up(members+1)
	var sent []item
	for l := 0; l < len(n.levels) && MaxPlain-len(b) >= 13; l++ {
		level, i := n.levels[l], 0
		for ; i < len(level) && MaxPlain-len(b) >= 13; i++ {
			var ok bool
			if b, ok = put(b, level[i].entry); !ok {
				break
			}
			level[i].sent++
			sent = append(sent, level[i])
		}
		n.levels[l] = append(level[:0], level[i:]...)
		n.count -= i
	}
	for _, x := range sent {
		if x.sent < most {
			n.push(x)
		}
	}
	return b
}

// ceilLog2 returns the base-2 logarithm, rounded up.
func log2up(n int) int {
	l := 0
	for 1<<l < n {
		l++
	}
	return l
}
