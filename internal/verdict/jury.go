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
	judges     = 3   // evaluators per node
	enough     = 3   // minimum number of bad outcomes, over all reporters
	lasting    = 10  // minimum age of the first bad outcome: by then others have seen whether the node is well
	askEvery   = 5   // interval at which an evaluator queries other members
	answers    = 2   // time after which it has their answers
	fresh      = 30  // time for which a report counts
	tellAnew   = 10  // time after which an unchanged report is repeated
	sickSpan   = 50  // duration of a node's first ejection
	sickMost   = 16  // maximum multiple of that for a node that becomes sick again
	relapse    = 4   // number of spans within which a node counts as sick again
	pardon     = 10  // number of windows for which an operator's withdrawal blocks a new ejection
	jurySends  = 16  // maximum number of datagrams per period
	mostCases  = 256 // maximum number of nodes under evaluation at a member
	mostAsked  = 16  // maximum number of members queried about a node at a time
	tallySize  = 8 + 4*2
	questSize  = 8 + 2
	mostVoters = 3 // number of reporters that suffices in a fleet of any size
)

// Message kinds.
const (
	msgTally = 1 + iota // flags, then pairs of a node and its tally
	msgQuest            // pairs of a node and the number of periods asked about
)

// Flags of msgTally.
const (
	isSound  = 1 << iota // the sender's tallies count as evidence
	isAnswer             // answer to msgTallyQuery: the good outcomes cover the time asked about
)

// Member is a member of the fleet that is alive.
type Voter struct{ Name, Zone string }

// Outlier is a node that was found sick, for all members or for those of one zone.
type Judgement struct {
	Node   uint64
	Zone   string // empty: for all members
	Reason string
	Since  int // age of the first bad outcome that it is based on, in periods
}

// report is one member's report on a node.
type report struct {
	Tally
	zone  string
	sound bool
	at    Micros
}

// age returns the present age, in periods, of an event whose age was then when the report arrived.
func (r *report) age(now, period Micros, then uint16) int { return int(then) + int((now-r.at)/period) }

// nodeCase is what an evaluator knows of a node.
type trial struct {
	reports map[string]report
	asked   Micros // time of the last query to other members
	turn    int
}

// lastReport is the tally of a node that was last reported to its evaluators.
type lastTold struct {
	Tally
	at Micros
}

// OutlierDetector is one member's part in outlier detection: it reports its tallies to the evaluators of each
// node, and is itself an evaluator of some nodes.
type Jury struct {
	*Witness
	self   Voter
	most   int // maximum size of a message, in bytes
	voters []Voter
	size   int
	sound  bool
	trials map[uint64]*trial
	told   map[uint64]lastTold
	sent   int
	out    []Send
	// Credulous is an injected fault for tests: one reporter suffices, and no opposing report counts.
	Credulous bool
}

// NewOutlierDetector returns a detector for the member self. most is the maximum size of a message, in bytes.
func NewJury(self Voter, period Micros, most int) *Jury {
	return &Jury{Witness: NewWitness(period), self: self, most: most, trials: map[uint64]*trial{},
		told: map[uint64]lastTold{}}
}

// Quorum returns how many members must report a node as bad in a fleet of the given size, including dead
// members: as many as it takes to declare a member dead (docs/FLEET.md).
func Quorum(size int) int { return min(mostVoters, size/2+1) }

// MaxSick returns how many nodes a group of members that see one another may declare sick at a time: the
// given share of all nodes, in proportion to the group's part of the fleet. So the sides of a partition
// together stay within the share. If that is less than one node, a majority may declare one.
func MayBeOut(nodes int, share float64, alive, size int) int {
	n := int(share * float64(nodes) * float64(alive) / float64(max(1, size)))
	if n == 0 && share > 0 && nodes > 1 && 2*alive > size {
		return 1
	}
	return n
}

