package platform

// The clients' front: it converts a request to a query for the core, and a final answer to a reply. It
// defines the format of both and nothing else; it must never hold a query's state, answer a query itself
// once the core has it, or block.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/jsontext"
	lnet "lapislever/internal/net"
)

const (
	maxName  = 128  // length of a query's name or key
	maxParts = 1024 // of one query

	massTolerance = 0.001 // rounding error allowed in the sum of masses
)

// Front serves clients of the platform.
type Front struct {
	cfg     atomic.Pointer[Config]
	log     *slog.Logger
	core    *core.Core
	backend core.Backend
	ready   atomic.Bool
}

// NewFront returns a front without a core. It parses requests for another front with the same format.
func NewFront(cfg *Config, log *slog.Logger, backend core.Backend) *Front {
	f := &Front{log: log, backend: backend}
	f.cfg.Store(cfg)
	return f
}

// SetConfig sets the configuration that requests are parsed with.
func (f *Front) SetConfig(cfg *Config) { f.cfg.Store(cfg) }

// Parse converts a request to a query, or returns what is wrong with it. The query has no client yet.
func (f *Front) Parse(r *lnet.Request) (*core.Query, *lnet.BadMessage) { return f.parse(r) }

// Serve handles one request.
func (f *Front) Serve(r *lnet.Request, x *lnet.Exchange) func() {
	if r.Path == "/up" {
		switch {
		case r.Method != "GET" && r.Method != "HEAD":
			x.Reply(lnet.Response{Status: 405, Header: [][2]string{{"Allow", "GET, HEAD"}}, Body: []byte("use GET\n")})
		case f.ready.Load():
			x.Reply(lnet.Response{Status: 200, Body: []byte("up\n")})
		default:
			x.Reply(lnet.Response{Status: 503, Body: []byte("not ready\n")})
		}
		return nil
	}
	q, err := f.parse(r)
	if err != nil {
		f.countRejected(r, OutcomeForStatus(err.Status))
		// The connection ends: what follows on it is unlikely to be valid and must not cost more.
		x.Reply(lnet.Response{Status: err.Status, Body: []byte(err.Detail + "\n"), Close: true})
		f.log.Warn("bad request", "path", r.Path, "status", err.Status, "why", err.Detail)
		return nil
	}
	q.Client = &client{x: x, log: f.log, count: f.core.Counts().Class(ClassName(r))}
	q.ClientLeft = x.ClientLeft
	x.Reject = func() { f.core.Reject(q) }
	if !f.core.Submit(q) {
		q.Client.Final(core.FinalAnswer{Outcome: core.Refused, RetryAfter: f.core.FullRetryAfter()})
		return nil
	}
	return func() { f.core.Abandon(q) }
}

// CountTurnedAway counts a request that was refused before it reached the front, as too many connections
// are open.
func (f *Front) CountTurnedAway(r *lnet.Request) {
	f.countRejected(r, core.Refused)
}

// countRejected counts a reply given without the core, if the request names a class.
func (f *Front) countRejected(r *lnet.Request, e core.QueryOutcome) {
	if class := ClassName(r); f.cfg.Load().classIndex(class, r.ReceivedAt) >= 0 {
		f.core.Counts().Class(class).Add(e)
	}
}

// ClassName returns the class that a request names, known or not.
func ClassName(r *lnet.Request) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	return name
}

// OutcomeForStatus returns what a reply's status means for the query.
func OutcomeForStatus(status int) core.QueryOutcome {
	switch status {
	case 200:
		return core.Answered
	case 429, 503:
		return core.Refused
	}
	return core.Failed
}

// queryBody is the body of a request.
type queryBody struct {
	Slices sliceList  `json:"slices"`
	Filter filterText `json:"filter"`
}

// sliceItem is one part as the client names it.
type sliceItem struct {
	Slice  *int     `json:"slice"`
	Mass   *float64 `json:"mass"`
	Micros float64  `json:"micros"`
	Term   string   `json:"term"`
}

