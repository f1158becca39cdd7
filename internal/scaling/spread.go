package scaling

import (
	"cmp"
	"slices"
)

// Costs of an endpoint beside its price, as fractions of an ordinary endpoint's price in an
// average failure domain.
const (
	// crossingCost is what the answers of an endpoint in another failure domain cost on the
	// way.
	crossingCost = 0.15
	// changeCost is the start of an endpoint and the load of its weights: a group whose
	// endpoints are there is preferred by that much.
	changeCost = 0.12
)

// spread distributes the wanted endpoints over the groups: first the smallest number of each
// failure domain, then the rest of the urgent ones as ordinary endpoints, then the headroom,
// each to the cheapest group that may take one more.
type spread struct {
	in *Input
	// blocked are the groups that get no more than they have.
	blocked map[Group]bool
	// expected returns the endpoints of a group that are there or were ordered.
	expected func(Group) int
	targets  map[Group]int
	// domains are the failure domains in ascending order.
	domains []string
	// domainCap is the largest number of endpoints in one failure domain that the loss of the
	// domain may take.
	domainCap int
}

func newSpread(in *Input, n need, blocked map[Group]bool, expected func(Group) int) *spread {
	s := &spread{in: in, blocked: blocked, expected: expected, targets: map[Group]int{}, domains: in.domains()}
	even := (n.wanted + len(s.domains) - 1) / max(len(s.domains), 1)
	s.domainCap = max(n.wanted-n.urgent, even)
	return s
}

// run returns the target of each group, and whether a blocked group had to be replaced.
func (s *spread) run(n need) (targets map[Group]int, replaced bool) {
	ordinary, all := s.groups(s.domains, Ordinary), s.groups(s.domains, Ordinary, Reclaimable)
	for _, domain := range s.domains {
		for range s.in.Limits.Min {
			urgent := s.count(ordinary) < n.urgent && s.take(s.groups([]string{domain}, Ordinary))
			_ = urgent || s.take(s.groups([]string{domain}, Ordinary, Reclaimable))
		}
	}
	for s.count(ordinary) < n.urgent && s.take(ordinary) {
	}
	for s.count(all) < n.wanted && s.take(all) {
	}
	for group := range s.blocked {
		replaced = replaced || s.targets[group] == s.in.There[group].Ready && s.count(all) > 0
	}
	return s.targets, replaced
}

// groups returns the groups of the kinds that there are in the given failure domains.
func (s *spread) groups(domains []string, kinds ...Kind) []Group {
	var groups []Group
	for _, domain := range domains {
		for _, kind := range kinds {
			if kind == Ordinary || s.in.Limits.ReclaimablePrice > 0 {
				groups = append(groups, Group{domain, kind})
			}
		}
	}
	return groups
}

// take adds an endpoint to the cheapest of the groups, in a failure domain below domainCap
// if there is one. It returns false if no group may take one.
func (s *spread) take(groups []Group) bool {
	return s.add(s.cheapest(groups, min(s.domainCap, s.in.Limits.Max))) || s.add(s.cheapest(groups, s.in.Limits.Max))
}

func (s *spread) add(group Group, ok bool) bool {
	if ok {
		s.targets[group]++
	}
	return ok
}

// cheapest returns the cheapest group that may take one more endpoint.
func (s *spread) cheapest(groups []Group, domainLimit int) (Group, bool) {
	var open []Group
	for _, g := range groups {
		full := s.targets[Group{g.Domain, Ordinary}]+s.targets[Group{g.Domain, Reclaimable}] >= domainLimit
		if full || s.blocked[g] && s.targets[g] >= s.in.There[g].Ready {
			continue
		}
		open = append(open, g)
	}
	if len(open) == 0 {
		return Group{}, false
	}
	return slices.MinFunc(open, func(a, b Group) int {
		return cmp.Or(cmp.Compare(s.cost(a), s.cost(b)), cmp.Compare(s.targets[a], s.targets[b]), cmp.Compare(a.Domain, b.Domain))
	}), true
}

// cost returns the cost of one more endpoint of the group.
func (s *spread) cost(g Group) float64 {
	price, known := s.in.Limits.DomainPrices[g.Domain]
	if !known {
		price = 1
	}
	if g.Kind == Reclaimable {
		price *= s.in.Limits.ReclaimablePrice
	}
	if s.in.Home != "" && g.Domain != s.in.Home {
		price += crossingCost
	}
	if s.targets[g] >= max(s.in.There[g].Ready, s.expected(g)) {
		price += changeCost
	}
	return price
}

func (s *spread) count(groups []Group) int {
	count := 0
	for _, g := range groups {
		count += s.targets[g]
	}
	return count
}
