package balancer

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// watchReadiness checks the readiness of all entries periodically until ctx ends.
func (s *Server) watchReadiness(ctx context.Context) {
	ticker := time.NewTicker(s.options.CheckInterval)
	defer ticker.Stop()
	for {
		s.checkAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) checkAll(ctx context.Context) {
	var checks sync.WaitGroup
	for _, status := range s.Backends() {
		checks.Go(func() { s.setReady(status.Backend, s.check(ctx, status.Ready)) })
	}
	checks.Wait()
}

func (s *Server) check(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := s.checkClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

func (s *Server) setReady(backend Backend, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.backends {
		if s.backends[i].Backend == backend {
			s.backends[i].IsReady = ready
		}
	}
}

// markUnready marks an entry as not ready until its next successful check.
func (s *Server) markUnready(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.backends {
		if s.backends[i].Address == address {
			s.backends[i].IsReady = false
		}
	}
}
