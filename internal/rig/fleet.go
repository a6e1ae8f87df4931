package rig

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	lnet "lapislever/internal/net"
	"lapislever/internal/standin"
)

// SettingsJSON is the platform's settings object for a small deployment: two cells of one shard each, and two
// classes.
const SettingsJSON = `{"azs":["praha","brno"],"zone":0,"me":0,"peersTotal":8,"quantumUs":5000,
 "membershipMode":"automatic","callers":{"marksRetry":true},
 "bounds":{"cancel":true,"secondCopies":true,"sendCap":4,"retryAfter":true,"maxRetryAfterUs":2000000,
  "peers":true,"probes":true,"connIdleUs":15000000,"dialTimeoutUs":250000,"streamsPerConn":8,"maxOpen":200},
 "extra":{"places":2,"reach":1,"slices":2,"bundleMax":1,"classNeed":[1.0,1.0],"leastShare":[1.0,1.0]},
 "reporting":{"columns":["rps","waiting"],"via":"answers"},
 "rules":{"coldFrom":0.18,"rampTimeUs":17000000,"fallMultiple":2.5,"fallUs":2000000},
 "lanes":[{"name":"rate-check","goalTimeUs":1500000,"hardLimitUs":2000000,"idempotency":"read_like","worth":1,
   "lateWorth":0.3},
  {"name":"exchange-post","goalTimeUs":1500000,"hardLimitUs":2000000,"idempotency":"idempotency_key",
   "windowUs":3000000,"worth":1}]}`

// Config configures a rig.
type Config struct {
	Dir              string // for logs and files; the caller removes it
	Members          int
	Seed             uint64
	Period           time.Duration
	Nodes            int     // number of data nodes; the two cells are assigned to them in turn
	Rate             float64 // queries per second and member
	Keys             string  // contents of the key file; empty: no keys
	ExtraFleetConfig string  // appended to the fleet file, such as [[limit]] tables
	Program          string  // path of the program; empty: build it
	// Answer handles a part at a data node; nil: the rig's default handler.
	Answer        func(node int, p standin.Part) (end, value string)
	Standalone    bool     // run the members without --fleet
	MaxMembers    int      // the fleet file's "most"; 0: 64
	Roster        bool     // write a roster of the members' names instead of "most"
	SettingsEdits []string // replacements in SettingsJSON: old and new text, alternating
	History       *History
	// Faults are injected into the members' system calls from process start on; nil: none. The rig sets PID.
	Faults *SyscallFaults
	// MemoryMB and Sockets are the limits in the members' configuration; 0: the defaults.
	MemoryMB, Sockets int
	// StaleList writes discovery's first list to the members' configurations as the known one, at each start.
	StaleList bool
	// SaveState starts the members with --state, on a folder that outlasts their processes.
	SaveState bool
}

// The limits that a member's configuration states by default.
const (
	defaultMemoryMB = 192
	defaultSockets  = 400
)

// maxMembers is an upper bound on the members of a rig.
const maxMembers = 64

// tenantCount is the number of tenants that send queries in turn.
const tenantCount = 3

const (
	portFleet     = 7946
	portAdmin     = 9901
	portFront     = 5000
	portNode      = 5000
	portDiscovery = 8500
	// pollInterval is the time between two polls of a member's view.
	pollInterval = 40 * time.Millisecond
	pollTimeout  = 400 * time.Millisecond
)

// Rig is a fleet of member processes with data nodes, discovery and the relays between them.
type Rig struct {
	cfg          Config
	program      string
	subnet       [2]byte // a and b of 127.a.b.0
	History      *History
	mu           sync.Mutex // guards the members' proc and previous
	members      []*Member
	links        map[[2]string]func(Fault) // setters by sender and receiver
	closers      []func()
	nodes        []*standin.Node
	discovery    *discovery
	nodeFaults   []atomic.Int32 // by node: a NodeFault
	slowDelay    atomic.Int64   // reply delay of slow nodes, in nanoseconds
	stop         chan struct{}
	wg           sync.WaitGroup
	noNewQueries atomic.Bool  // clients send no new queries
	inFlight     atomic.Int64 // queries in flight or about to be sent
}

// Member is one coordinator.
type Member struct {
	Name, Zone  string
	rig         *Rig
	index       int
	proc        *Proc
	previous    *Proc        // the predecessor, during an upgrade
	adminSlot   atomic.Int32 // which of the two admin ports the current process uses
	running     atomic.Bool
	outages     atomic.Int64 // number of kills, pauses and terminations
	view        atomic.Pointer[View]
	NoQueries   atomic.Bool // its clients send no queries
	queriesSent atomic.Int64
}

