package platform

// The names of queries in an upgrade: the successor's side of the link asks before a query opens, the
// predecessor's side answers for its core.

import (
	"sync"
	"time"

	"lapislever/internal/core"
)

const (
	// claimTimeout is how long a process waits for its predecessor's word on a name.
	claimTimeout = 250 * time.Millisecond
	// maxUnanswered is the number of claims in a row without an answer after which a process goes on alone: a
	// predecessor that hangs must not keep it from serving.
	maxUnanswered = 16
)

// claimMessage asks for a name.
type claimMessage struct {
	ID   uint64        `json:"id"`
	Name string        `json:"name"`
	Hold time.Duration `json:"hold"` // in ns
}

// claimReply answers a claimMessage.
type claimReply struct {
	ID     uint64           `json:"id"`
	Result core.ClaimResult `json:"result"`
}

// nameClaims are the claims of this process at its predecessor. It implements core.NameOwner.
type nameClaims struct {
	upgrade *upgrade

	mu      sync.Mutex // guards all below
	owner   *link      // the predecessor, if it answers claims; nil: this process owns the names
	lastID  uint64
	pending map[uint64]*pendingClaim
	missing int // claims in a row that were not answered in time
}

// pendingClaim is a claim without an answer so far.
type pendingClaim struct {
	done    func(core.ClaimResult)
	timeout *time.Timer
}

// setOwner makes the process at a link the owner of the names.
func (n *nameClaims) setOwner(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owner, n.pending, n.missing = l, map[uint64]*pendingClaim{}, 0
}

// ownerGone makes this process the owner. What was asked is granted: nobody else knows better any more.
func (n *nameClaims) ownerGone() {
	n.mu.Lock()
	pending := n.pending
	n.owner, n.pending = nil, nil
	n.mu.Unlock()
	for _, claim := range pending {
		claim.timeout.Stop()
		claim.done(core.ClaimGranted)
	}
}

// Claim asks the predecessor for a name.
func (n *nameClaims) Claim(name string, hold time.Duration, done func(core.ClaimResult)) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner == nil {
		return false
	}
	n.lastID++
	id := n.lastID
	n.pending[id] = &pendingClaim{done, time.AfterFunc(claimTimeout, func() { n.end(id, core.ClaimUnknown) })}
	n.owner.send(linkMessage{Claim: &claimMessage{id, name, hold}})
	return true
}

// end ends a claim with its answer, once.
func (n *nameClaims) end(id uint64, r core.ClaimResult) {
	n.mu.Lock()
	claim := n.pending[id]
	delete(n.pending, id)
	switch {
	case claim == nil:
	case r == core.ClaimUnknown:
		n.missing++
	default:
		n.missing = 0
	}
	silent := n.owner
	givesUp := silent != nil && n.missing >= maxUnanswered
	n.mu.Unlock()
	if claim != nil {
		claim.timeout.Stop()
		claim.done(r)
	}
	if givesUp {
		n.ownerGone()
		silent.log.Error("upgrade: the old process does not answer: requests are no longer compared with its own")
	}
}

// NameHeld tells the other processes of a name that may still run here.
func (n *nameClaims) NameHeld(name string, hold time.Duration) {
	go func() { // the lock of the links may be held while a file is renamed
		for _, l := range n.upgrade.linksBut(nil) {
			l.send(linkMessage{Held: map[string]time.Duration{name: hold}})
		}
	}()
}

// applyNames takes in what the process at a link says of names.
func (u *upgrade) applyNames(from *link, msg linkMessage) {
	if c := msg.Claim; c != nil {
		u.k.core.Post(core.RemoteClaim{Name: c.Name, Hold: c.Hold,
			Done: func(r core.ClaimResult) { from.send(linkMessage{Claimed: &claimReply{c.ID, r}}) }})
	}
	if r := msg.Claimed; r != nil {
		u.names.end(r.ID, r.Result)
	}
	if len(msg.Held) > 0 {
		u.k.core.Post(core.HoldNames{Names: msg.Held})
		for _, l := range u.linksBut(from) { // there may be a third process
			l.send(linkMessage{Held: msg.Held})
		}
	}
}
