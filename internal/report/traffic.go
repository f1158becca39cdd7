package report

import "github.com/comfreyfront/comfreyfront/internal/traffic"

// Record counts one request that the traffic server has finished.
func (r *Recorder) Record(record traffic.Record) {
	r.Observe(Observation{
		Class:   record.Class,
		Serves:  record.Serves,
		Outcome: record.Outcome,
		Took:    record.Took,
		InTime:  record.InTime,
		Retries: max(record.Attempts-record.Hedges-1, 0),
		Hedges:  record.Hedges,
		Refusal: record.Refusal,
		Weights: record.Weights,
		Stale:   record.Stale,
	})
}
