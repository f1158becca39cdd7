package fleet

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
)

// returnGrace is how long after an outage of the store endpoints may take to
// come back into the directory before they count as gone.
const returnGrace = 2200 * time.Millisecond

// Directory holds the endpoints. One goroutine changes it; any may read.
type Directory struct {
	logger *slog.Logger
	now    func() time.Time

	mu        sync.Mutex
	endpoints map[string]*Endpoint
	// missing are endpoints whose entry went while the store was away.
	missing map[string]struct{}
	away    bool
	// graceTill ends the time in which missing endpoints may come back.
	graceTill time.Time

	view atomic.Pointer[view]
	// Changed is called after each change of the view; it may be nil.
	Changed func()
}

// view is an immutable picture of all endpoints by service.
type view struct {
	byService map[string][]*Endpoint
	byID      map[string]*Endpoint
}

// NewDirectory returns an empty directory.
func NewDirectory(logger *slog.Logger) *Directory {
	d := &Directory{logger: logger, now: time.Now, endpoints: map[string]*Endpoint{}, missing: map[string]struct{}{}}
	d.view.Store(&view{})
	return d
}

// Set adds or replaces one endpoint.
func (d *Directory) Set(e *Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.endpoints[e.ID]
	if old != nil && old.Born == e.Born {
		e.Live = old.Live
	}
	if e.Live == nil {
		e.Live = &Live{}
	}
	delete(d.missing, e.ID)
	d.endpoints[e.ID] = e
	d.logChange(old, e)
}

func (d *Directory) logChange(old, e *Endpoint) {
	attrs := []slog.Attr{slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.String("address", e.Address)}
	switch {
	case e.Draining && (old == nil || !old.Draining):
		event.EndpointGone.Log(context.Background(), d.logger, append(attrs, slog.String("cause", "draining"))...)
	case !e.Draining && (old == nil || old.Draining || old.Born != e.Born):
		event.EndpointKnown.Log(context.Background(), d.logger, attrs...)
	}
}

// Remove takes one endpoint out. Around an outage of the store it stays until
// it had time to come back.
func (d *Directory) Remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.endpoints[id]; !known {
		return
	}
	if d.away || d.now().Before(d.graceTill) {
		d.missing[id] = struct{}{}
		return
	}
	d.drop(id, "removed")
}

// drop removes an endpoint; d.mu is held.
func (d *Directory) drop(id, cause string) {
	delete(d.endpoints, id)
	delete(d.missing, id)
	event.EndpointGone.Log(context.Background(), d.logger, slog.String("endpoint", id), slog.String("cause", cause))
}

// StoreLost tells that the store does not answer.
func (d *Directory) StoreLost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = true
}

// StoreRegained tells that the store answers again.
func (d *Directory) StoreRegained() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = false
	d.graceTill = d.now().Add(returnGrace)
}

// Expire drops the endpoints that did not come back in time.
func (d *Directory) Expire() {
	d.mu.Lock()
	due := !d.away && len(d.missing) > 0 && !d.now().Before(d.graceTill)
	if due {
		for id := range d.missing {
			d.drop(id, "not back after an outage of the store")
		}
	}
	d.mu.Unlock()
	if due {
		d.Publish()
	}
}

// Publish shows the changes to readers.
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

// Of returns the endpoints of a service, draining ones included. The slice is
// not to be changed.
func (d *Directory) Of(service string) []*Endpoint { return d.view.Load().byService[service] }

// Find returns one endpoint by its id.
func (d *Directory) Find(id string) (*Endpoint, bool) {
	e, ok := d.view.Load().byID[id]
	return e, ok
}

// Len returns the number of endpoints.
func (d *Directory) Len() int { return len(d.view.Load().byID) }
