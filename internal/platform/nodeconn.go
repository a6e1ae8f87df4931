package platform

// The state of one connection to a data node: what is queued on it, who waits for an answer, and how attempts
// end with it.

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
)

// nodeConn is one connection to a data node. Its writer goroutine dials and writes; its reader reads.
type nodeConn struct {
	n       *Nodes
	node    *node
	socket  net.Conn   // c, set before the writer writes
	mu      sync.Mutex // guards all below
	frames  []frame
	booked  int             // bytes of the frames
	torn    []*core.Attempt // out in a frame that was being written as the connection ended
	why     error           // it ended for
	waiting map[string]*core.Attempt
	given   map[string]time.Time // written and then given up: an answer may come all the same
	written map[string]time.Time // when the parts that wait were written
	owed    time.Time            // since when it owes an answer and nothing has come; zero: it owes none
	doubt   time.Time            // when another connection first outlived it
	probes  []*probe             // probes out, in their order
	calls   int                  // calls with a part that waits
	up      bool
	dead    bool
	retired bool // takes nothing new
	used    time.Time
	opened  time.Time
	wake    chan struct{}
	c       net.Conn
	trying  bool   // the writer is in the system calls for the first frame: not all of it is out
	tries   uint64 // frames that were tried so far
}

// probe is one probe that is out. An overdue one stays in its place, for its answer bears no name.
type probe struct {
	at   time.Time
	over bool
}

// frame is what the writer has to write. A call is worded when it begins, as the time that it tells is what
// is left by then; what is not begun can still be taken back, part by part.
type frame struct {
	call  []*core.Attempt // nil for a cancel or a probe
	text  []byte          // of a cancel or a probe
	probe *probe          // of a probe
	size  int             // booked of outLimit
	begun bool            // the writer has it: only that knows whether its last byte goes out
}

// retire lets a connection take nothing new: it ends now if nothing is out on it, else after that.
func (c *nodeConn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.poke()
}

// poke has the writer look at the connection again.
func (c *nodeConn) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// giveUp remembers that an answer to a part may still come. Of those that never came the oldest are
// forgotten.
func (c *nodeConn) giveUp(id string) {
	if len(c.given) >= givenMost {
		oldest, since := "", time.Time{}
		for k, at := range c.given {
			if oldest == "" || at.Before(since) {
				oldest, since = k, at
			}
		}
		delete(c.given, oldest)
	}
	c.given[id] = time.Now()
}

// queue appends a frame to what the writer has to write. One that is closing takes no call and no probe.
func (c *nodeConn) queue(f frame) (ok, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead || c.retired && (f.call != nil || f.probe != nil) {
		return false, true
	}
	if c.booked+f.size > outLimit {
		return false, false
	}
	c.booked += f.size
	c.frames = append(c.frames, f)
	for _, a := range f.call {
		c.waiting[wireID(a)] = a
	}
	if f.call != nil {
		c.calls = c.count()
	}
	if p := f.probe; p != nil {
		c.probes = append(c.probes, p)
		time.AfterFunc(c.n.conf.Load().DialTimeout, func() { c.probeDone(p, balance.TimedOut, nil) })
	}
	c.used = time.Now()
	c.poke()
	return true, false
}

// count is the number of calls out. With one part a call, as here, that is the parts that wait; parts that
// share a call are counted one by one, which opens a further connection sooner than needed, never later.
func (c *nodeConn) count() int { return len(c.waiting) }

// queued tells that an attempt's frame is not begun.
func (c *nodeConn) queued(a *core.Attempt) bool {
	for _, f := range c.frames {
		for _, x := range f.call {
			if x == a && !f.begun {
				return true
			}
		}
	}
	return false
}

// isTrying tells that an attempt is in the system call that the writer is in. The caller holds mu.
func (c *nodeConn) isTrying(a *core.Attempt) bool {
	return c.trying && len(c.frames) > 0 && slices.Contains(c.frames[0].call, a)
}

// unqueue takes an attempt back, and its call where nothing else in it is wanted, if it is not begun.
func (c *nodeConn) unqueue(a *core.Attempt) bool {
	c.calls = c.count()
	if !c.queued(a) {
		return false
	}
	c.filterQueue(func(f *frame) bool {
		wanted := f.call == nil
		for _, x := range f.call {
			wanted = wanted || c.waiting[wireID(x)] == x
		}
		return wanted
	})
	return true
}

// filterQueue drops the frames that are not begun and not wanted.
func (c *nodeConn) filterQueue(wanted func(*frame) bool) {
	c.frames = slices.DeleteFunc(c.frames, func(f frame) bool {
		drop := !f.begun && !wanted(&f)
		if drop {
			c.booked -= f.size
			c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool { return p == f.probe })
		}
		return drop
	})
}

// broken is how an attempt ended on a connection that has, by whether its frame was written whole. Closed
// while idle, a connection says nothing of its node.
func (c *nodeConn) broken(written bool) balance.Outcome {
	switch {
	case !written && c.why == nil:
		return balance.NotSent
	case !written:
		return balance.NoConnection
	case errors.Is(c.why, errSpoilt):
		return balance.Malformed
	}
	return balance.Reset
}

// end closes the connection and tells how its attempts ended: those whose frame's last byte was not written
// have never run, the others may have.
func (c *nodeConn) end(err error) {
	c.n.mu.Lock()
	for i, x := range c.node.conns {
		if x == c {
			c.node.conns = append(c.node.conns[:i], c.node.conns[i+1:]...)
			break
		}
	}
	if x := c.node; x.gone && len(x.conns) == 0 && c.n.nodes[x.id] == x {
		delete(c.n.nodes, x.id)
	}
	c.n.mu.Unlock()
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return
	}
	c.dead, c.why = true, err
	conn, waiting, probes, up := c.c, c.waiting, c.probes, c.up
	unsent := map[*core.Attempt]bool{}
	for _, f := range c.frames {
		for _, a := range f.call {
			if unsent[a] = true; f.begun && waiting[wireID(a)] == a {
				delete(waiting, wireID(a)) // the writer tells how it ended
				c.torn = append(c.torn, a)
			}
		}
	}
	whole, not := c.broken(true), c.broken(false)
	c.waiting, c.given, c.written, c.frames, c.probes = nil, nil, nil, nil, nil
	c.mu.Unlock()
	c.poke()
	if conn != nil {
		lnet.AbortAndClose(conn)
	}
	c.n.budget.Release()
	if err != nil {
		c.n.log.Info("connection to a node ended", "node", c.node.name, "up", up, "parts", len(waiting),
			"age", time.Since(c.opened), "err", err)
	}
	for _, a := range waiting {
		o := whole
		if unsent[a] {
			o = not
		}
		c.n.post(core.AttemptDone{Attempt: a, Outcome: o})
	}
	for _, p := range probes {
		o := whole
		if !up {
			o = balance.NoConnection
		}
		c.probeDone(p, o, nil)
	}
}

// probeDone tells how a probe ended, once.
func (c *nodeConn) probeDone(p *probe, o balance.Outcome, report []float32) {
	c.mu.Lock()
	over := p.over
	p.over = true
	c.mu.Unlock()
	if !over {
		c.n.post(core.ProbeDone{Replica: c.node.id, Outcome: o, Elapsed: time.Since(p.at), Report: report})
	}
}
