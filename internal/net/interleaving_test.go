package net

// Interleavings of reads, replies and closes on a client connection. A wrapped listener hands the server
// connections on which the test can block each read and observe the half-close, over real sockets.

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// heldConn blocks its reads on the test's channels: before the system call, or after it has returned data.
type heldConn struct {
	*net.TCPConn
	before, after chan struct{} // if set, a read waits to receive from it
	arrived       chan struct{} // receives a value for each read that waits with its bytes
	halfClosed    chan struct{} // closed once the server has shut down its sending side
}

func (c *heldConn) Read(b []byte) (int, error) {
	if c.before != nil {
		<-c.before
	}
	n, err := c.TCPConn.Read(b)
	if c.after != nil && n > 0 {
		c.arrived <- struct{}{}
		<-c.after
	}
	return n, err
}

func (c *heldConn) CloseWrite() error {
	select {
	case <-c.halfClosed:
	default:
		close(c.halfClosed)
	}
	return c.TCPConn.CloseWrite()
}

// awaitHalfClose waits until the server has shut down its sending side.
func (c *heldConn) awaitHalfClose(t *testing.T) {
	t.Helper()
	select {
	case <-c.halfClosed:
	case <-time.After(10 * time.Second):
		t.Error("the server did not shut down its sending side")
	}
}

// holdingListener passes each accepted connection to the test before the server gets it.
type holdingListener struct {
	net.Listener
	onAccept func(*heldConn)
}

func (l holdingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	h := &heldConn{TCPConn: c.(*net.TCPConn), arrived: make(chan struct{}, 8), halfClosed: make(chan struct{})}
	l.onAccept(h)
	return h, nil
}

// serveHeld starts a server like serve's on a holdingListener.
func serveHeld(t *testing.T, onAccept func(*heldConn)) *echo {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{}
	e.Server = NewServer(holdingListener{l, onAccept}, NewBudget(10, 0),
		slog.New(slog.NewTextHandler(io.Discard, nil)), e.handle)
	go e.Serve()
	t.Cleanup(func() { e.Drain(); e.StopListening() })
	return e
}

// dialRaw opens a plain client connection.
func dialRaw(t *testing.T, e *echo) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", e.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	return c.(*net.TCPConn)
}

func postRequest(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A request has been read from an idle connection, but is not in the ring yet, when the server drains: it
// must never be handled, and its client must see the end of the stream and no reset.
func TestRequestReadAsItsConnectionEnds(t *testing.T) {
	held := make(chan *heldConn, 1)
	e := serveHeld(t, func(c *heldConn) { c.after = make(chan struct{}); held <- c })
	c := dialRaw(t, e)
	server := <-held
	io.WriteString(c, postRequest("first"))
	<-server.arrived
	server.after <- struct{}{}
	buf := make([]byte, 4096)
	if n, err := c.Read(buf); err != nil || !strings.HasSuffix(string(buf[:n]), "first") {
		t.Fatal(n, err)
	}
	io.WriteString(c, postRequest("hold"))
	<-server.arrived // the bytes have left the kernel and nothing else has seen them
	e.Drain()
	server.awaitHalfClose(t)
	close(server.after)
	if rest, err := io.ReadAll(c); err != nil || len(rest) != 0 {
		t.Fatalf("%q %v", rest, err)
	}
	_ = c.Close()
	if !e.Wait(20 * time.Second) {
		t.Fatal("the connection is still open")
	}
	if n := e.count(func() int { return len(e.heldExchanges) }); n != 0 {
		t.Fatal("a request was handled whose connection had been ended")
	}
}

// A reply is in flight, and the next request is unread in the server's socket, when the server drains. A
// plain close would then reset the connection and lose the reply.
func TestReplyOnItsWayAsItsConnectionEnds(t *testing.T) {
	held := make(chan *heldConn, 1)
	e := serveHeld(t, func(c *heldConn) { c.before = make(chan struct{}); held <- c })
	c := dialRaw(t, e)
	server := <-held
	io.WriteString(c, postRequest("first"))
	server.before <- struct{}{} // a single read gets all of it
	waitFor(t, "an idle connection", func() bool {
		e.Server.mu.Lock()
		defer e.Server.mu.Unlock()
		for c := range e.Server.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.hadRequest && c.state == stateWaiting
		}
		return false
	})
	io.WriteString(c, postRequest("hold"))
	e.Drain()
	server.awaitHalfClose(t)
	close(server.before)
	all, err := io.ReadAll(c)
	if err != nil || !strings.HasSuffix(string(all), "first") {
		t.Fatalf("%q, error %v", all, err)
	}
	if n := e.count(func() int { return len(e.heldExchanges) }); n != 0 {
		t.Fatal("a request was handled whose connection had been ended")
	}
}

