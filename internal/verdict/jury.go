package verdict

// Who judges a node, and by what: members' counts are pooled at a few judges.

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lapislever/internal/datagram"
)

// Rules of judging. Times are in periods.
const (
	judges     = 3   // of a node
	enough     = 3   // bad outcomes, of all who count
	lasting    = 10  // since the first bad one, in which others would have found the node well again
	askEvery   = 5   // a judge asks others so often
	answers    = 2   // after which it has their answers
	fresh      = 30  // a report counts so long
	tellAnew   = 10  // one that has not changed is told again after that
	sickSpan   = 50  // a node is out the first time
	sickMost   = 16  // times that at most, if it comes back sick
	relapse    = 4   // spans within which that is so
	pardon     = 10  // windows for which an operator's word against a judgement holds
	jurySends  = 16  // datagrams a period
	mostCases  = 256 // at a judge
	mostAsked  = 16  // members asked by a judge at a time
	tallySize  = 8 + 4*2
	questSize  = 8 + 2
	mostVoters = 3 // members whose word is enough in any fleet
)

// The kinds of a jury's message.
const (
	msgTally = 1 + iota // flags, then a node and its tally, again and again
	msgQuest            // nodes, and since how many periods
)

// The flags of a msgTally.
const (
	isSound  = 1 << iota // the sender's word counts
	isAnswer             // to a msgQuest: its good outcomes are of the time that was asked about
)

// Member is a member that is alive.
type Member struct{ Name, Zone string }

// Outlier is that a node is sick: for all, or for the members of a zone.
type Outlier struct {
	Node   uint64
	Zone   string // empty: for all
	Reason string
	Since  int // how many periods ago the first bad outcome was that it stands on
}

// report is what one member says of a node.
type report struct {
	Tally
	zone  string
	sound bool
	at    Micros
}

// age is how many periods ago something was that was so many periods ago when the report came.
func (r *report) age(now, period Micros, then uint16) int { return int(then) + int((now-r.at)/period) }

// trial is what a judge knows of a node.
type trial struct {
	reports map[string]report
	asked   Micros // when the last members were
	turn    int
}

// lastTold is what a judge was last told of a node.
type lastTold struct {
	Tally
	at Micros
}

// OutlierDetector is a member's part in judging: it tells judges what it has seen, and is one for some nodes.
type OutlierDetector struct {
	*Witness
	self   Member
	most   int // bytes of a message
	voters []Member
	size   int
	sound  bool
	trials map[uint64]*trial
	told   map[uint64]lastTold
	sent   int
	out    []Message
	// Credulous is planted, for checkers: one member's word is enough, and nobody's against it counts.
	Credulous bool
}

// NewOutlierDetector returns a jury whose messages have so many bytes at most.
func NewOutlierDetector(self Member, period Micros, most int) *OutlierDetector {
	return &OutlierDetector{Witness: NewWitness(period), self: self, most: most, trials: map[uint64]*trial{},
		told: map[uint64]lastTold{}}
}

// Quorum is how many members have to say so in a fleet of so many, dead ones among them: as many as a death
// takes (docs/FLEET.md).
func Quorum(size int) int { return min(mostVoters, size/2+1) }

// MaxSick is how many nodes the members that see one another may hold to be sick at a time: a share of all
// nodes, divided by how many of the fleet they are. So sides that are cut off from each other together stay
// within the share, or one node where that is less, which a majority may.
func MaxSick(nodes int, share float64, alive, size int) int {
	n := int(share * float64(nodes) * float64(alive) / float64(max(1, size)))
	if n == 0 && share > 0 && nodes > 1 && 2*alive > size {
		return 1
	}
	return n
}

