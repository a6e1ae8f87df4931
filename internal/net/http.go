package net

// HTTP/1.1 messages on net/textproto for both sides: parsing from a ring buffer, writing through one, and a
// client for a single connection. This file handles message syntax only; it must not know what messages mean.

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

// BadMessage is the error for an invalid message, with the status code to reply with.
type BadMessage struct {
	Status int
	Detail string
}

func (e *BadMessage) Error() string { return e.Detail }

func badMessage(status int, format string, args ...any) error {
	return &BadMessage{Status: status, Detail: fmt.Sprintf(format, args...)}
}

// Request is a complete request. ReceivedAt is when its last byte arrived.
type Request struct {
	Method     string
	Path       string
	Query      string
	Header     textproto.MIMEHeader
	Body       []byte
	Close      bool
	ReceivedAt time.Time

	reserved int  // bytes of the limit on input that it holds until its reply is written
	noMemory bool // it was read, but there is no memory for it: it is to be refused
}

// Response is a complete reply to a client.
type Response struct {
	Status      int
	ContentType string // text/plain if empty
	Header      [][2]string
	Body        []byte
	Close       bool
	// DecidedAt is when the answer was decided, to record late replies; zero: unknown.
	DecidedAt time.Time
}

// ReasonPhrase returns the reason phrase of a status code.
func ReasonPhrase(status int) string {
	switch status {
	case 200:
		return "OK"
	case 202:
		return "Accepted"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 409:
		return "Conflict"
	case 411:
		return "Length Required"
	case 413:
		return "Content Too Large"
	case 415:
		return "Unsupported Media Type"
	case 422:
		return "Unprocessable Content"
	case 431:
		return "Request Header Fields Too Large"
	case 500:
		return "Internal Server Error"
	case 501:
		return "Not Implemented"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	case 505:
		return "HTTP Version Not Supported"
	}
	return "Status"
}

// headReaders pools the small buffered readers that textproto parses message heads with. They hold no data
// between calls.
var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 512) }}

var headTerminator = []byte("\r\n\r\n")

// parseHead parses the first line and the headers of a head of size bytes without removing it from the ring.
func parseHead(in *Ring, size int) (string, textproto.MIMEHeader, error) {
	head := make([]byte, size)
	in.Peek(head, 0)
	if bytes.Count(head, []byte{'\n'}) > maxFields+2 { // and the first line, and the empty one
		return "", nil, badMessage(431, "the head has more than %d fields", maxFields)
	}
	br := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(br)
	br.Reset(bytes.NewReader(head))
	tp := textproto.NewReader(br)
	line, err := tp.ReadLine()
	if err != nil {
		return "", nil, badMessage(400, "no first line")
	}
	h, err := tp.ReadMIMEHeader()
	if err != nil || !ValidHeaderNames(h) {
		return "", nil, badMessage(400, "malformed headers")
	}
	if br.Buffered() > 0 { // an empty line of a bare LF, behind which another parser may see headers
		return "", nil, badMessage(400, "an empty line within the head")
	}
	return line, h, nil
}

// ValidHeaderNames reports whether the name of each header is a token. textproto lets others pass as they
// are, such as one with a blank before its colon, which another parser may take for the header without it
// (RFC 9112, 5.1).
func ValidHeaderNames(h textproto.MIMEHeader) bool {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	return true
}

// wantsClose reports whether the sender closes the connection after this message.
func wantsClose(h textproto.MIMEHeader) bool {
	for _, v := range h["Connection"] {
		for _, token := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "close") {
				return true
			}
		}
	}
	return false
}

// ringWriter buffers writes to a connection in its ring.
type ringWriter struct {
	w    io.Writer
	ring *Ring
}

