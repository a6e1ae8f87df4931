package standin

import (
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/encoding/protowire"
)

// GRPCCall is one call as a node of the new protocol received it.
type GRPCCall struct {
	ID, Class, Key, Timeout, Filter string
	Shard                           int
	Conn                            int // number of the connection, from 1
	Stream                          uint32
}

// GRPCReply is what a node of the new protocol does with a call. The zero value answers with the text "".
type GRPCReply struct {
	Text        string
	Message     []byte         // reply message, instead of one made from Text
	Prefix      []byte         // message prefix, instead of a correct one
	Status      string         // grpc-status; "": 0, or no grpc-status if HTTPStatus is set
	Unseen      bool           // with an error Status: adds lapislever-unseen: 1
	HTTPStatus  int            // HTTP status of a reply without grpc-status
	ContentType string         // "": application/grpc
	NoReply     bool           // sends no reply
	Reset       *http2.ErrCode // resets the stream with this code
	ResetConn   bool           // resets the connection
	GoAway      bool           // sends GOAWAY after the reply
	Delay       time.Duration  // before the reply
}

// ErrCode returns a pointer to an error code, for GRPCReply.Reset.
func ErrCode(c http2.ErrCode) *http2.ErrCode { return &c }

// GRPCOptions configures a GRPCNode.
type GRPCOptions struct {
	MaxStreams      uint32 // announced SETTINGS_MAX_CONCURRENT_STREAMS; 0: not announced
	StreamWindow    uint32 // announced SETTINGS_INITIAL_WINDOW_SIZE; 0: not announced
	NoWindowUpdates bool   // sends no WINDOW_UPDATE frames
	NoControlFrames bool   // sends no SETTINGS frames, and no acknowledgements of SETTINGS and PING
	TLS             *tls.Config
	// RefuseStream selects streams that are refused with REFUSED_STREAM when their headers arrive.
	RefuseStream func(conn int, stream uint32) bool
	// GoAwayBefore selects streams whose headers make the node send GOAWAY with the preceding stream as the
	// last.
	GoAwayBefore func(conn int, stream uint32) bool
}

// GRPCNode is a stand-in for a data node of the new protocol, written from RFC 9113 and the specification of
// gRPC over HTTP/2.
type GRPCNode struct {
	Addr        string
	opts        GRPCOptions
	handler     func(GRPCCall) GRPCReply
	listener    net.Listener
	mu          sync.Mutex
	conns       map[net.Conn]bool
	connsOpened int
	calls       []GRPCCall
	resets      int // RST_STREAM frames from the client
	pings       int // PING frames from the client
}

// NewGRPCNode starts a node that handles calls with f, and closes it at the end of the test.
func NewGRPCNode(t testing.TB, o GRPCOptions, f func(GRPCCall) GRPCReply) *GRPCNode {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &GRPCNode{Addr: l.Addr().String(), opts: o, handler: f, listener: l, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.connsOpened++
			n.conns[c] = true
			number := n.connsOpened
			n.mu.Unlock()
			go n.serve(c, number)
		}
	}()
	t.Cleanup(n.Close)
	return n
}

// Close closes the node abruptly, as a crashing process does.
func (n *GRPCNode) Close() {
	_ = n.listener.Close()
	n.ResetConns()
}

// ResetConns resets the node's connections.
func (n *GRPCNode) ResetConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Calls returns the calls so far that were received completely.
func (n *GRPCNode) Calls() []GRPCCall {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]GRPCCall(nil), n.calls...)
}

// ConnsOpened returns the number of connections accepted so far.
func (n *GRPCNode) ConnsOpened() int { n.mu.Lock(); defer n.mu.Unlock(); return n.connsOpened }

// OpenConns returns the number of open connections.
func (n *GRPCNode) OpenConns() int { n.mu.Lock(); defer n.mu.Unlock(); return len(n.conns) }

// Resets returns the number of streams that the client has reset.
func (n *GRPCNode) Resets() int { n.mu.Lock(); defer n.mu.Unlock(); return n.resets }

// Pings returns the number of PING frames from the client.
func (n *GRPCNode) Pings() int { n.mu.Lock(); defer n.mu.Unlock(); return n.pings }

