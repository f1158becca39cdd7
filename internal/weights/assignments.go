package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// assignments assigns each endpoint of a service to one of its models, the same number
// to each: loads beyond an equal fraction for each model cost more than the capacity that
// they add. Fast and slow endpoints are shared alike. An endpoint keeps its assignment as
// long as possible. The zero value is ready to use.
type assignments struct {
	model map[string]string // by endpoint
}

// serving is an endpoint that is to be assigned to a model.
type serving struct {
	*fleet.Endpoint
	// gap is the endpoint's usual time per event; zero if it is not known.
	gap time.Duration
}

// assign assigns each endpoint that is not draining to a model. It returns the endpoints
// of each model.
func (h *assignments) assign(endpoints []*fleet.Endpoint, models []string, now time.Time) map[string][]*fleet.Endpoint {
	if len(models) == 0 {
		return nil
	}
	active := make([]serving, 0, len(endpoints))
	for _, e := range endpoints {
		if !e.Draining {
			active = append(active, serving{Endpoint: e, gap: e.Live.Pace.Sample(now).Gap})
		}
	}
	slices.SortFunc(active, func(a, b serving) int { return cmp.Or(cmp.Compare(a.gap, b.gap), cmp.Compare(a.ID, b.ID)) })
	byModel := h.prune(active, models)
	h.keepLoaded(byModel, active, models)
	for _, e := range active {
		if _, has := h.model[e.ID]; has {
			continue
		}
		h.add(byModel, leastAssigned(byModel, models), e)
	}
	h.rebalance(byModel, models)
	assigned := make(map[string][]*fleet.Endpoint, len(byModel))
	for model, all := range byModel {
		for _, e := range all {
			assigned[model] = append(assigned[model], e.Endpoint)
		}
	}
	return assigned
}

func (h *assignments) add(byModel map[string][]serving, model string, e serving) {
	h.model[e.ID] = model
	byModel[model] = append(byModel[model], e)
}

// keepLoaded assigns new endpoints to the model that was loaded on them, so that a new
// owner keeps the assignments of the previous one.
func (h *assignments) keepLoaded(byModel map[string][]serving, active []serving, models []string) {
	most := (len(active) + len(models) - 1) / len(models)
	for _, e := range active {
		if _, has := h.model[e.ID]; has {
			continue
		}
		loaded := slices.DeleteFunc(slices.Clone(models), func(model string) bool { return e.Version(model) <= oldestVersion(active, model) })
		if len(loaded) == 1 && len(byModel[loaded[0]]) < most {
			h.add(byModel, loaded[0], e)
		}
	}
}

// oldestVersion returns the lowest version of a model that an endpoint has. Endpoints on
// which the model was never loaded have it.
func oldestVersion(endpoints []serving, model string) int64 {
	oldest := endpoints[0].Version(model)
	for _, e := range endpoints[1:] {
		oldest = min(oldest, e.Version(model))
	}
	return oldest
}

// prune drops the assignments of endpoints that no longer exist and of models that are
// no longer served.
func (h *assignments) prune(active []serving, models []string) map[string][]serving {
	byModel := map[string][]serving{}
	old := h.model
	h.model = map[string]string{}
	for _, e := range active {
		if model, has := old[e.ID]; has && slices.Contains(models, model) {
			h.add(byModel, model, e)
		}
	}
	return byModel
}

// leastAssigned returns the model with the fewest endpoints, among equals the one whose
// endpoints generate least.
func leastAssigned(byModel map[string][]serving, models []string) string {
	return slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(len(byModel[a]), len(byModel[b])),
			cmp.Compare(speedOf(byModel[a]), speedOf(byModel[b])),
			cmp.Compare(a, b))
	})
}

// speedOf returns how many events a second endpoints generate, as far as known.
func speedOf(endpoints []serving) float64 {
	speed := 0.0
	for _, e := range endpoints {
		if e.gap > 0 {
			speed += 1 / e.gap.Seconds()
		}
	}
	return speed
}

// rebalance moves endpoints from the model with the most to the one with the fewest
// until the numbers differ by at most one.
func (h *assignments) rebalance(byModel map[string][]serving, models []string) {
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
