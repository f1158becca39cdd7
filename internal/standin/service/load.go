package service

import (
	"net/http"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// adjustLoad adds change to a load counter and appends a report of the new load.
func (s *Server) adjustLoad(counter *int, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter += change
	s.reports = append(s.reports, s.reportLocked())
	s.trimLocked()
}

func (s *Server) reportLocked() engine.LoadReport {
	return engine.LoadReport{Running: s.running, Waiting: s.waiting, Slots: s.options.Slots, ReportedAt: time.Now()}
}

// trimLocked removes the reports before the newest one that is older than ReportLag.
func (s *Server) trimLocked() {
	limit := time.Now().Add(-s.options.ReportLag)
	for len(s.reports) > 1 && !s.reports[1].ReportedAt.After(limit) {
		s.reports = s.reports[1:]
	}
}

// Load returns the load report that callers receive. It is ReportLag old, except
// that Leaving is current.
func (s *Server) Load() engine.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trimLocked()
	report := engine.LoadReport{Slots: s.options.Slots, ReportedAt: time.Now()}
	if len(s.reports) > 0 && !s.reports[0].ReportedAt.After(time.Now().Add(-s.options.ReportLag)) {
		report = s.reports[0]
	}
	report.Leaving = s.leaving
	return report
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, s.Load())
}
