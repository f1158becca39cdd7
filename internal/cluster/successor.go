package cluster

// Successor returns the node that would take over a unit if its owner ended now.
func (c *Cluster) Successor(unit string) (Node, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := c.units[unit].Owner
	best, found := Node{}, false
	for name, m := range c.members {
		if name == owner || c.dead(m) || m.node.Leaving {
			continue
		}
		if !found || compareRank(unit, m.node, best) > 0 {
			best, found = m.node, true
		}
	}
	return best, found
}
