// Package delay counts and logs what the process carries out later than it decided to. It must never make
// anybody wait, and is told of an action behind it, not before.
package delay

import (
	"log/slog"
	"maps"
	"sync"
	"time"
)

// Threshold is how late an action has to be to be counted and logged.
const Threshold = 50 * time.Millisecond

// Action is a kind of action.
type Action string

// The actions whose delay is recorded.
const (
	Reply   Action = "reply"   // from the final answer until the system has taken the reply's last byte
	Attempt Action = "attempt" // from the last look whether an attempt may begin until its bytes are taken
	Step    Action = "step"    // from when the core has something to do until it does it
)

// Stats are what is counted of one kind of action.
type Stats struct {
	Late      int64 `json:"late"`
	LongestMS int64 `json:"longest_ms"`
}

// Recorder records delays. A nil Recorder records nothing.
type Recorder struct {
	log *slog.Logger
	mu  sync.Mutex // guards all
	all map[Action]Stats
}

// NewRecorder returns a recorder that writes to a log.
func NewRecorder(log *slog.Logger) *Recorder {
	return &Recorder{log: log, all: map[Action]Stats{Reply: {}, Attempt: {}, Step: {}}}
}

// Record records an action that is over and took so long. What names it in the log comes as for slog.
func (r *Recorder) Record(action Action, took time.Duration, args ...any) {
	if r == nil || took < Threshold {
		return
	}
	r.mu.Lock()
	f := r.all[action]
	f.Late++
	f.LongestMS = max(f.LongestMS, took.Milliseconds())
	r.all[action] = f
	r.mu.Unlock()
	r.log.Warn("carried out late", append([]any{"action", string(action), "took", took}, args...)...)
}

// Stats are the counts since the start.
func (r *Recorder) Stats() map[Action]Stats {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.all)
}
