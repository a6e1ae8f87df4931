package platform

// The upgrade: a new process takes over from one that still serves, over a Unix socket in the platform's
// temporary directory. This file defines the link between the two, the messages on it, and how they share
// descriptors and memory in the meantime. It must never hold a query's state or keep a process from
// serving: failures are logged, and the coordinator starts or continues without the takeover.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/fleet"
	lnet "lapislever/internal/net"
)

const (
	linkWait     = time.Second            // for the other side's first message
	linkTries    = 3                      // dials before a start gives up
	linkQueue    = 64                     // messages that wait for the other side
	shareEvery   = 100 * time.Millisecond // between looks at what the old process still holds
	listWait     = 2 * time.Second        // for discovery's list, before a successor serves without it
	endingSpare  = 8                      // descriptors that each process may always hold
	leastSpare   = 4                      // for clients that are refused, in each of the two processes
	leastSockets = 20 + leastSpare        // of each process, beside clients, nodes and operators
	memoryPart   = 6                      // tenths of the memory limit that the heap may use
)

// linkMessage is one line on the link; "old" and "new" name the process that sends the field. Each side's
// first message is its hello; the old process's hello carries the sockets as ancillary data.
type word struct {
	Listen  string                               `json:"listen,omitempty"`  // new: address that it wants
	Peers   string                               `json:"peers,omitempty"`   // new: and the one for peers
	Sockets []string                             `json:"sockets,omitempty"` // old: the sockets beside it
	Out     map[balance.ReplicaID]balance.Micros `json:"out,omitempty"`     // old: cordons, and since when
	Barred  map[balance.ReplicaID]balance.Micros `json:"barred,omitempty"`  // old: fleet-wide cordons
	Since   map[balance.ReplicaID]balance.Micros `json:"since,omitempty"`   // old: when nodes were restored
	Memory  balance.Memory                       `json:"memory"`            // old: its module's memory
	Now     balance.Micros                       `json:"now,omitempty"`     // old: its module's clock
	Most    int                                  `json:"most,omitempty"`    // old: descriptors for the new
	Ready   bool                                 `json:"ready,omitempty"`   // new: it is about to serve
	Heard   bool                                 `json:"heard,omitempty"`   // old: acknowledges that
	Cordon  *cordonWord                          `json:"cordon,omitempty"`  // both: an operator's call
	Fleet   *fleet.Handover                      `json:"fleet,omitempty"`   // old: its state in the fleet
}

type cordonWord struct {
	Server balance.ReplicaID `json:"server"`
	Out    bool              `json:"out"`
	By     core.Author       `json:"by,omitempty"`
	At     balance.Micros    `json:"at"`
}

// link is one end of the connection between an old process and a new one. Messages are queued until the
// hellos are exchanged, and nobody waits for the other side.
type link struct {
	c    *net.UnixConn
	in   *bufio.Reader
	out  chan word
	over chan struct{} // closed with the connection
	once sync.Once
	log  *slog.Logger
}

func newLink(c *net.UnixConn, log *slog.Logger) *link {
	return &link{c: c, in: bufio.NewReader(c), out: make(chan word, linkQueue), over: make(chan struct{}),
		log: log}
}

// close ends the link.
func (l *link) close() { l.once.Do(func() { close(l.over); _ = l.c.Close() }) }

// send queues a message.
func (l *link) say(w word) {
	select {
	case l.out <- w:
	default:
		l.log.Error("upgrade: the other process does not read: message dropped")
	}
}

// writeLoop writes the queued messages.
func (l *link) talk() {
	for {
		select {
		case w := <-l.out:
			if err := l.write(w); err != nil {
				l.log.Warn("upgrade: a message to the other process could not be written", "err", err)
			}
		case <-l.over:
			return
		}
	}
}

