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
func (c *conn) run() {
	sock, raw, err := c.dial()
	if err != nil {
		c.end(err)
		return
	}
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		_ = sock.Close()
		return
	}
	c.c, c.raw = sock, raw
	c.mu.Unlock()
	defer c.closeOpening()
	go c.read(sock)
	limit := c.b.cfg.Idle
	born := time.Now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	var buf []byte
	for {
		_ = sock.SetWriteDeadline(time.Now().Add(c.b.cfg.WriteLimit))
		c.mu.Lock()
		if c.dead {
			c.mu.Unlock()
			return
		}
		if !c.settled && time.Since(born) > c.b.cfg.DialTimeout {
			c.mu.Unlock()
			c.end(errors.New("the node sent no settings"))
			return
		}
		dropped := c.pump(time.Now())
		part := c.out.First()
		buf = append(buf[:0], part...)
		c.writing = len(buf) > 0
		if !c.writing {
			leave, wait := c.rest(time.Since(born))
			c.mu.Unlock()
			c.giveBack(dropped)
			if leave {
				c.end(nil)
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
		c.endOpening(c.written)
		if c.dead {
			c.mu.Unlock()
			c.giveBack(dropped)
			return
		}
		c.writing = false
		c.out.Discard(n)
		for len(c.marks) > 0 && c.marks[0].at <= c.written {
			s := c.marks[0].s
			s.whole, s.wrote = true, time.Now()
			c.marks = c.marks[1:]
			c.b.count.Tries.Add(1)
		}
		c.used = time.Now()
		c.mu.Unlock()
		c.giveBack(dropped)
		if err != nil {
			c.end(err)
			return
		}
	}
}

// idleWait decides whether a connection that has nothing to write is to be closed, and otherwise how long the
// write loop may wait; the caller holds mu.
func (c *conn) rest(age time.Duration) (leave bool, wait time.Duration) {
	limit := c.b.cfg.Idle
	unused := time.Since(c.used)
	wait = limit - unused
	if !c.settled {
		wait = c.b.cfg.DialTimeout - age + time.Millisecond
	} else if len(c.waiting) > 0 { // the first one may expire
		wait = min(wait, time.Until(c.waiting[0].until))
	}
	for _, s := range c.sending { // one that is being sent may expire
		if by := s.a.Before; !by.IsZero() {
			wait = min(wait, time.Until(by)+time.Millisecond)
		}
	}
	quiet := c.load() == 0 && len(c.pings) == 0
	leave = quiet && c.settled && (c.retired || unused >= limit)
	c.retired = c.retired || leave
	return leave, wait
}

// droppedCall is a call that must not be started or continued, and the reason.
type droppedCall struct {
	s   *stream
	why core.Hold
}

// reportDropped reports calls that never ran to the core.
func (c *conn) giveBack(dropped []droppedCall) {
	for _, d := range dropped {
		c.b.done(c.n, d.s.a, translate.Result{Outcome: balance.NotSent}, core.Value{}, nil)
	}
	for _, d := range dropped {
		if d.why != core.MayBegin {
			c.b.log.Info("attempt not started", "node", c.n.name, "query", d.s.a.Query.Name, "shard", d.s.a.Shard,
				"why", string(d.why))
		}
	}
}

// Abort guarantees that the write loop sends no further byte.
func (c *conn) Abort() {
	lnet.Abort(c.raw)
	c.b.log.Warn("write aborted: its request has ended and the writer was stuck", "node", c.n.name)
}

// abortWriteAfter aborts the connection's write if a call's first byte has still not been written after the
// given time; the caller holds mu.
func (c *conn) abortWrite(s *stream, after time.Duration) {
	time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if s.entered && !c.dead {
			c.Abort()
		}
	})
}

// finishStarts ends the start writes of the calls whose first frames are completely written; the caller
// holds mu.
func (c *conn) endOpening(written uint64) {
	c.opening = slices.DeleteFunc(c.opening, func(s *stream) bool {
		out := s.opens > 0 && s.opens <= written
		if out && s.entered {
			s.entered = false
			s.a.EndWrite(c)
		}
		return out
	})
}

// closeStarts ends the start writes of calls that will never be written, as the write loop has ended.
func (c *conn) closeOpening() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markOpening()
	c.endOpening(math.MaxUint64)
}

