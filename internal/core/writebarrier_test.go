package core

import (
	"sync/atomic"
	"testing"
	"time"
)

// abortCounter is a writer that counts how often it is aborted.
type abortCounter struct{ n atomic.Int32 }

func (a *abortCounter) Abort() { a.n.Add(1) }

// The end of a query is told at once where nothing is being written for it, behind the last write where they
// return, and with the rest aborted where one does not; whatever comes, once, and nothing begins after it.
func TestEndOfAQueryComesBehindItsWrites(t *testing.T) {
	var b writeBarrier
	told := make(chan struct{}, 4)
	tell := func() { told <- struct{}{} }
	one, two := &abortCounter{}, &abortCounter{}
	for _, w := range []*abortCounter{one, two, two} {
		if !b.enter(w) {
			t.Fatal("a write of an open query may not begin")
		}
	}
	b.leave(two)
	b.close(nil) // its client has left
	b.close(tell)
	if b.enter(one) {
		t.Fatal("a write begins behind the end")
	}
	b.leave(one)
	select {
	case <-told:
		t.Fatal("told while a write is under way")
	default:
	}
	select {
	case <-told:
	case <-time.After(10 * time.Second):
		t.Fatal("never told: a writer does not return")
	}
	b.leave(two) // it returns at last
	if one.n.Load() != 0 || two.n.Load() != 1 || len(told) != 0 {
		t.Fatalf("aborted %d and %d times, told %d times more", one.n.Load(), two.n.Load(), len(told))
	}
	var c writeBarrier
	c.enter(one)
	c.close(tell)
	c.leave(one)
	c.close(nil)
	if len(told) != 1 {
		t.Fatal("not told as the last write returned")
	}
}
