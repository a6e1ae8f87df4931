package platform

// What the admin endpoint shows of a coordinator, and the operators' calls that it passes on.

import (
	"errors"
	"time"

	"lapislever/internal/admin"
	"lapislever/internal/core"
	"lapislever/internal/fleet"
	lnet "lapislever/internal/net"
	"lapislever/internal/verdict"
)

// adminState is the view of a coordinator that the admin endpoint shows.
type adminState struct{ k *Coordinator }

// Ready reports whether this process can serve.
func (a adminState) Ready() bool { return a.k.front.ready.Load() && !a.k.shuttingDown.Load() }

// Counters returns this process's counters.
func (a adminState) Counters() admin.Counters {
	c := a.k.core.Counts()
	f := admin.Counters{OK: map[string]int64{}, Shed: map[string]int64{}, Errors: map[string]int64{},
		Tries: c.AttemptsSent.Load(), Active: c.ActiveQueries.Load(), PoolSize: c.ListedServers.Load(),
		PoolEjected: c.AvoidedServers.Load(), ConfigApplied: c.ConfigsApplied.Load(),
		ConfigRejected: c.ConfigsRejected.Load()}
	for name, x := range c.Classes() {
		f.OK[name], f.Shed[name], f.Errors[name] = x.Count(core.Answered), x.Count(core.Refused),
			x.Count(core.Failed)
	}
	for _, x := range a.k.extras {
		if counter, ok := x.(interface{ Figures() map[string]int64 }); ok {
			f.Unusable = counter.Figures()
		}
	}
	return f
}

// Delays returns the statistics of actions that were carried out late.
func (a adminState) Delays() any { return a.k.delays.Stats() }

// Memory returns the figures of this process's memory.
func (a adminState) Memory() any { return a.k.memory.stats() }

// listStatus is what operators are shown of the list of data nodes.
type listStatus struct {
	Version int64      `json:"version"`
	Nodes   int        `json:"nodes"`
	Source  listSource `json:"source"`           // where the list, or its last change, comes from
	AgeMs   *int64     `json:"age_ms,omitempty"` // since discovery last told or confirmed it; absent: unknown
}

// List returns which list of data nodes this process goes by.
func (a adminState) List() any {
	version, origin, _ := a.k.watcher.held.state()
	s := listStatus{Version: version, Nodes: a.k.watcher.held.size(), Source: origin.source}
	if !origin.toldAt.IsZero() {
		age := max(0, time.Since(origin.toldAt).Milliseconds())
		s.AgeMs = &age
	}
	return s
}

// Admission returns the admission controller, or nil where only the budget limits connections.
func (a adminState) Admission() admin.AdmissionController {
	for _, x := range a.k.extras {
		if g, ok := x.(interface {
			Gate() *lnet.AdmissionController
		}); ok && g.Gate() != nil {
			return adminAdmission{g.Gate()}
		}
	}
	return nil
}

// Fleet returns the view of the fleet, or nil without a fleet.
func (a adminState) Fleet() any {
	if a.k.fleet == nil {
		return nil
	}
	return a.k.fleet.Status()
}

// Verdicts returns the verdicts in force in the fleet, or nil without a fleet.
func (a adminState) Verdicts() any {
	if a.k.fleet == nil {
		return nil
	}
	return a.k.fleet.Verdicts()
}

// ApplyFleetCall cordons or uncordons a data node, or bans, pins or lifts a prefix, for the whole fleet.
func (a adminState) ApplyFleetCall(call admin.FleetCall, within time.Duration) (any, bool, error) {
	v := verdict.Verdict{Kind: verdict.Node, What: call.ID, On: call.Set, By: call.By, Reason: call.Reason,
		Span: call.Duration.Microseconds()}
	if call.Prefix.IsValid() {
		v.Kind, v.What = verdict.Prefix, call.Prefix.Masked().String()
		if call.Pin {
			v.Word = verdict.Pin
		}
	} else if call.Set && !a.k.core.IsListed(core.ServerID(call.ID), within) {
		return nil, false, admin.ErrUnknown
	}
	status, err := a.k.fleet.IssueVerdict(v, within, call.Wait)
	switch {
	case errors.Is(err, fleet.ErrTimeout):
		err = admin.ErrTimeout
	case errors.Is(err, fleet.ErrNoVerdict):
		err = admin.ErrUnknown
	case errors.Is(err, verdict.ErrInvalid):
		err = admin.ErrTooLong
	}
	return status, len(status.Missing) == 0, err
}

// Overload returns what the fleet sheds as a whole, or nil without a fleet.
func (a adminState) Overload() any {
	if a.k.fleet == nil {
		return nil
	}
	return a.k.fleet.Overload()
}

// Limits returns this member's shares of the fleet's limits, or nil without a fleet.
func (a adminState) Limits() any {
	if a.k.fleet == nil {
		return nil
	}
	return a.k.fleet.Limits()
}

// adminAdmission adapts an admission controller to the admin endpoint.
type adminAdmission struct{ *lnet.AdmissionController }

// Stats returns the statistics that the admin endpoint shows.
func (a adminAdmission) Stats(n int) any { return a.AdmissionController.Stats(n) }

// Cordon cordons or uncordons a data node.
func (a adminState) Cordon(id string, cordoned bool, within time.Duration) error {
	known, inTime := a.k.core.Cordon(core.ServerID(id), cordoned, within)
	if known {
		a.k.upgrade.forwardCordon(core.ServerID(id), core.ByOperator, cordoned)
	}
	switch {
	case !inTime:
		return admin.ErrTimeout
	case !known:
		return admin.ErrUnknown
	}
	return nil
}