// View is the fleet view that a member's admin endpoint reports.
type View struct {
	Self        string
	Incarnation uint32
	Digest      string
	Alive       int
	Members     []struct {
		Name, Zone, Addr, State string
		Incarnation             uint32
		Since                   int64 `json:"since_ms"`
	}
	Figures struct {
		Health   int
		Dropped  map[string]int64
		Conflict string
		Differ   []string `json:"settings_differ"`
		Refuted  int64
		Stalls   int64
	}
}

// StateOf returns a member's state in the view, or "" if the view does not contain the member.
func (v *View) StateOf(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// New builds the program and starts data nodes, discovery and relays. The members are not started yet.
func New(cfg Config) (*Rig, error) {
	program, err := cfg.Program, error(nil)
	if program == "" {
		if program, err = BuildProgram(); err != nil {
			return nil, err
		}
	}
	if cfg.History == nil {
		cfg.History = NewHistory(nil)
	}
	r := &Rig{cfg: cfg, program: program, History: cfg.History, links: map[[2]string]func(Fault){},
		stop: make(chan struct{})}
	if err := r.claimSubnet(); err != nil {
		return nil, err
	}
	r.nodeFaults = make([]atomic.Int32, cfg.Nodes)
	r.slowDelay.Store(int64(defaultSlowDelay))
	for i := range cfg.Nodes {
		n, err := standin.OpenNode(r.addr(200+i, portNode), r.nodeHandler(i))
		if err != nil {
			r.Close()
			return nil, err
		}
		n.Concurrent.Store(true)
		r.nodes = append(r.nodes, n)
		r.closers = append(r.closers, n.Close)
	}
	if err := r.openDiscovery(); err != nil {
		r.Close()
		return nil, err
	}
	for range cfg.Members {
		if _, err := r.AddMember(); err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

// claimSubnet picks a subnet of 127.0.0.0/8 that no other rig uses. A listening socket on one of its
// addresses marks it as taken.
func (r *Rig) claimSubnet() error {
	for range 50 {
		r.subnet = [2]byte{byte(16 + rand.IntN(200)), byte(2 * rand.IntN(127))}
		l, err := net.Listen("tcp", r.addr(254, 1999))
		if err == nil {
			r.closers = append(r.closers, func() { _ = l.Close() })
			return nil
		}
	}
	return errors.New("no free subnet found in 127.0.0.0/8")
}

// addr returns an address in the rig's subnet. Relays use the next subnet, see relayAddr.
func (r *Rig) addr(last, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.subnet[0], r.subnet[1], last, port)
}

func (r *Rig) relayAddr(last, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.subnet[0], r.subnet[1]+1, last, port)
}

// NodeFault is a fault of a data node.
type NodeFault int32

// The faults of data nodes.
const (
	Healthy      NodeFault = iota
	Failing                // replies to each part with an error
	Slow                   // replies after a delay
	Unresponsive           // never replies
)

// defaultSlowDelay is the reply delay of a slow node unless the rig's slowDelay is changed.
const defaultSlowDelay = 700 * time.Millisecond

// SetNodeFault sets the fault of a data node from now on.
func (r *Rig) SetNodeFault(node int, f NodeFault) {
	r.History.Record(Event{Kind: KindFault, Subject: fmt.Sprintf("n%d", node),
		Detail: fmt.Sprint("illness ", f)})
	r.nodeFaults[node].Store(int32(f))
}

// nodeHandler returns the handler of a data node. By default it replies to each part with the part's ID,
// subject to the node's fault.
func (r *Rig) nodeHandler(node int) func(p standin.Part) (string, string) {
	name := fmt.Sprintf("n%d", node)
	if r.cfg.Answer != nil {
		return func(p standin.Part) (string, string) { return r.cfg.Answer(node, p) }
	}
	return func(p standin.Part) (string, string) {
		r.History.Record(Event{Kind: KindPart, Subject: name, Query: p.ID})
		switch NodeFault(r.nodeFaults[node].Load()) {
		case Failing:
			return "E", ""
		case Slow:
			time.Sleep(time.Duration(r.slowDelay.Load()))
		case Unresponsive:
			return "", ""
		}
		return "S", "v:" + p.ID
	}
}

// AddMember creates one more member, with its relays, without starting it.
func (r *Rig) AddMember() (*Member, error) {
	i := len(r.members)
	m := &Member{Name: fmt.Sprintf("m%02d", i), Zone: zones[i%2], rig: r, index: i}
	for _, o := range r.members {
		for _, pair := range [][2]*Member{{m, o}, {o, m}} {
			from, to := pair[0], pair[1]
			at, _ := net.ResolveUDPAddr("udp", from.routeTo(to.index))
			dst, _ := net.ResolveUDPAddr("udp", to.fleetAddr())
			relay, err := newUDPRelay(at, dst, r.cfg.Seed*10_007+uint64(from.index)*101+uint64(to.index))
			if err != nil {
				return nil, err
			}
			r.links[[2]string{from.Name, to.Name}] = relay.setFault
			r.closers = append(r.closers, relay.close)
		}
	}
	tcp := func(at, to, name string) error {
		relay, err := newTCPRelay(at, to)
		if err == nil {
			r.links[[2]string{m.Name, name}] = relay.setFault
			r.closers = append(r.closers, relay.close)
		}
		return err
	}
	for j := range r.nodes {
		at := r.relayAddr(1+i, portNode+1000+j)
		if err := tcp(at, r.addr(200+j, portNode), fmt.Sprintf("n%d", j)); err != nil {
			return nil, err
		}
	}
	if err := tcp(r.relayAddr(1+i, portDiscovery), r.addr(250, portDiscovery+i), "discovery"); err != nil {
		return nil, err
	}
	r.members = append(r.members, m)
	r.wg.Add(1)
	go m.pollView()
	if r.cfg.Rate > 0 {
		r.wg.Add(1)
		go m.sendQueries()
	}
	return m, nil
}

// Member returns a member by its name, or nil.
func (r *Rig) Member(name string) *Member {
	for _, m := range r.members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// Members returns all members.
func (r *Rig) Members() []*Member { return r.members }

// Node returns a data node by its index.
func (r *Rig) Node(i int) *standin.Node { return r.nodes[i] }

// SetLinkFault sets the fault of the link between two endpoints, which are members, data nodes (n0, n1, …)
// or "discovery". Links to data nodes and to discovery start at members only. Unknown links are ignored.
func (r *Rig) SetLinkFault(from, to string, f Fault) {
	if set := r.links[[2]string{from, to}]; set != nil {
		set(f)
	}
}

// SetAllLinkFaults sets the fault of all links between members.
func (r *Rig) SetAllLinkFaults(f Fault) {
	for _, a := range r.members {
		for _, b := range r.members {
			r.SetLinkFault(a.Name, b.Name, f)
		}
	}
}

// Close stops everything that the rig has started.
func (r *Rig) Close() {
	select {
	case <-r.stop:
		return
	default:
	}
	close(r.stop)
	for _, m := range r.members {
		m.running.Store(false)
		r.mu.Lock()
		for _, p := range []*Proc{m.proc, m.previous} {
			if p != nil {
				p.Kill()
			}
		}
		r.mu.Unlock()
	}
	r.wg.Wait()
	for _, c := range r.closers {
		c()
	}
}

func (m *Member) fleetAddr() string { return m.rig.addr(1+m.index, portFleet) }
func (m *Member) routeTo(to int) string {
	return m.rig.relayAddr(1+m.index, portFleet+1000+to)
}

// Front returns the address for clients.
func (m *Member) Front() string { return m.rig.addr(1+m.index, portFront) }

// AdminAddr returns the admin address of the current process.
func (m *Member) AdminAddr() string { return m.rig.addr(1+m.index, portAdmin+int(m.adminSlot.Load())) }

// Process returns the current process: during an upgrade, the successor.
func (m *Member) Process() *Proc {
	m.rig.mu.Lock()
	defer m.rig.mu.Unlock()
	return m.proc
}

// path returns the path of one of the member's files.
func (m *Member) path(name string) string { return filepath.Join(m.rig.cfg.Dir, m.Name+"-"+name) }

// LogPath returns the path of the log of the member's processes.
func (m *Member) LogPath() string { return m.path("log") }

// replaceFile replaces a file atomically: a concurrent reader gets the old or the new text, never a mixture
// or a part.
func replaceFile(path, text string) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	if err = cmp.Or(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// writeFiles writes the files that the member reads at start, and returns the environment of its process.
// edit holds replacements in the fleet file: old and new text, alternating.
func (m *Member) writeFiles(edit ...string) (env []string, err error) {
	r := m.rig
	var fleet strings.Builder
	fmt.Fprintf(&fleet, "[fleet]\nname = %q\nzone = %q\nlisten = %q\n", m.Name, m.Zone, m.fleetAddr())
	if r.cfg.Roster {
		var names []string
		for _, o := range r.members[:r.cfg.Members] {
			names = append(names, strconv.Quote(o.Name))
		}
		fmt.Fprintf(&fleet, "roster = [%s]\n", strings.Join(names, ", "))
	} else {
		fmt.Fprintf(&fleet, "most = %d\n", cmp.Or(r.cfg.MaxMembers, 64))
	}
	var join, routes []string
	for _, o := range r.members {
		if o != m {
			routes = append(routes, fmt.Sprintf("%s = %q", o.Name, m.routeTo(o.index)))
			if o.index < 3 {
				join = append(join, fmt.Sprintf("%q", m.routeTo(o.index)))
			}
		}
	}
	fmt.Fprintf(&fleet, "join = [%s]\n", strings.Join(join, ", "))
	if r.cfg.Keys != "" {
		fleet.WriteString("keys = \"fleet.keys\"\n")
		if err := replaceFile(filepath.Join(r.cfg.Dir, "fleet.keys"), r.cfg.Keys); err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(&fleet, "[fleet.route]\n%s\n[fleet.detect]\nperiod_ms = %d\n", strings.Join(routes, "\n"),
		r.cfg.Period.Milliseconds())
	fleet.WriteString(r.cfg.ExtraFleetConfig)
	text := strings.NewReplacer(edit...).Replace(fleet.String())
	if err := replaceFile(m.path("fleet.toml"), text); err != nil {
		return nil, err
	}
	tmp := m.path("tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	conf := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"operator":%q,
		"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`, m.Name, m.Front(),
		r.relayAddr(1+m.index, portDiscovery), m.AdminAddr(), cmp.Or(r.cfg.MemoryMB, defaultMemoryMB),
		cmp.Or(r.cfg.Sockets, defaultSockets), m.knownList(),
		strings.NewReplacer(r.cfg.SettingsEdits...).Replace(SettingsJSON))
	if err := replaceFile(m.path("config.json"), conf); err != nil {
		return nil, err
	}
	// By default, a process built with the race detector sleeps for a second before it exits.
	return []string{"RELAY_CONFIG=" + m.path("config.json"), "TMPDIR=" + tmp, "GOMAXPROCS=2",
		"GORACE=atexit_sleep_ms=0"}, nil
}

// knownList returns the configuration's list of data nodes, as JSON.
func (m *Member) knownList() string {
	if !m.rig.cfg.StaleList {
		return "null"
	}
	return m.rig.discovery.firstList(m.index)
}

// RewriteFiles writes the member's files again, with replacements in the fleet file, for a reload by SIGHUP.
func (m *Member) RewriteFiles(edit ...string) error {
	_, err := m.writeFiles(edit...)
	return err
}

// launch writes the member's files and starts a process with them.
func (m *Member) launch(edit ...string) (*Proc, error) {
	env, err := m.writeFiles(edit...)
	if err != nil {
		return nil, err
	}
	args := []string{"serve", "--fleet", m.path("fleet.toml")}
	if m.rig.cfg.Standalone {
		args = args[:1]
	}
	if m.rig.cfg.SaveState {
		args = append(args, "--state", m.path("tmp"))
	}
	if m.rig.cfg.Faults != nil {
		return StartTraced(m.rig.program, args, env, m.LogPath(), *m.rig.cfg.Faults)
	}
	return Start(m.rig.program, args, env, m.LogPath())
}

// Start starts the member; edit holds replacements in the fleet file.
func (m *Member) Start(edit ...string) error {
	p, err := m.launch(edit...)
	if err != nil {
		return err
	}
	m.rig.mu.Lock()
	m.proc = p
	m.rig.mu.Unlock()
	m.running.Store(true)
	m.record("start")
	return nil
}

func (m *Member) record(what string) {
	m.rig.History.Record(Event{Kind: KindProcess, Subject: m.Name, Detail: what})
}

// Kill kills the member with SIGKILL.
func (m *Member) Kill() {
	m.outages.Add(1)
	m.running.Store(false)
	m.record("kill")
	m.Process().Kill()
}

// Pause stops the member's process with SIGSTOP.
func (m *Member) Pause() {
	m.outages.Add(1)
	m.running.Store(false)
	m.record("stop")
	m.Process().Signal(syscall.SIGSTOP)
}

// Resume continues a paused member with SIGCONT.
func (m *Member) Resume() {
	m.record("cont")
	m.Process().Signal(syscall.SIGCONT)
	m.running.Store(true)
}

// Terminate shuts the member down with SIGTERM and returns its exit status.
func (m *Member) Terminate() int {
	m.record("term")
	p := m.Process()
	p.Signal(syscall.SIGTERM)
	status := p.Wait(15 * time.Second)
	m.outages.Add(1)
	m.running.Store(false)
	m.record(fmt.Sprintf("ended %d", status))
	return status
}

// Reload makes the member reload its files, with SIGHUP.
func (m *Member) Reload() { m.record("hup"); m.Process().Signal(syscall.SIGHUP) }

// waitServing waits until the current process reports that it accepts clients. Its admin endpoint is up
// before that.
func (m *Member) waitServing(timeout time.Duration) bool {
	return waitUntil(timeout, func() bool {
		reply, err := callAdmin(m.AdminAddr(), "GET", "/admin/health", "")
		return err == nil && reply.Status == 200
	})
}

// Upgrade starts a successor process and then terminates the old one. The old process must be serving,
// because only then can the successor take over its sockets.
func (m *Member) Upgrade() error {
	old := m.Process()
	if !m.waitServing(10 * time.Second) {
		return fmt.Errorf("%s is not serving yet", m.Name)
	}
	m.record("upgrade")
	oldAddr := m.AdminAddr()
	m.adminSlot.Store(1 - m.adminSlot.Load())
	p, err := m.launch()
	if err != nil {
		return err
	}
	m.rig.mu.Lock()
	m.proc, m.previous = p, old
	m.rig.mu.Unlock()
	if !m.waitServing(10 * time.Second) {
		return fmt.Errorf("the successor of %s at %s did not start serving", m.Name, oldAddr)
	}
	old.Signal(syscall.SIGTERM)
	status := old.Wait(15 * time.Second)
	m.record(fmt.Sprintf("upgraded %d", status))
	m.rig.mu.Lock()
	m.previous = nil
	m.rig.mu.Unlock()
	if status != 0 {
		return fmt.Errorf("the old process of %s exited with status %d", m.Name, status)
	}
	return nil
}

// waitUntil polls cond until it holds or d has elapsed, and reports whether it holds.
func waitUntil(d time.Duration, cond func() bool) bool {
	for end := time.Now().Add(d); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// callAdmin sends one request to an admin endpoint.
func callAdmin(addr, method, path, body string) (*lnet.Reply, error) {
	c, err := lnet.Dial(addr, pollTimeout, 4<<20)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.Do(method, path, addr, nil, []byte(body), time.Now().Add(pollTimeout))
}

// CallAdmin sends one request to the member's admin endpoint.
func (m *Member) CallAdmin(method, path, body string) (*lnet.Reply, error) {
	return callAdmin(m.AdminAddr(), method, path, body)
}

// View returns the member's last polled view; nil if there is none yet or the member is down.
func (m *Member) View() *View {
	if !m.running.Load() {
		return nil
	}
	return m.view.Load()
}

// Running reports whether the member runs and is not paused.
func (m *Member) Running() bool { return m.running.Load() }

// pollView polls the member's view and records each change.
func (m *Member) pollView() {
	defer m.rig.wg.Done()
	var last string
	for {
		select {
		case <-m.rig.stop:
			return
		case <-time.After(pollInterval):
		}
		outages := m.outages.Load()
		if !m.running.Load() {
			m.view.Store(nil)
			last = ""
			continue
		}
		reply, err := m.CallAdmin("GET", "/admin/fleet", "")
		if err != nil || reply.Status != 200 {
			continue
		}
		v := &View{}
		if json.Unmarshal(reply.Body, v) != nil || outages != m.outages.Load() {
			continue
		}
		m.view.Store(v)
		e := Event{Kind: KindView, Subject: m.Name, Digest: v.Digest, Members: map[string]string{},
			Incarnations: map[string]uint32{}}
		for _, x := range v.Members {
			e.Members[x.Name], e.Incarnations[x.Name] = x.State, x.Incarnation
		}
		if current := fmt.Sprint(v.Digest, e.Members); current != last {
			last = current
			m.rig.History.Record(e)
		}
	}
}

// sendQueries sends queries at the rig's rate over a pool of reused connections, as a client would, and
// records how each ended. The rate is an arrival rate: a slow query does not delay the next one.
func (m *Member) sendQueries() {
	defer m.rig.wg.Done()
	tick := time.NewTicker(time.Duration(float64(time.Second) / m.rig.cfg.Rate))
	defer tick.Stop()
	var senders sync.WaitGroup
	defer senders.Wait()
	idle := make(chan *lnet.Client, 32)
	for {
		select {
		case <-m.rig.stop:
			return
		case <-tick.C:
		}
		v := m.View()
		m.rig.inFlight.Add(1)
		if v == nil || m.rig.noNewQueries.Load() || m.NoQueries.Load() {
			m.rig.inFlight.Add(-1)
			continue
		}
		senders.Add(1)
		go func() {
			defer senders.Done()
			defer m.rig.inFlight.Add(-1)
			m.sendQuery(idle)
		}()
	}
}

// sendQuery sends one query and records how it ended. The query must get exactly one reply, its own, with
// nothing after it.
func (m *Member) sendQuery(idle chan *lnet.Client) {
	// Each member alternates between the classes, and query numbers are unique across members.
	k := m.queriesSent.Add(1)
	n := 2*(k/2*maxMembers+int64(m.index)) + k%2
	id := fmt.Sprintf("q%06d", n)
	class := []string{"rate-check", "exchange-post"}[n%2]
	var c *lnet.Client
	var err error
	reused := true
	outages, begun := m.outages.Load(), time.Now()
	select {
	case c = <-idle:
	default:
		if c, err = lnet.Dial(m.Front(), time.Second, 1<<20); err != nil {
			return // not recorded: the query was never sent
		}
		reused = false
	}
	m.rig.History.Record(Event{Kind: KindQuery, Subject: m.Name, Query: id})
	head := [][2]string{{"X-Call-Id", id}, {"Idempotency-Key", "k" + id},
		{"X-Caller", fmt.Sprint("t", n%tenantCount)}}
	do := func() (*lnet.Reply, error) {
		return c.Do("POST", "/"+class, m.Front(), head,
			[]byte(`{"slices":[{"slice":0,"mass":0.5},{"slice":1,"mass":0.5}],"filter":"c41e77d0"}`),
			time.Now().Add(8*time.Second))
	}
	reply, err := do()
	if err != nil && reused { // closed while it was idle: a client retries once, on a new connection
		c.Close()
		fresh, derr := lnet.Dial(m.Front(), time.Second, 1<<20)
		if derr != nil {
			m.rig.History.Record(Event{Kind: KindAnswer, Subject: m.Name, Query: id,
				Detail: "cut off: nobody listens"})
			return
		}
		c = fresh
		reply, err = do()
	}
	e := Event{Kind: KindAnswer, Subject: m.Name, Query: id,
		TookMS: float64(time.Since(begun).Microseconds()) / 1000}
	switch {
	case err != nil && (outages != m.outages.Load() || !m.running.Load()):
		e.Detail = "cut off with its coordinator"
	case err != nil:
		e.Detail = "none: " + err.Error()
	default:
		e.Status = reply.Status
		if reply.Status == 503 {
			e.RefusalReason = strings.TrimSpace(string(reply.Body))
		}
		want := strings.ReplaceAll(`{"entire":true,"items":[{"slice":0,"body":"v:ID.0"},`+
			`{"slice":1,"body":"v:ID.1"}]}`, "ID", id)
		if got := string(reply.Body); reply.Status == 200 && got != want {
			e.Detail = "another's: " + got
		}
	}
	m.rig.History.Record(e)
	if err == nil && c.Reusable() {
		select {
		case idle <- c:
			return
		default:
		}
	}
	c.Close()
}

// RunningMembers returns the members that run and are not paused.
func (r *Rig) RunningMembers() []*Member {
	return slices.DeleteFunc(slices.Clone(r.members), func(m *Member) bool { return !m.Running() })
}

// Converged reports whether all given members have the same view, in which exactly they are alive and nobody
// is suspect.
func Converged(members []*Member) bool {
	digest := ""
	for _, m := range members {
		v := m.View()
		if v == nil || digest != "" && v.Digest != digest {
			return false
		}
		digest = v.Digest
		alive := 0
		for _, x := range v.Members {
			switch {
			case x.State == "suspect":
				return false
			case x.State == "alive":
				alive++
			}
		}
		if alive != len(members) {
			return false
		}
	}
	return true
}
