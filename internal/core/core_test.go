package core

import (
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"lapislever/balance"
	"lapislever/internal/verdict"
)

// fake is a backend that notes what it is told, and a client that notes its answers.
type fake struct {
	mu        sync.Mutex
	calls     [][]*Attempt
	withdrawn []*Attempt
	unsent    bool // what Withdraw says
	refuses   bool
	queued    []*Attempt // what Stop gives back
	probes    int
	finals    []FinalAnswer
}

func (f *fake) Send(_ balance.ReplicaID, call []*Attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	return !f.refuses
}

func (f *fake) Cancel(a *Attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withdrawn = append(f.withdrawn, a)
	return f.unsent
}

func (f *fake) Probe(balance.ReplicaID) bool { f.probes++; return true }
func (f *fake) CloseIdle(balance.ReplicaID)  {}
func (f *fake) CancelQueued(balance.ReplicaID) []*Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queued
}

func (f *fake) Final(x FinalAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finals = append(f.finals, x)
}

const ms = 1000

// settings are a plain deployment: two shards on one cell of two servers.
func settings() balance.Settings {
	return balance.Settings{
		Classes: []balance.Class{{Aim: 1000 * ms, Deadline: 3000 * ms, Worth: 1, Need: 1, Floor: 1}},
		Tick:    5 * ms, Cells: 1, Reach: 1, BatchMax: 1, MaxAttempts: 3, Peers: 1, CanCancel: true, CanCopy: true,
		CanAdvise: true, MaxRetryAfter: 1000 * ms, ColdShare: 1, ReportQueue: -1,
	}
}

// rig drives a core by hand, without Run: each Step is at a moment of the test's own.
type rig struct {
	*Core
	f  *fake
	at balance.Micros
}

