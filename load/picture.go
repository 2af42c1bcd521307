package load

import (
	"fmt"
	"image/color"
	"io"
	"os"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	pictureWidth  = 24 * vg.Centimeter
	pictureHeight = 24 * vg.Centimeter
	panels        = 2
)

// percentiles are the ones that the first panel shows.
var percentiles = []float64{1, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99}

// draw writes a picture of the response times and of the work done over time.
func (p *Report) draw(file string) error {
	responses, err := p.responsePanel()
	if err != nil {
		return err
	}
	work, err := p.workPanel()
	if err != nil {
		return err
	}
	img := vgimg.New(pictureWidth, pictureHeight)
	tiles := draw.Tiles{Rows: panels, Cols: 1, PadY: vg.Centimeter}
	grid := [][]*plot.Plot{{responses}, {work}}
	for row, canvases := range plot.Align(grid, tiles, draw.New(img)) {
		grid[row][0].Draw(canvases[0])
	}
	out, err := os.Create(file) //nolint:gosec // the caller names the file
	if err != nil {
		return eris.Wrap(err, "picture")
	}
	return writeImage(out, vgimg.PngCanvas{Canvas: img})
}

func writeImage(out io.WriteCloser, img io.WriterTo) error {
	_, err := img.WriteTo(out)
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrap(err, "picture")
}

// responsePanel plots, for each percentile, the ratio of response times to the
// ideal and to the longest run time.
func (p *Report) responsePanel() (*plot.Plot, error) {
	panel := plot.New()
	panel.Title.Text = fmt.Sprintf("Response time, %d jobs, offered load %.2f", p.Jobs, p.OfferedLoad)
	panel.X.Label.Text = "percentile"
	panel.Y.Label.Text = "ratio"
	panel.NominalX(percentileNames()...)
	panel.Legend.Top, panel.Legend.Left = true, true
	err := plotutil.AddLinePoints(panel,
		"response / ideal", overPercentiles(p.versusIdeal),
		"response / longest run time", overPercentiles(p.versusRun))
	return panel, eris.Wrap(err, "response panel")
}

func percentileNames() []string {
	names := make([]string, len(percentiles))
	for i, percentile := range percentiles {
		names[i] = fmt.Sprintf("%g", percentile)
	}
	return names
}

func overPercentiles(h *hdrhistogram.Histogram) plotter.XYs {
	points := make(plotter.XYs, len(percentiles))
	for i, percentile := range percentiles {
		points[i].X = float64(i)
		points[i].Y = float64(h.ValueAtQuantile(percentile)) / histogramUnit
	}
	return points
}

// workPanel plots the tasks finished per second in each zone, and zone events.
func (p *Report) workPanel() (*plot.Plot, error) {
	panel := plot.New()
	panel.Title.Text = "Work done"
	panel.X.Label.Text = "seconds"
	panel.Y.Label.Text = "tasks a second"
	panel.Y.Min = 0
	lines, top := p.workLines()
	if err := plotutil.AddLines(panel, lines...); err != nil {
		return nil, eris.Wrap(err, "work panel")
	}
	for _, e := range p.Events {
		if err := addEvent(panel, e, top); err != nil {
			return nil, err
		}
	}
	return panel, nil
}

// workLines returns a name and a line for each zone and for all zones together,
// in the form that plotutil takes, and the highest total.
func (p *Report) workLines() ([]any, float64) {
	total := make(plotter.XYs, len(p.Work))
	zones := map[string]plotter.XYs{}
	var top float64
	for i, w := range p.Work {
		total[i] = plotter.XY{X: w.AtSeconds, Y: w.TasksPerSecond.sum()}
		top = max(top, total[i].Y)
		for zone, n := range w.TasksPerSecond {
			zones[zone] = append(zones[zone], plotter.XY{X: w.AtSeconds, Y: n})
		}
	}
	if len(total) == 0 {
		return nil, 0
	}
	lines := []any{"all zones", total}
	names := make([]string, 0, len(zones))
	for zone := range zones {
		names = append(names, zone)
	}
	slices.Sort(names)
	for _, zone := range names {
		lines = append(lines, zone, zones[zone])
	}
	return lines, top
}

// addEvent marks a zone event with a vertical line: red for out, green for back.
func addEvent(panel *plot.Plot, e EventReport, top float64) error {
	line, err := plotter.NewLine(plotter.XYs{{X: e.SentSeconds, Y: 0}, {X: e.SentSeconds, Y: top}})
	if err != nil {
		return eris.Wrap(err, "zone event")
	}
	line.Color = color.RGBA{G: 128, A: 255}
	name := e.Zone + " back"
	if e.Out {
		line.Color = color.RGBA{R: 192, A: 255}
		name = e.Zone + " out"
	}
	line.Dashes = plotutil.Dashes(1)
	panel.Add(line)
	panel.Legend.Add(name, line)
	return nil
}
