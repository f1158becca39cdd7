package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// hashOf is the hash of a name.
func hashOf(name string) uint64 {
	return xxhash.Sum64String(name)
}

// weight is the rendezvous weight of a pair of names.
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

// chooseFollowed picks the endpoints that this entry follows: all when they
// are few; else those for which it is among the first entries by rendezvous
// hashing within the endpoint's failure domain (or of all, where the domain has
// too few), and some of each model. Every endpoint then has followers, and all
// entries work the same out from the same lists.
func (m *Manager) chooseFollowed() {
	m.dirty.follow = false
	everything := len(m.endpoints) <= m.options.FollowAll
	groups := newEntryGroups(m.entryNames())
	for _, t := range m.endpoints {
		t.followed = everything || groups.among(m.options.ID, t.instance, m.options.Followers)
	}
	if !everything {
		m.fillModels()
	}
	m.publishTargets()
}

// publishTargets lists the followed endpoints and hands them to the poller.
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

// entryName is an entry for rendezvous hashing.
type entryName struct {
	id, domain string
	hash       uint64
}

func (m *Manager) entryNames() []entryName {
	names := []entryName{{id: m.options.ID, domain: m.options.FailureDomain, hash: hashOf(m.options.ID)}}
	for _, peer := range m.state.Live(m.options.Now()) {
		names = append(names, entryName{id: peer.ID, domain: peer.FailureDomain, hash: hashOf(peer.ID)})
	}
	return names
}

// entryGroups are the live entries by failure domain.
type entryGroups struct {
	all      []entryName
	byDomain map[string][]entryName
}

func newEntryGroups(all []entryName) entryGroups {
	groups := entryGroups{all: all, byDomain: map[string][]entryName{}}
	for _, name := range all {
		groups.byDomain[name.domain] = append(groups.byDomain[name.domain], name)
	}
	return groups
}

// among reports whether an entry is one of the first by weight for an endpoint.
func (g entryGroups) among(id string, instance keyvalue.Instance, first int) bool {
	candidates := g.byDomain[instance.FailureDomain]
	if len(candidates) < first {
		candidates = g.all
	}
	endpoint := hashOf(instance.ID)
	self := weight(hashOf(id), endpoint)
	ahead, present := 0, false
	for _, name := range candidates {
		if name.id == id {
			present = true
		} else if weight(name.hash, endpoint) > self {
			ahead++
		}
	}
	return present && ahead < first
}

// fillModels follows more endpoints of models of which too few are followed,
// the entry's own failure domain first.
func (m *Manager) fillModels() {
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
		missing := minFollowedOfModel - counts[serves]
		if missing <= 0 {
			continue
		}
		slices.SortFunc(candidates, m.byNearness)
		for _, t := range candidates[:min(missing, len(candidates))] {
			t.followed = true
		}
	}
}

func (m *Manager) byNearness(a, b *tracked) int {
	self := hashOf(m.options.ID)
	return cmp.Or(
		cmp.Compare(m.distance(a), m.distance(b)),
		cmp.Compare(weight(self, hashOf(b.instance.ID)), weight(self, hashOf(a.instance.ID))),
	)
}

// distance is 0 within the failure domain, 1 within the region, 2 beyond.
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
