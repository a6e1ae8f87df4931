// Package ajp speaks AJP/1.3 as a container does: mod_jk and Apache's proxy_ajp forward their clients'
// requests by it. It owns packets, connections and the listener, and makes of each request what HTTP would
// have made of it; it must never know what a request is for, or answer one by itself once its handler has it.
//
// This file holds the packets: parsing and building, without I/O.
package ajp

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Sizes of packets.
const (
	headerSize  = 4
	DefaultSize = 8192  // of a packet with its header, as both sides have it unless told otherwise
	LargestSize = 65536 // that max_packet_size allows
	maxHeaders  = 256
	maxAttrs    = 256
)

// Types of packets.
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

// ErrPacket is a packet that breaks the protocol. What comes behind it means nothing.
var ErrPacket = errors.New("ajp")

func protocolError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrPacket, fmt.Sprintf(format, args...))
}

// PayloadSize reads a packet's header and returns how many bytes of payload follow. most is the largest packet.
func PayloadSize(head []byte, most int) (int, error) {
	if head[0] != 0x12 || head[1] != 0x34 {
		return 0, protocolError("magic %02x%02x", head[0], head[1])
	}
	n := int(binary.BigEndian.Uint16(head[2:]))
	if n+headerSize > most {
		return 0, protocolError("a packet of %d bytes", n+headerSize)
	}
	return n, nil
}

// Forward is a forwarded request, all but its body.
type Forward struct {
	Method   string
	Protocol string
	URI      string
	Query    string
	Address  string // of the client
	Host     string // server name and port as the client had them
	SSL      bool
	Header   [][2]string
	Attrs    map[string]string // by name: context, remote_user, route, secret and what the front sends itself
}

// methods are the codes of methods.
var methods = [...]string{1: "OPTIONS", "GET", "HEAD", "POST", "PUT", "DELETE", "TRACE", "PROPFIND",
	"PROPPATCH",
	"MKCOL", "COPY", "MOVE", "LOCK", "UNLOCK", "ACL", "REPORT", "VERSION-CONTROL", "CHECKIN", "CHECKOUT",
	"UNCHECKOUT",
	"SEARCH", "MKWORKSPACE", "UPDATE", "LABEL", "MERGE", "BASELINE-CONTROL", "MKACTIVITY"}

// storedMethod tells that the method's name is an attribute.
const storedMethod = 0xff

// requestHeaders are the codes of headers, from 0xA001 on.
var requestHeaders = [...]string{1: "Accept", "Accept-Charset", "Accept-Encoding", "Accept-Language",
	"Authorization",
	"Connection", "Content-Type", "Content-Length", "Cookie", "Cookie2", "Host", "Pragma", "Referer",
	"User-Agent"}

// attributes are the codes of attributes that hold one string.
var attributes = map[byte]string{1: "context", 2: "servlet_path", 3: "remote_user", 4: "auth_type",
	5: "query_string",
	6: "route", 7: "ssl_cert", 8: "ssl_cipher", 9: "ssl_session", 12: "secret", 13: "stored_method"}

const (
	attrNamed   = 10
	attrKeySize = 11
	attrEnd     = 0xff
)

// decoder reads a payload; after the first thing that is not there it reads nothing more.
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
		d.fail("a packet that ends too soon")
		return 0
	}
	x := d.b[0]
	d.b = d.b[1:]
	return x
}

func (d *decoder) int() int {
	if len(d.b) < 2 {
		d.fail("a packet that ends too soon")
		return 0
	}
	x := int(binary.BigEndian.Uint16(d.b))
	d.b = d.b[2:]
	return x
}

// text reads a string; there is none where its length is 0xFFFF.
func (d *decoder) text() (string, bool) {
	n := d.int()
	if n == 0xffff || d.err != nil {
		return "", false
	}
	return d.chars(n), true
}

func (d *decoder) chars(n int) string {
	if len(d.b) < n+1 || d.b[n] != 0 {
		d.fail("a string of %d bytes that does not end", n)
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n+1:]
	return s
}

// PacketType is the type of a packet that begins an exchange.
func PacketType(payload []byte) (byte, error) {
	if len(payload) == 0 {
		return 0, protocolError("an empty packet where a request begins")
	}
	return payload[0], nil
}

