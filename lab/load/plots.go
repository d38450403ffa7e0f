package load

import (
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// File names of the plots.
const (
	plotFirstToken = "first-token.png"
	plotGap        = "gap.png"
	plotResume     = "resume.png"
	plotExtra      = "extra.png"
)

// Size of a plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// curve is one data series of a plot.
type curve struct {
	name    string
	points  plotter.XYs
	scatter bool // drawn as points instead of a line
}

func (r Report) plots(dir string) error {
	if err := r.plot(dir, plotFirstToken, "First token", "ms", r.latencyCurves(func(s TargetReport) []LatencyPoint { return s.FirstTokenSeries })); err != nil {
		return err
	}
	if err := r.plot(dir, plotGap, "Gap between tokens", "ms", r.latencyCurves(func(s TargetReport) []LatencyPoint { return s.GapSeries })); err != nil {
		return err
	}
	if err := r.plot(dir, plotResume, "Resume latency", "ms", r.resumeCurves()); err != nil {
		return err
	}
	return r.plot(dir, plotExtra, "Extra resources", "tokens", r.extraCurves())
}

func (r Report) latencyCurves(seriesOf func(TargetReport) []LatencyPoint) []curve {
	curves := pointCurves("nodes", seriesOf(r.Nodes))
	if r.Direct != nil {
		curves = append(curves, pointCurves("direct", seriesOf(*r.Direct))...)
	}
	return curves
}

func pointCurves(name string, points []LatencyPoint) []curve {
	p50, p95 := curve{name: name + " p50"}, curve{name: name + " p95"}
	for _, p := range points {
		p50.points = append(p50.points, plotter.XY{X: float64(p.Second), Y: p.P50})
		p95.points = append(p95.points, plotter.XY{X: float64(p.Second), Y: p.P95})
	}
	return []curve{p50, p95}
}

func (r Report) resumeCurves() []curve {
	inside, reconnected := curve{name: "inside the node", scatter: true}, curve{name: "reconnected", scatter: true}
	for _, x := range r.Nodes.Resumes {
		to := &inside
		if x.Reconnected {
			to = &reconnected
		}
		to.points = append(to.points, plotter.XY{X: x.At, Y: x.Silence})
	}
	return []curve{inside, reconnected}
}

func (r Report) extraCurves() []curve {
	recomputed, discarded := curve{name: "computed again"}, curve{name: "discarded"}
	for _, x := range r.Extra.Series {
		recomputed.points = append(recomputed.points, plotter.XY{X: x.At, Y: x.Recomputed})
		discarded.points = append(discarded.points, plotter.XY{X: x.At, Y: x.Discarded})
	}
	return []curve{recomputed, discarded}
}

// plot draws the curves over the time of the run, with a vertical line at the
// time of each fault, and writes the plot to file.
func (r Report) plot(dir, file, title, unit string, curves []curve) error {
	p := plot.New()
	p.Title.Text = r.Experiment + ": " + title
	p.X.Label.Text = "time in s"
	p.Y.Label.Text = unit
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, r.Elapsed, 0, 1
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, c := range curves {
		if err := c.draw(p, plotutil.Color(i)); err != nil {
			return err
		}
	}
	for _, f := range r.Faults {
		line, err := plotter.NewLine(plotter.XYs{{X: f.At, Y: 0}, {X: f.At, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		line.Color, line.Dashes = color.Gray{Y: 96}, plotutil.Dashes(1)
		p.Add(line)
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, file))
}

func (c curve) draw(p *plot.Plot, in color.Color) error {
	if len(c.points) == 0 {
		return nil
	}
	if c.scatter {
		s, err := plotter.NewScatter(c.points)
		if err != nil {
			return err
		}
		s.Color = in
		p.Add(s)
		p.Legend.Add(c.name, s)
		return nil
	}
	l, err := plotter.NewLine(c.points)
	if err != nil {
		return err
	}
	l.Color = in
	p.Add(l)
	p.Legend.Add(c.name, l)
	return nil
}
