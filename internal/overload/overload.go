// Package overload decides what the fleet as one turns away when it is asked for more than the servers can
// do: one level by worth, and a budget for all that is sent again. It does no input or output, reads no clock
// and starts no goroutine. docs/OVERLOAD.md has the design.
package overload

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lapislever/internal/datagram"
)

// Micros is a time or a span in microseconds, of a clock that only goes forward.
type Micros = int64

// Rules of the level. Times are in periods.
const (
	Ranks      = 8 // of classes by worth
	Shares     = 8 // of one rank, by request
	Buckets    = Ranks * Shares
	Window     = 3          // between two changes of the level
	fresh      = 2 * Window // a report counts so long
	high       = 0.25       // of what was let in came to nothing: there is a level
	low        = 0.03       // and below that it is tried how much more can be done
	leastIn    = 20         // of a window: with fewer nothing is told from chance
	margin     = 0.25       // let in beyond what was answered,
	marginMost = 1          // and at the most
	slack      = 1          // buckets up that may be chance
	careful    = 2          // windows in a row with next to nothing in vain, before the margin grows
	forget     = 0.05       // of what servers were able to, in a window
	unlearn    = 0.2        // the same while over a quarter comes to nothing
	harmful    = 0.35       // in vain in a period here: then clients' repeats count against the budget
	heavy      = 0.4        // in vain of a window: the margin shrinks by steep times what is over
	steep      = 4
	stale      = 2 * Window // after which a keeper that is not heard counts as gone
)

// Rules of what is sent again.
const (
	Extra     = 0.1 // of what is sent for the first time
	extraMost = 20  // that may be saved up
)

// RankByWorth is the place of each class by worth, the most worthy last. Classes of equal worth share a rank.
func RankByWorth(worth []float64) []int {
	sorted := slices.Clone(worth)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	out := make([]int, len(worth))
	for i, w := range worth {
		place := slices.Index(sorted, w)
		out[i] = Ranks - 1 - min(Ranks-1, len(sorted)-1-place)
	}
	return out
}

// Priority is the bucket of a request: by its class's rank, and within that by a hash of what all its tries
// have in common, so that a try meets the same verdict at any member (DAGOR: Zhou et al., SoCC 2018, §4.2.2
// and 4.2.3, where it is the user's).
func Priority(rank int, who string) int {
	return min(max(rank, 0), Ranks-1)*Shares + int(xxhash.Sum64String(who)%Shares)
}

// Count is what one member has seen since its last report.
type Count struct {
	Offered [Buckets]uint16 // asked for the first time, by bucket, as far as clients mark repeats
	In      uint32          // let in, and ended by now,
	Bad     uint32          // and of that: refused, failed, or given up by its client
}

func (c *Count) add(o *Count) {
	for b := range c.Offered {
		c.Offered[b] = uint16(min(int(c.Offered[b])+int(o.Offered[b]), 1<<16-1))
	}
	c.In += o.In
	c.Bad += o.Bad
}

// Message is a message to another member.
type Message struct {
	To   string
	Data []byte
}

// told is what a keeper has of a member.
type told struct {
	counts [fresh]Count // by report, in turn
	at     [fresh]Micros
	next   int
}

// Controller is one member's part: it lets in by the level, counts, and reports; one of all keeps the level.
type Controller struct {
	self   string
	period Micros
	level  int
	keeper string
	since  Micros // the keeper is that one
	heard  Micros // the level last came from there
	now    Count
	weighs Micros // as the keeper: when the level was last weighed
	streak int
	able   float64
	from   map[string]*told
	tokens float64
	busy   bool // what is sent again is bounded
	harm   bool // most of what is let in comes to nothing: clients' repeats are bounded as well

	Shed          [Buckets]int64 // turned away by the level
	RetriesSent   int64          // sent again,
	RetriesDenied int64          // and not
	First         int64          // sent for the first time
}

// NewController returns that of a member that starts.
func NewController(self string, period Micros) *Controller {
	return &Controller{self: self, period: period, from: map[string]*told{}, tokens: extraMost}
}

// Level is what is turned away: all below. 0: nothing.
func (g *Controller) Level() int { return g.level }

// LevelOwner is who keeps the level, and since when.
func (g *Controller) LevelOwner() (string, Micros) { return g.keeper, g.since }

