package suspect

import (
	"context"
	"encoding/hex"
	"log/slog"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/event"
)

// Registry stores what one entry knows about requests that crash endpoints. It is
// safe for concurrent use.
type Registry struct {
	options Options
	logger  *slog.Logger
	refused *prometheus.CounterVec

	mu      sync.Mutex
	records *simplelru.LRU[Fingerprint, *record]
	// runningAlone maps the suspects that run now to their endpoints, and reserved
	// maps those endpoints to the suspects.
	runningAlone map[Fingerprint]string
	reserved     map[string]Fingerprint
	changes      uint64
	cursor       int
}

// NewRegistry returns an empty registry; registerer may be nil.
func NewRegistry(options Options, logger *slog.Logger, registerer prometheus.Registerer) *Registry {
	r := &Registry{
		options:      options.withDefaults(),
		logger:       logger,
		runningAlone: map[Fingerprint]string{},
		reserved:     map[string]Fingerprint{},
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyfront_suspects_refused_total", Help: "Requests refused because endpoints died of them or beside them.",
		}, []string{"reason"}),
	}
	r.records, _ = simplelru.NewLRU[Fingerprint, *record](r.options.Limit, nil)
	if registerer != nil {
		registerer.MustRegister(r.refused)
	}
	return r
}

// Standing returns the standing of a request, and the endpoints that died while it
// ran, on which it is not allowed to run again.
func (r *Registry) Standing(fingerprint Fingerprint) (Standing, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.lookup(fingerprint)
	if record == nil {
		return Clear, nil
	}
	return record.standing(), record.openDeaths()
}

// Reserved reports whether a suspect runs alone on the endpoint, so that this entry
// must send nothing else there.
func (r *Registry) Reserved(endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, reserved := r.reserved[endpoint]
	return reserved
}

// Begin decides whether a request may run on an endpoint. If it may, the caller must
// call done once with the result. For a request that runs alone, done may take as long
// as the release of its claims. If the request may not run, done does nothing.
func (r *Registry) Begin(ctx context.Context, fingerprint Fingerprint, endpoint string) (admission Admission, done func(Result)) {
	admission = r.admit(fingerprint, endpoint)
	if !admission.Allowed {
		r.refused.WithLabelValues(admission.Reason.label()).Inc()
		return admission, func(Result) {}
	}
	if !admission.RunAlone {
		return admission, func(result Result) { r.finish(fingerprint, endpoint, result, false) }
	}
	release, err := r.acquire(ctx, fingerprint, endpoint)
	if err != nil {
		r.unreserve(fingerprint)
		r.refused.WithLabelValues(ReasonRunning.label()).Inc()
		return Admission{Reason: ReasonRunning}, func(Result) {}
	}
	event.SuspectRunsAlone.Log(ctx, r.logger, slog.String("fingerprint", hex.EncodeToString(fingerprint[:])), slog.String("endpoint", endpoint))
	return admission, func(result Result) {
		r.finish(fingerprint, endpoint, result, true)
		release(result)
	}
}

func (r *Registry) acquire(ctx context.Context, fingerprint Fingerprint, endpoint string) (func(Result), error) {
	if r.options.Exclusive == nil {
		return func(Result) {}, nil
	}
	return r.options.Exclusive.Acquire(ctx, fingerprint, endpoint)
}

// admit decides whether a request may run, and reserves the endpoint for a suspect.
func (r *Registry) admit(fingerprint Fingerprint, endpoint string) Admission {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.lookup(fingerprint)
	if record == nil {
		return Admission{Allowed: true}
	}
	switch record.standing() {
	case Clear:
		return Admission{Allowed: true}
	case Convicted:
		return Admission{Reason: ReasonConvicted}
	}
	if contains(record.openDeaths(), endpoint) {
		return Admission{Reason: ReasonSameEndpoint}
	}
	if _, running := r.runningAlone[fingerprint]; running {
		return Admission{Reason: ReasonRunning}
	}
	if _, reserved := r.reserved[endpoint]; reserved {
		return Admission{Reason: ReasonRunning}
	}
	r.runningAlone[fingerprint], r.reserved[endpoint] = endpoint, fingerprint
	return Admission{Allowed: true, RunAlone: true}
}

// lookup returns the record of a request, or nil if there is none or it has expired.
// r.mu must be held.
func (r *Registry) lookup(fingerprint Fingerprint) *record {
	record, ok := r.records.Get(fingerprint)
	if !ok {
		return nil
	}
	if record.expired(r.options.Now(), r.options) {
		r.records.Remove(fingerprint)
		return nil
	}
	return record
}

// unreserve ends the reservation of a suspect's endpoint.
func (r *Registry) unreserve(fingerprint Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reserved, r.runningAlone[fingerprint])
	delete(r.runningAlone, fingerprint)
}

func (r *Registry) finish(fingerprint Fingerprint, endpoint string, result Result, ranAlone bool) {
	if ranAlone {
		r.unreserve(fingerprint)
	}
	switch result {
	case Survived:
		r.recordSurvival(fingerprint)
	case EndpointDied:
		r.recordDeath(fingerprint, endpoint, ranAlone)
	}
}

func (r *Registry) recordSurvival(fingerprint Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.lookup(fingerprint)
	if record != nil && record.clear() {
		r.markChanged(record)
	}
}

func (r *Registry) recordDeath(fingerprint Fingerprint, endpoint string, ranAlone bool) {
	now := r.options.Now()
	r.mu.Lock()
	record := r.lookupOrCreate(fingerprint)
	previous := record.standing()
	record.raiseLastDeath(now)
	add(&record.deaths, endpoint)
	record.convicted = record.convicted || r.options.Rule.convicts(len(record.openDeaths()), ranAlone)
	r.markChanged(record)
	current := record.standing()
	r.mu.Unlock()
	r.logChange(fingerprint, endpoint, previous, current)
	if r.options.Spread != nil {
		r.options.Spread(r.NewsOf(fingerprint))
	}
}

func (r *Registry) logChange(fingerprint Fingerprint, endpoint string, previous, current Standing) {
	if previous == current {
		return
	}
	transition := event.RequestSuspected
	if current == Convicted {
		transition = event.RequestConvicted
	}
	transition.Log(context.Background(), r.logger, slog.String("fingerprint", hex.EncodeToString(fingerprint[:])), slog.String("endpoint", endpoint))
}

// lookupOrCreate returns the record of a request, and creates it if necessary. r.mu
// must be held.
func (r *Registry) lookupOrCreate(fingerprint Fingerprint) *record {
	if record := r.lookup(fingerprint); record != nil {
		return record
	}
	created := &record{}
	r.records.Add(fingerprint, created)
	return created
}

func (r *Registry) markChanged(record *record) {
	r.changes++
	record.change = r.changes
}
