package net

// Crossings at a client's connection. A listener hands the server connections whose reads and closes the test
// holds at the very point, while the bytes and the ends are the system's own.

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

// heldConn holds its reads where the test has said so: before the system is asked, or with what it has given.
type heldConn struct {
	*net.TCPConn
	before, after chan struct{} // a read waits for a word here, where the channel is there
	arrived       chan struct{} // hears of each read that waits after it has its bytes
	parted        chan struct{} // closed once the server has said that nothing more will come
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
	case <-c.parted:
	default:
		close(c.parted)
	}
	return c.TCPConn.CloseWrite()
}

// end waits until the server has said that nothing more will come.
func (c *heldConn) end(t *testing.T) {
	t.Helper()
	select {
	case <-c.parted:
	case <-time.After(10 * time.Second):
		t.Error("the server closes without a word")
	}
}

// holding is a listener that has the test look at each connection before the server does.
type holding struct {
	net.Listener
	look func(*heldConn)
}

func (l holding) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	h := &heldConn{TCPConn: c.(*net.TCPConn), arrived: make(chan struct{}, 8), parted: make(chan struct{})}
	l.look(h)
	return h, nil
}

// hold starts a server like serve's on such a listener.
func hold(t *testing.T, look func(*heldConn)) *echo {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{}
	e.Server = NewServer(holding{l, look}, NewBudget(10, 0),
		slog.New(slog.NewTextHandler(io.Discard, nil)), e.handle)
	go e.Serve()
	t.Cleanup(func() { e.Drain(); e.StopListening() })
	return e
}

// raw is a client's plain connection.
func raw(t *testing.T, e *echo) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", e.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	return c.(*net.TCPConn)
}

func message(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A request has been read off a resting connection, and is not in the ring yet, when the connection is ended:
// it is never handled, and its client sees the end and no reset.
func TestRequestReadAsItsConnectionEnds(t *testing.T) {
	held := make(chan *heldConn, 1)
	e := hold(t, func(c *heldConn) { c.after = make(chan struct{}); held <- c })
	c := raw(t, e)
	server := <-held
	io.WriteString(c, message("first"))
	<-server.arrived
	server.after <- struct{}{}
	buf := make([]byte, 4096)
	if n, err := c.Read(buf); err != nil || !strings.HasSuffix(string(buf[:n]), "first") {
		t.Fatal(n, err)
	}
	io.WriteString(c, message("hold"))
	<-server.arrived // the bytes are out of the system's hands, and nobody else has seen them
	e.Drain()
	server.end(t)
	close(server.after)
	if rest, err := io.ReadAll(c); err != nil || len(rest) != 0 {
		t.Fatalf("%q %v", rest, err)
	}
	_ = c.Close()
	if !e.Wait(20 * time.Second) {
		t.Fatal("the connection stays")
	}
	if n := e.count(func() int { return len(e.held) }); n != 0 {
		t.Fatal("a request was handled whose connection had been ended")
	}
}

// A reply is on its way, and the next request lies unread at the server, when the connection is ended. A
// close over it would reset the connection, and the reply with it.
func TestReplyOnItsWayAsItsConnectionEnds(t *testing.T) {
	held := make(chan *heldConn, 1)
	e := hold(t, func(c *heldConn) { c.before = make(chan struct{}); held <- c })
	c := raw(t, e)
	server := <-held
	io.WriteString(c, message("first"))
	server.before <- struct{}{} // one read takes it all
	until(t, "rest", func() bool {
		e.Server.mu.Lock()
		defer e.Server.mu.Unlock()
		for c := range e.Server.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.asked && c.state == waiting
		}
		return false
	})
	io.WriteString(c, message("hold"))
	e.Drain()
	server.end(t)
	close(server.before)
	all, err := io.ReadAll(c)
	if err != nil || !strings.HasSuffix(string(all), "first") {
		t.Fatalf("%q and %v", all, err)
	}
	if n := e.count(func() int { return len(e.held) }); n != 0 {
		t.Fatal("a request was handled whose connection had been ended")
	}
}

// A client sends far more ahead than its replies allow, and leaves: that is seen though nobody wants its
// bytes.
func TestClientThatFloodsAndLeavesIsTold(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	c := raw(t, e)
	io.WriteString(c, message("hold"))
	until(t, "the request", func() bool { return e.count(func() int { return len(e.held) }) == 1 })
	flood := strings.Repeat(message(strings.Repeat("f", 50_000)), 8*aheadMost/50_000)
	if _, err := io.WriteString(c, flood); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	until(t, "its end", func() bool { return e.count(func() int { return e.gone }) == 1 })
	if n := e.count(func() int { return len(e.held) }); n != 1 {
		t.Fatalf("%d requests of a client that has left were handled", n)
	}
}

// One that floods and stays gets its replies in their order, as far as its requests were held, and then an
// error and the end.
func TestClientThatFloodsIsAnsweredInOrder(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	c := raw(t, e)
	io.WriteString(c, message("hold"))
	until(t, "the request", func() bool { return e.count(func() int { return len(e.held) }) == 1 })
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c, strings.Repeat(message(strings.Repeat("f", 50_000)), 8*aheadMost/50_000))
		sent <- err
	}()
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	until(t, "too much", func() bool {
		e.Server.mu.Lock()
		defer e.Server.mu.Unlock()
		for c := range e.Server.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.overrun
		}
		return false
	})
	e.held[0].Reply(Response{Status: 200, Body: []byte("done")})
	all, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	first, last := strings.Index(string(all), "done"), strings.Index(string(all), "HTTP/1.1 413 ")
	n := strings.Count(string(all), "HTTP/1.1 200 ")
	if first < 0 || last < first || n < 2 || n > 1+aheadMost/50_000 {
		t.Fatalf("%d replies, the first at %d, the error at %d", n, first, last)
	}
}