// evaluatorsOf returns the evaluators of a node: the first members by rendezvous hashing (Thaler and
// Ravishankar, 1998, §3), so that all members choose the same ones without communication.
func (j *Jury) judgesOf(node uint64) []Voter {
	type ranked struct {
		Voter
		rank uint64
	}
	var best []ranked
	for _, v := range j.voters {
		b := binary.LittleEndian.AppendUint64([]byte(v.Name), node)
		x := ranked{v, xxhash.Sum64(b)}
		if len(best) == judges && x.rank <= best[judges-1].rank {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, x, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
		best = slices.Insert(best, i, x)
		best = best[:min(len(best), judges)]
	}
	out := make([]Voter, len(best))
	for i, x := range best {
		out[i] = x.Voter
	}
	return out
}

func (j *Jury) send(to string, b []byte) bool {
	if j.sent >= jurySends {
		return false
	}
	j.sent++
	j.out = append(j.out, Send{To: to, Data: b})
	return true
}

// Tick must be called once per period with the other members that are alive, the size of the fleet including
// dead members, and whether this member is healthy otherwise. It returns the messages to send.
func (j *Jury) Tick(now Micros, others []Voter, size int, well bool) []Send {
	j.Expire(now)
	j.voters = append([]Voter{j.self}, others...)
	j.size, j.sent = max(size, len(j.voters)), 0
	j.sound = well && j.Sound(now)
	j.tell(now)
	j.ask(now)
	out := j.out
	j.out = nil
	return out
}

func appendTally(b []byte, node uint64, t Tally) []byte {
	b = binary.LittleEndian.AppendUint64(b, node)
	for _, x := range [...]uint16{t.Good, t.Bad, t.Late, t.First} {
		b = binary.LittleEndian.AppendUint16(b, x)
	}
	return b
}

// tallyHeader returns the header of a message with tallies.
func (j *Jury) tallyHead(answer bool) []byte {
	flags := byte(0)
	if j.sound {
		flags |= isSound
	}
	if answer {
		flags |= isAnswer
	}
	return []byte{msgTally, flags}
}

// reportTallies reports each failing node to its evaluators if the tally has changed or the last report is
// old. A node that has recovered is reported once more.
func (j *Jury) tell(now Micros) {
	bouts := j.Bouts()
	for id := range j.told {
		if _, ill := slices.BinarySearch(bouts, id); !ill {
			bouts = append(bouts, id)
		}
	}
	slices.Sort(bouts)
	batch := map[string][]byte{}
	var order []string
	for _, id := range bouts {
		t := j.Tally(now, id, 0)
		was, before := j.told[id]
		same := before && was.Good == t.Good && was.Bad == t.Bad && was.Late == t.Late
		if same && now-was.at < tellAnew*j.period {
			continue
		}
		if j.told[id] = (lastTold{t, now}); t.ill() == 0 {
			delete(j.told, id)
		}
		for _, v := range j.judgesOf(id) {
			if v.Name == j.self.Name {
				j.book(now, j.self, id, t, j.sound, false)
				continue
			}
			b := batch[v.Name]
			if b == nil {
				b = j.tallyHead(false)
				order = append(order, v.Name)
			}
			if b = appendTally(b, id, t); len(b)+tallySize > j.most {
				j.send(v.Name, b)
				b = nil
			}
			batch[v.Name] = b
		}
	}
	for _, name := range order {
		if b := batch[name]; b != nil {
			j.send(name, b)
			batch[name] = nil
		}
	}
}

// record stores a member's report on a node, and opens a case for the node if there are bad outcomes. Only an
// answer to a query counts all good outcomes since the case began, so an unsolicited report does not lower
// their number.
func (j *Jury) book(now Micros, from Voter, node uint64, t Tally, sound, answer bool) {
	c := j.trials[node]
	if c == nil {
		if t.ill() == 0 || len(j.trials) >= mostCases {
			return
		}
		c = &trial{reports: map[string]report{}}
		j.trials[node] = c
	}
	if was, ok := c.reports[from.Name]; ok && !answer {
		t.Good = max(t.Good, was.Good)
	}
	c.reports[from.Name] = report{Tally: t, zone: from.Zone, sound: sound, at: now}
}

// isAlive reports whether a member is alive.
func (j *Jury) lives(who string) bool {
	return slices.ContainsFunc(j.voters, func(v Voter) bool { return v.Name == who })
}

// queryMembers asks other members for their tallies of the nodes under evaluation here.
func (j *Jury) ask(now Micros) {
	quests := map[string][]byte{}
	ids := make([]uint64, 0, len(j.trials))
	for id := range j.trials {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := j.trials[id]
		ill, since := 0, 0
		for who, r := range c.reports {
			if now-r.at > fresh*j.period || !j.lives(who) {
				delete(c.reports, who)
				continue
			}
			ill += r.ill()
			since = max(since, r.age(now, j.period, r.First))
		}
		if ill == 0 {
			delete(j.trials, id)
			continue
		}
		j.book(now, j.self, id, j.Tally(now, id, since), j.sound, true)
		if now-c.asked < askEvery*j.period && c.asked > 0 || len(j.voters) < 2 {
			continue
		}
		c.asked = now
		n := min(mostAsked, len(j.voters)-1)
		for range n {
			c.turn++
			to := j.voters[1+c.turn%(len(j.voters)-1)].Name
			b := quests[to]
			if b == nil {
				b = []byte{msgQuest}
			}
			if len(b)+questSize <= j.most {
				b = binary.LittleEndian.AppendUint64(b, id)
				quests[to] = binary.LittleEndian.AppendUint16(b, uint16(min(since, 1<<16-1)))
			}
		}
	}
	names := make([]string, 0, len(quests))
	for name := range quests {
		names = append(names, name)
	}
	slices.Sort(names)
	for i := range names {
		to := names[(i+int(now/j.period))%len(names)]
		if !j.send(to, quests[to]) {
			return
		}
	}
}

// Receive handles a message from another member. It returns the messages to send, and false if the message is
// malformed.
func (j *Jury) Receive(now Micros, from Voter, data []byte) (out []Send, ok bool) {
	if len(data) < 2 {
		return nil, false
	}
	switch r := (&datagram.Reader{B: data[1:]}); data[0] {
	case msgTally:
		flags := r.U8()
		if flags > isSound|isAnswer || len(r.B)%tallySize != 0 {
			return nil, false
		}
		for len(r.B) > 0 {
			id := r.U64()
			var t Tally
			for _, x := range [...]*uint16{&t.Good, &t.Bad, &t.Late, &t.First} {
				*x = r.U16()
			}
			j.book(now, from, id, t, flags&isSound != 0, flags&isAnswer != 0)
		}
	case msgQuest:
		if len(r.B)%questSize != 0 {
			return nil, false
		}
		b := j.tallyHead(true)
		for len(r.B) > 0 {
			id := r.U64()
			periods := int(r.U16())
			if len(b)+tallySize <= j.most {
				b = appendTally(b, id, j.Tally(now, id, periods))
			}
		}
		return []Send{{To: from.Name, Data: b}}, true
	default:
		return nil, false
	}
	return nil, true
}

// ClearEvidence removes all evidence about a node.
func (j *Jury) Acquit(node uint64) {
	delete(j.nodes, node)
	delete(j.trials, node)
	delete(j.told, node)
}

// zoneCount is the sum of the reports on a node from one zone.
type zoneCount struct {
	zone              string
	ill, good, accuse int
	bad, late         int
	firstAge          int
}

// Outliers returns the nodes that are sick by the reports received.
func (j *Jury) Judge(now Micros) (out []Judgement) {
	ids := make([]uint64, 0, len(j.trials))
	for id := range j.trials {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := j.trials[id]
		if len(j.voters) > 1 && (c.asked == 0 || now-c.asked < answers*j.period) {
			continue
		}
		if v, sick := j.weigh(now, c); sick {
			v.Node = id
			out = append(out, v)
		}
	}
	return out
}

// evaluate decides whether one node is sick.
func (j *Jury) weigh(now Micros, c *trial) (Judgement, bool) {
	zones := map[string]*zoneCount{}
	all := &zoneCount{}
	for _, who := range sortedNames(c.reports) {
		r := c.reports[who]
		if !r.sound || j.Credulous && !r.sick() {
			continue
		}
		z := zones[r.zone]
		if z == nil {
			z = &zoneCount{zone: r.zone}
			zones[r.zone] = z
		}
		for _, x := range []*zoneCount{z, all} {
			x.add(&r, now, j.period)
		}
	}
	alive := map[string]int{}
	for _, v := range j.voters {
		alive[v.Zone]++
	}
	need := Quorum(j.size)
	if j.Credulous {
		need = 1
	}
	accusing := 0 // zones that report the node as bad
	for _, z := range zones {
		if z.accuse > 0 && z.ill >= z.good {
			accusing++
		}
	}
	if all.sick(need) && accusing >= min(2, len(alive)) {
		return Judgement{Reason: all.reason(len(zones)), Since: all.firstAge}, true
	}
	var worst *zoneCount
	for _, name := range sortedNames(zones) {
		z := zones[name]
		if z.sick(min(need, alive[z.zone])) && (worst == nil || z.ill > worst.ill) {
			worst = z
		}
	}
	if worst == nil || len(alive) < 2 || 2*len(j.voters) <= j.size {
		return Judgement{}, false
	}
	return Judgement{Zone: worst.zone, Reason: worst.reason(1), Since: worst.firstAge}, true
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
	z.accuse++
	z.ill += r.ill()
	z.bad += int(r.Bad)
	z.late += int(r.Late)
	z.firstAge = max(z.firstAge, r.age(now, period, r.First))
}

// sick reports whether enough members have seen enough bad outcomes, and the first one is old enough that
// members without bad outcomes would have reported by now that the node is well. If all members have seen bad
// outcomes, they avoid the node anyway.
func (z *zoneCount) sick(need int) bool {
	return z.accuse >= need && z.ill >= enough && z.ill >= z.good && z.firstAge >= lasting
}

func (z *zoneCount) reason(zones int) string {
	what := "failing"
	if z.late > z.bad {
		what = "slow"
	}
	return fmt.Sprintf("%s: %d of %d, %d members, %d zones", what, z.ill, z.ill+z.good, z.accuse, zones)
}