// writeMessage writes a message, with the given descriptors as ancillary data.
func (l *link) write(w word, fds ...int) error {
	b, err := json.Marshal(w)
	if err != nil {
		return err
	}
	b = append(b, '\n')
	_ = l.c.SetWriteDeadline(time.Now().Add(linkWait))
	var oob []byte
	if len(fds) > 0 {
		oob = unix.UnixRights(fds...)
	}
	n, _, err := l.c.WriteMsgUnix(b, oob, nil)
	if err == nil && n < len(b) {
		_, err = l.c.Write(b[n:])
	}
	return err
}

// readLoop reads messages until the other side closes the link.
func (l *link) hear(f func(word)) {
	for {
		w, err := l.next()
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				l.log.Warn("upgrade: the link to the other process failed", "err", err)
			}
			return
		}
		f(w)
	}
}

func (l *link) next() (w word, err error) {
	line, err := l.in.ReadBytes('\n')
	if err != nil {
		return w, err
	}
	return w, json.Unmarshal(line, &w)
}

// socketPath returns the path of the Unix socket on which the process that serves an address can be asked
// for its sockets. It is empty where there is none.
func socketPath(cfg *Config) string {
	if cfg.TempDir == "" || cfg.Listen == "" || strings.HasSuffix(cfg.Listen, ":0") {
		return ""
	}
	return filepath.Join(cfg.TempDir, "lapislever-"+strings.NewReplacer(":", "-", "/", "-").Replace(cfg.Listen)+
		".sock")
}

// receivedSockets is what a new process receives from the one that it takes over from.
type inheritance struct {
	link     *link
	greeting word
	listener net.Listener
	peers    *net.UDPConn
	fleet    *net.UDPConn
}

// requestSockets asks the process that serves, if there is one, for its sockets, and reports whether there
// is one. A socket file that nobody listens on is a leftover of a process that died. A process that
// listens but does not answer is asked again: without its hello the coordinator would forget the
// operators' cordons.
func inherit(cfg *Config, log *slog.Logger) (h *inheritance, there bool) {
	path := socketPath(cfg)
	if path == "" {
		return nil, false
	}
	if _, err := os.Lstat(path); errors.Is(err, fs.ErrNotExist) {
		return nil, false
	}
	for range linkTries {
		c, err := net.DialTimeout("unix", path, linkWait)
		if err != nil {
			log.Info("upgrade: there is no process to take over from", "err", err)
			return nil, there
		}
		there = true
		h = &inheritance{link: newLink(c.(*net.UnixConn), log)}
		if err = h.receive(cfg); err == nil {
			log.Info("upgrade: taking over", "sockets", h.greeting.Sockets, "out", len(h.greeting.Out), "most",
				h.greeting.Most)
			return h, true
		}
		log.Warn("upgrade: the sockets were not received", "err", err)
		h.drop()
	}
	log.Error("upgrade: takeover failed: starting beside the old process")
	return nil, true
}

// receive sends this process's hello and reads the old process's hello with the sockets.
func (h *inheritance) receive(cfg *Config) error {
	if err := h.link.write(word{Listen: cfg.Listen, Peers: cfg.PeerListen}); err != nil {
		return err
	}
	_ = h.link.c.SetReadDeadline(time.Now().Add(linkWait))
	text, oob := make([]byte, 4096), make([]byte, unix.CmsgSpace(3*4))
	n, oobn, _, _, err := h.link.c.ReadMsgUnix(text, oob)
	if err != nil {
		return err
	}
	h.link.in = bufio.NewReader(io.MultiReader(strings.NewReader(string(text[:n])), h.link.c))
	files, err := received(oob[:oobn])
	defer func() {
		for _, f := range files {
			_ = f.Close()
		}
	}()
	if err != nil {
		return err
	}
	if h.greeting, err = h.link.next(); err != nil {
		return err
	}
	_ = h.link.c.SetReadDeadline(time.Time{})
	if len(files) != len(h.greeting.Sockets) {
		return fmt.Errorf("received %d sockets, expected %d", len(files), len(h.greeting.Sockets))
	}
	for i, what := range h.greeting.Sockets {
		switch what {
		case "listen":
			if h.listener, err = net.FileListener(files[i]); err != nil {
				return err
			}
		case "peers":
			if h.peers, err = datagrams(files[i]); err != nil {
				return err
			}
		case "fleet":
			if h.fleet, err = datagrams(files[i]); err != nil {
				return err
			}
		}
	}
	if h.listener == nil {
		return errors.New("received no listener")
	}
	return nil
}

