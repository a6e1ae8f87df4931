package net

// The server: its listener, who is let in and who makes way, and the end.

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

// Exchange is one request that waits for its one reply.
type Exchange struct {
	reply chan Response
	once  atomic.Bool
	conn  net.Conn // the client's socket
}

// NewExchange returns an exchange of a request that came over a socket, and where its reply will come.
func NewExchange(conn net.Conn) (*Exchange, <-chan Response) {
	x := &Exchange{reply: make(chan Response, 1), conn: conn}
	return x, x.reply
}

// ClientLeft asks the system whether the client has closed its connection: whoever reads from it may not have
// come to see that yet.
func (x *Exchange) ClientLeft() bool { return x.conn != nil && PeerLeft(x.conn) }

// Reply hands over the reply. It never blocks; any reply but the first is dropped.
func (x *Exchange) Reply(r Response) {
	if x.once.CompareAndSwap(false, true) {
		x.reply <- r
	}
}

// Handler takes a request and returns what to call should the client be gone before the reply, or nil. It
// must not block; the reply may come at any time from any goroutine.
type Handler func(r *Request, x *Exchange) (gone func())

// Server accepts clients' connections and serves HTTP/1.1 on them.
type Server struct {
	l      net.Listener
	handle Handler
	budget *Budget
	log    *slog.Logger
	mu     sync.Mutex // guards conns, finished
	conns  map[*serverConn]struct{}
	// finished: connections end between two requests, also those that were just being accepted.
	finished bool
	closing  atomic.Bool
	// OnRejected, if set, hears of each request that is refused because too many connections are open.
	OnRejected func(r *Request)
	// CapRetryAfter, if set, is what such a client may be told of when to come back; 0: nothing.
	CapRetryAfter func(after time.Duration) time.Duration
	// Delays, if set, hears of replies that were written late.
	Delays *delay.Recorder
	// Admission, if set, says who is let in, and Secure, if set, makes the connection one by TLS. Both are set
	// before Serve.
	Admission *AdmissionController
	Handshake Handshake
	watch     watchdog.Watchdog
	begun     time.Time    // when it was made
	last      atomic.Int64 // when a request last came, in nanoseconds since then
	spare     atomic.Int64 // connections beyond the budget that are just being refused
}

// reusing lets another process listen on the same address: the next version of this program, while this one
// ends. Where the system refuses that, the address is this process's alone.
var reusing = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}}

// Listen starts to listen on an address and on nothing else.
func Listen(addr string, budget *Budget, log *slog.Logger, h Handler) (*Server, error) {
	l, err := reusing.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return NewServer(l, budget, log, h), nil
}

// ListenPacket opens a socket for datagrams.
func ListenPacket(addr string) (*net.UDPConn, error) {
	c, err := reusing.ListenPacket(context.Background(), "udp", addr)
	if err != nil {
		return nil, err
	}
	return c.(*net.UDPConn), nil
}

// NewServer serves on a listener that is there.
func NewServer(l net.Listener, budget *Budget, log *slog.Logger, h Handler) *Server {
	s := &Server{l: l, handle: h, budget: budget, log: log, conns: map[*serverConn]struct{}{},
		begun: time.Now()}
	budget.spareBy(func() bool { return s.evict(fresh) })
	return s
}

// Listener is the listener.
func (s *Server) Listener() net.Listener { return s.l }

// Addr is the address listened on.
func (s *Server) Addr() string { return s.l.Addr().String() }