// grpcConn is one connection of a GRPCNode.
type grpcConn struct {
	node       *GRPCNode
	conn       net.Conn
	number     int
	mu         sync.Mutex // guards writes to framer, and the fields below
	framer     *http2.Framer
	block      bytes.Buffer
	encoder    *hpack.Encoder
	lastStream uint32
	sentGoAway bool // GOAWAY was sent; new streams are ignored
}

func (n *GRPCNode) serve(raw net.Conn, number int) {
	c := raw
	defer func() {
		_ = raw.Close()
		n.mu.Lock()
		delete(n.conns, raw)
		n.mu.Unlock()
	}()
	if n.opts.TLS != nil {
		c = tls.Server(raw, n.opts.TLS)
	}
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c, preface); err != nil || string(preface) != http2.ClientPreface {
		return
	}
	k := &grpcConn{node: n, conn: c, number: number, framer: http2.NewFramer(c, c)}
	k.encoder = hpack.NewEncoder(&k.block)
	k.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	if !n.opts.NoControlFrames {
		var s []http2.Setting
		if n.opts.MaxStreams > 0 {
			s = append(s, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: n.opts.MaxStreams})
		}
		if n.opts.StreamWindow > 0 {
			s = append(s, http2.Setting{ID: http2.SettingInitialWindowSize, Val: n.opts.StreamWindow})
		}
		_ = k.framer.WriteSettings(s...)
	}
	calls := map[uint32]*GRPCCall{}
	bodies := map[uint32][]byte{}
	for {
		f, err := k.framer.ReadFrame()
		if err != nil {
			return
		}
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() && !n.opts.NoControlFrames {
				k.write(func() { _ = k.framer.WriteSettingsAck() })
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				n.mu.Lock()
				n.pings++
				n.mu.Unlock()
				if !n.opts.NoControlFrames {
					k.write(func() { _ = k.framer.WritePing(true, f.Data) })
				}
			}
		case *http2.RSTStreamFrame:
			n.mu.Lock()
			n.resets++
			n.mu.Unlock()
		case *http2.MetaHeadersFrame:
			id := f.StreamID
			if n.opts.RefuseStream != nil && n.opts.RefuseStream(number, id) {
				k.write(func() { _ = k.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream) })
				continue
			}
			ignored := false
			k.write(func() {
				if ignored = k.sentGoAway; !ignored && n.opts.GoAwayBefore != nil && n.opts.GoAwayBefore(number, id) {
					ignored = true
					k.goAway(id - 1)
				}
				if !ignored {
					k.lastStream = max(k.lastStream, id)
				}
			})
			if ignored {
				continue
			}
			call := &GRPCCall{Conn: number, Stream: id}
			for _, h := range f.RegularFields() {
				switch h.Name {
				case "grpc-timeout":
					call.Timeout = h.Value
				case "idempotency-key":
					call.Key = h.Value
				}
			}
			calls[id] = call
		case *http2.DataFrame:
			id := f.StreamID
			bodies[id] = append(bodies[id], f.Data()...)
			if !n.opts.NoWindowUpdates && f.Length > 0 {
				k.write(func() {
					_ = k.framer.WriteWindowUpdate(0, f.Length)
					if !f.StreamEnded() {
						_ = k.framer.WriteWindowUpdate(id, f.Length)
					}
				})
			}
			call := calls[id]
			if !f.StreamEnded() || call == nil {
				continue
			}
			decodePart(call, bodies[id])
			delete(calls, id)
			delete(bodies, id)
			n.mu.Lock()
			n.calls = append(n.calls, *call)
			n.mu.Unlock()
			go k.answer(*call)
		}
	}
}

// goAway sends GOAWAY with the given last stream. Streams that the client has opened in the meantime are
// ignored (RFC 9113, §6.8). It is called from write.
func (k *grpcConn) goAway(last uint32) {
	k.sentGoAway = true
	_ = k.framer.WriteGoAway(last, http2.ErrCodeNo, nil)
}

func (k *grpcConn) write(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	f()
}

