package platform

// The upgrade: a new process takes over from one that still serves, over a Unix socket in the platform's
// temporary directory. This file owns the link between the two, what is said on it and how descriptors and
// memory are shared out for that time. It must never hold a query's state or keep a process from serving:
// whatever fails here is logged, and the coordinator starts or goes on without it.

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
	linkWait     = time.Second            // for the other side's first words
	linkTries    = 3                      // to be heard by it
	linkQueue    = 64                     // words that wait for the other side
	shareEvery   = 100 * time.Millisecond // between looks at what the old process still holds
	listWait     = 2 * time.Second        // for discovery's list, before a successor serves by what it was told
	endingSpare  = 8                      // descriptors that a process may always take
	leastSpare   = 4                      // for clients that are refused, of each of two processes
	leastSockets = 20 + leastSpare        // of each, beside clients, nodes and operators
	memoryPart   = 6                      // tenths of the memory that the heap may take
)

// word is one line on the link. The first one of each side is its greeting; the old process's carries the
// sockets beside it.
type word struct {
	Listen  string                               `json:"listen,omitempty"`  // new: the addresses that it wants
	Peers   string                               `json:"peers,omitempty"`   //
	Sockets []string                             `json:"sockets,omitempty"` // old: the sockets that come along
	Out     map[balance.ReplicaID]balance.Micros `json:"out,omitempty"`     // old: what is out, since when
	Barred  map[balance.ReplicaID]balance.Micros `json:"barred,omitempty"`  // old: the same by the whole fleet
	Since   map[balance.ReplicaID]balance.Micros `json:"since,omitempty"`   // old: and back
	Memory  balance.Memory                       `json:"memory"`            // old: what its module hands over
	Now     balance.Micros                       `json:"now,omitempty"`     // old: what its module's clock reads
	Most    int                                  `json:"most,omitempty"`    // old: descriptors for the new one
	Ready   bool                                 `json:"ready,omitempty"`   // new: it is about to serve
	Heard   bool                                 `json:"heard,omitempty"`   // old: it knows that
	Cordon  *cordonWord                          `json:"cordon,omitempty"`  // both: an operator's call
	Fleet   *fleet.Handover                      `json:"fleet,omitempty"`   // old: where it stands in the fleet
}

type cordonWord struct {
	Server balance.ReplicaID `json:"server"`
	Out    bool              `json:"out"`
	By     core.CordonSource `json:"by,omitempty"`
	At     balance.Micros    `json:"at"`
}

// link is one end of the connection between an old process and a new one. What is said on it is queued until
// the greetings are over, and nobody waits for the other side.
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

// say queues a word.
func (l *link) say(w word) {
	select {
	case l.out <- w:
	default:
		l.log.Error("the other process of the upgrade does not listen")
	}
}

// talk writes what is said.
func (l *link) talk() {
	for {
		select {
		case w := <-l.out:
			if err := l.write(w); err != nil {
				l.log.Warn("the other process of the upgrade does not listen", "err", err)
			}
		case <-l.over:
			return
		}
	}
}

// write writes a word, with descriptors beside it if any are given.
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

// hear reads words until the other side is gone.
func (l *link) hear(f func(word)) {
	for {
		w, err := l.next()
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				l.log.Warn("the link of the upgrade ended", "err", err)
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

// socketPath is where the process that serves an address can be asked for its sockets; empty: nowhere.
func socketPath(cfg *Config) string {
	if cfg.TempDir == "" || cfg.Listen == "" || strings.HasSuffix(cfg.Listen, ":0") {
		return ""
	}
	return filepath.Join(cfg.TempDir, "lapislever-"+strings.NewReplacer(":", "-", "/", "-").Replace(cfg.Listen)+
		".sock")
}

// inheritance is what a new process gets from the one that it takes over from.
type inheritance struct {
	link     *link
	greeting word
	listener net.Listener
	peers    *net.UDPConn
	fleet    *net.UDPConn
}

// inherit asks the process that serves, if there is one, for its sockets, and tells whether one is there. A
// socket file that nobody listens at is left over from one that died; it says nothing. One that is there but
// does not answer is asked again: without its word a coordinator would forget what operators have put out.
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
			log.Info("no process to take over from", "err", err)
			return nil, there
		}
		there = true
		h = &inheritance{link: newLink(c.(*net.UnixConn), log)}
		if err = h.receive(cfg); err == nil {
			log.Info("taking over", "sockets", h.greeting.Sockets, "out", len(h.greeting.Out), "most",
				h.greeting.Most)
			return h, true
		}
		log.Warn("nothing taken over yet", "err", err)
		h.drop()
	}
	log.Error("nothing taken over: starting beside the old process")
	return nil, true
}

