package scaling

// Costs of an endpoint beside its price, as fractions of an ordinary endpoint's price in an
// average failure domain.
const (
	// crossDomainCost is the cost of the network traffic from an endpoint in another failure
	// domain.
	crossDomainCost = 0.15
	// changeCost is the cost of starting an endpoint and loading its weights: groups that have
	// endpoints already are preferred by that much.
	changeCost = 0.12
)

// spread distributes the wanted endpoints over the groups: first the smallest number of each
// failure domain, then the rest of the urgent ones as ordinary endpoints, then the headroom,
// each to the cheapest group that may take one more.
type spread struct {
	in *Input
	// blocked are the groups that get no more than they have.
	blocked map[Group]bool
	// present returns the number of endpoints of a group that are there or were ordered.
	present func(Group) int
	targets map[Group]int
	// domains are the failure domains in ascending order.
	domains []string
	// domainCap is the largest number of endpoints in one failure domain that the loss of the
	// domain may take.
	domainCap int
}

// newSpread returns a spread that has distributed nothing yet.
func newSpread(in *Input, n need, blocked map[Group]bool, present func(Group) int) *spread {
	s := &spread{in: in, blocked: blocked, present: present, targets: map[Group]int{}, domains: in.domains()}
	even := (n.wanted + len(s.domains) - 1) / max(len(s.domains), 1)
	s.domainCap = max(n.wanted-n.urgent, even)
	return s
}

// run returns the target of each group, and whether a blocked group had to be replaced.
func (s *spread) run(n need) (targets map[Group]int, replaced bool) {
	ordinary, all := s.groups(s.domains, Ordinary), s.groups(s.domains, Ordinary, Reclaimable)
	for _, domain := range s.domains {
		missing := s.in.Limits.Min
		missing -= s.take(s.groups([]string{domain}, Ordinary), min(missing, n.urgent-s.count(ordinary)))
		s.take(s.groups([]string{domain}, Ordinary, Reclaimable), missing)
	}
	s.take(ordinary, n.urgent-s.count(ordinary))
	s.take(all, n.wanted-s.count(all))
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

// take adds the given number of endpoints to the cheapest of the groups, in failure domains
// below domainCap as far as possible. It returns how many it could add.
func (s *spread) take(groups []Group, wanted int) int {
	left := wanted
	for _, limit := range []int{min(s.domainCap, s.in.Limits.Max), s.in.Limits.Max} {
		for left > 0 {
			group, count := s.cheapest(groups, limit, left)
			if count == 0 {
				break
			}
			s.targets[group] += count
			left -= count
		}
	}
	return max(wanted, 0) - max(left, 0)
}

// tieShare is the fraction of the remaining endpoints that is assigned at once, divided by the
// number of groups, while several groups cost the same: they fill up evenly.
const tieShare = 0.25

// cheapest returns the cheapest group that may take more endpoints and how many it gets now,
// at most the given number; zero if there is no such group.
func (s *spread) cheapest(groups []Group, domainLimit, atMost int) (best Group, count int) {
	bestCost, tied, open := 0.0, false, 0
	for _, g := range groups {
		room := s.room(g, domainLimit)
		if room <= 0 {
			continue
		}
		open++
		cost := s.cost(g)
		switch {
		case count == 0 || cost < bestCost:
			best, bestCost, count, tied = g, cost, room, false
		case cost == bestCost:
			tied = true
			if s.targets[g] < s.targets[best] {
				best, count = g, room
			}
		}
	}
	if tied {
		count = min(count, max(int(tieShare*float64(atMost))/open, 1))
	}
	return best, min(count, atMost)
}

// room returns how many endpoints a group may take at the cost that it has now.
func (s *spread) room(g Group, domainLimit int) int {
	target := s.targets[g]
	room := domainLimit - target - s.targets[g.other()]
	if s.blocked[g] {
		room = min(room, s.in.There[g].Ready-target)
	}
	if present := s.present(g); target < present {
		room = min(room, present-target)
	}
	return room
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
		price += crossDomainCost
	}
	if s.targets[g] >= s.present(g) {
		price += changeCost
	}
	return price
}

// count returns the number of endpoints that the groups have got.
func (s *spread) count(groups []Group) int {
	count := 0
	for _, g := range groups {
		count += s.targets[g]
	}
	return count
}
