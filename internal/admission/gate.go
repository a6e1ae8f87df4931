// Package admission decides which connections a listener takes: caps by address, block and identity, a
// reserve for known clients, places for those that have yet to prove who they are, and what makes way. It
// does no input or output and reads no clock. docs/ADMISSION.md weighs the ways.
package admission

import (
	"cmp"
	"net/netip"
	"slices"
)

// Micros is a time or a span in microseconds on a clock that only goes forward.
type Micros = int64

// Rule binds the addresses of a prefix; the longest one counts. 0 leaves a cap to the rule for everybody.
type Rule struct {
	Prefix   netip.Prefix
	MaxOpen  int     // connections of one address, or of one identity behind a gateway
	Rate     float64 // new ones a second, of one address
	Burst    float64 // that may come at once
	MaxTotal int     // connections of the whole prefix
	Known    bool
	Gateway  bool // many clients behind one address
}

// Limits are what a gate keeps to.
type Limits struct {
	Reserve      int    // places for known clients only
	Proving      int    // places for connections that have yet to prove who they are
	ProveTimeout Micros // and for how long they may hold them
	MaxTracked   int    // addresses, and blocks, that something is remembered of
	Block        Rule   // of each /24 and /64: Open, Rate and Burst
	Default      Rule
	Rules        []Rule
}

// Verdict is the word on an arrival.
type Verdict uint8

// The verdicts.
const (
	Admit     Verdict = iota
	Reserved          // admitted, from the reserve
	ToProve           // admitted, until it has proved who it is
	EvictIdle         // close the connection named, and ask again
	Refuse            // with a reason
)

// Reason tells why an arrival was refused.
type Reason uint8

// The reasons.
const (
	None Reason = iota
	Banned
	TooFast  // too many new ones of its address
	TooMany  // too many open of its address, or identity
	BlockCap // of its block or prefix
	Full     // no place is left for its kind
	Unproved // no place is left to prove itself, or its time to is over
	reasons
)

// String is the reason's name in figures.
func (r Reason) String() string {
	return [reasons]string{"", "banned", "too_fast", "too_many", "block_cap", "full", "unproved"}[r]
}

// Arrival is a new connection.
type Arrival struct {
	Addr          netip.Addr
	Authenticates bool // its listener asks for a proof that it may or may not give
	Capacity      int  // that clients may hold at this moment, of all kinds
}

// Decision is the gate's word.
type Decision struct {
	Outcome    Verdict
	ID         uint64 // of the connection admitted, or of the one to be closed
	Reason     Reason
	RetryAfter Micros // when to come back
}

// kinds of places
const (
	general = iota
	reserve
	proving
	kinds
)

// conn is one connection that is in.
type conn struct {
	id         uint64
	addr       *seen
	block      *seen
	rule       *ruleState
	identity   *seen
	kind       int
	known      bool
	idle       bool
	prev, next *conn // in the list of idle ones of its standing
	provesBy   Micros
}

// seen is what is remembered of an address, a block or an identity.
type seen struct {
	addr       netip.Addr // of an address or a block
	name       string     // of an identity
	open       int
	tokens     float64
	at         Micros
	arrivals   int64
	refused    int64
	prev, next *seen // by use, least recent first; only while nothing is open
	listed     bool
}

// ruleState is a rule with what is open under it.
type ruleState struct {
	Rule
	open int
}

// hold is a word of operators on a prefix.
type hold struct {
	prefix netip.Prefix
	pinned bool
	until  Micros
}

// Controller is the state. It is not safe for concurrent use.
type Controller struct {
	l       Limits
	rules   Trie[ruleState]
	holds   Trie[hold]
	conns   map[uint64]*conn
	next    uint64
	used    [kinds]int
	places  int         // as the last arrival told
	idle    [2]idleList // unknown, known
	addrs   table
	blocks  table
	names   map[string]*seen
	refused [reasons]int64
	unready []*conn // those that prove, in the order of their time
}

// New returns an empty gate.
func New(l Limits) *Controller {
	g := &Controller{conns: map[uint64]*conn{}, names: map[string]*seen{}}
	g.addrs.m, g.blocks.m = map[netip.Addr]*seen{}, map[netip.Addr]*seen{}
	g.SetLimits(l)
	return g
}

