package legacyfront

// The router sends each attempt to the backend for its server's form, after the idempotency guard has
// allowed it. It must never choose a server or send anything twice: it either passes on an attempt as the
// core decided, or reports that it has not.

import (
	"sync"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/grpcnode"
	"lapislever/internal/platform"
	"lapislever/internal/translate"
)

// oldWriteMargin is the time allowed for writing a send of the old form completely, in addition to the dial
// timeout.
const oldWriteMargin = 300 * time.Millisecond

// sentAttempt is an attempt in flight.
type sentAttempt struct {
	backend core.Backend
	token   uint64 // from the guard; 0 if the class is not keyed
}

// router is a core.Backend that combines the backends of the two forms.
type router struct {
	oldNodes    *platform.Nodes
	newNodes    *grpcnode.Backend
	failures    *translate.FailureCounts
	post        func(core.Event)
	dialTimeout time.Duration
	epoch       time.Time

	mu       sync.Mutex // guards the fields below
	forms    map[balance.ReplicaID]string
	guard    *translate.Guard // nil only in a test that shows the duplicates without it
	inFlight map[*core.Attempt]sentAttempt
}

// now returns the guard's time.
func (r *router) now() balance.Micros { return time.Since(r.epoch).Microseconds() }

// setForms sets the form of each server.
func (r *router) setForms(forms map[balance.ReplicaID]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forms = forms
}

// domain returns the number of a form's domain for the guard and the module.
func (r *router) domain(form string) int {
	if form == NewForm && r.guard != nil {
		return 1
	}
	return 0
}

// isGuarded reports whether the guard holds a query's key. The front removes a key that no rules ask for;
// while settings change, a query with a key may be held to stricter rules than those of a keyed class as
// well.
func (r *router) isGuarded(q *core.Query) bool { return r.guard != nil && q.Key != "" }

// checkQuery asks the guard whether a query may be accepted.
func (r *router) checkQuery(q *core.Query) translate.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isGuarded(q) {
		return translate.Allowed
	}
	for i := range q.Parts {
		if d := r.guard.CheckQuery(r.now(), q.Key, q.Parts[i].Shard); d != translate.Allowed {
			return d
		}
	}
	return translate.Allowed
}

// Send passes each attempt to the backend of its server's form.
func (r *router) Send(to balance.ReplicaID, call []*core.Attempt) bool {
	for _, a := range call {
		r.sendAttempt(to, a)
	}
	return true
}

// sendAttempt sends one attempt. For a query with a key it asks the guard first and limits the attempt's
// StartBy to the end of the key's window.
func (r *router) sendAttempt(to balance.ReplicaID, a *core.Attempt) {
	now := r.now()
	r.mu.Lock()
	form := r.forms[to]
	var sent sentAttempt
	if form != "" && r.isGuarded(a.Query) {
		d, token, writeBy := r.guard.BeginSend(now, a.Query.Key, a.Shard, r.domain(form), a.Query.Rules.Window)
		if d == translate.Allowed && form == OldForm &&
			writeBy-now < (r.dialTimeout+oldWriteMargin).Microseconds() {
			// The attempt could wait for a connection until after the window. Do not send it, so that the
			// client learns the reason at once.
			r.guard.CancelSend(now, a.Query.Key, a.Shard, token)
			d = translate.WindowOver
		}
		if d != translate.Allowed {
			r.mu.Unlock()
			r.failures.Add(d.Reason())
			if q, ok := a.Query.Data.(grpcnode.QueryInfo); ok {
				q.RecordFailure(d.Reason())
			}
			r.reportNotRun(a, balance.NotSent)
			return
		}
		sent.token = token
		// The write loop checks StartBy again, as the attempt may be queued for longer than assumed here.
		if t := r.epoch.Add(time.Duration(writeBy) * time.Microsecond); a.StartBy.IsZero() || t.Before(a.StartBy) {
			a.StartBy = t
		}
	}
	switch form {
	case OldForm:
		sent.backend = r.oldNodes
	case NewForm:
		sent.backend = r.newNodes
	default:
		r.mu.Unlock()
		r.reportNotRun(a, balance.NoConnection)
		return
	}
	r.inFlight[a] = sent
	r.mu.Unlock()
	if !sent.backend.Send(to, []*core.Attempt{a}) {
		r.reportNotRun(a, balance.NoConnection)
	}
}

// reportNotRun reports an attempt that was not passed on. It does so asynchronously, because the core is in
// Send and cannot take the event before that returns.
func (r *router) reportNotRun(a *core.Attempt, o balance.Outcome) {
	go r.report(core.AttemptDone{Attempt: a, Outcome: o})
}

// report passes a backend's event on to the core. It first removes an attempt that is done.
func (r *router) report(e core.Event) {
	if done, ok := e.(core.AttemptDone); ok {
		r.remove(done.Attempt, done.Outcome == balance.Busy || done.Outcome == balance.NoConnection ||
			done.Outcome == balance.NotSent)
	}
	r.post(e)
}

// remove removes an attempt that is no longer in flight. If it has not run, the guard forgets the send.
func (r *router) remove(a *core.Attempt, notRun bool) core.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := r.inFlight[a]
	delete(r.inFlight, a)
	if notRun && sent.token != 0 {
		r.guard.CancelSend(r.now(), a.Query.Key, a.Shard, sent.token)
	}
	return sent.backend
}

// Cancel cancels an attempt. It returns true if the attempt has not run.
func (r *router) Cancel(a *core.Attempt) bool {
	r.mu.Lock()
	backend := r.inFlight[a].backend
	r.mu.Unlock()
	notRun := backend != nil && backend.Cancel(a)
	r.remove(a, notRun)
	return notRun
}

// Probe probes a server by the protocol of its form.
func (r *router) Probe(to balance.ReplicaID) bool {
	r.mu.Lock()
	form := r.forms[to]
	r.mu.Unlock()
	switch form {
	case OldForm:
		return r.oldNodes.Probe(to)
	case NewForm:
		return r.newNodes.Probe(to)
	}
	return false
}

// CloseIdle closes the idle connections to a server.
func (r *router) CloseIdle(to balance.ReplicaID) {
	r.oldNodes.CloseIdle(to)
	r.newNodes.CloseIdle(to)
}

// CancelQueued cancels and returns the attempts queued for a server that have not been started, of either
// form.
func (r *router) CancelQueued(to balance.ReplicaID) []*core.Attempt {
	cancelled := append(r.oldNodes.CancelQueued(to), r.newNodes.CancelQueued(to)...)
	for _, a := range cancelled {
		r.remove(a, true)
	}
	return cancelled
}
