package platform

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lapislever/balance"
	"lapislever/internal/admin"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/standin"
)

// testSettings is the settings object of a small deployment: two cells of one shard each.
const testSettings = `{"azs":["praha","brno"],"zone":0,"me":0,"peersTotal":2,"quantumUs":5000,
 "membershipMode":"automatic","callers":{"marksRetry":true},
 "bounds":{"cancel":true,"secondCopies":true,"sendCap":4,"retryAfter":true,"maxRetryAfterUs":2000000,
  "peers":true,
  "probes":true,"connIdleUs":15000000,"dialTimeoutUs":250000,"streamsPerConn":2,"maxOpen":40},
 "extra":{"places":2,"reach":1,"slices":2,"bundleMax":1,"classNeed":[1.0,1.0],"leastShare":[1.0,1.0]},
 "reporting":{"columns":["rps","waiting"],"via":"answers"},
 "rules":{"coldFrom":0.18,"rampTimeUs":17000000,"fallMultiple":2.5,"fallUs":2000000},
 "lanes":[{"name":"rate-check","goalTimeUs":1500000,"hardLimitUs":4000000,"idempotency":"read_like","worth":1,
   "lateWorth":0.3},
  {"name":"exchange-post","goalTimeUs":1500000,"hardLimitUs":3000000,"idempotency":"idempotency_key",
   "windowUs":3000000,"worth":1}]}`

// discovery is a stand-in for discovery's agent.
type discovery struct {
	addr    string
	mu      sync.Mutex
	seq     int
	hosts   []host
	waiting *lnet.Exchange
	seen    []string
	silent  bool // calls that wait are not answered, not even when their time is over
}

func newDiscovery(t *testing.T, hosts ...host) *discovery {
	t.Helper()
	d := &discovery{seq: 41, hosts: hosts}
	l, err := lnet.Listen("127.0.0.1:0", lnet.NewBudget(50, 0), standin.DiscardLogger(), d.serve)
	if err != nil {
		t.Fatal(err)
	}
	go l.Serve()
	t.Cleanup(l.StopListening)
	d.addr = l.Addr()
	return d
}

func (d *discovery) reply(x *lnet.Exchange, whole bool, hosts []host) {
	b, _ := json.Marshal(hostList{Seq: int64(d.seq), Complete: whole, Hosts: hosts})
	x.Reply(lnet.Response{Status: 200, ContentType: "application/json", Body: b})
}

func (d *discovery) serve(r *lnet.Request, x *lnet.Exchange) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen = append(d.seen, r.Query)
	if r.Query == "" {
		d.reply(x, true, d.hosts)
		return nil
	}
	d.waiting = x
	if d.silent {
		return nil
	}
	q, _ := url.ParseQuery(r.Query)
	wait, _ := strconv.Atoi(q.Get("wait"))
	time.AfterFunc(time.Duration(wait)*time.Millisecond, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.waiting == x {
			d.reply(x, false, nil)
			d.waiting = nil
		}
	})
	return nil
}

// change announces hosts as soon as a watch waits for a change.
func (d *discovery) change(t *testing.T, hosts ...host) {
	t.Helper()
	standin.WaitFor(t, "a watch", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.waiting == nil {
			return false
		}
		d.seq++
		d.reply(d.waiting, false, hosts)
		d.waiting = nil
		return true
	})
}

func (d *discovery) queries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.seen...)
}

// lastQuery returns the query string of the last call.
func (d *discovery) lastQuery() string {
	all := d.queries()
	return all[len(all)-1]
}

func hostAt(name, addr string, cell int) host {
	return host{Host: name, Dial: addr, Site: "praha", Block: cell, Health: "in_service", Share: 1}
}

// answerAll makes a data node answer every part.
func answerAll(p standin.Part) (string, string) { return "S", "v:" + p.ID }

// answerNone makes a data node accept parts and answer none.
func answerNone(standin.Part) (string, string) { return "", "" }

// testConfig returns a configuration with the stand-in's address. edit holds pairs of old and new texts
// that are replaced in the settings first.
func testConfig(t *testing.T, d *discovery, edit ...string) *Config {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":200},"settings":%s}`, d.addr,
		strings.NewReplacer(edit...).Replace(testSettings))
	c, err := Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startReady starts a coordinator and waits until it is ready.
func startReady(t *testing.T, c *Config) *Coordinator {
	t.Helper()
	k, err := Start(c, standin.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	standin.WaitFor(t, "readiness", func() bool {
		return standin.DoHTTP(t, k.Addr(), "GET", "/up", nil, "").Status == 200
	})
	return k
}

var callCount struct {
	sync.Mutex
	n int
}

// post sends a query for the given shards and returns the reply.
func post(t *testing.T, k *Coordinator, class string, shards ...int) *lnet.Reply {
	t.Helper()
	callCount.Lock()
	callCount.n++
	id := fmt.Sprintf("c%d", callCount.n)
	callCount.Unlock()
	items := make([]string, len(shards))
	for i, s := range shards {
		items[i] = fmt.Sprintf(`{"slice":%d,"mass":%g}`, s, 1/float64(len(shards)))
	}
	head := [][2]string{{"X-Call-Id", id}, {"Idempotency-Key", "k" + id}}
	return standin.DoHTTP(t, k.Addr(), "POST", "/"+class, head,
		fmt.Sprintf(`{"slices":[%s],"filter":"c41e77d0"}`, strings.Join(items, ",")))
}

func TestQueryIsServedFromItsParts(t *testing.T) {
	a, b := standin.NewNode(t, answerAll), standin.NewNode(t, answerAll)
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 1))))
	r := post(t, k, "rate-check", 1, 0)
	id := strings.TrimSuffix(a.Parts()[0].ID, ".0")
	want := fmt.Sprintf(`{"entire":true,"items":[{"slice":1,"body":"v:%s.1"},{"slice":0,"body":"v:%s.0"}]}`,
		id, id)
	if r.Status != 200 || string(r.Body) != want {
		t.Fatalf("%d %s\nwant %s", r.Status, r.Body, want)
	}
	p := a.Parts()[0]
	if p.Text != "c41e77d0" || !strings.HasPrefix(p.Attrs, "d=") || strings.Contains(p.Attrs, "k=") {
		t.Fatalf("%+v", p)
	}
	for range 20 {
		post(t, k, "exchange-post", 0)
	}
	if p := a.Parts()[1]; !strings.HasSuffix(p.Attrs, ",k=k"+strings.TrimSuffix(p.ID, ".0")) {
		t.Fatalf("%+v", p)
	}
	if n := a.ConnsOpened(); n != 1 {
		t.Fatalf("%d connections for one part at a time: they are not reused", n)
	}
}