// SetLimits takes new limits in. Who is in stays in; operators' words stay.
func (g *Controller) SetLimits(l Limits) {
	g.l, g.rules = l, Trie[ruleState]{}
	for _, r := range l.Rules {
		g.rules.Put(r.Prefix, &ruleState{Rule: r})
	}
	for _, c := range g.conns {
		if c.rule = g.rule(c.addr.addr); c.rule != nil {
			c.rule.open++
		}
	}
	g.addrs.most, g.blocks.most = max(1, l.MaxTracked), max(1, l.MaxTracked)
}

// rule is the rule of an address, or nil where only that for everybody binds it.
func (g *Controller) rule(a netip.Addr) *ruleState { return g.rules.Find(a) }

// blockOf is the block of an address.
func blockOf(a netip.Addr) netip.Addr {
	size := 64
	if a.Is4() {
		size = 24
	}
	p, _ := a.Prefix(size)
	return p.Addr()
}

// take takes a token for a new connection, and tells when there will be one where there is none.
func (s *seen) take(now Micros, rate, burst float64) (ok bool, after Micros) {
	if rate <= 0 {
		return true, 0
	}
	burst = max(1, burst)
	if s.arrivals == 0 {
		s.tokens = burst
	} else {
		s.tokens = min(burst, s.tokens+rate*float64(now-s.at)/1e6)
	}
	s.at = now
	s.arrivals++
	if s.tokens < 1 {
		return false, Micros((1 - s.tokens) / rate * 1e6)
	}
	s.tokens--
	return true, 0
}

// Decide is the word on an arrival.
func (g *Controller) Decide(now Micros, a Arrival) Decision {
	a.Addr = a.Addr.Unmap()
	rule, known := g.rule(a.Addr), false
	bound := g.l.Default
	if rule != nil {
		known = rule.Known
		bound.MaxOpen = cmp.Or(rule.MaxOpen, bound.MaxOpen)
		if rule.Rate > 0 {
			bound.Rate, bound.Burst = rule.Rate, rule.Burst
		}
		bound.Gateway = rule.Gateway
	}
	addr, block := g.addrs.get(a.Addr), g.blocks.get(blockOf(a.Addr))
	refuse := func(why Reason, after Micros) Decision {
		g.refused[why]++
		addr.refused++
		g.addrs.rest(addr)
		g.blocks.rest(block)
		return Decision{Outcome: Refuse, Reason: why, RetryAfter: max(after, 1)}
	}
	if h := g.hold(now, a.Addr); h != nil {
		if !h.pinned {
			return refuse(Banned, h.until-now)
		}
		known = true
	}
	if !known { // who is known is not held to what keeps strangers off
		if ok, after := addr.take(now, bound.Rate, bound.Burst); !ok {
			return refuse(TooFast, after)
		}
		if ok, after := block.take(now, g.l.Block.Rate, g.l.Block.Burst); !ok && !bound.Gateway {
			return refuse(BlockCap, after)
		}
		if g.l.Block.MaxOpen > 0 && block.open >= g.l.Block.MaxOpen && !bound.Gateway {
			return refuse(BlockCap, retry)
		}
	} else {
		addr.arrivals++
	}
	if bound.MaxOpen > 0 && addr.open >= bound.MaxOpen && !bound.Gateway {
		return refuse(TooMany, retry)
	}
	if rule != nil && rule.MaxTotal > 0 && rule.open >= rule.MaxTotal {
		return refuse(BlockCap, retry)
	}
	g.places = a.Capacity
	kind, ok := g.place(a.Capacity, known, a.Authenticates)
	if !ok {
		if c := g.spare(known); c != nil {
			g.addrs.rest(addr)
			g.blocks.rest(block)
			addr.tokens++ // it asks again
			block.tokens++
			return Decision{Outcome: EvictIdle, ID: c.id}
		}
		if a.Authenticates {
			return refuse(Unproved, retry)
		}
		return refuse(Full, retry)
	}
	g.next++
	c := &conn{id: g.next, addr: addr, block: block, rule: rule, kind: kind, known: known}
	if kind == proving {
		c.provesBy = now + g.l.ProveTimeout
		g.unready = append(g.unready, c)
	}
	g.conns[c.id] = c
	g.used[kind]++
	g.addrs.hold(addr)
	g.blocks.hold(block)
	if rule != nil {
		rule.open++
	}
	return Decision{Outcome: [...]Verdict{Admit, Reserved, ToProve}[kind], ID: c.id}
}

