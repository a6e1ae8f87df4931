package membership

// What happens by itself as time goes on: the round of probes, watches over those who have fallen silent,
// votes, and the calls on those who are dead or not known yet.

import (
	"encoding/binary"
	"net/netip"
	"slices"
)

// keepProbes is for how many periods an answer to a probe still counts as one.
const keepProbes = 10

// triesLeast is how many probes a watcher must have sent for each period of silence.
const triesLeast = 2

// mostProbes bounds the probes that are kept.
const mostProbes = 1024

// Tick does what is due. Called late it does it once: what was missed is not made up for.
func (v *View) Tick(now Micros) {
	step := v.cfg.Period / slots
	v.now = max(v.now, now)
	switch late := v.now - v.slotAt; {
	case late > v.cfg.Period:
		v.stalled(late)
		v.slotAt = v.now
	case late > step/2 && !v.cfg.Ablate.NoHealth:
		v.lagged(late)
	}
	for v.slotAt <= v.now {
		v.slotAt += step
		v.act()
		v.slot = (v.slot + 1) % slots
	}
}

// stalled takes back what this process thinks of others' silence: it was the one that was away. Suspicions
// that it has told stand for the others to judge.
func (v *View) stalled(gap Micros) {
	v.figures.Stalls++
	if v.cfg.Ablate.NoHealth {
		return
	}
	v.health = min(healthMost, v.health+int(gap/v.cfg.Period))
	for i := range v.watches {
		v.watches[i].since = v.now
	}
	for i := range v.probes {
		v.probes[i].round = false
	}
	if gap > ForgetLeft/2*v.cfg.Period { // the others may have forgotten what is known here
		v.rejoin()
	}
}

// lagged gives back what this process was late by: it could not have heard others meanwhile. One that is late
// by more than a slot holds itself to be less sound.
func (v *View) lagged(late Micros) {
	for i := range v.watches {
		w := &v.watches[i]
		if m := v.births[w.birth]; m != nil {
			w.since = max(w.since, m.acked) + late
		}
	}
	for i := range v.probes {
		if v.probes[i].round {
			v.probes[i].grace += late
		}
	}
	if late > v.cfg.Period/slots {
		v.fare(+1)
	}
}

// rejoin forgets everybody and asks anew, those that were known too.
func (v *View) rejoin() {
	v.figures.Rejoins++
	for len(v.list) > 0 {
		m := v.list[len(v.list)-1]
		if m.state == Alive && len(v.cfg.Join) < 16 {
			v.cfg.Join = append(slices.Clip(v.cfg.Join), v.to(m.name, m.addr))
		}
		v.forget(m)
	}
	v.watches, v.probes, v.round, v.knocks, v.news = nil, nil, nil, nil, news{}
	v.counted, v.joining, v.joinAt = false, true, v.now
}

// factor stretches silence by what this member thinks of its own health: Lifeguard, IV.A.
func (v *View) factor(periods Micros) Micros {
	return periods * v.cfg.Period * Micros(4+v.health) / 4
}

func (v *View) fare(by int) {
	if !v.cfg.Ablate.NoHealth {
		v.health = max(0, min(healthMost, v.health+by))
	}
}

// act does what belongs to one slot.
func (v *View) act() {
	first := v.slot == 0
	if first {
		v.syncLeft, v.extra = syncMost, extraMost
		v.callClaim()
	}
	if v.joining {
		if first {
			v.callToJoin()
		}
		return
	}
	if v.left {
		if first {
			v.tellLeft()
		}
		return
	}
	v.judge()
	if first {
		v.housekeep()
		v.callTheDead()
		v.pushBacklog()
	}
	busy := slices.ContainsFunc(v.watches, func(w watch) bool {
		m := v.births[w.birth]
		return !w.agree && m != nil && m.suspect
	})
	if first || busy {
		v.probeNext()
	}
	for i := 0; i < len(v.probes); i++ {
		if p := &v.probes[i]; p.round && p.asked == 0 && v.now > p.sent {
			if m := v.births[p.birth]; m != nil {
				p.asked = v.askHelpers(p.id, m, v.rand(1<<16))
			}
		}
	}
	if n := len(v.watches); n > 0 {
		first := v.rand(n) // so that where the budget is short each has its turn
		for i := range n {
			v.lookAt(&v.watches[(first+i)%n])
		}
	}
}

