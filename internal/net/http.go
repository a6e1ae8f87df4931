package net

// HTTP/1.1 messages on net/textproto, both sides: parsing out of a ring buffer, writing through one, and a
// client for one connection. This file owns the syntax of messages; it must never know what they are for.

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
)

// BadMessage is a message that cannot be used, with the status that its sender is told.
type BadMessage struct {
	Status int
	Detail string
}

func (e *BadMessage) Error() string { return e.Detail }

func bad(status int, format string, args ...any) error {
	return &BadMessage{Status: status, Detail: fmt.Sprintf(format, args...)}
}

// Request is a whole request. At is when its last byte was read.
type Request struct {
	Method     string
	Path       string
	Query      string
	Header     textproto.MIMEHeader
	Body       []byte
	Close      bool
	ReceivedAt time.Time
}

// Response is a whole reply.
type Response struct {
	Status      int
	ContentType string // content type; text/plain where empty
	Header      [][2]string
	Body        []byte
	Close       bool
	// DecidedAt is when the answer was given, for the record of replies that are late; zero: nobody says.
	DecidedAt time.Time
}

// ReasonPhrase is the phrase of a status.
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

// readers are the small buffers that textproto reads heads through. They hold nothing between calls.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 512) }}

var headEnd = []byte("\r\n\r\n")

// parseHead reads the first line and the headers out of a head of size bytes, without taking them.
func parseHead(in *Ring, size int) (string, textproto.MIMEHeader, error) {
	head := make([]byte, size)
	in.Peek(head, 0)
	br := readers.Get().(*bufio.Reader)
	defer readers.Put(br)
	br.Reset(bytes.NewReader(head))
	tp := textproto.NewReader(br)
	line, err := tp.ReadLine()
	if err != nil {
		return "", nil, bad(400, "no first line")
	}
	h, err := tp.ReadMIMEHeader()
	if err != nil {
		return "", nil, bad(400, "malformed headers")
	}
	return line, h, nil
}

// lacks tells what a request that is not all there waits for.
type lacks struct {
	bytes int  // before the ring holds so many it cannot be whole; 0: not known
	word  bool // the client waits to be told to go on
}

// parseRequest takes one whole request out of the ring. It returns nil while something is lacking.
func parseRequest(in *Ring, at time.Time) (req *Request, lack lacks, err error) {
	for in.Len() >= 2 { // empty lines before a request are to be skipped
		var two [2]byte
		if in.Peek(two[:], 0); two != [2]byte{'\r', '\n'} {
			break
		}
		in.Discard(2)
	}
	end := in.Index(headEnd)
	if end < 0 {
		if in.Len() > MaxHead {
			return nil, lack, bad(431, "the head is larger than %d bytes", MaxHead)
		}
		return nil, lack, nil
	}
	if end > MaxHead {
		return nil, lack, bad(431, "the head is larger than %d bytes", MaxHead)
	}
	line, h, err := parseHead(in, end+4)
	if err != nil {
		return nil, lack, err
	}
	method, rest, ok1 := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if !ok1 || !ok2 || method == "" || target == "" || strings.ContainsAny(method, "\t\"(),/:;<=>?@[]{}") {
		return nil, lack, bad(400, "malformed request line")
	}
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		if strings.HasPrefix(proto, "HTTP/") {
			return nil, lack, bad(505, "only HTTP/1.1 is spoken here")
		}
		return nil, lack, bad(400, "malformed request line")
	}
	if proto == "HTTP/1.1" && len(h["Host"]) != 1 {
		return nil, lack, bad(400, "one Host header is needed")
	}
	body, taken, err := parseBody(in, end+4, h, MaxBody)
	if err != nil {
		return nil, lack, err
	}
	if taken < 0 {
		if strings.EqualFold(h.Get("Expect"), "100-continue") {
			lack.word = true
		}
		lack.bytes = -taken
		return nil, lack, nil
	}
	in.Discard(taken)
	if i := strings.Index(target, "://"); i > 0 && !strings.HasPrefix(target, "/") { // absolute form
		if j := strings.IndexByte(target[i+3:], '/'); j >= 0 {
			target = target[i+3+j:]
		} else {
			target = "/"
		}
	}
	path, query, _ := strings.Cut(target, "?")
	return &Request{Method: method, Path: path, Query: query, Header: h, Body: body, ReceivedAt: at,
		Close: closes(h) || proto == "HTTP/1.0"}, lack, nil
}

// closes tells that the sender ends the connection after this message.
func closes(h textproto.MIMEHeader) bool {
	for _, v := range h["Connection"] {
		for _, token := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "close") {
				return true
			}
		}
	}
	return false
}

