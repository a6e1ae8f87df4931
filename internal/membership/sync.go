package membership

// Anti-entropy: finds and repairs differences that updates have missed (Demers et al., PODC 1987, 1.3).
// Members compare a tree of sums over the hashes of member names; each datagram is self-contained.

import "encoding/binary"

const (
	treeDepth         = 8  // nibbles of a tree key
	maxLeafRecords    = 8  // a tree node with at most this many records is sent without descending further
	fullSyncThreshold = 12 // if this many of the 16 sums at the root differ, all records are sent in short form
)

// compareDigest starts a sync with a member whose digest differs, unless updates are still being spread.
func (v *View) compareDigest(m *member, h header) {
	if h.digest == v.digest || v.cfg.Ablate.NoSync || m.state != Alive || v.joining || v.now < v.nextSyncAt {
		return
	}
	if v.now-v.digestChangedAt < v.cfg.Period && v.now-v.lastSyncAt < 3*v.cfg.Period {
		return
	}
	v.stats.Syncs++
	v.startSync(m)
}

// startSync sends a member the sums at the root of the tree.
func (v *View) startSync(m *member) {
	if v.cfg.Ablate.NoSync || v.joining {
		return
	}
	v.nextSyncAt, v.lastSyncAt = v.now+v.cfg.Period, v.now
	v.sendSums(m, 0, 0)
}

// takeSyncBudget takes one datagram from the period's sync budget.
func (v *View) takeSyncBudget() bool {
	if v.syncBudget <= 0 {
		return false
	}
	v.syncBudget--
	return true
}

// inNode reports whether a key lies under a node of the tree.
func inNode(key uint32, depth int, prefix uint32) bool {
	return depth == 0 || (key^prefix)>>(32-4*depth) == 0
}

// sums returns the sums of a node's children and the number of records under each.
func (v *View) sums(depth int, prefix uint32) (sums [16]uint32, counts [16]int) {
	add := func(key uint32, sum uint64) {
		if inNode(key, depth, prefix) {
			c := key >> (28 - 4*depth) & 15
			sums[c] += uint32(sum >> 32)
			counts[c]++
		}
	}
	for _, m := range v.members {
		add(m.treeKey, m.sum)
	}
	add(treeKey(v.self.name), v.self.sum())
	return sums, counts
}

func (v *View) sendSums(m *member, depth int, prefix uint32) {
	if !v.takeSyncBudget() {
		return
	}
	sums, _ := v.sums(depth, prefix)
	b := append(v.newMessage(kindSums), byte(depth))
	b = binary.LittleEndian.AppendUint32(b, prefix)
	for _, s := range sums {
		b = binary.LittleEndian.AppendUint32(b, s)
	}
	v.sendTo(m, b, true)
}

// compareSums finds the children whose sums differ, and sends their records or descends.
func (v *View) compareSums(m *member, msg message) {
	if msg.depth >= treeDepth || v.joining {
		return
	}
	v.nextSyncAt = max(v.nextSyncAt, v.now+v.cfg.Period)
	sums, counts := v.sums(msg.depth, msg.prefix)
	differing := 0
	for c := range sums {
		if sums[c] != msg.sums[c] {
			differing++
		}
	}
	if msg.depth == 0 && differing >= fullSyncThreshold {
		v.sendRecords(m, 0, 0, false, true)
		return
	}
	start := uint32(v.randN(16)) // random, so that the budget does not always skip the same children
	for i := range uint32(16) {
		c := (start + i) & 15
		if sums[c] == msg.sums[c] {
			continue
		}
		depth, prefix := msg.depth+1, msg.prefix|c<<(28-4*msg.depth)
		switch {
		case msg.sums[c] == 0: // the other member has no records there
			v.sendRecords(m, depth, prefix, true, false)
		case counts[c] <= maxLeafRecords || depth == treeDepth:
			v.sendRecords(m, depth, prefix, false, true)
		default:
			v.sendSums(m, depth, prefix)
		}
	}
}

// sendRecords sends the records under a node in full or short form. wantReply asks for the other's records.
func (v *View) sendRecords(m *member, depth int, prefix uint32, full, wantReply bool) {
	var b []byte
	begin := func() {
		b = append(v.newMessage(kindRecords), byte(depth))
		b = binary.LittleEndian.AppendUint32(b, prefix)
		b = append(b, 0)
	}
	flush := func(last bool) bool {
		if !v.takeSyncBudget() {
			return false
		}
		if last && wantReply {
			b[headerSize+5] = 1
		}
		v.sendTo(m, b, false)
		return true
	}
	begin()
	entries := make([]entry, 0, maxLeafRecords)
	if inNode(treeKey(v.self.name), depth, prefix) {
		entries = append(entries, v.selfEntry())
	}
	start := 0
	if len(v.members) > 0 {
		start = v.randN(len(v.members)) // random, so that the budget does not always skip the same records
	}
	for i := range v.members {
		if x := v.members[(start+i)%len(v.members)]; x != m && inNode(x.treeKey, depth, prefix) {
			entries = append(entries, v.entryOf(x, full))
		}
	}
	for _, e := range entries {
		extended, ok := appendEntry(b, e)
		if !ok {
			if !flush(false) {
				return
			}
			begin()
			extended, _ = appendEntry(b, e)
		}
		b = extended
	}
	flush(true)
}

// handleRecords replies with this member's records if asked to. The received entries are already merged.
func (v *View) handleRecords(m *member, msg message) {
	if msg.wantReply {
		v.sendRecords(m, msg.depth, msg.prefix, false, false)
	}
}

// sendIdentities sends a member the full records of some processes.
func (v *View) sendIdentities(m *member, births []uint64) {
	b := append(binary.LittleEndian.AppendUint32(append(v.newMessage(kindRecords), treeDepth), 0), 0)
	for _, x := range births {
		s := v.byBirth[x]
		e := v.selfEntry()
		switch {
		case s != nil:
			e = v.entryOf(s, true)
		case x != v.self.birth:
			continue
		}
		extended, ok := appendEntry(b, e)
		if !ok {
			if !v.takeSyncBudget() {
				return
			}
			v.sendTo(m, b, false)
			b = append(binary.LittleEndian.AppendUint32(append(v.newMessage(kindRecords), treeDepth), 0), 0)
			extended, _ = appendEntry(b, e)
		}
		b = extended
	}
	if v.takeSyncBudget() {
		v.sendTo(m, b, false)
	}
}

// SendApp queues an application message to an alive member as a separate datagram. It returns false if the
// member is not alive, this member has not joined or has left, or data is longer than MaxAppMessage.
func (v *View) SendApp(name string, kind byte, data []byte) bool {
	to := v.find(name)
	if to == nil || to.state != Alive || len(data) > MaxAppMessage || v.joining || v.left {
		return false
	}
	v.sendTo(to, append(append(v.newMessage(kindApp), kind), data...), false)
	return true
}

// MaxAppMessage is the maximum length of an application message, in bytes.
const MaxAppMessage = MaxPlain - headerSize - 1
