package rehearse

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/overload"
	"lapislever/internal/platform"
	"lapislever/internal/rig"
)

// Runs on virtual time simulate the coordinators' cores with their decision modules and overload controllers,
// the emulated nodes, the clients and the links, all in one goroutine. The same scenario and seed give a
// byte-identical result. Sockets, limits, evidence and the membership protocol are not simulated: members
// learn of a crash or a partition after a fixed delay.

const (
	meanHopDelay  = 300 * time.Microsecond // mean one-way delay of a message
	detectPeriods = 12                     // periods until members learn of a crash, a start, a cut or its end
	listDelay     = 100 * time.Millisecond // from a restart until the list of nodes arrives
	maxEvents     = 200_000_000
)

// scheduled is an event of the simulation.
type scheduled struct {
	at  balance.Micros
	seq int
	run func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = scheduled{}
	*q = old[:len(old)-1]
	return x
}

// simulation is the state of a run on virtual time.
type simulation struct {
	scenario   *Scenario
	rng        *rand.Rand
	epoch      time.Time
	now        balance.Micros
	end        balance.Micros
	queue      eventQueue
	seq        int
	config     *platform.Config
	classRanks []int
	members    []*simMember
	nodes      map[balance.ReplicaID]*simNode
	nodeList   []*simNode
	cuts       [][2]int // links that deliver nothing, as pairs of sender and receiver
	seconds    []Second
	hist       *hdrhistogram.Histogram
	unfinished int // requests without a final result
	fleetBytes int64
}

// simMember is a simulated coordinator.
type simMember struct {
	sim        *simulation
	name       string
	index      int
	core       *core.Simulated
	overload   *overload.Controller
	generation int // incremented when the process starts or is killed
	running    bool
	stepAt     balance.Micros      // time of the scheduled Step; 0 if none
	aliveView  []bool              // members that this one considers alive
	pending    map[*simRequest]int // numbers of the tries that this member is serving
}

// simNode is a simulated data node, with the behavior of emulatedNode.
type simNode struct {
	sim        *simulation
	id         balance.ReplicaID
	rng        *rand.Rand
	mode       string
	slowFactor float64
	busy       int
	waiting    []func()
}

func (sim *simulation) schedule(at balance.Micros, run func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduled{max(at, sim.now), sim.seq, run})
}

func (sim *simulation) scheduleAfter(d time.Duration, run func()) {
	sim.schedule(sim.now+d.Microseconds(), run)
}

// messageDelay draws the one-way delay of a message.
func (sim *simulation) messageDelay() time.Duration {
	return time.Duration((0.5 + sim.rng.Float64()) * float64(meanHopDelay))
}

func (sim *simulation) timeAt(at balance.Micros) time.Time {
	return sim.epoch.Add(time.Duration(at-sim.epoch.UnixMicro()) * time.Microsecond)
}

// record updates the measurements of the second that contains the given time.
func (sim *simulation) record(at balance.Micros, update func(*Second)) {
	if i := int((at - sim.epoch.UnixMicro()) / 1_000_000); i >= 0 && i < len(sim.seconds) {
		update(&sim.seconds[i])
	}
}

