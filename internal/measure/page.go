package measure

import (
	"bytes"
	"html/template"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of a plot and its dots, in points; axisMargin is a factor.
const (
	plotWidth  = 340
	plotHeight = 110
	dotRadius  = 4
	axisMargin = 1.05
)

// Colours of the two arms.
var (
	naiveColour = color.RGBA{R: 0xb0, G: 0x3a, B: 0x2e, A: 0xff}
	oursColour  = color.RGBA{R: 0x1f, G: 0x61, B: 0x8d, A: 0xff}
)

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>comfreyfront: measurements</title>
<style>
body{font:16px/1.4 system-ui,sans-serif;margin:0 auto;padding:12px;max-width:420px;color:#222;background:#fff}
h2{font-size:17px;margin:20px 0 2px;overflow-wrap:anywhere}
p{margin:2px 0}
svg{width:100%;height:auto}
.naive{color:#b03a2e}.ours{color:#1f618d}
</style></head><body>
<h1>Measurements</h1>
<p><span class="naive">naive</span> and <span class="ours">ours</span> with the same workload; one dot per seed.</p>
{{range .}}<h2>{{.Name}}</h2>
<p>{{.Unit}}: <span class="naive">{{printf "%.4g" .NaiveMedian}}</span> / <span class="ours">{{printf "%.4g" .OursMedian}}</span> &middot; {{.Verdict}}</p>
{{.Plot}}
{{end}}</body></html>
`))

// section is the part of the page for one figure.
type section struct {
	Name, Unit, Verdict     string
	NaiveMedian, OursMedian float64
	Plot                    template.HTML
}

// WritePage writes an HTML page with one plot per figure, and creates its directory.
func WritePage(path string, spreads []Spread) error {
	var sections []section
	for _, s := range spreads {
		image, err := renderPlot(s)
		if err != nil {
			return err
		}
		sections = append(sections, section{
			Name: s.Name, Unit: s.Unit, Verdict: s.Verdict(),
			NaiveMedian: Median(s.Naive), OursMedian: Median(s.Ours),
			Plot: image,
		})
	}
	var out bytes.Buffer
	if err := page.Execute(&out, sections); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

// renderPlot returns the plot of a figure as an SVG element.
func renderPlot(s Spread) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = s.Unit
	p.X.Min, p.X.Max = 0, axisMax(s)
	p.Y.Min, p.Y.Max = -0.5, 1.5
	p.NominalY("ours", "naive")
	for row, values := range [][]float64{s.Ours, s.Naive} {
		known := slices.DeleteFunc(slices.Clone(values), math.IsNaN)
		if len(known) == 0 {
			continue
		}
		dots, err := scatter(known, float64(row))
		if err != nil {
			return "", err
		}
		p.Add(dots)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	element := out.Bytes()
	if start := bytes.Index(element, []byte("<svg")); start > 0 {
		element = element[start:]
	}
	return template.HTML(element), nil
}

// axisMax returns the end of the value axis: the maximum value plus a margin.
func axisMax(s Spread) float64 {
	greatest := 0.0
	for _, v := range slices.Concat(s.Naive, s.Ours) {
		if v > greatest {
			greatest = v
		}
	}
	if greatest == 0 {
		return 1
	}
	return axisMargin * greatest
}

// scatter returns the dots of one arm: row 0 is ours, row 1 naive.
func scatter(values []float64, row float64) (*plotter.Scatter, error) {
	points := make(plotter.XYs, len(values))
	for i, v := range values {
		points[i] = plotter.XY{X: v, Y: row}
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	dots.Shape = draw.CircleGlyph{}
	dots.Radius = vg.Points(dotRadius)
	dots.Color = naiveColour
	if row == 0 {
		dots.Color = oursColour
	}
	return dots, nil
}
