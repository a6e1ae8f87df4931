package core

// Names in an upgrade. Its processes are one coordinator, so a name must be free in all of them before a
// query of that name opens in one. The process that was there first owns the names: each of the others asks
// its predecessor before it opens a query, and the owner holds a name from then on.

import (
	"time"

	"lapislever/balance"
)

// ClaimResult is the answer to a claim of a name.
type ClaimResult uint8

// The answers.
const (
	ClaimGranted ClaimResult = iota
	ClaimTaken               // a query of that name is open elsewhere, or may still run
	ClaimUnknown             // the owner did not answer in time
)

// NameOwner asks the process that owns the names.
type NameOwner interface {
	// Claim asks for a name for the given time, and has done called once with the answer, by any goroutine. It
	// returns false if no other process owns names; done is not called then. It must not block.
	Claim(name string, hold time.Duration, done func(ClaimResult)) bool
	// NameHeld reports that a query of this process has ended and may still run for the given time.
	NameHeld(name string, hold time.Duration)
}

// RemoteClaim is the claim of a name by a process that this one is the predecessor of. Done receives the
// answer.
type RemoteClaim struct {
	Name string
	Hold time.Duration
	Done func(ClaimResult)
}

// HoldNames are names that may still run at other processes, and for how long.
type HoldNames struct{ Names map[string]time.Duration }

// nameClaimed is the answer to the claim for a query of this process.
type nameClaimed struct {
	query  *Query
	result ClaimResult
}

func (RemoteClaim) isEvent() {}
func (HoldNames) isEvent()   {}
func (nameClaimed) isEvent() {}

// claimName asks the owner for the name of a query that is to be opened, and holds it meanwhile. It returns
// false if there is no owner.
func (c *Core) claimName(q *Query, now balance.Micros) bool {
	if c.cfg.Names == nil {
		return false
	}
	until := c.nameHold(q, now)
	asked := c.cfg.Names.Claim(q.Name, toDuration(until-now), func(r ClaimResult) { c.Post(nameClaimed{q, r}) })
	if asked {
		c.held.hold(q.Name, until, now)
		c.claiming++
	}
	return asked
}

// endClaim opens the query whose name was claimed, or ends it.
func (c *Core) endClaim(e nameClaimed) {
	c.claiming--
	q := e.query
	switch {
	case e.result == ClaimGranted:
		c.held.release(q.Name)
		c.begin(q)
	case q.Finished(): // its client has left
		c.queryEnded(q, Failed)
	case e.result == ClaimTaken:
		c.logEnd(q, Failed.String(), "a query with the same name is open in another process, or may still run")
		c.reply(q, FinalAnswer{Outcome: Failed, NameTaken: true})
	default:
		c.logEnd(q, Refused.String(), "the other process does not say whether the name is free")
		c.reply(q, FinalAnswer{Outcome: Refused, RetryAfter: fullRetryAfter})
	}
}

// answerClaim answers the claim of another process. Where this process has a predecessor of its own, that
// owns the names.
func (c *Core) answerClaim(e RemoteClaim) {
	now := c.toMicros(time.Now())
	if c.nameTaken(e.Name, now) {
		e.Done(ClaimTaken)
		return
	}
	c.held.hold(e.Name, now+min(e.Hold.Microseconds(), maxNameHold), now)
	if c.cfg.Names == nil || !c.cfg.Names.Claim(e.Name, e.Hold, e.Done) {
		e.Done(ClaimGranted)
	}
}

// holdNames holds names that may still run at other processes.
func (c *Core) holdNames(e HoldNames) {
	now := c.toMicros(time.Now())
	for name, hold := range e.Names {
		c.held.hold(name, now+min(hold.Microseconds(), maxNameHold), now)
	}
}

// heldNames returns the names that are held, and for how long.
func (c *Core) heldNames() map[string]time.Duration {
	now := c.toMicros(time.Now())
	names := map[string]time.Duration{}
	for name, x := range c.held.byName {
		if left := x.until - now; left > 0 {
			names[name] = toDuration(left)
		}
	}
	return names
}
