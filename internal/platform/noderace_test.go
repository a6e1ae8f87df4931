package platform

// Races on connections to data nodes. Each one is forced by a connection that blocks its writer at the
// critical point until the other side has acted.

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/standin"
)

// heldConn is a connection whose Write blocks until it may return, after all or only a part of the bytes
// were sent.
type heldConn struct {
	net.Conn
	writing chan []byte   // receives what is written
	result  chan error    // the result of Write; on an error only a part was sent
	closed  chan struct{} // receives at each Close
}

func newHeldConn() *heldConn {
	return &heldConn{writing: make(chan []byte, 1), result: make(chan error), closed: make(chan struct{}, 4)}
}

func (h *heldConn) Write(b []byte) (int, error) {
	h.writing <- append([]byte(nil), b...)
	if err := <-h.result; err != nil {
		return len(b) / 2, err
	}
	return len(b), nil
}
func (h *heldConn) Close() error                     { h.closed <- struct{}{}; return nil }
func (h *heldConn) SetWriteDeadline(time.Time) error { return nil }

// newAttempt returns an attempt with plenty of time left.
func newAttempt(name string, id balance.ReplicaID) *core.Attempt {
	return &core.Attempt{Query: &core.Query{Name: name}, Replica: id, Timeout: 10 * time.Second,
		Deadline: time.Now().Add(10 * time.Second)}
}

// nodesWithOutcomes returns a Nodes for one node without a network, and a channel with its outcomes.
func nodesWithOutcomes(t *testing.T, edit ...string) (n *Nodes, id balance.ReplicaID,
	outcomes chan core.AttemptDone) {
	t.Helper()
	outcomes = make(chan core.AttemptDone, 16)
	edit = append(edit, `"streamsPerConn":2`, `"streamsPerConn":20`) // all on the one that is blocked
	n = NewNodes(testConfig(t, newDiscovery(t), edit...), lnet.NewBudget(10, 0), standin.DiscardLogger(),
		&core.Counts{}, func(e core.Event) {
			if o, ok := e.(core.AttemptDone); ok {
				outcomes <- o
			}
		})
	return n, core.ServerID("a"), outcomes
}

func (n *Nodes) attach(id balance.ReplicaID) *nodeConn {
	c := &nodeConn{backend: n, node: &node{id: id, addr: "127.0.0.1:9"},
		pending: map[string]*core.Attempt{}, abandoned: map[string]time.Time{},
		writtenAt: map[string]time.Time{}, wake: make(chan struct{}, 1),
		lastUsed: time.Now(), openedAt: time.Now()}
	n.nodes[id] = c.node
	c.node.conns = []*nodeConn{c}
	return c
}

// Discovery announces that a node drains while a call for it is queued, and the core has not processed the
// list yet. The call must not start. Once the node is back in service, a call starts.
func TestNoCallBeginsOnceTheListSaysThatItsNodeDrains(t *testing.T) {
	n, id, outcomes := nodesWithOutcomes(t)
	c := n.attach(id)
	late := newAttempt("late", id)
	if !n.Send(id, []*core.Attempt{late}) {
		t.Fatal("not queued")
	}
	hosts := []Host{{Host: "a", Dial: c.node.addr, Health: terminating, Share: 1}}
	n.UpdateHosts(hosts, true)
	held := newHeldConn()
	c.conn, c.writeConn, c.connected = held, held, true
	go c.writeLoop(held)
	if o := nextOutcome(t, outcomes); o.Attempt != late || o.Outcome != balance.NotSent {
		t.Fatalf("%+v", o)
	}
	hosts[0].Health = inService
	n.UpdateHosts(hosts, true)
	if !n.Send(id, []*core.Attempt{newAttempt("again", id)}) {
		t.Fatal("not queued")
	}
	select {
	case b := <-held.writing:
		if !strings.Contains(string(b), "again.0") {
			t.Errorf("%q was written", b)
		}
	case o := <-outcomes:
		t.Errorf("%+v", o)
	case <-time.After(10 * time.Second):
		t.Error("nothing was written")
	}
	held.result <- nil
	c.close(nil)
}

func nextOutcome(t *testing.T, outcomes chan core.AttemptDone) core.AttemptDone {
	t.Helper()
	select {
	case o := <-outcomes:
		return o
	case <-time.After(10 * time.Second):
		t.Fatal("no outcome")
		return core.AttemptDone{}
	}
}

