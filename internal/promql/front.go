package promql

// The front and the way to the servers. This file owns the file of settings, the listener's requests, and
// the connections to the servers; it must never choose a server, ask one again, or end a query: all that
// comes from the core.

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/BurntSushi/toml"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/settings"
)

const (
	rangePath  = "/api/v1/query_range"
	maxReply   = 8 << 20  // of one server
	maxHeld    = 24 << 20 // of all replies that wait for their query's end
	maxShards  = 4096
	maxIdle    = 32  // connections kept to one server
	idleShare  = 0.7 // of the idle limit, after which a connection is not used again
	writeLimit = 300 * time.Millisecond
	readSlack  = 100 * time.Millisecond // the core's own time-out comes first
)

// Server is one server of range queries.
type Server struct {
	Name    string   `toml:"name"`
	Address string   `toml:"address"` // host:port, or a URL with a path before /api
	Zone    string   `toml:"zone,omitempty"`
	Cell    int      `toml:"cell"`
	Share   *float64 `toml:"share,omitempty"`
}

// Config is the front's file.
type Config struct {
	Listen     string         `toml:"listen"`
	Class      string         `toml:"class"`
	ShardLabel string         `toml:"shard_label,omitempty"` // of the series, naming their shard
	Zone       string         `toml:"zone,omitempty"`        // ours, where there is no platform to tell
	Shards     int            `toml:"shards,omitempty"`      // where there is no platform to tell
	Reach      int            `toml:"reach,omitempty"`
	Servers    []Server       `toml:"server"`
	Settings   map[string]any `toml:"settings,omitempty"` // over the defaults, where there is no platform
}

// ParseConfig reads the front's file. Unknown keys are errors, as a misspelt one would be lost unseen.
func ParseConfig(text string) (*Config, error) {
	c := &Config{}
	meta, err := toml.Decode(text, c)
	if err != nil {
		return nil, err
	}
	for _, k := range meta.Undecoded() {
		return nil, fmt.Errorf("unknown key %s", k)
	}
	if c.Listen == "" {
		return nil, errors.New("listen is missing")
	}
	if c.Class == "" { // which of the settings' it is cannot be guessed
		return nil, errors.New("class is missing: the one that range queries count as")
	}
	if len(c.Servers) == 0 {
		return nil, errors.New("no [[server]] is given")
	}
	seen := map[string]bool{}
	for i, s := range c.Servers {
		if s.Name == "" || seen[s.Name] {
			return nil, fmt.Errorf("server %d: its name is missing or taken", i+1)
		}
		seen[s.Name] = true
		if _, _, err := splitAddress(s.Address); err != nil {
			return nil, fmt.Errorf("server %s: %w", s.Name, err)
		}
		if s.Cell < 0 || s.Cell >= maxShards || s.Share != nil && !(*s.Share > 0 && *s.Share < math.MaxFloat32) {
			return nil, fmt.Errorf("server %s: cell or share is not possible", s.Name)
		}
	}
	return c, nil
}

// LoadConfig reads the front's file.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := ParseConfig(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// splitAddress reads host:port, or http://host:port/path.
func splitAddress(text string) (hostPort, path string, err error) {
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.RawQuery != "" || u.User != nil {
		return "", "", fmt.Errorf("address %q is not host:port or http://host:port/path", text)
	}
	hostPort = u.Host
	if u.Port() == "" {
		hostPort += ":80"
	}
	return hostPort, strings.TrimSuffix(u.EscapedPath(), "/"), nil
}

// Standalone is the settings object, in the platform's names, for a start without the platform.
func (c *Config) Standalone() map[string]any {
	cells := 1
	var zones []any
	for _, s := range c.Servers {
		cells = max(cells, s.Cell+1)
		if !slices.Contains(zones, any(s.Zone)) {
			zones = append(zones, s.Zone)
		}
	}
	shards := c.Shards
	if shards <= 0 {
		shards = cells
	}
	all := map[string]any{
		"azs": zones, "zone": max(0, slices.Index(zones, any(c.Zone))), "peersTotal": 1, "me": 0,
		"quantumUs": 5000, "membershipMode": "automatic",
		// No query is taken for a repeat: the module would else take one with a short time-out for the last
		// try of an older one, and turn it away as too late to earn anything.
		"callers": map[string]any{"marksRetry": true},
		"extra":   map[string]any{"places": cells, "slices": shards, "reach": max(1, c.Reach)},
		"bounds": map[string]any{"cancel": true, "secondCopies": true, "sendCap": 4, "probes": true,
			"retryAfter": true, "maxRetryAfterUs": 2_000_000, "connIdleUs": 15_000_000,
			"dialTimeoutUs": 250_000, "maxOpen": max(256, 8*(shards+1))},
		"lanes": []any{map[string]any{"name": c.Class, "goalTimeUs": 3_000_000, "hardLimitUs": 10_000_000,
			"idempotency": "read_like", "worth": 5, "lateWorth": 0}},
	}
	settings.Overlay(all, c.Settings)
	return all
}

