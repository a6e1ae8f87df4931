package fleet

// Limits on the way between members, fronts and operators. What may be let in is the share's to say:
// internal/quota.

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lapislever/internal/membership"
	"lapislever/internal/quota"
	"lapislever/internal/settings"
	"lapislever/internal/verdict"
)

// Each is what a limit's tenant or server may be instead of a name: the limit holds for each on its own.
const Each = "*"

const (
	defaultLongest = 5 * time.Second
	defaultFloor   = 0.5 // of a share, where there is a roster that votes
	leastFloor     = 0.1
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
	LongestMS  int     `toml:"longest_ms,omitempty"` // what lasts longer never counts on another's unit
	Floor      float64 `toml:"floor,omitempty"`      // of a member's share, that nobody else ever has
}

// check notes what is wrong with a limit, and fills in what is left out.
func (l *Limit) check(f *settings.File, at string, members, roster int) {
	f.Require(nameForm.MatchString(l.Name) && len(l.Name) <= membership.MaxName, at+".name",
		"%q is not 1 to %d letters, digits, dots, dashes or underscores", l.Name, membership.MaxName)
	subjects := 0
	for _, s := range []string{l.Class, l.Tenant, l.Server} {
		if s != "" {
			subjects++
		}
	}
	f.Require(subjects == 1, at+".class", "one of class, tenant and server has to be there")
	f.Require(l.Class != Each, at+".class", "%q is for tenants and servers: give each class its limit", Each)
	if l.Concurrent != 0 {
		f.Require(l.Rate == 0 && l.Burst == 0, at+".concurrent", "goes without rate and burst")
		f.Require(l.Concurrent >= float64(members) && l.Concurrent <= 1e6 && l.Concurrent == math.Trunc(l.Concurrent),
			at+".concurrent", "%g is no whole number, or less than 1 for each of %d members, or over 1e6",
			l.Concurrent, members)
		f.Require(!l.each(), at+".concurrent", "is for one name, not for each")
		f.Require(l.LongestMS >= 0 && l.LongestMS <= 600_000, at+".longest_ms", "%d is not within 0 and 600000",
			l.LongestMS)
		if l.LongestMS == 0 {
			l.LongestMS = int(defaultLongest.Milliseconds())
		}
	} else {
		f.Require(l.Rate > 0 && l.Rate <= 1e9, at+".rate", "%g a second is not above 0 and within 1e9", l.Rate)
		f.Require(l.Burst >= float64(members) && l.Burst <= 1e9, at+".burst",
			"%g leaves less than 1 for each of %d members, or is over 1e9", l.Burst, members)
		f.Require(l.LongestMS == 0, at+".longest_ms", "goes with concurrent")
	}
	votes := roster >= 3 && roster <= quota.MaxVoters
	f.Require(l.Floor == 0 || l.Floor >= leastFloor && l.Floor <= 1, at+".floor", "%g is not within %g and 1",
		l.Floor, leastFloor)
	f.Require(votes || l.Floor == 0 || l.Floor == 1, at+".floor",
		"under 1 takes a roster of 3 to %d, whose majority says who has the rest", quota.MaxVoters)
	if l.Floor == 0 {
		if l.Floor = 1; votes && !l.each() {
			l.Floor = defaultFloor
		}
	}
	f.Require(l.Floor == 1 || !l.each(), at+".floor", "is 1 where the limit is for each")
}

// each tells that the limit holds for each tenant or server on its own.
func (l *Limit) each() bool { return l.Tenant == Each || l.Server == Each }

// amount is what is limited, a second or at a time.
func (l *Limit) amount() float64 { return max(l.Rate, l.Concurrent) }

// id is the limit's number at all members. Those whose files differ in what must be the same do not lend to
// one another.
func (l *Limit) id() uint64 {
	return quota.LimitID(fmt.Sprintf("%s/%t/%d/%g", l.Name, l.Concurrent > 0, l.LongestMS, l.Floor))
}

