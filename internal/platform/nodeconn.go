package platform

// The state of one connection to a data node: its queue, the attempts that wait for an answer, and how
// attempts end with the connection.

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

// nodeConn is one connection to a data node. One goroutine dials and then writes, another one reads.
type nodeConn struct {
	n       *Nodes
	node    *node
	socket  net.Conn   // the same as conn, set before the writer starts
	mu      sync.Mutex // guards all below
	frames  []frame
	booked  int             // size of the frames in the queue
	torn    []*core.Attempt // in a frame that was being written as the connection ended
	why     error           // reason for the end; nil: closed while idle
	waiting map[string]*core.Attempt
	given   map[string]time.Time // written and then cancelled: an answer may still arrive
	written map[string]time.Time // when the pending parts were written
	owed    time.Time            // since when an answer is due and nothing has arrived; zero: none is due
	doubt   time.Time            // when a later answer on another connection first raised doubt about this one
	probes  []*probe             // in flight, oldest first
	calls   int                  // calls with a pending part
	up      bool
	dead    bool
	retired bool // accepts no new frames
	used    time.Time
	opened  time.Time
	wake    chan struct{}
	c       net.Conn
	trying  bool   // the writer is in the system calls for the first frame, which is not written completely
	tries   uint64 // writes started so far
}

// probe is one probe in flight. An expired one stays in its place, as answers to probes carry no name.
type probe struct {
	at   time.Time
	over bool
}

// frame is an entry of the writer's queue. A call is encoded when its write starts, because it carries the
// time that is left by then. What has not started can still be withdrawn, part by part.
type frame struct {
	call  []*core.Attempt // nil for a cancellation or a probe
	text  []byte          // of a cancellation or a probe
	probe *probe          // of a probe
	size  int             // bytes counted towards maxQueuedBytes
	begun bool            // the writer has it: only the writer knows whether its last byte is sent
}

// retire stops a connection from taking new frames. It ends at once if nothing is in flight, otherwise
// after that.
func (c *nodeConn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.poke()
}

// wakeWriter makes the writer check the connection's state again.
func (c *nodeConn) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// markAbandoned records that an answer to a cancelled part may still arrive. Beyond maxAbandoned the
// oldest record is dropped.
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

// enqueue appends a frame to the writer's queue. A connection that is closing takes no call and no probe.
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

// countCalls returns the number of calls in flight. With one part a call, as here, it is the number of
// pending parts. Parts that share a call are counted one by one, which opens another connection sooner
// than needed but never later.
func (c *nodeConn) count() int { return len(c.waiting) }

// isQueued reports whether the write of an attempt's frame has not started.
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

// isWriting reports whether an attempt is in the writer's current system call. The caller holds mu.
func (c *nodeConn) isTrying(a *core.Attempt) bool {
	return c.trying && len(c.frames) > 0 && slices.Contains(c.frames[0].call, a)
}

// dequeue withdraws an attempt whose write has not started, and its call if no other part in it is wanted.
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

// filterQueue drops frames that have not started and are no longer wanted.
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

// outcomeAfterClose returns how an attempt ended on a closed connection, depending on whether its frame
// was written completely. A connection that was closed while idle is no evidence about its node.
func (c *nodeConn) broken(written bool) balance.Outcome {
	switch {
	case !written && c.why == nil:
		return balance.NotSent
	case !written:
		return balance.NoConnection
	case errors.Is(c.why, errSpoilt):
		return balance.Spoilt
	}
	return balance.Reset
}

// close closes the connection and reports how its attempts ended: attempts whose last byte was not written
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
				delete(waiting, wireID(a)) // the writer reports how it ended
				c.torn = append(c.torn, a)
			}
		}
	}
	whole, not := c.broken(true), c.broken(false)
	c.waiting, c.given, c.written, c.frames, c.probes = nil, nil, nil, nil, nil
	c.mu.Unlock()
	c.poke()
	if conn != nil {
		lnet.Cut(conn)
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
		c.n.post(core.Outcome{Attempt: a, Outcome: o})
	}
	for _, p := range probes {
		o := whole
		if !up {
			o = balance.NoConnection
		}
		c.probeDone(p, o, nil)
	}
}

// finishProbe reports how a probe ended, once.
func (c *nodeConn) probeDone(p *probe, o balance.Outcome, report []float32) {
	c.mu.Lock()
	over := p.over
	p.over = true
	c.mu.Unlock()
	if !over {
		c.n.post(core.ProbeDone{Replica: c.node.id, Outcome: o, Elapsed: time.Since(p.at), Report: report})
	}
}
