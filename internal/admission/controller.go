// Package admission decides which connections a listener accepts. It applies caps by address, address block
// and identity, a reserve for known clients and a number of slots for connections that have not authenticated
// yet, and it chooses idle connections to close when there is no free slot. The package does no I/O and reads
// no clock. docs/ADMISSION.md compares the alternatives.
package admission

import (
	"cmp"
	"net/netip"
	"slices"
)

// Micros is a point in time or a duration in microseconds on a monotonic clock.
type Micros = int64

// Rule applies to the addresses of a prefix; the longest matching prefix counts. A cap of 0 is taken from
// Limits.Default.
type Rule struct {
	Prefix   netip.Prefix
	MaxOpen  int     // maximum number of connections per address, or per identity behind a gateway
	Rate     float64 // new connections per second and address
	Burst    float64 // new connections at once
	MaxTotal int     // maximum number of connections of the whole prefix
	Known    bool    // clients of this prefix are known
	Gateway  bool    // many clients share one address
}

// Limits are the limits that a Controller enforces.
type Limits struct {
	Reserve      int    // slots for known clients only
	Proving      int    // slots for connections that have not authenticated yet
	ProveTimeout Micros // time within which those must authenticate
	MaxTracked   int    // maximum number of addresses, and of blocks, that are tracked
	Block        Rule   // MaxOpen, Rate and Burst of each /24 (IPv4) and /64 (IPv6)
	Default      Rule
	Rules        []Rule
}

// Outcome is the outcome of a Decision.
type Outcome uint8

// The outcomes.
const (
	Admit                Outcome = iota
	AdmitReserved                // admitted from the reserve
	AdmitUnauthenticated         // admitted, but must authenticate in time
	EvictIdle                    // close the given idle connection, then ask again
	Refuse                       // refused for the given reason
)

// Reason is the reason of a refusal.
type Reason uint8

// The reasons.
const (
	None Reason = iota
	Banned
	TooFast         // too many new connections from its address
	TooMany         // too many open connections from its address or identity
	BlockCap        // too many connections from its block or prefix
	Full            // no slot is left for its kind
	Unauthenticated // no slot is left for authenticating, or the time for it is over
	reasonCount
)

// String returns the name of the reason in the statistics.
func (r Reason) String() string {
	return [reasonCount]string{"", "banned", "too_fast", "too_many", "block_cap", "full", "unproved"}[r]
}

// Arrival is a new connection.
type Arrival struct {
	Addr          netip.Addr
	Authenticates bool // the listener asks for a proof of identity, which the client may or may not give
	Capacity      int  // number of slots for clients at this moment, of all kinds
}

// Decision is the answer to an arrival or an authentication.
type Decision struct {
	Outcome    Outcome
	ID         uint64 // connection that is admitted, or that has to be closed
	Reason     Reason
	RetryAfter Micros // time after which the client may retry
}

// The kinds of slots.
const (
	kindGeneral = iota
	kindReserve
	kindProving
	kindCount
)

// conn is an admitted connection.
type conn struct {
	id           uint64
	addr         *tracked
	block        *tracked
	rule         *ruleState
	identity     *tracked
	kind         int
	known        bool
	idle         bool
	prev, next   *conn // in the list of idle connections of known or of unknown clients
	authDeadline Micros
}

// tracked is the state of an address, a block or an identity.
type tracked struct {
	addr       netip.Addr // for an address or a block
	name       string     // for an identity
	open       int
	tokens     float64
	refilledAt Micros
	arrivals   int64
	refused    int64
	prev, next *tracked // in the LRU list, least recent first; only while it has no open connection
	listed     bool
}

// ruleState is a rule with its number of open connections.
type ruleState struct {
	Rule
	open int
}

// override is an operator's ban or pin of a prefix.
type override struct {
	prefix netip.Prefix
	pinned bool
	until  Micros
}

