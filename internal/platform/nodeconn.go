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
	backend      *Nodes
	node         *node
	addr         string
	writeConn    net.Conn   // the same as conn, set before the writer starts
	mu           sync.Mutex // guards all below
	frames       []frame
	queuedBytes  int             // size of the frames in the queue
	interrupted  []*core.Attempt // in a frame that was being written as the connection ended
	endErr       error           // reason for the end; nil: closed while idle
	pending      map[string]*core.Attempt
	abandoned    map[string]time.Time // written and then cancelled: an answer may still arrive
	writtenAt    map[string]time.Time // when the pending parts were written
	owedSince    time.Time            // since when an answer is due and nothing has arrived; zero: none is due
	suspectSince time.Time            // when an answer on another connection raised doubt
	probes       []*probe             // in flight, oldest first
	inFlight     int                  // calls with a pending part
	connected    bool
	closed       bool
	retired      bool // accepts no new frames
	lastUsed     time.Time
	openedAt     time.Time
	wake         chan struct{}
	conn         net.Conn
	writing      bool   // the writer is in the system calls for the first frame, which is not written completely
	writes       uint64 // writes started so far
}

// probe is one probe in flight. An expired one stays in its place, as answers to probes carry no name.
type probe struct {
	sentAt time.Time
	done   bool
}

// frame is an entry of the writer's queue. A call is encoded when its write starts, because it carries the
// time that is left by then. What has not started can still be withdrawn, part by part.
type frame struct {
	call    []*core.Attempt // nil for a cancellation or a probe
	payload []byte          // of a cancellation or a probe
	probe   *probe          // of a probe
	size    int             // bytes counted towards maxQueuedBytes
	started bool            // the writer has it: only the writer knows whether its last byte is sent
}

// retire stops a connection from taking new frames. It ends at once if nothing is in flight, otherwise
// after that.
func (c *nodeConn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.wakeWriter()
}

// wakeWriter makes the writer check the connection's state again.
func (c *nodeConn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// markAbandoned records that an answer to a cancelled part may still arrive. Beyond maxAbandoned the
// oldest record is dropped.
func (c *nodeConn) markAbandoned(id string) {
	if len(c.abandoned) >= maxAbandoned {
		oldest, oldestAt := "", time.Time{}
		for k, at := range c.abandoned {
			if oldest == "" || at.Before(oldestAt) {
				oldest, oldestAt = k, at
			}
		}
		delete(c.abandoned, oldest)
	}
	c.abandoned[id] = time.Now()
}

// enqueue appends a frame to the writer's queue. A connection that is closing takes no call and no probe.
func (c *nodeConn) enqueue(f frame) (ok, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.retired && (f.call != nil || f.probe != nil) {
		return false, true
	}
	if c.queuedBytes+f.size > maxQueuedBytes {
		return false, false
	}
	c.queuedBytes += f.size
	c.frames = append(c.frames, f)
	for _, a := range f.call {
		c.pending[wireID(a)] = a
	}
	if f.call != nil {
		c.inFlight = c.countCalls()
	}
	if p := f.probe; p != nil {
		c.probes = append(c.probes, p)
		time.AfterFunc(c.backend.cfg.Load().DialTimeout, func() { c.finishProbe(p, balance.TimedOut, nil) })
	}
	c.lastUsed = time.Now()
	c.wakeWriter()
	return true, false
}

// countCalls returns the number of calls in flight. With one part a call, as here, it is the number of
// pending parts. Parts that share a call are counted one by one, which opens another connection sooner
// than needed but never later.
func (c *nodeConn) countCalls() int { return len(c.pending) }

// isQueued reports whether the write of an attempt's frame has not started.
func (c *nodeConn) isQueued(a *core.Attempt) bool {
	for _, f := range c.frames {
		for _, x := range f.call {
			if x == a && !f.started {
				return true
			}
		}
	}
	return false
}

// isWriting reports whether an attempt is in the writer's current system call. The caller holds mu.
func (c *nodeConn) isWriting(a *core.Attempt) bool {
	return c.writing && len(c.frames) > 0 && slices.Contains(c.frames[0].call, a)
}

// dequeue withdraws an attempt whose write has not started, and its call if no other part in it is wanted.
func (c *nodeConn) dequeue(a *core.Attempt) bool {
	c.inFlight = c.countCalls()
	if !c.isQueued(a) {
		return false
	}
	c.filterQueue(func(f *frame) bool {
		wanted := f.call == nil
		for _, x := range f.call {
			wanted = wanted || c.pending[wireID(x)] == x
		}
		return wanted
	})
	return true
}

// filterQueue drops frames that have not started and are no longer wanted.
func (c *nodeConn) filterQueue(wanted func(*frame) bool) {
	c.frames = slices.DeleteFunc(c.frames, func(f frame) bool {
		drop := !f.started && !wanted(&f)
		if drop {
			c.queuedBytes -= f.size
			c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool { return p == f.probe })
		}
		return drop
	})
}