// Environment is what the front has to know of where it runs.
type Environment struct {
	Classes     []string
	Settings    balance.Settings
	Zones       []string
	Shards      int
	DialTimeout time.Duration
	ConnIdle    time.Duration
	Standalone  bool // there is no discovery: the file's servers are the list
	Log         *slog.Logger
}

// Front is the front and the backend of its queries.
type Front struct {
	cfg      *Config
	place    Environment
	class    int
	servers  map[balance.ReplicaID]*server
	core     *core.Core
	budget   *lnet.Budget
	listener *lnet.Server
	rules    atomic.Pointer[balance.Class] // of its class, as they are now
	held     atomic.Int64
	number   atomic.Uint64
	ending   atomic.Bool
	mu       sync.Mutex
	flights  map[*core.Attempt]*flight
}

type server struct {
	name, addr, path string
	mu               sync.Mutex
	idle             []*lnet.Client
	sweeps           bool // a look at the idle ones is due
}

// New checks a file against where it is to run.
func New(cfg *Config, p Environment) (*Front, error) {
	f := &Front{cfg: cfg, place: p, class: slices.Index(p.Classes, cfg.Class),
		servers: map[balance.ReplicaID]*server{}, flights: map[*core.Attempt]*flight{}}
	if f.class < 0 {
		return nil, fmt.Errorf("class %q is not among the settings'", cfg.Class)
	}
	if p.Settings.Classes[f.class].Effect != balance.Safe {
		return nil, fmt.Errorf("class %q is not safe to repeat, as range queries are", cfg.Class)
	}
	f.ApplySettings(p.Settings)
	if p.Shards < 1 || p.Shards > maxShards {
		return nil, fmt.Errorf("%d shards are not possible", p.Shards)
	}
	for _, s := range cfg.Servers {
		addr, path, err := splitAddress(s.Address)
		if err != nil {
			return nil, err
		}
		if p.Standalone && s.Cell >= p.Settings.Cells {
			return nil, fmt.Errorf("server %s: there is no cell %d", s.Name, s.Cell)
		}
		f.servers[core.ServerID(s.Name)] = &server{name: s.Name, addr: addr, path: path}
	}
	return f, nil
}

// ApplySettings takes new settings in.
func (f *Front) ApplySettings(s balance.Settings) { f.rules.Store(&s.Classes[f.class]) }

// tenantHeader names the tenant, as range-query services with several tenants have it.
const tenantHeader = "X-Scope-OrgID"

// ServerName is a server's name by its number; false: there is none.
func (f *Front) ServerName(id balance.ReplicaID) (string, bool) {
	if s := f.servers[id]; s != nil {
		return s.name, true
	}
	return "", false
}

// Backend takes the front's parts to their servers.
func (f *Front) Backend() core.Backend { return f }

// Start begins to serve.
func (f *Front) Start(c *core.Core, budget *lnet.Budget) error {
	f.core, f.budget = c, budget
	l, err := lnet.Listen(f.cfg.Listen, budget, f.place.Log, f.serve)
	if err != nil {
		return err
	}
	f.listener = l
	if f.place.Standalone {
		var list []balance.Replica
		for _, s := range f.cfg.Servers {
			size := 1.0
			if s.Share != nil {
				size = *s.Share
			}
			list = append(list, balance.Replica{ID: core.ServerID(s.Name), Cell: s.Cell, State: balance.Ready,
				Zone: slices.Index(f.place.Zones, s.Zone), Size: size})
		}
		c.Post(core.ListUpdate{Mode: balance.Full, Replicas: list})
	}
	go l.Serve()
	return nil
}

// Addr is the address that clients reach.
func (f *Front) Addr() string { return f.listener.Addr() }

// MarkNotReady tells who asks that this front is not ready any more.
func (f *Front) MarkNotReady() { f.ending.Store(true) }

// LastRequest is when a request last came.
func (f *Front) LastRequest() time.Time { return f.listener.LastRequest() }

// CloseAfterReply has replies end their connections from now on.
func (f *Front) CloseAfterReply() { f.listener.CloseAfterReply() }