func start(t *testing.T, s balance.Settings) *rig {
	t.Helper()
	f := &fake{}
	c, err := New(Config{Settings: s, Seed: 7, Backends: []Backend{f},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	k := &rig{Core: c, f: f, at: c.base}
	k.tell(ListUpdate{Mode: balance.Full, Replicas: []balance.Replica{
		{ID: 1, State: balance.Ready, Size: 1}, {ID: 2, State: balance.Ready, Size: 1}}})
	return k
}

// tell hands in events and steps once.
func (k *rig) tell(events ...Event) {
	for _, e := range events {
		k.take(e)
	}
	k.at += 5 * ms
	k.step(k.at)
}

// wait steps as time goes by.
func (k *rig) wait(d balance.Micros) {
	for end := k.at + d; k.at < end; {
		k.tell()
	}
}

func (k *rig) query(name string, parts int) *Query {
	q := &Query{Name: name, Deadline: k.epoch.Add(time.Duration(k.at-k.base)*time.Microsecond + 3*time.Second),
		Client: k.f, Backend: k.f}
	for s := range parts {
		q.Parts = append(q.Parts, PartSpec{Shard: s, Weight: 2})
	}
	return q
}

func TestAnswerHoldsTheValuesOfAllParts(t *testing.T) {
	k := start(t, settings())
	k.tell(k.query("a", 2))
	if len(k.f.calls) != 2 {
		t.Fatalf("%d calls", len(k.f.calls))
	}
	one, two := k.f.calls[0][0], k.f.calls[1][0]
	k.tell(AttemptDone{Attempt: two, Outcome: balance.OK, Value: Value{Body: []byte("v1")}})
	if len(k.f.finals) != 0 {
		t.Fatal("answered from half of the parts")
	}
	k.tell(AttemptDone{Attempt: one, Outcome: balance.OK, Value: Value{Body: []byte("v0")}},
		AttemptDone{Attempt: one, Outcome: balance.OK, Value: Value{Body: []byte("again")}})
	if len(k.f.finals) != 1 {
		t.Fatalf("%d final answers", len(k.f.finals))
	}
	f := k.f.finals[0]
	if f.Outcome != Answered || !f.Complete || len(f.Values) != 2 || string(f.Values[0].Body) != "v0" ||
		f.Values[0].Shard != 0 || string(f.Values[1].Body) != "v1" {
		t.Fatalf("%+v", f)
	}
	if len(k.queries)+len(k.parts)+len(k.names)+len(k.numbers)+k.held != 0 {
		t.Fatal("something is kept after the end")
	}
}

func TestSendsOfOneStepShareACall(t *testing.T) {
	s := settings()
	s.BatchMax, s.CallCost = 3, 1
	k := start(t, s)
	k.take(k.query("a", 4))
	k.tell(k.query("b", 1))
	parts := 0
	for _, c := range k.f.calls {
		if parts += len(c); len(c) > 3 {
			t.Fatalf("a call of %d parts", len(c))
		}
		for _, a := range c {
			if a.Replica != c[0].Replica {
				t.Fatal("a call to two servers")
			}
		}
	}
	if parts != 5 || len(k.f.calls) > 3 {
		t.Fatalf("%d parts in %d calls", parts, len(k.f.calls))
	}
}

// A silent server: the attempt ends by its time-out, is withdrawn, and what it answers later is dropped.
// The query gets its one final answer in time, with advice when to come back.
func TestTimeOutAndLateAnswer(t *testing.T) {
	k := start(t, settings())
	k.tell(k.query("a", 1))
	first := k.f.calls[0][0]
	k.wait(3000 * ms)
	if len(k.f.finals) != 1 || k.f.finals[0].Outcome != Refused || k.f.finals[0].RetryAfter <= 0 {
		t.Fatalf("%+v", k.f.finals)
	}
	if len(k.f.withdrawn) != len(k.f.calls) {
		t.Fatalf("%d of %d attempts withdrawn", len(k.f.withdrawn), len(k.f.calls))
	}
	k.tell(AttemptDone{Attempt: first, Outcome: balance.OK, Value: Value{Body: []byte("late")}})
	if k.wait(100 * ms); len(k.f.finals) != 1 || len(k.parts) != 0 {
		t.Fatalf("%+v, %d parts", k.f.finals, len(k.parts))
	}
}

// The module's clock may stand still for as long as it likes: an overdue query gets its answer at the next
// Step.
func TestOverdueQueryIsAnswered(t *testing.T) {
	k := start(t, settings())
	k.tell(k.query("a", 1))
	k.at += 60_000 * ms
	if k.tell(); len(k.f.finals) != 1 {
		t.Fatalf("%+v", k.f.finals)
	}
	q := k.query("b", 1)
	q.Deadline = k.epoch // long past
	if k.tell(q); len(k.f.finals) != 2 || k.f.finals[1].Outcome == Answered {
		t.Fatalf("%+v", k.f.finals)
	}
}

func TestClientThatLeftEndsItsQuery(t *testing.T) {
	k := start(t, settings())
	q := k.query("a", 2)
	k.tell(q)
	k.tell(ClientGone{Query: q}, ClientGone{Query: q})
	if k.wait(4000 * ms); len(k.f.finals) != 0 || len(k.f.withdrawn) != 2 || len(k.parts) != 0 || k.held != 0 {
		t.Fatalf("%d answers, %d withdrawn, %d parts", len(k.f.finals), len(k.f.withdrawn), len(k.parts))
	}
}

// A client that leaves while its query waits in the queue: nothing of it is sent, and its place is given
// back.
func TestClientThatLeavesWhileItsQueryIsQueued(t *testing.T) {
	k := start(t, settings())
	q := k.query("a", 2)
	if !k.Submit(q) {
		t.Fatal("not queued")
	}
	k.Abandon(q)
	k.tell(<-k.queue) // word of its end is still behind others
	k.tell(<-k.queue)
	if len(k.f.calls) != 0 || len(k.f.finals) != 0 || k.held != 0 || k.cfg.Counts.ActiveQueries.Load() != 0 {
		t.Fatalf("%d calls, %d answers, %d held, %d active", len(k.f.calls), len(k.f.finals), k.held,
			k.cfg.Counts.ActiveQueries.Load())
	}
}

// An attempt bears the moments that its backend has to look at, on the clock that it reads; the end of its
// query holds it back too.
func TestAttemptTellsWhetherItMayBegin(t *testing.T) {
	s := settings()
	s.Classes[0].Effect, s.Classes[0].Window = balance.Keyed, 300*ms
	k := start(t, s)
	q := k.query("a", 1)
	k.tell(q)
	first := k.f.calls[0][0]
	if !first.StartBy.IsZero() {
		t.Fatal("a first attempt is bound to no window")
	}
	k.tell(AttemptDone{Attempt: first, Outcome: balance.Error})
	again := k.f.calls[1][0]
	window := first.Deadline.Add(-first.Timeout).Add(300 * time.Millisecond)
	if !again.StartBy.Equal(window) {
		t.Fatalf("a repeat may begin until %v, its window ends at %v", again.StartBy, window)
	}
	var w abortCounter
	if _, hold := again.BeginWrite(&w, window); hold != NoHold {
		t.Fatal("it may begin up to the end of its window")
	}
	again.EndWrite(&w)
	if _, hold := again.BeginWrite(&w, window.Add(time.Microsecond)); hold != HoldWindow {
		t.Fatal("it began after its window")
	}
	wait, hold := first.BeginWrite(&w, first.Deadline.Add(-time.Second))
	if hold != NoHold || wait != time.Second {
		t.Fatalf("%v are left, %v", wait, hold)
	}
	first.EndWrite(&w)
	if _, hold := first.BeginWrite(&w, first.Deadline); hold != HoldExpired {
		t.Fatal("it began when its time was over")
	}
	k.tell(ClientGone{Query: q})
	if _, hold := again.BeginWrite(&w, window); hold != HoldFinished {
		t.Fatal("it began after its client had left")
	}
}

// What is queued for a server that drains is taken back; as it never ran, it goes to another one at once.
func TestDrainTakesQueuedSendsBack(t *testing.T) {
	k := start(t, settings())
	k.tell(k.query("a", 1))
	a := k.f.calls[0][0]
	k.f.queued = []*Attempt{a}
	drains := balance.Replica{ID: a.Replica, State: balance.Draining, Size: 1}
	k.tell(ListUpdate{Mode: balance.Delta, Replicas: []balance.Replica{drains}})
	if len(k.f.calls) != 2 || k.f.calls[1][0].Replica == a.Replica {
		t.Fatalf("%d calls", len(k.f.calls))
	}
}

func TestBackendThatCannotQueue(t *testing.T) {
	k := start(t, settings())
	k.f.refuses = true
	k.tell(k.query("a", 1))
	if k.wait(200 * ms); len(k.f.finals) != 1 || k.f.finals[0].Outcome != Refused || len(k.f.calls) != 3 {
		t.Fatalf("%+v after %d calls", k.f.finals, len(k.f.calls))
	}
}

func TestFullTableRefusesAndSameNameFails(t *testing.T) {
	s := settings()
	s.MaxOpen = 5
	k := start(t, s)
	k.tell(k.query("a", 2), k.query("a", 1), k.query("b", 2))
	if len(k.f.finals) != 2 || k.f.finals[0].Outcome != Failed || k.f.finals[1].Outcome != Refused ||
		k.f.finals[1].RetryAfter <= 0 {
		t.Fatalf("%+v", k.f.finals)
	}
}

// What a client is told of when to come back is bounded by the settings in force, whoever turns it away.
func TestAdviceGoesByTheSettings(t *testing.T) {
	s := settings()
	s.MaxOpen = 2
	k := start(t, s)
	told := func(name string) time.Duration {
		t.Helper()
		k.tell(k.query(name, 2)) // more than may be open
		f := k.f.finals[len(k.f.finals)-1]
		if f.Outcome != Refused {
			t.Fatalf("%+v", f)
		}
		return f.RetryAfter
	}
	if got := told("a"); got != fullAdvice || k.FullRetryAfter() != fullAdvice {
		t.Errorf("told %v, %v", got, k.FullRetryAfter())
	}
	s.MaxRetryAfter = 100 * ms
	k.tell(SettingsChanged{Settings: s})
	if got := told("b"); got != 100*time.Millisecond || k.FullRetryAfter() != got {
		t.Errorf("clients follow 0.1 s, told %v, %v", got, k.FullRetryAfter())
	}
	s.CanAdvise = false
	k.tell(SettingsChanged{Settings: s})
	if got := told("c"); got != 0 || k.FullRetryAfter() != 0 {
		t.Errorf("clients hear nothing, told %v, %v", got, k.FullRetryAfter())
	}
}

func TestFinishAnswersAllBeforeTheEnd(t *testing.T) {
	k := start(t, settings())
	k.tell(k.query("a", 1))
	k.tell(stopping{until: k.epoch.Add(time.Duration(k.at-k.base)*time.Microsecond + 400*time.Millisecond)})
	k.tell(k.query("b", 1))
	select {
	case <-k.idle:
		t.Fatal("idle with queries open")
	default:
	}
	k.wait(400 * ms)
	<-k.idle
	if len(k.f.finals) != 2 {
		t.Fatalf("%+v", k.f.finals)
	}
}

// The real loop: what many goroutines post is handled by one, and each query gets one final answer.
func TestRunWithManyPosters(t *testing.T) {
	s := settings()
	s.CanCopy = false
	k := start(t, s)
	go k.Run()
	defer k.Close()
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := &Query{Name: string(rune('a' + i)), Deadline: time.Now().Add(time.Hour), Client: k.f, Backend: k.f,
				Parts: []PartSpec{{Shard: 0, Weight: 1}}}
			if !k.Submit(q) {
				t.Error("no room")
			}
			k.Post(ClientGone{Query: q})
		}()
	}
	wg.Wait()
	idle := k.Shutdown(time.Now())
	select {
	case <-idle:
	case <-time.After(30 * time.Second):
		t.Fatal("queries stay open")
	}
}

