package platform

// Assembles one coordinator from its parts, and defines the order of its startup and its reload. This file
// must never decide about a query.

import (
	"log/slog"
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
)

const (
	reservedSockets = 40 // descriptors for everything except clients, nodes and operators
	nodeSocketShare = 4  // one in nodeSocketShare descriptors is reserved for nodes
	// minThreads is how many threads may run in parallel even where the limit on cores is lower.
	minThreads = 4
	// clientMemoryShare: one in so many bytes of the heap is for clients. As much again may be garbage before it
	// is collected.
	clientMemoryShare = 2

	// firstListWait is how long a start waits for discovery before it serves with an older list. With it a start
	// is ready within the 6 s that the platform grants in every case.
	firstListWait = 5 * time.Second
)

// ExtraFront is a further front on the same core.
type ExtraFront interface {
	// Backend sends the parts of its queries to their servers.
	Backend() core.Backend
	// Start begins to serve. The core is running by then.
	Start(c *core.Core, budget *lnet.Budget) error
	// SetConfig makes the front follow the rules of a configuration that is in force now. It must not block.
	SetConfig(cfg *Config)
	drainer
}

// Coordinator is a running coordinator.
type Coordinator struct {
	cfg          *Config // the configuration at the start
	log          *slog.Logger
	core         *core.Core
	front        *Front
	server       *lnet.Server
	nodes        *Nodes
	delays       *delay.Recorder
	peers        *peerSocket
	fleet        *fleet.Fleet // nil without a fleet
	failed       chan error   // receives, once, the reason why this process must stop serving
	extras       []ExtraFront
	adminServer  *admin.Server
	shuttingDown atomic.Bool
	accepting    atomic.Bool   // the fronts have been started
	listKnown    chan struct{} // closed once a list is known
	upgrade      *upgrade

	mu       sync.Mutex    // guards current, sharing and ending
	current  *Config       // the configuration in force
	sharing  bool          // another process serves in parallel
	ending   *shutdownPlan // nil before the shutdown
	stop     chan struct{}
	stopOnce sync.Once

	watcher *watcher
	memory  *memoryMonitor
}

// ApplyLimits keeps this process within the platform's limits on cores and memory. The limit on cores
// bounds processor time and not the number of threads that may run in parallel: with a single thread, one
// that the system suspends would block the whole process.
func (c *Config) ApplyLimits() {
	runtime.GOMAXPROCS(max(minThreads, int(c.Limits.Cores)))
	debug.SetMemoryLimit(c.heapLimit(1))
}

// heapLimit returns how much memory the runtime may use in each of so many processes. The rest is for the
// program's code and for what the runtime does not count.
func (c *Config) heapLimit(processes int64) int64 {
	return int64(c.Limits.MemoryMB) << 20 * heapTenths / 10 / processes
}

// limitClientMemory bounds the memory that clients take up in each of so many processes.
func (c *Config) limitClientMemory(budget *lnet.Budget, processes int64) {
	budget.LimitMemory(c.heapLimit(processes)/clientMemoryShare, !c.memoryAssumed)
}

