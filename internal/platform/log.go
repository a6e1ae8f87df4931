package platform

// The log's way out. This file owns the queue between whoever logs and the stream that the log goes to; it
// must never make anybody wait: the core's goroutine logs too, and a stream that nobody reads would hold it
// up.

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	logQueue = 1024 // lines that wait; further ones are lost, and counted
	logRate  = 200  // lines a second, so that bad input cannot fill what keeps the log
	logFlush = 2 * time.Second
)

// lineQueue is a stream that never blocks.
type lineQueue struct {
	lines chan []byte
	done  chan struct{}
	once  sync.Once
	lost  atomic.Int64
	mu    sync.Mutex // guards since, count
	since time.Time
	count int
}

// NewLog returns a log that never blocks, and what writes the rest of it at the end.
func NewLog(w io.Writer, level slog.Level) (*slog.Logger, func()) {
	q := &lineQueue{lines: make(chan []byte, logQueue), done: make(chan struct{})}
	go q.drain(w)
	log := slog.New(slog.NewTextHandler(q, &slog.HandlerOptions{Level: level}))
	return log, q.close
}

// Write queues a line.
func (q *lineQueue) Write(line []byte) (int, error) {
	if !q.allowed() {
		q.lost.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.lost.Add(1)
	}
	return len(line), nil
}

func (q *lineQueue) allowed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := time.Now(); now.Sub(q.since) >= time.Second {
		q.since, q.count = now, 0
	}
	q.count++
	return q.count <= logRate
}

func (q *lineQueue) drain(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		if n := q.lost.Swap(0); n > 0 {
			fmt.Fprintf(w, "level=WARN msg=\"log lines lost\" lines=%d\n", n)
		}
		_, _ = w.Write(line)
	}
}

// close writes what is queued, as far as the stream takes it in a short time.
func (q *lineQueue) close() {
	q.once.Do(func() {
		select {
		case q.lines <- nil:
		default:
		}
		select {
		case <-q.done:
		case <-time.After(logFlush):
		}
	})
}
