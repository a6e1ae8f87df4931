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

// appendPart appends one part to an encoded call, with the time that is left for it.
func appendPart(b []byte, a *core.Attempt, wait time.Duration) []byte {
	b = fmt.Appendf(b, "%s %d d=%d", wireID(a), a.Shard, max(1, wait.Milliseconds()))
	if a.Query.Key != "" {
		b = fmt.Appendf(b, ",k=%s", a.Query.Key)
	}
	b = fmt.Appendf(b, " %d\n", len(a.Query.Payload))
	return append(b, a.Query.Payload...)
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
func (c *nodeConn) dialAndWrite() {
	conn, err := net.DialTimeout("tcp", c.addr, c.backend.cfg.Load().DialTimeout)
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
	for {
		call, ok := w.firstCall()
		if !ok {
			return nil
		}
		w.checkedAt = time.Now() // read after the lock, which may be contended
		writes := w.beginWrites(call)
		message, unwanted, same := w.encodeFirst(call, writes)
		for _, a := range unwanted {
			a.EndWrite(w.conn)
		}
		if same {
			return message
		}
	}
}

// firstCall returns the call of the first frame; nil: it is of another kind. It returns false if there is
// no frame.
func (w *frameWriter) firstCall() (call []*core.Attempt, ok bool) {
	c := w.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	w.writing, w.hasFrame = nil, false
	if c.closed || len(c.frames) == 0 {
		return nil, false
	}
	return c.frames[0].call, true
}

// partWrite is the begun write of a part, or why it may not begin.
type partWrite struct {
	attempt *core.Attempt
	wait    time.Duration
	hold    core.HoldReason
}

// beginWrites begins the writes of a call's parts. It must not hold the connection's lock: it asks the system
// about the clients, the thread may be held up in that, and the core takes the lock.
func (w *frameWriter) beginWrites(call []*core.Attempt) []partWrite {
	writes := make([]partWrite, len(call))
	for i, a := range call {
		wait, hold := a.BeginWrite(w.conn, w.checkedAt)
		writes[i] = partWrite{a, wait, hold}
	}
	return writes
}

// encodeFirst encodes the first frame with those of its parts that are still pending and may begin. The other
// begun writes are returned as unwanted. same is false if another frame has become the first one meanwhile.
func (w *frameWriter) encodeFirst(call []*core.Attempt, writes []partWrite) (message []byte,
	unwanted []*core.Attempt, same bool) {
	c := w.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.frames) == 0 || !sameCall(c.frames[0].call, call) {
		for _, x := range writes {
			if x.hold == core.NoHold {
				unwanted = append(unwanted, x.attempt)
			}
		}
		return nil, unwanted, c.closed || len(c.frames) == 0
	}
	f := &c.frames[0]
	if f.call == nil {
		w.buf = append(w.buf[:0], f.payload...)
	} else {
		unwanted = w.encodeCall(f, writes)
	}
	if f.started = len(f.call) > 0 || f.payload != nil; !f.started {
		c.queuedBytes -= f.size
		c.frames = c.frames[1:]
		return nil, unwanted, true
	}
	w.hasFrame, c.writing = true, true
	c.writes++
	return w.buf, unwanted, true
}

// sameCall reports whether two calls are the same one: a call's list of parts does not change before its
// write.
func sameCall(a, b []*core.Attempt) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// encodeCall encodes a frame's call and keeps those of its parts that are written. The caller holds mu.
func (w *frameWriter) encodeCall(f *frame, writes []partWrite) (unwanted []*core.Attempt) {
	c := w.conn
	w.buf = append(w.buf[:0], 0, 0, 0, 0, '1')
	f.call = nil
	for _, x := range writes {
		begun := x.hold == core.NoHold
		pending := c.pending[wireID(x.attempt)] == x.attempt
		if begun && c.node.draining.Load() {
			x.hold = core.HoldDraining
		}
		switch {
		case pending && x.hold == core.NoHold:
			w.buf = appendPart(w.buf, x.attempt, x.wait)
			f.call = append(f.call, x.attempt)
			continue
		case pending:
			delete(c.pending, wireID(x.attempt))
			w.held = append(w.held, heldAttempt{x.attempt, x.hold})
		}
		if begun {
			unwanted = append(unwanted, x.attempt)
		}
	}
	binary.LittleEndian.PutUint32(w.buf, uint32(len(w.buf)-4))
	w.writing = f.call
	c.inFlight = c.countCalls()
	return unwanted
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
