// Package balance decides for a co-ordinator of queries over replicated shards: which replica gets each
// part, when a part is copied or tried again, when a query is answered, and which queries are refused.
//
// This file is the whole interface; balance.go holds every decision. The package does no input or output
// and reads no clock: the host hands events to Step and carries out the actions that it returns.
package balance

import "fmt"

// Micros is a time or a span in microseconds. Times come from the host's clock, which only goes forward.
type Micros = int64

// ReplicaID names a replica. It is opaque: nothing is read into it but equality.
type ReplicaID uint64

// Effect tells what a repeated part may do.
type Effect uint8

// The kinds of effect.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // a repeat is dropped by the shard's holders within Class.Window
	Unsafe               // may be repeated only when no earlier attempt ran
)

// Class describes one kind of query.
type Class struct {
	Aim        Micros  // an answer within this earns full worth
	Deadline   Micros  // the client waits this long over all its tries
	AimStretch float64 // the aim grows by this multiple of the query's own work
	Effect     Effect
	Window     Micros // Keyed: repeats are dropped for this long after the first send that may have run
	Worth      float64
	LateWorth  float64 // share of the worth that an answer earns after the aim
	Need       float64 // share of the first step's weight that makes a whole answer
	Floor      float64 // least share for any answer
	Partial    float64 // share of the worth that an answer earns which is not whole, times its share / Need
	SecondStep int     // parts of a second step; 0 for one step only
	Dropped    bool    // not asked for any more: it keeps its place, and no scale is taken from it
}

// Tenant is one of those who share the service.
type Tenant struct {
	Quota float64 // requests a second over all co-ordinators that count in full
}

// Settings is what an instance is told at its start.
type Settings struct {
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // worth of a query beyond its tenant's quota
	WorthByWork    bool    // worth counts by work, not by query
	Peers          int     // co-ordinators in this tier
	Number         int     // this instance's own, from 0
	Zone           int     // this instance's zone
	Tick           Micros  // least time between two Steps

	Cells     int // a shard s is held by the replicas of cells (s+j) mod Cells, j < Reach
	Reach     int
	BatchMax  int     // sends of one Step to one replica that share a call
	CallCost  Micros  // work of a call beside that of its parts
	CrossCost float64 // price of a part that crosses zones, in shares of the worth asked for
	Subscribe bool    // list changes come only after Watch or Fetch
	MustAsk   Micros

	DialTimeout   Micros // a connection that takes longer is given up as NoConnection; 0: not known
	MaxOpen       int    // queries and parts held at once
	MaxAttempts   int    // attempts for one part
	CanCancel     bool
	CanCopy       bool // a part may have two attempts out at once
	CanProbe      bool
	CanTell       bool   // peers hear Tell
	TellMost      int    // bytes of a Tell's text; 0: 256
	MarksRepeat   bool   // clients mark their repeats, see Event.Repeat
	CanAdvise     bool   // clients hear Action.After of a Refuse
	MaxRetryAfter Micros // longest advice that a client follows

	ColdShare    float64 // a replica that starts has at least this share of its capacity
	Ramp         Micros  // and all of it after this long
	FallMultiple float64 // sent more than this multiple of its present capacity
	FallSpan     Micros  // for this long, a cold replica falls over

	SpareAttempts float64 // attempts beyond a part's first within ResendSpan: at most SpareAttempts
	ResendRatio   float64 // plus ResendRatio x the queries and parts taken in that span
	ResendSpan    Micros  // 0: no such limit

	ReportQueue int // place of the waiting count in a load report, or -1
}