// Start starts a coordinator.
func Start(cfg *Config, log *slog.Logger, extras ...ExtraFront) (*Coordinator, error) {
	received, besideOld := requestSockets(cfg, log)
	if received != nil {
		cfg = cfg.succeed(received, time.Now())
		for _, x := range extras {
			x.SetConfig(cfg)
		}
	}
	k := &Coordinator{cfg: cfg, log: log, extras: extras, stop: make(chan struct{}),
		listKnown: make(chan struct{}), current: cfg, failed: make(chan error, 1)}
	capacity := socketBudget(cfg.Limits.Sockets-cfg.fleetSockets(), cfg.Operator != "")
	budget := lnet.NewBudget(capacity, capacity/nodeSocketShare)
	cfg.limitClientMemory(budget, 1)
	post := func(e core.Event) { k.core.Post(e) }
	counts := &core.Counts{}
	for _, name := range cfg.Classes { // creates every counter before the first reading
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
	names := &nameClaims{}
	coreCfg := core.Config{Settings: cfg.Module, Seed: cfg.seed(), Backends: backends, Log: log, Counts: counts,
		Delays: k.delays, Names: names,
		OnFirstList: func() { close(k.listKnown) },
		ServerName:  func(id balance.ReplicaID) (string, bool) { return k.nodeName(uint64(id)) }}
	var err error
	if cfg.PeerListen != "" && !cfg.fleetSharesPeerSocket() {
		if k.peers, err = listenPeers(cfg, log, post, received); err != nil {
			return nil, err
		}
		coreCfg.Peers = k.peers
	}
	if cfg.Fleet != nil {
		if err = k.openFleet(received, besideOld); err != nil {
			return nil, err
		}
		coreCfg.Peers = k.fleet
		if len(cfg.Fleet.Limits) > 0 || cfg.Fleet.OverloadEnabled() {
			coreCfg.Admission = fleetAdmission{k, &atomic.Pointer[classRanks]{}}
		}
		k.enableEvidence(&coreCfg)
	}
	w := &watcher{cfg: cfg, log: log, nodes: k.nodes, post: post, watching: make(chan bool, 16),
		fetches: make(chan struct{}, 16), moves: make(chan string), stop: k.stop, gotFullList: make(chan struct{}),
		linked: make(chan linkedList), besideOld: besideOld}
	k.watcher = w
	if cfg.Module.Subscribe {
		coreCfg.Discovery = w
	}
	if k.core, err = core.New(coreCfg); err != nil {
		return nil, err
	}
	k.front.core = k.core
	switch {
	case received != nil:
		k.server = lnet.NewServer(received.listener, budget, log, k.front.Serve)
	case cfg.Listen != "":
		if k.server, err = lnet.Listen(cfg.Listen, budget, log, k.front.Serve); err != nil {
			return nil, err
		}
	}
	if k.server != nil {
		k.server.OnRejected, k.server.CapRetryAfter = k.front.CountTurnedAway, k.core.CapRetryAfter
		k.server.Delays = k.delays
	}
	k.memory = newMemoryMonitor(log, func(s *MemoryStats) {
		s.LimitKB, s.InputKB = int64(cfg.Limits.MemoryMB)<<10, budget.InputMemoryInUse()>>10
		s.Clients, s.Open = budget.Clients(), counts.ActiveQueries.Load()
	})
	go k.memory.run(k.stop)
	k.core.RefuseQueries(cfg.confirmsList())
	go k.core.Run()
	k.upgrade = &upgrade{k: k, socketPath: socketPath(cfg), budget: budget, fullBudget: capacity,
		acknowledged: make(chan struct{}, 1), names: names}
	names.upgrade = k.upgrade // before any request, which alone may need it
	w.forward = k.upgrade.sendList
	if w.saver = newListSaver(cfg, &w.held, k.upgrade.ownsState, log); w.saver != nil {
		go w.saver.run(k.stop)
	}
	if received != nil && received.fleet != nil {
		k.upgrade.fleetState = make(chan *fleet.Handover, 1)
	}
	if received != nil {
		k.core.Post(core.HandoverState{Cordons: received.hello.Cordons, FleetCordons: received.hello.FleetCordons,
			RestoredAt: received.hello.RestoredAt, HeldNames: received.hello.Held, Memory: received.hello.Memory,
			Clock: received.hello.Clock})
		k.upgrade.followPredecessor(received)
	}
	initial := cfg.initialList(received, log)
	if initial.list != nil { // enough to begin with
		w.restore(initial)
	}
	if k.peers != nil {
		go k.peers.read()
		go k.peers.write()
	}
	if k.fleet != nil {
		go k.receiveFleet()
	}
	if cfg.Discovery != "" {
		go w.run(!cfg.Module.Subscribe)
	}
	if cfg.Operator != "" { // before joining the fleet, which a start may wait for
		if k.adminServer, err = admin.Listen(cfg.Operator, adminState{k}, log); err != nil {
			log.Error("admin endpoint could not be opened: serving without it", "address", cfg.Operator, "err", err)
		}
	}
	if err := k.startFleet(); err != nil {
		k.stopAll()
		return nil, err
	}
	if !besideOld {
		if err := k.startFronts(budget); err != nil {
			return nil, err
		}
	}
	go k.becomeReady(besideOld, initial.origin.confirmed, budget)
	log.Info("started", "name", cfg.Name, "listen", k.listenAddrs())
	return k, nil
}

// listenAddrs returns the addresses that clients connect to, on all fronts.
func (k *Coordinator) listenAddrs() string {
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

// startFronts begins to serve clients on all fronts.
func (k *Coordinator) startFronts(budget *lnet.Budget) error {
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

// confirmsList reports whether a start waits for discovery's list, although it may know an older one. Where
// the list is pushed, the agent's state counts as announced from the first moment: a server that the older
// list has in service may be draining.
func (c *Config) confirmsList() bool { return c.Discovery != "" && !c.Module.Subscribe }

// becomeReady waits for the list and then reports that this process can serve. A process that starts
// beside another one waits for discovery's full list and accepts no client before, whether or not it could
// take over: the old process keeps serving in the meantime. A list that discovery has told the old process
// is known here, also where it is empty.
func (k *Coordinator) becomeReady(besideOld, listHandedOver bool, budget *lnet.Budget) {
	if !listHandedOver {
		select {
		case <-k.listKnown:
		case <-k.stop:
			return
		}
	}
	wait := time.Duration(0)
	switch {
	case besideOld:
		wait = listTimeout
	case k.cfg.confirmsList():
		wait = firstListWait
	}
	if wait > 0 {
		select {
		case <-k.watcher.gotFullList:
		case <-time.After(wait):
			k.log.Warn("starting without discovery's full list", "beside", besideOld, "version",
				k.watcher.held.currentVersion())
		case <-k.stop:
			return
		}
	}
	if besideOld {
		k.core.HandoverState(linkTimeout) // queued behind the list, which has then been taken in
	}
	k.core.RefuseQueries(false)
	k.upgrade.announceReady()
	k.front.ready.Store(!k.shuttingDown.Load()) // before any client is accepted
	if besideOld {
		if err := k.startFronts(budget); err != nil {
			k.log.Error("a front could not be started after the takeover", "err", err)
		}
		k.takeOverFleet()
	}
}

// adminSockets returns how many descriptors the admin endpoint needs.
func (k *Coordinator) adminSockets() int { return adminSocketCount(k.cfg.Operator != "") }

func adminSocketCount(enabled bool) int {
	if enabled {
		return admin.Sockets
	}
	return 0
}

// socketBudget returns how many descriptors clients and nodes share.
func socketBudget(sockets int, admin bool) int {
	return max(32, sockets-reservedSockets-adminSocketCount(admin))
}

// MaxClients returns how many clients can be connected where the process may hold the given number of
// descriptors.
func MaxClients(sockets int, admin bool) int {
	capacity := socketBudget(sockets, admin)
	return capacity - capacity/nodeSocketShare
}

// Addr returns the address that clients connect to.
func (k *Coordinator) Addr() string { return k.server.Addr() }

// AdminAddr returns the address of the admin endpoint.
func (k *Coordinator) AdminAddr() string { return k.adminServer.Addr() }

// Reload takes in a configuration that was read again: the settings, and discovery's address, to which the
// watch moves at once, starting with the full list. Queries and known nodes stay. Other differences are
// named in the log and take a restart. A file that lacks a key is rejected as a whole. Reload must not be
// called from two goroutines at the same time.
func (k *Coordinator) Reload(cfg *Config) error {
	k.mu.Lock()
	watched := k.current.Discovery != "" // otherwise there is no watch: the range-query front runs alone
	merged, needRestart, err := cfg.reloadOver(k.current, time.Now())
	if err == nil {
		k.current = merged
		k.postSettings() // first, as the fronts then submit queries of new classes
		k.putInForce(merged)
		for _, name := range merged.Classes {
			k.core.Counts().Class(name)
		}
	}
	k.mu.Unlock()
	if err != nil {
		return err
	}
	k.upgrade.sendRules(nil)
	for _, name := range needRestart {
		k.log.Warn("a change of the configuration takes a restart", "field", name)
	}
	if k.fleet != nil && merged.Fleet != nil {
		for _, name := range k.fleet.Configure(merged.Fleet) {
			k.log.Warn("a change of the configuration takes a restart", "field", name)
		}
	}
	if watched {
		k.watcher.moveTo(merged.Discovery)
	}
	k.core.Counts().ConfigsApplied.Add(1)
	k.log.Info("configuration reloaded", "discovery", merged.Discovery, "classes", cfg.Classes)
	return nil
}

// postSettings sends the settings in force to the core. The caller holds mu. While two processes serve,
// each gives a cold node half of its share: the module's limit applies to the coordinator, and both
// processes together are one coordinator.
func (k *Coordinator) postSettings() {
	s := k.current.Module
	if k.sharing {
		s.ColdShare /= 2
	}
	k.core.Post(core.SettingsChanged{Settings: s})
}

// setSharing begins or ends the time in which two processes serve.
func (k *Coordinator) setSharing(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if on != k.sharing {
		k.sharing = on
		k.postSettings()
	}
}

// RejectConfig records that a configuration was rejected. The old one stays in force as a whole.
func (k *Coordinator) RejectConfig(err error) {
	k.core.Counts().ConfigsRejected.Add(1)
	k.log.Error("configuration not reloaded: the old one stays", "err", err)
}

// Close ends the coordinator at once, for tests.
func (k *Coordinator) Close() {
	defer k.watcher.saver.awaitEnd(closeLimit)
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
	k.stopAll()
}

// closeLimit bounds how long Close waits for a write of the list.
const closeLimit = 10 * time.Second

// stopAll ends the goroutines that don't belong to connections.
func (k *Coordinator) stopAll() {
	k.stopOnce.Do(func() {
		close(k.stop)
		k.upgrade.close()
		if k.adminServer != nil {
			k.adminServer.Close()
		}
		k.core.Close()
		if k.fleet != nil {
			k.fleet.Close()
		}
		if k.peers != nil {
			_ = k.peers.conn.Close()
		}
		k.watcher.saver.awaitEnd(saveEnd)
	})
}
