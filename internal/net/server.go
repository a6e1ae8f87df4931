package net

// The server: its listener, admission and eviction of client connections, and shutdown.

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lapislever/internal/admission"
	"lapislever/internal/delay"
	"lapislever/internal/watchdog"
)

// Exchange is one request that is waiting for its reply.
type Exchange struct {
	// Reject, if the handler sets it, ends the request with a failure as its reply: its client goes on sending
	// without end. It may be called once, after the handler has returned.
	Reject  func()
	reply   chan Response
	replied atomic.Bool
	conn    net.Conn // the client's socket
}

// NewExchange returns an exchange for a request that came over conn, and the channel that receives its reply.
func NewExchange(conn net.Conn) (*Exchange, <-chan Response) {
	x := &Exchange{reply: make(chan Response, 1), conn: conn}
	return x, x.reply
}

// ClientLeft asks the kernel whether the client has closed its connection, as the goroutine that reads from
// it may not have noticed yet.
func (x *Exchange) ClientLeft() bool { return x.conn != nil && PeerClosed(x.conn) }

// Reply delivers the reply. It never blocks; replies after the first are dropped.
func (x *Exchange) Reply(r Response) {
	if x.replied.CompareAndSwap(false, true) {
		x.reply <- r
	}
}

// Handler takes a request and returns a function to call if the client disconnects before the reply, or nil.
// It must not block; any goroutine may deliver the reply at any time.
type Handler func(r *Request, x *Exchange) (onDisconnect func())

// Server accepts client connections and serves HTTP/1.1 on them.
type Server struct {
	listener net.Listener
	handle   Handler
	budget   *Budget
	log      *slog.Logger
	mu       sync.Mutex // guards conns, draining
	conns    map[*serverConn]struct{}
	// draining: connections close between two requests, including those that are just being accepted.
	draining        bool
	closeAfterReply atomic.Bool
	// OnRejected, if set, is called for each request refused because too many connections are open.
	OnRejected func(r *Request)
	// CapRetryAfter, if set, adjusts the Retry-After sent to such a client; 0: send none.
	CapRetryAfter func(after time.Duration) time.Duration
	// Delays, if set, records replies that were written late.
	Delays *delay.Recorder
	// Admission, if set, decides which connections are admitted. Handshake, if set, makes the TLS handshake.
	// Both must be set before Serve is called.
	Admission   *AdmissionController
	Handshake   Handshake
	watchdog    watchdog.Watchdog
	startedAt   time.Time    // when the server was created
	lastRequest atomic.Int64 // when the last request was taken, in nanoseconds since startedAt
	overflow    atomic.Int64 // open connections beyond the budget, each only to be refused
	discards    discardLimit
	// largeRequests holds one for each large request that the handler is at work on. Another server's handler
	// may take longer, so that each server has its own.
	largeRequests chan struct{}
	// lastInputEviction is when a connection was last sought to free memory, in nanoseconds since startedAt.
	lastInputEviction atomic.Int64
}

// maxLargeRequests bounds how many large requests a server handles at the same moment: that takes processor
// time and memory, and small ones must not wait for all of them.
const maxLargeRequests = 1

// evictionInterval is the time between two searches for a connection to evict for memory.
const evictionInterval = time.Millisecond

// reusePort lets another process listen on the same address: the next version of this program, while this one
// shuts down. If the kernel refuses the option, this process has the address to itself.
var reusePort = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}}

// Listen returns a server that listens on addr only.
func Listen(addr string, budget *Budget, log *slog.Logger, h Handler) (*Server, error) {
	l, err := reusePort.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return NewServer(l, budget, log, h), nil
}

// ListenPacket opens a UDP socket.
func ListenPacket(addr string) (*net.UDPConn, error) {
	c, err := reusePort.ListenPacket(context.Background(), "udp", addr)
	if err != nil {
		return nil, err
	}
	return c.(*net.UDPConn), nil
}

