package promql

// Results: parsing the servers' replies, merging the shards' series, the outermost aggregation, and encoding
// the reply to the client. A series or a sample is never dropped silently.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
	"strconv"

	"github.com/prometheus/common/model"
	"github.com/prometheus/prometheus/model/labels"
	"github.com/prometheus/prometheus/promql/parser"

	"lapislever/internal/jsontext"
)

// point is one sample of a series.
type point struct {
	t int64 // ms
	v float64
}

// series is one time series of a result.
type series struct {
	labels labels.Labels
	points []point
}

// UnmarshalJSON parses a sample of the form [seconds, "value"].
func (p *point) UnmarshalJSON(b []byte) error {
	var pair []json.RawMessage
	if err := json.Unmarshal(b, &pair); err != nil {
		return err
	}
	if len(pair) != 2 {
		return errors.New("sample is not a [timestamp, value] pair")
	}
	sec, err := strconv.ParseFloat(string(pair[0]), 64)
	if err != nil || !(math.Abs(sec) < 1e12) {
		return fmt.Errorf("invalid timestamp %.40s", pair[0])
	}
	p.t = int64(math.Round(sec * 1000))
	if math.Abs(sec*1000-float64(p.t)) > 0.01 {
		return fmt.Errorf("timestamp %.40s is not a whole number of milliseconds", pair[0])
	}
	var text string
	if err := json.Unmarshal(pair[1], &text); err != nil {
		return err
	}
	p.v, err = strconv.ParseFloat(text, 64)
	return err
}

// envelope is the JSON object of every reply, the servers' and the front's own.
type envelope struct {
	Status    string   `json:"status"`
	Data      *result  `json:"data,omitempty"`
	ErrorType string   `json:"errorType,omitempty"`
	Error     string   `json:"error,omitempty"`
	Warnings  []string `json:"warnings,omitempty"`
	Infos     []string `json:"infos,omitempty"`
}

type result struct {
	ResultType string       `json:"resultType"`
	Result     []wireSeries `json:"result"`
}

type wireSeries struct {
	Metric     map[string]string `json:"metric"`
	Values     []point           `json:"values"`
	Histograms json.RawMessage   `json:"histograms,omitempty"`
}

// shardResult is one shard's result.
type shardResult struct {
	shard  int
	series []series
	infos  []string
}

// permanentError is a server's error reply that a retry would not change, since the query itself cannot be
// computed. The client receives its text.
type permanentError struct{ text string }

func (e *permanentError) Error() string { return e.text }

// parseReply parses a server's reply to a query. A reply that is incomplete or does not fit the query is an
// error.
func parseReply(status int, body []byte, q *rangeQuery) (*shardResult, error) {
	if err := jsontext.CheckUnicode(body); err != nil { // the client would get other labels
		return nil, err
	}
	var e envelope
	if err := json.Unmarshal(body, &e); err != nil {
		return nil, fmt.Errorf("status %d, not a reply of the Prometheus API: %w", status, err)
	}
	if status != 200 || e.Status != "success" {
		err := fmt.Errorf("status %d, %s: %s", status, e.ErrorType, e.Error)
		if status == 400 && e.ErrorType == "bad_data" || status == 422 && e.ErrorType == "execution" {
			return nil, &permanentError{text: e.Error}
		}
		return nil, err
	}
	if len(e.Warnings) > 0 { // the result may be incomplete
		return nil, fmt.Errorf("reply has a warning: %s", e.Warnings[0])
	}
	if e.Data == nil || e.Data.ResultType != "matrix" {
		return nil, errors.New("result is not a matrix")
	}
	out := &shardResult{infos: e.Infos}
	seen := map[string]bool{}
	for i := range e.Data.Result {
		w := &e.Data.Result[i]
		if len(w.Histograms) > 0 && string(w.Histograms) != "null" {
			return nil, &permanentError{text: "native histograms cannot be merged over shards"}
		}
		s := series{labels: labels.FromMap(w.Metric), points: w.Values}
		if key := string(s.labels.Bytes(nil)); seen[key] {
			return nil, fmt.Errorf("series %s is listed twice", s.labels)
		} else {
			seen[key] = true
		}
		for j, p := range s.points {
			if !q.isEvalTimestamp(p.t) {
				return nil, fmt.Errorf("series %s has a sample at %d ms, which is no evaluation timestamp of the query",
					s.labels, p.t)
			}
			if j > 0 && p.t <= s.points[j-1].t {
				return nil, fmt.Errorf("series %s has samples out of order", s.labels)
			}
		}
		if len(s.points) > 0 {
			out.series = append(out.series, s)
		}
	}
	return out, nil
}

// conflict is a series for which two shards gave different samples, or which only one shard may have.
type conflict struct {
	labels         labels.Labels
	shardA, shardB int
}

// merge merges the shards' series and sorts them by labels. A series that several shards return with the same
// samples, as servers that hold several shards do, counts once; if exclusive is set, that is a conflict too.
// All conflicts are returned.
func merge(parts []*shardResult, exclusive bool) ([]series, []conflict) {
	type entry struct {
		s     *series
		shard int
	}
	byLabels := map[string]entry{}
	var conflicts []conflict
	for _, p := range parts {
		for i := range p.series {
			s := &p.series[i]
			key := string(s.labels.Bytes(nil))
			first, dup := byLabels[key]
			switch {
			case !dup:
				byLabels[key] = entry{s, p.shard}
			case exclusive || !slices.EqualFunc(first.s.points, s.points, samePoint):
				conflicts = append(conflicts, conflict{labels: s.labels, shardA: first.shard, shardB: p.shard})
			}
		}
	}
	out := make([]series, 0, len(byLabels))
	for _, e := range byLabels {
		out = append(out, *e.s)
	}
	sortSeries(out)
	return out, conflicts
}

