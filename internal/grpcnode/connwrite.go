package grpcnode

// The write loop of a connection to a node: which calls start, what is encoded, and when it is written.

import (
	"errors"
	"math"
	"slices"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/translate"
)

// writeLoop dials the connection and writes to it until it ends.
func (c *conn) writeLoop() {
	sock, raw, err := c.dial()
	if err != nil {
		c.close(err)
		return
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		_ = sock.Close()
		return
	}
	c.sock, c.raw = sock, raw
	c.mu.Unlock()
	defer c.closeStarts()
	go c.readLoop(sock)
	idleTimeout := c.backend.cfg.IdleTimeout
	startedAt := time.Now()
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	var buf []byte
	for {
		_ = sock.SetWriteDeadline(time.Now().Add(c.backend.cfg.WriteTimeout))
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return
		}
		if !c.gotSettings && time.Since(startedAt) > c.backend.cfg.DialTimeout {
			c.mu.Unlock()
			c.close(errors.New("the node sent no settings"))
			return
		}
		dropped := c.encodeFrames(time.Now())
		segment := c.out.FirstSegment()
		buf = append(buf[:0], segment...)
		c.writing = len(buf) > 0
		if !c.writing {
			closeNow, wait := c.idleWait(time.Since(startedAt))
			c.mu.Unlock()
			c.reportDropped(dropped)
			if closeNow {
				c.close(nil)
				return
			}
			timer.Reset(max(wait, time.Millisecond))
			select {
			case <-c.wake:
			case <-timer.C:
			}
			continue
		}
		c.mu.Unlock()
		n, err := sock.Write(buf) // nothing may come between encodeFrames and this
		c.mu.Lock()
		c.written += uint64(n)
		c.finishStarts(c.written)
		if c.closed {
			c.mu.Unlock()
			c.reportDropped(dropped)
			return
		}
		c.writing = false
		c.out.Discard(n)
		for len(c.endMarks) > 0 && c.endMarks[0].offset <= c.written {
			s := c.endMarks[0].stream
			s.endWritten, s.writtenAt = true, time.Now()
			c.endMarks = c.endMarks[1:]
			c.backend.counts.AttemptsSent.Add(1)
		}
		c.lastUsed = time.Now()
		c.mu.Unlock()
		c.reportDropped(dropped)
		if err != nil {
			c.close(err)
			return
		}
	}
}

// idleWait decides whether a connection that has nothing to write is to be closed, and otherwise how long the
// write loop may wait; the caller holds mu.
func (c *conn) idleWait(age time.Duration) (closeNow bool, wait time.Duration) {
	idleTimeout := c.backend.cfg.IdleTimeout
	unused := time.Since(c.lastUsed)
	wait = idleTimeout - unused
	if !c.gotSettings {
		wait = c.backend.cfg.DialTimeout - age + time.Millisecond
	} else if len(c.pending) > 0 { // the first one may expire
		wait = min(wait, time.Until(c.pending[0].deadline))
	}
	for _, s := range c.sending { // one that is being sent may expire
		if startBy := s.attempt.StartBy; !startBy.IsZero() {
			wait = min(wait, time.Until(startBy)+time.Millisecond)
		}
	}
	idle := c.load() == 0 && len(c.pings) == 0
	closeNow = idle && c.gotSettings && (c.retired || unused >= idleTimeout)
	c.retired = c.retired || closeNow
	return closeNow, wait
}

// droppedCall is a call that must not be started or continued, and the reason.
type droppedCall struct {
	stream *stream
	reason core.HoldReason
}

// reportDropped reports calls that never ran to the core.
func (c *conn) reportDropped(dropped []droppedCall) {
	for _, d := range dropped {
		c.backend.finishAttempt(c.node, d.stream.attempt, translate.Result{Outcome: balance.NotSent},
			core.Value{}, nil)
	}
	for _, d := range dropped {
		if d.reason != core.NoHold {
			c.backend.log.Info("attempt not begun", "node", c.node.name, "query", d.stream.attempt.Query.Name,
				"shard", d.stream.attempt.Shard, "why", string(d.reason))
		}
	}
}

// Abort guarantees that the write loop sends no further byte.
func (c *conn) Abort() {
	lnet.Abort(c.raw)
	c.backend.log.Warn("write aborted: its request is over and the writer was held", "node", c.node.name)
}

// abortWriteAfter aborts the connection's write if a call's first byte has still not been written after the
// given time; the caller holds mu.
func (c *conn) abortWriteAfter(s *stream, after time.Duration) {
	time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if s.writeActive && !c.closed {
			c.Abort()
		}
	})
}

// finishStarts ends the start writes of the calls whose first frames are completely written; the caller
// holds mu.
func (c *conn) finishStarts(written uint64) {
	c.starting = slices.DeleteFunc(c.starting, func(s *stream) bool {
		done := s.startEnd > 0 && s.startEnd <= written
		if done && s.writeActive {
			s.writeActive = false
			s.attempt.EndWrite(c)
		}
		return done
	})
}

