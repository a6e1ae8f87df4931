package platform

// The upgrade: a new process takes over from one that still serves, over a Unix socket in the platform's
// temporary directory (link.go). This file defines what each of the two does, and how they share descriptors
// and memory in the meantime. It must never hold a query's state or keep a process from serving: failures are
// logged, and the coordinator starts or continues without the takeover.

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/fleet"
	lnet "lapislever/internal/net"
)

const (
	shareInterval     = 100 * time.Millisecond // between looks at what the old process still holds
	listTimeout       = 2 * time.Second        // for discovery's list, before a successor serves without it
	minOwnShare       = 8                      // descriptors that each process may always hold
	minRefusalSockets = 4                      // for clients that are refused, in each of the two processes
	minSockets        = 20 + minRefusalSockets // of each process, apart from clients, nodes and operators
	heapTenths        = 6                      // tenths of the memory limit that the heap may use
)

// upgrade handles the takeover from a predecessor and the handover to a successor.
type upgrade struct {
	k            *Coordinator
	socketPath   string
	budget       *lnet.Budget
	fullBudget   int                  // descriptors for clients and nodes while there is one process
	fleetState   chan *fleet.Handover // receives the predecessor's state in the fleet; nil: none to take over
	acknowledged chan struct{}        // receives when the predecessor knows of this process

	names   *nameClaims
	limitMu sync.Mutex // serializes applyLimits, so that the last computed limits hold
	rulesMu sync.Mutex // serializes sendRules

	mu              sync.Mutex // guards all below
	listener        *net.UnixListener
	predecessor     *link // set while this process takes over
	granted         int   // descriptors that the predecessor grants to this process and its successors
	successor       *link // set while another process takes over from this one
	ownShare        int   // descriptors that the successor must not use
	successorServes bool
	serves          bool // this process has told its predecessor that it serves
	closed          bool
}

// sharedBudget returns how many descriptors two processes may hold together for clients and nodes.
func (u *upgrade) sharedBudget() int {
	return max(4*minOwnShare, u.k.cfg.Limits.Sockets-2*(minSockets+u.k.adminSockets()+u.k.cfg.fleetSockets()))
}

// available returns how many descriptors this process and its successor may hold together: what the
// predecessor grants them while it exists. The caller holds mu.
func (u *upgrade) available() int {
	if u.predecessor != nil {
		return u.granted
	}
	return u.sharedBudget()
}

// applyLimits bounds this process's descriptors, depending on which other processes exist. While others
// exist it also halves the process's memory limit and its share of the load on cold nodes.
func (u *upgrade) applyLimits() {
	u.limitMu.Lock()
	defer u.limitMu.Unlock()
	u.mu.Lock()
	sockets, alone := u.fullBudget, u.predecessor == nil && u.successor == nil
	if !alone {
		sockets = u.available()
	}
	if u.successor != nil {
		sockets = min(sockets, u.ownShare)
	}
	u.mu.Unlock()
	processes, refusalSockets := int64(1), lnet.MaxOverflow
	if !alone {
		processes, refusalSockets = 2, minRefusalSockets
	}
	u.budget.SetLimits(sockets, sockets/nodeSocketShare, refusalSockets)
	u.k.cfg.limitClientMemory(u.budget, processes)
	debug.SetMemoryLimit(u.k.cfg.heapLimit(processes))
	u.k.setSharing(!alone)
}

// listen creates the socket that successors connect to. It replaces an existing one, as the last process
// that serves is the one to ask. It returns nil once this process has ended, or where the socket cannot be
// created.
func (u *upgrade) listen() *net.UnixListener {
	u.mu.Lock() // nothing is created after close
	defer u.mu.Unlock()
	if u.socketPath == "" || u.closed {
		return nil
	}
	temp := fmt.Sprintf("%s.%d", u.socketPath, os.Getpid())
	_ = os.Remove(temp)
	l, err := listenUnix(temp)
	if err == nil {
		l.SetUnlinkOnClose(false)
		if err = os.Rename(temp, u.socketPath); err != nil {
			_ = l.Close()
		}
	}
	if err != nil {
		_ = os.Remove(temp)
		u.k.log.Info("upgrade: the socket could not be created: an upgrade will interrupt service", "err", err)
		return nil
	}
	u.listener = l
	return l
}

// acceptSuccessors lets a successor ask for the sockets.
func (u *upgrade) acceptSuccessors() {
	l := u.listen()
	if l == nil {
		return
	}
	for {
		c, err := l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, for example: a temporary failure
			u.k.log.Warn("upgrade: a successor's connection could not be accepted", "err", err)
			time.Sleep(shareInterval)
			continue
		}
		u.handOver(newLink(c, u.k.log))
	}
}

