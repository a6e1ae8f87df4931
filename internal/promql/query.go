// Package promql serves PromQL range queries over HTTP to clients of the Prometheus API, and sends their
// parts to servers that implement the same API. It never bypasses the core: range queries are admitted,
// sent, hedged, timed out and finished there like any other query.
package promql

// The query: its parameters, its evaluation timestamps, and the plan for evaluating its expression over
// shards. Expressions that could give a wrong result over shards are refused.

import (
	"errors"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"time"
	"unicode"

	"github.com/prometheus/common/model"
	"github.com/prometheus/prometheus/model/labels"
	"github.com/prometheus/prometheus/promql/parser"
)

const maxPoints = 11000 // per series, as in Prometheus

// maxTokens bounds the size of an expression: the time to parse a nested one grows with the square of its
// depth.
const maxTokens = 1000

// apiError is an error reply of the Prometheus API.
type apiError struct {
	status    int
	errorType string
	err       error
}

func badData(format string, args ...any) *apiError {
	return &apiError{400, "bad_data", fmt.Errorf(format, args...)}
}

func badParameter(name string, err error) *apiError {
	return badData("invalid parameter %q: %w", name, err)
}

// rangeQuery holds a client's range query. Times are in milliseconds.
type rangeQuery struct {
	start, end, step int64
	timeout          time.Duration // 0 if not given
	limit            int           // maximum number of series; 0: unlimited
	lookback         string
	plan             plan
}

// isEvalTimestamp reports whether the query is evaluated at t, that is at start + k x step up to the end. The
// end itself is not included if the step does not divide the range.
func (q *rangeQuery) isEvalTimestamp(t int64) bool {
	return t >= q.start && t <= q.end && (t-q.start)%q.step == 0
}

// parseQuery parses the parameters of a range query.
func parseQuery(v url.Values, shardLabel string) (*rangeQuery, *apiError) {
	q := &rangeQuery{lookback: v.Get("lookback_delta")}
	if s := v.Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			return nil, badParameter("limit", fmt.Errorf("%q is not a count", s))
		}
		q.limit = n
	}
	var err error
	if q.start, err = parseTime(v.Get("start")); err != nil {
		return nil, badParameter("start", err)
	}
	if q.end, err = parseTime(v.Get("end")); err != nil {
		return nil, badParameter("end", err)
	}
	if q.end < q.start {
		return nil, badParameter("end", errors.New("end timestamp must not be before start time"))
	}
	step, err := parseDuration(v.Get("step"))
	if err != nil {
		return nil, badParameter("step", err)
	}
	if step <= 0 {
		return nil, badParameter("step",
			errors.New("zero or negative query resolution step widths are not accepted. Try a positive integer"))
	}
	if q.step = step.Milliseconds(); q.step == 0 || step%time.Millisecond != 0 {
		return nil, badParameter("step", errors.New("a step is a whole number of milliseconds"))
	}
	if (q.end-q.start)/q.step+1 > maxPoints {
		return nil, badData("exceeded maximum resolution of 11,000 points per timeseries. " +
			"Try decreasing the query resolution (?step=XX)")
	}
	if s := v.Get("timeout"); s != "" {
		if q.timeout, err = parseDuration(s); err != nil {
			return nil, badParameter("timeout", err)
		}
		if q.timeout <= 0 {
			return nil, badParameter("timeout", errors.New("a timeout is more than nothing"))
		}
	}
	if q.lookback != "" {
		if d, err := parseDuration(q.lookback); err != nil || d <= 0 {
			return nil, badParameter("lookback_delta", fmt.Errorf("%q is not a duration", q.lookback))
		}
	}
	if countTokens(v.Get("query")) > maxTokens {
		return nil, badParameter("query", fmt.Errorf("the expression has more than %d operators, names and numbers",
			maxTokens))
	}
	if err := checkRegexes(v.Get("query")); err != nil {
		return nil, badParameter("query", err)
	}
	expr, err := parser.NewParser(parser.Options{}).ParseExpr(v.Get("query"))
	if err != nil {
		return nil, badParameter("query", err)
	}
	switch expr.Type() {
	case parser.ValueTypeScalar, parser.ValueTypeVector:
	default:
		return nil, badParameter("query", fmt.Errorf("invalid expression type %q for range query, "+
			"must be Scalar or instant Vector", parser.DocumentedType(expr.Type())))
	}
	if q.plan, err = makePlan(expr, shardLabel); err != nil {
		return nil, &apiError{422, "execution", err}
	}
	return q, nil
}

