package fleet

// What the fleet turns away as one, on its way between members, fronts and operators. Who sheds what is the
// guard's to say: internal/overload.

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lapislever/internal/membership"
	"lapislever/internal/overload"
)

// mostNamed is how many classes and tenants are counted by name, and longestNamed how much of a tenant's name
// is kept: anybody may claim any.
const (
	mostNamed    = 256
	longestNamed = 64
)

// shedder is a guard with its lock: fronts and the core ask from their goroutines.
type shedder struct {
	mu    sync.Mutex // guards what follows
	guard *overload.Controller
	by    map[string]int64 // turned away, by class and by class/tenant
}

// OverloadEnabled tells that the fleet turns away as one.
func (c *Config) OverloadEnabled() bool { return !c.Fleet.Overload.Off }

// Admit asks whether a request of a class of this rank may be let in by the fleet's level. who is what all
// its tries have in common. If not, it returns after how long it may come back.
func (f *Fleet) Admit(rank int, class, tenant, who string, repeat bool) (ok bool, after time.Duration) {
	if !f.cfg.OverloadEnabled() {
		return true, 0
	}
	s := &f.shed
	priority := overload.Priority(rank, who)
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, wait := s.guard.Admit(priority, xxhash.Sum64String(who)^uint64(f.now()), repeat)
	if ok {
		return true, 0
	}
	for _, name := range []string{class, class + "/" + tenant[:min(len(tenant), longestNamed)]} {
		if _, known := s.by[name]; (known || len(s.by) < mostNamed) && (tenant != "" || name == class) {
			s.by[name]++
		}
	}
	return false, time.Duration(wait) * time.Microsecond
}

// RequestFinished books how a request that was let in ended. well: answered in time.
func (f *Fleet) RequestFinished(well bool) {
	f.shed.mu.Lock()
	f.shed.guard.Finished(well)
	f.shed.mu.Unlock()
}

// AllowByRetryBudget asks whether an attempt may be sent by the budget for what is sent again.
func (f *Fleet) AllowByRetryBudget(first bool) bool {
	if !f.cfg.OverloadEnabled() {
		return true
	}
	f.shed.mu.Lock()
	defer f.shed.mu.Unlock()
	return f.shed.guard.AllowSend(first)
}

// tendOverload has the guard its turn, once a period.
func (f *Fleet) tendOverload(v *membership.View, now membership.Micros, peers []string) {
	if !f.cfg.OverloadEnabled() {
		return
	}
	f.shed.mu.Lock()
	was := f.shed.guard.Level()
	sends := f.shed.guard.Tick(now, peers)
	is := f.shed.guard.Level()
	f.shed.mu.Unlock()
	for _, s := range sends {
		v.Say(s.To, toOverload, s.Data)
	}
	if (was == 0) != (is == 0) {
		f.log.Info("fleet overload", "level", is, "was", was)
	}
}

// hearOverload takes in another member's message.
func (f *Fleet) hearOverload(v *membership.View, h membership.Heard) {
	if !f.cfg.OverloadEnabled() {
		return
	}
	f.shed.mu.Lock()
	sends, ok := f.shed.guard.Receive(f.now(), h.From, h.Data)
	f.shed.mu.Unlock()
	if !ok {
		f.drop(errMessage)
	}
	for _, s := range sends {
		v.Say(s.To, toOverload, s.Data)
	}
}

// Overload is the form of GET /admin/overload.
type Overload struct {
	Level   int              `json:"level"` // all below is turned away; of 64
	HeardMS int64            `json:"heard_ms"`
	Shed    map[string]int64 `json:"shed"` // by class, and by class/tenant
	Retries struct {
		Spent   int64 `json:"spent"`
		Allowed int64 `json:"allowed"` // a tenth of what was sent for the first time, and some to begin with
		Denied  int64 `json:"denied"`
	} `json:"retries"`
	Duties []Duty `json:"duties"`
}

// Duty is what one member does for all.
type Duty struct {
	What    string `json:"what"`
	Owner   string `json:"owner"`
	SinceMS int64  `json:"since_ms"`
}

// Overload is what the door shows.
func (f *Fleet) Overload() Overload {
	now := f.now()
	f.shed.mu.Lock()
	defer f.shed.mu.Unlock()
	g := f.shed.guard
	o := Overload{Level: g.Level(), HeardMS: g.LevelAge(now) / 1000, Shed: map[string]int64{}, Duties: []Duty{}}
	for name, n := range f.shed.by {
		o.Shed[name] = n
	}
	o.Retries.Spent, o.Retries.Denied = g.RetriesSent, g.RetriesDenied
	o.Retries.Allowed = g.RetryBudget()
	if who, since := g.LevelOwner(); who != "" {
		o.Duties = append(o.Duties, Duty{"level", who, (now - since) / 1000})
	}
	return o
}