// Admit tells whether a request of a priority is let in. If not, after how long it may come back: spread, so
// that those who are turned away together do not come back together. who is any number of the request's.
func (g *Controller) Admit(priority int, who uint64, repeat bool) (ok bool, after Micros) {
	// Repeats are no measure of what will come once they need not be made; counted where they pass, they made
	// the level swing, as it rose by them and fell without them.
	if c := &g.now.Offered[priority]; !repeat && *c < 1<<16-1 {
		*c++
	}
	if priority >= g.level && (!repeat || !g.harm || g.again()) {
		return true, 0
	}
	g.Shed[priority]++
	return false, g.comeBack(who)
}

// comeBack is when to: the later the more is turned away, and any time within that and twice that.
func (g *Controller) comeBack(who uint64) Micros {
	base := g.period * Micros(2+g.level/4)
	return base + Micros(xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, who))%uint64(base))
}

// Finished books how a request that was let in ended. well: answered in time.
func (g *Controller) Finished(well bool) {
	if g.now.In++; !well {
		g.now.Bad++
	}
}

// again takes one from the budget for what is sent again, while that is bounded.
func (g *Controller) again() bool {
	if !g.busy {
		g.RetriesSent++
		return true
	}
	if g.tokens < 1 {
		g.RetriesDenied++
		return false
	}
	g.tokens--
	g.RetriesSent++
	return true
}

// AllowSend asks whether an attempt may be sent: the first of its part always, another one by the budget, which is
// a share of first ones. As each member's is a share of its own, all members' together are the same share of
// all, at any number of members and without a word between them.
func (g *Controller) AllowSend(first bool) bool {
	if first {
		g.First++
		g.tokens = min(extraMost, g.tokens+Extra)
		return true
	}
	return g.again()
}

// RetryBudget is how many may have been sent again by now, had it been bounded all the time.
func (g *Controller) RetryBudget() int64 { return extraMost + int64(Extra*float64(g.First)) }

// keeperOf is who keeps the level among those that are alive, by rendezvous hashing.
func keeperOf(alive []string) (who string) {
	best := uint64(0)
	for _, name := range alive {
		if h := xxhash.Sum64String(name + "\nlevel"); who == "" || h > best {
			who, best = name, h
		}
	}
	return who
}

// The kinds of message.
const (
	msgReport = 1 + iota // level, then a count
	msgLevel             // level
)

// Tick is to be called once a period with the others that are alive.
func (g *Controller) Tick(now Micros, others []string) (out []Message) {
	if keeper := keeperOf(append([]string{g.self}, others...)); keeper != g.keeper {
		g.keeper, g.since, g.heard = keeper, now, now
		clear(g.from)
	}
	count := g.now
	g.now = Count{}
	g.harm = count.In >= leastIn/4 && float64(count.Bad) > harmful*float64(count.In)
	g.busy = g.level > 0 || count.In >= leastIn/4 && float64(count.Bad) > high*float64(count.In)
	if g.keeper != g.self {
		if now-g.heard > stale*g.period { // by its own evidence, from the level that it heard last
			g.book(now, g.self, &count)
			g.due(now)
		}
		b := append([]byte{msgReport, byte(g.level)}, encode(&count)...)
		return append(out, Message{To: g.keeper, Data: b})
	}
	g.book(now, g.self, &count)
	for who := range g.from {
		if who != g.self && !slices.Contains(others, who) {
			delete(g.from, who)
		}
	}
	g.due(now)
	return out
}

// due weighs once a window.
func (g *Controller) due(now Micros) {
	if now-g.weighs >= Window*g.period {
		g.weighs = now
		g.weigh(now)
	}
}

func (g *Controller) book(now Micros, who string, c *Count) {
	t := g.from[who]
	if t == nil {
		t = &told{}
		g.from[who] = t
	}
	t.counts[t.next%fresh], t.at[t.next%fresh] = *c, now
	t.next++
}

// weigh sets the level by what all have reported of the last window: down by a part of what is let in while
// more than a tenth of that comes to nothing, up while next to nothing does (additive and multiplicative as
// in DAGOR, §4.2.3, with its histogram of what is offered; the evidence is how requests end and not how long
// they wait, as no coordinator sees a server's queue).
func (g *Controller) weigh(now Micros) {
	var sum Count
	for _, t := range g.from {
		for i := range t.counts {
			if t.at[i] > 0 && now-t.at[i] < Window*g.period+g.period/2 {
				sum.add(&t.counts[i])
			}
		}
	}
	if float64(sum.Bad) < low*float64(sum.In) {
		g.streak++
	} else {
		g.streak = 0
	}
	g.able = Able(g.able, &sum)
	g.level = Next(g.level, g.streak, g.able, &sum)
}