// A query for an unreachable node has never run, so the next candidate is tried. Without one the client is
// told when to retry, even for a class that must not be repeated.
func TestWhatNeverRanIsRefused(t *testing.T) {
	gone := standin.NewNode(t, answerAll)
	gone.Close()
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", gone.Addr, 0))))
	if r := post(t, k, "exchange-post", 0); r.Status != 503 || r.Header.Get("Retry-After") == "" {
		t.Fatalf("%d %q", r.Status, r.Header.Get("Retry-After"))
	}
}

// When a connection breaks after a frame's last byte, the part may have run. A refusal would tell the
// client that it did not.
func TestWhatMayHaveRunIsNotRefused(t *testing.T) {
	var n *standin.Node
	n = standin.NewNode(t, func(standin.Part) (string, string) { n.ResetConns(); return "", "" })
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
	if r := post(t, k, "exchange-post", 0); r.Status != 502 {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
}

// A part without an answer is hedged, the hedge answers, and the node of the first attempt receives its
// cancellation.
func TestLosingAttemptIsCancelled(t *testing.T) {
	a, b := standin.NewNode(t, answerNone), standin.NewNode(t, answerAll)
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0))))
	for len(a.Parts()) == 0 { // until the silent node is chosen
		if r := post(t, k, "rate-check", 0); r.Status != 200 {
			t.Fatalf("%d %s", r.Status, r.Body)
		}
	}
	standin.WaitFor(t, "the cancellation", func() bool { return len(a.Cancelled()) > 0 })
	if got, want := a.Cancelled()[0], a.Parts()[0].ID; got != want {
		t.Fatalf("%q is cancelled, want %q", got, want)
	}
}

// A connection carries a limited number of parts. A silent node blocks only itself.
func TestPartsBeyondAConnectionOpenAnother(t *testing.T) {
	a, b := standin.NewNode(t, answerNone), standin.NewNode(t, answerAll)
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 1))))
	var wg sync.WaitGroup
	for range 3 {
		wg.Add(1)
		go func() { defer wg.Done(); post(t, k, "rate-check", 0) }()
	}
	standin.WaitFor(t, "three parts", func() bool { return len(a.Parts()) >= 3 })
	if n := a.ConnsOpened(); n < 2 {
		t.Errorf("%d connections for three parts in flight", n)
	}
	if r := post(t, k, "rate-check", 1); r.Status != 200 {
		t.Errorf("%d: a silent node blocks others", r.Status)
	}
	wg.Wait()
}

// The watch continues from the last version, and its changes take effect: nothing new goes to a node that
// drains.
func TestWatchAndDrain(t *testing.T) {
	a, b := standin.NewNode(t, answerAll), standin.NewNode(t, answerAll)
	d := newDiscovery(t, hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0))
	k := startReady(t, testConfig(t, d))
	draining := hostAt("a", a.Addr, 0)
	draining.Health = "terminating"
	d.change(t, draining)
	standin.WaitFor(t, "the next watch", func() bool { return d.lastQuery() == "index=42&wait=1000" })
	if got := d.queries(); got[0] != "" || got[1] != "index=41&wait=1000" {
		t.Fatalf("%q", got)
	}
	// The list is queued before the next watch is sent, and queries follow it.
	expectNoParts(t, k, a)
	if n := len(a.Parts()); n != 0 {
		t.Fatalf("%d parts went to a node that drains", n)
	}
}

// Calls that wait for a connection to come up are queued. A drain withdraws them, and they have never run.
func TestDrainWithdrawsQueuedCalls(t *testing.T) {
	n := NewNodes(testConfig(t, newDiscovery(t)), lnet.NewBudget(10, 0), standin.DiscardLogger(), &core.Counts{},
		func(core.Event) {})
	id := core.ServerID("a")
	c := &nodeConn{backend: n, node: &node{id: id}, pending: map[string]*core.Attempt{},
		abandoned: map[string]time.Time{}, writtenAt: map[string]time.Time{}, wake: make(chan struct{}, 1)}
	n.nodes[id] = c.node
	c.node.conns = []*nodeConn{c}
	var all []*core.Attempt
	for i := range 4 {
		a := &core.Attempt{Query: &core.Query{Name: fmt.Sprint("q", i)}, Replica: id}
		call := []*core.Attempt{a}
		c.enqueue(frame{call: call, size: callSize(call)})
		all = append(all, a)
	}
	c.frames[0].started = true // the writer has it
	if !n.Cancel(all[2]) || n.Cancel(all[0]) {
		t.Fatal("only an attempt that has not started has never run")
	}
	if withdrawn := n.CancelQueued(id); len(withdrawn) != 2 || withdrawn[0] != all[1] || withdrawn[1] != all[3] {
		t.Fatalf("%v", withdrawn)
	}
	if c.inFlight != len(c.pending) {
		t.Fatalf("%d calls are counted, %d parts are pending", c.inFlight, len(c.pending))
	}
	// The queue still holds the call that the writer has, and the cancellation of its part.
	if len(c.frames) != 2 || len(c.frames[0].call) != 1 || c.frames[0].call[0] != all[0] ||
		string(c.frames[1].payload[4:]) != "2q0.0" {
		t.Fatalf("%+v", c.frames)
	}
	if want := c.frames[0].size + c.frames[1].size; c.queuedBytes != want {
		t.Fatalf("%d bytes are counted, %d are queued", c.queuedBytes, want)
	}
}

