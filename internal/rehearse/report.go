package rehearse

import (
	"bytes"
	"fmt"
	"html/template"
	"io"

	"github.com/wcharczuk/go-chart/v2"
)

// pageTemplate renders a self-contained HTML page with inline SVG charts.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}svg{display:block;margin:1em 0}</style>
<h1>{{.Title}}</h1>
{{range .Runs}}<h2>{{.Heading}}</h2>{{.RequestChart}}{{.TrafficChart}}
<table><tr>{{range .Names}}<th>{{.}}</th>{{end}}</tr><tr>{{range .Figures}}<td>{{.}}</td>{{end}}</tr></table>
{{end}}</html>
`))

// runSection is the section of the page for one run.
type runSection struct {
	Heading                    string
	RequestChart, TrafficChart template.HTML
	Names                      []string
	Figures                    []string
}

// Report writes an HTML page with the charts and figures of runs.
func Report(out io.Writer, title string, runs []*Run) error {
	data := struct {
		Title string
		Runs  []runSection
	}{Title: title}
	for _, r := range runs {
		section := runSection{Names: figureNames,
			Heading: fmt.Sprintf("%s, seed %d (%s)", r.Label, r.Seed, r.RecordedAt.Format("2006-01-02 15:04"))}
		var err error
		if section.RequestChart, err = r.renderChart("requests a second", func(s Second) []float64 {
			return []float64{float64(s.Requests), float64(s.InTime), float64(s.Refused), float64(s.Late + s.Lost)}
		}, "asked for", "answered in time", "refused", "late or lost"); err != nil {
			return err
		}
		if section.TrafficChart, err = r.renderChart("a second", func(s Second) []float64 {
			return []float64{float64(s.Parts) / 2, float64(s.RejectedParts) / 2, float64(s.Tries), float64(s.MaxLevel)}
		}, "parts at nodes / 2", "of them turned away", "clients' tries", "level"); err != nil {
			return err
		}
		for _, name := range figureNames {
			section.Figures = append(section.Figures, fmt.Sprintf("%.3f", r.Figures[name]))
		}
		data.Runs = append(data.Runs, section)
	}
	return pageTemplate.Execute(out, data)
}

// renderChart draws an SVG chart with one series per title. values returns a second's values of all series.
func (r *Run) renderChart(unit string, values func(Second) []float64,
	titles ...string) (template.HTML, error) {
	c := chart.Chart{Width: 900, Height: 320, XAxis: chart.XAxis{Name: "s"}, YAxis: chart.YAxis{Name: unit}}
	for k, title := range titles {
		s := chart.ContinuousSeries{Name: title}
		for i, x := range r.Seconds {
			s.XValues, s.YValues = append(s.XValues, float64(i)), append(s.YValues, values(x)[k])
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
