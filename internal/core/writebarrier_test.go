package core

import (
	"sync/atomic"
	"testing"
	"time"
)

// abortCounter is a Writer that counts calls of Abort.
type abortCounter struct{ n atomic.Int32 }

func (a *abortCounter) Abort() { a.n.Add(1) }

// The end of a query is reported immediately if no write is in progress, after the last write if they return,
// and after aborting those that do not. It is reported once, and no write begins after it.
func TestQueryEndWaitsForItsWrites(t *testing.T) {
	var b writeBarrier
	told := make(chan struct{}, 4)
	tell := func() { told <- struct{}{} }
	one, two := &abortCounter{}, &abortCounter{}
	for _, w := range []*abortCounter{one, two, two} {
		if !b.enter(w) {
			t.Fatal("a write of an open query cannot begin")
		}
	}
	b.leave(two)
	b.close(nil) // the client has left
	b.close(tell)
	if b.enter(one) {
		t.Fatal("a write begins after the end")
	}
	b.leave(one)
	select {
	case <-told:
		t.Fatal("end reported while a write is in progress")
	default:
	}
	select {
	case <-told:
	case <-time.After(10 * time.Second):
		t.Fatal("end not reported although the held write must be aborted")
	}
	b.leave(two) // the aborted write returns
	if one.n.Load() != 0 || two.n.Load() != 1 || len(told) != 0 {
		t.Fatalf("aborted %d and %d times, end reported %d more times", one.n.Load(), two.n.Load(), len(told))
	}
	var c writeBarrier
	c.enter(one)
	c.close(tell)
	c.leave(one)
	c.close(nil)
	if len(told) != 1 {
		t.Fatal("end not reported when the last write returned")
	}
}
