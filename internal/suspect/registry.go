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

// Registry holds what one entry knows of requests that kill. It is safe for
// concurrent use.
type Registry struct {
	options Options
	logger  *slog.Logger
	refused *prometheus.CounterVec

	mu      sync.Mutex
	records *simplelru.LRU[Fingerprint, *record]
	// alone are the suspects that run now, and reserved their endpoints.
	alone    map[Fingerprint]string
	reserved map[string]Fingerprint
	changes  uint64
	cursor   int
}

// NewRegistry returns an empty registry; registerer may be nil.
func NewRegistry(options Options, logger *slog.Logger, registerer prometheus.Registerer) *Registry {
	r := &Registry{
		options:  options.withDefaults(),
		logger:   logger,
		alone:    map[Fingerprint]string{},
		reserved: map[string]Fingerprint{},
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

// Standing returns what is held against a request, and the endpoints that died
// while it ran, on which it will not be allowed.
func (r *Registry) Standing(fingerprint Fingerprint) (Standing, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.lookup(fingerprint)
	if record == nil {
		return Clear, nil
	}
	return record.standing(), record.open()
}

// Reserved reports whether a suspect runs alone on the endpoint, so that
// nothing else may be sent there by this entry.
func (r *Registry) Reserved(endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, reserved := r.reserved[endpoint]
	return reserved
}

// Begin asks whether a request may run on an endpoint. When it may, done must
// be called once with the result; for a request that runs alone it may take as
// long as a claim's ending. When it may not, done does nothing.
func (r *Registry) Begin(ctx context.Context, fingerprint Fingerprint, endpoint string) (admission Admission, done func(Result)) {
	admission = r.admit(fingerprint, endpoint)
	if !admission.Allowed {
		r.refused.WithLabelValues(admission.Reason.label()).Inc()
		return admission, func(Result) {}
	}
	if !admission.RunAlone {
		return admission, func(result Result) { r.end(fingerprint, endpoint, result, false) }
	}
	release, err := r.acquire(ctx, fingerprint, endpoint)
	if err != nil {
		r.leave(fingerprint)
		r.refused.WithLabelValues(ReasonRunning.label()).Inc()
		return Admission{Reason: ReasonRunning}, func(Result) {}
	}
	event.SuspectRunsAlone.Log(ctx, r.logger, slog.String("fingerprint", hex.EncodeToString(fingerprint[:])), slog.String("endpoint", endpoint))
	return admission, func(result Result) {
		r.end(fingerprint, endpoint, result, true)
		release(result)
	}
}

func (r *Registry) acquire(ctx context.Context, fingerprint Fingerprint, endpoint string) (func(Result), error) {
	if r.options.Exclusive == nil {
		return func(Result) {}, nil
	}
	return r.options.Exclusive.Acquire(ctx, fingerprint, endpoint)
}

// admit decides, and reserves the endpoint for a suspect.
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
	if contains(record.open(), endpoint) {
		return Admission{Reason: ReasonSameEndpoint}
	}
	if _, running := r.alone[fingerprint]; running {
		return Admission{Reason: ReasonRunning}
	}
	if _, reserved := r.reserved[endpoint]; reserved {
		return Admission{Reason: ReasonRunning}
	}
	r.alone[fingerprint], r.reserved[endpoint] = endpoint, fingerprint
	return Admission{Allowed: true, RunAlone: true}
}

// lookup returns the record of a request unless it has expired; r.mu is held.
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

// leave ends the reservation of a suspect.
func (r *Registry) leave(fingerprint Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reserved, r.alone[fingerprint])
	delete(r.alone, fingerprint)
}

func (r *Registry) end(fingerprint Fingerprint, endpoint string, result Result, alone bool) {
	if alone {
		r.leave(fingerprint)
	}
	switch result {
	case Survived:
		r.survived(fingerprint)
	case EndpointDied:
		r.died(fingerprint, endpoint, alone)
	}
}

func (r *Registry) survived(fingerprint Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.lookup(fingerprint)
	if record != nil && record.clear() {
		r.changed(record)
	}
}

func (r *Registry) died(fingerprint Fingerprint, endpoint string, alone bool) {
	now := r.options.Now()
	r.mu.Lock()
	record := r.obtain(fingerprint)
	before := record.standing()
	record.seen(now)
	add(&record.deaths, endpoint)
	record.convicted = record.convicted || r.options.Rule.convicts(len(record.open()), alone)
	r.changed(record)
	after := record.standing()
	r.mu.Unlock()
	r.tell(fingerprint, endpoint, before, after)
	if r.options.Spread != nil {
		r.options.Spread(r.NewsOf(fingerprint))
	}
}

func (r *Registry) tell(fingerprint Fingerprint, endpoint string, before, after Standing) {
	if before == after {
		return
	}
	told := event.RequestSuspected
	if after == Convicted {
		told = event.RequestConvicted
	}
	told.Log(context.Background(), r.logger, slog.String("fingerprint", hex.EncodeToString(fingerprint[:])), slog.String("endpoint", endpoint))
}

// obtain returns the record of a request, made if need be; r.mu is held.
func (r *Registry) obtain(fingerprint Fingerprint) *record {
	if record := r.lookup(fingerprint); record != nil {
		return record
	}
	made := &record{}
	r.records.Add(fingerprint, made)
	return made
}

func (r *Registry) changed(record *record) {
	r.changes++
	record.change = r.changes
}
