package measure

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"
)

// Value is one measured figure of one arm at one seed.
type Value struct {
	Name, Unit string
	Value      float64
}

// Figure contains the values of both arms for one figure at one seed.
type Figure struct {
	Name, Unit  string
	Naive, Ours float64
	Seed        uint64
}

// Ratio returns the value of Ours divided by that of Naive.
func (f Figure) Ratio() float64 { return f.Ours / f.Naive }

// Print writes one line for each figure.
func Print(w io.Writer, figures []Figure) {
	for _, f := range figures {
		fmt.Fprintf(w, "measure %s unit=%s naive=%.4g ours=%.4g ratio=%.3g seed=%d\n", f.Name, f.Unit, f.Naive, f.Ours, f.Ratio(), f.Seed)
	}
}

// Spread contains the values of one figure at all seeds.
type Spread struct {
	Name, Unit  string
	Naive, Ours []float64
}

// Spreads groups figures by name, in the order of their first occurrence.
func Spreads(figures []Figure) []Spread {
	var spreads []Spread
	for _, f := range figures {
		i := slices.IndexFunc(spreads, func(s Spread) bool { return s.Name == f.Name })
		if i < 0 {
			spreads = append(spreads, Spread{Name: f.Name, Unit: f.Unit})
			i = len(spreads) - 1
		}
		spreads[i].Naive = append(spreads[i].Naive, f.Naive)
		spreads[i].Ours = append(spreads[i].Ours, f.Ours)
	}
	return spreads
}

// PrintSpreads writes the minimum, median and maximum of each figure, and its verdict.
func PrintSpreads(w io.Writer, spreads []Spread) {
	for _, s := range spreads {
		fmt.Fprintf(w, "spread %s unit=%s naive=%s ours=%s verdict=%s\n", s.Name, s.Unit, span(s.Naive), span(s.Ours), s.Verdict())
	}
}

// Verdict returns whether the ranges of the two arms are disjoint, and which is lower.
func (s Spread) Verdict() string {
	switch {
	case slices.Max(s.Ours) < slices.Min(s.Naive):
		return "ours-lower"
	case slices.Min(s.Ours) > slices.Max(s.Naive):
		return "ours-higher"
	}
	return "no-difference"
}

// span formats the minimum, median and maximum of values.
func span(values []float64) string {
	return fmt.Sprintf("%.4g..%.4g..%.4g", slices.Min(values), Median(values), slices.Max(values))
}

// Median returns the median; for an even number of values, the lower of the middle two.
func Median(values []float64) float64 {
	return quantile(values, 0.5)
}

// quantile returns the value at quantile q, from 0 to 1, or NaN if there are no values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}

// millis returns the response times of the replies without error, in milliseconds.
func millis(replies []Reply) []float64 {
	var times []float64
	for _, r := range replies {
		if r.Err == nil {
			times = append(times, float64(r.Elapsed)/float64(time.Millisecond))
		}
	}
	return times
}
