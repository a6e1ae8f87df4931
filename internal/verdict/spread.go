package verdict

// How members tell one another: new entries directly until each is known to hold them, and what that has
// missed by comparing sums, stamps and then entries.

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"

	"lapislever/internal/datagram"
)

const (
	budget   = 16 // datagrams a period
	directly = 8  // of them, those that carry new entries
	compares = 2  // members whose sums differ that are asked a period
	buckets  = 64
)

// The kinds of message.
const (
	msgEntries = 1 + iota // entries with their ages
	msgSums               // salt, 64 sums of 16 bits
	msgList               // from and to hash, and all stamps in between
	msgWant               // hashes
	msgAck                // hashes and stamps of what the sender has carried out
)

// Message is a message to another member.
type Message struct {
	To   string
	Data []byte
}

// Untold is what a member says in place of its digest that has not been told what the fleet holds. Digests
// are odd.
const Untold uint32 = 2

// untoldFor is for how many periods all others have to be untold as well, or so many as untoldMost where
// there are more, with none that is told, for there to be nothing to be told.
const (
	untoldFor  = 3
	untoldMost = 16
)

// Peer is another member that is alive. Sum is what it last announced; 0: nothing yet.
type Peer struct {
	Name   string
	Digest uint32
}

// Gossiper tells others what a table holds.
type Gossiper struct {
	*Table
	rng    *rand.PCG
	most   int // bytes of a message
	left   int // of the period's budget,
	pushes int // and of that for news
	peers  []Peer
	turn   int
	out    []Message
	acks   map[string][]*entry // to be told to who gave or sent them
	told   bool
	none   int   // periods in which nobody knew anything
	Sent   int64 // messages
}

// NewGossiper returns a spreader whose messages have so many bytes at most.
func NewGossiper(t *Table, seed uint64, most int) *Gossiper {
	return &Gossiper{Table: t, rng: rand.NewPCG(seed, 3), most: most,
		acks: map[string][]*entry{}}
}

// AnnouncedDigest is what others are told: the digest, once this member knows what they hold.
func (s *Gossiper) AnnouncedDigest() uint32 {
	if !s.told {
		return Untold
	}
	return s.Digest()
}

// Synced tells that another member's table has been taken in, or that there is none to take.
func (s *Gossiper) Synced() bool { return s.told }

// TakePending hands over what is to be sent and carried out.
func (s *Gossiper) TakePending() ([]Message, []Change) {
	s.flushAcks()
	out := s.out
	s.out = nil
	return out, s.Table.Take()
}

func (s *Gossiper) send(to string, b []byte) bool {
	if s.left <= 0 {
		return false
	}
	s.left--
	s.Sent++
	s.out = append(s.out, Message{To: to, Data: b})
	return true
}

// Tick is to be called once a period with those that are alive.
func (s *Gossiper) Tick(now Micros, peers []Peer) {
	s.peers = peers
	s.left, s.pushes = budget, budget
	s.Expire(now)
	alive := make(map[string]uint32, len(peers))
	for _, p := range peers {
		alive[p.Name] = p.Digest
	}
	all := true
	for _, e := range s.entries {
		for who := range e.held {
			if _, ok := alive[who]; !ok { // it may come back without
				delete(e.held, who)
			}
		}
		all = all && e.applied
	}
	s.told = s.told || len(peers) == 0
	var differ []Peer
	untold, knows := 0, 0
	for _, p := range peers {
		if p.Digest != 0 && p.Digest != Untold {
			knows++
		}
		switch {
		case p.Digest == 0:
		case p.Digest == Untold: // it asks by itself, and its own table tells nothing
			untold++
		case p.Digest == s.Digest():
			s.holder(p.Name)
			s.told = s.told || all
		default:
			differ = append(differ, p)
		}
	}
	if s.none++; knows > 0 || untold < min(untoldMost, len(peers)) {
		s.none = 0
	}
	s.told = s.told || s.none >= untoldFor
	s.spread(now, directly)
	for i := range min(compares, len(differ)) {
		j := i + int(s.rng.Uint64()%uint64(len(differ)-i))
		differ[i], differ[j] = differ[j], differ[i]
		s.sums(differ[i].Name)
	}
}

// holder books that a member holds all that is carried out here.
func (s *Gossiper) holder(who string) {
	for _, e := range s.entries {
		if e.applied {
			e.held[who] = true
		}
	}
}

// spread sends what this member gave itself to those that are not known to hold it, one after the other.
func (s *Gossiper) spread(now Micros, most int) {
	for range s.peers {
		s.turn++
		p := s.peers[s.turn%len(s.peers)].Name
		b := []byte{msgEntries}
		for _, e := range s.entries {
			if e.Member != s.self || e.held[p] {
				continue
			}
			grown := s.append(b, now, e)
			if len(grown) == len(b) {
				if most--; most <= 0 || !s.send(p, b) {
					return
				}
				grown = s.append([]byte{msgEntries}, now, e)
			}
			b = grown
		}
		if len(b) > 1 {
			if most--; !s.send(p, b) || most <= 0 {
				return
			}
		}
	}
}

