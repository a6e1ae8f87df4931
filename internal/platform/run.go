package platform

// One coordinator put together: the watch on discovery, the datagrams, and the order in which all of it
// starts and ends. This file owns that order; it must never decide about a query.

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lapislever/balance"
	"lapislever/internal/admin"
	"lapislever/internal/core"
	"lapislever/internal/delay"
	"lapislever/internal/fleet"
	lnet "lapislever/internal/net"
	"lapislever/internal/verdict"
)

const (
	maxDatagram = 256
	ownSockets  = 40 // descriptors for all but clients, nodes and operators
	nodeShare   = 4  // one in so many descriptors is kept for nodes
	// leastThreads is how many threads may run at a time, whatever part of a core there is.
	leastThreads = 4
	ringShare    = 8 // one in so many bytes of the memory is for large requests that are being read

	// An ending coordinator goes on serving for as long as new connections may still come, and beyond that for
	// as long as clients use it and there is time; it answers all that it took well before it may be killed.
	acceptOn   = 600 * time.Millisecond
	serveLeast = 800 * time.Millisecond // left for what came last
	lastReply  = 300 * time.Millisecond // the same where a successor serves, and little comes
	quietOn    = 500 * time.Millisecond // without a request, for clients to count as gone elsewhere

	firstWord = time.Second // that a start waits for discovery before it serves by an older list
)

// ExtraFront is another front on the same core.
type ExtraFront interface {
	// Backend takes its queries' parts to their servers.
	Backend() core.Backend
	// Start begins to serve; the core runs.
	Start(c *core.Core, budget *lnet.Budget) error
	// ApplySettings tells of new settings, in which classes have kept their places.
	ApplySettings(s balance.Settings)
	drainer
}

// drainer is a listener with its connections, as far as ending goes.
type drainer interface {
	MarkNotReady()          // tells who asks that it is not ready any more
	StopListening()         // no new connections
	CloseAfterReply()       // from now on replies end their connections
	LastRequest() time.Time // when a request last came
	Drain()                 // and idle ones are closed
	Wait(most time.Duration) bool
}

// Coordinator is one running coordinator.
type Coordinator struct {
	cfg       *Config
	log       *slog.Logger
	core      *core.Core
	front     *Front
	server    *lnet.Server
	nodes     *Nodes
	delays    *delay.Recorder
	peers     *peerSocket
	fleet     *fleet.Fleet // nil: there is none
	failed    chan error   // hears once why this process must not go on serving
	extras    []ExtraFront
	door      *admin.Door
	ending    atomic.Bool
	accepting atomic.Bool   // the fronts were started
	listed    chan struct{} // closed once a list is known
	upgrade   *upgrade

	mu     sync.Mutex // guards conf, halved
	conf   *Config    // in force
	halved bool       // another process serves beside this one
	stop   chan struct{}
	halted sync.Once

	watcher *watcher
}

// ApplyLimits keeps this process within the platform's limits on cores and memory. The limit on cores
// bounds processor time, not how many threads may run at a time: with a single one, a thread that the
// system holds up would hold up the whole process.
func (c *Config) ApplyLimits() {
	runtime.GOMAXPROCS(max(leastThreads, int(c.Limits.Cores)))
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB) << 20 * 6 / 10)
}

