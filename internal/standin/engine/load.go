package engine

import (
	"net/http"
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// samplesPerLag is the number of load samples taken per report lag.
const samplesPerLag = 8

// minSampleInterval is the minimum time between two load samples.
const minSampleInterval = 2 * time.Millisecond

// reportLocked returns a report of the current load.
func (s *Server) reportLocked() protocol.LoadReport {
	return protocol.LoadReport{
		Running:       len(s.running),
		Waiting:       len(s.waiting),
		Slots:         s.options.Slots,
		CacheUsed:     s.cache.usedFraction(),
		WeightVersion: s.weights.Active,
		ReportedAt:    time.Now(),
	}
}

// sampleLoad records load reports periodically, and keeps those of the last
// ReportLag. It does nothing without a lag.
func (s *Server) sampleLoad() {
	lag := s.options.scaled(s.options.ReportLag)
	if lag == 0 {
		return
	}
	ticker := time.NewTicker(max(lag/samplesPerLag, minSampleInterval))
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-ticker.C:
			s.sample(lag)
		}
	}
}

func (s *Server) sample(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, s.reportLocked())
	limit := time.Now().Add(-lag)
	for len(s.reports) > 1 && s.reports[1].ReportedAt.Before(limit) {
		s.reports = s.reports[1:]
	}
}

// Load returns the load report that callers receive. It is ReportLag old, except
// that Leaving is current.
func (s *Server) Load() protocol.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.reports[0]
	if s.options.ReportLag == 0 {
		report = s.reportLocked()
	}
	report.Leaving = s.leaving
	return report
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, s.Load())
}
