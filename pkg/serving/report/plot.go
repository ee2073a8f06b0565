package report

import (
	"bytes"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"almondbay.example/core/burn"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	// lineWidth and dotRadius are in points (1/72 inch).
	lineWidth vg.Length = 1.5
	dotRadius vg.Length = 1.5
	// headroom is the ratio of the maximum of the rate axis to the highest rate;
	// it leaves space for the legend.
	headroom = 1.5
	// labelIntervalHours is the number of hours between two labels of the time
	// axis.
	labelIntervalHours = 3
	// labelMargin is the time before the end of the axis in which ticks have no
	// label, since it would be cut off.
	labelMargin = 45 * time.Minute
)

var (
	rateColor   = color.RGBA{R: 0x0b, G: 0x57, B: 0xd0, A: 0xff}
	budgetColor = color.RGBA{R: 0x6e, G: 0x77, B: 0x81, A: 0xff}
	alertColors = []color.RGBA{
		{R: 0xb3, G: 0x26, B: 0x1e, A: 0xff},
		{R: 0xb0, G: 0x6d, B: 0x00, A: 0xff},
	}
)

// plotRow writes a plot of the burn rate of a row over the period as an SVG
// element.
func plotRow(w io.Writer, r burn.Report, row burn.Row) error {
	p, err := buildPlot(r, row)
	if err != nil {
		return err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var document bytes.Buffer
	if _, err := canvas.WriteTo(&document); err != nil {
		return Error.Wrap(err)
	}
	_, err = w.Write(svgElement(document.Bytes()))
	return Error.Wrap(err)
}

// buildPlot returns a plot of the burn rate of a row, with horizontal lines for the
// budget and for the threshold of each alert.
func buildPlot(r burn.Report, row burn.Row) (*plot.Plot, error) {
	p := plot.New()
	p.X.Tick.Marker = plot.TickerFunc(hourTicks)
	p.Y.Label.Text = "burn rate"
	p.X.Min = unix(r.At.Add(-r.Policy.Period))
	p.X.Max = unix(r.At)
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	if err := addRates(p, row.Points); err != nil {
		return nil, err
	}
	if err := addThreshold(p, "budget", 1, budgetColor); err != nil {
		return nil, err
	}
	for i, a := range row.Alerts {
		if err := addThreshold(p, a.Rule, a.Factor, alertColors[i%len(alertColors)]); err != nil {
			return nil, err
		}
	}
	p.Y.Min, p.Y.Max = 0, highestRate(row)*headroom
	return p, nil
}

// svgElement returns the SVG element of an SVG document, without the XML
// declaration before it.
func svgElement(document []byte) []byte {
	return document[max(0, bytes.Index(document, []byte("<svg"))):]
}

// highestRate returns the highest of the burn rates and alert thresholds of a row;
// at least 1, the level of the budget.
func highestRate(row burn.Row) float64 {
	highest := 1.0
	for _, a := range row.Alerts {
		highest = max(highest, a.Factor)
	}
	for _, point := range row.Points {
		highest = max(highest, point.Rate)
	}
	return highest
}

// addRates draws the points. A line joins consecutive points, except where there
// are no requests between them.
func addRates(p *plot.Plot, points []burn.Point) error {
	for _, run := range contiguousRuns(points) {
		xys := make(plotter.XYs, len(run))
		for i, point := range run {
			xys[i] = plotter.XY{X: unix(point.At), Y: point.Rate}
		}
		line, dots, err := plotter.NewLinePoints(xys)
		if err != nil {
			return Error.Wrap(err)
		}
		line.Color, line.Width = rateColor, lineWidth
		dots.Color, dots.Radius, dots.Shape = rateColor, dotRadius, draw.CircleGlyph{}
		p.Add(line, dots)
	}
	return nil
}

// contiguousRuns splits points wherever two consecutive ones are further apart
// than a bucket, since the buckets between them are empty.
func contiguousRuns(points []burn.Point) [][]burn.Point {
	var cut [][]burn.Point
	start := 0
	for i := range points {
		last := i == len(points)-1
		if last || points[i+1].At.Sub(points[i].At) > burn.CoarseWidth {
			cut = append(cut, points[start:i+1])
			start = i + 1
		}
	}
	return cut
}

// addThreshold draws a horizontal dashed line with an entry in the legend.
func addThreshold(p *plot.Plot, name string, level float64, c color.Color) error {
	line, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: level}, {X: p.X.Max, Y: level}})
	if err != nil {
		return Error.Wrap(err)
	}
	line.Color = c
	line.Dashes = []vg.Length{4, 3}
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// hourTicks returns a tick for each hour of the time axis, with a label at every
// labelIntervalHours. Times are in UTC.
func hourTicks(from, to float64) []plot.Tick {
	var ticks []plot.Tick
	at := time.Unix(int64(from), 0).UTC().Truncate(time.Hour).Add(time.Hour)
	for ; unix(at) <= to; at = at.Add(time.Hour) {
		tick := plot.Tick{Value: unix(at)}
		fits := unix(at.Add(labelMargin)) <= to
		if fits && at.Hour()%labelIntervalHours == 0 {
			tick.Label = at.Format("15:04")
		}
		ticks = append(ticks, tick)
	}
	return ticks
}

// unix returns a time in seconds since the Unix epoch.
func unix(t time.Time) float64 {
	return float64(t.Unix())
}