// judge looks at the probes that nobody has answered, and at the watches.
func (v *View) judge() {
	for i := 0; i < len(v.probes); i++ {
		p := &v.probes[i]
		if p.round && v.now-p.sent >= v.cfg.Period+p.grace {
			p.round = false
			v.failed(*p)
		}
		if p.origin != 0 && p.nacked == 0 && v.now-p.sent >= v.cfg.Period*2/slots {
			p.nacked = 1
			if o := v.births[p.origin]; o != nil {
				v.sendTo(o, v.numbered(kindNack, p.forID), true)
			}
		}
	}
	for _, birth := range v.watchedBirths() {
		if w, m := v.watching(birth), v.births[birth]; w != nil && m != nil {
			v.weigh(w, m)
		}
	}
	for _, m := range v.list { // those that found no room, or whose quorum has come down
		if m.state == Alive && len(m.votes) > 0 && v.watching(m.birth) == nil {
			v.count(m)
		}
	}
}

func (v *View) watchedBirths() []uint64 {
	out := make([]uint64, len(v.watches))
	for i := range v.watches {
		out[i] = v.watches[i].birth
	}
	return out
}

// failed books a probe of the round that nobody answered.
func (v *View) failed(p probe) {
	v.figures.Failed++
	m := v.births[p.birth]
	if m == nil || m.state != Alive || m.acked > p.sent {
		return
	}
	if p.asked > 0 && p.nacked < p.asked { // not even the helpers were heard: Lifeguard, IV.A
		v.fare(+1)
	}
	if v.cfg.Ablate.NoSuspicion {
		m.votes = []uint32{uint32(v.self.birth & lowBits)}
		v.declare(m)
		return
	}
	v.watch(m, p.sent, false)
}

// watching is the watch over a member, or nil.
func (v *View) watching(birth uint64) *watch {
	for i := range v.watches {
		if v.watches[i].birth == birth {
			return &v.watches[i]
		}
	}
	return nil
}

// watch begins to watch a member that has been silent since some time.
func (v *View) watch(m *member, since Micros, agree bool) {
	if w := v.watching(m.birth); w != nil {
		w.agree = w.agree && agree
		return
	}
	if m.state != Alive || len(v.watches) >= agreeMost || !agree && len(v.watches) >= watchMost {
		return
	}
	v.counted = false
	v.watches = append(v.watches, watch{birth: m.birth, since: since, agree: agree, helper: v.rand(1 << 16)})
	v.lookAt(&v.watches[len(v.watches)-1])
}

// unwatch ends a watch.
func (v *View) unwatch(birth uint64) {
	v.counted = false
	v.watches = slices.DeleteFunc(v.watches, func(w watch) bool { return w.birth == birth })
}

// lookAt sends a watch's probes of this slot.
func (v *View) lookAt(w *watch) {
	m := v.births[w.birth]
	if m == nil || v.extra <= 0 {
		return
	}
	w.tries++
	v.extra--
	id := v.ping(m, false)
	if v.slot != 0 && !(w.agree && v.slot > 1) && v.extra > 0 {
		n := v.askHelpers(id, m, w.helper)
		w.helper += n
		v.extra -= n
	}
}

