package weights

import (
	"cmp"
	"slices"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// homes shares the endpoints of a service among its models: loads beyond an
// equal share for each model cost more than the capacity that they bring. An
// endpoint keeps its home while it lives. The zero value works.
type homes struct {
	model map[string]string // by endpoint
}

// assign gives each endpoint that takes work a home, and returns the homes of
// each model in order of id.
func (h *homes) assign(endpoints []*fleet.Endpoint, models []string) map[string][]*fleet.Endpoint {
	if len(models) == 0 {
		return nil
	}
	if h.model == nil {
		h.model = map[string]string{}
	}
	live := slices.DeleteFunc(slices.Clone(endpoints), func(e *fleet.Endpoint) bool { return e.Draining })
	slices.SortFunc(live, func(a, b *fleet.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	byModel := h.keep(live, models)
	for _, e := range live {
		if _, has := h.model[e.ID]; has {
			continue
		}
		model := h.neediest(byModel, models, e)
		h.model[e.ID] = model
		byModel[model] = append(byModel[model], e)
	}
	h.level(byModel, models)
	return byModel
}

// keep drops the homes of endpoints that are gone and of models that are not
// held any more.
func (h *homes) keep(live []*fleet.Endpoint, models []string) map[string][]*fleet.Endpoint {
	byModel := map[string][]*fleet.Endpoint{}
	kept := map[string]string{}
	for _, e := range live {
		if model, has := h.model[e.ID]; has && slices.Contains(models, model) {
			kept[e.ID] = model
			byModel[model] = append(byModel[model], e)
		}
	}
	h.model = kept
	return byModel
}

// neediest returns the model with the fewest homes; of equals, the one that the
// endpoint holds in the newest version, as after a change of owner.
func (h *homes) neediest(byModel map[string][]*fleet.Endpoint, models []string, e *fleet.Endpoint) string {
	return slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(len(byModel[a]), len(byModel[b])),
			cmp.Compare(e.Version(b), e.Version(a)),
			cmp.Compare(a, b))
	})
}

// level moves homes from the model with the most to the one with the fewest
// until they differ by one at most.
func (h *homes) level(byModel map[string][]*fleet.Endpoint, models []string) {
	for {
		most := slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(len(byModel[a]), len(byModel[b])) })
		fewest := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(len(byModel[a]), len(byModel[b])) })
		if len(byModel[most])-len(byModel[fewest]) < 2 {
			return
		}
		last := len(byModel[most]) - 1
		moved := byModel[most][last]
		byModel[most] = byModel[most][:last]
		byModel[fewest] = append(byModel[fewest], moved)
		h.model[moved.ID] = fewest
	}
}
