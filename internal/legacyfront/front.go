// Package legacyfront is the front for clients of the old form: it accepts the platform's request format over
// HTTP and AJP, and serves it from nodes of the old and of the new form side by side. It owns its
// configuration file, both listeners and the routing of each attempt to the backend for its server's form.
// It must not make decisions on a query, hold its state or answer it twice: queries go through the core.
// The mapping between the two forms is in internal/translate.
package legacyfront

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

// maxValueSize limits the value of one part, so that an answer of many parts fits into a reply.
const maxValueSize = 16 << 10

// Front implements the front for old-form clients.
type Front struct {
	cfg            *Config // as of the start; Reload applies changes to the components, not here
	platformConfig *platform.Config
	log            *slog.Logger
	parser         *platform.Front
	credentials    *grpcnode.Credentials
	failures       translate.FailureCounts
	router         *router
	admission      *lnet.AdmissionController // nil if only the budget limits connections
	listenTLS      atomic.Pointer[tls.Config]
	budget         *lnet.Budget
	core           *core.Core
	http           *lnet.Server
	ajp            *ajp.Server
	notReady       atomic.Bool
	stop           chan struct{}
	stopOnce       sync.Once
	mu             sync.Mutex // guards servers
	servers        map[string]Server
}

// New makes a front without starting it. It loads the TLS credentials, so that it reports errors in them.
func New(cfg *Config, platformConfig *platform.Config, log *slog.Logger) (*Front, error) {
	f := &Front{cfg: cfg, platformConfig: platformConfig, log: log, stop: make(chan struct{})}
	if cfg.TLS.CA != "" {
		var err error
		f.credentials, err = grpcnode.LoadCredentials(grpcnode.CredentialFiles{CA: cfg.TLS.CA, Cert: cfg.TLS.Cert,
			Key: cfg.TLS.Key})
		if err != nil {
			return nil, fmt.Errorf("tls: %w", err)
		}
	}
	if cfg.Admission != nil {
		f.admission = lnet.NewAdmissionController(cfg.Admission.toLimits())
	}
	if cfg.ListenTLS.Cert != "" {
		c, err := cfg.ListenTLS.load()
		if err != nil {
			return nil, err
		}
		f.listenTLS.Store(c)
	}
	f.router = &router{failures: &f.failures, dialTimeout: platformConfig.DialTimeout, epoch: time.Now(),
		inFlight: map[*core.Attempt]sentAttempt{},
		guard:    translate.NewGuard(0, seconds(cfg.Keys.Remember).Microseconds(), cfg.Keys.Most)}
	f.parser = platform.NewFront(platformConfig, log, f.router)
	return f, nil
}

// Backend returns the backend that sends the queries' parts to their servers.
func (f *Front) Backend() core.Backend { return f.router }

// Start opens the listeners and starts serving.
func (f *Front) Start(c *core.Core, budget *lnet.Budget) error {
	f.core, f.budget = c, budget
	r := f.router
	r.post = c.Post
	r.oldNodes = platform.NewNodes(f.platformConfig, budget, f.log, c.Counts(), r.report)
	r.newNodes = grpcnode.New(f.cfg.grpcConfig(maxValueSize), f.credentials, budget, f.log, c.Counts(),
		&f.failures, r.report)
	var err error
	if f.cfg.Listen != "" {
		if f.http, err = lnet.Listen(f.cfg.Listen, budget, f.log, f.handle); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		f.http.Admission = f.admission
		if f.listenTLS.Load() != nil {
			f.http.Handshake = lnet.TLSHandshake(f.listenTLS.Load)
		}
		f.http.OnRejected = func(r *lnet.Request) { f.countOutcome(r, core.Refused) }
	}
	if f.cfg.AJP.Listen != "" {
		f.ajp, err = ajp.Listen(f.cfg.AJP.Listen,
			ajp.Options{PacketSize: f.cfg.AJP.Packet, Secret: f.cfg.AJP.Secret}, budget, f.log, f.handle)
		if err != nil {
			if f.http != nil {
				f.http.StopListening()
			}
			return fmt.Errorf("ajp.listen: %w", err)
		}
		f.ajp.Admission = f.admission
	}
	f.updateServers(f.cfg)
	if f.http != nil {
		go f.http.Serve()
	}
	if f.ajp != nil {
		go f.ajp.Serve()
	}
	if f.credentials != nil {
		go f.watchCredentials()
	}
	return nil
}

