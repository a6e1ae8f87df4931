package core

// Queries, and what their clients hear.

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

// Value is what a server gave for a part.
type Value struct {
	Shard int
	Body  []byte
	Data  any // what a backend has made of it, for its own front
}

// FinalAnswer is the one final answer of a query.
type FinalAnswer struct {
	Outcome    QueryOutcome
	Complete   bool
	Values     []Value       // in the order of the parts; those that are in
	RetryAfter time.Duration // of a refusal: when to come back
	Overdue    bool          // the time was over before there was a decision
	Why        string        // of a refusal that the module did not make
	NameTaken  bool          // an open query bears the same name
	Decided    time.Time     // zero: not by a Step
}

// Client hears the final answer of its query, exactly once, from any goroutine, and must not block.
type Client interface {
	Final(FinalAnswer)
}

// PartSpec is one part of a query as its front describes it.
type PartSpec struct {
	Shard  int
	Weight float64
	Hint   balance.Micros
	Key    uint64
}

// Query is one query as its front hands it over. Nothing of it may be changed afterwards.
type Query struct {
	Name        string // what its parts are named by on a wire; unique among those that are open
	Class       int
	Tenant      int
	Deadline    time.Time // when the client gives this try up
	Repeat      bool
	Key         string         // idempotency key
	Rules       *balance.Class // what binds it where that is not its class; nil: the class
	MaxAttempts int            // attempts for a part, where that differs from the settings; 0: it does not
	Payload     []byte         // what each part carries
	Parts       []PartSpec
	Client      Client
	Backend     Backend // takes the parts to their servers
	Data        any     // what the front and its backend share
	Caller      string  // who asks, by the name that limits know; empty: nobody has said
	Ticket      any     // the gate's
	// ClientLeft looks whether the client's connection has been closed by it, without waiting. Nil: nobody can
	// tell.
	ClientLeft func() bool

	admitted bool
	id       uint32
	number   float32
	parts    []*part
	open     bool
	began    balance.Micros // when the core took it
	deadline balance.Micros
	writes   writeBarrier // closed once it has its final answer or its client has left
}

// Finished tells that the query has its final answer, or that its client has left: nothing of it may begin.
func (q *Query) Finished() bool { return q.writes.closed.Load() }

type part struct {
	q     *Query
	spec  *PartSpec
	id    uint32
	tries []*Attempt
	live  int
	value *Value
	over  bool
}
