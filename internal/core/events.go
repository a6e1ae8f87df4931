package core

// Events from sockets, operators and other processes.

import (
	"time"

	"lapislever/balance"
)

// Event is an input of the core. The types below are the only implementations.
type Event interface{ isEvent() }

// AttemptDone reports how an attempt ended.
type AttemptDone struct {
	Attempt *Attempt
	Outcome balance.Outcome
	Report  []float32
	Value   Value
}

// ClientGone reports that the client of a query has left.
type ClientGone struct{ Query *Query }

// rejection ends a query whose client breaks the protocol.
type rejection struct{ query *Query }

// ListUpdate carries changes of the list of servers.
type ListUpdate struct {
	Mode     balance.ListMode
	Replicas []balance.Replica
	// ReceivedAt is the time of reception if the servers' start times are by the wall clock; zero if they are by
	// the module's clock.
	ReceivedAt time.Time
}

// ProbeDone reports how a probe ended.
type ProbeDone struct {
	Replica balance.ReplicaID
	Outcome balance.Outcome
	Elapsed time.Duration
	Report  []float32
}

// PeerMessage is a message from another coordinator.
type PeerMessage struct {
	From uint32
	Data []byte
}

// SettingsChanged carries new settings. Classes keep their indexes and none is removed; open queries keep
// their rules.
type SettingsChanged struct{ Settings balance.Settings }

// shutdown announces that this instance shuts down: no query may be held beyond until.
type shutdown struct{ until time.Time }

// Cordon cordons or uncordons a server. A cordoned server gets no new attempts, whatever the list says:
// the module is told that it is draining. An uncordoned server counts as started at that time, because it
// may have been restarted without the list reporting it yet, unless the list reported a start while it was
// cordoned.
type Cordon struct {
	Server        balance.ReplicaID
	Cordoned      bool
	Source        CordonSource   // a server stays cordoned until each source that cordoned it has uncordoned it
	At            balance.Micros // when it was requested, in Unix microseconds; 0: now
	AllowUnlisted bool           // another process or the fleet knows the server: it need not be listed here
	Order         uint64         // by evidence: precedence when not all servers may be cordoned, lowest first
	Done          chan<- bool    // receives once whether the server is known; must be buffered; may be nil
}

// CordonSource is who cordons servers.
type CordonSource uint8

// The sources: an operator at this coordinator, an operator for the whole fleet, and the fleet by evidence.
const (
	ByOperator CordonSource = iota
	ByFleetOperator
	ByFleetEvidence // by evidence, for the whole fleet or for a zone: LimitCordons may override only these
	ByZoneEvidence
	cordonSources
)

// HandoverState is what a process of this coordinator passes to its successor: the cordons and the state
// of the module.
type HandoverState struct {
	Cordons      map[balance.ReplicaID]balance.Micros // cordoned by operators here, and when
	FleetCordons map[balance.ReplicaID]balance.Micros // cordoned by operators for the whole fleet, and when
	RestoredAt   map[balance.ReplicaID]balance.Micros // when servers were uncordoned
	HeldNames    map[string]time.Duration             // of queries that have ended and may still run
	Memory       balance.Memory
	// Clock is the time on the sender's module clock, by which all times here are measured; 0: the clocks agree.
	Clock balance.Micros
}

// handoverRequest requests the HandoverState for the next process.
type handoverRequest struct{ done chan<- HandoverState }

// isListedRequest asks whether a server is listed.
type isListedRequest struct {
	server balance.ReplicaID
	done   chan<- bool
}

func (*Query) isEvent()          {}
func (Cordon) isEvent()          {}
func (HandoverState) isEvent()   {}
func (handoverRequest) isEvent() {}
func (SettingsChanged) isEvent() {}
func (AttemptDone) isEvent()     {}
func (ClientGone) isEvent()      {}
func (ListUpdate) isEvent()      {}
func (ProbeDone) isEvent()       {}
func (PeerMessage) isEvent()     {}
func (shutdown) isEvent()        {}
func (isListedRequest) isEvent() {}
func (rejection) isEvent()       {}
