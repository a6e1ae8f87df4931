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
	writeHighWater = 32 << 10 // buffered bytes to write above which no call is started or continued
	maxWriteBuffer = 128 << 10
	maxReadFrame   = 16 << 10 // largest incoming frame, the protocol's default
	maxHeaderList  = 16 << 10 // limit on a reply's metadata
	windowUpdateAt = 32 << 10 // bytes received after which the connection's window is replenished
	maxWindow      = 1<<31 - 1
)

// stream is the stream of one call.
type stream struct {
	attempt    *core.Attempt
	deadline   time.Time // not started after this; sent to the node
	body       []byte    // the part of the request that is not in frames yet
	metadata   [][2]string
	id         uint32
	window     int64
	endQueued  bool // the last frame is in the ring
	endWritten bool // the last frame's last byte was written
	gotHeaders bool // the reply's headers have arrived
	// startEnd is the output offset up to which its first frames were queued when it started, 0 until that is
	// known. writeActive is set while that write is in progress (core.Attempt.BeginWrite).
	startEnd    uint64
	writeActive bool
	reply       []byte
	status      int // HTTP status
	writtenAt   time.Time
}

// endMark is the output offset at which a call's last frame ends.
type endMark struct {
	offset uint64
	stream *stream
}

// ping is a ping that has not been acknowledged.
type ping struct {
	sentAt time.Time
	probe  bool // the core waits for the result
}

type conn struct {
	backend *Backend
	node    *node
	target  Target // when the connection was opened

	mu            sync.Mutex // guards all fields below
	sock          net.Conn
	out           *lnet.Ring
	queued        uint64 // bytes queued in the ring so far
	written       uint64
	endMarks      []endMark
	pending       []*stream // not started
	sending       []*stream // started, but not completely in frames
	starting      []*stream // started, but the first frames are not completely written
	raw           net.Conn  // the socket below TLS; set before the first write
	streams       map[uint32]*stream
	byAttempt     map[*core.Attempt]*stream
	nextID        uint32
	pings         map[uint64]*ping
	nextPing      uint64
	framer        *http2.Framer // writes to the ring
	encoder       *hpack.Encoder
	headers       headerBuffer
	gotSettings   bool // the server's first SETTINGS frame has arrived
	maxStreams    uint32
	initialWindow int64 // the server's window for a new stream
	maxFrame      uint32
	sendWindow    int64 // the connection's window for sending
	received      int   // bytes received but not yet returned to the window
	writing       bool  // a write is in progress, and its result is not known yet
	retired       bool  // accepts no new calls
	closed        bool
	lastUsed      time.Time
	lastReceived  time.Time
	wake          chan struct{}
}

// headerBuffer collects an encoded header block.
type headerBuffer struct{ b []byte }

func (w *headerBuffer) Write(p []byte) (int, error) { w.b = append(w.b, p...); return len(p), nil }

// frameWriter appends whole frames to the ring.
type frameWriter struct{ c *conn }

func (w frameWriter) Write(p []byte) (int, error) {
	n, err := w.c.out.Write(p)
	w.c.queued += uint64(n)
	return n, err
}

// newConn returns a connection that has not been dialled yet; the caller holds the node's mu. Lock order: a
// node's mu is taken before its connections' mu, never while holding one.
func newConn(b *Backend, n *node) *conn {
	now := time.Now()
	c := &conn{backend: b, node: n, target: n.dest, out: lnet.NewRing(maxWriteBuffer),
		streams: map[uint32]*stream{}, byAttempt: map[*core.Attempt]*stream{}, nextID: 1,
		pings: map[uint64]*ping{}, initialWindow: 65535, sendWindow: 65535,
		maxFrame: 16 << 10, maxStreams: 1 << 31, lastUsed: now, lastReceived: now, wake: make(chan struct{}, 1)}
	c.framer = http2.NewFramer(frameWriter{c}, nil)
	c.encoder = hpack.NewEncoder(&c.headers)
	// The preface precedes everything else and is queued before there is a socket. The ring has room for it.
	_, _ = frameWriter{c}.Write([]byte(http2.ClientPreface))
	_ = c.framer.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 0},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(b.maxReply())},
		http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: maxHeaderList})
	return c
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// load returns the number of calls queued or in flight; the caller holds mu.
func (c *conn) load() int { return len(c.pending) + len(c.streams) }

// maxCalls returns the limit on concurrent calls; the caller holds mu.
func (c *conn) maxCalls() int { return int(min(uint32(c.backend.cfg.StreamsPerConn), c.maxStreams)) }

// enqueue queues a call. It returns false if the connection accepts no new calls.
func (c *conn) enqueue(s *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.retired {
		return false
	}
	c.pending = append(c.pending, s)
	c.byAttempt[s.attempt] = s
	c.lastUsed = time.Now()
	c.signal()
	return true
}

// remove removes a call; the caller holds mu.
func (c *conn) remove(s *stream) {
	delete(c.byAttempt, s.attempt)
	if s.id != 0 {
		delete(c.streams, s.id)
	}
	c.pending = removeStream(c.pending, s)
	c.sending = removeStream(c.sending, s)
	if c.retired || len(c.pending) > 0 {
		c.signal()
	}
}

