package promql

// The front: its configuration file, the HTTP requests of its clients and the replies to them. It never
// chooses a server, retries a part or decides a query's outcome: the core does that.

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
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
	"lapislever/internal/platform"
	"lapislever/internal/settings"
)

const (
	rangePath         = "/api/v1/query_range"
	maxReplyBytes     = 8 << 20  // per server reply
	maxBufferedBytes  = 24 << 20 // total of the replies that are held until their queries end, at most
	bufferShare       = 8        // one in so many bytes of the memory limit is for them
	maxShards         = 4096
	maxIdleConns      = 32  // per server
	idleReuseFraction = 0.7 // connections idle for longer than this fraction of ConnIdle are not reused
	writeTimeout      = 300 * time.Millisecond
	readSlack         = 100 * time.Millisecond // added to the read deadline so that the core times out first
)

// Server is one server that answers range queries.
type Server struct {
	Name    string   `toml:"name"`
	Address string   `toml:"address"` // host:port, or a URL whose path is put before /api
	Zone    string   `toml:"zone,omitempty"`
	Cell    int      `toml:"cell"`
	Share   *float64 `toml:"share,omitempty"`
}

// Config is the front's configuration file.
type Config struct {
	Listen     string         `toml:"listen"`
	Class      string         `toml:"class"`
	ShardLabel string         `toml:"shard_label,omitempty"` // series label that holds the shard number
	Zone       string         `toml:"zone,omitempty"`        // of this coordinator; only without the platform
	Shards     int            `toml:"shards,omitempty"`      // only without the platform
	Reach      int            `toml:"reach,omitempty"`
	Servers    []Server       `toml:"server"`
	Settings   map[string]any `toml:"settings,omitempty"` // override the defaults; only without the platform
}

// ParseConfig parses the front's configuration file. Unknown keys are errors: a misspelt key would otherwise
// be ignored silently.
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
	if c.Class == "" { // there is no default: the settings do not say which class range queries belong to
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

// LoadConfig reads and parses the front's configuration file.
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

// splitAddress splits host:port or http://host:port/path; the port defaults to 80.
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

// Standalone returns a settings object, with the platform's keys, for a start without the platform.
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
	defaults := map[string]any{
		"azs": zones, "zone": max(0, slices.Index(zones, any(c.Zone))), "peersTotal": 1, "me": 0,
		"quantumUs": 5000, "membershipMode": "automatic",
		// Declares that clients mark their retries. Range-query clients do not, so no query counts as a retry.
		// The module would otherwise take a query with a short time-out for the last retry of an older one and
		// refuse it as too late to be of any worth.
		"callers": map[string]any{"marksRetry": true},
		"extra":   map[string]any{"places": cells, "slices": shards, "reach": max(1, c.Reach)},
		"bounds": map[string]any{"cancel": true, "secondCopies": true, "sendCap": 4, "probes": true,
			"retryAfter": true, "maxRetryAfterUs": 2_000_000, "connIdleUs": 15_000_000,
			"dialTimeoutUs": 250_000, "maxOpen": max(256, 8*(shards+1))},
		"lanes": []any{map[string]any{"name": c.Class, "goalTimeUs": 3_000_000, "hardLimitUs": 10_000_000,
			"idempotency": "read_like", "worth": 5, "lateWorth": 0}},
	}
	settings.Overlay(defaults, c.Settings)
	return defaults
}

// Environment is what the front needs to know about the coordinator that it runs in.
type Environment struct {
	Config     *platform.Config // as of the start
	Standalone bool             // without discovery: the file's servers are the list
	Log        *slog.Logger
}

// ErrClass reports that the class of a front's configuration is not one that range queries can belong to.
var ErrClass = errors.New("not a class for range queries")

// Front is both the front and the backend of range queries.
type Front struct {
	cfg           *Config
	env           Environment
	shards        int
	servers       map[balance.ReplicaID]*server
	core          *core.Core
	budget        *lnet.Budget
	listener      *lnet.Server
	config        atomic.Pointer[platform.Config] // in force
	bufferedBytes atomic.Int64                    // of server replies, bounded by bufferLimit
	bufferLimit   int64
	queryCount    atomic.Uint64 // numbers the queries, for their names
	namePrefix    string        // of queries; drawn for each process
	notReady      atomic.Bool
	mu            sync.Mutex
	inFlight      map[*core.Attempt]*roundTrip
}

type server struct {
	name, addr, path string
	mu               sync.Mutex
	idle             []*lnet.Client
	sweepScheduled   bool // a timer for closeExpired is running
}