// Drain lets every reply end its connection.
func (f *Front) Drain() { f.listener.Drain() }

// StopListening closes the listener.
func (f *Front) StopListening() { f.listener.StopListening() }

// Wait waits until every connection has ended.
func (f *Front) Wait(most time.Duration) bool { return f.listener.Wait(most) }

func errorReply(e *apiError) lnet.Response {
	b, err := json.Marshal(envelope{Status: "error", ErrorType: e.kind, Error: e.err.Error()})
	if err != nil {
		return lnet.Response{Status: 500}
	}
	return lnet.Response{Status: e.status, ContentType: "application/json", Body: b}
}

// unavailable is a refusal. Retry-After is in whole seconds, as HTTP has it.
func unavailable(kind string, after time.Duration, err error) lnet.Response {
	r := errorReply(&apiError{503, kind, err})
	if after > 0 { // else the settings let clients hear nothing
		r.Header = [][2]string{{"Retry-After", strconv.Itoa(max(1, int(math.Ceil(after.Seconds()))))}}
	}
	return r
}

// serve takes one request.
func (f *Front) serve(r *lnet.Request, x *lnet.Exchange) func() {
	switch r.Path {
	case "/-/healthy", "/-/ready":
		if r.Path == "/-/ready" && f.ending.Load() {
			x.Reply(lnet.Response{Status: 503, Body: []byte("ending\n")})
		} else {
			x.Reply(lnet.Response{Status: 200, Body: []byte("ok\n")})
		}
		return nil
	case rangePath:
	default:
		x.Reply(errorReply(&apiError{404, "not_found", fmt.Errorf("%s is not served here", r.Path)}))
		return nil
	}
	values, bad := form(r)
	if bad == nil {
		var q *rangeQuery
		if q, bad = parseQuery(values, f.cfg.ShardLabel); bad == nil {
			return f.submit(q, r, x)
		}
	}
	f.place.Log.Warn("bad range query", "status", bad.status, "why", bad.err)
	reply := errorReply(bad)
	if bad.status == 405 {
		reply.Header = [][2]string{{"Allow", "GET, POST"}}
	}
	x.Reply(reply)
	return nil
}

// form reads the parameters of the URL and, of a POST, of the body, which come first.
func form(r *lnet.Request) (url.Values, *apiError) {
	values, err := url.ParseQuery(r.Query)
	if err != nil {
		return nil, badData("malformed parameters: %w", err)
	}
	switch r.Method {
	case "GET":
		return values, nil
	case "POST":
	default:
		return nil, &apiError{405, "bad_data", fmt.Errorf("%s is not allowed here", r.Method)}
	}
	kind, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	if len(r.Body) > 0 && !strings.EqualFold(strings.TrimSpace(kind), "application/x-www-form-urlencoded") {
		return nil, &apiError{415, "bad_data", fmt.Errorf("a body of type %q cannot be read", kind)}
	}
	body, err := url.ParseQuery(string(r.Body))
	if err != nil {
		return nil, badData("malformed parameters: %w", err)
	}
	for k, v := range values {
		body[k] = append(body[k], v...)
	}
	return body, nil
}

// submit hands a query to the core: one part for each shard.
func (f *Front) submit(q *rangeQuery, r *lnet.Request, x *lnet.Exchange) func() {
	rules := f.rules.Load()
	wait := time.Duration(rules.Deadline) * time.Microsecond
	if q.timeout > 0 {
		wait = min(wait, q.timeout)
	}
	j := &job{f: f, q: q, x: x, deadline: r.ReceivedAt.Add(wait)}
	if rules.Dropped || rules.Effect != balance.Safe { // then the module would not decide for range queries
		j.reply(unavailable("unavailable", f.core.FullRetryAfter(),
			fmt.Errorf("class %q is not there for range queries now", f.cfg.Class)))
		return nil
	}
	cq := &core.Query{Name: "range-" + strconv.FormatUint(f.number.Add(1), 10), Class: f.class,
		Deadline: j.deadline, Client: j, Backend: f, Data: j, Caller: r.Header.Get(tenantHeader),
		ClientLeft: x.ClientLeft}
	for s := range f.place.Shards {
		cq.Parts = append(cq.Parts, core.PartSpec{Shard: s, Weight: 1})
	}
	if !f.core.Submit(cq) {
		j.Final(core.FinalAnswer{Outcome: core.Refused, RetryAfter: f.core.FullRetryAfter()})
		return nil
	}
	return func() {
		j.close()
		f.core.Abandon(cq)
	}
}

