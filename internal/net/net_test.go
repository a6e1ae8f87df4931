package net

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestRingAgainstASlice(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	r, want := NewRing(5000), []byte{}
	for i := range 20000 {
		switch rng.IntN(4) {
		case 0, 1:
			p := bytes.Repeat([]byte{byte(i)}, rng.IntN(400))
			_, err := r.Write(p)
			if over := len(want)+len(p) > 5000; over != errors.Is(err, ErrFull) {
				t.Fatalf("%d bytes on %d: %v", len(p), len(want), err)
			} else if !over {
				want = append(want, p...)
			}
		case 2:
			n := rng.IntN(len(want) + 1)
			r.Discard(n)
			want = want[n:]
		case 3:
			if n := rng.IntN(len(want) + 1); i%50 == 3 {
				r.Truncate(n)
				want = want[:n]
			}
		}
		got := make([]byte, r.Len())
		if r.Peek(got, 0); !bytes.Equal(got, want) {
			t.Fatalf("step %d: the contents differ", i)
		}
		if sep := []byte{byte(i), byte(i)}; r.Index(sep) != bytes.Index(want, sep) {
			t.Fatalf("step %d: wrong index %d of a separator", i, r.Index(sep))
		}
		sep, from := []byte{byte(i), byte(i + 1), byte(i + 1)}[:1+rng.IntN(3)], rng.IntN(len(want)+1)
		index := bytes.Index(want[from:], sep)
		if index >= 0 {
			index += from
		}
		if got := r.IndexFrom(sep, from); got != index {
			t.Fatalf("step %d: wrong index %d from %d, want %d", i, got, from, index)
		}
	}
}

// A read in progress fills the segment that Free returned, even if bytes are discarded in the meantime.
func TestDiscardDuringAReadMovesNothing(t *testing.T) {
	r := NewRing(64 << 10)
	_, _ = r.Write(bytes.Repeat([]byte("x"), 20000))
	free := r.Free()
	r.Discard(20000)
	r.Commit(copy(free, "later"))
	got := make([]byte, r.Len())
	if r.Peek(got, 0); string(got) != "later" {
		t.Fatalf("%q", got)
	}
}

func ringWith(s string) *Ring {
	r := NewRing(MaxHead + MaxBody)
	_, _ = r.Write([]byte(s))
	return r
}

func TestParseRequest(t *testing.T) {
	for in, want := range map[string]string{
		"GET /up HTTP/1.1\r\nHost: x\r\n\r\n":                                "GET /up  []",
		"\r\nPOST /a?b=c HTTP/1.1\r\nHOST: x\r\nContent-Length: 2\r\n\r\nhi": "POST /a b=c [hi]",
		"POST http://h:1/a HTTP/1.1\r\nHost: x\r\ncontent-length: 0\r\n\r\n": "POST /a  []",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"2;e=1\r\nhi\r\n0\r\nT: 1\r\n\r\n": "POST /a  [hi]",
	} {
		// Byte by byte: there must be no request before the last byte, and then this one.
		ring := NewRing(MaxHead + MaxBody)
		var parser requestParser
		for i := range len(in) {
			_, _ = ring.Write([]byte{in[i]})
			q, _, err := parser.parse(ring)
			if last := i == len(in)-1; err != nil || (q != nil) != last {
				t.Fatalf("%q after %d bytes: %v %v", in, i+1, q, err)
			} else if last {
				if got := fmt.Sprintf("%s %s %s [%s]", q.Method, q.Path, q.Query, q.Body); got != want {
					t.Errorf("%q: %s", in, got)
				}
			}
		}
	}
}

func TestParseRequestRefuses(t *testing.T) {
	head := "POST /a HTTP/1.1\r\nHost: x\r\n"
	for in, status := range map[string]int{
		"GET\r\n\r\n":                                                           400,
		"GET /\r\n\r\n":                                                         400,
		"G@T / HTTP/1.1\r\nHost: x\r\n\r\n":                                     400,
		"GET / HTTP/2.0\r\nHost: x\r\n\r\n":                                     505,
		"GET / HTTP/1.1\r\n\r\n":                                                400,
		head + "no colon\r\n\r\n":                                               400,
		head + "Content-Length: -1\r\n\r\n":                                     400,
		head + "Content-Length: two\r\n\r\n":                                    400,
		head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx":                400,
		head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":        400,
		head + "Content-Length: 65537\r\n\r\n":                                  413,
		head + "Content-Length : 5\r\nTransfer-Encoding: chunked\r\n\r\n":       400,
		head + "Content-Length\t: 5\r\n\r\n":                                    400,
		head + "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n":       400,
		head + "X Y: 1\r\n\r\n":                                                 400,
		head + "Content-Length: 0\n\nTransfer-Encoding: chunked\r\n\r\n":        400,
		head + "Transfer-Encoding: gzip\r\n\r\n":                                501,
		head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":                       400,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhixx0\r\n\r\n":           400,
		head + "Transfer-Encoding: chunked\r\n\r\n10001\r\n":                    413,
		head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 2000): 400,
		head + "X: " + strings.Repeat("y", MaxHead+1):                           431,
		head + "X: " + strings.Repeat("y", MaxHead+1) + "\r\n\r\n":              431,
	} {
		var b *BadMessage
		q, _, err := new(requestParser).parse(ringWith(in))
		if q != nil || !errors.As(err, &b) || b.Status != status {
			t.Errorf("%.60q: %v %v, want %d", in, q, err, status)
		}
	}
}