// countTokens returns the number of operators, brackets, names and numbers in an expression, apart from
// what is in braces or quotes.
func countTokens(query string) (n int) {
	quote, inBraces, inWord, escaped := rune(0), false, false, false
	for _, r := range query {
		isWord := r == '_' || r == ':' || r == '.' || unicode.IsLetter(r) || unicode.IsDigit(r)
		switch {
		case escaped:
			escaped = false
		case quote != 0:
			if escaped = r == '\\' && quote != '`'; r == quote {
				quote = 0
			}
		case r == '"' || r == '\'' || r == '`':
			if quote = r; !inBraces {
				n++
			}
		case r == '{':
			inBraces = true
			n++
		case r == '}':
			inBraces = false
		case inBraces || unicode.IsSpace(r):
		case !isWord || !inWord:
			n++
		}
		inWord = isWord && quote == 0
	}
	return n
}

// parseTime parses a timestamp in Unix seconds with decimals or in RFC 3339, and returns Unix milliseconds.
func parseTime(s string) (int64, error) {
	if f, err := strconv.ParseFloat(s, 64); err == nil {
		if !(math.Abs(f) < 1e12) {
			return 0, fmt.Errorf("cannot parse %q to a valid timestamp", s)
		}
		return int64(math.Round(f * 1000)), nil
	}
	if t, err := time.Parse(time.RFC3339Nano, s); err == nil {
		return t.UnixMilli(), nil
	}
	return 0, fmt.Errorf("cannot parse %q to a valid timestamp", s)
}

// parseDuration parses a duration in seconds with decimals, or in Prometheus's notation such as 5m.
func parseDuration(s string) (time.Duration, error) {
	if f, err := strconv.ParseFloat(s, 64); err == nil {
		if !(math.Abs(f) < 9e9) {
			return 0, fmt.Errorf("cannot parse %q to a valid duration. It overflows int64", s)
		}
		return time.Duration(math.Round(f*1e6)) * time.Microsecond, nil
	}
	if d, err := model.ParseDuration(s); err == nil {
		return time.Duration(d), nil
	}
	return 0, fmt.Errorf("cannot parse %q to a valid duration", s)
}

// plan describes how an expression is evaluated over shards: the expression that every shard evaluates, and
// the outermost aggregation, if any, which is computed here over the series of all shards.
type plan struct {
	shardExpr   parser.Expr
	op          parser.ItemType // the aggregation; 0: the shards' series are merged unchanged
	grouping    []string
	without     bool
	hasSelector bool // if so, each series of the result comes from one shard
	shardLabel  string
}

// shardQuery returns the expression that is sent to a shard. With a shard label, its selectors match only the
// shard's own series.
func (p *plan) shardQuery(shard int) string {
	if p.shardLabel == "" || !p.hasSelector {
		return p.shardExpr.String()
	}
	// Parses a copy, because the selectors are modified for each shard.
	expr, err := parser.NewParser(parser.Options{}).ParseExpr(p.shardExpr.String())
	if err != nil {
		return p.shardExpr.String()
	}
	parser.Inspect(expr, func(n parser.Node, _ []parser.Node) error {
		if v, ok := n.(*parser.VectorSelector); ok {
			v.LabelMatchers = append(v.LabelMatchers,
				labels.MustNewMatcher(labels.MatchEqual, p.shardLabel, strconv.Itoa(shard)))
		}
		return nil
	})
	return expr.String()
}

// makePlan returns the plan of an expression, or an error if its result over shards could be wrong. Each
// series lies on one shard, which is not known in advance. Shards may therefore evaluate only what looks at
// one series at a time; one outermost aggregation is computed here over the series of all shards.
func makePlan(expr parser.Expr, shardLabel string) (plan, error) {
	for {
		p, ok := expr.(*parser.ParenExpr)
		if !ok {
			break
		}
		expr = p.Expr
	}
	p := plan{shardExpr: expr, shardLabel: shardLabel}
	if a, ok := expr.(*parser.AggregateExpr); ok {
		switch a.Op {
		case parser.SUM, parser.MIN, parser.MAX, parser.COUNT, parser.AVG:
		default:
			return p, fmt.Errorf("%s cannot be computed over shards; sum, min, max, count and avg can", a.Op)
		}
		p.shardExpr, p.op, p.grouping, p.without = a.Expr, a.Op, a.Grouping, a.Without
	}
	l := shardLocalCheck{}
	if err := l.check(p.shardExpr); err != nil {
		return p, err
	}
	if p.hasSelector = l.hasSelector; l.collapsedBy != "" && shardLabel == "" {
		// Series of two shards could end up with the same labels and be merged into one undetected.
		return p, fmt.Errorf("%s over more than one metric name may fold series of different shards into one; "+
			"name one metric", l.collapsedBy)
	}
	return p, nil
}

