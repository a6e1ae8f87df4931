// Package overload decides which requests the fleet sheds when the load exceeds the capacity of the servers:
// by one fleet-wide level on the requests' worth, and by a budget for retries. The package does no I/O, reads
// no clock and starts no goroutine. The design is in docs/OVERLOAD.md.
package overload

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lapislever/internal/datagram"
)

// Micros is a point in time or a duration in microseconds on a monotonic clock.
type Micros = int64

// Parameters of the level. Durations are in periods.
const (
	Ranks             = 8 // ranks of classes by worth
	RankDivisions     = 8 // divisions of a rank, by hash of the request
	Buckets           = Ranks * RankDivisions
	Window            = 3          // interval between evaluations of the level
	reportHistory     = 2 * Window // number of reports kept per member
	highFailures      = 0.25       // fraction of admitted requests that fail above which shedding starts
	lowFailures       = 0.03       // fraction of failures below which the margin may grow
	minAdmitted       = 20         // admitted requests in a window below which failures are not significant
	initialMargin     = 0.25       // fraction admitted beyond the estimated capacity, initially
	maxMargin         = 1          // and at most
	levelNoise        = 1          // rise of the level, in buckets, that is treated as noise
	calmWindows       = 2          // consecutive windows with few failures before the margin grows
	capacityDecay     = 0.05       // decay of the estimated capacity per window
	fastCapacityDecay = 0.2        // the same while the fraction of failures is above highFailures
	retryFailures     = 0.35       // fraction of local failures in a period that limits client retries
	heavyFailures     = 0.4        // fraction of failures in a window above which the margin shrinks
	marginCut         = 4          // by this factor on the excess
	ownerTimeout      = 2 * Window // time without a message after which the owner of the level counts as gone
)

// Parameters of the retry budget.
const (
	RetryRatio     = 0.1 // retries per first send
	maxRetryTokens = 20  // maximum number of tokens for retries
)

// RankByWorth returns the rank of each class by worth, the highest worth last. Classes of equal worth share a
// rank.
func RankByWorth(worth []float64) []int {
	sorted := slices.Clone(worth)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	out := make([]int, len(worth))
	for i, w := range worth {
		index := slices.Index(sorted, w)
		out[i] = Ranks - 1 - min(Ranks-1, len(sorted)-1-index)
	}
	return out
}

// Priority returns the bucket of a request: by the rank of its class, and within the rank by a hash of a key
// that all retries of the request share, so that every member decides the same on each retry (DAGOR: Zhou et
// al., SoCC 2018, §4.2.2 and 4.2.3, where the user is hashed).
func Priority(rank int, key string) int {
	return min(max(rank, 0), Ranks-1)*RankDivisions + int(xxhash.Sum64String(key)%RankDivisions)
}

// Counts are the requests that one member has seen since its last report.
type Counts struct {
	Offered  [Buckets]uint16 // requests by bucket, without those that clients mark as retries
	Admitted uint32          // admitted requests that have ended
	Failed   uint32          // those of Admitted that were refused, failed or cancelled by the client
}

func (c *Counts) add(o *Counts) {
	for b := range c.Offered {
		c.Offered[b] = uint16(min(int(c.Offered[b])+int(o.Offered[b]), 1<<16-1))
	}
	c.Admitted += o.Admitted
	c.Failed += o.Failed
}

// Message is a message to another member.
type Message struct {
	To   string
	Data []byte
}

// memberReports are the last reports of one member.
type memberReports struct {
	counts [reportHistory]Counts // ring buffer
	at     [reportHistory]Micros
	next   int
}

// Controller is one member's overload controller: it admits requests by the level, counts outcomes and
// reports them. One member, the owner, sets the level for the fleet.
type Controller struct {
	self               string
	period             Micros
	level              int
	owner              string
	ownerSince         Micros // time at which this owner was chosen
	levelAt            Micros // time at which the owner last sent the level
	counts             Counts // counts since the last report
	evaluatedAt        Micros // time at which this member last evaluated the level
	calmStreak         int    // consecutive windows with few failures
	capacity           float64
	reports            map[string]*memberReports
	retryTokens        float64
	limitAttempts      bool // attempts that are sent again use the budget
	limitClientRetries bool // many admitted requests fail: clients' retries use the budget as well

	Shed          [Buckets]int64 // requests shed, by bucket
	RetriesSent   int64          // attempts and requests sent again
	RetriesDenied int64          // retries denied by the budget
	FirstSends    int64          // first sends
}

// NewController returns the controller of a member that starts.
func NewController(self string, period Micros) *Controller {
	return &Controller{self: self, period: period, reports: map[string]*memberReports{},
		retryTokens: maxRetryTokens}
}

// Level returns the bucket below which requests are shed; 0: none are.
func (g *Controller) Level() int { return g.level }

// LevelOwner returns the member that sets the level, and since when.
func (g *Controller) LevelOwner() (string, Micros) { return g.owner, g.ownerSince }

