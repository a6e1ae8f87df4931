// Package net owns sockets and bytes: listeners, connections with one ring buffer a direction, the budget
// of descriptors, and HTTP/1.1 on net/textproto. It must never decide anything: it does not know the
// module, the classes or what a body means, and no goroutine of it ever runs the module.
//
// This file holds a client's connection; server.go the listener, ring.go and budget.go what connections are
// given, socket.go writes that are ordered with other events, http.go the messages and the client side.
package net

import (
	"errors"
	"math"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"lapislever/internal/admission"
	"lapislever/internal/delay"
)

// Sizes and limits of the network code.
const (
	MaxBody   = 64 << 10 // a body that the protocol allows
	MaxHead   = 16 << 10 // a request or status line with its headers
	firstRing = 1 << 10
	freeRing  = 4 << 10   // up to here a ring grows without being booked: most requests are smaller
	largeRing = 16 << 10  // an emptied ring beyond this gives its memory back
	outRing   = 16 << 10  // replies are written through it piece by piece
	aheadMost = 256 << 10 // what a client may send ahead of its replies: the ring's most
	// A client whose request is out and whose ring is full for so long is read on, and what comes is thrown
	// away: only a read tells that it leaves, within the 0.1 s in which its request must not go on.
	aheadLimit  = 30 * time.Millisecond
	fullPause   = 10 * time.Millisecond // between looks at a full ring
	poolSize    = 24 << 20              // all clients' rings together, beyond that, unless the budget says less
	drainSize   = 16 << 10              // read at once of what is thrown away
	idleLimit   = 10 * time.Second      // a client connection between requests
	spareLimit  = time.Second           // and of one beyond the budget, until it is refused
	MaxOverflow = 16                    // connections of that kind
	waitStep    = 5 * time.Millisecond  // between looks at whether all connections have ended
	// A client is owed an answer or the end within 3 s of connecting, also for half a request or none.
	requestLimit = 2500 * time.Millisecond
	replyLimit   = 5 * time.Second
	// After an error the client may be sending still: it gets to read the error for as long as it sends.
	lingerLimit = 4 * time.Second
	lingerQuiet = 500 * time.Millisecond
	// Before this a client's first request may be under way, a request that began come to its end, and a
	// reply be on its way.
	graceLimit = 300 * time.Millisecond
	partLimit  = 200 * time.Millisecond // left at the very end for a word to half a request
)

// secure makes the handshake, within its time, and goes on as a client that has proved who it is, or has not.
func (c *serverConn) secure() {
	limit := spareLimit
	if c.seat.k != nil && c.held {
		limit = c.seat.k.proof
	}
	_ = c.c.SetDeadline(time.Now().Add(limit))
	secured, identity, err := c.s.Handshake(c.c)
	if err != nil {
		c.s.log.Warn("no handshake", "client", c.c.RemoteAddr(), "err", err)
		c.shut()
		c.s.forget(c)
		return
	}
	_ = c.c.SetDeadline(time.Time{})
	c.c = secured // nobody else looks at it yet
	c.replies = newReplyWriter(secured, &c.s.watch)
	if c.seat.k != nil {
		if d := c.seat.k.prove(c.seat.id, identity, identity != ""); d.Outcome == admission.Refuse {
			c.turned, c.after = true, time.Duration(d.RetryAfter)*time.Microsecond
		}
	}
	go c.fill()
	c.serve()
}

// yield closes the connection if nothing of a request has come.
func (c *serverConn) yield() bool {
	c.mu.Lock()
	if c.state != waiting || c.in.Len() > 0 {
		c.mu.Unlock()
		return false
	}
	c.state = spared
	c.shut()
	c.mu.Unlock()
	c.s.forget(c)
	return true
}