// decodePart decodes the message of a call into call.
func decodePart(call *GRPCCall, b []byte) {
	if len(b) < 5 || int(binary.BigEndian.Uint32(b[1:])) != len(b)-5 {
		call.ID = "unreadable"
		return
	}
	for b = b[5:]; len(b) > 0; {
		n, t, size := protowire.ConsumeTag(b)
		b = b[max(0, size):]
		switch t {
		case protowire.VarintType:
			v, size := protowire.ConsumeVarint(b)
			if n == 2 {
				call.Shard = int(v)
			}
			b = b[max(0, size):]
		case protowire.BytesType:
			v, size := protowire.ConsumeBytes(b)
			switch n {
			case 1:
				call.ID = string(v)
			case 3:
				call.Class = string(v)
			case 4:
				call.Filter = string(v)
			}
			b = b[max(0, size):]
		default:
			call.ID = "unreadable"
			return
		}
	}
}

// TextMessage returns a reply message with a text and a load report.
func TextMessage(shard int, text string) []byte {
	b := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), uint64(shard))
	b = protowire.AppendString(protowire.AppendTag(b, 2, protowire.BytesType), text)
	load := protowire.AppendFixed64(protowire.AppendTag(nil, 1, protowire.Fixed64Type), math.Float64bits(5))
	load = protowire.AppendVarint(protowire.AppendTag(load, 2, protowire.VarintType), 2)
	return protowire.AppendBytes(protowire.AppendTag(b, 6, protowire.BytesType), load)
}

// answer sends the handler's reply to a call.
func (k *grpcConn) answer(call GRPCCall) {
	reply := k.node.handler(call)
	time.Sleep(reply.Delay)
	id := call.Stream
	head := func(end bool, fields ...string) {
		k.block.Reset()
		for i := 0; i < len(fields); i += 2 {
			_ = k.encoder.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
		}
		_ = k.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: k.block.Bytes(),
			EndStream: end, EndHeaders: true})
	}
	contentType := reply.ContentType
	if contentType == "" {
		contentType = "application/grpc"
	}
	k.write(func() {
		switch {
		case reply.ResetConn:
			if t, ok := k.conn.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = k.conn.Close()
		case reply.Reset != nil:
			_ = k.framer.WriteRSTStream(id, *reply.Reset)
		case reply.NoReply:
		case reply.HTTPStatus != 0 && reply.Status == "":
			head(true, ":status", strconv.Itoa(reply.HTTPStatus), "content-type", "text/html")
		case reply.Status != "" && reply.Status != "0":
			fields := []string{":status", "200", "content-type", contentType, "grpc-status", reply.Status,
				"grpc-message", "scripted"}
			if reply.Unseen {
				fields = append(fields, "lapislever-unseen", "1")
			}
			head(true, fields...)
		default:
			b := reply.Message
			if b == nil {
				b = TextMessage(call.Shard, reply.Text)
			}
			prefix := reply.Prefix
			if prefix == nil {
				prefix = binary.BigEndian.AppendUint32([]byte{0}, uint32(len(b)))
			}
			head(false, ":status", "200", "content-type", contentType)
			for all := append(prefix, b...); len(all) > 0; {
				n := min(len(all), 16<<10)
				_ = k.framer.WriteData(id, false, all[:n])
				all = all[n:]
			}
			head(true, "grpc-status", "0")
		}
		if reply.GoAway {
			k.goAway(k.lastStream)
		}
	})
}

// AJPClient is a stand-in for a web server that forwards requests by AJP, on one connection, written from the
// protocol's specification.
type AJPClient struct {
	conn net.Conn
	t    testing.TB
}

// DialAJP connects to an AJP listener. The connection is closed at the end of the test.
func DialAJP(t testing.TB, addr string) *AJPClient {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &AJPClient{conn: c, t: t}
}

// Close closes the connection.
func (a *AJPClient) Close() { _ = a.conn.Close() }

// WriteRaw writes bytes as they are.
func (a *AJPClient) WriteRaw(b []byte) { _, _ = a.conn.Write(b) }

// AJPPacket returns a packet from web server to container with the given payload.
func AJPPacket(payload []byte) []byte {
	return append(binary.BigEndian.AppendUint16([]byte{0x12, 0x34}, uint16(len(payload))), payload...)
}

func appendAJPString(b []byte, s string) []byte {
	return append(append(binary.BigEndian.AppendUint16(b, uint16(len(s))), s...), 0)
}

