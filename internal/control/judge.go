package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// judge compares the followed endpoints of each model by the times that this
// entry's traffic saw, and tells peers of changes.
func (m *Manager) judge(now time.Time) {
	if now.Sub(m.judgedAt) < judgeInterval {
		return
	}
	m.judgedAt = now
	for serves, group := range m.byServes() {
		judge, exists := m.judges[serves]
		if !exists {
			judge = m.options.NewJudge()
			m.judges[serves] = judge
		}
		demotions := judge.Decide(samplesOf(group), now)
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

// nanosOf is the time per token of an engine, per call of a service.
func nanosOf(t *tracked) int64 {
	if t.instance.Kind == keyvalue.KindService {
		return t.live.CallNanos.Load()
	}
	return t.live.TokenNanos.Load()
}

func (m *Manager) demote(now time.Time, t *tracked, demotion float64) {
	changed := demotion != t.demotion
	repeat := demotion > 0 && now.Sub(t.demotionAt) >= judgeRepeat
	if !changed && !repeat {
		return
	}
	m.logDemotion(t, demotion)
	t.demotion, t.demotionAt = demotion, now
	m.state.Judge(now, t.instance.ID, demotion, now.UnixMilli())
	m.touch(false)
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