// After a restart the list known before it is enough to serve while discovery is silent.
func TestKnownListServesWhileDiscoveryIsSilent(t *testing.T) {
	a := standin.NewNode(t, answerAll)
	silent := standin.NewHTTPServer(t, func(string, url.Values) (int, string) { return 0, "" })
	c := testConfig(t, &discovery{addr: silent.Addr})
	c.Known = &hostList{Seq: 7, Complete: true, Hosts: []host{hostAt("a", a.Addr, 0)}}
	if r := post(t, startReady(t, c), "rate-check", 0); r.Status != 200 {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
}

// Guards against a drain that is not kept at a start: while discovery is silent, nothing goes to the nodes of
// the list known before, as one of them may have begun to drain since; from its first answer on, that holds.
func TestNothingIsSentBeforeDiscoveryAnswers(t *testing.T) {
	const silence = 2500 * time.Millisecond // within firstListWait
	a, b := standin.NewNode(t, answerAll), standin.NewNode(t, answerAll)
	draining := hostAt("a", a.Addr, 0)
	draining.Health = "terminating"
	d := newDiscovery(t, draining, hostAt("b", b.Addr, 0))
	d.mu.Lock()
	c := testConfig(t, d)
	c.Known = &hostList{Seq: 7, Complete: true, Hosts: []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}}
	k, err := Start(c, standin.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	for end := time.Now().Add(silence); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		up, r := standin.DoHTTP(t, k.Addr(), "GET", "/up", nil, ""), post(t, k, "rate-check", 0)
		if up.Status != 503 || r.Status != 503 || r.Header.Get("Retry-After") == "" {
			t.Fatalf("while discovery is silent: /up %d, a request %d", up.Status, r.Status)
		}
	}
	d.mu.Unlock()
	standin.WaitFor(t, "readiness", func() bool {
		return standin.DoHTTP(t, k.Addr(), "GET", "/up", nil, "").Status == 200
	})
	expectNoParts(t, k, a)
	if len(a.Parts()) != 0 || len(b.Parts()) == 0 {
		t.Errorf("%d parts went to the node that drains, %d to the other one", len(a.Parts()), len(b.Parts()))
	}
}

// Where a call is work for discovery, a start continues from the list known before it. If many
// coordinators that start together requested the full list, discovery could not deliver so many entries.
func TestPolledListContinuesFromTheKnownOne(t *testing.T) {
	a := standin.NewNode(t, answerAll)
	for mode, first := range map[string]string{"automatic": "", "subscribe": "index=41&wait=2500"} {
		d := newDiscovery(t, hostAt("a", a.Addr, 0))
		c := testConfig(t, d, `"membershipMode":"automatic"`, fmt.Sprintf(`"membershipMode":%q`, mode))
		c.Known = &hostList{Seq: 41, Complete: true, Hosts: []host{hostAt("a", a.Addr, 0)}}
		k := startReady(t, c)
		standin.WaitFor(t, "a call", func() bool { return len(d.queries()) > 0 })
		if got := d.queries()[0]; got != first {
			t.Errorf("%s: the first call was %q, want %q", mode, got, first)
		}
		if r := post(t, k, "rate-check", 0); r.Status != 200 {
			t.Errorf("%s: %d %s", mode, r.Status, r.Body)
		}
	}
}

// A reload moves the watch at once, even while a call to the old address is in flight, and starts with the
// full list. Open queries are answered, and known nodes serve while the new address is silent.
func TestReloadMovesTheWatch(t *testing.T) {
	release := make(chan struct{})
	a := standin.NewNode(t, func(p standin.Part) (string, string) { <-release; return answerAll(p) })
	b := standin.NewNode(t, answerAll)
	first := newDiscovery(t, hostAt("a", a.Addr, 0))
	first.silent = true
	k := startReady(t, testConfig(t, first))
	standin.WaitFor(t, "a call that waits", func() bool { return len(first.queries()) >= 2 })
	status := make(chan int, 1)
	go func() { status <- post(t, k, "rate-check", 0).Status }()
	standin.WaitFor(t, "the part", func() bool { return len(a.Parts()) > 0 })
	silent := standin.NewHTTPServer(t, func(string, url.Values) (int, string) { return 0, "" })
	start := time.Now()
	k.Reload(testConfig(t, &discovery{addr: silent.Addr}))
	standin.WaitFor(t, "the call to a silent address", func() bool { return len(silent.Requests()) >= 1 })
	calls := len(first.queries())
	if took := time.Since(start); took > pushTimes.undetectedSilence()/2 { // shorter than the call in flight
		t.Errorf("the move took %v", took)
	}
	close(release)
	if got := <-status; got != 200 {
		t.Errorf("the open request got %d", got)
	}
	second := newDiscovery(t, hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 1))
	k.Reload(testConfig(t, second))
	standin.WaitFor(t, "the watch at the new address", func() bool { return len(second.queries()) >= 2 })
	if got := second.queries(); got[0] != "" || got[1] != "index=41&wait=1000" {
		t.Errorf("%q", got)
	}
	if r := post(t, k, "rate-check", 0, 1); r.Status != 200 {
		t.Errorf("%d: known nodes or new ones are lost", r.Status)
	}
	if n := len(first.queries()); n != calls {
		t.Errorf("%d calls to the old address, %d at the move", n, calls)
	}
}

