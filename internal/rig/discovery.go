package rig

// The stand-in for discovery: one list for all members, each of which reaches the nodes over relays of its
// own and is known by the port that it asks at. A change is told at once to each call that waits.

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

type host struct {
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
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery holds the list and who waits for news of it.
type discovery struct {
	rig     *Rig
	mu      sync.Mutex // guards what follows
	seq     int
	health  []string
	changed []int // the version in which a node last changed
	drains  []time.Time
	waiting map[*waitingCall]struct{}
}

// waitingCall is a watch that has not been answered.
type waitingCall struct {
	member, index int
	exchange      *lnet.Exchange
	limit         *time.Timer
}

// openDiscovery starts the stand-in.
func (r *Rig) openDiscovery() error {
	d := &discovery{rig: r, seq: 1, waiting: map[*waitingCall]struct{}{}, changed: make([]int, len(r.nodes)),
		drains: make([]time.Time, len(r.nodes))}
	for range r.nodes {
		d.health = append(d.health, inService)
	}
	r.disco = d
	for i := range mostMembers {
		l, err := lnet.Listen(r.host(250, portDisco+i), lnet.NewBudget(32, 0), standin.DiscardLogger(),
			func(q *lnet.Request, x *lnet.Exchange) func() { return d.serve(i, q, x) })
		if err != nil {
			return err
		}
		go l.Serve()
		r.closers = append(r.closers, l.StopListening)
	}
	return nil
}

// serve takes one call of a member.
func (d *discovery) serve(member int, q *lnet.Request, x *lnet.Exchange) func() {
	v, _ := url.ParseQuery(q.Query)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !v.Has("index") {
		d.reply(member, -1, x)
		return nil
	}
	index, _ := strconv.Atoi(v.Get("index"))
	if index < d.seq {
		d.reply(member, index, x)
		return nil
	}
	wait, _ := strconv.Atoi(v.Get("wait"))
	call := &waitingCall{member: member, index: index, exchange: x}
	call.limit = time.AfterFunc(time.Duration(wait)*time.Millisecond, func() { d.finish(call) })
	d.waiting[call] = struct{}{}
	return func() { d.forget(call) }
}

// finish answers a call whose wait is over.
func (d *discovery) finish(call *waitingCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, waits := d.waiting[call]; waits {
		delete(d.waiting, call)
		d.reply(call.member, call.index, call.exchange)
	}
}

func (d *discovery) forget(call *waitingCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	call.limit.Stop()
	delete(d.waiting, call)
}

// reply answers with what has changed since a version; since none: with the whole list. The caller holds mu.
func (d *discovery) reply(member, since int, x *lnet.Exchange) {
	list := hostList{Seq: d.seq, Whole: since < 0, Hosts: []host{}}
	for j, health := range d.health {
		if d.changed[j] > since {
			list.Hosts = append(list.Hosts, host{Host: fmt.Sprintf("n%d", j),
				Dial: d.rig.relayHost(1+member, portNode+1000+j), Site: zones[j/2%2], Block: j % 2, Health: health,
				Share: 1})
		}
	}
	b, _ := json.Marshal(list)
	x.Reply(lnet.Response{Status: 200, ContentType: "application/json", Body: b})
}

// change tells of a node's new state.
func (d *discovery) change(node int, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.health[node], d.changed[node], d.drains[node] = health, d.seq, time.Time{}
	if health == terminating {
		d.drains[node] = time.Now()
	}
	for call := range d.waiting {
		call.limit.Stop()
		d.reply(call.member, call.index, call.exchange)
	}
	clear(d.waiting)
}

// Drain has discovery tell that a data node drains, and Restore that it is in service again.
func (r *Rig) Drain(node int) { r.disco.change(node, terminating) }

// Restore has discovery tell that a data node is in service.
func (r *Rig) Restore(node int) { r.disco.change(node, inService) }

// Draining is for how long discovery has told that a node drains; 0: it does not.
func (r *Rig) Draining(node int) time.Duration {
	r.disco.mu.Lock()
	defer r.disco.mu.Unlock()
	if at := r.disco.drains[node]; !at.IsZero() {
		return time.Since(at)
	}
	return 0
}
