package ajp

// The listener and its connections. A front keeps connections for long and sends one request at a time on
// each. One goroutine reads packets, another serves; a packet that comes where none may is the end of the
// connection.

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	lnet "lapislever/internal/net"
)

// Limits in time. Fronts keep connections open for as long as they like to; what has begun comes to its end.
const (
	idleTimeout    = 10 * time.Minute
	requestTimeout = 2500 * time.Millisecond
	writeTimeout   = 5 * time.Second
	rejectTimeout  = time.Second // of a connection that is to be refused
	pollInterval   = 5 * time.Millisecond
)

// Options are a listener's.
type Options struct {
	PacketSize int    // of a packet, as the front has it; 0: the default
	Secret     string // that every request has to bear; empty: none
}

// Server accepts fronts' connections and hands their requests over as those of HTTP.
type Server struct {
	listener    net.Listener
	options     Options
	handle      lnet.Handler
	budget      *lnet.Budget
	log         *slog.Logger
	closing     atomic.Bool
	createdAt   time.Time    // when it was made
	lastRequest atomic.Int64 // when a request last came, in nanoseconds since then
	mu          sync.Mutex   // guards conns
	conns       map[*conn]struct{}
	// Admission, if set before Serve, says who is let in.
	Admission *lnet.AdmissionController
	rejecting atomic.Int64 // connections that are just being refused
}

// Listen starts to listen on an address and on nothing else.
func Listen(addr string, o Options, budget *lnet.Budget, log *slog.Logger, h lnet.Handler) (*Server, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	if o.PacketSize == 0 {
		o.PacketSize = DefaultSize
	}
	return &Server{listener: l, options: o, handle: h, budget: budget, log: log, conns: map[*conn]struct{}{},
		createdAt: time.Now()}, nil
}

// Addr is the address listened on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts until the listener is closed.
func (s *Server) Serve() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("accept failed", "err", err)
			time.Sleep(pollInterval)
			continue
		}
		k := &conn{server: s, netConn: c, packets: make(chan packet), done: make(chan struct{})}
		var after time.Duration
		if s.Admission != nil {
			k.admitted, k.hasSlot, after = s.Admission.Admit(c, s.budget, k.closeIfIdle)
		} else {
			k.hasSlot = s.budget.AcquireClient()
		}
		if !k.hasSlot {
			if s.Admission != nil && s.rejecting.Add(1) <= lnet.MaxOverflow {
				go k.readLoop()
				go k.reject(after)
				continue
			}
			if s.Admission != nil {
				s.rejecting.Add(-1)
			}
			s.log.Warn("connection closed: too many are open", "client", c.RemoteAddr())
			_ = c.Close()
			continue
		}
		s.mu.Lock()
		s.conns[k] = struct{}{}
		s.mu.Unlock()
		go k.readLoop()
		go k.serve()
	}
}

// StopListening closes the listener; connections go on.
func (s *Server) StopListening() { _ = s.listener.Close() }

// CloseAfterReply has every reply end its connection from now on.
func (s *Server) CloseAfterReply() { s.closing.Store(true) }

// LastRequest is when a request last came.
func (s *Server) LastRequest() time.Time { return s.createdAt.Add(time.Duration(s.lastRequest.Load())) }

// Drain winds, and closes the connections that carry nothing. Of one that is closed no packet is handled any
// more, also if it had just been read.
func (s *Server) Drain() {
	s.CloseAfterReply()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// OpenConns counts the connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Wait waits until every connection has ended, or until the time is over.
func (s *Server) Wait(most time.Duration) bool {
	for end := time.Now().Add(most); s.OpenConns() > 0; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// packet is a payload, or why there is none.
type packet struct {
	payload []byte
	err     error
	started bool // its first byte came before the end
}

type conn struct {
	server     *Server
	netConn    net.Conn
	packets    chan packet
	done       chan struct{} // closed when serve has ended
	busy       atomic.Bool   // in the middle of a request
	hasSlot    bool          // has a place in the budget
	admitted   lnet.AdmittedConn
	mu         sync.Mutex // guards begun, yielded
	inPacket   bool       // something of a packet has come and is not done with
	closedIdle bool
}

// closeIfIdle closes the connection if nothing of a request has come.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inPacket || c.busy.Load() {
		return false
	}
	c.closedIdle = true
	_ = c.netConn.Close()
	return true
}

// setInPacket notes that a packet has begun, or is done with. It returns false once the connection has made way.
func (c *conn) setInPacket(begun bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inPacket = begun
	return !c.closedIdle
}