// parseBody copies the body that begins at place from. taken is where the message ends or, while bytes are
// lacking, below 0: before there are that many it cannot be whole.
func parseBody(in *Ring, from int, h textproto.MIMEHeader, most int) (b []byte, taken int, err error) {
	codings, lengths := h["Transfer-Encoding"], h["Content-Length"]
	switch {
	case len(codings) > 0 && len(lengths) > 0: // two readers could see two different messages
		return nil, 0, bad(400, "both a length and a transfer coding")
	case len(codings) > 0:
		if len(codings) != 1 || !strings.EqualFold(strings.TrimSpace(codings[0]), "chunked") {
			return nil, 0, bad(501, "unknown transfer coding")
		}
		return parseChunks(in, from, most)
	case len(lengths) > 0:
		for _, l := range lengths {
			if l != lengths[0] {
				return nil, 0, bad(400, "lengths that differ")
			}
		}
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return nil, 0, bad(400, "malformed length")
		}
		if n > uint64(most) {
			return nil, 0, bad(413, "the body is larger than %d bytes", most)
		}
		if in.Len() < from+int(n) {
			return nil, -from - int(n), nil
		}
		b = make([]byte, n)
		in.Peek(b, from)
		return b, from + int(n), nil
	}
	return nil, from, nil
}

