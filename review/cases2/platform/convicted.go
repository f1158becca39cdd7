package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case. A crash lasts as long as the site's sheet says.
const (
	lookupWork     = 200 * time.Millisecond
	lookupInterval = 1400 * time.Millisecond
	crashLength    = 4500 * time.Millisecond
	// equalClients is the number of clients that ask a node for the same record at once.
	equalClients = 2
	// lookupRounds is the number of rounds of requests. The replica crashes in the first ones, as
	// soon as it runs two equal requests.
	lookupRounds = 20
	// settledRoute is how long after its confirmation a configuration is in force everywhere.
	settledRoute = 2 * time.Second
	// leastRequests and leastShare are the bounds of the rule.
	leastRequests = 20
	leastShare    = 0.25
)

func init() { cases["convicted"] = caseCrashUnderEqualRequests }

// served counts the requests on a route and those that were served.
type served struct {
	mu       sync.Mutex
	asked    int
	answered int
	statuses map[int]int
}

func (s *served) count(got reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	s.statuses[got.status]++
	if got.status == http.StatusOK {
		s.answered++
	}
}

func (s *served) share() float64 { return float64(s.answered) / float64(max(s.asked, 1)) }

// crashOnce makes a replica crash once, while it runs at least two equal requests.
type crashOnce struct {
	mu      sync.Mutex
	armed   bool
	running map[*replica]int
}

// begin counts a request that begins to run and reports whether the replica has to crash.
func (c *crashOnce) begin(r *replica) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[r]++
	if !c.armed || c.running[r] < 2 {
		return false
	}
	c.armed = false
	return true
}

func (c *crashOnce) end(r *replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[r]--
}

// caseCrashUnderEqualRequests: one replica crashes while it runs two lookups that are equal.
func caseCrashUnderEqualRequests(w *world, trouble bool) (outcome, error) {
	crash := &crashOnce{armed: trouble, running: map[*replica]int{}}
	serve := func(r *replica, writer http.ResponseWriter, request *http.Request) {
		readBody(request)
		if strings.HasPrefix(request.URL.Path, "/new/") {
			defer crash.end(r)
			if crash.begin(r) {
				w.note("replica %s crashes while it runs two requests", r.id)
				r.crash(crashLength)
			}
		}
		select {
		case <-time.After(lookupWork):
		case <-request.Context().Done():
			return
		}
		r.head(writer, request)
		fmt.Fprint(writer, "record")
	}
	if err := w.store.configure(1, []object{lookupRoute("r-look", "/look/")}, services()); err != nil {
		return outcome{}, err
	}
	for i := range 4 {
		if _, err := w.startReplica(plainService, fmt.Sprintf("s-%d", i), fmt.Sprintf("zone-%d", i), serve); err != nil {
			return outcome{}, err
		}
	}
	if err := w.startNodes("front-1", "front-2", "front-3", "front-4", "front-5", "front-6"); err != nil {
		return outcome{}, err
	}
	if err := w.store.configure(2, []object{lookupRoute("r-look", "/look/"), lookupRoute("r-new", "/new/")}, services()); err != nil {
		return outcome{}, err
	}
	w.note("version 2 of the configuration adds the route /new/")
	time.Sleep(settledRoute)
	first, added := &served{statuses: map[int]int{}}, &served{statuses: map[int]int{}}
	for round := range lookupRounds {
		next := time.Now().Add(lookupInterval)
		askRound(w, round, first, added)
		time.Sleep(time.Until(next))
	}
	text := fmt.Sprintf("first route: %d of %d served; added route: %d of %d served, statuses %v",
		first.answered, first.asked, added.answered, added.asked, added.statuses)
	broken := added.asked >= leastRequests && added.share() < leastShare*first.share()
	return outcome{broken: broken, text: text}, nil
}

// lookupRoute returns an idempotent route to the plain replicas.
func lookupRoute(name, prefix string) object {
	return object{"name": name, "host": host, "prefix": prefix, "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 1000,
		"priority": 2, "service": plainService, "max_attempts": 2}
}

// askRound makes some clients ask each node in turn for the same record by the added route, and
// one client for a record of its own by the first route.
func askRound(w *world, round int, first, added *served) {
	for _, n := range w.nodes {
		var clients sync.WaitGroup
		for client := range equalClients {
			clients.Go(func() {
				id := fmt.Sprintf("n%03d%s%d", round, n.name, client)
				got := send(n, http.MethodGet, "/new/well-17", id, 1500*time.Millisecond, nil, nil)
				w.note("GET /new/well-17 at %s: status %d", n.name, got.status)
				added.count(got)
			})
		}
		clients.Go(func() {
			id := fmt.Sprintf("l%03d%s", round, n.name)
			first.count(send(n, http.MethodGet, "/look/"+id, id, 1500*time.Millisecond, nil, nil))
		})
		clients.Wait()
	}
}
