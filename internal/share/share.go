// Package share decides who goes first while there is not enough room for all: the more
// urgent first, then equal shares for the client accounts, and a floor below which nobody
// falls. It measures nothing itself and does no I/O.
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

// behind reports whether the part of all work stays below FloorShare even if it gets one
// more piece of work of the given cost.
func (t tally) behind(all tally, cost float64) bool {
	return (t.got+cost)*all.wanted <= FloorShare*all.got*t.wanted
}

// need orders the parts of all work: the lowest is the one that is furthest behind.
func (t tally) need(cost float64) float64 {
	if t.wanted <= 0 {
		return math.Inf(1)
	}
	return (t.got + cost) / t.wanted
}

func (t *tally) scale(factor float64) {
	t.wanted *= factor
	t.got *= factor
}
