package concurrency

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// bins is the number of groups of similar concurrency in a fit. Knees are sought at
// multiples of slots/bins.
const bins = 12

// minGain is the improvement that a knee must bring to a fit, as a mean of the deviations'
// logarithms over all observations: noise alone brings less.
const minGain = 0.04

// confirmations is the number of fits in a row that must show a knee before it is believed:
// a disturbance that meets much load looks like one.
const confirmations = 4

// bin is the median of observations of similar concurrency.
type bin struct{ inFlight, time, weight float64 }

// refit fits the base time and the knee to the window. The caller holds e.mu.
func (e *Estimate) refit(slots int, now time.Time) {
	var times [bins][windowSize]float64
	var counts [bins]int
	var sums [bins]float64
	total, highest := 0, 0.0
	for _, s := range e.window[:min(e.sampled, windowSize)] {
		if now.UnixNano()-s.at > int64(maxSampleAge) {
			continue
		}
		n := float64(s.inFlight)
		b := min(int(n*bins/float64(slots+1)), bins-1)
		times[b][counts[b]] = float64(s.time)
		sums[b] += n
		counts[b]++
		total++
		highest = max(highest, n)
	}
	if total < minFitSamples {
		return
	}
	var groups [bins]bin
	used := groups[:0]
	for b, count := range counts {
		if count > 0 {
			used = append(used, bin{inFlight: sums[b] / float64(count), time: median(times[b][:count]), weight: float64(count) / float64(total)})
		}
	}
	e.updateKnee(used, slots, highest)
	before := e.base
	e.base, _ = baseOf(used, e.knee, slots)
	e.recent += before - e.base
}

// updateKnee moves the knee half of the way, in proportion, to the one that fits best. A
// window without load near the knee says nothing about it; the knee then rises slowly, so
// that an endpoint that takes more again is found. The caller holds e.mu.
func (e *Estimate) updateKnee(groups []bin, slots int, highest float64) {
	best, bestCost := 0.0, math.Inf(1)
	for i := 1; i <= bins; i++ {
		knee := max(float64(slots*i)/bins, 1)
		if knee >= highest {
			break
		}
		if _, cost := baseOf(groups, knee, slots); cost < bestCost {
			best, bestCost = knee, cost
		}
	}
	_, flat := baseOf(groups, 0, slots)
	if best > 0 && flat-bestCost >= minGain {
		e.kneeFits++
	} else {
		e.kneeFits = 0
	}
	switch {
	case e.kneeFits > 0 && e.knee > 0:
		e.knee = math.Sqrt(e.knee * best)
	case e.kneeFits >= confirmations:
		e.knee = best
	case e.knee > 0:
		e.relax(groups, slots, highest, flat)
	}
}

// relax raises the knee, at once if the present load contradicts it. The caller holds e.mu.
func (e *Estimate) relax(groups []bin, slots int, highest, flat float64) {
	if _, cost := baseOf(groups, e.knee, slots); highest > noticeableFactor*e.knee && cost-flat >= minGain {
		e.knee = highest
	}
	e.knee *= relaxation
	if e.knee > float64(slots) {
		e.knee = 0
	}
}

// baseOf returns the base time that fits the groups best under a knee, and the mean
// deviation.
func baseOf(groups []bin, knee float64, slots int) (base, cost float64) {
	var rest [bins]bin
	for i, g := range groups {
		rest[i] = bin{time: g.time - math.Log(timeFactor(g.inFlight, knee, slots)), weight: g.weight}
	}
	base = weightedMedian(rest[:len(groups)])
	for _, g := range rest[:len(groups)] {
		cost += g.weight * math.Abs(g.time-base)
	}
	return base, cost
}

// weightedMedian sorts the groups by time and returns their median. The weights add up to 1.
func weightedMedian(groups []bin) (median float64) {
	slices.SortFunc(groups, func(a, b bin) int { return cmp.Compare(a.time, b.time) })
	weight := 0.0
	for _, g := range groups {
		weight += g.weight
		median = g.time
		if weight >= 0.5 {
			break
		}
	}
	return median
}

// median sorts the values and returns the middle one.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// medianTime returns the median of the samples' times.
func medianTime(samples []sample) float64 {
	var times [windowSize]float64
	for i, s := range samples {
		times[i] = float64(s.time)
	}
	return median(times[:len(samples)])
}
