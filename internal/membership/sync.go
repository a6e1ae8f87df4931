package membership

// Anti-entropy: finding and mending what news has missed (Demers et al., PODC 1987, 1.3), by a tree of sums
// over the hashes of the names, in datagrams that each stand alone.

import "encoding/binary"

const (
	treeDepth = 8  // nibbles of a key
	fewLines  = 8  // records of a node of the tree that are sent without looking deeper
	bulk      = 12 // of the 16 sums at the root: if so many differ, all records are sent in brief
)

// compare begins a sync with a member whose digest differs, unless news is on its way anyhow.
func (v *View) compare(m *member, h head) {
	if h.digest == v.digest || v.cfg.Ablate.NoSync || m.state != Alive || v.joining || v.now < v.syncAt {
		return
	}
	if v.now-v.changed < v.cfg.Period && v.now-v.syncFrom < 3*v.cfg.Period {
		return
	}
	v.figures.Syncs++
	v.openSync(m)
}

// openSync sends a member the first sums.
func (v *View) openSync(m *member) {
	if v.cfg.Ablate.NoSync || v.joining {
		return
	}
	v.syncAt, v.syncFrom = v.now+v.cfg.Period, v.now
	v.sendSums(m, 0, 0)
}

// spend takes one datagram out of the period's budget.
func (v *View) spend() bool {
	if v.syncLeft <= 0 {
		return false
	}
	v.syncLeft--
	return true
}

// inNode tells whether a key lies under a node of the tree.
func inNode(key uint32, depth int, prefix uint32) bool {
	return depth == 0 || (key^prefix)>>(32-4*depth) == 0
}

// sums are the sums of a node's children, and how many records each has.
func (v *View) sums(depth int, prefix uint32) (sums [16]uint32, counts [16]int) {
	add := func(key uint32, sum uint64) {
		if inNode(key, depth, prefix) {
			c := key >> (28 - 4*depth) & 15
			sums[c] += uint32(sum >> 32)
			counts[c]++
		}
	}
	for _, m := range v.list {
		add(m.key, m.sum)
	}
	add(treeKey(v.self.name), v.self.sum())
	return sums, counts
}

func (v *View) sendSums(m *member, depth int, prefix uint32) {
	if !v.spend() {
		return
	}
	sums, _ := v.sums(depth, prefix)
	b := append(v.begin(kindSums), byte(depth))
	b = binary.LittleEndian.AppendUint32(b, prefix)
	for _, s := range sums {
		b = binary.LittleEndian.AppendUint32(b, s)
	}
	v.sendTo(m, b, true)
}

// compareSums looks where the other's records differ, and sends what lies there, or goes deeper.
func (v *View) compareSums(m *member, msg message) {
	if msg.depth >= treeDepth || v.joining {
		return
	}
	v.syncAt = max(v.syncAt, v.now+v.cfg.Period)
	sums, counts := v.sums(msg.depth, msg.prefix)
	differ := 0
	for c := range sums {
		if sums[c] != msg.sums[c] {
			differ++
		}
	}
	if msg.depth == 0 && differ >= bulk {
		v.sendRecords(m, 0, 0, false, true)
		return
	}
	first := uint32(v.rand(16)) // so that what the budget leaves out is not always the same
	for i := range uint32(16) {
		c := (first + i) & 15
		if sums[c] == msg.sums[c] {
			continue
		}
		depth, prefix := msg.depth+1, msg.prefix|c<<(28-4*msg.depth)
		switch {
		case msg.sums[c] == 0: // it has nothing there
			v.sendRecords(m, depth, prefix, true, false)
		case counts[c] <= fewLines || depth == treeDepth:
			v.sendRecords(m, depth, prefix, false, true)
		default:
			v.sendSums(m, depth, prefix)
		}
	}
}

// sendRecords sends what lies under a node, whole or in brief; back asks for the other's.
func (v *View) sendRecords(m *member, depth int, prefix uint32, full, back bool) {
	var b []byte
	begin := func() {
		b = append(v.begin(kindRecords), byte(depth))
		b = binary.LittleEndian.AppendUint32(b, prefix)
		b = append(b, 0)
	}
	flush := func(last bool) bool {
		if !v.spend() {
			return false
		}
		if last && back {
			b[headSize+5] = 1
		}
		v.sendTo(m, b, false)
		return true
	}
	begin()
	lines := make([]entry, 0, fewLines)
	if inNode(treeKey(v.self.name), depth, prefix) {
		lines = append(lines, v.me())
	}
	first := 0
	if len(v.list) > 0 {
		first = v.rand(len(v.list)) // so that what the budget leaves out is not always the same
	}
	for i := range v.list {
		if x := v.list[(first+i)%len(v.list)]; x != m && inNode(x.key, depth, prefix) {
			lines = append(lines, v.entryOf(x, full))
		}
	}
	for _, e := range lines {
		grown, ok := put(b, e)
		if !ok {
			if !flush(false) {
				return
			}
			begin()
			grown, _ = put(b, e)
		}
		b = grown
	}
	flush(true)
}

// takeRecords sends back what the other asks for; the entries are merged already.
func (v *View) takeRecords(m *member, msg message) {
	if msg.back {
		v.sendRecords(m, msg.depth, msg.prefix, false, false)
	}
}

// introduce tells a member who some processes are.
func (v *View) introduce(m *member, births []uint64) {
	b := append(binary.LittleEndian.AppendUint32(append(v.begin(kindRecords), treeDepth), 0), 0)
	for _, x := range births {
		s := v.births[x]
		e := v.me()
		switch {
		case s != nil:
			e = v.entryOf(s, true)
		case x != v.self.birth:
			continue
		}
		grown, ok := put(b, e)
		if !ok {
			if !v.spend() {
				return
			}
			v.sendTo(m, b, false)
			b = append(binary.LittleEndian.AppendUint32(append(v.begin(kindRecords), treeDepth), 0), 0)
			grown, _ = put(b, e)
		}
		b = grown
	}
	if v.spend() {
		v.sendTo(m, b, false)
	}
}

// Say queues a message of the layer above for a member that is alive, as a datagram of its own. It returns
// false where the member is not, or the message is too long: MostApp bytes at most.
func (v *View) Say(name string, kind byte, data []byte) bool {
	m := v.find(name)
	if m == nil || m.state != Alive || len(data) > MostApp || v.joining || v.left {
		return false
	}
	v.sendTo(m, append(append(v.begin(kindApp), kind), data...), false)
	return true
}

// MostApp is the longest message of the layer above, in bytes.
const MostApp = MaxPlain - headSize - 1
