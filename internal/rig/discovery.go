package rig

// The stand-in for discovery. All members get the same list, except that each reaches the nodes through its
// own relays; a member is identified by the port that it connects to. A change answers all waiting watches at
// once.

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	lnet "lapislever/internal/net"
	"lapislever/internal/standin"
)

// The states of a data node in discovery's list.
const (
	inService   = "in_service"
	terminating = "terminating"
)

var zones = [2]string{"praha", "brno"}

type hostRecord struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

type hostList struct {
	Seq   int          `json:"seq"`
	Whole bool         `json:"whole"`
	Hosts []hostRecord `json:"hosts"`
}

// discovery holds the list and the watches that wait for a change of it.
type discovery struct {
	rig           *Rig
	mu            sync.Mutex // guards the fields below
	seq           int
	health        []string
	changedSeq    []int // sequence number of each node's last change
	drainingSince []time.Time
	watches       map[*watch]struct{}
	silent        bool                // nothing is answered
	unanswered    map[*watch]struct{} // calls made or due while it was silent
}

// watch is a long-poll request that has not been answered.
type watch struct {
	member, index int
	exchange      *lnet.Exchange
	timer         *time.Timer
}

// openDiscovery starts the stand-in, with one listener per possible member.
func (r *Rig) openDiscovery() error {
	d := &discovery{rig: r, seq: 1, watches: map[*watch]struct{}{}, changedSeq: make([]int, len(r.nodes)),
		drainingSince: make([]time.Time, len(r.nodes)), unanswered: map[*watch]struct{}{}}
	for range r.nodes {
		d.health = append(d.health, inService)
	}
	r.discovery = d
	for i := range maxMembers {
		l, err := lnet.Listen(r.addr(250, portDiscovery+i), lnet.NewBudget(32, 0), standin.DiscardLogger(),
			func(q *lnet.Request, x *lnet.Exchange) func() { return d.serve(i, q, x) })
		if err != nil {
			return err
		}
		go l.Serve()
		r.closers = append(r.closers, l.StopListening)
	}
	return nil
}

// serve handles one request of a member.
func (d *discovery) serve(member int, q *lnet.Request, x *lnet.Exchange) func() {
	v, _ := url.ParseQuery(q.Query)
	d.mu.Lock()
	defer d.mu.Unlock()
	index := -1
	if v.Has("index") {
		index, _ = strconv.Atoi(v.Get("index"))
	}
	w := &watch{member: member, index: index, exchange: x}
	if d.silent {
		d.unanswered[w] = struct{}{}
		return func() { d.cancel(w) }
	}
	if index < d.seq {
		d.reply(member, index, x)
		return nil
	}
	wait, _ := strconv.Atoi(v.Get("wait"))
	w.timer = time.AfterFunc(time.Duration(wait)*time.Millisecond, func() { d.expire(w) })
	d.watches[w] = struct{}{}
	return func() { d.cancel(w) }
}

// expire answers a watch whose wait has elapsed.
func (d *discovery) expire(w *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, waiting := d.watches[w]; !waiting {
		return
	}
	delete(d.watches, w)
	if d.silent {
		d.unanswered[w] = struct{}{}
		return
	}
	d.reply(w.member, w.index, w.exchange)
}

// cancel removes a watch whose client has disconnected.
func (d *discovery) cancel(w *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	delete(d.watches, w)
	delete(d.unanswered, w)
}

// reply answers with the changes since a sequence number, or with the full list if since is negative. The
// caller holds mu.
func (d *discovery) reply(member, since int, x *lnet.Exchange) {
	list := hostList{Seq: d.seq, Whole: since < 0, Hosts: []hostRecord{}}
	for j, health := range d.health {
		if d.changedSeq[j] > since {
			list.Hosts = append(list.Hosts, d.record(member, j, health))
		}
	}
	b, _ := json.Marshal(list)
	x.Reply(lnet.Response{Status: 200, ContentType: "application/json", Body: b})
}

// record returns a node's entry in the list of a member.
func (d *discovery) record(member, node int, health string) hostRecord {
	return hostRecord{Host: fmt.Sprintf("n%d", node), Dial: d.rig.relayAddr(1+member, portNode+1000+node),
		Site: zones[node/2%2], Block: node % 2, Health: health, Share: 1}
}

// firstList returns the list before any change, as JSON.
func (d *discovery) firstList(member int) string {
	list := hostList{Seq: 1, Whole: true}
	for j := range d.health {
		list.Hosts = append(list.Hosts, d.record(member, j, inService))
	}
	b, _ := json.Marshal(list)
	return string(b)
}

// SilenceDiscovery makes discovery's agents answer nothing until AwakenDiscovery. Nodes must not change state
// meanwhile.
func (r *Rig) SilenceDiscovery() {
	r.discovery.mu.Lock()
	defer r.discovery.mu.Unlock()
	r.discovery.silent = true
}

// AwakenDiscovery makes the agents answer again, also the calls that came meanwhile.
func (r *Rig) AwakenDiscovery() {
	d := r.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = false
	for w := range d.unanswered {
		d.reply(w.member, w.index, w.exchange)
	}
	clear(d.unanswered)
}

// setHealth sets a node's state and answers all waiting watches.
func (d *discovery) setHealth(node int, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.health[node], d.changedSeq[node], d.drainingSince[node] = health, d.seq, time.Time{}
	if health == terminating {
		d.drainingSince[node] = time.Now()
	}
	for w := range d.watches {
		w.timer.Stop()
		d.reply(w.member, w.index, w.exchange)
	}
	clear(d.watches)
}

// Drain makes discovery announce a data node as terminating.
func (r *Rig) Drain(node int) { r.discovery.setHealth(node, terminating) }

// Restore makes discovery announce a data node as in service.
func (r *Rig) Restore(node int) { r.discovery.setHealth(node, inService) }

// DrainingFor returns how long ago discovery announced the node as terminating; 0 if it is in service.
func (r *Rig) DrainingFor(node int) time.Duration {
	r.discovery.mu.Lock()
	defer r.discovery.mu.Unlock()
	if since := r.discovery.drainingSince[node]; !since.IsZero() {
		return time.Since(since)
	}
	return 0
}