// NewServer returns a server on an existing listener.
func NewServer(l net.Listener, budget *Budget, log *slog.Logger, h Handler) *Server {
	s := &Server{listener: l, handle: h, budget: budget, log: log, conns: map[*serverConn]struct{}{},
		startedAt: time.Now(), largeRequests: make(chan struct{}, maxLargeRequests)}
	budget.addEvictor(func() bool { return s.evict(rankFresh) })
	return s
}

// Listener returns the server's listener.
func (s *Server) Listener() net.Listener { return s.listener }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() {
	var spare spareDescriptor
	if s.Admission != nil {
		spare.open()
	}
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil && spare.rejectOne(s.listener, err) {
			s.log.Warn("connection closed: no descriptor is left", "err", err)
			continue
		}
		if err != nil { // out of descriptors or similar: transient
			s.log.Warn("accept failed", "err", err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		withinBudget, slot, retryAfter := s.admit(c)
		if !withinBudget && s.overflow.Add(1) > s.budget.maxOverflow.Load() {
			s.overflow.Add(-1)
			s.log.Warn("connection closed: too many are open", "client", c.RemoteAddr())
			_ = c.Close()
			continue
		}
		sc := &serverConn{server: s, raw: c, conn: c, in: NewRing(maxReadAhead), out: NewRing(replyRingSize),
			withinBudget: withinBudget, wake: make(chan struct{}, 1), since: time.Now(), state: stateWaiting,
			slot: slot, retryAfter: retryAfter}
		sc.replies = newReplyWriter(c, &s.watchdog)
		sc.in.memory = &s.budget.inputMemory
		s.mu.Lock()
		sc.closing = s.draining
		s.conns[sc] = struct{}{}
		s.mu.Unlock()
		if slot.controller != nil {
			slot.controller.setCloser(slot.id, sc.closeIfIdle)
		}
		if s.Handshake != nil {
			go sc.handshake()
			continue
		}
		go sc.readLoop()
		go sc.serve()
	}
}

// admit acquires a descriptor for a connection. If it is refused, retryAfter is when the client may come
// back.
func (s *Server) admit(c net.Conn) (withinBudget bool, slot admissionSlot, retryAfter time.Duration) {
	if s.Admission == nil {
		withinBudget = s.budget.AcquireClient()
		if !withinBudget && s.evict(rankBusy) {
			withinBudget = s.budget.AcquireClient()
		}
		return withinBudget, admissionSlot{}, time.Second
	}
	d := s.Admission.decide(c, s.Handshake != nil, s.budget.ClientCapacity())
	if d.Outcome == admission.Refuse {
		return false, admissionSlot{}, time.Duration(d.RetryAfter) * time.Microsecond
	}
	if !s.budget.acquireAdmitted() { // a node connection has taken it in the meantime
		s.Admission.Release(d.ID)
		return false, admissionSlot{}, time.Second
	}
	return true, admissionSlot{s.Admission, d.ID}, 0
}

// remove forgets a connection that has ended.
func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	c.releaseBudget()
}

// evict closes the client connection that is least useful, so that a flood of connections does not keep
// others out: first one that only lingers after its last reply, then one that has sent nothing or has
// stalled in its first request, then the one that has been idle between requests the longest, which the
// protocol allows to close. It only closes connections of a rank below bound.
func (s *Server) evict(bound evictionRank) bool {
	now := time.Now() // once, as there may be hundreds of connections
	victim, rank, since := s.evictLowest(bound, now)
	if victim == nil {
		return false
	}
	s.log.Info("connection evicted to free a descriptor", "client", victim.conn.RemoteAddr(), "use", int(rank),
		"since", now.Sub(since))
	return true
}

