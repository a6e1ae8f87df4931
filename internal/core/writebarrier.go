package core

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// WriteGrace is how long a write in progress may continue after its query has ended before it is aborted.
// It is well below the time within which an attempt may still begin after its client has left.
const WriteGrace = 50 * time.Millisecond

// Writer writes the bytes of attempts to a socket.
type Writer interface {
	// Abort ensures that the write in progress sends no further byte, and returns once that is certain. It must
	// not block, and must not take a lock that is held while a write begins.
	Abort()
}

// writeBarrier orders the writes that begin a query's attempts and the end of the query. A writer enters
// before the system call and leaves after it; no writer can enter once the barrier is closed. A check
// before the system call would not suffice: the writer's thread may be held up in between for any time,
// and the client would be told of the query's end while the write is still to come.
type writeBarrier struct {
	closed         atomic.Bool
	mu             sync.Mutex // guards the following fields, and changes of closed
	active         []Writer   // one entry for each write in progress
	drained        func()     // called when no write is in progress; nil: none
	abortScheduled bool
}

// enter begins a write. It returns false if the barrier is closed.
func (b *writeBarrier) enter(w Writer) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed.Load() {
		return false
	}
	b.active = append(b.active, w)
	return true
}

// leave ends a write.
func (b *writeBarrier) leave(w Writer) {
	b.mu.Lock()
	if i := slices.Index(b.active, w); i >= 0 {
		b.active = slices.Delete(b.active, i, i+1)
	}
	b.unlockAndNotify()
}

// close prevents further writes and calls drained once none can send a byte any more: immediately if no
// write is in progress, otherwise when the last one has returned or been aborted.
func (b *writeBarrier) close(drained func()) {
	b.mu.Lock()
	b.closed.Store(true)
	if len(b.active) > 0 {
		if drained != nil {
			b.drained = drained
		}
		if !b.abortScheduled {
			b.abortScheduled = true
			time.AfterFunc(WriteGrace, b.abort)
		}
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	if drained != nil {
		drained()
	}
}

// abortWriter aborts the writes of one writer that are in progress.
func (b *writeBarrier) abortWriter(w Writer) {
	b.mu.Lock()
	remaining := slices.DeleteFunc(b.active, func(x Writer) bool { return x == w })
	aborted := len(remaining) < len(b.active)
	b.active = remaining
	if aborted {
		w.Abort()
	}
	b.unlockAndNotify()
}

// abort aborts all writes in progress. It holds the lock meanwhile: a writer that has returned must not
// lose its connection.
func (b *writeBarrier) abort() {
	b.mu.Lock()
	for _, w := range b.active {
		w.Abort()
	}
	b.active = nil
	b.unlockAndNotify()
}

// unlockAndNotify releases the lock, and calls drained if no write is in progress.
func (b *writeBarrier) unlockAndNotify() {
	var drained func()
	if len(b.active) == 0 {
		drained, b.drained = b.drained, nil
	}
	b.mu.Unlock()
	if drained != nil {
		drained()
	}
}
