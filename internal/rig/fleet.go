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

// SettingsJSON is the settings object of a small deployment on the platform: two cells of one shard each, two
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

// Config is what a rig is made of.
type Config struct {
	Dir              string // for logs and files; the caller's to remove
	Members          int
	Seed             uint64
	Period           time.Duration
	Nodes            int     // data nodes; they hold the two cells in turn
	Rate             float64 // queries a second and member
	Keys             string  // text of the key file; empty: no keys
	ExtraFleetConfig string  // [[limit]] tables of the fleet's file, or others
	Program          string  // path of the program; empty: it is built
	// Answer serves a part at a data node, instead of the rig's own way.
	Answer        func(node int, p standin.Part) (end, value string)
	Standalone    bool     // without the fleet: each by itself
	MaxMembers    int      // members that there may be; 0: 64
	Roster        bool     // the members' names, instead of Most
	SettingsEdits []string // changes of Settings: old and new text in turn
	Out           *History
	// Faults befall the members' system calls from the start of each process on; nil: none. PID is set here.
	Faults *SyscallFaults
}

// mostMembers is more than a rig ever has.
const mostMembers = 64

// callers is how many tenants ask in turn.
const callers = 3

const (
	portFleet = 7946
	portDoor  = 9901
	portFront = 5000
	portNode  = 5000
	portDisco = 8500
	// pollEvery is the time between two looks at a member's view.
	pollEvery = 40 * time.Millisecond
	pollLimit = 400 * time.Millisecond
)

// Rig is a fleet of processes with what stands around them.
type Rig struct {
	cfg     Config
	program string
	net     [2]byte // of 127.a.b.0
	History *History
	mu      sync.Mutex // guards members' processes
	members []*Member
	links   map[[2]string]func(Fault) // by from and to
	closers []func()
	nodes   []*standin.Node
	disco   *discovery
	ill     []atomic.Int32 // of nodes: an Illness
	slowBy  atomic.Int64   // of those that are slow
	stop    chan struct{}
	wait    sync.WaitGroup
	quiet   atomic.Bool  // no new queries
	busy    atomic.Int64 // queries that are being asked, or may yet be
}

// Member is one coordinator.
type Member struct {
	Name, Zone string
	rig        *Rig
	index      int
	proc       *Proc
	old        *Proc        // while another one takes over from it
	twin       atomic.Int32 // which of two doors the process in service has
	up         atomic.Bool
	downs      atomic.Int64 // times that it was killed, stopped or ended
	view       atomic.Pointer[View]
	Mute       atomic.Bool // no queries of its own clients
	asked      atomic.Int64
}

// View is what a member's door says of the fleet.
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

