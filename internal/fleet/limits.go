package fleet

// Limits: connects members, fronts and operators to the shares of internal/quota, which decide what is
// admitted.

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

// Each may stand for the name of a limit's tenant or server: the limit then applies to each one separately.
const Each = "*"

const (
	defaultMaxDuration = 5 * time.Second
	defaultFloor       = 0.5 // of a share, if the roster votes
	minFloor           = 0.1
)

// Limit is a limit in the settings file.
type Limit struct {
	Name       string  `toml:"name"`
	Class      string  `toml:"class,omitempty"`
	Tenant     string  `toml:"tenant,omitempty"`
	Server     string  `toml:"server,omitempty"`
	Rate       float64 `toml:"rate,omitempty"`
	Burst      float64 `toml:"burst,omitempty"`
	Concurrent float64 `toml:"concurrent,omitempty"`
	LongestMS  int     `toml:"longest_ms,omitempty"` // requests that last longer never use a borrowed unit
	Floor      float64 `toml:"floor,omitempty"`      // part of a member's share that no other member ever uses
}

// validate records the faults of a limit and sets defaults.
func (l *Limit) validate(f *settings.File, key string, members, roster int) {
	f.Require(namePattern.MatchString(l.Name) && len(l.Name) <= membership.MaxName, key+".name",
		"%q is not 1 to %d letters, digits, dots, dashes or underscores", l.Name, membership.MaxName)
	subjects := 0
	for _, s := range []string{l.Class, l.Tenant, l.Server} {
		if s != "" {
			subjects++
		}
	}
	f.Require(subjects == 1, key+".class", "one of class, tenant and server has to be there")
	f.Require(l.Class != Each, key+".class", "%q is for tenants and servers: give each class its limit", Each)
	if l.Concurrent != 0 {
		f.Require(l.Rate == 0 && l.Burst == 0, key+".concurrent", "goes without rate and burst")
		f.Require(l.Concurrent >= float64(members) && l.Concurrent <= 1e6 &&
			l.Concurrent == math.Trunc(l.Concurrent), key+".concurrent",
			"%g is no whole number, or less than 1 for each of %d members, or over 1e6", l.Concurrent, members)
		f.Require(!l.each(), key+".concurrent", "is for one name, not for each")
		f.Require(l.LongestMS >= 0 && l.LongestMS <= 600_000, key+".longest_ms", "%d is not within 0 and 600000",
			l.LongestMS)
		if l.LongestMS == 0 {
			l.LongestMS = int(defaultMaxDuration.Milliseconds())
		}
	} else {
		f.Require(l.Rate > 0 && l.Rate <= 1e9, key+".rate", "%g a second is not above 0 and within 1e9", l.Rate)
		f.Require(l.Burst >= float64(members) && l.Burst <= 1e9, key+".burst",
			"%g leaves less than 1 for each of %d members, or is over 1e9", l.Burst, members)
		f.Require(l.LongestMS == 0, key+".longest_ms", "goes with concurrent")
	}
	canVote := roster >= 3 && roster <= quota.MaxVoters
	f.Require(l.Floor == 0 || l.Floor >= minFloor && l.Floor <= 1, key+".floor", "%g is not within %g and 1",
		l.Floor, minFloor)
	f.Require(canVote || l.Floor == 0 || l.Floor == 1, key+".floor",
		"under 1 takes a roster of 3 to %d, whose majority says who has the rest", quota.MaxVoters)
	if l.Floor == 0 {
		if l.Floor = 1; canVote && !l.each() {
			l.Floor = defaultFloor
		}
	}
	f.Require(l.Floor == 1 || !l.each(), key+".floor", "is 1 where the limit is for each")
}

// each reports whether the limit applies to each tenant or server separately.
func (l *Limit) each() bool { return l.Tenant == Each || l.Server == Each }

// amount returns the limit: requests per second, or concurrent requests.
func (l *Limit) amount() float64 { return max(l.Rate, l.Concurrent) }

// id returns the limit's ID, which is the same on all members. Members whose files differ in settings that
// must be equal get different IDs and so do not lend to one another.
func (l *Limit) id() uint64 {
	return quota.LimitID(fmt.Sprintf("%s/%t/%d/%g", l.Name, l.Concurrent > 0, l.LongestMS, l.Floor))
}

