// Package list is a stand-in for the platform's list of instances, which publishes
// changes with a lag.
//
// GET /v1/instances returns a listclient.Reply with the state of the list Lag ago.
// With ?since=CURSOR the reply contains only the changes since the reply with that
// cursor, or the full list if the stored history does not go back that far.
//
// Control interface: POST /register with a keyvalue.Instance adds, renews or replaces
// an instance; POST /deregister and POST /leaving with {"id": ID} remove an instance
// or mark it as leaving; GET /instances returns the current state without lag. The
// faults of package fault are offered too. If Options.TTL is set, a registration that
// is not renewed within that time is removed.
package list

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/listclient"
	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// Options configure a Server. The zero value is valid.
type Options struct {
	// Lag is the time until a change becomes visible to callers.
	Lag time.Duration
	// TTL is the time after which a registration that is not renewed is removed;
	// zero means never.
	TTL time.Duration
	// Now returns the current time; time.Now if nil.
	Now func() time.Time
}

// Server is a list of instances with a publication lag.
type Server struct {
	// Gate applies the injected faults.
	Gate    fault.Gate
	options Options

	mu        sync.Mutex
	rows      map[string]row
	changes   []change // not yet visible, in order of time
	visible   map[string]keyvalue.Instance
	published history
}

type row struct {
	instance keyvalue.Instance
	renewed  time.Time
}

type change struct {
	recordedAt time.Time
	instance   keyvalue.Instance
	removed    bool
}

// Reference identifies an instance in a control call.
type Reference struct {
	ID string `json:"id"`
}

// New returns an empty list.
func New(options Options) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Server{options: options, rows: map[string]row{}, visible: map[string]keyvalue.Instance{}, published: newHistory()}
}

// Register adds, renews or replaces an instance. An instance that is marked as
// leaving remains so when it is renewed with the same address.
func (s *Server) Register(instance keyvalue.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.rows[instance.ID]
	instance.Leaving = instance.Leaving || exists && old.instance.Leaving && old.instance.Address == instance.Address
	s.rows[instance.ID] = row{instance: instance, renewed: s.options.Now()}
	if !exists || old.instance != instance {
		s.recordLocked(change{instance: instance})
	}
}

// Deregister removes an instance.
func (s *Server) Deregister(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(id)
}

// MarkLeaving marks an instance as leaving.
func (s *Server) MarkLeaving(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	marked, ok := s.rows[id]
	if !ok || marked.instance.Leaving {
		return
	}
	marked.instance.Leaving = true
	s.rows[id] = marked
	s.recordLocked(change{instance: marked.instance})
}

// Current returns the current instances without lag, in order of ID.
func (s *Server) Current() []keyvalue.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	instances := []keyvalue.Instance{}
	for _, r := range s.rows {
		instances = append(instances, r.instance)
	}
	return sortByID(instances)
}

// Visible returns the instances that are visible to callers, in order of ID.
func (s *Server) Visible() []keyvalue.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	s.publishLocked()
	instances := []keyvalue.Instance{}
	for _, instance := range s.visible {
		instances = append(instances, instance)
	}
	return sortByID(instances)
}

// reply returns the changes since a cursor, or the full list if the cursor is empty
// or unknown.
func (s *Server) reply(since string) listclient.Reply {
	instances := s.Visible()
	s.mu.Lock()
	defer s.mu.Unlock()
	if changes, known := s.published.since(since); known {
		return partialReply(changes, s.published.cursor())
	}
	return listclient.Reply{Instances: instances, Cursor: s.published.cursor()}
}

// partialReply returns a reply with the last state of each instance that changed.
func partialReply(changes []change, cursor string) listclient.Reply {
	last := map[string]change{}
	for _, c := range changes {
		last[c.instance.ID] = c
	}
	reply := listclient.Reply{Instances: []keyvalue.Instance{}, Cursor: cursor, Partial: true}
	for id, c := range last {
		if c.removed {
			reply.Removed = append(reply.Removed, id)
			continue
		}
		reply.Instances = append(reply.Instances, c.instance)
	}
	return reply
}

func sortByID(instances []keyvalue.Instance) []keyvalue.Instance {
	sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	return instances
}

// recordLocked queues a change, which becomes visible after the lag.
func (s *Server) recordLocked(c change) {
	c.recordedAt = s.options.Now()
	s.changes = append(s.changes, c)
}

func (s *Server) removeLocked(id string) {
	old, ok := s.rows[id]
	if !ok {
		return
	}
	delete(s.rows, id)
	s.recordLocked(change{instance: old.instance, removed: true})
}

// expireLocked removes the registrations that were not renewed within the TTL.
func (s *Server) expireLocked() {
	if s.options.TTL == 0 {
		return
	}
	for id, r := range s.rows {
		if s.options.Now().Sub(r.renewed) > s.options.TTL {
			s.removeLocked(id)
		}
	}
}

// publishLocked makes the changes visible that are older than the lag.
func (s *Server) publishLocked() {
	limit := s.options.Now().Add(-s.options.Lag)
	for len(s.changes) > 0 && !s.changes[0].recordedAt.After(limit) {
		c := s.changes[0]
		s.changes = s.changes[1:]
		s.published.add(c)
		if c.removed {
			delete(s.visible, c.instance.ID)
		} else {
			s.visible[c.instance.ID] = c.instance
		}
	}
}

// Handler returns the HTTP interface of the list.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listclient.PathInstances, func(w http.ResponseWriter, r *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.reply(r.URL.Query().Get(listclient.ParameterSince)))
	})
	return s.Gate.Wrap(mux)
}

// Control returns the HTTP control interface.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	s.Gate.Register(mux)
	mux.HandleFunc("POST /register", func(w http.ResponseWriter, r *http.Request) {
		var instance keyvalue.Instance
		if jsonhttp.Read(w, r, &instance) {
			s.Register(instance)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /deregister", s.referenceHandler(s.Deregister))
	mux.HandleFunc("POST /leaving", s.referenceHandler(s.MarkLeaving))
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, listclient.Reply{Instances: s.Current()})
	})
	return mux
}

// referenceHandler returns a handler that decodes a Reference and calls act with its
// ID.
func (s *Server) referenceHandler(act func(id string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var reference Reference
		if jsonhttp.Read(w, r, &reference) {
			act(reference.ID)
			w.WriteHeader(http.StatusNoContent)
		}
	}
}
