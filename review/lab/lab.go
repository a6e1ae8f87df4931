// Package lab holds what the review's cases share: the record, processes of the program started with the
// deploy file's command, and stand-ins of data nodes, discovery and clients, written from the protocol page.
// It uses loopback addresses and the real clock, and ends only processes that it has started.
package lab

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the file in which a case notes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a case's folder.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Note writes a line with the time since the start, in seconds.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Verdict writes a line to the record and to standard output.
func (r *Record) Verdict(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.Note(format, args...)
}

// FreeAddr returns a loopback address whose port is free for TCP and UDP.
func FreeAddr() (string, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		u, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free port")
}

// RunCommand returns the run command of the deploy file.
func RunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("the deploy file has no run command")
	}
	return string(m[1]), nil
}

// Process is one process of the program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// Start starts the run command with further arguments, as the platform does: by /bin/sh -c, from the root.
// Its log goes to a file in dir.
func Start(root, dir, name, args string, env ...string) (*Process, error) {
	run, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, log: log, done: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", strings.TrimSpace(run+" "+args))
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = root, log, log
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Ended reports whether the process has ended within the given time.
func (p *Process) Ended(within time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
	_ = p.log.Close()
}

// WaitFor polls until cond holds, for at most the given time.
func WaitFor(within time.Duration, cond func() bool) bool {
	for end := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		if cond() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// Status makes a GET on a connection of its own and returns the status, 0 where there is no answer.
func Status(url string) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Value is what a sound data node answers for a part: it depends on the shard and the text alone.
func Value(shard int, text string) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%s", shard, text)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Part is an attempt as a data node received it.
type Part struct {
	ID, Attrs, Text string
	Shard           int
	Node            string
	At              time.Time // when its first byte had come
}

// Node is a stand-in of a data node.
type Node struct {
	Name, Addr, Site string
	Block            int
	Record           *Record
	// Serve works on an attempt, for as long as that takes, and returns how it ends: S, E or B.
	Serve    func(p Part) (end string)
	listener net.Listener
	mu       sync.Mutex
	parts    []Part
}

// Open starts the node on a free port.
func (n *Node) Open() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.listener, n.Addr = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return nil
}

// Parts returns the attempts received so far.
func (n *Node) Parts() []Part {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Part(nil), n.parts...)
}

func (n *Node) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	var writing sync.Mutex
	write := func(body string) {
		writing.Lock()
		defer writing.Unlock()
		b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
		_, _ = c.Write(append(b, body...))
	}
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		b := make([]byte, binary.LittleEndian.Uint32(head[:]))
		if _, err := io.ReadFull(in, b); err != nil {
			return
		}
		switch rest := string(b[1:]); b[0] {
		case '1':
			for rest != "" {
				line, more, _ := strings.Cut(rest, "\n")
				p := Part{Node: n.Name, At: at}
				size := 0
				if _, err := fmt.Sscanf(line, "%s %d %s %d", &p.ID, &p.Shard, &p.Attrs, &size); err != nil {
					write("Xbad line")
					return
				}
				p.Text, rest = more[:size], more[size:]
				n.mu.Lock()
				n.parts = append(n.parts, p)
				n.mu.Unlock()
				go func() {
					n.Record.Note("%s got %s shard %d %s", n.Name, p.ID, p.Shard, p.Attrs)
					end := n.Serve(p)
					n.Record.Note("%s ran %s: %s", n.Name, p.ID, end)
					value := ""
					if end == "S" {
						value = Value(p.Shard, p.Text)
					}
					write(fmt.Sprintf("5%s %s 1 qps=5,queue=0\n%s", p.ID, end, value))
				}()
			}
		case '3':
			write("3S")
		case '4':
			write("4qps=5,queue=0")
		}
	}
}

