package proctest

import (
	"maps"
	"slices"
)

// sortedValues returns the values in order of their keys.
func sortedValues[T any](all map[string]T) []T {
	values := make([]T, 0, len(all))
	for _, key := range slices.Sorted(maps.Keys(all)) {
		values = append(values, all[key])
	}
	return values
}
