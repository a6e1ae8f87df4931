package grpcnode

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math"
	"math/rand/v2"
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
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/standin"
	"lapislever/internal/translate"
)

// service compiles ledger.proto.
func service(t *testing.T) protoreflect.FileDescriptor {
	t.Helper()
	c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}}
	files, err := c.Compile(context.Background(), "ledger.proto")
	if err != nil {
		t.Fatal(err)
	}
	return files[0]
}

// The hand-written encoding and decoding and the method path must match the .proto.
func TestMessagesMatchTheProto(t *testing.T) {
	file := service(t)
	s := file.Services().Get(0)
	if path := fmt.Sprintf("/%s/%s", s.FullName(), s.Methods().Get(0).Name()); path != MethodPath {
		t.Errorf("the method path is %s, calls use %s", path, MethodPath)
	}
	p := Part{ID: "q.7", Shard: 7, Class: "rate-check", Filter: []byte{0xff, 0}, Micros: 9000,
		Term: math.MaxUint64}
	m := dynamicpb.NewMessage(s.Methods().Get(0).Input())
	if err := proto.Unmarshal(p.Append(nil)[messagePrefixSize:], m); err != nil {
		t.Fatal(err)
	}
	if len(m.GetUnknown()) > 0 {
		t.Errorf("fields that are not in the .proto: % x", m.GetUnknown())
	}
	get := func(name string) any {
		return m.Get(m.Descriptor().Fields().ByName(protoreflect.Name(name))).Interface()
	}
	if get("id") != "q.7" || get("shard") != uint32(7) || get("class") != "rate-check" ||
		string(get("filter").([]byte)) != "\xff\x00" || get("expected_micros") != uint64(9000) ||
		get("term") != uint64(math.MaxUint64) {
		t.Errorf("decoded as %v", m)
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

// Any input is an answer or an error, and a decoded answer agrees with the protobuf library.
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
			return // the library checks more, such as UTF-8, which is checked later here
		}
		if got := m.Get(out.Fields().ByName("shard")).Uint(); got != uint64(a.Shard) {
			t.Errorf("shard %d, the library says %d", a.Shard, got)
		}
		if got := m.Get(out.Fields().ByName("text")).String(); a.Kind == translate.Text && got != string(a.Text) {
			t.Errorf("text %q, the library says %q", a.Text, got)
		}
	})
}

// appendText appends an answer's text field that states a length which is short by some bytes.
func appendText(b []byte, text string, short int) []byte {
	b = protowire.AppendTag(b, 2, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(text)-short))
	return append(b, text...)
}

// Guards against a text that is served cut, as its length is too small and the rest of it passes for fields.
func TestTextWithTooSmallLengthIsNoAnswer(t *testing.T) {
	random := rand.New(rand.NewPCG(47, 1))
	texts := []string{"bd222490cbdc4c80", "daa868396f25cb52", "8a", "příjem", "účet 70 800,–", "!12345678",
		"v2" + strings.Repeat("0", 60), "v2" + strings.Repeat("2", 2600)}
	for range 2000 {
		texts = append(texts, fmt.Sprintf("%016x", random.Uint64()))
	}
	for _, text := range texts {
		for short := 1; short <= len(text); short++ {
			a, err := ParseAnswer(appendText([]byte{0x08, 3}, text, short))
			if err != nil {
				continue
			}
			if value, reason := a.Value(3, 1<<16); reason == translate.None {
				t.Fatalf("%.40q, short by %d: served as %.40q", text, short, value)
			}
		}
	}
}

// A field that a newer service may have added does not spoil an answer.
func TestAnswerWithFurtherFields(t *testing.T) {
	for _, number := range []protowire.Number{16, 17, 100, 2047} {
		b := appendText([]byte{0x08, 3}, "whole", 0)
		b = protowire.AppendBytes(protowire.AppendTag(b, number, protowire.BytesType), []byte("more text"))
		b = protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), 77)
		a, err := ParseAnswer(b)
		if value, reason := a.Value(3, 64); err != nil || reason != translate.None || string(value) != "whole" {
			t.Errorf("field %d: %q %v %v", number, value, reason, err)
		}
	}
}

func TestTimeoutText(t *testing.T) {
	for d, want := range map[time.Duration]string{0: "1u", time.Second: "1000000u",
		99 * time.Second:  "99000000u",
		100 * time.Second: "100000m", 40 * time.Hour: "144000S", 1e6 * time.Hour: "60000000M"} {
		if got := formatTimeout(d); got != want {
			t.Errorf("%v: %q, want %q", d, got, want)
		}
	}
}

