package core

// What sockets, operators and other processes have to say to the core.

import (
	"time"

	"lapislever/balance"
)

// Event is something that sockets have to say. The types below are all there are.
type Event interface{ isEvent() }

// Outcome tells how an attempt ended.
type Outcome struct {
	Attempt *Attempt
	Outcome balance.Outcome
	Report  []float32
	Value   Value
}

// Gone tells that the client of a query has left.
type Gone struct{ Query *Query }

// Listed brings news of the servers.
type Listed struct {
	Mode     balance.ListMode
	Replicas []balance.Replica
	// Heard is when, where the starts of the servers are told by the wall clock; zero: by the module's.
	Heard time.Time
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

// Reconfigured brings new settings. Classes keep their places and none goes; open queries keep their rules.
type Reconfigured struct{ Settings balance.Settings }

// stopping tells that this instance ends: no query may be held beyond until.
type stopping struct{ until time.Time }

// Cordon is an operator's call to put a server out, or back. While out it gets nothing new, whatever the list
// says: the module is told that it drains. Back, it counts as started at that moment, for it may have been
// restarted without the list's telling yet, unless the list has told of a start while it was out.
type Cordon struct {
	Server balance.ReplicaID
	Out    bool
	By     Author         // each who has put it out has to put it back
	At     balance.Micros // when it was called, in Unix microseconds; 0: now
	Sure   bool           // another process of this coordinator knows the server: no question
	Order  uint64         // of a Judged one: which goes first where not all may be out
	Done   chan<- bool    // hears once whether the server is known; it has room. Or nil
}

// Author is who puts servers out.
type Author uint8

// The authors: an operator at this coordinator, one for the whole fleet, and the fleet by evidence.
const (
	Here Author = iota
	ByFleet
	Judged // by evidence, for the whole fleet and for a zone: the only ones that the guard may leave in
	JudgedHere
	authors
)

// Inherited is what another process of this coordinator has been told by operators, and what its module hands
// over.
type Inherited struct {
	Out    map[balance.ReplicaID]balance.Micros // and when
	Barred map[balance.ReplicaID]balance.Micros // the same by operators for the whole fleet
	Since  map[balance.ReplicaID]balance.Micros
	Memory balance.Memory
	// Now is what the module's clock read there, which the moments are told by; 0: the same as here.
	Now balance.Micros
}

// cordons asks for what Inherited tells the next process.
type cordons struct{ done chan<- Inherited }

// knows asks whether a server is listed.
type knows struct {
	server balance.ReplicaID
	done   chan<- bool
}

func (*Query) isEvent()       {}
func (Cordon) isEvent()       {}
func (Inherited) isEvent()    {}
func (cordons) isEvent()      {}
func (Reconfigured) isEvent() {}
func (Outcome) isEvent()      {}
func (Gone) isEvent()         {}
func (Listed) isEvent()       {}
func (ProbeDone) isEvent()    {}
func (PeerMessage) isEvent()  {}
func (stopping) isEvent()     {}
func (knows) isEvent()        {}
