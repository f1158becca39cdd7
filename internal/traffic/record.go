package traffic

import (
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// record counts how a request ended.
func (s *Server) record(c *caller, outcome request.Outcome, effort dispatch.Effort) {
	if c.class.Name == "" {
		return
	}
	took := s.now().Sub(c.arrived)
	s.options.Metrics.Ended(c.class.Name, c.tenant, outcome, took)
	s.options.Recorder.Record(Record{
		Class:    c.class.Name,
		Tenant:   c.tenant,
		Serves:   s.served(c.serves),
		Outcome:  outcome,
		Took:     took,
		InTime:   outcome == request.Answered && (c.class.Lateness <= 0 || took <= c.class.Lateness),
		Attempts: effort.Attempts,
		Hedges:   effort.Hedges,
		Refusal:  c.refusal,
		Weights:  effort.Weights,
		Stale:    effort.Weights.Exceeds(c.class.Freshness),
	})
}

// served returns the name if endpoints of it are known, so that names that
// callers make up are not kept.
func (s *Server) served(name string) string {
	if len(s.options.Snapshots.Load().Endpoints[name]) == 0 {
		return ""
	}
	return name
}
