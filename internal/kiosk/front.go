// Package kiosk is the front for old terminals: the platform's form of requests over HTTP and AJP, served by
// nodes of the old form and of the new one side by side. It owns the file of settings, both listeners and the
// way from an attempt to the backend of its server's form. It must never decide about a query, hold its state
// or answer it twice: queries go through the core, and what the two forms mean to each other is in
// internal/translate.
package kiosk

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lapislever/balance"
	"lapislever/internal/ajp"
	"lapislever/internal/core"
	"lapislever/internal/grpcnode"
	lnet "lapislever/internal/net"
	"lapislever/internal/platform"
	"lapislever/internal/translate"
)

// maxValue is what the value of one part may hold: an answer of many parts has to fit into a reply.
const maxValue = 16 << 10

// Front is the front.
type Front struct {
	cfg    *Config // of the start; what Adopt took since is in the parts that it concerns
	base   *platform.Config
	log    *slog.Logger
	form   *platform.Front
	keys   *grpcnode.Credentials
	tally  translate.FailureCounts
	router *router
	keeper *lnet.AdmissionController // nil: the budget alone speaks
	secure atomic.Pointer[tls.Config]
	budget *lnet.Budget
	core   *core.Core
	http   *lnet.Server
	ajp    *ajp.Server
	ending atomic.Bool
	stop   chan struct{}
	halted sync.Once
	mu     sync.Mutex // guards listed
	listed map[string]Server
}

// New checks a file as far as that goes without starting: it reads the keys.
func New(cfg *Config, base *platform.Config, log *slog.Logger) (*Front, error) {
	f := &Front{cfg: cfg, base: base, log: log, stop: make(chan struct{})}
	if cfg.TLS.CA != "" {
		var err error
		f.keys, err = grpcnode.LoadCredentials(grpcnode.CredentialFiles{CA: cfg.TLS.CA, Cert: cfg.TLS.Cert, Key: cfg.TLS.Key})
		if err != nil {
			return nil, fmt.Errorf("tls: %w", err)
		}
	}
	if cfg.Admission != nil {
		f.keeper = lnet.NewAdmissionController(cfg.Admission.limits())
	}
	if cfg.ListenTLS.Cert != "" {
		c, err := cfg.ListenTLS.load()
		if err != nil {
			return nil, err
		}
		f.secure.Store(c)
	}
	f.router = &router{tally: &f.tally, dial: base.DialTimeout, epoch: time.Now(),
		out:   map[*core.Attempt]flight{},
		guard: translate.NewGuard(0, seconds(cfg.Keys.Remember).Microseconds(), cfg.Keys.Most)}
	f.form = platform.NewFront(base, log, f.router)
	return f, nil
}

// Backend takes the queries' parts to their servers.
func (f *Front) Backend() core.Backend { return f.router }

// Start begins to serve.
func (f *Front) Start(c *core.Core, budget *lnet.Budget) error {
	f.core, f.budget = c, budget
	r := f.router
	r.post = c.Post
	r.old = platform.NewNodes(f.base, budget, f.log, c.Counts(), r.tell)
	r.anew = grpcnode.New(f.cfg.bounds(maxValue), f.keys, budget, f.log, c.Counts(), &f.tally, r.tell)
	var err error
	if f.cfg.Listen != "" {
		if f.http, err = lnet.Listen(f.cfg.Listen, budget, f.log, f.serve); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		f.http.Admission = f.keeper
		if f.secure.Load() != nil {
			f.http.Handshake = lnet.TLSHandshake(f.secure.Load)
		}
		f.http.OnRejected = func(r *lnet.Request) { f.count(r, core.Refused) }
	}
	if f.cfg.AJP.Listen != "" {
		f.ajp, err = ajp.Listen(f.cfg.AJP.Listen, ajp.Options{Size: f.cfg.AJP.Packet, Secret: f.cfg.AJP.Secret},
			budget,
			f.log, f.serve)
		if err != nil {
			if f.http != nil {
				f.http.StopListening()
			}
			return fmt.Errorf("ajp.listen: %w", err)
		}
		f.ajp.Admission = f.keeper
	}
	f.list(f.cfg)
	if f.http != nil {
		go f.http.Serve()
	}
	if f.ajp != nil {
		go f.ajp.Serve()
	}
	if f.keys != nil {
		go f.watch()
	}
	return nil
}

