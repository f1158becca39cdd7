// Package list is a stand-in for the platform's lagging list of instances.
//
// Protocol: GET /v1/instances answers a listclient.Reply as the list was Lag
// ago; with ?since=CURSOR it tells only what changed since that reply, as long
// as it remembers. Control: POST /register with a keyvalue.Instance adds, renews or
// replaces one; POST /deregister and POST /leaving with {"id": ID} remove one or
// mark it; GET /instances shows the truth without lag; and the faults of
// package fault. A registration that is not renewed within the time to live is
// dropped, if one is set.
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

// Options of a Server. The zero value works.
type Options struct {
	// Lag is how long a change takes to show.
	Lag time.Duration
	// TTL drops registrations that were not renewed for so long; zero is never.
	TTL time.Duration
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Server is the stand-in.
type Server struct {
	// Gate holds the faults.
	Gate    fault.Gate
	options Options

	mu      sync.Mutex
	rows    map[string]row
	changes []change // those that do not show yet, in order of time
	visible map[string]keyvalue.Instance
	shown   history
}

type row struct {
	instance keyvalue.Instance
	renewed  time.Time
}

type change struct {
	at       time.Time
	instance keyvalue.Instance
	removed  bool
}

// Reference names one instance in a control call.
type Reference struct {
	ID string `json:"id"`
}

// New returns an empty list.
func New(options Options) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Server{options: options, rows: map[string]row{}, visible: map[string]keyvalue.Instance{}, shown: newHistory()}
}

// Register adds, renews or replaces an instance. A renewal does not take back
// that it is leaving.
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

// Truth returns the instances without lag, in order of ID.
func (s *Server) Truth() []keyvalue.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	all := []keyvalue.Instance{}
	for _, r := range s.rows {
		all = append(all, r.instance)
	}
	return ordered(all)
}

// Visible returns the instances as callers see them, in order of ID.
func (s *Server) Visible() []keyvalue.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	s.showLocked()
	all := []keyvalue.Instance{}
	for _, instance := range s.visible {
		all = append(all, instance)
	}
	return ordered(all)
}

// reply answers a call that names a cursor, or none.
func (s *Server) reply(since string) listclient.Reply {
	all := s.Visible()
	s.mu.Lock()
	defer s.mu.Unlock()
	if changes, known := s.shown.since(since); known {
		return partial(changes, s.shown.cursor())
	}
	return listclient.Reply{Instances: all, Cursor: s.shown.cursor()}
}

// partial tells the last state of each instance that changed.
func partial(changes []change, cursor string) listclient.Reply {
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

func ordered(all []keyvalue.Instance) []keyvalue.Instance {
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

func (s *Server) recordLocked(c change) {
	c.at = s.options.Now()
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

// showLocked applies the changes that are old enough.
func (s *Server) showLocked() {
	limit := s.options.Now().Add(-s.options.Lag)
	for len(s.changes) > 0 && !s.changes[0].at.After(limit) {
		c := s.changes[0]
		s.changes = s.changes[1:]
		s.shown.add(c)
		if c.removed {
			delete(s.visible, c.instance.ID)
		} else {
			s.visible[c.instance.ID] = c.instance
		}
	}
}

// Handler returns the list's interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listclient.PathInstances, func(w http.ResponseWriter, r *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.reply(r.URL.Query().Get(listclient.ParameterSince)))
	})
	return s.Gate.Wrap(mux)
}

// Control returns the control interface.
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
	mux.HandleFunc("POST /deregister", s.onReference(s.Deregister))
	mux.HandleFunc("POST /leaving", s.onReference(s.MarkLeaving))
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, listclient.Reply{Instances: s.Truth()})
	})
	return mux
}

func (s *Server) onReference(act func(id string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var reference Reference
		if jsonhttp.Read(w, r, &reference) {
			act(reference.ID)
			w.WriteHeader(http.StatusNoContent)
		}
	}
}
