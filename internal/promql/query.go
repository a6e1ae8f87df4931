// Package promql is the second front: PromQL range queries over HTTP, for clients of Prometheus's public
// API, and the way of their parts to servers that speak the same API. It must never bypass the core: a
// query is admitted, sent, hedged, timed and ended there like any other.
//
// This file owns what a query asks for: its parameters, its steps, and the plan by which its expression is
// computed over shards. It must never let an expression through that could be wrong over shards.
package promql

import (
	"errors"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"time"

	"github.com/prometheus/common/model"
	"github.com/prometheus/prometheus/model/labels"
	"github.com/prometheus/prometheus/promql/parser"
)

const maxPoints = 11000 // of one series

// apiError is an error in the terms of Prometheus's API.
type apiError struct {
	status int
	kind   string
	err    error
}

func badData(format string, args ...any) *apiError {
	return &apiError{400, "bad_data", fmt.Errorf(format, args...)}
}

func badParameter(name string, err error) *apiError {
	return badData("invalid parameter %q: %w", name, err)
}

// rangeQuery is a query as its client asked for it. Times are in milliseconds.
type rangeQuery struct {
	start, end, step int64
	timeout          time.Duration // 0: none was given
	limit            int           // of series; 0: none
	lookback         string
	plan             plan
}

// onGrid tells that a query asks for the point: start + k x step, up to the end. Where the step does not
// divide the range the end is not among them.
func (q *rangeQuery) onGrid(t int64) bool {
	return t >= q.start && t <= q.end && (t-q.start)%q.step == 0
}

// parseQuery reads the parameters of a range query.
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

// parseTime reads Unix seconds with decimals, or RFC 3339, to the millisecond.
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

// parseDuration reads seconds with decimals, or a duration such as 5m.
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

// plan says how an expression is computed over shards: what each of them is asked for, and the aggregation
// over all their series, if there is one.
type plan struct {
	expr      parser.Expr
	aggregate parser.ItemType // 0: the shards' series are merged as they are
	grouping  []string
	without   bool
	selects   bool // has a selector: its series are those of one shard each
	label     string
}

// text is the expression that one shard is asked for.
func (p *plan) text(shard int) string {
	if p.label == "" || !p.selects {
		return p.expr.String()
	}
	// The expression is parsed anew, so that shards do not share what is changed here.
	expr, err := parser.NewParser(parser.Options{}).ParseExpr(p.expr.String())
	if err != nil {
		return p.expr.String()
	}
	parser.Inspect(expr, func(n parser.Node, _ []parser.Node) error {
		if v, ok := n.(*parser.VectorSelector); ok {
			v.LabelMatchers = append(v.LabelMatchers,
				labels.MustNewMatcher(labels.MatchEqual, p.label, strconv.Itoa(shard)))
		}
		return nil
	})
	return expr.String()
}

// makePlan decides whether an expression can be right over shards. Series lie on one shard each, and
// nothing is known of which: so only what looks at one series at a time may be left to the shards, and one
// outermost aggregation is computed here over all of their series.
func makePlan(expr parser.Expr, shardLabel string) (plan, error) {
	for {
		p, ok := expr.(*parser.ParenExpr)
		if !ok {
			break
		}
		expr = p.Expr
	}
	p := plan{expr: expr, label: shardLabel}
	if a, ok := expr.(*parser.AggregateExpr); ok {
		switch a.Op {
		case parser.SUM, parser.MIN, parser.MAX, parser.COUNT, parser.AVG:
		default:
			return p, fmt.Errorf("%s cannot be computed over shards; sum, min, max, count and avg can", a.Op)
		}
		p.expr, p.aggregate, p.grouping, p.without = a.Expr, a.Op, a.Grouping, a.Without
	}
	l := local{}
	if err := l.check(p.expr); err != nil {
		return p, err
	}
	if p.selects = l.selects; l.folds != "" && shardLabel == "" {
		// Two series of two shards could become one under the same labels, and nothing would show it.
		return p, fmt.Errorf("%s over more than one metric name may fold series of different shards into one; "+
			"name one metric", l.folds)
	}
	return p, nil
}

// local walks an expression that each shard is to compute by itself.
type local struct {
	selects bool
	unnamed bool   // some selector matches more than one metric name
	folds   string // what could make two series the same, where that can happen
}

// oneByOne are the functions that look at one series at a time. The value tells whether the metric name
// stays.
var oneByOne = map[string]bool{
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
	// The order of series has no meaning in a range query.
	"sort": true, "sort_desc": true,
}

func (l *local) check(e parser.Expr) error {
	switch e := e.(type) {
	case *parser.NumberLiteral:
		return nil
	case *parser.ParenExpr:
		return l.check(e.Expr)
	case *parser.UnaryExpr:
		if err := l.check(e.Expr); err != nil {
			return err
		}
		l.dropsName("a sign")
		return nil
	case *parser.VectorSelector:
		l.selects = true
		named := false
		for _, m := range e.LabelMatchers {
			named = named || m.Name == model.MetricNameLabel && m.Type == labels.MatchEqual && m.Value != ""
		}
		l.unnamed = l.unnamed || !named
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
			l.dropsName("an operator")
		}
		return nil
	case *parser.Call:
		keeps, ok := oneByOne[e.Func.Name]
		if !ok {
			return fmt.Errorf("%s() cannot be computed over shards", e.Func.Name)
		}
		for _, a := range e.Args {
			if err := l.check(a); err != nil {
				return err
			}
		}
		if !keeps {
			l.dropsName(e.Func.Name + "()")
		}
		return nil
	case *parser.AggregateExpr:
		return fmt.Errorf("%s cannot be computed over shards unless it is outermost", e.Op)
	}
	return errors.New("this expression cannot be computed over shards")
}

func (l *local) dropsName(what string) {
	if l.unnamed && l.folds == "" {
		l.folds = what
	}
}
