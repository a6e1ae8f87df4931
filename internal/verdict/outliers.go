package verdict

// Outlier detection: the members' tallies of a node are pooled at a few members, its evaluators.

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lapislever/internal/datagram"
)

// Parameters of outlier detection. Durations are in periods.
const (
	evaluatorsPerNode  = 3   // evaluators per node
	minBad             = 3   // minimum number of bad outcomes, over all reporters
	minBadAge          = 10  // minimum age of the first bad outcome: others would by then find the node well
	queryInterval      = 5   // interval at which an evaluator queries other members
	answerWait         = 2   // time after which it has their answers
	reportLifetime     = 30  // time for which a report counts
	reportRefresh      = 10  // time after which an unchanged report is repeated
	sickSpan           = 50  // duration of a node's first ejection
	maxSickMultiple    = 16  // maximum multiple of that for a node that becomes sick again
	relapseSpans       = 4   // number of spans within which a node counts as sick again
	withdrawalWindows  = 10  // number of windows for which an operator's withdrawal blocks a new ejection
	maxReportDatagrams = 16  // maximum number of datagrams per period
	maxCases           = 256 // maximum number of nodes under evaluation at a member
	maxQueried         = 16  // maximum number of members queried about a node at a time
	tallySize          = 8 + 4*2
	querySize          = 8 + 2
	maxQuorum          = 3 // number of reporters that suffices in a fleet of any size
)

// Message kinds.
const (
	msgTally      = 1 + iota // flags, then pairs of a node and its tally
	msgTallyQuery            // pairs of a node and the number of periods asked about
)

// Flags of msgTally.
const (
	flagReliable = 1 << iota // the sender's tallies count as evidence
	flagAnswer               // answer to msgTallyQuery: the good outcomes cover the time asked about
)

// Member is a member of the fleet that is alive.
type Member struct{ Name, Zone string }

// Outlier is a node that was found sick, for all members or for those of one zone.
type Outlier struct {
	Node        uint64
	Zone        string // empty: for all members
	Reason      string
	FirstBadAge int // age of the first bad outcome that it is based on, in periods
}

// report is one member's report on a node.
type report struct {
	Tally
	zone       string
	reliable   bool
	receivedAt Micros
}

// age returns the present age, in periods, of an event whose age was then when the report arrived.
func (r *report) age(now, period Micros, then uint16) int {
	return int(then) + int((now-r.receivedAt)/period)
}

// nodeCase is what an evaluator knows of a node.
type nodeCase struct {
	reports    map[string]report
	queriedAt  Micros // time of the last query to other members
	nextMember int
}

// lastReport is the tally of a node that was last reported to its evaluators.
type lastReport struct {
	Tally
	at Micros
}

// OutlierDetector is one member's part in outlier detection: it reports its tallies to the evaluators of each
// node, and is itself an evaluator of some nodes.
type OutlierDetector struct {
	*Observer
	self       Member
	maxMessage int // maximum size of a message, in bytes
	members    []Member
	fleetSize  int
	reliable   bool
	cases      map[uint64]*nodeCase
	reported   map[uint64]lastReport
	sent       int
	outbox     []Message
	// FaultSingleReporter is an injected fault for tests: one reporter suffices, and no opposing report counts.
	FaultSingleReporter bool
}

// NewOutlierDetector returns a detector for the member self. Its messages have at most maxMessage bytes.
func NewOutlierDetector(self Member, period Micros, maxMessage int) *OutlierDetector {
	return &OutlierDetector{Observer: NewObserver(period), self: self, maxMessage: maxMessage,
		cases: map[uint64]*nodeCase{}, reported: map[uint64]lastReport{}}
}

// Quorum returns how many members must report a node as bad in a fleet of the given size, including dead
// members: as many as it takes to declare a member dead (docs/FLEET.md).
func Quorum(size int) int { return min(maxQuorum, size/2+1) }

