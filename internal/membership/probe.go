package membership

// Time-driven work: the probe schedule, watches on silent members, votes, and attempts to reach members that
// are dead or not known yet.

import (
	"encoding/binary"
	"net/netip"
	"slices"
)

// probeRetention is the number of periods for which an answer to a probe is accepted.
const probeRetention = 10

// minProbesPerPeriod is the number of probes a watcher must have sent per period of silence.
const minProbesPerPeriod = 2

// maxProbes bounds the number of outstanding probes.
const maxProbes = 1024

// Tick performs the work that is due. After a stall of over a period, missed slots are skipped.
func (v *View) Tick(now Micros) {
	step := v.cfg.Period / slotsPerPeriod
	v.now = max(v.now, now)
	switch late := v.now - v.nextSlotAt; {
	case late > v.cfg.Period:
		v.handleStall(late)
		v.nextSlotAt = v.now
	case late > step/2 && !v.cfg.Ablate.NoHealth:
		v.handleLag(late)
	}
	for v.nextSlotAt <= v.now {
		v.nextSlotAt += step
		v.runSlot()
		v.slot = (v.slot + 1) % slotsPerPeriod
	}
}

// handleStall discards the silence observed so far, because this process itself was stopped. Suspicions that
// it has already sent stand; the other members evaluate them.
func (v *View) handleStall(late Micros) {
	v.stats.Stalls++
	if v.cfg.Ablate.NoHealth {
		return
	}
	v.health = min(maxHealth, v.health+int(late/v.cfg.Period))
	for i := range v.watches {
		v.watches[i].since = v.now
	}
	for i := range v.probes {
		v.probes[i].scheduled = false
	}
	if late > ForgetLeft/2*v.cfg.Period { // the others may have forgotten members that are still known here
		v.rejoin()
	}
}

// handleLag extends the deadlines of watches and probes by the time this process was late, during which it
// could not receive answers. A lag of more than one slot also worsens the local health score.
func (v *View) handleLag(late Micros) {
	for i := range v.watches {
		w := &v.watches[i]
		if m := v.byBirth[w.birth]; m != nil {
			w.since = max(w.since, m.lastAckedProbe) + late
		}
	}
	for i := range v.probes {
		if v.probes[i].scheduled {
			v.probes[i].grace += late
		}
	}
	if late > v.cfg.Period/slotsPerPeriod {
		v.adjustHealth(+1)
	}
}

// rejoin removes all members and joins again, also through the addresses of the members known so far.
func (v *View) rejoin() {
	v.stats.Rejoins++
	for len(v.members) > 0 {
		m := v.members[len(v.members)-1]
		if m.state == Alive && len(v.cfg.Join) < 16 {
			v.cfg.Join = append(slices.Clip(v.cfg.Join), v.route(m.name, m.addr))
		}
		v.forget(m)
	}
	v.watches, v.probes, v.probeOrder, v.candidates, v.updates = nil, nil, nil, nil, updateQueue{}
	v.countsValid, v.joining, v.joinStartedAt = false, true, v.now
}

// scaleByHealth converts periods to time, extended by the local health score: Lifeguard, IV.A.
func (v *View) scaleByHealth(periods Micros) Micros {
	return periods * v.cfg.Period * Micros(4+v.health) / 4
}

func (v *View) adjustHealth(by int) {
	if !v.cfg.Ablate.NoHealth {
		v.health = max(0, min(maxHealth, v.health+by))
	}
}

// runSlot performs the work of one slot.
func (v *View) runSlot() {
	first := v.slot == 0
	if first {
		v.syncBudget, v.watchBudget = maxSyncDatagrams, maxWatchDatagrams
		v.advanceClaim()
	}
	if v.joining {
		if first {
			v.requestJoin()
		}
		return
	}
	if v.left {
		if first {
			v.announceLeave()
		}
		return
	}
	v.evaluate()
	if first {
		v.expire()
		v.reconnect()
		v.pushBacklog()
	}
	busy := slices.ContainsFunc(v.watches, func(w watch) bool {
		m := v.byBirth[w.birth]
		return !w.verifyOnly && m != nil && m.suspect
	})
	if first || busy {
		v.probeNext()
	}
	for i := 0; i < len(v.probes); i++ {
		if p := &v.probes[i]; p.scheduled && p.helpersAsked == 0 && v.now > p.sentAt {
			if m := v.byBirth[p.birth]; m != nil {
				p.helpersAsked = v.askHelpers(p.id, m, v.randN(1<<16))
			}
		}
	}
	if n := len(v.watches); n > 0 {
		first := v.randN(n) // a random start, so that no watch is always left out when the budget is short
		for i := range n {
			v.sendWatchProbes(&v.watches[(first+i)%n])
		}
	}
}

