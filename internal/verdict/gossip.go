package verdict

// The gossip protocol. A member sends the verdicts that it issued directly to all others until each is known
// to have applied them. Differences that remain are repaired by comparing bucket sums, then stamps, then
// entries.

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"

	"lapislever/internal/datagram"
)

const (
	maxDatagrams = 16 // datagrams per period
	maxDirect    = 8  // datagrams per period that carry own new entries
	maxCompares  = 2  // members with a different digest that are compared with per period
	buckets      = 64
)

// Message kinds.
const (
	msgEntries = 1 + iota // entries with their ages
	msgSums               // salt, 64 bucket sums of 16 bits
	msgStamps             // first and last hash of a range, and all hashes and stamps in it
	msgRequest            // hashes of the entries requested
	msgAck                // hashes and stamps of entries that the sender has applied
)

// Message is a message to another member.
type Message struct {
	To   string
	Data []byte
}

// UnsyncedDigest is what a member announces instead of its digest until it has the fleet's table. It cannot
// be a digest, as those are odd.
const UnsyncedDigest uint32 = 2

// A member concludes that there is no table to get if for unsyncedPeriods consecutive periods no peer was
// synced, and maxUnsyncedPeers of them (or all, if they are fewer) announced that they are not.
const (
	unsyncedPeriods  = 3
	maxUnsyncedPeers = 16
)

// Peer is another member that is alive. Digest is what it last announced; 0: nothing yet.
type Peer struct {
	Name   string
	Digest uint32
}

// Gossiper replicates a table to the other members.
type Gossiper struct {
	*Table
	rng           *rand.PCG
	maxMessage    int // maximum size of a message, in bytes
	datagramsLeft int // datagrams left in this period
	pushesLeft    int // datagrams left in this period for pushing new entries
	peers         []Peer
	nextPeer      int
	outbox        []Message
	acks          map[string][]*entry // acknowledgements to send to the issuers and senders of entries
	synced        bool
	noneSynced    int   // consecutive periods in which no synced member was seen
	Sent          int64 // number of messages sent
}

// NewGossiper returns a gossiper for a table. Its messages have at most maxMessage bytes.
func NewGossiper(t *Table, seed uint64, maxMessage int) *Gossiper {
	return &Gossiper{Table: t, rng: rand.NewPCG(seed, 3), maxMessage: maxMessage,
		acks: map[string][]*entry{}}
}

// AnnouncedDigest returns what this member announces: its digest, or UnsyncedDigest until it is synced.
func (g *Gossiper) AnnouncedDigest() uint32 {
	if !g.synced {
		return UnsyncedDigest
	}
	return g.Digest()
}

// Synced reports whether this member has merged the table of another one, or there is none to merge.
func (g *Gossiper) Synced() bool { return g.synced }

// TakePending returns and clears the messages to send and the changes to carry out.
func (g *Gossiper) TakePending() ([]Message, []Change) {
	g.flushAcks()
	out := g.outbox
	g.outbox = nil
	return out, g.Table.TakeChanges()
}

func (g *Gossiper) send(to string, b []byte) bool {
	if g.datagramsLeft <= 0 {
		return false
	}
	g.datagramsLeft--
	g.Sent++
	g.outbox = append(g.outbox, Message{To: to, Data: b})
	return true
}

// Tick must be called once per period with the other members that are alive.
func (g *Gossiper) Tick(now Micros, peers []Peer) {
	g.peers = peers
	g.datagramsLeft, g.pushesLeft = maxDatagrams, maxDatagrams
	g.Expire(now)
	alive := make(map[string]uint32, len(peers))
	for _, p := range peers {
		alive[p.Name] = p.Digest
	}
	all := true
	for _, e := range g.entries {
		for name := range e.heldBy {
			if _, ok := alive[name]; !ok { // it may restart without the entry
				delete(e.heldBy, name)
			}
		}
		all = all && e.applied
	}
	g.synced = g.synced || len(peers) == 0
	var differ []Peer
	unsyncedPeers, syncedPeers := 0, 0
	for _, p := range peers {
		if p.Digest != 0 && p.Digest != UnsyncedDigest {
			syncedPeers++
		}
		switch {
		case p.Digest == 0:
		case p.Digest == UnsyncedDigest: // it starts the comparison itself, and its own table is incomplete
			unsyncedPeers++
		case p.Digest == g.Digest():
			g.markHolder(p.Name)
			g.synced = g.synced || all
		default:
			differ = append(differ, p)
		}
	}
	if g.noneSynced++; syncedPeers > 0 || unsyncedPeers < min(maxUnsyncedPeers, len(peers)) {
		g.noneSynced = 0
	}
	g.synced = g.synced || g.noneSynced >= unsyncedPeriods
	g.sendOwn(now, maxDirect)
	for i := range min(maxCompares, len(differ)) {
		j := i + int(g.rng.Uint64()%uint64(len(differ)-i))
		differ[i], differ[j] = differ[j], differ[i]
		g.sendSums(differ[i].Name)
	}
}