// Many small commands sent at once are all answered, in their order.
func TestCommandsSentAtOnce(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	c := raw(t, e)
	var all strings.Builder
	for i := range 300 {
		all.WriteString(message(fmt.Sprintf("command-%03d", i)))
	}
	go io.WriteString(c, all.String())
	got, buf := "", make([]byte, 64<<10)
	for strings.Count(got, "command-") < 300 {
		n, err := c.Read(buf)
		if err != nil {
			t.Fatalf("%d replies: %v", strings.Count(got, "command-"), err)
		}
		got += string(buf[:n])
	}
	for i, at := 0, 0; i < 300; i++ {
		next := strings.Index(got[at:], fmt.Sprintf("command-%03d", i))
		if next < 0 {
			t.Fatalf("reply %d is not behind the one before", i)
		}
		at += next
	}
}

// A connection that was accepted just before the end has a while for its first request, and is answered; when
// that is over it is ended. One that is accepted later is held to the same.
func TestFirstRequestAsTheServerEnds(t *testing.T) {
	for _, late := range []bool{false, true} {
		e := serve(t, NewBudget(10, 0))
		early := raw(t, e)
		until(t, "the connection", func() bool { return e.OpenConns() == 1 })
		since := time.Now().Add(time.Hour) // so that the test's machine may be slow
		if late {
			since = time.Now().Add(-graceLimit)
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
			io.WriteString(early, message("x"))
		}
		all, err := io.ReadAll(early)
		if err != nil || strings.HasSuffix(string(all), "\r\n\r\nx") == late {
			t.Fatalf("late %v: %q %v", late, all, err)
		}
		after := raw(t, e)
		if all, err := io.ReadAll(after); err != nil || len(all) != 0 {
			t.Fatalf("one that came after: %q %v", all, err)
		}
	}
}

// At the very end a request that is not all there is turned away in so many words.
func TestHalfARequestAtTheEnd(t *testing.T) {
	e := serve(t, NewBudget(10, 0))
	c := raw(t, e)
	io.WriteString(c, "POST / HTTP/1.1\r\n")
	until(t, "half a request", func() bool {
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
	go func() { ended <- e.Wait(partLimit + 50*time.Millisecond) }()
	all, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(all), "HTTP/1.1 503 ") {
		t.Fatalf("%q %v", all, err)
	}
	<-ended
}

// Where no descriptor is left for a server's connection, a client's that is between requests makes way; one
// that has a request does not.
func TestIdleClientMakesWayForAServer(t *testing.T) {
	b := NewBudget(3, 1)
	e := serve(t, b)
	idler, busy := dial(t, e.Server), dial(t, e.Server)
	if r, err := idler.post("x"); err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	if err := busy.Write("POST", "/", "x", nil, []byte("hold"), time.Now().Add(9*time.Second)); err != nil {
		t.Fatal(err)
	}
	until(t, "the request", func() bool { return e.count(func() int { return len(e.held) }) == 1 })
	until(t, "an idle one", func() bool { return e.idle() == 1 })
	for i := range 2 {
		if !b.AcquireServer() {
			t.Fatalf("an idle client has kept server %d out", i)
		}
	}
	if b.AcquireServer() {
		t.Fatal("a client made way that has a request")
	}
	if _, err := idler.Read(time.Now().Add(9 * time.Second)); !errors.Is(err, io.EOF) {
		t.Fatalf("the idle one saw %v", err)
	}
}

// Fronts share one budget: a client of either makes way, whichever front was opened last.
func TestIdleClientOfAnyFrontMakesWay(t *testing.T) {
	b := NewBudget(3, 1)
	fronts := []*echo{serve(t, b), serve(t, b)}
	for i, e := range fronts {
		idler := dial(t, e.Server)
		if r, err := idler.post("x"); err != nil || r.Status != 200 {
			t.Fatal(r, err)
		}
		until(t, "an idle one", func() bool { return e.idle() == 1 })
		for range 3 - i {
			if !b.AcquireServer() {
				t.Fatalf("an idle client of front %d has kept a server out", i)
			}
		}
		if _, err := idler.Read(time.Now().Add(9 * time.Second)); !errors.Is(err, io.EOF) {
			t.Fatalf("the idle one saw %v", err)
		}
		b.Release()
		b.Release()
	}
}

// While a reply or an error may be on its way its connection is not closed to make way.
func TestWhatWasJustWrittenIsNotSpared(t *testing.T) {
	for _, x := range []struct {
		state connState
		asked bool
		age   time.Duration
		want  connUse
	}{
		{lingering, true, 0, kept}, {lingering, true, 2 * graceLimit, ending},
		{waiting, true, 0, fresh}, {waiting, true, 2 * graceLimit, idle},
	} {
		c := &serverConn{state: x.state, asked: x.asked, since: time.Now().Add(-x.age), in: NewRing(1)}
		if use, _ := c.use(time.Now()); use != x.want {
			t.Errorf("%+v: %v", x, use)
		}
	}
}