// reject answers the one request of a connection that is not let in, and closes it.
func (c *conn) reject(after time.Duration) {
	defer func() {
		close(c.done)
		_ = c.netConn.Close()
		c.server.rejecting.Add(-1)
	}()
	payload, err := c.nextPacket(rejectTimeout)
	if err != nil {
		return
	}
	if kind, err := PacketType(payload); err != nil || kind != typeForward {
		return // a CPing gets none: the front is to look elsewhere
	}
	seconds := strconv.Itoa(max(1, int(math.Ceil(after.Seconds()))))
	_ = c.writeResponse(lnet.Response{Status: 503, Header: [][2]string{{"Retry-After", seconds}}, Close: true,
		Body: []byte("too many connections\n")}, false)
}

// readLoop takes packets in, one at a time: the next is read only once the last was taken.
func (c *conn) readLoop() {
	var head [headerSize]byte
	for {
		n, err := io.ReadFull(c.netConn, head[:])
		p := packet{err: err, started: n > 0}
		if !c.setInPacket(n > 0) {
			p.err = net.ErrClosed // it has made way: serve gives its place back
		} else if err == nil {
			var size int
			if size, p.err = PayloadSize(head[:], c.server.options.PacketSize); p.err == nil {
				p.payload = make([]byte, size)
				_, p.err = io.ReadFull(c.netConn, p.payload)
			}
		}
		if p.started && (errors.Is(p.err, io.EOF) || errors.Is(p.err, io.ErrUnexpectedEOF)) {
			p.err = protocolError("a packet that ends too soon")
		}
		select {
		case c.packets <- p:
		case <-c.done:
			return
		}
		if p.err != nil {
			return
		}
	}
}

// nextPacket waits for a packet.
func (c *conn) nextPacket(limit time.Duration) ([]byte, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case p := <-c.packets:
		return p.payload, p.err
	case <-timer.C:
		return nil, errTimeout
	}
}

var errTimeout = errors.New("nothing came in time")

// serve takes one request after the other.
func (c *conn) serve() {
	defer func() {
		close(c.done)
		_ = c.netConn.Close()
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
		c.admitted.Release()
		c.server.budget.ReleaseClient()
	}()
	limit := requestTimeout // of the first packet: who connects has something to say
	for {
		payload, err := c.nextPacket(limit)
		limit = idleTimeout
		if err == nil {
			c.busy.Store(true)
			c.admitted.MarkBusy()
			err = c.handlePacket(payload)
			c.setInPacket(false)
			c.busy.Store(false)
			c.admitted.MarkIdle()
		}
		switch {
		case err == nil: // also while the server ends: the reply has told that the connection goes on
			continue
		case errors.Is(err, ErrPacket):
			c.server.log.Warn("bad AJP packet", "client", c.netConn.RemoteAddr(), "why", err)
		}
		return
	}
}

// errClose ends the connection without a word of log.
var errClose = errors.New("the connection ends")

// handlePacket takes the packet that begins something.
func (c *conn) handlePacket(payload []byte) error {
	kind, err := PacketType(payload)
	if err != nil {
		return err
	}
	switch kind {
	case typePing:
		if len(payload) != 1 {
			return protocolError("%d bytes in a CPing", len(payload))
		}
		return c.write(AppendPong(nil))
	case typeForward:
	case typeShutdown:
		return protocolError("a shutdown, which is not taken from anybody")
	default:
		return protocolError("a packet of type %d", kind)
	}
	f, err := ParseForward(payload)
	if err != nil {
		return err
	}
	if want := c.server.options.Secret; want != "" &&
		subtle.ConstantTimeCompare([]byte(want), []byte(f.Attrs["secret"])) != 1 {
		c.server.log.Warn("an AJP request without the secret", "client", c.netConn.RemoteAddr())
		return c.writeResponse(lnet.Response{Status: 403, Body: []byte("the secret is missing or wrong\n"), Close: true},
			false)
	}
	r := &lnet.Request{Method: f.Method, Path: f.URI, Query: f.Query, Header: textproto.MIMEHeader{}}
	for _, h := range f.Header {
		r.Header.Add(h[0], h[1])
	}
	if f.Attrs["remote_user"] != "" { // the front's own word, which no client can set
		r.Header.Set("X-Remote-User", f.Attrs["remote_user"])
	} else {
		r.Header.Del("X-Remote-User")
	}
	var refused *lnet.BadMessage
	if r.Body, err = c.readBody(r.Header); errors.As(err, &refused) {
		c.server.log.Warn("bad request", "client", c.netConn.RemoteAddr(), "why", refused.Detail)
		return c.writeResponse(lnet.Response{Status: refused.Status, Body: []byte(refused.Detail + "\n"), Close: true},
			false)
	} else if err != nil {
		return err
	}
	r.ReceivedAt = time.Now()
	c.server.lastRequest.Store(int64(r.ReceivedAt.Sub(c.server.createdAt)))
	x, reply := lnet.NewExchange(c.netConn)
	gone := c.server.handle(r, x)
	leave := func(err error) error {
		if gone != nil {
			gone()
		}
		return err
	}
	select {
	case resp := <-reply:
		return c.writeResponse(resp, r.Method == "HEAD")
	case p := <-c.packets:
		select {
		case resp := <-reply: // both at once: the reply comes first
			_ = c.writeResponse(resp, r.Method == "HEAD")
			return errClose
		default:
		}
		if p.err == nil {
			return leave(protocolError("a packet where a reply was due"))
		}
		if errors.Is(p.err, ErrPacket) {
			return leave(p.err)
		}
		return leave(errClose) // the front has left
	}
}