// New returns a front for a configuration, or an error if the configuration does not fit the environment.
func New(cfg *Config, env Environment) (*Front, error) {
	f := &Front{cfg: cfg, env: env, shards: env.Config.Shards, servers: map[balance.ReplicaID]*server{},
		inFlight:    map[*core.Attempt]*roundTrip{},
		namePrefix:  strconv.FormatUint(rand.Uint64(), 36),
		bufferLimit: min(maxBufferedBytes, int64(env.Config.Limits.MemoryMB)<<20/bufferShare)}
	f.SetConfig(env.Config)
	switch rules, known := env.Config.RulesAt(cfg.Class, time.Now()); {
	case !known:
		return nil, fmt.Errorf("%w: %q is not among the settings'", ErrClass, cfg.Class)
	case !rules.Repeatable:
		return nil, fmt.Errorf("%w: %q is not safe to repeat, as range queries are", ErrClass, cfg.Class)
	}
	if f.shards < 1 || f.shards > maxShards {
		return nil, fmt.Errorf("%d shards are not possible", f.shards)
	}
	for _, s := range cfg.Servers {
		addr, path, err := splitAddress(s.Address)
		if err != nil {
			return nil, err
		}
		if env.Standalone && s.Cell >= env.Config.Module.Cells {
			return nil, fmt.Errorf("server %s: there is no cell %d", s.Name, s.Cell)
		}
		f.servers[core.ServerID(s.Name)] = &server{name: s.Name, addr: addr, path: path}
	}
	return f, nil
}

// SetConfig makes the front follow the rules of a configuration that is in force now.
func (f *Front) SetConfig(cfg *platform.Config) { f.config.Store(cfg) }

// tenantHeader carries the tenant; multi-tenant services with Prometheus's API use this header.
const tenantHeader = "X-Scope-OrgID"

// ServerName returns the name of the server with the given ID; false if it is unknown.
func (f *Front) ServerName(id balance.ReplicaID) (string, bool) {
	if s := f.servers[id]; s != nil {
		return s.name, true
	}
	return "", false
}

// Backend returns the backend that sends the parts of range queries to servers.
func (f *Front) Backend() core.Backend { return f }

// Start opens the listener and serves requests. Without discovery it first posts the configured servers to
// the core.
func (f *Front) Start(c *core.Core, budget *lnet.Budget) error {
	f.core, f.budget = c, budget
	l, err := lnet.Listen(f.cfg.Listen, budget, f.env.Log, f.handle)
	if err != nil {
		return err
	}
	f.listener = l
	if f.env.Standalone {
		var list []balance.Replica
		for _, s := range f.cfg.Servers {
			size := 1.0
			if s.Share != nil {
				size = *s.Share
			}
			list = append(list, balance.Replica{ID: core.ServerID(s.Name), Cell: s.Cell, State: balance.Ready,
				Zone: slices.Index(f.env.Config.Zones, s.Zone), Size: size})
		}
		c.Post(core.ListUpdate{Mode: balance.Full, Replicas: list})
	}
	go l.Serve()
	return nil
}

// Addr returns the listener's address.
func (f *Front) Addr() string { return f.listener.Addr() }

// MarkNotReady makes /-/ready answer 503 from now on.
func (f *Front) MarkNotReady() { f.notReady.Store(true) }

// LastRequest returns the time at which the latest request arrived.
func (f *Front) LastRequest() time.Time { return f.listener.LastRequest() }

// CloseAfterReply makes every reply close its connection from now on.
func (f *Front) CloseAfterReply() { f.listener.CloseAfterReply() }

// Drain closes idle connections, and every other one after its current reply.
func (f *Front) Drain() { f.listener.Drain() }

// StopListening closes the listener.
func (f *Front) StopListening() { f.listener.StopListening() }

// WaitUntil waits until all connections are closed, or until the time that the function returns, which may
// change meanwhile. It reports whether all are closed.
func (f *Front) WaitUntil(until func() time.Time) bool { return f.listener.WaitUntil(until) }

func errorReply(e *apiError) lnet.Response {
	b, err := json.Marshal(envelope{Status: "error", ErrorType: e.errorType, Error: e.err.Error()})
	if err != nil {
		return lnet.Response{Status: 500}
	}
	return lnet.Response{Status: e.status, ContentType: "application/json", Body: b}
}

// unavailable returns a 503 reply. Retry-After is rounded up to whole seconds, as HTTP requires.
func unavailable(errorType string, after time.Duration, err error) lnet.Response {
	r := errorReply(&apiError{503, errorType, err})
	if after > 0 { // 0: the settings forbid Retry-After
		r.Header = [][2]string{{"Retry-After", strconv.Itoa(max(1, int(math.Ceil(after.Seconds()))))}}
	}
	return r
}

