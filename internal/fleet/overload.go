package fleet

// Fleet-wide load shedding: connects members, fronts and operators to the controller of internal/overload,
// which decides what is shed.

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lapislever/internal/membership"
	"lapislever/internal/overload"
)

// maxShedNames bounds the number of classes and tenants that are counted by name, and maxTenantLen the length
// of a tenant's name, because clients can send arbitrary tenant names.
const (
	maxShedNames = 256
	maxTenantLen = 64
)

// overloadState is the controller with its lock, as fronts and the core call it from their own goroutines.
type overloadState struct {
	mu         sync.Mutex // guards what follows
	controller *overload.Controller
	shedCounts map[string]int64 // requests shed, by class and by class/tenant
}

// OverloadEnabled reports whether the fleet sheds load by a common level.
func (c *Config) OverloadEnabled() bool { return !c.Fleet.Overload.Off }

// Admit reports whether a request of a class of the given rank may be admitted at the fleet's overload level.
// requestID is a string that all tries of the request share. If it is not admitted, Admit returns the time
// after which to retry.
func (f *Fleet) Admit(rank int, class, tenant, requestID string, repeat bool) (ok bool,
	retryAfter time.Duration) {
	if !f.cfg.OverloadEnabled() {
		return true, 0
	}
	s := &f.overload
	priority := overload.Priority(rank, requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, wait := s.controller.Admit(priority, xxhash.Sum64String(requestID)^uint64(f.now()), repeat)
	if ok {
		return true, 0
	}
	for _, name := range []string{class, class + "/" + tenant[:min(len(tenant), maxTenantLen)]} {
		if _, known := s.shedCounts[name]; (known || len(s.shedCounts) < maxShedNames) &&
			(tenant != "" || name == class) {
			s.shedCounts[name]++
		}
	}
	return false, time.Duration(wait) * time.Microsecond
}

// RequestFinished records the end of an admitted request. inTime: it was answered in time.
func (f *Fleet) RequestFinished(inTime bool) {
	f.overload.mu.Lock()
	f.overload.controller.Finished(inTime)
	f.overload.mu.Unlock()
}

// AllowByRetryBudget reports whether the retry budget permits an attempt. It always permits first attempts.
func (f *Fleet) AllowByRetryBudget(first bool) bool {
	if !f.cfg.OverloadEnabled() {
		return true
	}
	f.overload.mu.Lock()
	defer f.overload.mu.Unlock()
	return f.overload.controller.AllowSend(first)
}

// tickOverload runs the controller's periodic work.
func (f *Fleet) tickOverload(v *membership.View, now membership.Micros, peers []string) {
	if !f.cfg.OverloadEnabled() {
		return
	}
	f.overload.mu.Lock()
	before := f.overload.controller.Level()
	sends := f.overload.controller.Tick(now, peers)
	after := f.overload.controller.Level()
	f.overload.mu.Unlock()
	for _, s := range sends {
		v.SendApp(s.To, kindOverload, s.Data)
	}
	if (before == 0) != (after == 0) {
		f.log.Info("fleet overload", "level", after, "was", before)
	}
}

// receiveOverload handles another member's overload message.
func (f *Fleet) receiveOverload(v *membership.View, msg membership.AppMessage) {
	if !f.cfg.OverloadEnabled() {
		return
	}
	f.overload.mu.Lock()
	sends, ok := f.overload.controller.Receive(f.now(), msg.From, msg.Data)
	f.overload.mu.Unlock()
	if !ok {
		f.countDrop(errBadMessage)
	}
	for _, s := range sends {
		v.SendApp(s.To, kindOverload, s.Data)
	}
}

// Overload is the body of GET /admin/overload.
type Overload struct {
	Level   int              `json:"level"` // requests with a lower priority are shed; 64 priorities
	HeardMS int64            `json:"heard_ms"`
	Shed    map[string]int64 `json:"shed"` // requests shed, by class and by class/tenant
	Retries struct {
		Spent   int64 `json:"spent"`
		Allowed int64 `json:"allowed"` // a tenth of the first attempts plus an initial budget
		Denied  int64 `json:"denied"`
	} `json:"retries"`
	Duties []Duty `json:"duties"`
}

// Duty is a task that one member performs for the fleet.
type Duty struct {
	What    string `json:"what"`
	Owner   string `json:"owner"`
	SinceMS int64  `json:"since_ms"`
}

// Overload returns the overload state that the admin endpoint shows.
func (f *Fleet) Overload() Overload {
	now := f.now()
	f.overload.mu.Lock()
	defer f.overload.mu.Unlock()
	c := f.overload.controller
	o := Overload{Level: c.Level(), HeardMS: c.LevelAge(now) / 1000, Shed: map[string]int64{}, Duties: []Duty{}}
	for name, n := range f.overload.shedCounts {
		o.Shed[name] = n
	}
	o.Retries.Spent, o.Retries.Denied = c.RetriesSent, c.RetriesDenied
	o.Retries.Allowed = c.RetryBudget()
	if owner, since := c.LevelOwner(); owner != "" {
		o.Duties = append(o.Duties, Duty{"level", owner, (now - since) / 1000})
	}
	return o
}