// ParseForward reads a forwarded request.
func ParseForward(payload []byte) (*Forward, error) {
	d := &decoder{b: payload}
	if k := d.byte(); d.err == nil && k != typeForward {
		return nil, protocolError("a packet of type %d where a request was expected", k)
	}
	f := &Forward{Attrs: map[string]string{}}
	method := d.byte()
	f.Protocol, _ = d.text()
	f.URI, _ = d.text()
	f.Address, _ = d.text()
	d.text() // the client's host name: nobody asks for it
	f.Host, _ = d.text()
	port := d.int()
	f.SSL = d.byte() != 0
	if f.Host != "" && port != 80 && port != 443 {
		f.Host = fmt.Sprintf("%s:%d", f.Host, port)
	}
	n := d.int()
	if n > maxHeaders {
		return nil, protocolError("%d headers", n)
	}
	for range n {
		var name string
		if code := d.int(); code>>8 == 0xa0 {
			if code&0xff == 0 || code&0xff >= len(requestHeaders) {
				d.fail("header %04x", code)
				break
			}
			name = requestHeaders[code&0xff]
		} else if code != 0xffff && d.err == nil {
			name = d.chars(code)
		}
		value, ok := d.text()
		if !ok || name == "" {
			d.fail("a header without a name or value")
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
				d.fail("an attribute without a name")
			}
			f.Attrs["req_"+name] = value
		case code == attrKeySize:
			d.int()
		default:
			d.fail("attribute %d", code)
		}
	}
	if d.err == nil && len(d.b) > 0 {
		d.fail("%d bytes behind a request", len(d.b))
	}
	if d.err != nil {
		return nil, d.err
	}
	switch {
	case method == storedMethod && f.Attrs["stored_method"] != "":
		f.Method = f.Attrs["stored_method"]
	case method == 0 || int(method) >= len(methods):
		return nil, protocolError("method %d", method)
	default:
		f.Method = methods[method]
	}
	f.Query = f.Attrs["query_string"]
	if f.URI == "" {
		return nil, protocolError("a request without a URI")
	}
	return f, nil
}

// ParseBody reads a chunk of a body: none is left where it is empty. What it returns refers to the payload.
func ParseBody(payload []byte) ([]byte, error) {
	if len(payload) == 0 {
		return nil, nil
	}
	d := &decoder{b: payload}
	n := d.int()
	if d.err == nil && n > len(d.b) {
		d.fail("a chunk of %d bytes in a packet of %d", n, len(payload))
	}
	if d.err == nil && n < len(d.b) {
		d.fail("%d bytes behind a chunk", len(d.b)-n)
	}
	if d.err != nil {
		return nil, d.err
	}
	return d.b[:n], nil
}

// beginPacket begins a packet towards the front; shut writes its length.
func beginPacket(b []byte, kind byte) ([]byte, int) { return append(b, 'A', 'B', 0, 0, kind), len(b) }

func endPacket(b []byte, at int) []byte {
	binary.BigEndian.PutUint16(b[at+2:], uint16(len(b)-at-headerSize))
	return b
}

func appendText(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
	return append(append(b, s...), 0)
}

// responseHeaders are the codes of a reply's headers, from 0xA001 on.
var responseHeaders = map[string]uint16{
	"Content-Type": 0xa001, "Content-Language": 0xa002, "Content-Length": 0xa003, "Date": 0xa004,
	"Last-Modified": 0xa005, "Location": 0xa006, "Set-Cookie": 0xa007, "Set-Cookie2": 0xa008,
	"Servlet-Engine": 0xa009, "Status": 0xa00a, "WWW-Authenticate": 0xa00b,
}

// AppendHeaders appends a reply's status and headers.
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

// AppendBody appends a reply's body, in packets of at most most bytes.
func AppendBody(b, body []byte, most int) []byte {
	for len(body) > 0 {
		n := min(len(body), most-headerSize-4)
		var at int
		b, at = beginPacket(b, typeBody)
		b = binary.BigEndian.AppendUint16(b, uint16(n))
		b = append(append(b, body[:n]...), 0)
		b = endPacket(b, at)
		body = body[n:]
	}
	return b
}

// AppendEnd appends the end of a reply, and whether the connection goes on.
func AppendEnd(b []byte, reuse bool) []byte {
	b, at := beginPacket(b, typeEnd)
	if reuse {
		return endPacket(append(b, 1), at)
	}
	return endPacket(append(b, 0), at)
}

// AppendGetBody asks for so many bytes of the request's body.
func AppendGetBody(b []byte, n int) []byte {
	b, at := beginPacket(b, typeGetBody)
	return endPacket(binary.BigEndian.AppendUint16(b, uint16(n)), at)
}

// AppendPong answers a CPing.
func AppendPong(b []byte) []byte {
	b, at := beginPacket(b, typePong)
	return endPacket(b, at)
}