func TestNotReadyBeforeAnyList(t *testing.T) {
	silent := standin.NewHTTPServer(t, func(string, url.Values) (int, string) { return 0, "" })
	k, err := Start(testConfig(t, &discovery{addr: silent.Addr}), standin.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	standin.WaitFor(t, "the call for the list", func() bool { return len(silent.Requests()) > 0 })
	if r := standin.DoHTTP(t, k.Addr(), "GET", "/up", nil, ""); r.Status != 503 {
		t.Fatal(r.Status)
	}
}

// Guards against work that nobody sent: a request that another one hides in its body must not be read as one
// of its own, whichever of the two lengths of the body an earlier parser went by.
func TestHiddenRequestIsNotServed(t *testing.T) {
	n := standin.NewNode(t, answerAll)
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
	body := `{"slices":[{"slice":0,"mass":1}],"filter":"f"}`
	const line = "POST /rate-check HTTP/1.1\r\nHost: x\r\n"
	hidden := fmt.Sprintf(line+"X-Call-Id: hidden\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for name, head := range map[string]string{
		"a blank before the colon":   fmt.Sprintf("Content-Length : %d\r\n", len(chunks+hidden)),
		"a tab before the colon":     fmt.Sprintf("Content-Length\t: %d\r\n", len(chunks+hidden)),
		"both, well formed":          fmt.Sprintf("Content-Length: %d\r\n", len(chunks+hidden)),
		"behind an empty line of LF": fmt.Sprintf("Content-Length: %d\n\n", 0),
	} {
		c, err := net.Dial("tcp", k.Addr())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, line+"X-Call-Id: seen\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n"+chunks+hidden)
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		reply, _ := io.ReadAll(c) // up to the coordinator's close
		_ = c.Close()
		if !strings.HasPrefix(string(reply), "HTTP/1.1 400 ") || strings.Count(string(reply), "HTTP/1.1 ") != 1 {
			t.Errorf("%s: %q", name, reply)
		}
	}
	if parts := n.Parts(); len(parts) != 0 {
		t.Errorf("%+v went to a node", parts)
	}
}

// Shutdown in order: not ready at once, but still serving on connections that stay open; everything that
// was accepted is answered before the end.
func TestShutdownAnswersWhatWasTaken(t *testing.T) {
	a, b := standin.NewNode(t, answerNone), standin.NewNode(t, answerAll)
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 1))))
	c, err := lnet.Dial(k.Addr(), 5*time.Second, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	status := make(chan int, 1)
	go func() { status <- post(t, k, "rate-check", 0).Status }()
	standin.WaitFor(t, "the part", func() bool { return len(a.Parts()) > 0 })
	ended := make(chan struct{})
	go func() { k.Shutdown(); close(ended) }()
	standin.WaitFor(t, "the end of readiness", func() bool { return !k.front.ready.Load() })
	for n := range 2 {
		r, err := c.Do("POST", "/rate-check", k.Addr(), [][2]string{{"X-Call-Id", fmt.Sprint("kept", n)}},
			[]byte(`{"slices":[{"slice":1,"mass":1}],"filter":"f"}`), time.Now().Add(20*time.Second))
		if err != nil || r.Status != 200 || !c.Reusable() {
			t.Fatalf("request %d on a connection in use: %v %v", n, r, err)
		}
	}
	if r := post(t, k, "rate-check", 1); r.Status != 200 {
		t.Errorf("a new connection got %d", r.Status)
	}
	if got := <-status; got != 503 {
		t.Errorf("the open request got %d", got)
	}
	<-ended
}

// Datagrams reach the peer that they are for. One that is too long, or from an unknown sender, is dropped.
func TestDatagrams(t *testing.T) {
	c := testConfig(t, newDiscovery(t))
	var sockets []*net.UDPConn
	for range 3 {
		s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		sockets = append(sockets, s)
	}
	own, peer, stranger := sockets[0].LocalAddr().String(), sockets[1], sockets[2]
	_ = sockets[0].Close()
	c.PeerListen, c.Peers = own, []string{own, peer.LocalAddr().String()}
	got := make(chan core.Event, 10)
	p, err := listenPeers(c, standin.DiscardLogger(), func(e core.Event) { got <- e }, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.conn.Close() })
	go p.read()
	go p.write()
	p.Tell(1, strings.Repeat("x", maxDatagram+1))
	p.Tell(9, "nobody")
	p.Tell(1, "hello")
	buf := make([]byte, 1000)
	_ = peer.SetReadDeadline(time.Now().Add(20 * time.Second))
	if n, _, err := peer.ReadFromUDP(buf); err != nil || string(buf[:n]) != "hello" {
		t.Fatalf("%q %v", buf[:n], err)
	}
	to, _ := net.ResolveUDPAddr("udp", own)
	_, _ = stranger.WriteToUDP([]byte("x"), to)
	_, _ = peer.WriteToUDP(make([]byte, maxDatagram+1), to)
	_, _ = peer.WriteToUDP([]byte("back"), to)
	if m := (<-got).(core.PeerMessage); m.From != 1 || string(m.Data) != "back" {
		t.Fatalf("%+v", m)
	}
}

