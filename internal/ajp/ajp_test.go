package ajp

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	lnet "lapislever/internal/net"
	"lapislever/internal/standin"
)

func TestSize(t *testing.T) {
	for _, c := range []struct {
		head string
		size int
		ok   bool
	}{{"\x12\x34\x00\x10", 16, true}, {"\x12\x34\x1f\xfc", 8188, true}, {"\x12\x34\x1f\xfd", 0, false},
		{"\x12\x35\x00\x10", 0, false}, {"AB\x00\x10", 0, false}, {"GET ", 0, false}, {"\x12\x34\x00\x00", 0,
			true}} {
		n, err := Size([]byte(c.head), DefaultSize)
		if n != c.size || (err == nil) != c.ok || err != nil && !errors.Is(err, ErrPacket) {
			t.Errorf("%q: %d, %v", c.head, n, err)
		}
	}
}

// forward is a good request's payload.
func forward() []byte {
	return standin.AJPRequest(4, "/rate-check", [][2]string{{"Content-Length", "7"}, {"X-Call-Id", "c1"}},
		"secret", "s3cret", "query_string", "a=b", "JK_LB_ACTIVATION", "ACT")
}

func TestParseForward(t *testing.T) {
	f, err := ParseForward(forward())
	if err != nil {
		t.Fatal(err)
	}
	if f.Method != "POST" || f.URI != "/rate-check" || f.Query != "a=b" || f.Address != "10.9.8.7" ||
		f.Host != "ledger.example" || f.Attrs["secret"] != "s3cret" || f.Attrs["req_JK_LB_ACTIVATION"] != "ACT" ||
		fmt.Sprint(f.Header) != "[[Content-Length 7] [X-Call-Id c1]]" {
		t.Errorf("%+v", f)
	}
	stored := append(standin.AJPRequest(0xff, "/x", nil), 0)
	stored = append(stored[:len(stored)-2], 13, 0, 5, 'P', 'A', 'T', 'C', 'H', 0, 0xff)
	if f, err := ParseForward(stored); err != nil || f.Method != "PATCH" {
		t.Errorf("a stored method: %+v, %v", f, err)
	}
	good := forward()
	for cut := range good { // whatever is lacking is seen
		if _, err := ParseForward(good[:cut]); !errors.Is(err, ErrPacket) {
			t.Errorf("cut after %d bytes: %v", cut, err)
		}
	}
	for name, edit := range map[string]func([]byte) []byte{
		"more behind":      func(b []byte) []byte { return append(b, 0) },
		"another type":     func(b []byte) []byte { b[0] = 3; return b },
		"no method":        func(b []byte) []byte { b[1] = 0; return b },
		"method 28":        func(b []byte) []byte { b[1] = 28; return b },
		"method not there": func(b []byte) []byte { b[1] = 0xff; return b },
		"string too long":  func(b []byte) []byte { b[2] = 0x7f; return b },
		"header code": func(b []byte) []byte {
			i := bytes.Index(b, []byte{0xa0,
				0x08})
			b[i+1] = 0x0f
			return b
		},
		"header null": func(b []byte) []byte {
			i := bytes.Index(b, []byte{0xa0, 0x08})
			b[i+2], b[i+3] = 255,
				255
			return b
		},
		"attribute": func(b []byte) []byte { b[bytes.LastIndexByte(b, 12)] = 99; return b },
	} {
		if _, err := ParseForward(edit(forward())); !errors.Is(err, ErrPacket) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestParseBody(t *testing.T) {
	for text, want := range map[string]string{"": "", "\x00\x00": "", "\x00\x03abc": "abc"} {
		if got, err := ParseBody([]byte(text)); err != nil || string(got) != want {
			t.Errorf("%q: %q, %v", text, got, err)
		}
	}
	for _, text := range []string{"\x00", "\x00\x04abc", "\x00\x02abc", "\xff\xff"} {
		if _, err := ParseBody([]byte(text)); !errors.Is(err, ErrPacket) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Any payload is a request or an error; what was read is never longer than what came.
func FuzzForward(f *testing.F) {
	f.Add(forward())
	f.Add(standin.AJPRequest(2, "/", nil))
	f.Add([]byte{2, 2, 255, 255, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := ParseForward(b)
		if err != nil {
			if !errors.Is(err, ErrPacket) {
				t.Fatal(err)
			}
			return
		}
		size := len(r.Method) + len(r.URI)
		for _, h := range r.Header {
			size += len(h[1])
		}
		if size > len(b)+32 || r.URI == "" || r.Method == "" {
			t.Errorf("%d bytes read out of %d: %+v", size, len(b), r)
		}
		_, _ = ParseBody(b)
	})
}

// serve starts a listener that echoes a request's body, and tells who was seen and who has left.
type seen struct {
	mu   sync.Mutex
	reqs []*lnet.Request
	gone int
	s    *Server
}

func (s *seen) count() (reqs, gone int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reqs), s.gone
}

func serve(t *testing.T, o Options, budget *lnet.Budget) *seen {
	x := &seen{}
	var err error
	x.s, err = Listen("127.0.0.1:0", o, budget, standin.DiscardLogger(), func(r *lnet.Request, e *lnet.Exchange) func() {
		x.mu.Lock()
		x.reqs = append(x.reqs, r)
		x.mu.Unlock()
		switch r.Path {
		case "/never":
		case "/refused":
			e.Reply(lnet.Response{Status: 503, Header: [][2]string{{"Retry-After", "0.2"}}, Body: []byte("no")})
		default:
			e.Reply(lnet.Response{Status: 200, ContentType: "application/json", Body: r.Body})
		}
		return func() {
			x.mu.Lock()
			x.gone++
			x.mu.Unlock()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	go x.s.Serve()
	t.Cleanup(func() { x.s.StopListening(); x.s.Drain() })
	return x
}

// Requests of all sizes and both kinds of body, CPings between them, on one connection that goes on.
func TestOneConnectionServesManyRequests(t *testing.T) {
	budget := lnet.NewBudget(10, 0)
	x := serve(t, Options{Secret: "s3cret"}, budget)
	a := standin.DialAJP(t, x.s.Addr())
	ping := func() {
		t.Helper()
		a.WriteRaw(standin.AJPPacket([]byte{10}))
		if r, err := a.ReadReply(nil); err != nil || !r.Pong {
			t.Fatalf("CPing: %+v, %v", r, err)
		}
	}
	for _, size := range []int{0, 1, 8186, 8187, 20_000, lnet.MaxBody} {
		ping()
		body := strings.Repeat("x", size)
		r, err := a.Do("/echo", [][2]string{{"X-Call-Id", "c"}}, body, "secret", "s3cret")
		if err != nil || r.Status != 200 || r.Body != body || !r.Reuse || r.Header["01"] != "application/json" {
			t.Fatalf("%d bytes: %+v, %v", size, r, err)
		}
	}
	// A body of untold length is asked for, chunk by chunk.
	a.WriteRaw(standin.AJPPacket(standin.AJPRequest(4, "/echo", [][2]string{{"Transfer-Encoding", "chunked"}},
		"secret",
		"s3cret")))
	chunks := []string{"one", "two", ""}
	r, err := a.ReadReply(func(int) []byte {
		b := standin.AJPChunk([]byte(chunks[0]))
		chunks = chunks[1:]
		return b
	})
	if err != nil || r.Body != "onetwo" || len(r.BodyRequests) != 3 {
		t.Fatalf("%+v, %v", r, err)
	}
	if r, err = a.Do("/refused", nil, "", "secret", "s3cret"); err != nil || r.Status != 503 ||
		r.Header["Retry-After"] != "0.2" || !r.Reuse {
		t.Fatalf("%+v, %v", r, err)
	}
	if x.s.OpenConns() != 1 || budget.InUse() != 1 {
		t.Errorf("%d connections, %d descriptors", x.s.OpenConns(), budget.InUse())
	}
	x.s.CloseAfterReply()
	if r, err = a.Do("/echo", nil, "", "secret", "s3cret"); err != nil || r.Reuse {
		t.Fatalf("while ending: %+v, %v", r, err)
	}
	if !x.s.Wait(5*time.Second) || budget.InUse() != 0 {
		t.Errorf("%d connections, %d descriptors", x.s.OpenConns(), budget.InUse())
	}
}

// Each fault has its definite end: an answer and the end of the connection, or the end alone. Others go on.
func TestFaultsEndTheirConnection(t *testing.T) {
	head := func(size string) []byte {
		return standin.AJPPacket(standin.AJPRequest(4, "/echo", [][2]string{{"Content-Length", size}}, "secret",
			"s3cret"))
	}
	for name, c := range map[string]struct {
		send   []byte
		status int // 0: closed without a word
		late   bool
	}{
		"wrong magic":      {[]byte("GET / HTTP/1.1\r\n\r\n"), 0, false},
		"oversized":        {[]byte{0x12, 0x34, 0xff, 0xff}, 0, false},
		"empty":            {[]byte{0x12, 0x34, 0, 0}, 0, false},
		"unknown type":     {standin.AJPPacket([]byte{99}), 0, false},
		"shutdown":         {standin.AJPPacket([]byte{7}), 0, false},
		"long CPing":       {standin.AJPPacket([]byte{10, 0}), 0, false},
		"truncated":        {standin.AJPPacket(forward()[:20]), 0, false},
		"no secret":        {standin.AJPPacket(standin.AJPRequest(4, "/x", nil)), 403, false},
		"wrong secret":     {standin.AJPPacket(standin.AJPRequest(4, "/x", nil, "secret", "s3creT")), 403, false},
		"body too large":   {head("65537"), 413, false},
		"bad length":       {head("-1"), 400, false},
		"body ends":        {append(head("5"), standin.AJPPacket(nil)...), 400, false},
		"more than told":   {append(head("2"), standin.AJPPacket(standin.AJPChunk([]byte("abc")))...), 0, false},
		"bad chunk":        {append(head("5"), standin.AJPPacket([]byte{0, 9, 'a'})...), 0, false},
		"body never comes": {head("5"), 408, true},
		"two at once": {append(standin.AJPPacket(standin.AJPRequest(4, "/never", nil, "secret", "s3cret")),
			standin.AJPPacket([]byte{10})...), 0, false},
		"says nothing": {nil, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := serve(t, Options{Secret: "s3cret"}, lnet.NewBudget(10, 0))
			a := standin.DialAJP(t, x.s.Addr())
			a.WriteRaw(c.send)
			r, err := a.ReadReply(func(int) []byte { return nil })
			if c.status == 0 && err == nil || c.status != 0 && (err != nil || r.Status != c.status || r.Reuse) {
				t.Errorf("%+v, %v", r, err)
			}
			standin.WaitFor(t, "its end", func() bool { return x.s.OpenConns() == 0 })
			b := standin.DialAJP(t, x.s.Addr())
			if r, err := b.Do("/echo", nil, "x", "secret", "s3cret"); err != nil || r.Status != 200 {
				t.Errorf("the next one: %+v, %v", r, err)
			}
		})
	}
}

// A front that leaves takes its request along; one that ends in the middle of a packet has sent none.
func TestFrontThatLeaves(t *testing.T) {
	x := serve(t, Options{}, lnet.NewBudget(10, 0))
	a := standin.DialAJP(t, x.s.Addr())
	a.WriteRaw(standin.AJPPacket(standin.AJPRequest(2, "/never", nil)))
	standin.WaitFor(t, "the request", func() bool { n, _ := x.count(); return n == 1 })
	a.Close()
	standin.WaitFor(t, "the word that it left", func() bool { _, gone := x.count(); return gone == 1 })
	b := standin.DialAJP(t, x.s.Addr())
	b.WriteRaw(standin.AJPPacket(forward())[:30])
	b.Close()
	standin.WaitFor(t, "the end", func() bool { return x.s.OpenConns() == 0 })
	if n, _ := x.count(); n != 1 {
		t.Errorf("%d requests", n)
	}
}

// A connection that carries nothing makes way, or ends with the server: its place is free at once, and not
// when it would have been idle for too long.
func TestConnectionThatMakesWayGivesItsPlaceBack(t *testing.T) {
	for name, end := range map[string]func(*Server){
		"makes way": func(s *Server) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				if !c.yield() {
					t.Error("it carries nothing, and does not yield")
				}
			}
		},
		"ends": (*Server).Drain,
	} {
		budget := lnet.NewBudget(10, 0)
		x := serve(t, Options{}, budget)
		a := standin.DialAJP(t, x.s.Addr())
		if r, err := a.Do("/echo", nil, "x"); err != nil || r.Status != 200 {
			t.Fatalf("%+v, %v", r, err)
		}
		standin.WaitFor(t, "rest", func() bool {
			x.s.mu.Lock()
			defer x.s.mu.Unlock()
			for c := range x.s.conns {
				c.mu.Lock()
				defer c.mu.Unlock()
				return !c.begun && !c.busy.Load()
			}
			return false
		})
		end(x.s)
		standin.WaitFor(t, name+": the place", func() bool { return x.s.OpenConns() == 0 && budget.InUse() == 0 })
	}
}
