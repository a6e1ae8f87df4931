package core

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// WriteGrace is how long a write that must not go out any more, and is under way, may take before it is
// aborted. It is well under the time in which an attempt may still begin after its client has left.
const WriteGrace = 50 * time.Millisecond

// Writer puts the bytes of attempts on a socket.
type Writer interface {
	// Abort makes it impossible that the write under way puts out another byte, and returns once that holds. It
	// must not wait, and must not take a lock under which a write is begun.
	Abort()
}

// writeBarrier orders the writes that begin a query's attempts against the query's end. A writer enters
// before the system call and leaves after it; once the barrier is closed nobody enters. A check alone, made
// before the system call, would not do: the writer's thread may be held up in between for any time, and the
// query's end would be told while the write is still to come.
type writeBarrier struct {
	closed  atomic.Bool
	mu      sync.Mutex // guards what follows, and changes of closed
	inside  []Writer   // one entry for each write under way
	drained func()     // to be called once no write is under way; nil: nobody waits
	armed   bool       // the abort is due
}

// enter begins a write, or returns false once the barrier is closed.
func (b *writeBarrier) enter(w Writer) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed.Load() {
		return false
	}
	b.inside = append(b.inside, w)
	return true
}

// leave ends a write.
func (b *writeBarrier) leave(w Writer) {
	b.mu.Lock()
	if i := slices.Index(b.inside, w); i >= 0 {
		b.inside = slices.Delete(b.inside, i, i+1)
	}
	b.unlock()
}

// close lets no further write begin and calls drained once none can put out a byte any more: at once where
// none is under way, else as the last one returns or has been aborted.
func (b *writeBarrier) close(drained func()) {
	b.mu.Lock()
	b.closed.Store(true)
	if len(b.inside) > 0 {
		if drained != nil {
			b.drained = drained
		}
		if !b.armed {
			b.armed = true
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

// abortWriter ends the writes of one writer that are still under way.
func (b *writeBarrier) abortWriter(w Writer) {
	b.mu.Lock()
	inside := slices.DeleteFunc(b.inside, func(x Writer) bool { return x == w })
	aborted := len(inside) < len(b.inside)
	b.inside = inside
	if aborted {
		w.Abort()
	}
	b.unlock()
}

// abort ends the writes that are still under way. It holds the lock meanwhile: a writer that has returned is
// not to lose its connection.
func (b *writeBarrier) abort() {
	b.mu.Lock()
	for _, w := range b.inside {
		w.Abort()
	}
	b.inside = nil
	b.unlock()
}

// unlock gives the lock back, and then tells who waits for it that no write is under way, if that is so.
func (b *writeBarrier) unlock() {
	var drained func()
	if len(b.inside) == 0 {
		drained, b.drained = b.drained, nil
	}
	b.mu.Unlock()
	if drained != nil {
		drained()
	}
}