// close ends this process's part in upgrades.
func (u *upgrade) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	if u.listener != nil {
		_ = u.listener.Close()
	}
	for _, l := range []*link{u.predecessor, u.successor} {
		if l != nil {
			l.close()
		}
	}
}

// handOver serves one successor until either process ends.
func (u *upgrade) handOver(l *link) {
	defer l.close()
	_ = l.conn.SetReadDeadline(time.Now().Add(linkTimeout))
	msg, err := l.readMessage()
	if err != nil || msg.Listen != u.k.cfg.Listen || msg.Peers != u.k.cfg.PeerListen {
		u.k.log.Warn("upgrade: the process that asks for the sockets is not a successor", "listen", msg.Listen,
			"err", err)
		return
	}
	_ = l.conn.SetReadDeadline(time.Time{})
	u.k.setLinkedRules(l, msg.Rules)
	defer u.k.endLinkedRules(l)
	if err := u.sendHello(l); err != nil {
		u.k.log.Warn("upgrade: the sockets could not be sent", "err", err)
		u.mu.Lock()
		u.successor = nil
		u.mu.Unlock()
		u.applyLimits()
		return
	}
	u.k.log.Info("upgrade: a successor takes over", "link_version", msg.Version)
	go l.writeLoop()
	go u.shareSockets(l)
	l.readLoop(func(msg linkMessage) {
		if msg.Ready {
			u.mu.Lock()
			u.successorServes = true
			u.mu.Unlock()
			u.k.log.Info("upgrade: the successor serves")
			l.send(linkMessage{Acknowledged: true})
			if u.k.fleet != nil { // the successor is the fleet's member from now on
				l.send(linkMessage{Fleet: u.k.fleet.HandOver()})
			}
		}
		u.applyRules(l, msg)
		u.applyList(l, msg)
		u.applyCordon(l, msg)
		u.applyNames(l, msg)
	})
	l.close()
	u.mu.Lock()
	u.successor, u.successorServes = nil, false
	reopen := !u.closed
	if reopen {
		_ = u.listener.Close()
	}
	u.mu.Unlock()
	if reopen { // this process is the one to ask again
		u.k.log.Warn("upgrade: the successor is gone")
		u.applyLimits()
		if u.k.fleet != nil {
			u.k.fleet.Reclaim()
		}
		u.k.watcher.saver.wakeUp()
		go u.acceptSuccessors()
	}
}

// shareSockets gives the successor the descriptors that this process no longer holds while it shuts down,
// and the successor's share of what the predecessor releases.
func (u *upgrade) shareSockets(l *link) {
	tick := time.NewTicker(shareInterval)
	defer tick.Stop()
	for sent := 0; ; {
		select {
		case <-l.closed:
			return
		case <-tick.C:
		}
		u.mu.Lock()
		ownShare := u.available() / 2
		if u.k.shuttingDown.Load() {
			ownShare = min(u.ownShare, u.budget.InUse()+minOwnShare)
		}
		changed := ownShare != u.ownShare
		u.ownShare = ownShare
		grant := u.successorShare()
		u.mu.Unlock()
		if changed {
			u.applyLimits()
		}
		if grant != sent {
			sent = grant
			l.send(linkMessage{MaxSockets: grant})
		}
	}
}

// successorShare returns how many descriptors the successor may hold: those that this process neither
// holds nor may hold. The caller holds mu.
func (u *upgrade) successorShare() int {
	return max(minOwnShare, u.available()-max(u.ownShare, u.budget.InUse()))
}

// sendHello makes room for a successor and sends it the hello with the sockets. The sockets' modes don't
// change, as both processes poll them. The successor is registered before the core is asked for the
// cordons, and before the rules and the list are read: otherwise a call, a reload or a change of the list
// between the two steps would reach neither. It is forwarded behind the hello.
func (u *upgrade) sendHello(l *link) error {
	u.mu.Lock()
	u.successor, u.ownShare = l, u.available()/2
	ownShare := u.ownShare
	u.mu.Unlock()
	u.applyLimits()
	for u.budget.InUse() > ownShare && u.k.server.EvictStalled() {
	}
	state, ok := u.k.core.HandoverState(linkTimeout / 2)
	if !ok {
		return errors.New("the core is busy")
	}
	u.mu.Lock()
	grant := u.successorShare()
	u.mu.Unlock()
	hello := linkMessage{Version: linkVersion, Cordons: state.Cordons, FleetCordons: state.FleetCordons,
		RestoredAt: state.RestoredAt, Memory: state.Memory, Clock: state.Clock, MaxSockets: grant,
		Rules: u.k.ruleMessages(l), OwnsNames: true, Held: state.HeldNames, List: u.k.watcher.handOverList()}
	sockets := []any{u.k.server.Listener()}
	hello.Sockets = []string{"listen"}
	if u.k.peers != nil {
		sockets, hello.Sockets = append(sockets, u.k.peers.conn), append(hello.Sockets, "peers")
	}
	if u.k.fleet != nil {
		sockets, hello.Sockets = append(sockets, u.k.fleet.Conn()), append(hello.Sockets, "fleet")
	}
	return withFDs(sockets, nil, func(fds []int) error { return l.writeHello(hello, fds...) })
}

