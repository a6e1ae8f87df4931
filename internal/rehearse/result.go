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

// figureNames lists the figures of a run in the order in which they are printed.
var figureNames = []string{"goodput", "worth", "late", "refused", "lost", "tries", "parts", "full", "p50_ms",
	"p99_ms"}

// computeFigures computes the figures of a run by which runs are compared.
func (r *Run) computeFigures() map[string]float64 {
	var sum Second
	for _, x := range r.Seconds {
		sum.Requests += x.Requests
		sum.Tries += x.Tries
		sum.InTime += x.InTime
		sum.Late += x.Late
		sum.Refused += x.Refused
		sum.Lost += x.Lost
		sum.Worth += x.Worth
		sum.OfferedWorth += x.OfferedWorth
		sum.Parts += x.Parts
		sum.RejectedParts += x.RejectedParts
	}
	requests := float64(max(1, sum.Requests))
	return map[string]float64{
		"goodput": float64(sum.InTime) / float64(len(r.Seconds)), // requests answered in time per second
		"worth":   sum.Worth / math.Max(1, sum.OfferedWorth),     // share of the offered worth
		"late":    float64(sum.Late) / requests,
		"refused": float64(sum.Refused) / requests,
		"lost":    float64(sum.Lost) / requests,
		"tries":   float64(sum.Tries) / requests,     // client tries per request
		"parts":   float64(sum.Parts) / 2 / requests, // relative to the two that one try needs
		"full":    float64(sum.RejectedParts) / math.Max(1, float64(sum.Parts)),
		"p50_ms":  r.Latency["50"],
		"p99_ms":  r.Latency["99"],
	}
}

// WriteTable prints a run: one line per second, then its figures.
func (r *Run) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%s, %s, seed %d: the nodes can do %.0f queries a second\n", r.Scenario, r.Label, r.Seed,
		r.Capacity)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "SECOND\tASKED\tIN TIME\tLATE\tREFUSED\tLOST\tTRIES\tPARTS\tFULL\tLEVEL\t")
	for i, x := range r.Seconds {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", i, x.Requests, x.InTime, x.Late, x.Refused,
			x.Lost, x.Tries, x.Parts, x.RejectedParts, x.MaxLevel)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, name := range figureNames {
		fmt.Fprintf(out, "%-8s %.3f\n", name, r.Figures[name])
	}
	return nil
}

// Save writes a run to a directory as a JSON file, and to the store there under its scenario, label and seed.
// It returns the path of the JSON file.
func (r *Run) Save(dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, fmt.Sprintf("%s-%s-%d-%s.json", r.Scenario, r.Label, r.Seed,
		r.RecordedAt.Format("20060102T150405")))
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return "", err
	}
	db, err := openStore(dir)
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

// openStore opens the database of runs in a directory.
func openStore(dir string) (*bbolt.DB, error) {
	return bbolt.Open(filepath.Join(dir, "runs.db"), 0o644, &bbolt.Options{Timeout: 5 * time.Second})
}

// LoadRuns returns the stored runs of a scenario and a label, ordered by label and seed. The store has only
// the latest run of each label and seed. An empty label selects all labels.
func LoadRuns(dir, scenario, label string) (runs []*Run, err error) {
	if _, err := os.Stat(filepath.Join(dir, "runs.db")); err != nil {
		return nil, err
	}
	db, err := openStore(dir)
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

// Difference compares one figure between the runs of two labels, paired by seed.
type Difference struct {
	Name                string
	MeanA, MeanB        float64
	MeanDiff, HalfWidth float64 // mean of B - A, and half of the width of its confidence interval
	Pairs               int
	Significant         bool // the confidence interval does not contain 0
}

// confidence is the level of the confidence intervals.
const confidence = 0.95

// Compare pairs the runs of two labels by seed. A difference is significant if its confidence interval, by
// Student's t-distribution, does not contain 0.
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
	for _, name := range figureNames {
		var xs, ys, diffs []float64
		for _, p := range pairs {
			x, y := p.a.Figures[name], p.b.Figures[name]
			xs, ys, diffs = append(xs, x), append(ys, y), append(diffs, y-x)
		}
		mean, sd := stat.MeanStdDev(diffs, nil)
		d := Difference{Name: name, MeanA: stat.Mean(xs, nil), MeanB: stat.Mean(ys, nil), MeanDiff: mean,
			Pairs: len(pairs), HalfWidth: t * sd / math.Sqrt(float64(len(pairs)))}
		d.Significant = math.Abs(d.MeanDiff) > d.HalfWidth
		out = append(out, d)
	}
	return out, nil
}

// WriteDifferences prints a comparison.
func WriteDifferences(out io.Writer, a, b string, list []Difference) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "FIGURE\t%s\t%s\tDIFFERENCE\t95%%\tPAIRS\t\t\n", a, b)
	for _, d := range list {
		result := "noise"
		if d.Significant {
			result = "real"
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%+.3f\t±%.3f\t%d\t%s\t\n", d.Name, d.MeanA, d.MeanB, d.MeanDiff,
			d.HalfWidth, d.Pairs, result)
	}
	return w.Flush()
}