// MaxSick returns how many nodes a group of members that see one another may declare sick at a time: the
// given share of all nodes, in proportion to the group's part of the fleet. So the sides of a partition
// together stay within the share. If that is less than one node, a majority may declare one.
func MaxSick(nodes int, share float64, alive, size int) int {
	n := int(share * float64(nodes) * float64(alive) / float64(max(1, size)))
	if n == 0 && share > 0 && nodes > 1 && 2*alive > size {
		return 1
	}
	return n
}

// evaluatorsOf returns the evaluators of a node: the first members by rendezvous hashing (Thaler and
// Ravishankar, 1998, §3), so that all members choose the same ones without communication.
func (d *OutlierDetector) evaluatorsOf(node uint64) []Member {
	type ranked struct {
		Member
		rank uint64
	}
	var best []ranked
	for _, v := range d.members {
		b := binary.LittleEndian.AppendUint64([]byte(v.Name), node)
		x := ranked{v, xxhash.Sum64(b)}
		if len(best) == evaluatorsPerNode && x.rank <= best[evaluatorsPerNode-1].rank {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, x, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
		best = slices.Insert(best, i, x)
		best = best[:min(len(best), evaluatorsPerNode)]
	}
	out := make([]Member, len(best))
	for i, x := range best {
		out[i] = x.Member
	}
	return out
}

func (d *OutlierDetector) send(to string, b []byte) bool {
	if d.sent >= maxReportDatagrams {
		return false
	}
	d.sent++
	d.outbox = append(d.outbox, Message{To: to, Data: b})
	return true
}

// Tick must be called once per period with the other members that are alive, the size of the fleet including
// dead members, and whether this member is healthy otherwise. It returns the messages to send.
func (d *OutlierDetector) Tick(now Micros, others []Member, size int, healthy bool) []Message {
	d.Expire(now)
	d.members = append([]Member{d.self}, others...)
	d.fleetSize, d.sent = max(size, len(d.members)), 0
	d.reliable = healthy && d.Reliable(now)
	d.reportTallies(now)
	d.queryMembers(now)
	out := d.outbox
	d.outbox = nil
	return out
}

func appendTally(b []byte, node uint64, t Tally) []byte {
	b = binary.LittleEndian.AppendUint64(b, node)
	for _, x := range [...]uint16{t.Good, t.Bad, t.Late, t.FirstBadAge} {
		b = binary.LittleEndian.AppendUint16(b, x)
	}
	return b
}

// tallyHeader returns the header of a message with tallies.
func (d *OutlierDetector) tallyHeader(answer bool) []byte {
	flags := byte(0)
	if d.reliable {
		flags |= flagReliable
	}
	if answer {
		flags |= flagAnswer
	}
	return []byte{msgTally, flags}
}

// reportTallies reports each failing node to its evaluators if the tally has changed or the last report is
// old. A node that has recovered is reported once more.
func (d *OutlierDetector) reportTallies(now Micros) {
	failing := d.FailingNodes()
	for id := range d.reported {
		if _, isFailing := slices.BinarySearch(failing, id); !isFailing {
			failing = append(failing, id)
		}
	}
	slices.Sort(failing)
	batch := map[string][]byte{}
	var order []string
	for _, id := range failing {
		t := d.Tally(now, id, 0)
		last, known := d.reported[id]
		same := known && last.Good == t.Good && last.Bad == t.Bad && last.Late == t.Late
		if same && now-last.at < reportRefresh*d.period {
			continue
		}
		if d.reported[id] = (lastReport{t, now}); t.failures() == 0 {
			delete(d.reported, id)
		}
		for _, v := range d.evaluatorsOf(id) {
			if v.Name == d.self.Name {
				d.record(now, d.self, id, t, d.reliable, false)
				continue
			}
			b := batch[v.Name]
			if b == nil {
				b = d.tallyHeader(false)
				order = append(order, v.Name)
			}
			if b = appendTally(b, id, t); len(b)+tallySize > d.maxMessage {
				d.send(v.Name, b)
				b = nil
			}
			batch[v.Name] = b
		}
	}
	for _, name := range order {
		if b := batch[name]; b != nil {
			d.send(name, b)
			batch[name] = nil
		}
	}
}

// record stores a member's report on a node, and opens a case for the node if there are bad outcomes. Only an
// answer to a query counts all good outcomes since the case began, so an unsolicited report does not lower
// their number.
func (d *OutlierDetector) record(now Micros, from Member, node uint64, t Tally, reliable, answer bool) {
	c := d.cases[node]
	if c == nil {
		if t.failures() == 0 || len(d.cases) >= maxCases {
			return
		}
		c = &nodeCase{reports: map[string]report{}}
		d.cases[node] = c
	}
	if previous, ok := c.reports[from.Name]; ok && !answer {
		t.Good = max(t.Good, previous.Good)
	}
	c.reports[from.Name] = report{Tally: t, zone: from.Zone, reliable: reliable, receivedAt: now}
}

// isAlive reports whether a member is alive.
func (d *OutlierDetector) isAlive(name string) bool {
	return slices.ContainsFunc(d.members, func(v Member) bool { return v.Name == name })
}

// queryMembers asks other members for their tallies of the nodes under evaluation here.
func (d *OutlierDetector) queryMembers(now Micros) {
	queries := map[string][]byte{}
	ids := make([]uint64, 0, len(d.cases))
	for id := range d.cases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := d.cases[id]
		failures, periods := 0, 0
		for member, r := range c.reports {
			if now-r.receivedAt > reportLifetime*d.period || !d.isAlive(member) {
				delete(c.reports, member)
				continue
			}
			failures += r.failures()
			periods = max(periods, r.age(now, d.period, r.FirstBadAge))
		}
		if failures == 0 {
			delete(d.cases, id)
			continue
		}
		d.record(now, d.self, id, d.Tally(now, id, periods), d.reliable, true)
		if now-c.queriedAt < queryInterval*d.period && c.queriedAt > 0 || len(d.members) < 2 {
			continue
		}
		c.queriedAt = now
		n := min(maxQueried, len(d.members)-1)
		for range n {
			c.nextMember++
			to := d.members[1+c.nextMember%(len(d.members)-1)].Name
			b := queries[to]
			if b == nil {
				b = []byte{msgTallyQuery}
			}
			if len(b)+querySize <= d.maxMessage {
				b = binary.LittleEndian.AppendUint64(b, id)
				queries[to] = binary.LittleEndian.AppendUint16(b, uint16(min(periods, 1<<16-1)))
			}
		}
	}
	names := make([]string, 0, len(queries))
	for name := range queries {
		names = append(names, name)
	}
	slices.Sort(names)
	for i := range names {
		to := names[(i+int(now/d.period))%len(names)]
		if !d.send(to, queries[to]) {
			return
		}
	}
}