// RunVirtual runs a scenario once on virtual time.
func RunVirtual(s *Scenario, seed uint64, label string) (*Run, error) {
	sim := &simulation{scenario: s, rng: rand.New(rand.NewPCG(seed, 21)), epoch: time.Unix(1_700_000_000, 0),
		nodes: map[balance.ReplicaID]*simNode{}, seconds: make([]Second, int(s.DurationS)+1),
		hist: hdrhistogram.New(1, 60_000_000, 3)}
	sim.now = sim.epoch.UnixMicro()
	sim.end = sim.now + int64(s.DurationS*1e6)
	var settings map[string]any
	text := strings.NewReplacer(worthEdits()...).Replace(rig.SettingsJSON)
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		return nil, err
	}
	settings["peersTotal"] = s.Members
	var err error
	if sim.config, err = platform.Standalone(settings); err != nil {
		return nil, err
	}
	var worth []float64
	for _, c := range sim.config.Module.Classes {
		worth = append(worth, c.Worth)
	}
	sim.classRanks = overload.RankByWorth(worth)
	for i := range s.Nodes {
		n := &simNode{sim: sim, id: core.ServerID(fmt.Sprint("n", i)), slowFactor: 1,
			rng: rand.New(rand.NewPCG(seed*1009+uint64(i), 5))}
		sim.nodes[n.id] = n
		sim.nodeList = append(sim.nodeList, n)
	}
	for i := range s.Members {
		m := &simMember{sim: sim, index: i, name: fmt.Sprintf("m%02d", i), aliveView: make([]bool, s.Members)}
		sim.members = append(sim.members, m)
	}
	for _, m := range sim.members {
		for i := range m.aliveView {
			m.aliveView[i] = true
		}
		if err := m.start(0); err != nil {
			return nil, err
		}
	}
	for _, e := range s.Events {
		if e.Action == "stop" || e.Action == "cont" {
			return nil, fmt.Errorf("%s is not played on virtual time", e.Action)
		}
		sim.schedule(sim.epoch.UnixMicro()+int64(e.At*1e6), func() { sim.apply(e) })
	}
	sim.generateLoad(seed)
	events := 0
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(scheduled)
		if sim.now = next.at; sim.now > sim.end && sim.unfinished == 0 {
			break
		}
		next.run()
		if events++; events > maxEvents {
			return nil, fmt.Errorf("over %d events", maxEvents)
		}
	}
	run := s.newRun(seed, label, sim.seconds, sim.hist)
	run.Virtual = true
	run.Figures["fleet_bytes"] = float64(sim.fleetBytes) / s.DurationS / float64(s.Members)
	return run, nil
}

// worthEdits returns the edit of the rig's settings that gives exchange-post requests the worth postWorth.
func worthEdits() []string {
	return []string{`"windowUs":3000000,"worth":1`, fmt.Sprintf(`"windowUs":3000000,"worth":%d`, postWorth)}
}

// start starts the member as a new process, which receives the list of nodes after listAfter.
func (m *simMember) start(listAfter time.Duration) error {
	sim := m.sim
	m.generation++
	generation := m.generation
	m.running, m.stepAt, m.pending = true, 0, map[*simRequest]int{}
	settings := sim.config.Module
	settings.Number, settings.Zone = m.index, m.index%2
	cfg := core.Config{Settings: settings, Seed: uint64(m.index)*7919 + uint64(generation),
		Backends: []core.Backend{m}, Log: slog.New(slog.DiscardHandler)}
	if settings.CanTell = settings.CanTell && !sim.scenario.Standalone; settings.CanTell {
		cfg.Peers = m
	}
	cfg.Settings = settings
	if !sim.scenario.Standalone && !strings.Contains(sim.scenario.ExtraFleetConfig, "off = true") {
		m.overload = overload.NewController(m.name, period.Microseconds())
		cfg.Admission = simAdmission{m}
	}
	var err error
	if m.core, err = core.NewSimulated(cfg, sim.timeAt(sim.now)); err != nil {
		return err
	}
	sim.scheduleAfter(listAfter, func() {
		if m.generation != generation {
			return
		}
		var list []balance.Replica
		for i, n := range sim.nodeList {
			list = append(list, balance.Replica{ID: n.id, Zone: i / 2 % 2, Cell: i % 2, State: balance.Ready,
				Size: 1})
		}
		m.handle(core.ListUpdate{Mode: balance.Full, Replicas: list})
	})
	if m.overload != nil {
		m.tickOverload(generation)
	}
	return nil
}

// handle passes an event to the core and schedules the next Step.
func (m *simMember) handle(e core.Event) {
	if m.running {
		m.core.Handle(e)
		m.scheduleStep()
	}
}

func (m *simMember) scheduleStep() {
	at := m.core.NextStep(m.sim.now)
	if at == 0 || m.stepAt > 0 && m.stepAt <= at {
		return
	}
	m.stepAt = at
	generation := m.generation
	m.sim.schedule(at, func() {
		if m.generation != generation || !m.running || m.stepAt != at {
			return
		}
		m.stepAt = 0
		m.core.Step(m.sim.now)
		m.scheduleStep()
	})
}

