package promql

// What servers answer and what becomes of it: reading a reply, merging the shards' series, the outermost
// aggregation, and the reply to the client. This file owns the arithmetic; it must never drop a series or a
// sample without a word.

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
)

// point is one sample.
type point struct {
	t int64 // ms
	v float64
}

// series is one series of a result.
type series struct {
	labels labels.Labels
	points []point
}

// UnmarshalJSON reads [seconds, "value"].
func (p *point) UnmarshalJSON(b []byte) error {
	var pair []json.RawMessage
	if err := json.Unmarshal(b, &pair); err != nil {
		return err
	}
	if len(pair) != 2 {
		return errors.New("a sample is a pair")
	}
	sec, err := strconv.ParseFloat(string(pair[0]), 64)
	if err != nil || !(math.Abs(sec) < 1e12) {
		return fmt.Errorf("a timestamp %.40s", pair[0])
	}
	p.t = int64(math.Round(sec * 1000))
	if math.Abs(sec*1000-float64(p.t)) > 0.01 {
		return fmt.Errorf("a timestamp between milliseconds: %.40s", pair[0])
	}
	var text string
	if err := json.Unmarshal(pair[1], &text); err != nil {
		return err
	}
	p.v, err = strconv.ParseFloat(text, 64)
	return err
}

// envelope is the form of a reply, the servers' and ours.
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

// shardResult is what one shard gave.
type shardResult struct {
	shard  int
	series []series
	infos  []string
}

// serverError is a server's word that a query cannot be computed: asking again changes nothing.
type serverError struct{ text string }

func (e *serverError) Error() string { return e.text }

// readReply takes a server's reply for a query, and nothing that is not whole or not of this query.
func readReply(status int, body []byte, q *rangeQuery) (*shardResult, error) {
	var e envelope
	if err := json.Unmarshal(body, &e); err != nil {
		return nil, fmt.Errorf("status %d, not a reply of this API: %w", status, err)
	}
	if status != 200 || e.Status != "success" {
		err := fmt.Errorf("status %d, %s: %s", status, e.ErrorType, e.Error)
		if status == 400 && e.ErrorType == "bad_data" || status == 422 && e.ErrorType == "execution" {
			return nil, &serverError{text: e.Error}
		}
		return nil, err
	}
	if len(e.Warnings) > 0 { // something is not as whole as it looks
		return nil, fmt.Errorf("it warns: %s", e.Warnings[0])
	}
	if e.Data == nil || e.Data.ResultType != "matrix" {
		return nil, errors.New("the result is not a matrix")
	}
	out := &shardResult{infos: e.Infos}
	seen := map[string]bool{}
	for i := range e.Data.Result {
		w := &e.Data.Result[i]
		if len(w.Histograms) > 0 && string(w.Histograms) != "null" {
			return nil, &serverError{text: "native histograms cannot be merged over shards"}
		}
		s := series{labels: labels.FromMap(w.Metric), points: w.Values}
		if key := string(s.labels.Bytes(nil)); seen[key] {
			return nil, fmt.Errorf("series %s comes twice", s.labels)
		} else {
			seen[key] = true
		}
		for j, p := range s.points {
			if !q.onGrid(p.t) {
				return nil, fmt.Errorf("series %s has a sample off the grid at %d ms", s.labels, p.t)
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

// conflict tells that two shards gave one series differently.
type conflict struct {
	labels labels.Labels
	a, b   int
}

// merge puts the shards' series together, sorted by labels. A series that several shards give alike, as
// servers with several shards do, counts once; where exclusive is set none may. All conflicts are returned.
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
			had, dup := byLabels[key]
			switch {
			case !dup:
				byLabels[key] = entry{s, p.shard}
			case exclusive || !slices.EqualFunc(had.s.points, s.points, samePoint):
				conflicts = append(conflicts, conflict{labels: s.labels, a: had.shard, b: p.shard})
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

// fold is an aggregation of one group at one moment.
type fold struct {
	n        int
	sum, err float64 // Neumaier's sum and its compensation
	mean     float64 // kept beside it for sums that leave the range of numbers
	inf      bool    // an infinite value was among them
	min, max float64
}

func (f *fold) add(v float64) {
	f.n++
	if f.n == 1 {
		f.min, f.max = v, v
	}
	if v < f.min || math.IsNaN(f.min) {
		f.min = v
	}
	if v > f.max || math.IsNaN(f.max) {
		f.max = v
	}
	f.inf = f.inf || math.IsInf(v, 0)
	f.mean += v/float64(f.n) - f.mean/float64(f.n)
	t := f.sum + v
	switch {
	case math.IsInf(t, 0):
		f.err = 0
	case math.Abs(f.sum) >= math.Abs(v):
		f.err += f.sum - t + v
	default:
		f.err += v - t + f.sum
	}
	f.sum = t
}

func (f *fold) value(op parser.ItemType) float64 {
	switch op {
	case parser.SUM:
		return f.sum + f.err
	case parser.MIN:
		return f.min
	case parser.MAX:
		return f.max
	case parser.COUNT:
		return float64(f.n)
	default: // the mean over all series, never over the shards' means
		if math.IsInf(f.sum, 0) && !f.inf {
			return f.mean
		}
		return (f.sum + f.err) / float64(f.n)
	}
}

// apply computes the outermost aggregation over the series of all shards.
func (p *plan) apply(in []series) []series {
	if p.aggregate == 0 {
		return in
	}
	type group struct {
		labels labels.Labels
		at     map[int64]*fold
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
			g = &group{labels: l, at: map[int64]*fold{}}
			groups[key] = g
		}
		for _, pt := range s.points {
			f := g.at[pt.t]
			if f == nil {
				f = &fold{}
				g.at[pt.t] = f
			}
			f.add(pt.v)
		}
	}
	out := make([]series, 0, len(groups))
	for _, g := range groups {
		s := series{labels: g.labels}
		for t, f := range g.at {
			s.points = append(s.points, point{t, f.value(p.aggregate)})
		}
		sort.Slice(s.points, func(i, j int) bool { return s.points[i].t < s.points[j].t })
		out = append(out, s)
	}
	sortSeries(out)
	return out
}

// appendPoint writes a sample as Prometheus does.
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
	form := byte('f')
	if a := math.Abs(p.v); a != 0 && (a < 1e-6 || a >= 1e21) {
		form = 'e'
	}
	b = strconv.AppendFloat(b, p.v, form, -1, 64)
	return append(b, '"', ']')
}

// encode writes a successful reply.
func encode(all []series, warnings, infos []string) ([]byte, error) {
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
