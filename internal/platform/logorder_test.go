package platform

// Incident 2157b7: logging reads the clock and takes locks, and a thread may be suspended there. So
// decisions are carried out before they are logged.

import (
	"net"
	"testing"
	"time"

	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/standin"
)

const oneSlice = `{"slices":[{"slice":0,"mass":1}],"filter":"c41e77d0"}`

// runWithLog starts a coordinator with one data node that logs to l.
func runWithLog(t *testing.T, l *standin.BlockingLog, node *standin.Node) (*Coordinator, *discovery) {
	t.Helper()
	d := newDiscovery(t, hostAt("a", node.Addr, 0))
	k, err := Start(testConfig(t, d), l.Logger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	standin.WaitFor(t, "readiness", k.front.ready.Load)
	return k, d
}

// awaitHeld waits until a logger is blocked.
func awaitHeld(t *testing.T, l *standin.BlockingLog) {
	t.Helper()
	select {
	case <-l.Blocked():
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was logged")
	}
}

// The client has its answer while the line about it is still being logged.
func TestAnAnswerDoesNotWaitForTheLog(t *testing.T) {
	l := standin.NewBlockingLog(t, "request ended")
	k, _ := runWithLog(t, l, standin.NewNode(t, func(standin.Part) (string, string) { return "B", "" }))
	head := [][2]string{{"X-Call-Id", "q1"}, {"X-Budget", "0.3"}}
	r := standin.DoHTTP(t, k.Addr(), "POST", "/rate-check", head, oneSlice)
	if r.Status != 503 {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	awaitHeld(t, l)
}

// When a client leaves, its request is cancelled while the line about that is still being logged.
func TestAClientsEndDoesNotWaitForTheLog(t *testing.T) {
	l := standin.NewBlockingLog(t, "client left with a request out")
	node := standin.NewNode(t, answerNone)
	k, _ := runWithLog(t, l, node)
	c, err := lnet.Dial(k.Addr(), time.Second, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	until := time.Now().Add(3 * time.Second)
	head := [][2]string{{"X-Call-Id", "q1"}}
	if err := c.Write("POST", "/rate-check", "a", head, []byte(oneSlice), until); err != nil {
		t.Fatal(err)
	}
	standin.WaitFor(t, "the part", func() bool { return len(node.Parts()) > 0 })
	c.Close()
	awaitHeld(t, l)
	standin.WaitFor(t, "the request's end", func() bool { return k.core.Counts().ActiveQueries.Load() == 0 })
	if n := k.core.Counts().Class("rate-check"); n.Count(core.Refused)+n.Count(core.Failed) > 0 {
		t.Error("it was answered although its client had left")
	}
}

// When discovery announces a node, the core knows it while the line about it is still being logged.
func TestAListDoesNotWaitForTheLog(t *testing.T) {
	for _, message := range []string{"data node", "list taken in"} {
		l := standin.NewBlockingLog(t)
		node := standin.NewNode(t, answerAll)
		k, d := runWithLog(t, l, node)
		l.Block(message)
		d.change(t, hostAt("b", node.Addr, 0))
		awaitHeld(t, l)
		if !k.core.IsListed(core.ServerID("b"), 10*time.Second) {
			t.Errorf("%s: the core does not know of the node", message)
		}
	}
}

// A write is aborted before that is logged.
func TestAnAbortDoesNotWaitForTheLog(t *testing.T) {
	l := standin.NewBlockingLog(t, "write aborted: its request is over and the writer was held")
	ours, theirs := connPair(t)
	c := &nodeConn{backend: &Nodes{log: l.Logger()}, node: &node{name: "a"}, writeConn: ours}
	go c.Abort()
	awaitHeld(t, l)
	_ = theirs.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := theirs.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("read %d, %v", n, err)
	} else if late, ok := err.(net.Error); ok && late.Timeout() {
		t.Error("the connection is open while the line is being logged")
	}
}

// connPair returns both ends of a connection.
func connPair(t *testing.T) (ours, theirs net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if ours, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if theirs, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ours.Close(); _ = theirs.Close() })
	return ours, theirs
}
