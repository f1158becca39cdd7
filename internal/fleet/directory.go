package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
)

// returnGrace is how long after a store outage endpoints may take to register again
// before they are dropped from the directory.
const returnGrace = 2200 * time.Millisecond

// Directory stores the known endpoints. One goroutine changes it; any goroutine may
// read the published view.
type Directory struct {
	logger *slog.Logger
	now    func() time.Time

	mu        sync.Mutex
	endpoints map[string]*Endpoint
	// missing are the IDs of endpoints whose records were deleted during or shortly
	// after a store outage.
	missing map[string]struct{}
	// departed are the endpoints that said they are leaving and were dropped, by ID. A record
	// of the same process may return after a store outage.
	departed  map[string]*Endpoint
	storeLost bool
	// graceUntil is when the time for missing endpoints to return ends.
	graceUntil time.Time

	view atomic.Pointer[view]
	// Changed is called after each change of the view; it may be nil.
	Changed func()
}

// view is an immutable snapshot of all endpoints, by service and by ID.
type view struct {
	byService map[string][]*Endpoint
	byID      map[string]*Endpoint
}

// NewDirectory returns an empty directory.
func NewDirectory(logger *slog.Logger) *Directory {
	d := &Directory{logger: logger, now: time.Now, endpoints: map[string]*Endpoint{}, missing: map[string]struct{}{}, departed: map[string]*Endpoint{}}
	d.view.Store(&view{})
	return d
}

// Set adds or replaces one endpoint.
func (d *Directory) Set(e *Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.endpoints[e.ID]
	previous := old
	if previous == nil {
		previous = d.departed[e.ID]
	}
	if previous != nil && previous.sameProcess(e) {
		e.Live = previous.Live
	}
	if e.Live == nil {
		e.Live = &Live{}
	}
	d.noteLeaving(old, e)
	if e.Live.left == nil {
		e.Live.left = func() { d.saidLeaving(e.ID) }
	}
	delete(d.missing, e.ID)
	delete(d.departed, e.ID)
	d.endpoints[e.ID] = e
	d.logChange(old, e)
}

// noteLeaving sets when an endpoint leaves. An earlier time that the same process announced
// holds: a record may arrive again. The caller must lock d.mu.
func (d *Directory) noteLeaving(old, e *Endpoint) {
	if e.LeavesIn <= 0 {
		return
	}
	e.LeavesAt = d.now().Add(e.LeavesIn)
	if old != nil && old.sameProcess(e) && !old.LeavesAt.IsZero() {
		if old.LeavesAt.Before(e.LeavesAt) {
			e.LeavesAt = old.LeavesAt
		}
		return
	}
	event.EndpointReclaimed.Log(context.Background(), d.logger, slog.String("endpoint", e.ID), slog.String("service", e.Service),
		slog.String("failure_domain", e.Zone), slog.Int64("leaves_ms", e.LeavesIn.Milliseconds()))
}

func (d *Directory) logChange(old, e *Endpoint) {
	attrs := []slog.Attr{slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.String("address", e.Address)}
	switch {
	case e.Draining && (old == nil || !old.Draining):
		event.EndpointNotSelectable.Log(context.Background(), d.logger, append(attrs, slog.String("cause", "draining"))...)
	case !e.Leaving() && (old == nil || old.Draining || !old.sameProcess(e)):
		event.EndpointSelectable.Log(context.Background(), d.logger, attrs...)
	}
}

// saidLeaving handles an answer in which an endpoint says for the first time that it is
// leaving.
func (d *Directory) saidLeaving(id string) {
	event.EndpointNotSelectable.Log(context.Background(), d.logger, slog.String("endpoint", id), slog.String("cause", "its answer says that it is leaving"))
	if d.Changed != nil {
		d.Changed()
	}
}

// Remove removes one endpoint. During and shortly after a store outage the endpoint
// is kept until it has had time to register again.
func (d *Directory) Remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.endpoints[id]; !known {
		return
	}
	if d.storeLost || d.now().Before(d.graceUntil) {
		d.missing[id] = struct{}{}
		return
	}
	d.drop(id, "removed")
}

// drop removes an endpoint. The caller must lock d.mu.
func (d *Directory) drop(id, cause string) {
	if e := d.endpoints[id]; e.Live.leaving.Load() {
		d.remember(e)
	}
	delete(d.endpoints, id)
	delete(d.missing, id)
	event.EndpointNotSelectable.Log(context.Background(), d.logger, slog.String("endpoint", id), slog.String("cause", cause))
}

// maxDeparted bounds the number of remembered endpoints that left.
const maxDeparted = 4096

// remember keeps an endpoint that said it is leaving. A full memory loses an arbitrary
// entry. The caller must lock d.mu.
func (d *Directory) remember(e *Endpoint) {
	for other := range d.departed {
		if len(d.departed) < maxDeparted {
			break
		}
		delete(d.departed, other)
	}
	d.departed[e.ID] = e
}

// StoreLost records that the store does not respond.
func (d *Directory) StoreLost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeLost = true
}

// StoreRegained records that the store responds again.
func (d *Directory) StoreRegained() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeLost = false
	d.graceUntil = d.now().Add(returnGrace)
}

// Expire drops the missing endpoints that did not return in time.
func (d *Directory) Expire() {
	d.mu.Lock()
	due := !d.storeLost && len(d.missing) > 0 && !d.now().Before(d.graceUntil)
	if due {
		for id := range d.missing {
			d.drop(id, "not registered again after a store outage")
		}
	}
	d.mu.Unlock()
	if due {
		d.Publish()
	}
}

// Publish makes the changes visible to readers.
func (d *Directory) Publish() {
	d.mu.Lock()
	v := &view{byService: map[string][]*Endpoint{}, byID: make(map[string]*Endpoint, len(d.endpoints))}
	for id, e := range d.endpoints {
		v.byID[id] = e
		v.byService[e.Service] = append(v.byService[e.Service], e)
	}
	d.view.Store(v)
	d.mu.Unlock()
	if d.Changed != nil {
		d.Changed()
	}
}

// Of returns the endpoints of a service, including draining ones. The slice must
// not be modified.
func (d *Directory) Of(service string) []*Endpoint { return d.view.Load().byService[service] }

// Find returns the endpoint with the given ID.
func (d *Directory) Find(id string) (*Endpoint, bool) {
	e, ok := d.view.Load().byID[id]
	return e, ok
}

// Len returns the number of endpoints.
func (d *Directory) Len() int { return len(d.view.Load().byID) }

// All returns the endpoints of all services, ordered by service and ID.
func (d *Directory) All() []*Endpoint {
	v := d.view.Load()
	all := make([]*Endpoint, 0, len(v.byID))
	for _, e := range v.byID {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Endpoint) int { return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID)) })
	return all
}
