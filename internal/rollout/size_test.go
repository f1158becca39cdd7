package rollout

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fullSize adds a test at the full design size, which takes some seconds.
var fullSize = flag.Bool("full", false, "also test with 12,000 replicas")

// activationTarget is the maximum time between the first and the last activation.
const activationTarget = 10 * time.Second

// TestAllReplicasChangeWithinTheTarget rolls out a version in 18 failure domains with
// one owner and a fake clock. Staging takes 10 s and a swap 2 s per replica.
func TestAllReplicasChangeWithinTheTarget(t *testing.T) {
	sizes := []int{1}
	// With this many goroutines the race detector of Go 1.26.8 occasionally fails with
	// an internal check in tsan_rtl.cpp. "make race" therefore runs with -short,
	// "make test" without.
	if !testing.Short() {
		sizes = append(sizes, 9, 60)
	}
	if *fullSize {
		sizes = append(sizes, 667)
	}
	for _, perDomain := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(18, perDomain, 10*time.Second)
			for _, e := range f.engines {
				e.swapWork = 2 * time.Second
			}
			start := time.Now()
			defer runExecutors([]*entry{newEntry(f, "a")})()
			f.accept()
			for !f.settled() {
				passTime(5 * time.Second)
			}
			first, last := f.activations()
			t.Logf("%d replicas: first active after %v, all within %v", 18*perDomain, first.Sub(start), last.Sub(first))
			require.LessOrEqual(t, last.Sub(first), activationTarget)
		})
	}
}

// activations returns the earliest and the latest of the engines' last activations.
func (f *fleet) activations() (first, last time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if first.IsZero() || e.changed.Before(first) {
			first = e.changed
		}
		if e.changed.After(last) {
			last = e.changed
		}
	}
	return first, last
}
