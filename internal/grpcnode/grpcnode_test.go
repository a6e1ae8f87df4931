package grpcnode

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bufbuild/protocompile"
	"golang.org/x/net/http2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/standin"
	"lapislever/internal/translate"
)

// service compiles the .proto.
func service(t *testing.T) protoreflect.FileDescriptor {
	t.Helper()
	c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}}
	files, err := c.Compile(context.Background(), "ledger.proto")
	if err != nil {
		t.Fatal(err)
	}
	return files[0]
}

// What is written by hand here is what the .proto says, in both directions, and the method has its path.
func TestMessagesAreThoseOfTheProto(t *testing.T) {
	file := service(t)
	s := file.Services().Get(0)
	if path := fmt.Sprintf("/%s/%s", s.FullName(), s.Methods().Get(0).Name()); path != Path {
		t.Errorf("the method is %s, called as %s", path, Path)
	}
	p := Part{ID: "q.7", Shard: 7, Class: "rate-check", Filter: []byte{0xff, 0}, Micros: 9000,
		Term: math.MaxUint64}
	m := dynamicpb.NewMessage(s.Methods().Get(0).Input())
	if err := proto.Unmarshal(p.Append(nil)[prefixSize:], m); err != nil {
		t.Fatal(err)
	}
	if len(m.GetUnknown()) > 0 {
		t.Errorf("fields that the .proto has not: % x", m.GetUnknown())
	}
	get := func(name string) any {
		return m.Get(m.Descriptor().Fields().ByName(protoreflect.Name(name))).Interface()
	}
	if get("id") != "q.7" || get("shard") != uint32(7) || get("class") != "rate-check" ||
		string(get("filter").([]byte)) != "\xff\x00" || get("expected_micros") != uint64(9000) ||
		get("term") != uint64(math.MaxUint64) {
		t.Errorf("read as %v", m)
	}
	out := s.Methods().Get(0).Output()
	for name, c := range map[string]struct {
		v    any
		want translate.Answer
	}{
		"text":  {"x", translate.Answer{Shard: 3, Kind: translate.Text, Text: []byte("x")}},
		"whole": {int64(-5), translate.Answer{Shard: 3, Kind: translate.Integer, Integer: -5}},
		"real":  {0.5, translate.Answer{Shard: 3, Kind: translate.Float}},
		"raw":   {[]byte{1}, translate.Answer{Shard: 3, Kind: translate.Bytes, Text: []byte{1}}},
	} {
		m := dynamicpb.NewMessage(out)
		set := func(m protoreflect.Message, name string, v any) {
			m.Set(m.Descriptor().Fields().ByName(protoreflect.Name(name)), protoreflect.ValueOf(v))
		}
		set(m, "shard", uint32(3))
		set(m, name, c.v)
		load := m.Mutable(out.Fields().ByName("load")).Message()
		set(load, "requests_a_second", 12.5)
		set(load, "waiting", uint32(9))
		b, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ParseAnswer(b)
		c.want.HasReport, c.want.Rate, c.want.Waiting = true, 12.5, 9
		if err != nil || fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", c.want) {
			t.Errorf("%s: %+v, want %+v: %v", name, got, c.want, err)
		}
	}
}

// Any bytes are an answer or an error, and what is read agrees with the library.
func FuzzAnswer(f *testing.F) {
	f.Add(standin.TextMessage(3, "x"))
	f.Add([]byte{0x08, 0x03, 0x18, 0x09, 0x21, 1, 2, 3, 4, 5, 6, 7, 8, 0x32, 0x02, 0x10, 0x01})
	f.Add([]byte{0x0b, 0x0c, 0xff})
	c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}}
	files, err := c.Compile(context.Background(), "ledger.proto")
	if err != nil {
		f.Fatal(err)
	}
	out := files[0].Services().Get(0).Methods().Get(0).Output()
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := ParseAnswer(b)
		if err != nil {
			return
		}
		m := dynamicpb.NewMessage(out)
		if proto.Unmarshal(b, m) != nil {
			return // the library checks more, such as UTF-8, which is looked at later here
		}
		if got := m.Get(out.Fields().ByName("shard")).Uint(); got != uint64(a.Shard) {
			t.Errorf("shard %d, the library says %d", a.Shard, got)
		}
		if got := m.Get(out.Fields().ByName("text")).String(); a.Kind == translate.Text && got != string(a.Text) {
			t.Errorf("text %q, the library says %q", a.Text, got)
		}
	})
}

