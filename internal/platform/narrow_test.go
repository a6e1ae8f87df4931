package platform

// Crossings at the data nodes' connections: each is forced, by a connection that holds its writer at the very
// point until the other side has come.

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

// heldConn is a connection whose Write waits, with all bytes or only a part of them gone, until it may
// return.
type heldConn struct {
	net.Conn
	writing chan []byte   // hears what is written
	goOn    chan error    // what Write returns; with an error a part only is out
	closed  chan struct{} // by Close
}

func newHeldConn() *heldConn {
	return &heldConn{writing: make(chan []byte, 1), goOn: make(chan error), closed: make(chan struct{}, 4)}
}

func (h *heldConn) Write(b []byte) (int, error) {
	h.writing <- append([]byte(nil), b...)
	if err := <-h.goOn; err != nil {
		return len(b) / 2, err
	}
	return len(b), nil
}
func (h *heldConn) Close() error                     { h.closed <- struct{}{}; return nil }
func (h *heldConn) SetWriteDeadline(time.Time) error { return nil }

// soon is an attempt that the core waits for.
func soon(name string, id balance.ReplicaID) *core.Attempt {
	return &core.Attempt{Query: &core.Query{Name: name}, Replica: id, Timeout: 10 * time.Second,
		Deadline: time.Now().Add(10 * time.Second)}
}

// wired is a way to one node, over connections that the test makes.
func wired(t *testing.T, edit ...string) (n *Nodes, id balance.ReplicaID, told chan core.AttemptDone) {
	t.Helper()
	told = make(chan core.AttemptDone, 16)
	edit = append(edit, `"streamsPerConn":2`, `"streamsPerConn":20`) // all on the one that the test holds
	n = NewNodes(config(t, newDiscovery(t), edit...), lnet.NewBudget(10, 0), standin.DiscardLogger(), &core.Counts{},
		func(e core.Event) {
			if o, ok := e.(core.AttemptDone); ok {
				told <- o
			}
		})
	return n, core.ServerID("a"), told
}

func (n *Nodes) attach(id balance.ReplicaID) *nodeConn {
	c := &nodeConn{n: n, node: &node{id: id, addr: "127.0.0.1:9"},
		waiting: map[string]*core.Attempt{}, given: map[string]time.Time{},
		written: map[string]time.Time{}, wake: make(chan struct{}, 1),
		used: time.Now(), opened: time.Now()}
	n.nodes[id] = c.node
	c.node.conns = []*nodeConn{c}
	return c
}

// Discovery tells that a node drains while a call for it is queued, and the core has not come to take the
// list in: the call is not begun. One that the node may have is.
func TestNoCallBeginsOnceTheListSaysThatItsNodeDrains(t *testing.T) {
	n, id, told := wired(t)
	c := n.attach(id)
	late := soon("late", id)
	if !n.Send(id, []*core.Attempt{late}) {
		t.Fatal("not queued")
	}
	hosts := []Host{{Host: "a", Dial: c.node.addr, Health: terminating, Share: 1}}
	n.UpdateHosts(hosts, true)
	held := newHeldConn()
	c.c, c.socket, c.up = held, held, true
	go c.writeLoop(held)
	if o := outcome(t, told); o.Attempt != late || o.Outcome != balance.NotSent {
		t.Fatalf("%+v", o)
	}
	hosts[0].Health = inService
	n.UpdateHosts(hosts, true)
	if !n.Send(id, []*core.Attempt{soon("again", id)}) {
		t.Fatal("not queued")
	}
	select {
	case b := <-held.writing:
		if !strings.Contains(string(b), "again.0") {
			t.Errorf("%q is written", b)
		}
	case o := <-told:
		t.Errorf("%+v", o)
	case <-time.After(10 * time.Second):
		t.Error("nothing is written")
	}
	held.goOn <- nil
	c.end(nil)
}