// Start starts a coordinator.
func Start(cfg *Config, log *slog.Logger, extras ...ExtraFront) (*Coordinator, error) {
	k := &Coordinator{cfg: cfg, log: log, extras: extras, stop: make(chan struct{}),
		listed: make(chan struct{}), conf: cfg, failed: make(chan error, 1)}
	h, beside := inherit(cfg, log)
	most := budgetOf(cfg.Limits.Sockets-cfg.fleetSockets(), cfg.Operator != "")
	budget := lnet.NewBudget(most, most/nodeShare)
	budget.LimitRings(cfg.Limits.MemoryMB << 20 / ringShare)
	post := func(e core.Event) { k.core.Post(e) }
	counts := &core.Counts{}
	for _, name := range cfg.Classes { // so that each is there from the first look on
		counts.Class(name)
	}
	k.nodes = NewNodes(cfg, budget, log, counts, post)
	k.delays = delay.NewRecorder(log)
	k.nodes.delays = k.delays
	backends := []core.Backend{k.nodes}
	for _, x := range extras {
		backends = append(backends, x.Backend())
	}
	k.front = NewFront(cfg, log, k.nodes)
	conf := core.Config{Settings: cfg.Module, Seed: cfg.seed(), Backends: backends, Log: log, Counts: counts,
		Delays:      k.delays,
		OnFirstList: func() { close(k.listed) },
		ServerName:  func(id balance.ReplicaID) (string, bool) { return k.nodeName(uint64(id)) }}
	var err error
	if cfg.PeerListen != "" && !cfg.fleetCarriesPeers() {
		if k.peers, err = listenPeers(cfg, log, post, h); err != nil {
			return nil, err
		}
		conf.Peers = k.peers
	}
	if cfg.Fleet != nil {
		if err = k.joinFleet(h, beside); err != nil {
			return nil, err
		}
		conf.Peers = k.fleet
		if len(cfg.Fleet.Limits) > 0 || cfg.Fleet.OverloadEnabled() {
			conf.Admission = fleetGate{k, &atomic.Pointer[ranked]{}}
		}
		k.judge(&conf)
	}
	w := &watcher{cfg: cfg, log: log, nodes: k.nodes, post: post, on: make(chan bool, 16),
		fetch: make(chan struct{}, 16), move: make(chan string), stop: k.stop, whole: make(chan struct{}),
		beside: beside}
	k.watcher = w
	if cfg.Module.Subscribe {
		conf.Discovery = w
	}
	if k.core, err = core.New(conf); err != nil {
		return nil, err
	}
	k.front.core = k.core
	switch {
	case h != nil:
		k.server = lnet.NewServer(h.listener, budget, log, k.front.Serve)
	case cfg.Listen != "":
		if k.server, err = lnet.Listen(cfg.Listen, budget, log, k.front.Serve); err != nil {
			return nil, err
		}
	}
	if k.server != nil {
		k.server.OnRejected, k.server.CapRetryAfter = k.front.TurnAway, k.core.CapRetryAfter
		k.server.Delays = k.delays
	}
	go k.core.Run()
	k.upgrade = &upgrade{k: k, path: socketPath(cfg), budget: budget, all: most, heard: make(chan struct{}, 1)}
	if h != nil && h.fleet != nil {
		k.upgrade.place = make(chan *fleet.Handover, 1)
	}
	if h != nil {
		k.core.Post(core.HandoverState{Cordons: h.greeting.Out, FleetCordons: h.greeting.Barred, RestoredAt: h.greeting.Since,
			Memory: h.greeting.Memory, Clock: h.greeting.Now})
		k.upgrade.follow(h)
	}
	if cfg.Known != nil { // what was known before a restart: enough to begin with
		w.seq = cfg.Known.Seq
		news := k.nodes.UpdateHosts(cfg.Known.Hosts, true)
		k.core.Post(core.ListUpdate{Mode: balance.Cached, Replicas: cfg.replicas(cfg.Known.Hosts),
			ReceivedAt: time.Now()})
		k.nodes.logNews(news)
	}
	if k.peers != nil {
		go k.peers.read()
		go k.peers.write()
	}
	if k.fleet != nil {
		go k.hearFleet()
	}
	if cfg.Discovery != "" {
		go w.run(!cfg.Module.Subscribe)
	}
	if cfg.Operator != "" { // before the fleet, which a start may wait for
		if k.door, err = admin.Open(cfg.Operator, doorState{k}, log); err != nil {
			log.Error("the operators' door stays shut: serving without it", "address", cfg.Operator, "err", err)
		}
	}
	if err := k.enterFleet(); err != nil {
		k.halt()
		return nil, err
	}
	if !beside {
		if err := k.accept(budget); err != nil {
			return nil, err
		}
	}
	go k.prepare(beside, budget)
	log.Info("started", "name", cfg.Name, "listen", k.listening())
	return k, nil
}

