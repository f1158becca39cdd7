package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the need.
const (
	// aimShare is the fraction of the time left until a step is due in which the plan completes
	// it. The rest is a reserve for disturbances and for the scoring of its texts.
	aimShare = 0.5
	// minSpan is the shortest time for which slots are planned.
	minSpan = 500 * time.Millisecond
	// headroom is the ratio of the wanted endpoints to those that the demand needs: a third
	// of them may be lost without harm.
	headroom = 1.5
	// minPerStream is the smallest number of endpoints of a stream that is asked for: one may
	// load weights or fail.
	minPerStream = 2
	// maxLoadingShare bounds the fraction of time that endpoints are assumed to spend loading
	// weights.
	maxLoadingShare = 0.5
	// targetUtilization is the fraction of the slots that the requests of a plain service
	// should occupy.
	targetUtilization = 0.6
)

// need is a number of endpoints.
type need struct {
	// urgent endpoints are those that the demand cannot do without; wanted includes the
	// headroom.
	urgent, wanted int
	reason         Reason
}

// needOf returns the endpoints that the streams need, each of which has the given number of
// slots and loads weights for the given share of its time.
func needOf(streams []Stream, slots int, loading float64, now time.Time) need {
	perEndpoint := float64(max(slots, 1)) * (1 - min(loading, maxLoadingShare))
	n := need{reason: ReasonNone}
	most := 0.0
	for _, s := range streams {
		if !s.active() {
			continue
		}
		busy, reason := slotsOf(s, now)
		n.urgent += max(int(math.Ceil(busy/perEndpoint)), minPerStream)
		if busy >= most {
			most, n.reason = busy, reason
		}
	}
	n.wanted = int(math.Ceil(headroom * float64(n.urgent)))
	return n
}

// slotsOf returns the slots that a stream occupies if all of it is done in time.
func slotsOf(s Stream, now time.Time) (float64, Reason) {
	slots, reason := s.Arriving, ReasonArriving
	if due := slotsDue(s.Steps, now); due > slots {
		slots, reason = due, ReasonDue
	}
	if open := float64(s.Open) / targetUtilization; open > slots {
		slots, reason = open, ReasonOpen
	}
	return slots, reason
}

// slotsDue returns the slots with which each step is complete within the fraction aimShare of
// the time left, if the step that is due first goes first.
func slotsDue(steps []Step, now time.Time) float64 {
	steps = slices.Clone(steps)
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Work, b.Work)) })
	work, items, most := time.Duration(0), 0, 0.0
	for _, s := range steps {
		work += s.Work
		items += s.Items
		span := max(time.Duration(aimShare*float64(s.Due.Sub(now))), minSpan)
		most = max(most, min(work.Seconds()/span.Seconds(), float64(items)))
	}
	return most
}
