// Package fault makes a stand-in misbehave on command. A Gate wraps the
// stand-in's handler; its control handler sets the faults.
//
// Control protocol (JSON over HTTP): PUT /faults with a Fault replaces the
// faults of one client (Fault.Client, or all clients when it is empty), GET
// /faults lists them, DELETE /faults clears them all and lets frozen calls go on.
package fault

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// HeaderClientID names the client of a call, so that faults can be limited to it.
const HeaderClientID = "X-Client-Id"

// ClientOf returns who makes a call: HeaderClientID or, of calls whose protocol
// knows no such header, the user agent.
func ClientOf(r *http.Request) string {
	if client := r.Header.Get(HeaderClientID); client != "" {
		return client
	}
	return r.UserAgent()
}

// Fault is one set of faults. The zero value is none.
type Fault struct {
	// Client limits the faults to calls of this client, see ClientOf.
	Client string `json:"client,omitempty"`
	// Down: every call is answered with 503 and has no effect.
	Down bool `json:"down,omitempty"`
	// Drop: every call's connection is closed with no effect and no answer.
	Drop bool `json:"drop,omitempty"`
	// Freeze: every call waits, without effect, until the fault is lifted.
	Freeze bool `json:"freeze,omitempty"`
	// SlowMillis delays each call, in milliseconds, before it takes effect.
	SlowMillis int64 `json:"slow_ms,omitempty"`
	// RefuseNext: this many next calls are answered with 503 without effect.
	RefuseNext int `json:"refuse_next,omitempty"`
	// LoseReplies: this many next writes that took effect get no reply; the
	// connection is closed instead.
	LoseReplies int `json:"lose_replies,omitempty"`
}

// Gate holds the faults of one stand-in. The zero value has none.
type Gate struct {
	mu      sync.Mutex
	faults  map[string]*Fault
	changed chan struct{}
	// Refuse answers a refused call; nil answers a bare 503.
	Refuse func(w http.ResponseWriter)
}

// Set replaces the faults of one client.
func (g *Gate) Set(f Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults == nil {
		g.faults = map[string]*Fault{}
	}
	g.faults[f.Client] = &f
	g.wakeLocked()
}

// Clear removes all faults.
func (g *Gate) Clear() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = nil
	g.wakeLocked()
}

func (g *Gate) wakeLocked() {
	if g.changed != nil {
		close(g.changed)
	}
	g.changed = nil
}

// List returns the faults that are set.
func (g *Gate) List() []Fault {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := []Fault{}
	for _, f := range g.faults {
		all = append(all, *f)
	}
	return all
}

// Wrap returns next behind the gate: down, drop, freeze, slow and refused calls.
func (g *Gate) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.Pass(w, r) {
			next.ServeHTTP(w, r)
		}
	})
}

// Pass applies the faults to one call; false means that it has been answered.
func (g *Gate) Pass(w http.ResponseWriter, r *http.Request) bool {
	client := ClientOf(r)
	if err := g.thaw(r.Context(), client); err != nil {
		panic(http.ErrAbortHandler)
	}
	if g.any(client, func(f *Fault) bool { return f.Drop }) {
		panic(http.ErrAbortHandler)
	}
	if g.any(client, refuses) {
		g.refuse(w)
		return false
	}
	return g.delay(r.Context(), client)
}

func refuses(f *Fault) bool {
	if f.RefuseNext > 0 {
		f.RefuseNext--
		return true
	}
	return f.Down
}

// LoseReply closes the connection of a write that took effect, if the faults
// say so. Call it between the effect and the answer.
func (g *Gate) LoseReply(r *http.Request) {
	lose := func(f *Fault) bool {
		if f.LoseReplies == 0 {
			return false
		}
		f.LoseReplies--
		return true
	}
	if g.any(ClientOf(r), lose) {
		panic(http.ErrAbortHandler)
	}
}

// any applies a predicate to the client's faults and to those of all clients.
func (g *Gate) any(client string, holds func(*Fault) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range scopes(client) {
		if f, ok := g.faults[name]; ok && holds(f) {
			return true
		}
	}
	return false
}

func scopes(client string) []string {
	if client == "" {
		return []string{""}
	}
	return []string{client, ""}
}

func (g *Gate) thaw(ctx context.Context, client string) error {
	for g.any(client, func(f *Fault) bool { return f.Freeze }) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.change():
		}
	}
	return nil
}

func (g *Gate) change() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

func (g *Gate) delay(ctx context.Context, client string) bool {
	var wait time.Duration
	g.any(client, func(f *Fault) bool {
		wait = max(wait, time.Duration(f.SlowMillis)*time.Millisecond)
		return false
	})
	if wait == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (g *Gate) refuse(w http.ResponseWriter) {
	if g.Refuse != nil {
		g.Refuse(w)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Register adds the control routes to mux.
func (g *Gate) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, g.List())
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if !jsonhttp.Read(w, r, &f) {
			return
		}
		g.Set(f)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE /faults", func(w http.ResponseWriter, _ *http.Request) {
		g.Clear()
		w.WriteHeader(http.StatusNoContent)
	})
}
