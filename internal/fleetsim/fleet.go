// Package fleetsim simulates the membership views of many members on virtual time in one goroutine, at sizes
// for which one machine cannot run enough processes. The protocol code is that of internal/membership,
// unchanged; only links, clocks and faults are simulated. The same seed gives a byte-identical run. The
// package must never be linked into the serving program.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"

	"lapislever/internal/membership"
)

// Micros is virtual time.
type Micros = membership.Micros

// Period is the simulated fleet's period.
const Period Micros = 200_000

// sealOverhead is the size in bytes that authenticated encryption adds to a datagram on the wire.
const sealOverhead = 30

// Link describes how a directed link treats datagrams.
type Link struct {
	Loss, Duplicate float64 // shares of datagrams that are lost and that are sent twice
	Delay           Micros  // minimum delay
	Jitter          Micros  // maximum random delay on top
	Cut             bool
}

// Config configures a simulated fleet.
type Config struct {
	Members   int
	Seed      uint64
	Link      Link
	JoinAddrs int // number of members, from the first, that serve as join addresses; at least 1
	Ablate    membership.Ablation
	Drift     float64 // maximum relative clock drift, in either direction
	Warm      bool    // members start with a view of the whole fleet
	// IsSlow selects members that handle every datagram and tick late by SlowDelay.
	IsSlow    func(i int) bool
	SlowDelay Micros
}

// node is one simulated process.
type node struct {
	view       *membership.View
	cfg        membership.Config
	addr       netip.AddrPort
	up         bool
	paused     bool
	heldEvents []event // datagrams received while paused
	tickAt     Micros  // time of the scheduled tick
	generation int     // number of the process; ticks of earlier processes are ignored
	clockRate  float64 // local time per virtual time
	slowDelay  Micros
}

type event struct {
	at         Micros
	seq        uint64
	to         int
	generation int
	data       []byte // datagram; nil for a tick
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// ViewChange is a change in the view of the member Observer.
type ViewChange struct {
	At       Micros
	Observer int
	membership.Change
}

// Fleet is a simulated fleet.
type Fleet struct {
	cfg       Config
	rng       *rand.Rand
	now       Micros
	seq       uint64
	queue     eventQueue
	nodes     []*node
	index     map[netip.AddrPort]int
	links     map[[2]int]Link
	reachable func(from, to int) bool // whether the partition lets datagrams pass
	Bytes     int64                   // total size of all datagrams sent, with sealOverhead
	OnChange  func(ViewChange)        // called on every view change
}

// New starts a fleet. The first ticks of the members are spread over one period.
func New(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), index: map[netip.AddrPort]int{},
		links: map[[2]int]Link{}, OnChange: func(ViewChange) {}, reachable: func(int, int) bool { return true }}
	for i := range cfg.Members {
		f.addNode(i)
	}
	for i := range f.nodes {
		if err := f.Start(i); err != nil {
			return nil, err
		}
	}
	if cfg.Warm {
		return f, f.introduceAll()
	}
	return f, nil
}

// introduceAll replaces the views of all members by ones that already contain the whole fleet.
func (f *Fleet) introduceAll() error {
	for _, n := range f.nodes {
		snapshot := membership.Snapshot{Birth: n.view.Self().Birth, Incarnation: 1, Joined: true}
		for _, other := range f.nodes {
			if m := other.view.Self(); other != n {
				snapshot.Members = append(snapshot.Members, membership.MemberSnapshot{Name: m.Name, Zone: m.Zone,
					Addr: m.Addr, Birth: m.Birth, Incarnation: 1, State: membership.Alive, Stamp: 1})
			}
		}
		cfg := n.cfg
		cfg.Seed++
		v, err := membership.Resume(cfg, snapshot, f.localTime(n, f.now))
		if err != nil {
			return err
		}
		n.view = v
	}
	return nil
}

