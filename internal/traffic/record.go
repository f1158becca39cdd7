package traffic

import (
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// record records the end of a request in the metrics and the report. Requests without a valid
// class are not recorded.
func (s *Server) record(c *caller, outcome request.Outcome, effort dispatch.Effort) {
	if c.class.Name == "" {
		return
	}
	elapsed := s.now().Sub(c.arrived)
	s.options.Metrics.Ended(c.class.Name, c.tenant, outcome, elapsed)
	s.options.Recorder.Record(Record{
		Class:    c.class.Name,
		Tenant:   c.tenant,
		Serves:   s.knownTarget(c.serves),
		Outcome:  outcome,
		Took:     elapsed,
		InTime:   outcome == request.Answered && (c.class.Lateness <= 0 || elapsed <= c.class.Lateness),
		Attempts: effort.Attempts,
		Hedges:   effort.Hedges,
		Refusal:  c.refusal,
		Weights:  effort.Weights,
		Stale:    effort.Weights.Exceeds(c.class.Freshness),
	})
}

// knownTarget returns name if endpoints serve it, and the empty string otherwise, so that
// arbitrary names sent by callers are not stored.
func (s *Server) knownTarget(name string) string {
	if len(s.options.Snapshots.Load().Endpoints[name]) == 0 {
		return ""
	}
	return name
}