// listening are the addresses that clients reach, on all fronts.
func (k *Coordinator) listening() string {
	var all []string
	if k.server != nil {
		all = append(all, k.server.Addr())
	}
	for _, x := range k.extras {
		if l, ok := x.(interface{ Addr() string }); ok && k.accepting.Load() {
			all = append(all, l.Addr())
		}
	}
	return strings.Join(all, ",")
}

// accept begins to serve clients on all fronts.
func (k *Coordinator) accept(budget *lnet.Budget) error {
	defer k.accepting.Store(true)
	for _, x := range k.extras {
		if err := x.Start(k.core, budget); err != nil {
			return err
		}
	}
	if k.server != nil {
		go k.server.Serve()
	}
	return nil
}

// prepare waits for the list and then tells that this process can serve. One that starts beside another,
// whether or not it could take over from it, waits for discovery's own word, as the old process serves
// meanwhile and has long heard more than is known here, and takes no client before.
func (k *Coordinator) prepare(beside bool, budget *lnet.Budget) {
	select {
	case <-k.listed:
	case <-k.stop:
		return
	}
	// Where the list is pushed, what the agent has counts as told from the first moment, and what was known
	// before the start may be old: a client is better served after discovery's own word, if that comes soon.
	wait := time.Duration(0)
	switch {
	case beside:
		wait = listWait
	case k.cfg.Discovery != "" && !k.cfg.Module.Subscribe:
		wait = firstWord
	}
	if wait > 0 {
		select {
		case <-k.watcher.whole:
		case <-time.After(wait):
			k.log.Warn("starting without discovery's word", "beside", beside)
		case <-k.stop:
			return
		}
	}
	if beside {
		k.core.HandoverState(linkWait) // behind the list in the core's queue: once it is back, that is taken in
	}
	k.upgrade.ready()
	k.front.ready.Store(!k.ending.Load()) // before a client is heard, who would else be told no
	if beside {
		if err := k.accept(budget); err != nil {
			k.log.Error("a front could not be taken over", "err", err)
		}
		k.takeFleetOver()
	}
}

// doorSockets is how many descriptors the operators' door needs.
func (k *Coordinator) doorSockets() int { return doorNeeds(k.cfg.Operator != "") }

func doorNeeds(open bool) int {
	if open {
		return admin.Sockets
	}
	return 0
}

// budgetOf is how many descriptors clients and nodes share.
func budgetOf(sockets int, door bool) int { return max(32, sockets-ownSockets-doorNeeds(door)) }

// MaxClients is how many clients there can be at most, where the process may hold so many descriptors.
func MaxClients(sockets int, door bool) int {
	most := budgetOf(sockets, door)
	return most - most/nodeShare
}

// Addr is the address that clients reach.
func (k *Coordinator) Addr() string { return k.server.Addr() }

// AdminAddr is the address of the operators' door.
func (k *Coordinator) AdminAddr() string { return k.door.Addr() }

// doorState is what the operators' door shows of a coordinator.
type doorState struct{ k *Coordinator }

// Ready tells that this process can serve.
func (d doorState) Ready() bool { return d.k.front.ready.Load() && !d.k.ending.Load() }

// Figures are this process's counts.
func (d doorState) Figures() admin.Figures {
	c := d.k.core.Counts()
	f := admin.Figures{OK: map[string]int64{}, Shed: map[string]int64{}, Errors: map[string]int64{},
		Tries: c.AttemptsSent.Load(), Active: c.ActiveQueries.Load(), PoolSize: c.ListedServers.Load(), PoolEjected: c.AvoidedServers.Load(),
		ConfigApplied: c.ConfigsApplied.Load(), ConfigRejected: c.ConfigsRejected.Load()}
	for name, x := range c.Classes() {
		f.OK[name], f.Shed[name], f.Errors[name] = x.Count(core.Answered), x.Count(core.Refused), x.Count(core.Failed)
	}
	for _, x := range d.k.extras {
		if t, ok := x.(interface{ Figures() map[string]int64 }); ok {
			f.Unusable = t.Figures()
		}
	}
	return f
}

