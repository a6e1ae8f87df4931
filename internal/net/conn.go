// Package net owns sockets and bytes: listeners, connections with one ring buffer a direction, the budget
// of descriptors, and HTTP/1.1 on net/textproto. It must never decide anything: it does not know the
// module, the classes or what a body means, and no goroutine of it ever runs the module.
//
// This file holds the ring buffer, the descriptor budget and the server side of a connection; http.go holds
// the messages and the client side.
package net

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lapislever/internal/admission"
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
	aheadLimit = 30 * time.Millisecond
	fullPause  = 10 * time.Millisecond // between looks at a full ring
	poolSize   = 24 << 20              // all clients' rings together, beyond that, unless the budget says less
	drainSize  = 16 << 10              // read at once of what is thrown away
	idleLimit  = 10 * time.Second      // a client connection between requests
	spareLimit = time.Second           // and of one beyond the budget, until it is refused
	SpareMost  = 16                    // connections of that kind
	waitStep   = 5 * time.Millisecond  // between looks at whether all connections have ended
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

// ErrFull tells that a ring buffer holds as much as it may.
var ErrFull = errors.New("the buffer is full")

// Ring is a ring buffer that grows by doubling up to its limit. It is not safe for concurrent use.
type Ring struct {
	buf     []byte
	at, n   int
	ceiling int
	pool    *pool // where growth beyond the first size is booked, if anywhere
}

// pool bounds the memory that rings of many connections take together beyond their first size.
type pool struct{ left atomic.Int64 }

func (p *pool) take(n int) bool {
	if p == nil || n <= 0 || p.left.Add(int64(-n)) >= 0 {
		return true
	}
	p.left.Add(int64(n))
	return false
}

func (p *pool) give(n int) {
	if p != nil && n > 0 {
		p.left.Add(int64(n))
	}
}

// NewRing returns an empty ring that will hold limit bytes at most.
func NewRing(limit int) *Ring { return &Ring{ceiling: limit} }

// Len is the number of bytes held.
func (r *Ring) Len() int { return r.n }

// Free returns a stretch to read into; Grew must be told how much of it was filled. It is nil when full.
// Only here does an emptied ring start over and give memory back: Discard may run while a read into Free is
// under way, and must not move the place that it fills.
func (r *Ring) Free() []byte {
	if r.n == 0 {
		if r.at = 0; len(r.buf) > largeRing {
			r.drop()
		}
	}
	if r.n == len(r.buf) && !r.grow(r.n+1) {
		return nil
	}
	end := r.at + r.n
	if end >= len(r.buf) {
		end -= len(r.buf)
		return r.buf[end:r.at]
	}
	return r.buf[end:]
}

// Grew books n bytes that were filled into Free.
func (r *Ring) Grew(n int) { r.n += n }

func (r *Ring) grow(need int) bool {
	if need <= len(r.buf) {
		return true
	}
	if need > r.ceiling {
		return false
	}
	size := max(firstRing, 2*len(r.buf))
	for size < need {
		size *= 2
	}
	size = min(size, r.ceiling)
	if !r.pool.take(booked(size) - booked(len(r.buf))) {
		return false
	}
	fresh := make([]byte, size)
	r.copyOut(fresh[:r.n], 0)
	r.buf, r.at = fresh, 0
	return true
}

// booked is how much of a ring's size counts.
func booked(size int) int { return max(0, size-freeRing) }

// drop gives the ring's memory back.
func (r *Ring) drop() {
	r.pool.give(booked(len(r.buf)))
	r.buf, r.at, r.n = nil, 0, 0
}

// copyOut copies the bytes from place skip on into p, which must be held.
func (r *Ring) copyOut(p []byte, skip int) {
	at := r.at + skip
	if at >= len(r.buf) {
		at -= len(r.buf)
	}
	n := copy(p, r.buf[at:])
	copy(p[n:], r.buf)
}

// Write appends p whole, or nothing of it and ErrFull.
func (r *Ring) Write(p []byte) (int, error) {
	if !r.grow(r.n + len(p)) {
		return 0, ErrFull
	}
	for left := p; len(left) > 0; {
		n := copy(r.Free(), left)
		r.n += n
		left = left[n:]
	}
	return len(p), nil
}

// Read takes bytes out.
func (r *Ring) Read(p []byte) (int, error) {
	if r.n == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.n)
	r.copyOut(p[:n], 0)
	r.Discard(n)
	return n, nil
}

// Peek copies the bytes from place skip on without taking them, as many as there are and p holds.
func (r *Ring) Peek(p []byte, skip int) int {
	n := min(len(p), r.n-skip)
	if n <= 0 {
		return 0
	}
	r.copyOut(p[:n], skip)
	return n
}

// First returns the first stretch of what is held, without taking it.
func (r *Ring) First() []byte { return r.buf[r.at:min(len(r.buf), r.at+r.n)] }

// Discard forgets the first n bytes.
func (r *Ring) Discard(n int) {
	r.n -= n
	if r.at += n; r.at > 0 && r.at >= len(r.buf) {
		r.at -= len(r.buf)
	}
}

