package kiosk

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/platform"
	"lapislever/internal/standin"
)

const classes = `
[[class]]
name = "rate-check"
effect = "safe"
aim_s = 1.5
deadline_s = 4.0
worth = 1.0
[[class]]
name = "exchange-post"
effect = "keyed"
aim_s = 1.5
deadline_s = 3.0
window_s = 3.0
worth = 1.0
`

// server is a line of the file.
func server(name, addr, form string, cell int, more ...string) string {
	return fmt.Sprintf("[[server]]\nname = %q\naddress = %q\nform = %q\ncell = %d\n%s\n", name, addr, form, cell,
		strings.Join(more, "\n"))
}

// running is a front that serves.
type running struct {
	k         *platform.Coordinator
	f         *Front
	http, ajp string
}

// load makes a front of a text.
func load(t testing.TB, text string) (*platform.Config, *Front) {
	t.Helper()
	file, err := ParseConfig("f", text)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := platform.Standalone(file.Standalone())
	if err != nil {
		t.Fatal(err)
	}
	cfg.Operator, cfg.Limits.Sockets = file.Operator, file.Sockets
	f, err := New(file, cfg, standin.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	return cfg, f
}

const listeners = "listen = \"127.0.0.1:0\"\n[ajp]\nlisten = \"127.0.0.1:0\"\nsecret = \"s3cret\"\n"

func run(t testing.TB, text string, edit ...func(*Front)) *running {
	t.Helper()
	cfg, f := load(t, text)
	for _, e := range edit {
		e(f)
	}
	k, err := platform.Start(cfg, standin.DiscardLogger(), f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close(); f.router.anew.Close() })
	r := &running{k: k, f: f}
	r.http, r.ajp = f.Addrs()
	standin.WaitFor(t, "readiness", func() bool {
		return standin.DoHTTP(t, r.http, "GET", "/up", nil,
			"").Status == 200
	})
	return r
}

// request is the old form of a request for some shards.
func request(id, key string, shards ...int) ([][2]string, string) {
	items := make([]string, len(shards))
	for i, s := range shards {
		items[i] = fmt.Sprintf(`{"slice":%d,"mass":%g}`, s, 1/float64(len(shards)))
	}
	head := [][2]string{{"X-Call-Id", id}}
	if key != "" {
		head = append(head, [2]string{"Idempotency-Key", key})
	}
	return head, fmt.Sprintf(`{"slices":[%s],"filter":"c41e77d0"}`, strings.Join(items, ","))
}

var calls struct {
	sync.Mutex
	n int
}

// post sends a request by HTTP and returns the reply.
func (r *running) post(t testing.TB, class, key string, shards ...int) *lnet.Reply {
	t.Helper()
	calls.Lock()
	calls.n++
	id := fmt.Sprint("c", calls.n)
	calls.Unlock()
	head, body := request(id, key, shards...)
	return standin.DoHTTP(t, r.http, "POST", "/"+class, head, body)
}

// text answers every call with its id.
func text(c standin.GRPCCall) standin.GRPCReply { return standin.GRPCReply{Text: "v:" + c.ID} }

