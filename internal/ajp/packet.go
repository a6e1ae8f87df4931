// Package ajp implements the container side of AJP/1.3, the protocol by which proxies such as mod_jk and
// Apache's mod_proxy_ajp forward their clients' requests. It owns the packets, the connections and the
// listener, and turns each request into the same form as one received over HTTP. It must not depend on what
// a request is for, and must not answer a request once its handler has it.
//
// This file parses and builds packets, without I/O.
package ajp

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Limits of packets and requests.
const (
	headerSize  = 4
	DefaultSize = 8192  // default packet size on both sides, header included
	LargestSize = 65536 // largest value of mod_jk's max_packet_size
	maxHeaders  = 256
	maxAttrs    = 256
)

// Packet types.
const (
	typeForward  = 2
	typeBody     = 3
	typeHeaders  = 4
	typeEnd      = 5
	typeGetBody  = 6
	typeShutdown = 7
	typePong     = 9
	typePing     = 10
)

// ErrPacket reports a packet that violates the protocol. The bytes after such a packet cannot be interpreted.
var ErrPacket = errors.New("ajp")

func protocolError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrPacket, fmt.Sprintf(format, args...))
}

// PayloadSize parses a packet's header and returns the size of the payload that follows. A packet larger than
// maxPacket bytes, header included, is an error.
func PayloadSize(header []byte, maxPacket int) (int, error) {
	if header[0] != 0x12 || header[1] != 0x34 {
		return 0, protocolError("bad magic %02x%02x", header[0], header[1])
	}
	n := int(binary.BigEndian.Uint16(header[2:]))
	if n+headerSize > maxPacket {
		return 0, protocolError("packet of %d bytes is too large", n+headerSize)
	}
	return n, nil
}

// Forward is a forwarded request without its body.
type Forward struct {
	Method   string
	Protocol string
	URI      string
	Query    string
	Address  string // the client's address
	Host     string // the server name and port that the client used
	SSL      bool
	Header   [][2]string
	Attrs    map[string]string // by name; "req_" precedes names that the proxy's configuration defines
}

// methods lists the methods by code.
var methods = [...]string{1: "OPTIONS", "GET", "HEAD", "POST", "PUT", "DELETE", "TRACE", "PROPFIND",
	"PROPPATCH",
	"MKCOL", "COPY", "MOVE", "LOCK", "UNLOCK", "ACL", "REPORT", "VERSION-CONTROL", "CHECKIN", "CHECKOUT",
	"UNCHECKOUT",
	"SEARCH", "MKWORKSPACE", "UPDATE", "LABEL", "MERGE", "BASELINE-CONTROL", "MKACTIVITY"}

// storedMethod is the code of a method whose name is sent as an attribute.
const storedMethod = 0xff

// requestHeaders lists the common request headers by the low byte of their codes, which start at 0xA001.
var requestHeaders = [...]string{1: "Accept", "Accept-Charset", "Accept-Encoding", "Accept-Language",
	"Authorization",
	"Connection", "Content-Type", "Content-Length", "Cookie", "Cookie2", "Host", "Pragma", "Referer",
	"User-Agent"}

// attributes lists the attributes with a single string value by code.
var attributes = map[byte]string{1: "context", 2: "servlet_path", 3: "remote_user", 4: "auth_type",
	5: "query_string",
	6: "route", 7: "ssl_cert", 8: "ssl_cipher", 9: "ssl_session", 12: "secret", 13: "stored_method"}

const (
	attrNamed   = 10
	attrKeySize = 11
	attrEnd     = 0xff
)

// decoder reads fields from a payload. After its first error it returns zero values.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) fail(format string, args ...any) {
	if d.err == nil {
		d.err = protocolError(format, args...)
		d.b = nil
	}
}

func (d *decoder) byte() byte {
	if len(d.b) < 1 {
		d.fail("truncated packet")
		return 0
	}
	x := d.b[0]
	d.b = d.b[1:]
	return x
}

func (d *decoder) int() int {
	if len(d.b) < 2 {
		d.fail("truncated packet")
		return 0
	}
	x := int(binary.BigEndian.Uint16(d.b))
	d.b = d.b[2:]
	return x
}

// text reads a string. It returns false for a null string, whose length is given as 0xFFFF.
func (d *decoder) text() (string, bool) {
	n := d.int()
	if n == 0xffff || d.err != nil {
		return "", false
	}
	return d.chars(n), true
}

// chars reads the n bytes of a string and its terminating zero.
func (d *decoder) chars(n int) string {
	if len(d.b) < n+1 || d.b[n] != 0 {
		d.fail("string of %d bytes is truncated or not terminated", n)
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n+1:]
	return s
}

// PacketType returns the type of a packet that begins an exchange.
func PacketType(payload []byte) (byte, error) {
	if len(payload) == 0 {
		return 0, protocolError("empty packet where a request was expected")
	}
	return payload[0], nil
}

