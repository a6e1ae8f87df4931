package standin

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
)

// BlockingLog is a log handler that blocks the callers that log one of the given messages until the test
// ends.
type BlockingLog struct {
	mu       sync.Mutex // guards messages
	messages []string
	blocked  chan string
	release  chan struct{}
}

// NewBlockingLog returns a BlockingLog for the given messages.
func NewBlockingLog(t testing.TB, messages ...string) *BlockingLog {
	h := &BlockingLog{messages: messages, blocked: make(chan string, 100), release: make(chan struct{})}
	t.Cleanup(sync.OnceFunc(func() { close(h.release) }))
	return h
}

// Logger returns a logger on this handler.
func (h *BlockingLog) Logger() *slog.Logger { return slog.New(h) }

// Block adds a message whose callers are blocked.
func (h *BlockingLog) Block(message string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.messages = append(h.messages, message)
}

// Blocked returns a channel that receives each message whose caller is blocked.
func (h *BlockingLog) Blocked() <-chan string { return h.blocked }

// Enabled returns true for all levels.
func (h *BlockingLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle blocks on the given messages and discards all others.
func (h *BlockingLog) Handle(_ context.Context, r slog.Record) error {
	h.mu.Lock()
	block := slices.Contains(h.messages, r.Message)
	h.mu.Unlock()
	if block {
		h.blocked <- r.Message
		<-h.release
	}
	return nil
}

// WithAttrs discards attributes.
func (h *BlockingLog) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup discards groups.
func (h *BlockingLog) WithGroup(string) slog.Handler { return h }