// shardLocalCheck checks that each shard can evaluate an expression on its own.
type shardLocalCheck struct {
	hasSelector     bool
	multipleMetrics bool   // some selector can match more than one metric name
	collapsedBy     string // what can give two series the same labels; "": nothing
}

// perSeriesFunctions lists the functions that look at one series at a time. The value says whether the
// function keeps the metric name.
var perSeriesFunctions = map[string]bool{
	"abs": false, "acos": false, "acosh": false, "asin": false, "asinh": false, "atan": false, "atanh": false,
	"avg_over_time": false, "ceil": false, "changes": false, "clamp": false, "clamp_max": false,
	"clamp_min": false, "cos": false, "cosh": false, "count_over_time": false, "days_in_month": false,
	"day_of_month": false, "day_of_week": false, "day_of_year": false, "deg": false, "delta": false,
	"deriv": false, "exp": false, "floor": false, "hour": false, "idelta": false, "increase": false,
	"irate": false, "last_over_time": true, "ln": false, "log10": false, "log2": false,
	"max_over_time": false, "min_over_time": false, "minute": false, "month": false, "pi": false,
	"predict_linear": false, "present_over_time": false, "quantile_over_time": false, "rad": false,
	"rate": false, "resets": false, "round": false, "sgn": false, "sin": false, "sinh": false, "sqrt": false,
	"stddev_over_time": false, "stdvar_over_time": false, "sum_over_time": false, "tan": false, "tanh": false,
	"time": false, "timestamp": false, "vector": false, "year": false,
	// Sorting has no effect on the result of a range query.
	"sort": true, "sort_desc": true,
}

func (l *shardLocalCheck) check(e parser.Expr) error {
	switch e := e.(type) {
	case *parser.NumberLiteral:
		return nil
	case *parser.ParenExpr:
		return l.check(e.Expr)
	case *parser.UnaryExpr:
		if err := l.check(e.Expr); err != nil {
			return err
		}
		l.dropMetricName("a sign")
		return nil
	case *parser.VectorSelector:
		l.hasSelector = true
		named := false
		for _, m := range e.LabelMatchers {
			named = named || m.Name == model.MetricNameLabel && m.Type == labels.MatchEqual && m.Value != ""
		}
		l.multipleMetrics = l.multipleMetrics || !named
		return nil
	case *parser.MatrixSelector:
		return l.check(e.VectorSelector)
	case *parser.SubqueryExpr:
		return l.check(e.Expr)
	case *parser.StepInvariantExpr:
		return l.check(e.Expr)
	case *parser.BinaryExpr:
		if e.LHS.Type() == parser.ValueTypeVector && e.RHS.Type() == parser.ValueTypeVector {
			return fmt.Errorf("%s between two vectors cannot be computed over shards: "+
				"the series that it would match may lie on different ones", e.Op)
		}
		if err := errors.Join(l.check(e.LHS), l.check(e.RHS)); err != nil {
			return err
		}
		if !e.Op.IsComparisonOperator() || e.ReturnBool {
			l.dropMetricName("an operator")
		}
		return nil
	case *parser.Call:
		keepsName, ok := perSeriesFunctions[e.Func.Name]
		if !ok {
			return fmt.Errorf("%s() cannot be computed over shards", e.Func.Name)
		}
		for _, a := range e.Args {
			if err := l.check(a); err != nil {
				return err
			}
		}
		if !keepsName {
			l.dropMetricName(e.Func.Name + "()")
		}
		return nil
	case *parser.AggregateExpr:
		return fmt.Errorf("%s cannot be computed over shards unless it is outermost", e.Op)
	}
	return errors.New("this expression cannot be computed over shards")
}

// dropMetricName records what removes the metric name, if the selectors match more than one name.
func (l *shardLocalCheck) dropMetricName(cause string) {
	if l.multipleMetrics && l.collapsedBy == "" {
		l.collapsedBy = cause
	}
}
