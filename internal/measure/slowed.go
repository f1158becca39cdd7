package measure

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/standin/engine"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Parameters of the Slowed workload.
const (
	slowedPerSecond = 80.0
	slowedSpan      = 6 * time.Second
	slowedEngines   = 2
	slowedFactor    = 10
)

// Slowed sends interactive requests before and while two of nine engines are ten times
// slower without reporting a failure.
func Slowed(ctx context.Context, arm Arm, seed uint64) ([]Value, error) {
	t, err := NewTestbed(arm, shortDomainDelay, classes)
	if err != nil {
		return nil, err
	}
	defer t.Close()
	random := newRandom(seed)
	wait.For(ctx, 3*pollInterval)
	t.drive(ctx, shortWork(random, slowedPerSecond, warmUp))
	baseline := millis(t.drive(ctx, shortWork(random, slowedPerSecond, slowedSpan/2)))
	for i := range slowedEngines {
		t.Site.Engines[(int(seed)+i*4)%engineCount].SetFault(engine.Fault{SlowFactor: slowedFactor})
	}
	before := t.Traffic.Calls.Load()
	replies := t.drive(ctx, shortWork(random, slowedPerSecond, slowedSpan))
	calls := t.Traffic.Calls.Load() - before
	sent := 0
	for _, r := range replies {
		if r.Effort.Attempts > 0 {
			sent++
		}
	}
	slowed := millis(replies)
	return []Value{
		{"slowed_p99", "ms", quantile(slowed, 0.99)},
		{"slowed_none_p99", "ms", quantile(baseline, 0.99)},
		{"slowed_over_none", "x", quantile(slowed, 0.99) / quantile(baseline, 0.99)},
		{"slowed_extra_calls", "share", float64(calls)/float64(sent) - 1},
		{"slowed_answered", "share", float64(len(slowed)) / float64(len(replies))},
	}, nil
}
