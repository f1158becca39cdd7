// Package route contains the operator's configuration: which service serves a
// request, which requests may be repeated and how long they may take. A
// configuration is only ever replaced by a newer version.
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

	"github.com/comfreyfront/comfreyfront/internal/account"
)

// Kind determines whether and how a request may be repeated.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Stream requests are answered by a series of events.
	Stream
	// Batch routes accept submissions.
	Batch
)

// Target is one service of a route, with its weight in the distribution of
// requests.
type Target struct {
	Service string
	Weight  int
}

// Route determines how requests of one host and path prefix are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time that a caller is kept waiting for an answer.
	Timeout time.Duration
	// Target is the target latency: the time within which an answer has its full
	// value.
	Target time.Duration
	// RunDeadline is the time from the arrival of a submission until all its
	// results are due.
	RunDeadline time.Duration
	// MaxQueue is the time from the arrival of a submission after which its items
	// may be abandoned.
	MaxQueue time.Duration
	// Priority orders the routes; zero is the most urgent.
	Priority int
	Services []Target
	// MaxAttempts is the largest number of attempts for one request. Attempts that an
	// endpoint refused without running the request are not counted.
	MaxAttempts int
	// Resumable allows a stream to be resumed at another endpoint.
	Resumable bool
	// SingleVersion requires that a text is generated with a single version of the
	// weights.
	SingleVersion bool
	// Public routes serve requests without an account's key.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Batch || r.Kind == Stream && r.Resumable
}

// ServiceFor picks the service of a request according to the weights of the route's
// targets. The same key always gets the same service.
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
	// MaxConns is the number of connections that an endpoint accepts from all
	// callers together.
	MaxConns int
	// Engine is true if the service's endpoints generate text with models whose
	// weights change.
	Engine bool
	Models []string
	// MemoryTokens is the number of tokens that an engine's memory holds; zero means unknown.
	MemoryTokens int64
	// Scaling is nil if the number of the service's endpoints is fixed.
	Scaling *Scaling
}

// Scaling bounds the number of endpoints of a service that the system may order in each
// failure domain, and gives their prices.
type Scaling struct {
	// Min and Max bound the number in one failure domain, ordinary and reclaimable
	// endpoints together.
	Min, Max int
	// StartTime is how long an ordered endpoint takes until it serves.
	StartTime time.Duration
	// ReclaimablePrice is the price of an endpoint that may be reclaimed at short notice, as
	// a fraction of an ordinary one; zero means that there are none.
	ReclaimablePrice float64
	// DomainPrices is the price of an endpoint in each failure domain, relative to the
	// others.
	DomainPrices map[string]float64
}

// Limits bound the size of callers' requests and how long they may take to arrive.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version int64
	// Routes are all routes, in the operator's order.
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts. It is nil if the configuration has none: then no
	// request needs a key.
	Accounts *account.Directory
	byHost   map[string][]*Route
}

// New returns a configuration whose routes are indexed for matching.
func New(version int64, routes []*Route, services []Service, limits Limits) *Configuration {
	c := &Configuration{Version: version, Routes: routes, Limits: limits, Services: map[string]Service{}, byHost: map[string][]*Route{}}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, hostRoutes := range c.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// PublicSubmissions reports whether submissions are accepted from callers without a key on a
// route of the host.
func (c *Configuration) PublicSubmissions(host string) bool {
	return slices.ContainsFunc(c.routesOf(host), func(r *Route) bool { return r.Kind == Batch && r.Public })
}

// routesOf returns the routes of a host, those with the longest prefix first.
func (c *Configuration) routesOf(host string) []*Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	return c.byHost[strings.ToLower(host)]
}

// Match returns the route of the host with the longest prefix that matches the
// path.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	for _, r := range c.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Holder stores the configuration in force. It is safe for concurrent use; the zero
// value has no configuration.
type Holder struct {
	current  atomic.Pointer[Configuration]
	mu       sync.Mutex
	onChange []func(*Configuration)
	// first is closed once a configuration is in force. It is nil while no caller
	// waits.
	first chan struct{}
}

// Load returns the configuration in force, or nil if there is none.
func (h *Holder) Load() *Configuration { return h.current.Load() }

// Offer puts a configuration in force unless one of the same or a newer version is.
// It reports whether it did.
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
	for _, callback := range h.onChange {
		callback(c)
	}
	return true
}

// Await returns the configuration in force. If there is none, it waits for the
// first one until ctx ends, and then returns nil.
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

// OnChange registers a function that is called with each new configuration.
func (h *Holder) OnChange(callback func(*Configuration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = append(h.onChange, callback)
}