// Receive handles a message from another member. It returns the messages to send, and false if the message is
// malformed.
func (d *OutlierDetector) Receive(now Micros, from Member, data []byte) (out []Message, ok bool) {
	if len(data) < 2 {
		return nil, false
	}
	switch r := (&datagram.Reader{Rest: data[1:]}); data[0] {
	case msgTally:
		flags := r.U8()
		if flags > flagReliable|flagAnswer || len(r.Rest)%tallySize != 0 {
			return nil, false
		}
		for len(r.Rest) > 0 {
			id := r.U64()
			var t Tally
			for _, x := range [...]*uint16{&t.Good, &t.Bad, &t.Late, &t.FirstBadAge} {
				*x = r.U16()
			}
			d.record(now, from, id, t, flags&flagReliable != 0, flags&flagAnswer != 0)
		}
	case msgTallyQuery:
		if len(r.Rest)%querySize != 0 {
			return nil, false
		}
		b := d.tallyHeader(true)
		for len(r.Rest) > 0 {
			id := r.U64()
			periods := int(r.U16())
			if len(b)+tallySize <= d.maxMessage {
				b = appendTally(b, id, d.Tally(now, id, periods))
			}
		}
		return []Message{{To: from.Name, Data: b}}, true
	default:
		return nil, false
	}
	return nil, true
}