func TestTimeoutText(t *testing.T) {
	for d, want := range map[time.Duration]string{0: "1u", time.Second: "1000000u",
		99 * time.Second:  "99000000u",
		100 * time.Second: "100000m", 40 * time.Hour: "144000S", 1e6 * time.Hour: "60000000M"} {
		if got := timeoutText(d); got != want {
			t.Errorf("%v: %q, want %q", d, got, want)
		}
	}
}

// rig drives a backend without a core.
type rig struct {
	t    *testing.T
	b    *Backend
	mu   sync.Mutex
	ends map[*core.Attempt]core.AttemptDone
	many map[*core.Attempt]int
	look []core.ProbeDone
	n    int
}

var bounds = Config{StreamsPerConn: 4, ConnsPerNode: 1, QueuePerNode: 8, MaxValue: 4096, DialTimeout: 2 * time.Second,
	IdleTimeout:  time.Minute,
	WriteTimeout: time.Second}

func newRig(t *testing.T, cfg Config, keys *Credentials, nodes ...Target) *rig {
	r := &rig{t: t, ends: map[*core.Attempt]core.AttemptDone{}, many: map[*core.Attempt]int{}}
	r.b = New(cfg, keys, lnet.NewBudget(50, 0), standin.DiscardLogger(), &core.Counts{}, &translate.FailureCounts{},
		func(e core.Event) {
			r.mu.Lock()
			defer r.mu.Unlock()
			switch e := e.(type) {
			case core.AttemptDone:
				r.ends[e.Attempt] = e
				r.many[e.Attempt]++
			case core.ProbeDone:
				r.look = append(r.look, e)
			}
		})
	r.b.SetTargets(nodes)
	t.Cleanup(r.b.Close)
	return r
}

func target(n *standin.GRPCNode) Target { return Target{Name: "a", Address: n.Addr} }

// send sends one attempt with a body of so many bytes.
func (r *rig) send(size int, timeout time.Duration, by ...time.Time) *core.Attempt {
	r.n++
	a := &core.Attempt{Query: &core.Query{Name: fmt.Sprint("q", r.n), Payload: []byte(strings.Repeat("x", size)),
		Parts: []core.PartSpec{{Shard: 1}}}, Shard: 1, Replica: core.ServerID("a"), Timeout: timeout}
	if len(by) > 0 {
		a.StartBy = by[0]
	}
	a.Deadline = time.Now().Add(a.Timeout)
	r.b.Send(a.Replica, []*core.Attempt{a})
	return a
}

func (r *rig) ended(a *core.Attempt) (core.AttemptDone, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.ends[a]
	return o, ok
}

// want waits for an attempt's end.
func (r *rig) want(what string, a *core.Attempt, o balance.Outcome) {
	r.t.Helper()
	standin.WaitFor(r.t, what, func() bool { _, ok := r.ended(a); return ok })
	if got, _ := r.ended(a); got.Outcome != o {
		r.t.Errorf("%s: outcome %d, want %d", what, got.Outcome, o)
	}
}

func answer(standin.GRPCCall) standin.GRPCReply { return standin.GRPCReply{Text: "v"} }
func silent(standin.GRPCCall) standin.GRPCReply { return standin.GRPCReply{NoReply: true} }