// LimitStatus is one limit as the door shows it. Rates are a second.
type LimitStatus struct {
	Name       string  `json:"name"`
	Limit      float64 `json:"limit"`
	Share      float64 `json:"share"`        // that this member may use now
	Used       float64 `json:"used"`         // that it let in during the last second, or has open
	InDoubt    float64 `json:"in_doubt"`     // of its own share: lent, or may have been before its start
	OverAtMost float64 `json:"over_at_most"` // by which all together may be over the limit
	StaleMS    int64   `json:"stale_ms"`     // since the oldest loan here was granted anew
	Granted    int64   `json:"granted"`
	Refused    int64   `json:"refused"`
	Kind       string  `json:"kind"`           // rate, concurrent or each
	Keys       int     `json:"keys,omitempty"` // of a limit for each: those with a share of their own
}

// limitState is a member's part in a limit of any kind.
type limitState interface {
	Tick(now quota.Micros, peers []string) []quota.Message
	Receive(now quota.Micros, from string, data []byte) []quota.Message
	SetEntitlement(now quota.Micros, e quota.Entitlement)
	Stats(now quota.Micros) quota.Stats
	Suspend(now quota.Micros)
	OtherProcessEnded(now quota.Micros, unknown bool)
	SetDisabled(now quota.Micros, on bool)
}

// limiter is one limit with its lock: fronts ask from their goroutines. One of share, slots and keys is
// there.
type limiter struct {
	mu     sync.Mutex // guards the part
	part   limitState
	share  *quota.Share
	slots  *quota.Slots
	keys   *quota.KeyedShares
	conf   Limit // of the start
	id     uint64
	server uint64 // the number of the one that is limited

	saidAt membership.Micros // the view's owner's: when this member last told what its file says
}

// Handed is what of one limit the next process has to know.
type Handed struct {
	Lent []quota.SavedLoan            `json:"lent,omitempty"`
	Keys map[uint64][]quota.SavedLoan `json:"keys,omitempty"`
}

// Ticket is what a request that was let in holds until it ends. The zero Ticket holds nothing.
type Ticket struct{ held []hold }

// Empty tells that it holds nothing.
func (t Ticket) Empty() bool { return len(t.held) == 0 }

type hold struct {
	l  *limiter
	at quota.Slot
}

// openLimits makes the parts. Those of a process that takes over are nothing until it has been told.
func (f *Fleet) openLimits(takesOver bool) {
	period, now, seed := f.cfg.Period().Microseconds(), f.now(), f.viewConfig().Seed
	f.tenure = f.newTenure()
	for i := range f.cfg.Limits {
		l := &limiter{conf: f.cfg.Limits[i]}
		l.id = l.conf.id()
		if l.conf.Server != "" {
			l.server = ServerNumber(l.conf.Server)
		}
		q := quota.Limit{Name: l.conf.Name, ID: l.id, Rate: l.conf.amount(), Burst: l.conf.Burst,
			Floor: l.conf.Floor}
		switch seed++; {
		case l.conf.each():
			l.keys = quota.NewKeyedShares(q, f.cfg.MaxMembers(), period, seed, now)
			l.part = l.keys
		case l.conf.Concurrent > 0:
			l.slots = quota.NewSlots(q, f.cfg.MaxMembers(), f.cfg.place(), period, int64(l.conf.LongestMS)*1000, seed, now)
			l.part = l.slots
		default:
			l.share = quota.NewShare(q, f.cfg.MaxMembers(), period, seed, now)
			l.part = l.share
		}
		if takesOver {
			l.part.Suspend(now)
		}
		f.limits = append(f.limits, l)
	}
}

// take asks for one more, of a key where the limit is for each.
func (l *limiter) take(now, ends quota.Micros, key uint64) (at quota.Slot, ok bool, wait quota.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.share != nil:
		ok, wait = l.share.Take(now)
	case l.slots != nil:
		at, ok, wait = l.slots.Take(now, ends)
	default:
		ok, wait = l.keys.Take(now, key)
	}
	return at, ok, wait
}

