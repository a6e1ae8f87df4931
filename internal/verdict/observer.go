package verdict

// A member's own observations of data nodes, which it reports to others as evidence: docs/VERDICTS.md,
// 'Evidence'.

import "slices"

// Parameters of evidence. Durations are in periods unless noted.
const (
	Window       = 150 // age after which an observation no longer counts
	windowSlots  = 50  // slots per window in which good outcomes are counted
	maxNodes     = 4096
	recoveryRun  = 6      // consecutive good outcomes that end an episode of bad ones
	lateMultiple = 8.0    // an attempt is late above this multiple of its class's median
	minLate      = 50_000 // microseconds; a shorter attempt is never late
	// minHedgeWins is the number of attempts that must lose to a hedged one, with none served in between, before
	// one counts as bad. Any healthy node loses now and then, but a node that answers nothing would otherwise
	// stay hidden behind the hedged attempts.
	minHedgeWins = 2
	medianStep   = 1.05 // factor by which one outcome moves the median
	maxClasses   = 256  // maximum number of classes whose median is kept
)

// Outcome is the outcome of an attempt, as far as it is evidence about the node.
type Outcome uint8

// The outcomes that count. A rejection by a full node is not among them: overload is not sickness.
const (
	Served    Outcome = iota // answered; late if it took long
	Failed                   // an error, a lost connection, or no connection
	TimedOut                 // no answer before the time-out; ignored if the time-out was very short
	Cancelled                // cancelled; late if it had already taken long, otherwise ignored
	HedgeWon                 // cancelled, as a later attempt of the same part was answered first
)

// Tally is one member's count of one node's outcomes: the bad ones of the current episode, and the good ones
// since the episode began or since the time that an evaluator asked about, whichever are more.
type Tally struct {
	Good, Bad, Late uint16
	FirstBadAge     uint16 // age of the first bad outcome, in periods
}

// sick reports whether there are bad outcomes, and no fewer than good ones.
func (t *Tally) sick() bool { return t.failures() > 0 && t.failures() >= int(t.Good) }

func (t *Tally) failures() int { return int(t.Bad) + int(t.Late) }

// nodeRecord is what was observed of one node.
type nodeRecord struct {
	good                 [windowSlots]uint16 // good outcomes by slot
	newestSlot           Micros              // latest slot
	bad, late            int                 // bad outcomes of the current episode
	episodeGood, goodRun int                 // good outcomes since the episode began, and in a row up to now
	firstBad, lastBad    Micros              // first and last bad outcome of the episode
	lastOutcome          Micros              // last outcome of any kind
	hedgeWins            int                 // attempts that lost to a hedged one since the node last served one
}

// Observer counts the outcomes that this member observes. It is not safe for concurrent use.
type Observer struct {
	period  Micros
	nodes   map[uint64]*nodeRecord
	medians map[int]float64 // median duration by class, in microseconds
}

// NewObserver returns an observer without observations.
func NewObserver(period Micros) *Observer {
	return &Observer{period: period, nodes: map[uint64]*nodeRecord{}, medians: map[int]float64{}}
}

func (o *Observer) slot(now Micros) Micros { return now / (Window / windowSlots * o.period) }

// isLate reports whether a duration is far above the median of its class, and if counts is set, adds it to
// the median. The median is estimated by one number that each outcome moves by a step (frugal streaming:
// Ma, Muthukrishnan and Sandler, 2013, §3; the step is a factor here, as durations of classes differ by
// orders of magnitude).
func (o *Observer) isLate(class int, elapsed Micros, counts bool) bool {
	median, known := o.medians[class]
	if !known {
		if counts && len(o.medians) < maxClasses {
			o.medians[class] = float64(max(1, elapsed))
		}
		return false
	}
	if counts {
		if float64(elapsed) > median {
			o.medians[class] = median * medianStep
		} else {
			o.medians[class] = max(1, median/medianStep)
		}
	}
	return elapsed >= minLate && float64(elapsed) > lateMultiple*median
}

// Observe records the outcome and the duration of an attempt.
func (o *Observer) Observe(now Micros, node uint64, class int, e Outcome, elapsed Micros) {
	late := o.isLate(class, elapsed, e == Served)
	if e == Cancelled && !late || e == TimedOut && !late && elapsed < minLate {
		return
	}
	n := o.nodes[node]
	if n == nil {
		if len(o.nodes) >= maxNodes {
			return
		}
		n = &nodeRecord{newestSlot: o.slot(now)}
		o.nodes[node] = n
	}
	n.lastOutcome = now
	if e == Served {
		n.hedgeWins = 0
	}
	if e == Served && !late {
		n.recordServed(o.slot(now))
		return
	}
	if e == HedgeWon {
		if n.hedgeWins++; n.hedgeWins < minHedgeWins {
			return
		}
	}
	if n.bad+n.late == 0 {
		n.firstBad, n.episodeGood = now, 0
	}
	n.lastBad, n.goodRun = now, 0
	if e == Failed || e == TimedOut {
		n.bad++
	} else {
		n.late++
	}
}

func (n *nodeRecord) recordServed(slot Micros) {
	n.advance(slot)
	if c := &n.good[slot%windowSlots]; *c < 1<<16-1 {
		*c++
	}
	if n.bad+n.late == 0 {
		return
	}
	n.episodeGood++
	if n.goodRun++; n.goodRun >= recoveryRun {
		n.bad, n.late = 0, 0
	}
}

// advance clears the slots up to the given one.
func (n *nodeRecord) advance(slot Micros) {
	for i := max(n.newestSlot+1, slot-windowSlots+1); i <= slot; i++ {
		n.good[i%windowSlots] = 0
	}
	n.newestSlot = max(n.newestSlot, slot)
}

// Expire removes observations that are too old to count.
func (o *Observer) Expire(now Micros) {
	for id, n := range o.nodes {
		if n.bad+n.late > 0 && now-n.lastBad > Window*o.period {
			n.bad, n.late = 0, 0
		}
		if now-n.lastOutcome > Window*o.period {
			delete(o.nodes, id)
		}
	}
}

// Tally returns the counts of a node. The good outcomes are those of the last periods, in whole slots, or
// those since the episode began, if they are more.
func (o *Observer) Tally(now Micros, node uint64, periods int) Tally {
	n := o.nodes[node]
	if n == nil {
		return Tally{}
	}
	short := func(x int) uint16 { return uint16(min(x, 1<<16-1)) }
	n.advance(o.slot(now))
	good := 0
	from := o.slot(now-Micros(periods)*o.period) + 1 // whole slots
	for i := max(0, n.newestSlot-windowSlots+1, from); i <= n.newestSlot; i++ {
		good += int(n.good[i%windowSlots])
	}
	if n.bad+n.late == 0 {
		return Tally{Good: short(good)}
	}
	return Tally{Good: short(max(good, n.episodeGood)), Bad: short(n.bad), Late: short(n.late),
		FirstBadAge: short(int((now - n.firstBad) / o.period))}
}

// FailingNodes returns the nodes with recent bad outcomes, sorted by ID.
func (o *Observer) FailingNodes() (ids []uint64) {
	for id, n := range o.nodes {
		if n.bad+n.late > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Reliable reports whether this member's tallies count as evidence. If more than half of the nodes that it
// has recently used look sick, the cause is its own network or a general overload.
func (o *Observer) Reliable(now Micros) bool {
	met, sick := 0, 0
	for id := range o.nodes {
		met++
		if t := o.Tally(now, id, 0); t.sick() {
			sick++
		}
	}
	return 2*sick <= met
}