// tickOverload ticks the overload controller once a period.
func (m *simMember) tickOverload(generation int) {
	sim := m.sim
	if m.generation != generation || !m.running || sim.now > sim.end {
		return
	}
	var others []string
	for i, alive := range m.aliveView {
		if alive && i != m.index {
			others = append(others, sim.members[i].name)
		}
	}
	m.sendOverload(m.overload.Tick(sim.now, others))
	sim.record(sim.now, func(x *Second) { x.MaxLevel = max(x.MaxLevel, m.overload.Level()) })
	sim.scheduleAfter(period, func() { m.tickOverload(generation) })
}

// sendOverload sends messages of the overload controller.
func (m *simMember) sendOverload(messages []overload.Message) {
	for _, msg := range messages {
		n, _ := strconv.Atoi(msg.To[1:])
		m.sim.fleetBytes += int64(len(msg.Data))
		m.sim.deliver(m.index, n, func(to *simMember) {
			if to.overload == nil {
				return
			}
			if out, ok := to.overload.Receive(m.sim.now, m.name, msg.Data); ok {
				to.sendOverload(out)
			}
		})
	}
}

// deliver calls receive on the receiving member after the message delay, unless the link is cut or the
// receiver is down on arrival.
func (sim *simulation) deliver(from, to int, receive func(*simMember)) {
	if slices.Contains(sim.cuts, [2]int{from, to}) {
		return
	}
	sim.scheduleAfter(sim.messageDelay(), func() {
		if m := sim.members[to]; m.running {
			receive(m)
		}
	})
}

// Tell implements core.Peers: it delivers the decision module's messages to peers.
func (m *simMember) Tell(to uint32, text string) {
	for i := range m.sim.members {
		if i != m.index && (to == balance.AllPeers || int(to)%len(m.sim.members) == i) {
			m.sim.deliver(m.index, i, func(peer *simMember) {
				peer.handle(core.PeerMessage{From: uint32(m.index), Data: []byte(text)})
			})
		}
	}
}

// Send implements core.Backend: it delivers attempts to a node.
func (m *simMember) Send(to balance.ReplicaID, call []*core.Attempt) bool {
	n := m.sim.nodes[to]
	for _, a := range call {
		m.sim.scheduleAfter(m.sim.messageDelay(), func() { n.receive(m, m.generation, a) })
	}
	return true
}

// Cancel has no effect: the node continues to process the attempt.
func (m *simMember) Cancel(*core.Attempt) bool { return false }

// Probe probes a node. A node in mode deaf never answers.
func (m *simMember) Probe(to balance.ReplicaID) bool {
	n, generation, sent := m.sim.nodes[to], m.generation, m.sim.now
	m.sim.scheduleAfter(m.sim.messageDelay()+m.sim.messageDelay(), func() {
		if m.generation == generation && n.mode != "deaf" {
			m.handle(core.ProbeDone{Replica: to, Outcome: balance.OK,
				Elapsed: time.Duration(m.sim.now-sent) * time.Microsecond, Report: n.report()})
		}
	})
	return true
}

// CloseIdle does nothing: the simulation has no connections.
func (m *simMember) CloseIdle(balance.ReplicaID) {}

// CancelQueued returns nothing: the simulated link has no send queue.
func (m *simMember) CancelQueued(balance.ReplicaID) []*core.Attempt { return nil }

// Admit asks the overload controller whether to admit a query.
func (m *simMember) Admit(q *core.Query) (bool, time.Duration, string) {
	ok, after := m.overload.Admit(overload.Priority(m.sim.classRanks[q.Class], q.Key), m.sim.rng.Uint64(),
		q.Repeat)
	return ok, time.Duration(after) * time.Microsecond, "the fleet is overloaded"
}

// simAdmission is the admission controller of a member. Its remaining methods are declared on simMember.
type simAdmission struct{ *simMember }

// QueryEnded reports the outcome of a query to the overload controller.
func (m *simMember) QueryEnded(_ *core.Query, e core.QueryOutcome) {
	m.overload.Finished(e == core.Answered)
}

// AllowSend asks the overload controller whether an attempt may be sent.
func (g simAdmission) AllowSend(a *core.Attempt) (bool, balance.Outcome) {
	return g.overload.AllowSend(a.IsFirst()), balance.NotSent
}

