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

// Plot draws the imbalance over time of one or more reports to a file. The extension of
// the file name selects the format, such as .png or .svg.
func Plot(file string, reports []Report) error {
	figure := plot.New()
	figure.Title.Text = "imbalance of open flows"
	figure.X.Label.Text = "seconds"
	figure.Y.Label.Text = "largest over mean"
	for i, r := range reports {
		points := make(plotter.XYs, 0, len(r.ImbalanceOverTime))
		for _, sample := range r.ImbalanceOverTime {
			points = append(points, plotter.XY{X: sample.Seconds, Y: sample.MaxOverMean})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "draw line")
		}
		line.Color = plotutil.Color(i)
		figure.Add(line)
		figure.Legend.Add(string(r.Policy), line)
	}
	return eris.Wrap(figure.Save(plotWidth, plotHeight, file), "save plot")
}
