package net

// Parsing of requests. A request may come in very many pieces, so the parser goes on where it stopped: each
// byte is looked at a bounded number of times, and while a request is incomplete nothing of it is kept beside
// the ring but its framing.

import (
	"bytes"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	// maxFields is the largest number of header fields. A parsed field takes far more memory than the few bytes
	// that it may have on the wire.
	maxFields = 128
	// fieldMemory is what a parsed field takes beyond its text.
	fieldMemory = 100
	// freeRequestSize is the size up to which a request is not accounted for: it is part of connMemory.
	freeRequestSize = 4 << 10
	maxChunkLine    = 1024 // a chunk's size and its extensions
	maxSizeField    = 32   // the part of such a line that may hold the size
)

var lineEnd = []byte("\r\n")

// incomplete describes what is missing from an incomplete request.
type incomplete struct {
	minBytes       int  // bytes that a complete request has at least; 0: unknown
	expectContinue bool // the client waits for a 100 Continue
	noMemory       bool // nothing is missing but memory for the body
}

// requestParser takes requests out of a ring. Its zero value is ready for use.
type requestParser struct {
	searched int // bytes of the head in which its end has been searched for
	head     requestHead
	chunks   chunkCursor
	// withoutBody has a request taken without its body, to be refused, where there is no memory for that.
	withoutBody bool
}

// requestHead is what the parser knows of a request whose body is incomplete.
type requestHead struct {
	size           int // of the head; 0: it is incomplete
	length         int // of the body, unless it is chunked
	chunked        bool
	expectContinue bool
}

// parse removes one complete request from the ring, and does not tell when it arrived. It returns a nil
// request while it is incomplete. The same parser has to be used until a request is complete.
func (p *requestParser) parse(in *Ring) (req *Request, missing incomplete, err error) {
	if p.head.size == 0 {
		if err := p.findHead(in); err != nil || p.head.size == 0 {
			return nil, missing, err
		}
	}
	missing.expectContinue = p.head.expectContinue
	size := p.head.size + p.head.length
	if p.head.chunked {
		complete, err := p.chunks.advance(in, nil)
		if err != nil {
			return nil, missing, err
		}
		if !complete {
			missing.minBytes = p.chunks.needed
			return nil, missing, nil
		}
		size = p.chunks.at
	}
	if in.Len() < size {
		missing.minBytes = size
		return nil, missing, nil
	}
	if req, err = p.take(in, size); err != nil {
		return nil, missing, err
	}
	if req == nil {
		return nil, incomplete{minBytes: size, noMemory: true}, nil
	}
	*p = requestParser{}
	return req, incomplete{}, nil
}

// findHead looks for the end of the head, and validates the head once it is complete.
func (p *requestParser) findHead(in *Ring) error {
	for p.searched == 0 && in.Len() >= len(lineEnd) { // skip empty lines before a request
		var prefix [2]byte
		if in.Peek(prefix[:], 0); !bytes.Equal(prefix[:], lineEnd) {
			break
		}
		in.Discard(len(lineEnd))
	}
	end := in.IndexFrom(headTerminator, max(0, p.searched-len(headTerminator)+1))
	if end > MaxHead || end < 0 && in.Len() > MaxHead {
		return badMessage(431, "the head is larger than %d bytes", MaxHead)
	}
	if end < 0 {
		if in.Len() >= len(lineEnd) {
			p.searched = in.Len()
		}
		return nil
	}
	size := end + len(headTerminator)
	_, h, err := parseRequestHead(in, size)
	if err != nil {
		return err
	}
	if p.head, err = parseFraming(h); err != nil {
		return err
	}
	p.head.size = size
	p.chunks = chunkCursor{at: size, maxBody: MaxBody}
	return nil
}

// take removes a complete request from the ring. It returns nil where there is no memory for the body, or the
// request without it.
func (p *requestParser) take(in *Ring, size int) (*Request, error) {
	line, h, err := parseRequestHead(in, p.head.size)
	if err != nil {
		return nil, err
	}
	path, query, _ := strings.Cut(originForm(line.target), "?")
	r := &Request{Method: line.method, Path: path, Query: query, Header: h,
		Close: wantsClose(h) || line.proto == "HTTP/1.0"}
	bodySize := p.head.length + p.chunks.size
	r.reserved = max(0, p.head.size+len(h)*fieldMemory+bodySize-freeRequestSize)
	if !in.memory.reserve(r.reserved) {
		if !p.withoutBody {
			return nil, nil
		}
		r.reserved, r.noMemory = 0, true
		in.Discard(size)
		return r, nil
	}
	if r.Body, err = p.body(in, bodySize); err != nil {
		return nil, err
	}
	in.Discard(size)
	return r, nil
}

// body returns a copy of the complete body.
func (p *requestParser) body(in *Ring, size int) ([]byte, error) {
	switch {
	case p.head.chunked:
		body := make([]byte, 0, size)
		again := chunkCursor{at: p.head.size, maxBody: MaxBody}
		_, err := again.advance(in, func(at, n int) {
			body = body[:len(body)+n]
			in.Peek(body[len(body)-n:], at)
		})
		return body, err
	case p.head.length > 0:
		body := make([]byte, size)
		in.Peek(body, p.head.size)
		return body, nil
	}
	return nil, nil
}