func samePoint(a, b point) bool {
	return a.t == b.t && (a.v == b.v || math.IsNaN(a.v) && math.IsNaN(b.v))
}

func sortSeries(s []series) {
	sort.Slice(s, func(i, j int) bool { return labels.Compare(s[i].labels, s[j].labels) < 0 })
}

// accumulator aggregates the samples of one group at one timestamp.
type accumulator struct {
	count             int
	sum, compensation float64 // Kahan-Babuska-Neumaier summation
	mean              float64 // incremental, used if the sum overflows
	hasInf            bool    // one of the samples is infinite
	min, max          float64
}

func (a *accumulator) add(v float64) {
	a.count++
	if a.count == 1 {
		a.min, a.max = v, v
	}
	if v < a.min || math.IsNaN(a.min) {
		a.min = v
	}
	if v > a.max || math.IsNaN(a.max) {
		a.max = v
	}
	a.hasInf = a.hasInf || math.IsInf(v, 0)
	a.mean += v/float64(a.count) - a.mean/float64(a.count)
	t := a.sum + v
	switch {
	case math.IsInf(t, 0):
		a.compensation = 0
	case math.Abs(a.sum) >= math.Abs(v):
		a.compensation += a.sum - t + v
	default:
		a.compensation += v - t + a.sum
	}
	a.sum = t
}

func (a *accumulator) value(op parser.ItemType) float64 {
	switch op {
	case parser.SUM:
		return a.sum + a.compensation
	case parser.MIN:
		return a.min
	case parser.MAX:
		return a.max
	case parser.COUNT:
		return float64(a.count)
	default: // AVG: the mean over all series, not a mean of the shards' means
		if math.IsInf(a.sum, 0) && !a.hasInf {
			return a.mean
		}
		return (a.sum + a.compensation) / float64(a.count)
	}
}

// aggregate computes the outermost aggregation, if any, over the series of all shards.
func (p *plan) aggregate(in []series) []series {
	if p.op == 0 {
		return in
	}
	type group struct {
		labels labels.Labels
		byTime map[int64]*accumulator
	}
	groups := map[string]*group{}
	for _, s := range in {
		b := labels.NewBuilder(s.labels)
		if p.without {
			b.Del(p.grouping...).Del(model.MetricNameLabel)
		} else {
			b.Keep(p.grouping...)
		}
		l := b.Labels()
		key := string(l.Bytes(nil))
		g := groups[key]
		if g == nil {
			g = &group{labels: l, byTime: map[int64]*accumulator{}}
			groups[key] = g
		}
		for _, pt := range s.points {
			acc := g.byTime[pt.t]
			if acc == nil {
				acc = &accumulator{}
				g.byTime[pt.t] = acc
			}
			acc.add(pt.v)
		}
	}
	out := make([]series, 0, len(groups))
	for _, g := range groups {
		s := series{labels: g.labels}
		for t, acc := range g.byTime {
			s.points = append(s.points, point{t, acc.value(p.op)})
		}
		sort.Slice(s.points, func(i, j int) bool { return s.points[i].t < s.points[j].t })
		out = append(out, s)
	}
	sortSeries(out)
	return out
}

// appendPoint appends a sample in Prometheus's JSON form.
func appendPoint(b []byte, p point) []byte {
	t := p.t
	b = append(b, '[')
	if t < 0 {
		b, t = append(b, '-'), -t
	}
	b = strconv.AppendInt(b, t/1000, 10)
	if ms := t % 1000; ms != 0 {
		b = append(b, fmt.Sprintf(".%03d", ms)...)
	}
	b = append(b, ',', '"')
	format := byte('f')
	if a := math.Abs(p.v); a != 0 && (a < 1e-6 || a >= 1e21) {
		format = 'e'
	}
	b = strconv.AppendFloat(b, p.v, format, -1, 64)
	return append(b, '"', ']')
}

// encodeReply encodes a successful reply.
func encodeReply(all []series, warnings, infos []string) ([]byte, error) {
	b := []byte(`{"status":"success","data":{"resultType":"matrix","result":[`)
	for i, s := range all {
		if i > 0 {
			b = append(b, ',')
		}
		metric, err := json.Marshal(s.labels)
		if err != nil {
			return nil, err
		}
		b = append(b, `{"metric":`...)
		b = append(b, metric...)
		b = append(b, `,"values":[`...)
		for j, p := range s.points {
			if j > 0 {
				b = append(b, ',')
			}
			b = appendPoint(b, p)
		}
		b = append(b, `]}`...)
	}
	b = append(b, `]}`...)
	for _, x := range []struct {
		name  string
		texts []string
	}{{"warnings", warnings}, {"infos", infos}} {
		if len(x.texts) > 0 {
			texts, err := json.Marshal(x.texts)
			if err != nil {
				return nil, err
			}
			b = append(b, `,"`+x.name+`":`...)
			b = append(b, texts...)
		}
	}
	return append(b, '}'), nil
}
