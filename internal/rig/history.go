package rig

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Event is one line of the history. Kind determines which of the other fields are set.
type Event struct {
	AtMS    float64 `json:"ms"` // since the start of the history
	Kind    string  `json:"kind"`
	Subject string  `json:"who,omitempty"`
	Detail  string  `json:"what,omitempty"`

	Digest       string            `json:"digest,omitempty"`  // of a view
	Members      map[string]string `json:"members,omitempty"` // of a view: name to state
	Incarnations map[string]uint32 `json:"incs,omitempty"`    // of a view: name to incarnation

	Query         string  `json:"query,omitempty"`  // of a query and its answer
	Status        int     `json:"status,omitempty"` // of an answer; 0: no reply arrived
	TookMS        float64 `json:"took_ms,omitempty"`
	RefusalReason string  `json:"why,omitempty"` // of a refusal: the body that the client got
}

// The kinds of event.
const (
	KindProcess = "process" // Detail is what happened to process Subject
	KindFault   = "fault"   // Detail is the fault that was injected
	KindView    = "view"    // Members is the fleet view of Subject
	KindQuery   = "query"   // Query was sent to Subject
	KindAnswer  = "answer"  // how Query ended
	KindPart    = "part"    // data node Subject received a part of Query
	KindStep    = "step"    // a scenario step was run
)

// History records events in order.
type History struct {
	mu     sync.Mutex
	start  time.Time
	events []Event
	out    *json.Encoder
}

// NewHistory starts a history. If out is not nil, every event is also written to it as a JSON line.
func NewHistory(out io.Writer) *History {
	h := &History{start: time.Now()}
	if out != nil {
		h.out = json.NewEncoder(out)
	}
	return h
}

// Record appends an event and stamps it with the current time.
func (h *History) Record(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.AtMS = float64(time.Since(h.start).Microseconds()) / 1000
	h.events = append(h.events, e)
	if h.out != nil {
		_ = h.out.Encode(e)
	}
}

// Events returns a copy of the events recorded so far.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Event(nil), h.events...)
}