// handle answers one HTTP request. For a query that is passed to the core it returns the function to call if
// the client disconnects before the reply.
func (f *Front) handle(r *lnet.Request, x *lnet.Exchange) func() {
	switch r.Path {
	case "/-/healthy", "/-/ready":
		switch {
		case r.Path == "/-/ready" && f.notReady.Load():
			x.Reply(lnet.Response{Status: 503, Body: []byte("ending\n")})
		case r.Path == "/-/ready" && f.core.RefusesQueries():
			x.Reply(lnet.Response{Status: 503, Body: []byte("starting\n")})
		default:
			x.Reply(lnet.Response{Status: 200, Body: []byte("ok\n")})
		}
		return nil
	case rangePath:
	default:
		x.Reply(errorReply(&apiError{404, "not_found", fmt.Errorf("%s is not served here", r.Path)}))
		return nil
	}
	params, apiErr := requestParams(r)
	if apiErr == nil {
		var q *rangeQuery
		if q, apiErr = parseQuery(params, f.cfg.ShardLabel); apiErr == nil {
			return f.submit(q, r, x)
		}
	}
	f.env.Log.Warn("bad range query", "status", apiErr.status, "why", apiErr.err)
	reply := errorReply(apiErr)
	if apiErr.status == 405 {
		reply.Header = [][2]string{{"Allow", "GET, POST"}}
	}
	x.Reply(reply)
	return nil
}

// requestParams returns the parameters of the URL and, for a POST, of the body. If both give a parameter, the
// body's value takes precedence.
func requestParams(r *lnet.Request) (url.Values, *apiError) {
	params, err := url.ParseQuery(r.Query)
	if err != nil {
		return nil, badData("malformed parameters: %w", err)
	}
	switch r.Method {
	case "GET":
		return params, nil
	case "POST":
	default:
		return nil, &apiError{405, "bad_data", fmt.Errorf("%s is not allowed here", r.Method)}
	}
	mediaType, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	if len(r.Body) > 0 && !strings.EqualFold(strings.TrimSpace(mediaType), "application/x-www-form-urlencoded") {
		return nil, &apiError{415, "bad_data", fmt.Errorf("a body of type %q cannot be read", mediaType)}
	}
	body, err := url.ParseQuery(string(r.Body))
	if err != nil {
		return nil, badData("malformed parameters: %w", err)
	}
	for k, v := range params {
		body[k] = append(body[k], v...)
	}
	return body, nil
}

// nextName returns the name of a new query. No other process of this coordinator may give the same one.
func (f *Front) nextName() string {
	return "range-" + f.namePrefix + "-" + strconv.FormatUint(f.queryCount.Add(1), 10)
}

// submit passes a query to the core, with one part per shard. It returns the function to call if the client
// disconnects before the reply; nil if the query has been refused already.
func (f *Front) submit(q *rangeQuery, r *lnet.Request, x *lnet.Exchange) func() {
	rules, known := f.config.Load().RulesAt(f.cfg.Class, r.ReceivedAt)
	timeout := rules.Wait
	if q.timeout > 0 {
		timeout = min(time.Duration(rules.Class.Deadline)*time.Microsecond, q.timeout)
	}
	pq := &pendingQuery{front: f, query: q, exchange: x, deadline: r.ReceivedAt.Add(timeout),
		floor: rules.Class.Floor}
	// New settings may drop the class or change its effect: the module does not decide for range queries then.
	if !known || !rules.Repeatable {
		pq.sendReply(unavailable("unavailable", f.core.FullRetryAfter(),
			fmt.Errorf("class %q is not there for range queries now", f.cfg.Class)))
		return nil
	}
	cq := &core.Query{Name: f.nextName(), Class: rules.Index,
		Rules: &rules.Class, MaxAttempts: rules.MaxAttempts, Deadline: pq.deadline, Client: pq, Backend: f,
		Data: pq, Caller: r.Header.Get(tenantHeader), ClientLeft: x.ClientLeft}
	for s := range f.shards {
		cq.Parts = append(cq.Parts, core.PartSpec{Shard: s, Weight: 1})
	}
	x.Reject = func() { f.core.Reject(cq) }
	if !f.core.Submit(cq) {
		pq.Final(core.FinalAnswer{Outcome: core.Refused, RetryAfter: f.core.FullRetryAfter()})
		return nil
	}
	return func() {
		pq.release()
		f.core.Abandon(cq)
	}
}

// pendingQuery is the core's client for one query. It also counts the memory that the query's server replies
// take up.
type pendingQuery struct {
	front         *Front
	query         *rangeQuery
	exchange      *lnet.Exchange
	deadline      time.Time
	floor         float64 // share of the shards that an answer needs, by the rules at its arrival
	mu            sync.Mutex
	bufferedBytes int64
	closed        bool
	permanent     *permanentError // a server's reply that the query cannot be computed, if any
}