// State is a member's state in a view; empty: it is not there.
func (v *View) State(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// New builds the program and puts up what stands around the members; none is started yet.
func New(cfg Config) (*Rig, error) {
	program, err := cfg.Program, error(nil)
	if program == "" {
		if program, err = Program(); err != nil {
			return nil, err
		}
	}
	if cfg.Out == nil {
		cfg.Out = NewHistory(nil)
	}
	r := &Rig{cfg: cfg, program: program, History: cfg.Out, links: map[[2]string]func(Fault){},
		stop: make(chan struct{})}
	if err := r.findNet(); err != nil {
		return nil, err
	}
	r.ill = make([]atomic.Int32, cfg.Nodes)
	r.slowBy.Store(int64(slowBy))
	for i := range cfg.Nodes {
		n, err := standin.OpenNode(r.host(200+i, portNode), r.answer(i))
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
		if _, err := r.Add(); err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

// findNet takes a part of 127.0.0.0/8 that no other rig has: the first address of it is held by a socket.
func (r *Rig) findNet() error {
	for range 50 {
		r.net = [2]byte{byte(16 + rand.IntN(200)), byte(2 * rand.IntN(127))}
		l, err := net.Listen("tcp", r.host(254, 1999))
		if err == nil {
			r.closers = append(r.closers, func() { _ = l.Close() })
			return nil
		}
	}
	return errors.New("no part of 127.0.0.0/8 is free")
}

// host is an address of the rig; those of relays lie one net further.
func (r *Rig) host(last, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.net[0], r.net[1], last, port)
}

func (r *Rig) relayHost(last, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.net[0], r.net[1]+1, last, port)
}

// Illness is what is wrong with a data node.
type Illness int32

// What may be wrong with a data node.
const (
	Sound   Illness = iota
	Failing         // answers each part with an error
	Slow            // answers each after slowBy
	Deaf            // answers none
)

// slowBy is how long a slow node takes, where the rig does not say otherwise.
const slowBy = 700 * time.Millisecond

// Sicken has a data node be ill from now on, or sound again.
func (r *Rig) Sicken(node int, i Illness) {
	r.History.Note(Event{Kind: KindFault, Who: fmt.Sprintf("n%d", node), What: fmt.Sprint("illness ", i)})
	r.ill[node].Store(int32(i))
}

// answer serves each part with its id, as far as the node is sound.
func (r *Rig) answer(node int) func(p standin.Part) (string, string) {
	name := fmt.Sprintf("n%d", node)
	if r.cfg.Answer != nil {
		return func(p standin.Part) (string, string) { return r.cfg.Answer(node, p) }
	}
	return func(p standin.Part) (string, string) {
		r.History.Note(Event{Kind: KindPart, Who: name, Query: p.ID})
		switch Illness(r.ill[node].Load()) {
		case Failing:
			return "E", ""
		case Slow:
			time.Sleep(time.Duration(r.slowBy.Load()))
		case Deaf:
			return "", ""
		}
		return "S", "v:" + p.ID
	}
}

// Add makes one more member, with its relays; it is not started.
func (r *Rig) Add() (*Member, error) {
	i := len(r.members)
	m := &Member{Name: fmt.Sprintf("m%02d", i), Zone: zones[i%2], rig: r, index: i}
	for _, o := range r.members {
		for _, pair := range [][2]*Member{{m, o}, {o, m}} {
			from, to := pair[0], pair[1]
			at, _ := net.ResolveUDPAddr("udp", from.route(to.index))
			dst, _ := net.ResolveUDPAddr("udp", to.fleetAddr())
			relay, err := newUDPRelay(at, dst, r.cfg.Seed*10_007+uint64(from.index)*101+uint64(to.index))
			if err != nil {
				return nil, err
			}
			r.links[[2]string{from.Name, to.Name}] = relay.set
			r.closers = append(r.closers, relay.close)
		}
	}
	tcp := func(at, to, name string) error {
		relay, err := newTCPRelay(at, to)
		if err == nil {
			r.links[[2]string{m.Name, name}] = relay.set
			r.closers = append(r.closers, relay.close)
		}
		return err
	}
	for j := range r.nodes {
		at := r.relayHost(1+i, portNode+1000+j)
		if err := tcp(at, r.host(200+j, portNode), fmt.Sprintf("n%d", j)); err != nil {
			return nil, err
		}
	}
	if err := tcp(r.relayHost(1+i, portDisco), r.host(250, portDisco+i), "discovery"); err != nil {
		return nil, err
	}
	r.members = append(r.members, m)
	r.wait.Add(1)
	go m.poll()
	if r.cfg.Rate > 0 {
		r.wait.Add(1)
		go m.ask()
	}
	return m, nil
}

// Member is a member by its name.
func (r *Rig) Member(name string) *Member {
	for _, m := range r.members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// Members are all.
func (r *Rig) Members() []*Member { return r.members }

// Node is a data node.
func (r *Rig) Node(i int) *standin.Node { return r.nodes[i] }

// Link puts a fault on the link from one to another; those are members, data nodes (n0, n1, …) or
// discovery, and the links of these come from members only.
func (r *Rig) Link(from, to string, f Fault) {
	if set := r.links[[2]string{from, to}]; set != nil {
		set(f)
	}
}

// SetAllLinkFaults puts a fault on all links between members.
func (r *Rig) SetAllLinkFaults(f Fault) {
	for _, a := range r.members {
		for _, b := range r.members {
			r.Link(a.Name, b.Name, f)
		}
	}
}

// Close ends all that the rig has started.
func (r *Rig) Close() {
	select {
	case <-r.stop:
		return
	default:
	}
	close(r.stop)
	for _, m := range r.members {
		m.up.Store(false)
		r.mu.Lock()
		for _, p := range []*Proc{m.proc, m.old} {
			if p != nil {
				p.Kill()
			}
		}
		r.mu.Unlock()
	}
	r.wait.Wait()
	for _, c := range r.closers {
		c()
	}
}

func (m *Member) fleetAddr() string { return m.rig.host(1+m.index, portFleet) }
func (m *Member) route(to int) string {
	return m.rig.relayHost(1+m.index, portFleet+1000+to)
}

// Front is the address that clients reach.
func (m *Member) Front() string { return m.rig.host(1+m.index, portFront) }

// Door is the address of the operators' door of the process in service.
func (m *Member) Door() string { return m.rig.host(1+m.index, portDoor+int(m.twin.Load())) }

// Process is the process in service.
func (m *Member) Process() *Proc {
	m.rig.mu.Lock()
	defer m.rig.mu.Unlock()
	return m.proc
}

// file is the path of one of the member's files.
func (m *Member) file(name string) string { return filepath.Join(m.rig.cfg.Dir, m.Name+"-"+name) }

// LogPath is where the member's processes write their log.
func (m *Member) LogPath() string { return m.file("log") }

// replace puts a whole file in the place of the one that is there: a process that reads just then has the old
// text or the new one, and never a part of either.
func replace(path, text string) error {
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

// write writes the files that a start of the member reads. edit changes the fleet's file.
func (m *Member) write(edit ...string) (env []string, err error) {
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
			routes = append(routes, fmt.Sprintf("%s = %q", o.Name, m.route(o.index)))
			if o.index < 3 {
				join = append(join, fmt.Sprintf("%q", m.route(o.index)))
			}
		}
	}
	fmt.Fprintf(&fleet, "join = [%s]\n", strings.Join(join, ", "))
	if r.cfg.Keys != "" {
		fleet.WriteString("keys = \"fleet.keys\"\n")
		if err := replace(filepath.Join(r.cfg.Dir, "fleet.keys"), r.cfg.Keys); err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(&fleet, "[fleet.route]\n%s\n[fleet.detect]\nperiod_ms = %d\n", strings.Join(routes, "\n"),
		r.cfg.Period.Milliseconds())
	fleet.WriteString(r.cfg.ExtraFleetConfig)
	text := strings.NewReplacer(edit...).Replace(fleet.String())
	if err := replace(m.file("fleet.toml"), text); err != nil {
		return nil, err
	}
	tmp := m.file("tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	conf := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"operator":%q,
		"limits":{"cores":1,"memory_mb":192,"sockets":400},"settings":%s}`, m.Name, m.Front(),
		r.relayHost(1+m.index, portDisco), m.Door(), strings.NewReplacer(r.cfg.SettingsEdits...).Replace(SettingsJSON))
	if err := replace(m.file("config.json"), conf); err != nil {
		return nil, err
	}
	// The race detector would else have each process sleep for a second at its end, behind its last word.
	return []string{"RELAY_CONFIG=" + m.file("config.json"), "TMPDIR=" + tmp, "GOMAXPROCS=2",
		"GORACE=atexit_sleep_ms=0"}, nil
}

// Rewrite writes the member's files anew, as for SIGHUP.
func (m *Member) Rewrite(edit ...string) error {
	_, err := m.write(edit...)
	return err
}

// launch writes the member's files and starts a process by them.
func (m *Member) launch(edit ...string) (*Proc, error) {
	env, err := m.write(edit...)
	if err != nil {
		return nil, err
	}
	args := []string{"serve", "--fleet", m.file("fleet.toml")}
	if m.rig.cfg.Standalone {
		args = args[:1]
	}
	if m.rig.cfg.Faults != nil {
		return StartTraced(m.rig.program, args, env, m.LogPath(), *m.rig.cfg.Faults)
	}
	return Start(m.rig.program, args, env, m.LogPath())
}

// Start starts the member; edit changes the fleet's file.
func (m *Member) Start(edit ...string) error {
	p, err := m.launch(edit...)
	if err != nil {
		return err
	}
	m.rig.mu.Lock()
	m.proc = p
	m.rig.mu.Unlock()
	m.up.Store(true)
	m.note("start")
	return nil
}

func (m *Member) note(what string) {
	m.rig.History.Note(Event{Kind: KindProcess, Who: m.Name, What: what})
}

// Kill ends the member without a word.
func (m *Member) Kill() {
	m.downs.Add(1)
	m.up.Store(false)
	m.note("kill")
	m.Process().Kill()
}

// Pause and Cont are SIGSTOP and SIGCONT.
func (m *Member) Pause() {
	m.downs.Add(1)
	m.up.Store(false)
	m.note("stop")
	m.Process().Signal(syscall.SIGSTOP)
}

// Resume lets a stopped member go on.
func (m *Member) Resume() {
	m.note("cont")
	m.Process().Signal(syscall.SIGCONT)
	m.up.Store(true)
}

// Term ends the member in order and waits for that; the exit status comes back.
func (m *Member) Term() int {
	m.note("term")
	p := m.Process()
	p.Signal(syscall.SIGTERM)
	status := p.Wait(15 * time.Second)
	m.downs.Add(1)
	m.up.Store(false)
	m.note(fmt.Sprintf("ended %d", status))
	return status
}

// Hup has the member read its files anew.
func (m *Member) Hup() { m.note("hup"); m.Process().Signal(syscall.SIGHUP) }

// serves waits until the process in service says that it takes clients: its door is open before.
func (m *Member) serves(most time.Duration) bool {
	return within(most, func() bool {
		c, err := call(m.Door(), "GET", "/admin/health", "")
		return err == nil && c.Status == 200
	})
}

// Upgrade has a new process take over, and ends the old one in order. Only one that serves can be asked for
// its sockets.
func (m *Member) Upgrade() error {
	old := m.Process()
	if !m.serves(10 * time.Second) {
		return fmt.Errorf("%s does not serve yet", m.Name)
	}
	m.note("upgrade")
	was := m.Door()
	m.twin.Store(1 - m.twin.Load())
	p, err := m.launch()
	if err != nil {
		return err
	}
	m.rig.mu.Lock()
	m.proc, m.old = p, old
	m.rig.mu.Unlock()
	if !m.serves(10 * time.Second) {
		return fmt.Errorf("the successor of %s at %s never served", m.Name, was)
	}
	old.Signal(syscall.SIGTERM)
	status := old.Wait(15 * time.Second)
	m.note(fmt.Sprintf("upgraded %d", status))
	m.rig.mu.Lock()
	m.old = nil
	m.rig.mu.Unlock()
	if status != 0 {
		return fmt.Errorf("the old process of %s ended with %d", m.Name, status)
	}
	return nil
}

func within(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// call makes one call to a door.
func call(addr, method, path, body string) (*lnet.Reply, error) {
	c, err := lnet.Dial(addr, pollLimit, 4<<20)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.Do(method, path, addr, nil, []byte(body), time.Now().Add(pollLimit))
}

// CallAdmin makes one call to the member's door.
func (m *Member) CallAdmin(method, path, body string) (*lnet.Reply, error) {
	return call(m.Door(), method, path, body)
}

// View is what the member's door last said; nil: nothing yet, or the member is down.
func (m *Member) View() *View {
	if !m.up.Load() {
		return nil
	}
	return m.view.Load()
}

// Running tells that the member runs.
func (m *Member) Running() bool { return m.up.Load() }

// poll looks at the member's view, and notes each change.
func (m *Member) poll() {
	defer m.rig.wait.Done()
	var last string
	for {
		select {
		case <-m.rig.stop:
			return
		case <-time.After(pollEvery):
		}
		downs := m.downs.Load()
		if !m.up.Load() {
			m.view.Store(nil)
			last = ""
			continue
		}
		reply, err := m.CallAdmin("GET", "/admin/fleet", "")
		if err != nil || reply.Status != 200 {
			continue
		}
		v := &View{}
		if json.Unmarshal(reply.Body, v) != nil || downs != m.downs.Load() {
			continue
		}
		m.view.Store(v)
		e := Event{Kind: KindView, Who: m.Name, Digest: v.Digest, Members: map[string]string{},
			Incs: map[string]uint32{}}
		for _, x := range v.Members {
			e.Members[x.Name], e.Incs[x.Name] = x.State, x.Incarnation
		}
		if now := fmt.Sprint(v.Digest, e.Members); now != last {
			last = now
			m.rig.History.Note(e)
		}
	}
}

// ask sends queries at the rig's rate, each on the next of a few connections as a client would, and notes how
// each ended. The rate counts intended sends: one that is late does not hold up the next.
func (m *Member) ask() {
	defer m.rig.wait.Done()
	tick := time.NewTicker(time.Duration(float64(time.Second) / m.rig.cfg.Rate))
	defer tick.Stop()
	var out sync.WaitGroup
	defer out.Wait()
	idle := make(chan *lnet.Client, 32)
	for {
		select {
		case <-m.rig.stop:
			return
		case <-tick.C:
		}
		v := m.View()
		m.rig.busy.Add(1)
		if v == nil || m.rig.quiet.Load() || m.Mute.Load() {
			m.rig.busy.Add(-1)
			continue
		}
		out.Add(1)
		go func() {
			defer out.Done()
			defer m.rig.busy.Add(-1)
			m.one(idle)
		}()
	}
}

// one sends one query. Its one final answer has to be its own, and nothing may follow it.
func (m *Member) one(idle chan *lnet.Client) {
	// Each member's queries are of each class in turn, and no two members' have one number.
	k := m.asked.Add(1)
	n := 2*(k/2*mostMembers+int64(m.index)) + k%2
	id := fmt.Sprintf("q%06d", n)
	class := []string{"rate-check", "exchange-post"}[n%2]
	var c *lnet.Client
	var err error
	used := true
	downs, begun := m.downs.Load(), time.Now()
	select {
	case c = <-idle:
	default:
		if c, err = lnet.Dial(m.Front(), time.Second, 1<<20); err != nil {
			return // it was never asked
		}
		used = false
	}
	m.rig.History.Note(Event{Kind: KindQuery, Who: m.Name, Query: id})
	head := [][2]string{{"X-Call-Id", id}, {"Idempotency-Key", "k" + id},
		{"X-Caller", fmt.Sprint("t", n%callers)}}
	do := func() (*lnet.Reply, error) {
		return c.Do("POST", "/"+class, m.Front(), head,
			[]byte(`{"slices":[{"slice":0,"mass":0.5},{"slice":1,"mass":0.5}],"filter":"c41e77d0"}`),
			time.Now().Add(8*time.Second))
	}
	reply, err := do()
	if err != nil && used { // it was closed while nothing was on it: a client asks once more, on a new one
		c.Close()
		fresh, derr := lnet.Dial(m.Front(), time.Second, 1<<20)
		if derr != nil {
			m.rig.History.Note(Event{Kind: KindAnswer, Who: m.Name, Query: id, What: "cut off: nobody listens"})
			return
		}
		c = fresh
		reply, err = do()
	}
	e := Event{Kind: KindAnswer, Who: m.Name, Query: id, Took: float64(time.Since(begun).Microseconds()) / 1000}
	switch {
	case err != nil && (downs != m.downs.Load() || !m.up.Load()):
		e.What = "cut off with its coordinator"
	case err != nil:
		e.What = "none: " + err.Error()
	default:
		e.Status = reply.Status
		if reply.Status == 503 {
			e.Why = strings.TrimSpace(string(reply.Body))
		}
		want := strings.ReplaceAll(`{"entire":true,"items":[{"slice":0,"body":"v:ID.0"},`+
			`{"slice":1,"body":"v:ID.1"}]}`, "ID", id)
		if got := string(reply.Body); reply.Status == 200 && got != want {
			e.What = "another's: " + got
		}
	}
	m.rig.History.Note(e)
	if err == nil && c.Reusable() {
		select {
		case idle <- c:
			return
		default:
		}
	}
	c.Close()
}

// Running are the members that run.
func (r *Rig) Running() []*Member {
	return slices.DeleteFunc(slices.Clone(r.members), func(m *Member) bool { return !m.Running() })
}

// Converged tells that all members given see one view, in which just they are alive, and none in doubt.
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
