// Package translate decides what the old form and the new one mean to each other: which outcome a status of
// gRPC is to the decision module, which value the old form can carry, what an old terminal is told, and
// whether a keyed part may be sent once more. It does no input or output, reads no clock and knows no
// connection; what has no equivalent gets a definite word and a reason, never a blank answer.
//
// This file holds the tables.
package translate

import (
	"strconv"
	"sync/atomic"
	"unicode/utf8"

	"lapislever/balance"
)

// Code is a status of gRPC.
type Code uint32

// The statuses of gRPC.
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

// Reason tells why an attempt brought nothing that the old form can carry.
type Reason uint8

// The reasons. Those from BadStatus on have no equivalent in the old form: another try would meet the same.
const (
	None            Reason = iota
	Rejected               // the server turned the call away unseen
	DeadlinePassed         // the server's own deadline passed
	Unreachable            // the server says that it cannot be reached, or gave up in the middle
	ServerError            // the server failed
	UnknownStatus          // a status that gRPC does not know, or none
	UnreadableReply        // no gRPC at all, or a message that cannot be read
	UnsupportedKind        // a value of a kind that the old form has not
	InvalidUTF8            // text that is not UTF-8
	WrongShard             // the answer to another part
	TooLarge               // a value larger than an answer may be
	Compressed             // a message in a coding that was not asked for
	Denied                 // the server does not take calls from here
	RepeatDropped          // the server has had the key before, and keeps its answer to itself
	NeverPossible          // the server says that the request can never succeed
	GuardPast              // not sent: the key's window is over
	GuardDomain            // not sent: the key may have run in the other form
	GuardCrowded           // not sent: too many keys
	reasons
)

var reasonNames = [reasons]string{"", "turned_away", "deadline", "unavailable", "failing", "unknown_status",
	"unreadable_reply", "value_kind", "text_not_utf8", "wrong_shard", "too_large", "compressed", "denied",
	"repeat_dropped", "never_possible", "window_over", "other_form", "too_many_keys"}

// String is the reason's name in logs, figures and answers.
func (r Reason) String() string { return reasonNames[r] }

// Untranslatable tells that the old form has no equivalent, and that asking again would bring the same.
func (r Reason) Untranslatable() bool { return r >= UnknownStatus && r <= NeverPossible }

// FailureCounts counts attempts by reason. It is safe for concurrent use.
type FailureCounts struct{ n [reasons]atomic.Int64 }

// Add counts one.
func (t *FailureCounts) Add(r Reason) {
	if r != None {
		t.n[r].Add(1)
	}
}

// Of is how many there were of a reason.
func (t *FailureCounts) Of(r Reason) int64 { return t.n[r].Load() }

// Figures are the counts that are not 0, by name.
func (t *FailureCounts) Figures() map[string]int64 {
	out := map[string]int64{}
	for r := None + 1; r < reasons; r++ {
		if n := t.n[r].Load(); n > 0 {
			out[r.String()] = n
		}
	}
	return out
}

// Result is what an attempt's end means to the module, and why.
type Result struct {
	Outcome balance.Outcome
	Reason  Reason
}

// statuses is what each status means where the call may have run.
var statuses = [...]Result{
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

// FromStatus is what a status means. unseen is the service's own word that the call was turned away before it was
// looked at; it counts with the two statuses that the contract joins it to, and nothing else proves that a
// call which was written whole has not run.
func FromStatus(code Code, unseen bool) Result {
	if int(code) >= len(statuses) {
		return Result{balance.Error, UnknownStatus}
	}
	if unseen && (code == ResourceExhausted || code == Unavailable) {
		return Result{balance.Busy, Rejected}
	}
	return statuses[code]
}

// ParseStatus reads a grpc-status. What is no number of a known status is none.
func ParseStatus(text string) (Code, bool) {
	n, err := strconv.ParseUint(text, 10, 32)
	return Code(n), err == nil && n < uint64(len(statuses))
}

// FromHTTP is what a reply without a status of gRPC means, by its HTTP status: something between us and the
// server has answered, and it cannot be told whether the server has.
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

// Kind is the kind of a value.
type Kind uint8

// The kinds of values of the new form.
const (
	NoValue Kind = iota
	Text
	Integer
	Float
	Bytes
)

// Answer is an answer of the new form.
type Answer struct {
	Shard     uint32
	Kind      Kind
	Text      []byte
	Integer   int64
	Rate      float64 // requests a second, as the server reports
	Waiting   uint32
	HasReport bool // it has a report
}

// Value is the old form's value of an answer for a shard, of at most most bytes.
func (a *Answer) Value(shard, most int) ([]byte, Reason) {
	if int64(a.Shard) != int64(shard) {
		return nil, WrongShard
	}
	switch a.Kind {
	case Text:
		switch {
		case len(a.Text) > most:
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

// Word is what an old terminal is told.
type Word struct {
	Status  int
	Text    string
	Refused bool // trying again is harmless
	Close   bool
}

// Failed is the word on a query that was not served. refused is the module's decision, overdue and taken are
// the core's, why is what its last attempt that brought nothing met.
func Failed(refused, overdue, taken bool, why Reason) Word {
	switch {
	case why.Untranslatable(): // also where it was refused: the same would come again
		return Word{Status: 502, Text: "failed: " + why.String()}
	case refused:
		return Word{Status: 503, Text: "refused for now", Refused: true}
	case taken:
		return Word{Status: 409, Text: "failed: a request of this id is open", Close: true}
	case overdue:
		return Word{Status: 504, Text: "failed"}
	case why == GuardPast || why == GuardDomain:
		return Word{Status: 409, Text: "failed: " + why.String()}
	}
	return Word{Status: 502, Text: "failed"}
}

// Turn is the word on a query that the guard turns away before it is taken.
func Turn(v Verdict) Word {
	if v == Crowded {
		return Word{Status: 503, Text: "refused for now", Refused: true}
	}
	return Word{Status: 409, Text: "failed: " + GuardPast.String()}
}

// Reason is the reason that a verdict counts as.
func (v Verdict) Reason() Reason {
	return [...]Reason{None, GuardPast, GuardDomain, GuardCrowded}[v]
}