// sliceList holds the parts, unless there are too many. These are counted before they are decoded: an
// element of three bytes takes many times as much memory.
type sliceList struct {
	items   []sliceItem
	tooMany bool
}

// UnmarshalJSON decodes the list.
func (l *sliceList) UnmarshalJSON(text []byte) error {
	if l.tooMany = countElements(text) > maxParts; l.tooMany {
		return nil
	}
	return json.Unmarshal(text, &l.items)
}

// countElements returns the number of elements of a valid JSON array; of another value, at most one.
func countElements(text []byte) int {
	depth, commas, inString, escaped := 0, 0, false, false
	for _, b := range text {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = b == '\\', b != '"'
		case b == '"':
			inString = true
		case b == '[' || b == '{':
			depth++
		case b == ']' || b == '}':
			depth--
		case b == ',' && depth == 1:
			commas++
		}
	}
	return commas + 1
}

// filterText is a JSON string, decoded with one copy where it has no escapes. It may be as large as the body.
type filterText []byte

// UnmarshalJSON decodes the text.
func (f *filterText) UnmarshalJSON(text []byte) error {
	if len(text) >= 2 && text[0] == '"' && !bytes.ContainsRune(text, '\\') {
		*f = bytes.Clone(text[1 : len(text)-1])
		return nil
	}
	var decoded string
	if err := json.Unmarshal(text, &decoded); err != nil {
		return err
	}
	*f = []byte(decoded)
	return nil
}

// parse converts a request to a query.
func (f *Front) parse(r *lnet.Request) (*core.Query, *lnet.BadMessage) {
	fail := func(status int, format string, args ...any) (*core.Query, *lnet.BadMessage) {
		return nil, &lnet.BadMessage{Status: status, Detail: fmt.Sprintf(format, args...)}
	}
	cfg := f.cfg.Load()
	class := cfg.classIndex(ClassName(r), r.ReceivedAt)
	if class < 0 {
		return fail(404, "unknown class")
	}
	if r.Method != "POST" {
		return fail(405, "use POST")
	}
	for _, name := range []string{"X-Call-Id", "X-Budget", "Idempotency-Key"} {
		if len(r.Header[name]) > 1 {
			return fail(400, "%s is there more than once", name)
		}
	}
	q := &core.Query{Name: r.Header.Get("X-Call-Id"), Class: class, Backend: f.backend,
		Repeat: r.Header.Get("X-Again") == "1", Key: r.Header.Get("Idempotency-Key"),
		Caller: r.Header.Get("X-Caller")}
	if !isToken(q.Name) {
		return fail(400, "X-Call-Id is missing or malformed")
	}
	rules := cfg.rulesFor(class, q.Key != "", r.ReceivedAt)
	switch {
	case rules.class.Effect == balance.Keyed && !isToken(q.Key), rules.sendKey && q.Key != "" && !isToken(q.Key):
		return fail(400, "Idempotency-Key is missing or malformed")
	case !rules.sendKey:
		q.Key = ""
	}
	q.Rules, q.MaxAttempts = &rules.class, rules.maxAttempts
	wait := time.Duration(rules.wait) * time.Microsecond
	if text := r.Header.Get("X-Budget"); text != "" {
		wait = time.Duration(rules.class.Deadline) * time.Microsecond
		s, err := strconv.ParseFloat(text, 64)
		if err != nil || !(s >= 0) || math.IsInf(s, 0) {
			return fail(400, "X-Budget is malformed")
		}
		if s < wait.Seconds() {
			wait = time.Duration(s * float64(time.Second))
		}
	}
	q.Deadline = r.ReceivedAt.Add(wait)
	var body queryBody
	if err := jsontext.CheckUnicode(r.Body); err != nil { // the parts would carry another text
		return fail(400, "the body is not as it should be: %v", err)
	}
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return fail(400, "the body is not as it should be: %v", err)
	}
	if len(body.Slices.items) == 0 || body.Slices.tooMany {
		return fail(400, "slices: 1 to %d are needed", maxParts)
	}
	q.Payload = body.Filter
	seen, total := map[int]bool{}, 0.0
	for _, s := range body.Slices.items {
		if s.Slice == nil || *s.Slice < 0 || *s.Slice >= cfg.Shards || seen[*s.Slice] {
			return fail(400, "slices: a slice is missing, unknown or named twice")
		}
		seen[*s.Slice] = true
		if s.Mass == nil || !(*s.Mass > 0 && *s.Mass <= 1+massTolerance) {
			return fail(400, "slices: a mass is missing or not possible")
		}
		p := core.PartSpec{Shard: *s.Slice, Weight: *s.Mass}
		total += p.Weight
		if s.Micros > 0 && s.Micros < 1e12 {
			p.Hint = balance.Micros(s.Micros)
		}
		if s.Term != "" {
			key, err := strconv.ParseUint(s.Term, 16, 64)
			if err != nil {
				return fail(400, "slices: a term is not 16 hex digits")
			}
			p.Key = key
		}
		q.Parts = append(q.Parts, p)
	}
	if math.Abs(total-1) > massTolerance {
		return fail(400, "slices: the masses add up to %g, not to 1", total)
	}
	return q, nil
}