// Admit reports whether a request of a priority is admitted, and if not, when to retry. Retry times are
// spread, so that requests that are shed together do not come back together. id is a number that differs by
// request.
func (g *Controller) Admit(priority int, id uint64, retry bool) (ok bool, retryAfter Micros) {
	// Retries are not counted as offered load, as they stop once requests succeed. When they were counted, the
	// level oscillated: it rose with the retries and fell without them.
	if c := &g.counts.Offered[priority]; !retry && *c < 1<<16-1 {
		*c++
	}
	if priority >= g.level && (!retry || !g.limitClientRetries || g.allowRetry()) {
		return true, 0
	}
	g.Shed[priority]++
	return false, g.retryAfter(id)
}

// retryAfter returns when a shed request may be retried: a time that grows with the level, plus a random part
// of up to the same length.
func (g *Controller) retryAfter(id uint64) Micros {
	base := g.period * Micros(2+g.level/4)
	return base + Micros(xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, id))%uint64(base))
}

// Finished records the end of an admitted request, and whether it was answered in time.
func (g *Controller) Finished(inTime bool) {
	if g.counts.Admitted++; !inTime {
		g.counts.Failed++
	}
}

// allowRetry takes a token of the retry budget, if the budget applies now.
func (g *Controller) allowRetry() bool {
	if !g.limitAttempts {
		g.RetriesSent++
		return true
	}
	if g.retryTokens < 1 {
		g.RetriesDenied++
		return false
	}
	g.retryTokens--
	g.RetriesSent++
	return true
}

// AllowSend reports whether an attempt may be sent: the first attempt of a part always, a further one by the
// retry budget, which is a fraction of the first attempts. As each member limits itself to this fraction, so
// does the fleet, with any number of members and without communication.
func (g *Controller) AllowSend(first bool) bool {
	if first {
		g.FirstSends++
		g.retryTokens = min(maxRetryTokens, g.retryTokens+RetryRatio)
		return true
	}
	return g.allowRetry()
}

// RetryBudget returns how many retries would have been allowed by now if the budget had always applied.
func (g *Controller) RetryBudget() int64 {
	return maxRetryTokens + int64(RetryRatio*float64(g.FirstSends))
}

// ownerOf returns the member that sets the level, by rendezvous hashing over the living members.
func ownerOf(alive []string) (owner string) {
	bestHash := uint64(0)
	for _, name := range alive {
		if h := xxhash.Sum64String(name + "\nlevel"); owner == "" || h > bestHash {
			owner, bestHash = name, h
		}
	}
	return owner
}

// Message kinds.
const (
	msgReport = 1 + iota // level, then counts
	msgLevel             // level
)

// Tick must be called once per period with the other members that are alive.
func (g *Controller) Tick(now Micros, others []string) (out []Message) {
	if owner := ownerOf(append([]string{g.self}, others...)); owner != g.owner {
		g.owner, g.ownerSince, g.levelAt = owner, now, now
		clear(g.reports)
	}
	count := g.counts
	g.counts = Counts{}
	g.limitClientRetries = count.Admitted >= minAdmitted/4 &&
		float64(count.Failed) > retryFailures*float64(count.Admitted)
	g.limitAttempts = g.level > 0 || count.Admitted >= minAdmitted/4 &&
		float64(count.Failed) > highFailures*float64(count.Admitted)
	if g.owner != g.self {
		if now-g.levelAt > ownerTimeout*g.period { // continue from the last known level by the own counts
			g.record(now, g.self, &count)
			g.evaluateIfDue(now)
		}
		b := append([]byte{msgReport, byte(g.level)}, encodeCounts(&count)...)
		return append(out, Message{To: g.owner, Data: b})
	}
	g.record(now, g.self, &count)
	for member := range g.reports {
		if member != g.self && !slices.Contains(others, member) {
			delete(g.reports, member)
		}
	}
	g.evaluateIfDue(now)
	return out
}

// evaluateIfDue evaluates the level once per window.
func (g *Controller) evaluateIfDue(now Micros) {
	if now-g.evaluatedAt >= Window*g.period {
		g.evaluatedAt = now
		g.evaluate(now)
	}
}

func (g *Controller) record(now Micros, member string, c *Counts) {
	t := g.reports[member]
	if t == nil {
		t = &memberReports{}
		g.reports[member] = t
	}
	t.counts[t.next%reportHistory], t.at[t.next%reportHistory] = *c, now
	t.next++
}

// evaluate sets the level by all members' reports on the last window. It admits less while many of the
// admitted requests fail, and more while hardly any do (as DAGOR, §4.2.3, with its histogram of the offered
// load; the signal is how requests end and not how long they wait, as a coordinator does not see the servers'
// queues). See NextLevel.
func (g *Controller) evaluate(now Micros) {
	var sum Counts
	for _, t := range g.reports {
		for i := range t.counts {
			if t.at[i] > 0 && now-t.at[i] < Window*g.period+g.period/2 {
				sum.add(&t.counts[i])
			}
		}
	}
	if float64(sum.Failed) < lowFailures*float64(sum.Admitted) {
		g.calmStreak++
	} else {
		g.calmStreak = 0
	}
	g.capacity = EstimateCapacity(g.capacity, &sum)
	g.level = NextLevel(g.level, g.calmStreak, g.capacity, &sum)
}

