package membership

// The form of a datagram, before it is sealed: a head, what its kind needs, then entries up to the end.
// Numbers are little-endian.

import (
	"encoding/binary"
	"net/netip"

	"lapislever/internal/datagram"
)

// MaxPlain is the most that a datagram holds before it is sealed, so that 256 bytes are never passed: the
// seal takes 30.
const MaxPlain = 226

// The kinds of datagram.
const (
	kindPing    = 1 + iota // id, birth meant: answered by an ack, whoever is there
	kindAck                // id
	kindAsk                // id, birth: probe that member for us
	kindReached            // id, birth and incarnation of the one that answered the helper
	kindNack               // id: it did not answer the helper
	kindAccuse             // entries: watch these too
	kindNews               // entries
	kindJoin               // id; the first entry is the sender, whole
	kindWelcome            // id
	kindSums               // depth, prefix, 16 sums
	kindRecords            // depth, prefix, flags, entries
	kindWant               // births: tell us who they are
	kindClaim              // address meant, age in periods, hops; an entry: the sender, whole
	kindVerdict            // address meant, hops, birth of the one that must not serve, and of the one meant
	kindTurned             // turned down: not in the roster
	kindApp                // of the layer above: a byte and data
	kinds
)

const (
	headSize = 1 + 8 + 4 + 6 + 8 + 4 + 4
	lowBits  = 1<<32 - 1
	fullBit  = 0x80
	typeBits = 0x07
	ageMost  = 1<<16 - 1
	backlog  = 8 // pieces of news never sent: more than the probes of a period carry
)

// What an entry tells.
const (
	isAlive   = byte(Alive)
	isSuspect = byte(Suspect)
	isDead    = byte(Dead)
	isLeft    = byte(Left)
	isVote    = 4
)

// record is what is said of one process.
type record struct {
	name, zone string
	addr       netip.AddrPort
	birth      uint64
	inc        uint32
	state      State // Alive, Dead or Left
}

// above tells that a record is later than another of its name, states apart.
func (r *record) above(o *record) bool {
	return r.inc > o.inc || r.inc == o.inc && r.birth > o.birth
}

// entry is one line of a datagram.
type entry struct {
	record
	full  bool // name, zone and address are there
	what  byte
	age   Micros   // periods since one died or left
	votes []uint32 // of a death or a vote: by whom
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

// reader takes a datagram apart.
type reader struct{ datagram.Reader }

func read(b []byte) reader { return reader{datagram.Reader{Rest: b}} }

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

// entries reads up to the end; none where any is bad, as a datagram is taken whole or not at all.
func (r *reader) entries() (list []entry) {
	for len(r.Rest) > 0 && !r.Bad {
		list = append(list, r.entry())
	}
	if r.Bad {
		return nil
	}
	return list
}

// head is what every datagram begins with.
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

// begin starts a datagram.
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

// numbered begins a datagram that bears a number.
func (v *View) numbered(kind byte, id uint32) []byte {
	return binary.LittleEndian.AppendUint32(v.begin(kind), id)
}

// me is this member's own entry.
func (v *View) me() entry {
	e := entry{record: v.self, full: true}
	if v.left {
		e.what, e.state = isLeft, Left
	}
	return e
}

// entryOf is what is known of a member, as an entry.
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

// put appends an entry where it fits.
func put(b []byte, e entry) ([]byte, bool) {
	if len(b)+e.size() > MaxPlain {
		return b, false
	}
	return e.append(b), true
}

// to is where a member is reached from here.
func (v *View) to(name string, addr netip.AddrPort) netip.AddrPort {
	if a, ok := v.cfg.Route[name]; ok {
		return a
	}
	return addr
}

// send fills a datagram up with news, where it may carry entries, and sends it.
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
	v.out = append(v.out, Datagram{To: to, Data: b})
}

// sendTo sends to a member.
func (v *View) sendTo(m *member, b []byte, fill bool) { v.send(v.to(m.name, m.addr), b, fill) }

// item is a piece of news with how often it went out.
type item struct {
	entry
	sent int
}

// news is what is to be passed on, least sent first.
type news struct {
	levels [][]item // by how often they were sent
	count  int
}

// supersedes tells that one piece of news makes another needless.
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

// add queues news. What it makes needless goes.
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

// fill appends news to a datagram. Each goes out newsFactor*log2(n+1) times (SWIM, 4.1).
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

// log2up is the logarithm to base 2, rounded up.
func log2up(n int) int {
	l := 0
	for 1<<l < n {
		l++
	}
	return l
}