// job is a query's client, and what its parts' replies take of the memory for them.
type job struct {
	f        *Front
	q        *rangeQuery
	x        *lnet.Exchange
	deadline time.Time
	mu       sync.Mutex
	held     int64
	closed   bool
	refused  *serverError // some server's word that this cannot be computed
}

// keep books memory that lives until the query's end. It returns false once that has come.
func (j *job) keep(n int64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed {
		return false
	}
	j.held += n
	return true
}

func (j *job) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.closed {
		j.closed = true
		j.f.held.Add(-j.held)
	}
}

// Final replies. The core's goroutine calls it, so that what takes time is done elsewhere.
func (j *job) Final(f core.FinalAnswer) {
	switch f.Outcome {
	case core.Answered:
		go func() {
			defer j.close()
			j.reply(j.answer(f))
		}()
		return
	case core.Refused:
		j.mu.Lock()
		word := j.refused
		j.mu.Unlock()
		switch {
		case word != nil:
			j.reply(errorReply(&apiError{422, "execution", word}))
		case !time.Now().Before(j.deadline.Add(-20 * time.Millisecond)):
			j.reply(unavailable("timeout", f.RetryAfter, errors.New("the query's time is over")))
		default:
			j.reply(unavailable("unavailable", f.RetryAfter,
				errors.New("not every shard can answer now: refused rather than thin")))
		}
	default:
		j.reply(unavailable("timeout", j.f.core.FullRetryAfter(), errors.New("the query was not decided in time")))
	}
	j.close()
}

// reply counts what the client is told, and tells it.
func (j *job) reply(r lnet.Response) {
	switch count := j.f.core.Counts().Class(j.f.cfg.Class); r.Status {
	case 200:
		count.Add(core.Answered)
	case 503:
		count.Add(core.Refused)
	default:
		count.Add(core.Failed)
	}
	j.x.Reply(r)
}

// answer merges the shards' results. What is missing or in conflict is never left out without a word: the
// query is refused, or, where the class's floor allows it, its answer is marked partial.
func (j *job) answer(f core.FinalAnswer) lnet.Response {
	parts := make([]*shardResult, 0, len(f.Values))
	for _, v := range f.Values {
		if r, ok := v.Data.(*shardResult); ok {
			parts = append(parts, r)
		}
	}
	p := &j.q.plan
	all, conflicts := merge(parts, p.selects && p.label != "")
	var warnings []string
	if len(conflicts) > 0 {
		out := map[int]bool{}
		for _, c := range conflicts {
			out[c.a], out[c.b] = true, true
			warnings = append(warnings, fmt.Sprintf("shards %d and %d differ on series %s", c.a, c.b, c.labels))
		}
		j.f.place.Log.Warn("shards differ", "conflicts", len(conflicts), "first", warnings[0])
		parts = slices.DeleteFunc(parts, func(r *shardResult) bool { return out[r.shard] })
		all, _ = merge(parts, false)
		warnings = warnings[:min(len(warnings), 10)]
	}
	if missing := j.missing(parts); len(missing) > 0 {
		share := float64(len(parts)) / float64(j.f.place.Shards)
		if floor := j.f.rules.Load().Floor; len(parts) == 0 || share < floor-1e-9 {
			return unavailable("unavailable", j.f.core.FullRetryAfter(),
				fmt.Errorf("shards %v are missing or in conflict: refused rather than thin", missing))
		}
		warnings = append([]string{fmt.Sprintf("partial answer: %d of %d shards are missing: %v",
			len(missing), j.f.place.Shards, missing)}, warnings...)
	}
	all = p.apply(all)
	if j.q.limit > 0 && len(all) > j.q.limit {
		all = all[:j.q.limit]
		warnings = append(warnings, "results truncated due to limit")
	}
	var infos []string
	for _, r := range parts {
		for _, text := range r.infos {
			if !slices.Contains(infos, text) {
				infos = append(infos, text)
			}
		}
	}
	body, err := encode(all, warnings, infos)
	if err != nil {
		return errorReply(&apiError{500, "internal", err})
	}
	return lnet.Response{Status: 200, ContentType: "application/json", Body: body}
}

// missing are the shards that nothing is in from.
func (j *job) missing(parts []*shardResult) []int {
	in := map[int]bool{}
	for _, r := range parts {
		in[r.shard] = true
	}
	var out []int
	for s := range j.f.place.Shards {
		if !in[s] {
			out = append(out, s)
		}
	}
	return out
}