// list tells of the file's servers: first where they are, then the core.
func (f *Front) list(cfg *Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := f.base.Zones
	forms := map[balance.ReplicaID]string{}
	var hosts []platform.Host
	var targets []grpcnode.Target
	var replicas []balance.Replica
	listed := map[string]Server{}
	for _, s := range cfg.Servers {
		id := core.ServerID(s.Name)
		forms[id] = s.Form
		listed[s.Name] = s
		if s.Form == NewForm {
			targets = append(targets, grpcnode.Target{Name: s.Name, Address: s.Address, TLS: s.TLS,
				ServerName: s.ServerName})
		} else {
			hosts = append(hosts, platform.Host{Host: s.Name, Dial: s.Address, Health: "in_service"})
		}
		r := balance.Replica{ID: id, Cell: s.Cell, Zone: slices.Index(zones, s.Zone), State: balance.Ready, Size: 1,
			Domain: f.router.domain(s.Form)}
		if s.Share != nil {
			r.Size = *s.Share
		}
		if s.Draining {
			r.State = balance.Draining
		}
		if was, known := f.listed[s.Name]; f.listed != nil && (!known || was.Form != s.Form ||
			was.Address != s.Address) { // another process than before
			r.Started = time.Now().UnixMicro()
		}
		replicas = append(replicas, r)
	}
	f.listed = listed
	f.router.old.UpdateHosts(hosts, true)
	f.router.anew.SetTargets(targets)
	f.router.learn(forms)
	f.core.Post(core.ListUpdate{Mode: balance.Full, Replicas: replicas, ReceivedAt: time.Now()})
}

// ServerName is a server's name by its number; false: there is none.
func (f *Front) ServerName(id balance.ReplicaID) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.listed {
		if core.ServerID(name) == id {
			return name, true
		}
	}
	return "", false
}

// Reload takes in what a file that was read anew says of the servers. It has been checked whole. What takes a
// restart is named in the log.
func (f *Front) Reload(fresh *Front) {
	old, cfg := f.cfg, fresh.cfg
	for _, x := range []struct {
		key  string
		same bool
	}{{"listen", old.Listen == cfg.Listen}, {"ajp", old.AJP == cfg.AJP}, {"operator",
		old.Operator == cfg.Operator},
		{"new", old.New == cfg.New}, {"keys", old.Keys == cfg.Keys}, {"shards", old.Shards == cfg.Shards},
		{"tls", old.TLS == cfg.TLS}, {"zone", old.Zone == cfg.Zone}} {
		if !x.same {
			f.log.Warn("a change of the file takes a restart", "key", x.key)
		}
	}
	f.list(cfg)
	f.rekey()
	switch {
	case f.keeper != nil && cfg.Admission != nil:
		f.keeper.SetLimits(cfg.Admission.limits())
	case (f.keeper != nil) != (cfg.Admission != nil):
		f.log.Warn("a change of the file takes a restart", "key", "admission")
	}
	if c := fresh.secure.Load(); c != nil && f.secure.Load() != nil {
		f.secure.Store(c) // new handshakes; who is in stays in
	}
}

// ApplySettings takes new settings in: classes and their rules.
func (f *Front) ApplySettings(balance.Settings) {}

// Conform has requests read by the classes of a configuration that was taken in.
func (f *Front) Conform(base *platform.Config) { f.form.SetConfig(base) }

// watch looks at the keys now and then.
func (f *Front) watch() {
	tick := time.NewTicker(seconds(f.cfg.TLS.Watch))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.rekey()
		case <-f.stop:
			return
		}
	}
}

// rekey reads the keys again. A set that does not hold together is turned down, and the old one stays.
func (f *Front) rekey() {
	if f.keys == nil {
		return
	}
	changed, err := f.keys.Reload()
	switch {
	case err != nil:
		f.log.Error("keys not reloaded: the old ones stay", "err", err)
	case changed:
		f.log.Info("keys reloaded")
		f.router.anew.RetireTLSConns()
	}
}

// Figures are the attempts that brought nothing, by reason.
func (f *Front) Figures() map[string]int64 { return f.tally.Figures() }

// Addrs are the addresses that terminals reach; empty where there is no listener.
func (f *Front) Addrs() (http, ajp string) {
	if f.http != nil {
		http = f.http.Addr()
	}
	if f.ajp != nil {
		ajp = f.ajp.Addr()
	}
	return http, ajp
}

// MarkNotReady tells who asks that this front is not ready any more.
func (f *Front) MarkNotReady() { f.ending.Store(true) }

