package platform

// The watch on discovery. This file makes the calls for the list and decides when; it must never decide
// what a list means.
//
// A change counts as announced 6 s (propagationLimit) after discovery had it and was reachable, whatever
// became of a call. Where the list is pushed, the agent's state counts at once, except for changes that a
// watch misses because it has fallen silent: those count 6 s later. So, with the times below:
//
//	undetectedSilence + limit <= propagationLimit               pushed: 1.2 s; 0.1 s after an outage
//	undetectedSilence + limit <= propagationLimit               polled: 5.5 s
//	balance.MaxListRetryDelay + limit <= propagationLimit       polled, after many failures: 5.5 s
//
// While a call is held up before its request is sent, in its connection's set-up or in a system call, no
// watch is open with an agent that has news. Where that counts at once, another call is made beside it.

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
)

const (
	propagationLimit     = 6 * time.Second // stated on the operators' page on the whole fleet
	watchRetry           = 50 * time.Millisecond
	discoveryDialTimeout = time.Second
	maxListBytes         = 4 << 20
	// Where the list is pushed, an overdue call is not abandoned at once: another one is made beside it, so
	// that the answer of an agent that recovers arrives at once, and that of a slow agent is still received.
	overdueLimit = time.Second // how long after it was due a call is abandoned
	maxCalls     = 12          // in flight in parallel; beyond that the oldest is cancelled
)

// watcher follows discovery.
type watcher struct {
	cfg         *Config
	log         *slog.Logger
	nodes       *Nodes
	post        func(core.Event)
	watching    chan bool
	fetches     chan struct{}
	moves       chan string
	stop        chan struct{}
	gotFullList chan struct{} // closed once discovery has sent the full list
	held        heldList
	saver       *listSaver      // nil where no folder outlasts a process
	linked      chan linkedList // from the other processes of an upgrade
	// forward sends a list to the other processes of an upgrade, but for the one that it came from.
	forward func(cause *link, update *listUpdate)
	// besideOld is set where another process of this coordinator serves, which may have received more than is
	// known here.
	besideOld bool
	linkedAt  time.Time // when another process last told of a newer list
}

// Watch is called by the module to start or stop listening to changes.
func (w *watcher) Watch(on bool) {
	select {
	case w.watching <- on:
	default:
	}
}

// Fetch is called by the module to request the full list.
func (w *watcher) Fetch() {
	select {
	case w.fetches <- struct{}{}:
	default:
	}
}

// moveTo changes discovery's address.
func (w *watcher) moveTo(addr string) {
	select {
	case w.moves <- addr:
	case <-w.stop:
	}
}

// callTimes are the times of one kind of watch.
type callTimes struct {
	wait  time.Duration // how long a call asks discovery to wait for changes
	limit time.Duration // for an answer that is due, dialling included; then the call is overdue
	grace time.Duration // after it was due, before the call is abandoned
	send  time.Duration // for the request to be sent, dialling included; 0: no limit of its own
}

// The times where the agent on this machine receives the list by push, and where each call is work for
// discovery, which takes up to a second. In the second case, what the answer to an abandoned call would
// have reported counts as announced all the same.
var (
	pushTimes = callTimes{wait: time.Second, limit: 100 * time.Millisecond, grace: overdueLimit,
		send: 75 * time.Millisecond}
	pollTimes = callTimes{wait: 2500 * time.Millisecond, limit: 1500 * time.Millisecond,
		grace: 1500 * time.Millisecond}
)

// undetectedSilence returns how long a watch that has fallen silent can pass for a working one.
func (t callTimes) undetectedSilence() time.Duration { return t.wait + t.limit }

