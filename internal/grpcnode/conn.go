package grpcnode

// One HTTP/2 connection to a node, as its client. This file owns the streams' lives, flow control, and the
// exact word on whether a call may have run; it must never send a call again, here or on another connection.
//
// The writer goroutine dials and writes; frames are made only as fast as it can write them, so that a call
// which is not begun can be taken back. The reader goroutine takes frames in. Both hold the mutex only while
// they look at the state.

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
	outHigh    = 32 << 10 // bytes that wait to be written, beyond which no call is begun or gone on with
	outMost    = 128 << 10
	inFrame    = 16 << 10 // largest frame that we take, the protocol's own default
	headMost   = 16 << 10 // of a reply's metadata
	creditAt   = 32 << 10 // bytes read after which the connection's window is refilled
	windowMost = 1<<31 - 1
)

// stream is one call.
type stream struct {
	a      *core.Attempt
	until  time.Time // not begun after this
	body   []byte    // of the request, still to be put into frames
	head   [][2]string
	id     uint32
	window int64
	ended  bool // the last frame is in the ring
	whole  bool // and its last byte was written
	begun  bool // a reply's first head came
	// opens is the place in the output up to which stands what of it was put there as it began, 0 until that is
	// known; entered tells that this write has begun and not ended (core.Attempt.BeginWrite).
	opens   uint64
	entered bool
	reply   []byte
	status  int // of HTTP
	wrote   time.Time
}

// mark is the place in the output at which a call's last frame ends.
type mark struct {
	at uint64
	s  *stream
}

// ping is one that is out.
type ping struct {
	at    time.Time
	probe bool // the core waits for it
}

type conn struct {
	b  *Backend
	n  *node
	to Target // as it was when the connection was opened

	mu       sync.Mutex // guards all below
	c        net.Conn
	out      *lnet.Ring
	put      uint64 // bytes put into the ring so far
	written  uint64
	marks    []mark
	waiting  []*stream // not begun
	sending  []*stream // begun, and not all in frames
	opening  []*stream // begun, and what was put in the ring then is not all out
	raw      net.Conn  // the socket, below TLS; set before anything is written
	streams  map[uint32]*stream
	of       map[*core.Attempt]*stream
	nextID   uint32
	pings    map[uint64]*ping
	nextPing uint64
	fr       *http2.Framer // writes into the ring
	enc      *hpack.Encoder
	block    blockBuffer
	settled  bool // the server's first settings are in
	streamsM uint32
	initial  int64 // window that the server gives a new stream
	frame    uint32
	window   int64 // of the connection, for what we send
	credit   int   // read and not given back yet
	writing  bool  // what was taken out of the ring, and it is not known yet how much of it
	retired  bool  // takes nothing new
	dead     bool
	used     time.Time
	heard    time.Time
	wake     chan struct{}
}

// blockBuffer takes a head's encoding.
type blockBuffer struct{ b []byte }

func (w *blockBuffer) Write(p []byte) (int, error) { w.b = append(w.b, p...); return len(p), nil }

// outWriter puts whole frames into the ring.
type outWriter struct{ c *conn }

func (w outWriter) Write(p []byte) (int, error) {
	n, err := w.c.out.Write(p)
	w.c.put += uint64(n)
	return n, err
}

// newConn returns a connection that is not dialled yet; the caller holds the node's mu. Nothing that holds
// the connection's mu may ask for the node's: a node is looked at first, and its connections under that.
func newConn(b *Backend, n *node) *conn {
	now := time.Now()
	c := &conn{b: b, n: n, to: n.to, out: lnet.NewRing(outMost), streams: map[uint32]*stream{},
		of: map[*core.Attempt]*stream{}, nextID: 1, pings: map[uint64]*ping{}, initial: 65535, window: 65535,
		frame: 16 << 10, streamsM: 1 << 31, used: now, heard: now, wake: make(chan struct{}, 1)}
	c.fr = http2.NewFramer(outWriter{c}, nil)
	c.enc = hpack.NewEncoder(&c.block)
	// The preface comes before whatever else is put in, also before there is a socket. The ring has room for it.
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

// load is how many calls the connection carries or holds; the caller holds mu.
func (c *conn) load() int { return len(c.waiting) + len(c.streams) }

// most is how many it may carry at a time; the caller holds mu.
func (c *conn) most() int { return int(min(uint32(c.b.cfg.StreamsPerConn), c.streamsM)) }

// add queues a call. It returns false where the connection takes nothing new.
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

// forget drops a call; the caller holds mu.
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

// cut gives a call up. It returns true where its last byte can never be written, so that it has not run.
func (c *conn) cut(a *core.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of[a]
	if s == nil || c.dead {
		return false
	}
	never := !s.ended
	if s.entered { // its first byte is in a system call: given up, it is not to come behind what is sent instead
		c.abortWrite(s, core.WriteGrace)
	}
	if s.id != 0 {
		c.reset(s, http2.ErrCodeCancel)
	}
	c.forget(s)
	if s.whole && time.Since(c.heard) > c.b.cfg.DialTimeout {
		c.suspect() // nothing comes any more: is anybody there?
	}
	return never
}

// reset ends a stream towards the server; the caller holds mu.
func (c *conn) reset(s *stream, code http2.ErrCode) {
	if c.fr.WriteRSTStream(s.id, code) != nil {
		c.overflow()
	}
	c.poke()
}

// overflow ends a connection whose peer reads nothing while it makes us answer; the caller holds mu.
func (c *conn) overflow() { go c.end(errors.New("the node does not read")) }

// sendPing writes a ping and returns its number; the caller holds mu.
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

// suspect looks whether a silent connection still leads anywhere; the caller holds mu.
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
			c.end(errors.New("the node fell silent"))
		}
	})
}

// probe looks at the node beside its queue, by a ping.
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

// retire lets the connection take nothing new.
func (c *conn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.poke()
}

// back takes the calls back that are not begun.
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

// idle tells that nothing is out on it.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled && c.load() == 0 && len(c.pings) == 0
}

// dial opens the socket: the connection as it is written to, and the system's own below it.
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

// end closes the connection and tells how its calls ended.
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
		if s.whole || s.ended && writing { // of what is just being written it is not known how far it comes
			r = translate.Result{Outcome: balance.Reset, Reason: translate.Unreachable}
			if errors.As(err, &violation) || errors.Is(err, errProtocol) {
				r = translate.Result{Outcome: balance.Malformed, Reason: translate.UnreadableReply}
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