// LimitStatus is one limit in Limits. Rates are per second.
type LimitStatus struct {
	Name       string  `json:"name"`
	Limit      float64 `json:"limit"`
	Share      float64 `json:"share"`        // what this member may use now
	Used       float64 `json:"used"`         // admitted by this member during the last second, or in flight
	InDoubt    float64 `json:"in_doubt"`     // of its own share: lent, or possibly lent before its start
	OverAtMost float64 `json:"over_at_most"` // by how much all members together may exceed the limit
	StaleMS    int64   `json:"stale_ms"`     // time since the renewal of the oldest loan to this member
	Granted    int64   `json:"granted"`
	Refused    int64   `json:"refused"`
	Kind       string  `json:"kind"`           // rate, concurrent or each
	Keys       int     `json:"keys,omitempty"` // limits for each: number of keys that have a share
}

// limitState is this member's state of a limit of any kind.
type limitState interface {
	Tick(now quota.Micros, peers []string) []quota.Message
	Receive(now quota.Micros, from string, data []byte) []quota.Message
	SetEntitlement(now quota.Micros, e quota.Entitlement)
	Stats(now quota.Micros) quota.Stats
	Suspend(now quota.Micros)
	OtherProcessEnded(now quota.Micros, unknown bool)
	SetDisabled(now quota.Micros, on bool)
}

// limiter is one limit with its lock, as fronts use it from their own goroutines. Exactly one of share, slots
// and keys is set.
type limiter struct {
	mu       sync.Mutex // guards state
	state    limitState
	share    *quota.Share
	slots    *quota.Slots
	keys     *quota.KeyedShares
	conf     Limit // as of the start
	id       uint64
	serverID uint64 // ID of the limited server

	announcedAt membership.Micros // owner goroutine only: when this member last announced its settings
}

// LimitHandover is the state of one limit that the successor needs.
type LimitHandover struct {
	Lent []quota.SavedLoan            `json:"lent,omitempty"`
	Keys map[uint64][]quota.SavedLoan `json:"keys,omitempty"`
}

// Ticket holds the concurrency slots of an admitted request or attempt. The zero Ticket holds none.
type Ticket struct{ held []heldSlot }

// Empty reports whether the ticket holds no slot.
func (t Ticket) Empty() bool { return len(t.held) == 0 }

type heldSlot struct {
	limiter *limiter
	slot    quota.Slot
}

// createLimits creates the limits. A process that takes over may use none before it has received their state.
func (f *Fleet) createLimits(takesOver bool) {
	period, now, seed := f.cfg.Period().Microseconds(), f.now(), f.viewConfig().Seed
	f.leases = f.newLeases()
	for i := range f.cfg.Limits {
		l := &limiter{conf: f.cfg.Limits[i]}
		l.id = l.conf.id()
		if l.conf.Server != "" {
			l.serverID = ServerID(l.conf.Server)
		}
		q := quota.Limit{Name: l.conf.Name, ID: l.id, Rate: l.conf.amount(), Burst: l.conf.Burst,
			Floor: l.conf.Floor}
		switch seed++; {
		case l.conf.each():
			l.keys = quota.NewKeyedShares(q, f.cfg.MaxMembers(), period, seed, now)
			l.state = l.keys
		case l.conf.Concurrent > 0:
			l.slots = quota.NewSlots(q, f.cfg.MaxMembers(), f.cfg.rosterIndexOrNone(), period,
				int64(l.conf.LongestMS)*1000, seed, now)
			l.state = l.slots
		default:
			l.share = quota.NewShare(q, f.cfg.MaxMembers(), period, seed, now)
			l.state = l.share
		}
		if takesOver {
			l.state.Suspend(now)
		}
		f.limits = append(f.limits, l)
	}
}

// take requests one unit, of the given key if the limit is for each.
func (l *limiter) take(now, endsAt quota.Micros, key uint64) (slot quota.Slot, ok bool, wait quota.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.share != nil:
		ok, wait = l.share.Take(now)
	case l.slots != nil:
		slot, ok, wait = l.slots.Take(now, endsAt)
	default:
		ok, wait = l.keys.Take(now, key)
	}
	return slot, ok, wait
}

