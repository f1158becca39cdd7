package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// store is the stand-in of the platform's store: the project's own one, whose waiting
// watches can be cut.
type store struct {
	*memory.Store
	address string
	server  *httptest.Server

	mu      sync.Mutex
	waiting map[int]waitingWatch
	next    int
}

type waitingWatch struct {
	prefix string
	cut    context.CancelFunc
}

func newStore() *store {
	s := &store{Store: memory.New(nil), waiting: map[int]waitingWatch{}}
	handler := platformtest.StoreHandler(s.Store, nil)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platformtest.PathWatch {
			handler.ServeHTTP(w, r)
			return
		}
		ctx, cut := context.WithCancel(r.Context())
		defer cut()
		defer s.wait(r.URL.Query().Get("prefix"), cut)()
		handler.ServeHTTP(w, r.WithContext(ctx)) // a watch that was cut ends without an answer
	}))
	s.address = strings.TrimPrefix(s.server.URL, "http://")
	return s
}

// wait registers a waiting watch and returns a function that removes it.
func (s *store) wait(prefix string, cut context.CancelFunc) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := s.next
	s.waiting[id] = waitingWatch{prefix: prefix, cut: cut}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, id)
	}
}

// cutWatches cuts the watches of a prefix that are waiting, and returns their number.
func (s *store) cutWatches(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, w := range s.waiting {
		if w.prefix == prefix {
			w.cut()
			count++
		}
	}
	return count
}

func (s *store) close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// object is a JSON object.
type object map[string]any

// put writes a record as the operator, a trainer or a replica does.
func (s *store) put(key string, value object) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("record %s: %w", key, err)
	}
	s.Write(key, encoded)
	return nil
}

// host is the host of all routes.
const host = "review.example"

// configure writes the operator's configuration.
func (s *store) configure(version int, routes []object, services []object) error {
	return s.put("op/config", object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// Services and the model of the deployments.
const (
	plainService  = "register-app"
	engineService = "draft-lm"
	modelName     = "draft"
)

// services returns the services of a configuration.
func services() []object {
	return []object{
		{"name": engineService, "health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false,
			"engine": object{"slots": 8, "kv_capacity": 47695, "token_bytes": 35136, "models": []object{{"name": modelName}}}},
		{"name": plainService, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
	}
}

// Routes of the deployments.
func rolloutRoute() object {
	return object{"name": "r-rollout", "host": host, "prefix": "/rollout/", "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 400,
		"run_deadline_ms": 7500, "max_queue_s": 40, "priority": 1, "service": engineService, "max_attempts": 3, "sticky": true}
}

func rewardRoute(timeoutMS int) object {
	return object{"name": "r-reward", "host": host, "prefix": "/reward/", "kind": "idempotent", "timeout_ms": timeoutMS, "target_latency_ms": 400,
		"priority": 2, "service": plainService, "max_attempts": 4}
}

func updateRoute() object {
	return object{"name": "r-update", "host": host, "prefix": "/update/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 400,
		"priority": 2, "service": plainService, "max_attempts": 2}
}
