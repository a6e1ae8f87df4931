// Package net implements listeners, connections with one ring buffer per direction, the budget of file
// descriptors, and HTTP/1.1 on net/textproto. It must never make decisions: it knows neither the module nor
// classes nor what a body means, and none of its goroutines ever runs the module.
//
// This file contains the client connection; server.go the listener, ring.go and budget.go the resources of
// connections, socket.go writes that are ordered with other events, http.go messages and the client side.
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
	MaxBody   = 64 << 10 // largest body of a request
	MaxHead   = 16 << 10 // largest request or status line with its headers
	firstRing = 1 << 10
	freeRing  = 4 << 10   // growth up to this size is not accounted for: most requests are smaller
	largeRing = 16 << 10  // an empty ring larger than this releases its memory
	outRing   = 16 << 10  // replies are written through it in chunks
	aheadMost = 256 << 10 // how much a client may send ahead of its replies: the ring's limit
	// If a client's ring stays full for this long while its request is in progress, further input is read and
	// discarded: only a read shows that the client has left, and its request has to be cancelled within 0.1 s.
	aheadLimit = 30 * time.Millisecond
	fullPause  = 10 * time.Millisecond // between checks of a full ring
	poolSize   = 24 << 20              // accounted memory of all clients' rings, unless the budget sets less
	drainSize  = 16 << 10              // per read of discarded input
	idleLimit  = 10 * time.Second      // for a client connection between requests
	spareLimit = time.Second           // for a connection beyond the budget to send its request and be refused
	SpareMost  = 16                    // upper limit on connections beyond the budget
	waitStep   = 5 * time.Millisecond  // between checks whether all connections have ended
	// A client must get a reply or a close within 3 s of connecting, even if it sends half a request or none.
	requestLimit = 2500 * time.Millisecond
	replyLimit   = 5 * time.Second
	// After an error reply the client may still be sending: the connection stays open to let it read the reply.
	lingerLimit = 4 * time.Second
	lingerQuiet = 500 * time.Millisecond
	// Within this time, a client's first request may be on its way, a partial request may be completed, and a
	// reply may still be in flight.
	graceLimit = 300 * time.Millisecond
	partLimit  = 200 * time.Millisecond // before Wait ends, to reply to incomplete requests
)

// handshake makes the TLS handshake within its timeout, then serves the connection as authenticated or not.
func (c *serverConn) secure() {
	limit := spareLimit
	if c.seat.k != nil && c.held {
		limit = c.seat.k.proof
	}
	_ = c.c.SetDeadline(time.Now().Add(limit))
	secured, identity, err := c.s.Secure(c.c)
	if err != nil {
		c.s.log.Warn("TLS handshake failed", "client", c.c.RemoteAddr(), "err", err)
		c.shut()
		c.s.forget(c)
		return
	}
	_ = c.c.SetDeadline(time.Time{})
	c.c = secured // no other goroutine uses it yet
	c.replies = newReplyWriter(secured, &c.s.watch)
	if c.seat.k != nil {
		if d := c.seat.k.prove(c.seat.id, identity, identity != ""); d.Verdict == admission.Refuse {
			c.turned, c.after = true, time.Duration(d.After)*time.Microsecond
		}
	}
	go c.fill()
	c.serve()
}

// closeIfIdle closes the connection if no part of a request has arrived.
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

// serverConn is a client connection: readLoop reads into its ring, serve takes requests out of it one by one.
type serverConn struct {
	s   *Server
	raw net.Conn // the socket
	c   net.Conn // the socket, or TLS over it
	// mu guards in, readErr, lastRead, state, since, hadRequest, closing, requestBy and overrun.
	mu      sync.Mutex
	in, out *Ring
	replies *replyWriter
	more    chan struct{}
	err     error
	at      time.Time // when the last byte arrived
	state   connState
	since   time.Time // when the state last changed
	asked   bool      // at least one request was taken
	parting bool      // to be closed between two requests
	until   time.Time // while closing, the deadline for a complete request
	overrun bool      // input beyond the ring's limit has been discarded
	over    int       // number of goroutines that have ended
	held    bool      // counts against the budget; guarded by the server's mu
	back    bool
	seat    seat
	turned  bool          // its request is to be refused, though it is within the budget
	after   time.Duration // when to come back, if refused
}

type connState uint8

const (
	waiting   connState = iota // waiting for a request, or for the rest of one
	serving                    // serving a request
	lingering                  // the last reply is written; further input is discarded
	spared                     // closed to free a descriptor
)

// evictionRank orders connections by eviction, the first to be evicted first.
type connUse uint8

const (
	ending  connUse = iota // the last reply was written a while ago
	useless                // no complete request within the grace period
	idle                   // between requests
	fresh                  // a request may be on its way
	kept                   // has an unanswered request, or a reply may be in flight
)