// An old terminal is answered by new nodes, by HTTP and by AJP, and beside them by an old one.
func TestOldTerminalsAreServedByNewNodes(t *testing.T) {
	a := standin.NewGRPCNode(t, standin.GRPCOptions{}, text)
	b := standin.NewGRPCNode(t, standin.GRPCOptions{}, text)
	c := standin.NewNode(t, func(p standin.Part) (string, string) { return "S", "v:" + p.ID })
	r := run(t, listeners+classes+server("a", a.Addr, "new", 0)+server("b", b.Addr, "new", 1)+
		server("c", c.Addr, "old", 2))
	want := func(by string, status int, body string, id string) {
		t.Helper()
		var got struct {
			Entire bool
			Items  []struct {
				Slice int
				Body  string
			}
		}
		if err := json.Unmarshal([]byte(body), &got); err != nil || status != 200 || !got.Entire ||
			len(got.Items) != 3 {
			t.Fatalf("%s: %d %s: %v", by, status, body, err)
		}
		for i, x := range got.Items {
			if x.Slice != i || x.Body != fmt.Sprintf("v:%s.%d", id, i) {
				t.Errorf("%s: %+v", by, x)
			}
		}
	}
	head, body := request("h1", "", 0, 1, 2)
	x := standin.DoHTTP(t, r.http, "POST", "/rate-check", head, body)
	want("HTTP", x.Status, string(x.Body), "h1")
	front := standin.DialAJP(t, r.ajp)
	for i := range 3 { // on one connection
		id := fmt.Sprint("a", i)
		head, body := request(id, "", 0, 1, 2)
		y, err := front.Do("/rate-check", head, body, "secret", "s3cret")
		if err != nil || !y.Reuse {
			t.Fatalf("%+v %v", y, err)
		}
		want("AJP", y.Status, y.Body, id)
	}
	got := a.Calls()[0]
	if got.Class != "rate-check" || got.ID != "h1.0" || got.Filter != "c41e77d0" || got.Timeout == "" ||
		got.Key != "" {
		t.Errorf("the node got %+v", got)
	}
	if x := r.post(t, "exchange-post", "k1", 1); x.Status != 200 {
		t.Fatalf("%d %s", x.Status, x.Body)
	}
	if got := b.Calls(); got[len(got)-1].Key != "k1" {
		t.Errorf("the node got %+v", got[len(got)-1])
	}
	for _, n := range []*standin.GRPCNode{a, b} {
		if n.ConnsOpened() != 1 {
			t.Errorf("%d connections to a node that needed one", n.ConnsOpened())
		}
	}
}

// What has no equivalent, and each status: a definite answer of the old form, and a count by reason.
func TestWhatHasNoEquivalentFailsByName(t *testing.T) {
	raw := standin.TextMessage(0, "x")
	for name, c := range map[string]struct {
		do     standin.GRPCReply
		status int
		why    string
		text   string
	}{
		"unknown status":  {standin.GRPCReply{Status: "42"}, 502, "unknown_status", "failed: unknown_status"},
		"no number":       {standin.GRPCReply{Status: "x"}, 502, "unknown_status", "failed: unknown_status"},
		"unimplemented":   {standin.GRPCReply{Status: "12"}, 502, "never_possible", "failed: never_possible"},
		"unauthenticated": {standin.GRPCReply{Status: "16"}, 502, "denied", "failed: denied"},
		"no gRPC":         {standin.GRPCReply{HTTPStatus: 418}, 502, "unreadable_reply", "failed: unreadable_reply"},
		"other type":      {standin.GRPCReply{ContentType: "text/html"}, 502, "unreadable_reply", "failed: unreadable_reply"},
		"garbage": {standin.GRPCReply{Message: []byte{0xff, 0xff}}, 502, "unreadable_reply",
			"failed: unreadable_reply"},
		"no value": {standin.GRPCReply{Message: []byte{}}, 502, "value_kind", "failed: value_kind"},
		"cut message": {standin.GRPCReply{Prefix: []byte{0, 0, 0, 9, 9}}, 502, "unreadable_reply",
			"failed: unreadable_reply"},
		"compressed": {standin.GRPCReply{Prefix: []byte{1, 0, 0, 0, byte(len(raw))}}, 502, "compressed",
			"failed: compressed"},
		"real": {standin.GRPCReply{Message: append([]byte{0x21}, make([]byte, 8)...)}, 502, "value_kind",
			"failed: value_kind"},
		"other shard": {standin.GRPCReply{Message: standin.TextMessage(1, "x")}, 502, "wrong_shard",
			"failed: wrong_shard"},
		"not UTF-8": {standin.GRPCReply{Text: "\xff"}, 502, "text_not_utf8", "failed: text_not_utf8"},
		"too large": {standin.GRPCReply{Text: strings.Repeat("x", maxValue+1)}, 502, "too_large",
			"failed: too_large"},
		"far too large": {standin.GRPCReply{Text: strings.Repeat("x", 60<<10)}, 502, "too_large",
			"failed: too_large"},
		"internal":     {standin.GRPCReply{Status: "13"}, 503, "failing", "refused"},
		"unavailable":  {standin.GRPCReply{Status: "14"}, 503, "unavailable", "refused"},
		"turned away":  {standin.GRPCReply{Status: "8", Unseen: true}, 503, "turned_away", "refused"},
		"gateway":      {standin.GRPCReply{HTTPStatus: 503}, 503, "unavailable", "refused"},
		"reset":        {standin.GRPCReply{Reset: standin.ErrCode(http2.ErrCodeInternal)}, 503, "unavailable", "refused"},
		"its deadline": {standin.GRPCReply{Status: "4"}, 503, "deadline", "refused"},
	} {
		t.Run(name, func(t *testing.T) {
			n := standin.NewGRPCNode(t, standin.GRPCOptions{}, func(standin.GRPCCall) standin.GRPCReply { return c.do })
			r := run(t, listeners+classes+server("a", n.Addr, "new", 0))
			x := r.post(t, "rate-check", "", 0)
			if x.Status != c.status || !strings.HasPrefix(string(x.Body), c.text) {
				t.Errorf("%d %q, want %d %q", x.Status, x.Body, c.status, c.text)
			}
			if x.Status == 503 && x.Header.Get("Retry-After") == "" {
				t.Error("refused without a word on when to come back")
			}
			if got := r.f.Figures(); got[c.why] == 0 || len(got) > 1 {
				t.Errorf("counted as %v, want %s", got, c.why)
			}
			// The connection is sound after an answer that could not be used.
			if n.ConnsOpened() > 1 && name != "far too large" {
				t.Errorf("%d connections", n.ConnsOpened())
			}
		})
	}
}

