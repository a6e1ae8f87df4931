package platform

// The messages that wait on a link for the other side to read. Whoever sends does not wait, and nothing that
// binds is dropped: of messages that replace each other only the newest waits, so that the queue is bounded
// by the coordinator's state, however long the other side does not read.

import (
	"maps"
	"sync"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
)

// maxQueuedClaims is the number of claims of names, and of answers to them, that wait. They time out by
// themselves, and further ones are dropped.
const maxQueuedClaims = 1024

// messageKind is what a message is about. Only one message of a kind waits, but for claims, and for calls on
// different servers.
type messageKind uint8

const (
	claimKind messageKind = iota
	heldNamesKind
	rulesKind
	listKind
	cordonKind
	fleetKind
	grantKind
	readyKind
	acknowledgedKind
)

// queueKey identifies what a message replaces.
type queueKey struct {
	kind   messageKind
	server balance.ReplicaID
	source core.CordonSource
}

// key returns what a message replaces. Each message behind the hello carries one thing.
func (m *linkMessage) key() queueKey {
	switch {
	case m.Cordon != nil:
		return queueKey{cordonKind, m.Cordon.Server, m.Cordon.Source}
	case m.update != nil:
		return queueKey{kind: listKind}
	case m.Held != nil:
		return queueKey{kind: heldNamesKind}
	case m.Rules != nil:
		return queueKey{kind: rulesKind}
	case m.Fleet != nil:
		return queueKey{kind: fleetKind}
	case m.Ready:
		return queueKey{kind: readyKind}
	case m.Acknowledged:
		return queueKey{kind: acknowledgedKind}
	case m.MaxSockets > 0:
		return queueKey{kind: grantKind}
	}
	return queueKey{kind: claimKind}
}

// merge makes a waiting message say what a later one of its kind says as well.
func (m *linkMessage) merge(later *linkMessage) {
	switch {
	case m.Held != nil:
		m.Held = laterNames(m.Held, later.Held)
	case m.update != nil:
		m.update = m.update.followedBy(later.update)
	default:
		*m = *later
	}
}

// laterNames returns all names, each with the longer time for which it may run.
func laterNames(a, b map[string]time.Duration) map[string]time.Duration {
	all := maps.Clone(a)
	for name, hold := range b {
		all[name] = max(all[name], hold)
	}
	return all
}

// linkQueue is the queue of one direction. It is safe for concurrent use.
type linkQueue struct {
	wake chan struct{} // receives when a message may wait

	mu      sync.Mutex // guards all below
	waiting []*linkMessage
	byKey   map[queueKey]*linkMessage // those that later ones are merged into
	claims  int
}

func newLinkQueue() *linkQueue {
	return &linkQueue{wake: make(chan struct{}, 1), byKey: map[queueKey]*linkMessage{}}
}

// put queues a message, and reports whether it waits now: only claims may not.
func (q *linkQueue) put(msg linkMessage) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := msg.key()
	if key.kind == claimKind {
		if q.claims == maxQueuedClaims {
			return false
		}
		q.claims++
	} else if earlier := q.byKey[key]; earlier != nil {
		earlier.merge(&msg)
		return true
	} else {
		q.byKey[key] = &msg
	}
	q.waiting = append(q.waiting, &msg)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// take returns the message that has waited longest, or nil if none waits.
func (q *linkQueue) take() *linkMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return nil
	}
	first := q.waiting[0]
	q.waiting[0] = nil
	if q.waiting = q.waiting[1:]; len(q.waiting) == 0 {
		q.waiting = nil
	}
	if key := first.key(); key.kind == claimKind {
		q.claims--
	} else {
		delete(q.byKey, key)
	}
	return first
}