// rig runs a backend without a core and records what it reports.
type rig struct {
	t            *testing.T
	backend      *Backend
	mu           sync.Mutex
	outcomes     map[*core.Attempt]core.AttemptDone
	outcomeCount map[*core.Attempt]int
	probes       []core.ProbeDone
	sent         int
}

var testConfig = Config{StreamsPerConn: 4, ConnsPerNode: 1, QueuePerNode: 8, MaxValue: 4096,
	DialTimeout:  2 * time.Second,
	IdleTimeout:  time.Minute,
	WriteTimeout: time.Second}

func newRig(t *testing.T, cfg Config, credentials *Credentials, nodes ...Target) *rig {
	r := &rig{t: t, outcomes: map[*core.Attempt]core.AttemptDone{}, outcomeCount: map[*core.Attempt]int{}}
	r.backend = New(cfg, credentials, lnet.NewBudget(50, 0), standin.DiscardLogger(), &core.Counts{},
		&translate.FailureCounts{}, func(e core.Event) {
			r.mu.Lock()
			defer r.mu.Unlock()
			switch e := e.(type) {
			case core.AttemptDone:
				r.outcomes[e.Attempt] = e
				r.outcomeCount[e.Attempt]++
			case core.ProbeDone:
				r.probes = append(r.probes, e)
			}
		})
	r.backend.SetTargets(nodes)
	t.Cleanup(r.backend.Close)
	return r
}

func target(n *standin.GRPCNode) Target { return Target{Name: "a", Address: n.Addr} }

// send sends one attempt with a payload of size bytes.
func (r *rig) send(size int, timeout time.Duration, startBy ...time.Time) *core.Attempt {
	r.sent++
	a := &core.Attempt{Query: &core.Query{Name: fmt.Sprint("q", r.sent),
		Payload: []byte(strings.Repeat("x", size)), Parts: []core.PartSpec{{Shard: 1}}}, Shard: 1,
		Replica: core.ServerID("a"), Timeout: timeout}
	if len(startBy) > 0 {
		a.StartBy = startBy[0]
	}
	a.Deadline = time.Now().Add(a.Timeout)
	r.backend.Send(a.Replica, []*core.Attempt{a})
	return a
}

func (r *rig) ended(a *core.Attempt) (core.AttemptDone, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.outcomes[a]
	return o, ok
}

// want waits for an attempt to end and checks its outcome.
func (r *rig) want(what string, a *core.Attempt, o balance.Outcome) {
	r.t.Helper()
	standin.WaitFor(r.t, what, func() bool { _, ok := r.ended(a); return ok })
	if got, _ := r.ended(a); got.Outcome != o {
		r.t.Errorf("%s: outcome %d, want %d", what, got.Outcome, o)
	}
}

func answer(standin.GRPCCall) standin.GRPCReply { return standin.GRPCReply{Text: "v"} }
func silent(standin.GRPCCall) standin.GRPCReply { return standin.GRPCReply{NoReply: true} }

