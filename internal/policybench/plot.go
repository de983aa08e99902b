package policybench

import (
	"fmt"
	"image/color"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// figure is a measure that is plotted.
type figure struct {
	file, label string
	value       func(Row) float64
}

var figures = []figure{
	{"hit-rate", "prefix hit rate", func(r Row) float64 { return r.HitRate }},
	{"ttft-p99", "p99 time to first token, ms", func(r Row) float64 { return float64(milliseconds(r.P99)) }},
	{"wasted", "share of prompt tokens computed though held", func(r Row) float64 { return r.WastedShare }},
	{"worst-account", "worst account's p99 to first token, ms", func(r Row) float64 { return float64(milliseconds(r.WorstP99)) }},
}

// Plot writes one SVG bar chart per workload, number of VMs and figure to dir.
func Plot(dir string, rows []Row) error {
	groups := map[string][]Row{}
	var order []string
	for _, r := range rows {
		key := fmt.Sprintf("%s-%dvm", r.Workload, r.VMs)
		if groups[key] == nil {
			order = append(order, key)
		}
		groups[key] = append(groups[key], r)
	}
	for _, key := range order {
		for _, f := range figures {
			if err := writeBarChart(filepath.Join(dir, "routing-"+key+"-"+f.file+".svg"), key, f, groups[key]); err != nil {
				return errors.Wrapf(err, "plot %s of %s", f.file, key)
			}
		}
	}
	return nil
}

// writeBarChart plots one figure, with a group of bars per scenario and a bar per variant.
func writeBarChart(path, title string, f figure, rows []Row) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = f.label
	p.Legend.Top = true
	var scenarios, variants []string
	values := map[string]plotter.Values{}
	for _, r := range rows {
		if values[r.Variant] == nil {
			variants = append(variants, r.Variant)
		}
		values[r.Variant] = append(values[r.Variant], f.value(r))
		if len(scenarios) == 0 || scenarios[len(scenarios)-1] != r.Scenario {
			scenarios = append(scenarios, r.Scenario)
		}
	}
	width := vg.Points(7)
	for i, v := range variants {
		chart, err := plotter.NewBarChart(values[v], width)
		if err != nil {
			return err
		}
		chart.Color = barColor(i)
		chart.LineStyle.Width = 0
		chart.Offset = width * vg.Length(float64(i)-float64(len(variants)-1)/2)
		p.Add(chart)
		p.Legend.Add(v, chart)
	}
	p.NominalX(scenarios...)
	return p.Save(24*vg.Centimeter, 11*vg.Centimeter, path)
}

func barColor(i int) color.Color { return plotutil.SoftColors[i%len(plotutil.SoftColors)] }
