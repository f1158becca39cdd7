package share

import "slices"

// urgencyStep is how much more of what is divided in proportion to demand a priority gets
// than the next less urgent one.
const urgencyStep = 1.25

// Urgency returns the weight of a priority among the priorities that are in use: 1 for the
// least urgent.
func Urgency(priority int, used []int) float64 {
	less := make([]int, 0, len(used))
	for _, other := range used {
		if other > priority {
			less = append(less, other)
		}
	}
	slices.Sort(less)
	weight := 1.0
	for range slices.Compact(less) {
		weight *= urgencyStep
	}
	return weight
}
