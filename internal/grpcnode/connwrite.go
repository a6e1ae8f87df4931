package grpcnode

// The writer of a connection to a node: which calls begin, what goes into frames, and when it is written.

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

// run is the writer.
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
	limit := c.b.cfg.IdleTimeout
	born := time.Now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	var buf []byte
	for {
		_ = sock.SetWriteDeadline(time.Now().Add(c.b.cfg.WriteTimeout))
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
		n, err := sock.Write(buf) // nothing may come between pump and this
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
			c.b.count.AttemptsSent.Add(1)
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

// rest tells whether a connection on which nothing is to be written is to end, and else how long it may
// wait; the caller holds mu.
func (c *conn) rest(age time.Duration) (leave bool, wait time.Duration) {
	limit := c.b.cfg.IdleTimeout
	unused := time.Since(c.used)
	wait = limit - unused
	if !c.settled {
		wait = c.b.cfg.DialTimeout - age + time.Millisecond
	} else if len(c.waiting) > 0 { // it may become too late to begin one
		wait = min(wait, time.Until(c.waiting[0].until))
	}
	for _, s := range c.sending { // or to end one
		if by := s.a.StartBy; !by.IsZero() {
			wait = min(wait, time.Until(by)+time.Millisecond)
		}
	}
	quiet := c.load() == 0 && len(c.pings) == 0
	leave = quiet && c.settled && (c.retired || unused >= limit)
	c.retired = c.retired || leave
	return leave, wait
}

// droppedCall is a call that may not begin, or may not go on, and why.
type droppedCall struct {
	s   *stream
	why core.HoldReason
}

// giveBack tells the core of calls that never ran.
func (c *conn) giveBack(dropped []droppedCall) {
	for _, d := range dropped {
		c.b.done(c.n, d.s.a, translate.Result{Outcome: balance.NotSent}, core.Value{}, nil)
	}
	for _, d := range dropped {
		if d.why != core.NoHold {
			c.b.log.Info("attempt not begun", "node", c.n.name, "query", d.s.a.Query.Name, "shard", d.s.a.Shard,
				"why", string(d.why))
		}
	}
}

// Abort makes it impossible that the writer puts out another byte.
func (c *conn) Abort() {
	lnet.Abort(c.raw)
	c.b.log.Warn("write aborted: its request is over and the writer was held", "node", c.n.name)
}

// abortWrite aborts the connection's write if a call's first byte is still not out after the time given; the
// caller holds mu.
func (c *conn) abortWrite(s *stream, after time.Duration) {
	time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if s.entered && !c.dead {
			c.Abort()
		}
	})
}

// endOpening ends the writes of the calls of which all is out that was put there as they began; the caller
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

// closeOpening ends those of calls that will never be written, as the writer ends.
func (c *conn) closeOpening() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markOpening()
	c.endOpening(math.MaxUint64)
}

// markOpening notes up to where the output holds what of the calls just begun was put there; the caller holds
// mu.
func (c *conn) markOpening() {
	for _, s := range c.opening {
		if s.opens == 0 {
			s.opens = c.put
		}
	}
}

// pump makes frames of what may be sent now, and returns the calls for which it is too late; the caller holds
// mu. A call is begun only where nothing else waits to be written, so that its first byte goes out with the
// next system call: its query's end waits for that.
func (c *conn) pump(now time.Time) (dropped []droppedCall) {
	if !c.settled && !c.retired {
		return nil
	}
	if c.retired { // what is not begun goes back to the module
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
		if why := c.mayBegin(s, now); why != core.NoHold {
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
			c.retired = true // ids never come again
		}
	}
	for i := 0; i < len(c.waiting); i++ { // those behind may be late too
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
			// The window of its key: its last byte must not go out any more.
			if by := s.a.StartBy; !by.IsZero() && now.After(by) {
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

// mayBegin begins the write of a call's first byte, where it may; the caller holds mu.
func (c *conn) mayBegin(s *stream, now time.Time) core.HoldReason {
	if !now.Before(s.until) {
		return core.HoldExpired
	}
	_, hold := s.a.BeginWrite(c, now)
	return hold
}

func late(s *stream, now time.Time) bool {
	return s.a.Query.Finished() || !now.Before(s.until) || !s.a.StartBy.IsZero() && !now.Before(s.a.StartBy)
}

// writeHead begins a call; the caller holds mu.
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