// serverConn is a client's connection: fill reads into its ring, serve takes requests out one by one.
type serverConn struct {
	s       *Server
	raw     net.Conn   // the socket
	c       net.Conn   // the same, or TLS over it
	mu      sync.Mutex // guards in, err, at, state, since, asked, parting, until, overrun
	in, out *Ring
	replies *replyWriter
	more    chan struct{}
	err     error
	at      time.Time // when the last byte came
	state   connState
	since   time.Time // when this state began
	asked   bool      // has had a request answered
	parting bool      // is to end between two requests
	until   time.Time // while parting, a request has to be there by then
	overrun bool      // more came ahead than the ring holds, and has been thrown away
	over    int       // goroutines that have ended
	held    bool      // has a place in the budget; guarded by the server's mu
	back    bool
	seat    seat
	turned  bool          // is to be refused, though it has a place
	after   time.Duration // when to come back, for one that is refused
}

type connState uint8

const (
	waiting   connState = iota // for a request, or in the middle of one
	serving                    // a request
	lingering                  // an error is written; what still comes is thrown away
	spared                     // closed to make way
)

// connUse tells how well a connection can be spared, best first.
type connUse uint8

const (
	ending  connUse = iota // has its error
	useless                // no whole request in a time in which others have long asked
	idle                   // between requests
	fresh                  // may just be about to ask
	kept                   // has a request that is not answered
)

// use tells what a connection is good for at a time, and since when.
func (c *serverConn) use(now time.Time) (connUse, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch late := now.Sub(c.since) > graceLimit; {
	case c.state == lingering && late:
		return ending, c.since
	case c.state != waiting: // or its last word may be on its way, which a close could overtake
		return kept, c.since
	case late && !c.asked:
		return useless, c.since
	case c.in.Len() > 0:
		return kept, c.since
	case c.asked && late:
		return idle, c.since
	}
	return fresh, c.since
}

// spare closes the connection if no request was taken from it meanwhile.
func (c *serverConn) spare() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == serving {
		return false
	}
	c.state = spared
	c.shut()
	return true
}

// become notes what the connection does from now on. It returns false once it was closed to make way.
func (c *serverConn) become(s connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == spared {
		return false
	}
	c.state, c.since = s, time.Now()
	return true
}

func (c *serverConn) shut() { _ = c.raw.Close() }

// giveBack returns the place in the budget, once.
func (c *serverConn) giveBack() {
	if c.back {
		return
	}
	c.back = true
	c.seat.leave()
	if c.held {
		c.s.budget.ReleaseClient()
	} else {
		c.s.spare.Add(-1)
	}
}

func (c *serverConn) signal() {
	select {
	case c.more <- struct{}{}:
	default:
	}
}

// drains are the buffers for what is thrown away.
var drains = sync.Pool{New: func() any { return new([drainSize]byte) }}

// drain reads what comes after an error and throws it away, up to the end.
func (c *serverConn) drain() error {
	buf := drains.Get().(*[drainSize]byte)
	defer drains.Put(buf)
	for {
		_, err := c.c.Read(buf[:])
		if errors.Is(err, os.ErrDeadlineExceeded) { // linger's word, which came while this had begun
			_ = c.c.SetReadDeadline(time.Time{})
		} else if err != nil {
			return err
		}
		c.mu.Lock()
		c.at = time.Now()
		c.mu.Unlock()
	}
}

// fill reads what comes, also while a request waits for its reply: only so is a client's end seen at once.
func (c *serverConn) fill() {
	var full time.Duration // the ring has been, while one request is out
	var out time.Time      // since when that is
	var failures passingFailures
	came := arrivals{raw: rawConn(c.raw)}
	for ended := false; !ended; {
		c.mu.Lock()
		free := c.in.Free()
		if free != nil || c.state != serving || c.since != out {
			full, out = 0, c.since
		}
		c.overrun = c.overrun || full >= aheadLimit
		drop := c.state == lingering || c.overrun
		ended = c.err != nil
		c.mu.Unlock()
		var err error
		switch {
		case ended:
			continue
		case drop:
			err = c.drain()
		case free == nil: // far more than a request, or no memory: let serve make room or give up on it
			time.Sleep(fullPause)
			full += fullPause
			continue
		default:
			var n int
			n, err = c.c.Read(free)
			var at time.Time
			if n > 0 {
				at = came.at(time.Now())
			}
			c.mu.Lock()
			c.in.Commit(n)
			if n > 0 {
				c.at = at
			}
			c.mu.Unlock()
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // serve wants the ring's memory back, or all thrown away
			err = nil
			_ = c.c.SetReadDeadline(time.Time{})
		case err == nil:
			failures.over()
		case c.c == c.raw && failures.again(c.raw, err):
			err = nil
		}
		c.mu.Lock()
		if err != nil && c.err == nil {
			c.err = err
		}
		c.mu.Unlock()
		c.signal()
	}
	c.mu.Lock()
	c.over++
	c.leave()
	c.mu.Unlock()
}

