// Package delay counts and logs actions of the process that are executed later than decided. It must never
// block an action, so an action is reported after it has ended.
package delay

import (
	"log/slog"
	"maps"
	"sync"
	"time"
)

// Threshold is the delay from which an action is counted and logged.
const Threshold = 50 * time.Millisecond

// Action is the type of an action.
type Action string

// The actions whose delay is recorded.
const (
	Reply   Action = "reply"   // from the final answer until the kernel has accepted the last byte of the reply
	Attempt Action = "attempt" // from the last check whether it may begin until the kernel has accepted it
	Step    Action = "step"    // from when the core has something to do until it runs a Step
)

// Stats are the counts for one type of action.
type Stats struct {
	Late      int64 `json:"late"`
	LongestMS int64 `json:"longest_ms"`
}

// Recorder records delays. A nil Recorder records nothing.
type Recorder struct {
	log   *slog.Logger
	mu    sync.Mutex // guards stats
	stats map[Action]Stats
}

// NewRecorder returns a Recorder that writes to log.
func NewRecorder(log *slog.Logger) *Recorder {
	return &Recorder{log: log, stats: map[Action]Stats{Reply: {}, Attempt: {}, Step: {}}}
}

// Record records an action that has ended and was delayed by took. The args are logged as attributes, as
// with slog.
func (r *Recorder) Record(action Action, took time.Duration, args ...any) {
	if r == nil || took < Threshold {
		return
	}
	r.mu.Lock()
	f := r.stats[action]
	f.Late++
	f.LongestMS = max(f.LongestMS, took.Milliseconds())
	r.stats[action] = f
	r.mu.Unlock()
	r.log.Warn("carried out late", append([]any{"action", string(action), "took", took}, args...)...)
}

// Stats returns the counts since the start.
func (r *Recorder) Stats() map[Action]Stats {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.stats)
}
