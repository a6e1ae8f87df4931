package platform

// The writer of a connection to a data node: it alone puts bytes out, and knows whether an attempt's last
// byte went.

import (
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/delay"
	lnet "lapislever/internal/net"
)

// heldAttempt is an attempt that may not begin, and why.
type heldAttempt struct {
	attempt *core.Attempt
	why     core.HoldReason
}

// encodeCall encodes a call as it is at this moment, with those of its parts that are still waited for and
// may begin. For each of these a write has begun (Attempt.BeginWrite). held are those that may not begin.
func (c *nodeConn) encodeCall(b []byte, call []*core.Attempt, now time.Time) (frame []byte,
	carried []*core.Attempt, held []heldAttempt) {
	b = append(b[:0], 0, 0, 0, 0, '1')
	for _, a := range call {
		id := wireID(a)
		if c.waiting[id] != a {
			continue
		}
		wait, hold := time.Duration(0), core.HoldDraining
		if !c.node.draining.Load() {
			wait, hold = a.BeginWrite(c, now)
		}
		if hold != core.NoHold {
			held = append(held, heldAttempt{a, hold})
			continue
		}
		b = fmt.Appendf(b, "%s %d d=%d", id, a.Shard, max(1, wait.Milliseconds()))
		if a.Query.Key != "" {
			b = fmt.Appendf(b, ",k=%s", a.Query.Key)
		}
		b = fmt.Appendf(b, " %d\n", len(a.Query.Payload))
		b = append(b, a.Query.Payload...)
		carried = append(carried, a)
	}
	binary.LittleEndian.PutUint32(b, uint32(len(b)-4))
	return b, carried, held
}

// callSize is what a call takes at most.
func callSize(call []*core.Attempt) int {
	n := 5
	for _, a := range call {
		n += len(a.Query.Name) + len(a.Query.Key) + len(a.Query.Payload) + partSlack
	}
	return n
}

// write dials and then writes.
func (c *nodeConn) write(addr string) {
	conn, err := net.DialTimeout("tcp", addr, c.n.conf.Load().DialTimeout)
	if err != nil {
		c.end(err)
		return
	}
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		_ = conn.Close()
		return
	}
	c.c, c.socket, c.up = conn, conn, true
	c.mu.Unlock()
	go c.read(conn)
	c.writeLoop(conn)
}

// writeLoop writes frame by frame, each within its limit, so that a node that does not read holds up nothing
// but its own connection.
func (c *nodeConn) writeLoop(conn net.Conn) {
	limit := time.Duration(idleShare * float64(c.n.conf.Load().ConnIdle))
	idle := time.NewTimer(limit)
	defer idle.Stop()
	w := &frameWriter{c: c}
	socket := lnet.NewSocket(conn, writeLimit)
	for {
		c.mu.Lock()
		if c.dead {
			c.mu.Unlock()
			return
		}
		if len(c.frames) == 0 {
			quiet := time.Since(c.used)
			empty := len(c.waiting) == 0 && len(c.probes) == 0
			if empty && (quiet >= limit || c.retired) {
				c.retired = true
				c.mu.Unlock()
				c.end(nil)
				return
			}
			c.mu.Unlock()
			idle.Reset(max(limit-quiet, 100*time.Millisecond))
			select {
			case <-c.wake:
			case <-idle.C:
			}
			continue
		}
		c.mu.Unlock()
		err := socket.WriteMessage(w.begin, w.tried)
		if w.finish(err) {
			return
		}
	}
}

// frameWriter writes the first frame of a connection's queue. Only its writer goroutine uses it.
type frameWriter struct {
	c       *nodeConn
	buf     []byte
	carried []*core.Attempt // with a write under way
	began   time.Time       // when these were last found to be allowed to begin
	held    []heldAttempt   // that may not begin any more, and of which the core has not heard
	written bool            // begin has found something to write
}