// run keeps the list up to date. Each call follows the last answer at once, so that the watch is
// continuous. Calls run in their own goroutines: one that waits or still dials must not delay a move to
// another address.
func (w *watcher) run(watching bool) {
	addr := w.cfg.Discovery
	polling := !watching // by the module, which must be told of failures
	times := pushTimes
	if polling {
		times = pollTimes
	}
	// The full list is requested at the start where that is cheap. Where a call is work for discovery, a
	// watch continues from the list known before the start: otherwise many coordinators that start together
	// would request more entries than discovery can deliver, and none would receive changes. Version 0 is a
	// version like any other; an empty list has no node that could be missing.
	full, requested := watching || w.held.size() == 0 || w.besideOld, false
	failed := 0               // consecutive calls that failed or are overdue
	retried := false          // a polling call that fell silent is repeated once before it counts as failed
	var lastStart time.Time   // start of the last call
	var idleConn *lnet.Client // idle between calls
	var inFlight []*watchCall
	results := make(chan watchResult, 2*maxCalls)
	sent := make(chan *watchCall, 2*maxCalls)
	var retry, overdue <-chan time.Time // back-off after a failure; time-out of the last call
	var unsent <-chan time.Time         // time-out for the last call's request to be sent
	cancelAll := func() {
		for _, call := range inFlight {
			call.cancel()
		}
		inFlight, overdue, unsent = nil, nil, nil
		if idleConn != nil {
			idleConn.Close()
			idleConn = nil
		}
	}
	for addCall := false; ; {
		if (inFlight == nil || addCall) && retry == nil && (watching || requested) {
			requested, addCall = false, false
			target, wait := "/discovery/hosts", time.Duration(0)
			if !full {
				wait = times.wait
				target = fmt.Sprintf("/discovery/hosts?index=%d&wait=%d", w.held.currentVersion(), wait.Milliseconds())
			}
			if len(inFlight) == maxCalls {
				inFlight[0].cancel()
				inFlight = inFlight[1:]
			}
			lastStart = time.Now()
			call := &watchCall{client: idleConn, begun: lastStart}
			idleConn = nil
			inFlight = append(inFlight, call)
			go call.run(addr, target, wait+times.grace, sent, results)
			if times.limit < times.grace {
				overdue = time.After(wait + times.limit)
			}
			if times.send > 0 {
				unsent = time.After(times.send)
			}
		}
		select {
		case watching = <-w.watching:
			if !watching {
				cancelAll()
			}
		case <-w.fetches:
			cancelAll()
			full, requested, retry = true, true, nil
		case <-retry:
			retry = nil
		case <-overdue:
			overdue = nil
			full, addCall = true, true
			if failed++; failed == 1 {
				w.log.Warn("discovery did not answer in time", "address", addr)
			}
		case l := <-w.linked:
			w.applyLinked(l)
		case call := <-sent:
			if len(inFlight) > 0 && call == inFlight[len(inFlight)-1] {
				unsent = nil
			}
		case <-unsent:
			unsent = nil
			full, addCall = true, true
			w.log.Warn("call to discovery was not sent in time", "address", addr, "in_flight", len(inFlight))
		case addr = <-w.moves:
			// The full list from the new address contains whatever a call to the old one would still bring.
			cancelAll()
			failed, full, retry = 0, true, nil
		case <-w.stop:
			cancelAll()
			return
		case r := <-results:
			i := slices.Index(inFlight, r.call)
			if i < 0 { // it was abandoned
				if r.client != nil {
					r.client.Close()
				}
				continue
			}
			if inFlight = slices.Delete(inFlight, i, i+1); len(inFlight) == 0 {
				inFlight, overdue, unsent = nil, nil, nil
			}
			if r.err == nil {
				outdated := w.isOutdated(r)
				changed := !outdated && w.applyList(r.list)
				cancelAll()
				idleConn = r.client
				if failed > 0 {
					w.log.Info("discovery answers again", "address", addr, "failed", failed)
				}
				failed, full, retried, addCall = 0, outdated, false, false
				if changed {
					w.log.Info("list taken in", "version", r.list.Seq, "whole", r.list.Complete, "entries",
						len(r.list.Hosts), "asked", time.Since(lastStart))
				}
				if !changed && time.Since(lastStart) < watchRetry {
					retry = time.After(watchRetry) // discovery does not wait for changes
				}
				continue
			}
			if failed++; failed == 1 {
				w.log.Warn("discovery did not answer", "address", addr, "err", r.err)
			}
			if netErr := (net.Error)(nil); polling && !retried && errors.As(r.err, &netErr) && netErr.Timeout() {
				retried = true
				continue
			}
			retried = false
			if polling {
				watching = false
				w.post(core.ListUpdate{Mode: balance.Failed})
				continue
			}
			full = true // after a missed change the full list is cheap
			if inFlight == nil {
				addCall, retry = false, time.After(watchRetry)
			}
		}
	}
}