// EstimateCapacity returns how many requests the servers can answer in a window: the recent maximum, which
// decays faster while more is admitted than they answer. A single overloaded window says little: after queues
// were full, much of the servers' work goes into requests that nobody waits for any more.
func EstimateCapacity(capacity float64, sum *Counts) float64 {
	decay := capacityDecay
	if sum.Admitted >= minAdmitted && float64(sum.Failed) > highFailures*float64(sum.Admitted) {
		decay = fastCapacityDecay
	}
	return max(float64(sum.Admitted-sum.Failed), capacity*(1-decay))
}

// NextLevel returns the level after a window in which level applied. streak is the number of consecutive
// windows with few failures. It admits the requests of the highest worth, up to the servers' estimated
// capacity plus a margin. The margin probes for more capacity, as TCP's window does beyond what was
// acknowledged (Jacobson, SIGCOMM 1988, §1), and doubles as long as there are few failures. The members'
// modules refuse what the margin admits in excess. An earlier version that reduced the admitted load by the
// fraction refused (DAGOR, §4.2.3) shed requests that the servers could have answered: an immediate refusal
// does no harm and does not show how much capacity there is.
func NextLevel(level, streak int, capacity float64, sum *Counts) int {
	failed := float64(sum.Failed) / float64(max(1, sum.Admitted))
	if level == 0 && (sum.Admitted < minAdmitted || failed <= highFailures) {
		return 0
	}
	margin := min(maxMargin, initialMargin*float64(int(1)<<min(max(0, streak-calmWindows), 8)))
	// Clients' retries add to the admitted load, and much work is wasted.
	margin -= marginCut * max(0, failed-heavyFailures)
	room := max(minAdmitted, capacity*(1+margin))
	next, admitted := Buckets, 0.0
	for next > 0 && admitted+float64(sum.Offered[next-1]) <= room {
		next--
		admitted += float64(sum.Offered[next])
	}
	if next = min(next, Buckets-1); next > level && float64(next-level) <= levelNoise && failed <= highFailures {
		return level // within the noise
	}
	return next
}

// Receive handles a message from another member. It returns the messages to send, and false if the message is
// malformed.
func (g *Controller) Receive(now Micros, from string, data []byte) (out []Message, ok bool) {
	r := &datagram.Reader{Rest: data}
	switch kind, level := r.U8(), int(r.U8()); {
	case r.Bad || level >= Buckets:
		return nil, false
	case kind == msgReport:
		c, ok := decodeCounts(r)
		if !ok {
			return nil, false
		}
		if g.owner != g.self {
			return nil, true // the sender's view of the fleet differs; the views converge soon
		}
		if g.reports[from] == nil && now-g.ownerSince < Window*g.period {
			g.level = max(g.level, level) // a new owner continues from the strictest level
		}
		g.record(now, from, &c)
		return []Message{{To: from, Data: []byte{msgLevel, byte(g.level)}}}, true
	case kind == msgLevel:
		if len(r.Rest) > 0 {
			return nil, false
		}
		if from == g.owner {
			g.level, g.levelAt = level, now
		}
		return nil, true
	}
	return nil, false
}

// LevelAge returns the time since the owner last sent the level; 0 at the owner itself.
func (g *Controller) LevelAge(now Micros) Micros {
	if g.owner == g.self {
		return 0
	}
	return now - g.levelAt
}

// encodeCounts encodes counts. A bit set says which buckets follow, as empty ones are omitted.
func encodeCounts(c *Counts) []byte {
	var nonEmpty uint64
	b := make([]byte, 0, 16+2*Buckets)
	b = binary.LittleEndian.AppendUint32(b, c.Admitted)
	b = binary.LittleEndian.AppendUint32(b, c.Failed)
	for i, n := range c.Offered {
		if n > 0 {
			nonEmpty |= 1 << i
		}
	}
	b = binary.LittleEndian.AppendUint64(b, nonEmpty)
	for _, n := range c.Offered {
		if n > 0 {
			b = binary.LittleEndian.AppendUint16(b, n)
		}
	}
	return b
}

func decodeCounts(r *datagram.Reader) (c Counts, ok bool) {
	c.Admitted, c.Failed = r.U32(), r.U32()
	nonEmpty := r.U64()
	for i := range c.Offered {
		if nonEmpty>>i&1 == 1 {
			c.Offered[i] = r.U16()
		}
	}
	return c, !r.Bad && len(r.Rest) == 0 && c.Failed <= c.Admitted && c.Admitted < 1<<24
}