// cordon says an operator's word, and returns whether the server was known.
func (k *rig) cordon(id balance.ReplicaID, out bool) bool {
	done := make(chan bool, 1)
	k.tell(Cordon{Server: id, Cordoned: out, Done: done})
	return <-done
}

// A process that takes over from another knows what that one has found: which servers are out or cold, though
// its list may not tell, and how much cold ones may be given. It began with next to nothing for them, and
// refused what only they could serve (upgrade+hand+scrape).
func TestInheritedIsKept(t *testing.T) {
	s := settings()
	s.ColdShare, s.Ramp, s.FallMultiple, s.FallSpan = 0.2, 10000*ms, 2.5, 2000*ms
	old := start(t, s)
	for i := range 40 {
		old.tell(old.query(string(rune('a'+i)), 1))
		for _, c := range old.f.calls {
			old.tell(AttemptDone{Attempt: c[0], Outcome: balance.OK, Value: Value{}})
		}
		old.f.calls = nil
		old.wait(100 * ms)
	}
	old.tell(ListUpdate{Mode: balance.Delta, Replicas: []balance.Replica{
		{ID: 1, State: balance.Ready, Size: 1, Started: old.at}}})
	done := make(chan HandoverState, 1)
	old.cordon(2, true)
	old.tell(cordons{done: done})
	said := <-done
	if said.Memory.Carried <= 0 || said.Memory.Starts[1] == 0 {
		t.Fatalf("%+v", said)
	}
	fresh := start(t, s)
	fresh.tell(said)
	fresh.tell(ListUpdate{Mode: balance.Full, Replicas: []balance.Replica{{ID: 1, State: balance.Ready, Size: 1},
		{ID: 2, State: balance.Ready, Size: 1}}})
	if got := fresh.overlay(fresh.listed[1]).Started; got != said.Memory.Starts[1] {
		t.Errorf("a cold server counts as started at %d", got)
	}
	if got := fresh.overlay(fresh.listed[2]).State; got != balance.Draining {
		t.Errorf("a server that is out is in state %d", got)
	}
	if got := fresh.module.Memory().Carried; got < said.Memory.Carried/2 {
		t.Errorf("%g is carried, not %g", got, said.Memory.Carried)
	}
}