// receive says who asks and takes the old process's greeting with the sockets.
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
		return fmt.Errorf("%d sockets came, not %d", len(files), len(h.greeting.Sockets))
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
		return errors.New("no listener came")
	}
	return nil
}

// datagrams is the socket that a file holds.
func datagrams(f *os.File) (*net.UDPConn, error) {
	p, err := net.FilePacketConn(f)
	if err != nil {
		return nil, err
	}
	u, ok := p.(*net.UDPConn)
	if !ok {
		_ = p.Close()
		return nil, errors.New("a socket came that is none for datagrams")
	}
	return u, nil
}

// received are the files that came beside a message.
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

// drop gives back what was inherited, where nothing comes of it.
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

// upgrade is a coordinator's part in taking over and in being taken over from.
type upgrade struct {
	k      *Coordinator
	path   string
	budget *lnet.Budget
	all    int                  // descriptors for clients and nodes, while there is one process
	place  chan *fleet.Handover // the old process's in the fleet; nil: none is to be taken over
	heard  chan struct{}        // the old process's word that it knows of this one

	limiting sync.Mutex // has one at a time bound this process, so that what was found last holds

	mu        sync.Mutex // guards all below
	asked     *net.UnixListener
	old       *link // while this process takes over
	given     int   // descriptors that the old process leaves to this one, and to whoever follows it
	successor *link // while another one takes over from this one
	mine      int   // descriptors that are not for the successor
	serves    bool  // the successor does
	closed    bool
}

// shared is what two processes may take together for clients and nodes.
func (u *upgrade) shared() int {
	return max(4*endingSpare, u.k.cfg.Limits.Sockets-2*(leastSockets+u.k.doorSockets()+u.k.cfg.fleetSockets()))
}

// whole is what this process and its successor may take together: what the one before it leaves them, where
// that is still there. The caller holds mu.
func (u *upgrade) whole() int {
	if u.old != nil {
		return u.given
	}
	return u.shared()
}

// limit bounds this process's descriptors and, while there are others, its memory and what it gives cold
// nodes, by who is there now.
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
	part, spare := int64(u.k.cfg.Limits.MemoryMB)<<20*memoryPart/10, lnet.MaxOverflow
	if !alone {
		part, spare = part/2, leastSpare
	}
	u.budget.SetLimits(most, most/nodeShare, spare)
	debug.SetMemoryLimit(part)
	u.k.halve(!alone)
}

// listen makes the socket to ask at, in place of whatever is there: the last process that serves is the one
// to ask. Nil: this process is over, or the socket is refused.
func (u *upgrade) listen() *net.UnixListener {
	u.mu.Lock() // once close is through nothing is made any more
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
		u.k.log.Info("no upgrade without a pause: the socket for it is refused", "err", err)
		return nil
	}
	u.asked = l
	return l
}

// open lets a successor ask for the sockets.
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
		if err != nil { // out of descriptors or the like: it passes
			u.k.log.Warn("a successor could not be heard", "err", err)
			time.Sleep(shareEvery)
			continue
		}
		u.handOver(newLink(c, u.k.log))
	}
}

// close ends this process's part.
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