// give takes back what was let in by this limit and turned away by another.
func (l *limiter) give(now quota.Micros, key uint64, at quota.Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.share != nil:
		l.share.Refund()
	case l.slots != nil:
		l.slots.Release(now, at)
	default:
		l.keys.Refund(key)
	}
}

// binds tells whether a limit binds a request of a class and a tenant, and under which key.
func (l *limiter) binds(class, tenant string) (key uint64, ok bool) {
	switch {
	case l.conf.Class != "":
		return 0, l.conf.Class == class
	case l.conf.Tenant == Each && tenant != "":
		return quota.KeyID(l.id, tenant), true
	}
	return 0, l.conf.Tenant != "" && l.conf.Tenant == tenant
}

// AllowRequest asks whether one more request of a class and a tenant that ends by the time given may be let in now.
// If not, it names the limit and tells after how long it may be. It never waits for a message.
func (f *Fleet) AllowRequest(class, tenant string, ends time.Time) (t Ticket, ok bool, after time.Duration,
	limit string) {
	now := f.now()
	until := now + time.Until(ends).Microseconds()
	for i, l := range f.limits {
		key, binds := l.binds(class, tenant)
		if !binds {
			continue
		}
		at, ok, wait := l.take(now, until, key)
		if ok {
			if l.slots != nil {
				t.held = append(t.held, hold{l, at})
			}
			continue
		}
		for _, before := range f.limits[:i] { // what others that bind it have let in is not used
			if key, binds := before.binds(class, tenant); binds && before.slots == nil {
				before.give(now, key, quota.Slot{})
			}
		}
		f.ReleaseTicket(t)
		return Ticket{}, false, time.Duration(wait) * time.Microsecond, l.conf.Name
	}
	return t, true, 0, ""
}

// AllowAttempt asks whether an attempt at a server that ends by the time given may be sent now.
func (f *Fleet) AllowAttempt(server uint64, ends time.Time) (t Ticket, ok bool) {
	now := f.now()
	until := now + time.Until(ends).Microseconds()
	for i, l := range f.limits {
		if !l.serves(server) {
			continue
		}
		at, ok, _ := l.take(now, until, quota.KeyIDFromNumber(l.id, server))
		if ok {
			if l.slots != nil {
				t.held = append(t.held, hold{l, at})
			}
			continue
		}
		for _, before := range f.limits[:i] {
			if before.serves(server) && before.slots == nil {
				before.give(now, quota.KeyIDFromNumber(before.id, server), quota.Slot{})
			}
		}
		f.ReleaseTicket(t)
		return Ticket{}, false
	}
	return t, true
}

// serves tells that a limit binds attempts at a server.
func (l *limiter) serves(server uint64) bool {
	return l.conf.Server == Each || l.conf.Server != "" && l.server == server
}

// HasServerLimits tells that attempts are limited, and not just requests.
func (f *Fleet) HasServerLimits() bool {
	return slices.ContainsFunc(f.limits, func(l *limiter) bool { return l.conf.Server != "" })
}

// ReleaseTicket gives back what a request or an attempt that has ended held.
func (f *Fleet) ReleaseTicket(t Ticket) {
	now := f.now()
	for _, h := range t.held {
		h.l.give(now, 0, h.at)
	}
}

// each calls a function for every limit, under its lock.
func (f *Fleet) each(do func(l *limiter)) {
	for _, l := range f.limits {
		l.mu.Lock()
		do(l)
		l.mu.Unlock()
	}
}

// handLimits gives this process's limits up, and returns what the next one has to know.
func (f *Fleet) handLimits(h *Handover) {
	now := f.now()
	h.Lent = map[string]Handed{}
	f.each(func(l *limiter) {
		switch {
		case l.share != nil:
			h.Lent[l.conf.Name] = Handed{Lent: l.share.HandOver(now)}
		case l.slots != nil:
			h.Lent[l.conf.Name] = Handed{Lent: l.slots.HandOver(now)}
		default:
			h.Lent[l.conf.Name] = Handed{Keys: l.keys.HandOver(now)}
		}
	})
	if f.tenure != nil {
		held := f.tenure.HandOver(now)
		h.Tenure = &held
	}
}