// Controller is an admission controller for connections. It is not safe for concurrent use.
type Controller struct {
	limits          Limits
	rules           Trie[ruleState]
	overrides       Trie[override]
	conns           map[uint64]*conn
	lastID          uint64
	inUse           [kindCount]int
	capacity        int         // number of slots at the last arrival
	idle            [2]idleList // of unknown and of known clients
	addrs           addrTable
	blocks          addrTable
	identities      map[string]*tracked
	refused         [reasonCount]int64
	unauthenticated []*conn // connections that have not authenticated yet, by deadline
}

// New returns a controller without connections.
func New(l Limits) *Controller {
	ac := &Controller{conns: map[uint64]*conn{}, identities: map[string]*tracked{}}
	ac.addrs.byAddr, ac.blocks.byAddr = map[netip.Addr]*tracked{}, map[netip.Addr]*tracked{}
	ac.SetLimits(l)
	return ac
}

// SetLimits sets new limits. Admitted connections, bans and pins stay.
func (ac *Controller) SetLimits(l Limits) {
	ac.limits, ac.rules = l, Trie[ruleState]{}
	for _, r := range l.Rules {
		ac.rules.Put(r.Prefix, &ruleState{Rule: r})
	}
	for _, c := range ac.conns {
		if c.rule = ac.rule(c.addr.addr); c.rule != nil {
			c.rule.open++
		}
	}
	ac.addrs.maxEntries, ac.blocks.maxEntries = max(1, l.MaxTracked), max(1, l.MaxTracked)
}

// rule returns the rule of an address, or nil if only the default applies.
func (ac *Controller) rule(a netip.Addr) *ruleState { return ac.rules.Find(a) }

// blockOf returns the block of an address: its /24 for IPv4, its /64 for IPv6.
func blockOf(a netip.Addr) netip.Addr {
	size := 64
	if a.Is4() {
		size = 24
	}
	p, _ := a.Prefix(size)
	return p.Addr()
}

// takeToken takes a token for a new connection. If there is none, it returns when there will be one.
func (s *tracked) takeToken(now Micros, rate, burst float64) (ok bool, retryAfter Micros) {
	if rate <= 0 {
		return true, 0
	}
	burst = max(1, burst)
	if s.arrivals == 0 {
		s.tokens = burst
	} else {
		s.tokens = min(burst, s.tokens+rate*float64(now-s.refilledAt)/1e6)
	}
	s.refilledAt = now
	s.arrivals++
	if s.tokens < 1 {
		return false, Micros((1 - s.tokens) / rate * 1e6)
	}
	s.tokens--
	return true, 0
}