// markHolder notes that a member has all entries that are applied here.
func (g *Gossiper) markHolder(name string) {
	for _, e := range g.entries {
		if e.applied {
			e.heldBy[name] = true
		}
	}
}

// sendOwn sends the entries that this member issued to the members not known to have them, in turn.
func (g *Gossiper) sendOwn(now Micros, maxMessages int) {
	for range g.peers {
		g.nextPeer++
		p := g.peers[g.nextPeer%len(g.peers)].Name
		b := []byte{msgEntries}
		for _, e := range g.entries {
			if e.Member != g.self || e.heldBy[p] {
				continue
			}
			extended := g.appendEntry(b, now, e)
			if len(extended) == len(b) {
				if maxMessages--; maxMessages <= 0 || !g.send(p, b) {
					return
				}
				extended = g.appendEntry([]byte{msgEntries}, now, e)
			}
			b = extended
		}
		if len(b) > 1 {
			if maxMessages--; !g.send(p, b) || maxMessages <= 0 {
				return
			}
		}
	}
}

// Push sends an entry that is new here to some members immediately: to up to a period's budget of members if
// this member issued it, otherwise to a few.
func (g *Gossiper) Push(now Micros, v Verdict) {
	i, ok := g.find(&v)
	if !ok || len(g.peers) == 0 {
		return
	}
	n := 3
	if v.Member == g.self {
		n = maxDatagrams
	}
	for range min(n, len(g.peers)) {
		g.nextPeer++
		if p := g.peers[g.nextPeer%len(g.peers)]; !g.entries[i].heldBy[p.Name] {
			if g.pushesLeft--; g.pushesLeft < 0 {
				return // many entries at once: the next periods send the others
			}
			g.Sent++
			g.outbox = append(g.outbox,
				Message{To: p.Name, Data: g.appendEntry([]byte{msgEntries}, now, g.entries[i])})
		}
	}
}

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// appendEntry adds an entry to a message. If there is no room it returns the message unchanged.
func (g *Gossiper) appendEntry(b []byte, now Micros, e *entry) []byte {
	start := len(b)
	flags := byte(0)
	if e.On {
		flags = 1
	}
	flags |= byte(e.Word) << 1
	b = append(b, byte(e.Kind), flags)
	b = binary.LittleEndian.AppendUint64(b, e.Stamp)
	b = binary.LittleEndian.AppendUint64(b, uint64(max(0, now-e.issuedAt)))
	b = binary.LittleEndian.AppendUint64(b, uint64(e.Span))
	for _, text := range []string{e.What, e.Member, e.By, e.Reason} {
		b = appendText(b, text)
	}
	if len(b) > g.maxMessage && start > 1 {
		return b[:start]
	}
	if len(b) > g.maxMessage { // a single entry has to fit: omit the texts written by people
		b = b[:start]
		short := *e
		short.Reason, short.By = "", ""
		return g.appendEntry(b, now, &short)
	}
	return b
}

// maxAge is the greatest age or span that a message may contain: a hundred years.
const maxAge = 100 * 365 * 24 * 3600 * 1_000_000

// maxMemberName is the maximum length of a member's name.
const maxMemberName = 40

// readVerdict decodes one entry.
func readVerdict(r *datagram.Reader) (v Verdict, age Micros) {
	head := r.Bytes(2)
	v.Kind, v.On, v.Word = Kind(head[0]), head[1]&1 == 1, PrefixAction(head[1]>>1)
	v.Stamp = r.U64()
	a, span := r.U64(), r.U64()
	v.What, v.Member, v.By, v.Reason = r.Text(MaxWhat), r.Text(maxMemberName), r.Text(MaxBy), r.Text(MaxReason)
	r.Bad = r.Bad || v.Word > Pin || v.Kind < Node || v.Kind > SickPath || v.What == "" || a > maxAge ||
		span > maxAge
	v.Span = Micros(span)
	return v, Micros(a)
}

// Receive handles a message from another member. It returns false if the message is malformed.
func (g *Gossiper) Receive(now Micros, from string, data []byte) bool {
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
			g.Merge(now, x.v, x.age)
			if i, ok := g.find(&x.v); ok && !x.v.supersedes(&g.entries[i].Verdict) &&
				!g.entries[i].supersedes(&x.v) { // the sender has the same entry
				g.entries[i].heldBy[from] = g.entries[i].heldBy[from] || g.entries[i].Member == from
				if g.entries[i].applied {
					g.acks[from] = append(g.acks[from], g.entries[i])
				}
			}
		}
	case msgSums:
		salt := r.U32()
		theirs := r.Bytes(2 * buckets)
		if r.Bad {
			return false
		}
		g.sendStamps(from, salt, theirs)
	case msgStamps:
		return g.compareStamps(now, from, r)
	case msgRequest:
		var wanted []uint32
		for len(r.Rest) > 0 && !r.Bad {
			wanted = append(wanted, r.U32())
		}
		if r.Bad {
			return false
		}
		g.sendEntries(now, from, func(e *entry) bool { return slices.Contains(wanted, e.hash) })
	case msgAck:
		for len(r.Rest) > 0 && !r.Bad {
			hash, stamp := r.U32(), r.U64()
			for _, e := range g.entries {
				if !r.Bad && e.hash == hash && e.Stamp == stamp {
					e.heldBy[from] = true
				}
			}
		}
		return !r.Bad
	default:
		return false
	}
	return true
}

