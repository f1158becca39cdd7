package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// deferLimit is how long an endpoint whose version still suffices for all steps may wait
// for a newer one. All endpoints are to serve a named version within 10 s.
const deferLimit = 6 * time.Second

// defaultSlots is used for an endpoint that does not report its number of slots.
const defaultSlots = 8

// Model is what is known of a model whose weights are loaded.
type Model struct {
	// Target is the version that the trainer named last, and NamedAt when this was first
	// seen.
	Target  int64
	NamedAt time.Time
	// Lag is by how many versions the steps of the trainer may be behind the target.
	Lag int64
	// Finish means that runs on an endpoint end before it loads.
	Finish bool
}

// urgency is why an endpoint is due to load; lower values come first.
type urgency int

const (
	// unusable: the endpoint's version is too old for the newest step.
	unusable urgency = iota
	// nextStep: the endpoint is among those that must have the version before the next one
	// makes the others unusable.
	nextStep
	// overdue: the endpoint has waited for deferLimit.
	overdue
	// deferred: the endpoint need not load yet.
	deferred
)

// load is an endpoint that is due to load a version of a model.
type load struct {
	endpoint *fleet.Endpoint
	model    string
	version  int64
	urgency  urgency
	// capacity is the generating capacity that new runs of the model gain.
	capacity float64
}

// dueLoads decides which of a model's endpoints load its target version now. With a lag,
// an endpoint serves several versions' steps and need not load each version: so many load
// promptly that the next version leaves enough others to serve its step at once, and the
// rest wait, for deferLimit or until they are too old.
func dueLoads(model string, m Model, assigned []*fleet.Endpoint, now time.Time) []load {
	var due []load
	current := 0
	for _, e := range assigned {
		version := e.Version(model)
		if version >= m.Target {
			current++
			continue
		}
		l := load{endpoint: e, model: model, version: m.Target, urgency: deferred, capacity: capacityOf(e, m, now)}
		switch {
		case version < m.Target-m.Lag:
			l.urgency = unusable
		case now.Sub(m.NamedAt) >= deferLimit:
			l.urgency = overdue
		}
		due = append(due, l)
	}
	slices.SortFunc(due, compareLoads)
	prompt := int(math.Ceil(float64(len(assigned))/float64(m.Lag+1))) - current
	for i := range due {
		if i < prompt && due[i].urgency > nextStep {
			due[i].urgency = nextStep
		}
	}
	return slices.DeleteFunc(due, func(l load) bool { return l.urgency == deferred })
}

// capacityOf returns the generating capacity that an endpoint adds for new runs by loading:
// its free slots by its pace. If runs must end first, an endpoint without runs is best.
func capacityOf(e *fleet.Endpoint, m Model, now time.Time) float64 {
	slots := e.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	inFlight := int(e.Live.InFlight())
	if m.Finish {
		return -float64(inFlight)
	}
	gap := e.Live.Pace.Sample(now).Gap
	if gap <= 0 {
		gap = time.Second
	}
	return float64(max(slots-inFlight, 0)+1) / gap.Seconds()
}

// compareLoads orders loads by urgency; endpoints that failed recently come last, and
// otherwise the one that adds most capacity first.
func compareLoads(a, b load) int {
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(b.capacity, a.capacity),
		cmp.Compare(a.endpoint.ID, b.endpoint.ID))
}
