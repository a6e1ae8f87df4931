package fleet

// Limits on the way between members, fronts and operators. What may be let in is the share's to say:
// internal/quota.

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lapislever/internal/membership"
	"lapislever/internal/quota"
	"lapislever/internal/settings"
	"lapislever/internal/verdict"
)

// Limit is a limit of the file.
type Limit struct {
	Name       string  `toml:"name"`
	Class      string  `toml:"class,omitempty"`
	Tenant     string  `toml:"tenant,omitempty"`
	Server     string  `toml:"server,omitempty"`
	Rate       float64 `toml:"rate,omitempty"`
	Burst      float64 `toml:"burst,omitempty"`
	Concurrent float64 `toml:"concurrent,omitempty"`
}

// check notes what is wrong with a limit.
func (l *Limit) check(f *settings.File, at string, members int) {
	f.Check(nameForm.MatchString(l.Name) && len(l.Name) <= membership.MaxName, at+".name",
		"%q is not 1 to %d letters, digits, dots, dashes or underscores", l.Name, membership.MaxName)
	f.Check(l.Class != "", at+".class", "is missing")
	f.Check(l.Tenant == "", at+".tenant", "is not taken yet: a limit is by class")
	f.Check(l.Server == "", at+".server", "is not taken yet: a limit is by class")
	f.Check(l.Concurrent == 0, at+".concurrent", "is not taken yet: a limit is by rate and burst")
	f.Check(l.Rate > 0 && l.Rate <= 1e9, at+".rate", "%g a second is not above 0 and within 1e9", l.Rate)
	f.Check(l.Burst >= float64(members) && l.Burst <= 1e9, at+".burst",
		"%g leaves less than 1 for each of %d members, or is over 1e9", l.Burst, members)
}

// LimitStatus is one limit as the door shows it. Rates are a second.
type LimitStatus struct {
	Name       string  `json:"name"`
	Limit      float64 `json:"limit"`
	Share      float64 `json:"share"`        // that this member may use now
	Used       float64 `json:"used"`         // that it let in during the last second
	InDoubt    float64 `json:"in_doubt"`     // of its own share: lent, or may have been before its start
	OverAtMost float64 `json:"over_at_most"` // by which all together may be over the limit
	StaleMS    int64   `json:"stale_ms"`     // since the oldest loan here was granted anew
	Granted    int64   `json:"granted"`
	Refused    int64   `json:"refused"`
}

// limiter is one limit with its lock: fronts ask from their goroutines.
type limiter struct {
	mu    sync.Mutex // guards share
	share *quota.Share
	class string

	saidAt membership.Micros // the view's owner's: when this member last told what its file says
}

// openLimits makes the shares. Those of a process that takes over are nothing until it has been told.
func (f *Fleet) openLimits(takesOver bool) {
	for i, l := range f.cfg.Limits {
		q := quota.Limit{Name: l.Name, ID: uint32(xxhash.Sum64String(l.Name)), Rate: l.Rate, Burst: l.Burst}
		s := quota.NewShare(q, f.cfg.Size(), f.cfg.Period().Microseconds(), f.viewConfig().Seed+uint64(i), f.now())
		if takesOver {
			s.Hold(f.now())
		}
		f.limits = append(f.limits, &limiter{share: s, class: l.Class})
	}
}

// Allow asks whether one more request of a class may be let in now. If not, it names the limit and tells
// after how long it may be. It never waits for a message.
func (f *Fleet) Allow(class string) (ok bool, after time.Duration, limit string) {
	now := f.now()
	for i, l := range f.limits {
		if l.class != class {
			continue
		}
		l.mu.Lock()
		ok, wait := l.share.Take(now)
		l.mu.Unlock()
		if ok {
			continue
		}
		for _, before := range f.limits[:i] { // what others that bind it have let in is not used
			if before.class == class {
				before.mu.Lock()
				before.share.Return()
				before.mu.Unlock()
			}
		}
		return false, time.Duration(wait) * time.Microsecond, l.share.Name
	}
	return true, 0, ""
}

// each calls a function for every limit, under its lock.
func (f *Fleet) each(do func(s *quota.Share)) {
	for _, l := range f.limits {
		l.mu.Lock()
		do(l.share)
		l.mu.Unlock()
	}
}