// ParseForward parses a forwarded request.
func ParseForward(payload []byte) (*Forward, error) {
	d := &decoder{b: payload}
	if k := d.byte(); d.err == nil && k != typeForward {
		return nil, protocolError("packet of type %d where a request was expected", k)
	}
	f := &Forward{Attrs: map[string]string{}}
	method := d.byte()
	f.Protocol, _ = d.text()
	f.URI, _ = d.text()
	f.Address, _ = d.text()
	d.text() // the client's host name, which is not used
	f.Host, _ = d.text()
	port := d.int()
	f.SSL = d.byte() != 0
	if f.Host != "" && port != 80 && port != 443 {
		f.Host = fmt.Sprintf("%s:%d", f.Host, port)
	}
	n := d.int()
	if n > maxHeaders {
		return nil, protocolError("too many headers: %d", n)
	}
	for range n {
		var name string
		if code := d.int(); code>>8 == 0xa0 {
			if code&0xff == 0 || code&0xff >= len(requestHeaders) {
				d.fail("unknown header code %04x", code)
				break
			}
			name = requestHeaders[code&0xff]
		} else if code != 0xffff && d.err == nil {
			name = d.chars(code)
		}
		value, ok := d.text()
		if !ok || name == "" {
			d.fail("header without a name or value")
			break
		}
		f.Header = append(f.Header, [2]string{name, value})
	}
	for i := 0; d.err == nil; i++ {
		code := d.byte()
		if code == attrEnd && d.err == nil {
			break
		}
		if i >= maxAttrs {
			d.fail("more than %d attributes", maxAttrs)
		}
		switch name := attributes[code]; {
		case name != "":
			f.Attrs[name], _ = d.text()
		case code == attrNamed:
			name, ok := d.text()
			value, _ := d.text()
			if !ok {
				d.fail("attribute without a name")
			}
			f.Attrs["req_"+name] = value
		case code == attrKeySize:
			d.int()
		default:
			d.fail("unknown attribute code %d", code)
		}
	}
	if d.err == nil && len(d.b) > 0 {
		d.fail("%d bytes after the end of a request", len(d.b))
	}
	if d.err != nil {
		return nil, d.err
	}
	switch {
	case method == storedMethod && f.Attrs["stored_method"] != "":
		f.Method = f.Attrs["stored_method"]
	case method == 0 || int(method) >= len(methods):
		return nil, protocolError("unknown method code %d", method)
	default:
		f.Method = methods[method]
	}
	f.Query = f.Attrs["query_string"]
	if f.URI == "" {
		return nil, protocolError("request without a URI")
	}
	return f, nil
}

// ParseBody parses a chunk of a request body. An empty chunk ends the body. The result aliases payload.
func ParseBody(payload []byte) ([]byte, error) {
	if len(payload) == 0 {
		return nil, nil
	}
	d := &decoder{b: payload}
	n := d.int()
	if d.err == nil && n > len(d.b) {
		d.fail("body chunk of %d bytes in a packet of %d", n, len(payload))
	}
	if d.err == nil && n < len(d.b) {
		d.fail("%d bytes after the end of a body chunk", len(d.b)-n)
	}
	if d.err != nil {
		return nil, d.err
	}
	return d.b[:n], nil
}

// beginPacket appends the start of a packet to the proxy and returns the buffer and the packet's offset in
// it; endPacket fills in the packet's length.
func beginPacket(b []byte, kind byte) ([]byte, int) { return append(b, 'A', 'B', 0, 0, kind), len(b) }

func endPacket(b []byte, at int) []byte {
	binary.BigEndian.PutUint16(b[at+2:], uint16(len(b)-at-headerSize))
	return b
}

func appendText(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
	return append(append(b, s...), 0)
}

// responseHeaders holds the codes of the common response headers.
var responseHeaders = map[string]uint16{
	"Content-Type": 0xa001, "Content-Language": 0xa002, "Content-Length": 0xa003, "Date": 0xa004,
	"Last-Modified": 0xa005, "Location": 0xa006, "Set-Cookie": 0xa007, "Set-Cookie2": 0xa008,
	"Servlet-Engine": 0xa009, "Status": 0xa00a, "WWW-Authenticate": 0xa00b,
}

// AppendHeaders appends a response's status and headers.
func AppendHeaders(b []byte, status int, reason string, header [][2]string) []byte {
	b, at := beginPacket(b, typeHeaders)
	b = binary.BigEndian.AppendUint16(b, uint16(status))
	b = appendText(b, reason)
	b = binary.BigEndian.AppendUint16(b, uint16(len(header)))
	for _, h := range header {
		if code, ok := responseHeaders[h[0]]; ok {
			b = binary.BigEndian.AppendUint16(b, code)
		} else {
			b = appendText(b, h[0])
		}
		b = appendText(b, h[1])
	}
	return endPacket(b, at)
}

// AppendBody appends a response's body in packets of at most maxPacket bytes.
func AppendBody(b, body []byte, maxPacket int) []byte {
	for len(body) > 0 {
		n := min(len(body), maxPacket-headerSize-4)
		var at int
		b, at = beginPacket(b, typeBody)
		b = binary.BigEndian.AppendUint16(b, uint16(n))
		b = append(append(b, body[:n]...), 0)
		b = endPacket(b, at)
		body = body[n:]
	}
	return b
}

// AppendEnd appends the end of a response; reuse tells whether the connection stays open.
func AppendEnd(b []byte, reuse bool) []byte {
	b, at := beginPacket(b, typeEnd)
	if reuse {
		return endPacket(append(b, 1), at)
	}
	return endPacket(append(b, 0), at)
}

// AppendGetBody appends a request for up to n more bytes of the request's body.
func AppendGetBody(b []byte, n int) []byte {
	b, at := beginPacket(b, typeGetBody)
	return endPacket(binary.BigEndian.AppendUint16(b, uint16(n)), at)
}

// AppendPong appends the reply to a CPing.
func AppendPong(b []byte) []byte {
	b, at := beginPacket(b, typePong)
	return endPacket(b, at)
}
