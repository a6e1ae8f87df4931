package grpcnode

// The client side of an HTTP/2 connection to a node. This file handles the life cycle of streams, flow
// control, and the exact result on whether a call may have run. It must never send a call again, on this
// connection or another.
//
// The write loop dials and writes. It encodes frames only as fast as it can write them, so that a call which
// has not been started can still be cancelled. The read loop handles incoming frames. Both hold the mutex
// only while they access the state.

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/translate"
)

const (
	outHigh    = 32 << 10 // buffered bytes to write above which no call is started or continued
	outMost    = 128 << 10
	inFrame    = 16 << 10 // largest incoming frame, the protocol's default
	headMost   = 16 << 10 // limit on a reply's metadata
	creditAt   = 32 << 10 // bytes received after which the connection's window is replenished
	windowMost = 1<<31 - 1
)

// stream is the stream of one call.
type stream struct {
	a      *core.Attempt
	until  time.Time // not started after this
	body   []byte    // the part of the request that is not in frames yet
	head   [][2]string
	id     uint32
	window int64
	ended  bool // the last frame is in the ring
	whole  bool // the last frame's last byte was written
	begun  bool // the reply's headers have arrived
	// startEnd is the output offset up to which its first frames were queued when it started, 0 until that is
	// known. writeActive is set while that write is in progress (core.Attempt.BeginWrite).
	opens   uint64
	entered bool
	reply   []byte
	status  int // HTTP status
	wrote   time.Time
}

// endMark is the output offset at which a call's last frame ends.
type mark struct {
	at uint64
	s  *stream
}

// ping is a ping that has not been acknowledged.
type ping struct {
	at    time.Time
	probe bool // the core waits for the result
}

type conn struct {
	b  *Backend
	n  *node
	to Target // when the connection was opened

	mu       sync.Mutex // guards all fields below
	c        net.Conn
	out      *lnet.Ring
	put      uint64 // bytes queued in the ring so far
	written  uint64
	marks    []mark
	waiting  []*stream // not started
	sending  []*stream // started, but not completely in frames
	opening  []*stream // started, but the first frames are not completely written
	raw      net.Conn  // the socket below TLS; set before the first write
	streams  map[uint32]*stream
	of       map[*core.Attempt]*stream
	nextID   uint32
	pings    map[uint64]*ping
	nextPing uint64
	fr       *http2.Framer // writes to the ring
	enc      *hpack.Encoder
	block    blockBuffer
	settled  bool // the server's first SETTINGS frame has arrived
	streamsM uint32
	initial  int64 // the server's window for a new stream
	frame    uint32
	window   int64 // the connection's window for sending
	credit   int   // bytes received but not yet returned to the window
	writing  bool  // a write is in progress, and its result is not known yet
	retired  bool  // accepts no new calls
	dead     bool
	used     time.Time
	heard    time.Time
	wake     chan struct{}
}

// headerBuffer collects an encoded header block.
type blockBuffer struct{ b []byte }

func (w *blockBuffer) Write(p []byte) (int, error) { w.b = append(w.b, p...); return len(p), nil }

// frameWriter appends whole frames to the ring.
type outWriter struct{ c *conn }

func (w outWriter) Write(p []byte) (int, error) {
	n, err := w.c.out.Write(p)
	w.c.put += uint64(n)
	return n, err
}

// newConn returns a connection that has not been dialled yet; the caller holds the node's mu. Lock order: a
// node's mu is taken before its connections' mu, never while holding one.
func newConn(b *Backend, n *node) *conn {
	now := time.Now()
	c := &conn{b: b, n: n, to: n.to, out: lnet.NewRing(outMost), streams: map[uint32]*stream{},
		of: map[*core.Attempt]*stream{}, nextID: 1, pings: map[uint64]*ping{}, initial: 65535, window: 65535,
		frame: 16 << 10, streamsM: 1 << 31, used: now, heard: now, wake: make(chan struct{}, 1)}
	c.fr = http2.NewFramer(outWriter{c}, nil)
	c.enc = hpack.NewEncoder(&c.block)
	// The preface precedes everything else and is queued before there is a socket. The ring has room for it.
	_, _ = outWriter{c}.Write([]byte(http2.ClientPreface))
	_ = c.fr.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 0},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(b.replyMost())},
		http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: headMost})
	return c
}

func (c *conn) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// load returns the number of calls queued or in flight; the caller holds mu.
func (c *conn) load() int { return len(c.waiting) + len(c.streams) }

// maxCalls returns the limit on concurrent calls; the caller holds mu.
func (c *conn) most() int { return int(min(uint32(c.b.cfg.Streams), c.streamsM)) }

// enqueue queues a call. It returns false if the connection accepts no new calls.
func (c *conn) add(s *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead || c.retired {
		return false
	}
	c.waiting = append(c.waiting, s)
	c.of[s.a] = s
	c.used = time.Now()
	c.poke()
	return true
}

// remove removes a call; the caller holds mu.
func (c *conn) forget(s *stream) {
	delete(c.of, s.a)
	if s.id != 0 {
		delete(c.streams, s.id)
	}
	c.waiting = without(c.waiting, s)
	c.sending = without(c.sending, s)
	if c.retired || len(c.waiting) > 0 {
		c.poke()
	}
}