func TestBadRequestsAreAnswered(t *testing.T) {
	a := standin.NewNode(t, answerAll)
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", a.Addr, 0))))
	id := [2]string{"X-Call-Id", "x1"}
	key := [2]string{"Idempotency-Key", "k1"}
	good := `{"slices":[{"slice":0,"mass":1}],"filter":"f"}`
	for name, c := range map[string]struct {
		method, path, body string
		header             [][2]string
		want               int
	}{
		"unknown class":    {"POST", "/lunch", good, [][2]string{id}, 404},
		"no class":         {"POST", "/", good, [][2]string{id}, 404},
		"not a post":       {"GET", "/rate-check", "", [][2]string{id}, 405},
		"no id":            {"POST", "/rate-check", good, nil, 400},
		"id with a space":  {"POST", "/rate-check", good, [][2]string{{"X-Call-Id", "a b"}}, 400},
		"no key":           {"POST", "/exchange-post", good, [][2]string{id}, 400},
		"key with a comma": {"POST", "/exchange-post", good, [][2]string{id, {"Idempotency-Key", "a,d=1"}}, 400},
		"bad budget":       {"POST", "/rate-check", good, [][2]string{id, {"X-Budget", "soon"}}, 400},
		"budget NaN":       {"POST", "/rate-check", good, [][2]string{id, {"X-Budget", "NaN"}}, 400},
		"no body":          {"POST", "/rate-check", "", [][2]string{id}, 400},
		"not JSON":         {"POST", "/rate-check", "{", [][2]string{id}, 400},
		"JSON and more":    {"POST", "/rate-check", good + "x", [][2]string{id}, 400},
		"no slices":        {"POST", "/rate-check", `{"slices":[]}`, [][2]string{id}, 400},
		"slice without":    {"POST", "/rate-check", `{"slices":[{"mass":1}]}`, [][2]string{id}, 400},
		"unknown slice":    {"POST", "/rate-check", `{"slices":[{"slice":2}]}`, [][2]string{id}, 400},
		"slice twice":      {"POST", "/rate-check", `{"slices":[{"slice":0},{"slice":0}]}`, [][2]string{id}, 400},
		"no mass":          {"POST", "/rate-check", `{"slices":[{"slice":0,"mass":0}]}`, [][2]string{id}, 400},
		"mass is missing":  {"POST", "/rate-check", `{"slices":[{"slice":0}]}`, [][2]string{id}, 400},
		"mass below 0": {"POST", "/rate-check", `{"slices":[{"slice":0,"mass":-0.5},{"slice":1,"mass":1.5}]}`,
			[][2]string{id}, 400},
		"too little mass": {"POST", "/rate-check", `{"slices":[{"slice":0,"mass":0.4},{"slice":1,"mass":0.4}]}`,
			[][2]string{id}, 400},
		"too much mass": {"POST", "/rate-check", `{"slices":[{"slice":0,"mass":0.7},{"slice":1,"mass":0.7}]}`,
			[][2]string{id}, 400},
		"not UTF-8":       {"POST", "/rate-check", strings.Replace(good, `"f`, "\"\xff", 1), [][2]string{id}, 400},
		"half a pair":     {"POST", "/rate-check", strings.Replace(good, `"f`, `"\ud83d`, 1), [][2]string{id}, 400},
		"two ids":         {"POST", "/rate-check", good, [][2]string{id, {"X-Call-Id", "x2"}}, 400},
		"budget below 0":  {"POST", "/rate-check", good, [][2]string{id, {"X-Budget", "-1"}}, 400},
		"endless budget":  {"POST", "/rate-check", good, [][2]string{id, {"X-Budget", "Inf"}}, 400},
		"key with a line": {"POST", "/exchange-post", good, [][2]string{id, {"Idempotency-Key", "a\tb"}}, 400},
		"bad term":        {"POST", "/rate-check", `{"slices":[{"slice":0,"term":"x"}]}`, [][2]string{id}, 400},
		"up by post":      {"POST", "/up", "", nil, 405},
		"no time left":    {"POST", "/rate-check", good, [][2]string{id, {"X-Budget", "0"}}, 503},
		"good":            {"POST", "/exchange-post", good, [][2]string{id, key, {"X-Budget", "2.5"}}, 200},
	} {
		if r := standin.DoHTTP(t, k.Addr(), c.method, c.path, c.header, c.body); r.Status != c.want {
			t.Errorf("%s: %d, want %d", name, r.Status, c.want)
		} else if c.path != "/up" && c.want/100 == 4 && r.Header.Get("Connection") != "close" {
			t.Errorf("%s: the connection stays open", name)
		}
	}
	if n := len(a.Parts()); n != 1 {
		t.Errorf("%d parts reached the data node", n)
	}
}

// A request with the id of another client's open request is rejected, and the first request is unharmed.
func TestDuplicateIDOfAnOpenRequestIsRejected(t *testing.T) {
	release := make(chan struct{})
	a := standin.NewNode(t, func(p standin.Part) (string, string) { <-release; return answerAll(p) })
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", a.Addr, 0))))
	send := func() *lnet.Reply {
		return standin.DoHTTP(t, k.Addr(), "POST", "/rate-check", [][2]string{{"X-Call-Id", "same"}},
			`{"slices":[{"slice":0,"mass":1}],"filter":"f"}`)
	}
	first := make(chan *lnet.Reply, 1)
	go func() { first <- send() }()
	standin.WaitFor(t, "the part", func() bool { return len(a.Parts()) > 0 })
	if r := send(); r.Status != 409 || r.Header.Get("Connection") != "close" {
		t.Errorf("the second got %d", r.Status)
	}
	close(release)
	if r := <-first; r.Status != 200 || !strings.Contains(string(r.Body), `"v:same.0"`) {
		t.Errorf("the first got %d %s", r.Status, r.Body)
	}
}

