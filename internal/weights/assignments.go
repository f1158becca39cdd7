package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// assignments assigns each endpoint of a service to one of its models, in proportion to
// what their steps ask for. Fast and slow endpoints are shared alike. An endpoint keeps its
// assignment as long as possible. The zero value is ready to use.
type assignments struct {
	model map[string]string // by endpoint
	// shares are the fractions of the endpoints that the models get.
	shares map[string]float64
}

// serving is an endpoint that is to be assigned to a model.
type serving struct {
	*fleet.Endpoint
	// gap is the endpoint's usual time per event; zero if it is not known.
	gap time.Duration
}

// assign assigns each endpoint that is not draining to a model; demand is what the steps of
// each model ask for. It returns the endpoints of each model.
func (h *assignments) assign(endpoints []*fleet.Endpoint, models []string, demand map[string]float64, now time.Time) map[string][]*fleet.Endpoint {
	if len(models) == 0 {
		return nil
	}
	active := make([]serving, 0, len(endpoints))
	for _, e := range endpoints {
		if !e.Leaving() {
			active = append(active, serving{Endpoint: e, gap: e.Live.Pace.Sample(now).Gap})
		}
	}
	slices.SortFunc(active, func(a, b serving) int { return cmp.Or(cmp.Compare(a.gap, b.gap), cmp.Compare(a.ID, b.ID)) })
	h.updateShares(models, demand)
	wanted := h.wanted(models, len(active))
	byModel := h.prune(active, models)
	h.keepLoaded(byModel, active, wanted)
	for _, e := range active {
		if _, has := h.model[e.ID]; has {
			continue
		}
		h.add(byModel, mostMissing(byModel, models, wanted), e)
	}
	h.rebalance(byModel, models, wanted)
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
func (h *assignments) keepLoaded(byModel map[string][]serving, active []serving, wanted map[string]int) {
	for _, e := range active {
		if _, has := h.model[e.ID]; has {
			continue
		}
		var loaded []string
		for model := range wanted {
			if e.Version(model) > oldestVersion(active, model) {
				loaded = append(loaded, model)
			}
		}
		if len(loaded) == 1 && len(byModel[loaded[0]]) < wanted[loaded[0]] {
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

// minShare is the smallest fraction of an equal share that a model gets, and shareTolerance
// the relative change of a model's share below which the assignments stay.
const (
	minShare       = 0.5
	shareTolerance = 0.25
)

// updateShares derives the shares from the demand, if they have changed much. Models of
// which no step was seen yet count as average ones.
func (h *assignments) updateShares(models []string, demand map[string]float64) {
	sum, known := 0.0, 0
	for _, model := range models {
		if demand[model] > 0 {
			sum += demand[model]
			known++
		}
	}
	shares := make(map[string]float64, len(models))
	total := 0.0
	for _, model := range models {
		share := 1.0 // relative to the average
		if demand[model] > 0 {
			share = max(demand[model]/sum*float64(known), minShare)
		}
		shares[model] = share
		total += share
	}
	changed := len(shares) != len(h.shares)
	for model := range shares {
		shares[model] /= total
		if before := h.shares[model]; math.Abs(shares[model]-before) > shareTolerance*before {
			changed = true
		}
	}
	if changed {
		h.shares = shares
	}
}

// wanted returns how many of n endpoints each model gets: at least one if there are
// enough, and what the shares leave over goes to the largest remainders.
func (h *assignments) wanted(models []string, n int) map[string]int {
	wanted := make(map[string]int, len(models))
	left := n
	for _, model := range models {
		wanted[model] = int(h.shares[model] * float64(n))
		left -= wanted[model]
	}
	missing := func(model string) float64 {
		if wanted[model] == 0 {
			return 1
		}
		return h.shares[model]*float64(n) - float64(wanted[model])
	}
	for ; left > 0; left-- {
		wanted[slices.MaxFunc(models, func(a, b string) int { return cmp.Or(cmp.Compare(missing(a), missing(b)), cmp.Compare(b, a)) })]++
	}
	return wanted
}

// mostMissing returns the model that lacks most endpoints, among equals the one whose
// endpoints generate least for what it gets.
func mostMissing(byModel map[string][]serving, models []string, wanted map[string]int) string {
	speed := func(model string) float64 { return speedOf(byModel[model]) / float64(max(wanted[model], 1)) }
	return slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(len(byModel[a])-wanted[a], len(byModel[b])-wanted[b]),
			cmp.Compare(speed(a), speed(b)),
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

// rebalance moves endpoints from models with too many to models with too few.
func (h *assignments) rebalance(byModel map[string][]serving, models []string, wanted map[string]int) {
	surplus := func(model string) int { return len(byModel[model]) - wanted[model] }
	for {
		most := slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(surplus(a), surplus(b)) })
		least := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(surplus(a), surplus(b)) })
		if surplus(most) < 1 || surplus(least) > -1 {
			return
		}
		last := len(byModel[most]) - 1
		moved := byModel[most][last]
		byModel[most] = byModel[most][:last]
		h.add(byModel, least, moved)
	}
}