// Truncate keeps the first n bytes and forgets what was written after them.
func (r *Ring) Truncate(n int) { r.n = min(r.n, n) }

// Index is the place of the first sep, or -1.
func (r *Ring) Index(sep []byte) int {
	first := r.First()
	if i := bytes.Index(first, sep); i >= 0 {
		return i
	}
	if len(first) == r.n {
		return -1
	}
	all := make([]byte, r.n)
	r.copyOut(all, 0)
	return bytes.Index(all, sep)
}

// Budget counts descriptors that clients and servers share, and the memory of clients' rings. A part of the
// descriptors is kept for servers, so that a crowd of clients cannot take away the means to serve any of
// them.
type Budget struct {
	used, most, kept atomic.Int64
	clients          atomic.Int64 // of those in use
	spare            atomic.Int64 // beyond it, each for a client that is to be refused
	rings            pool
	spared           atomic.Pointer[[]func() bool] // by server: closes a connection that can be spared
}

// NewBudget returns a budget of most descriptors with kept of them closed to clients.
func NewBudget(most, kept int) *Budget {
	b := &Budget{}
	b.Limit(most, kept, max(2, min(SpareMost, most/4)))
	b.rings.left.Store(poolSize)
	return b
}

// LimitRings bounds the memory of clients' rings beyond their usual size. It comes before any is used.
func (b *Budget) LimitRings(bytes int) { b.rings.left.Store(int64(min(bytes, poolSize))) }

func (b *Budget) take(least int64) bool {
	for {
		u := b.used.Load()
		if u+least >= b.most.Load() {
			return false
		}
		if b.used.CompareAndSwap(u, u+1) {
			return true
		}
	}
}

// TakeServer takes one for a connection to a server. Where none is left a client's connection that is between
// requests makes way: nobody is served by holding it.
func (b *Budget) TakeServer() bool {
	if b.take(0) {
		return true
	}
	if all := b.spared.Load(); all != nil {
		for _, spare := range *all {
			if spare() && b.take(0) {
				return true
			}
		}
	}
	return false
}

// spareBy has a connection make way for servers' ones, if f finds one. Servers that share a budget, one a
// front, are asked in turn.
func (b *Budget) spareBy(f func() bool) {
	for {
		old := b.spared.Load()
		all := []func() bool{f}
		if old != nil {
			all = append(slices.Clone(*old), f)
		}
		if b.spared.CompareAndSwap(old, &all) {
			return
		}
	}
}

// TakeClient takes one for a client's connection.
func (b *Budget) TakeClient() bool {
	if !b.take(b.kept.Load()) {
		return false
	}
	b.clients.Add(1)
	return true
}

// ReleaseClient gives a client's back.
func (b *Budget) ReleaseClient() {
	b.clients.Add(-1)
	b.Release()
}

// takePlace takes one for a client that a gate has let in: what is kept for nodes counts as theirs whether
// they hold it or not, and no more than that.
func (b *Budget) takePlace() bool {
	if b.clients.Add(1) > int64(b.Places()) || !b.take(0) {
		b.clients.Add(-1)
		return false
	}
	return true
}

// Places is how many clients may be open at this moment, those that are included.
func (b *Budget) Places() int {
	nodes := max(0, b.used.Load()-b.clients.Load())
	return int(max(0, b.most.Load()-max(b.kept.Load(), nodes)))
}

// Limit changes the budget, and how many clients beyond it may be held open to be refused. What is held
// beyond it stays until it is given back.
func (b *Budget) Limit(most, kept, spare int) {
	b.most.Store(int64(most))
	b.kept.Store(int64(kept))
	b.spare.Store(int64(spare))
}

// Most is how many there are.
func (b *Budget) Most() int { return int(b.most.Load()) }

// Used is how many are taken.
func (b *Budget) Used() int { return int(b.used.Load()) }

// Release gives one back.
func (b *Budget) Release() { b.used.Add(-1) }

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
	// TurnedAway, if set, hears of each request that is refused because too many connections are open.
	TurnedAway func(r *Request)
	// Advise, if set, is what such a client may be told of when to come back; 0: nothing.
	Advise func(after time.Duration) time.Duration
	// Keeper, if set, says who is let in, and Secure, if set, makes the connection one by TLS. Both are set
	// before Serve.
	Keeper *Keeper
	Secure Secure
	begun  time.Time    // when it was made
	last   atomic.Int64 // when a request last came, in nanoseconds since then
	spare  atomic.Int64 // connections beyond the budget that are just being refused
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
	if s.Keeper != nil {
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
		sc.in.pool, sc.out.pool = &s.budget.rings, &s.budget.rings
		s.mu.Lock()
		sc.parting = s.finished
		s.conns[sc] = struct{}{}
		s.mu.Unlock()
		if place.k != nil {
			place.k.hold(place.id, sc.yield)
		}
		if s.Secure != nil {
			go sc.secure()
			continue
		}
		go sc.fill()
		go sc.serve()
	}
}

