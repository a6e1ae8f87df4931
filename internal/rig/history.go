package rig

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Event is one line of the history. What counts beside Kind depends on it.
type Event struct {
	MS   float64 `json:"ms"` // since the history's begin
	Kind string  `json:"kind"`
	Who  string  `json:"who,omitempty"`
	What string  `json:"what,omitempty"`

	Digest  string            `json:"digest,omitempty"`  // of a view
	Members map[string]string `json:"members,omitempty"` // of a view: name to state
	Incs    map[string]uint32 `json:"incs,omitempty"`    // and incarnation

	Query  string  `json:"query,omitempty"`  // of a query and its answer
	Status int     `json:"status,omitempty"` // of an answer; 0: none came
	Took   float64 `json:"took_ms,omitempty"`
	Why    string  `json:"why,omitempty"` // of a refusal, as its client was told
}

// The kinds of event.
const (
	KindProcess = "process" // What became of Who
	KindFault   = "fault"   // What was put on links
	KindView    = "view"    // Who sees Members
	KindQuery   = "query"   // Who was asked Query
	KindAnswer  = "answer"  // and how it ended
	KindPart    = "part"    // data node Who got a part of Query
	KindStep    = "step"    // of a scenario
)

// History is what happened, in order.
type History struct {
	mu     sync.Mutex
	begun  time.Time
	events []Event
	out    *json.Encoder
}

// NewHistory begins a history; out gets it as JSON lines, where it is not nil.
func NewHistory(out io.Writer) *History {
	h := &History{begun: time.Now()}
	if out != nil {
		h.out = json.NewEncoder(out)
	}
	return h
}

// Note adds an event.
func (h *History) Note(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.MS = float64(time.Since(h.begun).Microseconds()) / 1000
	h.events = append(h.events, e)
	if h.out != nil {
		_ = h.out.Encode(e)
	}
}

// Events are all so far.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Event(nil), h.events...)
}
