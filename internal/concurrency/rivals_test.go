package concurrency

import (
	"math"
	"time"
)

// limiter is one way to find how much concurrency an endpoint takes well.
type limiter interface {
	observe(seconds, inFlight float64, slots int, now time.Time)
	limit(slots int, now time.Time) float64
}

// fitted is the product's way.
type fitted struct{ Estimate }

func (f *fitted) observe(seconds, inFlight float64, slots int, now time.Time) {
	f.Observe(seconds, inFlight, slots, now)
}

func (f *fitted) limit(slots int, now time.Time) float64 { return f.State(slots, now).Limit }

// gradient compares the latest time with its average over long: the limit shrinks by the
// ratio, and grows by the square root of itself.
type gradient struct{ long, current float64 }

func (g *gradient) observe(seconds, inFlight float64, slots int, _ time.Time) {
	const weight, gradientTolerance, smoothing = 0.0033, 1.5, 0.2
	if g.current == 0 {
		g.long, g.current = seconds, float64(slots)
	}
	g.long += weight * (seconds - g.long)
	if g.long > 2*seconds {
		g.long *= 0.95
	}
	if inFlight < g.current/2 {
		return
	}
	ratio := min(max(gradientTolerance*g.long/seconds, 0.5), 1)
	next := g.current*ratio + math.Sqrt(g.current)
	g.current = min(max(g.current+smoothing*(next-g.current), 1), float64(slots))
}

func (g *gradient) limit(slots int, _ time.Time) float64 {
	if g.current == 0 {
		return float64(slots)
	}
	return g.current
}

// additive grows by one per round of requests and shrinks by a tenth when one takes twice
// the usual time.
type additive struct{ usual, current float64 }

func (a *additive) observe(seconds, inFlight float64, slots int, _ time.Time) {
	const slow, shrink = 2, 0.9
	if a.current == 0 {
		a.usual, a.current = seconds, float64(slots)
	}
	if seconds < a.usual {
		a.usual *= 0.995
	} else {
		a.usual *= 1.001
	}
	switch {
	case seconds > slow*a.usual:
		a.current = max(a.current*shrink, 1)
	case 2*inFlight > a.current:
		a.current = min(a.current+1/a.current, float64(slots))
	}
}

func (a *additive) limit(slots int, _ time.Time) float64 {
	if a.current == 0 {
		return float64(slots)
	}
	return a.current
}

// regression fits a line to the times of the last requests: the limit is where they take
// tolerance times what one alone takes.
type regression struct{ n, sumN, sumT, sumNN, sumNT float64 }

func (r *regression) observe(seconds, inFlight float64, _ int, _ time.Time) {
	const memory = 1 - 1.0/256
	r.n, r.sumN, r.sumT = memory*r.n+1, memory*r.sumN+inFlight, memory*r.sumT+seconds
	r.sumNN, r.sumNT = memory*r.sumNN+inFlight*inFlight, memory*r.sumNT+inFlight*seconds
}

func (r *regression) limit(slots int, _ time.Time) float64 {
	slope := (r.n*r.sumNT - r.sumN*r.sumT) / max(r.n*r.sumNN-r.sumN*r.sumN, 1e-9)
	base := (r.sumT - slope*r.sumN) / max(r.n, 1)
	if r.n < minFitSamples || slope <= 0 || base <= 0 {
		return float64(slots)
	}
	return min(max(1+(tolerance-1)*base/slope, 1), float64(slots))
}
