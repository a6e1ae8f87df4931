package core

import (
	"time"

	"lapislever/balance"
)

// QueryOutcome is the kind of a final answer.
type QueryOutcome uint8

// The kinds of final answer.
const (
	Answered QueryOutcome = iota
	Refused
	Failed
)

// Value is a server's answer to a part.
type Value struct {
	Shard int
	Body  []byte
	Data  any // set by a backend for its own front
}

// FinalAnswer is the only final answer of a query.
type FinalAnswer struct {
	Outcome    QueryOutcome
	Complete   bool
	Values     []Value       // of the answered parts, in the order of the parts
	RetryAfter time.Duration // of a refusal: suggested delay before a retry
	Overdue    bool          // the deadline passed without a decision
	Why        string        // of a refusal by the admission controller: the reason
	NameTaken  bool          // an open query has the same name
	Decided    time.Time     // time of the Step that decided; zero: not decided by a Step
}

// Client receives the final answer of its query, exactly once and from any goroutine. Final must not
// block.
type Client interface {
	Final(FinalAnswer)
}

// PartSpec describes one part of a query.
type PartSpec struct {
	Shard  int
	Weight float64
	Hint   balance.Micros
	Key    uint64
}

// Query is a query as submitted by its front. Its exported fields must not change afterwards.
type Query struct {
	Name        string // identifies its parts on the wire; unique among the open queries
	Class       int
	Tenant      int
	Deadline    time.Time // when the client gives up this try
	Repeat      bool
	Key         string         // idempotency key
	Rules       *balance.Class // rules that apply instead of its class's; nil: those of the class
	MaxAttempts int            // for a part, if it differs from the settings; 0: as in the settings
	Payload     []byte         // payload of each part
	Parts       []PartSpec
	Client      Client
	Backend     Backend // sends the parts to their servers
	Data        any     // shared by the front and its backend
	Caller      string  // caller as known to the limits; empty: unknown
	Ticket      any     // belongs to the admission controller
	// ClientLeft reports without blocking whether the client has closed its connection. Nil: unknown.
	ClientLeft func() bool

	admitted bool
	rejected bool // it is to end with a failure; used by the core's goroutine
	id       uint32
	number   float32
	parts    []*part
	open     bool
	openedAt balance.Micros // when the core opened it
	deadline balance.Micros
	timer    *timer
	writes   writeBarrier // closed when it has its final answer or its client has left
}

// Finished reports whether the query has its final answer or its client has left. No attempt of it may
// begin then.
func (q *Query) Finished() bool { return q.writes.closed.Load() }

type part struct {
	query    *Query
	spec     *PartSpec
	id       uint32
	attempts []*Attempt
	pending  int
	value    *Value
	answered bool
}