func outcome(t *testing.T, told chan core.AttemptDone) core.AttemptDone {
	t.Helper()
	select {
	case o := <-told:
		return o
	case <-time.After(10 * time.Second):
		t.Fatal("no outcome")
		return core.AttemptDone{}
	}
}

// The node resets the connection after the frame's last byte has gone and before the writer has booked that:
// the part may have run. Where the write itself fails its last byte is not out, and it never ran. Either way
// what is queued behind it never ran.
func TestResetBetweenTheWriteAndItsBooking(t *testing.T) {
	for _, x := range []struct {
		write error
		first balance.Outcome
	}{{nil, balance.Reset}, {errors.New("broken pipe"), balance.NoConnection}} {
		n, id, told := wired(t)
		c, h := n.attach(id), newHeldConn()
		c.c, c.socket, c.up = h, h, true
		first, second := soon("q1", id), soon("q2", id)
		if !n.Send(id, []*core.Attempt{first}) || !n.Send(id, []*core.Attempt{second}) {
			t.Fatal("not queued")
		}
		go c.writeLoop(h)
		<-h.writing
		c.end(errors.New("connection reset by peer")) // the reader's word
		if o := outcome(t, told); o.Attempt != second || o.Outcome != balance.NoConnection {
			t.Fatalf("what was queued behind: %+v", o)
		}
		h.goOn <- x.write
		if o := outcome(t, told); o.Attempt != first || o.Outcome != x.first {
			t.Fatalf("write %v: outcome %v, not %v", x.write, o.Outcome, x.first)
		}
	}
}

// While an attempt waits for its connection its client leaves, its query gets an answer, the window for
// repeats closes, or its time ends: it does not begin. The module hears that it never ran.
func TestWhatMayNotBeginAnyMoreIsNotWritten(t *testing.T) {
	n, id, told := wired(t)
	c, h := n.attach(id), newHeldConn()
	c.c, c.socket, c.up = h, h, true
	k, err := core.New(core.Config{Settings: n.conf.Load().Module, Log: standin.DiscardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	running := soon("q0", id)
	left, past, over, good := soon("q1", id), soon("q2", id), soon("q3", id), soon("q4", id)
	past.StartBy = time.Now()
	over.Deadline = time.Now()
	good.StartBy = time.Now().Add(time.Minute)
	n.Send(id, []*core.Attempt{running})
	go c.writeLoop(h)
	<-h.writing
	for _, a := range []*core.Attempt{left, past, over, good} { // behind a frame that is being written
		if !n.Send(id, []*core.Attempt{a}) {
			t.Fatal("not queued")
		}
	}
	k.Abandon(left.Query)
	h.goOn <- nil
	for _, a := range []*core.Attempt{left, past, over} {
		if o := outcome(t, told); o.Attempt != a || o.Outcome != balance.NotSent {
			t.Fatalf("%s: %+v", a.Query.Name, o)
		}
	}
	if words := string(<-h.writing); !strings.Contains(words, "q4.0 ") {
		t.Fatalf("%q", words)
	}
	h.goOn <- nil
	c.end(nil)
}

// The time that a call tells is what is left when it begins, and parts that were given up meanwhile are not
// in it.
func TestCallIsWordedWhenItBegins(t *testing.T) {
	n, id, _ := wired(t)
	c, h := n.attach(id), newHeldConn()
	c.c, c.socket, c.up = h, h, true
	all := []*core.Attempt{soon("q1", id), soon("q2", id), soon("q3", id)}
	for _, a := range all {
		a.Deadline = time.Now().Add(2 * time.Second) // a connection was waited for since
	}
	all[2].Query.Key, all[2].Query.Payload = "key", []byte("text")
	n.Send(id, all)
	if !n.Cancel(all[1]) {
		t.Fatal("a part of a call that is not begun has never run")
	}
	go c.writeLoop(h)
	var wait [2]int
	words := string(<-h.writing)
	form := "q1.0 0 d=%d 0\nq3.0 0 d=%d,k=key 4\ntext"
	if _, err := fmt.Sscanf(words[5:], form, &wait[0], &wait[1]); err != nil {
		t.Fatalf("%q: %v", words, err)
	}
	if wait[0] > 2000 || wait[1] > 2000 || wait[0] < 1 {
		t.Fatalf("%v ms are told, 2000 were left", wait)
	}
	h.goOn <- nil
	c.end(nil)
}

// Where the settings forbid to call an attempt off the node is not told, neither of one whose time is over.
func TestNothingIsCalledOffWhereThatIsForbidden(t *testing.T) {
	n, id, _ := wired(t, `"cancel":true`, `"cancel":false`)
	c, h := n.attach(id), newHeldConn()
	c.c, c.socket, c.up = h, h, true
	a, b := soon("q1", id), soon("q2", id)
	n.Send(id, []*core.Attempt{a})
	go c.writeLoop(h)
	<-h.writing
	h.goOn <- nil
	standin.WaitFor(t, "the frame to be booked", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.written) == 1
	})
	if n.Cancel(a) {
		t.Fatal("it may have run")
	}
	n.Send(id, []*core.Attempt{b})
	if words := <-h.writing; words[4] != '1' {
		t.Fatalf("%q was written", words)
	}
	h.goOn <- nil
	c.end(nil)
}

