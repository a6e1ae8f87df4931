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

// GRPCCall is one call as a node of the new form got it.
type GRPCCall struct {
	ID, Class, Key, Timeout, Filter string
	Shard                           int
	Conn                            int // 1 is its first connection
	Stream                          uint32
}

// GRPCReply is what a node of the new form does with a call. The zero NewDo answers with the text "".
type GRPCReply struct {
	Text        string
	Message     []byte // of the answer, in place of one made of Text
	Prefix      []byte // of the message, in place of a true one
	Status      string // grpc-status; "": 0, or none where HTTP is set
	Unseen      bool
	HTTPStatus  int    // status without a status of gRPC
	ContentType string // content type
	NoReply     bool   // no answer
	Reset       *http2.ErrCode
	ResetConn   bool // the connection breaks
	GoAway      bool // after the answer
	Delay       time.Duration
}

// ErrCode is an error code's address.
func ErrCode(c http2.ErrCode) *http2.ErrCode { return &c }

// GRPCOptions are a node's.
type GRPCOptions struct {
	MaxStreams      uint32 // as it tells; 0: not told
	StreamWindow    uint32 // of a stream for requests; 0: the default
	NoWindowUpdates bool   // it gives no windows back
	NoControlFrames bool   // it sends nothing by itself, its settings neither
	TLS             *tls.Config
	RefuseStream    func(conn int, stream uint32) bool // at the head: REFUSED_STREAM
	GoAwayBefore    func(conn int, stream uint32) bool // at the head: GOAWAY with the stream before it as the last
}

// GRPCNode is a stand-in for a node of the new form, written from RFC 9113 and gRPC's page on HTTP/2.
type GRPCNode struct {
	Addr        string
	opts        GRPCOptions
	handler     func(GRPCCall) GRPCReply
	listener    net.Listener
	mu          sync.Mutex
	conns       map[net.Conn]bool
	connsOpened int
	calls       []GRPCCall
	resets      int // by the client
	pings       int
}

// NewGRPCNode starts one.
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

// Close ends it as a dying process does.
func (n *GRPCNode) Close() {
	_ = n.listener.Close()
	n.ResetConns()
}

// ResetConns resets its connections.
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

// Calls are the calls so far whose last byte came, Opened counts connections, Resets the streams that the
// client gave up, Pings its pings.
func (n *GRPCNode) Calls() []GRPCCall {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]GRPCCall(nil), n.calls...)
}

// ConnsOpened counts connections.
func (n *GRPCNode) ConnsOpened() int { n.mu.Lock(); defer n.mu.Unlock(); return n.connsOpened }

// OpenConns counts those that are open.
func (n *GRPCNode) OpenConns() int { n.mu.Lock(); defer n.mu.Unlock(); return len(n.conns) }

// Resets counts the streams that the client gave up.
func (n *GRPCNode) Resets() int { n.mu.Lock(); defer n.mu.Unlock(); return n.resets }

// Pings counts the client's pings.
func (n *GRPCNode) Pings() int { n.mu.Lock(); defer n.mu.Unlock(); return n.pings }

// grpcConn is one connection of a node.
type grpcConn struct {
	node       *GRPCNode
	conn       net.Conn
	number     int
	mu         sync.Mutex // guards fr's writes, the encoder and what follows
	framer     *http2.Framer
	block      bytes.Buffer
	encoder    *hpack.Encoder
	lastStream uint32
	sentGoAway bool // has told that it looks at nothing after a stream
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
	heads := map[uint32]*GRPCCall{}
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
			out := false
			k.write(func() {
				if out = k.sentGoAway; !out && n.opts.GoAwayBefore != nil && n.opts.GoAwayBefore(number, id) {
					out = true
					k.goAway(id - 1)
				}
				if !out {
					k.lastStream = max(k.lastStream, id)
				}
			})
			if out {
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
			heads[id] = call
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
			call := heads[id]
			if !f.StreamEnded() || call == nil {
				continue
			}
			decodePart(call, bodies[id])
			delete(heads, id)
			delete(bodies, id)
			n.mu.Lock()
			n.calls = append(n.calls, *call)
			n.mu.Unlock()
			go k.answer(*call)
		}
	}
}

// goAway tells that nothing after a stream will be looked at, and from here on nothing is: what the client
// has sent meanwhile counts as left out (RFC 9113, §6.8). It is called from write.
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

// decodePart reads a call's message.
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

