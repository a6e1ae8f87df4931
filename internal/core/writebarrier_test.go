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
	reported := make(chan struct{}, 4)
	report := func() { reported <- struct{}{} }
	first, second := &abortCounter{}, &abortCounter{}
	for _, w := range []*abortCounter{first, second, second} {
		if !b.enter(w) {
			t.Fatal("a write of an open query cannot begin")
		}
	}
	b.leave(second)
	b.close(nil) // the client has left
	b.close(report)
	if b.enter(first) {
		t.Fatal("a write begins after the end")
	}
	b.leave(first)
	select {
	case <-reported:
		t.Fatal("end reported while a write is in progress")
	default:
	}
	select {
	case <-reported:
	case <-time.After(10 * time.Second):
		t.Fatal("end not reported although the held write must be aborted")
	}
	b.leave(second) // the aborted write returns
	if first.n.Load() != 0 || second.n.Load() != 1 || len(reported) != 0 {
		t.Fatalf("aborted %d and %d times, end reported %d more times", first.n.Load(), second.n.Load(),
			len(reported))
	}
	var c writeBarrier
	c.enter(first)
	c.close(report)
	c.leave(first)
	c.close(nil)
	if len(reported) != 1 {
		t.Fatal("end not reported when the last write returned")
	}
}
