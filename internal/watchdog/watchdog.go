// Package watchdog detects system calls that do not return because their thread is held up. The caller
// reports a call before and after it; neither report blocks, reads a clock or sets a timer, because
// anything between a decision and its system call delays the call.
package watchdog

import (
	"sync"
	"time"
)

// Tick is the interval between two scans of the calls in progress.
const Tick = 25 * time.Millisecond

// Call is a call in progress.
type Call struct {
	onHeld func(ticks int)
	scans  int // number of scans that found it in progress
}

// Watchdog scans the calls in progress, as long as there are any. Its zero value is ready to use.
type Watchdog struct {
	mu      sync.Mutex // guards the other fields
	calls   map[*Call]struct{}
	running bool
}

// Begin reports that a call is about to be made. At every scan but the first that finds it in progress,
// held is called with the number of full ticks that it has certainly lasted. This happens in a separate
// goroutine, because held may block too. The call may have ended by then.
func (w *Watchdog) Begin(held func(ticks int)) *Call {
	c := &Call{onHeld: held}
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

// End reports that a call has returned.
func (w *Watchdog) End(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c)
}

// run scans the calls until there are none.
func (w *Watchdog) run() {
	for {
		time.Sleep(Tick)
		held, more := w.scan()
		for _, c := range held {
			go c.onHeld(c.scans - 1)
		}
		if !more {
			return
		}
	}
}

// scan returns the calls that were already in progress at the previous scan, and whether there are any
// calls.
func (w *Watchdog) scan() (held []*Call, more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.calls {
		if c.scans++; c.scans > 1 {
			held = append(held, c)
		}
	}
	w.running = len(w.calls) > 0
	return held, w.running
}
