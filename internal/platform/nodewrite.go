package platform

// The write loop of a connection to a data node: only the writer sends bytes and knows whether an
// attempt's last byte was sent.

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

// heldAttempt is an attempt that may not begin, and the reason.
type heldAttempt struct {
	attempt *core.Attempt
	reason  core.HoldReason
}

// encodeCall encodes a call as of now, with those of its parts that are still pending and may begin. For
// each of these a write has begun (Attempt.BeginWrite). It returns as held those that may not begin.
func (c *nodeConn) encodeCall(b []byte, call []*core.Attempt, now time.Time) (frame []byte,
	encoded []*core.Attempt, held []heldAttempt) {
	b = append(b[:0], 0, 0, 0, 0, '1')
	for _, a := range call {
		id := wireID(a)
		if c.pending[id] != a {
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
		encoded = append(encoded, a)
	}
	binary.LittleEndian.PutUint32(b, uint32(len(b)-4))
	return b, encoded, held
}

// callSize returns the largest size of an encoded call.
func callSize(call []*core.Attempt) int {
	n := 5
	for _, a := range call {
		n += len(a.Query.Name) + len(a.Query.Key) + len(a.Query.Payload) + partOverhead
	}
	return n
}

// dialAndWrite dials and then runs the write loop.
func (c *nodeConn) dialAndWrite(addr string) {
	conn, err := net.DialTimeout("tcp", addr, c.backend.cfg.Load().DialTimeout)
	if err != nil {
		c.close(err)
		return
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		_ = conn.Close()
		return
	}
	c.conn, c.writeConn, c.connected = conn, conn, true
	c.mu.Unlock()
	go c.readLoop(conn)
	c.writeLoop(conn)
}

// writeLoop writes the frames one by one, each within its time limit, so that a node that does not read
// only blocks its own connection.
func (c *nodeConn) writeLoop(conn net.Conn) {
	limit := time.Duration(idleShare * float64(c.backend.cfg.Load().ConnIdle))
	idle := time.NewTimer(limit)
	defer idle.Stop()
	w := &frameWriter{conn: c}
	socket := lnet.NewSocket(conn, writeTimeout)
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return
		}
		if len(c.frames) == 0 {
			quiet := time.Since(c.lastUsed)
			empty := len(c.pending) == 0 && len(c.probes) == 0
			if empty && (quiet >= limit || c.retired) {
				c.retired = true
				c.mu.Unlock()
				c.close(nil)
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
		err := socket.WriteMessage(w.begin, w.endWrites)
		if w.finish(err) {
			return
		}
	}
}

// frameWriter writes the first frame of a connection's queue. Only the writer goroutine uses it.
type frameWriter struct {
	conn      *nodeConn
	buf       []byte
	writing   []*core.Attempt // with a write in progress
	checkedAt time.Time       // when they were last checked and allowed to begin
	held      []heldAttempt   // may not begin any more, and not reported to the core yet
	hasFrame  bool            // begin returned something to write
}

// begin encodes the frame just before the system call and begins the writes of its parts. It returns nil
// if there is nothing to write.
func (w *frameWriter) begin() []byte {
	c := w.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now() // read after the lock, which may be contended
	w.writing, w.hasFrame, w.checkedAt = nil, false, now
	if c.closed || len(c.frames) == 0 {
		return nil
	}
	f := &c.frames[0]
	if f.call != nil {
		var held []heldAttempt
		w.buf, f.call, held = c.encodeCall(w.buf, f.call, now)
		w.writing = f.call
		for _, h := range held {
			delete(c.pending, wireID(h.attempt))
		}
		w.held = append(w.held, held...)
		c.inFlight = c.countCalls()
	} else {
		w.buf = append(w.buf[:0], f.payload...)
	}
	if f.started = len(f.call) > 0 || f.payload != nil; !f.started {
		c.queuedBytes -= f.size
		c.frames = c.frames[1:]
		return nil
	}
	w.hasFrame, c.writing = true, true
	c.writes++
	return w.buf
}

// abortWriteAfter aborts the writer's current system call if it has not returned after the given time. Its
// frame must not be sent any later, and its thread may be suspended. The caller holds mu.
func (c *nodeConn) abortWriteAfter(after time.Duration) {
	call := c.writes
	time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.writing && c.writes == call && !c.closed {
			c.Abort()
		}
	})
}

// endWrites ends the writes of the frame's parts. If no byte was sent, the frame counts as not started:
// its parts may be withdrawn while the socket accepts nothing.
func (w *frameWriter) endWrites(sent bool) {
	for _, a := range w.writing {
		a.EndWrite(w.conn)
	}
	w.conn.mu.Lock()
	if w.conn.writing = false; !sent && len(w.conn.frames) > 0 {
		w.conn.frames[0].started = false
	}
	w.conn.mu.Unlock()
	w.reportHeld()
}

// reportHeld tells the core of parts that never ran.
func (w *frameWriter) reportHeld() {
	for _, h := range w.held {
		w.conn.backend.post(core.AttemptDone{Attempt: h.attempt, Outcome: balance.NotSent})
	}
	for _, h := range w.held {
		w.conn.backend.log.Info("attempt not begun", "node", w.conn.node.name, "part", wireID(h.attempt),
			"why", string(h.reason))
	}
	w.held = nil
}

// finish records how the write ended, and reports whether the connection has ended.
func (w *frameWriter) finish(err error) bool {
	w.reportHeld()
	switch {
	case err != nil:
	case w.hasFrame:
		w.conn.backend.counts.AttemptsSent.Add(int64(len(w.writing)))
		w.recordDelay(time.Now())
	case w.conn.isClosed(): // while the socket accepted nothing
		err = net.ErrClosed
	default:
		return false // the frame was withdrawn
	}
	return w.conn.markWritten(err)
}

// recordDelay records a call that was written late.
func (w *frameWriter) recordDelay(now time.Time) {
	if took := now.Sub(w.checkedAt); took >= delay.Threshold && len(w.writing) > 0 {
		w.conn.backend.delays.Record(delay.Attempt, took, "node", w.conn.node.name, "part", wireID(w.writing[0]),
			"parts", len(w.writing))
	}
}

func (c *nodeConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Abort makes sure that the connection's writer sends no further byte.
func (c *nodeConn) Abort() {
	lnet.Abort(c.writeConn)
	c.backend.log.Warn("write aborted: its request is over and the writer was held", "node", c.node.name)
}

// markWritten records that the frame which the writer started was sent, or never will be, and reports
// whether the connection has ended. Only the writer knows: while the last byte may be in transit nobody
// else can tell whether the frame's parts may have run.
func (c *nodeConn) markWritten(err error) bool {
	c.mu.Lock()
	if c.closed {
		outcome := c.outcomeAfterClose(err == nil)
		interrupted := c.interrupted
		c.interrupted = nil
		c.mu.Unlock()
		for _, a := range interrupted {
			c.backend.post(core.AttemptDone{Attempt: a, Outcome: outcome})
		}
		return true
	}
	if err != nil {
		if len(c.frames) > 0 {
			c.frames[0].started = false
		}
		c.mu.Unlock()
		c.close(err)
		return true
	}
	c.lastUsed = time.Now() // from here on the frame's parts may have run
	for _, a := range c.frames[0].call {
		if id := wireID(a); c.pending[id] == a {
			c.writtenAt[id] = c.lastUsed
		}
		if c.owedSince.IsZero() {
			c.owedSince = c.lastUsed
		}
	}
	c.queuedBytes -= c.frames[0].size
	c.frames = c.frames[1:]
	c.mu.Unlock()
	return false
}
