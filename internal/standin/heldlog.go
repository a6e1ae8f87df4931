package standin

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
)

// BlockingLog is a log that holds up whoever logs one of the messages given, until the test ends.
type BlockingLog struct {
	mu       sync.Mutex // guards messages
	messages []string
	blocked  chan string
	release  chan struct{}
}

// NewBlockingLog returns such a log.
func NewBlockingLog(t testing.TB, messages ...string) *BlockingLog {
	h := &BlockingLog{messages: messages, blocked: make(chan string, 100), release: make(chan struct{})}
	t.Cleanup(sync.OnceFunc(func() { close(h.release) }))
	return h
}

// Logger is the log as the program takes it.
func (h *BlockingLog) Logger() *slog.Logger { return slog.New(h) }

// Block has the log hold up whoever logs a message, too.
func (h *BlockingLog) Block(message string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.messages = append(h.messages, message)
}

// Blocked hears of each message whose logger is held.
func (h *BlockingLog) Blocked() <-chan string { return h.blocked }

// Enabled tells that all is logged.
func (h *BlockingLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle holds the messages given and drops all others.
func (h *BlockingLog) Handle(_ context.Context, r slog.Record) error {
	h.mu.Lock()
	hold := slices.Contains(h.messages, r.Message)
	h.mu.Unlock()
	if hold {
		h.blocked <- r.Message
		<-h.release
	}
	return nil
}

// WithAttrs drops attributes, as it does records.
func (h *BlockingLog) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup drops groups.
func (h *BlockingLog) WithGroup(string) slog.Handler { return h }