// The backend reports exactly whether a call may have run, for every way in which it can end without an
// answer.
func TestWhetherCallMayHaveRun(t *testing.T) {
	second := func(conn int, stream uint32) bool { return stream > 1 }
	t.Run("refused stream", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{RefuseStream: second}, silent)
		r := newRig(t, testConfig, nil, target(n))
		r.send(10, time.Minute)
		standin.WaitFor(t, "the first call", func() bool { return len(n.Calls()) == 1 })
		r.want("a stream that was refused", r.send(10, time.Minute), balance.Busy)
		if n.ConnsOpened() != 1 || len(n.Calls()) != 1 {
			t.Errorf("%d connections, %d calls: the call was sent again", n.ConnsOpened(), len(n.Calls()))
		}
	})
	t.Run("left out by GOAWAY", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{GoAwayBefore: second},
			func(standin.GRPCCall) standin.GRPCReply {
				return standin.GRPCReply{Text: "v", Delay: 300 * time.Millisecond}
			})
		r := newRig(t, testConfig, nil, target(n))
		first := r.send(10, time.Minute)
		standin.WaitFor(t, "the first call", func() bool { return len(n.Calls()) == 1 })
		r.want("a stream beyond the last accepted one", r.send(10, time.Minute), balance.NotSent)
		r.want("the accepted stream", first, balance.OK)
		r.want("a later call", r.send(10, time.Minute), balance.OK)
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
			<-sent // the GOAWAY crosses a call written after the one that it does not accept
			return true
		}}, func(standin.GRPCCall) standin.GRPCReply {
			return standin.GRPCReply{Text: "v", Delay: 300 * time.Millisecond}
		})
		r := newRig(t, testConfig, nil, target(n))
		first := r.send(10, time.Minute)
		standin.WaitFor(t, "the first call", func() bool { return len(n.Calls()) == 1 })
		second, third := r.send(10, time.Minute), r.send(10, time.Minute)
		standin.WaitFor(t, "both to be written", func() bool { return r.backend.counts.AttemptsSent.Load() == 3 })
		close(sent)
		r.want("the call not accepted", second, balance.NotSent)
		r.want("the call after it", third, balance.NotSent)
		r.want("the accepted call", first, balance.OK)
		standin.WaitFor(t, "the end of the connection", func() bool { return n.OpenConns() == 0 })
		if got := len(n.Calls()); got != 1 {
			t.Errorf("%d calls ran, one of which was reported as never run", got)
		}
	})
	t.Run("GOAWAY with a covered call", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{}, func(standin.GRPCCall) standin.GRPCReply {
			return standin.GRPCReply{NoReply: true, GoAway: true}
		})
		r := newRig(t, testConfig, nil, target(n))
		a := r.send(10, time.Minute)
		time.Sleep(50 * time.Millisecond)
		if o, ok := r.ended(a); ok {
			t.Fatalf("ended by a GOAWAY that accepted it: %+v", o)
		}
		n.ResetConns()
		r.want("the connection loss after it", a, balance.Reset)
	})
	t.Run("break before the last byte", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{StreamWindow: 100, NoWindowUpdates: true}, answer)
		r := newRig(t, testConfig, nil, target(n))
		a := r.send(2000, time.Minute)
		standin.WaitFor(t, "the connection", func() bool { return n.ConnsOpened() == 1 })
		time.Sleep(100 * time.Millisecond)
		n.ResetConns()
		r.want("a truncated call", a, balance.NoConnection)
	})
	t.Run("break after the last byte", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{},
			func(standin.GRPCCall) standin.GRPCReply { return standin.GRPCReply{ResetConn: true} })
		r := newRig(t, testConfig, nil, target(n))
		r.want("a call that ran", r.send(10, time.Minute), balance.Reset)
	})
	t.Run("reset by the node", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{}, func(standin.GRPCCall) standin.GRPCReply {
			return standin.GRPCReply{Reset: standin.ErrCode(http2.ErrCodeCancel)}
		})
		r := newRig(t, testConfig, nil, target(n))
		r.want("a call that may have run", r.send(10, time.Minute), balance.Reset)
	})
	t.Run("nobody there", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{}, answer)
		n.Close()
		r := newRig(t, testConfig, nil, target(n))
		r.want("no connection", r.send(10, time.Minute), balance.NoConnection)
		r.want("no such node", func() *core.Attempt {
			a := &core.Attempt{Query: &core.Query{Name: "x"}, Replica: core.ServerID("b")}
			r.backend.Send(a.Replica, []*core.Attempt{a})
			return a
		}(), balance.NoConnection)
	})
	t.Run("no settings", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{NoControlFrames: true}, answer)
		cfg := testConfig
		cfg.DialTimeout = 100 * time.Millisecond
		r := newRig(t, cfg, nil, target(n))
		r.want("a silent node", r.send(10, time.Minute), balance.NoConnection)
	})
	t.Run("deadline in the queue", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{MaxStreams: 1}, silent)
		r := newRig(t, testConfig, nil, target(n))
		first := r.send(10, time.Minute)
		standin.WaitFor(t, "the first call", func() bool { return len(n.Calls()) == 1 })
		r.want("a call that expired in the queue", r.send(10, 50*time.Millisecond), balance.NotSent)
		if !r.backend.Cancel(r.send(10, time.Minute)) {
			t.Error("a queued call is reported as possibly run")
		}
		if r.backend.Cancel(first) {
			t.Error("a completely written call is reported as never run")
		}
		standin.WaitFor(t, "the reset", func() bool { return n.Resets() == 1 })
		if len(n.Calls()) != 1 {
			t.Errorf("%d calls reached the node", len(n.Calls()))
		}
	})
	t.Run("window of its key", func(t *testing.T) {
		n := standin.NewGRPCNode(t, standin.GRPCOptions{StreamWindow: 100, NoWindowUpdates: true}, answer)
		r := newRig(t, testConfig, nil, target(n))
		a := r.send(2000, time.Minute, time.Now().Add(200*time.Millisecond))
		r.want("a call whose last byte was too late", a, balance.NotSent)
		standin.WaitFor(t, "the reset", func() bool { return n.Resets() == 1 })
		if len(n.Calls()) != 0 {
			t.Error("the call was completed all the same")
		}
		r.want("a call that is too late", r.send(10, time.Minute, time.Now().Add(-time.Millisecond)),
			balance.NotSent)
	})
}