// retry is when to come back where nobody knows when there will be room.
const retry = 1_000_000

// place finds a place for an arrival.
func (g *Controller) place(places int, known, proves bool) (kind int, ok bool) {
	total := g.used[general] + g.used[reserve] + g.used[proving]
	if total >= places {
		return 0, false
	}
	kept := min(g.l.Reserve+g.l.Proving, places)
	switch {
	case g.used[general] < places-kept:
		return general, true
	case known && g.used[reserve] < min(g.l.Reserve, places):
		return reserve, true
	case proves && !known && g.used[proving] < g.l.Proving &&
		g.used[general]+g.used[proving] < places-g.l.Reserve:
		return proving, true
	}
	return 0, false
}

// spare is the connection that can best make way, if any may: unknown before known, the longest idle first.
func (g *Controller) spare(known bool) *conn {
	if c := g.idle[0].first; c != nil {
		return c
	}
	if known {
		return g.idle[1].first
	}
	return nil
}

// Authenticate tells that a connection has proved an identity; known is what the listener's roots say of it. It
// returns a refusal where that identity has too many open, or its time was over.
func (g *Controller) Authenticate(now Micros, id uint64, identity string, known bool) Decision {
	c := g.conns[id]
	if c == nil {
		return Decision{Outcome: Refuse, Reason: Unproved, RetryAfter: retry}
	}
	refuse := func(why Reason) Decision {
		g.refused[why]++
		return Decision{Outcome: Refuse, Reason: why, RetryAfter: retry}
	}
	if c.kind == proving && now > c.provesBy {
		return refuse(Unproved)
	}
	if c.identity == nil && identity != "" {
		s := g.names[identity]
		if s == nil {
			s = &seen{name: identity}
			g.names[identity] = s
		}
		most := g.l.Default.MaxOpen
		if c.rule != nil {
			most = cmp.Or(c.rule.MaxOpen, most)
		}
		if most > 0 && s.open >= most {
			return refuse(TooMany)
		}
		s.open++
		s.arrivals++
		c.identity = s
	}
	if known && !c.known {
		wasIdle := c.idle
		g.unlist(c)
		c.known = true
		if wasIdle {
			g.list(c)
		}
	}
	if c.kind == proving {
		// It has had its time: it goes on where there is room for its kind, or not at all.
		g.used[proving]-- // its own place is free for that
		kind, ok := g.place(g.places, c.known, false)
		g.used[proving]++
		if !ok {
			return refuse(Full)
		}
		g.move(c, kind)
	}
	return Decision{Outcome: Admit, ID: id}
}

func (g *Controller) move(c *conn, kind int) {
	g.used[c.kind]--
	g.used[kind]++
	c.kind = kind
	g.unready = slices.DeleteFunc(g.unready, func(x *conn) bool { return x == c })
}

// Overdue are the connections whose time to prove themselves is over: they are to be closed.
func (g *Controller) Overdue(now Micros) (ids []uint64) {
	for _, c := range g.unready {
		if now > c.provesBy {
			ids = append(ids, c.id)
		}
	}
	return ids
}

// MarkBusy tells that a connection carries a request, Rest that it carries none: only then may it make way.
func (g *Controller) MarkBusy(id uint64) {
	if c := g.conns[id]; c != nil {
		g.unlist(c)
	}
}

// MarkIdle tells that a connection is between requests.
func (g *Controller) MarkIdle(id uint64) {
	if c := g.conns[id]; c != nil {
		g.list(c)
	}
}

// Remove tells that a connection has ended. Only the first word counts.
func (g *Controller) Remove(id uint64) {
	c := g.conns[id]
	if c == nil {
		return
	}
	g.unlist(c)
	delete(g.conns, id)
	g.used[c.kind]--
	if c.kind == proving {
		g.unready = slices.DeleteFunc(g.unready, func(x *conn) bool { return x == c })
	}
	c.addr.open--
	g.addrs.rest(c.addr)
	c.block.open--
	g.blocks.rest(c.block)
	if c.rule != nil {
		c.rule.open--
	}
	if s := c.identity; s != nil {
		if s.open--; s.open == 0 {
			delete(g.names, s.name)
		}
	}
}