// updateServers passes the configured servers to the backends and then, once these know the addresses, to the
// core.
func (f *Front) updateServers(cfg *Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := f.platformConfig.Zones
	forms := map[balance.ReplicaID]string{}
	var hosts []platform.Host
	var targets []grpcnode.Target
	var replicas []balance.Replica
	servers := map[string]Server{}
	for _, s := range cfg.Servers {
		id := core.ServerID(s.Name)
		forms[id] = s.Form
		servers[s.Name] = s
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
		if old, known := f.servers[s.Name]; f.servers != nil && (!known || old.Form != s.Form ||
			old.Address != s.Address) { // a new process
			r.Started = time.Now().UnixMicro()
		}
		replicas = append(replicas, r)
	}
	f.servers = servers
	f.router.oldNodes.UpdateHosts(hosts, true)
	f.router.newNodes.SetTargets(targets)
	f.router.setForms(forms)
	f.core.Post(core.ListUpdate{Mode: balance.Full, Replicas: replicas, ReceivedAt: time.Now()})
}

// ServerName returns the name of the server with an id, or false if there is none.
func (f *Front) ServerName(id balance.ReplicaID) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.servers {
		if core.ServerID(name) == id {
			return name, true
		}
	}
	return "", false
}

// Reload applies the configuration of fresh, which was made from the re-read file and never started: the
// servers, the credentials, the admission limits and the listener's certificate. It logs the changes that
// require a restart.
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
	f.updateServers(cfg)
	f.reloadCredentials()
	switch {
	case f.admission != nil && cfg.Admission != nil:
		f.admission.SetLimits(cfg.Admission.toLimits())
	case (f.admission != nil) != (cfg.Admission != nil):
		f.log.Warn("a change of the file takes a restart", "key", "admission")
	}
	if c := fresh.listenTLS.Load(); c != nil && f.listenTLS.Load() != nil {
		f.listenTLS.Store(c) // for new handshakes; open connections are kept
	}
}

// SetConfig makes the front parse requests by the classes of a configuration that is in force now.
func (f *Front) SetConfig(platformConfig *platform.Config) { f.parser.SetConfig(platformConfig) }

// watchCredentials checks the credential files for changes periodically.
func (f *Front) watchCredentials() {
	tick := time.NewTicker(seconds(f.cfg.TLS.Watch))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.reloadCredentials()
		case <-f.stop:
			return
		}
	}
}

// reloadCredentials re-reads the credential files. If they are invalid or do not match each other, the old
// credentials stay in use.
func (f *Front) reloadCredentials() {
	if f.credentials == nil {
		return
	}
	changed, err := f.credentials.Reload()
	switch {
	case err != nil:
		f.log.Error("TLS credentials not reloaded: keeping the old ones", "err", err)
	case changed:
		f.log.Info("TLS credentials reloaded")
		f.router.newNodes.RetireTLSConns()
	}
}

// Figures returns the number of failed attempts by reason.
func (f *Front) Figures() map[string]int64 { return f.failures.NonZero() }

// Addrs returns the addresses of the listeners for clients; empty for one that is not configured.
func (f *Front) Addrs() (http, ajp string) {
	if f.http != nil {
		http = f.http.Addr()
	}
	if f.ajp != nil {
		ajp = f.ajp.Addr()
	}
	return http, ajp
}

// MarkNotReady makes readiness checks fail from now on.
func (f *Front) MarkNotReady() { f.notReady.Store(true) }

// eachListener calls a function with every listener: onHTTP or onAJP.
func (f *Front) eachListener(onHTTP func(*lnet.Server), onAJP func(*ajp.Server)) {
	if f.http != nil {
		onHTTP(f.http)
	}
	if f.ajp != nil {
		onAJP(f.ajp)
	}
}

// StopListening closes the listeners.
func (f *Front) StopListening() {
	f.eachListener((*lnet.Server).StopListening, (*ajp.Server).StopListening)
}

// CloseAfterReply makes every connection close after its next reply.
func (f *Front) CloseAfterReply() {
	f.eachListener((*lnet.Server).CloseAfterReply, (*ajp.Server).CloseAfterReply)
}

