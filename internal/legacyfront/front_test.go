package legacyfront

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/platform"
	"lapislever/internal/standin"
)

const classesTOML = `
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

// serverTOML returns a [[server]] section; more holds further lines.
func serverTOML(name, addr, form string, cell int, more ...string) string {
	return fmt.Sprintf("[[server]]\nname = %q\naddress = %q\nform = %q\ncell = %d\n%s\n", name, addr, form, cell,
		strings.Join(more, "\n"))
}

// testFront is a front that is serving, with the addresses of its listeners.
type testFront struct {
	coordinator *platform.Coordinator
	front       *Front
	http, ajp   string
}

// newFront makes a front from the text of a configuration file.
func newFront(t testing.TB, text string) (*platform.Config, *Front) {
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

const listenersTOML = "listen = \"127.0.0.1:0\"\n[ajp]\nlisten = \"127.0.0.1:0\"\nsecret = \"s3cret\"\n"

// startFront makes a front, starts it and waits until it is ready.
func startFront(t testing.TB, text string, edit ...func(*Front)) *testFront {
	t.Helper()
	cfg, f := newFront(t, text)
	for _, e := range edit {
		e(f)
	}
	coordinator, err := platform.Start(cfg, standin.DiscardLogger(), f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { coordinator.Close(); f.router.newNodes.Close() })
	r := &testFront{coordinator: coordinator, front: f}
	r.http, r.ajp = f.Addrs()
	standin.WaitFor(t, "readiness", func() bool {
		return standin.DoHTTP(t, r.http, "GET", "/up", nil, "").Status == 200
	})
	return r
}

// request returns the headers and the body of an old-form request for some shards.
func request(id, key string, shards ...int) ([][2]string, string) {
	items := make([]string, len(shards))
	for i, s := range shards {
		items[i] = fmt.Sprintf(`{"slice":%d,"mass":%g}`, s, 1/float64(len(shards)))
	}
	header := [][2]string{{"X-Call-Id", id}}
	if key != "" {
		header = append(header, [2]string{"Idempotency-Key", key})
	}
	return header, fmt.Sprintf(`{"slices":[%s],"filter":"c41e77d0"}`, strings.Join(items, ","))
}

// lastID numbers the requests of post.
var lastID struct {
	sync.Mutex
	n int
}

// post sends a request over HTTP and returns the reply.
func (r *testFront) post(t testing.TB, class, key string, shards ...int) *lnet.Reply {
	t.Helper()
	lastID.Lock()
	lastID.n++
	id := fmt.Sprint("c", lastID.n)
	lastID.Unlock()
	header, body := request(id, key, shards...)
	return standin.DoHTTP(t, r.http, "POST", "/"+class, header, body)
}

// answerWithID answers a call with its id.
func answerWithID(c standin.GRPCCall) standin.GRPCReply { return standin.GRPCReply{Text: "v:" + c.ID} }

// Old-form clients are answered over HTTP and AJP from two nodes of the new form and one of the old form.
func TestOldClientsServedByNewNodes(t *testing.T) {
	a := standin.NewGRPCNode(t, standin.GRPCOptions{}, answerWithID)
	b := standin.NewGRPCNode(t, standin.GRPCOptions{}, answerWithID)
	c := standin.NewNode(t, func(p standin.Part) (string, string) { return "S", "v:" + p.ID })
	r := startFront(t, listenersTOML+classesTOML+serverTOML("a", a.Addr, "new", 0)+
		serverTOML("b", b.Addr, "new", 1)+serverTOML("c", c.Addr, "old", 2))
	want := func(listener string, status int, body string, id string) {
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
			t.Fatalf("%s: %d %s: %v", listener, status, body, err)
		}
		for i, x := range got.Items {
			if x.Slice != i || x.Body != fmt.Sprintf("v:%s.%d", id, i) {
				t.Errorf("%s: %+v", listener, x)
			}
		}
	}
	header, body := request("h1", "", 0, 1, 2)
	x := standin.DoHTTP(t, r.http, "POST", "/rate-check", header, body)
	want("HTTP", x.Status, string(x.Body), "h1")
	proxy := standin.DialAJP(t, r.ajp)
	for i := range 3 { // on one connection
		id := fmt.Sprint("a", i)
		header, body := request(id, "", 0, 1, 2)
		y, err := proxy.Do("/rate-check", header, body, "secret", "s3cret")
		if err != nil || !y.Reuse {
			t.Fatalf("%+v %v", y, err)
		}
		want("AJP", y.Status, y.Body, id)
	}
	got := a.Calls()[0]
	if got.Class != "rate-check" || got.ID != "h1.0" || got.Filter != "c41e77d0" || got.Timeout == "" ||
		got.Key != "" {
		t.Errorf("node received %+v", got)
	}
	if x := r.post(t, "exchange-post", "k1", 1); x.Status != 200 {
		t.Fatalf("%d %s", x.Status, x.Body)
	}
	if got := b.Calls(); got[len(got)-1].Key != "k1" {
		t.Errorf("node received %+v", got[len(got)-1])
	}
	for _, n := range []*standin.GRPCNode{a, b} {
		if n.ConnsOpened() != 1 {
			t.Errorf("%d connections to a node where one suffices", n.ConnsOpened())
		}
	}
}

// Each answer without an equivalent in the old form, and each kind of failure, gives a defined reply of the
// old form and is counted under its reason.
func TestUntranslatableAnswersFailWithReason(t *testing.T) {
	raw := standin.TextMessage(0, "x")
	for name, c := range map[string]struct {
		reply  standin.GRPCReply
		status int
		reason string
		text   string
	}{
		"unknown status":     {standin.GRPCReply{Status: "42"}, 502, "unknown_status", "failed: unknown_status"},
		"non-numeric status": {standin.GRPCReply{Status: "x"}, 502, "unknown_status", "failed: unknown_status"},
		"unimplemented":      {standin.GRPCReply{Status: "12"}, 502, "never_possible", "failed: never_possible"},
		"unauthenticated":    {standin.GRPCReply{Status: "16"}, 502, "denied", "failed: denied"},
		"no gRPC": {standin.GRPCReply{HTTPStatus: 418}, 502, "unreadable_reply",
			"failed: unreadable_reply"},
		"other content type": {standin.GRPCReply{ContentType: "text/html"}, 502, "unreadable_reply",
			"failed: unreadable_reply"},
		"garbage": {standin.GRPCReply{Message: []byte{0xff, 0xff}}, 502, "unreadable_reply",
			"failed: unreadable_reply"},
		"no value": {standin.GRPCReply{Message: []byte{}}, 502, "value_kind", "failed: value_kind"},
		"truncated message": {standin.GRPCReply{Prefix: []byte{0, 0, 0, 9, 9}}, 502, "unreadable_reply",
			"failed: unreadable_reply"},
		"compressed": {standin.GRPCReply{Prefix: []byte{1, 0, 0, 0, byte(len(raw))}}, 502, "compressed",
			"failed: compressed"},
		"float": {standin.GRPCReply{Message: append([]byte{0x21}, make([]byte, 8)...)}, 502, "value_kind",
			"failed: value_kind"},
		"other shard": {standin.GRPCReply{Message: standin.TextMessage(1, "x")}, 502, "wrong_shard",
			"failed: wrong_shard"},
		"not UTF-8": {standin.GRPCReply{Text: "\xff"}, 502, "text_not_utf8", "failed: text_not_utf8"},
		"too large": {standin.GRPCReply{Text: strings.Repeat("x", maxValueSize+1)}, 502, "too_large",
			"failed: too_large"},
		"far too large": {standin.GRPCReply{Text: strings.Repeat("x", 60<<10)}, 502, "too_large",
			"failed: too_large"},
		"internal":             {standin.GRPCReply{Status: "13"}, 503, "failing", "refused"},
		"unavailable":          {standin.GRPCReply{Status: "14"}, 503, "unavailable", "refused"},
		"rejected unprocessed": {standin.GRPCReply{Status: "8", Unseen: true}, 503, "turned_away", "refused"},
		"gateway":              {standin.GRPCReply{HTTPStatus: 503}, 503, "unavailable", "refused"},
		"reset": {standin.GRPCReply{Reset: standin.ErrCode(http2.ErrCodeInternal)}, 503, "unavailable",
			"refused"},
		"server deadline": {standin.GRPCReply{Status: "4"}, 503, "deadline", "refused"},
	} {
		t.Run(name, func(t *testing.T) {
			n := standin.NewGRPCNode(t, standin.GRPCOptions{}, func(standin.GRPCCall) standin.GRPCReply {
				return c.reply
			})
			r := startFront(t, listenersTOML+classesTOML+serverTOML("a", n.Addr, "new", 0))
			x := r.post(t, "rate-check", "", 0)
			if x.Status != c.status || !strings.HasPrefix(string(x.Body), c.text) {
				t.Errorf("%d %q, want %d %q", x.Status, x.Body, c.status, c.text)
			}
			if x.Status == 503 && x.Header.Get("Retry-After") == "" {
				t.Error("refused without Retry-After")
			}
			if got := r.front.Figures(); got[c.reason] == 0 || len(got) > 1 {
				t.Errorf("counted as %v, want %s", got, c.reason)
			}
			// The connection stays usable after an answer that was rejected.
			if n.ConnsOpened() > 1 && name != "far too large" {
				t.Errorf("%d connections", n.ConnsOpened())
			}
		})
	}
}

// outcomeCount returns how many queries of a class ended with an outcome.
func (r *testFront) outcomeCount(class string, outcome core.QueryOutcome) int64 {
	return r.front.core.Counts().Class(class).Count(outcome)
}

// Each request is counted once under its class, whether it is answered or fails when parsed.
func TestEachRequestCountedOnce(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, answerWithID)
	r := startFront(t, listenersTOML+classesTOML+serverTOML("a", n.Addr, "new", 0))
	r.post(t, "rate-check", "", 0)
	r.post(t, "rate-check", "", 7) // no such shard
	r.post(t, "none", "", 0)
	standin.WaitFor(t, "the counts", func() bool {
		return r.outcomeCount("rate-check", core.Answered) == 1 && r.outcomeCount("rate-check", core.Failed) == 1
	})
}

// Guards against a keyed request that is executed in both forms while new settings make its class one that
// may not be repeated: the guard holds its key all the same, until no client may follow the old settings.
func TestGuardHoldsWhileTheEffectChanges(t *testing.T) {
	brief := strings.Replace(classesTOML, "aim_s = 1.5\ndeadline_s = 3.0", "aim_s = 0.5\ndeadline_s = 1.0", 1)
	a := standin.NewGRPCNode(t, standin.GRPCOptions{},
		func(standin.GRPCCall) standin.GRPCReply { return standin.GRPCReply{NoReply: true} })
	b := standin.NewNode(t, func(p standin.Part) (string, string) { return "S", "v:" + p.ID })
	r := startFront(t, listenersTOML+brief+serverTOML("a", a.Addr, "new", 0))
	if x := r.post(t, "exchange-post", "k1", 0); x.Status == 200 || len(a.Calls()) != 1 {
		t.Fatalf("%d after %d calls", x.Status, len(a.Calls()))
	}
	unsafe := strings.NewReplacer(`"keyed"`, `"unsafe"`, "window_s = 3.0\n", "").Replace(brief)
	cfg, fresh := newFront(t, listenersTOML+unsafe+serverTOML("b", b.Addr, "old", 0))
	if err := r.coordinator.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	r.front.Reload(fresh)
	if x := r.post(t, "exchange-post", "k2", 0); x.Status != 200 { // the node of the old form is in use
		t.Fatalf("another key: %d", x.Status)
	}
	if x := r.post(t, "exchange-post", "k1", 0); x.Status == 200 || len(b.Parts()) != 1 {
		t.Errorf("the retry of a key that may have run in the other form: %d after %d parts", x.Status,
			len(b.Parts()))
	}
}

// When a client disconnects, and when a deadline passes, the stream to the node is reset. The client whose
// deadline passed gets an error reply.
func TestCancelResetsStream(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{},
		func(standin.GRPCCall) standin.GRPCReply { return standin.GRPCReply{NoReply: true} })
	r := startFront(t, listenersTOML+classesTOML+serverTOML("a", n.Addr, "new", 0))
	header, body := request("gone", "", 0)
	proxy := standin.DialAJP(t, r.ajp)
	proxy.WriteRaw(standin.AJPPacket(standin.AJPRequest(4, "/rate-check", append(header,
		[2]string{"Content-Length", fmt.Sprint(len(body))}), "secret", "s3cret")))
	proxy.WriteRaw(standin.AJPPacket(standin.AJPChunk([]byte(body))))
	standin.WaitFor(t, "the call to reach the node", func() bool { return len(n.Calls()) == 1 })
	proxy.Close()
	standin.WaitFor(t, "the first stream to be reset", func() bool { return n.Resets() == 1 })
	header, body = request("late", "", 0)
	start := time.Now()
	x := standin.DoHTTP(t, r.http, "POST", "/rate-check", append(header, [2]string{"X-Budget", "0.3"}), body)
	if x.Status != 503 && x.Status != 504 || time.Since(start) > 5*time.Second {
		t.Errorf("%d after %v", x.Status, time.Since(start))
	}
	standin.WaitFor(t, "the second stream to be reset", func() bool { return n.Resets() >= 2 })
}

// A client that speaks HTTP/1.0 is answered, and the connection is closed afterwards as it expects.
func TestHTTP10Client(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, answerWithID)
	r := startFront(t, listenersTOML+classesTOML+serverTOML("a", n.Addr, "new", 0))
	c, err := net.Dial("tcp", r.http)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, body := request("old", "", 0)
	fmt.Fprintf(c, "POST /rate-check HTTP/1.0\r\nX-Call-Id: old\r\nContent-Length: %d\r\n\r\n%s", len(body),
		body)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	all, err := io.ReadAll(c) // until the connection is closed
	if err != nil || !strings.Contains(string(all), " 200 OK\r\n") || !strings.Contains(string(all),
		`"v:old.0"`) {
		t.Errorf("%q, %v", all, err)
	}
}

// Queries that are in flight over HTTP and AJP when a shutdown begins are answered before it completes.
func TestShutdownAnswersAcceptedQueries(t *testing.T) {
	release := make(chan bool)
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, func(c standin.GRPCCall) standin.GRPCReply {
		<-release
		return standin.GRPCReply{Text: "v"}
	})
	r := startFront(t, listenersTOML+classesTOML+serverTOML("a", n.Addr, "new", 0))
	answers := make(chan int, 2)
	go func() {
		header, body := request("by-http", "", 0)
		answers <- standin.DoHTTP(t, r.http, "POST", "/rate-check", header, body).Status
	}()
	go func() {
		header, body := request("by-ajp", "", 0)
		y, err := standin.DialAJP(t, r.ajp).Do("/rate-check", header, body, "secret", "s3cret")
		if err != nil {
			t.Error(err)
			answers <- 0
			return
		}
		answers <- y.Status
	}()
	standin.WaitFor(t, "both calls to reach the node", func() bool { return len(n.Calls()) >= 2 })
	ended := make(chan bool)
	go func() { r.coordinator.Shutdown(); close(ended) }()
	standin.WaitFor(t, "the front to report that it is not ready", func() bool {
		return r.front.notReady.Load()
	})
	time.Sleep(50 * time.Millisecond)
	close(release)
	for range 2 {
		if status := <-answers; status != 200 {
			t.Errorf("%d", status)
		}
	}
	<-ended
	standin.WaitFor(t, "the clients' connections to close", func() bool {
		return r.front.http.OpenConns()+r.front.ajp.OpenConns() == 0
	})
}

// A client's retry is a new query, whose key's window the module does not know. The guard's end of the
// window is therefore passed to the write loop as StartBy, also for the old form; an earlier StartBy set by
// the module is kept.
func TestRetryStartByFollowsKeyWindow(t *testing.T) {
	n := standin.NewNode(t, func(standin.Part) (string, string) { return "", "" })
	_, f := newFront(t, listenersTOML+classesTOML+serverTOML("a", n.Addr, "old", 0))
	r, id := f.router, core.ServerID("a")
	r.post = func(core.Event) {}
	r.oldNodes = platform.NewNodes(f.platformConfig, lnet.NewBudget(10, 0), standin.DiscardLogger(),
		&core.Counts{}, r.report)
	r.oldNodes.UpdateHosts([]platform.Host{{Host: "a", Dial: n.Addr, Health: "in_service", Share: 1}}, true)
	r.setForms(map[balance.ReplicaID]string{id: OldForm})
	const window = 3 * time.Second
	rules := &balance.Class{Effect: balance.Keyed, Window: window.Microseconds()}
	send := func(name string, startBy time.Time) *core.Attempt {
		t.Helper()
		a := &core.Attempt{Query: &core.Query{Name: name, Key: "k", Rules: rules}, Replica: id,
			Timeout: time.Minute, Deadline: time.Now().Add(time.Minute), StartBy: startBy}
		sent := len(n.Parts())
		r.Send(id, []*core.Attempt{a})
		standin.WaitFor(t, name, func() bool { return len(n.Parts()) > sent })
		return a
	}
	start := time.Now()
	first := send("first", time.Time{})
	if d := first.StartBy.Sub(start); d < window || d > window+time.Second {
		t.Fatalf("window of the first send ends after %v", d)
	}
	if retry := send("retry", time.Time{}); !retry.StartBy.Equal(first.StartBy) {
		t.Errorf("retry may start until %v, but its key's window ends at %v", retry.StartBy, first.StartBy)
	}
	earlier := first.StartBy.Add(-time.Second)
	if repeat := send("repeat", earlier); !repeat.StartBy.Equal(earlier) {
		t.Errorf("the module's StartBy became %v, want %v", repeat.StartBy, earlier)
	}
}

// Guards against a value of an old-form node that is no UTF-8 and is served as another text.
func TestValueOfNoiseIsNotServedToOldClients(t *testing.T) {
	var first atomic.Bool
	n := standin.NewNode(t, func(standin.Part) (string, string) {
		if first.Swap(true) {
			return "S", "whole"
		}
		return "S", "\xb5\xe2\xe2\xb0"
	})
	r := startFront(t, listenersTOML+classesTOML+serverTOML("a", n.Addr, "old", 0))
	x := r.post(t, "rate-check", "", 0)
	if x.Status != 200 || !strings.Contains(string(x.Body), `"body":"whole"`) || len(n.Parts()) != 2 {
		t.Errorf("%d %.100q after %d attempts", x.Status, x.Body, len(n.Parts()))
	}
}
