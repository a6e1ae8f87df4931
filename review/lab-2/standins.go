package main

// Small stand-ins of discovery, data nodes and clients, by the protocol page.

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
	seq    int
}

type hostList struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery is the agent on the coordinator's machine.
type discovery struct {
	addr    string
	mu      sync.Mutex // guards all below
	seq     int
	hosts   []host
	changed chan struct{}
	silent  chan struct{} // closed when discovery is back; nil: it is not down
}

func newDiscovery() *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &discovery{addr: l.Addr().String(), seq: 41, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", d.serve)
	go func() { _ = http.Serve(l, mux) }()
	return d
}

// list returns the whole list, or what is newer than a version.
func (d *discovery) list(since int) hostList {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := hostList{Seq: d.seq, Whole: since == 0, Hosts: []host{}}
	for _, h := range d.hosts {
		if h.seq > since || since == 0 && h.Health != "terminated" {
			out.Hosts = append(out.Hosts, h)
		}
	}
	return out
}

// set adds or changes a host.
func (d *discovery) set(h host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	h.seq = d.seq
	found := false
	for i := range d.hosts {
		if d.hosts[i].Host == h.Host {
			d.hosts[i], found = h, true
		}
	}
	if !found {
		d.hosts = append(d.hosts, h)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// goDown has the agent be silent until comeBack.
func (d *discovery) goDown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = make(chan struct{})
}

func (d *discovery) comeBack() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silent != nil {
		close(d.silent)
		d.silent = nil
	}
}

func (d *discovery) serve(rw http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	if index > 0 {
		d.mu.Lock()
		newer, changed := d.seq > index, d.changed
		d.mu.Unlock()
		if !newer {
			select {
			case <-changed:
			case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
	}
	for { // while discovery is down the agent is silent
		d.mu.Lock()
		silent := d.silent
		d.mu.Unlock()
		if silent == nil {
			break
		}
		select {
		case <-silent:
		case <-r.Context().Done():
			return
		}
	}
	b, _ := json.Marshal(d.list(index))
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(b)
}

// part is one part as a data node received it.
type part struct {
	id, attributes, text string
	shard                int
	at                   time.Time
	conn                 net.Conn
	write                *sync.Mutex
}

// node is a data node of the old form.
type node struct {
	name, addr string
	w          *world
	listener   net.Listener
	// answer answers a part; it runs on a goroutine of its own.
	answer func(n *node, p part)
	mu     sync.Mutex // guards parts
	parts  []part
}

// value is what a node holds for a part: 16 hex digits, as in the page's example.
func value(shard int, text string) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s", shard, text)
	return fmt.Sprintf("%016x", h.Sum64())
}

// frame returns an answer's frame.
func frame(id, end, report, value string) []byte {
	body := fmt.Sprintf("5%s %s 0 %s\n%s", id, end, report, value)
	return append(binary.LittleEndian.AppendUint32(nil, uint32(len(body))), body...)
}

const report = "qps=1,queue=0"

// serveSoundly answers a part with its value after some work.
func serveSoundly(_ *node, p part) {
	time.Sleep(10 * time.Millisecond)
	p.send(frame(p.id, "S", report, value(p.shard, p.text)))
}

func (p part) send(b []byte) {
	p.write.Lock()
	defer p.write.Unlock()
	_, _ = p.conn.Write(b)
}

func (w *world) newNode(name string, answer func(*node, part)) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	n := &node{name: name, addr: l.Addr().String(), w: w, listener: l, answer: answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n
}

// serve reads a connection's frames.
func (n *node) serve(c net.Conn) {
	defer c.Close()
	in, write := bufio.NewReader(c), &sync.Mutex{}
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		size := binary.LittleEndian.Uint32(head[:])
		if size < 1 || size > 1<<20 {
			return
		}
		b := make([]byte, size)
		if _, err := io.ReadFull(in, b); err != nil {
			return
		}
		switch b[0] {
		case '1':
			for rest := b[1:]; len(rest) > 0; {
				line, after, _ := strings.Cut(string(rest), "\n")
				f := strings.Fields(line)
				if len(f) != 4 {
					return
				}
				length, _ := strconv.Atoi(f[3])
				shard, _ := strconv.Atoi(f[1])
				if length > len(after) {
					return
				}
				p := part{id: f[0], shard: shard, attributes: f[2], text: after[:length], at: time.Now(),
					conn: c, write: write}
				rest = []byte(after[length:])
				n.mu.Lock()
				n.parts = append(n.parts, p)
				n.mu.Unlock()
				n.w.note("%s got part %s %s", n.name, p.id, p.attributes)
				go n.answer(n, p)
			}
		case '2':
			n.w.note("%s got a withdrawal of %s", n.name, b[1:])
		case '3':
			(part{conn: c, write: write}).send([]byte{2, 0, 0, 0, '3', 'S'})
		case '4':
			(part{conn: c, write: write}).send([]byte{2, 0, 0, 0, '4', '-'})
		}
	}
}

// received returns the parts that the node has received.
func (n *node) received() []part {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]part(nil), n.parts...)
}

// listNodes puts two nodes of each of 6 cells on the list, and returns them by cell.
func (w *world) listNodes(d *discovery, answer func(*node, part)) [6][2]*node {
	sites := []string{"praha", "brno", "budejovice"}
	var all [6][2]*node
	for cell := range all {
		for i := range all[cell] {
			n := w.newNode(fmt.Sprintf("s-%d%c", cell, 'a'+i), answer)
			all[cell][i] = n
			d.set(host{Host: n.name, Dial: n.addr, Site: sites[(cell+i)%3], Class: "std-2c", Block: cell,
				Health: "in_service", Share: 1})
		}
	}
	return all
}

// reply is what a client got.
type reply struct {
	status int // 0: none
	body   string
	err    error
	took   time.Duration
}

// request sends one request of a class on a new connection and waits for its reply.
func (w *world) request(addr, class, id, key string, shards []int, filter string,
	budget time.Duration) reply {
	type slice struct {
		Slice int     `json:"slice"`
		Mass  float64 `json:"mass"`
	}
	var slices []slice
	for _, s := range shards {
		slices = append(slices, slice{s, 1 / float64(len(shards))})
	}
	body, _ := json.Marshal(map[string]any{"slices": slices, "filter": filter})
	text := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: %s\r\nX-Budget: %.3f\r\n"+
		"Content-Length: %d\r\n", class, id, budget.Seconds(), len(body))
	if key != "" {
		text += "Idempotency-Key: " + key + "\r\n"
	}
	w.note("client sends %s %s slices %v filter %s", class, id, shards, filter)
	start := time.Now()
	r := roundTrip(addr, text+"\r\n"+string(body), budget+2*time.Second)
	r.took = time.Since(start)
	w.note("client got for %s: %d %.300q %v after %d ms", id, r.status, r.body, r.err, r.took.Milliseconds())
	return r
}

// roundTrip sends a request on a new connection and reads its reply.
func roundTrip(addr, text string, limit time.Duration) (r reply) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, text); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(b), err: err}
}

// get makes a GET request.
func get(addr, path string) reply {
	head := " HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n"
	return roundTrip(addr, "GET "+path+head, 2*time.Second)
}

// answer is the body of a reply with status 200.
type answer struct {
	Entire bool `json:"entire"`
	Items  []struct {
		Slice int    `json:"slice"`
		Body  string `json:"body"`
	} `json:"items"`
}

// awaitUp waits until a coordinator says that it is up.
func (w *world) awaitUp(addr string) {
	waitFor("200 from /up", 30*time.Second, func() bool { return get(addr, "/up").status == 200 })
	w.note("/up answers 200")
}
