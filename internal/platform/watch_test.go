package platform

// The watch in its narrow moments. Discovery is a script: it has each call in its hands, and says when and
// how much of an answer goes out.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lapislever/balance"
	"lapislever/internal/standin"
)

// scripted is a stand-in for discovery that hands each call to a function, with the connection that it came
// on.
type scripted struct {
	addr string
	mu   sync.Mutex
	seen []string
}

func newScripted(t *testing.T, f func(n int, query string, c *net.TCPConn)) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	d := &scripted{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for br := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(br)
					if err != nil {
						_ = c.Close()
						return
					}
					d.mu.Lock()
					d.seen = append(d.seen, r.URL.RawQuery)
					n := len(d.seen)
					d.mu.Unlock()
					f(n, r.URL.RawQuery, c.(*net.TCPConn))
				}
			}()
		}
	}()
	return d
}

func (d *scripted) count() int { return len(d.queries()) }

// queries are those of the calls so far.
func (d *scripted) queries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.seen...)
}

// list is an answer's body.
func list(seq int, whole bool, hosts ...host) string {
	b, _ := json.Marshal(hostList{Seq: int64(seq), Whole: whole, Hosts: hosts})
	return string(b)
}

// tell writes a sound answer.
func tell(c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// reset ends a connection without an end.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// getsNothing tells that queries are answered, and no part of them goes to a node that drains.
func getsNothing(t *testing.T, k *Coordinator, drains *standin.Node) {
	t.Helper()
	before := len(drains.Parts())
	for range 20 {
		if r := post(t, k, "rate-check", 0); r.Status != 200 {
			t.Fatalf("%d %s", r.Status, r.Body)
		}
	}
	if n := len(drains.Parts()) - before; n != 0 {
		t.Fatalf("%d parts went to a node that drains", n)
	}
}

// With each time limit the change that a call has missed is heard before it counts as told.
func TestWatchHearsBeforeItCountsAsTold(t *testing.T) {
	us := func(m balance.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
	for name, worst := range map[string]time.Duration{
		"pushed, fallen silent":    pushed.silence() + pushed.limit,
		"asked for, fallen silent": asking.silence() + asking.limit,
		"asked for, after many":    us(balance.MaxListRetryDelay) + asking.limit,
	} {
		if worst > toldAfter {
			t.Errorf("%s: heard after %v, told after %v", name, worst, toldAfter)
		}
	}
}

// However a call ends that tells nothing, the whole list is asked for anew, and what it does not name is
// gone, also where it still answers. What came before a reset, or of an answer that never ends, is no answer.
func TestWatchThatEndsWithoutTelling(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn, wrong string){
		"silent": func(*net.TCPConn, string) {},
		"closed": func(c *net.TCPConn, _ string) { _ = c.Close() },
		"reset":  func(c *net.TCPConn, _ string) { reset(c) },
		"500": func(c *net.TCPConn, _ string) {
			fmt.Fprint(c, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
		},
		"no JSON":   func(c *net.TCPConn, _ string) { tell(c, "{") },
		"half head": func(c *net.TCPConn, _ string) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConte"); _ = c.Close() },
		"without a length, and reset": func(c *net.TCPConn, wrong string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", wrong)
			time.AfterFunc(50*time.Millisecond, func() { reset(c) }) // its bytes have been read, or the call is over
		},
		"without an end": func(c *net.TCPConn, wrong string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(wrong), wrong)
		},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			a, b := standin.NewNode(t, ok), standin.NewNode(t, ok)
			both := []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}
			var over atomic.Bool
			d := newScripted(t, func(n int, query string, c *net.TCPConn) {
				switch {
				case n == 1:
					tell(c, list(1, true, both...))
				case query != "" && over.CompareAndSwap(false, true):
					end(c, list(2, true, hostAt("wrong", a.Addr, 0)))
				case query == "":
					var indented strings.Builder
					e := json.NewEncoder(&indented)
					e.SetIndent("", "    ")
					_ = e.Encode(hostList{Seq: 3, Whole: true, Hosts: both[1:]})
					tell(c, indented.String())
				}
			})
			k := run(t, config(t, &discovery{addr: d.addr}))
			standin.WaitFor(t, "the whole list", func() bool { return k.core.Counts().ListedServers.Load() == 1 })
			d.mu.Lock()
			for _, query := range d.seen {
				if strings.HasPrefix(query, "index=2&") {
					t.Error("a list without an end was taken")
				}
			}
			d.mu.Unlock()
			before := len(a.Parts())
			for range 20 {
				if r := post(t, k, "rate-check", 0); r.Status != 200 {
					t.Fatalf("%d %s", r.Status, r.Body)
				}
			}
			if n := len(a.Parts()) - before; n != 0 || len(b.Parts()) == 0 {
				t.Fatalf("%d parts went to a node that is gone, %d to the other", n, len(b.Parts()))
			}
		})
	}
}