// Drain calls CloseAfterReply, closes idle connections and stops watching the credentials.
func (f *Front) Drain() {
	f.eachListener((*lnet.Server).Drain, (*ajp.Server).Drain)
	f.stopOnce.Do(func() { close(f.stop) })
}

// LastRequest returns the time of the latest request on any listener.
func (f *Front) LastRequest() (last time.Time) {
	update := func(t time.Time) {
		if t.After(last) {
			last = t
		}
	}
	f.eachListener(func(s *lnet.Server) { update(s.LastRequest()) },
		func(s *ajp.Server) { update(s.LastRequest()) })
	return last
}

// WaitUntil waits until every connection has ended, or until the time that the function returns, which may
// change meanwhile. It reports whether all have ended.
func (f *Front) WaitUntil(until func() time.Time) bool {
	ended := true
	f.eachListener(func(s *lnet.Server) { ended = s.WaitUntil(until) },
		func(s *ajp.Server) { ended = s.WaitUntil(until) && ended })
	return ended
}

// countOutcome counts the outcome of a request that does not become a query, if its class exists.
func (f *Front) countOutcome(r *lnet.Request, outcome core.QueryOutcome) {
	if class := platform.ClassName(r); slices.Contains(f.platformConfig.Classes, class) {
		f.core.Counts().Class(class).Add(outcome)
	}
}

// handle handles a request from either listener. The function it returns, if any, abandons the query.
func (f *Front) handle(r *lnet.Request, x *lnet.Exchange) func() {
	if r.Path == "/up" {
		if f.notReady.Load() {
			x.Reply(lnet.Response{Status: 503, Body: []byte("ending\n")})
		} else {
			x.Reply(lnet.Response{Status: 200, Body: []byte("up\n")})
		}
		return nil
	}
	q, bad := f.parser.Parse(r)
	if bad != nil {
		f.log.Warn("bad request", "path", r.Path, "status", bad.Status, "why", bad.Detail)
		f.countOutcome(r, platform.OutcomeForStatus(bad.Status))
		x.Reply(lnet.Response{Status: bad.Status, Body: []byte(bad.Detail + "\n"), Close: true})
		return nil
	}
	cq := &clientQuery{front: f, exchange: x, class: platform.ClassName(r)}
	if d := f.router.checkQuery(q); d != translate.Allowed {
		f.log.Warn("keyed request rejected", "class", cq.class, "why", d)
		f.failures.Add(d.Reason())
		cq.reply(translate.GuardReply(d), f.core.FullRetryAfter())
		return nil
	}
	q.Client, q.Data, q.ClientLeft = cq, cq, x.ClientLeft
	x.Reject = func() { f.core.Reject(q) }
	if !f.core.Submit(q) {
		cq.Final(core.FinalAnswer{Outcome: core.Refused, RetryAfter: f.core.FullRetryAfter()})
		return nil
	}
	return func() { f.core.Abandon(q) }
}

// clientQuery connects a query with its client's exchange, and holds the latest failure of its attempts.
type clientQuery struct {
	front       *Front
	exchange    *lnet.Exchange
	class       string
	lastFailure atomic.Uint32 // a translate.Reason
}

// ClassName returns the name of the query's class.
func (q *clientQuery) ClassName() string { return q.class }

// RecordFailure stores the reason of a failed attempt.
func (q *clientQuery) RecordFailure(reason translate.Reason) { q.lastFailure.Store(uint32(reason)) }

// Final replies to the client with the query's result.
func (q *clientQuery) Final(f core.FinalAnswer) {
	if f.Outcome == core.Answered {
		r := platform.Answer(f, q.front.log)
		q.front.core.Counts().Class(q.class).Add(platform.OutcomeForStatus(r.Status))
		q.exchange.Reply(r)
		return
	}
	q.reply(translate.FailureReply(f.Outcome == core.Refused, f.Overdue, f.NameTaken,
		translate.Reason(q.lastFailure.Load())), f.RetryAfter)
}

// reply sends a failure reply and counts it by its status.
func (q *clientQuery) reply(failure translate.Reply, retryAfter time.Duration) {
	r := lnet.Response{Status: failure.Status, Body: []byte(failure.Text + "\n"), Close: failure.Close}
	if failure.Refused {
		r = platform.Refusal(retryAfter)
	}
	q.front.core.Counts().Class(q.class).Add(platform.OutcomeForStatus(r.Status))
	q.exchange.Reply(r)
}