func (w *ringWriter) flush() error {
	for w.ring.Len() > 0 {
		n, err := w.w.Write(w.ring.FirstSegment())
		w.ring.Discard(n)
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *ringWriter) Write(p []byte) (int, error) {
	for left := p; len(left) > 0; {
		n := min(len(left), w.ring.limit-w.ring.Len())
		if n == 0 {
			if err := w.flush(); err != nil {
				return len(p) - len(left), err
			}
			continue
		}
		if _, err := w.ring.Write(left[:n]); err != nil {
			return len(p) - len(left), err
		}
		left = left[n:]
	}
	return len(p), nil
}

// writeResponse writes a reply with its Content-Length. Its Date is the time of the decision, if known, as
// reading the clock would delay the reply after the decision.
func writeResponse(chunk *replyChunk, out *Ring, r Response, closeAfter, headOnly bool) error {
	w := &ringWriter{w: chunk, ring: out}
	date := r.DecidedAt
	if date.IsZero() {
		date = time.Now()
	}
	contentType := r.ContentType
	if contentType == "" {
		contentType = "text/plain; charset=utf-8"
	}
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nDate: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n", r.Status,
		ReasonPhrase(r.Status), date.UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT"), contentType, len(r.Body))
	for _, h := range r.Header {
		fmt.Fprintf(w, "%s: %s\r\n", h[0], h[1])
	}
	if closeAfter {
		fmt.Fprint(w, "Connection: close\r\n")
	}
	fmt.Fprint(w, "\r\n")
	if !headOnly {
		if _, err := w.Write(r.Body); err != nil {
			return err
		}
	}
	chunk.final = true
	return w.flush()
}

// Reply is a server's reply to a Client.
type Reply struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
}

// Client is a connection to a server that carries one request at a time. It is not safe for concurrent use,
// except that Close may be called at any time and ends a request in progress.
type Client struct {
	conn      net.Conn
	in, out   *Ring
	maxBody   int
	reusable  bool // the connection may carry another request
	IdleSince time.Time
	// ReserveBytes, if set, is called before a body grows by n bytes; if it returns false the request fails.
	ReserveBytes func(n int) bool
}

// Dial opens a connection. A reply's body may have at most maxBody bytes.
func Dial(addr string, timeout time.Duration, maxBody int) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return &Client{conn: c, in: NewRing(MaxHead + MaxBody), out: NewRing(MaxBody), maxBody: maxBody,
		reusable: true}, nil
}

// Close closes the connection.
func (c *Client) Close() { AbortAndClose(c.conn) }

// Abort guarantees that no further byte of a request is sent; a request in progress fails.
func (c *Client) Abort() { Abort(c.conn) }

// Reusable reports whether the connection may carry another request.
func (c *Client) Reusable() bool { return c.reusable }

// Do sends a request and reads its reply, up to the deadline.
func (c *Client) Do(method, target, host string, header [][2]string, body []byte,
	deadline time.Time) (*Reply, error) {
	if err := c.Write(method, target, host, header, body, deadline); err != nil {
		return nil, err
	}
	return c.Read(deadline)
}

// ErrUnsolicited reports that bytes, or the end of the stream, have come on a connection on which no reply is
// due. What follows a request there could be taken for its reply, so that the connection can only be closed.
var ErrUnsolicited = errors.New("input without a request")

// Write sends a request. If it fails, the last byte was not written, so the server cannot have acted on it.
// It fails with ErrUnsolicited, and writes nothing, where the connection holds input of before.
func (c *Client) Write(method, target, host string, header [][2]string, body []byte,
	deadline time.Time) error {
	c.reusable = false
	if c.in.Len() > 0 || hasInput(c.conn) {
		return ErrUnsolicited
	}
	_ = c.conn.SetDeadline(deadline)
	w := &ringWriter{w: c.conn, ring: c.out}
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	for _, h := range header {
		fmt.Fprintf(w, "%s: %s\r\n", h[0], h[1])
	}
	if body != nil {
		fmt.Fprintf(w, "Content-Length: %d\r\n", len(body))
	}
	fmt.Fprint(w, "\r\n")
	if _, err := w.Write(body); err != nil {
		return err
	}
	return w.flush()
}

// fill makes one read into the ring.
func (c *Client) fill() error {
	free := c.in.Free()
	if free == nil {
		return badMessage(502, "the reply's head is too large")
	}
	n, err := c.conn.Read(free)
	c.in.Commit(n)
	if n > 0 {
		return nil
	}
	return err
}