// Applied notes that a verdict has been carried out here, and queues an acknowledgement to its issuer.
func (g *Gossiper) Applied(v Verdict) {
	g.Table.Applied(v)
	if i, ok := g.find(&v); ok && g.entries[i].applied && v.Member != g.self {
		g.acks[v.Member] = append(g.acks[v.Member], g.entries[i])
	}
}

// flushAcks acknowledges entries that are applied here to the members that issued or sent them.
func (g *Gossiper) flushAcks() {
	for _, to := range slices.Sorted(maps.Keys(g.acks)) {
		for list := g.acks[to]; len(list) > 0; {
			b := []byte{msgAck}
			for len(list) > 0 && len(b)+12 <= g.maxMessage {
				b = binary.LittleEndian.AppendUint32(b, list[0].hash)
				b = binary.LittleEndian.AppendUint64(b, list[0].Stamp)
				list = list[1:]
			}
			g.outbox = append(g.outbox, Message{To: to, Data: b})
		}
	}
	clear(g.acks)
}

// bucketSums returns the sums of the entries by bucket, which is the high bits of the hash.
func (g *Gossiper) bucketSums(salt uint32) (sums [buckets]uint16) {
	for _, e := range g.entries {
		sums[e.hash>>26] += uint16(e.saltedSum(salt))
	}
	return sums
}

// sendSums sends the bucket sums to a member, which answers with the buckets that differ. The salt is new
// each time, so that a collision of two different buckets does not repeat.
func (g *Gossiper) sendSums(to string) {
	salt := uint32(g.rng.Uint64())
	b := binary.LittleEndian.AppendUint32([]byte{msgSums}, salt)
	for _, x := range g.bucketSums(salt) {
		b = binary.LittleEndian.AppendUint16(b, x)
	}
	g.send(to, b)
}

// sendStamps sends the stamps in the buckets that differ. Each datagram states the range of hashes it covers.
func (g *Gossiper) sendStamps(to string, salt uint32, theirs []byte) {
	own := g.bucketSums(salt)
	byHash := slices.SortedFunc(slices.Values(g.entries), func(a, b *entry) int {
		return cmp.Compare(a.hash,
			b.hash)
	})
	first := int(g.rng.Uint64() % buckets) // random, so that the budget does not always omit the same buckets
	for k := range buckets {
		i := (first + k) % buckets
		if own[i] == binary.LittleEndian.Uint16(theirs[2*i:]) {
			continue
		}
		lo := uint32(i) << 26
		hi := lo + (1<<26 - 1)
		b := beginStamps(lo)
		for _, e := range byHash {
			if e.hash < lo || e.hash > hi {
				continue
			}
			if len(b)+12 > g.maxMessage {
				if !g.send(to, endStamps(b, e.hash-1)) {
					return
				}
				b = beginStamps(e.hash)
			}
			b = binary.LittleEndian.AppendUint32(b, e.hash)
			b = binary.LittleEndian.AppendUint64(b, e.Stamp)
		}
		if !g.send(to, endStamps(b, hi)) {
			return
		}
	}
}

func beginStamps(lo uint32) []byte {
	b := binary.LittleEndian.AppendUint32([]byte{msgStamps}, lo)
	return binary.LittleEndian.AppendUint32(b, 0)
}

func endStamps(b []byte, hi uint32) []byte {
	binary.LittleEndian.PutUint32(b[5:], hi)
	return b
}

// compareStamps compares another member's stamps in a range with the own ones. It sends the entries that are
// newer here, and requests those that are newer there.
func (g *Gossiper) compareStamps(now Micros, from string, r *datagram.Reader) bool {
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
	for _, e := range g.entries {
		if e.hash >= lo && e.hash <= hi {
			own[e.hash] = max(own[e.hash], e.Stamp)
		}
	}
	g.sendEntries(now, from, func(e *entry) bool {
		return e.hash >= lo && e.hash <= hi && e.Stamp > theirs[e.hash]
	})
	b := []byte{msgRequest}
	for _, h := range sortedKeys(theirs) {
		if theirs[h] > own[h] && len(b)+4 <= g.maxMessage {
			b = binary.LittleEndian.AppendUint32(b, h)
		}
	}
	if len(b) > 1 {
		g.send(from, b)
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

// sendEntries sends the chosen entries, as many per datagram as fit.
func (g *Gossiper) sendEntries(now Micros, to string, chosen func(e *entry) bool) {
	b := []byte{msgEntries}
	for _, e := range g.entries {
		if !chosen(e) {
			continue
		}
		extended := g.appendEntry(b, now, e)
		if len(extended) == len(b) {
			if !g.send(to, b) {
				return
			}
			extended = g.appendEntry([]byte{msgEntries}, now, e)
		}
		b = extended
	}
	if len(b) > 1 {
		g.send(to, b)
	}
}