// handOver serves one successor, until it is gone or this process is.
func (u *upgrade) handOver(l *link) {
	defer l.close()
	_ = l.c.SetReadDeadline(time.Now().Add(linkWait))
	w, err := l.next()
	if err != nil || w.Listen != u.k.cfg.Listen || w.Peers != u.k.cfg.PeerListen {
		u.k.log.Warn("a process that asks for the sockets is no successor", "listen", w.Listen, "err", err)
		return
	}
	_ = l.c.SetReadDeadline(time.Time{})
	if err := u.greet(l); err != nil {
		u.k.log.Warn("the sockets could not be handed over", "err", err)
		u.mu.Lock()
		u.successor = nil
		u.mu.Unlock()
		u.limit()
		return
	}
	u.k.log.Info("a successor takes over")
	go l.talk()
	go u.shareOut(l)
	l.hear(func(w word) {
		if w.Ready {
			u.mu.Lock()
			u.serves = true
			u.mu.Unlock()
			u.k.log.Info("the successor serves")
			l.say(word{Heard: true})
			if u.k.fleet != nil { // from now on that one is the member
				l.say(word{Fleet: u.k.fleet.HandOver()})
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
	if again { // it is this process again that is to be asked
		u.k.log.Warn("the successor is gone")
		u.limit()
		if u.k.fleet != nil {
			u.k.fleet.Reclaim()
		}
		go u.open()
	}
}

// shareOut gives the successor what this process does not hold any more, as it ends, and its part of what the
// one before this one gives up.
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
			mine = min(u.mine, u.budget.InUse()+endingSpare)
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

// rest is what the successor may take: what this process neither holds nor may. The caller holds mu.
func (u *upgrade) rest() int { return max(endingSpare, u.whole()-max(u.mine, u.budget.InUse())) }

// greet makes room for a successor and sends it the greeting with the sockets beside it. Their modes stay as
// they are: both processes poll them. The successor is there to be told before what operators have said is
// read: a call between the two would else be in neither. It is passed on behind the greeting.
func (u *upgrade) greet(l *link) error {
	u.mu.Lock()
	u.successor, u.mine = l, u.whole()/2
	mine := u.mine
	u.mu.Unlock()
	u.limit()
	for u.budget.InUse() > mine && u.k.server.EvictStalled() {
	}
	said, ok := u.k.core.HandoverState(linkWait / 2)
	if !ok {
		return errors.New("the core is busy")
	}
	u.mu.Lock()
	most := u.rest()
	u.mu.Unlock()
	w := word{Out: said.Cordons, Barred: said.FleetCordons, Since: said.RestoredAt, Memory: said.Memory, Now: said.Clock,
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

// withFDs calls f with the descriptors of some sockets.
func withFDs(socks []any, fds []int, f func(fds []int) error) error {
	if len(socks) == 0 {
		return f(fds)
	}
	return withFD(socks[0], func(fd int) error { return withFDs(socks[1:], append(fds, fd), f) })
}

// withFD calls f with a socket's descriptor, which stays open for as long as f runs.
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

// follow is a new process's side from the greeting on: it hears the old process until that is gone.
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
		u.k.log.Info("the old process is gone")
		if u.k.fleet != nil {
			u.k.fleet.PredecessorGone()
		}
	}()
}

// ready tells the old process that this one is about to serve, and takes its place as the one to ask. It
// comes back once the old process knows: whoever hears this one's yes may tell the old one to end at once,
// and how that ends depends on it. One of an older version says nothing, and is waited for up to linkWait.
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
			u.k.log.Warn("the old process has not said that it knows of this one")
		case <-u.k.stop:
		}
	}
	go u.open()
}

// obey carries out an operator's call that the other process has had.
func (u *upgrade) obey(w word) {
	if c := w.Cordon; c != nil {
		// Its moment is by the other process's clock, and the wall clock may have been stepped: now is as good.
		u.k.core.Post(core.Cordon{Server: c.Server, Cordoned: c.Out, Source: c.By, AllowUnlisted: true})
	}
}

// pass tells the other process, if there is one, of an operator's call, or of the fleet's word.
func (u *upgrade) pass(id balance.ReplicaID, by core.CordonSource, out bool) {
	u.mu.Lock()
	links := [2]*link{u.old, u.successor}
	u.mu.Unlock()
	for _, l := range links {
		if l != nil {
			l.say(word{Cordon: &cordonWord{Server: id, Out: out, By: by, At: time.Now().UnixMicro()}})
		}
	}
}

// handedOver tells that a successor serves.
func (u *upgrade) handedOver() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.serves
}