// A client sends far more ahead than is buffered and disconnects: the disconnect must be noticed, although
// its input is no longer wanted.
func TestDisconnectAfterOverrunIsNoticed(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	c := dialRaw(t, e)
	io.WriteString(c, postRequest("hold"))
	waitFor(t, "the request", func() bool { return e.count(func() int { return len(e.heldExchanges) }) == 1 })
	flood := strings.Repeat(postRequest(strings.Repeat("f", 50_000)), 8*maxReadAhead/50_000)
	if _, err := io.WriteString(c, flood); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	waitFor(t, "its disconnect", func() bool { return e.count(func() int { return e.disconnects }) == 1 })
	if n := e.count(func() int { return len(e.heldExchanges) }); n != 1 {
		t.Fatalf("%d requests of a disconnected client were handled", n)
	}
}

// A client that sends too far ahead and stays gets its replies in order, for the requests that were buffered,
// and then an error and a close.
func TestOverrunClientIsAnsweredInOrder(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	c := dialRaw(t, e)
	io.WriteString(c, postRequest("hold"))
	waitFor(t, "the request", func() bool { return e.count(func() int { return len(e.heldExchanges) }) == 1 })
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c, strings.Repeat(postRequest(strings.Repeat("f", 50_000)), 8*maxReadAhead/50_000))
		sent <- err
	}()
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	waitFor(t, "an overrun", func() bool {
		e.Server.mu.Lock()
		defer e.Server.mu.Unlock()
		for c := range e.Server.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.overrun
		}
		return false
	})
	e.heldExchanges[0].Reply(Response{Status: 200, Body: []byte("done")})
	all, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	first, last := strings.Index(string(all), "done"), strings.Index(string(all), "HTTP/1.1 413 ")
	n := strings.Count(string(all), "HTTP/1.1 200 ")
	if first < 0 || last < first || n < 2 || n > 1+maxReadAhead/50_000 {
		t.Fatalf("%d replies, the first at %d, the error at %d", n, first, last)
	}
}

// Many small pipelined requests are all answered in order.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	c := dialRaw(t, e)
	var all strings.Builder
	for i := range 300 {
		all.WriteString(postRequest(fmt.Sprintf("command-%03d", i)))
	}
	go io.WriteString(c, all.String())
	got, buf := "", make([]byte, 64<<10)
	for strings.Count(got, "command-") < 300 {
		n, err := c.Read(buf)
		if err != nil {
			t.Fatalf("after %d replies: %v", strings.Count(got, "command-"), err)
		}
		got += string(buf[:n])
	}
	for i, at := 0, 0; i < 300; i++ {
		next := strings.Index(got[at:], fmt.Sprintf("command-%03d", i))
		if next < 0 {
			t.Fatalf("reply %d does not follow the one before", i)
		}
		at += next
	}
}

// A connection accepted just before the server drains has a grace period for its first request, which is
// answered; after the grace period it is closed. The same holds for a connection accepted later.
func TestFirstRequestAsTheServerEnds(t *testing.T) {
	for _, late := range []bool{false, true} {
		e := serve(t, NewBudget(10, 0))
		conn := dialRaw(t, e)
		waitFor(t, "the connection", func() bool { return e.OpenConns() == 1 })
		since := time.Now().Add(time.Hour) // in the future, as the machine may be slow
		if late {
			since = time.Now().Add(-gracePeriod)
		}
		e.Server.mu.Lock()
		for c := range e.Server.conns {
			c.mu.Lock()
			c.since = since
			c.mu.Unlock()
		}
		e.Server.mu.Unlock()
		e.Drain()
		if !late {
			io.WriteString(conn, postRequest("x"))
		}
		all, err := io.ReadAll(conn)
		if err != nil || strings.HasSuffix(string(all), "\r\n\r\nx") == late {
			t.Fatalf("late %v: %q %v", late, all, err)
		}
		laterConn := dialRaw(t, e)
		if all, err := io.ReadAll(laterConn); err != nil || len(all) != 0 {
			t.Fatalf("connection accepted later: %q %v", all, err)
		}
	}
}