// Push sends an entry that is new here to some at once: to all if this member gave it and they are few.
func (s *Gossiper) Push(now Micros, v Verdict) {
	i, ok := s.find(&v)
	if !ok || len(s.peers) == 0 {
		return
	}
	n := 3
	if v.Member == s.self {
		n = budget
	}
	for range min(n, len(s.peers)) {
		s.turn++
		if p := s.peers[s.turn%len(s.peers)]; !s.entries[i].held[p.Name] {
			if s.pushes--; s.pushes < 0 {
				return // much is said at once: the next periods carry it
			}
			s.Sent++
			s.out = append(s.out, Message{To: p.Name, Data: s.append([]byte{msgEntries}, now, s.entries[i])})
		}
	}
}

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// append adds an entry to a message; it is returned as it was where there is no room.
func (s *Gossiper) append(b []byte, now Micros, e *entry) []byte {
	was := len(b)
	flags := byte(0)
	if e.On {
		flags = 1
	}
	flags |= byte(e.Word) << 1
	b = append(b, byte(e.Kind), flags)
	b = binary.LittleEndian.AppendUint64(b, e.Stamp)
	b = binary.LittleEndian.AppendUint64(b, uint64(max(0, now-e.born)))
	b = binary.LittleEndian.AppendUint64(b, uint64(e.Span))
	for _, text := range []string{e.What, e.Member, e.By, e.Reason} {
		b = appendText(b, text)
	}
	if len(b) > s.most && was > 1 {
		return b[:was]
	}
	if len(b) > s.most { // alone it has to fit: what people say about it is cut
		b = b[:was]
		short := *e
		short.Reason, short.By = "", ""
		return s.append(b, now, &short)
	}
	return b
}

// ageMost bounds what a message may claim: a hundred years.
const ageMost = 100 * 365 * 24 * 3600 * 1_000_000

// maxMember is the longest name of a member.
const maxMember = 40

// readVerdict reads one entry.
func readVerdict(r *datagram.Reader) (v Verdict, age Micros) {
	head := r.Bytes(2)
	v.Kind, v.On, v.Word = Kind(head[0]), head[1]&1 == 1, Word(head[1]>>1)
	v.Stamp = r.U64()
	a, span := r.U64(), r.U64()
	v.What, v.Member, v.By, v.Reason = r.Text(MaxWhat), r.Text(maxMember), r.Text(MaxBy), r.Text(MaxReason)
	r.Bad = r.Bad || v.Word > Pin || v.Kind < Node || v.Kind > SickPath || v.What == "" || a > ageMost ||
		span > ageMost
	v.Span = Micros(span)
	return v, Micros(a)
}

// Receive takes in a message of another member. It returns false where that is none.
func (s *Gossiper) Receive(now Micros, from string, data []byte) bool {
	if len(data) == 0 {
		return false
	}
	r := &datagram.Reader{Rest: data[1:]}
	switch data[0] {
	case msgEntries:
		type item struct {
			v   Verdict
			age Micros
		}
		var list []item
		for len(r.Rest) > 0 && !r.Bad {
			v, age := readVerdict(r)
			list = append(list, item{v, age})
		}
		if r.Bad {
			return false
		}
		for _, x := range list {
			s.Merge(now, x.v, x.age)
			if i, ok := s.find(&x.v); ok && !x.v.after(&s.entries[i].Verdict) &&
				!s.entries[i].after(&x.v) { // the sender has it
				s.entries[i].held[from] = s.entries[i].held[from] || s.entries[i].Member == from
				if s.entries[i].applied {
					s.acks[from] = append(s.acks[from], s.entries[i])
				}
			}
		}
	case msgSums:
		salt := r.U32()
		theirs := r.Bytes(2 * buckets)
		if r.Bad {
			return false
		}
		s.list(from, salt, theirs)
	case msgList:
		return s.compare(now, from, r)
	case msgWant:
		var want []uint32
		for len(r.Rest) > 0 && !r.Bad {
			want = append(want, r.U32())
		}
		if r.Bad {
			return false
		}
		s.entriesTo(now, from, func(e *entry) bool { return slices.Contains(want, e.hash) })
	case msgAck:
		for len(r.Rest) > 0 && !r.Bad {
			hash, stamp := r.U32(), r.U64()
			for _, e := range s.entries {
				if !r.Bad && e.hash == hash && e.Stamp == stamp {
					e.held[from] = true
				}
			}
		}
		return !r.Bad
	default:
		return false
	}
	return true
}