// Decide decides on a new connection.
func (ac *Controller) Decide(now Micros, a Arrival) Decision {
	a.Addr = a.Addr.Unmap()
	rule, known := ac.rule(a.Addr), false
	effective := ac.limits.Default
	if rule != nil {
		known = rule.Known
		effective.MaxOpen = cmp.Or(rule.MaxOpen, effective.MaxOpen)
		if rule.Rate > 0 {
			effective.Rate, effective.Burst = rule.Rate, rule.Burst
		}
		effective.Gateway = rule.Gateway
	}
	addr, block := ac.addrs.get(a.Addr), ac.blocks.get(blockOf(a.Addr))
	refuse := func(reason Reason, retryAfter Micros) Decision {
		ac.refused[reason]++
		addr.refused++
		ac.addrs.release(addr)
		ac.blocks.release(block)
		return Decision{Outcome: Refuse, Reason: reason, RetryAfter: max(retryAfter, 1)}
	}
	if h := ac.override(now, a.Addr); h != nil {
		if !h.pinned {
			return refuse(Banned, h.until-now)
		}
		known = true
	}
	if !known { // the rate limits and the block's limits only apply to unknown clients
		if ok, retryAfter := addr.takeToken(now, effective.Rate, effective.Burst); !ok {
			return refuse(TooFast, retryAfter)
		}
		if ok, retryAfter := block.takeToken(now, ac.limits.Block.Rate, ac.limits.Block.Burst); !ok &&
			!effective.Gateway {
			return refuse(BlockCap, retryAfter)
		}
		if ac.limits.Block.MaxOpen > 0 && block.open >= ac.limits.Block.MaxOpen && !effective.Gateway {
			return refuse(BlockCap, defaultRetryAfter)
		}
	} else {
		addr.arrivals++
	}
	if effective.MaxOpen > 0 && addr.open >= effective.MaxOpen && !effective.Gateway {
		return refuse(TooMany, defaultRetryAfter)
	}
	if rule != nil && rule.MaxTotal > 0 && rule.open >= rule.MaxTotal {
		return refuse(BlockCap, defaultRetryAfter)
	}
	ac.capacity = a.Capacity
	kind, ok := ac.findSlot(a.Capacity, known, a.Authenticates)
	if !ok {
		if c := ac.evictable(known); c != nil {
			ac.addrs.release(addr)
			ac.blocks.release(block)
			addr.tokens++ // the caller asks again, which takes new tokens
			block.tokens++
			return Decision{Outcome: EvictIdle, ID: c.id}
		}
		if a.Authenticates {
			return refuse(Unauthenticated, defaultRetryAfter)
		}
		return refuse(Full, defaultRetryAfter)
	}
	ac.lastID++
	c := &conn{id: ac.lastID, addr: addr, block: block, rule: rule, kind: kind, known: known}
	if kind == kindProving {
		c.authDeadline = now + ac.limits.ProveTimeout
		ac.unauthenticated = append(ac.unauthenticated, c)
	}
	ac.conns[c.id] = c
	ac.inUse[kind]++
	ac.addrs.retain(addr)
	ac.blocks.retain(block)
	if rule != nil {
		rule.open++
	}
	return Decision{Outcome: [...]Outcome{Admit, AdmitReserved, AdmitUnauthenticated}[kind], ID: c.id}
}

// defaultRetryAfter is the retry time if it is unknown when a slot will be free.
const defaultRetryAfter = 1_000_000

// findSlot finds the kind of slot for an arrival.
func (ac *Controller) findSlot(capacity int, known, authenticates bool) (kind int, ok bool) {
	total := ac.inUse[kindGeneral] + ac.inUse[kindReserve] + ac.inUse[kindProving]
	if total >= capacity {
		return 0, false
	}
	reserved := min(ac.limits.Reserve+ac.limits.Proving, capacity)
	switch {
	case ac.inUse[kindGeneral] < capacity-reserved:
		return kindGeneral, true
	case known && ac.inUse[kindReserve] < min(ac.limits.Reserve, capacity):
		return kindReserve, true
	case authenticates && !known && ac.inUse[kindProving] < ac.limits.Proving &&
		ac.inUse[kindGeneral]+ac.inUse[kindProving] < capacity-ac.limits.Reserve:
		return kindProving, true
	}
	return 0, false
}

// evictable returns the connection to close for an arrival, or nil: the longest idle one of an unknown
// client, or, for an arrival of a known client, of a known one.
func (ac *Controller) evictable(known bool) *conn {
	if c := ac.idle[0].first; c != nil {
		return c
	}
	if known {
		return ac.idle[1].first
	}
	return nil
}

