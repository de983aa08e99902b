package load

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"image/color"
	"os"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	legendRoom = 1.4 // height of a plot over its greatest value
)

var plotColors = []color.Color{
	color.RGBA{R: 20, G: 90, B: 160, A: 255},
	color.RGBA{R: 200, G: 130, A: 255},
	color.RGBA{R: 180, A: 255},
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Report.Name}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:right}
td:first-child,th:first-child{text-align:left}.broken{color:#b00;font-weight:bold}</style>
<h1>{{.Report.Name}}, seed {{.Report.Seed}}</h1>
<p>Started {{.Report.Started}}, {{.Report.Seconds}} s.</p>
<h2>Oracles</h2><table><tr><th>oracle<th>finding</tr>
{{range .Verdicts}}<tr><td>{{.Oracle}}<td{{if .Broken}} class="broken"{{end}}>{{.Text}}</tr>
{{end}}</table>
<h2>Figures</h2><table>{{range .Figures}}<tr><td>{{.Name}}<td>{{printf "%.4g" .Value}}</tr>{{end}}</table>
<h2>Client accounts</h2><table><tr><th>account<th>requests<th>answered<th>refused<th>refused inside rate<th>share of grant<th>first token p99, ms</tr>
{{range .Report.Accounts}}<tr><td>{{.Name}}<td>{{.Requests}}<td>{{.OK}}<td>{{.Refused}}<td>{{.RefusedInRate}}<td>{{printf "%.3f" .ShareOfGrant}}<td>{{printf "%.1f" .First.P99}}</tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2><img alt="{{.Title}}" src="data:image/png;base64,{{.PNG}}">{{end}}
</html>
`))

type pageData struct {
	Report   *Report
	Verdicts []verdictRow
	Figures  []figureRow
	Plots    []plotImage
}

type verdictRow struct {
	Oracle, Text string
	Broken       bool
}

type figureRow struct {
	Name  string
	Value float64
}

type plotImage struct{ Title, PNG string }

// WriteHTML writes the report as one page with its plots inside.
func (r *Report) WriteHTML(path string) error {
	data := pageData{Report: r}
	for _, v := range r.Verdicts {
		data.Verdicts = append(data.Verdicts, verdictRow{v.Oracle, v.text(), v.Broken > 0})
	}
	for _, f := range figures() {
		data.Figures = append(data.Figures, figureRow{f.name, f.of(r)})
	}
	plots, err := r.plots()
	if err != nil {
		return err
	}
	data.Plots = plots
	var out bytes.Buffer
	if err := page.Execute(&out, data); err != nil {
		return errors.Wrap(err, "render report")
	}
	return errors.Wrap(os.WriteFile(path, out.Bytes(), 0o644), "write report")
}

func (r *Report) plots() ([]plotImage, error) {
	answered, refused, failed := make(plotter.XYs, len(r.Timeline)), make(plotter.XYs, len(r.Timeline)), make(plotter.XYs, len(r.Timeline))
	p99 := make(plotter.XYs, len(r.Timeline))
	for i, s := range r.Timeline {
		x := float64(s.At)
		answered[i], refused[i], failed[i] = plotter.XY{X: x, Y: float64(s.OK)}, plotter.XY{X: x, Y: float64(s.Refused)}, plotter.XY{X: x, Y: float64(s.Failed)}
		p99[i] = plotter.XY{X: x, Y: s.P99}
	}
	requests, err := drawLines("Requests by second of sending", "requests a second",
		line{"answered", answered, 0}, line{"refused", refused, 1}, line{"failed", failed, 2})
	if err != nil {
		return nil, err
	}
	first, err := drawLines("Time to first token, 99 in 100", "ms", line{"p99", p99, 0})
	return []plotImage{requests, first}, err
}

type line struct {
	name   string
	points plotter.XYs
	style  int
}

func drawLines(title, unit string, lines ...line) (plotImage, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds since the start", unit
	p.Legend.Top = true
	for _, l := range lines {
		drawn, err := plotter.NewLine(l.points)
		if err != nil {
			return plotImage{}, errors.Wrap(err, "plot")
		}
		drawn.Color = plotColors[l.style]
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	p.Y.Min, p.Y.Max = 0, p.Y.Max*legendRoom
	to, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return plotImage{}, errors.Wrap(err, "plot")
	}
	var png bytes.Buffer
	if _, err := to.WriteTo(&png); err != nil {
		return plotImage{}, errors.Wrap(err, "plot")
	}
	return plotImage{title, base64.StdEncoding.EncodeToString(png.Bytes())}, nil
}
