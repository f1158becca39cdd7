package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// hashOf returns the 64-bit xxHash of a name.
func hashOf(name string) uint64 {
	return xxhash.Sum64String(name)
}

// weight returns the rendezvous-hashing weight of a pair of hashed names.
func weight(a, b uint64) uint64 {
	const (
		mix1 = 0xff51afd7ed558ccd
		mix2 = 0xc4ceb9fe1a85ec53
	)
	x := a ^ (b*mix2 + mix1)
	x = (x ^ x>>33) * mix1
	x = (x ^ x>>33) * mix2
	return x ^ x>>33
}

// chooseFollowed selects the endpoints that this entry follows. Up to FollowAll
// endpoints, it follows all of them. Beyond that, it follows those for which it is
// among the first entries by rendezvous hashing within the endpoint's failure
// domain (or among all entries, if the domain has too few), and a minimum number of
// endpoints of each model. Every endpoint then has followers, and all entries
// compute the same assignment from the same lists.
func (m *Manager) chooseFollowed() {
	m.dirty.follow = false
	followAll := len(m.endpoints) <= m.options.FollowAll
	groups := newEntryGroups(m.hashedEntries())
	for _, t := range m.endpoints {
		t.followed = followAll || groups.isFollower(m.options.ID, t.instance, m.options.Followers)
	}
	if !followAll {
		m.followMinimumPerModel()
	}
	m.publishTargets()
}

// publishTargets collects the followed endpoints and passes them to the load poller.
func (m *Manager) publishTargets() {
	m.following = nil
	var targets []target
	for id, t := range m.endpoints {
		if t.followed {
			m.following = append(m.following, t)
			targets = append(targets, target{id: id, address: t.instance.Address})
		}
	}
	slices.SortFunc(m.following, func(a, b *tracked) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	slices.SortFunc(targets, func(a, b target) int { return cmp.Compare(hashOf(a.id), hashOf(b.id)) })
	m.followed.Store(&targets)
	m.metrics.followed.Set(float64(len(targets)))
	m.dirty.endpoints = true
}

// hashedEntry is an entry with the hash of its ID, for rendezvous hashing.
type hashedEntry struct {
	id, domain string
	hash       uint64
}

func (m *Manager) hashedEntries() []hashedEntry {
	entries := []hashedEntry{{id: m.options.ID, domain: m.options.FailureDomain, hash: hashOf(m.options.ID)}}
	for _, peer := range m.state.Live(m.options.Now()) {
		entries = append(entries, hashedEntry{id: peer.ID, domain: peer.FailureDomain, hash: hashOf(peer.ID)})
	}
	return entries
}

// entryGroups holds the live entries, all of them and by failure domain.
type entryGroups struct {
	all      []hashedEntry
	byDomain map[string][]hashedEntry
}

func newEntryGroups(all []hashedEntry) entryGroups {
	groups := entryGroups{all: all, byDomain: map[string][]hashedEntry{}}
	for _, entry := range all {
		groups.byDomain[entry.domain] = append(groups.byDomain[entry.domain], entry)
	}
	return groups
}

// isFollower reports whether an entry ranks among the first count entries by weight
// for an endpoint.
func (g entryGroups) isFollower(id string, instance keyvalue.Instance, count int) bool {
	candidates := g.byDomain[instance.FailureDomain]
	if len(candidates) < count {
		candidates = g.all
	}
	endpoint := hashOf(instance.ID)
	self := weight(hashOf(id), endpoint)
	ahead, present := 0, false
	for _, entry := range candidates {
		if entry.id == id {
			present = true
		} else if weight(entry.hash, endpoint) > self {
			ahead++
		}
	}
	return present && ahead < count
}

// followMinimumPerModel follows additional endpoints of each model with fewer than
// minFollowedPerModel followed endpoints, nearest first.
func (m *Manager) followMinimumPerModel() {
	counts := map[string]int{}
	others := map[string][]*tracked{}
	for _, t := range m.endpoints {
		if t.followed {
			counts[t.instance.Serves]++
		} else {
			others[t.instance.Serves] = append(others[t.instance.Serves], t)
		}
	}
	for serves, candidates := range others {
		missing := minFollowedPerModel - counts[serves]
		if missing <= 0 {
			continue
		}
		slices.SortFunc(candidates, m.compareDistance)
		for _, t := range candidates[:min(missing, len(candidates))] {
			t.followed = true
		}
	}
}

// compareDistance orders endpoints by distance, and equally distant ones by
// rendezvous weight.
func (m *Manager) compareDistance(a, b *tracked) int {
	self := hashOf(m.options.ID)
	return cmp.Or(
		cmp.Compare(m.distance(a), m.distance(b)),
		cmp.Compare(weight(self, hashOf(b.instance.ID)), weight(self, hashOf(a.instance.ID))),
	)
}

// distance returns 0 for an endpoint in this entry's failure domain, 1 for one in
// its region and 2 for any other.
func (m *Manager) distance(t *tracked) int {
	switch {
	case t.instance.FailureDomain == m.options.FailureDomain:
		return 0
	case t.instance.Region == m.options.Region:
		return 1
	default:
		return 2
	}
}
