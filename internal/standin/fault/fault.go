// Package fault injects faults into the stand-ins. A Gate wraps a stand-in's
// handler and applies the faults that are set through its control routes.
//
// Control protocol (JSON over HTTP): PUT /faults with a Fault replaces the
// faults of one client (Fault.Client, or all clients when it is empty), GET
// /faults lists them, and DELETE /faults clears them all and resumes frozen calls.
package fault

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// HeaderClientID is the header that identifies the client of a call, so that
// faults can be limited to one client.
const HeaderClientID = "X-Client-Id"

// ClientOf returns the client of a call: the value of HeaderClientID, or the user
// agent for protocols without that header.
func ClientOf(r *http.Request) string {
	if client := r.Header.Get(HeaderClientID); client != "" {
		return client
	}
	return r.UserAgent()
}

// Fault is a set of faults for one client or for all. The zero value injects none.
type Fault struct {
	// Client limits the faults to calls of this client; see ClientOf. Empty
	// applies them to all clients.
	Client string `json:"client,omitempty"`
	// Down answers every call with 503, without effect.
	Down bool `json:"down,omitempty"`
	// Drop closes the connection of every call, without effect or response.
	Drop bool `json:"drop,omitempty"`
	// Freeze blocks every call, without effect, until the fault is cleared.
	Freeze bool `json:"freeze,omitempty"`
	// SlowMillis is the delay, in milliseconds, before each call takes effect.
	SlowMillis int64 `json:"slow_ms,omitempty"`
	// RefuseNext is the number of next calls to answer with 503, without effect.
	RefuseNext int `json:"refuse_next,omitempty"`
	// LoseReplies is the number of next writes that take effect but whose
	// connection is closed instead of answered.
	LoseReplies int `json:"lose_replies,omitempty"`
}

// Gate applies the configured faults to the calls of one stand-in. The zero value
// has no faults.
type Gate struct {
	mu      sync.Mutex
	faults  map[string]*Fault
	changed chan struct{}
	// Refuse answers a refused call; if nil, the answer is 503 with no body.
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
	g.notifyLocked()
}

// Clear removes all faults.
func (g *Gate) Clear() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = nil
	g.notifyLocked()
}

func (g *Gate) notifyLocked() {
	if g.changed != nil {
		close(g.changed)
	}
	g.changed = nil
}

// List returns the faults that are set, in no particular order.
func (g *Gate) List() []Fault {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := []Fault{}
	for _, f := range g.faults {
		list = append(list, *f)
	}
	return list
}

// Wrap returns a handler that applies all faults but LoseReplies before it calls
// next.
func (g *Gate) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.Pass(w, r) {
			next.ServeHTTP(w, r)
		}
	})
}

// Pass applies the faults to one call, and reports whether the handler must serve it.
// If not, the call has been answered or its context has ended. Pass panics with
// http.ErrAbortHandler to close the connection.
func (g *Gate) Pass(w http.ResponseWriter, r *http.Request) bool {
	client := ClientOf(r)
	if err := g.waitWhileFrozen(r.Context(), client); err != nil {
		panic(http.ErrAbortHandler)
	}
	if g.matchAny(client, func(f *Fault) bool { return f.Drop }) {
		panic(http.ErrAbortHandler)
	}
	if g.matchAny(client, consumeRefusal) {
		g.refuse(w)
		return false
	}
	return g.delay(r.Context(), client)
}

// consumeRefusal reports whether a call must be refused, and decrements RefuseNext
// if it is set.
func consumeRefusal(f *Fault) bool {
	if f.RefuseNext > 0 {
		f.RefuseNext--
		return true
	}
	return f.Down
}

// LoseReply panics with http.ErrAbortHandler, which closes the connection, if the
// response to a write must be lost. Call it after the write takes effect and
// before the response is written.
func (g *Gate) LoseReply(r *http.Request) {
	consumeLostReply := func(f *Fault) bool {
		if f.LoseReplies == 0 {
			return false
		}
		f.LoseReplies--
		return true
	}
	if g.matchAny(ClientOf(r), consumeLostReply) {
		panic(http.ErrAbortHandler)
	}
}

// matchAny reports whether match holds for the faults of the client or for those of
// all clients. The predicate may modify the fault.
func (g *Gate) matchAny(client string, match func(*Fault) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range scopes(client) {
		if f, ok := g.faults[name]; ok && match(f) {
			return true
		}
	}
	return false
}

// scopes returns the keys of the faults that apply to a client; the empty key holds
// the faults of all clients.
func scopes(client string) []string {
	if client == "" {
		return []string{""}
	}
	return []string{client, ""}
}

// waitWhileFrozen blocks until no Freeze fault applies to the client or ctx ends.
func (g *Gate) waitWhileFrozen(ctx context.Context, client string) error {
	for g.matchAny(client, func(f *Fault) bool { return f.Freeze }) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.nextChange():
		}
	}
	return nil
}

// nextChange returns a channel that is closed when the faults change next.
func (g *Gate) nextChange() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

// delay waits for the longest SlowMillis that applies to the client. It returns
// false if ctx ends first.
func (g *Gate) delay(ctx context.Context, client string) bool {
	var wait time.Duration
	g.matchAny(client, func(f *Fault) bool {
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