// Any input is a request, an error with a status, or a prefix of either.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST /a?b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Add([]byte("GET http://h HTTP/1.0\r\nContent-Length: 3\r\n\r\nabcd"))
	f.Fuzz(func(t *testing.T, in []byte) {
		ring := NewRing(MaxHead + MaxBody)
		if _, err := ring.Write(in); err != nil {
			return
		}
		q, _, err := new(requestParser).parse(ring)
		var b *BadMessage
		if err != nil && (!errors.As(err, &b) || b.Status < 400) || q != nil && ring.Len() >= len(in) {
			t.Fatalf("%v %v, %d of %d bytes left", q, err, ring.Len(), len(in))
		}
	})
}

// echo is a server that echoes bodies. A request with the body "hold" gets no reply until the test sends one.
type echo struct {
	*Server
	mu            sync.Mutex
	heldExchanges []*Exchange
	disconnects   int
	maxRetryAfter atomic.Int64 // the longest Retry-After
}

func serve(t *testing.T, budget *Budget) *echo {
	t.Helper()
	e := &echo{}
	s, err := Listen("127.0.0.1:0", budget, slog.New(slog.NewTextHandler(io.Discard, nil)), e.handle)
	if err != nil {
		t.Fatal(err)
	}
	e.Server = s
	e.maxRetryAfter.Store(int64(time.Hour))
	s.CapRetryAfter = func(after time.Duration) time.Duration {
		return min(after, time.Duration(e.maxRetryAfter.Load()))
	}
	go s.Serve()
	t.Cleanup(func() { s.Drain(); s.StopListening() })
	return e
}

func (e *echo) handle(r *Request, x *Exchange) func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if string(r.Body[:min(4, len(r.Body))]) == "hold" {
		e.heldExchanges = append(e.heldExchanges, x)
	} else {
		x.Reply(Response{Status: 200, Body: r.Body})
		x.Reply(Response{Status: 500}) // only the first reply counts
	}
	return func() {
		e.mu.Lock()
		e.disconnects++
		e.mu.Unlock()
	}
}

func (e *echo) count(f func() int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return f()
}