// Authenticate notes that a connection has proved an identity. known means that the listener's client roots
// vouch for it. It refuses the connection if the identity has too many open, or the time was over.
func (ac *Controller) Authenticate(now Micros, id uint64, identity string, known bool) Decision {
	c := ac.conns[id]
	if c == nil {
		return Decision{Outcome: Refuse, Reason: Unauthenticated, RetryAfter: defaultRetryAfter}
	}
	refuse := func(reason Reason) Decision {
		ac.refused[reason]++
		return Decision{Outcome: Refuse, Reason: reason, RetryAfter: defaultRetryAfter}
	}
	if c.kind == kindProving && now > c.authDeadline {
		return refuse(Unauthenticated)
	}
	if c.identity == nil && identity != "" {
		s := ac.identities[identity]
		if s == nil {
			s = &tracked{name: identity}
			ac.identities[identity] = s
		}
		maxOpen := ac.limits.Default.MaxOpen
		if c.rule != nil {
			maxOpen = cmp.Or(c.rule.MaxOpen, maxOpen)
		}
		if maxOpen > 0 && s.open >= maxOpen {
			return refuse(TooMany)
		}
		s.open++
		s.arrivals++
		c.identity = s
	}
	if known && !c.known {
		wasIdle := c.idle
		ac.removeIdle(c)
		c.known = true
		if wasIdle {
			ac.addIdle(c)
		}
	}
	if c.kind == kindProving {
		// Its slot was only for authenticating: it now needs one of another kind, or is refused.
		ac.inUse[kindProving]-- // its present slot counts as free for that
		kind, ok := ac.findSlot(ac.capacity, c.known, false)
		ac.inUse[kindProving]++
		if !ok {
			return refuse(Full)
		}
		ac.changeKind(c, kind)
	}
	return Decision{Outcome: Admit, ID: id}
}

func (ac *Controller) changeKind(c *conn, kind int) {
	ac.inUse[c.kind]--
	ac.inUse[kind]++
	c.kind = kind
	ac.unauthenticated = slices.DeleteFunc(ac.unauthenticated, func(x *conn) bool { return x == c })
}

// Overdue returns the connections that have not authenticated in time. They must be closed.
func (ac *Controller) Overdue(now Micros) (ids []uint64) {
	for _, c := range ac.unauthenticated {
		if now > c.authDeadline {
			ids = append(ids, c.id)
		}
	}
	return ids
}

// MarkBusy notes that a connection carries a request. Only idle connections are closed to free a slot.
func (ac *Controller) MarkBusy(id uint64) {
	if c := ac.conns[id]; c != nil {
		ac.removeIdle(c)
	}
}

// MarkIdle notes that a connection carries no request.
func (ac *Controller) MarkIdle(id uint64) {
	if c := ac.conns[id]; c != nil {
		ac.addIdle(c)
	}
}

// Remove notes that a connection has ended. Further calls have no effect.
func (ac *Controller) Remove(id uint64) {
	c := ac.conns[id]
	if c == nil {
		return
	}
	ac.removeIdle(c)
	delete(ac.conns, id)
	ac.inUse[c.kind]--
	if c.kind == kindProving {
		ac.unauthenticated = slices.DeleteFunc(ac.unauthenticated, func(x *conn) bool { return x == c })
	}
	c.addr.open--
	ac.addrs.release(c.addr)
	c.block.open--
	ac.blocks.release(c.block)
	if c.rule != nil {
		c.rule.open--
	}
	if s := c.identity; s != nil {
		if s.open--; s.open == 0 {
			delete(ac.identities, s.name)
		}
	}
}

// idleList is a list of idle connections, the longest idle first.
type idleList struct{ first, last *conn }

func (ac *Controller) idleListOf(c *conn) *idleList {
	if c.known {
		return &ac.idle[1]
	}
	return &ac.idle[0]
}