// figure is a class's count.
func (r *running) figure(class string, e core.QueryOutcome) int64 {
	return r.f.core.Counts().Class(class).Count(e)
}

// Figures count each request once, in whichever way it came and ended.
func TestEachRequestCountsOnce(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, text)
	r := run(t, listeners+classes+server("a", n.Addr, "new", 0))
	r.post(t, "rate-check", "", 0)
	r.post(t, "rate-check", "", 7) // there is no such shard
	r.post(t, "none", "", 0)
	standin.WaitFor(t, "the counts", func() bool {
		return r.figure("rate-check", core.Answered) == 1 && r.figure("rate-check", core.Failed) == 1
	})
}

// A client that leaves, and a deadline that passes: the stream is reset, the terminal gets one answer at
// most.
func TestCancelsReachTheStream(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{},
		func(standin.GRPCCall) standin.GRPCReply { return standin.GRPCReply{NoReply: true} })
	r := run(t, listeners+classes+server("a", n.Addr, "new", 0))
	head, body := request("gone", "", 0)
	front := standin.DialAJP(t, r.ajp)
	front.WriteRaw(standin.AJPPacket(standin.AJPRequest(4, "/rate-check", append(head,
		[2]string{"Content-Length", fmt.Sprint(len(body))}), "secret", "s3cret")))
	front.WriteRaw(standin.AJPPacket(standin.AJPChunk([]byte(body))))
	standin.WaitFor(t, "the call", func() bool { return len(n.Calls()) == 1 })
	front.Close()
	standin.WaitFor(t, "the reset", func() bool { return n.Resets() == 1 })
	head, body = request("late", "", 0)
	begun := time.Now()
	x := standin.DoHTTP(t, r.http, "POST", "/rate-check", append(head, [2]string{"X-Budget", "0.3"}), body)
	if x.Status != 503 && x.Status != 504 || time.Since(begun) > 5*time.Second {
		t.Errorf("%d after %v", x.Status, time.Since(begun))
	}
	standin.WaitFor(t, "the second reset", func() bool { return n.Resets() >= 2 })
}

