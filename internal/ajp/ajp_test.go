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

func TestPayloadSize(t *testing.T) {
	for _, c := range []struct {
		head string
		size int
		ok   bool
	}{{"\x12\x34\x00\x10", 16, true}, {"\x12\x34\x1f\xfc", 8188, true}, {"\x12\x34\x1f\xfd", 0, false},
		{"\x12\x35\x00\x10", 0, false}, {"AB\x00\x10", 0, false}, {"GET ", 0, false}, {"\x12\x34\x00\x00", 0,
			true}} {
		n, err := PayloadSize([]byte(c.head), DefaultSize)
		if n != c.size || (err == nil) != c.ok || err != nil && !errors.Is(err, ErrPacket) {
			t.Errorf("%q: %d, %v", c.head, n, err)
		}
	}
}

// validForward returns the payload of a valid request.
func validForward() []byte {
	return standin.AJPRequest(4, "/rate-check", [][2]string{{"Content-Length", "7"}, {"X-Call-Id", "c1"}},
		"secret", "s3cret", "query_string", "a=b", "JK_LB_ACTIVATION", "ACT")
}

func TestParseForward(t *testing.T) {
	f, err := ParseForward(validForward())
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
		t.Errorf("stored method: %+v, %v", f, err)
	}
	good := validForward()
	for cut := range good { // each truncation is detected
		if _, err := ParseForward(good[:cut]); !errors.Is(err, ErrPacket) {
			t.Errorf("truncated after %d bytes: %v", cut, err)
		}
	}
	for name, edit := range map[string]func([]byte) []byte{
		"trailing byte":         func(b []byte) []byte { return append(b, 0) },
		"wrong type":            func(b []byte) []byte { b[0] = 3; return b },
		"no method":             func(b []byte) []byte { b[1] = 0; return b },
		"method 28":             func(b []byte) []byte { b[1] = 28; return b },
		"stored method missing": func(b []byte) []byte { b[1] = 0xff; return b },
		"string too long":       func(b []byte) []byte { b[2] = 0x7f; return b },
		"unknown header code": func(b []byte) []byte {
			i := bytes.Index(b, []byte{0xa0,
				0x08})
			b[i+1] = 0x0f
			return b
		},
		"null header value": func(b []byte) []byte {
			i := bytes.Index(b, []byte{0xa0, 0x08})
			b[i+2], b[i+3] = 255,
				255
			return b
		},
		"unknown attribute code": func(b []byte) []byte { b[bytes.LastIndexByte(b, 12)] = 99; return b },
	} {
		if _, err := ParseForward(edit(validForward())); !errors.Is(err, ErrPacket) {
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

// Any payload is either parsed or an ErrPacket, and the parsed strings are no longer than the payload.
func FuzzForward(f *testing.F) {
	f.Add(validForward())
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

// echoServer is a listener that echoes request bodies and records requests and abandoned requests.
type echoServer struct {
	mu        sync.Mutex
	requests  []*lnet.Request
	abandoned int
	server    *Server
}

func (s *echoServer) count() (requests, abandoned int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests), s.abandoned
}

func startEcho(t *testing.T, o Options, budget *lnet.Budget) *echoServer {
	x := &echoServer{}
	var err error
	x.server, err = Listen("127.0.0.1:0", o, budget, standin.DiscardLogger(), func(r *lnet.Request,
		e *lnet.Exchange) func() {
		x.mu.Lock()
		x.requests = append(x.requests, r)
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
			x.abandoned++
			x.mu.Unlock()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	go x.server.Serve()
	t.Cleanup(func() { x.server.StopListening(); x.server.Drain() })
	return x
}

// One connection serves requests with bodies of all sizes, of announced and unknown length, and CPings
// between them, until the server closes it after a reply.
func TestOneConnectionServesManyRequests(t *testing.T) {
	budget := lnet.NewBudget(10, 0)
	x := startEcho(t, Options{Secret: "s3cret"}, budget)
	a := standin.DialAJP(t, x.server.Addr())
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
	// A body of unknown length is requested chunk by chunk.
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
	if x.server.OpenConns() != 1 || budget.InUse() != 1 {
		t.Errorf("%d connections, %d descriptors", x.server.OpenConns(), budget.InUse())
	}
	x.server.CloseAfterReply()
	if r, err = a.Do("/echo", nil, "", "secret", "s3cret"); err != nil || r.Reuse {
		t.Fatalf("after CloseAfterReply: %+v, %v", r, err)
	}
	if !x.server.Wait(5*time.Second) || budget.InUse() != 0 {
		t.Errorf("%d connections, %d descriptors", x.server.OpenConns(), budget.InUse())
	}
}

// Each fault closes its connection, with or without an error reply, and leaves other connections usable.
func TestFaultsCloseConnection(t *testing.T) {
	withLength := func(size string) []byte {
		return standin.AJPPacket(standin.AJPRequest(4, "/echo", [][2]string{{"Content-Length", size}}, "secret",
			"s3cret"))
	}
	for name, c := range map[string]struct {
		send   []byte
		status int // 0: closed without a reply
		late   bool
	}{
		"wrong magic":    {[]byte("GET / HTTP/1.1\r\n\r\n"), 0, false},
		"oversized":      {[]byte{0x12, 0x34, 0xff, 0xff}, 0, false},
		"empty":          {[]byte{0x12, 0x34, 0, 0}, 0, false},
		"unknown type":   {standin.AJPPacket([]byte{99}), 0, false},
		"shutdown":       {standin.AJPPacket([]byte{7}), 0, false},
		"long CPing":     {standin.AJPPacket([]byte{10, 0}), 0, false},
		"truncated":      {standin.AJPPacket(validForward()[:20]), 0, false},
		"no secret":      {standin.AJPPacket(standin.AJPRequest(4, "/x", nil)), 403, false},
		"wrong secret":   {standin.AJPPacket(standin.AJPRequest(4, "/x", nil, "secret", "s3creT")), 403, false},
		"body too large": {withLength("65537"), 413, false},
		"bad length":     {withLength("-1"), 400, false},
		"blank in a name": {standin.AJPPacket(standin.AJPRequest(4, "/echo",
			[][2]string{{"Content-Length ", "5"}}, "secret", "s3cret")), 400, false},
		"body ends early": {append(withLength("5"), standin.AJPPacket(nil)...), 400, false},
		"body too long": {append(withLength("2"),
			standin.AJPPacket(standin.AJPChunk([]byte("abc")))...), 0, false},
		"bad chunk":       {append(withLength("5"), standin.AJPPacket([]byte{0, 9, 'a'})...), 0, false},
		"body never sent": {withLength("5"), 408, true},
		"early packet": {append(standin.AJPPacket(standin.AJPRequest(4, "/never", nil, "secret", "s3cret")),
			standin.AJPPacket([]byte{10})...), 0, false},
		"silent": {nil, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := startEcho(t, Options{Secret: "s3cret"}, lnet.NewBudget(10, 0))
			a := standin.DialAJP(t, x.server.Addr())
			a.WriteRaw(c.send)
			r, err := a.ReadReply(func(int) []byte { return nil })
			if c.status == 0 && err == nil || c.status != 0 && (err != nil || r.Status != c.status || r.Reuse) {
				t.Errorf("%+v, %v", r, err)
			}
			standin.WaitFor(t, "the connection to close", func() bool { return x.server.OpenConns() == 0 })
			b := standin.DialAJP(t, x.server.Addr())
			if r, err := b.Do("/echo", nil, "x", "secret", "s3cret"); err != nil || r.Status != 200 {
				t.Errorf("next connection: %+v, %v", r, err)
			}
		})
	}
}

// A proxy that disconnects abandons its request. One that disconnects in the middle of a packet has sent no
// request.
func TestProxyDisconnects(t *testing.T) {
	x := startEcho(t, Options{}, lnet.NewBudget(10, 0))
	a := standin.DialAJP(t, x.server.Addr())
	a.WriteRaw(standin.AJPPacket(standin.AJPRequest(2, "/never", nil)))
	standin.WaitFor(t, "the request", func() bool { n, _ := x.count(); return n == 1 })
	a.Close()
	standin.WaitFor(t, "the request to be abandoned", func() bool {
		_, abandoned := x.count()
		return abandoned == 1
	})
	b := standin.DialAJP(t, x.server.Addr())
	b.WriteRaw(standin.AJPPacket(validForward())[:30])
	b.Close()
	standin.WaitFor(t, "the connections to close", func() bool { return x.server.OpenConns() == 0 })
	if n, _ := x.count(); n != 1 {
		t.Errorf("%d requests", n)
	}
}

// A connection closed while idle, in favour of another one or by Drain, releases its slot at once and does
// not hold it until the idle timeout.
func TestClosedIdleConnectionReleasesSlot(t *testing.T) {
	for name, end := range map[string]func(*Server){
		"closeIfIdle": func(s *Server) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				if !c.closeIfIdle() {
					t.Error("idle connection was not closed")
				}
			}
		},
		"Drain": (*Server).Drain,
	} {
		budget := lnet.NewBudget(10, 0)
		x := startEcho(t, Options{}, budget)
		a := standin.DialAJP(t, x.server.Addr())
		if r, err := a.Do("/echo", nil, "x"); err != nil || r.Status != 200 {
			t.Fatalf("%+v, %v", r, err)
		}
		standin.WaitFor(t, "the connection to be idle", func() bool {
			x.server.mu.Lock()
			defer x.server.mu.Unlock()
			for c := range x.server.conns {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.unreceived == 0 && !c.busy
			}
			return false
		})
		end(x.server)
		standin.WaitFor(t, name+": the slot to be released", func() bool {
			return x.server.OpenConns() == 0 && budget.InUse() == 0
		})
	}
}

// Guards against bodies that are read though there is no memory for them, and against memory that is not
// released.
func TestBodiesAreAccountedFor(t *testing.T) {
	budget := lnet.NewBudget(10, 0)
	x := startEcho(t, Options{}, budget)
	for _, c := range []struct {
		memory int64
		size   int
		status int
	}{{0, 20_000, 503}, {0, 1000, 200}, {4 << 20, 20_000, 200}} {
		budget.LimitMemory(c.memory, false)
		a := standin.DialAJP(t, x.server.Addr())
		r, err := a.Do("/echo", nil, strings.Repeat("b", c.size))
		if err != nil || r.Status != c.status {
			t.Errorf("%d bytes with %d: %v", c.size, c.memory, err)
		}
		standin.WaitFor(t, "the release of its memory", func() bool { return budget.InputMemoryInUse() == 0 })
	}
}

// Guards against a connection that has served a request, stops within its next packet, and is neither
// answered nor closed for as long as a silent one may stay.
func TestStartedPacketHasToComeToItsEnd(t *testing.T) {
	request := standin.AJPPacket(validForward())
	for name, sent := range map[string][]byte{
		"one byte":       request[:1],
		"the header":     request[:headerSize],
		"half a request": request[:len(request)/2],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := startEcho(t, Options{}, lnet.NewBudget(10, 0))
			a := standin.DialAJP(t, x.server.Addr())
			if r, err := a.Do("/echo", nil, "x"); err != nil || r.Status != 200 {
				t.Fatalf("%+v, %v", r, err)
			}
			begun := time.Now()
			a.WriteRaw(sent)
			standin.WaitFor(t, "the connection to close", func() bool { return x.server.OpenConns() == 0 })
			if took := time.Since(begun); took < requestTimeout {
				t.Errorf("closed after %v, before its time", took)
			}
			if n, _ := x.count(); n != 1 {
				t.Errorf("%d requests", n)
			}
		})
	}
}

// Guards against a reply that is lost for what came behind its request: the time of a packet that was begun
// ahead does not end the request in progress.
func TestPacketBegunAheadDoesNotEndARequest(t *testing.T) {
	exchanges := make(chan *lnet.Exchange, 1)
	s, err := Listen("127.0.0.1:0", Options{}, lnet.NewBudget(10, 0), standin.DiscardLogger(),
		func(_ *lnet.Request, x *lnet.Exchange) func() {
			exchanges <- x
			return func() { t.Error("the request was abandoned") }
		})
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.StopListening(); s.Drain() })
	a := standin.DialAJP(t, s.Addr())
	request := standin.AJPPacket(standin.AJPRequest(2, "/x", nil))
	a.WriteRaw(append(bytes.Clone(request), request[:1]...))
	x := <-exchanges
	time.Sleep(requestTimeout + 200*time.Millisecond) // until the packet's time is over
	x.Reply(lnet.Response{Status: 200, Body: []byte("y")})
	if r, err := a.ReadReply(nil); err != nil || r.Status != 200 {
		t.Errorf("%+v, %v", r, err)
	}
	standin.WaitFor(t, "the connection to close", func() bool { return s.OpenConns() == 0 })
}