// beginLimits takes over what another process of this member has handed over; nil: there was none.
func (f *Fleet) beginLimits(from *Handover) {
	now := f.now()
	f.each(func(l *limiter) {
		if from == nil {
			l.part.OtherProcessEnded(now, true)
			return
		}
		switch h := from.Lent[l.conf.Name]; {
		case l.share != nil:
			l.share.TakeOver(now, h.Lent)
		case l.slots != nil:
			l.slots.TakeOver(now, h.Lent)
		default:
			l.keys.TakeOver(now, h.Keys)
		}
	})
	if from != nil && from.Tenure != nil && f.tenure != nil {
		f.tenure.TakeOver(now, *from.Tenure)
	}
}

// againLimits goes on in this process's own place after the next one has failed: nobody knows what that one
// has lent or voted.
func (f *Fleet) againLimits() {
	now := f.now()
	f.each(func(l *limiter) { l.part.OtherProcessEnded(now, true) })
	f.tenure = f.newTenure()
}

// newTenure is one of a process that knows of no votes. Members whose floors differ do not vote with one
// another.
func (f *Fleet) newTenure() *quota.Leases {
	h := xxhash.New()
	for _, l := range f.cfg.Limits {
		_, _ = fmt.Fprintf(h, "%s %g\n", l.Name, l.Floor)
	}
	return quota.NewLeases(f.cfg.Fleet.Name, f.cfg.Fleet.Roster, uint32(h.Sum64()),
		f.cfg.Period().Microseconds(), f.now())
}

// mostDiffer is for how many periods being turned down by somebody counts.
const mostDiffer = 10

// sayAgain is after how long a member tells its settings anew; they end after twice that, as it may be gone.
const sayAgain = time.Hour

