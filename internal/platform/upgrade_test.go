package platform

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/standin"
)

// together makes a configuration of a coordinator that may be upgraded: an address of its own and a place for
// both processes to meet.
func together(t *testing.T, c *Config) *Config {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.Listen = l.Addr().String()
	_ = l.Close()
	c.TempDir = t.TempDir()
	return c
}

// askable waits until a successor can ask the process that serves.
func askable(t *testing.T, cfg *Config) {
	t.Helper()
	standin.WaitFor(t, "the socket to ask at", func() bool {
		_, err := os.Lstat(socketPath(cfg))
		return err == nil
	})
}

// kept asks on a connection that stays, and tells whether it may be used again.
func kept(t *testing.T, c *lnet.Client, name string) bool {
	t.Helper()
	r, err := c.Do("POST", "/rate-check", "x", [][2]string{{"X-Call-Id", name}},
		[]byte(`{"slices":[{"slice":0,"mass":1}],"filter":"f"}`), time.Now().Add(20*time.Second))
	if err != nil || r.Status != 200 {
		t.Fatalf("%s: %v %v", name, r, err)
	}
	return c.Reusable()
}

// A new process takes the address over while clients come: nobody is turned away, a connection to the old
// process is served once more and then ended, and what operators said holds in both.
func TestSuccessorTakesOver(t *testing.T) {
	a, b := standin.NewNode(t, ok), standin.NewNode(t, ok)
	d := newDiscovery(t, hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0))
	cfg := together(t, door(t, d))
	cfg.PeerListen, cfg.Peers = "127.0.0.1:0", []string{"127.0.0.1:1", "127.0.0.1:2"}
	old := run(t, cfg)
	askable(t, cfg)
	say := func(k *Coordinator, name string) {
		t.Helper()
		if r := standin.DoHTTP(t, k.AdminAddr(), "POST", "/admin/"+name, nil, "a"); r.Status != 200 {
			t.Fatalf("%s: %d %s", name, r.Status, r.Body)
		}
	}
	say(old, "cordon")
	before := len(a.Parts())
	c, err := lnet.Dial(cfg.Listen, time.Second, 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	kept(t, c, "first")

	now := *cfg
	fresh, err := Start(&now, standin.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fresh.Close)
	standin.WaitFor(t, "the yes", func() bool {
		return standin.DoHTTP(t, fresh.AdminAddr(), "GET", "/admin/health", nil, "").Status == 200
	})
	if !old.upgrade.handedOver() {
		t.Error("the successor says yes before the old process knows of it")
	}
	if fresh.peers.c.LocalAddr().String() != old.peers.c.LocalAddr().String() {
		t.Error("datagrams come to another address")
	}
	ended := make(chan struct{})
	go func() { old.Shutdown(); close(ended) }()
	standin.WaitFor(t, "the end of the old process's yes", func() bool { return old.ending.Load() })
	if r := standin.DoHTTP(t, old.AdminAddr(), "GET", "/admin/health", nil, ""); r.Status != 503 {
		t.Errorf("the old process says %d", r.Status)
	}
	for range 20 {
		if r := post(t, fresh, "rate-check", 0); r.Status != 200 {
			t.Fatalf("%d %s", r.Status, r.Body)
		}
		if r := standin.DoHTTP(t, cfg.Listen, "GET", "/up", nil, ""); r.Status != 200 {
			t.Fatalf("/up says %d", r.Status)
		}
	}
	if n := len(a.Parts()) - before; n != 0 {
		t.Fatalf("%d parts went to a node that is out", n)
	}
	if kept(t, c, "second") {
		t.Error("a connection to the old process goes on")
	}
	say(old, "uncordon")
	standin.WaitFor(t, "the call at the old process to hold in the new one", func() bool {
		post(t, fresh, "rate-check", 0)
		return len(a.Parts()) > before
	})
	<-ended

	last := *cfg // and the next one asks the one that serves now
	if h, _ := inherit(&last, standin.DiscardLogger()); h == nil {
		t.Fatal("nobody to take over from")
	} else {
		h.drop()
	}
	standin.WaitFor(t, "the socket again, as that successor is gone", func() bool {
		h, _ := inherit(&last, standin.DiscardLogger())
		if h != nil {
			h.drop()
		}
		return h != nil
	})
}