// What is queued for a server that operators put out is taken back before they hear the yes, and nothing new
// goes there, also when the list tells of it anew. Back, it is cold though the list says otherwise.
func TestCordonTakesQueuedSendsBack(t *testing.T) {
	s := settings()
	s.ColdShare, s.Ramp, s.FallMultiple, s.FallSpan = 0.2, 10000*ms, 2.5, 2000*ms
	k := start(t, s)
	k.tell(k.query("a", 1))
	first := k.f.calls[0][0]
	k.f.queued = []*Attempt{first}
	if k.cordon(9, true) || !k.cordon(first.Replica, true) {
		t.Fatal("only what is listed is known")
	}
	if len(k.f.calls) != 2 || k.f.calls[1][0].Replica == first.Replica || !first.over {
		t.Fatalf("%d calls", len(k.f.calls))
	}
	k.f.queued = nil
	k.tell(ListUpdate{Mode: balance.Full, Replicas: []balance.Replica{{ID: 1, State: balance.Ready, Size: 1},
		{ID: 2, State: balance.Ready, Size: 1}}})
	for i := range 20 {
		k.tell(k.query(string(rune('b'+i)), 1))
	}
	for _, c := range k.f.calls[1:] {
		if c[0].Replica == first.Replica {
			t.Fatal("a send to a server that is out")
		}
	}
	if !k.cordon(first.Replica, false) || k.overlay(k.listed[first.Replica]).Started == 0 {
		t.Fatal("a server that is back counts as warm")
	}
	started := k.clock(time.Now()) // a start that the list has told of is known better than by the call back
	k.cordon(first.Replica, true)
	k.tell(ListUpdate{Mode: balance.Delta, Replicas: []balance.Replica{
		{ID: first.Replica, State: balance.Ready, Size: 1, Started: started + 1000*ms}}})
	k.cordon(first.Replica, false)
	if got := k.overlay(k.listed[first.Replica]).Started; got != started+1000*ms {
		t.Fatalf("started %d us after the list's word", got-started-1000*ms)
	}
	k.tell(ListUpdate{Mode: balance.Full, Replicas: []balance.Replica{{ID: 3, State: balance.Ready, Size: 1}}})
	if len(k.since) != 0 {
		t.Fatal("servers that are gone pile up")
	}
}

