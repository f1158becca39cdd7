package suspect

import (
	"slices"
	"time"
)

// endpointsLimit bounds the endpoints that are stored for one request.
const endpointsLimit = 8

// record stores the deaths of endpoints that ran one request. Its sets only grow and
// its times only increase, so that records of several entries merge in any order.
type record struct {
	// deaths and cleared are sorted sets of at most endpointsLimit endpoints, the
	// first ones in sort order. An endpoint in both no longer counts.
	deaths    []string
	cleared   []string
	convicted bool
	lastDeath time.Time
	// change is the registry's change counter at the last change of this record.
	change uint64
}

// openDeaths returns the endpoints whose death was not cleared.
func (r *record) openDeaths() []string {
	return slices.DeleteFunc(slices.Clone(r.deaths), func(endpoint string) bool { return contains(r.cleared, endpoint) })
}

func (r *record) standing() Standing {
	switch {
	case r.convicted:
		return Convicted
	case len(r.openDeaths()) > 0:
		return Suspected
	}
	return Clear
}

// contains reports whether a sorted set contains an endpoint.
func contains(set []string, endpoint string) bool {
	_, found := slices.BinarySearch(set, endpoint)
	return found
}

// add adds an endpoint to a sorted set, which keeps its first endpointsLimit
// elements, and reports whether the set changed.
func add(set *[]string, endpoint string) bool {
	index, found := slices.BinarySearch(*set, endpoint)
	if found || index >= endpointsLimit {
		return false
	}
	*set = slices.Insert(*set, index, endpoint)
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

// clear clears the request of all deaths recorded so far, and reports whether that
// changed the record.
func (r *record) clear() bool {
	return addAll(&r.cleared, r.deaths)
}

// raiseLastDeath raises the time of the last death, and reports whether it changed.
func (r *record) raiseLastDeath(at time.Time) bool {
	if !at.After(r.lastDeath) {
		return false
	}
	r.lastDeath = at
	return true
}

// expired reports whether the suspicion or conviction has ended at now.
func (r *record) expired(now time.Time, options Options) bool {
	age := now.Sub(r.lastDeath)
	if r.convicted {
		return age > options.ConvictionAge
	}
	return age > options.SuspicionAge
}
