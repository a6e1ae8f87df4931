package platform

// Incident 9e0aaf. Seen: data nodes got the first byte of a part 0.2 to 0.6 s after the coordinator itself
// had given the request its final answer, on busy machines and under faults that hold single threads up. How:
// a connection's writer asked whether the attempt may begin, then read clocks, set a deadline and made the
// system call. Held up in between, it wrote what the core had ended meanwhile. Cause: the check and the write
// were two steps, and nothing ordered the answer behind a write under way. Proof: here the writer is held at
// the very write, and the answer comes all the same; with real processes the same is done by a tracer that
// holds one thread in its system call (internal/rig, hold_test.go).

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/standin"
)

// pausedConn holds each Write before its first byte until it is released or the connection is closed.
type pausedConn struct {
	net.Conn
	writing chan struct{} // hears of each Write
	release chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func newPausedConn() *pausedConn {
	return &pausedConn{writing: make(chan struct{}, 8), release: make(chan struct{}),
		closed: make(chan struct{})}
}

func (p *pausedConn) Write(b []byte) (int, error) {
	p.writing <- struct{}{}
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case <-p.release:
		return len(b), nil
	case <-p.closed:
		return 0, net.ErrClosed
	}
}

func (p *pausedConn) Close() error                     { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pausedConn) SetWriteDeadline(time.Time) error { return nil }

// mayStillWrite tells that a Write which is held could put its bytes out.
func (p *pausedConn) mayStillWrite() bool {
	select {
	case <-p.closed:
		return false
	case <-p.release:
		return false
	default:
		return true
	}
}

// finalFunc is a client that passes its final answer to a function.
type finalFunc func(core.FinalAnswer)

func (f finalFunc) Final(x core.FinalAnswer) { f(x) }

// coreWithNode is a running core with one data node, whose connection's writer the test holds.
func coreWithNode(t *testing.T) (*core.Core, *Nodes, *pausedConn) {
	t.Helper()
	conf := config(t, newDiscovery(t))
	var k *core.Core
	n := NewNodes(conf, lnet.NewBudget(10, 0), standin.DiscardLogger(), &core.Counts{},
		func(e core.Event) { k.Post(e) })
	k, err := core.New(core.Config{Settings: conf.Module, Backends: []core.Backend{n}, Log: standin.DiscardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	id := core.ServerID("a")
	c, held := n.attach(id), newPausedConn()
	c.c, c.socket, c.up = held, held, true
	go c.writeLoop(held)
	go k.Run()
	t.Cleanup(func() { k.Close(); _ = held.Close(); c.end(nil) })
	k.Post(core.ListUpdate{Mode: balance.Full, Replicas: []balance.Replica{{ID: id, State: balance.Ready, Size: 1}}})
	return k, n, held
}

func heldQuery(n *Nodes, name string, wait time.Duration, client core.Client) *core.Query {
	return &core.Query{Name: name, Deadline: time.Now().Add(wait), Backend: n, Client: client,
		Parts: []core.PartSpec{{Shard: 0, Weight: 1}}}
}

// A query's time ends while the writer is held at its attempt's first byte. Its answer is given only once
// that byte can't go out any more, and soon: the writer may be held for long.
func TestNoAttemptBeginsAfterTheFinalAnswer(t *testing.T) {
	k, n, held := coreWithNode(t)
	late := make(chan bool, 1)
	begun := time.Now()
	answered := finalFunc(func(core.FinalAnswer) { late <- held.mayStillWrite() })
	k.Submit(heldQuery(n, "q1", 1200*time.Millisecond, answered))
	awaitWrite(t, held)
	select {
	case could := <-late:
		if could {
			t.Fatal("the final answer is given while a write for the query may still put out its first byte")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no final answer while a writer is held")
	}
	t.Logf("answered after %v", time.Since(begun))
}

// A client leaves while the writer is held: within the 0.1 s in which an attempt may still begin, the write
// is made impossible.
func TestNoAttemptBeginsLongAfterTheClientHasLeft(t *testing.T) {
	k, n, held := coreWithNode(t)
	q := heldQuery(n, "q1", 3*time.Second, finalFunc(func(core.FinalAnswer) {}))
	k.Submit(q)
	awaitWrite(t, held)
	k.Abandon(q)
	select {
	case <-held.closed:
	case <-time.After(2 * time.Second):
		t.Fatal("a write that is held goes out whenever it is let go, long after its client has left")
	}
}

// A client leaves while the writer is held, and nobody has read its end yet: the write is made impossible all
// the same.
func TestAHeldWriteIsAbortedOnceItsClientHasLeft(t *testing.T) {
	k, n, held := coreWithNode(t)
	var left atomic.Bool
	q := heldQuery(n, "q1", 3*time.Second, finalFunc(func(core.FinalAnswer) {}))
	q.ClientLeft = left.Load
	k.Submit(q)
	awaitWrite(t, held)
	left.Store(true)
	awaitAbort(t, held, q)
}

// A write is held for so long that the time it tells its node is far more than is left: it is made impossible
// although its request is still open.
func TestAHeldWriteDoesNotTellATimeThatIsOver(t *testing.T) {
	k, n, held := coreWithNode(t)
	q := heldQuery(n, "q1", 3*time.Second, finalFunc(func(core.FinalAnswer) {}))
	k.Submit(q)
	awaitWrite(t, held)
	awaitAbort(t, held, q)
}

// awaitAbort waits until a held write can put nothing out, which has to be so before its request's end.
func awaitAbort(t *testing.T, held *pausedConn, q *core.Query) {
	t.Helper()
	select {
	case <-held.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("a held write can still go out")
	}
	if q.Finished() {
		t.Error("the held write was aborted by its request's end only")
	}
}

func awaitWrite(t *testing.T, held *pausedConn) {
	t.Helper()
	select {
	case <-held.writing:
	case <-time.After(10 * time.Second):
		t.Fatal("no attempt was written")
	}
}