// Able is how many the servers are known to be able to answer in a window: the most of late, forgotten faster
// while more is let in than they answer. What one such window has brought says little: where queues have just
// been full, much of it went into what nobody waited for any more.
func Able(able float64, sum *Count) float64 {
	lost := forget
	if sum.In >= leastIn && float64(sum.Bad) > high*float64(sum.In) {
		lost = unlearn
	}
	return max(float64(sum.In-sum.Bad), able*(1-lost))
}

// Next is the level after a window of a level, where so many windows in a row hardly anything came to
// nothing. It lets in what is worth most, as much as the servers are able to and a margin: the margin is what
// finds out that more can be done, as the window of TCP does beyond what was acknowledged (Jacobson, SIGCOMM
// 1988, §1), and doubles while nothing speaks against it. What the margin is too much the members' modules
// refuse. A first form that lowered what is let in by how much of it was refused (DAGOR, §4.2.3) turned away
// what the servers could have done: a refusal at once is no harm, and no sign of how much can be done.
func Next(level, streak int, able float64, sum *Count) int {
	bad := float64(sum.Bad) / float64(max(1, sum.In))
	if level == 0 && (sum.In < leastIn || bad <= high) {
		return 0
	}
	more := min(marginMost, margin*float64(int(1)<<min(max(0, streak-careful), 8)))
	more -= steep * max(0, bad-heavy) // clients' repeats come on top of what is let in, and much is wasted
	room := max(leastIn, able*(1+more))
	next, letIn := Buckets, 0.0
	for next > 0 && letIn+float64(sum.Offered[next-1]) <= room {
		next--
		letIn += float64(sum.Offered[next])
	}
	if next = min(next, Buckets-1); next > level && float64(next-level) <= slack && bad <= high {
		return level // chance
	}
	return next
}

// Receive takes in a message of another member. It returns false where that is none.
func (g *Controller) Receive(now Micros, from string, data []byte) (out []Message, ok bool) {
	r := &datagram.Reader{Rest: data}
	switch kind, level := r.U8(), int(r.U8()); {
	case r.Bad || level >= Buckets:
		return nil, false
	case kind == msgReport:
		c, ok := decode(r)
		if !ok {
			return nil, false
		}
		if g.keeper != g.self {
			return nil, true // it sees another fleet than this member: soon they see the same
		}
		if g.from[from] == nil && now-g.since < Window*g.period {
			g.level = max(g.level, level) // a keeper that is new goes on from the strictest
		}
		g.book(now, from, &c)
		return []Message{{To: from, Data: []byte{msgLevel, byte(g.level)}}}, true
	case kind == msgLevel:
		if len(r.Rest) > 0 {
			return nil, false
		}
		if from == g.keeper {
			g.level, g.heard = level, now
		}
		return nil, true
	}
	return nil, false
}

// LevelAge is how long ago the level last came from who keeps it.
func (g *Controller) LevelAge(now Micros) Micros {
	if g.keeper == g.self {
		return 0
	}
	return now - g.heard
}

// encode writes a count: first the buckets that anything was asked of.
func encode(c *Count) []byte {
	var set uint64
	b := make([]byte, 0, 16+2*Buckets)
	b = binary.LittleEndian.AppendUint32(b, c.In)
	b = binary.LittleEndian.AppendUint32(b, c.Bad)
	for i, n := range c.Offered {
		if n > 0 {
			set |= 1 << i
		}
	}
	b = binary.LittleEndian.AppendUint64(b, set)
	for _, n := range c.Offered {
		if n > 0 {
			b = binary.LittleEndian.AppendUint16(b, n)
		}
	}
	return b
}

func decode(r *datagram.Reader) (c Count, ok bool) {
	c.In, c.Bad = r.U32(), r.U32()
	set := r.U64()
	for i := range c.Offered {
		if set>>i&1 == 1 {
			c.Offered[i] = r.U16()
		}
	}
	return c, !r.Bad && len(r.Rest) == 0 && c.Bad <= c.In && c.In < 1<<24
}