// judgesOf are the members that judge a node: those that stand first by rendezvous hashing (Thaler and
// Ravishankar, 1998, §3), so that all name the same without a word.
func (j *OutlierDetector) judgesOf(node uint64) []Member {
	type ranked struct {
		Member
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
	out := make([]Member, len(best))
	for i, x := range best {
		out[i] = x.Member
	}
	return out
}

func (j *OutlierDetector) send(to string, b []byte) bool {
	if j.sent >= jurySends {
		return false
	}
	j.sent++
	j.out = append(j.out, Message{To: to, Data: b})
	return true
}

// Tick is to be called once a period with the others that are alive, how many members the fleet has, dead
// ones among them, and whether this member is well otherwise. It returns what is to be sent.
func (j *OutlierDetector) Tick(now Micros, others []Member, size int, well bool) []Message {
	j.Expire(now)
	j.voters = append([]Member{j.self}, others...)
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
	for _, x := range [...]uint16{t.Good, t.Bad, t.Late, t.FirstBadAge} {
		b = binary.LittleEndian.AppendUint16(b, x)
	}
	return b
}

// tallyHead is the begin of a message with tallies.
func (j *OutlierDetector) tallyHead(answer bool) []byte {
	flags := byte(0)
	if j.sound {
		flags |= isSound
	}
	if answer {
		flags |= isAnswer
	}
	return []byte{msgTally, flags}
}

// tell reports each node of which much is bad to its judges: where that has changed, or is long ago. Of one
// that has become well that is told once.
func (j *OutlierDetector) tell(now Micros) {
	bouts := j.FailingNodes()
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

// book notes what a member says of a node; one that is no case here becomes one if anything is bad. Only an
// answer tells of all good outcomes since the case began; what comes unasked does not lower them.
func (j *OutlierDetector) book(now Micros, from Member, node uint64, t Tally, sound, answer bool) {
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

// lives tells that a member is alive.
func (j *OutlierDetector) lives(who string) bool {
	return slices.ContainsFunc(j.voters, func(v Member) bool { return v.Name == who })
}

// ask has other members say what they have seen of the nodes that are cases here.
func (j *OutlierDetector) ask(now Micros) {
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
			since = max(since, r.age(now, j.period, r.FirstBadAge))
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

// Receive takes in a message of another member. It returns false where that is none, and what is to be sent.
func (j *OutlierDetector) Receive(now Micros, from Member, data []byte) (out []Message, ok bool) {
	if len(data) < 2 {
		return nil, false
	}
	switch r := (&datagram.Reader{Rest: data[1:]}); data[0] {
	case msgTally:
		flags := r.U8()
		if flags > isSound|isAnswer || len(r.Rest)%tallySize != 0 {
			return nil, false
		}
		for len(r.Rest) > 0 {
			id := r.U64()
			var t Tally
			for _, x := range [...]*uint16{&t.Good, &t.Bad, &t.Late, &t.FirstBadAge} {
				*x = r.U16()
			}
			j.book(now, from, id, t, flags&isSound != 0, flags&isAnswer != 0)
		}
	case msgQuest:
		if len(r.Rest)%questSize != 0 {
			return nil, false
		}
		b := j.tallyHead(true)
		for len(r.Rest) > 0 {
			id := r.U64()
			periods := int(r.U16())
			if len(b)+tallySize <= j.most {
				b = appendTally(b, id, j.Tally(now, id, periods))
			}
		}
		return []Message{{To: from.Name, Data: b}}, true
	default:
		return nil, false
	}
	return nil, true
}

// ClearEvidence forgets what spoke against a node.
func (j *OutlierDetector) ClearEvidence(node uint64) {
	delete(j.nodes, node)
	delete(j.trials, node)
	delete(j.told, node)
}

// zoneCount is what is known of a node from one zone.
type zoneCount struct {
	zone              string
	ill, good, accuse int
	bad, late         int
	firstAge          int
}

// Outliers returns the nodes that are sick by what has been reported.
func (j *OutlierDetector) Outliers(now Micros) (out []Outlier) {
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

// weigh judges one node.
func (j *OutlierDetector) weigh(now Micros, c *trial) (Outlier, bool) {
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
	accusing := 0 // zones that accuse
	for _, z := range zones {
		if z.accuse > 0 && z.ill >= z.good {
			accusing++
		}
	}
	if all.sick(need) && accusing >= min(2, len(alive)) {
		return Outlier{Reason: all.reason(len(zones)), Since: all.firstAge}, true
	}
	var worst *zoneCount
	for _, name := range sortedNames(zones) {
		z := zones[name]
		if z.sick(min(need, alive[z.zone])) && (worst == nil || z.ill > worst.ill) {
			worst = z
		}
	}
	if worst == nil || len(alive) < 2 || 2*len(j.voters) <= j.size {
		return Outlier{}, false
	}
	return Outlier{Zone: worst.zone, Reason: worst.reason(1), Since: worst.firstAge}, true
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
	z.firstAge = max(z.firstAge, r.age(now, period, r.FirstBadAge))
}

// sick tells that enough members have seen enough, and that it is long enough ago that who has seen nothing
// bad would have told by now that the node is well. Where all have seen it they all avoid it anyway.
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