// packetConn returns the UDP socket that a file holds.
func datagrams(f *os.File) (*net.UDPConn, error) {
	p, err := net.FilePacketConn(f)
	if err != nil {
		return nil, err
	}
	u, ok := p.(*net.UDPConn)
	if !ok {
		_ = p.Close()
		return nil, errors.New("received a socket that is not a UDP socket")
	}
	return u, nil
}

// receivedFiles returns the files that came with a message as ancillary data.
func received(oob []byte) (files []*os.File, err error) {
	msgs, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	for i := range msgs {
		fds, err := unix.ParseUnixRights(&msgs[i])
		if err != nil {
			return files, err
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "inherited"))
		}
	}
	return files, nil
}

// discard closes the received sockets and the link after a takeover that failed.
func (h *inheritance) drop() {
	if h.listener != nil {
		_ = h.listener.Close()
	}
	for _, c := range []*net.UDPConn{h.peers, h.fleet} {
		if c != nil {
			_ = c.Close()
		}
	}
	h.link.close()
}

// upgrade handles the takeover from a predecessor and the handover to a successor.
type upgrade struct {
	k      *Coordinator
	path   string
	budget *lnet.Budget
	all    int                  // descriptors for clients and nodes while there is one process
	place  chan *fleet.Handover // receives the predecessor's state in the fleet; nil: none to take over
	heard  chan struct{}        // receives when the predecessor knows of this process

	limiting sync.Mutex // serializes applyLimits, so that the last computed limits hold

	mu        sync.Mutex // guards all below
	asked     *net.UnixListener
	old       *link // set while this process takes over
	given     int   // descriptors that the predecessor grants to this process and its successors
	successor *link // set while another process takes over from this one
	mine      int   // descriptors that the successor must not use
	serves    bool  // the successor serves
	closed    bool
}

// sharedBudget returns how many descriptors two processes may hold together for clients and nodes.
func (u *upgrade) shared() int {
	return max(4*endingSpare, u.k.cfg.Limits.Sockets-2*(leastSockets+u.k.doorSockets()+u.k.cfg.fleetSockets()))
}

// available returns how many descriptors this process and its successor may hold together: what the
// predecessor grants them while it exists. The caller holds mu.
func (u *upgrade) whole() int {
	if u.old != nil {
		return u.given
	}
	return u.shared()
}

// applyLimits bounds this process's descriptors, depending on which other processes exist. While others
// exist it also bounds its memory and its share of the load on cold nodes.
func (u *upgrade) limit() {
	u.limiting.Lock()
	defer u.limiting.Unlock()
	u.mu.Lock()
	most, alone := u.all, u.old == nil && u.successor == nil
	if !alone {
		most = u.whole()
	}
	if u.successor != nil {
		most = min(most, u.mine)
	}
	u.mu.Unlock()
	part, spare := int64(u.k.cfg.Limits.MemoryMB)<<20*memoryPart/10, lnet.SpareMost
	if !alone {
		part, spare = part/2, leastSpare
	}
	u.budget.Limit(most, most/nodeShare, spare)
	debug.SetMemoryLimit(part)
	u.k.halve(!alone)
}

// listen creates the socket that successors connect to. It replaces an existing one, as the last process
// that serves is the one to ask. It returns nil once this process has ended, or where the socket cannot be
// created.
func (u *upgrade) listen() *net.UnixListener {
	u.mu.Lock() // nothing is created after close
	defer u.mu.Unlock()
	if u.path == "" || u.closed {
		return nil
	}
	temp := fmt.Sprintf("%s.%d", u.path, os.Getpid())
	_ = os.Remove(temp)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: temp, Net: "unix"})
	if err == nil {
		l.SetUnlinkOnClose(false)
		if err = os.Rename(temp, u.path); err != nil {
			_ = l.Close()
		}
	}
	if err != nil {
		_ = os.Remove(temp)
		u.k.log.Info("upgrade: the socket could not be created: an upgrade will interrupt service", "err", err)
		return nil
	}
	u.asked = l
	return l
}

