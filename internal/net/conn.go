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
	"runtime"
	"strconv"
	"sync"
	"time"

	"lapislever/internal/admission"
	"lapislever/internal/delay"
)

// Sizes of messages and buffers.
const (
	MaxBody       = 64 << 10  // largest body that the protocol allows
	MaxHead       = 16 << 10  // largest request or status line with its headers
	replyRingSize = 16 << 10  // replies are written through it in chunks
	maxReadAhead  = 256 << 10 // how much a client may send ahead of its replies: the ring's limit
)

// Times of a client connection.
const (
	// If a client's ring stays full for this long while its request is in progress, further input is read and
	// discarded: only a read shows that the client has left, and its request has to be cancelled within 0.1 s.
	fullRingTimeout = 30 * time.Millisecond
	fullRingPause   = 10 * time.Millisecond // between checks of a full ring
	idleTimeout     = 10 * time.Second      // for a client connection between requests
	overflowTimeout = time.Second           // for a connection beyond the budget, until it is refused
	pollInterval    = 5 * time.Millisecond  // between checks whether all connections have ended
	// A client must get a reply or a close within 3 s of connecting, even if it sends half a request or none.
	requestTimeout = 2500 * time.Millisecond
	replyTimeout   = 5 * time.Second
	// Within this time, a client's first request may be on its way, a partial request may be completed, and a
	// reply may still be in flight.
	gracePeriod      = 300 * time.Millisecond
	incompleteMargin = 200 * time.Millisecond // before Wait ends, to reply to incomplete requests
)