// Who hears a successor's yes may end the old process at once: until that one has said that it knows of the
// successor, there is no yes, neither at the door nor for clients.
func TestYesWaitsUntilTheOldProcessKnows(t *testing.T) {
	cfg := together(t, door(t, newDiscovery(t, hostAt("a", "127.0.0.1:1", 0))))
	clients, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer clients.Close()
	asked, err := net.ListenUnix("unix", &net.UnixAddr{Name: socketPath(cfg), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer asked.Close()
	told := make(chan *link)
	go func() { // an old process by the script
		defer close(told)
		c, err := asked.AcceptUnix()
		if err != nil {
			return
		}
		l := newLink(c, standin.DiscardLogger())
		if _, err := l.next(); err != nil {
			return
		}
		_ = withFD(clients, func(fd int) error {
			return l.write(word{Sockets: []string{"listen"}, Most: 40}, fd)
		})
		if w, err := l.next(); err == nil && w.Ready {
			told <- l
		}
	}()
	fresh, err := Start(cfg, standin.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fresh.Close)
	l := <-told
	if l == nil {
		t.Fatal("the old process heard nothing")
	}
	defer l.close()
	if r := standin.DoHTTP(t, fresh.AdminAddr(), "GET", "/admin/health", nil, ""); r.Status != 503 {
		t.Errorf("the door says %d", r.Status)
	}
	if fresh.accepting.Load() {
		t.Error("clients are taken, and would be told no")
	}
	if err := l.write(word{Heard: true}); err != nil {
		t.Fatal(err)
	}
	standin.WaitFor(t, "the yes", func() bool {
		return standin.DoHTTP(t, fresh.AdminAddr(), "GET", "/admin/health", nil, "").Status == 200
	})
	if r := standin.DoHTTP(t, cfg.Listen, "GET", "/up", nil, ""); r.Status != 200 {
		t.Errorf("/up says %d", r.Status)
	}
}

// SIGTERM may come before the successor serves. Once it does, the old process leads its clients over.
func TestSuccessorServesWhileTheOldProcessEnds(t *testing.T) {
	n := standin.NewNode(t, ok)
	cfg := together(t, config(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
	old := run(t, cfg)
	askable(t, cfg)
	now := *cfg
	h, _ := inherit(&now, standin.DiscardLogger())
	if h == nil {
		t.Fatal("nothing to take over")
	}
	defer h.drop()
	go h.link.talk()
	c, err := lnet.Dial(cfg.Listen, time.Second, 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	kept(t, c, "before")
	ended := make(chan struct{})
	go func() { old.Shutdown(); close(ended) }()
	standin.WaitFor(t, "the end to begin", func() bool { return !old.front.ready.Load() })
	if !kept(t, c, "sigterm") {
		t.Error("a connection is ended while there is nobody else to serve")
	}
	h.link.say(word{Ready: true})
	standin.WaitFor(t, "the yes for both", func() bool { return old.front.ready.Load() })
	standin.WaitFor(t, "the clients to be led over", func() bool {
		return old.server.OpenConns() == 0 || !kept(t, c, "then")
	})
	<-ended
}

// Descriptors are shared out: two processes never hold more than one may, and what the old one gives up is
// the new one's, in full once it is alone.
func TestDescriptorsAreSharedOut(t *testing.T) {
	cfg := together(t, config(t, newDiscovery(t, hostAt("a", "127.0.0.1:1", 0))))
	old := run(t, cfg)
	askable(t, cfg)
	u := old.upgrade
	whole := u.all
	now := *cfg
	fresh, err := Start(&now, standin.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fresh.Close)
	standin.WaitFor(t, "its word to the old one", u.handedOver)
	if sum := u.budget.Capacity() + fresh.upgrade.budget.Capacity() + 2*leastSockets; sum > cfg.Limits.Sockets {
		t.Errorf("%d descriptors together, of %d", sum, cfg.Limits.Sockets)
	}
	old.Shutdown()
	standin.WaitFor(t, "all for one", func() bool { return fresh.upgrade.budget.Capacity() == whole })
}

// A process may be taken over from while the one before it still ends: the three share what one may hold, and
// the end of the first does not have the second take all.
func TestThreeProcessesShareDescriptors(t *testing.T) {
	cfg := together(t, config(t, newDiscovery(t, hostAt("a", "127.0.0.1:1", 0))))
	first := run(t, cfg)
	askable(t, cfg)
	follow := func(before *Coordinator) *Coordinator {
		t.Helper()
		now := *cfg
		k, err := Start(&now, standin.DiscardLogger())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(k.Close)
		standin.WaitFor(t, "its word to the one before", before.upgrade.handedOver)
		return k
	}
	all := func(of ...*Coordinator) (sum int) {
		for _, k := range of {
			sum += k.upgrade.budget.Capacity()
		}
		return sum
	}
	second := follow(first)
	standin.WaitFor(t, "the second to be the one to ask", func() bool {
		second.upgrade.mu.Lock()
		defer second.upgrade.mu.Unlock()
		return second.upgrade.asked != nil
	})
	third := follow(second)
	if sum := all(first, second, third); sum > first.upgrade.shared() {
		t.Errorf("three processes may hold %d, of %d", sum, first.upgrade.shared())
	}
	first.Shutdown()
	standin.WaitFor(t, "what the first one held", func() bool {
		return all(second, third) == first.upgrade.shared()
	})
	for range 3 { // it stays so
		time.Sleep(shareEvery)
		if sum := all(second, third); sum > first.upgrade.shared() {
			t.Fatalf("two processes may hold %d, of %d", sum, first.upgrade.shared())
		}
	}
	second.Shutdown()
	standin.WaitFor(t, "all for one", func() bool { return third.upgrade.budget.Capacity() == third.upgrade.all })
}

// Where there is nobody to take over from, or no place to meet, a coordinator starts and serves all the same.
func TestNoSuccessionIsHarmless(t *testing.T) {
	n := standin.NewNode(t, ok)
	for name, spoil := range map[string]func(cfg *Config) error{
		"no place": func(cfg *Config) error { cfg.TempDir = filepath.Join(cfg.TempDir, "none"); return nil },
		"left over": func(cfg *Config) error {
			l, err := net.ListenUnix("unix", &net.UnixAddr{Name: socketPath(cfg), Net: "unix"})
			if err != nil {
				return err
			}
			l.SetUnlinkOnClose(false)
			return l.Close()
		},
		"mute": func(cfg *Config) error {
			l, err := net.Listen("unix", socketPath(cfg))
			if err == nil {
				t.Cleanup(func() { _ = l.Close() })
			}
			return err
		},
		"no word": func(cfg *Config) error {
			l, err := net.Listen("unix", socketPath(cfg))
			if err != nil {
				return err
			}
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				if c, err := l.Accept(); err == nil {
					fmt.Fprintln(c, "not a word")
				}
			}()
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := together(t, config(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
			if err := spoil(cfg); err != nil {
				t.Fatal(err)
			}
			k := run(t, cfg)
			if r := post(t, k, "rate-check", 0); r.Status != 200 {
				t.Fatalf("%d", r.Status)
			}
		})
	}
}

// A call while the greeting is written is not in it, and must not be lost: the successor hears it behind.
func TestCallDuringTheGreetingIsPassedOn(t *testing.T) {
	k := run(t, together(t, config(t, newDiscovery(t, hostAt("a", "127.0.0.1:1", 0)))))
	path := filepath.Join(t.TempDir(), "pair")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	theirs, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	ours, err := l.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	old, fresh := newLink(ours, standin.DiscardLogger()), newLink(theirs, standin.DiscardLogger())
	defer old.close()
	defer fresh.close()
	if err := k.upgrade.greet(old); err != nil {
		t.Fatal(err)
	}
	k.upgrade.pass(7, core.ByOperator, true)
	go old.talk()
	_ = theirs.SetReadDeadline(time.Now().Add(20 * time.Second))
	if w, err := fresh.next(); err != nil || w.Sockets[0] != "listen" {
		t.Fatalf("%+v %v", w, err)
	}
	if w, err := fresh.next(); err != nil || w.Cordon == nil || w.Cordon.Server != 7 || !w.Cordon.Out {
		t.Fatalf("%+v %v", w, err)
	}
}

// A process that is there may be too busy for the first question. It is asked again: without its word what
// operators have put out would be forgotten. And who starts beside it waits for discovery's list, for what is
// known from before may be long out of date.
func TestBusyProcessIsAskedAgain(t *testing.T) {
	cfg := together(t, config(t, newDiscovery(t, hostAt("a", "127.0.0.1:1", 0))))
	cfg.Known = &hostList{Hosts: []host{hostAt("a", "127.0.0.1:1", 0), hostAt("old", "127.0.0.1:1", 0)}}
	l, err := net.Listen("unix", socketPath(cfg))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	asked := make(chan struct{}, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
			asked <- struct{}{}
		}
	}()
	k := run(t, cfg)
	standin.WaitFor(t, "each question", func() bool { return len(asked) == linkTries })
	select {
	case <-k.watcher.whole:
	default:
		t.Error("ready without discovery's word")
	}
}
