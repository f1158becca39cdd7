// Package share schedules the work of client accounts while capacity is short: by priority
// (the lower number first), with equal shares for the accounts of a priority and a minimum
// share (FloorShare) for each account and each priority. It does no I/O.
package share

import "math"

// FloorShare is how often an account or a priority is served at least on one node, as a
// fraction of how often all are served. Whoever is below it goes before the more urgent. Over
// all nodes together the fraction is lower, since each node sees only a part.
const FloorShare = 1.0 / 3

// tally is the work that was wanted and the work that got room, both in the same unit.
type tally struct {
	wanted, got float64
}

// belowFloor reports whether the part of all work stays below FloorShare even if it gets one
// more piece of work of the given cost.
func (t tally) belowFloor(all tally, cost float64) bool {
	return (t.got+cost)*all.wanted <= FloorShare*all.got*t.wanted
}

// servedRatio is the fraction of the wanted work that is served if one more piece of work of
// the given cost is. It is infinite if nothing was wanted.
func (t tally) servedRatio(cost float64) float64 {
	if t.wanted <= 0 {
		return math.Inf(1)
	}
	return (t.got + cost) / t.wanted
}

// scale reduces the weight of what was counted so far.
func (t *tally) scale(factor float64) {
	t.wanted *= factor
	t.got *= factor
}