// Serve accepts until the listener is closed.
func (s *Server) Serve() {
	var hand inHand
	if s.Admission != nil {
		hand.take()
	}
	for {
		c, err := s.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil && hand.turnAway(s.l, err) {
			s.log.Warn("connection closed: no descriptor is left", "err", err)
			continue
		}
		if err != nil { // out of descriptors or the like: it passes
			s.log.Warn("accept failed", "err", err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		held, place, after := s.admit(c)
		if !held && s.spare.Add(1) > s.budget.spare.Load() {
			s.spare.Add(-1)
			s.log.Warn("connection closed: too many are open", "client", c.RemoteAddr())
			_ = c.Close()
			continue
		}
		sc := &serverConn{s: s, raw: c, c: c, in: NewRing(aheadMost), out: NewRing(outRing), held: held,
			more: make(chan struct{}, 1), since: time.Now(), state: waiting, seat: place, after: after}
		sc.replies = newReplyWriter(c, &s.watch)
		sc.in.pool, sc.out.pool = &s.budget.rings, &s.budget.rings
		s.mu.Lock()
		sc.parting = s.finished
		s.conns[sc] = struct{}{}
		s.mu.Unlock()
		if place.k != nil {
			place.k.hold(place.id, sc.yield)
		}
		if s.Handshake != nil {
			go sc.secure()
			continue
		}
		go sc.fill()
		go sc.serve()
	}
}

// admit finds a place for a connection, or tells when to come back.
func (s *Server) admit(c net.Conn) (held bool, place seat, after time.Duration) {
	if s.Admission == nil {
		held = s.budget.AcquireClient()
		if !held && s.evict(kept) {
			held = s.budget.AcquireClient()
		}
		return held, seat{}, time.Second
	}
	d := s.Admission.arrive(c, s.Handshake != nil, s.budget.Places())
	if d.Outcome == admission.Refuse {
		return false, seat{}, time.Duration(d.RetryAfter) * time.Microsecond
	}
	if !s.budget.takePlace() { // nodes have taken it meanwhile
		s.Admission.Leave(d.ID)
		return false, seat{}, time.Second
	}
	return true, seat{s.Admission, d.ID}, 0
}

// forget drops a connection that has ended.
func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	c.giveBack()
}

// evict closes the client connection that can best be spared, so that a crowd does not keep others out: one
// that only reads an error yet, one that has asked nothing or has stopped in the middle of its first request,
// else the one that has been without a request for the longest time, as the protocol allows.
// Only what can be spared better than the bound is closed.
func (s *Server) evict(bound connUse) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var spared *serverConn
	var since time.Time
	worst := bound
	now := time.Now() // once: a crowd has hundreds of connections
	for c := range s.conns {
		if !c.held {
			continue
		}
		if use, at := c.use(now); use < worst || use == worst && use != bound && at.Before(since) {
			spared, worst, since = c, use, at
		}
	}
	if spared == nil || !spared.spare() {
		return false
	}
	s.log.Info("connection closed to make way", "client", spared.c.RemoteAddr(), "use", int(worst),
		"since", time.Since(since))
	delete(s.conns, spared)
	spared.giveBack()
	return true
}

// EvictStalled closes a connection of which no request is to be expected, if there is one.
func (s *Server) EvictStalled() bool { return s.evict(idle) }

// CloseAfterReply has every reply end its connection from now on. Idle connections stay: a request may be on its way.
func (s *Server) CloseAfterReply() { s.closing.Store(true) }

// Drain ends the server: from now on every reply ends its connection, and so do those that are or come to
// rest. Each connection is ended by the goroutine that takes its requests, between two of them: it says that
// nothing more will come, and goes on reading until the client has left, so that no reply on its way is lost
// and no request is read that is not answered.
func (s *Server) Drain() {
	s.CloseAfterReply()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	for c := range s.conns {
		c.mu.Lock()
		c.parting = true
		c.mu.Unlock()
		c.signal()
	}
}

// LastRequest is when a request last came.
func (s *Server) LastRequest() time.Time { return s.begun.Add(time.Duration(s.last.Load())) }

// OpenConns counts the connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// StopListening closes the listener; connections go on.
func (s *Server) StopListening() { _ = s.l.Close() }

// Wait waits until every connection has ended, or until the time is over. After Finish, a request that is not
// all there shortly before that is turned away. It looks again and again rather than at a sync.WaitGroup: a
// connection may still be accepted just as the listener closes.
func (s *Server) Wait(most time.Duration) bool {
	end := time.Now().Add(most)
	s.mu.Lock()
	for c := range s.conns {
		if !s.finished {
			break
		}
		c.mu.Lock()
		c.until = end.Add(-partLimit)
		c.mu.Unlock()
		c.signal()
	}
	s.mu.Unlock()
	for ; s.OpenConns() > 0; time.Sleep(waitStep) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
