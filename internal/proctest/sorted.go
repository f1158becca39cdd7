package proctest

import (
	"maps"
	"slices"
)

// sortedValues returns the values of a map in the order of their keys.
func sortedValues[T any](m map[string]T) []T {
	values := make([]T, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[key])
	}
	return values
}
