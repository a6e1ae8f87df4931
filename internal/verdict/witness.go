package verdict

// What a member sees of data nodes itself, as evidence for others: docs/VERDICTS.md, 'Evidence'.

import "slices"

// Rules of evidence. Times are in periods.
const (
	Window    = 150 // what is older than that is no evidence
	slots     = 50  // of a window, by which good outcomes are counted
	mostNodes = 4096
	boutEnds  = 6      // good outcomes in a row after which a bout of bad ones is over
	lateBy    = 8.0    // times the usual time of the class
	lateLeast = 50_000 // us: what takes less is never late
	// beatenLeast is how many attempts have to be beaten, with none served between, before one counts: whoever
	// answers is beaten now and then, but who answers nobody is hidden behind its hedged requests.
	beatenLeast = 2
	usualStep   = 1.05 // by which one outcome moves the usual time
	mostKinds   = 256  // classes whose usual time is kept
)

// Outcome is how an attempt at a node ended, as evidence sees it.
type Outcome uint8

// The endings that count. What a node turns away because it is full is none of them: overload is no sickness.
const (
	Served    Outcome = iota // late, if it took long
	Failed                   // an error, a lost connection, or none
	TimedOut                 // no answer in its time; late only if that was long
	Cancelled                // withdrawn: late if it had taken long by then, else nothing
	HedgeWon                 // withdrawn, as an attempt of the same part that was sent later has been answered
)

// Tally is what one member has seen of one node: the bad outcomes of the present bout, and the good ones
// since that began or since a judge has asked about, whichever are more.
type Tally struct {
	Good, Bad, Late uint16
	FirstBadAge     uint16 // how many periods ago the first bad one was
}

// sick tells that more was bad than good.
func (t *Tally) sick() bool { return t.ill() > 0 && t.ill() >= int(t.Good) }

func (t *Tally) ill() int { return int(t.Bad) + int(t.Late) }

// seen is one node.
type seen struct {
	good        [slots]uint16 // by slot
	newest      Micros        // slot that was written last
	bad, late   int           // of the bout
	well, row   int           // good ones of the bout, and in a row at its end
	first, last Micros
	at          Micros // of the last outcome of any kind
	beaten      int    // attempts that were, since it last served one
}

// Witness counts what this member sees. It is not safe for several goroutines at once.
type Witness struct {
	period Micros
	nodes  map[uint64]*seen
	usual  map[int]float64 // by class, us
}

// NewWitness returns one that has seen nothing.
func NewWitness(period Micros) *Witness {
	return &Witness{period: period, nodes: map[uint64]*seen{}, usual: map[int]float64{}}
}

func (w *Witness) slot(now Micros) Micros { return now / (Window / slots * w.period) }

// late tells that a time is far over what is usual for a class, and counts it. The usual time is the median,
// kept in one number that each outcome moves by a step (frugal streaming: Ma, Muthukrishnan and Sandler,
// 2013, §3; the step is a factor here, as times of classes differ by orders of magnitude).
func (w *Witness) late(class int, took Micros, counts bool) bool {
	m, known := w.usual[class]
	if !known {
		if counts && len(w.usual) < mostKinds {
			w.usual[class] = float64(max(1, took))
		}
		return false
	}
	if counts {
		if float64(took) > m {
			w.usual[class] = m * usualStep
		} else {
			w.usual[class] = max(1, m/usualStep)
		}
	}
	return took >= lateLeast && float64(took) > lateBy*m
}

// Observe takes in how an attempt at a node ended that took so long.
func (w *Witness) Observe(now Micros, node uint64, class int, e Outcome, took Micros) {
	late := w.late(class, took, e == Served)
	if e == Cancelled && !late || e == TimedOut && !late && took < lateLeast {
		return
	}
	n := w.nodes[node]
	if n == nil {
		if len(w.nodes) >= mostNodes {
			return
		}
		n = &seen{newest: w.slot(now)}
		w.nodes[node] = n
	}
	n.at = now
	if e == Served {
		n.beaten = 0
	}
	if e == Served && !late {
		n.served(w.slot(now))
		return
	}
	if e == HedgeWon {
		if n.beaten++; n.beaten < beatenLeast {
			return
		}
	}
	if n.bad+n.late == 0 {
		n.first, n.well = now, 0
	}
	n.last, n.row = now, 0
	if e == Failed || e == TimedOut {
		n.bad++
	} else {
		n.late++
	}
}

func (n *seen) served(slot Micros) {
	n.turn(slot)
	if c := &n.good[slot%slots]; *c < 1<<16-1 {
		*c++
	}
	if n.bad+n.late == 0 {
		return
	}
	n.well++
	if n.row++; n.row >= boutEnds {
		n.bad, n.late = 0, 0
	}
}

// turn clears the slots that have passed.
func (n *seen) turn(slot Micros) {
	for i := max(n.newest+1, slot-slots+1); i <= slot; i++ {
		n.good[i%slots] = 0
	}
	n.newest = max(n.newest, slot)
}

// Expire forgets what is too old to count.
func (w *Witness) Expire(now Micros) {
	for id, n := range w.nodes {
		if n.bad+n.late > 0 && now-n.last > Window*w.period {
			n.bad, n.late = 0, 0
		}
		if now-n.at > Window*w.period {
			delete(w.nodes, id)
		}
	}
}

// Tally is what is to be told of a node, with the good outcomes of the last so many periods.
func (w *Witness) Tally(now Micros, node uint64, periods int) Tally {
	n := w.nodes[node]
	if n == nil {
		return Tally{}
	}
	short := func(x int) uint16 { return uint16(min(x, 1<<16-1)) }
	n.turn(w.slot(now))
	good := 0
	from := w.slot(now-Micros(periods)*w.period) + 1 // whole slots
	for i := max(0, n.newest-slots+1, from); i <= n.newest; i++ {
		good += int(n.good[i%slots])
	}
	if n.bad+n.late == 0 {
		return Tally{Good: short(good)}
	}
	return Tally{Good: short(max(good, n.well)), Bad: short(n.bad), Late: short(n.late),
		FirstBadAge: short(int((now - n.first) / w.period))}
}

// FailingNodes are the nodes with bad outcomes of late, by id.
func (w *Witness) FailingNodes() (ids []uint64) {
	for id, n := range w.nodes {
		if n.bad+n.late > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Sound tells that this member's word counts: where more than half of the nodes that it has met of late seem
// sick to it, its own links are, or all are overloaded.
func (w *Witness) Sound(now Micros) bool {
	met, sick := 0, 0
	for id := range w.nodes {
		met++
		if t := w.Tally(now, id, 0); t.sick() {
			sick++
		}
	}
	return 2*sick <= met
}
