// Package translate maps between the old and the new form of nodes: which outcome a gRPC status is to the
// decision module, which values the old form can represent, which reply an old-form client gets, and
// whether a keyed part may be sent again. It does no I/O, reads no clock and knows no connection. An answer
// without an equivalent in the old form becomes an explicit failure with a reason, never an empty answer.
//
// This file holds the mapping tables.
package translate

import (
	"strconv"
	"sync/atomic"
	"unicode/utf8"

	"lapislever/balance"
)

// Code is a gRPC status code.
type Code uint32

// The gRPC status codes.
const (
	OK Code = iota
	Cancelled
	Unknown
	InvalidArgument
	DeadlineExceeded
	NotFound
	AlreadyExists
	PermissionDenied
	ResourceExhausted
	FailedPrecondition
	Aborted
	OutOfRange
	Unimplemented
	Internal
	Unavailable
	DataLoss
	Unauthenticated
)

// Reason tells why an attempt produced no value that the old form can represent.
type Reason uint8

// The reasons. Those from UnknownStatus to NeverPossible have no equivalent in the old form, and a retry
// would meet the same.
const (
	None             Reason = iota
	Rejected                // the server rejected the call without processing it
	DeadlinePassed          // the server's own deadline passed
	Unreachable             // the server reported itself unavailable or aborted the call midway
	ServerError             // the server failed
	UnknownStatus           // the status is missing or no gRPC status
	UnreadableReply         // the reply is not gRPC, or its message cannot be decoded
	UnsupportedKind         // the old form has no such kind of value
	InvalidUTF8             // the text is not UTF-8
	WrongShard              // the answer belongs to another part
	TooLarge                // the value exceeds the size limit
	Compressed              // the message is compressed, which was not requested
	Denied                  // the server does not authorize calls from this coordinator
	RepeatDropped           // the server has seen the key before and does not return the answer again
	NeverPossible           // the server reported that the request cannot succeed
	GuardWindowOver         // not sent: the key's window has ended
	GuardOtherForm          // not sent: the key may have run in the other form
	GuardTooManyKeys        // not sent: the guard's table of keys is full
	numReasons
)

var reasonNames = [numReasons]string{"", "turned_away", "deadline", "unavailable", "failing",
	"unknown_status", "unreadable_reply", "value_kind", "text_not_utf8", "wrong_shard", "too_large",
	"compressed", "denied", "repeat_dropped", "never_possible", "window_over", "other_form", "too_many_keys"}

// String returns the reason's name in logs, counters and replies.
func (r Reason) String() string { return reasonNames[r] }

// Untranslatable reports whether the old form has no equivalent and a retry would meet the same.
func (r Reason) Untranslatable() bool { return r >= UnknownStatus && r <= NeverPossible }

// FailureCounts counts attempts by reason. It is safe for concurrent use.
type FailureCounts struct{ counts [numReasons]atomic.Int64 }

// Add counts one attempt; None is not counted.
func (t *FailureCounts) Add(r Reason) {
	if r != None {
		t.counts[r].Add(1)
	}
}

// Count returns the number of attempts with reason r.
func (t *FailureCounts) Count(r Reason) int64 { return t.counts[r].Load() }

// NonZero returns the counts above 0 by the reason's name.
func (t *FailureCounts) NonZero() map[string]int64 {
	out := map[string]int64{}
	for r := None + 1; r < numReasons; r++ {
		if n := t.counts[r].Load(); n > 0 {
			out[r.String()] = n
		}
	}
	return out
}

// Result is an attempt's outcome for the module, and the reason if it failed.
type Result struct {
	Outcome balance.Outcome
	Reason  Reason
}

// statusResults maps each status of a call that may have run.
var statusResults = [...]Result{
	OK:                 {balance.OK, None},
	Cancelled:          {balance.Reset, Unreachable},
	Unknown:            {balance.Error, ServerError},
	InvalidArgument:    {balance.Error, NeverPossible},
	DeadlineExceeded:   {balance.TimedOut, DeadlinePassed},
	NotFound:           {balance.Error, NeverPossible},
	AlreadyExists:      {balance.Error, RepeatDropped},
	PermissionDenied:   {balance.Error, Denied},
	ResourceExhausted:  {balance.Error, ServerError},
	FailedPrecondition: {balance.Error, NeverPossible},
	Aborted:            {balance.Error, ServerError},
	OutOfRange:         {balance.Error, NeverPossible},
	Unimplemented:      {balance.Error, NeverPossible},
	Internal:           {balance.Error, ServerError},
	Unavailable:        {balance.Reset, Unreachable},
	DataLoss:           {balance.Error, ServerError},
	Unauthenticated:    {balance.Error, Denied},
}