// ClearEvidence removes all evidence about a node.
func (d *OutlierDetector) ClearEvidence(node uint64) {
	delete(d.nodes, node)
	delete(d.cases, node)
	delete(d.reported, node)
}

// zoneCount is the sum of the reports on a node from one zone.
type zoneCount struct {
	zone                      string
	failures, good, reporters int
	bad, late                 int
	firstBadAge               int
}

// Outliers returns the nodes that are sick by the reports received.
func (d *OutlierDetector) Outliers(now Micros) (out []Outlier) {
	ids := make([]uint64, 0, len(d.cases))
	for id := range d.cases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := d.cases[id]
		if len(d.members) > 1 && (c.queriedAt == 0 || now-c.queriedAt < answerWait*d.period) {
			continue
		}
		if v, sick := d.evaluate(now, c); sick {
			v.Node = id
			out = append(out, v)
		}
	}
	return out
}

// evaluate decides whether one node is sick.
func (d *OutlierDetector) evaluate(now Micros, c *nodeCase) (Outlier, bool) {
	zones := map[string]*zoneCount{}
	all := &zoneCount{}
	for _, name := range sortedNames(c.reports) {
		r := c.reports[name]
		if !r.reliable || d.FaultSingleReporter && !r.sick() {
			continue
		}
		z := zones[r.zone]
		if z == nil {
			z = &zoneCount{zone: r.zone}
			zones[r.zone] = z
		}
		for _, x := range []*zoneCount{z, all} {
			x.add(&r, now, d.period)
		}
	}
	alive := map[string]int{}
	for _, v := range d.members {
		alive[v.Zone]++
	}
	need := Quorum(d.fleetSize)
	if d.FaultSingleReporter {
		need = 1
	}
	badZones := 0 // zones that report the node as bad
	for _, z := range zones {
		if z.reporters > 0 && z.failures >= z.good {
			badZones++
		}
	}
	if all.sick(need) && badZones >= min(2, len(alive)) {
		return Outlier{Reason: all.reason(len(zones)), FirstBadAge: all.firstBadAge}, true
	}
	var worst *zoneCount
	for _, name := range sortedNames(zones) {
		z := zones[name]
		if z.sick(min(need, alive[z.zone])) && (worst == nil || z.failures > worst.failures) {
			worst = z
		}
	}
	if worst == nil || len(alive) < 2 || 2*len(d.members) <= d.fleetSize {
		return Outlier{}, false
	}
	return Outlier{Zone: worst.zone, Reason: worst.reason(1), FirstBadAge: worst.firstBadAge}, true
}

func sortedNames[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (z *zoneCount) add(r *report, now, period Micros) {
	z.good += int(r.Good)
	if !r.sick() {
		return
	}
	z.reporters++
	z.failures += r.failures()
	z.bad += int(r.Bad)
	z.late += int(r.Late)
	z.firstBadAge = max(z.firstBadAge, r.age(now, period, r.FirstBadAge))
}

// sick reports whether enough members have seen enough bad outcomes, and the first one is old enough that
// members without bad outcomes would have reported by now that the node is well. If all members have seen bad
// outcomes, they avoid the node anyway.
func (z *zoneCount) sick(need int) bool {
	return z.reporters >= need && z.failures >= minBad && z.failures >= z.good && z.firstBadAge >= minBadAge
}

func (z *zoneCount) reason(zones int) string {
	what := "failing"
	if z.late > z.bad {
		what = "slow"
	}
	return fmt.Sprintf("%s: %d of %d, %d members, %d zones", what, z.failures, z.failures+z.good, z.reporters,
		zones)
}