// handshake makes the TLS handshake within its timeout, then serves the connection as authenticated or not.
func (c *serverConn) handshake() {
	timeout := overflowTimeout
	if c.slot.controller != nil && c.withinBudget {
		timeout = c.slot.controller.handshakeTimeout
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	secured, identity, err := c.server.Handshake(c.conn)
	if err != nil {
		c.server.log.Warn("TLS handshake failed", "client", c.conn.RemoteAddr(), "err", err)
		c.closeSocket()
		c.server.remove(c)
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	c.conn = secured // no other goroutine uses it yet
	c.replies = newReplyWriter(secured, &c.server.watchdog)
	if c.slot.controller != nil {
		if d := c.slot.controller.handshakeDone(c.slot.id, identity,
			identity != ""); d.Outcome == admission.Refuse {
			c.rejected, c.retryAfter = true, time.Duration(d.RetryAfter)*time.Microsecond
		}
	}
	go c.readLoop()
	c.serve()
}

// closeIfIdle closes the connection if no part of a request has arrived.
func (c *serverConn) closeIfIdle() bool {
	c.mu.Lock()
	if c.state != stateWaiting || c.in.Len() > 0 {
		c.mu.Unlock()
		return false
	}
	c.markEvicted()
	c.mu.Unlock()
	c.server.remove(c)
	return true
}

// markEvicted closes the connection and ends both of its goroutines, wherever they wait. The caller holds mu.
func (c *serverConn) markEvicted() {
	c.state = stateEvicted
	if c.readErr == nil {
		c.readErr = net.ErrClosed // readLoop may not be in a read, which the close would end
	}
	c.closeSocket()
	c.signal()
}

// serverConn is a client connection: readLoop reads into its ring, serve takes requests out of it one by one.
type serverConn struct {
	server *Server
	raw    net.Conn // the socket
	conn   net.Conn // the socket, or TLS over it
	// mu guards in, readErr, lastRead, arrivals, state, since, hadRequest, closing, requestBy, overrun,
	// discarded, inputSince and noMemory.
	mu              sync.Mutex
	in, out         *Ring
	parser          requestParser // used by serve only
	replies         *replyWriter
	wake            chan struct{}
	readErr         error
	lastRead        time.Time // when the last byte arrived
	arrivals        arrivalMarks
	inputSince      time.Time // when the ring was last empty before input arrived
	noMemory        bool      // there is no memory for the rest of a request
	state           connState
	since           time.Time // when the state last changed
	hadRequest      bool      // at least one request was taken
	closing         bool      // to be closed between two requests
	requestBy       time.Time // while closing, the deadline for a complete request
	overrun         bool      // input beyond the ring's limit has been discarded
	discarded       int       // bytes of discarded input
	goroutinesEnded int       // of readLoop and serve
	withinBudget    bool      // counts against the budget; guarded by the server's mu
	released        bool
	slot            admissionSlot
	rejected        bool          // its request is to be refused, though it is within the budget
	retryAfter      time.Duration // when to come back, if refused
}

type connState uint8

const (
	stateWaiting   connState = iota // waiting for a request, or for the rest of one
	stateServing                    // serving a request
	stateLingering                  // the last reply is written; further input is discarded
	stateEvicted                    // closed to free a descriptor
)

// evictionRank orders connections by eviction, the first to be evicted first.
type evictionRank uint8

const (
	rankLingering evictionRank = iota // the last reply was written a while ago
	rankStalled                       // no complete request within the grace period
	rankIdle                          // between requests
	rankFresh                         // a request may be on its way
	rankBusy                          // has an unanswered request, or a reply may be in flight
)

// rank returns the connection's eviction rank at a time, and the time of its last state change. It waits for
// no goroutine of the connection: one that holds the lock is at work on input.
func (c *serverConn) rank(now time.Time) (evictionRank, time.Time) {
	if !c.mu.TryLock() {
		return rankBusy, now
	}
	defer c.mu.Unlock()
	switch pastGrace := now.Sub(c.since) > gracePeriod; {
	case c.state == stateLingering && pastGrace:
		return rankLingering, c.since
	case c.state != stateWaiting: // or a final reply may be in flight, which a close could overtake
		return rankBusy, c.since
	case pastGrace && !c.hadRequest:
		return rankStalled, c.since
	case c.in.Len() > 0:
		return rankBusy, c.since
	case c.hadRequest && pastGrace:
		return rankIdle, c.since
	}
	return rankFresh, c.since
}

// stalledInput reports whether the connection holds memory for a request that has not been complete within
// the grace period, and since when it waits for that. A request that came while another was served counts
// from when that had its reply: it may be complete. Like rank it waits for no goroutine of the connection.
func (c *serverConn) stalledInput(now time.Time) (since time.Time, stalled bool) {
	if !c.mu.TryLock() {
		return now, false
	}
	defer c.mu.Unlock()
	if since = c.inputSince; c.since.After(since) {
		since = c.since
	}
	return since, c.state == stateWaiting && c.in.holdsMemory() && now.Sub(since) > gracePeriod
}

// evict closes the connection unless a request has been, or may just be, taken from it in the meantime.
func (c *serverConn) evict() bool {
	if !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	if c.state == stateServing {
		return false
	}
	c.markEvicted()
	return true
}

// setState changes the connection's state. It returns false if the connection has been evicted.
func (c *serverConn) setState(s connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateEvicted {
		return false
	}
	c.state, c.since = s, time.Now()
	return true
}

func (c *serverConn) closeSocket() { _ = c.raw.Close() }

// releaseBudget releases the connection's descriptor and its admission slot, once.
func (c *serverConn) releaseBudget() {
	if c.released {
		return
	}
	c.released = true
	c.slot.release()
	if c.withinBudget {
		c.server.budget.ReleaseClient()
	} else {
		c.server.overflow.Add(-1)
	}
}

func (c *serverConn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// readLoop reads input even while a request waits for its reply, as only a read shows that the client has
// left.
func (c *serverConn) readLoop() {
	var fullFor time.Duration   // how long the ring has been full during the current request
	var memoryMissing time.Time // since when there is no memory for more input; zero: there is
	var stateStart time.Time    // when the current state began
	var failures transientFailures
	clock := arrivalClock{raw: rawConn(c.raw)}
	for ended := false; !ended; {
		c.mu.Lock()
		free := c.in.Free()
		if free != nil || c.state != stateServing || c.since != stateStart {
			fullFor, stateStart = 0, c.since
		}
		c.overrun = c.overrun || fullFor >= fullRingTimeout
		lacksMemory := free == nil && c.state == stateWaiting && c.in.lacksMemory()
		if !lacksMemory {
			memoryMissing = time.Time{}
		} else if memoryMissing.IsZero() {
			memoryMissing = time.Now()
		}
		givesUp := lacksMemory && time.Since(memoryMissing) > gracePeriod
		c.noMemory = givesUp
		discard := c.state == stateLingering || c.overrun
		if c.state == stateLingering {
			c.in.release() // nothing of it is wanted any more
		}
		ended = c.readErr != nil
		c.mu.Unlock()
		var err error
		switch {
		case ended:
			continue
		case discard:
			err = c.discardInput()
		case free == nil: // far more than a request, or no memory: wait for serve to make room or to give up
			if givesUp {
				c.signal()
			}
			if lacksMemory {
				c.server.evictForInput()
			}
			time.Sleep(fullRingPause) // also behind an eviction, which releases memory a moment later
			fullFor += fullRingPause
			continue
		default:
			var n int
			n, err = c.conn.Read(free)
			var arrived time.Time
			if n > 0 {
				arrived = clock.arrivalTime(time.Now())
			}
			c.mu.Lock()
			if c.in.Len() == 0 {
				c.inputSince = arrived
			}
			c.in.Commit(n)
			if n > 0 {
				c.lastRead = arrived
				c.arrivals.add(n, arrived)
			}
			c.mu.Unlock()
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // serve wants the ring's memory released, or input discarded
			err = nil
			_ = c.conn.SetReadDeadline(time.Time{})
		case err == nil:
			failures.reset()
			runtime.Gosched() // a client at full speed must not keep its thread from others
		case c.conn == c.raw && failures.retry(c.raw, err):
			err = nil
		}
		c.mu.Lock()
		if err != nil && c.readErr == nil {
			c.readErr = err
		}
		c.mu.Unlock()
		c.signal()
	}
	c.mu.Lock()
	c.goroutinesEnded++
	c.releaseRings()
	c.mu.Unlock()
}

// releaseRings releases the rings once both goroutines have ended.
func (c *serverConn) releaseRings() {
	if c.goroutinesEnded == 2 {
		c.in.release()
		c.out.release()
	}
}

// errIdleClose means that a connection is to be closed between two requests.
var errIdleClose = errors.New("connection idle")

// nextRequest waits for a complete request.
func (c *serverConn) nextRequest() (*Request, error) {
	if !c.setState(stateWaiting) {
		return nil, net.ErrClosed
	}
	if c.hadRequest {
		c.slot.markIdle() // before the first request, one is expected right away
	}
	var startedAt, deadline time.Time
	var missing incomplete
	sentContinue := false
	timeout := idleTimeout
	if !c.withinBudget { // it holds one of the few overflow slots
		timeout = overflowTimeout
	} else if !c.hadRequest {
		timeout = requestTimeout
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		c.mu.Lock()
		if c.state == stateEvicted {
			c.mu.Unlock()
			return nil, net.ErrClosed
		}
		if startedAt.IsZero() && c.in.Len() > 0 {
			startedAt = time.Now()
			if c.hadRequest || c.closing {
				timer.Reset(min(timeout, requestTimeout))
			}
		}
		var req *Request
		var err error
		if c.in.Len() >= missing.minBytes { // else the same bytes would be parsed again in vain
			req, missing, err = c.takeRequest()
		}
		readErr := c.readErr
		if req != nil || missing.noMemory {
			c.state, c.since, c.hadRequest = stateServing, time.Now(), true
		}
		idle := c.in.Len() == 0 && startedAt.IsZero()
		closing, overrun, noMemory := c.closing, c.overrun, c.noMemory
		if closing && !idle && c.requestBy != deadline {
			deadline = c.requestBy
			timer.Reset(max(0, min(timeout, time.Until(deadline))))
		}
		graceLeft := gracePeriod - time.Since(c.since) // the first request may be on its way
		c.mu.Unlock()
		if missing.noMemory {
			req, err = c.awaitMemory()
		}
		switch {
		case err != nil:
			return nil, err
		case req != nil:
			c.slot.markBusy()
			return req, nil
		case readErr != nil:
			return nil, readErr
		case overrun:
			return nil, &BadMessage{Status: 413, Detail: "more was sent ahead than is held"}
		case noMemory:
			return nil, &BadMessage{Status: 503, Detail: "no memory is left for the request"}
		case closing && idle && (c.hadRequest || graceLeft <= 0):
			return nil, errIdleClose
		case closing && idle:
			timer.Reset(graceLeft)
		}
		if missing.expectContinue && !sentContinue {
			sentContinue = true
			chunk := &replyChunk{w: c.replies, timeout: replyTimeout}
			if _, err := chunk.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return nil, err
			}
		}
		select {
		case <-c.wake:
		case <-timer.C:
			switch {
			case startedAt.IsZero():
				return nil, errIdleClose
			case !deadline.IsZero() && !time.Now().Before(deadline):
				return nil, &BadMessage{Status: 503, Detail: "this coordinator ends"}
			}
			return nil, &BadMessage{Status: 408, Detail: "the request did not come to its end in time"}
		}
	}
}

// takeRequest takes a complete request out of the ring. The caller holds mu.
func (c *serverConn) takeRequest() (*Request, incomplete, error) {
	req, missing, err := c.parser.parse(c.in)
	if req != nil {
		req.ReceivedAt = c.arrivals.take(c.in.Len())
	}
	return req, missing, err
}

// awaitMemory waits for the memory that a complete request needs, and then takes the request. It makes room
// by evicting connections with incomplete requests; after the grace period the request is to be refused.
func (c *serverConn) awaitMemory() (*Request, error) {
	for waited := time.Duration(0); ; waited += fullRingPause {
		c.mu.Lock()
		c.parser.withoutBody = waited > gracePeriod
		req, _, err := c.takeRequest()
		c.mu.Unlock()
		if req != nil || err != nil {
			return req, err
		}
		c.server.evictForInput()
		time.Sleep(fullRingPause) // an eviction releases memory a moment later
	}
}

// serve handles requests one after another and writes their replies.
func (c *serverConn) serve() {
	defer func() {
		c.mu.Lock()
		if c.readErr == nil {
			c.readErr = net.ErrClosed
		}
		c.goroutinesEnded++
		c.releaseRings()
		c.mu.Unlock()
		c.closeSocket()
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.releaseBudget()
		c.server.mu.Unlock()
	}()
	for {
		runtime.Gosched() // a client at full speed must not keep its thread from others
		req, err := c.nextRequest()
		var bad *BadMessage
		if errors.As(err, &bad) {
			_ = c.writeReply(Response{Status: bad.Status, Body: []byte(bad.Detail + "\n")}, true, false)
			c.server.log.Warn("bad request", "client", c.conn.RemoteAddr(), "why", bad.Detail)
			c.lingerClose()
			return
		}
		if errors.Is(err, errIdleClose) {
			c.server.log.Debug("idle connection closed", "client", c.conn.RemoteAddr(),
				"closing", c.server.closeAfterReply.Load())
			c.lingerClose()
		}
		if err != nil {
			return
		}
		resp, ok := c.exchange(req)
		if !ok {
			c.in.memory.release(req.reserved)
			return
		}
		closeAfter := req.Close || resp.Close || c.server.closeAfterReply.Load() || !c.withinBudget ||
			c.rejected || req.noMemory
		err = c.writeReply(resp, closeAfter, req.Method == "HEAD")
		c.in.memory.release(req.reserved)
		if c.replies.wasTakenOver() {
			c.server.log.Warn("reply finished by the watchdog: its writer was stuck", "client", c.conn.RemoteAddr(),
				"query", req.ID())
			closeAfter = true
		}
		if err != nil {
			c.server.log.Info("reply not written", "client", c.conn.RemoteAddr(), "path", req.Path, "query", req.ID(),
				"status", resp.Status, "err", err)
			return
		}
		if !resp.DecidedAt.IsZero() {
			c.server.Delays.Record(delay.Reply, time.Since(resp.DecidedAt), "client", c.conn.RemoteAddr(),
				"query", req.ID(), "status", resp.Status)
		}
		if closeAfter {
			c.lingerClose()
			return
		}
	}
}

// releaseRing makes readLoop release the memory of the ring if that is empty. Otherwise an idle connection,
// or one whose request is open, would keep a ring as large as its largest request.
func (c *serverConn) releaseRing() { _ = c.conn.SetReadDeadline(time.Unix(1, 0)) }

// exchange passes a request to the handler and waits for its reply or until the client has left.
func (c *serverConn) exchange(req *Request) (Response, bool) {
	x, reply := NewExchange(c.raw)
	if !c.withinBudget || c.rejected || req.noMemory {
		if c.server.OnRejected != nil {
			c.server.OnRejected(req)
		}
		r := Response{Status: 503, Body: []byte("too many connections\n")}
		if req.noMemory {
			r.Body = []byte("no memory is left for the request\n")
			c.server.log.Warn("request refused: no memory is left for it", "client", c.conn.RemoteAddr(),
				"query", req.ID())
		}
		after := time.Duration(max(1, math.Ceil(c.retryAfter.Seconds()))) * time.Second
		if c.server.CapRetryAfter != nil {
			after = c.server.CapRetryAfter(after)
		}
		if after > 0 {
			r.Header = [][2]string{{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64)}}
		}
		return r, true
	}
	// The time at which the request was taken, as it may have waited in the ring before.
	c.server.lastRequest.Store(int64(c.since.Sub(c.server.startedAt)))
	large := len(req.Body) > freeRingSize
	if large {
		c.releaseRing()
		c.server.largeRequests <- struct{}{}
	}
	onDisconnect := c.server.handle(req, x)
	if req.Body = nil; large { // the handler has taken what it needs
		<-c.server.largeRequests
	}
	c.signal() // the wake-up for an end of stream that came with the request may have been consumed already
	rejected := false
	for {
		select {
		case r := <-reply:
			r.Close = r.Close || rejected
			return r, true
		case <-c.wake:
			c.mu.Lock()
			err, flooding := c.readErr, c.discarded > discardBurst
			c.mu.Unlock()
			if err == nil && flooding && !rejected && x.Reject != nil {
				rejected = true
				c.server.log.Warn("request rejected: its client sends on without end", "client", c.conn.RemoteAddr(),
					"path", req.Path, "query", req.ID())
				x.Reject()
			}
			if err == nil {
				continue
			}
			if onDisconnect != nil {
				onDisconnect()
			}
			c.server.log.Info("client left with a request out", "client", c.conn.RemoteAddr(), "path", req.Path,
				"query", req.ID(), "after", time.Since(req.ReceivedAt), "err", err)
			return Response{}, false
		}
	}
}

func (c *serverConn) writeReply(r Response, closeAfter, headOnly bool) error {
	defer func() {
		if len(c.out.buf) > freeRingSize {
			c.out.release()
		}
	}()
	timeout := replyTimeout + time.Duration(len(r.Body))*time.Microsecond // one more second per megabyte
	return writeResponse(&replyChunk{w: c.replies, timeout: timeout}, c.out, r, closeAfter, headOnly)
}