// AJPRequest returns the payload of a forwarded request. attrs holds names and values, alternating.
func AJPRequest(method byte, uri string, header [][2]string, attrs ...string) []byte {
	b := []byte{2, method}
	for _, s := range []string{"HTTP/1.1", uri, "10.9.8.7", "", "ledger.example"} {
		b = appendAJPString(b, s)
	}
	b = append(binary.BigEndian.AppendUint16(b, 80), 0)
	b = binary.BigEndian.AppendUint16(b, uint16(len(header)))
	for _, h := range header {
		if h[0] == "Content-Length" {
			b = append(b, 0xa0, 0x08)
		} else {
			b = appendAJPString(b, h[0])
		}
		b = appendAJPString(b, h[1])
	}
	for i := 0; i < len(attrs); i += 2 {
		switch attrs[i] {
		case "secret":
			b = appendAJPString(append(b, 12), attrs[i+1])
		case "query_string":
			b = appendAJPString(append(b, 5), attrs[i+1])
		default:
			b = appendAJPString(appendAJPString(append(b, 10), attrs[i]), attrs[i+1])
		}
	}
	return append(b, 0xff)
}

// AJPReply is a complete reply.
type AJPReply struct {
	Status       int
	Header       map[string]string
	Body         string
	Reuse        bool  // the connection may be reused
	Pong         bool  // the reply is a CPong packet
	BodyRequests []int // sizes of the body chunks that the container has requested
}

// ReadReply reads a reply. When the container requests up to n bytes of the body, nextChunk returns the
// payload to send.
func (a *AJPClient) ReadReply(nextChunk func(n int) []byte) (*AJPReply, error) {
	r := &AJPReply{Header: map[string]string{}}
	_ = a.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for {
		var head [4]byte
		if _, err := io.ReadFull(a.conn, head[:]); err != nil {
			return nil, err
		}
		if head[0] != 'A' || head[1] != 'B' {
			return nil, fmt.Errorf("wrong AJP magic in header % x", head)
		}
		b := make([]byte, binary.BigEndian.Uint16(head[2:]))
		if _, err := io.ReadFull(a.conn, b); err != nil {
			return nil, err
		}
		text := func(b []byte) (string, []byte) {
			n := int(binary.BigEndian.Uint16(b))
			return string(b[2 : 2+n]), b[3+n:]
		}
		switch b[0] {
		case 9:
			r.Pong = true
			return r, nil
		case 6:
			n := int(binary.BigEndian.Uint16(b[1:]))
			r.BodyRequests = append(r.BodyRequests, n)
			a.WriteRaw(AJPPacket(nextChunk(n)))
		case 4:
			r.Status = int(binary.BigEndian.Uint16(b[1:]))
			_, rest := text(b[3:])
			n := int(binary.BigEndian.Uint16(rest))
			for rest = rest[2:]; n > 0; n-- {
				var name, value string
				if rest[0] == 0xa0 {
					name, rest = fmt.Sprintf("%02x", rest[1]), rest[2:]
				} else {
					name, rest = text(rest)
				}
				value, rest = text(rest)
				r.Header[name] = value
			}
		case 3:
			n := int(binary.BigEndian.Uint16(b[1:]))
			r.Body += string(b[3 : 3+n])
		case 5:
			r.Reuse = b[1] == 1
			return r, nil
		default:
			return nil, fmt.Errorf("unexpected AJP packet type %d", b[0])
		}
	}
}

// AJPChunk returns the payload of a body chunk; an empty chunk has an empty payload.
func AJPChunk(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(b))), b...)
}

// Do forwards a request with its body and reads the reply.
func (a *AJPClient) Do(uri string, header [][2]string, body string, attrs ...string) (*AJPReply, error) {
	header = append([][2]string{{"Content-Length", strconv.Itoa(len(body))}}, header...)
	a.WriteRaw(AJPPacket(AJPRequest(4, uri, header, attrs...)))
	left := []byte(body)
	next := func(n int) []byte {
		n = min(n, len(left), 8186)
		chunk := AJPChunk(left[:n])
		left = left[n:]
		return chunk
	}
	if len(body) > 0 {
		a.WriteRaw(AJPPacket(next(8186)))
	}
	return a.ReadReply(next)
}
