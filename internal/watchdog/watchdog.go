// Package watchdog notices system calls that do not return because their thread is held up. Whoever makes
// such a call says so before and behind it; neither waits, reads a clock or sets a timer, as what comes
// between a decision and its system call delays it.
package watchdog

import (
	"sync"
	"time"
)

// Tick is the time between two looks at the calls under way.
const Tick = 25 * time.Millisecond

// Call is a call under way.
type Call struct {
	held  func(ticks int)
	looks int // at which it was under way
}

// Watchdog looks at the calls under way, as long as there are any. Its zero value is ready for use.
type Watchdog struct {
	mu      sync.Mutex // guards all
	calls   map[*Call]struct{}
	running bool
}

// Begin says that a call is about to be made. At each look that finds it under way again, held is called
// with how many whole ticks it has lasted for certain, on a goroutine of its own, as it may be held up,
// too. By then the call may just have ended.
func (w *Watchdog) Begin(held func(ticks int)) *Call {
	c := &Call{held: held}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = map[*Call]struct{}{}
	}
	w.calls[c] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
	return c
}

// End says that a call has returned.
func (w *Watchdog) End(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c)
}

// run looks at the calls until there are none.
func (w *Watchdog) run() {
	for {
		time.Sleep(Tick)
		held, more := w.look()
		for _, c := range held {
			go c.held(c.looks - 1)
		}
		if !more {
			return
		}
	}
}

// look returns the calls that were under way at the last look, too, and whether there are any.
func (w *Watchdog) look() (held []*Call, more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.calls {
		if c.looks++; c.looks > 1 {
			held = append(held, c)
		}
	}
	w.running = len(w.calls) > 0
	return held, w.running
}