func (f *Fleet) addNode(i int) {
	n := &node{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1 + byte(i>>14), byte(i >> 7 & 127),
		1 + byte(i&127)}), 7946)}
	n.clockRate = 1 + f.cfg.Drift*(2*f.rng.Float64()-1)
	if f.cfg.IsSlow != nil && f.cfg.IsSlow(i) {
		n.slowDelay = f.cfg.SlowDelay
	}
	f.nodes = append(f.nodes, n)
	f.index[n.addr] = i
}

// Grow adds members and starts them.
func (f *Fleet) Grow(n int) error {
	for range n {
		f.addNode(len(f.nodes))
		if err := f.Start(len(f.nodes) - 1); err != nil {
			return err
		}
	}
	return nil
}

// Name returns the name of member i.
func Name(i int) string { return fmt.Sprintf("m%04d", i) }

// Start starts a member that is down, as a new process without earlier state.
func (f *Fleet) Start(i int) error {
	n := f.nodes[i]
	var join []netip.AddrPort
	for j := range max(1, f.cfg.JoinAddrs) {
		join = append(join, f.nodes[min(j, len(f.nodes)-1)].addr)
	}
	zone := fmt.Sprintf("z%d", i%3)
	n.cfg = membership.Config{Name: Name(i), Zone: zone, Addr: n.addr,
		Birth: f.rng.Uint64() | 1, Seed: f.rng.Uint64(), Period: Period, Ablate: f.cfg.Ablate,
		Settings: membership.Settings{Join: join, Most: 4 * max(f.cfg.Members, len(f.nodes)), Stamp: 1}}
	v, err := membership.New(n.cfg, f.localTime(n, f.now))
	if err != nil {
		return err
	}
	n.view, n.up, n.paused, n.heldEvents = v, true, false, nil
	n.generation++
	f.scheduleTick(i, f.now+f.rng.Int64N(Period))
	return nil
}

// localTime converts virtual time to the member's clock.
func (f *Fleet) localTime(n *node, t Micros) Micros {
	return 1_000_000 + Micros(float64(t)*n.clockRate)
}

func (f *Fleet) scheduleTick(i int, at Micros) {
	f.nodes[i].tickAt = at
	f.push(event{at: at, to: i, generation: f.nodes[i].generation})
}

func (f *Fleet) push(e event) {
	f.seq++
	e.seq = f.seq
	heap.Push(&f.queue, e)
}

// Now returns the virtual time.
func (f *Fleet) Now() Micros { return f.now }

// Kill stops a member without a message to the others.
func (f *Fleet) Kill(i int) { f.nodes[i].up = false; f.nodes[i].generation++ }

// Pause stops a member like SIGSTOP. Up to 512 datagrams are held for it until Resume.
func (f *Fleet) Pause(i int) { f.nodes[i].paused = true }

// Resume continues a paused member like SIGCONT.
func (f *Fleet) Resume(i int) {
	n := f.nodes[i]
	n.paused = false
	for _, e := range n.heldEvents {
		e.at = f.now
		f.push(e)
	}
	n.heldEvents = nil
	f.scheduleTick(i, f.now)
}

// Leave lets a member announce its departure. The caller kills it afterwards.
func (f *Fleet) Leave(i int) {
	n := f.nodes[i]
	n.view.Leave(f.localTime(n, f.now))
	f.dispatchOutput(i)
}

// SetLink replaces the properties of one directed link.
func (f *Fleet) SetLink(from, to int, l Link) { f.links[[2]int{from, to}] = l }

// Partition drops all datagrams between members for which reachable returns false.
func (f *Fleet) Partition(reachable func(from, to int) bool) { f.reachable = reachable }

// Heal ends the partition.
func (f *Fleet) Heal() { f.reachable = func(int, int) bool { return true } }

// SetLoss sets the loss of all links that SetLink has not replaced.
func (f *Fleet) SetLoss(p float64) { f.cfg.Link.Loss = p }

// Running reports whether a member is up and not paused.
func (f *Fleet) Running(i int) bool { return f.nodes[i].up && !f.nodes[i].paused }