// isToken reports whether a text can be part of a frame's line.
func isToken(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f || s[i] == ',' || s[i] == '=' {
			return false
		}
	}
	return true
}

// client writes a query's final answer as a reply.
type client struct {
	x     *lnet.Exchange
	log   *slog.Logger
	count *core.ClassCount
}

// reply sends a reply and counts its outcome.
func (c *client) reply(r lnet.Response) {
	c.count.Add(OutcomeForStatus(r.Status))
	c.x.Reply(r)
}

// answerBody is the body of a reply.
type answerBody struct {
	Entire bool         `json:"entire"`
	Items  []answerItem `json:"items"`
}

type answerItem struct {
	Slice int    `json:"slice"`
	Body  string `json:"body"`
}

// Final sends the reply.
func (c *client) Final(f core.FinalAnswer) {
	switch f.Outcome {
	case core.Answered:
		r := Answer(f, c.log)
		r.DecidedAt = f.Decided
		c.reply(r)
	case core.Refused:
		r := Refusal(f.RetryAfter)
		r.DecidedAt = f.Decided
		if f.Why != "" {
			r.Body = []byte("refused for now: " + f.Why + "\n")
		}
		c.reply(r)
	default:
		status := 502
		switch {
		case f.Overdue:
			status = 504
		case f.NameTaken:
			status = 409
		}
		c.reply(lnet.Response{Status: status, Body: []byte("failed\n"), Close: f.NameTaken, DecidedAt: f.Decided})
	}
}

// Answer returns the response to a query that was answered.
func Answer(f core.FinalAnswer, log *slog.Logger) lnet.Response {
	body := answerBody{Entire: f.Complete, Items: make([]answerItem, 0, len(f.Values))}
	for _, v := range f.Values {
		body.Items = append(body.Items, answerItem{Slice: v.Shard, Body: string(v.Body)})
	}
	b, err := json.Marshal(body)
	if err != nil || len(b) > lnet.MaxBody {
		log.Warn("answer exceeds the largest reply body", "bytes", len(b), "err", err)
		return lnet.Response{Status: 502, Body: []byte("the answer is too large\n")}
	}
	return lnet.Response{Status: 200, ContentType: "application/json", Body: b}
}

// Refusal returns a response that tells the client when to retry.
func Refusal(after time.Duration) lnet.Response {
	r := lnet.Response{Status: 503, Body: []byte("refused for now\n")}
	if after > 0 {
		r.Header = [][2]string{{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}}
	}
	return r
}
