package platform

// The output of the log. A goroutine that logs queues a record and continues; a single other goroutine
// formats and writes the records. This file must never block a caller: the core's goroutine logs too, and
// must not wait for a stream that nobody reads or for another thread that is suspended while it logs.

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	logQueue = 1024 // queued records; further ones are dropped and counted
	logRate  = 200  // lines a second, so that bad input cannot fill the log's storage
	logFlush = 2 * time.Second
	// maxLogText is the length that a text in a record is cut to: clients send paths, ids and queries of any
	// length.
	maxLogText = 512
)

// logRecord is a queued record and the handler that formats it. One without a handler ends the log.
type logRecord struct {
	handler slog.Handler
	record  slog.Record
}

// recordQueue holds records that are to be written.
type recordQueue struct {
	records chan logRecord
	done    chan struct{}
	once    sync.Once
	lost    atomic.Int64
}

// queuedHandler is a slog.Handler that queues records for another handler.
type queuedHandler struct {
	queue *recordQueue
	next  slog.Handler
}

// NewLog returns a logger that never blocks, and a function that writes what is still queued at the end.
func NewLog(w io.Writer, level slog.Level) (*slog.Logger, func()) {
	q := &recordQueue{records: make(chan logRecord, logQueue), done: make(chan struct{})}
	go q.drain(w)
	return slog.New(queuedHandler{q, slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})}), q.close
}

// Enabled reports whether records of a level are written.
func (h queuedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle queues a record. It holds copies of texts, cut to maxLogText, and not what these were part of.
func (h queuedHandler) Handle(_ context.Context, r slog.Record) error {
	if len(h.queue.records) == cap(h.queue.records) {
		h.queue.lost.Add(1)
		return nil
	}
	queued := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		queued.AddAttrs(slog.Attr{Key: a.Key, Value: shortened(a.Value)})
		return true
	})
	select {
	case h.queue.records <- logRecord{h.next, queued}:
	default:
		h.queue.lost.Add(1)
	}
	return nil
}

// shortened returns a value that holds no long text: neither in a string nor in an error.
func shortened(v slog.Value) slog.Value {
	text := ""
	switch x := v.Any().(type) {
	case string:
		text = x
	case error:
		if text = x.Error(); len(text) <= maxLogText {
			return v
		}
	default:
		return v
	}
	if len(text) > maxLogText {
		return slog.StringValue(fmt.Sprintf("%s… (%d bytes)", text[:maxLogText], len(text)))
	}
	return slog.StringValue(strings.Clone(text))
}

// WithAttrs returns a handler that adds attributes.
func (h queuedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return queuedHandler{h.queue, h.next.WithAttrs(attrs)}
}

// WithGroup returns a handler that opens a group.
func (h queuedHandler) WithGroup(name string) slog.Handler {
	return queuedHandler{h.queue, h.next.WithGroup(name)}
}

// drain writes the queued records until the log ends.
func (q *recordQueue) drain(w io.Writer) {
	defer close(q.done)
	var second time.Time // the second in which count counts lines
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

// close writes the queued records, as far as the stream accepts them within logFlush.
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