// idleList is a list of idle connections, the longest idle first.
type idleList struct{ first, last *conn }

func (g *Controller) standing(c *conn) *idleList {
	if c.known {
		return &g.idle[1]
	}
	return &g.idle[0]
}

func (g *Controller) list(c *conn) {
	if c.idle {
		return
	}
	l := g.standing(c)
	c.idle, c.prev, c.next = true, l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

func (g *Controller) unlist(c *conn) {
	if !c.idle {
		return
	}
	l := g.standing(c)
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

// table remembers addresses; of those with nothing open the least recent make way.
type table struct {
	m           map[netip.Addr]*seen
	most        int
	first, last *seen
	forgotten   int64
}

// get finds what is remembered of an address, or begins anew. It counts as used until rest or hold is called.
func (t *table) get(a netip.Addr) *seen {
	s := t.m[a]
	if s == nil {
		t.trim(t.most - 1)
		s = &seen{addr: a}
		t.m[a] = s
	} else {
		t.unlist(s)
	}
	return s
}

func (t *table) hold(s *seen) { s.open++ }

// rest lists what has nothing open, as the most recent.
func (t *table) rest(s *seen) {
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
	t.trim(t.most)
}

// trim forgets what has nothing open, the least recent first, until no more than so many are left.
func (t *table) trim(most int) {
	for len(t.m) > most && t.first != nil {
		old := t.first
		t.unlist(old)
		delete(t.m, old.addr)
		t.forgotten++
	}
}

func (t *table) unlist(s *seen) {
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

// hold is the word of operators that counts for an address.
func (g *Controller) hold(now Micros, a netip.Addr) *hold {
	for {
		h := g.holds.Find(a)
		if h == nil || now < h.until {
			return h
		}
		g.holds.Put(h.prefix, nil)
	}
}

// Ban refuses a prefix until a time, Pin takes it for known.
func (g *Controller) Ban(p netip.Prefix, until Micros) {
	g.holds.Put(p, &hold{p.Masked(), false, until})
}

// Pin takes a prefix for known until a time.
func (g *Controller) Pin(p netip.Prefix, until Micros) {
	g.holds.Put(p, &hold{p.Masked(), true, until})
}

// Lift takes a ban or a pin back.
func (g *Controller) Lift(p netip.Prefix) { g.holds.Put(p, nil) }

// Hold is a ban or a pin.
type Hold struct {
	Prefix netip.Prefix
	Pinned bool
	Until  Micros
}

// Overrides are those in force.
func (g *Controller) Overrides(now Micros) (list []Hold) {
	g.holds.Each(func(h *hold) {
		if now < h.until {
			list = append(list, Hold{h.prefix, h.pinned, h.until})
		}
	})
	return list
}

// ConnsIn are the connections of a prefix, to be closed when it is banned and they rest.
func (g *Controller) ConnsIn(p netip.Prefix) (ids []uint64) {
	for id, c := range g.conns {
		if p.Contains(c.addr.addr) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Top is an address with what it has open and what it was refused.
type Top struct {
	Addr     string
	Open     int
	Arrivals int64
	Refused  int64
}

// Stats are what operators see.
type Stats struct {
	General, Reserve, Proving int // places in use
	Addresses                 int
	Forgotten                 int64
	Refused                   map[string]int64
	Top                       []Top
}

// Stats are the gate's counts and its n busiest addresses.
func (g *Controller) Stats(n int) Stats {
	f := Stats{General: g.used[general], Reserve: g.used[reserve], Proving: g.used[proving],
		Addresses: len(g.addrs.m), Forgotten: g.addrs.forgotten, Refused: map[string]int64{}}
	for r := None + 1; r < reasons; r++ {
		if g.refused[r] > 0 {
			f.Refused[r.String()] = g.refused[r]
		}
	}
	for _, s := range g.addrs.m {
		f.Top = append(f.Top, Top{s.addr.String(), s.open, s.arrivals, s.refused})
	}
	slices.SortFunc(f.Top, func(a, b Top) int {
		return cmp.Or(cmp.Compare(b.Open+int(b.Refused), a.Open+int(a.Refused)), cmp.Compare(a.Addr, b.Addr))
	})
	f.Top = f.Top[:min(n, len(f.Top))]
	return f
}