// Host is an entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// List is a list in discovery's form.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// HostOf returns the entry of a node that is in service.
func HostOf(n *Node) Host {
	return Host{Host: n.Name, Dial: n.Addr, Site: n.Site, Class: "std-2c", Block: n.Block,
		Health: "in_service", Share: 1}
}

// Discovery is a stand-in of the agent on the coordinator's machine.
type Discovery struct {
	Addr    string
	mu      sync.Mutex
	list    List
	silent  bool
	changed chan struct{} // closed at each change
}

// NewDiscovery starts an agent that has a list.
func NewDiscovery(list List) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), list: list, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

// Update changes the agent under its lock: what it has, and whether it is silent.
func (d *Discovery) Update(f func(list *List, silent *bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.list, &d.silent)
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers with the whole list, or, to a watch, as soon as there is something newer. While it is
// silent it answers nobody.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	over := false
	for {
		d.mu.Lock()
		list, silent, changed := d.list, d.silent, d.changed
		list.Hosts = append([]Host(nil), list.Hosts...)
		d.mu.Unlock()
		if !silent && (!watch || list.Seq > index || over) {
			if watch && list.Seq <= index {
				list.Whole, list.Hosts = false, []Host{}
			}
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-changed:
		case <-end:
			over, end = true, nil
		case <-r.Context().Done():
			return
		}
	}
}

// Answer is what a client was answered. Status is 0 where the connection ended without an answer.
type Answer struct {
	Status int
	Body   string
	At     time.Time
}

// Query is a client's request.
type Query struct {
	ID, Class, Key, Filter string
	Budget                 time.Duration
	Shards                 []int
}

// Send sends a query on a connection of its own and waits for the answer, for its time and a second more.
func Send(addr string, q Query) Answer {
	var slices []map[string]any
	for _, s := range q.Shards {
		slices = append(slices, map[string]any{"slice": s, "mass": 1 / float64(len(q.Shards))})
	}
	body, _ := json.Marshal(map[string]any{"slices": slices, "filter": q.Filter})
	req, err := http.NewRequest("POST", "http://"+addr+"/"+q.Class, strings.NewReader(string(body)))
	if err != nil {
		return Answer{At: time.Now()}
	}
	req.Host = "origin.svc"
	req.Header.Set("X-Call-Id", q.ID)
	req.Header.Set("X-Budget", fmt.Sprintf("%.3f", q.Budget.Seconds()))
	if q.Key != "" {
		req.Header.Set("Idempotency-Key", q.Key)
	}
	c := http.Client{Timeout: q.Budget + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return Answer{At: time.Now()}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{At: time.Now()}
	}
	return Answer{Status: resp.StatusCode, Body: string(b), At: time.Now()}
}

// Settings returns settings of a small deployment of vltava-ledger: classes, times, limits and rules are
// those of its site file and of the example of the wire page.
func Settings(cells, shards int, exchangePost string) map[string]any {
	lane := func(name string, aim, deadline, window int, effect string, worth, late float64) map[string]any {
		return map[string]any{"name": name, "goalTimeUs": aim, "hardLimitUs": deadline, "windowUs": window,
			"idempotency": effect, "keyScope": "all", "worth": worth, "lateWorth": late, "streamed": false}
	}
	ones := func(v float64) []any { return []any{v, v, v} }
	return map[string]any{
		"azs": []any{"praha", "brno", "budejovice"}, "zone": 0, "me": 0, "peersTotal": 3, "layer": 0,
		"quantumUs": 5000, "membershipMode": "automatic", "domainType": "fanout", "worthBy": "request",
		"weights": "rough", "overShareWorth": 0.1, "models": []any{"std-2c", "slow-2c"}, "tenants": []any{},
		"callers": map[string]any{"marksRetry": true},
		"bounds": map[string]any{"cancel": true, "connIdleUs": 15000000, "cpuUsPerRequest": 0.0,
			"cpuUsPerS": 419804, "dialTimeoutUs": 250000, "maxOpen": 150, "maxRetryAfterUs": 2000000,
			"peers": true, "probes": true, "retryAfter": true, "secondCopies": true, "sendCap": 4,
			"streamsPerConn": 32},
		"costs": map[string]any{"crossZone": 0.009, "lateFail": 0.03, "peer": 0.01, "probe": 0.01,
			"waste": 0.045},
		"extra": map[string]any{"bundleMax": 1, "callCostUs": 0, "classNeed": ones(1), "followUp": ones(0),
			"leastShare": ones(1), "partialEarns": ones(0.9), "places": cells, "reach": 1, "slices": shards,
			"warmKeys": false},
		"lanes": []any{lane("day-report", 3000000, 10000000, 5000000, "read_like", 5, 0),
			lane("rate-check", 1500000, 4000000, 5000000, "read_like", 1, 0.3),
			lane("exchange-post", 1500000, 3000000, 3000000, exchangePost, 1, 0)},
		"reporting": map[string]any{"columns": []any{"rps", "waiting"}, "via": "answers"},
		"rules": map[string]any{"answerSlackUs": 20000, "coldFrom": 0.18, "drainGraceUs": 500000,
			"fallMultiple": 2.5, "fallUs": 2000000, "mustAskInUs": 10000000, "rampTimeUs": 17000000},
	}
}