// FromStatus maps a gRPC status. unseen means that the service stated to have rejected the call before
// looking at it. The service's contract defines this only for ResourceExhausted and Unavailable; nothing
// else proves that a call that was written completely has not run.
func FromStatus(code Code, unseen bool) Result {
	if int(code) >= len(statusResults) {
		return Result{balance.Error, UnknownStatus}
	}
	if unseen && (code == ResourceExhausted || code == Unavailable) {
		return Result{balance.Busy, Rejected}
	}
	return statusResults[code]
}

// ParseStatus parses a grpc-status value. It returns false unless that is the number of a known status.
func ParseStatus(text string) (Code, bool) {
	n, err := strconv.ParseUint(text, 10, 32)
	return Code(n), err == nil && n < uint64(len(statusResults))
}

// FromHTTP maps the HTTP status of a reply without a gRPC status. Such a reply comes from an intermediary,
// and whether the server processed the call is unknown.
func FromHTTP(status int) Result {
	switch status {
	case 401, 403:
		return Result{balance.Error, Denied}
	case 404:
		return Result{balance.Error, NeverPossible}
	case 429, 502, 503, 504:
		return Result{balance.Reset, Unreachable}
	}
	return Result{balance.Error, UnreadableReply}
}

// Kind is the type of an answer's value.
type Kind uint8

// The value kinds of the new form.
const (
	NoValue Kind = iota
	Text
	Integer
	Float
	Bytes
)

// Answer is a decoded answer of the new form.
type Answer struct {
	Shard     uint32
	Kind      Kind
	Text      []byte
	Integer   int64
	Rate      float64 // load report: requests per second
	Waiting   uint32  // load report: requests waiting
	HasReport bool    // a load report is present
}

// Value converts the answer for shard to a value of the old form, of at most maxSize bytes.
func (a *Answer) Value(shard, maxSize int) ([]byte, Reason) {
	if int64(a.Shard) != int64(shard) {
		return nil, WrongShard
	}
	switch a.Kind {
	case Text:
		switch {
		case len(a.Text) > maxSize:
			return nil, TooLarge
		case !utf8.Valid(a.Text):
			return nil, InvalidUTF8
		}
		return a.Text, None
	case Integer:
		return strconv.AppendInt(nil, a.Integer, 10), None
	}
	return nil, UnsupportedKind
}

// Reply is a failure reply to an old-form client.
type Reply struct {
	Status  int
	Text    string
	Refused bool // the client may safely retry
	Close   bool
}

// FailureReply returns the reply to a query that was not served. refused is the module's decision; overdue
// and taken (its id belongs to another query in flight) are the core's; reason is the reason of the last
// failed attempt.
func FailureReply(refused, overdue, taken bool, reason Reason) Reply {
	switch {
	case reason.Untranslatable(): // even if refused, as a retry would meet the same
		return Reply{Status: 502, Text: "failed: " + reason.String()}
	case refused:
		return Reply{Status: 503, Text: "refused for now", Refused: true}
	case taken:
		return Reply{Status: 409, Text: "failed: a request of this id is open", Close: true}
	case overdue:
		return Reply{Status: 504, Text: "failed"}
	case reason == GuardWindowOver || reason == GuardOtherForm:
		return Reply{Status: 409, Text: "failed: " + reason.String()}
	}
	return Reply{Status: 502, Text: "failed"}
}

// GuardReply returns the reply to a query that the guard rejected before it was accepted.
func GuardReply(d Decision) Reply {
	if d == TooManyKeys {
		return Reply{Status: 503, Text: "refused for now", Refused: true}
	}
	return Reply{Status: 409, Text: "failed: " + GuardWindowOver.String()}
}

// Reason returns the reason that the decision is counted under.
func (d Decision) Reason() Reason {
	return [...]Reason{None, GuardWindowOver, GuardOtherForm, GuardTooManyKeys}[d]
}
