package platform

// Incident 9e0aaf: data nodes received the first byte of a part 0.2 to 0.6 s after the coordinator had
// given the request its final answer, on busy machines and under faults that suspend single threads. A
// connection's writer checked whether the attempt may begin, and then read clocks, set a deadline and made
// the system call. When it was suspended in between, it wrote an attempt that the core had ended
// meanwhile: check and write were two steps, and nothing ordered the answer behind a write in progress.
// These tests block the writer at the write itself, and the answer must still come. internal/rig
// (hold_test.go) does the same with real processes, with a tracer that holds one thread in its system
// call.

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

// pausedConn blocks each Write before its first byte until it is released or the connection is closed.
type pausedConn struct {
	net.Conn
	writing chan struct{} // receives at each Write
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

// mayStillWrite reports whether a blocked Write could still send its bytes.
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

// coreWithNode returns a running core with one data node, whose connection's writer the test blocks.
func coreWithNode(t *testing.T) (*core.Core, *Nodes, *pausedConn) {
	t.Helper()
	cfg := testConfig(t, newDiscovery(t))
	var k *core.Core
	n := NewNodes(cfg, lnet.NewBudget(10, 0), standin.DiscardLogger(), &core.Counts{},
		func(e core.Event) { k.Post(e) })
	k, err := core.New(core.Config{Settings: cfg.Module, Backends: []core.Backend{n},
		Log: standin.DiscardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	id := core.ServerID("a")
	c, held := n.attach(id), newPausedConn()
	c.conn, c.writeConn, c.connected = held, held, true
	go c.writeLoop(held)
	go k.Run()
	t.Cleanup(func() { k.Close(); _ = held.Close(); c.close(nil) })
	k.Post(core.ListUpdate{Mode: balance.Full,
		Replicas: []balance.Replica{{ID: id, State: balance.Ready, Size: 1}}})
	return k, n, held
}

func heldQuery(n *Nodes, name string, wait time.Duration, client core.Client) *core.Query {
	return &core.Query{Name: name, Deadline: time.Now().Add(wait), Backend: n, Client: client,
		Parts: []core.PartSpec{{Shard: 0, Weight: 1}}}
}

// A query's time ends while the writer is blocked before its attempt's first byte. Its answer is given
// only once that byte can no longer be sent, and soon, as the writer may be blocked for long.
func TestNoAttemptBeginsAfterTheFinalAnswer(t *testing.T) {
	k, n, held := coreWithNode(t)
	writable := make(chan bool, 1)
	start := time.Now()
	answered := finalFunc(func(core.FinalAnswer) { writable <- held.mayStillWrite() })
	k.Submit(heldQuery(n, "q1", 1200*time.Millisecond, answered))
	awaitWrite(t, held)
	select {
	case stillWritable := <-writable:
		if stillWritable {
			t.Fatal("the final answer is given while a write for the query may still send its first byte")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no final answer while a writer is blocked")
	}
	t.Logf("answered after %v", time.Since(start))
}

// A client leaves while the writer is blocked. The write is aborted within the 0.1 s in which an attempt
// may still begin.
func TestNoAttemptBeginsLongAfterTheClientHasLeft(t *testing.T) {
	k, n, held := coreWithNode(t)
	q := heldQuery(n, "q1", 3*time.Second, finalFunc(func(core.FinalAnswer) {}))
	k.Submit(q)
	awaitWrite(t, held)
	k.Abandon(q)
	select {
	case <-held.closed:
	case <-time.After(2 * time.Second):
		t.Fatal("a blocked write can be sent long after its client has left")
	}
}

// A client leaves while the writer is blocked, and nobody has read the end of its connection yet. The
// write is aborted all the same.
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

// A write is blocked for so long that the time it carries for its node far exceeds what is left. It is
// aborted although its request is still open.
func TestAHeldWriteDoesNotCarryAnExpiredTime(t *testing.T) {
	k, n, held := coreWithNode(t)
	q := heldQuery(n, "q1", 3*time.Second, finalFunc(func(core.FinalAnswer) {}))
	k.Submit(q)
	awaitWrite(t, held)
	awaitAbort(t, held, q)
}

// awaitAbort waits until a blocked write can no longer send anything, which must happen before its request
// ends.
func awaitAbort(t *testing.T, held *pausedConn, q *core.Query) {
	t.Helper()
	select {
	case <-held.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("a blocked write can still be sent")
	}
	if q.Finished() {
		t.Error("the blocked write was aborted only by its request's end")
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