// leave gives the rings back once both goroutines are done with them.
func (c *serverConn) leave() {
	if c.over == 2 {
		c.in.drop()
		c.out.drop()
	}
}

// errRest tells that a connection has ended its time between two requests.
var errRest = errors.New("at rest")

// next waits for a whole request.
func (c *serverConn) next() (*Request, error) {
	if !c.become(waiting) {
		return nil, net.ErrClosed
	}
	if c.asked {
		c.seat.rest() // before its first request it is just about to ask
	}
	var began, by time.Time
	var lack lacks
	continued := false
	limit := idleLimit
	if !c.held { // one of the few places for those that are to be refused
		limit = spareLimit
	} else if !c.asked {
		limit = requestLimit
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		c.mu.Lock()
		if c.state == spared {
			c.mu.Unlock()
			return nil, net.ErrClosed
		}
		if began.IsZero() && c.in.Len() > 0 {
			began = time.Now()
			if c.asked || c.parting {
				timer.Reset(min(limit, requestLimit))
			}
		}
		var req *Request
		var err error
		if c.in.Len() >= lack.bytes { // else it would only be looked through again
			req, lack, err = parseRequest(c.in, c.at)
		}
		gone := c.err
		if req != nil {
			c.state, c.since, c.asked = serving, time.Now(), true
		}
		rest := c.in.Len() == 0 && began.IsZero()
		parting, overrun := c.parting, c.overrun
		if parting && !rest && c.until != by {
			by = c.until
			timer.Reset(max(0, min(limit, time.Until(by))))
		}
		grace := graceLimit - time.Since(c.since) // a first request may be on its way
		c.mu.Unlock()
		switch {
		case err != nil:
			return nil, err
		case req != nil:
			c.seat.use()
			return req, nil
		case gone != nil:
			return nil, gone
		case overrun:
			return nil, &BadMessage{Status: 413, Detail: "more was sent ahead than is held"}
		case parting && rest && (c.asked || grace <= 0):
			return nil, errRest
		case parting && rest:
			timer.Reset(grace)
		}
		if lack.word && !continued {
			continued = true
			piece := &replyPiece{w: c.replies, limit: replyLimit}
			if _, err := piece.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return nil, err
			}
		}
		select {
		case <-c.more:
		case <-timer.C:
			switch {
			case began.IsZero():
				return nil, errRest
			case !by.IsZero() && !time.Now().Before(by):
				return nil, &BadMessage{Status: 503, Detail: "this coordinator ends"}
			}
			return nil, &BadMessage{Status: 408, Detail: "the request did not come to its end in time"}
		}
	}
}