// Whether a call may have run is told exactly, for every way in which it can end without an answer.
func TestNeverRanOrMayHave(t *testing.T) {
	second := func(conn int, stream uint32) bool { return stream > 1 }
	t.Run("refused stream", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{RefuseStream: second}, silent)
		r := newRig(t, bounds, nil, target(n))
		r.send(10, time.Minute)
		standin.WaitFor(t, "the first call", func() bool { return len(n.Calls()) == 1 })
		r.want("a stream that was refused", r.send(10, time.Minute), balance.Busy)
		if n.ConnsOpened() != 1 || len(n.Calls()) != 1 {
			t.Errorf("%d connections, %d calls: it was sent again", n.ConnsOpened(), len(n.Calls()))
		}
	})
	t.Run("left out by GOAWAY", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{GoAwayBefore: second}, func(standin.GRPCCall) standin.GRPCReply {
			return standin.GRPCReply{Text: "v", Delay: 300 * time.Millisecond}
		})
		r := newRig(t, bounds, nil, target(n))
		first := r.send(10, time.Minute)
		standin.WaitFor(t, "the first call", func() bool { return len(n.Calls()) == 1 })
		r.want("a stream beyond the last one", r.send(10, time.Minute), balance.NotSent)
		r.want("the one that it covers", first, balance.OK)
		r.want("what comes after", r.send(10, time.Minute), balance.OK)
		if n.ConnsOpened() != 2 {
			t.Errorf("%d connections", n.ConnsOpened())
		}
		standin.WaitFor(t, "the end of the first connection", func() bool { return n.OpenConns() == 1 })
	})
	t.Run("left out with one behind it", func(t *testing.T) {
		sent := make(chan struct{})
		n := standin.NewGRPCNode(t, standin.GRPCOptions{GoAwayBefore: func(_ int, stream uint32) bool {
			if stream != 3 {
				return false
			}
			<-sent // the GOAWAY crosses a call that is written behind the one that it leaves out
			return true
		}}, func(standin.GRPCCall) standin.GRPCReply {
			return standin.GRPCReply{Text: "v", Delay: 300 * time.Millisecond}
		})
		r := newRig(t, bounds, nil, target(n))
		first := r.send(10, time.Minute)
		standin.WaitFor(t, "the first call", func() bool { return len(n.Calls()) == 1 })
		second, third := r.send(10, time.Minute), r.send(10, time.Minute)
		standin.WaitFor(t, "both to be written", func() bool { return r.b.count.AttemptsSent.Load() == 3 })
		close(sent)
		r.want("the one that it leaves out", second, balance.NotSent)
		r.want("the one behind that", third, balance.NotSent)
		r.want("the one that it covers", first, balance.OK)
		standin.WaitFor(t, "the end of the connection", func() bool { return n.OpenConns() == 0 })
		if got := len(n.Calls()); got != 1 {
			t.Errorf("%d calls were executed: one of them is told never to have run", got)
		}
	})
	t.Run("GOAWAY with a covered call", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{}, func(standin.GRPCCall) standin.GRPCReply {
			return standin.GRPCReply{NoReply: true, GoAway: true}
		})
		r := newRig(t, bounds, nil, target(n))
		a := r.send(10, time.Minute)
		time.Sleep(50 * time.Millisecond)
		if o, ok := r.ended(a); ok {
			t.Fatalf("ended by a GOAWAY that covers it: %+v", o)
		}
		n.ResetConns()
		r.want("the break after it", a, balance.Reset)
	})
	t.Run("break before the last byte", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{StreamWindow: 100, NoWindowUpdates: true}, answer)
		r := newRig(t, bounds, nil, target(n))
		a := r.send(2000, time.Minute)
		standin.WaitFor(t, "the connection", func() bool { return n.ConnsOpened() == 1 })
		time.Sleep(100 * time.Millisecond)
		n.ResetConns()
		r.want("a call cut short", a, balance.NoConnection)
	})
	t.Run("break after the last byte", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{},
			func(standin.GRPCCall) standin.GRPCReply { return standin.GRPCReply{ResetConn: true} })
		r := newRig(t, bounds, nil, target(n))
		r.want("a call that ran", r.send(10, time.Minute), balance.Reset)
	})
	t.Run("reset by the node", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{}, func(standin.GRPCCall) standin.GRPCReply {
			return standin.GRPCReply{Reset: standin.ErrCode(http2.ErrCodeCancel)}
		})
		r := newRig(t, bounds, nil, target(n))
		r.want("a call that may have run", r.send(10, time.Minute), balance.Reset)
	})
	t.Run("nobody there", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{}, answer)
		n.Close()
		r := newRig(t, bounds, nil, target(n))
		r.want("no connection", r.send(10, time.Minute), balance.NoConnection)
		r.want("no such node", func() *core.Attempt {
			a := &core.Attempt{Query: &core.Query{Name: "x"}, Replica: core.ServerID("b")}
			r.b.Send(a.Replica, []*core.Attempt{a})
			return a
		}(), balance.NoConnection)
	})
	t.Run("no settings", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{NoControlFrames: true}, answer)
		cfg := bounds
		cfg.DialTimeout = 100 * time.Millisecond
		r := newRig(t, cfg, nil, target(n))
		r.want("a mute node", r.send(10, time.Minute), balance.NoConnection)
	})
	t.Run("deadline in the queue", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{MaxStreams: 1}, silent)
		r := newRig(t, bounds, nil, target(n))
		first := r.send(10, time.Minute)
		standin.WaitFor(t, "the first call", func() bool { return len(n.Calls()) == 1 })
		r.want("one whose time passed while it waited", r.send(10, 50*time.Millisecond), balance.NotSent)
		if !r.b.Cancel(r.send(10, time.Minute)) {
			t.Error("one that waits may have run")
		}
		if r.b.Cancel(first) {
			t.Error("one that was written whole has never run")
		}
		standin.WaitFor(t, "the reset", func() bool { return n.Resets() == 1 })
		if len(n.Calls()) != 1 {
			t.Errorf("%d calls reached the node", len(n.Calls()))
		}
	})
	t.Run("window of its key", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{StreamWindow: 100, NoWindowUpdates: true}, answer)
		r := newRig(t, bounds, nil, target(n))
		a := r.send(2000, time.Minute, time.Now().Add(200*time.Millisecond))
		r.want("one whose last byte came too late", a, balance.NotSent)
		standin.WaitFor(t, "the reset", func() bool { return n.Resets() == 1 })
		if len(n.Calls()) != 0 {
			t.Error("it came to its end all the same")
		}
		r.want("one that comes too late", r.send(10, time.Minute, time.Now().Add(-time.Millisecond)),
			balance.NotSent)
	})
}

