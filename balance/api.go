// Package balance makes the decisions of a coordinator for queries over replicated shards: which replica
// serves each part, when a part is hedged or retried, when a query is answered, and which queries are
// refused.
//
// This file is the complete interface; balance.go holds every decision. The package does no I/O and reads
// no clock: the host passes events to Step and carries out the actions that it returns.
package balance

import "fmt"

// Micros is a time or a duration in microseconds. Times come from the host's clock, which never goes back.
type Micros = int64

// ReplicaID identifies a replica. It is opaque: IDs are only compared for equality.
type ReplicaID uint64

// Effect states whether a part may be executed more than once.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // the shard's holders drop repeats within Class.Window
	Unsafe               // may be repeated only if no earlier attempt ran
)

// Class describes one class of queries.
type Class struct {
	Aim        Micros  // latency objective: an answer within this time earns the full worth
	Deadline   Micros  // total time that a client waits, over all its tries
	AimStretch float64 // the aim is extended by this multiple of the query's expected work
	Effect     Effect
	Window     Micros // Keyed: how long repeats are dropped, from the first send that may have run
	Worth      float64
	LateWorth  float64 // share of the worth that an answer after the aim earns
	Need       float64 // share of the first step's weight required for a complete answer
	Floor      float64 // minimum share required for any answer
	Partial    float64 // share of the worth that a partial answer earns, multiplied by its share / Need
	SecondStep int     // number of parts in the second step; 0: there is only one step
	Dropped    bool    // removed from the settings: it keeps its index, and its aim no longer sets a scale
}

// Tenant is one of the customers that share the service.
type Tenant struct {
	Quota float64 // requests per second, over all coordinators, that earn the full worth
}

// Settings configures an instance.
type Settings struct {
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // factor on the worth of queries beyond their tenant's quota
	WorthByWork    bool    // worth is per unit of work instead of per query
	Peers          int     // number of coordinators in this tier
	Number         int     // index of this instance among them, from 0
	Zone           int     // zone of this instance
	Tick           Micros  // minimum time between two Steps

	Cells     int // shard s is held by the replicas of cells (s+j) mod Cells, for j < Reach
	Reach     int
	BatchMax  int     // maximum number of sends of one Step to one replica that share a call
	CallCost  Micros  // work of a call in addition to that of its parts
	CrossCost float64 // cost of a part sent to another zone, as a share of the worth requested
	Subscribe bool    // list changes arrive only after Watch or Fetch
	MustAsk   Micros  // limit on the delay before a failed list call is retried, if < MaxListRetryDelay; 0: none

	DialTimeout   Micros // after this time a connection attempt is given up as NoConnection; 0: unknown
	MaxOpen       int    // maximum number of queries and parts open at once
	MaxAttempts   int    // maximum number of attempts for one part
	CanCancel     bool
	CanCopy       bool // a part may have several attempts in flight
	CanProbe      bool
	CanTell       bool   // peers receive the text of Tell
	TellMost      int    // maximum size of a Tell's text in bytes; 0: 256
	MarksRepeat   bool   // clients mark their retries, see Event.Repeat
	CanAdvise     bool   // clients receive Action.After of a Refuse
	MaxRetryAfter Micros // longest retry delay that clients follow

	ColdShare    float64 // minimum share of its capacity that a replica has when it starts;
	Ramp         Micros  // it reaches full capacity after this time
	FallMultiple float64 // a cold replica fails when sent more than this multiple of its current capacity
	FallSpan     Micros  // for this long

	SpareAttempts float64 // limit on attempts beyond a part's first, in any ResendSpan: SpareAttempts
	ResendRatio   float64 // plus ResendRatio x the queries and parts that arrived in that span
	ResendSpan    Micros  // 0: no limit

	ReportQueue int // index of the queue length in a load report, or -1
}

