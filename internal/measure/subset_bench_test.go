package measure

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// BenchmarkSubsetImbalance computes the load imbalance of endpoints when each endpoint
// is followed by a few entries, chosen by rendezvous hashing, and each entry distributes
// an equal part of the load evenly over the endpoints that it follows. It reports the
// ratio of the maximum to the mean load, and the size of the largest subset.
func BenchmarkSubsetImbalance(b *testing.B) {
	fleets := []struct {
		name               string
		entries, endpoints int
	}{{"domain", 18, 667}, {"fleet", 330, 12000}}
	for _, fleet := range fleets {
		for _, followers := range []int{1, 2, 3, 5, 9, 18} {
			b.Run(fmt.Sprintf("%s/followers=%d", fleet.name, followers), func(b *testing.B) {
				for range b.N {
					greatest, most := imbalance(fleet.entries, fleet.endpoints, followers)
					b.ReportMetric(greatest, "max/mean")
					b.ReportMetric(float64(most), "followed")
				}
			})
		}
	}
}

// imbalance returns the ratio of the maximum to the mean endpoint load, and the largest
// number of endpoints that an entry follows.
func imbalance(entries, endpoints, followers int) (greatest float64, most int) {
	followed := make([]int, entries)
	followersOfEndpoint := make([][]int, endpoints)
	for id := range followersOfEndpoint {
		followersOfEndpoint[id] = followersOf(id, entries, followers)
		for _, entry := range followersOfEndpoint[id] {
			followed[entry]++
		}
	}
	mean := float64(entries) / float64(endpoints)
	for _, chosen := range followersOfEndpoint {
		load := 0.0
		for _, entry := range chosen {
			load += 1 / float64(followed[entry])
		}
		greatest = max(greatest, load/mean)
	}
	return greatest, slices.Max(followed)
}

// followersOf returns the entries that follow an endpoint: those with the highest
// rendezvous hash of entry and endpoint.
func followersOf(endpoint, entries, followers int) []int {
	order := make([]int, entries)
	weights := make([]uint64, entries)
	for entry := range order {
		order[entry] = entry
		weights[entry] = xxhash.Sum64String(fmt.Sprintf("entry-%05d/engine-%05d", entry, endpoint))
	}
	slices.SortFunc(order, func(a, b int) int {
		if weights[a] > weights[b] {
			return -1
		}
		return 1
	})
	return order[:followers]
}