func without(list []*stream, s *stream) []*stream {
	for i, x := range list {
		if x == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// cancel cancels a call. It returns true if its last byte can never be written, so that it has not run.
func (c *conn) cut(a *core.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of[a]
	if s == nil || c.dead {
		return false
	}
	never := !s.ended
	if s.entered { // its first byte is in a system call: once cancelled, it must not follow what is sent instead
		c.abortWrite(s, core.WriteGrace)
	}
	if s.id != 0 {
		c.reset(s, http2.ErrCodeCancel)
	}
	c.forget(s)
	if s.whole && time.Since(c.heard) > c.b.cfg.DialTimeout {
		c.suspect() // the connection has gone silent: check that it is alive
	}
	return never
}

// resetStream sends RST_STREAM for a call; the caller holds mu.
func (c *conn) reset(s *stream, code http2.ErrCode) {
	if c.fr.WriteRSTStream(s.id, code) != nil {
		c.overflow()
	}
	c.poke()
}

// closeOverflow closes a connection whose peer reads nothing but keeps requiring replies; the caller holds
// mu.
func (c *conn) overflow() { go c.end(errors.New("the node does not read")) }

// sendPing queues a ping and returns its number; the caller holds mu.
func (c *conn) sendPing(probe bool) uint64 {
	c.nextPing++
	n := c.nextPing
	c.pings[n] = &ping{at: time.Now(), probe: probe}
	var data [8]byte
	for i := range data {
		data[i] = byte(n >> (8 * i))
	}
	if c.fr.WritePing(false, data) != nil {
		c.overflow()
	}
	c.poke()
	return n
}

// checkAlive checks with a ping whether a silent connection still works; the caller holds mu.
func (c *conn) suspect() {
	if !c.settled || len(c.pings) > 0 {
		return
	}
	n := c.sendPing(false)
	time.AfterFunc(c.b.cfg.DialTimeout, func() {
		c.mu.Lock()
		_, out := c.pings[n]
		c.mu.Unlock()
		if out {
			c.end(errors.New("no reply to a ping on a silent connection"))
		}
	})
}

// probe probes the node with a ping that bypasses its queue.
func (c *conn) probe() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false
	}
	n := c.sendPing(true)
	time.AfterFunc(c.b.cfg.DialTimeout, func() {
		c.mu.Lock()
		p := c.pings[n]
		delete(c.pings, n)
		c.mu.Unlock()
		if p != nil {
			c.b.probed(c.n, balance.TimedOut, time.Since(p.at))
		}
	})
	return true
}

// retire makes the connection accept no new calls.
func (c *conn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.poke()
}

// takePending removes and returns the calls that have not been started.
func (c *conn) back() (list []*core.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return nil
	}
	for _, s := range c.waiting {
		list = append(list, s.a)
		delete(c.of, s.a)
	}
	c.waiting = nil
	return list
}

// idle reports whether the connection has no calls or pings.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled && c.load() == 0 && len(c.pings) == 0
}

// dial opens the connection. sock is the connection to write to, raw the socket below it.
func (c *conn) dial() (sock, raw net.Conn, err error) {
	to := c.to
	raw, err = net.DialTimeout("tcp", to.Address, c.b.cfg.DialTimeout)
	if err != nil || !to.TLS {
		return raw, raw, err
	}
	t := tls.Client(raw, c.b.keys.Config(to.ServerName))
	_ = raw.SetDeadline(time.Now().Add(c.b.cfg.DialTimeout))
	if err := t.Handshake(); err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	if p := t.ConnectionState().NegotiatedProtocol; p != "h2" {
		_ = raw.Close()
		return nil, nil, fmt.Errorf("the node speaks %q, not h2", p)
	}
	return t, raw, nil
}

// close closes the connection and reports how its calls ended.
func (c *conn) end(err error) {
	c.n.drop(c)
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return
	}
	c.dead, c.retired = true, true
	sock, raw, all, pings, up, writing := c.c, c.raw, c.of, c.pings, c.settled, c.writing
	c.of, c.pings, c.streams, c.waiting, c.sending, c.marks = nil, nil, nil, nil, nil, nil
	c.mu.Unlock()
	c.poke()
	if sock != nil {
		lnet.Abort(raw)
		_ = sock.Close()
	}
	c.b.budget.Release()
	if err != nil {
		c.b.log.Warn("connection to a node ended", "node", c.n.name, "up", up, "calls", len(all), "err", err)
	}
	var violation http2.ConnectionError
	for _, s := range all {
		r := translate.Result{Outcome: balance.NoConnection}
		if s.whole || s.ended && writing { // how much of a write in progress gets out is unknown
			r = translate.Result{Outcome: balance.Reset, Reason: translate.Broken}
			if errors.As(err, &violation) || errors.Is(err, errProtocol) {
				r = translate.Result{Outcome: balance.Spoilt, Reason: translate.BadReply}
			}
		}
		c.b.done(c.n, s.a, r, core.Value{}, nil)
	}
	for _, p := range pings {
		if p.probe {
			o := balance.Reset
			if !up {
				o = balance.NoConnection
			}
			c.b.probed(c.n, o, time.Since(p.at))
		}
	}
}