func (ac *Controller) addIdle(c *conn) {
	if c.idle {
		return
	}
	l := ac.idleListOf(c)
	c.idle, c.prev, c.next = true, l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

func (ac *Controller) removeIdle(c *conn) {
	if !c.idle {
		return
	}
	l := ac.idleListOf(c)
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.idle, c.prev, c.next = false, nil, nil
}

// addrTable tracks addresses. It evicts the least recently used ones that have no open connection.
type addrTable struct {
	byAddr      map[netip.Addr]*tracked
	maxEntries  int
	first, last *tracked
	evicted     int64
}

// get returns the state of an address, and creates it if necessary. The address is not evicted until release
// is called, or while it has open connections.
func (t *addrTable) get(a netip.Addr) *tracked {
	s := t.byAddr[a]
	if s == nil {
		t.trim(t.maxEntries - 1)
		s = &tracked{addr: a}
		t.byAddr[a] = s
	} else {
		t.unlist(s)
	}
	return s
}

func (t *addrTable) retain(s *tracked) { s.open++ }

// release adds an address without open connections to the LRU list, as the most recent.
func (t *addrTable) release(s *tracked) {
	if s.open > 0 || s.listed {
		return
	}
	s.listed, s.prev, s.next = true, t.last, nil
	if t.last != nil {
		t.last.next = s
	} else {
		t.first = s
	}
	t.last = s
	t.trim(t.maxEntries)
}

// trim evicts addresses without open connections, the least recent first, until at most limit are left.
func (t *addrTable) trim(limit int) {
	for len(t.byAddr) > limit && t.first != nil {
		old := t.first
		t.unlist(old)
		delete(t.byAddr, old.addr)
		t.evicted++
	}
}

func (t *addrTable) unlist(s *tracked) {
	if !s.listed {
		return
	}
	if s.prev != nil {
		s.prev.next = s.next
	} else {
		t.first = s.next
	}
	if s.next != nil {
		s.next.prev = s.prev
	} else {
		t.last = s.prev
	}
	s.listed, s.prev, s.next = false, nil, nil
}

// override returns the ban or pin that applies to an address, or nil.
func (ac *Controller) override(now Micros, a netip.Addr) *override {
	for {
		h := ac.overrides.Find(a)
		if h == nil || now < h.until {
			return h
		}
		ac.overrides.Put(h.prefix, nil)
	}
}

// Ban refuses connections from a prefix until a time.
func (ac *Controller) Ban(p netip.Prefix, until Micros) {
	ac.overrides.Put(p, &override{p.Masked(), false, until})
}

// Pin treats clients of a prefix as known until a time.
func (ac *Controller) Pin(p netip.Prefix, until Micros) {
	ac.overrides.Put(p, &override{p.Masked(), true, until})
}

// Lift withdraws the ban or pin of a prefix.
func (ac *Controller) Lift(p netip.Prefix) { ac.overrides.Put(p, nil) }

// Override is a ban or a pin of a prefix.
type Override struct {
	Prefix netip.Prefix
	Pinned bool
	Until  Micros
}

// Overrides returns the bans and pins in force.
func (ac *Controller) Overrides(now Micros) (list []Override) {
	ac.overrides.Each(func(h *override) {
		if now < h.until {
			list = append(list, Override{h.prefix, h.pinned, h.until})
		}
	})
	return list
}

// ConnsIn returns the connections of a prefix. When the prefix is banned, the idle ones are closed.
func (ac *Controller) ConnsIn(p netip.Prefix) (ids []uint64) {
	for id, c := range ac.conns {
		if p.Contains(c.addr.addr) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Top is an address with its numbers of open, new and refused connections.
type Top struct {
	Addr     string
	Open     int
	Arrivals int64
	Refused  int64
}

// Stats are the statistics that operators see.
type Stats struct {
	General, Reserve, Proving int // slots in use
	Addresses                 int
	Forgotten                 int64
	Refused                   map[string]int64
	Top                       []Top
}

// Stats returns the statistics with the n busiest addresses.
func (ac *Controller) Stats(n int) Stats {
	f := Stats{General: ac.inUse[kindGeneral], Reserve: ac.inUse[kindReserve], Proving: ac.inUse[kindProving],
		Addresses: len(ac.addrs.byAddr), Forgotten: ac.addrs.evicted, Refused: map[string]int64{}}
	for r := None + 1; r < reasonCount; r++ {
		if ac.refused[r] > 0 {
			f.Refused[r.String()] = ac.refused[r]
		}
	}
	for _, s := range ac.addrs.byAddr {
		f.Top = append(f.Top, Top{s.addr.String(), s.open, s.arrivals, s.refused})
	}
	slices.SortFunc(f.Top, func(a, b Top) int {
		return cmp.Or(cmp.Compare(b.Open+int(b.Refused), a.Open+int(a.Refused)), cmp.Compare(a.Addr, b.Addr))
	})
	f.Top = f.Top[:min(n, len(f.Top))]
	return f
}