// check names the first field that contradicts itself or leaves out what a rule needs.
func (s *Settings) check() error {
	fault := func(bad bool, field string, why string) error {
		if !bad {
			return nil
		}
		return fmt.Errorf("balance: Settings.%s %s", field, why)
	}
	checks := []error{
		fault(len(s.Classes) == 0, "Classes", "is empty"),
		fault(s.Cells < 1, "Cells", "must be at least 1"),
		fault(s.CallCost < 0, "CallCost", "must not be negative"),
		fault(!(s.CrossCost >= 0), "CrossCost", "must not be negative"),
		fault(s.Reach < 1, "Reach", "must be at least 1"),
		fault(s.MaxAttempts < 1, "MaxAttempts", "must be at least 1"),
		fault(s.Number < 0 || s.Number >= max(1, s.Peers), "Number", "must be under Peers"),
		fault(s.Tick < 0, "Tick", "must not be negative"),
		fault(!(s.ColdShare >= 0 && s.ColdShare <= 1), "ColdShare", "must be a share"),
		fault(s.Ramp < 0, "Ramp", "must not be negative"),
		fault(s.Ramp > 0 && s.ColdShare < 1 && !(s.FallMultiple > 0), "FallMultiple", "is needed with Ramp"),
		fault(s.Ramp > 0 && s.ColdShare < 1 && s.FallSpan <= 0, "FallSpan", "is needed with Ramp"),
		fault(s.ResendSpan < 0, "ResendSpan", "must not be negative"),
		fault(s.ResendSpan > 0 && !(s.ResendRatio >= 0), "ResendRatio", "must not be negative"),
		fault(s.ResendSpan > 0 && !(s.SpareAttempts >= 0), "SpareAttempts", "must not be negative"),
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		checks = append(checks,
			fault(c.Aim <= 0, at+"Aim", "must be more than 0"),
			fault(!(c.Need > 0 && c.Need <= 1), at+"Need", "must be a share over 0"),
			fault(!(c.Floor >= 0 && c.Floor <= c.Need), at+"Floor", "must be a share up to Need"),
			fault(c.Effect == Keyed && c.Window <= 0, at+"Window", "is needed where Effect is Keyed"))
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

// State is what the list says of a replica.
type State uint8

// The states of a replica.
const (
	Removed State = iota
	Ready
	Draining
)

// Replica is one line of a list.
type Replica struct {
	ID      ReplicaID
	Zone    int
	Cell    int
	State   State
	Size    float64 // listed size, for comparison among replicas
	Started Micros  // when it last started; 0: long ago
	Domain  int     // replicas of one domain know of each other's repeats of keyed parts
}

// ListMode tells how a List event is to be read.
type ListMode uint8

// The modes of a list.
const (
	Delta  ListMode = iota // changed lines only
	Full                   // every line
	Cached                 // every line, as held before a restart: it may be stale
	Failed                 // a Watch or Fetch failed, or the subscription broke; no lines
	Local                  // changed lines only, by the host's own word and not discovery's
)

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// String is the outcome's name in the log.
func (o Outcome) String() string {
	names := [...]string{Error: "error", OK: "ok", Busy: "busy", TimedOut: "timed out",
		NoConnection: "no connection",
		Reset:        "reset", Cancelled: "cancelled", NotSent: "not sent", Malformed: "spoilt"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// The outcomes of an attempt. NotSent, Full and NoConnection prove that it never ran.
const (
	Error        Outcome = iota // the replica answered with an error
	OK                          // served
	Busy                        // sent back unseen: its queue is full, or it drains
	TimedOut                    // no answer in the time allowed
	NoConnection                // no connection came about
	Reset                       // the connection broke
	Cancelled                   // withdrawn
	NotSent                     // never transmitted
	Malformed                   // the replica answered, but what came cannot be read, nor what would come after
)

// EventKind tells which fields of an Event count.
type EventKind uint8

// The kinds of event.
const (
	Query           EventKind = iota // ID, Number, Class, Tenant, Deadline, Hint, Repeat, Weight (number of parts)
	Part                             // ID, Number, Shard, Weight, Hint; comes after its query in the same Step
	Result                           // ID, Attempt, Closed, Outcome, Replica, Elapsed, Report
	StreamStarted                    // ID, Attempt: a streamed answer started
	ClientGone                       // ID of a query
	List                             // Mode, Replicas
	ProbeResult                      // Replica, Outcome, Elapsed, Report
	Message                          // From, Data: from a peer
	WakeUp                           // a wake-up that was asked for
	Stopping                         // Deadline: this instance ends then, and holds no query beyond it
	SettingsChanged                  // Settings: the new ones; classes keep their places, and none goes
	Restored                         // Memory: of an instance that this one takes over from; before any List
)

// Event is something that happened to this instance.
type Event struct {
	Kind        EventKind
	ID          uint32
	Number      float32 // a query's number here; its parts carry the same
	Class       int
	Tenant      int
	Shard       int
	Weight      float64
	Hint        Micros // expected work, 0 if unknown
	Key         uint64
	Deadline    Micros // when the client abandons this try
	Repeat      bool   // of a Query: marked by its client as asked before
	Rules       *Class // of a Query: what binds it where that is not its class; nil: the class
	MaxAttempts int    // of a Query: attempts for a part where that differs from the settings; 0: it does not
	Attempt     int
	Closed      bool
	Outcome     Outcome
	Replica     ReplicaID
	Elapsed     Micros
	Report      []float32
	Mode        ListMode
	Replicas    []Replica
	From        uint32
	Data        []byte
	Settings    *Settings
	Memory      *Memory
}

// Memory is what an instance hands to the one that takes its place, on the same clock: how much cold replicas
// may be given, and which are known to be cold.
type Memory struct {
	Carried, UsualSize float64
	Starts             map[ReplicaID]Micros
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The kinds of action.
const (
	Send    ActionKind = iota // ID of a part, Replica, After (its time-out), Before (of a repeat)
	Cancel                    // ID of a part, Attempt
	Answer                    // ID of a query, Whole
	Refuse                    // ID of a query, After (advice when to come back; 0: none)
	Fail                      // ID of a query
	Probe                     // Replica
	Wake                      // After
	Watch                     // subscribe to list changes
	Fetch                     // ask for the whole list once
	Note                      // Text, a line for the operators
	Tell                      // To (a peer's number, or AllPeers), Text: at most 256 bytes
	Close                     // Replica: shut this instance's idle connections to it
	Unwatch                   // end the subscription to list changes
)

// Action is something the host is to do, in the order given.
type Action struct {
	Kind     ActionKind
	ID       uint32
	Attempt  int
	Replica  ReplicaID
	Complete bool
	After    Micros
	StartBy  Micros // of a Send: it must not begin later than this; 0: it may
	Text     string
	To       uint32
}

// Why a query is refused or failed, as the Text of a Refuse or a Fail, for the log.
const (
	WhyLate      = "no time is left"
	WhyOverload  = "overload: not expected in time"
	WhyExhausted = "no replica is left to try"
)

// AllPeers addresses a Tell to every peer.
const AllPeers = ^uint32(0)
