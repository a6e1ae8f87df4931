package platform

// The log's way out. Whoever logs hands over a record and goes on: a record is worded and written by one
// goroutine. This file must never make anybody wait: the core's goroutine logs too, and neither a stream that
// nobody reads nor another thread that is held up while it logs may hold it up.

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	logQueue = 1024 // records that wait; further ones are lost, and counted
	logRate  = 200  // lines a second, so that bad input cannot fill what keeps the log
	logFlush = 2 * time.Second
)

// logRecord is a record that waits, and what is to word it; without a handler it is the log's end.
type logRecord struct {
	handler slog.Handler
	record  slog.Record
}

// recordQueue holds what waits to be written.
type recordQueue struct {
	records chan logRecord
	done    chan struct{}
	once    sync.Once
	lost    atomic.Int64
}

// queuedHandler is a slog.Handler that queues records for another handler.
type queuedHandler struct {
	queue *recordQueue
	to    slog.Handler
}

// NewLog returns a log that never blocks, and what writes the rest of it at the end.
func NewLog(w io.Writer, level slog.Level) (*slog.Logger, func()) {
	q := &recordQueue{records: make(chan logRecord, logQueue), done: make(chan struct{})}
	go q.drain(w)
	return slog.New(queuedHandler{q, slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})}), q.close
}

// Enabled tells that records of a level are written.
func (h queuedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.to.Enabled(ctx, level)
}

// Handle queues a record.
func (h queuedHandler) Handle(_ context.Context, r slog.Record) error {
	select {
	case h.queue.records <- logRecord{h.to, r.Clone()}:
	default:
		h.queue.lost.Add(1)
	}
	return nil
}

// WithAttrs returns a handler that adds attributes.
func (h queuedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return queuedHandler{h.queue, h.to.WithAttrs(attrs)}
}

// WithGroup returns a handler that names a group.
func (h queuedHandler) WithGroup(name string) slog.Handler {
	return queuedHandler{h.queue, h.to.WithGroup(name)}
}

// drain writes what is queued, up to the log's end.
func (q *recordQueue) drain(w io.Writer) {
	defer close(q.done)
	var second time.Time // in which lines are counted
	count := 0
	for r := range q.records {
		if r.handler == nil {
			return
		}
		if at := r.record.Time; second.IsZero() || at.Sub(second) >= time.Second {
			second, count = at, 0
		}
		if count++; count > logRate {
			q.lost.Add(1)
			continue
		}
		if n := q.lost.Swap(0); n > 0 {
			fmt.Fprintf(w, "level=WARN msg=\"log lines lost\" lines=%d\n", n)
		}
		_ = r.handler.Handle(context.Background(), r.record)
	}
}

// close writes what is queued, as far as the stream takes it in a short time.
func (q *recordQueue) close() {
	q.once.Do(func() {
		select {
		case q.records <- logRecord{}:
		default:
		}
		select {
		case <-q.done:
		case <-time.After(logFlush):
		}
	})
}