// outcomeAfterClose returns how an attempt ended on a closed connection, depending on whether its frame
// was written completely. A connection that was closed while idle is no evidence about its node.
func (c *nodeConn) outcomeAfterClose(written bool) balance.Outcome {
	switch {
	case !written && c.endErr == nil:
		return balance.NotSent
	case !written:
		return balance.NoConnection
	case errors.Is(c.endErr, errMalformed):
		return balance.Malformed
	}
	return balance.Reset
}

// close closes the connection and reports how its attempts ended: attempts whose last byte was not written
// have never run, the others may have.
func (c *nodeConn) close(err error) {
	c.backend.mu.Lock()
	for i, x := range c.node.conns {
		if x == c {
			c.node.conns = append(c.node.conns[:i], c.node.conns[i+1:]...)
			break
		}
	}
	if x := c.node; x.removed && len(x.conns) == 0 && c.backend.nodes[x.id] == x {
		delete(c.backend.nodes, x.id)
	}
	c.backend.mu.Unlock()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed, c.endErr = true, err
	conn, waiting, probes, up := c.conn, c.pending, c.probes, c.connected
	unsent := map[*core.Attempt]bool{}
	for _, f := range c.frames {
		for _, a := range f.call {
			if unsent[a] = true; f.started && waiting[wireID(a)] == a {
				delete(waiting, wireID(a)) // the writer reports how it ended
				c.interrupted = append(c.interrupted, a)
			}
		}
	}
	ifWritten, ifUnsent := c.outcomeAfterClose(true), c.outcomeAfterClose(false)
	c.pending, c.abandoned, c.writtenAt, c.frames, c.probes = nil, nil, nil, nil, nil
	c.mu.Unlock()
	c.wakeWriter()
	if conn != nil {
		lnet.AbortAndClose(conn)
	}
	c.backend.budget.Release()
	if err != nil {
		c.backend.log.Info("connection to a node ended", "node", c.node.name, "up", up, "parts", len(waiting),
			"age", time.Since(c.openedAt), "err", err)
	}
	for _, a := range waiting {
		outcome := ifWritten
		if unsent[a] {
			outcome = ifUnsent
		}
		c.backend.post(core.AttemptDone{Attempt: a, Outcome: outcome})
	}
	for _, p := range probes {
		outcome := ifWritten
		if !up {
			outcome = balance.NoConnection
		}
		c.finishProbe(p, outcome, nil)
	}
}

// finishProbe reports how a probe ended, once.
func (c *nodeConn) finishProbe(p *probe, outcome balance.Outcome, report []float32) {
	c.mu.Lock()
	done := p.done
	p.done = true
	c.mu.Unlock()
	if !done {
		c.backend.post(core.ProbeDone{Replica: c.node.id, Outcome: outcome, Elapsed: time.Since(p.sentAt),
			Report: report})
	}
}