// When the time to drain is almost over, an incomplete request gets an explicit error reply.
func TestIncompleteRequestAtEndOfDrain(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	c := dialRaw(t, e)
	io.WriteString(c, "POST / HTTP/1.1\r\n")
	waitFor(t, "half a request", func() bool {
		e.Server.mu.Lock()
		defer e.Server.mu.Unlock()
		for c := range e.Server.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.in.Len() > 0
		}
		return false
	})
	e.Drain()
	ended := make(chan bool, 1)
	go func() { ended <- e.Wait(incompleteMargin + 50*time.Millisecond) }()
	all, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(all), "HTTP/1.1 503 ") {
		t.Fatalf("%q %v", all, err)
	}
	<-ended
}

// If no descriptor is left for a connection to a server, an idle client connection is evicted, but not one
// with a request in progress.
func TestIdleClientIsEvictedForServer(t *testing.T) {
	b := NewBudget(3, 1)
	e := serve(t, b)
	idleClient, busyClient := dial(t, e.Server), dial(t, e.Server)
	if r, err := idleClient.post("x"); err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	if err := busyClient.Write("POST", "/", "x", nil, []byte("hold"),
		time.Now().Add(9*time.Second)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the request", func() bool { return e.count(func() int { return len(e.heldExchanges) }) == 1 })
	waitFor(t, "an idle client", func() bool { return e.idle() == 1 })
	for i := range 2 {
		if !b.AcquireServer() {
			t.Fatalf("no descriptor for server %d despite an idle client", i)
		}
	}
	if b.AcquireServer() {
		t.Fatal("a client with a request was evicted")
	}
	if _, err := idleClient.Read(time.Now().Add(9 * time.Second)); !errors.Is(err, io.EOF) {
		t.Fatalf("the idle client saw %v", err)
	}
}

// Fronts share one budget: an idle client of either is evicted, whichever front was opened last.
func TestIdleClientOfAnyFrontIsEvicted(t *testing.T) {
	b := NewBudget(3, 1)
	fronts := []*echo{serve(t, b), serve(t, b)}
	for i, e := range fronts {
		idleClient := dial(t, e.Server)
		if r, err := idleClient.post("x"); err != nil || r.Status != 200 {
			t.Fatal(r, err)
		}
		waitFor(t, "an idle client", func() bool { return e.idle() == 1 })
		for range 3 - i {
			if !b.AcquireServer() {
				t.Fatalf("no descriptor for a server despite an idle client of front %d", i)
			}
		}
		if _, err := idleClient.Read(time.Now().Add(9 * time.Second)); !errors.Is(err, io.EOF) {
			t.Fatalf("the idle client saw %v", err)
		}
		b.Release()
		b.Release()
	}
}

// A connection is not evicted while a reply or an error may still be in flight.
func TestNoEvictionWhileReplyInFlight(t *testing.T) {
	for _, x := range []struct {
		state      connState
		hadRequest bool
		age        time.Duration
		want       evictionRank
	}{
		{stateLingering, true, 0, rankBusy}, {stateLingering, true, 2 * gracePeriod, rankLingering},
		{stateWaiting, true, 0, rankFresh}, {stateWaiting, true, 2 * gracePeriod, rankIdle},
	} {
		c := &serverConn{state: x.state, hadRequest: x.hadRequest, since: time.Now().Add(-x.age), in: NewRing(1)}
		if rank, _ := c.rank(time.Now()); rank != x.want {
			t.Errorf("%+v: %v", x, rank)
		}
	}
}