// A drain returns the calls that have not been started, and none of them is sent any more.
func TestCancelQueuedReturnsPendingCalls(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{MaxStreams: 1}, silent)
	r := newRig(t, testConfig, nil, target(n))
	r.send(10, time.Minute)
	standin.WaitFor(t, "the first call", func() bool { return len(n.Calls()) == 1 })
	b, c := r.send(10, time.Minute), r.send(10, time.Minute)
	back := r.backend.CancelQueued(core.ServerID("a"))
	if len(back) != 2 || back[0] != b || back[1] != c {
		t.Fatalf("%d calls returned", len(back))
	}
	n.ResetConns()
	time.Sleep(50 * time.Millisecond)
	if _, ok := r.ended(b); ok || len(n.Calls()) != 1 {
		t.Errorf("reported again, or sent: %d calls", len(n.Calls()))
	}
}

// Streams, connections and the queue stay within their limits, and queued calls are sent as streams become
// free.
func TestBoundsOfStreams(t *testing.T) {
	release := make(chan bool)
	n := standin.NewGRPCNode(t, standin.GRPCOptions{MaxStreams: 3}, func(standin.GRPCCall) standin.GRPCReply {
		<-release
		return standin.GRPCReply{Text: "v"}
	})
	cfg := testConfig
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
	all = append(all, r.send(10, time.Minute), r.send(10, time.Minute)) // queued
	r.want("a call beyond the queue", r.send(10, time.Minute), balance.Busy)
	time.Sleep(50 * time.Millisecond)
	if n.ConnsOpened() != 2 || len(n.Calls()) != 6 {
		t.Errorf("%d connections, %d calls", n.ConnsOpened(), len(n.Calls()))
	}
	close(release)
	for _, a := range all {
		r.want("the answer", a, balance.OK)
	}
	for a, k := range r.outcomeCount {
		if k != 1 {
			t.Errorf("%s ended %d times", a.Query.Name, k)
		}
	}
}

// A message larger than the flow-control windows is sent as the node opens them, interleaved with others.
func TestFlowControlTowardsTheNode(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{StreamWindow: 700}, answer)
	r := newRig(t, testConfig, nil, target(n))
	var all []*core.Attempt
	for range 12 {
		all = append(all, r.send(60_000, time.Minute))
	}
	for _, a := range all {
		r.want("the answer", a, balance.OK)
	}
	for _, c := range n.Calls() {
		if len(c.Filter) != 60_000 {
			t.Errorf("%d bytes arrived", len(c.Filter))
		}
	}
}

// Send runs concurrently with the write and read loops: they must not deadlock. The write loop once took the
// node's lock while holding the connection's, and Send took them in the opposite order.
func TestConcurrentSendsAndWritesDoNotDeadlock(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, answer)
	cfg := testConfig
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
		t.Fatal("a call did not end within 60 s")
	}
}

// A node that does not read loses its connection, and uses no more memory than the limits.
// refusals is how many calls are made to a node that refuses connections.
const refusals = 1000

// Guards against a refused connection that is reported as a call not sent, so that nothing is held against
// its node: the connection was refused before the call that opened it had been queued.
func TestRefusedConnectionIsTheOutcomeOfTheCallThatOpenedIt(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, answer)
	n.Close()
	r := newRig(t, testConfig, nil, target(n))
	for range refusals {
		a := r.send(10, time.Minute)
		r.want("no connection", a, balance.NoConnection)
		if t.Failed() {
			return
		}
	}
}

func TestNodeThatDoesNotRead(t *testing.T) {
	// The node has a small receive buffer: filling megabytes with replies to pings would take longer than the
	// test waits on a busy machine.
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
			// Each ping requires a reply; there are more than the socket buffers hold replies.
			for fr.WritePing(false, [8]byte{1}) == nil {
			}
		}
	}()
	cfg := testConfig
	cfg.WriteTimeout = 200 * time.Millisecond
	r := newRig(t, cfg, nil, Target{Name: "a", Address: l.Addr().String()})
	for range 6 {
		a := r.send(60_000, time.Minute)
		standin.WaitFor(t, "its end", func() bool { _, ok := r.ended(a); return ok })
	}
	standin.WaitFor(t, "the descriptors", func() bool { return r.backend.budget.InUse() == 0 })
}