// A part with a malformed answer has failed and may have run. The connection ends at once, and the part is
// retried on another one, possibly to the same node: any node may send malformed answers.
func TestMalformedAnswersEndTheConnection(t *testing.T) {
	frame := func(size int, rest string) string {
		return string(binary.LittleEndian.AppendUint32(nil, uint32(size))) + rest
	}
	for name, answer := range map[string]func(id string) string{
		"noise":            func(string) string { return "\xd8\x84\xe3`;\xc0\xa1\r\n\r\n" },
		"length 0":         func(id string) string { return frame(0, "5"+id+" S 1 -\nv") },
		"too long":         func(string) string { return frame(3_000_000_000, "5x.0 S 1 -\nv") },
		"length too small": func(id string) string { return frame(3, "5"+id+" S 1 -\nv") },
		"length too large": func(id string) string { return frame(len(id)+20, "5"+id+" S 1 -\nv") },
		"endless line":     func(id string) string { return frame(60000, "5"+strings.Repeat("x", 3000)) },
		"unknown letter":   func(id string) string { return frame(len(id)+9, "\x01"+id+" S 1 -\nv") },
		"unknown end":      func(id string) string { return frame(len(id)+9, "5"+id+" ? 1 -\nv") },
		"unknown id":       func(id string) string { return frame(len(id)+10, "5x"+id+" S 1 -\nv") },
		"no line":          func(string) string { return frame(2, "5x") },
		"could not use":    func(string) string { return frame(3, "Xno") },
	} {
		var first atomic.Bool
		n := standin.NewNode(t, func(p standin.Part) (string, string) {
			if first.CompareAndSwap(false, true) {
				return standin.RawReply, answer(p.ID)
			}
			return answerAll(p)
		})
		k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
		r := post(t, k, "rate-check", 0)
		if !strings.Contains(string(r.Body), `"body":"v:`) || n.ConnsOpened() != 2 || len(n.Parts()) != 2 {
			t.Errorf("%s: %d %s, %d parts on %d connections", name, r.Status, r.Body, len(n.Parts()), n.ConnsOpened())
		}
		if len(n.Cancelled()) != 0 {
			t.Errorf("%s: the part was waited for and cancelled", name)
		}
		k.Close()
	}
}

// A connection that falls silent, for example because a path lost its state, gets no new parts. Its parts
// in flight end as soon as the node answers on another connection, and not by a time-out each.
func TestSilentConnectionIsAbandoned(t *testing.T) {
	var answered atomic.Int32
	n := standin.NewNode(t, func(p standin.Part) (string, string) {
		if p.Conn == 1 && answered.Add(1) > 8 {
			return "", ""
		}
		return answerAll(p)
	})
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
	for range 8 {
		post(t, k, "rate-check", 0)
	}
	status := make(chan int, 1)
	go func() { status <- post(t, k, "rate-check", 0).Status }()
	standin.WaitFor(t, "the part that is not answered", func() bool { return len(n.Parts()) == 9 })
	for waits, start := true, time.Now(); waits; time.Sleep(minSilence) {
		select {
		case got := <-status:
			if waits = false; got != 200 {
				t.Errorf("the request on the silent connection got %d", got)
			}
		default:
			if time.Since(start) < maxSilence { // until then it may pass for a slow one
				continue
			}
			if r := post(t, k, "rate-check", 0); r.Status != 200 {
				t.Fatalf("%d: the silent connection is still used", r.Status)
			}
		}
	}
	if unanswered := answered.Load() - 8; unanswered > 1 {
		t.Errorf("%d parts went on the silent connection", unanswered)
	}
}

// Bytes behind a good answer that cannot be the rest of its value don't affect it, and the connection gets no
// new parts. A malformed load report affects neither.
func TestBytesBehindAGoodAnswer(t *testing.T) {
	good := func(p standin.Part, report string) string {
		line := "5" + p.ID + " S 1 " + report + "\nv:" + p.ID
		return string(binary.LittleEndian.AppendUint32(nil, uint32(len(line)))) + line
	}
	const noise = "\xd8\x84\xe3`;\xc0\xa1\r\n\r\n"
	for name, c := range map[string]struct {
		answer func(p standin.Part) string
		conns  int
	}{
		"a second copy":     {func(p standin.Part) string { return good(p, "-") + good(p, "-") }, 2},
		"three bytes":       {func(p standin.Part) string { return good(p, "-") + "\x09\x00\x00" }, 2},
		"noise":             {func(p standin.Part) string { return good(p, "-") + noise }, 2},
		"twenty bytes":      {func(p standin.Part) string { return good(p, "-") + strings.Repeat("\xff", 20) }, 2},
		"unreadable report": {func(p standin.Part) string { return good(p, "rps=\x00,, =;") }, 1},
		"report of words":   {func(p standin.Part) string { return good(p, "all is well") }, 1},
	} {
		n := standin.NewNode(t, func(p standin.Part) (string, string) { return standin.RawReply, c.answer(p) })
		k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
		for range 2 {
			if r := post(t, k, "exchange-post", 0); !strings.Contains(string(r.Body), `"body":"v:`) {
				t.Errorf("%s: %d %s", name, r.Status, r.Body)
			}
			if c.conns > 1 {
				standin.WaitFor(t, "the end of the connection", func() bool {
					return len(k.nodes.connsTo(core.ServerID("a"))) == 0
				})
			}
		}
		if n.ConnsOpened() != c.conns || len(n.Parts()) != 2 {
			t.Errorf("%s: %d parts on %d connections", name, len(n.Parts()), n.ConnsOpened())
		}
		k.Close()
	}
}