// Read reads the reply to the request that was written, and skips interim replies.
func (c *Client) Read(deadline time.Time) (*Reply, error) {
	_ = c.conn.SetDeadline(deadline)
	for {
		end := c.in.Index(headTerminator)
		if end > MaxHead || end < 0 && c.in.Len() > MaxHead {
			return nil, badMessage(502, "the reply's head is too large")
		}
		if end < 0 {
			if err := c.fill(); err != nil {
				return nil, fmt.Errorf("reading a reply: %w", err)
			}
			continue
		}
		line, h, err := parseHead(c.in, end+4)
		if err != nil {
			return nil, err
		}
		c.in.Discard(end + 4)
		proto, rest, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || !strings.HasPrefix(proto, "HTTP/1.") {
			return nil, badMessage(502, "malformed status line")
		}
		if status < 200 {
			continue
		}
		r := &Reply{Status: status, Header: h}
		persistent := true
		if status != 204 && status != 304 {
			if r.Body, persistent, err = c.readBody(h); err != nil {
				return nil, err
			}
		}
		c.reusable = persistent && proto == "HTTP/1.1" && !wantsClose(h) && c.in.Len() == 0
		c.IdleSince = time.Now()
		return r, nil
	}
}

// readBody reads a reply's body. persistent reports whether the connection may be used after it.
func (c *Client) readBody(h textproto.MIMEHeader) (b []byte, persistent bool, err error) {
	codings, lengths := h["Transfer-Encoding"], h["Content-Length"]
	var length uint64
	switch {
	case len(codings) > 0:
		if len(codings) != 1 || !strings.EqualFold(strings.TrimSpace(codings[0]), "chunked") {
			return nil, false, badMessage(502, "unknown transfer coding")
		}
		b, err = c.readChunks()
		return b, true, err
	case len(lengths) > 0:
		if length, err = strconv.ParseUint(lengths[0], 10, 63); err != nil {
			return nil, false, badMessage(502, "malformed length")
		}
		b, err = c.appendBody(nil, length)
		return b, true, err
	}
	for {
		if b, err = c.appendBody(b, uint64(c.in.Len())); err != nil {
			return nil, false, err
		}
		if err = c.fill(); errors.Is(err, io.EOF) {
			return b, false, nil
		} else if err != nil {
			return nil, false, err
		}
	}
}

// appendBody appends the next n bytes of the body to b.
func (c *Client) appendBody(b []byte, n uint64) ([]byte, error) {
	if n > uint64(c.maxBody-len(b)) {
		return nil, badMessage(502, "the reply is larger than %d bytes", c.maxBody)
	}
	for n > 0 {
		if c.in.Len() == 0 {
			if err := c.fill(); err != nil {
				return nil, fmt.Errorf("reading a reply: %w", err)
			}
		}
		segment := c.in.FirstSegment()
		segment = segment[:min(uint64(len(segment)), n)]
		if c.ReserveBytes != nil && !c.ReserveBytes(len(segment)) {
			return nil, badMessage(502, "no memory is left for the reply")
		}
		b = append(b, segment...)
		n -= uint64(len(segment))
		c.in.Discard(len(segment))
	}
	return b, nil
}

// readLine reads one short line.
func (c *Client) readLine() (string, error) {
	for {
		if i := c.in.Index([]byte("\r\n")); i >= 0 && i <= 1024 {
			b := make([]byte, i)
			c.in.Peek(b, 0)
			c.in.Discard(i + 2)
			return string(b), nil
		}
		if c.in.Len() > 1024 {
			return "", badMessage(502, "malformed chunk")
		}
		if err := c.fill(); err != nil {
			return "", fmt.Errorf("reading a reply: %w", err)
		}
	}
}

// readChunks reads a chunked body.
func (c *Client) readChunks() ([]byte, error) {
	var b []byte
	for {
		text, err := c.readLine()
		if err != nil {
			return nil, err
		}
		digits, _, _ := strings.Cut(text, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil {
			return nil, badMessage(502, "malformed chunk")
		}
		if n == 0 {
			break
		}
		if b, err = c.appendBody(b, n); err != nil {
			return nil, err
		}
		if text, err = c.readLine(); err != nil || text != "" {
			return nil, badMessage(502, "malformed chunk")
		}
	}
	for { // skip trailers
		if text, err := c.readLine(); err != nil || text == "" {
			return b, err
		}
	}
}

// ID returns the request ID set by the client.
func (r *Request) ID() string { return r.Header.Get("X-Call-Id") }