// Delays are the actions that were carried out late.
func (d doorState) Delays() any { return d.k.delays.Stats() }

// Gate says who is let in; nil where only the budget does.
func (d doorState) Gate() admin.Gate {
	for _, x := range d.k.extras {
		if g, ok := x.(interface {
			Gate() *lnet.AdmissionController
		}); ok && g.Gate() != nil {
			return gate{g.Gate()}
		}
	}
	return nil
}

// Fleet is the view of the fleet; nil where there is none.
func (d doorState) Fleet() any {
	if d.k.fleet == nil {
		return nil
	}
	return d.k.fleet.Status()
}

// Verdicts are what the fleet holds; nil where there is no fleet.
func (d doorState) Verdicts() any {
	if d.k.fleet == nil {
		return nil
	}
	return d.k.fleet.Verdicts()
}

// Say puts a data node out or back for the whole fleet.
func (d doorState) Say(c admin.FleetCall, within time.Duration) (any, bool, error) {
	v := verdict.Verdict{Kind: verdict.Node, What: c.ID, On: c.Out, By: c.By, Reason: c.Reason,
		Span: c.Span.Microseconds()}
	if c.Prefix.IsValid() {
		v.Kind, v.What = verdict.Prefix, c.Prefix.Masked().String()
		if c.Pin {
			v.Word = verdict.Pin
		}
	} else if c.Out && !d.k.core.IsListed(core.ServerID(c.ID), within) {
		return nil, false, admin.ErrUnknown
	}
	s, err := d.k.fleet.IssueVerdict(v, within, c.Wait)
	switch {
	case errors.Is(err, fleet.ErrTimeout):
		err = admin.ErrLate
	case errors.Is(err, fleet.ErrNoVerdict):
		err = admin.ErrUnknown
	case errors.Is(err, verdict.ErrInvalid):
		err = admin.ErrForm
	}
	return s, len(s.Missing) == 0, err
}

// Overload is what the fleet turns away as one; nil where there is no fleet.
func (d doorState) Overload() any {
	if d.k.fleet == nil {
		return nil
	}
	return d.k.fleet.Overload()
}

// Limits are this member's shares of the fleet's limits; nil where there is no fleet.
func (d doorState) Limits() any {
	if d.k.fleet == nil {
		return nil
	}
	return d.k.fleet.Limits()
}

// gate is a keeper in the door's terms.
type gate struct{ *lnet.AdmissionController }

// Figures are what the door shows.
func (g gate) Figures(n int) any { return g.AdmissionController.Stats(n) }

// Cordon puts a data node out or back.
func (d doorState) Cordon(id string, out bool, within time.Duration) error {
	known, inTime := d.k.core.Cordon(core.ServerID(id), out, within)
	if known {
		d.k.upgrade.pass(core.ServerID(id), core.ByOperator, out)
	}
	switch {
	case !inTime:
		return admin.ErrLate
	case !known:
		return admin.ErrUnknown
	}
	return nil
}

// Reload takes in a configuration that was read anew: the settings, and discovery's address, to where the
// watch moves at once and begins with the whole list. Queries and known nodes stay. What else differs is
// named in the log and takes a restart. Of a file that lacks something nothing is taken. It must not be
// called from two goroutines at once.
func (k *Coordinator) Reload(cfg *Config) error {
	k.mu.Lock()
	watched := k.conf.Discovery != "" // else there is no watch: the range-query front runs alone
	fresh, kept, err := cfg.after(k.conf, time.Now())
	if err == nil {
		k.conf = fresh
		k.settle()
		for _, name := range fresh.Classes {
			k.core.Counts().Class(name)
		}
		k.nodes.conf.Store(fresh)
		k.front.conf.Store(fresh)
	}
	k.mu.Unlock()
	if err != nil {
		return err
	}
	for _, x := range k.extras {
		x.ApplySettings(fresh.Module)
		if c, ok := x.(interface{ Conform(*Config) }); ok {
			c.Conform(fresh)
		}
	}
	for _, name := range kept {
		k.log.Warn("a change of the configuration takes a restart", "field", name)
	}
	if k.fleet != nil && fresh.Fleet != nil {
		for _, name := range k.fleet.Configure(fresh.Fleet) {
			k.log.Warn("a change of the configuration takes a restart", "field", name)
		}
	}
	if watched {
		k.watcher.moveTo(fresh.Discovery)
	}
	k.core.Counts().ConfigsApplied.Add(1)
	k.log.Info("configuration reloaded", "discovery", fresh.Discovery, "classes", cfg.Classes)
	return nil
}