// A node that was replaced is deleted, but not before the last attempt in flight to it has ended.
func TestReplacedNodesAreDeleted(t *testing.T) {
	release := make(chan struct{})
	a := standin.NewNode(t, func(p standin.Part) (string, string) { <-release; return answerAll(p) })
	b := standin.NewNode(t, answerAll)
	d := newDiscovery(t, hostAt("a", a.Addr, 0), hostAt("x", "127.0.0.1:1", 1))
	k := startReady(t, testConfig(t, d))
	status := make(chan int, 1)
	go func() { status <- post(t, k, "rate-check", 0).Status }()
	standin.WaitFor(t, "the part", func() bool { return len(a.Parts()) > 0 })
	known := func() int {
		k.nodes.mu.Lock()
		defer k.nodes.mu.Unlock()
		return len(k.nodes.nodes)
	}
	gone, idle := hostAt("a", a.Addr, 0), hostAt("x", "127.0.0.1:1", 1)
	gone.Health, idle.Health = "terminated", "terminated"
	d.change(t, gone, idle, hostAt("b", b.Addr, 0))
	standin.WaitFor(t, "the end of the idle node", func() bool { return known() == 2 })
	close(release)
	if got := <-status; got != 200 {
		t.Errorf("the open request got %d", got)
	}
	standin.WaitFor(t, "the end of the other node", func() bool { return known() == 1 })
	if r := post(t, k, "rate-check", 0); r.Status != 200 || len(b.Parts()) != 1 {
		t.Errorf("%d, %d parts at the new node", r.Status, len(b.Parts()))
	}
}

// blockedWriter is a stream that nobody reads.
type blockedWriter struct{ free chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) { <-s.free; return len(p), nil }

// A log that nobody reads must not block its callers, the core's goroutine among them.
func TestLogNeverBlocks(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	log, flush := NewLog(s, 0)
	for range 3 * logQueue {
		log.Info("a line")
	}
	flush()
	close(s.free)
	var out strings.Builder
	log, flush = NewLog(&out, 0)
	log.Info("the last line")
	flush()
	if !strings.Contains(out.String(), "the last line") {
		t.Fatalf("%q", out.String())
	}
}

func TestParseAnswer(t *testing.T) {
	a, err := parseAnswer([]byte("x.3 S 18 inflight=7,util=0.61\nva\nlue"))
	if err != nil || a.id != "x.3" || a.outcome != balance.OK || string(a.value) != "va\nlue" {
		t.Fatalf("%+v %v", a, err)
	}
	for in, want := range map[string]balance.Outcome{"x E 1 -\n": balance.Error, "x B 1 -\n": balance.Busy} {
		if a, err := parseAnswer([]byte(in)); err != nil || a.outcome != want {
			t.Errorf("%q: %+v %v", in, a, err)
		}
	}
	for _, in := range []string{"", "x S 1 -", "x S 1\n", " S 1 -\n", "x Z 1 -\n"} {
		if _, err := parseAnswer([]byte(in)); err == nil {
			t.Errorf("%q is accepted", in)
		}
	}
}

// Any input is either an answer or an error.
func FuzzParseAnswer(f *testing.F) {
	f.Add([]byte("x.3 S 18 inflight=7,util=0.61\nvalue"))
	c := &Config{ReportColumns: []string{"rps", "waiting"}}
	f.Fuzz(func(t *testing.T, in []byte) {
		if a, err := parseAnswer(in); err == nil && (a.id == "" || len(c.parseReport(a.report))%2 != 0) {
			t.Fatalf("%+v", a)
		}
	})
}

func TestReportIsReadByName(t *testing.T) {
	c := &Config{ReportColumns: []string{"rps", "waiting"}}
	for in, want := range map[string]string{"queue=3,qps=7.5": "[7.5 3]", "waiting=3,x=1,rps=2": "[2 3]",
		"-": "[]", "queue=3": "[]", "queue=3,qps=bad": "[]", "queue=-3,qps=1": "[]", "queue=NaN,qps=1": "[]"} {
		if got := fmt.Sprint(c.parseReport(in)); got != want {
			t.Errorf("%q: %s, want %s", in, got, want)
		}
	}
}

func TestParseConfig(t *testing.T) {
	c := testConfig(t, &discovery{addr: "127.0.0.1:1"})
	if c.Module.MaxAttempts != 4 || len(c.Classes) != 2 || c.Classes[1] != "exchange-post" || c.Shards != 2 ||
		c.Module.Classes[1].Effect != balance.Keyed || c.Zones[1] != "brno" || c.StreamsPerConn != 2 ||
		c.Module.Tick != 5000 || c.seed() != 0x8c1f30d27a5be964 || c.Module.ReportQueue != 1 {
		t.Fatalf("%+v", c)
	}
	for edited, want := range map[string]string{
		``:                                   "",
		`{"listen":"a:1"}`:                   "discovery",
		`{"discovery":"a:1"}`:                "listen",
		`{"listen":"a:1","discovery":"b:1"}`: "setting",
		`{"listen":"a","discovery":"b:1"}`:   "listen",
		`{"listen":"a:1","discovery":"b"}`:   "discovery",
		`{"listen":"a:1","discovery":"b:1","peers":["c"]}`:            "peers",
		`{"listen":"a:1","discovery":"b:1","seed":"x","settings":{}}`: "seed",
		`{"listen":"a:1","discovery":"b:1","settings":` +
			strings.Replace(testSettings, `"sendCap":4`, `"sendCap":0`, 1) + `}`: "MaxAttempts",
		`{"listen":"a:1","discovery":"b:1","settings":` +
			strings.Replace(testSettings, `"name":"rate-check",`, ``, 1) + `}`: "lanes.0.name",
	} {
		_, err := Parse([]byte(edited), func(string) string { return "" })
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60s: %v", edited, err)
		}
	}
}