// An old terminal that speaks HTTP/1.0 is answered, and the connection ends as it expects.
func TestOldestTerminals(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, text)
	r := run(t, listeners+classes+server("a", n.Addr, "new", 0))
	c, err := net.Dial("tcp", r.http)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, body := request("old", "", 0)
	fmt.Fprintf(c, "POST /rate-check HTTP/1.0\r\nX-Call-Id: old\r\nContent-Length: %d\r\n\r\n%s", len(body),
		body)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	all, err := io.ReadAll(c) // up to the end of the connection
	if err != nil || !strings.Contains(string(all), " 200 OK\r\n") || !strings.Contains(string(all),
		`"v:old.0"`) {
		t.Errorf("%q, %v", all, err)
	}
}

// What was taken is answered through an end: queries that are open on both carriers when it comes get one
// answer each, the late one too.
func TestShutdownAnswersWhatWasTaken(t *testing.T) {
	release := make(chan bool)
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, func(c standin.GRPCCall) standin.GRPCReply {
		<-release
		return standin.GRPCReply{Text: "v"}
	})
	r := run(t, listeners+classes+server("a", n.Addr, "new", 0))
	answers := make(chan int, 2)
	go func() {
		head, body := request("by-http", "", 0)
		answers <- standin.DoHTTP(t, r.http, "POST", "/rate-check", head, body).Status
	}()
	go func() {
		head, body := request("by-ajp", "", 0)
		y, err := standin.DialAJP(t, r.ajp).Do("/rate-check", head, body, "secret", "s3cret")
		if err != nil {
			t.Error(err)
			answers <- 0
			return
		}
		answers <- y.Status
	}()
	standin.WaitFor(t, "both calls", func() bool { return len(n.Calls()) >= 2 })
	ended := make(chan bool)
	go func() { r.k.Shutdown(); close(ended) }()
	standin.WaitFor(t, "the word that it ends", func() bool { return r.f.ending.Load() })
	time.Sleep(50 * time.Millisecond)
	close(release)
	for range 2 {
		if status := <-answers; status != 200 {
			t.Errorf("%d", status)
		}
	}
	<-ended
	standin.WaitFor(t, "the end of the calls", func() bool { return r.f.http.OpenConns()+r.f.ajp.OpenConns() == 0 })
}

// A terminal's retry is a query of its own, so that the module knows of no window: the guard's is given to
// whoever writes the frame, also of the old form, and an earlier one of the module's stays.
func TestRetryIsHeldToItsWindowWhereItIsWritten(t *testing.T) {
	n := standin.NewNode(t, func(standin.Part) (string, string) { return "", "" })
	_, f := load(t, listeners+classes+server("a", n.Addr, "old", 0))
	r, id := f.router, core.ServerID("a")
	r.post = func(core.Event) {}
	r.old = platform.NewNodes(f.base, lnet.NewBudget(10, 0), standin.DiscardLogger(), &core.Counts{}, r.tell)
	r.old.UpdateHosts([]platform.Host{{Host: "a", Dial: n.Addr, Health: "in_service", Share: 1}}, true)
	r.learn(map[balance.ReplicaID]string{id: OldForm})
	const window = 3 * time.Second
	rules := &balance.Class{Effect: balance.Keyed, Window: window.Microseconds()}
	send := func(name string, before time.Time) *core.Attempt {
		t.Helper()
		a := &core.Attempt{Query: &core.Query{Name: name, Key: "k", Rules: rules}, Replica: id,
			Timeout: time.Minute, Deadline: time.Now().Add(time.Minute), StartBy: before}
		sent := len(n.Parts())
		r.Send(id, []*core.Attempt{a})
		standin.WaitFor(t, name, func() bool { return len(n.Parts()) > sent })
		return a
	}
	begun := time.Now()
	first := send("first", time.Time{})
	if d := first.StartBy.Sub(begun); d < window || d > window+time.Second {
		t.Fatalf("the window of a first send ends after %v", d)
	}
	if retry := send("retry", time.Time{}); !retry.StartBy.Equal(first.StartBy) {
		t.Errorf("a retry may begin until %v, its key is forgotten at %v", retry.StartBy, first.StartBy)
	}
	earlier := first.StartBy.Add(-time.Second)
	if repeat := send("repeat", earlier); !repeat.StartBy.Equal(earlier) {
		t.Errorf("the module's own window has become %v, not %v", repeat.StartBy, earlier)
	}
}
