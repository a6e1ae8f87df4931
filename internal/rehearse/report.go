package rehearse

import (
	"bytes"
	"fmt"
	"html/template"
	"io"

	"github.com/wcharczuk/go-chart/v2"
)

// page is one self-contained page: the charts are in it as SVG.
var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}svg{display:block;margin:1em 0}</style>
<h1>{{.Title}}</h1>
{{range .Runs}}<h2>{{.Head}}</h2>{{.Chart}}{{.Sends}}
<table><tr>{{range .Names}}<th>{{.}}</th>{{end}}</tr><tr>{{range .Figures}}<td>{{.}}</td>{{end}}</tr></table>
{{end}}</html>
`))

type part struct {
	Head         string
	Chart, Sends template.HTML
	Names        []string
	Figures      []string
}

// Report writes a page with charts and figures of runs.
func Report(out io.Writer, title string, runs []*Run) error {
	data := struct {
		Title string
		Runs  []part
	}{Title: title}
	for _, r := range runs {
		x := part{Names: names,
			Head: fmt.Sprintf("%s, seed %d (%s)", r.Label, r.Seed, r.At.Format("2006-01-02 15:04"))}
		var err error
		if x.Chart, err = r.chart("requests a second", func(s Second) []float64 {
			return []float64{float64(s.First), float64(s.InTime), float64(s.Refused), float64(s.Late + s.Lost)}
		}, "asked for", "answered in time", "refused", "late or lost"); err != nil {
			return err
		}
		if x.Sends, err = r.chart("a second", func(s Second) []float64 {
			return []float64{float64(s.Parts) / 2, float64(s.Full) / 2, float64(s.Tries), float64(s.LevelMax)}
		}, "parts at nodes / 2", "of them turned away", "clients' tries", "level"); err != nil {
			return err
		}
		for _, name := range names {
			x.Figures = append(x.Figures, fmt.Sprintf("%.3f", r.Figures[name]))
		}
		data.Runs = append(data.Runs, x)
	}
	return page.Execute(out, data)
}

// chart draws some figures of each second as SVG.
func (r *Run) chart(unit string, of func(Second) []float64, titles ...string) (template.HTML, error) {
	c := chart.Chart{Width: 900, Height: 320, XAxis: chart.XAxis{Name: "s"}, YAxis: chart.YAxis{Name: unit}}
	for k, title := range titles {
		s := chart.ContinuousSeries{Name: title}
		for i, x := range r.Seconds {
			s.XValues, s.YValues = append(s.XValues, float64(i)), append(s.YValues, of(x)[k])
		}
		c.Series = append(c.Series, s)
	}
	c.Elements = []chart.Renderable{chart.LegendThin(&c)}
	var b bytes.Buffer
	if err := c.Render(chart.SVG, &b); err != nil {
		return "", err
	}
	return template.HTML(b.String()), nil
}
