// Package standin provides test doubles of the outside systems, on loopback: clients, range-query servers,
// data nodes and discovery, written from the public protocol descriptions. It is for tests only and must
// never be linked into the coordinator.
package standin

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	lnet "lapislever/internal/net"
)

// DiscardLogger returns a logger that discards everything.
func DiscardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// DoHTTP sends one request on a new connection and returns the reply.
func DoHTTP(t testing.TB, addr, method, target string, header [][2]string, body string) *lnet.Reply {
	t.Helper()
	c, err := lnet.Dial(addr, 5*time.Second, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var b []byte
	if body != "" {
		b = []byte(body)
	}
	r, err := c.Do(method, target, addr, header, b, time.Now().Add(20*time.Second))
	if err != nil {
		t.Fatalf("%s %s: %v", method, target, err)
	}
	return r
}

// HTTPServer is a stand-in HTTP server. It counts the clients that disconnect while their reply is withheld.
type HTTPServer struct {
	Addr        string
	server      *lnet.Server
	mu          sync.Mutex
	requests    []string
	disconnects int
}

// NewHTTPServer starts a stand-in server that answers with the status and body that f returns; status 0
// withholds the reply. f gets the parameters of the URL and of a form body.
func NewHTTPServer(t testing.TB, f func(path string, v url.Values) (int, string)) *HTTPServer {
	t.Helper()
	h := &HTTPServer{}
	l, err := lnet.Listen("127.0.0.1:0", lnet.NewBudget(100, 0), DiscardLogger(),
		func(r *lnet.Request, x *lnet.Exchange) func() {
			v, _ := url.ParseQuery(r.Query + "&" + string(r.Body))
			h.mu.Lock()
			h.requests = append(h.requests, r.Path+"?"+v.Encode())
			h.mu.Unlock()
			if status, body := f(r.Path, v); status > 0 {
				x.Reply(lnet.Response{Status: status, ContentType: "application/json", Body: []byte(body)})
			}
			return func() {
				h.mu.Lock()
				h.disconnects++
				h.mu.Unlock()
			}
		})
	if err != nil {
		t.Fatal(err)
	}
	go l.Serve()
	t.Cleanup(l.StopListening)
	h.server, h.Addr = l, l.Addr()
	return h
}

// OpenConns returns the number of open connections.
func (h *HTTPServer) OpenConns() int { return h.server.OpenConns() }

// Requests returns the requests so far, as path and sorted parameters.
func (h *HTTPServer) Requests() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.requests...)
}

// Disconnects returns the number of clients that disconnected before their reply.
func (h *HTTPServer) Disconnects() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disconnects
}

// WaitFor polls cond until it holds. It fails the test after 30 s, a time that suffices on a slow machine.
func WaitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// Part is one part as a data node received it. Conn is the number of its connection, from 1.
type Part struct {
	ID, Attrs, Text string
	Conn            int
}

// Node is a stand-in for a data node of the old protocol. Each part goes to the handler, which returns the
// outcome letter and the value, or no letter to withhold the reply, or RawReply and bytes to write as they
// are. The handler gets no other frames.
type Node struct {
	Addr        string
	listener    net.Listener
	mu          sync.Mutex
	parts       []Part
	cancelled   []string // IDs of cancelled parts
	conns       []net.Conn
	connsOpened int

	// Concurrent makes the node handle the parts of a connection concurrently instead of one after the other.
	Concurrent atomic.Bool
}

// RawReply is the outcome for a reply that is written as it is, without a frame.
const RawReply = "raw"

// NewNode starts a data node on a free port and closes it at the end of the test.
func NewNode(t testing.TB, f func(p Part) (end, value string)) *Node {
	t.Helper()
	n, err := OpenNode("127.0.0.1:0", f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close() })
	return n
}

// OpenNode starts a data node at an address. The caller closes it.
func OpenNode(addr string, f func(p Part) (end, value string)) (*Node, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	n := &Node{Addr: l.Addr().String(), listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns = append(n.conns, c)
			n.connsOpened++
			number := n.connsOpened
			n.mu.Unlock()
			go n.serve(c, number, f)
		}
	}()
	return n, nil
}

// Close closes the node abruptly, as a crashing process does.
func (n *Node) Close() {
	_ = n.listener.Close()
	n.ResetConns()
}

// ResetConns resets the node's connections.
func (n *Node) ResetConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	n.conns = nil
}

// Parts returns the parts received so far.
func (n *Node) Parts() []Part {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Part(nil), n.parts...)
}

// Cancelled returns the IDs of the parts that the client has cancelled.
func (n *Node) Cancelled() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.cancelled...)
}

// ConnsOpened returns the number of connections accepted so far.
func (n *Node) ConnsOpened() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.connsOpened
}

// WriteFrame writes one frame: the length of the body, then the body.
func WriteFrame(w io.Writer, body string) {
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	_, _ = w.Write(append(b, body...))
}

func (n *Node) serve(c net.Conn, number int, f func(p Part) (end, value string)) {
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(c, text)
	}
	writeFrame := func(body string) {
		writing.Lock()
		defer writing.Unlock()
		WriteFrame(c, body)
	}
	answer := func(p Part) {
		if end, value := f(p); end == RawReply {
			write(value)
		} else if end != "" {
			writeFrame(fmt.Sprintf("5%s %s 1 qps=5,queue=2\n%s", p.ID, end, value))
		}
	}
	for {
		var head [4]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		b := make([]byte, binary.LittleEndian.Uint32(head[:]))
		if _, err := io.ReadFull(c, b); err != nil {
			return
		}
		switch rest := string(b[1:]); b[0] {
		case '1':
			for rest != "" {
				line, more, _ := strings.Cut(rest, "\n")
				p := Part{Conn: number}
				var shard, size int
				if _, err := fmt.Sscanf(line, "%s %d %s %d", &p.ID, &shard, &p.Attrs, &size); err != nil {
					writeFrame("Xbad line")
					return
				}
				p.Text, rest = more[:size], more[size:]
				n.mu.Lock()
				n.parts = append(n.parts, p)
				n.mu.Unlock()
				if n.Concurrent.Load() {
					go answer(p)
				} else {
					answer(p)
				}
			}
		case '2':
			n.mu.Lock()
			n.cancelled = append(n.cancelled, rest)
			n.mu.Unlock()
		case '3':
			writeFrame("3S")
		}
	}
}