// settle tells the core of the settings in force; the caller holds mu. While two processes serve, each gives
// a cold node half: what the module keeps to is this coordinator's share, and the two are one.
func (k *Coordinator) settle() {
	s := k.conf.Module
	if k.halved {
		s.ColdShare /= 2
	}
	k.core.Post(core.SettingsChanged{Settings: s})
}

// halve begins or ends the time in which two processes serve.
func (k *Coordinator) halve(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if on != k.halved {
		k.halved = on
		k.settle()
	}
}

// Reject tells that a configuration was turned down: the old one stays, whole.
func (k *Coordinator) Reject(err error) {
	k.core.Counts().ConfigsRejected.Add(1)
	k.log.Error("configuration not reloaded: the old one stays", "err", err)
}

// Shutdown ends in order: not ready any more; then, once the clients have gone elsewhere or time is short, no
// new connections or requests; everything that was taken is answered, and then the end. Until then clients
// that have no coordinator to go to, as the others may be starting anew just now, are served as ever.
func (k *Coordinator) Shutdown() {
	begun := time.Now()
	handed := k.upgrade.handedOver()
	k.log.Info("ending", "successor", handed)
	k.ending.Store(true)
	if !handed { // else the coordinator is there as ever, whichever process is asked
		k.front.ready.Store(false)
	}
	var ends []drainer
	if k.server != nil {
		ends = append(ends, platformEnd{k.server})
	}
	for _, x := range k.extras {
		if k.accepting.Load() {
			ends = append(ends, x)
		}
	}
	for _, x := range ends {
		x.MarkNotReady()
	}
	k.mu.Lock()
	answerOn, endingLimit := k.conf.ending()
	k.mu.Unlock()
	idle := k.core.Shutdown(begun.Add(answerOn))
	if !handed {
		time.Sleep(acceptOn)
		for used := true; used && !k.upgrade.handedOver() && time.Since(begun) < answerOn-serveLeast; {
			used = false
			for _, x := range ends {
				used = used || time.Since(x.LastRequest()) < quietOn
			}
			if used {
				time.Sleep(quietOn / 10)
			}
		}
	}
	if k.upgrade.handedOver() { // before the end was asked for, or since
		if !handed {
			k.log.Info("a successor serves now")
			k.front.ready.Store(true)
		}
		k.lead(ends, begun.Add(answerOn-lastReply))
	}
	for _, x := range ends {
		x.StopListening()
		x.Drain()
	}
	select {
	case <-idle:
	case <-time.After(time.Until(begun.Add(endingLimit))):
		k.log.Error("ended with queries open")
	}
	for _, x := range ends {
		x.Wait(max(50*time.Millisecond, time.Until(begun.Add(endingLimit))))
	}
	if !k.upgrade.handedOver() { // else the successor is the member, since whenever
		k.leaveFleet(begun.Add(endingLimit))
	}
	k.halt()
	k.log.Info("ended", "took", time.Since(begun))
}

// lead has clients go over to the successor: the next reply on a connection ends it. An idle one stays open
// up to the time given, as a request may be on its way, and closing would cross it.
func (k *Coordinator) lead(ends []drainer, until time.Time) {
	if k.peers != nil {
		_ = k.peers.c.Close() // what comes now is for the successor
	}
	for _, x := range ends {
		x.StopListening()
		x.CloseAfterReply()
	}
	for _, x := range ends {
		x.Wait(max(0, time.Until(until)))
	}
}