// markStarts sets the output offset up to which the first frames of the calls just started reach; the caller
// holds mu.
func (c *conn) markOpening() {
	for _, s := range c.opening {
		if s.opens == 0 {
			s.opens = c.put
		}
	}
}

// encodeFrames encodes what may be sent now and returns the calls that have expired; the caller holds mu. A
// call is started only if nothing else waits to be written, so that its first byte is sent by the next
// system call: the end of its query waits for that.
func (c *conn) pump(now time.Time) (dropped []droppedCall) {
	if !c.settled && !c.retired {
		return nil
	}
	if c.retired { // calls not started go back to the module
		for _, s := range c.waiting {
			delete(c.of, s.a)
			dropped = append(dropped, droppedCall{s: s})
		}
		c.waiting = nil
	}
	defer c.markOpening()
	free := c.out.Len() == 0
	for free && len(c.waiting) > 0 && len(c.streams) < c.most() && c.out.Len() < outHigh && !c.retired {
		s := c.waiting[0]
		c.waiting = c.waiting[1:]
		if why := c.mayBegin(s, now); why != core.MayBegin {
			delete(c.of, s.a)
			dropped = append(dropped, droppedCall{s, why})
			continue
		}
		s.entered = true
		c.opening = append(c.opening, s)
		s.id, s.window = c.nextID, c.initial
		c.nextID += 2
		c.streams[s.id] = s
		c.sending = append(c.sending, s)
		c.writeHead(s, now)
		if c.nextID > windowMost-2 {
			c.retired = true // stream ids cannot be reused
		}
	}
	for i := 0; i < len(c.waiting); i++ { // later ones may have expired too
		if s := c.waiting[i]; late(s, now) {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			delete(c.of, s.a)
			dropped = append(dropped, droppedCall{s: s})
			i--
		}
	}
	for moved := true; moved && c.out.Len() < outHigh; {
		moved = false
		for i := 0; i < len(c.sending) && c.out.Len() < outHigh; i++ {
			s := c.sending[i]
			// The window of its key is over: its last byte must not be sent any more.
			if by := s.a.Before; !by.IsZero() && now.After(by) {
				c.reset(s, http2.ErrCodeCancel)
				c.forget(s)
				dropped = append(dropped, droppedCall{s: s})
				i--
				continue
			}
			n := min(int64(len(s.body)), int64(c.frame), c.window, s.window)
			if n <= 0 {
				continue
			}
			end := int(n) == len(s.body)
			if c.fr.WriteData(s.id, end, s.body[:n]) != nil {
				c.overflow()
				return dropped
			}
			s.body, moved = s.body[n:], true
			s.window -= n
			c.window -= n
			if end {
				s.ended = true
				c.marks = append(c.marks, mark{c.put, s})
				c.sending = append(c.sending[:i], c.sending[i+1:]...)
				i--
			}
		}
	}
	return dropped
}

// tryStart begins the write of a call's first byte unless something holds it back; the caller holds mu.
func (c *conn) mayBegin(s *stream, now time.Time) core.Hold {
	if !now.Before(s.until) {
		return core.HoldOverdue
	}
	_, hold := s.a.BeginWrite(c, now)
	return hold
}

func late(s *stream, now time.Time) bool {
	return s.a.Query.Over() || !now.Before(s.until) || !s.a.Before.IsZero() && !now.Before(s.a.Before)
}

// writeHeaders queues a call's header frames; the caller holds mu.
func (c *conn) writeHead(s *stream, now time.Time) {
	c.block.b = c.block.b[:0]
	field := func(name, value string) { _ = c.enc.WriteField(hpack.HeaderField{Name: name, Value: value}) }
	scheme := "http"
	to := c.to
	if to.TLS {
		scheme = "https"
	}
	field(":method", "POST")
	field(":scheme", scheme)
	field(":path", Path)
	field(":authority", to.Address)
	field("te", "trailers")
	field("content-type", "application/grpc")
	field("grpc-timeout", timeoutText(s.until.Sub(now)))
	for _, h := range s.head {
		field(h[0], h[1])
	}
	rest, first := c.block.b, true
	for first || len(rest) > 0 {
		n := min(len(rest), int(c.frame))
		var err error
		if first {
			err = c.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: rest[:n],
				EndHeaders: n == len(rest)})
		} else {
			err = c.fr.WriteContinuation(s.id, n == len(rest), rest[:n])
		}
		if err != nil {
			c.overflow()
			return
		}
		rest, first = rest[n:], false
	}
}
