package ajp

// The listener and its connections. A proxy keeps connections open for a long time and sends one request at
// a time on each. Per connection, one goroutine reads packets and another serves requests. A packet that
// arrives out of turn ends the connection.

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
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	lnet "lapislever/internal/net"
)

// Timeouts. Proxies may keep idle connections open for long; what has started must complete soon.
const (
	idleTimeout    = 10 * time.Minute
	requestTimeout = 2500 * time.Millisecond
	writeTimeout   = 5 * time.Second
	rejectTimeout  = time.Second // for the request of a connection that is rejected
	pollInterval   = 5 * time.Millisecond
)

// freeBodySize is the size of a body that is not accounted for: most are smaller.
const freeBodySize = 4 << 10

// Options configures a listener.
type Options struct {
	PacketSize int    // maximum packet size, which must equal the proxy's; 0 means DefaultSize
	Secret     string // required in every request; empty means none
}

// Server accepts connections of proxies and passes their requests to the handler as if received over HTTP.
type Server struct {
	listener    net.Listener
	options     Options
	handle      lnet.Handler
	budget      *lnet.Budget
	log         *slog.Logger
	closing     atomic.Bool
	createdAt   time.Time
	lastRequest atomic.Int64 // time of the latest request, in nanoseconds since createdAt
	mu          sync.Mutex   // guards conns
	conns       map[*conn]struct{}
	// Admission, if set before Serve, decides which connections are admitted.
	Admission *lnet.AdmissionController
	rejecting atomic.Int64 // connections being rejected
}

// Listen opens the listener; Serve accepts connections.
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

// Addr returns the listener's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() {
	for {
		netConn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("accept failed", "err", err)
			time.Sleep(pollInterval)
			continue
		}
		c := &conn{server: s, netConn: netConn, packets: make(chan packet), done: make(chan struct{})}
		var retryAfter time.Duration
		if s.Admission != nil {
			c.admitted, c.hasSlot, retryAfter = s.Admission.Admit(netConn, s.budget, c.closeIfIdle)
		} else {
			c.hasSlot = s.budget.AcquireClient()
		}
		if !c.hasSlot {
			if s.Admission != nil && s.rejecting.Add(1) <= lnet.MaxOverflow {
				go c.readLoop()
				go c.reject(retryAfter)
				continue
			}
			if s.Admission != nil {
				s.rejecting.Add(-1)
			}
			s.log.Warn("connection closed: too many are open", "client", netConn.RemoteAddr())
			_ = netConn.Close()
			continue
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.readLoop()
		go c.serve()
	}
}

// StopListening closes the listener; open connections continue.
func (s *Server) StopListening() { _ = s.listener.Close() }

// CloseAfterReply makes every connection close after its next reply.
func (s *Server) CloseAfterReply() { s.closing.Store(true) }

// LastRequest returns the time of the latest request, or of the server's creation if there was none.
func (s *Server) LastRequest() time.Time { return s.createdAt.Add(time.Duration(s.lastRequest.Load())) }

// Drain calls CloseAfterReply and closes idle connections. A packet that was just read from a connection
// closed this way is not handled.
func (s *Server) Drain() {
	s.CloseAfterReply()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Wait waits until every connection has ended. It returns false if that takes longer than timeout.
func (s *Server) Wait(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	return s.WaitUntil(func() time.Time { return deadline })
}

// WaitUntil waits until every connection has ended, or until the time that the function returns, which may
// change meanwhile. It reports whether they have ended.
func (s *Server) WaitUntil(until func() time.Time) bool {
	for ; s.OpenConns() > 0; time.Sleep(pollInterval) {
		if time.Now().After(until()) {
			return false
		}
	}
	return true
}

// packet is what the read loop delivers: a payload or an error.
type packet struct {
	payload []byte
	err     error
	started bool // at least one byte was read
}

type conn struct {
	server     *Server
	netConn    net.Conn
	packets    chan packet
	done       chan struct{} // closed when serve or reject has ended
	hasSlot    bool          // holds a slot of the budget
	admitted   lnet.AdmittedConn
	reserved   int        // bytes of the limit on input, for the request's body; used by serve only
	mu         sync.Mutex // guards unreceived, busy and closedIdle
	unreceived int        // packets of which a part has been read, and that serve has not received
	busy       bool       // a packet is being handled, or a request is in progress
	closedIdle bool
}

// closeIfIdle closes the connection unless a packet or request is in progress. It reports whether it did.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreceived > 0 || c.busy {
		return false
	}
	c.closedIdle = true
	_ = c.netConn.Close()
	return true
}

// beginPacket records that the first byte of a packet has been read. It returns false once closeIfIdle has
// closed the connection.
func (c *conn) beginPacket() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreceived++
	return !c.closedIdle
}