// admit finds a place for a connection, or tells when to come back.
func (s *Server) admit(c net.Conn) (held bool, place seat, after time.Duration) {
	if s.Keeper == nil {
		held = s.budget.TakeClient()
		if !held && s.evict(kept) {
			held = s.budget.TakeClient()
		}
		return held, seat{}, time.Second
	}
	d := s.Keeper.arrive(c, s.Secure != nil, s.budget.Places())
	if d.Verdict == admission.Refuse {
		return false, seat{}, time.Duration(d.After) * time.Microsecond
	}
	if !s.budget.takePlace() { // nodes have taken it meanwhile
		s.Keeper.Leave(d.ID)
		return false, seat{}, time.Second
	}
	return true, seat{s.Keeper, d.ID}, 0
}

// secure makes the handshake, within its time, and goes on as a client that has proved who it is, or has not.
func (c *serverConn) secure() {
	limit := spareLimit
	if c.seat.k != nil && c.held {
		limit = c.seat.k.proof
	}
	_ = c.c.SetDeadline(time.Now().Add(limit))
	secured, identity, err := c.s.Secure(c.c)
	if err != nil {
		c.s.log.Warn("no handshake", "client", c.c.RemoteAddr(), "err", err)
		c.shut()
		c.s.forget(c)
		return
	}
	_ = c.c.SetDeadline(time.Time{})
	c.c = secured // nobody else looks at it yet
	if c.seat.k != nil {
		if d := c.seat.k.prove(c.seat.id, identity, identity != ""); d.Verdict == admission.Refuse {
			c.turned, c.after = true, time.Duration(d.After)*time.Microsecond
		}
	}
	go c.fill()
	c.serve()
}

// forget drops a connection that has ended.
func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	c.giveBack()
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
	for c := range s.conns {
		if !c.held {
			continue
		}
		if use, at := c.use(); use < worst || use == worst && use != bound && at.Before(since) {
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

// MakeWay closes a connection of which no request is to be expected, if there is one.
func (s *Server) MakeWay() bool { return s.evict(idle) }

// Wind has every reply end its connection from now on. Idle connections stay: a request may be on its way.
func (s *Server) Wind() { s.closing.Store(true) }

// Finish ends the server: from now on every reply ends its connection, and so do those that are or come to
// rest. Each connection is ended by the goroutine that takes its requests, between two of them: it says that
// nothing more will come, and goes on reading until the client has left, so that no reply on its way is lost
// and no request is read that is not answered.
func (s *Server) Finish() {
	s.Wind()
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

// Open counts the connections.
func (s *Server) Open() int {
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
	for ; s.Open() > 0; time.Sleep(waitStep) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// serverConn is a client's connection: fill reads into its ring, serve takes requests out one by one.
type serverConn struct {
	s       *Server
	raw     net.Conn   // the socket
	c       net.Conn   // the same, or TLS over it
	mu      sync.Mutex // guards in, err, at, state, since, asked, parting, until, overrun
	in, out *Ring
	more    chan struct{}
	err     error
	at      time.Time // of the last byte read
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

// use tells what a connection is good for, and since when.
func (c *serverConn) use() (connUse, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch late := time.Since(c.since) > graceLimit; {
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
			c.mu.Lock()
			c.in.Grew(n)
			if n > 0 {
				c.at = time.Now()
			}
			c.mu.Unlock()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // serve wants the ring's memory back, or all thrown away
			err = nil
			_ = c.c.SetReadDeadline(time.Time{})
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
			return nil, &BadMessage{Status: 413, What: "more was sent ahead than is held"}
		case parting && rest && (c.asked || grace <= 0):
			return nil, errRest
		case parting && rest:
			timer.Reset(grace)
		}
		if lack.word && !continued {
			continued = true
			if _, err := c.c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
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
			c.s.log.Warn("bad request", "client", c.c.RemoteAddr(), "why", bad.What)
			_ = c.write(Response{Status: bad.Status, Body: []byte(bad.What + "\n")}, true, false)
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
		if err := c.write(resp, end, req.Method == "HEAD"); err != nil {
			c.s.log.Info("reply not written", "client", c.c.RemoteAddr(), "path", req.Path, "status", resp.Status,
				"err", err)
			return
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
	c.s.last.Store(int64(req.At.Sub(c.s.begun)))
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
			c.s.log.Info("client left with a request out", "client", c.c.RemoteAddr(), "path", req.Path,
				"query", req.Header.Get("X-Call-Id"), "after", time.Since(req.At), "err", err)
			if gone != nil {
				gone()
			}
			return Response{}, false
		}
	}
}

func (c *serverConn) write(r Response, end, headOnly bool) error {
	limit := replyLimit + time.Duration(len(r.Body))*time.Microsecond // a megabyte a second
	_ = c.c.SetWriteDeadline(time.Now().Add(limit))
	return writeResponse(c.c, c.out, r, end, headOnly)
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
	c.in.Discard(c.in.Len())
	c.mu.Unlock()
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