// Coordinator describes how one coordinator is started.
type Coordinator struct {
	Listen, Operator, Discovery, PeerListen string
	Peers                                   []string
	Known                                   List
	Settings                                map[string]any
	ConfigPath, TempDir                     string
}

// WriteConfig writes the configuration file, and puts it into its place at once.
func (c *Coordinator) WriteConfig() error {
	b, err := json.MarshalIndent(map[string]any{"name": "n0", "listen": c.Listen, "discovery": c.Discovery,
		"operator": c.Operator, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": c.PeerListen, "peers": c.Peers, "known": c.Known, "settings": c.Settings}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.ConfigPath+".new", b, 0o644); err != nil {
		return err
	}
	return os.Rename(c.ConfigPath+".new", c.ConfigPath)
}

// Env returns the variables that a coordinator is started with.
func (c *Coordinator) Env() []string {
	return []string{"RELAY_NAME=n0", "RELAY_LISTEN=" + c.Listen, "RELAY_DISCOVERY=" + c.Discovery,
		"RELAY_OPERATOR=" + c.Operator, "RELAY_CONFIG=" + c.ConfigPath, "TMPDIR=" + c.TempDir}
}

// NewCoordinator chooses addresses and folders for a coordinator of three, the others of which are not there.
func NewCoordinator(dir, discovery string, settings map[string]any) (*Coordinator, error) {
	c := &Coordinator{Discovery: discovery, Settings: settings, ConfigPath: filepath.Join(dir, "config.json"),
		TempDir: filepath.Join(dir, "tmp")}
	if err := os.MkdirAll(c.TempDir, 0o755); err != nil {
		return nil, err
	}
	for _, a := range []*string{&c.Listen, &c.Operator, &c.PeerListen} {
		var err error
		if *a, err = FreeAddr(); err != nil {
			return nil, err
		}
	}
	c.Peers = []string{c.PeerListen}
	for len(c.Peers) < 3 {
		a, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		c.Peers = append(c.Peers, a)
	}
	return c, nil
}

// Stats are some of the figures that a coordinator shows its operators.
type Stats struct {
	OK       map[string]int `json:"ok"`
	Shed     map[string]int `json:"shed"`
	Errors   map[string]int `json:"errors"`
	Tries    int            `json:"tries"`
	Applied  int            `json:"config_applied"`
	Rejected int            `json:"config_rejected"`
}

// Figures fetches a coordinator's figures.
func Figures(operator string) (f Stats, err error) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + operator + "/admin/stats")
	if err != nil {
		return f, err
	}
	defer func() { _ = resp.Body.Close() }()
	return f, json.NewDecoder(resp.Body).Decode(&f)
}