// ending is when all must be answered after SIGTERM, and when the program ends. It is killed after the
// longest deadline, or 3 s where that is longer, and 0.7 s.
func (c *Config) ending() (answerOn, limit time.Duration) {
	longest := time.Duration(0)
	for _, x := range c.Module.Classes {
		longest = max(longest, time.Duration(x.Deadline)*time.Microsecond)
	}
	killed := min(longest, 3*time.Second) + 700*time.Millisecond
	return killed - 500*time.Millisecond, killed - 200*time.Millisecond
}

// platformEnd is the platform's front as far as ending goes; /up says by itself that it is not ready.
type platformEnd struct{ *lnet.Server }

// MarkNotReady has nothing left to do.
func (platformEnd) MarkNotReady() {}

// Close ends at once, as a test wants it.
func (k *Coordinator) Close() {
	if k.server != nil {
		k.server.Drain()
		k.server.StopListening()
	}
	for _, x := range k.extras {
		if k.accepting.Load() {
			x.Drain()
			x.StopListening()
		}
	}
	k.halt()
}

// halt ends the goroutines that are not connections.
func (k *Coordinator) halt() {
	k.halted.Do(func() {
		close(k.stop)
		k.upgrade.close()
		if k.door != nil {
			k.door.Close()
		}
		k.core.Close()
		if k.fleet != nil {
			k.fleet.Close()
		}
		if k.peers != nil {
			_ = k.peers.c.Close()
		}
	})
}

// peerSocket carries datagrams between coordinators.
type peerSocket struct {
	cfg  *Config
	log  *slog.Logger
	post func(core.Event)
	c    *net.UDPConn
	to   []*net.UDPAddr
	all  *net.UDPAddr
	out  chan datagram
	from map[string]uint32
}

type datagram struct {
	to   *net.UDPAddr
	text string
}

func listenPeers(cfg *Config, log *slog.Logger, post func(core.Event), h *inheritance) (*peerSocket, error) {
	p := &peerSocket{cfg: cfg, log: log, post: post, out: make(chan datagram, 64), from: map[string]uint32{}}
	var err error
	for i, text := range cfg.Peers {
		a, err := net.ResolveUDPAddr("udp", text)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		p.to = append(p.to, a)
		p.from[a.String()] = uint32(i)
	}
	if cfg.PeersAll != "" {
		if p.all, err = net.ResolveUDPAddr("udp", cfg.PeersAll); err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
	}
	if h != nil && h.peers != nil {
		p.c = h.peers
		return p, nil
	}
	c, err := lnet.ListenPacket(cfg.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p.c = c
	return p, nil
}

// Tell queues a datagram; where the queue is full it is lost, as any may be.
func (p *peerSocket) Tell(to uint32, text string) {
	if len(text) == 0 || len(text) > maxDatagram { // a longer one is forbidden
		p.log.Error("a message to a peer has an impossible length", "bytes", len(text))
		return
	}
	addr := p.all
	if to != balance.AllPeers {
		if int64(to) >= int64(len(p.to)) || int(to) == p.cfg.Module.Number {
			return
		}
		addr = p.to[to]
	}
	if addr == nil {
		return
	}
	select {
	case p.out <- datagram{to: addr, text: text}:
	default:
	}
}

func (p *peerSocket) write() {
	for d := range p.out {
		if _, err := p.c.WriteToUDP([]byte(d.text), d.to); errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

func (p *peerSocket) read() {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.c.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		who, known := p.from[from.String()]
		if known && int(who) == p.cfg.Module.Number {
			continue // our own word to all
		}
		if !known || n > maxDatagram {
			p.log.Warn("bad datagram", "from", from, "bytes", n)
			continue
		}
		p.post(core.PeerMessage{From: who, Data: append([]byte(nil), buf[:n]...)})
	}
}