// A server that is judged sick drains as one that operators put out, but for what the guard leaves in: the
// partner of one that an operator puts out is in again at once, and out once that one is back. Back from a
// judgement it counts as just started.
func TestJudgedServersAreGuarded(t *testing.T) {
	k := start(t, settings())
	k.cfg.LimitCordons = func(listed []verdict.ListedNode, sick []uint64) map[uint64]bool {
		return verdict.LimitEjections(listed, sick, 1, 1, 0.5)
	}
	k.tell(ListUpdate{Mode: balance.Full, Replicas: []balance.Replica{{ID: 1, State: balance.Ready, Size: 1},
		{ID: 2, State: balance.Ready, Size: 1}}})
	judge := func(id balance.ReplicaID, by CordonSource, out bool, order uint64) {
		k.tell(Cordon{Server: id, Source: by, Cordoned: out, Order: order, AllowUnlisted: true})
	}
	states := func(one, two balance.State) {
		t.Helper()
		if a, b := k.overlay(k.listed[1]).State, k.overlay(k.listed[2]).State; a != one || b != two {
			t.Fatalf("states %d and %d, not %d and %d", a, b, one, two)
		}
	}
	judge(2, ByFleetEvidence, true, 7)
	states(balance.Ready, balance.Draining)
	judge(1, ByZoneEvidence, true, 9)
	states(balance.Ready, balance.Draining) // later: the last one stays
	k.cordon(1, true)
	states(balance.Draining, balance.Ready) // an operator's word goes before evidence
	k.f.calls = nil
	k.tell(k.query("a", 1))
	if len(k.f.calls) != 1 || k.f.calls[0][0].Replica != 2 {
		t.Fatalf("%d calls", len(k.f.calls))
	}
	k.cordon(1, false)
	states(balance.Ready, balance.Draining)
	judge(2, ByFleetEvidence, false, 7)
	states(balance.Draining, balance.Ready)
	if k.overlay(k.listed[2]).Started == 0 {
		t.Error("one that is back counts as warm")
	}
	judge(1, ByZoneEvidence, false, 9)
	states(balance.Ready, balance.Ready)
	if len(k.order)+len(k.judged) > 0 {
		t.Errorf("%d orders, %d judged are kept", len(k.order), len(k.judged))
	}
}

// BenchmarkOverlay is the look-up of verdicts on the way of a list's line to the module, with a hundred out.
func BenchmarkOverlay(b *testing.B) {
	k := &Core{since: map[balance.ReplicaID]balance.Micros{}, judged: map[uint64]bool{}}
	for i := range k.outs {
		k.outs[i] = map[balance.ReplicaID]balance.Micros{}
	}
	for i := range balance.ReplicaID(100) {
		k.outs[ByFleetOperator][i] = 1
	}
	b.ReportAllocs()
	for i := range b.N {
		k.overlay(balance.Replica{ID: balance.ReplicaID(i % 200), State: balance.Ready})
	}
}