// closeStarts ends the start writes of calls that will never be written, as the write loop has ended.
func (c *conn) closeStarts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markStarts()
	c.finishStarts(math.MaxUint64)
}

// markStarts sets the output offset up to which the first frames of the calls just started reach; the caller
// holds mu.
func (c *conn) markStarts() {
	for _, s := range c.starting {
		if s.startEnd == 0 {
			s.startEnd = c.queued
		}
	}
}

// encodeFrames encodes what may be sent now and returns the calls that have expired; the caller holds mu. A
// call is started only if nothing else waits to be written, so that its first byte is sent by the next
// system call: the end of its query waits for that.
func (c *conn) encodeFrames(now time.Time) (dropped []droppedCall) {
	if !c.gotSettings && !c.retired {
		return nil
	}
	if c.retired { // calls not started go back to the module
		for _, s := range c.pending {
			delete(c.byAttempt, s.attempt)
			dropped = append(dropped, droppedCall{stream: s})
		}
		c.pending = nil
	}
	defer c.markStarts()
	drained := c.out.Len() == 0
	for drained && len(c.pending) > 0 && len(c.streams) < c.maxCalls() && c.out.Len() < writeHighWater &&
		!c.retired {
		s := c.pending[0]
		c.pending = c.pending[1:]
		if hold := c.tryStart(s, now); hold != core.NoHold {
			delete(c.byAttempt, s.attempt)
			dropped = append(dropped, droppedCall{s, hold})
			continue
		}
		s.writeActive = true
		c.starting = append(c.starting, s)
		s.id, s.window = c.nextID, c.initialWindow
		c.nextID += 2
		c.streams[s.id] = s
		c.sending = append(c.sending, s)
		c.writeHeaders(s, now)
		if c.nextID > maxWindow-2 {
			c.retired = true // stream ids cannot be reused
		}
	}
	for i := 0; i < len(c.pending); i++ { // later ones may have expired too
		if s := c.pending[i]; expired(s, now) {
			c.pending = append(c.pending[:i], c.pending[i+1:]...)
			delete(c.byAttempt, s.attempt)
			dropped = append(dropped, droppedCall{stream: s})
			i--
		}
	}
	for progress := true; progress && c.out.Len() < writeHighWater; {
		progress = false
		for i := 0; i < len(c.sending) && c.out.Len() < writeHighWater; i++ {
			s := c.sending[i]
			// The window of its key is over: its last byte must not be sent any more.
			if startBy := s.attempt.StartBy; !startBy.IsZero() && now.After(startBy) {
				c.resetStream(s, http2.ErrCodeCancel)
				c.remove(s)
				dropped = append(dropped, droppedCall{stream: s})
				i--
				continue
			}
			n := min(int64(len(s.body)), int64(c.maxFrame), c.sendWindow, s.window)
			if n <= 0 {
				continue
			}
			last := int(n) == len(s.body)
			if c.framer.WriteData(s.id, last, s.body[:n]) != nil {
				c.closeOverflow()
				return dropped
			}
			s.body, progress = s.body[n:], true
			s.window -= n
			c.sendWindow -= n
			if last {
				s.endQueued = true
				c.endMarks = append(c.endMarks, endMark{c.queued, s})
				c.sending = append(c.sending[:i], c.sending[i+1:]...)
				i--
			}
		}
	}
	return dropped
}

// tryStart begins the write of a call's first byte unless something holds it back; the caller holds mu.
func (c *conn) tryStart(s *stream, now time.Time) core.HoldReason {
	if !now.Before(s.deadline) {
		return core.HoldExpired
	}
	_, hold := s.attempt.BeginWrite(c, now)
	return hold
}

func expired(s *stream, now time.Time) bool {
	return s.attempt.Query.Finished() || !now.Before(s.deadline) ||
		!s.attempt.StartBy.IsZero() && !now.Before(s.attempt.StartBy)
}

// writeHeaders queues a call's header frames; the caller holds mu.
func (c *conn) writeHeaders(s *stream, now time.Time) {
	c.headers.b = c.headers.b[:0]
	field := func(name, value string) { _ = c.encoder.WriteField(hpack.HeaderField{Name: name, Value: value}) }
	scheme := "http"
	target := c.target
	if target.TLS {
		scheme = "https"
	}
	field(":method", "POST")
	field(":scheme", scheme)
	field(":path", MethodPath)
	field(":authority", target.Address)
	field("te", "trailers")
	field("content-type", "application/grpc")
	field("grpc-timeout", formatTimeout(s.deadline.Sub(now)))
	for _, h := range s.metadata {
		field(h[0], h[1])
	}
	remaining, first := c.headers.b, true
	for first || len(remaining) > 0 {
		n := min(len(remaining), int(c.maxFrame))
		var err error
		if first {
			err = c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: remaining[:n],
				EndHeaders: n == len(remaining)})
		} else {
			err = c.framer.WriteContinuation(s.id, n == len(remaining), remaining[:n])
		}
		if err != nil {
			c.closeOverflow()
			return
		}
		remaining, first = remaining[n:], false
	}
}