// weigh finds whether a watched member's silence has lasted for long enough to say something.
func (v *View) weigh(w *watch, m *member) {
	silent := v.now - max(w.since, m.acked)
	_, trusted := v.alive()
	quorum := Quorum(trusted)
	if !w.agree {
		if silent >= v.factor(2) && !m.suspect {
			v.doubt(m, true)
			v.news.add(entry{record: m.record, what: isSuspect})
			v.tellWatchers(m)
		}
		if !w.voted && silent >= v.factor(Silence(quorum)) && w.tries >= triesLeast*int(Silence(quorum)) {
			w.voted = true
			v.figures.Votes++
			e := entry{record: m.record, what: isVote, votes: []uint32{uint32(v.self.birth & lowBits)}}
			if v.vote(m, e.votes[0]) {
				v.news.add(e)
				v.push(v.watchersOf(m), e)
				v.push(v.others(helpersMost, m.birth), e)
			}
			return // counted by vote; the watch may be gone
		}
		if v.slot == 0 && m.suspect && !w.voted {
			v.tellWatchers(m)
		}
	}
	if len(m.votes) >= quorum && (w.voted || silent >= v.factor(1) && w.tries >= triesLeast) {
		v.declare(m)
	}
}

// count looks whether a member's votes suffice, and if so whether it is so.
func (v *View) count(m *member) {
	_, trusted := v.alive()
	if v.watching(m.birth) == nil && !m.suspect {
		trusted-- // the accused is no judge of it
	}
	if len(m.votes) < Quorum(trusted) {
		return
	}
	if w := v.watching(m.birth); w == nil {
		v.watch(m, v.now, true)
	} else if w.voted {
		v.declare(m)
	}
}

// vote takes in that a member which counts has seen a silence. It returns false where that is nothing new.
func (v *View) vote(m *member, by uint32) bool {
	if m.state != Alive || slices.Contains(m.votes, by) || len(m.votes) >= votesMost {
		return false
	}
	known := by == uint32(v.self.birth&lowBits)
	for _, x := range v.list {
		known = known || x.state == Alive && uint32(x.birth&lowBits) == by && x != m
	}
	if !known {
		return false
	}
	m.votes = append(m.votes, by)
	v.doubt(m, true)
	v.count(m)
	return true
}

// declare holds a member to be dead. Whoever does has looked for itself, and says so: it votes no more once
// the member is dead here, and one whose quorum is higher, as it has more members in sight, would else lack
// its vote.
func (v *View) declare(m *member) {
	votes, r := m.votes, m.record
	if by := uint32(v.self.birth & lowBits); !slices.Contains(votes, by) && len(votes) < votesMost {
		votes = append(slices.Clip(votes), by)
	}
	r.state = Dead
	if m = v.set(r, v.now); m == nil {
		return
	}
	m.votes = votes
	e := v.entryOf(m, false)
	v.news.add(e)
	v.push(v.others(helpersMost, m.birth), e)
}

// pushBacklog sends news that has piled up: at a mass start the probes alone could not carry it.
func (v *View) pushBacklog() {
	for range pushMost {
		if len(v.news.levels) == 0 || len(v.news.levels[0]) < backlog {
			return
		}
		for _, m := range v.others(1, 0) {
			v.sendTo(m, v.begin(kindNews), true)
		}
	}
}

// push sends news to some members at once.
func (v *View) push(to []*member, e entry) {
	for _, m := range to {
		b, _ := put(v.begin(kindNews), e)
		v.sendTo(m, b, true)
	}
}