// AttemptEnded does nothing.
func (g simAdmission) AttemptEnded(*core.Attempt) {}

func (n *simNode) report() []float32 { return []float32{0, float32(len(n.waiting))} }

// receive handles the arrival of a part at the node.
func (n *simNode) receive(from *simMember, generation int, a *core.Attempt) {
	sim := n.sim
	sim.record(sim.now, func(x *Second) { x.Parts++ })
	reply := func(o balance.Outcome, after time.Duration) {
		report := n.report()
		sim.scheduleAfter(after+sim.messageDelay(), func() {
			if from.generation == generation {
				from.handle(core.AttemptDone{Attempt: a, Outcome: o, Report: report,
					Value: core.Value{Body: []byte("v")}})
			}
		})
	}
	switch {
	case n.mode == "fail":
		reply(balance.Error, 0)
		return
	case n.mode == "deaf":
		return
	case n.busy+len(n.waiting) >= sim.scenario.Node.Slots+sim.scenario.Node.Queue:
		sim.record(sim.now, func(x *Second) { x.RejectedParts++ })
		reply(balance.Busy, 0)
		return
	}
	work := func() {
		n.busy++
		ms := sim.scenario.Node.WorkMS * n.slowFactor
		if !sim.scenario.Node.FixedWork {
			ms *= 0.5 + 0.5*n.rng.ExpFloat64()
		}
		sim.scheduleAfter(time.Duration(ms*float64(time.Millisecond)), func() {
			n.busy--
			reply(balance.OK, 0)
			if len(n.waiting) > 0 {
				next := n.waiting[0]
				n.waiting = n.waiting[1:]
				next()
			}
		})
	}
	if n.busy < sim.scenario.Node.Slots {
		work()
	} else {
		n.waiting = append(n.waiting, work)
	}
}

// apply applies an event of the scenario.
func (sim *simulation) apply(e Event) {
	index := func(target string) (n int) {
		n, _ = strconv.Atoi(strings.TrimLeft(target, "mn"))
		return n
	}
	afterDetection := func(run func()) { sim.scheduleAfter(detectPeriods*period, run) }
	switch {
	case isNodeAction(e.Action):
		for _, target := range e.Targets {
			n := sim.nodeList[index(target)]
			if n.mode, n.slowFactor = e.Action, 1; e.Action == "slow" {
				n.slowFactor = e.SlowFactor
			}
		}
	case e.Action == "cut":
		for _, a := range e.Targets {
			for _, b := range e.OtherSide {
				x, y := index(a), index(b)
				sim.cuts = append(sim.cuts, [2]int{x, y}, [2]int{y, x})
				afterDetection(func() { sim.updateView(x, y); sim.updateView(y, x) })
			}
		}
	case e.Action == "heal":
		healed := sim.cuts
		sim.cuts = nil
		afterDetection(func() {
			for _, link := range healed {
				sim.updateView(link[0], link[1])
			}
		})
	default:
		for _, target := range e.Targets {
			m := sim.members[index(target)]
			if e.Action == "kill" {
				m.kill()
			} else if !m.running {
				_ = m.start(listDelay)
			}
			afterDetection(func() {
				for i := range sim.members {
					sim.updateView(i, m.index)
				}
			})
		}
	}
}

// updateView updates whether one member considers another alive, from the current state of the simulation.
func (sim *simulation) updateView(observer, subject int) {
	sim.members[observer].aliveView[subject] = sim.members[subject].running &&
		!slices.Contains(sim.cuts, [2]int{observer, subject})
}

// kill kills the process. The tries that it was serving fail.
func (m *simMember) kill() {
	m.running = false
	m.generation++
	var waiting []*simRequest
	for r := range m.pending {
		waiting = append(waiting, r)
	}
	slices.SortFunc(waiting, func(a, b *simRequest) int { return strings.Compare(a.id, b.id) })
	for _, r := range waiting {
		r.endTry(0, 0)
	}
	m.pending = nil
}

