package node

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
	"github.com/comfreyfront/comfreyfront/internal/phone"
	"github.com/comfreyfront/comfreyfront/internal/scaling"
)

// pathScaling is the page of the endpoints that are wanted, ordered and there.
const pathScaling = "/scaling"

// serveScaling responds with what the holders of the orders decided last, for each service.
func (n *Node) serveScaling(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), figuresTimeout)
	defer cancel()
	groups := encodeScaling(n)
	for _, holder := range n.scalingHolders() {
		theirs, err := n.peers.scaling(ctx, holder)
		if err != nil {
			event.PeerCallFailed.Log(ctx, n.logger, slog.String("peer", holder.Name), slog.String("cause", err.Error()))
		}
		groups = append(groups, theirs...)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, scalingText(groups, time.Now())) // the client may have disconnected
}

// scalingHolders returns the other nodes that hold orders of services with bounds.
func (n *Node) scalingHolders() []cluster.Node {
	configuration := n.routes.Load()
	if configuration == nil {
		return nil
	}
	byName := map[string]cluster.Node{}
	for name, service := range configuration.Services {
		if service.Scaling == nil {
			continue
		}
		unit := scalingUnitPrefix + name
		if service.Engine {
			unit = engineUnitPrefix + name
		}
		if owner, _, known := n.cluster.Owner(unit); known && owner.Name != n.config.Name {
			byName[owner.Name] = owner
		}
	}
	holders := make([]cluster.Node, 0, len(byName))
	for _, holder := range byName {
		holders = append(holders, holder)
	}
	return holders
}

// scaling requests from a node what it decided for the services whose endpoints it orders.
func (p *peers) scaling(ctx context.Context, node cluster.Node) ([]*nodepb.ScalingGroup, error) {
	reply, err := p.clientFor(node.Address).Figures(ctx, &nodepb.FiguresRequest{})
	if err != nil {
		return nil, ErrPeer.Wrap(err, "request for the endpoints wanted to %s", node.Name)
	}
	return reply.GetScaling(), nil
}

// encodeScaling returns what this node decided for the services whose endpoints it orders.
func encodeScaling(n *Node) []*nodepb.ScalingGroup {
	var groups []*nodepb.ScalingGroup
	for _, status := range n.scalers.statuses() {
		for _, g := range status.Groups {
			groups = append(groups, &nodepb.ScalingGroup{
				Service: status.Service, FailureDomain: g.Domain, Reclaimable: g.Kind == scaling.Reclaimable,
				Wanted: int32(g.Wanted), Ordered: int32(g.Ordered), There: int32(g.There), Draining: int32(g.Draining),
				Refused: g.Refused, Urgent: int32(status.Urgent), Reason: string(status.Reason),
			})
		}
	}
	return groups
}

// scalingText renders the groups: a line for each service with its sums and the reason, and
// one for each failure domain with ordinary and reclaimable endpoints as wanted/ordered/there.
func scalingText(groups []*nodepb.ScalingGroup, now time.Time) string {
	slices.SortStableFunc(groups, func(a, b *nodepb.ScalingGroup) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetFailureDomain(), b.GetFailureDomain()), cmp.Compare(kindName(a), kindName(b)))
	})
	lines := []string{fmt.Sprintf("%s UTC, wanted/ordered/there", now.UTC().Format(time.TimeOnly))}
	if len(groups) == 0 {
		lines = append(lines, "no service's endpoints are ordered")
	}
	service := ""
	for _, g := range groups {
		if g.GetService() != service {
			service = g.GetService()
			lines = append(lines, serviceLines(service, groups)...)
		}
		lines = append(lines, groupLine(g))
	}
	for i := range lines {
		lines[i] = phone.Clip(lines[i])
	}
	return strings.Join(lines, "\n") + "\n"
}

// serviceLines renders the sums of a service and the reason of its last decision.
func serviceLines(service string, groups []*nodepb.ScalingGroup) []string {
	var wanted, ordered, there, urgent int32
	reason := ""
	for _, g := range groups {
		if g.GetService() == service {
			wanted, ordered, there = wanted+g.GetWanted(), ordered+g.GetOrdered(), there+g.GetThere()
			urgent, reason = g.GetUrgent(), g.GetReason()
		}
	}
	return []string{
		fmt.Sprintf("%s: %d/%d/%d", service, wanted, ordered, there),
		fmt.Sprintf("  %s, %d cannot be missed", reason, urgent),
	}
}

// groupLine renders the endpoints of one kind in one failure domain.
func groupLine(g *nodepb.ScalingGroup) string {
	notes := ""
	if g.GetDraining() > 0 {
		notes += fmt.Sprintf(" %d leave", g.GetDraining())
	}
	if g.GetRefused() {
		notes += " REFUSED"
	}
	return fmt.Sprintf("  %s %s %d/%d/%d%s", g.GetFailureDomain(), kindName(g), g.GetWanted(), g.GetOrdered(), g.GetThere(), notes)
}

// kindName returns the name of the kind of the group's endpoints, by which groups are ordered.
func kindName(g *nodepb.ScalingGroup) string {
	if g.GetReclaimable() {
		return "reclaimable"
	}
	return "ordinary"
}