// agree has the strictest of what the members that are alive say of each limit hold here, and tells them what
// is said here.
func (f *Fleet) agree(v *membership.View, now membership.Micros, peers []string) {
	if n := v.Stats().TurnedDown; n != f.turnedDown {
		f.turnedDown, f.turnedAt = n, now
	}
	void := f.turnedDown > 0 && now-f.turnedAt < mostDiffer*f.cfg.Period().Microseconds()
	conf := f.conf.Load()
	for _, l := range f.limits {
		own, ok := conf.limit(l.conf.Name)
		if !ok {
			continue // its last word holds until a restart
		}
		text := fmt.Sprintf("%g %g %d", own.amount(), own.Burst, conf.MaxMembers())
		key := "limit." + l.conf.Name
		said, self := f.keep.Settings(now, key), f.cfg.Fleet.Name
		if said[self] != text || now-l.saidAt > sayAgain.Microseconds() {
			l.saidAt = now
			what := verdict.Verdict{Kind: verdict.Setting, What: key + "@" + self, On: true, Reason: text,
				Span: 2 * sayAgain.Microseconds()}
			if _, err := f.keep.Issue(now, time.Now().UnixMilli(), what); err != nil {
				f.log.Warn("the others are not told of a limit", "limit", l.conf.Name, "err", err)
			}
		}
		amount, burst, members := own.amount(), own.Burst, conf.MaxMembers()
		for _, who := range peers {
			var r, b float64
			var n int
			if k, _ := fmt.Sscanf(said[who], "%g %g %d", &r, &b, &n); k == 3 && r > 0 && b >= 0 && n > 0 {
				amount, burst, members = min(amount, r), min(burst, b), max(members, n)
			}
		}
		l.mu.Lock()
		switch {
		case l.share != nil:
			l.share.Configure(now, amount, burst, members)
		case l.slots != nil:
			l.slots.Configure(now, amount, members, conf.place())
		default:
			l.keys.Configure(now, amount, burst, members)
		}
		l.part.SetDisabled(now, void)
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
	return slices.EqualFunc(a, b, func(x, y Limit) bool {
		return x.id() == y.id() && x.Class == y.Class && x.Tenant == y.Tenant && x.Server == y.Server
	})
}

// tendLimits has the parts look once a period whom to ask.
func (f *Fleet) tendLimits(v *membership.View, now membership.Micros, peers []string) {
	if len(f.limits) == 0 {
		return
	}
	f.agree(v, now, peers)
	var e quota.Entitlement
	if f.tenure != nil && f.votes() {
		for _, m := range f.tenure.Tick(now, append([]string{f.cfg.Fleet.Name}, peers...)) {
			v.Say(m.To, toQuota, m.Data)
		}
		e = f.tenure.Entitlement(now)
		holds := f.tenure.Held(now)
		f.holds.Store(&holds)
	}
	f.each(func(l *limiter) {
		l.part.SetEntitlement(now, e)
		for _, m := range l.part.Tick(now, peers) {
			v.Say(m.To, toQuota, m.Data)
		}
	})
}

// votes tells that any limit has a rest that is voted on.
func (f *Fleet) votes() bool {
	return slices.ContainsFunc(f.limits, func(l *limiter) bool { return l.conf.Floor < 1 })
}

// hearLimit takes in another member's message on a limit. One that this member does not have is no fault:
// settings change at different times.
func (f *Fleet) hearLimit(v *membership.View, h membership.Heard) {
	now := f.now()
	if quota.IsLeaseMessage(h.Data) {
		if f.tenure != nil {
			for _, m := range f.tenure.Receive(now, h.From, h.Data) {
				v.Say(m.To, toQuota, m.Data)
			}
		}
		return
	}
	id, ok := quota.MessageLimitID(h.Data)
	if !ok {
		f.drop(errMessage)
		return
	}
	f.each(func(l *limiter) {
		if quota.LimitIDOf(id) != l.id {
			return
		}
		for _, m := range l.part.Receive(now, h.From, h.Data) {
			v.Say(m.To, toQuota, m.Data)
		}
	})
}

// Limits is the form of GET /admin/limits.
type Limits struct {
	Limits []LimitStatus `json:"limits"`
	// Holds are the members whose rest of all shares this one has by a majority's votes, itself among them.
	Holds []string `json:"holds"`
}

// Limits are this member's shares.
func (f *Fleet) Limits() Limits {
	out := Limits{Limits: []LimitStatus{}, Holds: []string{}}
	if h := f.holds.Load(); h != nil {
		out.Holds = *h
	}
	now := f.now()
	differ := len(f.show.Load().Figures.Differ) > 0
	f.each(func(l *limiter) {
		g := l.part.Stats(now)
		s := LimitStatus{Name: l.conf.Name, Share: g.Share, Used: g.Used, InDoubt: g.InDoubt,
			StaleMS: g.Stale / 1000}
		switch {
		case l.share != nil:
			s.Kind, s.Limit, s.Granted, s.Refused = "rate", l.share.Rate, l.share.Granted, l.share.Refused
		case l.slots != nil:
			s.Kind, s.Limit, s.Granted, s.Refused = "concurrent", l.slots.Rate, l.slots.Granted, l.slots.Refused
		default:
			s.Kind, s.Limit, s.Granted, s.Refused = "each", l.keys.Rate, l.keys.Granted, l.keys.Refused
			s.Keys = l.keys.Len()
		}
		if differ { // rosters or floors may differ, and with them who votes on what
			s.OverAtMost = (1 - l.conf.Floor) * s.Limit
		}
		out.Limits = append(out.Limits, s)
	})
	return out
}

// PredecessorGone tells that the process that this one took over from is over.
func (f *Fleet) PredecessorGone() {
	now := f.now()
	f.each(func(l *limiter) { l.part.OtherProcessEnded(now, false) })
}
