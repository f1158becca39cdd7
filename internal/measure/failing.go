package measure

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/standin/engine"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Rate, duration and number of failing engines of the Failing workload.
const (
	failingPerSecond = 100.0
	failingSpan      = 5 * time.Second
	failingEngines   = engineCount / 3
)

// Failing sends interactive requests while a third of the engines answer with errors.
// It measures the calls per request and the fraction of answered requests.
func Failing(ctx context.Context, arm Arm, seed uint64) ([]Value, error) {
	t, err := NewTestbed(arm, longDomainDelay, classes)
	if err != nil {
		return nil, err
	}
	defer t.Close()
	random := newRandom(seed)
	wait.For(ctx, 3*pollInterval)
	for i := range failingEngines {
		t.Site.Engines[(int(seed)+3*i)%engineCount].SetFault(engine.Fault{Fail: true})
	}
	replies := t.drive(ctx, shortWork(random, failingPerSecond, failingSpan))
	answered := len(millis(replies))
	return []Value{
		{"retry_amplification", "x", float64(t.Traffic.Calls.Load()) / float64(len(replies))},
		{"failing_answered", "share", float64(answered) / float64(len(replies))},
	}, nil
}