// evaluate checks unanswered probes and all watches.
func (v *View) evaluate() {
	for i := 0; i < len(v.probes); i++ {
		p := &v.probes[i]
		if p.scheduled && v.now-p.sentAt >= v.cfg.Period+p.grace {
			p.scheduled = false
			v.probeFailed(*p)
		}
		if p.requester != 0 && p.nacks == 0 && v.now-p.sentAt >= v.cfg.Period*2/slotsPerPeriod {
			p.nacks = 1
			if r := v.byBirth[p.requester]; r != nil {
				v.sendTo(r, v.newNumbered(kindNack, p.requestID), true)
			}
		}
	}
	for _, birth := range v.watchedBirths() {
		if w, m := v.findWatch(birth), v.byBirth[birth]; w != nil && m != nil {
			v.evaluateWatch(w, m)
		}
	}
	for _, m := range v.members { // accused members that had no room for a watch, or whose quorum has decreased
		if m.state == Alive && len(m.votes) > 0 && v.findWatch(m.birth) == nil {
			v.countVotes(m)
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

// probeFailed handles a scheduled probe that was not answered.
func (v *View) probeFailed(p probe) {
	v.stats.ProbesFailed++
	m := v.byBirth[p.birth]
	if m == nil || m.state != Alive || m.lastAckedProbe > p.sentAt {
		return
	}
	if p.helpersAsked > 0 && p.nacks < p.helpersAsked { // some helpers did not answer either: Lifeguard, IV.A
		v.adjustHealth(+1)
	}
	if v.cfg.Ablate.NoSuspicion {
		m.votes = []uint32{uint32(v.self.birth & voterMask)}
		v.declareDead(m)
		return
	}
	v.startWatch(m, p.sentAt, false)
}

// findWatch returns the watch on a member, or nil.
func (v *View) findWatch(birth uint64) *watch {
	for i := range v.watches {
		if v.watches[i].birth == birth {
			return &v.watches[i]
		}
	}
	return nil
}

// startWatch starts to watch a member that has been silent since the given time.
func (v *View) startWatch(m *member, since Micros, verifyOnly bool) {
	if w := v.findWatch(m.birth); w != nil {
		w.verifyOnly = w.verifyOnly && verifyOnly
		return
	}
	if m.state != Alive || len(v.watches) >= maxWatches || !verifyOnly && len(v.watches) >= maxOwnWatches {
		return
	}
	v.countsValid = false
	v.watches = append(v.watches, watch{birth: m.birth, since: since, verifyOnly: verifyOnly,
		helperTurn: v.randN(1 << 16)})
	v.sendWatchProbes(&v.watches[len(v.watches)-1])
}

// endWatch ends the watch on a member.
func (v *View) endWatch(birth uint64) {
	v.countsValid = false
	v.watches = slices.DeleteFunc(v.watches, func(w watch) bool { return w.birth == birth })
}

// sendWatchProbes sends the probes of a watch for this slot.
func (v *View) sendWatchProbes(w *watch) {
	m := v.byBirth[w.birth]
	if m == nil || v.watchBudget <= 0 {
		return
	}
	w.probesSent++
	v.watchBudget--
	id := v.ping(m, false)
	if v.slot != 0 && !(w.verifyOnly && v.slot > 1) && v.watchBudget > 0 {
		n := v.askHelpers(id, m, w.helperTurn)
		w.helperTurn += n
		v.watchBudget -= n
	}
}

// evaluateWatch suspects, votes against or declares dead a watched member, by the length of its silence.
func (v *View) evaluateWatch(w *watch, m *member) {
	silence := v.now - max(w.since, m.lastAckedProbe)
	_, trusted := v.liveCounts()
	quorum := Quorum(trusted)
	if !w.verifyOnly {
		if silence >= v.scaleByHealth(2) && !m.suspect {
			v.setSuspect(m, true)
			v.updates.add(entry{record: m.record, typ: typeSuspect})
			v.notifyWatchers(m)
		}
		if !w.voted && silence >= v.scaleByHealth(SilencePeriods(quorum)) &&
			w.probesSent >= minProbesPerPeriod*int(SilencePeriods(quorum)) {
			w.voted = true
			v.stats.Votes++
			e := entry{record: m.record, typ: typeVote, votes: []uint32{uint32(v.self.birth & voterMask)}}
			if v.addVote(m, e.votes[0]) {
				v.updates.add(e)
				v.sendUpdate(v.watchersOf(m), e)
				v.sendUpdate(v.randomMembers(maxHelpers, m.birth), e)
			}
			return // addVote has counted the votes; the watch may have ended
		}
		if v.slot == 0 && m.suspect && !w.voted {
			v.notifyWatchers(m)
		}
	}
	if len(m.votes) >= quorum &&
		(w.voted || silence >= v.scaleByHealth(1) && w.probesSent >= minProbesPerPeriod) {
		v.declareDead(m)
	}
}

// countVotes starts to verify a member's death once its votes reach the quorum, or declares it dead.
func (v *View) countVotes(m *member) {
	_, trusted := v.liveCounts()
	if v.findWatch(m.birth) == nil && !m.suspect {
		trusted-- // the accused member does not count
	}
	if len(m.votes) < Quorum(trusted) {
		return
	}
	if w := v.findWatch(m.birth); w == nil {
		v.startWatch(m, v.now, true)
	} else if w.voted {
		v.declareDead(m)
	}
}

// addVote records a vote of a known alive member. It returns false if the vote is not new or does not count.
func (v *View) addVote(m *member, voter uint32) bool {
	if m.state != Alive || slices.Contains(m.votes, voter) || len(m.votes) >= maxVotes {
		return false
	}
	known := voter == uint32(v.self.birth&voterMask)
	for _, x := range v.members {
		known = known || x.state == Alive && uint32(x.birth&voterMask) == voter && x != m
	}
	if !known {
		return false
	}
	m.votes = append(m.votes, voter)
	v.setSuspect(m, true)
	v.countVotes(m)
	return true
}

// declareDead marks a member as dead and announces it. The announcement includes this member's own vote: it
// has verified the death itself, and casts no vote once the member is dead here. A member with a higher
// quorum, because it sees more members, would otherwise lack that vote.
func (v *View) declareDead(m *member) {
	votes, r := m.votes, m.record
	if voter := uint32(v.self.birth & voterMask); !slices.Contains(votes, voter) && len(votes) < maxVotes {
		votes = append(slices.Clip(votes), voter)
	}
	r.state = Dead
	if m = v.setRecord(r, v.now); m == nil {
		return
	}
	m.votes = votes
	e := v.entryOf(m, false)
	v.updates.add(e)
	v.sendUpdate(v.randomMembers(maxHelpers, m.birth), e)
}

// pushBacklog sends additional datagrams while unsent updates pile up: when many members start at once, the
// probes alone cannot carry all updates.
func (v *View) pushBacklog() {
	for range maxBacklogPushes {
		if len(v.updates.bySends) == 0 || len(v.updates.bySends[0]) < backlogThreshold {
			return
		}
		for _, m := range v.randomMembers(1, 0) {
			v.sendTo(m, v.newMessage(kindUpdates), true)
		}
	}
}

// sendUpdate sends an update to some members immediately.
func (v *View) sendUpdate(to []*member, e entry) {
	for _, m := range to {
		b, _ := appendEntry(v.newMessage(kindUpdates), e)
		v.sendTo(m, b, true)
	}
}

// randomMembers returns up to n random members that are alive, neither suspect nor watched, and not the one
// with the birth except.
func (v *View) randomMembers(n int, except uint64) []*member {
	var eligible []*member
	for _, m := range v.members {
		if m.state == Alive && !m.suspect && m.birth != except && v.findWatch(m.birth) == nil {
			eligible = append(eligible, m)
		}
	}
	for i := 0; i < min(n, len(eligible)); i++ {
		j := i + v.randN(len(eligible)-i)
		eligible[i], eligible[j] = eligible[j], eligible[i]
	}
	return eligible[:min(n, len(eligible))]
}

// watchersOf returns the members that rank first for a subject.
func (v *View) watchersOf(s *member) []*member {
	var best []*member
	for _, m := range v.members {
		if m.state != Alive || m.suspect || m == s || v.findWatch(m.birth) != nil {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, rendezvousRank(s.birth, m.birth), func(x *member, r uint64) int {
			if rendezvousRank(s.birth, x.birth) > r {
				return -1
			}
			return 1
		})
		if i < watchersPerMember {
			best = slices.Insert(best, i, m)
			best = best[:min(len(best), watchersPerMember)]
		}
	}
	return best
}

// notifyWatchers asks the members that rank first for a subject to watch it too.
func (v *View) notifyWatchers(m *member) {
	for _, w := range v.watchersOf(m) {
		if v.watchBudget <= 0 {
			return
		}
		v.watchBudget--
		b, _ := appendEntry(v.newMessage(kindWatch), entry{record: m.record, typ: typeSuspect})
		v.sendTo(w, b, true)
	}
}

// probeNext probes the next member in the probe order, which is shuffled after each round.
func (v *View) probeNext() {
	for range 2 * (len(v.probeOrder) + 1) {
		if v.probeIndex >= len(v.probeOrder) {
			v.probeOrder = slices.DeleteFunc(v.probeOrder, func(b uint64) bool {
				m := v.byBirth[b]
				return m == nil || m.state != Alive
			})
			for i := len(v.probeOrder) - 1; i > 0; i-- {
				j := v.randN(i + 1)
				v.probeOrder[i], v.probeOrder[j] = v.probeOrder[j], v.probeOrder[i]
			}
			v.probeIndex = 0
		}
		if v.probeIndex >= len(v.probeOrder) {
			return
		}
		m := v.byBirth[v.probeOrder[v.probeIndex]]
		v.probeIndex++
		if m != nil && m.state == Alive && v.findWatch(m.birth) == nil {
			v.stats.Probes++
			v.ping(m, true)
			return
		}
	}
}

// ping probes a member. An accused member is sent the accusation, and a member that may not know this one is
// sent this member's record.
func (v *View) ping(m *member, scheduled bool) uint32 {
	id := uint32(v.rng.Uint64())
	v.trackProbe(probe{id: id, birth: m.birth, sentAt: v.now, scheduled: scheduled})
	v.sendTo(m, v.pingMessage(id, m, v.isAccused(m)), true)
	return id
}

// isAccused reports whether a member is suspect, voted against, dead or has left. A watch alone is no
// accusation: under heavy datagram loss members would keep raising their incarnations, although an answer to
// the probe refutes the silence just as well.
func (v *View) isAccused(m *member) bool {
	return m.suspect || m.state != Alive || len(m.votes) > 0
}

func (v *View) pingMessage(id uint32, m *member, accused bool) []byte {
	b := binary.LittleEndian.AppendUint64(v.newNumbered(kindPing, id), m.birth)
	if !m.knowsUs || accused || v.findWatch(m.birth) != nil {
		b, _ = appendEntry(b, v.selfEntry())
	}
	if accused {
		e := entry{record: m.record, typ: typeSuspect}
		if m.state != Alive {
			e = v.entryOf(m, false)
		}
		b, _ = appendEntry(b, e)
	}
	return b
}

// trackProbe stores an outstanding probe. If there are too many, the oldest is dropped.
func (v *View) trackProbe(p probe) {
	if len(v.probes) >= maxProbes {
		v.probes = slices.Delete(v.probes, 0, 1)
	}
	v.probes = append(v.probes, p)
}

// askHelpers asks some members to probe another one, and returns how many it asked: first the helper that
// last reached it, then others in rotation, so that eventually every member is asked.
func (v *View) askHelpers(id uint32, m *member, offset int) int {
	var eligible []*member
	for _, x := range v.members {
		if x.state == Alive && !x.suspect && x != m && v.findWatch(x.birth) == nil {
			eligible = append(eligible, x)
		}
	}
	n := min(maxHelpers, len(eligible))
	sendRequest := func(x *member) {
		b := binary.LittleEndian.AppendUint64(v.newNumbered(kindPingReq, id), m.birth)
		inc := uint32(0)
		if v.isAccused(m) {
			inc = m.inc
		}
		v.sendTo(x, binary.LittleEndian.AppendUint32(b, inc), true)
	}
	asked := 0
	if x := v.byBirth[m.lastHelper]; x != nil && slices.Contains(eligible, x) {
		sendRequest(x)
		asked++
	}
	for i := 0; asked < n && i < len(eligible); i++ {
		if x := eligible[(offset+i)%len(eligible)]; x.birth != m.lastHelper {
			sendRequest(x)
			asked++
		}
	}
	return asked
}

// expire drops old probes, candidates, and members that died or left long ago.
func (v *View) expire() {
	v.probes = slices.DeleteFunc(v.probes, func(p probe) bool {
		return v.now-p.sentAt > probeRetention*v.cfg.Period
	})
	v.candidates = slices.DeleteFunc(v.candidates, func(c candidate) bool {
		return v.now-c.at > 2*v.cfg.Period
	})
	for i := len(v.members) - 1; i >= 0; i-- {
		m := v.members[i]
		if m.state != Alive && v.now-m.endedAt >= v.retention(m.state) {
			v.forget(m)
		}
	}
}

// retention returns how long a member that is dead or has left is remembered.
func (v *View) retention(s State) Micros {
	if s == Left {
		return ForgetLeft * v.cfg.Period
	}
	return ForgetDead * v.cfg.Period
}

// reconnect contacts, with some probability, a dead member or a join address that belongs to no known member.
func (v *View) reconnect() {
	var dead []*member
	join := slices.DeleteFunc(slices.Clone(v.cfg.Join), func(a netip.AddrPort) bool { return a == v.self.addr })
	for _, m := range v.members {
		if m.state == Dead {
			dead = append(dead, m)
		}
		join = slices.DeleteFunc(join, func(a netip.AddrPort) bool {
			return a == m.addr || a == v.route(m.name, m.addr)
		})
	}
	n := len(dead) + len(join)
	alive, _ := v.liveCounts()
	if n == 0 || float64(v.randN(1<<20))/(1<<20) >= min(0.5, float64(n)/float64(alive)) {
		return
	}
	if i := v.randN(n); i < len(dead) {
		v.ping(dead[i], false)
	} else {
		v.sendJoin(join[i-len(dead)])
	}
}

// sendJoin sends a join request to an address at which a member may be.
func (v *View) sendJoin(a netip.AddrPort) {
	b, _ := appendEntry(v.newNumbered(kindJoin, v.joinIDs[0]), v.selfEntry())
	v.send(a, b, false)
}

// requestJoin sends join requests. A member that gets no answer within joinPeriods starts alone.
func (v *View) requestJoin() {
	v.joinIDs = [2]uint32{uint32(v.rng.Uint64()), v.joinIDs[0]}
	var to []netip.AddrPort
	for _, a := range v.cfg.Join {
		if a != v.self.addr {
			to = append(to, a)
		}
	}
	if v.claim == nil && (len(to) == 0 || v.now-v.joinStartedAt >= joinPeriods*v.cfg.Period) {
		v.completeJoin(1)
		return
	}
	for i := range min(joinFanout, len(to)) {
		j := i + v.randN(len(to)-i)
		to[i], to[j] = to[j], to[i]
		v.sendJoin(to[i])
	}
}

// completeJoin takes an incarnation, which makes this process a member.
func (v *View) completeJoin(inc uint32) {
	v.joining = false
	if v.joinIDs[0] == 0 {
		v.joinIDs[0] = uint32(v.rng.Uint64())
	}
	v.setOwnIncarnation(max(inc, v.self.inc, 1))
}

// Leave announces that this member leaves.
func (v *View) Leave(now Micros) {
	v.Tick(now)
	if v.left || v.joining {
		return
	}
	v.digest -= v.self.sum()
	v.left, v.leftAt, v.self.state = true, v.now, Left
	v.digest += v.self.sum()
	v.announceLeave()
}

// leaveFanout returns the number of members that are notified of a leave at a time.
func (v *View) leaveFanout() int {
	_, trusted := v.liveCounts()
	return 3 * ceilLog2(trusted+1)
}

func (v *View) announceLeave() {
	for _, m := range v.randomMembers(v.leaveFanout(), 0) {
		if m.lastAckedProbe < v.leftAt {
			id := uint32(v.rng.Uint64())
			v.trackProbe(probe{id: id, birth: m.birth, sentAt: v.now})
			b, _ := appendEntry(v.pingMessage(id, m, false), v.selfEntry())
			v.sendTo(m, b, false)
		}
	}
}

// LeaveAcknowledged reports whether enough members have acknowledged that this one leaves.
func (v *View) LeaveAcknowledged() bool {
	if !v.left {
		return v.joining
	}
	acked, alive := 0, 0
	for _, m := range v.members {
		if m.state == Alive {
			alive++
			if m.lastAckedProbe >= v.leftAt {
				acked++
			}
		}
	}
	return acked >= min(3, alive)
}