func removeStream(list []*stream, s *stream) []*stream {
	for i, x := range list {
		if x == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// cancel cancels a call. It returns true if its last byte can never be written, so that it has not run.
func (c *conn) cancel(a *core.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.byAttempt[a]
	if s == nil || c.closed {
		return false
	}
	neverRan := !s.endQueued
	if s.writeActive { // its first byte is in a system call and must not follow what is sent instead of it
		c.abortWriteAfter(s, core.WriteGrace)
	}
	if s.id != 0 {
		c.resetStream(s, http2.ErrCodeCancel)
	}
	c.remove(s)
	if s.endWritten && time.Since(c.lastReceived) > c.backend.cfg.DialTimeout {
		c.checkAlive() // the connection has gone silent: check that it is alive
	}
	return neverRan
}

// resetStream sends RST_STREAM for a call; the caller holds mu.
func (c *conn) resetStream(s *stream, code http2.ErrCode) {
	if c.framer.WriteRSTStream(s.id, code) != nil {
		c.closeOverflow()
	}
	c.signal()
}

// closeOverflow closes a connection whose peer reads nothing but keeps requiring replies; the caller holds
// mu.
func (c *conn) closeOverflow() { go c.close(errors.New("the node does not read")) }

// sendPing queues a ping and returns its number; the caller holds mu.
func (c *conn) sendPing(probe bool) uint64 {
	c.nextPing++
	n := c.nextPing
	c.pings[n] = &ping{sentAt: time.Now(), probe: probe}
	var data [8]byte
	for i := range data {
		data[i] = byte(n >> (8 * i))
	}
	if c.framer.WritePing(false, data) != nil {
		c.closeOverflow()
	}
	c.signal()
	return n
}

// checkAlive checks with a ping whether a silent connection still works; the caller holds mu.
func (c *conn) checkAlive() {
	if !c.gotSettings || len(c.pings) > 0 {
		return
	}
	n := c.sendPing(false)
	time.AfterFunc(c.backend.cfg.DialTimeout, func() {
		c.mu.Lock()
		_, unanswered := c.pings[n]
		c.mu.Unlock()
		if unanswered {
			c.close(errors.New("no reply to a ping on a silent connection"))
		}
	})
}

// probe probes the node with a ping that bypasses its queue.
func (c *conn) probe() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	n := c.sendPing(true)
	time.AfterFunc(c.backend.cfg.DialTimeout, func() {
		c.mu.Lock()
		p := c.pings[n]
		delete(c.pings, n)
		c.mu.Unlock()
		if p != nil {
			c.backend.probeDone(c.node, balance.TimedOut, time.Since(p.sentAt))
		}
	})
	return true
}

// retire makes the connection accept no new calls.
func (c *conn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.signal()
}

// takePending removes and returns the calls that have not been started.
func (c *conn) takePending() (attempts []*core.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	for _, s := range c.pending {
		attempts = append(attempts, s.attempt)
		delete(c.byAttempt, s.attempt)
	}
	c.pending = nil
	return attempts
}

// idle reports whether the connection has no calls or pings.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gotSettings && c.load() == 0 && len(c.pings) == 0
}

// dial opens the connection. sock is the connection to write to, raw the socket below it.
func (c *conn) dial() (sock, raw net.Conn, err error) {
	target := c.target
	raw, err = net.DialTimeout("tcp", target.Address, c.backend.cfg.DialTimeout)
	if err != nil || !target.TLS {
		return raw, raw, err
	}
	t := tls.Client(raw, c.backend.credentials.Config(target.ServerName))
	_ = raw.SetDeadline(time.Now().Add(c.backend.cfg.DialTimeout))
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
func (c *conn) close(err error) {
	c.node.removeConn(c)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed, c.retired = true, true
	sock, raw, calls, pings, up, writing := c.sock, c.raw, c.byAttempt, c.pings, c.gotSettings, c.writing
	c.byAttempt, c.pings, c.streams, c.pending, c.sending, c.endMarks = nil, nil, nil, nil, nil, nil
	c.mu.Unlock()
	c.signal()
	if sock != nil {
		lnet.AbortAndClose(raw)
	}
	c.backend.budget.Release()
	if err != nil {
		c.backend.log.Warn("connection to a node ended", "node", c.node.name, "up", up, "calls", len(calls),
			"err", err)
	}
	var violation http2.ConnectionError
	for _, s := range calls {
		r := translate.Result{Outcome: balance.NoConnection}
		if s.endWritten || s.endQueued && writing { // how much of a write in progress gets out is unknown
			r = translate.Result{Outcome: balance.Reset, Reason: translate.Unreachable}
			if errors.As(err, &violation) || errors.Is(err, errProtocol) {
				r = translate.Result{Outcome: balance.Malformed, Reason: translate.UnreadableReply}
			}
		}
		c.backend.finishAttempt(c.node, s.attempt, r, core.Value{}, nil)
	}
	for _, p := range pings {
		if p.probe {
			o := balance.Reset
			if !up {
				o = balance.NoConnection
			}
			c.backend.probeDone(c.node, o, time.Since(p.sentAt))
		}
	}
}