// rank returns the connection's eviction rank at a time, and the time of its last state change.
func (c *serverConn) use(now time.Time) (connUse, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch late := now.Sub(c.since) > graceLimit; {
	case c.state == lingering && late:
		return ending, c.since
	case c.state != waiting: // or a final reply may be in flight, which a close could overtake
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

// evict closes the connection unless a request has been taken from it in the meantime.
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

// setState changes the connection's state. It returns false if the connection has been evicted.
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

// releaseBudget releases the connection's descriptor and its admission slot, once.
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

// discardBuffers are the buffers that discarded input is read into.
var drains = sync.Pool{New: func() any { return new([drainSize]byte) }}

// discardInput reads and discards input until the connection ends.
func (c *serverConn) drain() error {
	buf := drains.Get().(*[drainSize]byte)
	defer drains.Put(buf)
	for {
		_, err := c.c.Read(buf[:])
		if errors.Is(err, os.ErrDeadlineExceeded) { // lingerClose's wake-up, after this read began
			_ = c.c.SetReadDeadline(time.Time{})
		} else if err != nil {
			return err
		}
		c.mu.Lock()
		c.at = time.Now()
		c.mu.Unlock()
	}
}

// readLoop reads input even while a request waits for its reply, as only a read shows that the client has
// left.
func (c *serverConn) fill() {
	var full time.Duration // how long the ring has been full during the current request
	var out time.Time      // when the current state began
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
		case free == nil: // far more than a request, or no memory: wait for serve to make room or to give up
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
			c.in.Grew(n)
			if n > 0 {
				c.at = at
			}
			c.mu.Unlock()
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // serve wants the ring's memory released, or input discarded
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

// releaseRings releases the rings once both goroutines have ended.
func (c *serverConn) leave() {
	if c.over == 2 {
		c.in.drop()
		c.out.drop()
	}
}

// errIdleClose means that a connection is to be closed between two requests.
var errRest = errors.New("connection idle")

// nextRequest waits for a complete request.
func (c *serverConn) next() (*Request, error) {
	if !c.become(waiting) {
		return nil, net.ErrClosed
	}
	if c.asked {
		c.seat.rest() // before the first request, one is expected right away
	}
	var began, by time.Time
	var lack lacks
	continued := false
	limit := idleLimit
	if !c.held { // it holds one of the few overflow slots
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
		if c.in.Len() >= lack.bytes { // else the same bytes would be parsed again in vain
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
		grace := graceLimit - time.Since(c.since) // the first request may be on its way
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
			return nil, &BadMessage{Status: 413, What: "more was sent ahead than is held"}
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
				return nil, &BadMessage{Status: 503, What: "this coordinator ends"}
			}
			return nil, &BadMessage{Status: 408, What: "the request did not come to its end in time"}
		}
	}
}

// serve handles requests one after another and writes their replies.
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
			_ = c.write(Response{Status: bad.Status, Body: []byte(bad.What + "\n")}, true, false)
			c.s.log.Warn("bad request", "client", c.c.RemoteAddr(), "why", bad.What)
			c.linger()
			return
		}
		if errors.Is(err, errRest) {
			c.s.log.Debug("idle connection closed", "client", c.c.RemoteAddr(), "closing", c.s.closing.Load())
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
			c.s.log.Warn("reply finished by the watchdog: its writer was stuck", "client", c.c.RemoteAddr(),
				"query", req.ID())
			end = true
		}
		if err != nil {
			c.s.log.Info("reply not written", "client", c.c.RemoteAddr(), "path", req.Path, "query", req.ID(),
				"status", resp.Status, "err", err)
			return
		}
		if !resp.Decided.IsZero() {
			c.s.Delays.Note(delay.Reply, time.Since(resp.Decided), "client", c.c.RemoteAddr(), "query", req.ID(),
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

// exchange passes a request to the handler and waits for its reply or until the client has left.
func (c *serverConn) exchange(req *Request) (Response, bool) {
	x, reply := NewExchange(c.raw)
	if !c.held || c.turned {
		if c.s.TurnedAway != nil {
			c.s.TurnedAway(req)
		}
		r := Response{Status: 503, Body: []byte("too many connections\n")}
		after := time.Duration(max(1, math.Ceil(c.after.Seconds()))) * time.Second
		if c.s.Advise != nil {
			after = c.s.Advise(after)
		}
		if after > 0 {
			r.Header = [][2]string{{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64)}}
		}
		return r, true
	}
	c.s.last.Store(int64(c.since.Sub(c.s.begun))) // when the request was taken: it may have waited before
	gone := c.s.handle(req, x)
	c.signal() // the wake-up for an end of stream that came with the request may have been consumed already
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
				"query", req.ID(), "after", time.Since(req.At), "err", err)
			return Response{}, false
		}
	}
}

func (c *serverConn) write(r Response, end, headOnly bool) error {
	limit := replyLimit + time.Duration(len(r.Body))*time.Microsecond // one more second per megabyte
	return writeResponse(&replyPiece{w: c.replies, limit: limit}, c.out, r, end, headOnly)
}

// lingerClose shuts down the sending side and lets the client read the reply before the connection is
// closed: closing while input is unread resets the connection, and the reset can overtake the reply. Further
// input is discarded: it is never handled, and the close tells the client so. A client that is still sending
// gets up to lingerTimeout.
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
		c.s.log.Info("input discarded after a connection's last reply", "client", c.c.RemoteAddr(), "bytes", unread)
	}
	_ = c.c.SetReadDeadline(time.Unix(1, 0)) // from here on readLoop discards input
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