// A drain takes back what is not begun, and nothing of it goes out any more.
func TestStopTakesBackWhatWaits(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{MaxStreams: 1}, silent)
	r := newRig(t, bounds, nil, target(n))
	r.send(10, time.Minute)
	standin.WaitFor(t, "the first call", func() bool { return len(n.Calls()) == 1 })
	b, c := r.send(10, time.Minute), r.send(10, time.Minute)
	back := r.b.CancelQueued(core.ServerID("a"))
	if len(back) != 2 || back[0] != b || back[1] != c {
		t.Fatalf("%d taken back", len(back))
	}
	n.ResetConns()
	time.Sleep(50 * time.Millisecond)
	if _, ok := r.ended(b); ok || len(n.Calls()) != 1 {
		t.Errorf("told of again, or sent: %d calls", len(n.Calls()))
	}
}

// Streams, connections and the queue stay within their bounds, and what waits is sent as room comes.
func TestBoundsOfStreams(t *testing.T) {
	release := make(chan bool)
	n := standin.NewGRPCNode(t, standin.GRPCOptions{MaxStreams: 3}, func(standin.GRPCCall) standin.GRPCReply {
		<-release
		return standin.GRPCReply{Text: "v"}
	})
	cfg := bounds
	cfg.ConnsPerNode, cfg.QueuePerNode = 2, 2
	r := newRig(t, cfg, nil, target(n))
	var all []*core.Attempt
	for i := range 3 {
		all = append(all, r.send(10, time.Minute))
		standin.WaitFor(t, "the call", func() bool { return len(n.Calls()) == i+1 })
	}
	for i := range 3 { // on a second connection
		all = append(all, r.send(10, time.Minute))
		standin.WaitFor(t, "the call", func() bool { return len(n.Calls()) == 4+i })
	}
	all = append(all, r.send(10, time.Minute), r.send(10, time.Minute)) // wait
	r.want("one too many", r.send(10, time.Minute), balance.Busy)
	time.Sleep(50 * time.Millisecond)
	if n.ConnsOpened() != 2 || len(n.Calls()) != 6 {
		t.Errorf("%d connections, %d calls", n.ConnsOpened(), len(n.Calls()))
	}
	close(release)
	for _, a := range all {
		r.want("the answer", a, balance.OK)
	}
	for a, k := range r.many {
		if k != 1 {
			t.Errorf("%s ended %d times", a.Query.Name, k)
		}
	}
}

