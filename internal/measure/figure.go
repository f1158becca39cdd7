package measure

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"
)

// Value is one figure of one run.
type Value struct {
	Name, Unit string
	Value      float64
}

// Figure is one figure of both versions at one seed.
type Figure struct {
	Name, Unit  string
	Naive, Ours float64
	Seed        uint64
}

// Ratio is ours over naive.
func (f Figure) Ratio() float64 { return f.Ours / f.Naive }

// Print writes one line per figure.
func Print(w io.Writer, figures []Figure) {
	for _, f := range figures {
		fmt.Fprintf(w, "measure %s unit=%s naive=%.4g ours=%.4g ratio=%.3g seed=%d\n", f.Name, f.Unit, f.Naive, f.Ours, f.Ratio(), f.Seed)
	}
}

// Spread is one figure over several seeds.
type Spread struct {
	Name, Unit  string
	Naive, Ours []float64
}

// Spreads gathers figures by name, in the order of their first appearance.
func Spreads(figures []Figure) []Spread {
	var all []Spread
	for _, f := range figures {
		i := slices.IndexFunc(all, func(s Spread) bool { return s.Name == f.Name })
		if i < 0 {
			all = append(all, Spread{Name: f.Name, Unit: f.Unit})
			i = len(all) - 1
		}
		all[i].Naive = append(all[i].Naive, f.Naive)
		all[i].Ours = append(all[i].Ours, f.Ours)
	}
	return all
}

// PrintSpreads writes, per figure, the least, median and greatest value.
func PrintSpreads(w io.Writer, spreads []Spread) {
	for _, s := range spreads {
		fmt.Fprintf(w, "spread %s unit=%s naive=%s ours=%s verdict=%s\n", s.Name, s.Unit, span(s.Naive), span(s.Ours), s.Verdict())
	}
}

// Verdict tells whether the versions differ by more than their spread.
func (s Spread) Verdict() string {
	switch {
	case slices.Max(s.Ours) < slices.Min(s.Naive):
		return "ours-lower"
	case slices.Min(s.Ours) > slices.Max(s.Naive):
		return "ours-higher"
	}
	return "no-difference"
}

func span(values []float64) string {
	return fmt.Sprintf("%.4g..%.4g..%.4g", slices.Min(values), Median(values), slices.Max(values))
}

// Median returns the median; of an even number the lower one.
func Median(values []float64) float64 {
	return quantile(values, 0.5)
}

// quantile returns the value at quantile q (0 to 1); NaN of none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}

// millis returns the times of the answered replies, in milliseconds.
func millis(replies []Reply) []float64 {
	var all []float64
	for _, r := range replies {
		if r.Err == nil {
			all = append(all, float64(r.Took)/float64(time.Millisecond))
		}
	}
	return all
}