// applyList takes in a list from discovery, and reports whether it changes anything.
func (w *watcher) applyList(list *hostList) (changed bool) {
	since, before, _ := w.held.state()
	w.held.apply(list, listOrigin{fromDiscovery, true, time.Now()})
	if !list.Complete && len(list.Hosts) == 0 {
		return false
	}
	mode := balance.Delta
	if list.Complete {
		mode = balance.Full
	}
	w.takeIn(list, mode)
	if list.Complete {
		select {
		case <-w.gotFullList:
		default:
			close(w.gotFullList)
		}
	}
	if !list.Complete || list.Seq != since || !before.confirmed { // otherwise it is the list that was held
		w.passOn(list, since)
	}
	return true
}

// takeIn passes a list to the nodes and then to the core.
func (w *watcher) takeIn(list *hostList, mode balance.ListMode) {
	changes := w.nodes.UpdateHosts(list.Hosts, list.Complete)
	w.post(core.ListUpdate{Mode: mode, Replicas: w.cfg.replicas(list.Hosts), ReceivedAt: time.Now()})
	w.nodes.logChanges(changes)
}

// watchCall is one call to discovery.
type watchCall struct {
	begun     time.Time
	mu        sync.Mutex // guards client, cancelled
	client    *lnet.Client
	cancelled bool
}

// watchResult is the result of a call, with its connection if that can be reused.
type watchResult struct {
	call   *watchCall
	list   *hostList
	client *lnet.Client
	err    error
}

// cancel ends a call whose result is no longer needed, also while it dials.
func (k *watchCall) cancel() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cancelled = true
	if k.client != nil {
		k.client.Close()
	}
}

// run makes the call. It reports it as sent once the request is written, and then its result.
func (k *watchCall) run(addr, target string, limit time.Duration, sent chan<- *watchCall,
	results chan<- watchResult) {
	list, err := k.call(addr, target, limit, func() { sent <- k })
	k.mu.Lock()
	c := k.client
	if k.cancelled || c != nil && (err != nil || !c.Reusable()) {
		if c != nil {
			c.Close()
		}
		c = nil
	}
	k.mu.Unlock()
	results <- watchResult{call: k, list: list, client: c, err: err}
}

func (k *watchCall) call(addr, target string, limit time.Duration, onSent func()) (*hostList, error) {
	deadline := time.Now().Add(limit)
	if k.client == nil {
		c, err := lnet.Dial(addr, min(limit, discoveryDialTimeout), maxListBytes)
		if err != nil {
			return nil, err
		}
		k.mu.Lock()
		k.client = c
		cancelled := k.cancelled
		k.mu.Unlock()
		if cancelled {
			return nil, net.ErrClosed
		}
	}
	if err := k.client.Write("GET", target, addr, nil, nil, deadline); err != nil {
		return nil, err
	}
	onSent()
	reply, err := k.client.Read(deadline)
	if err != nil {
		return nil, err
	}
	if reply.Status != 200 {
		return nil, fmt.Errorf("status %d", reply.Status)
	}
	list := &hostList{}
	return list, json.Unmarshal(reply.Body, list)
}