// TextMessage is the message of an answer with a text and a report.
func TextMessage(shard int, text string) []byte {
	b := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), uint64(shard))
	b = protowire.AppendString(protowire.AppendTag(b, 2, protowire.BytesType), text)
	load := protowire.AppendFixed64(protowire.AppendTag(nil, 1, protowire.Fixed64Type), math.Float64bits(5))
	load = protowire.AppendVarint(protowire.AppendTag(load, 2, protowire.VarintType), 2)
	return protowire.AppendBytes(protowire.AppendTag(b, 6, protowire.BytesType), load)
}

// answer does with a call as the script says.
func (k *grpcConn) answer(call GRPCCall) {
	do := k.node.handler(call)
	time.Sleep(do.Delay)
	id := call.Stream
	head := func(end bool, fields ...string) {
		k.block.Reset()
		for i := 0; i < len(fields); i += 2 {
			_ = k.encoder.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
		}
		_ = k.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: k.block.Bytes(),
			EndStream: end, EndHeaders: true})
	}
	kind := do.ContentType
	if kind == "" {
		kind = "application/grpc"
	}
	k.write(func() {
		switch {
		case do.ResetConn:
			if t, ok := k.conn.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = k.conn.Close()
		case do.Reset != nil:
			_ = k.framer.WriteRSTStream(id, *do.Reset)
		case do.NoReply:
		case do.HTTPStatus != 0 && do.Status == "":
			head(true, ":status", strconv.Itoa(do.HTTPStatus), "content-type", "text/html")
		case do.Status != "" && do.Status != "0":
			fields := []string{":status", "200", "content-type", kind, "grpc-status", do.Status, "grpc-message",
				"scripted"}
			if do.Unseen {
				fields = append(fields, "lapislever-unseen", "1")
			}
			head(true, fields...)
		default:
			b := do.Message
			if b == nil {
				b = TextMessage(call.Shard, do.Text)
			}
			prefix := do.Prefix
			if prefix == nil {
				prefix = binary.BigEndian.AppendUint32([]byte{0}, uint32(len(b)))
			}
			head(false, ":status", "200", "content-type", kind)
			for all := append(prefix, b...); len(all) > 0; {
				n := min(len(all), 16<<10)
				_ = k.framer.WriteData(id, false, all[:n])
				all = all[n:]
			}
			head(true, "grpc-status", "0")
		}
		if do.GoAway {
			k.goAway(k.lastStream)
		}
	})
}

// AJPClient is a front that forwards by AJP, written from the protocol's page: one connection.
type AJPClient struct {
	conn net.Conn
	t    testing.TB
}

// DialAJP connects to a listener.
func DialAJP(t testing.TB, addr string) *AJPClient {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &AJPClient{conn: c, t: t}
}

// Close ends the connection.
func (a *AJPClient) Close() { _ = a.conn.Close() }

// WriteRaw writes bytes as they are.
func (a *AJPClient) WriteRaw(b []byte) { _, _ = a.conn.Write(b) }

// AJPPacket is a packet towards a container.
func AJPPacket(payload []byte) []byte {
	return append(binary.BigEndian.AppendUint16([]byte{0x12, 0x34}, uint16(len(payload))), payload...)
}

func appendAJPString(b []byte, s string) []byte {
	return append(append(binary.BigEndian.AppendUint16(b, uint16(len(s))), s...), 0)
}

// AJPRequest is the payload of a forwarded request.
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

// AJPReply is a whole reply.
type AJPReply struct {
	Status       int
	Header       map[string]string
	Body         string
	Reuse        bool
	Pong         bool
	BodyRequests []int // bytes of body that were asked for
}

// ReadReply reads a reply; more is asked for the next chunk of the body.
func (a *AJPClient) ReadReply(more func(n int) []byte) (*AJPReply, error) {
	r := &AJPReply{Header: map[string]string{}}
	_ = a.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for {
		var head [4]byte
		if _, err := io.ReadFull(a.conn, head[:]); err != nil {
			return nil, err
		}
		if head[0] != 'A' || head[1] != 'B' {
			return nil, fmt.Errorf("magic % x", head)
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
			a.WriteRaw(AJPPacket(more(n)))
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
			return nil, fmt.Errorf("a packet of type %d", b[0])
		}
	}
}

// AJPChunk is the payload of a chunk.
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
		part := AJPChunk(left[:n])
		left = left[n:]
		return part
	}
	if len(body) > 0 {
		a.WriteRaw(AJPPacket(next(8186)))
	}
	return a.ReadReply(next)
}
