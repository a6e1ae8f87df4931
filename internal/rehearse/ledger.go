package rehearse

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// ledger is one emulated data node: so many parts are worked on at a time, so many wait, more are turned
// away; what has been taken is worked off, whether or not anybody still waits for it.
type ledger struct {
	conf    Ledger
	slots   chan struct{}
	waiting atomic.Int64
	mu      sync.Mutex // guards rng, mode and by
	rng     *rand.Rand
	mode    string
	by      float64

	full, done atomic.Int64
}

func newLedger(conf Ledger, seed uint64) *ledger {
	return &ledger{conf: conf, slots: make(chan struct{}, conf.Slots), by: 1,
		rng: rand.New(rand.NewPCG(seed, 5))}
}

// set scripts a failure: slow, fail, deaf or sound.
func (l *ledger) set(mode string, by float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode, l.by = mode, 1; mode == "slow" {
		l.by = by
	}
}

// draw is how long a part takes, and what is wrong with the node.
func (l *ledger) draw() (time.Duration, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	work := l.conf.WorkMS * l.by
	if !l.conf.Fixed { // half of it always, the rest spread as waiting for a disk is
		work *= 0.5 + 0.5*l.rng.ExpFloat64()
	}
	return time.Duration(work * float64(time.Millisecond)), l.mode
}

// serve works on a part, and returns the letter that ends it.
func (l *ledger) serve() string {
	work, mode := l.draw()
	switch mode {
	case "fail":
		return "E"
	case "deaf":
		return ""
	}
	if l.waiting.Add(1) > int64(l.conf.Queue+l.conf.Slots) {
		l.waiting.Add(-1)
		l.full.Add(1)
		return "B"
	}
	l.slots <- struct{}{}
	time.Sleep(work)
	<-l.slots
	l.waiting.Add(-1)
	l.done.Add(1)
	return "S"
}