// idle counts the connections that are idle between requests.
func (e *echo) idle() (n int) {
	e.Server.mu.Lock()
	defer e.Server.mu.Unlock()
	for c := range e.Server.conns {
		if rank, _ := c.rank(time.Now()); rank == rankIdle {
			n++
		}
	}
	return n
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func dial(t *testing.T, s *Server) *Client {
	t.Helper()
	c, err := Dial(s.Addr(), 5*time.Second, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func (c *Client) post(body string) (*Reply, error) {
	return c.Do("POST", "/", "x", nil, []byte(body), time.Now().Add(20*time.Second))
}

func TestOneConnectionServesManyRequests(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	c := dial(t, e.Server)
	for i := range 50 {
		body := strings.Repeat("z", i*1300)
		if r, err := c.post(body); err != nil || r.Status != 200 || string(r.Body) != body || !c.Reusable() {
			t.Fatalf("request %d: %v %v", i, r, err)
		}
	}
}

func TestBadRequestsGetErrorAndClose(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	for in, want := range map[string]string{
		"junk\r\n\r\n": "HTTP/1.1 400 ",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n" +
			strings.Repeat("b", 300000): "HTTP/1.1 413 ",
	} {
		c, err := net.Dial("tcp", e.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, in)
		got, _ := io.ReadAll(c) // the close must come, and not overtake the reply
		_ = c.Close()
		if !strings.HasPrefix(string(got), want) || !strings.Contains(string(got), "Connection: close") {
			t.Errorf("%.20q: %q", in, got)
		}
	}
}

func TestPipelinedRequestsAndContinue(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	c, err := net.Dial("tcp", e.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	withoutBody := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n"
	last := strings.Replace(withoutBody, "Host", "Connection: close\r\nExpect: 100-continue\r\nHost", 1)
	_, _ = io.WriteString(c, withoutBody+"a"+withoutBody+"b"+last)
	buf, got := make([]byte, 1000), ""
	for !strings.Contains(got, "100 Continue") {
		n, err := c.Read(buf)
		if got += string(buf[:n]); err != nil {
			t.Fatalf("%q %v", got, err)
		}
	}
	_, _ = io.WriteString(c, "c")
	rest, _ := io.ReadAll(c)
	got += string(rest)
	a, b, d := strings.Index(got, "\r\n\r\na"), strings.Index(got, "\r\n\r\nb"), strings.Index(got, "\r\n\r\nc")
	if a < 0 || b < a || d < b {
		t.Fatalf("%q", got)
	}
}

func TestClientDisconnectIsNoticed(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	c := dial(t, e.Server)
	if err := c.Write("POST", "/", "x", nil, []byte("hold"), time.Now().Add(9*time.Second)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the request", func() bool { return e.count(func() int { return len(e.heldExchanges) }) == 1 })
	c.Close()
	waitFor(t, "its disconnect", func() bool { return e.count(func() int { return e.disconnects }) == 1 })
}

// The end of the stream may arrive together with the request: it must be noticed all the same.
func TestImmediateDisconnectIsNoticed(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	for i := range 20 {
		c := dial(t, e.Server)
		if err := c.Write("POST", "/", "x", nil, []byte("hold"), time.Now().Add(9*time.Second)); err != nil {
			t.Fatal(err)
		}
		c.Close()
		waitFor(t, "its disconnect", func() bool { return e.count(func() int { return e.disconnects }) == i+1 })
	}
}

// Beyond the budget an idle connection is evicted; if all are busy, the new one gets a 503 reply.
func TestBudgetOfDescriptors(t *testing.T) {
	b := NewBudget(4, 2) // two for clients
	e := serve(t, b)
	first, second := dial(t, e.Server), dial(t, e.Server)
	for i, c := range []*Client{first, second} {
		if r, err := c.post("x"); err != nil || r.Status != 200 {
			t.Fatal(r, err)
		}
		// The reply arrives before the server marks the connection idle, and the longest idle one is evicted.
		waitFor(t, "an idle connection", func() bool { return e.idle() == i+1 })
	}
	third := dial(t, e.Server)
	if r, err := third.post("x"); err != nil || r.Status != 200 {
		t.Fatalf("no idle connection was evicted: %v %v", r, err)
	}
	for _, c := range []*Client{second, third} {
		if err := c.Write("POST", "/", "x", nil, []byte("hold"), time.Now().Add(9*time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "both", func() bool { return e.count(func() int { return len(e.heldExchanges) }) == 2 })
	r, err := dial(t, e.Server).post("x")
	if err != nil || r.Status != 503 || r.Header.Get("Retry-After") != "1" {
		t.Fatalf("%v %v", r, err)
	}
	for want, longest := range map[string]time.Duration{"0.5": 500 * time.Millisecond, "": 0} {
		e.maxRetryAfter.Store(int64(longest))
		waitFor(t, "the end of the refused connection", func() bool { return e.overflow.Load() == 0 })
		r, err := dial(t, e.Server).post("x")
		if err != nil || r.Status != 503 || r.Header.Get("Retry-After") != want {
			t.Fatalf("%v %v, not %q", r, err, want)
		}
	}
	for i, want := range []bool{true, true, false} {
		if b.AcquireServer() != want {
			t.Fatalf("server %d: clients took descriptors reserved for servers, or servers got too many", i)
		}
	}
}

// Whatever a client sends or fails to send, it gets an error or a close within the time limit.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	for in, want := range map[string]string{
		"":                               "",
		"POST / HT":                      "HTTP/1.1 408 ",
		"POST / HTTP/1.1\r\nHost: x\r\n": "HTTP/1.1 408 ",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf": "HTTP/1.1 408 ",
	} {
		t.Run(in, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", e.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = io.WriteString(c, in)
			_ = c.SetReadDeadline(time.Now().Add(7 * time.Second)) // twice the time limit, for slow machines
			got, err := io.ReadAll(c)
			if err != nil || !strings.HasPrefix(string(got), want) || want == "" && len(got) > 0 {
				t.Errorf("%q %v", got, err)
			}
		})
	}
}

// A client that keeps sending for more than a second after the error was written can still read it.
func TestErrorReachesClientThatStillSends(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	c, err := net.Dial("tcp", e.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n")
	for i := range 15 {
		if _, err := c.Write(make([]byte, 500_000)); err != nil {
			t.Fatalf("chunk %d: %v", i, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if got, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 413 ") {
		t.Fatalf("%q %v", got, err)
	}
}

// Connections of a flood that send nothing, or half a request, are evicted before a connection that has
// already carried requests.
func TestStalledConnectionsAreEvictedFirst(t *testing.T) {
	e := serve(t, NewBudget(6, 0))
	regular := dial(t, e.Server)
	if r, err := regular.post("x"); err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	for i := range 20 {
		c := dial(t, e.Server)
		if i%2 == 0 {
			_, _ = c.conn.Write([]byte("POST /"))
		}
		if i >= 4 {
			waitFor(t, "an eviction", func() bool { return e.OpenConns() <= 6 })
		}
		if i%5 == 4 {
			time.Sleep(gracePeriod + gracePeriod/2)
		}
	}
	if r, err := regular.post("x"); err != nil || r.Status != 200 {
		t.Fatalf("the flood evicted a regular client: %v %v", r, err)
	}
	if r, err := dial(t, e.Server).post("x"); err != nil || r.Status != 200 {
		t.Fatalf("a new client was not served: %v %v", r, err)
	}
}

// Large requests that are never completed use a bounded share of the memory, and none that small ones need.
func TestMemoryOfRingsIsBounded(t *testing.T) {
	b := NewBudget(20, 0)
	b.LimitMemory(4*64<<10, false)
	e := serve(t, b)
	for range 8 {
		c := dial(t, e.Server)
		_, _ = c.conn.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" +
			strings.Repeat("b", 50000)))
	}
	waitFor(t, "the ring memory to run out", func() bool { return 64<<10-b.inputMemory.inUse() < 16<<10 })
	if r, err := dial(t, e.Server).post(strings.Repeat("z", 3000)); err != nil || r.Status != 200 {
		t.Fatalf("no memory for a small request: %v %v", r, err)
	}
	if left := 64<<10 - b.inputMemory.inUse(); left < 0 {
		t.Fatalf("%d bytes above the limit", -left)
	}
	waitFor(t, "the ring memory to be released", func() bool { return b.inputMemory.inUse() == 0 })
}

func TestDrainClosesOnlyIdleConnections(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	idle, busy := dial(t, e.Server), dial(t, e.Server)
	if _, err := idle.post("x"); err != nil {
		t.Fatal(err)
	}
	if err := busy.Write("POST", "/", "x", nil, []byte("hold"), time.Now().Add(9*time.Second)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the request", func() bool { return e.count(func() int { return len(e.heldExchanges) }) == 1 })
	e.Drain()
	if _, err := idle.Read(time.Now().Add(20 * time.Second)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection stays open, or was reset: %v", err)
	}
	e.heldExchanges[0].Reply(Response{Status: 200, Body: []byte("done")})
	r, err := busy.Read(time.Now().Add(20 * time.Second))
	if err != nil || string(r.Body) != "done" || busy.Reusable() {
		t.Fatalf("%v %v", r, err)
	}
	if !e.Wait(30 * time.Second) {
		t.Fatal("connections are still open")
	}
}

func TestClientReadsEveryFormOfBody(t *testing.T) {
	long := strings.Repeat("0123456789", 20000)
	for _, c := range []struct {
		reply, body string
		sound, ok   bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + long, long, true, true},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "hi", true, true},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" + long + "\r\n0\r\n\r\n",
			long, true, true},
		{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + long, long, false, true},
		{"HTTP/1.1 204 No\r\n\r\n", "", true, true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", "", false, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + long, "", false, false},
		{"HTTP/1.1 200 OK\r\n\r\n" + long + long, "", false, false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", "", false, false},
		{"nonsense\r\n\r\n", "", false, false},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1000))
			_, _ = io.WriteString(conn, c.reply)
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}()
		cl, err := Dial(l.Addr().String(), 5*time.Second, 250_000)
		if err != nil {
			t.Fatal(err)
		}
		r, err := cl.Do("GET", "/", "x", nil, nil, time.Now().Add(20*time.Second))
		if (err == nil) != c.ok || err == nil && (string(r.Body) != c.body || cl.Reusable() != c.sound) {
			t.Errorf("%.60q: %v, reusable %v", c.reply, err, cl.Reusable())
		}
		cl.Close()
		_ = l.Close()
	}
}

// If accept fails for lack of descriptors, the spare descriptor is used to accept and close the pending
// connection, so that its client does not wait.
func TestPendingConnectionRejectedWithoutDescriptors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var spare spareDescriptor
	if spare.rejectOne(l, syscall.EMFILE) {
		t.Error("rejected a connection without a spare descriptor")
	}
	spare.open()
	for _, acceptErr := range []error{syscall.EMFILE, syscall.ENFILE} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if !spare.rejectOne(l, &net.OpError{Op: "accept",
			Err: os.NewSyscallError("accept4", acceptErr)}) || spare.file == nil {
			t.Fatalf("%v: no connection rejected, or no spare descriptor afterwards", acceptErr)
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%v: the client still waits: %v", acceptErr, err)
		}
		_ = c.Close()
	}
	if spare.rejectOne(l, syscall.ECONNABORTED) {
		t.Error("rejected a connection after another failure")
	}
}