// retain adds reserved memory that is held until the query ends. It returns false if the query has already
// ended; the caller then releases the memory.
func (pq *pendingQuery) retain(n int64) bool {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	if pq.closed {
		return false
	}
	pq.bufferedBytes += n
	return true
}

func (pq *pendingQuery) release() {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	if !pq.closed {
		pq.closed = true
		pq.front.bufferedBytes.Add(-pq.bufferedBytes)
	}
}

// Final sends the reply. It runs on the core's goroutine, so the merge of the results, which takes time, runs
// on one of its own.
func (pq *pendingQuery) Final(f core.FinalAnswer) {
	switch f.Outcome {
	case core.Answered:
		go func() {
			defer pq.release()
			pq.sendReply(pq.buildReply(f))
		}()
		return
	case core.Refused:
		pq.mu.Lock()
		permanent := pq.permanent
		pq.mu.Unlock()
		switch {
		case permanent != nil:
			pq.sendReply(errorReply(&apiError{422, "execution", permanent}))
		case !time.Now().Before(pq.deadline.Add(-20 * time.Millisecond)):
			pq.sendReply(unavailable("timeout", f.RetryAfter, errors.New("the query's time is over")))
		default:
			pq.sendReply(unavailable("unavailable", f.RetryAfter,
				errors.New("not every shard can answer now: refused rather than thin")))
		}
	default:
		pq.sendReply(unavailable("timeout", pq.front.core.FullRetryAfter(),
			errors.New("the query was not decided in time")))
	}
	pq.release()
}

// sendReply counts the outcome and sends the reply to the client.
func (pq *pendingQuery) sendReply(r lnet.Response) {
	switch count := pq.front.core.Counts().Class(pq.front.cfg.Class); r.Status {
	case 200:
		count.Add(core.Answered)
	case 503:
		count.Add(core.Refused)
	default:
		count.Add(core.Failed)
	}
	pq.exchange.Reply(r)
}

// buildReply merges the shards' results. Missing or conflicting shards are never left out silently: the query
// is refused or, if the class's floor allows it, its answer is marked partial.
func (pq *pendingQuery) buildReply(f core.FinalAnswer) lnet.Response {
	results := make([]*shardResult, 0, len(f.Values))
	for _, v := range f.Values {
		if r, ok := v.Data.(*shardResult); ok {
			results = append(results, r)
		}
	}
	p := &pq.query.plan
	merged, conflicts := merge(results, p.hasSelector && p.shardLabel != "")
	var warnings []string
	if len(conflicts) > 0 {
		conflicting := map[int]bool{}
		for _, c := range conflicts {
			conflicting[c.shardA], conflicting[c.shardB] = true, true
			warnings = append(warnings,
				fmt.Sprintf("shards %d and %d differ on series %s", c.shardA, c.shardB, c.labels))
		}
		pq.front.env.Log.Warn("shards returned conflicting series", "conflicts", len(conflicts),
			"first", warnings[0])
		results = slices.DeleteFunc(results, func(r *shardResult) bool { return conflicting[r.shard] })
		merged, _ = merge(results, false)
		warnings = warnings[:min(len(warnings), 10)]
	}
	if missing := pq.missingShards(results); len(missing) > 0 {
		share := float64(len(results)) / float64(pq.front.shards)
		if len(results) == 0 || share < pq.floor-1e-9 {
			return unavailable("unavailable", pq.front.core.FullRetryAfter(),
				fmt.Errorf("shards %v are missing or in conflict: refused rather than thin", missing))
		}
		warnings = append([]string{fmt.Sprintf("partial answer: %d of %d shards are missing: %v",
			len(missing), pq.front.shards, missing)}, warnings...)
	}
	merged = p.aggregate(merged)
	if pq.query.limit > 0 && len(merged) > pq.query.limit {
		merged = merged[:pq.query.limit]
		warnings = append(warnings, "results truncated due to limit")
	}
	var infos []string
	for _, r := range results {
		for _, text := range r.infos {
			if !slices.Contains(infos, text) {
				infos = append(infos, text)
			}
		}
	}
	body, err := encodeReply(merged, warnings, infos)
	if err != nil {
		return errorReply(&apiError{500, "internal", err})
	}
	return lnet.Response{Status: 200, ContentType: "application/json", Body: body}
}

// missingShards returns the shards without a result.
func (pq *pendingQuery) missingShards(results []*shardResult) []int {
	present := map[int]bool{}
	for _, r := range results {
		present[r.shard] = true
	}
	var missing []int
	for s := range pq.front.shards {
		if !present[s] {
			missing = append(missing, s)
		}
	}
	return missing
}
