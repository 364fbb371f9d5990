package measurer

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the imbalance over time of one or more reports into a file; the ending
// of its name chooses the format, such as .png or .svg.
func Plot(file string, reports []Report) error {
	p := plot.New()
	p.Title.Text = "imbalance of open flows"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "largest over mean"
	for i, r := range reports {
		points := make(plotter.XYs, 0, len(r.ImbalanceOverTime))
		for _, s := range r.ImbalanceOverTime {
			points = append(points, plotter.XY{X: s.Seconds, Y: s.MaxOverMean})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "draw line")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(string(r.Policy), line)
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}