// acceptSuccessors lets a successor ask for the sockets.
func (u *upgrade) open() {
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
			time.Sleep(shareEvery)
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
	if u.asked != nil {
		_ = u.asked.Close()
	}
	for _, l := range []*link{u.old, u.successor} {
		if l != nil {
			l.close()
		}
	}
}

// handOver serves one successor until either process ends.
func (u *upgrade) handOver(l *link) {
	defer l.close()
	_ = l.c.SetReadDeadline(time.Now().Add(linkWait))
	w, err := l.next()
	if err != nil || w.Listen != u.k.cfg.Listen || w.Peers != u.k.cfg.PeerListen {
		u.k.log.Warn("upgrade: the process that asks for the sockets is not a successor", "listen", w.Listen,
			"err", err)
		return
	}
	_ = l.c.SetReadDeadline(time.Time{})
	if err := u.greet(l); err != nil {
		u.k.log.Warn("upgrade: the sockets could not be sent", "err", err)
		u.mu.Lock()
		u.successor = nil
		u.mu.Unlock()
		u.limit()
		return
	}
	u.k.log.Info("upgrade: a successor takes over")
	go l.talk()
	go u.shareOut(l)
	l.hear(func(w word) {
		if w.Ready {
			u.mu.Lock()
			u.serves = true
			u.mu.Unlock()
			u.k.log.Info("upgrade: the successor serves")
			l.say(word{Heard: true})
			if u.k.fleet != nil { // the successor is the fleet's member from now on
				l.say(word{Fleet: u.k.fleet.Release()})
			}
		}
		u.obey(w)
	})
	l.close()
	u.mu.Lock()
	u.successor, u.serves = nil, false
	again := !u.closed
	if again {
		_ = u.asked.Close()
	}
	u.mu.Unlock()
	if again { // this process is the one to ask again
		u.k.log.Warn("upgrade: the successor is gone")
		u.limit()
		if u.k.fleet != nil {
			u.k.fleet.Again()
		}
		go u.open()
	}
}

// shareSockets gives the successor the descriptors that this process no longer holds while it shuts down,
// and the successor's share of what the predecessor releases.
func (u *upgrade) shareOut(l *link) {
	tick := time.NewTicker(shareEvery)
	defer tick.Stop()
	for told := 0; ; {
		select {
		case <-l.over:
			return
		case <-tick.C:
		}
		u.mu.Lock()
		mine := u.whole() / 2
		if u.k.ending.Load() {
			mine = min(u.mine, u.budget.Used()+endingSpare)
		}
		changed := mine != u.mine
		u.mine = mine
		most := u.rest()
		u.mu.Unlock()
		if changed {
			u.limit()
		}
		if most != told {
			told = most
			l.say(word{Most: most})
		}
	}
}

// successorShare returns how many descriptors the successor may hold: those that this process neither
// holds nor may hold. The caller holds mu.
func (u *upgrade) rest() int { return max(endingSpare, u.whole()-max(u.mine, u.budget.Used())) }