// mostDiffer is for how many periods being turned down by somebody counts.
const mostDiffer = 10

// sayAgain is after how long a member tells its settings anew; they end after twice that, as it may be gone.
const sayAgain = time.Hour

// agree has the strictest of what the members that are alive say of each limit hold here, and tells them what
// is said here.
func (f *Fleet) agree(v *membership.View, now membership.Micros, peers []string) {
	if n := v.Figures().TurnedDown; n != f.turnedDown {
		f.turnedDown, f.turnedAt = n, now
	}
	void := f.turnedDown > 0 && now-f.turnedAt < mostDiffer*f.cfg.Period().Microseconds()
	conf := f.conf.Load()
	for _, l := range f.limits {
		own, ok := conf.limit(l.share.Name)
		if !ok {
			continue // its last word holds until a restart
		}
		text := fmt.Sprintf("%g %g %d", own.Rate, own.Burst, conf.Size())
		key := "limit." + l.share.Name
		said, self := f.keep.Settings(now, key), f.cfg.Fleet.Name
		if said[self] != text || now-l.saidAt > sayAgain.Microseconds() {
			l.saidAt = now
			what := verdict.Verdict{Kind: verdict.Setting, What: key + "@" + self, On: true, Reason: text,
				Span: 2 * sayAgain.Microseconds()}
			if _, err := f.keep.Say(now, time.Now().UnixMilli(), what); err != nil {
				f.log.Warn("the others are not told of a limit", "limit", l.share.Name, "err", err)
			}
		}
		rate, burst, members := own.Rate, own.Burst, conf.Size()
		for _, who := range peers {
			var r, b float64
			var n int
			if k, _ := fmt.Sscanf(said[who], "%g %g %d", &r, &b, &n); k == 3 && r > 0 && b > 0 && n > 0 {
				rate, burst, members = min(rate, r), min(burst, b), max(members, n)
			}
		}
		l.mu.Lock()
		l.share.Configure(now, rate, burst, members)
		l.share.Void(now, void)
		l.mu.Unlock()
	}
}

// limit is a limit of the file by its name.
func (c *Config) limit(name string) (Limit, bool) {
	for _, l := range c.Limits {
		if l.Name == name {
			return l, true
		}
	}
	return Limit{}, false
}

// sameLimits tells that two files have the same limits, whatever their figures.
func sameLimits(a, b []Limit) bool {
	return slices.EqualFunc(a, b, func(x, y Limit) bool { return x.Name == y.Name && x.Class == y.Class })
}

// tendLimits has the shares look once a period whom to ask.
func (f *Fleet) tendLimits(v *membership.View, now membership.Micros, peers []string) {
	f.agree(v, now, peers)
	f.each(func(s *quota.Share) {
		for _, m := range s.Tick(now, peers) {
			v.Say(m.To, toQuota, m.Data)
		}
	})
}

// hearLimit takes in another member's message on a limit. One that this member does not have is no fault:
// settings change at different times.
func (f *Fleet) hearLimit(v *membership.View, h membership.Heard) {
	now := f.now()
	f.each(func(s *quota.Share) {
		for _, m := range s.Receive(now, h.From, h.Data) {
			v.Say(m.To, toQuota, m.Data)
		}
	})
}

// Limits is the form of GET /admin/limits.
type Limits struct {
	Limits []LimitStatus `json:"limits"`
}

// Limits are this member's shares.
func (f *Fleet) Limits() Limits {
	out := Limits{Limits: []LimitStatus{}}
	now := f.now()
	f.each(func(s *quota.Share) {
		g := s.Figures(now)
		out.Limits = append(out.Limits, LimitStatus{Name: s.Name, Limit: s.Rate, Share: g.Share, Used: g.Used,
			InDoubt: g.InDoubt, StaleMS: g.Stale / 1000, Granted: s.Granted, Refused: s.Refused})
	})
	return out
}

// Alone tells that the process that this one took over from is over.
func (f *Fleet) Alone() {
	now := f.now()
	f.each(func(s *quota.Share) { s.Alone(now, false) })
}
