package weights

import (
	"cmp"
	"slices"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// assignments assigns each endpoint of a service to one of its models, the same number
// to each: loads beyond an equal fraction for each model cost more than the capacity that
// they add. An endpoint keeps its assignment as long as possible. The zero value is ready
// to use.
type assignments struct {
	model map[string]string // by endpoint
}

// assign assigns each endpoint that is not draining to a model. It returns the endpoints
// of each model.
func (h *assignments) assign(endpoints []*fleet.Endpoint, models []string) map[string][]*fleet.Endpoint {
	if len(models) == 0 {
		return nil
	}
	if h.model == nil {
		h.model = map[string]string{}
	}
	active := slices.DeleteFunc(slices.Clone(endpoints), func(e *fleet.Endpoint) bool { return e.Draining })
	slices.SortFunc(active, func(a, b *fleet.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	byModel := h.prune(active, models)
	for _, e := range active {
		if _, has := h.model[e.ID]; has {
			continue
		}
		model := h.leastAssigned(byModel, models, e)
		h.model[e.ID] = model
		byModel[model] = append(byModel[model], e)
	}
	h.rebalance(byModel, models)
	return byModel
}

// prune drops the assignments of endpoints that no longer exist and of models that are
// no longer served.
func (h *assignments) prune(active []*fleet.Endpoint, models []string) map[string][]*fleet.Endpoint {
	byModel := map[string][]*fleet.Endpoint{}
	remaining := map[string]string{}
	for _, e := range active {
		if model, has := h.model[e.ID]; has && slices.Contains(models, model) {
			remaining[e.ID] = model
			byModel[model] = append(byModel[model], e)
		}
	}
	h.model = remaining
	return byModel
}

// leastAssigned returns the model with the fewest endpoints. Among equals, it prefers
// the model of which the endpoint has the newest version, so that a new owner keeps the
// assignments of the previous one.
func (h *assignments) leastAssigned(byModel map[string][]*fleet.Endpoint, models []string, e *fleet.Endpoint) string {
	return slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(len(byModel[a]), len(byModel[b])),
			cmp.Compare(e.Version(b), e.Version(a)),
			cmp.Compare(a, b))
	})
}

// rebalance moves endpoints from the model with the most to the one with the fewest
// until the numbers differ by at most one.
func (h *assignments) rebalance(byModel map[string][]*fleet.Endpoint, models []string) {
	for {
		largest := slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(len(byModel[a]), len(byModel[b])) })
		smallest := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(len(byModel[a]), len(byModel[b])) })
		if len(byModel[largest])-len(byModel[smallest]) < 2 {
			return
		}
		last := len(byModel[largest]) - 1
		moved := byModel[largest][last]
		byModel[largest] = byModel[largest][:last]
		byModel[smallest] = append(byModel[smallest], moved)
		h.model[moved.ID] = smallest
	}
}