// giveBack returns a unit that was taken from this limit.
func (l *limiter) giveBack(now quota.Micros, key uint64, slot quota.Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.share != nil:
		l.share.Refund()
	case l.slots != nil:
		l.slots.Release(now, slot)
	default:
		l.keys.Refund(key)
	}
}

// matches reports whether the limit applies to a request, and under which key.
func (l *limiter) matches(class, tenant string) (key uint64, ok bool) {
	switch {
	case l.conf.Class != "":
		return 0, l.conf.Class == class
	case l.conf.Tenant == Each && tenant != "":
		return quota.KeyID(l.id, tenant), true
	}
	return 0, l.conf.Tenant != "" && l.conf.Tenant == tenant
}

// AllowRequest reports whether a request of a class and a tenant that ends by the given time may be admitted
// now. If not, it returns the limit that refused it and the time after which to retry. It never waits for a
// message.
func (f *Fleet) AllowRequest(class, tenant string, endsAt time.Time) (t Ticket, ok bool,
	retryAfter time.Duration, limit string) {
	now := f.now()
	endsMicros := now + time.Until(endsAt).Microseconds()
	for i, l := range f.limits {
		key, applies := l.matches(class, tenant)
		if !applies {
			continue
		}
		slot, ok, wait := l.take(now, endsMicros, key)
		if ok {
			if l.slots != nil {
				t.held = append(t.held, heldSlot{l, slot})
			}
			continue
		}
		for _, preceding := range f.limits[:i] { // return the units that the preceding limits have granted
			if key, applies := preceding.matches(class, tenant); applies && preceding.slots == nil {
				preceding.giveBack(now, key, quota.Slot{})
			}
		}
		f.ReleaseTicket(t)
		return Ticket{}, false, time.Duration(wait) * time.Microsecond, l.conf.Name
	}
	return t, true, 0, ""
}

// AllowAttempt reports whether an attempt to a server that ends by the given time may be sent now.
func (f *Fleet) AllowAttempt(server uint64, endsAt time.Time) (t Ticket, ok bool) {
	now := f.now()
	endsMicros := now + time.Until(endsAt).Microseconds()
	for i, l := range f.limits {
		if !l.matchesServer(server) {
			continue
		}
		slot, ok, _ := l.take(now, endsMicros, quota.KeyIDFromNumber(l.id, server))
		if ok {
			if l.slots != nil {
				t.held = append(t.held, heldSlot{l, slot})
			}
			continue
		}
		for _, preceding := range f.limits[:i] {
			if preceding.matchesServer(server) && preceding.slots == nil {
				preceding.giveBack(now, quota.KeyIDFromNumber(preceding.id, server), quota.Slot{})
			}
		}
		f.ReleaseTicket(t)
		return Ticket{}, false
	}
	return t, true
}

// matchesServer reports whether the limit applies to attempts to a server.
func (l *limiter) matchesServer(server uint64) bool {
	return l.conf.Server == Each || l.conf.Server != "" && l.serverID == server
}

// HasServerLimits reports whether any limit applies to attempts and not only to requests.
func (f *Fleet) HasServerLimits() bool {
	return slices.ContainsFunc(f.limits, func(l *limiter) bool { return l.conf.Server != "" })
}

// ReleaseTicket releases the slots of a request or an attempt that has ended.
func (f *Fleet) ReleaseTicket(t Ticket) {
	now := f.now()
	for _, h := range t.held {
		h.limiter.giveBack(now, 0, h.slot)
	}
}

// forEachLimit calls a function for every limit, with the limit's lock held.
func (f *Fleet) forEachLimit(do func(l *limiter)) {
	for _, l := range f.limits {
		l.mu.Lock()
		do(l)
		l.mu.Unlock()
	}
}