// A message larger than the windows goes out as the node gives room, next to others.
func TestFlowControlTowardsTheNode(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{StreamWindow: 700}, answer)
	r := newRig(t, bounds, nil, target(n))
	var all []*core.Attempt
	for range 12 {
		all = append(all, r.send(60_000, time.Minute))
	}
	for _, a := range all {
		r.want("the answer", a, balance.OK)
	}
	for _, c := range n.Calls() {
		if len(c.Filter) != 60_000 {
			t.Errorf("%d bytes came", len(c.Filter))
		}
	}
}

// Sends come from one goroutine while others write and read: none may wait for another for ever. The writer
// once asked for the node's address under the connection's lock, and Send for the connection under the
// node's.
func TestSendsBesideTheWriter(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, answer)
	cfg := bounds
	cfg.StreamsPerConn, cfg.ConnsPerNode, cfg.QueuePerNode = 100, 2, 1000
	r := newRig(t, cfg, nil, target(n))
	done := make(chan bool)
	go func() {
		defer close(done)
		for range 400 {
			var all []*core.Attempt
			for range 8 {
				all = append(all, r.send(10, time.Minute))
			}
			for _, a := range all {
				for _, ok := r.ended(a); !ok; _, ok = r.ended(a) {
					time.Sleep(20 * time.Microsecond)
				}
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(60 * time.Second):
		t.Fatal("a send or its answer never came to its end")
	}
}

// A node that does not read costs its own connection, and no more memory than the bounds.
func TestNodeThatDoesNotRead(t *testing.T) {
	// The node has room for little: to fill megabytes with answers to pings takes longer than is waited for,
	// on a busy machine.
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}}
	l, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			fr := http2.NewFramer(c, nil)
			_ = fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 30})
			_ = fr.WriteWindowUpdate(0, 1<<30)
			// Each wants an answer; there are more than the system's buffers have room for answers.
			for fr.WritePing(false, [8]byte{1}) == nil {
			}
		}
	}()
	cfg := bounds
	cfg.WriteTimeout = 200 * time.Millisecond
	r := newRig(t, cfg, nil, Target{Name: "a", Address: l.Addr().String()})
	for range 6 {
		a := r.send(60_000, time.Minute)
		standin.WaitFor(t, "its end", func() bool { _, ok := r.ended(a); return ok })
	}
	standin.WaitFor(t, "the descriptors", func() bool { return r.b.budget.InUse() == 0 })
}

// A connection on which nothing comes any more is found out by a ping, once a call on it has timed out.
func TestSilentConnectionIsLeft(t *testing.T) {
	stuck := make(chan net.Conn, 4)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = http2.NewFramer(c, nil).WriteSettings()
			stuck <- c
		}
	}()
	cfg := bounds
	cfg.DialTimeout = 100 * time.Millisecond
	r := newRig(t, cfg, nil, Target{Name: "a", Address: l.Addr().String()})
	a, b := r.send(10, time.Minute), r.send(10, time.Minute)
	time.Sleep(250 * time.Millisecond)
	if r.b.Cancel(a) {
		t.Error("one that was written whole has never run")
	}
	r.want("the other call", b, balance.Reset)
	r.send(10, time.Minute)
	standin.WaitFor(t, "a second connection", func() bool { return len(stuck) == 2 })
}