// evictLowest closes the connection of the lowest rank below bound, and returns it with its rank and the time
// of its last state change; nil: there is none. Nothing is logged under the lock, which accepting needs.
func (s *Server) evictLowest(bound evictionRank, now time.Time) (victim *serverConn, lowest evictionRank,
	since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lowest = bound
	for c := range s.conns {
		if !c.withinBudget {
			continue
		}
		if rank, changed := c.rank(now); rank < lowest || rank == lowest && rank != bound && changed.Before(since) {
			victim, lowest, since = c, rank, changed
		}
	}
	if victim == nil || !victim.evict() {
		return nil, lowest, since
	}
	delete(s.conns, victim)
	victim.releaseBudget()
	return victim, lowest, since
}

// evictForInput closes the connection whose incomplete request has held memory for longest, so that
// requests that are not sent to their end don't keep others out. It closes none within the grace period of
// its first byte, and is done at most once an evictionInterval: hundreds of connections may want memory.
func (s *Server) evictForInput() {
	now := time.Now()
	last, elapsed := s.lastInputEviction.Load(), int64(now.Sub(s.startedAt))
	if elapsed-last < int64(evictionInterval) || !s.lastInputEviction.CompareAndSwap(last, elapsed) {
		return
	}
	if victim, since := s.evictOldestInput(now); victim != nil {
		s.log.Info("connection evicted to free memory", "client", victim.conn.RemoteAddr(), "since", now.Sub(since))
	}
}

// evictOldestInput closes the connection whose incomplete request has held memory for longest, and returns it
// and since when; nil: there is none.
func (s *Server) evictOldestInput(now time.Time) (victim *serverConn, oldest time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		since, stalled := c.stalledInput(now)
		if stalled && (victim == nil || since.Before(oldest)) {
			victim, oldest = c, since
		}
	}
	if victim == nil || !victim.evict() {
		return nil, oldest
	}
	delete(s.conns, victim)
	victim.releaseBudget()
	return victim, oldest
}

// EvictStalled closes a connection that no request is expected on, if there is one.
func (s *Server) EvictStalled() bool { return s.evict(rankIdle) }

// CloseAfterReply makes every further reply close its connection. Idle connections stay open, as a request
// may be on its way.
func (s *Server) CloseAfterReply() { s.closeAfterReply.Store(true) }

// Drain shuts the server down: every further reply closes its connection, and connections that are or become
// idle are closed. The goroutine that serves a connection closes it, between two requests: it shuts down the
// sending side and keeps reading until the client has left, so that no reply in flight is lost and no
// request is taken that is not answered.
func (s *Server) Drain() {
	s.CloseAfterReply()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
		c.signal()
	}
}

// LastRequest returns when the last request was taken.
func (s *Server) LastRequest() time.Time { return s.startedAt.Add(time.Duration(s.lastRequest.Load())) }

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// StopListening closes the listener; open connections stay.
func (s *Server) StopListening() { _ = s.listener.Close() }

// Wait waits until every connection has ended, for at most the given time, and reports whether they have.
func (s *Server) Wait(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	return s.WaitUntil(func() time.Time { return deadline })
}

// WaitUntil waits until every connection has ended, or until the time that the function returns, which may
// change meanwhile, and reports whether they have. After Drain, a request that is still incomplete shortly
// before that time gets an error reply. It polls rather than using a sync.WaitGroup, as a connection may
// still be accepted just as the listener closes.
func (s *Server) WaitUntil(until func() time.Time) bool {
	limited := time.Time{}
	for ; s.OpenConns() > 0; time.Sleep(pollInterval) {
		deadline := until()
		if deadline != limited {
			s.limitIncompleteRequests(deadline)
			limited = deadline
		}
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// limitIncompleteRequests sets, after Drain, by when requests have to be complete: shortly before a deadline.
func (s *Server) limitIncompleteRequests(deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		return
	}
	for c := range s.conns {
		c.mu.Lock()
		c.requestBy = deadline.Add(-incompleteMargin)
		c.mu.Unlock()
		c.signal()
	}
}