// requestLine is the first line of a request.
type requestLine struct{ method, target, proto string }

// parseRequestHead parses and validates a complete head of size bytes without removing it from the ring.
func parseRequestHead(in *Ring, size int) (line requestLine, h textproto.MIMEHeader, err error) {
	text, h, err := parseHead(in, size)
	if err != nil {
		return line, nil, err
	}
	method, rest, ok1 := strings.Cut(text, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if !ok1 || !ok2 || method == "" || target == "" || strings.ContainsAny(method, "\t\"(),/:;<=>?@[]{}") {
		return line, nil, badMessage(400, "malformed request line")
	}
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		if strings.HasPrefix(proto, "HTTP/") {
			return line, nil, badMessage(505, "only HTTP/1.1 is spoken here")
		}
		return line, nil, badMessage(400, "malformed request line")
	}
	if proto == "HTTP/1.1" && len(h["Host"]) != 1 {
		return line, nil, badMessage(400, "one Host header is needed")
	}
	return requestLine{method, target, proto}, h, nil
}

// originForm returns a target without scheme and host.
func originForm(target string) string {
	i := strings.Index(target, "://")
	if i <= 0 || strings.HasPrefix(target, "/") {
		return target
	}
	if j := strings.IndexByte(target[i+3:], '/'); j >= 0 {
		return target[i+3+j:]
	}
	return "/"
}

// parseFraming returns how the body of a request is delimited.
func parseFraming(h textproto.MIMEHeader) (head requestHead, err error) {
	head.expectContinue = strings.EqualFold(h.Get("Expect"), "100-continue")
	codings, lengths := h["Transfer-Encoding"], h["Content-Length"]
	switch {
	case len(codings) > 0 && len(lengths) > 0: // two parsers could see two different messages
		return head, badMessage(400, "both a length and a transfer coding")
	case len(codings) > 0:
		if len(codings) != 1 || !strings.EqualFold(strings.TrimSpace(codings[0]), "chunked") {
			return head, badMessage(501, "unknown transfer coding")
		}
		head.chunked = true
	case len(lengths) > 0:
		for _, l := range lengths {
			if l != lengths[0] {
				return head, badMessage(400, "lengths that differ")
			}
		}
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return head, badMessage(400, "malformed length")
		}
		if n > MaxBody {
			return head, badMessage(413, "the body is larger than %d bytes", MaxBody)
		}
		head.length = int(n)
	}
	return head, nil
}

// chunkCursor is a position in a chunked body.
type chunkCursor struct {
	at       int // offset in the ring
	size     int // of the chunks before it
	maxBody  int
	trailers int // where the trailers begin; 0: they are not reached
	needed   int // bytes that the ring has to hold before it can go on
}

// advance moves to the end of the body, and reports whether the ring holds it. onChunk, if set, is called
// with the offset and the size of each chunk.
func (c *chunkCursor) advance(in *Ring, onChunk func(at, n int)) (complete bool, err error) {
	for c.trailers == 0 {
		lineBreak := in.IndexFrom(lineEnd, c.at)
		if lineBreak > c.at+maxChunkLine || lineBreak < 0 && in.Len() > c.at+maxChunkLine {
			return false, badMessage(400, "malformed chunk")
		}
		if lineBreak < 0 {
			c.needed = in.Len() + 1
			return false, nil
		}
		n, err := parseChunkSize(in, c.at, lineBreak)
		if err != nil {
			return false, err
		}
		if c.size+n > c.maxBody {
			return false, badMessage(413, "the body is larger than %d bytes", c.maxBody)
		}
		data := lineBreak + len(lineEnd)
		if n == 0 {
			c.at, c.trailers = data, data
			break
		}
		end := data + n + len(lineEnd)
		if c.needed = end; in.Len() < end {
			return false, nil
		}
		var after [2]byte
		if in.Peek(after[:], data+n); !bytes.Equal(after[:], lineEnd) {
			return false, badMessage(400, "malformed chunk")
		}
		if onChunk != nil {
			onChunk(data, n)
		}
		c.size += n
		c.at = end
	}
	return c.skipTrailers(in)
}

// skipTrailers moves behind the trailers, which end with an empty line.
func (c *chunkCursor) skipTrailers(in *Ring) (complete bool, err error) {
	for {
		lineBreak := in.IndexFrom(lineEnd, c.at)
		if max(lineBreak, c.at) > c.trailers+MaxHead || lineBreak < 0 && in.Len() > c.trailers+MaxHead {
			return false, badMessage(431, "the trailers are too large")
		}
		if lineBreak < 0 {
			c.needed = in.Len() + 1
			return false, nil
		}
		empty := lineBreak == c.at
		if c.at = lineBreak + len(lineEnd); empty {
			return true, nil
		}
	}
}

// parseChunkSize parses the size in a chunk's line.
func parseChunkSize(in *Ring, at, lineBreak int) (int, error) {
	var field [maxSizeField]byte
	text := field[:in.Peek(field[:min(maxSizeField, lineBreak-at)], at)]
	digits, _, _ := strings.Cut(string(text), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return 0, badMessage(400, "malformed chunk")
	}
	return int(n), nil
}