// Discovery is silent and then answers again: calls were made all the while, so that the first one it can
// answer tells of what has changed.
func TestWatchGoesOnAskingWhileDiscoveryIsDown(t *testing.T) {
	a, b := standin.NewNode(t, ok), standin.NewNode(t, ok)
	both := []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}
	var mu sync.Mutex
	down := false
	d := newScripted(t, func(n int, query string, c *net.TCPConn) {
		mu.Lock()
		defer mu.Unlock()
		if !down && query == "" {
			tell(c, list(n, true, both...))
		}
	})
	k := run(t, config(t, &discovery{addr: d.addr}))
	mu.Lock()
	down = true
	mu.Unlock()
	asked := d.count()
	standin.WaitFor(t, "calls to a silent discovery", func() bool { return d.count() > asked+8 })
	mu.Lock()
	both[0].Health = "terminating"
	asked, down = d.count(), false
	mu.Unlock()
	standin.WaitFor(t, "the watch that follows the answer", func() bool { // until then the whole list is asked for
		d.mu.Lock()
		defer d.mu.Unlock()
		return slices.ContainsFunc(d.seen[asked:], func(q string) bool { return q != "" })
	})
	getsNothing(t, k, a)
}

// A new process knows a list that has become old. What discovery has counts from its first moment: nobody is
// sent here before that has been heard, and then by that alone.
func TestStartWaitsForDiscoverysWord(t *testing.T) {
	a, b := standin.NewNode(t, ok), standin.NewNode(t, ok)
	both := []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}
	drains := []host{both[0], both[1]}
	drains[0].Health = "terminating"
	asked, free := make(chan struct{}, 100), make(chan struct{})
	d := newScripted(t, func(n int, query string, c *net.TCPConn) {
		asked <- struct{}{}
		if query == "" {
			<-free
			tell(c, list(9, true, drains...))
		}
	})
	c := config(t, &discovery{addr: d.addr})
	c.Known = &hostList{Seq: 7, Whole: true, Hosts: both}
	k, err := Start(c, standin.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	<-asked
	<-k.listed // the old list is taken in
	if k.front.ready.Load() {
		t.Fatal("ready by an old list alone")
	}
	close(free)
	standin.WaitFor(t, "readiness", k.front.ready.Load)
	standin.WaitFor(t, "the list", func() bool { _, open := <-k.watcher.whole; return !open })
	getsNothing(t, k, a)
	if n := len(a.Parts()); n != 0 {
		t.Fatalf("%d parts went to a node that drains", n)
	}
}

// Where the list is asked for, a call that has fallen silent is made anew at once, by the version that is
// known; a refusal is the module's to wait with. Either way the change is heard.
func TestAskedWatchIsRenewedAfterSilence(t *testing.T) {
	a, b := standin.NewNode(t, ok), standin.NewNode(t, ok)
	both := []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}
	drains := both[0]
	drains.Health = "terminating"
	at := make(chan time.Time, 2)
	d := newScripted(t, func(n int, _ string, c *net.TCPConn) {
		switch n {
		case 1:
			tell(c, list(1, true, both...))
		case 2: // silent
			at <- time.Now()
		case 3:
			at <- time.Now()
			tell(c, list(2, false, drains))
		}
	})
	k := run(t, config(t, &discovery{addr: d.addr}, `"membershipMode":"automatic"`,
		`"membershipMode":"subscribe"`))
	standin.WaitFor(t, "the next call", func() bool { return d.count() >= 4 })
	seen := d.queries()
	if seen[2] != "index=1&wait=2500" || seen[3] != "index=2&wait=2500" {
		t.Fatalf("%q", seen)
	}
	silent, anew := <-at, <-at
	if gap := anew.Sub(silent); gap < asking.silence()-50*time.Millisecond {
		t.Fatalf("the call was given up after %v", gap)
	}
	getsNothing(t, k, a)
}

// A list that is known is gone on from, whatever its version: 0 is one like any other. Thirty coordinators
// that asked for the whole list at their start kept discovery from telling any of them what changed then.
func TestAskedWatchGoesOnFromAKnownList(t *testing.T) {
	a, b := standin.NewNode(t, ok), standin.NewNode(t, ok)
	both := []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}
	drains := both[0]
	drains.Health = "terminating"
	d := newScripted(t, func(n int, _ string, c *net.TCPConn) {
		if n == 1 {
			tell(c, list(1, false, drains))
		}
	})
	c := config(t, &discovery{addr: d.addr}, `"membershipMode":"automatic"`, `"membershipMode":"subscribe"`)
	c.Known = &hostList{Seq: 0, Whole: true, Hosts: both}
	k := run(t, c)
	standin.WaitFor(t, "the next call", func() bool { return d.count() >= 2 })
	seen := d.queries()
	if seen[0] != "index=0&wait=2500" || seen[1] != "index=1&wait=2500" {
		t.Fatalf("%q", seen)
	}
	getsNothing(t, k, a)
}

// A call that is overdue is not given up for the next one: whichever is answered first counts. An agent that
// comes back answers new calls only, and one that is slow the old ones.
func TestOverdueCallStaysOutBesideTheNext(t *testing.T) {
	a, b := standin.NewNode(t, ok), standin.NewNode(t, ok)
	both := []host{hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)}
	overdue := make(chan *net.TCPConn, 1)
	d := newScripted(t, func(n int, _ string, c *net.TCPConn) {
		switch n {
		case 1:
			tell(c, list(1, true, both...))
		case 3: // the first after a silent watch
			overdue <- c
		case 4: // made while that one waits, and never answered
			tell(<-overdue, list(2, true, both[1:]...))
		}
	})
	k := run(t, config(t, &discovery{addr: d.addr}))
	standin.WaitFor(t, "the overdue answer", func() bool { return k.core.Counts().ListedServers.Load() == 1 })
}