// serve takes one request after the other and writes its reply.
func (c *serverConn) serve() {
	defer func() {
		c.mu.Lock()
		if c.err == nil {
			c.err = net.ErrClosed
		}
		c.over++
		c.leave()
		c.mu.Unlock()
		c.shut()
		c.s.mu.Lock()
		delete(c.s.conns, c)
		c.giveBack()
		c.s.mu.Unlock()
	}()
	for {
		req, err := c.next()
		var bad *BadMessage
		if errors.As(err, &bad) {
			_ = c.write(Response{Status: bad.Status, Body: []byte(bad.Detail + "\n")}, true, false)
			c.s.log.Warn("bad request", "client", c.c.RemoteAddr(), "why", bad.Detail)
			c.linger()
			return
		}
		if errors.Is(err, errRest) {
			c.s.log.Debug("connection at rest ended", "client", c.c.RemoteAddr(), "closing", c.s.closing.Load())
			c.linger()
		}
		if err != nil {
			return
		}
		resp, ok := c.exchange(req)
		if !ok {
			return
		}
		end := req.Close || resp.Close || c.s.closing.Load() || !c.held || c.turned
		err = c.write(resp, end, req.Method == "HEAD")
		if c.replies.wasRescued() {
			c.s.log.Warn("reply finished for a writer that was held up", "client", c.c.RemoteAddr(), "query", req.ID())
			end = true
		}
		if err != nil {
			c.s.log.Info("reply not written", "client", c.c.RemoteAddr(), "path", req.Path, "query", req.ID(),
				"status", resp.Status, "err", err)
			return
		}
		if !resp.DecidedAt.IsZero() {
			c.s.Delays.Record(delay.Reply, time.Since(resp.DecidedAt), "client", c.c.RemoteAddr(), "query", req.ID(),
				"status", resp.Status)
		}
		if end {
			c.linger()
			return
		}
		if len(req.Body) > largeRing { // else an idle connection would keep a ring as large as its largest body
			_ = c.c.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// exchange has a request handled and waits for its reply or for the end of the client.
func (c *serverConn) exchange(req *Request) (Response, bool) {
	x, reply := NewExchange(c.raw)
	if !c.held || c.turned {
		if c.s.OnRejected != nil {
			c.s.OnRejected(req)
		}
		r := Response{Status: 503, Body: []byte("too many connections\n")}
		after := time.Duration(max(1, math.Ceil(c.after.Seconds()))) * time.Second
		if c.s.CapRetryAfter != nil {
			after = c.s.CapRetryAfter(after)
		}
		if after > 0 {
			r.Header = [][2]string{{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64)}}
		}
		return r, true
	}
	c.s.last.Store(int64(c.since.Sub(c.s.begun))) // when it was taken: it may have waited before
	gone := c.s.handle(req, x)
	c.signal() // the word of an end that came along with the request may have been taken with it
	for {
		select {
		case r := <-reply:
			return r, true
		case <-c.more:
			c.mu.Lock()
			err := c.err
			c.mu.Unlock()
			if err == nil {
				continue
			}
			if gone != nil {
				gone()
			}
			c.s.log.Info("client left with a request out", "client", c.c.RemoteAddr(), "path", req.Path,
				"query", req.ID(), "after", time.Since(req.ReceivedAt), "err", err)
			return Response{}, false
		}
	}
}

func (c *serverConn) write(r Response, end, headOnly bool) error {
	limit := replyLimit + time.Duration(len(r.Body))*time.Microsecond // a megabyte a second
	return writeResponse(&replyPiece{w: c.replies, limit: limit}, c.out, r, end, headOnly)
}

// linger tells the client that nothing more will come, and lets it read the reply before the connection goes:
// closing while bytes of the client lie unread resets the connection, and a reset can overtake the reply.
// What still comes is thrown away: it is never sent on, and the end tells the client so. One that is still
// sending gets that long.
func (c *serverConn) linger() {
	if !c.become(lingering) {
		return
	}
	if t, ok := c.c.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	c.mu.Lock()
	unread := c.in.Len()
	c.in.Discard(unread)
	c.mu.Unlock()
	if unread > 0 {
		c.s.log.Info("bytes discarded behind the end of a connection", "client", c.c.RemoteAddr(), "bytes", unread)
	}
	_ = c.c.SetReadDeadline(time.Unix(1, 0)) // from here on fill throws away what comes
	begun := time.Now()
	tick := time.NewTicker(lingerQuiet / 5)
	defer tick.Stop()
	for time.Since(begun) < lingerLimit {
		select {
		case <-c.more:
		case <-tick.C:
		}
		c.mu.Lock()
		err, last := c.err, c.at
		c.mu.Unlock()
		if err != nil || time.Since(last) > lingerQuiet && time.Since(begun) > lingerQuiet {
			return
		}
	}
}