// Applied tells that a verdict is carried out here; who gave it waits to hear that.
func (s *Gossiper) Applied(v Verdict) {
	s.Table.Applied(v)
	if i, ok := s.find(&v); ok && s.entries[i].applied && v.Member != s.self {
		s.acks[v.Member] = append(s.acks[v.Member], s.entries[i])
	}
}

// flushAcks tells who gave or sent something that it is carried out here.
func (s *Gossiper) flushAcks() {
	for _, to := range slices.Sorted(maps.Keys(s.acks)) {
		for list := s.acks[to]; len(list) > 0; {
			b := []byte{msgAck}
			for len(list) > 0 && len(b)+12 <= s.most {
				b = binary.LittleEndian.AppendUint32(b, list[0].hash)
				b = binary.LittleEndian.AppendUint64(b, list[0].Stamp)
				list = list[1:]
			}
			s.out = append(s.out, Message{To: to, Data: b})
		}
	}
	clear(s.acks)
}

// bucketSums are the sums of the buckets, by hash.
func (s *Gossiper) bucketSums(salt uint32) (sums [buckets]uint16) {
	for _, e := range s.entries {
		sums[e.hash>>26] += uint16(e.salted(salt))
	}
	return sums
}

// sums asks a member where its table differs. The salt makes that two different buckets look alike once at
// the most.
func (s *Gossiper) sums(to string) {
	salt := uint32(s.rng.Uint64())
	b := binary.LittleEndian.AppendUint32([]byte{msgSums}, salt)
	for _, x := range s.bucketSums(salt) {
		b = binary.LittleEndian.AppendUint16(b, x)
	}
	s.send(to, b)
}

// list sends the stamps in the buckets that differ, in datagrams that each tell which hashes they cover.
func (s *Gossiper) list(to string, salt uint32, theirs []byte) {
	mine := s.bucketSums(salt)
	byHash := slices.SortedFunc(slices.Values(s.entries), func(a, b *entry) int {
		return cmp.Compare(a.hash,
			b.hash)
	})
	first := int(s.rng.Uint64() % buckets) // so that what the budget leaves out is not always the same
	for k := range buckets {
		i := (first + k) % buckets
		if mine[i] == binary.LittleEndian.Uint16(theirs[2*i:]) {
			continue
		}
		lo := uint32(i) << 26
		hi := lo + (1<<26 - 1)
		b := begin(lo)
		for _, e := range byHash {
			if e.hash < lo || e.hash > hi {
				continue
			}
			if len(b)+12 > s.most {
				if !s.send(to, closeAt(b, e.hash-1)) {
					return
				}
				b = begin(e.hash)
			}
			b = binary.LittleEndian.AppendUint32(b, e.hash)
			b = binary.LittleEndian.AppendUint64(b, e.Stamp)
		}
		if !s.send(to, closeAt(b, hi)) {
			return
		}
	}
}

func begin(lo uint32) []byte {
	b := binary.LittleEndian.AppendUint32([]byte{msgList}, lo)
	return binary.LittleEndian.AppendUint32(b, 0)
}

func closeAt(b []byte, hi uint32) []byte {
	binary.LittleEndian.PutUint32(b[5:], hi)
	return b
}

// compare holds another's stamps in a range against one's own: what it lacks is sent, what is lacking here is
// asked for.
func (s *Gossiper) compare(now Micros, from string, r *datagram.Reader) bool {
	lo, hi := r.U32(), r.U32()
	theirs := map[uint32]uint64{}
	for len(r.Rest) > 0 && !r.Bad {
		h := r.U32()
		theirs[h] = max(theirs[h], r.U64())
	}
	if r.Bad || lo > hi {
		return false
	}
	own := map[uint32]uint64{}
	for _, e := range s.entries {
		if e.hash >= lo && e.hash <= hi {
			own[e.hash] = max(own[e.hash], e.Stamp)
		}
	}
	s.entriesTo(now, from, func(e *entry) bool {
		return e.hash >= lo && e.hash <= hi && e.Stamp > theirs[e.hash]
	})
	b := []byte{msgWant}
	for _, h := range sortedKeys(theirs) {
		if theirs[h] > own[h] && len(b)+4 <= s.most {
			b = binary.LittleEndian.AppendUint32(b, h)
		}
	}
	if len(b) > 1 {
		s.send(from, b)
	}
	return true
}

func sortedKeys(m map[uint32]uint64) []uint32 {
	out := make([]uint32, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// entriesTo sends the entries that are chosen, as many to a datagram as fit.
func (s *Gossiper) entriesTo(now Micros, to string, chosen func(e *entry) bool) {
	b := []byte{msgEntries}
	for _, e := range s.entries {
		if !chosen(e) {
			continue
		}
		grown := s.append(b, now, e)
		if len(grown) == len(b) {
			if !s.send(to, b) {
				return
			}
			grown = s.append([]byte{msgEntries}, now, e)
		}
		b = grown
	}
	if len(b) > 1 {
		s.send(to, b)
	}
}
