// Package route is the aggregate of the operator's configuration: which service
// serves a request, what may be repeated and how long it may take. A newer
// version replaces an older one and never the other way round.
package route

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind says what may be repeated.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Stream requests are answered by a series of events.
	Stream
	// Batch routes take submissions.
	Batch
)

// Target is one service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest that a request may be kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer is of full use.
	Target time.Duration
	// RunDeadline is when all results of a submission are due, from its arrival.
	RunDeadline time.Duration
	// MaxQueue is when an item may be given up, from its submission's arrival.
	MaxQueue time.Duration
	// Priority is the rank of the route; zero is the most urgent.
	Priority int
	Services []Target
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Resumable: a stream may go on at another endpoint.
	Resumable bool
	// SingleVersion: a text must come from one version of the weights.
	SingleVersion bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Batch || r.Kind == Stream && r.Resumable
}

// ServiceFor picks the service of a request by the weights of the route; the
// same key gets the same service.
func (r *Route) ServiceFor(key string) string {
	total := 0
	for _, target := range r.Services {
		total += max(target.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key)) // never fails
	point := int(hash.Sum32() % uint32(total))
	for _, target := range r.Services {
		point -= max(target.Weight, 0)
		if point < 0 {
			return target.Service
		}
	}
	return ""
}

// Service is a named group of endpoints.
type Service struct {
	Name string
	// MaxConns bounds the connections that an endpoint takes of all callers.
	MaxConns int
	// Engine: its endpoints generate text with models whose weights change.
	Engine bool
	Models []string
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version int64
	// Routes are all routes, in the order of the operator.
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
	byHost   map[string][]*Route
}

// New returns a configuration with its routes in order of matching.
func New(version int64, routes []*Route, services []Service, limits Limits) *Configuration {
	c := &Configuration{Version: version, Routes: routes, Limits: limits, Services: map[string]Service{}, byHost: map[string][]*Route{}}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, ofHost := range c.byHost {
		slices.SortStableFunc(ofHost, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of the host with the longest prefix of the path.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Holder holds the configuration in force. It is safe for concurrent use; the
// zero value holds none.
type Holder struct {
	current atomic.Pointer[Configuration]
	mu      sync.Mutex
	watch   []func(*Configuration)
	// first is closed once a configuration is in force; nil while nobody waits.
	first chan struct{}
}

// Load returns the configuration in force, or nil.
func (h *Holder) Load() *Configuration { return h.current.Load() }

// Offer puts a configuration in force unless a newer one is; it reports whether
// it did.
func (h *Holder) Offer(c *Configuration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	h.current.Store(c)
	if h.first != nil {
		close(h.first)
		h.first = nil
	}
	for _, tell := range h.watch {
		tell(c)
	}
	return true
}

// Await returns the configuration in force. It waits for the first one until ctx
// ends, and returns nil then.
func (h *Holder) Await(ctx context.Context) *Configuration {
	h.mu.Lock()
	if h.current.Load() == nil && h.first == nil {
		h.first = make(chan struct{})
	}
	first := h.first
	h.mu.Unlock()
	if first != nil {
		select {
		case <-first:
		case <-ctx.Done():
		}
	}
	return h.current.Load()
}

// OnChange calls tell with each new configuration.
func (h *Holder) OnChange(tell func(*Configuration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watch = append(h.watch, tell)
}