// sendHello makes room for a successor and sends it the hello with the sockets. The sockets' modes don't
// change, as both processes poll them. The successor is registered before the core is asked for the
// cordons: otherwise a call between the two steps would reach neither. Such a call is forwarded behind the
// hello.
func (u *upgrade) greet(l *link) error {
	u.mu.Lock()
	u.successor, u.mine = l, u.whole()/2
	mine := u.mine
	u.mu.Unlock()
	u.limit()
	for u.budget.Used() > mine && u.k.server.MakeWay() {
	}
	said, ok := u.k.core.Cordoned(linkWait / 2)
	if !ok {
		return errors.New("the core is busy")
	}
	u.mu.Lock()
	most := u.rest()
	u.mu.Unlock()
	w := word{Out: said.Out, Barred: said.Barred, Since: said.Since, Memory: said.Memory, Now: said.Now,
		Most: most}
	socks := []any{u.k.server.Listener()}
	w.Sockets = []string{"listen"}
	if u.k.peers != nil {
		socks, w.Sockets = append(socks, u.k.peers.c), append(w.Sockets, "peers")
	}
	if u.k.fleet != nil {
		socks, w.Sockets = append(socks, u.k.fleet.Conn()), append(w.Sockets, "fleet")
	}
	return withFDs(socks, nil, func(fds []int) error { return l.write(w, fds...) })
}

// withFDs calls f with the descriptors of the given sockets.
func withFDs(socks []any, fds []int, f func(fds []int) error) error {
	if len(socks) == 0 {
		return f(fds)
	}
	return withFD(socks[0], func(fd int) error { return withFDs(socks[1:], append(fds, fd), f) })
}

// withFD calls f with a socket's descriptor, which stays open while f runs.
func withFD(sock any, f func(fd int) error) error {
	c, ok := sock.(syscall.Conn)
	if !ok {
		return errors.New("no socket to hand over")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	if cerr := raw.Control(func(fd uintptr) { err = f(int(fd)) }); cerr != nil {
		return cerr
	}
	return err
}

// followPredecessor reads the predecessor's messages after its hello, until it is gone.
func (u *upgrade) follow(h *inheritance) {
	u.mu.Lock()
	u.old, u.given = h.link, h.greeting.Most
	u.mu.Unlock()
	u.limit()
	go h.link.talk()
	go func() {
		h.link.hear(func(w word) {
			if w.Most > 0 {
				u.mu.Lock()
				u.given = w.Most
				u.mu.Unlock()
				u.limit()
			}
			if w.Heard {
				select {
				case u.heard <- struct{}{}:
				default:
				}
			}
			if w.Fleet != nil && u.place != nil {
				select {
				case u.place <- w.Fleet:
				default:
				}
			}
			u.obey(w)
		})
		h.link.close()
		u.mu.Lock()
		u.old = nil
		u.mu.Unlock()
		u.limit()
		u.k.log.Info("upgrade: the old process is gone")
		if u.k.fleet != nil {
			u.k.fleet.Alone()
		}
	}()
}

// announceReady tells the predecessor that this process is about to serve, and takes its place on the
// upgrade socket. It returns once the predecessor has acknowledged: whoever sees this process ready may
// stop the predecessor at once, and its shutdown depends on knowing the successor. A predecessor of an
// older version does not acknowledge; it is waited for up to linkTimeout.
func (u *upgrade) ready() {
	u.mu.Lock()
	old := u.old
	u.mu.Unlock()
	if old != nil {
		old.say(word{Ready: true})
		select {
		case <-u.heard:
		case <-old.over:
		case <-time.After(linkWait):
			u.k.log.Warn("upgrade: the old process did not acknowledge this one in time")
		case <-u.k.stop:
		}
	}
	go u.open()
}

// applyCordon applies an operator's call that the other process received.
func (u *upgrade) obey(w word) {
	if c := w.Cordon; c != nil {
		// The call's time is by the other process's clock, and the wall clock may have been stepped. Now is as
		// good.
		u.k.core.Post(core.Cordon{Server: c.Server, Out: c.Out, By: c.By, Sure: true})
	}
}

// forwardCordon sends an operator's call, or a fleet-wide cordon, to the other process if there is one.
func (u *upgrade) pass(id balance.ReplicaID, by core.Author, out bool) {
	u.mu.Lock()
	links := [2]*link{u.old, u.successor}
	u.mu.Unlock()
	for _, l := range links {
		if l != nil {
			l.say(word{Cordon: &cordonWord{Server: id, Out: out, By: by, At: time.Now().UnixMicro()}})
		}
	}
}

// handedOver reports whether a successor serves.
func (u *upgrade) handedOver() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.serves
}
