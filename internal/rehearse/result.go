package rehearse

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"go.etcd.io/bbolt"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// names of a run's figures, in the order of tables.
var names = []string{"goodput", "worth", "late", "refused", "lost", "tries", "parts", "full", "p50_ms",
	"p99_ms"}

// figures are what of a run is compared.
func (r *Run) figures() map[string]float64 {
	var sum Second
	for _, x := range r.Seconds {
		sum.First += x.First
		sum.Tries += x.Tries
		sum.InTime += x.InTime
		sum.Late += x.Late
		sum.Refused += x.Refused
		sum.Lost += x.Lost
		sum.Worth += x.Worth
		sum.Asked += x.Asked
		sum.Parts += x.Parts
		sum.Full += x.Full
	}
	first := float64(max(1, sum.First))
	return map[string]float64{
		"goodput": float64(sum.InTime) / float64(len(r.Seconds)), // requests answered in time a second
		"worth":   sum.Worth / math.Max(1, sum.Asked),            // of what was asked for
		"late":    float64(sum.Late) / first,
		"refused": float64(sum.Refused) / first,
		"lost":    float64(sum.Lost) / first,
		"tries":   float64(sum.Tries) / first,     // of clients for each request
		"parts":   float64(sum.Parts) / 2 / first, // at the nodes, for each two that one try needs
		"full":    float64(sum.Full) / math.Max(1, float64(sum.Parts)),
		"p50_ms":  r.Latency["50"],
		"p99_ms":  r.Latency["99"],
	}
}

// WriteTable prints a run: its figures, and a line for each second.
func (r *Run) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%s, %s, seed %d: the nodes can do %.0f queries a second\n", r.Scenario, r.Label, r.Seed,
		r.Capacity)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "SECOND\tASKED\tIN TIME\tLATE\tREFUSED\tLOST\tTRIES\tPARTS\tFULL\tLEVEL\t")
	for i, x := range r.Seconds {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", i, x.First, x.InTime, x.Late, x.Refused,
			x.Lost, x.Tries, x.Parts, x.Full, x.LevelMax)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, name := range names {
		fmt.Fprintf(out, "%-8s %.3f\n", name, r.Figures[name])
	}
	return nil
}

// Save keeps a run in a folder: as JSON, and in the store by scenario, label and seed.
func (r *Run) Save(dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, fmt.Sprintf("%s-%s-%d-%s.json", r.Scenario, r.Label, r.Seed,
		r.At.Format("20060102T150405")))
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return "", err
	}
	db, err := open(dir)
	if err != nil {
		return "", err
	}
	defer db.Close()
	return path, db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists([]byte(r.Scenario))
		if err != nil {
			return err
		}
		return b.Put([]byte(fmt.Sprintf("%s/%020d", r.Label, r.Seed)), text)
	})
}

func open(dir string) (*bbolt.DB, error) {
	return bbolt.Open(filepath.Join(dir, "runs.db"), 0o644, &bbolt.Options{Timeout: 5 * time.Second})
}

// Runs are the kept ones of a scenario and a label, by seed; the latest of each.
func Runs(dir, scenario, label string) (runs []*Run, err error) {
	if _, err := os.Stat(filepath.Join(dir, "runs.db")); err != nil {
		return nil, err
	}
	db, err := open(dir)
	if err != nil {
		return nil, err
	}
	defer db.Close()
	return runs, db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte(scenario))
		if b == nil {
			return nil
		}
		return b.ForEach(func(_, text []byte) error {
			r := &Run{}
			if err := json.Unmarshal(text, r); err != nil {
				return err
			}
			if label == "" || r.Label == label {
				runs = append(runs, r)
			}
			return nil
		})
	})
}

// Difference is one figure of two labels, paired by seed.
type Difference struct {
	Name       string
	A, B       float64 // means
	Mean, Half float64 // of B - A, and half of the interval's width
	Pairs      int
	Real       bool // the interval does not contain 0
}

// confidence of the intervals.
const confidence = 0.95

// Compare pairs the runs of two labels by seed: a difference is real where its interval by Student's t does
// not contain 0.
func Compare(a, b []*Run) (out []Difference, err error) {
	bySeed := map[uint64]*Run{}
	for _, r := range a {
		bySeed[r.Seed] = r
	}
	type pair struct{ a, b *Run }
	var pairs []pair
	for _, r := range b {
		if x := bySeed[r.Seed]; x != nil {
			pairs = append(pairs, pair{x, r})
		}
	}
	if len(pairs) < 2 {
		return nil, fmt.Errorf("%d seeds have both: two at the least are needed", len(pairs))
	}
	slices.SortFunc(pairs, func(x, y pair) int { return int(x.a.Seed) - int(y.a.Seed) })
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(pairs) - 1)}.Quantile(0.5 + confidence/2)
	for _, name := range names {
		var xs, ys, diffs []float64
		for _, p := range pairs {
			x, y := p.a.Figures[name], p.b.Figures[name]
			xs, ys, diffs = append(xs, x), append(ys, y), append(diffs, y-x)
		}
		mean, sd := stat.MeanStdDev(diffs, nil)
		d := Difference{Name: name, A: stat.Mean(xs, nil), B: stat.Mean(ys, nil), Mean: mean, Pairs: len(pairs),
			Half: t * sd / math.Sqrt(float64(len(pairs)))}
		d.Real = math.Abs(d.Mean) > d.Half
		out = append(out, d)
	}
	return out, nil
}

// WriteDifferences prints a comparison.
func WriteDifferences(out io.Writer, a, b string, list []Difference) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "FIGURE\t%s\t%s\tDIFFERENCE\t95%%\tPAIRS\t\t\n", a, b)
	for _, d := range list {
		word := "noise"
		if d.Real {
			word = "real"
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%+.3f\t±%.3f\t%d\t%s\t\n", d.Name, d.A, d.B, d.Mean, d.Half, d.Pairs, word)
	}
	return w.Flush()
}
