package grpcnode

// One HTTP/2 connection to a node, as its client. This file owns the streams' lives, flow control, and the
// exact word on whether a call may have run; it must never send a call again, here or on another connection.
//
// The writer goroutine dials and writes; frames are made only as fast as it can write them, so that a call
// which is not begun can be taken back. The reader goroutine takes frames in. Both hold the mutex only while
// they look at the state.

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
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
func (c *conn) most() int { return int(min(uint32(c.b.cfg.Streams), c.streamsM)) }

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
	limit := c.b.cfg.Idle
	born := time.Now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	var buf []byte
	for {
		_ = sock.SetWriteDeadline(time.Now().Add(c.b.cfg.WriteLimit))
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
			c.b.count.Tries.Add(1)
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
	limit := c.b.cfg.Idle
	unused := time.Since(c.used)
	wait = limit - unused
	if !c.settled {
		wait = c.b.cfg.DialTimeout - age + time.Millisecond
	} else if len(c.waiting) > 0 { // it may become too late to begin one
		wait = min(wait, time.Until(c.waiting[0].until))
	}
	for _, s := range c.sending { // or to end one
		if by := s.a.Before; !by.IsZero() {
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
	why core.Hold
}

// giveBack tells the core of calls that never ran.
func (c *conn) giveBack(dropped []droppedCall) {
	for _, d := range dropped {
		c.b.done(c.n, d.s.a, translate.Result{Outcome: balance.NotSent}, core.Value{}, nil)
	}
	for _, d := range dropped {
		if d.why != core.MayBegin {
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
		if why := c.mayBegin(s, now); why != core.MayBegin {
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
			if by := s.a.Before; !by.IsZero() && now.After(by) {
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
func (c *conn) mayBegin(s *stream, now time.Time) core.Hold {
	if !now.Before(s.until) {
		return core.HoldOverdue
	}
	_, hold := s.a.BeginWrite(c, now)
	return hold
}

func late(s *stream, now time.Time) bool {
	return s.a.Query.Over() || !now.Before(s.until) || !s.a.Before.IsZero() && !now.Before(s.a.Before)
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

// errProtocol marks what breaks the protocol and the Framer does not see.
var errProtocol = errors.New("protocol")

// read is the reader.
func (c *conn) read(sock net.Conn) {
	fr := http2.NewFramer(nil, bufio.NewReaderSize(sock, 4<<10))
	fr.SetMaxReadFrameSize(inFrame)
	fr.SetReuseFrames()
	fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	fr.MaxHeaderListSize = headMost
	first := true
	for {
		f, err := fr.ReadFrame()
		var bad http2.StreamError
		if errors.As(err, &bad) {
			c.mu.Lock()
			s := c.streams[bad.StreamID]
			c.mu.Unlock()
			if s != nil {
				c.finish(s, translate.Result{Outcome: balance.Error, Reason: translate.BadReply}, core.Value{}, nil,
					http2.ErrCodeProtocol)
			}
			continue
		}
		if err == nil && first {
			if s, ok := f.(*http2.SettingsFrame); !ok || s.IsAck() {
				err = fmt.Errorf("%w: the first frame is %v", errProtocol, f.Header().Type)
			}
			first = false
		}
		if err == nil {
			c.mu.Lock()
			c.heard = time.Now()
			c.mu.Unlock()
			err = c.take(f)
		}
		if err != nil {
			c.end(err)
			return
		}
	}
}

// take takes one frame in.
func (c *conn) take(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.SettingsFrame:
		return c.settings(f)
	case *http2.PingFrame:
		return c.pinged(f)
	case *http2.WindowUpdateFrame:
		c.mu.Lock()
		defer c.mu.Unlock()
		window := &c.window
		if f.StreamID != 0 {
			s := c.streams[f.StreamID]
			if s == nil {
				return nil // it has ended
			}
			window = &s.window
		}
		if *window += int64(f.Increment); *window > windowMost {
			return fmt.Errorf("%w: a window that is too large", errProtocol)
		}
		c.poke()
	case *http2.MetaHeadersFrame:
		return c.headers(f)
	case *http2.DataFrame:
		return c.data(f)
	case *http2.RSTStreamFrame:
		c.mu.Lock()
		s := c.streams[f.StreamID]
		c.mu.Unlock()
		if s == nil {
			return nil
		}
		r := translate.Result{Outcome: balance.Reset, Reason: translate.Broken}
		if f.ErrCode == http2.ErrCodeRefusedStream {
			r = translate.Result{Outcome: balance.Busy, Reason: translate.Turned}
		}
		c.finish(s, r, core.Value{}, nil, http2.ErrCodeNo)
	case *http2.GoAwayFrame:
		c.goAway(f)
	case *http2.PushPromiseFrame:
		return fmt.Errorf("%w: a push that was not allowed", errProtocol)
	}
	return nil
}

func (c *conn) settings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.HasDuplicates() {
		return fmt.Errorf("%w: a setting twice", errProtocol)
	}
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingMaxConcurrentStreams:
			c.streamsM = s.Val
		case http2.SettingMaxFrameSize:
			c.frame = min(s.Val, outHigh)
		case http2.SettingHeaderTableSize:
			c.enc.SetMaxDynamicTableSizeLimit(min(s.Val, 4096))
		case http2.SettingInitialWindowSize:
			by := int64(s.Val) - c.initial
			c.initial = int64(s.Val)
			for _, x := range c.streams {
				if x.window += by; x.window > windowMost {
					return fmt.Errorf("%w: a window that is too large", errProtocol)
				}
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.settled = true
	if err := c.fr.WriteSettingsAck(); err != nil {
		return err
	}
	c.poke()
	return nil
}

func (c *conn) pinged(f *http2.PingFrame) error {
	c.mu.Lock()
	if !f.IsAck() {
		defer c.mu.Unlock()
		if err := c.fr.WritePing(true, f.Data); err != nil {
			return errors.New("the node does not read")
		}
		c.poke()
		return nil
	}
	n := uint64(0)
	for i, x := range f.Data {
		n |= uint64(x) << (8 * i)
	}
	p := c.pings[n]
	delete(c.pings, n)
	c.mu.Unlock()
	if p != nil && p.probe {
		c.b.probed(c.n, balance.OK, time.Since(p.at))
	}
	return nil
}

// goAway ends what the server has left out; what it covers goes on to its end.
func (c *conn) goAway(f *http2.GoAwayFrame) {
	c.mu.Lock()
	c.retired = true
	var out []*stream
	for id, s := range c.streams {
		if id > f.LastStreamID {
			out = append(out, s)
		}
	}
	out = append(out, c.waiting...)
	for _, s := range out {
		c.forget(s)
	}
	c.mu.Unlock()
	c.poke()
	c.b.log.Info("a node goes away", "node", c.n.name, "code", f.ErrCode, "left_out", len(out))
	for _, s := range out {
		c.b.done(c.n, s.a, translate.Result{Outcome: balance.NotSent, Reason: translate.Turned}, core.Value{}, nil)
	}
}

// finish ends a call with its result. Where the server has not ended the stream itself it is reset.
func (c *conn) finish(s *stream, r translate.Result, v core.Value, report []float32, code http2.ErrCode) {
	c.mu.Lock()
	if c.dead || c.streams[s.id] != s {
		c.mu.Unlock()
		return
	}
	if !s.ended && r.Outcome != balance.OK {
		r.Outcome = balance.NotSent // its last byte was not written, and now never will be
	}
	if code != http2.ErrCodeNo || !s.ended {
		c.reset(s, code)
	}
	c.forget(s)
	c.used = time.Now()
	c.mu.Unlock()
	c.b.done(c.n, s.a, r, v, report)
}

// stream returns the open stream of a frame; the others have ended, and what still comes for them is passed
// over.
func (c *conn) stream(id uint32) *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

func (c *conn) headers(f *http2.MetaHeadersFrame) error {
	s := c.stream(f.StreamID)
	if s == nil {
		if f.StreamID%2 == 0 {
			return fmt.Errorf("%w: a stream of the server's own", errProtocol)
		}
		return nil
	}
	bad := func(code http2.ErrCode) error {
		c.finish(s, translate.Result{Outcome: balance.Error, Reason: translate.BadReply}, core.Value{}, nil, code)
		return nil
	}
	if f.Truncated {
		return bad(http2.ErrCodeProtocol)
	}
	if !s.begun {
		status, err := strconv.Atoi(f.PseudoValue("status"))
		if err != nil {
			return bad(http2.ErrCodeProtocol)
		}
		if status >= 100 && status < 200 {
			return nil
		}
		s.begun, s.status = true, status
	} else if !f.StreamEnded() {
		return bad(http2.ErrCodeProtocol) // metadata in the middle
	}
	kind, code, unseen, coding := "", "", false, ""
	for _, h := range f.RegularFields() {
		switch h.Name {
		case "content-type":
			kind = h.Value
		case "grpc-status":
			code = h.Value
		case "lapislever-unseen":
			unseen = h.Value == "1"
		case "grpc-encoding":
			coding = h.Value
		}
	}
	if !f.StreamEnded() {
		if s.status != 200 || !strings.HasPrefix(kind, "application/grpc") {
			c.finish(s, translate.HTTP(s.status), core.Value{}, nil, http2.ErrCodeCancel)
		} else if coding != "" && coding != "identity" {
			c.finish(s, translate.Result{Outcome: balance.Error, Reason: translate.Compressed}, core.Value{}, nil,
				http2.ErrCodeCancel)
		}
		return nil
	}
	if code == "" && s.status != 200 {
		c.finish(s, translate.HTTP(s.status), core.Value{}, nil, http2.ErrCodeNo)
		return nil
	}
	status, known := translate.ParseStatus(code)
	if !known {
		c.finish(s, translate.Result{Outcome: balance.Error, Reason: translate.BadStatus}, core.Value{}, nil,
			http2.ErrCodeNo)
		return nil
	}
	r, v, report := translate.Status(status, unseen), core.Value{}, []float32(nil)
	if status == translate.OK {
		r, v, report = c.b.value(s)
	}
	c.finish(s, r, v, report, http2.ErrCodeNo)
	return nil
}

func (c *conn) data(f *http2.DataFrame) error {
	size := int(f.Length)
	c.mu.Lock()
	if c.credit += size; c.credit >= creditAt {
		if c.fr.WriteWindowUpdate(0, uint32(c.credit)) != nil {
			c.mu.Unlock()
			return errors.New("the node does not read")
		}
		c.credit = 0
		c.poke()
	}
	s := c.streams[f.StreamID]
	c.mu.Unlock()
	if s == nil {
		return nil
	}
	end := func(why translate.Reason, code http2.ErrCode) error {
		c.finish(s, translate.Result{Outcome: balance.Error, Reason: why}, core.Value{}, nil, code)
		return nil
	}
	if !s.begun {
		return end(translate.BadReply, http2.ErrCodeProtocol)
	}
	if len(s.reply)+len(f.Data()) > c.b.replyMost() {
		return end(translate.TooLarge, http2.ErrCodeCancel)
	}
	s.reply = append(s.reply, f.Data()...) // one goroutine reads, and only it looks at the reply
	if f.StreamEnded() {                   // without trailers there is no status
		return end(translate.BadStatus, http2.ErrCodeNo)
	}
	return nil
}
