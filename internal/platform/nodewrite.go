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
	why     core.Hold
}

// encodeCall encodes a call as of now, with those of its parts that are still pending and may begin. For
// each of these a write has begun (Attempt.BeginWrite). It returns as held those that may not begin.
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
		if hold != core.MayBegin {
			held = append(held, heldAttempt{a, hold})
			continue
		}
		b = fmt.Appendf(b, "%s %d d=%d", id, a.Shard, max(1, wait.Milliseconds()))
		if a.Query.Key != "" {
			b = fmt.Appendf(b, ",k=%s", a.Query.Key)
		}
		b = fmt.Appendf(b, " %d\n", len(a.Query.Text))
		b = append(b, a.Query.Text...)
		carried = append(carried, a)
	}
	binary.LittleEndian.PutUint32(b, uint32(len(b)-4))
	return b, carried, held
}

// callSize returns the largest size of an encoded call.
func callSize(call []*core.Attempt) int {
	n := 5
	for _, a := range call {
		n += len(a.Query.Name) + len(a.Query.Key) + len(a.Query.Text) + partSlack
	}
	return n
}

// dialAndWrite dials and then runs the write loop.
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

// writeLoop writes the frames one by one, each within its time limit, so that a node that does not read
// only blocks its own connection.
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

// frameWriter writes the first frame of a connection's queue. Only the writer goroutine uses it.
type frameWriter struct {
	c       *nodeConn
	buf     []byte
	carried []*core.Attempt // with a write in progress
	began   time.Time       // when they were last checked and allowed to begin
	held    []heldAttempt   // may not begin any more, and not reported to the core yet
	written bool            // begin returned something to write
}

// begin encodes the frame just before the system call and begins the writes of its parts. It returns nil
// if there is nothing to write.
func (w *frameWriter) begin() []byte {
	c := w.c
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now() // read after the lock, which may be contended
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

// abortWriteAfter aborts the writer's current system call if it has not returned after the given time. Its
// frame must not be sent any later, and its thread may be suspended. The caller holds mu.
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

// endWrites ends the writes of the frame's parts. If no byte was sent, the frame counts as not started:
// its parts may be withdrawn while the socket accepts nothing.
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

// reportHeld tells the core of parts that never ran.
func (w *frameWriter) tellHeld() {
	for _, h := range w.held {
		w.c.n.post(core.Outcome{Attempt: h.attempt, Outcome: balance.NotSent})
	}
	for _, h := range w.held {
		w.c.n.log.Info("attempt not begun", "node", w.c.node.name, "part", wireID(h.attempt), "why", string(h.why))
	}
	w.held = nil
}

// finish records how the write ended, and reports whether the connection has ended.
func (w *frameWriter) finish(err error) bool {
	w.tellHeld()
	switch {
	case err != nil:
	case w.written:
		w.c.n.count.Tries.Add(int64(len(w.carried)))
		w.noteDelay(time.Now())
	case w.c.ended(): // while the socket accepted nothing
		err = net.ErrClosed
	default:
		return false // the frame was withdrawn
	}
	return w.c.markWritten(err)
}

// recordDelay records a call that was written late.
func (w *frameWriter) noteDelay(now time.Time) {
	if took := now.Sub(w.began); took >= delay.Notable && len(w.carried) > 0 {
		w.c.n.delays.Note(delay.Attempt, took, "node", w.c.node.name, "part", wireID(w.carried[0]),
			"parts", len(w.carried))
	}
}

func (c *nodeConn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead
}

// Abort makes sure that the connection's writer sends no further byte.
func (c *nodeConn) Abort() {
	lnet.Abort(c.socket)
	c.n.log.Warn("write aborted: its request is over and the writer was held", "node", c.node.name)
}

// markWritten records that the frame which the writer started was sent, or never will be, and reports
// whether the connection has ended. Only the writer knows: while the last byte may be in transit nobody
// else can tell whether the frame's parts may have run.
func (c *nodeConn) markWritten(err error) bool {
	c.mu.Lock()
	if c.dead {
		o := c.broken(err == nil)
		torn := c.torn
		c.torn = nil
		c.mu.Unlock()
		for _, a := range torn {
			c.n.post(core.Outcome{Attempt: a, Outcome: o})
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
