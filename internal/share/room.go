package share

// Pool is what one node knows of the slots of a service.
type Pool struct {
	// Slots is the number of slots of the endpoints. InFlight is the number of requests that
	// all nodes together have in flight at them, as far as this node knows.
	Slots, InFlight float64
	// Own is the number of requests that this node has at the endpoints.
	Own float64
	// Nodes is the number of nodes that send to the endpoints.
	Nodes float64
}

// plenty is the fraction of the slots in use below which all nodes may use all free slots:
// until so much is in flight, the next reports show that less is free.
const plenty = 0.85

// Plenty reports whether slots are so abundant that the nodes need not divide them.
func (p Pool) Plenty() bool { return p.InFlight < plenty*p.Slots }

// Free returns how many more requests this node may send; it is negative if the node uses too
// many slots. Under shortage a node may always use an equal share of the slots. Beyond it, the
// nodes share the free slots equally, and while more is in flight than there are slots, those
// above their equal share give up the excess in proportion to their use. Nodes do not exchange
// their demand: slots that one does not use appear as free in the reports of the endpoints.
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