// The node resets the connection after the frame's last byte was sent and before the writer has recorded
// that: the part may have run. If the write itself fails, its last byte was not sent and the part never
// ran. In both cases the frames queued behind it never ran.
func TestResetBetweenWriteAndMarkWritten(t *testing.T) {
	for _, x := range []struct {
		write error
		first balance.Outcome
	}{{nil, balance.Reset}, {errors.New("broken pipe"), balance.NoConnection}} {
		n, id, outcomes := nodesWithOutcomes(t)
		c, held := n.attach(id), newHeldConn()
		c.conn, c.writeConn, c.connected = held, held, true
		first, second := newAttempt("q1", id), newAttempt("q2", id)
		if !n.Send(id, []*core.Attempt{first}) || !n.Send(id, []*core.Attempt{second}) {
			t.Fatal("not queued")
		}
		go c.writeLoop(held)
		<-held.writing
		c.close(errors.New("connection reset by peer")) // as the reader does
		if o := nextOutcome(t, outcomes); o.Attempt != second || o.Outcome != balance.NoConnection {
			t.Fatalf("the attempt queued behind: %+v", o)
		}
		held.result <- x.write
		if o := nextOutcome(t, outcomes); o.Attempt != first || o.Outcome != x.first {
			t.Fatalf("write %v: outcome %v, not %v", x.write, o.Outcome, x.first)
		}
	}
}

// While an attempt waits for its connection, its client leaves, its query is answered, the window for
// repeats closes, or its time ends. It must not start, and the module learns that it never ran.
func TestExpiredAttemptsAreNotWritten(t *testing.T) {
	n, id, outcomes := nodesWithOutcomes(t)
	c, held := n.attach(id), newHeldConn()
	c.conn, c.writeConn, c.connected = held, held, true
	k, err := core.New(core.Config{Settings: n.cfg.Load().Module, Log: standin.DiscardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	running := newAttempt("q0", id)
	left, windowOver, expired, valid := newAttempt("q1", id), newAttempt("q2", id), newAttempt("q3", id),
		newAttempt("q4", id)
	windowOver.StartBy = time.Now()
	expired.Deadline = time.Now()
	valid.StartBy = time.Now().Add(time.Minute)
	n.Send(id, []*core.Attempt{running})
	go c.writeLoop(held)
	<-held.writing
	for _, a := range []*core.Attempt{left, windowOver, expired, valid} { // behind a frame that is being written
		if !n.Send(id, []*core.Attempt{a}) {
			t.Fatal("not queued")
		}
	}
	k.Abandon(left.Query)
	held.result <- nil
	for _, a := range []*core.Attempt{left, windowOver, expired} {
		if o := nextOutcome(t, outcomes); o.Attempt != a || o.Outcome != balance.NotSent {
			t.Fatalf("%s: %+v", a.Query.Name, o)
		}
	}
	if text := string(<-held.writing); !strings.Contains(text, "q4.0 ") {
		t.Fatalf("%q", text)
	}
	held.result <- nil
	c.close(nil)
}

// A call carries the time that is left when it starts, and leaves out parts that were cancelled meanwhile.
func TestCallIsEncodedWhenItBegins(t *testing.T) {
	n, id, _ := nodesWithOutcomes(t)
	c, held := n.attach(id), newHeldConn()
	c.conn, c.writeConn, c.connected = held, held, true
	all := []*core.Attempt{newAttempt("q1", id), newAttempt("q2", id), newAttempt("q3", id)}
	for _, a := range all {
		a.Deadline = time.Now().Add(2 * time.Second) // it has waited for a connection since
	}
	all[2].Query.Key, all[2].Query.Payload = "key", []byte("text")
	n.Send(id, all)
	if !n.Cancel(all[1]) {
		t.Fatal("a part of a call that has not started has never run")
	}
	go c.writeLoop(held)
	var wait [2]int
	text := string(<-held.writing)
	format := "q1.0 0 d=%d 0\nq3.0 0 d=%d,k=key 4\ntext"
	if _, err := fmt.Sscanf(text[5:], format, &wait[0], &wait[1]); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	if wait[0] > 2000 || wait[1] > 2000 || wait[0] < 1 {
		t.Fatalf("the call carries %v ms, 2000 were left", wait)
	}
	held.result <- nil
	c.close(nil)
}

// Where the settings forbid cancellation the node is not told, not even of an attempt whose time is over.
func TestNoCancelIsSentWhereItIsForbidden(t *testing.T) {
	n, id, _ := nodesWithOutcomes(t, `"cancel":true`, `"cancel":false`)
	c, held := n.attach(id), newHeldConn()
	c.conn, c.writeConn, c.connected = held, held, true
	a, b := newAttempt("q1", id), newAttempt("q2", id)
	n.Send(id, []*core.Attempt{a})
	go c.writeLoop(held)
	<-held.writing
	held.result <- nil
	standin.WaitFor(t, "the frame to be marked written", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.writtenAt) == 1
	})
	if n.Cancel(a) {
		t.Fatal("it may have run")
	}
	n.Send(id, []*core.Attempt{b})
	if text := <-held.writing; text[4] != '1' {
		t.Fatalf("%q was written", text)
	}
	held.result <- nil
	c.close(nil)
}

