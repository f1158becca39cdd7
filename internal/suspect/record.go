package suspect

import (
	"slices"
	"time"
)

// endpointsLimit bounds the endpoints that are kept of one request.
const endpointsLimit = 8

// record is what is held of one request. Its sets only grow and its times only
// rise, so that records of several entries merge in any order.
type record struct {
	// deaths and cleared are sorted sets of the first few endpoints. One in both
	// counts no more.
	deaths    []string
	cleared   []string
	convicted bool
	lastDeath time.Time
	// change is the registry's count of changes at the last change of it.
	change uint64
}

func (r *record) open() []string {
	return slices.DeleteFunc(slices.Clone(r.deaths), func(endpoint string) bool { return contains(r.cleared, endpoint) })
}

func (r *record) standing() Standing {
	switch {
	case r.convicted:
		return Convicted
	case len(r.open()) > 0:
		return Suspected
	}
	return Clear
}

// contains searches a sorted set.
func contains(set []string, endpoint string) bool {
	_, found := slices.BinarySearch(set, endpoint)
	return found
}

// add puts an endpoint into a sorted set, of which only the first few are kept,
// and reports whether that changed it.
func add(set *[]string, endpoint string) bool {
	at, found := slices.BinarySearch(*set, endpoint)
	if found || at >= endpointsLimit {
		return false
	}
	*set = slices.Insert(*set, at, endpoint)
	*set = (*set)[:min(len(*set), endpointsLimit)]
	return true
}

func addAll(set *[]string, endpoints []string) bool {
	changed := false
	for _, endpoint := range endpoints {
		changed = add(set, endpoint) || changed
	}
	return changed
}

// clear frees the request of the deaths known so far.
func (r *record) clear() bool {
	return addAll(&r.cleared, r.deaths)
}

// seen raises the time of the last death.
func (r *record) seen(at time.Time) bool {
	if !at.After(r.lastDeath) {
		return false
	}
	r.lastDeath = at
	return true
}

// expired reports whether nothing is held any more at now.
func (r *record) expired(now time.Time, options Options) bool {
	age := now.Sub(r.lastDeath)
	if r.convicted {
		return age > options.ConvictionAge
	}
	return age > options.SuspicionAge
}