// each calls a function for every listener.
func (f *Front) each(h func(*lnet.Server), a func(*ajp.Server)) {
	if f.http != nil {
		h(f.http)
	}
	if f.ajp != nil {
		a(f.ajp)
	}
}

// StopListening closes the listeners.
func (f *Front) StopListening() {
	f.each((*lnet.Server).StopListening, (*ajp.Server).StopListening)
}

// CloseAfterReply has replies end their connections from now on.
func (f *Front) CloseAfterReply() {
	f.each((*lnet.Server).CloseAfterReply, (*ajp.Server).CloseAfterReply)
}

// Drain winds, and closes idle connections.
func (f *Front) Drain() {
	f.each((*lnet.Server).Drain, (*ajp.Server).Drain)
	f.halted.Do(func() { close(f.stop) })
}

// LastRequest is when a request last came.
func (f *Front) LastRequest() (last time.Time) {
	later := func(t time.Time) {
		if t.After(last) {
			last = t
		}
	}
	f.each(func(s *lnet.Server) { later(s.LastRequest()) }, func(s *ajp.Server) { later(s.LastRequest()) })
	return last
}

// Wait waits until every connection has ended.
func (f *Front) Wait(most time.Duration) bool {
	end, all := time.Now().Add(most), true
	f.each(func(s *lnet.Server) { all = s.Wait(time.Until(end)) },
		func(s *ajp.Server) { all = s.Wait(time.Until(end)) && all })
	return all
}

func (f *Front) count(r *lnet.Request, e core.QueryOutcome) {
	if class := platform.ClassName(r); slices.Contains(f.base.Classes, class) {
		f.core.Counts().Class(class).Add(e)
	}
}

// serve takes one request, whichever way it came.
func (f *Front) serve(r *lnet.Request, x *lnet.Exchange) func() {
	if r.Path == "/up" {
		if f.ending.Load() {
			x.Reply(lnet.Response{Status: 503, Body: []byte("ending\n")})
		} else {
			x.Reply(lnet.Response{Status: 200, Body: []byte("up\n")})
		}
		return nil
	}
	q, bad := f.form.Parse(r)
	if bad != nil {
		f.log.Warn("bad request", "path", r.Path, "status", bad.Status, "why", bad.Detail)
		f.count(r, platform.OutcomeForStatus(bad.Status))
		x.Reply(lnet.Response{Status: bad.Status, Body: []byte(bad.Detail + "\n"), Close: true})
		return nil
	}
	j := &job{f: f, x: x, class: platform.ClassName(r)}
	if v := f.router.known(q); v != translate.Allowed {
		f.log.Warn("a keyed request is not taken", "class", j.class, "why", v)
		f.tally.Add(v.Reason())
		j.reply(translate.Turn(v), f.core.FullRetryAfter())
		return nil
	}
	q.Client, q.Data, q.ClientLeft = j, j, x.ClientLeft
	if !f.core.Submit(q) {
		j.Final(core.FinalAnswer{Outcome: core.Refused, RetryAfter: f.core.FullRetryAfter()})
		return nil
	}
	return func() { f.core.Abandon(q) }
}

// job is a query's client, and what its attempts met.
type job struct {
	f     *Front
	x     *lnet.Exchange
	class string
	why   atomic.Uint32
}

// ClassName is the query's class.
func (j *job) ClassName() string { return j.class }

// RecordFailure hears why an attempt brought nothing.
func (j *job) RecordFailure(why translate.Reason) { j.why.Store(uint32(why)) }

// Final replies.
func (j *job) Final(f core.FinalAnswer) {
	if f.Outcome == core.Answered {
		r := platform.Answer(f, j.f.log)
		j.f.core.Counts().Class(j.class).Add(platform.OutcomeForStatus(r.Status))
		j.x.Reply(r)
		return
	}
	j.reply(translate.Failed(f.Outcome == core.Refused, f.Overdue, f.NameTaken, translate.Reason(j.why.Load())),
		f.RetryAfter)
}

// reply words what is no answer, and counts what the terminal is told.
func (j *job) reply(w translate.Word, after time.Duration) {
	r := lnet.Response{Status: w.Status, Body: []byte(w.Text + "\n"), Close: w.Close}
	if w.Refused {
		r = platform.Refusal(after)
	}
	j.f.core.Counts().Class(j.class).Add(platform.OutcomeForStatus(r.Status))
	j.x.Reply(r)
}
