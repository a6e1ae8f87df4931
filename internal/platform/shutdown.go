package platform

// The shutdown: its times, and the order in which this process stops accepting, answers and ends.

import (
	"time"

	lnet "lapislever/internal/net"
)

const (
	// A coordinator that shuts down keeps serving while new connections may still arrive, and beyond that
	// while clients use it and time remains. It answers everything it has accepted well before it may be
	// killed.
	acceptGrace       = 600 * time.Millisecond
	finalReplyTime    = 800 * time.Millisecond // reserved for the last requests
	handoverReplyTime = 300 * time.Millisecond // the same where a successor serves, as few requests arrive then
	quietPeriod       = 500 * time.Millisecond // clients without a request for this long have moved on
	minCloseTime      = 50 * time.Millisecond  // for connections to close, even where the time is over

	limitCheckInterval = 10 * time.Millisecond // between looks at times that a reload may bring forward
)

// drainer is a listener with its connections, as far as shutdown needs it.
type drainer interface {
	MarkNotReady()          // answers readiness checks with "not ready" from now on
	StopListening()         // accepts no new connections
	CloseAfterReply()       // every reply ends its connection from now on
	LastRequest() time.Time // when the last request arrived
	Drain()                 // additionally closes idle connections
	// WaitUntil waits until all connections are closed, or until the time that the function returns, which may
	// change meanwhile.
	WaitUntil(func() time.Time) bool
}

// Shutdown ends the process in order: it reports "not ready"; once clients have moved to other
// coordinators, or when time runs short, it accepts no new connections and requests; it answers everything
// that was accepted, and ends. Until then, clients that have no other coordinator (the others may be
// restarting at the same time) are served as before.
func (k *Coordinator) Shutdown() {
	start := time.Now()
	handedOver := k.upgrade.handedOver()
	k.log.Info("ending", "successor", handedOver)
	k.shuttingDown.Store(true)
	if !handedOver { // otherwise the coordinator stays available, whichever of its processes is asked
		k.front.ready.Store(false)
	}
	var drainers []drainer
	if k.server != nil {
		drainers = append(drainers, platformFront{k.server})
	}
	for _, x := range k.extras {
		if k.accepting.Load() {
			drainers = append(drainers, x)
		}
	}
	for _, x := range drainers {
		x.MarkNotReady()
	}
	k.mu.Lock()
	k.ending = &shutdownPlan{begun: start}
	queriesDone := k.limitShutdown()
	k.mu.Unlock()
	if !handedOver {
		time.Sleep(acceptGrace)
		for inUse := true; inUse && !k.upgrade.handedOver() &&
			time.Now().Before(k.answerBy().Add(-finalReplyTime)); {
			inUse = false
			for _, x := range drainers {
				inUse = inUse || time.Since(x.LastRequest()) < quietPeriod
			}
			if inUse {
				time.Sleep(quietPeriod / 10)
			}
		}
	}
	if k.upgrade.handedOver() { // before the shutdown began, or since
		if !handedOver {
			k.log.Info("a successor serves: redirecting clients to it")
			k.front.ready.Store(true)
		}
		k.redirectClients(drainers, func() time.Time { return k.answerBy().Add(-handoverReplyTime) })
	}
	for _, x := range drainers {
		x.StopListening()
		x.Drain()
	}
	if !k.awaitQueries(queriesDone) {
		k.log.Error("shutdown time is over with queries still open")
	}
	for _, x := range drainers {
		soonest := time.Now().Add(minCloseTime)
		x.WaitUntil(func() time.Time { return latest(soonest, k.exitBy()) })
	}
	if !k.upgrade.handedOver() { // otherwise the successor is the fleet's member
		k.leaveFleet(k.exitBy())
	}
	k.stopAll()
	k.log.Info("ended", "took", time.Since(start))
}

// redirectClients moves clients to the successor: the next reply on a connection ends it. An idle
// connection stays open until the time that the function returns, as a request may be in transit and
// closing would cross it.
func (k *Coordinator) redirectClients(drainers []drainer, until func() time.Time) {
	if k.peers != nil {
		_ = k.peers.conn.Close() // datagrams are for the successor from now on
	}
	for _, x := range drainers {
		x.StopListening()
		x.CloseAfterReply()
	}
	for _, x := range drainers {
		x.WaitUntil(until)
	}
}

// awaitQueries waits until no query is open, and reports whether that came before the time to exit.
func (k *Coordinator) awaitQueries(done <-chan struct{}) bool {
	check := time.NewTicker(limitCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-done:
			return true
		case <-check.C:
			if time.Now().After(k.exitBy()) {
				return false
			}
		}
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// shutdownPlan holds the times of a shutdown that has begun.
type shutdownPlan struct {
	begun    time.Time
	answerBy time.Time // when every query has its final answer
	exitBy   time.Time // when the process ends
}

// limitShutdown sets the times of the shutdown, if one has begun, by the settings in force, and returns the
// channel that is closed once no query is open. A reload during the shutdown may bring the times forward,
// but does not put them off: the kill may already be due by the settings before. The caller holds mu.
func (k *Coordinator) limitShutdown() <-chan struct{} {
	p := k.ending
	if p == nil {
		return nil
	}
	answerLimit, exitLimit := k.current.shutdownTimes()
	answerBy, exitBy := p.begun.Add(answerLimit), p.begun.Add(exitLimit)
	if p.answerBy.IsZero() || answerBy.Before(p.answerBy) {
		p.answerBy, p.exitBy = answerBy, exitBy
	}
	return k.core.Shutdown(p.answerBy)
}

// answerBy returns when every query has its final answer in the shutdown that has begun.
func (k *Coordinator) answerBy() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ending.answerBy
}

// exitBy returns when the process ends in the shutdown that has begun.
func (k *Coordinator) exitBy() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ending.exitBy
}

// shutdownTimes returns how long after SIGTERM everything must be answered and when the program ends. It is
// killed 0.7 s after the longest deadline in force, which counts as 3 s at most. Where the processes of an
// upgrade have read different settings, either may be meant.
func (c *Config) shutdownTimes() (answerLimit, exitLimit time.Duration) {
	own := c.rulesInForce()
	longest := own.longestDeadline()
	for i := range c.otherRules {
		if s := &c.otherRules[i]; s.until.IsZero() {
			longest = min(longest, s.longestDeadline())
		}
	}
	killLimit := min(longest, 3*time.Second) + 700*time.Millisecond
	return killLimit - 500*time.Millisecond, killLimit - 200*time.Millisecond
}

// platformFront is the platform's front as a drainer. /up reports "not ready" without its help.
type platformFront struct{ *lnet.Server }

// MarkNotReady does nothing.
func (platformFront) MarkNotReady() {}
