package soak

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"
	"net/http"
	"os"
	"sort"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// plotBin is the time span of one point of a plot.
const plotBin = 500 * time.Millisecond

// reportPage is the report of a run: its counts, plots with the faults, and the plan.
var reportPage = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Soak, seed {{.Seed}}</title>
<style>body{font-family:sans-serif;max-width:1100px;margin:2em auto}img{width:100%}td,th{text-align:left;padding:0 1em 0 0}.broken{color:#a00}</style></head>
<body><h1>Soak, seed {{.Seed}}</h1><p>{{.Summary}}</p><p>{{.Upgrade}}</p>
{{if .Violations}}<h2 class="broken">Broken</h2><ul class="broken">{{range .Violations}}<li>{{.}}</li>{{end}}</ul>{{else}}<p>No rule broken.</p>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2><img alt="{{.Title}}" src="data:image/png;base64,{{.PNG}}">{{end}}
<h2>Plan</h2><table><tr><th>at</th><th>for</th><th>kind</th><th>target</th></tr>
{{range .Plan}}<tr><td>{{.At}}</td><td>{{.For}}</td><td>{{.Kind}}</td><td>{{if .Process}}{{.Process}}{{else}}{{.Target}}{{end}}</td></tr>{{end}}</table>
</body></html>
`))

type plotImage struct {
	Title string
	PNG   string
}

// WriteReport writes the report of a run to a file.
func WriteReport(path string, h *History, violations []Violation) error {
	var images []plotImage
	for _, p := range []struct {
		title, unit string
		lines       []line
	}{
		{"Answers a second", "a second", answerLines(h)},
		{"Time to the whole answer of calls", "ms", latencyLines(h, Checkout, Rates)},
		{"Time to the whole stream", "ms", latencyLines(h, Review, Desk)},
	} {
		png, err := drawLines(p.title, p.unit, p.lines, h)
		if err != nil {
			return err
		}
		images = append(images, plotImage{p.title, base64.StdEncoding.EncodeToString(png)})
	}
	var page bytes.Buffer
	err := reportPage.Execute(&page, struct {
		Seed       uint64
		Summary    Summary
		Upgrade    UpgradeSummary
		Violations []Violation
		Plots      []plotImage
		Plan       []Step
	}{h.Seed, Summarize(h), SummarizeUpgrade(h), violations, images, h.Plan})
	if err != nil {
		return err
	}
	return os.WriteFile(path, page.Bytes(), 0o600)
}

// line is a line of a plot.
type line struct {
	name   string
	color  color.Color
	points plotter.XYs
}

var (
	green  = color.RGBA{G: 130, A: 255}
	orange = color.RGBA{R: 220, G: 130, A: 255}
	red    = color.RGBA{R: 190, A: 255}
	blue   = color.RGBA{B: 190, A: 255}
	shade  = color.NRGBA{R: 60, G: 60, B: 60, A: 28}
)

// answerLines counts served, refused and failed requests by their end time.
func answerLines(h *History) []line {
	lines := []line{{name: "served", color: green}, {name: "refused", color: orange}, {name: "failed", color: red}}
	counts := make([]map[int]int, len(lines))
	for i := range counts {
		counts[i] = map[int]int{}
	}
	for _, q := range h.Requests {
		if q.LeftAt > 0 {
			continue
		}
		i := 2
		switch {
		case q.Status == http.StatusOK && !q.Cut:
			i = 0
		case q.Status == http.StatusServiceUnavailable:
			i = 1
		}
		counts[i][int(q.Ended/plotBin)]++
	}
	for i := range lines {
		for n := range int(h.Length/plotBin) + 1 {
			lines[i].points = append(lines[i].points, plotter.XY{X: (time.Duration(n) * plotBin).Seconds(), Y: float64(counts[i][n]) / plotBin.Seconds()})
		}
	}
	return lines
}

// latencyLines returns the median and the 95th percentile of the latency of served requests.
func latencyLines(h *History, kinds ...RequestKind) []line {
	latencies := map[int][]float64{}
	for _, q := range h.Requests {
		for _, k := range kinds {
			if q.Kind == k && q.Status == http.StatusOK && !q.Cut && q.LeftAt == 0 {
				n := int(q.Ended / plotBin)
				latencies[n] = append(latencies[n], float64((q.Ended - q.Sent).Milliseconds()))
			}
		}
	}
	median, high := line{name: "median", color: blue}, line{name: "95th percentile", color: red}
	for n := range int(h.Length/plotBin) + 1 {
		list := latencies[n]
		if len(list) == 0 {
			continue
		}
		sort.Float64s(list)
		x := (time.Duration(n) * plotBin).Seconds()
		median.points = append(median.points, plotter.XY{X: x, Y: list[len(list)/2]})
		high.points = append(high.points, plotter.XY{X: x, Y: list[len(list)*95/100]})
	}
	return []line{median, high}
}

// drawLines draws lines with the faults of a run as shaded spans.
func drawLines(title, unit string, lines []line, h *History) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", unit
	p.X.Min, p.X.Max, p.Y.Min = 0, h.Length.Seconds(), 0
	for _, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.points)
		if err != nil {
			return nil, fmt.Errorf("soak: %s: %w", title, err)
		}
		drawn.Color, drawn.Width = l.color, vg.Points(1.5)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	p.Legend.Top = true
	for _, o := range h.Outages {
		if o.Kind.Planned() {
			continue
		}
		to := min(o.To, h.Length).Seconds()
		span, err := plotter.NewPolygon(plotter.XYs{
			{X: o.From.Seconds(), Y: p.Y.Min}, {X: to, Y: p.Y.Min}, {X: to, Y: p.Y.Max}, {X: o.From.Seconds(), Y: p.Y.Max},
		})
		if err != nil {
			return nil, fmt.Errorf("soak: %s: %w", title, err)
		}
		span.Color, span.LineStyle = shade, draw.LineStyle{}
		p.Add(span)
	}
	canvas := vgimg.New(11*vg.Inch, 3.2*vg.Inch)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(&out)
	return out.Bytes(), err
}