// generateLoad schedules the first tries of all requests, each one when the previous one is due.
func (sim *simulation) generateLoad(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 77))
	number := 0
	var next func(at float64)
	next = func(at float64) {
		rate := sim.scenario.Load.rateAt(at)
		if rate <= 0 {
			at += 0.01
		} else {
			at += rng.ExpFloat64() / rate
		}
		if at >= sim.scenario.DurationS {
			return
		}
		post, member := rng.Float64() < sim.scenario.Load.PostShare, rng.Uint64()
		sim.schedule(sim.epoch.UnixMicro()+int64(at*1e6), func() {
			if rate > 0 {
				number++
				r := &simRequest{sim: sim, id: fmt.Sprintf("q%07d", number), due: sim.now, member: member,
					class: 0, worth: 1}
				if post {
					r.class, r.worth = 1, postWorth
				}
				sim.unfinished++
				sim.record(r.due, func(x *Second) { x.Requests++; x.OfferedWorth += r.worth })
				r.send()
			}
			next(at)
		})
	}
	next(0)
}

// simRequest is a simulated client with one request.
type simRequest struct {
	sim        *simulation
	id         string
	class      int
	worth      float64
	due        balance.Micros
	tryStarted balance.Micros
	member     uint64
	tries      int
	currentTry int // number of the pending try; answers to other tries are ignored
}

func (r *simRequest) send() {
	sim := r.sim
	m := sim.members[(r.member+uint64(r.tries))%uint64(len(sim.members))]
	r.tries++
	r.currentTry++
	r.tryStarted = sim.now
	sim.record(r.due, func(x *Second) { x.Tries++ })
	number := r.currentTry
	if !m.running {
		sim.scheduleAfter(sim.messageDelay(), func() { r.endTry(0, number) })
		return
	}
	generation := m.generation
	sim.scheduleAfter(sim.messageDelay(), func() {
		if m.generation != generation || !m.running {
			r.endTry(0, number)
			return
		}
		m.pending[r] = number
		rules := &sim.config.Module.Classes[r.class]
		m.core.Submit(&core.Query{Name: r.id, Class: r.class, Key: "k" + r.id, Repeat: r.tries > 1, Backend: m,
			Deadline: sim.timeAt(sim.now + rules.Deadline), Client: simClient{r, m, number},
			Parts: []core.PartSpec{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}})
		m.scheduleStep()
	})
	sim.scheduleAfter(deadline+time.Second, func() { r.endTry(0, number) })
}

// simClient receives the answer to one try.
type simClient struct {
	request *simRequest
	member  *simMember
	try     int
}

// Final implements core.Client: it receives the final answer.
func (c simClient) Final(f core.FinalAnswer) {
	status := 502
	switch f.Outcome {
	case core.Answered:
		status = 200
	case core.Refused:
		status = 503
	}
	if c.member.pending[c.request] == c.try {
		delete(c.member.pending, c.request)
	}
	c.request.sim.scheduleAfter(c.request.sim.messageDelay(), func() {
		c.request.endTryAfter(status, f.RetryAfter, c.try)
	})
}

func (r *simRequest) endTry(status, number int) { r.endTryAfter(status, 0, number) }

// endTryAfter handles the result of a try, or of the pending one if number is 0. A failed try is repeated
// after retryAfter if the client honors it, while retries are left.
func (r *simRequest) endTryAfter(status int, retryAfter time.Duration, number int) {
	if number == 0 {
		number = r.currentTry
	}
	if number != r.currentTry {
		return
	}
	r.currentTry++ // later results of this try are ignored
	sim := r.sim
	if status == 200 {
		sim.unfinished--
		_ = sim.hist.RecordValue(max(1, sim.now-r.due))
		sim.record(r.due, func(x *Second) {
			if sim.now-r.tryStarted <= aim.Microseconds() {
				x.InTime++
				x.Worth += r.worth
			} else {
				x.Late++
			}
		})
		return
	}
	if r.tries > sim.scenario.Load.Retries {
		sim.unfinished--
		sim.record(r.due, func(x *Second) {
			if status == 503 {
				x.Refused++
			} else {
				x.Lost++
			}
		})
		return
	}
	if !sim.scenario.Load.HonorRetryAfter || retryAfter <= 0 {
		retryAfter = defaultRetryDelay
	}
	sim.scheduleAfter(retryAfter, r.send)
}