// handOverLimits reduces this process's limits to the part that it keeps for requests still in flight here,
// and adds the state that the successor needs to the handover.
func (f *Fleet) handOverLimits(h *Handover) {
	now := f.now()
	h.Limits = map[string]LimitHandover{}
	f.forEachLimit(func(l *limiter) {
		switch {
		case l.share != nil:
			h.Limits[l.conf.Name] = LimitHandover{Lent: l.share.HandOver(now)}
		case l.slots != nil:
			h.Limits[l.conf.Name] = LimitHandover{Lent: l.slots.HandOver(now)}
		default:
			h.Limits[l.conf.Name] = LimitHandover{Keys: l.keys.HandOver(now)}
		}
	})
	if f.leases != nil {
		held := f.leases.HandOver(now)
		h.Leases = &held
	}
}

// startLimits restores the limits from a handover; nil: there was none.
func (f *Fleet) startLimits(from *Handover) {
	now := f.now()
	f.forEachLimit(func(l *limiter) {
		if from == nil {
			l.state.OtherProcessEnded(now, true)
			return
		}
		switch h := from.Limits[l.conf.Name]; {
		case l.share != nil:
			l.share.TakeOver(now, h.Lent)
		case l.slots != nil:
			l.slots.TakeOver(now, h.Lent)
		default:
			l.keys.TakeOver(now, h.Keys)
		}
	})
	if from != nil && from.Leases != nil && f.leases != nil {
		f.leases.TakeOver(now, *from.Leases)
	}
}

// reclaimLimits continues with this process's limits after the successor has failed. What the successor has
// lent or voted is unknown.
func (f *Fleet) reclaimLimits() {
	now := f.now()
	f.forEachLimit(func(l *limiter) { l.state.OtherProcessEnded(now, true) })
	f.leases = f.newLeases()
}

// newLeases returns the voting state of a process that knows of no votes. Members whose floors differ do not
// count one another's votes.
func (f *Fleet) newLeases() *quota.Leases {
	h := xxhash.New()
	for _, l := range f.cfg.Limits {
		_, _ = fmt.Fprintf(h, "%s %g\n", l.Name, l.Floor)
	}
	return quota.NewLeases(f.cfg.Fleet.Name, f.cfg.Fleet.Roster, uint32(h.Sum64()),
		f.cfg.Period().Microseconds(), f.now())
}

// rejectionPeriods is the number of periods after a rejection by another member in which this member may
// use nothing of any limit.
const rejectionPeriods = 10

// reannounceInterval is how often a member announces its settings. They expire after twice that, because the
// member may be gone.
const reannounceInterval = time.Hour

// reconcileLimits applies the strictest of the settings that the alive members announce for each limit, and
// announces this member's own.
func (f *Fleet) reconcileLimits(v *membership.View, now membership.Micros, peers []string) {
	if n := v.Stats().Rejections; n != f.rejections {
		f.rejections, f.rejectedAt = n, now
	}
	void := f.rejections > 0 && now-f.rejectedAt < rejectionPeriods*f.cfg.Period().Microseconds()
	conf := f.current.Load()
	for _, l := range f.limits {
		own, ok := conf.limit(l.conf.Name)
		if !ok {
			continue // the last announced settings hold until a restart
		}
		value := fmt.Sprintf("%g %g %d", own.amount(), own.Burst, conf.MaxMembers())
		key := "limit." + l.conf.Name
		announced, self := f.store.Settings(now, key), f.cfg.Fleet.Name
		if announced[self] != value || now-l.announcedAt > reannounceInterval.Microseconds() {
			l.announcedAt = now
			setting := verdict.Verdict{Kind: verdict.Setting, What: key + "@" + self, On: true, Reason: value,
				Span: 2 * reannounceInterval.Microseconds()}
			if _, err := f.store.Issue(now, time.Now().UnixMilli(), setting); err != nil {
				f.log.Warn("cannot announce the settings of a limit", "limit", l.conf.Name, "err", err)
			}
		}
		amount, burst, members := own.amount(), own.Burst, conf.MaxMembers()
		for _, peer := range peers {
			var r, b float64
			var n int
			if k, _ := fmt.Sscanf(announced[peer], "%g %g %d", &r, &b, &n); k == 3 && r > 0 && b >= 0 && n > 0 {
				amount, burst, members = min(amount, r), min(burst, b), max(members, n)
			}
		}
		l.mu.Lock()
		switch {
		case l.share != nil:
			l.share.Configure(now, amount, burst, members)
		case l.slots != nil:
			l.slots.Configure(now, amount, members, conf.rosterIndexOrNone())
		default:
			l.keys.Configure(now, amount, burst, members)
		}
		l.state.SetDisabled(now, void)
		l.mu.Unlock()
	}
}