// begin encodes the frame as it is to be at this moment, just before the system call, and begins the writes
// of its parts. It returns nil where there is nothing to write.
func (w *frameWriter) begin() []byte {
	c := w.c
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now() // behind the lock, which may have to be waited for
	w.carried, w.written, w.began = nil, false, now
	if c.dead || len(c.frames) == 0 {
		return nil
	}
	f := &c.frames[0]
	if f.call != nil {
		var held []heldAttempt
		w.buf, f.call, held = c.encodeCall(w.buf, f.call, now)
		w.carried = f.call
		for _, h := range held {
			delete(c.waiting, wireID(h.attempt))
		}
		w.held = append(w.held, held...)
		c.calls = c.count()
	} else {
		w.buf = append(w.buf[:0], f.text...)
	}
	if f.begun = len(f.call) > 0 || f.text != nil; !f.begun {
		c.booked -= f.size
		c.frames = c.frames[1:]
		return nil
	}
	w.written, c.trying = true, true
	c.tries++
	return w.buf
}

// abortWrite aborts the system call that the writer is in, if it has still not returned after the time given.
// What is in it must not go out any more by then: its thread may be held up. The caller holds mu.
func (c *nodeConn) abortWrite(after time.Duration) {
	call := c.tries
	time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.trying && c.tries == call && !c.dead {
			c.Abort()
		}
	})
}

// tried ends the writes of the frame's parts. Where no byte has gone out the frame is as one that was never
// begun: its parts may be taken back while the system takes nothing.
func (w *frameWriter) tried(out bool) {
	for _, a := range w.carried {
		a.EndWrite(w.c)
	}
	w.c.mu.Lock()
	if w.c.trying = false; !out && len(w.c.frames) > 0 {
		w.c.frames[0].begun = false
	}
	w.c.mu.Unlock()
	w.tellHeld()
}

// tellHeld tells the core of parts that never ran.
func (w *frameWriter) tellHeld() {
	for _, h := range w.held {
		w.c.n.post(core.AttemptDone{Attempt: h.attempt, Outcome: balance.NotSent})
	}
	for _, h := range w.held {
		w.c.n.log.Info("attempt not begun", "node", w.c.node.name, "part", wireID(h.attempt), "why", string(h.why))
	}
	w.held = nil
}

// finish books how the write has ended, and tells whether the connection has.
func (w *frameWriter) finish(err error) bool {
	w.tellHeld()
	switch {
	case err != nil:
	case w.written:
		w.c.n.count.AttemptsSent.Add(int64(len(w.carried)))
		w.noteDelay(time.Now())
	case w.c.ended(): // while the system took nothing
		err = net.ErrClosed
	default:
		return false // what there was to write has been taken back
	}
	return w.c.markWritten(err)
}

// noteDelay records a call that was written late.
func (w *frameWriter) noteDelay(now time.Time) {
	if took := now.Sub(w.began); took >= delay.Threshold && len(w.carried) > 0 {
		w.c.n.delays.Record(delay.Attempt, took, "node", w.c.node.name, "part", wireID(w.carried[0]),
			"parts", len(w.carried))
	}
}

func (c *nodeConn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead
}

// Abort makes it impossible that the connection's writer puts out another byte.
func (c *nodeConn) Abort() {
	lnet.Abort(c.socket)
	c.n.log.Warn("write aborted: its request is over and the writer was held", "node", c.node.name)
}

// markWritten books that the frame which the writer has begun is out, or that it never will be, and tells
// whether the connection has ended. Only the writer knows: while its last byte may just be going out nobody
// else says whether the frame's parts may have run.
func (c *nodeConn) markWritten(err error) bool {
	c.mu.Lock()
	if c.dead {
		o := c.broken(err == nil)
		torn := c.torn
		c.torn = nil
		c.mu.Unlock()
		for _, a := range torn {
			c.n.post(core.AttemptDone{Attempt: a, Outcome: o})
		}
		return true
	}
	if err != nil {
		if len(c.frames) > 0 {
			c.frames[0].begun = false
		}
		c.mu.Unlock()
		c.end(err)
		return true
	}
	c.used = time.Now() // from here on the frame's parts may have run
	for _, a := range c.frames[0].call {
		if id := wireID(a); c.waiting[id] == a {
			c.written[id] = c.used
		}
		if c.owed.IsZero() {
			c.owed = c.used
		}
	}
	c.booked -= c.frames[0].size
	c.frames = c.frames[1:]
	c.mu.Unlock()
	return false
}