// followPredecessor reads the predecessor's messages after its hello, until it is gone.
func (u *upgrade) followPredecessor(received *receivedSockets) {
	u.mu.Lock()
	u.predecessor, u.granted = received.link, received.hello.MaxSockets
	u.mu.Unlock()
	u.applyLimits()
	if received.hello.OwnsNames {
		u.names.setOwner(received.link)
	}
	go received.link.writeLoop()
	go func() {
		received.link.readLoop(func(msg linkMessage) {
			if msg.MaxSockets > 0 {
				u.mu.Lock()
				u.granted = msg.MaxSockets
				u.mu.Unlock()
				u.applyLimits()
			}
			if msg.Acknowledged {
				select {
				case u.acknowledged <- struct{}{}:
				default:
				}
			}
			if msg.Fleet != nil && u.fleetState != nil {
				select {
				case u.fleetState <- msg.Fleet:
				default:
				}
			}
			u.applyRules(received.link, msg)
			u.applyList(received.link, msg)
			u.applyCordon(received.link, msg)
			u.applyNames(received.link, msg)
		})
		received.link.close()
		u.names.ownerGone()
		u.mu.Lock()
		u.predecessor = nil
		u.mu.Unlock()
		u.k.endLinkedRules(received.link)
		u.applyLimits()
		u.k.log.Info("upgrade: the old process is gone")
		if u.k.fleet != nil {
			u.k.fleet.PredecessorGone()
		}
	}()
}

// announceReady tells the predecessor that this process is about to serve, and takes its place on the
// upgrade socket. It returns once the predecessor has acknowledged: whoever sees this process ready may
// stop the predecessor at once, and its shutdown depends on knowing the successor. A predecessor of an
// older version does not acknowledge; it is waited for up to linkTimeout.
func (u *upgrade) announceReady() {
	u.mu.Lock()
	predecessor := u.predecessor
	u.mu.Unlock()
	if predecessor != nil {
		predecessor.send(linkMessage{Ready: true})
		select {
		case <-u.acknowledged:
		case <-predecessor.closed:
		case <-time.After(linkTimeout):
			u.k.log.Warn("upgrade: the old process did not acknowledge this one in time")
		case <-u.k.stop:
		}
	}
	u.mu.Lock()
	u.serves = true
	u.mu.Unlock()
	u.k.watcher.saver.wakeUp()
	go u.acceptSuccessors()
}

// ownsState reports whether this is the last process of the coordinator that serves: the one that keeps the
// coordinator's state on disk.
func (u *upgrade) ownsState() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.serves && !u.successorServes
}

// applyRules takes in the rules that the process at a link states, if the message has any.
func (u *upgrade) applyRules(from *link, msg linkMessage) {
	if len(msg.Rules) > 0 {
		u.k.setLinkedRules(from, msg.Rules)
	}
}

// applyCordon applies an operator's call that the process at a link received, and passes it on: there may be
// a third one.
func (u *upgrade) applyCordon(from *link, msg linkMessage) {
	if c := msg.Cordon; c != nil {
		// The call's time is by the other process's clock, and the wall clock may have been stepped. Now is as
		// good.
		u.k.core.Post(core.Cordon{Server: c.Server, Cordoned: c.Cordoned, Source: c.Source, AllowUnlisted: true})
		u.sendCordon(from, c)
	}
}

// forwardCordon sends an operator's call, or a fleet-wide cordon, to the other processes if there are any.
func (u *upgrade) forwardCordon(id balance.ReplicaID, source core.CordonSource, cordoned bool) {
	u.sendCordon(nil, &cordonMessage{Server: id, Cordoned: cordoned, Source: source, At: time.Now().UnixMicro()})
}

// sendCordon sends a call to the linked processes, but for the one that it came from.
func (u *upgrade) sendCordon(cause *link, call *cordonMessage) {
	for _, l := range u.linksBut(cause) {
		l.send(linkMessage{Cordon: call})
	}
}

// linksBut returns the links to the predecessor and the successor that exist, without the given one.
func (u *upgrade) linksBut(excluded *link) []*link {
	u.mu.Lock()
	defer u.mu.Unlock()
	links := []*link{u.predecessor, u.successor}
	return slices.DeleteFunc(links, func(l *link) bool { return l == nil || l == excluded })
}

// handedOver reports whether a successor serves.
func (u *upgrade) handedOver() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.successorServes
}