// readBody reads a request's body. Of one whose length is told the front sends the first chunk by itself; the
// others are asked for one by one.
func (c *conn) readBody(h textproto.MIMEHeader) ([]byte, error) {
	refuse := func(status int, format string, args ...any) ([]byte, error) {
		return nil, &lnet.BadMessage{Status: status, Detail: fmt.Sprintf(format, args...)}
	}
	lengths, codings := h["Content-Length"], h["Transfer-Encoding"]
	length := -1
	switch {
	case len(lengths) > 0 && len(codings) > 0:
		return refuse(400, "both a length and a transfer coding")
	case len(codings) > 0 && !strings.EqualFold(codings[0], "chunked"):
		return refuse(501, "unknown transfer coding")
	case len(lengths) > 1:
		return refuse(400, "lengths that differ")
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return refuse(400, "malformed length")
		}
		if n > lnet.MaxBody {
			return refuse(413, "the body is larger than %d bytes", lnet.MaxBody)
		}
		length = int(n)
	case len(codings) == 0:
		return nil, nil
	}
	if length == 0 {
		return nil, nil
	}
	until := time.Now().Add(requestTimeout)
	var body []byte
	chunk := c.server.options.PacketSize - headerSize - 2
	for first := true; length < 0 || len(body) < length; first = false {
		if !first || length < 0 {
			ask := chunk
			if length >= 0 {
				ask = min(ask, length-len(body))
			}
			if err := c.write(AppendGetBody(nil, ask)); err != nil {
				return nil, err
			}
		}
		payload, err := c.nextPacket(time.Until(until))
		if errors.Is(err, errTimeout) {
			return refuse(408, "the request did not come to its end in time")
		}
		if err != nil {
			return nil, err
		}
		part, err := ParseBody(payload)
		switch {
		case err != nil:
			return nil, err
		case len(part) == 0 && length < 0:
			return body, nil
		case len(part) == 0:
			return refuse(400, "the body ends after %d of %d bytes", len(body), length)
		case length >= 0 && len(body)+len(part) > length:
			return nil, protocolError("more body than was told")
		case len(body)+len(part) > lnet.MaxBody:
			return refuse(413, "the body is larger than %d bytes", lnet.MaxBody)
		}
		body = append(body, part...)
	}
	return body, nil
}

// writeResponse writes a reply. Where it says so, or the server ends, the connection ends with it.
func (c *conn) writeResponse(r lnet.Response, headOnly bool) error {
	kind := r.ContentType
	if kind == "" {
		kind = "text/plain; charset=utf-8"
	}
	header := [][2]string{{"Content-Type", kind}, {"Content-Length", strconv.Itoa(len(r.Body))}}
	header = append(header, r.Header...)
	b := AppendHeaders(nil, r.Status, lnet.ReasonPhrase(r.Status), header)
	if !headOnly {
		b = AppendBody(b, r.Body, c.server.options.PacketSize)
	}
	end := r.Close || c.server.closing.Load()
	if err := c.write(AppendEnd(b, !end)); err != nil {
		return err
	}
	if end {
		return errClose
	}
	return nil
}

func (c *conn) write(b []byte) error {
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.netConn.Write(b)
	return err
}