// receivePacket records that serve has received a packet, which it handles now.
func (c *conn) receivePacket(p packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.started {
		c.unreceived--
	}
	c.busy = p.err == nil
}

// endExchange records that a packet, or the exchange that it began, has been handled.
func (c *conn) endExchange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// reject answers the first request of a connection that is not admitted with 503, and closes the connection.
func (c *conn) reject(retryAfter time.Duration) {
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
		return // a CPing gets no reply, so that the proxy turns to another backend
	}
	seconds := strconv.Itoa(max(1, int(math.Ceil(retryAfter.Seconds()))))
	_ = c.writeResponse(lnet.Response{Status: 503, Header: [][2]string{{"Retry-After", seconds}}, Close: true,
		Body: []byte("too many connections\n")}, false)
}

// readLoop reads packets one at a time: it reads the next only after the previous one was received from
// c.packets.
func (c *conn) readLoop() {
	for {
		p := c.readPacket()
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

// readPacket reads one packet. It waits for its first byte without a limit, as a proxy may be silent for
// long.
func (c *conn) readPacket() packet {
	var header [headerSize]byte
	if _, err := io.ReadFull(c.netConn, header[:1]); err != nil {
		return packet{err: err}
	}
	p := packet{started: true}
	if !c.beginPacket() {
		p.err = net.ErrClosed // closeIfIdle has closed the connection; serve releases its slot
		return p
	}
	rest := &packetReader{conn: c, deadline: time.Now().Add(requestTimeout)}
	p.payload, p.err = c.readPayload(rest, header)
	if errors.Is(p.err, io.EOF) || errors.Is(p.err, io.ErrUnexpectedEOF) {
		p.err = protocolError("truncated packet")
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	return p
}

// readPayload reads the rest of a packet's header, whose first byte is there, and its payload.
func (c *conn) readPayload(rest io.Reader, header [headerSize]byte) ([]byte, error) {
	if _, err := io.ReadFull(rest, header[1:]); err != nil {
		return nil, err
	}
	size, err := PayloadSize(header[:], c.server.options.PacketSize)
	if err != nil {
		return nil, err
	}
	payload := make([]byte, size)
	_, err = io.ReadFull(rest, payload)
	return payload, err
}

// packetReader reads the rest of a packet that has begun. It fails where the packet does not come to its end
// in time, unless a request is in progress: that is not lost for what comes behind it.
type packetReader struct {
	conn     *conn
	deadline time.Time
}

// Read reads from the connection.
func (r *packetReader) Read(b []byte) (int, error) {
	for {
		_ = r.conn.netConn.SetReadDeadline(r.deadline)
		n, err := r.conn.netConn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !r.conn.isBusy() {
			return 0, protocolError("a packet did not come to its end in time")
		}
		r.deadline = time.Now().Add(requestTimeout)
	}
}

// nextPacket waits for the next packet's payload. It returns errTimeout if none arrives within timeout.
func (c *conn) nextPacket(timeout time.Duration) ([]byte, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case p := <-c.packets:
		c.receivePacket(p)
		return p.payload, p.err
	case <-timer.C:
		return nil, errTimeout
	}
}

var errTimeout = errors.New("no packet arrived before the timeout")

// serve handles the connection's requests one after the other.
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
	timeout := requestTimeout // shorter for the first packet: a proxy connects when it has something to send
	for {
		payload, err := c.nextPacket(timeout)
		timeout = idleTimeout
		if err == nil {
			c.admitted.MarkBusy()
			err = c.handlePacket(payload)
			c.server.budget.ReleaseInput(c.reserved)
			c.reserved = 0
			c.endExchange()
			c.admitted.MarkIdle()
		}
		switch {
		case err == nil: // even during shutdown: the reply announced that the connection stays open
			continue
		case errors.Is(err, ErrPacket):
			c.server.log.Warn("bad AJP packet", "client", c.netConn.RemoteAddr(), "why", err)
		}
		return
	}
}

// errClose closes the connection without a log line.
var errClose = errors.New("connection closed")

// handlePacket handles a packet that begins an exchange.
func (c *conn) handlePacket(payload []byte) error {
	kind, err := PacketType(payload)
	if err != nil {
		return err
	}
	switch kind {
	case typePing:
		if len(payload) != 1 {
			return protocolError("CPing with a payload of %d bytes", len(payload))
		}
		return c.write(AppendPong(nil))
	case typeForward:
	case typeShutdown:
		return protocolError("shutdown packet; shutdown over AJP is not supported")
	default:
		return protocolError("unexpected packet type %d", kind)
	}
	f, err := ParseForward(payload)
	if err != nil {
		return err
	}
	if want := c.server.options.Secret; want != "" &&
		subtle.ConstantTimeCompare([]byte(want), []byte(f.Attrs["secret"])) != 1 {
		c.server.log.Warn("AJP request without the required secret", "client", c.netConn.RemoteAddr())
		return c.writeResponse(lnet.Response{Status: 403, Body: []byte("the secret is missing or wrong\n"),
			Close: true}, false)
	}
	r := &lnet.Request{Method: f.Method, Path: f.URI, Query: f.Query, Header: textproto.MIMEHeader{}}
	for _, h := range f.Header {
		r.Header.Add(h[0], h[1])
	}
	if f.Attrs["remote_user"] != "" { // set by the proxy itself; no client can forge it
		r.Header.Set("X-Remote-User", f.Attrs["remote_user"])
	} else {
		r.Header.Del("X-Remote-User")
	}
	var bad *lnet.BadMessage
	if r.Body, err = c.readBody(r.Header); errors.As(err, &bad) {
		c.server.log.Warn("bad request", "client", c.netConn.RemoteAddr(), "why", bad.Detail)
		return c.writeResponse(lnet.Response{Status: bad.Status, Body: []byte(bad.Detail + "\n"), Close: true},
			false)
	} else if err != nil {
		return err
	}
	r.ReceivedAt = time.Now()
	c.server.lastRequest.Store(int64(r.ReceivedAt.Sub(c.server.createdAt)))
	exchange, reply := lnet.NewExchange(c.netConn)
	abandon := c.server.handle(r, exchange)
	abort := func(err error) error {
		if abandon != nil {
			abandon()
		}
		return err
	}
	select {
	case resp := <-reply:
		return c.writeResponse(resp, r.Method == "HEAD")
	case p := <-c.packets:
		select {
		case resp := <-reply: // both are ready: the reply takes precedence
			_ = c.writeResponse(resp, r.Method == "HEAD")
			return errClose
		default:
		}
		if p.err == nil {
			return abort(protocolError("packet received while a reply was pending"))
		}
		if errors.Is(p.err, ErrPacket) {
			return abort(p.err)
		}
		return abort(errClose) // the proxy has disconnected
	}
}

// readBody reads a request's body. If the length is known, the proxy sends the first chunk unasked; every
// other chunk has to be requested.
func (c *conn) readBody(h textproto.MIMEHeader) ([]byte, error) {
	refuse := func(status int, format string, args ...any) ([]byte, error) {
		return nil, &lnet.BadMessage{Status: status, Detail: fmt.Sprintf(format, args...)}
	}
	lengths, codings := h["Content-Length"], h["Transfer-Encoding"]
	length := -1
	switch {
	case !lnet.ValidHeaderNames(h): // a length that is not seen would leave a body to be read as packets
		return refuse(400, "malformed headers")
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
	if !c.reserve(length) {
		return refuse(503, "no memory is left for the request")
	}
	deadline := time.Now().Add(requestTimeout)
	var body []byte
	maxChunk := c.server.options.PacketSize - headerSize - 2
	for first := true; length < 0 || len(body) < length; first = false {
		if !first || length < 0 {
			want := maxChunk
			if length >= 0 {
				want = min(want, length-len(body))
			}
			if err := c.write(AppendGetBody(nil, want)); err != nil {
				return nil, err
			}
		}
		payload, err := c.nextPacket(time.Until(deadline))
		if errors.Is(err, errTimeout) {
			return refuse(408, "the request did not come to its end in time")
		}
		if err != nil {
			return nil, err
		}
		chunk, err := ParseBody(payload)
		switch {
		case err != nil:
			return nil, err
		case len(chunk) == 0 && length < 0:
			return body, nil
		case len(chunk) == 0:
			return refuse(400, "the body ends after %d of %d bytes", len(body), length)
		case length >= 0 && len(body)+len(chunk) > length:
			return nil, protocolError("body is longer than announced")
		case len(body)+len(chunk) > lnet.MaxBody:
			return refuse(413, "the body is larger than %d bytes", lnet.MaxBody)
		}
		if length < 0 && !c.reserve(len(body)+len(chunk)) {
			return refuse(503, "no memory is left for the request")
		}
		body = append(body, chunk...)
	}
	return body, nil
}

// reserve makes sure that memory for a body of so many bytes is reserved, beyond the first few that every
// connection may hold.
func (c *conn) reserve(size int) bool {
	more := size - freeBodySize - c.reserved
	if more <= 0 {
		return true
	}
	if !c.server.budget.ReserveInput(more) {
		return false
	}
	c.reserved += more
	return true
}

// writeResponse writes a reply. If the reply requires it, or the server is shutting down, the connection is
// closed afterwards, which errClose reports.
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
	closeConn := r.Close || c.server.closing.Load()
	if err := c.write(AppendEnd(b, !closeConn)); err != nil {
		return err
	}
	if closeConn {
		return errClose
	}
	return nil
}

func (c *conn) write(b []byte) error {
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.netConn.Write(b)
	return err
}