// parseChunks reads a chunked body.
func parseChunks(in *Ring, from, most int) ([]byte, int, error) {
	rest := make([]byte, in.Len()-from)
	in.Peek(rest, from)
	size := len(rest)
	var body []byte
	for {
		i := bytes.Index(rest, []byte("\r\n"))
		if i < 0 {
			if len(rest) > 1024 {
				return nil, 0, bad(400, "malformed chunk")
			}
			return nil, -from - size - 1, nil
		}
		digits, _, _ := strings.Cut(string(rest[:i]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil {
			return nil, 0, bad(400, "malformed chunk")
		}
		if len(body)+int(n) > most {
			return nil, 0, bad(413, "the body is larger than %d bytes", most)
		}
		rest = rest[i+2:]
		if n == 0 { // trailers, up to an empty line
			for {
				j := bytes.Index(rest, []byte("\r\n"))
				if j < 0 {
					if len(rest) > MaxHead {
						return nil, 0, bad(431, "the trailers are too large")
					}
					return nil, -from - size - 1, nil
				}
				rest = rest[j+2:]
				if j == 0 {
					return body, from + size - len(rest), nil
				}
			}
		}
		if len(rest) < int(n)+2 {
			return nil, -from - size - (int(n) + 2 - len(rest)), nil
		}
		if rest[n] != '\r' || rest[n+1] != '\n' {
			return nil, 0, bad(400, "malformed chunk")
		}
		body = append(body, rest[:n]...)
		rest = rest[n+2:]
	}
}

// ringWriter writes to a connection through its ring.
type ringWriter struct {
	w io.Writer
	r *Ring
}

func (w *ringWriter) flush() error {
	for w.r.Len() > 0 {
		n, err := w.w.Write(w.r.First())
		w.r.Discard(n)
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *ringWriter) Write(p []byte) (int, error) {
	for left := p; len(left) > 0; {
		n := min(len(left), w.r.ceiling-w.r.Len())
		if n == 0 {
			if err := w.flush(); err != nil {
				return len(p) - len(left), err
			}
			continue
		}
		if _, err := w.r.Write(left[:n]); err != nil {
			return len(p) - len(left), err
		}
		left = left[n:]
	}
	return len(p), nil
}

// writeResponse writes a reply with its length. Of one that was decided on a Step its time is taken: a look
// at a clock would come between the decision and the reply.
func writeResponse(to *replyPiece, out *Ring, r Response, end, headOnly bool) error {
	w := &ringWriter{w: to, r: out}
	date := r.DecidedAt
	if date.IsZero() {
		date = time.Now()
	}
	kind := r.ContentType
	if kind == "" {
		kind = "text/plain; charset=utf-8"
	}
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nDate: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n", r.Status,
		ReasonPhrase(r.Status), date.UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT"), kind, len(r.Body))
	for _, h := range r.Header {
		fmt.Fprintf(w, "%s: %s\r\n", h[0], h[1])
	}
	if end {
		fmt.Fprint(w, "Connection: close\r\n")
	}
	fmt.Fprint(w, "\r\n")
	if !headOnly {
		if _, err := w.Write(r.Body); err != nil {
			return err
		}
	}
	to.last = true
	return w.flush()
}

// Reply is what a server answered.
type Reply struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
}

// Client is one connection to a server, for one request at a time. It is not safe for concurrent use, but
// Close may be called at any time and ends a call that is under way.
type Client struct {
	c         net.Conn
	in, out   *Ring
	most      int
	sound     bool // may carry another request
	IdleSince time.Time
	// ReserveBytes, if set, is asked before a body grows by so many bytes; where it says no the call fails.
	ReserveBytes func(n int) bool
}

// Dial opens a connection. A reply's body may hold most bytes.
func Dial(addr string, timeout time.Duration, most int) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return &Client{c: c, in: NewRing(MaxHead + MaxBody), out: NewRing(MaxBody), most: most, sound: true}, nil
}

// Close ends the connection.
func (c *Client) Close() { AbortAndClose(c.c) }

// Abort makes it impossible that another byte of a request goes out; whatever is under way fails.
func (c *Client) Abort() { Abort(c.c) }

// Reusable tells that the connection may carry another request.
func (c *Client) Reusable() bool { return c.sound }

// Do sends a request and reads its reply until the deadline.
func (c *Client) Do(method, target, host string, header [][2]string, body []byte,
	until time.Time) (*Reply, error) {
	if err := c.Write(method, target, host, header, body, until); err != nil {
		return nil, err
	}
	return c.Read(until)
}

// Write sends a request. If it fails the last byte was not written: the server cannot have acted on it.
func (c *Client) Write(method, target, host string, header [][2]string, body []byte, until time.Time) error {
	c.sound = false
	_ = c.c.SetDeadline(until)
	w := &ringWriter{w: c.c, r: c.out}
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

// fill reads once into the ring.
func (c *Client) fill() error {
	free := c.in.Free()
	if free == nil {
		return bad(502, "the reply's head is too large")
	}
	n, err := c.c.Read(free)
	c.in.Commit(n)
	if n > 0 {
		return nil
	}
	return err
}

// Read reads the reply to the request that was written, interim ones skipped.
func (c *Client) Read(until time.Time) (*Reply, error) {
	_ = c.c.SetDeadline(until)
	for {
		end := c.in.Index(headEnd)
		if end > MaxHead || end < 0 && c.in.Len() > MaxHead {
			return nil, bad(502, "the reply's head is too large")
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
			return nil, bad(502, "malformed status line")
		}
		if status < 200 {
			continue
		}
		r := &Reply{Status: status, Header: h}
		lasting := true
		if status != 204 && status != 304 {
			if r.Body, lasting, err = c.body(h); err != nil {
				return nil, err
			}
		}
		c.sound = lasting && proto == "HTTP/1.1" && !closes(h) && c.in.Len() == 0
		c.IdleSince = time.Now()
		return r, nil
	}
}

// body reads a reply's body; lasting tells that the connection may go on after it.
func (c *Client) body(h textproto.MIMEHeader) (b []byte, lasting bool, err error) {
	codings, lengths := h["Transfer-Encoding"], h["Content-Length"]
	var left uint64
	switch {
	case len(codings) > 0:
		if len(codings) != 1 || !strings.EqualFold(strings.TrimSpace(codings[0]), "chunked") {
			return nil, false, bad(502, "unknown transfer coding")
		}
		b, err = c.chunks()
		return b, true, err
	case len(lengths) > 0:
		if left, err = strconv.ParseUint(lengths[0], 10, 63); err != nil {
			return nil, false, bad(502, "malformed length")
		}
		b, err = c.take(nil, left)
		return b, true, err
	}
	for {
		if b, err = c.take(b, uint64(c.in.Len())); err != nil {
			return nil, false, err
		}
		if err = c.fill(); errors.Is(err, io.EOF) {
			return b, false, nil
		} else if err != nil {
			return nil, false, err
		}
	}
}

// take moves n bytes of the body behind b.
func (c *Client) take(b []byte, n uint64) ([]byte, error) {
	if n > uint64(c.most-len(b)) {
		return nil, bad(502, "the reply is larger than %d bytes", c.most)
	}
	for n > 0 {
		if c.in.Len() == 0 {
			if err := c.fill(); err != nil {
				return nil, fmt.Errorf("reading a reply: %w", err)
			}
		}
		part := c.in.First()
		part = part[:min(uint64(len(part)), n)]
		if c.ReserveBytes != nil && !c.ReserveBytes(len(part)) {
			return nil, bad(502, "no memory is left for the reply")
		}
		b = append(b, part...)
		n -= uint64(len(part))
		c.in.Discard(len(part))
	}
	return b, nil
}

// line takes one short line.
func (c *Client) line() (string, error) {
	for {
		if i := c.in.Index([]byte("\r\n")); i >= 0 && i <= 1024 {
			b := make([]byte, i)
			c.in.Peek(b, 0)
			c.in.Discard(i + 2)
			return string(b), nil
		}
		if c.in.Len() > 1024 {
			return "", bad(502, "malformed chunk")
		}
		if err := c.fill(); err != nil {
			return "", fmt.Errorf("reading a reply: %w", err)
		}
	}
}

// chunks reads a chunked body piece by piece.
func (c *Client) chunks() ([]byte, error) {
	var b []byte
	for {
		text, err := c.line()
		if err != nil {
			return nil, err
		}
		digits, _, _ := strings.Cut(text, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil {
			return nil, bad(502, "malformed chunk")
		}
		if n == 0 {
			break
		}
		if b, err = c.take(b, n); err != nil {
			return nil, err
		}
		if text, err = c.line(); err != nil || text != "" {
			return nil, bad(502, "malformed chunk")
		}
	}
	for { // trailers
		if text, err := c.line(); err != nil || text == "" {
			return b, err
		}
	}
}

// ID is the request's id, as its client gave it.
func (r *Request) ID() string { return r.Header.Get("X-Call-Id") }
