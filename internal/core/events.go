package core

// What sockets, operators and other processes have to say to the core.

import (
	"time"

	"lapislever/balance"
)

// Event is something that sockets have to say. The types below are all there are.
type Event interface{ isEvent() }

// AttemptDone tells how an attempt ended.
type AttemptDone struct {
	Attempt *Attempt
	Outcome balance.Outcome
	Report  []float32
	Value   Value
}

// ClientGone tells that the client of a query has left.
type ClientGone struct{ Query *Query }

// ListUpdate brings news of the servers.
type ListUpdate struct {
	Mode     balance.ListMode
	Replicas []balance.Replica
	// ReceivedAt is when, where the starts of the servers are told by the wall clock; zero: by the module's.
	ReceivedAt time.Time
}

// ProbeDone tells how a probe ended.
type ProbeDone struct {
	Replica balance.ReplicaID
	Outcome balance.Outcome
	Elapsed time.Duration
	Report  []float32
}

// PeerMessage is a message of another coordinator.
type PeerMessage struct {
	From uint32
	Data []byte
}

// SettingsChanged brings new settings. Classes keep their places and none goes; open queries keep their rules.
type SettingsChanged struct{ Settings balance.Settings }

// stopping tells that this instance ends: no query may be held beyond until.
type stopping struct{ until time.Time }

// Cordon is an operator's call to put a server out, or back. While out it gets nothing new, whatever the list
// says: the module is told that it drains. Back, it counts as started at that moment, for it may have been
// restarted without the list's telling yet, unless the list has told of a start while it was out.
type Cordon struct {
	Server        balance.ReplicaID
	Cordoned      bool
	Source        CordonSource   // each who has put it out has to put it back
	At            balance.Micros // when it was called, in Unix microseconds; 0: now
	AllowUnlisted bool           // another process of this coordinator knows the server: no question
	Order         uint64         // of a Judged one: which goes first where not all may be out
	Done          chan<- bool    // hears once whether the server is known; it has room. Or nil
}

// CordonSource is who puts servers out.
type CordonSource uint8

// The authors: an operator at this coordinator, one for the whole fleet, and the fleet by evidence.
const (
	ByOperator CordonSource = iota
	ByFleetOperator
	ByFleetEvidence // by evidence, for the whole fleet and for a zone: the only ones that the guard may leave in
	ByZoneEvidence
	authors
)

// HandoverState is what another process of this coordinator has been told by operators, and what its module hands
// over.
type HandoverState struct {
	Cordons      map[balance.ReplicaID]balance.Micros // and when
	FleetCordons map[balance.ReplicaID]balance.Micros // the same by operators for the whole fleet
	RestoredAt   map[balance.ReplicaID]balance.Micros
	Memory       balance.Memory
	// Clock is what the module's clock read there, which the moments are told by; 0: the same as here.
	Clock balance.Micros
}

// cordons asks for what Inherited tells the next process.
type cordons struct{ done chan<- HandoverState }

// knows asks whether a server is listed.
type knows struct {
	server balance.ReplicaID
	done   chan<- bool
}

func (*Query) isEvent()          {}
func (Cordon) isEvent()          {}
func (HandoverState) isEvent()   {}
func (cordons) isEvent()         {}
func (SettingsChanged) isEvent() {}
func (AttemptDone) isEvent()     {}
func (ClientGone) isEvent()      {}
func (ListUpdate) isEvent()      {}
func (ProbeDone) isEvent()       {}
func (PeerMessage) isEvent()     {}
func (stopping) isEvent()        {}
func (knows) isEvent()           {}
