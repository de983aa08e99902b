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
	plotWidth     = 18 * vg.Centimeter
	plotHeight    = 7 * vg.Centimeter
	yAxisHeadroom = 1.4 // ratio of the y axis's range to the greatest value, so that the legend covers no line
)

var plotColors = []color.Color{
	color.RGBA{R: 20, G: 90, B: 160, A: 255},
	color.RGBA{R: 200, G: 130, A: 255},
	color.RGBA{R: 180, A: 255},
}

var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
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

// pageData is the data of reportTemplate.
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

// WriteHTML writes the report to a file as one HTML page with embedded plots.
func (r *Report) WriteHTML(path string) error {
	data := pageData{Report: r}
	for _, v := range r.Verdicts {
		data.Verdicts = append(data.Verdicts, verdictRow{v.Oracle, v.text(), v.Broken > 0})
	}
	for _, f := range figures() {
		data.Figures = append(data.Figures, figureRow{f.name, f.value(r)})
	}
	plots, err := r.plots()
	if err != nil {
		return err
	}
	data.Plots = plots
	var out bytes.Buffer
	if err := reportTemplate.Execute(&out, data); err != nil {
		return errors.Wrap(err, "render report")
	}
	return errors.Wrap(os.WriteFile(path, out.Bytes(), 0o644), "write report")
}

func (r *Report) plots() ([]plotImage, error) {
	answered, refused, failed := make(plotter.XYs, len(r.Timeline)), make(plotter.XYs, len(r.Timeline)), make(plotter.XYs, len(r.Timeline))
	p99 := make(plotter.XYs, len(r.Timeline))
	for i, second := range r.Timeline {
		x := float64(second.At)
		answered[i], refused[i], failed[i] = plotter.XY{X: x, Y: float64(second.OK)}, plotter.XY{X: x, Y: float64(second.Refused)}, plotter.XY{X: x, Y: float64(second.Failed)}
		p99[i] = plotter.XY{X: x, Y: second.P99}
	}
	requests, err := drawPlot("Requests by second of sending", "requests a second",
		plotLine{"answered", answered, 0}, plotLine{"refused", refused, 1}, plotLine{"failed", failed, 2})
	if err != nil {
		return nil, err
	}
	first, err := drawPlot("Time to first token, 99 in 100", "ms", plotLine{"p99", p99, 0})
	return []plotImage{requests, first}, err
}

// plotLine is one line of a plot.
type plotLine struct {
	name       string
	points     plotter.XYs
	colorIndex int // index into plotColors
}

// drawPlot renders lines as a base64-encoded PNG.
func drawPlot(title, unit string, lines ...plotLine) (plotImage, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds since the start", unit
	p.Legend.Top = true
	for _, line := range lines {
		curve, err := plotter.NewLine(line.points)
		if err != nil {
			return plotImage{}, errors.Wrap(err, "plot")
		}
		curve.Color = plotColors[line.colorIndex]
		p.Add(curve)
		p.Legend.Add(line.name, curve)
	}
	p.Y.Min, p.Y.Max = 0, p.Y.Max*yAxisHeadroom
	writer, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return plotImage{}, errors.Wrap(err, "plot")
	}
	var png bytes.Buffer
	if _, err := writer.WriteTo(&png); err != nil {
		return plotImage{}, errors.Wrap(err, "plot")
	}
	return plotImage{title, base64.StdEncoding.EncodeToString(png.Bytes())}, nil
}