// others are so many members drawn at random that are neither dead nor in doubt.
func (v *View) others(n int, but uint64) []*member {
	var all []*member
	for _, m := range v.list {
		if m.state == Alive && !m.suspect && m.birth != but && v.watching(m.birth) == nil {
			all = append(all, m)
		}
	}
	for i := 0; i < min(n, len(all)); i++ {
		j := i + v.rand(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:min(n, len(all))]
}

// watchersOf are the members that stand first for a subject.
func (v *View) watchersOf(s *member) []*member {
	var best []*member
	for _, m := range v.list {
		if m.state != Alive || m.suspect || m == s || v.watching(m.birth) != nil {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, rank(s.birth, m.birth), func(x *member, r uint64) int {
			if rank(s.birth, x.birth) > r {
				return -1
			}
			return 1
		})
		if at < watchers {
			best = slices.Insert(best, at, m)
			best = best[:min(len(best), watchers)]
		}
	}
	return best
}

// tellWatchers has those who stand first for a subject watch it too.
func (v *View) tellWatchers(m *member) {
	for _, w := range v.watchersOf(m) {
		if v.extra <= 0 {
			return
		}
		v.extra--
		b, _ := put(v.begin(kindAccuse), entry{record: m.record, what: isSuspect})
		v.sendTo(w, b, true)
	}
}

// probeNext probes the next member of the round.
func (v *View) probeNext() {
	for range 2 * (len(v.round) + 1) {
		if v.turn >= len(v.round) {
			v.round = slices.DeleteFunc(v.round, func(b uint64) bool {
				m := v.births[b]
				return m == nil || m.state != Alive
			})
			for i := len(v.round) - 1; i > 0; i-- {
				j := v.rand(i + 1)
				v.round[i], v.round[j] = v.round[j], v.round[i]
			}
			v.turn = 0
		}
		if v.turn >= len(v.round) {
			return
		}
		m := v.births[v.round[v.turn]]
		v.turn++
		if m != nil && m.state == Alive && v.watching(m.birth) == nil {
			v.figures.Probes++
			v.ping(m, true)
			return
		}
	}
}

// ping probes a member. One that is accused is told so, and one that may not know us is told who we are.
func (v *View) ping(m *member, round bool) uint32 {
	id := uint32(v.rng.Uint64())
	v.track(probe{id: id, birth: m.birth, sent: v.now, round: round})
	v.sendTo(m, v.pingFor(id, m, v.accused(m)), true)
	return id
}

// accused tells that something is held against a member. Being watched is not yet that: where many datagrams
// are lost each would else go behind itself all the time, for an answer says as much.
func (v *View) accused(m *member) bool {
	return m.suspect || m.state != Alive || len(m.votes) > 0
}

func (v *View) pingFor(id uint32, m *member, accused bool) []byte {
	b := binary.LittleEndian.AppendUint64(v.numbered(kindPing, id), m.birth)
	if !m.met || accused || v.watching(m.birth) != nil {
		b, _ = put(b, v.me())
	}
	if accused {
		e := entry{record: m.record, what: isSuspect}
		if m.state != Alive {
			e = v.entryOf(m, false)
		}
		b, _ = put(b, e)
	}
	return b
}

// track keeps a probe for as long as an answer counts.
func (v *View) track(p probe) {
	if len(v.probes) >= mostProbes {
		v.probes = slices.Delete(v.probes, 0, 1)
	}
	v.probes = append(v.probes, p)
}

// askHelpers has some members probe another one, and returns how many: first the one that last reached it,
// then in turn, so that in time each is asked.
func (v *View) askHelpers(id uint32, m *member, turn int) int {
	var can []*member
	for _, x := range v.list {
		if x.state == Alive && !x.suspect && x != m && v.watching(x.birth) == nil {
			can = append(can, x)
		}
	}
	n := min(helpersMost, len(can))
	ask := func(x *member) {
		b := binary.LittleEndian.AppendUint64(v.numbered(kindAsk, id), m.birth)
		inc := uint32(0)
		if v.accused(m) {
			inc = m.inc
		}
		v.sendTo(x, binary.LittleEndian.AppendUint32(b, inc), true)
	}
	asked := 0
	if x := v.births[m.helper]; x != nil && slices.Contains(can, x) {
		ask(x)
		asked++
	}
	for i := 0; asked < n && i < len(can); i++ {
		if x := can[(turn+i)%len(can)]; x.birth != m.helper {
			ask(x)
			asked++
		}
	}
	return asked
}

// housekeep forgets what is old.
func (v *View) housekeep() {
	v.probes = slices.DeleteFunc(v.probes, func(p probe) bool { return v.now-p.sent > keepProbes*v.cfg.Period })
	v.knocks = slices.DeleteFunc(v.knocks, func(k newcomer) bool { return v.now-k.at > 2*v.cfg.Period })
	for i := len(v.list) - 1; i >= 0; i-- {
		m := v.list[i]
		if m.state != Alive && v.now-m.ended >= v.keep(m.state) {
			v.forget(m)
		}
	}
}

// keep is for how long one that is dead or has left is remembered.
func (v *View) keep(s State) Micros {
	if s == Left {
		return ForgetLeft * v.cfg.Period
	}
	return ForgetDead * v.cfg.Period
}

// callTheDead calls on one that is dead, or on an address of join that nobody alive has, now and then.
func (v *View) callTheDead() {
	var dead []*member
	join := slices.DeleteFunc(slices.Clone(v.cfg.Join), func(a netip.AddrPort) bool { return a == v.self.addr })
	for _, m := range v.list {
		if m.state == Dead {
			dead = append(dead, m)
		}
		join = slices.DeleteFunc(join, func(a netip.AddrPort) bool {
			return a == m.addr || a == v.to(m.name, m.addr)
		})
	}
	n := len(dead) + len(join)
	alive, _ := v.alive()
	if n == 0 || float64(v.rand(1<<20))/(1<<20) >= min(0.5, float64(n)/float64(alive)) {
		return
	}
	if i := v.rand(n); i < len(dead) {
		v.ping(dead[i], false)
	} else {
		v.knock(join[i-len(dead)])
	}
}

// knock calls at an address where one of the fleet may be.
func (v *View) knock(a netip.AddrPort) {
	b, _ := put(v.numbered(kindJoin, v.joinIDs[0]), v.me())
	v.send(a, b, false)
}

// callToJoin asks to be let in. One that nobody answers goes on alone.
func (v *View) callToJoin() {
	v.joinIDs = [2]uint32{uint32(v.rng.Uint64()), v.joinIDs[0]}
	var to []netip.AddrPort
	for _, a := range v.cfg.Join {
		if a != v.self.addr {
			to = append(to, a)
		}
	}
	if v.claim == nil && (len(to) == 0 || v.now-v.joinAt >= joinFor*v.cfg.Period) {
		v.become(1)
		return
	}
	for i := range min(joinCalls, len(to)) {
		j := i + v.rand(len(to)-i)
		to[i], to[j] = to[j], to[i]
		v.knock(to[i])
	}
}

// become takes an incarnation: from now on this member is one.
func (v *View) become(inc uint32) {
	v.joining = false
	if v.joinIDs[0] == 0 {
		v.joinIDs[0] = uint32(v.rng.Uint64())
	}
	v.setSelf(max(inc, v.self.inc, 1))
}

// Leave tells the others that this member goes.
func (v *View) Leave(now Micros) {
	v.Tick(now)
	if v.left || v.joining {
		return
	}
	v.digest -= v.self.sum()
	v.left, v.leftAt, v.self.state = true, v.now, Left
	v.digest += v.self.sum()
	v.tellLeft()
}

// leaveTo is how many members are told at a time.
func (v *View) leaveTo() int {
	_, trusted := v.alive()
	return 3 * log2up(trusted+1)
}

func (v *View) tellLeft() {
	for _, m := range v.others(v.leaveTo(), 0) {
		if m.acked < v.leftAt {
			id := uint32(v.rng.Uint64())
			v.track(probe{id: id, birth: m.birth, sent: v.now})
			b, _ := put(v.pingFor(id, m, false), v.me())
			v.sendTo(m, b, false)
		}
	}
}

// LeaveKnown tells that enough members have answered to the word that this one leaves.
func (v *View) LeaveKnown() bool {
	if !v.left {
		return v.joining
	}
	heard, all := 0, 0
	for _, m := range v.list {
		if m.state == Alive {
			all++
			if m.acked >= v.leftAt {
				heard++
			}
		}
	}
	return heard >= min(3, all)
}