// A connection that is closed while idle accepts no call. A call at that moment goes to another
// connection; one that was already queued has never run, and the node is not to blame.
func TestCallAtTheCloseOfAnIdleConnection(t *testing.T) {
	n, id, outcomes := nodesWithOutcomes(t)
	c := n.attach(id)
	c.conn, c.connected = newHeldConn(), true
	a := newAttempt("q1", id)
	n.Send(id, []*core.Attempt{a})
	c.retire() // between the check whether it is idle and the close
	if ok, closing := c.enqueue(frame{call: []*core.Attempt{newAttempt("q2", id)}, size: 1}); ok || !closing {
		t.Fatal("a call was queued on a connection that is closing")
	}
	c.close(nil)
	if o := nextOutcome(t, outcomes); o.Attempt != a || o.Outcome != balance.NotSent {
		t.Fatalf("%+v", o)
	}
}

// Idle clients and incomplete requests use every descriptor that clients may have, while discovery is
// down. An answer that is due is still given, discovery is still called, and nodes that it then announces
// get connections, more than were reserved for them: idle clients make room.
func TestCrowdLeavesDescriptorsForOthers(t *testing.T) {
	release := make(chan struct{})
	slow := standin.NewNode(t, func(p standin.Part) (string, string) { <-release; return answerAll(p) })
	slow.Concurrent.Store(true)
	var down atomic.Bool
	hosts := []host{hostAt("slow", slow.Addr, 0)}
	d := newScripted(t, func(n int, query string, c *net.TCPConn) {
		if !down.Load() && query == "" {
			writeList(c, listBody(n, true, hosts...))
		}
	})
	cfg := testConfig(t, &discovery{addr: d.addr})
	cfg.Limits.Sockets = 1 // the smallest possible budget: 32, of which 8 are reserved for nodes
	k := startReady(t, cfg)
	status := make(chan int, 1)
	go func() { status <- post(t, k, "rate-check", 0).Status }()
	standin.WaitFor(t, "the part", func() bool { return len(slow.Parts()) > 0 })
	down.Store(true)
	for i := range 60 {
		c, err := net.Dial("tcp", k.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if i%2 == 0 {
			fmt.Fprint(c, "POST /rate-check HTTP/1.1\r\nHo")
		} else {
			fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
		}
	}
	close(release) // within its aim
	if got := <-status; got != 200 {
		t.Fatalf("the request that was open got %d", got)
	}
	calls := d.count()
	standin.WaitFor(t, "further calls for the list", func() bool { return d.count() > calls+2 })
	var nodes []*standin.Node
	hosts = nil
	for i := range 20 {
		n := standin.NewNode(t, answerAll)
		nodes = append(nodes, n)
		hosts = append(hosts, hostAt(fmt.Sprint("n", i), n.Addr, 0))
	}
	down.Store(false)
	standin.WaitFor(t, "the list", func() bool { return k.core.Counts().ListedServers.Load() == 20 })
	standin.WaitFor(t, "connections to more nodes than descriptors were reserved for", func() bool {
		post(t, k, "rate-check", 0)
		opened := 0
		for _, n := range nodes {
			opened += min(1, n.ConnsOpened())
		}
		return opened > 12
	})
}
