// Package standin has the stand-ins that tests talk to on loopback: clients, servers of range queries, data
// nodes and discovery, written from the public descriptions. Tests alone use it; it must never be linked
// into the coordinator.
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

// DiscardLogger is a log that nobody reads.
func DiscardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// DoHTTP sends one request on a connection of its own.
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

// HTTPServer is a stand-in server; a reply without a status is withheld. Silent ends tell how many of the clients
// whose reply was withheld have left.
type HTTPServer struct {
	Addr        string
	server      *lnet.Server
	mu          sync.Mutex
	requests    []string
	disconnects int
}

// NewHTTPServer starts a stand-in server that answers by f. Of a form the parameters are handed over.
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

// OpenConns counts the connections that are open.
func (h *HTTPServer) OpenConns() int { return h.server.OpenConns() }

// Requests are the requests so far, as path and sorted parameters.
func (h *HTTPServer) Requests() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.requests...)
}

// Disconnects counts the clients that left before their reply.
func (h *HTTPServer) Disconnects() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disconnects
}

// WaitFor waits for something that must come, however slow the machine is.
func WaitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

// Part is one part as a data node got it, on its first connection, its second and so on.
type Part struct {
	ID, Attrs, Text string
	Conn            int
}

// Node is a stand-in data node. It hands every frame but the parts' to nobody; each part goes to the
// function, which returns the end letter and the value, or no letter to withhold the answer, or the letter
// Raw and bytes to write as they are.
type Node struct {
	Addr        string
	listener    net.Listener
	mu          sync.Mutex
	parts       []Part
	cancelled   []string // ids given up
	conns       []net.Conn
	connsOpened int

	// Concurrent has the parts of a connection answered side by side, not one after the other.
	Concurrent atomic.Bool
}

// RawReply stands for an answer that is no frame.
const RawReply = "raw"

// NewNode starts a data node.
func NewNode(t testing.TB, f func(p Part) (end, value string)) *Node {
	t.Helper()
	n, err := OpenNode("127.0.0.1:0", f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close() })
	return n
}

// OpenNode starts a data node at an address.
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

// Close ends the node as a dying process does.
func (n *Node) Close() {
	_ = n.listener.Close()
	n.ResetConns()
}

// ResetConns resets its connections.
func (n *Node) ResetConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	n.conns = nil
}

// Parts are the parts so far, Given the ids that were given up, Opened counts connections.
func (n *Node) Parts() []Part {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Part(nil), n.parts...)
}

// Cancelled are the ids that were given up.
func (n *Node) Cancelled() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.cancelled...)
}

// ConnsOpened counts the connections so far.
func (n *Node) ConnsOpened() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.connsOpened
}

// WriteFrame writes one frame.
func WriteFrame(w io.Writer, rest string) {
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(rest)))
	_, _ = w.Write(append(b, rest...))
}

func (n *Node) serve(c net.Conn, number int, f func(p Part) (end, value string)) {
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(c, text)
	}
	frame := func(rest string) {
		writing.Lock()
		defer writing.Unlock()
		WriteFrame(c, rest)
	}
	answer := func(p Part) {
		if end, value := f(p); end == RawReply {
			write(value)
		} else if end != "" {
			frame(fmt.Sprintf("5%s %s 1 qps=5,queue=2\n%s", p.ID, end, value))
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
					frame("Xbad line")
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
			frame("3S")
		}
	}
}
