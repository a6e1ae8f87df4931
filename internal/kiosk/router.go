package kiosk

// The way from one attempt to the backend of its server's form, with the guard of keys before it. The router
// must never choose a server or send anything twice: it passes on what the core says, or tells that it has
// not.

import (
	"sync"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/grpcnode"
	"lapislever/internal/platform"
	"lapislever/internal/translate"
)

// oldSlack is what a send of the old form may take until its last byte is written, beside the dialling.
const oldSlack = 300 * time.Millisecond

// flight is an attempt that is out.
type flight struct {
	via   core.Backend
	token uint64 // of the guard; 0: its class needs none
}

// router is a core.Backend over the two forms.
type router struct {
	old   *platform.Nodes
	anew  *grpcnode.Backend
	tally *translate.FailureCounts
	post  func(core.Event)
	dial  time.Duration
	epoch time.Time

	mu    sync.Mutex // guards all below
	forms map[balance.ReplicaID]string
	guard *translate.Guard // nil only in the test that shows what it is for
	out   map[*core.Attempt]flight
}

// now is the guard's time.
func (r *router) now() balance.Micros { return time.Since(r.epoch).Microseconds() }

// learn takes in which form each server has.
func (r *router) learn(forms map[balance.ReplicaID]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forms = forms
}

// domain is what the guard and the module call a form.
func (r *router) domain(form string) int {
	if form == NewForm && r.guard != nil {
		return 1
	}
	return 0
}

// known is the guard's word on a query before it is taken.
func (r *router) known(q *core.Query) translate.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.guard == nil || q.Rules.Effect != balance.Keyed {
		return translate.Allowed
	}
	for i := range q.Parts {
		if v := r.guard.Known(r.now(), q.Key, q.Parts[i].Shard); v != translate.Allowed {
			return v
		}
	}
	return translate.Allowed
}

// Send passes attempts on, each to the backend of its server's form.
func (r *router) Send(to balance.ReplicaID, call []*core.Attempt) bool {
	for _, a := range call {
		r.send(to, a)
	}
	return true
}

func (r *router) send(to balance.ReplicaID, a *core.Attempt) {
	now := r.now()
	r.mu.Lock()
	form := r.forms[to]
	var f flight
	if form != "" && r.guard != nil && a.Query.Rules.Effect == balance.Keyed {
		v, token, until := r.guard.Ask(now, a.Query.Key, a.Shard, r.domain(form), a.Query.Rules.Window)
		if v == translate.Allowed && form == OldForm && until-now < (r.dial+oldSlack).Microseconds() {
			// It could wait for a connection beyond the window: the terminal hears at once why it is not sent.
			r.guard.Never(now, a.Query.Key, a.Shard, token)
			v = translate.Past
		}
		if v != translate.Allowed {
			r.mu.Unlock()
			r.tally.Add(v.Reason())
			if j, ok := a.Query.Data.(grpcnode.QueryInfo); ok {
				j.RecordFailure(v.Reason())
			}
			r.never(a, balance.NotSent)
			return
		}
		f.token = token
		// Whoever writes it looks at the clock then: it may wait behind others for longer than thought here.
		if by := r.epoch.Add(time.Duration(until) * time.Microsecond); a.StartBy.IsZero() || by.Before(a.StartBy) {
			a.StartBy = by
		}
	}
	switch form {
	case OldForm:
		f.via = r.old
	case NewForm:
		f.via = r.anew
	default:
		r.mu.Unlock()
		r.never(a, balance.NoConnection)
		return
	}
	r.out[a] = f
	r.mu.Unlock()
	if !f.via.Send(to, []*core.Attempt{a}) {
		r.never(a, balance.NoConnection)
	}
}

// never tells of an attempt that was not passed on; the core calls Send, so that the word must not wait for
// it.
func (r *router) never(a *core.Attempt, o balance.Outcome) {
	go r.tell(core.AttemptDone{Attempt: a, Outcome: o})
}

// tell passes on what a backend says, and gives the guard's tokens back of what never ran.
func (r *router) tell(e core.Event) {
	if o, ok := e.(core.AttemptDone); ok {
		r.landed(o.Attempt, o.Outcome == balance.Busy || o.Outcome == balance.NoConnection ||
			o.Outcome == balance.NotSent)
	}
	r.post(e)
}

// landed forgets an attempt that is not out any more.
func (r *router) landed(a *core.Attempt, never bool) core.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.out[a]
	delete(r.out, a)
	if never && f.token != 0 {
		r.guard.Never(r.now(), a.Query.Key, a.Shard, f.token)
	}
	return f.via
}

// Cancel gives an attempt up.
func (r *router) Cancel(a *core.Attempt) bool {
	r.mu.Lock()
	via := r.out[a].via
	r.mu.Unlock()
	never := via != nil && via.Cancel(a)
	r.landed(a, never)
	return never
}

// Probe looks at a server in its form.
func (r *router) Probe(to balance.ReplicaID) bool {
	r.mu.Lock()
	form := r.forms[to]
	r.mu.Unlock()
	switch form {
	case OldForm:
		return r.old.Probe(to)
	case NewForm:
		return r.anew.Probe(to)
	}
	return false
}

// CloseIdle closes the connections to a server that carry nothing.
func (r *router) CloseIdle(to balance.ReplicaID) {
	r.old.CloseIdle(to)
	r.anew.CloseIdle(to)
}

// CancelQueued takes back what is queued for a server and not begun, in whichever form.
func (r *router) CancelQueued(to balance.ReplicaID) []*core.Attempt {
	back := append(r.old.CancelQueued(to), r.anew.CancelQueued(to)...)
	for _, a := range back {
		r.landed(a, true)
	}
	return back
}