func TestProbe(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, answer)
	r := newRig(t, bounds, nil, target(n))
	if !r.b.Probe(core.ServerID("a")) || r.b.Probe(core.ServerID("b")) {
		t.Fatal("probes of a known and an unknown node")
	}
	standin.WaitFor(t, "the probe", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.look) == 1 })
	if r.look[0].Outcome != balance.OK || n.Pings() != 1 {
		t.Errorf("%+v", r.look[0])
	}
	r.b.CloseIdle(core.ServerID("a"))
	standin.WaitFor(t, "the end of the idle connection", func() bool { return n.OpenConns() == 0 })
}

// Keys change in service: calls that are open come to their end, new ones go out with the new keys, and a set
// that does not hold together is turned down whole.
func TestKeysChangeInService(t *testing.T) {
	ca := standin.NewAuthority(t)
	dir := t.TempDir()
	files := CredentialFiles{CA: filepath.Join(dir, "ca"), Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir,
		"key")}
	put := func(path string, b []byte) {
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	pair := func(name string) { c, k := ca.Issue(name); put(files.Cert, c); put(files.Key, k) }
	put(files.CA, ca.PEM())
	pair("one")
	keys, err := LoadCredentials(files)
	if err != nil {
		t.Fatal(err)
	}
	c, k := ca.Issue("ledger")
	own, err := tls.X509KeyPair(c, k)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(ca.PEM())
	var mu sync.Mutex
	var names []string
	release := make(chan bool)
	n := standin.NewGRPCNode(t, standin.GRPCOptions{TLS: &tls.Config{Certificates: []tls.Certificate{own},
		NextProtos: []string{"h2"}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: roots,
		VerifyConnection: func(s tls.ConnectionState) error {
			mu.Lock()
			defer mu.Unlock()
			names = append(names, s.PeerCertificates[0].Subject.CommonName)
			return nil
		}}}, func(c standin.GRPCCall) standin.GRPCReply {
		if c.Conn == 1 {
			<-release
		}
		return standin.GRPCReply{Text: "v"}
	})
	to := Target{Name: "a", Address: n.Addr, TLS: true, ServerName: "ledger"}
	r := newRig(t, bounds, keys, to)
	open := r.send(10, time.Minute)
	standin.WaitFor(t, "the first call", func() bool { return len(n.Calls()) == 1 })
	put(files.Key, []byte("broken"))
	if changed, err := keys.Reload(); changed || err == nil {
		t.Fatalf("a broken pair was taken: %v %v", changed, err)
	}
	if changed, err := keys.Reload(); changed || err != nil {
		t.Errorf("told of twice: %v %v", changed, err)
	}
	other := standin.NewAuthority(t)
	put(files.CA, []byte("nothing"))
	if changed, err := keys.Reload(); changed || err == nil {
		t.Fatalf("roots without a certificate were taken: %v %v", changed, err)
	}
	put(files.CA, append(other.PEM(), ca.PEM()...))
	pair("two")
	if changed, err := keys.Reload(); !changed || err != nil {
		t.Fatalf("%v %v", changed, err)
	}
	r.b.RetireTLSConns()
	r.want("a call with the new keys", r.send(10, time.Minute), balance.OK)
	if _, ok := r.ended(open); ok {
		t.Error("the open call was lost")
	}
	close(release)
	r.want("the open call", open, balance.OK)
	mu.Lock()
	defer mu.Unlock()
	if len(names) != 2 || names[0] != "one" || names[1] != "two" {
		t.Errorf("the node saw %v", names)
	}
	wrong := to
	wrong.ServerName = "somebody"
	r.b.SetTargets([]Target{wrong})
	r.want("a node of another name", r.send(10, time.Minute), balance.NoConnection)
}

// A connection is ended while it is dialled: what the dialler sets, the end does not read beside it (the race
// detector looks).
func TestAConnectionIsEndedWhileItIsDialled(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r := newRig(t, bounds, nil, Target{Name: "a", Address: l.Addr().String()})
	node := r.b.nodes[core.ServerID("a")]
	for range 50 {
		if !r.b.budget.AcquireServer() {
			t.Fatal("no descriptor")
		}
		c := newConn(r.b, node)
		over := make(chan struct{})
		go func() {
			defer close(over)
			c.run()
		}()
		c.end(nil)
		<-over
	}
}