// A connection that is closed while idle takes no call any more: what comes in that moment goes to another
// one, and if that has come too far it has never run, of which the node is not to blame.
func TestCallAtTheCloseOfAnIdleConnection(t *testing.T) {
	n, id, told := wired(t)
	c := n.attach(id)
	c.c, c.up = newHeldConn(), true
	a := soon("q1", id)
	n.Send(id, []*core.Attempt{a})
	c.retire() // between a look at whether it is idle and the close
	if ok, closing := c.queue(frame{call: []*core.Attempt{soon("q2", id)}, size: 1}); ok || !closing {
		t.Fatal("a call was queued on a connection that is closing")
	}
	c.end(nil)
	if o := outcome(t, told); o.Attempt != a || o.Outcome != balance.NotSent {
		t.Fatalf("%+v", o)
	}
}

// Idle clients and half requests fill every descriptor that clients may have, while discovery is down. An
// answer that is owed is given, discovery is asked again, and nodes that it then tells of get connections,
// more than were kept for them: what is idle makes way.
func TestCrowdLeavesDescriptorsForOthers(t *testing.T) {
	free := make(chan struct{})
	slow := standin.NewNode(t, func(p standin.Part) (string, string) { <-free; return ok(p) })
	slow.Concurrent.Store(true)
	var down atomic.Bool
	hosts := []host{hostAt("slow", slow.Addr, 0)}
	d := newScripted(t, func(n int, query string, c *net.TCPConn) {
		if !down.Load() && query == "" {
			tell(c, list(n, true, hosts...))
		}
	})
	conf := config(t, &discovery{addr: d.addr})
	conf.Limits.Sockets = 1 // the least budget there is: 32, of which 8 are kept for nodes
	k := run(t, conf)
	owed := make(chan int, 1)
	go func() { owed <- post(t, k, "rate-check", 0).Status }()
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
	close(free) // within its aim
	if got := <-owed; got != 200 {
		t.Fatalf("the answer that was owed came as %d", got)
	}
	asked := d.count()
	standin.WaitFor(t, "calls for the list", func() bool { return d.count() > asked+2 })
	var nodes []*standin.Node
	hosts = nil
	for i := range 20 {
		n := standin.NewNode(t, ok)
		nodes = append(nodes, n)
		hosts = append(hosts, hostAt(fmt.Sprint("n", i), n.Addr, 0))
	}
	down.Store(false)
	standin.WaitFor(t, "the list", func() bool { return k.core.Counts().ListedServers.Load() == 20 })
	standin.WaitFor(t, "connections to more nodes than were kept for", func() bool {
		post(t, k, "rate-check", 0)
		opened := 0
		for _, n := range nodes {
			opened += min(1, n.ConnsOpened())
		}
		return opened > 12
	})
}
