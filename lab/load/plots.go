package load

import (
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Names of the plots.
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

// curve is one line of a plot.
type curve struct {
	name   string
	points plotter.XYs
	dots   bool // draw points instead of a line
}

func (r Report) plots(dir string) error {
	if err := r.plot(dir, plotFirstToken, "First token", "ms", r.latencies(func(s Side) []Point { return s.FirstTokenSeries })); err != nil {
		return err
	}
	if err := r.plot(dir, plotGap, "Gap between tokens", "ms", r.latencies(func(s Side) []Point { return s.GapSeries })); err != nil {
		return err
	}
	if err := r.plot(dir, plotResume, "Resume latency", "ms", r.resumeCurves()); err != nil {
		return err
	}
	return r.plot(dir, plotExtra, "Extra resources", "tokens", r.extraCurves())
}

func (r Report) latencies(of func(Side) []Point) []curve {
	curves := pointCurves("nodes", of(r.Nodes))
	if r.Direct != nil {
		curves = append(curves, pointCurves("direct", of(*r.Direct))...)
	}
	return curves
}

func pointCurves(name string, points []Point) []curve {
	p50, p95 := curve{name: name + " p50"}, curve{name: name + " p95"}
	for _, p := range points {
		p50.points = append(p50.points, plotter.XY{X: float64(p.Second), Y: p.P50})
		p95.points = append(p95.points, plotter.XY{X: float64(p.Second), Y: p.P95})
	}
	return []curve{p50, p95}
}

func (r Report) resumeCurves() []curve {
	inside, reconnected := curve{name: "inside the node", dots: true}, curve{name: "reconnected", dots: true}
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

// plot draws curves over the time of the run, with a vertical line at each
// fault.
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
	if c.dots {
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