// View returns the view of member i.
func (f *Fleet) View(i int) *membership.View { return f.nodes[i].view }

// Len returns the number of members, running or not.
func (f *Fleet) Len() int { return len(f.nodes) }

// Run advances the simulation by d.
func (f *Fleet) Run(d Micros) { f.RunUntil(d, nil) }

// RunUntil advances the simulation until a condition holds, but at most by d. The condition is checked every
// tenth of a period; nil never holds. RunUntil returns the elapsed time and whether the condition held.
func (f *Fleet) RunUntil(d Micros, condition func() bool) (Micros, bool) {
	start, end, checkAt := f.now, f.now+d, f.now
	for {
		if condition != nil && f.now >= checkAt {
			if condition() {
				return f.now - start, true
			}
			checkAt = f.now + Period/10
		}
		if len(f.queue) == 0 || f.queue[0].at > end {
			f.now = end
			return d, condition != nil && condition()
		}
		e := heap.Pop(&f.queue).(event)
		f.now = max(f.now, e.at)
		f.deliver(e)
	}
}

func (f *Fleet) deliver(e event) {
	n := f.nodes[e.to]
	if !n.up || e.generation != n.generation && e.data == nil {
		return
	}
	if n.paused {
		if e.data != nil && len(n.heldEvents) < 512 {
			n.heldEvents = append(n.heldEvents, e)
		}
		return
	}
	if e.data == nil {
		if e.at != n.tickAt {
			return
		}
		n.view.Tick(f.localTime(n, f.now))
		next := Micros(float64(n.view.NextTick()-1_000_000)/n.clockRate) + 1
		f.scheduleTick(e.to, max(f.now+1, next+n.slowDelay))
	} else {
		n.view.Receive(f.localTime(n, f.now), e.data)
	}
	f.dispatchOutput(e.to)
}

// dispatchOutput reports the changes of a view and transmits its datagrams.
func (f *Fleet) dispatchOutput(i int) {
	datagrams, changes, _ := f.nodes[i].view.TakeOutput()
	for _, c := range changes {
		f.OnChange(ViewChange{At: f.now, Observer: i, Change: c})
	}
	for _, d := range datagrams {
		f.transmit(i, d)
	}
}

// transmit schedules the arrivals of a datagram, subject to the link and the partition.
func (f *Fleet) transmit(from int, d membership.Datagram) {
	f.Bytes += int64(len(d.Data) + sealOverhead)
	to, ok := f.index[d.To]
	if !ok {
		return
	}
	link, replaced := f.links[[2]int{from, to}]
	if !replaced {
		link = f.cfg.Link
	}
	copies := 1
	if f.rng.Float64() < link.Duplicate {
		copies = 2
	}
	for range copies {
		lost := f.rng.Float64() < link.Loss
		delay := link.Delay + f.nodes[to].slowDelay
		if link.Jitter > 0 {
			delay += f.rng.Int64N(link.Jitter)
		}
		if !lost && !link.Cut && f.reachable(from, to) {
			f.push(event{at: f.now + delay, to: to, data: slices.Clone(d.Data)})
		}
	}
}

// Converged reports whether all running members selected by include have the same digest, and their view has
// as many live members as there are running selected ones.
func (f *Fleet) Converged(include func(i int) bool) bool {
	digest, first, running := uint64(0), true, 0
	for i := range f.nodes {
		if !f.Running(i) || !include(i) {
			continue
		}
		running++
		if d := f.nodes[i].view.Digest(); first {
			digest, first = d, false
		} else if d != digest {
			return false
		}
	}
	for i := range f.nodes {
		if f.Running(i) && include(i) {
			alive := 0
			for _, m := range f.nodes[i].view.Members() {
				if m.State == membership.Alive || m.State == membership.Suspect {
					alive++
				}
			}
			return alive == running
		}
	}
	return true
}

// All selects every member.
func All(int) bool { return true }