func TestReplicasOfAList(t *testing.T) {
	c := &Config{Zones: []string{"praha", "brno"}}
	got := c.replicas([]host{{Host: "a", Site: "brno", Block: 3, Health: "in_service", Share: 1.5, Born: 1000},
		{Host: "b", Site: "x", Health: "terminating"}, {Host: "c", Health: "terminated"}})
	if r := got[0]; r.ID != core.ServerID("a") || r.Zone != 1 || r.Cell != 3 || r.State != balance.Ready ||
		r.Size != 1.5 || r.Started != 1_000_000 {
		t.Fatalf("%+v", r)
	}
	if got[1].State != balance.Draining || got[1].Zone != -1 || got[2].State != balance.Removed {
		t.Fatalf("%+v", got)
	}
}

// counters reads the counters at the admin endpoint.
func counters(t *testing.T, k *Coordinator) admin.Counters {
	t.Helper()
	r := standin.DoHTTP(t, k.AdminAddr(), "GET", "/admin/stats", nil, "")
	var f admin.Counters
	if err := json.Unmarshal(r.Body, &f); err != nil || r.Status != 200 {
		t.Fatalf("%d %s: %v", r.Status, r.Body, err)
	}
	return f
}

// adminConfig is a test configuration with an admin endpoint.
func adminConfig(t *testing.T, d *discovery, edit ...string) *Config {
	c := testConfig(t, d, edit...)
	c.Operator = "127.0.0.1:0"
	return c
}

// The counters match what clients and data nodes see: each reply counts once and in its class, each
// attempt when it is written, and a request is open until it ends, also when its client leaves.
func TestCountersAreCorrect(t *testing.T) {
	var silent atomic.Bool
	n := standin.NewNode(t, func(p standin.Part) (string, string) {
		if silent.Load() {
			return "", ""
		}
		return "S", "v"
	})
	k := startReady(t, adminConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
	post(t, k, "rate-check", 0)
	post(t, k, "exchange-post", 0)
	post(t, k, "exchange-post", 1) // no node holds the shard
	post(t, k, "exchange-post", 7) // the shard does not exist
	f := counters(t, k)
	if f.OK["rate-check"] != 1 || f.OK["exchange-post"] != 1 || f.Shed["exchange-post"] != 1 ||
		f.Errors["exchange-post"] != 1 || f.Errors["rate-check"] != 0 {
		t.Fatalf("%+v", f)
	}
	if f.Tries != int64(len(n.Parts())) || f.PoolSize != 1 || f.PoolEjected != 0 || f.Active != 0 {
		t.Fatalf("%+v, and %d attempts came", f, len(n.Parts()))
	}
	silent.Store(true)
	c, err := lnet.Dial(k.Addr(), time.Second, 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	body := []byte(`{"slices":[{"slice":0,"mass":1}],"filter":"f"}`)
	if err := c.Write("POST", "/rate-check", "x", [][2]string{{"X-Call-Id", "left"}}, body,
		time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	standin.WaitFor(t, "an open request", func() bool { return counters(t, k).Active == 1 })
	c.Close()
	standin.WaitFor(t, "its end", func() bool { return counters(t, k).Active == 0 })
}

// A cordoned node gets nothing new, whatever the list says, until it is uncordoned. Then it is used again.
// One uncordon undoes two cordons.
func TestCordonHoldsWhateverTheListSays(t *testing.T) {
	a, b := standin.NewNode(t, answerAll), standin.NewNode(t, answerAll)
	d := newDiscovery(t, hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0))
	k := startReady(t, adminConfig(t, d))
	call := func(name, id string, want int) {
		t.Helper()
		if r := standin.DoHTTP(t, k.AdminAddr(), "POST", "/admin/"+name, nil, id); r.Status != want {
			t.Fatalf("%s %s: %d %s", name, id, r.Status, r.Body)
		}
	}
	call("cordon", "c", 404)
	call("cordon", "a", 200)
	call("cordon", "a", 200)
	standin.WaitFor(t, "the counters", func() bool {
		f := counters(t, k)
		return f.PoolSize == 2 && f.PoolEjected == 1
	})
	before := len(a.Parts())
	again := hostAt("a", a.Addr, 0)
	again.Born = float64(time.Now().UnixMilli())
	d.change(t, again)
	standin.WaitFor(t, "the change", func() bool { return d.lastQuery() == "index=42&wait=1000" })
	for range 20 {
		if r := post(t, k, "rate-check", 0); r.Status != 200 {
			t.Fatalf("%d", r.Status)
		}
	}
	if n := len(a.Parts()) - before; n != 0 {
		t.Fatalf("%d parts went to a cordoned node", n)
	}
	call("uncordon", "a", 200)
	standin.WaitFor(t, "use of the uncordoned node", func() bool {
		post(t, k, "rate-check", 0)
		return len(a.Parts()) > before
	})
}