// validate returns an error that names the first field that is out of range, contradicts another, or is
// required by another and missing.
func (s *Settings) validate() error {
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

// State is the state of a replica according to the list.
type State uint8

// The states of a replica.
const (
	Removed State = iota
	Ready
	Draining
)

// Replica is one entry of a list.
type Replica struct {
	ID      ReplicaID
	Zone    int
	Cell    int
	State   State
	Size    float64 // relative capacity as listed, comparable among replicas
	Started Micros  // time of the last start; 0: long ago
	Domain  int     // replicas of one domain drop each other's repeats of keyed parts
}

// ListMode states how the entries of a List event apply.
type ListMode uint8

// The list modes.
const (
	Delta  ListMode = iota // only the changed entries
	Full                   // all entries
	Cached                 // all entries, as stored before a restart: possibly stale
	Failed                 // a Watch or Fetch failed, or the subscription broke; there are no entries
	Local                  // only changed entries, changed by the host itself and not by discovery
)

// Outcome is the result of an attempt or a probe.
type Outcome uint8

// String returns the name of the outcome as written to the log.
func (o Outcome) String() string {
	names := [...]string{Error: "error", OK: "ok", Busy: "busy", TimedOut: "timed out",
		NoConnection: "no connection",
		Reset:        "reset", Cancelled: "cancelled", NotSent: "not sent", Malformed: "spoilt"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// The outcomes. NotSent, Busy and NoConnection prove that an attempt never ran.
const (
	Error        Outcome = iota // the replica answered with an error
	OK                          // the replica served it
	Busy                        // rejected by the replica without running: its queue is full, or it is draining
	TimedOut                    // no answer within the time allowed
	NoConnection                // no connection could be established
	Reset                       // the connection broke
	Cancelled                   // cancelled by this instance
	NotSent                     // never transmitted
	Malformed                   // the answer, and whatever follows it on the connection, cannot be read
)

// EventKind identifies the type of an Event and thereby which of its fields are set.
type EventKind uint8

// The event kinds, with the fields that each one sets.
const (
	Query           EventKind = iota // ID, Number, Class, Tenant, Deadline, Hint, Repeat, Weight (parts)
	Part                             // ID, Number, Shard, Weight, Hint; comes after its query in the same Step
	Result                           // ID, Attempt, Closed, Outcome, Replica, Elapsed, Report
	StreamStarted                    // ID, Attempt: a streamed answer started
	ClientGone                       // ID of a query
	List                             // Mode, Replicas
	ProbeResult                      // Replica, Outcome, Elapsed, Report
	Message                          // From, Data: a peer sent a message
	WakeUp                           // a requested wake-up is due
	Stopping                         // Deadline: this instance shuts down then and must hold no query beyond it
	SettingsChanged                  // Settings: the new ones; classes keep their indexes, and none is removed
	Restored                         // Memory: of the instance that this one replaces; comes before any List
)

// Event is something that happened to this instance.
type Event struct {
	Kind        EventKind
	ID          uint32
	Number      float32 // identifies a query on this instance; its parts carry the same number
	Class       int
	Tenant      int
	Shard       int
	Weight      float64
	Hint        Micros // expected work; 0: unknown
	Key         uint64
	Deadline    Micros // when the client gives up this try
	Repeat      bool   // Query: the client marked it as a retry
	Rules       *Class // Query: rules that apply instead of its class's; nil: those of the class
	MaxAttempts int    // Query: limit for a part, if it differs from the settings; 0: as in the settings
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

// Memory is what an instance hands to its successor, on the same clock: the measured capacity, which
// bounds what cold replicas may be sent, and the start times of the replicas known to be cold.
type Memory struct {
	Carried, UsualSize float64
	Starts             map[ReplicaID]Micros
}

// ActionKind identifies the type of an Action and thereby which of its fields are set.
type ActionKind uint8

// The action kinds, with the fields that each one sets.
const (
	Send    ActionKind = iota // ID of a part, Replica, After (the time-out), StartBy (for a repeat)
	Cancel                    // ID of a part, Attempt
	Answer                    // ID of a query, Complete
	Refuse                    // ID of a query, After (suggested delay before a retry; 0: none)
	Fail                      // ID of a query
	Probe                     // Replica
	Wake                      // After
	Watch                     // subscribe to list changes
	Fetch                     // request the complete list once
	Note                      // Text: a log line for operators
	Tell                      // To (a peer's number, or AllPeers), Text of at most 256 bytes
	Close                     // Replica: close this instance's idle connections to it
	Unwatch                   // end the subscription to list changes
)

// Action is an instruction to the host. Actions are carried out in the order given.
type Action struct {
	Kind     ActionKind
	ID       uint32
	Attempt  int
	Replica  ReplicaID
	Complete bool
	After    Micros
	StartBy  Micros // Send: latest time at which it may begin; 0: no limit
	Text     string
	To       uint32
}

// The reasons given in the Text of a Refuse or a Fail, for the log.
const (
	ReasonNoTime    = "no time is left"
	ReasonOverload  = "overload: not expected in time"
	ReasonNoReplica = "no replica is left to try"
)

// AllPeers as the To of a Tell addresses every peer.
const AllPeers = ^uint32(0)
