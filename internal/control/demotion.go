package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// updateDemotions compares the followed endpoints of each model by the latencies
// that this entry measured, and passes changed demotions on to peers.
func (m *Manager) updateDemotions(now time.Time) {
	if now.Sub(m.evaluatedAt) < demotionInterval {
		return
	}
	m.evaluatedAt = now
	for serves, group := range m.byServes() {
		detector, exists := m.detectors[serves]
		if !exists {
			detector = m.options.NewOutlierDetector()
			m.detectors[serves] = detector
		}
		demotions := detector.Decide(samplesOf(group), now)
		for _, t := range group {
			m.demote(now, t, demotions[t.instance.ID])
		}
	}
}

func (m *Manager) byServes() map[string][]*tracked {
	groups := map[string][]*tracked{}
	for _, t := range m.following {
		groups[t.instance.Serves] = append(groups[t.instance.Serves], t)
	}
	return groups
}

func samplesOf(group []*tracked) []policy.EndpointLatency {
	samples := make([]policy.EndpointLatency, len(group))
	for i, t := range group {
		samples[i] = policy.EndpointLatency{ID: t.instance.ID, TokenNanos: nanosOf(t)}
	}
	return samples
}

// nanosOf returns the measured time in nanoseconds: per token for an engine, per
// call for a service.
func nanosOf(t *tracked) int64 {
	if t.instance.Kind == keyvalue.KindService {
		return t.live.CallNanos.Load()
	}
	return t.live.TokenNanos.Load()
}

// demote sets the demotion of an endpoint and passes it to peers if it changed. It also
// passes on an unchanged demotion above zero after demotionRepeat.
func (m *Manager) demote(now time.Time, t *tracked, demotion float64) {
	changed := demotion != t.demotion
	repeat := demotion > 0 && now.Sub(t.demotionAt) >= demotionRepeat
	if !changed && !repeat {
		return
	}
	m.logDemotion(t, demotion)
	t.demotion, t.demotionAt = demotion, now
	m.state.SetDemotion(now, t.instance.ID, demotion, now.UnixMilli())
	m.markEndpoints(false)
}

func (m *Manager) logDemotion(t *tracked, demotion float64) {
	attrs := []slog.Attr{slog.String("endpoint", t.instance.ID), slog.Float64("demotion", demotion)}
	switch {
	case t.demotion == 0 && demotion > 0:
		event.EndpointDemoted.Log(context.Background(), m.logger, attrs...)
	case t.demotion > 0 && demotion == 0:
		event.EndpointRestored.Log(context.Background(), m.logger, attrs...)
	}
}