// limit returns a limit of the settings file by name.
func (c *Config) limit(name string) (Limit, bool) {
	for _, l := range c.Limits {
		if l.Name == name {
			return l, true
		}
	}
	return Limit{}, false
}

// sameLimits reports whether two files have the same limits, regardless of rate, burst and concurrency.
func sameLimits(a, b []Limit) bool {
	return slices.EqualFunc(a, b, func(x, y Limit) bool {
		return x.id() == y.id() && x.Class == y.Class && x.Tenant == y.Tenant && x.Server == y.Server
	})
}

// tickLimits runs the periodic work of the limits: votes, loan requests and renewals.
func (f *Fleet) tickLimits(v *membership.View, now membership.Micros, peers []string) {
	if len(f.limits) == 0 {
		return
	}
	f.reconcileLimits(v, now, peers)
	var e quota.Entitlement
	if f.leases != nil && f.usesVotes() {
		for _, m := range f.leases.Tick(now, append([]string{f.cfg.Fleet.Name}, peers...)) {
			v.SendApp(m.To, kindQuota, m.Data)
		}
		e = f.leases.Entitlement(now)
		held := f.leases.Held(now)
		f.leasesHeld.Store(&held)
	}
	f.forEachLimit(func(l *limiter) {
		l.state.SetEntitlement(now, e)
		for _, m := range l.state.Tick(now, peers) {
			v.SendApp(m.To, kindQuota, m.Data)
		}
	})
}

// usesVotes reports whether any limit has a floor below 1, so that the rest of the shares is voted on.
func (f *Fleet) usesVotes() bool {
	return slices.ContainsFunc(f.limits, func(l *limiter) bool { return l.conf.Floor < 1 })
}

// receiveLimit handles another member's message on a limit. A limit that this member does not have is no
// fault, because members change their settings at different times.
func (f *Fleet) receiveLimit(v *membership.View, msg membership.AppMessage) {
	now := f.now()
	if quota.IsLeaseMessage(msg.Data) {
		if f.leases != nil {
			for _, m := range f.leases.Receive(now, msg.From, msg.Data) {
				v.SendApp(m.To, kindQuota, m.Data)
			}
		}
		return
	}
	id, ok := quota.MessageLimitID(msg.Data)
	if !ok {
		f.countDrop(errBadMessage)
		return
	}
	f.forEachLimit(func(l *limiter) {
		if quota.LimitIDOf(id) != l.id {
			return
		}
		for _, m := range l.state.Receive(now, msg.From, msg.Data) {
			v.SendApp(m.To, kindQuota, m.Data)
		}
	})
}

// Limits is the body of GET /admin/limits.
type Limits struct {
	Limits []LimitStatus `json:"limits"`
	// LeasesHeld names the members whose shares above the floor this member uses by a majority vote, possibly
	// including itself.
	LeasesHeld []string `json:"holds"`
}

// Limits returns the state of this member's shares.
func (f *Fleet) Limits() Limits {
	out := Limits{Limits: []LimitStatus{}, LeasesHeld: []string{}}
	if h := f.leasesHeld.Load(); h != nil {
		out.LeasesHeld = *h
	}
	now := f.now()
	differ := len(f.status.Load().Stats.SettingsDiffer) > 0
	f.forEachLimit(func(l *limiter) {
		g := l.state.Stats(now)
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
		if differ { // rosters or floors may differ between members, and so the voters of the rests
			s.OverAtMost = (1 - l.conf.Floor) * s.Limit
		}
		out.Limits = append(out.Limits, s)
	})
	return out
}

// PredecessorGone reports that the process from which this one took over has ended.
func (f *Fleet) PredecessorGone() {
	now := f.now()
	f.forEachLimit(func(l *limiter) { l.state.OtherProcessEnded(now, false) })
}
