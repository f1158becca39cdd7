package share

// Pool is what one node knows of the slots of a service.
type Pool struct {
	// Slots is the number of slots of the endpoints, and InFlight that of the requests which
	// all nodes have at them, as far as this node knows.
	Slots, InFlight float64
	// Own is the number of requests that this node has at the endpoints.
	Own float64
	// Nodes is the number of nodes that send to the endpoints.
	Nodes float64
}

// plenty is the fraction of the slots in use below which all nodes may use all free slots:
// until so much is in flight, the next reports show that less is free.
const plenty = 0.85

// Plenty reports whether there is room for all, however many nodes there are.
func (p Pool) Plenty() bool { return p.InFlight < plenty*p.Slots }

// Free returns for how many requests this node has room. Under shortage a node may always use an equal
// share of the slots. Beyond it, the nodes share what is free, and while too much is in
// flight, the nodes that use more than an equal share give up what is in excess. No node
// needs to know what another one wants: room that one does not use appears as free in the
// reports of the endpoints.
func (p Pool) Free() float64 {
	if p.Plenty() {
		return max(p.Slots-p.InFlight, 1)
	}
	nodes := max(p.Nodes, 1)
	equal := max(p.Slots/nodes, 1)
	if p.Own < equal {
		return max(equal-p.Own, (p.Slots-p.InFlight)/nodes)
	}
	free := p.Slots - p.InFlight
	if free >= 0 {
		return free / nodes
	}
	return max(free*p.Own/max(p.InFlight, 1), equal-p.Own)
}