// A connection that has gone silent is detected by a ping, once a call on it has timed out.
func TestSilentConnectionIsDetected(t *testing.T) {
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
	cfg := testConfig
	cfg.DialTimeout = 100 * time.Millisecond
	r := newRig(t, cfg, nil, Target{Name: "a", Address: l.Addr().String()})
	a, b := r.send(10, time.Minute), r.send(10, time.Minute)
	time.Sleep(250 * time.Millisecond)
	if r.backend.Cancel(a) {
		t.Error("a completely written call is reported as never run")
	}
	r.want("the other call", b, balance.Reset)
	r.send(10, time.Minute)
	standin.WaitFor(t, "a second connection", func() bool { return len(stuck) == 2 })
}

func TestProbe(t *testing.T) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, answer)
	r := newRig(t, testConfig, nil, target(n))
	if !r.backend.Probe(core.ServerID("a")) || r.backend.Probe(core.ServerID("b")) {
		t.Fatal("probes of a known and an unknown node")
	}
	standin.WaitFor(t, "the probe", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.probes) == 1 })
	if r.probes[0].Outcome != balance.OK || n.Pings() != 1 {
		t.Errorf("%+v", r.probes[0])
	}
	r.backend.CloseIdle(core.ServerID("a"))
	standin.WaitFor(t, "the end of the idle connection", func() bool { return n.OpenConns() == 0 })
}

// Credentials change at run time: calls in flight continue, new ones use the new credentials, and an
// inconsistent set of files is rejected as a whole.
func TestCredentialsReload(t *testing.T) {
	ca := standin.NewAuthority(t)
	dir := t.TempDir()
	files := CredentialFiles{CA: filepath.Join(dir, "ca"), Cert: filepath.Join(dir, "cert"),
		Key: filepath.Join(dir, "key")}
	put := func(path string, b []byte) {
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	pair := func(name string) { c, k := ca.Issue(name); put(files.Cert, c); put(files.Key, k) }
	put(files.CA, ca.PEM())
	pair("one")
	credentials, err := LoadCredentials(files)
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
	r := newRig(t, testConfig, credentials, to)
	open := r.send(10, time.Minute)
	standin.WaitFor(t, "the first call", func() bool { return len(n.Calls()) == 1 })
	put(files.Key, []byte("broken"))
	if changed, err := credentials.Reload(); changed || err == nil {
		t.Fatalf("an invalid key pair was accepted: %v %v", changed, err)
	}
	if changed, err := credentials.Reload(); changed || err != nil {
		t.Errorf("the error was reported twice: %v %v", changed, err)
	}
	other := standin.NewAuthority(t)
	put(files.CA, []byte("nothing"))
	if changed, err := credentials.Reload(); changed || err == nil {
		t.Fatalf("roots without a certificate were accepted: %v %v", changed, err)
	}
	put(files.CA, append(other.PEM(), ca.PEM()...))
	pair("two")
	if changed, err := credentials.Reload(); !changed || err != nil {
		t.Fatalf("%v %v", changed, err)
	}
	r.backend.RetireTLSConns()
	r.want("a call with the new credentials", r.send(10, time.Minute), balance.OK)
	if _, ok := r.ended(open); ok {
		t.Error("the call in flight ended")
	}
	close(release)
	r.want("the call in flight", open, balance.OK)
	mu.Lock()
	defer mu.Unlock()
	if len(names) != 2 || names[0] != "one" || names[1] != "two" {
		t.Errorf("the node saw %v", names)
	}
	wrong := to
	wrong.ServerName = "somebody"
	r.backend.SetTargets([]Target{wrong})
	r.want("a node with another name", r.send(10, time.Minute), balance.NoConnection)
}

// A connection is closed while it is being dialled: close must not read what the dialling goroutine sets
// without a lock. This relies on the race detector.
func TestCloseWhileDialling(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r := newRig(t, testConfig, nil, Target{Name: "a", Address: l.Addr().String()})
	node := r.backend.nodes[core.ServerID("a")]
	for range 50 {
		if !r.backend.budget.AcquireServer() {
			t.Fatal("no descriptor")
		}
		c := newConn(r.backend, node)
		over := make(chan struct{})
		go func() {
			defer close(over)
			c.writeLoop()
		}()
		c.close(nil)
		<-over
	}
}
