package measure

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Rate and duration of the Crossings workload.
const (
	crossingsPerSecond = 150.0
	crossingsSpan      = 5 * time.Second
)

// Crossings sends interactive requests at a moderate load, and measures the fraction of
// calls from an entry to an endpoint in another failure domain.
func Crossings(ctx context.Context, arm Arm, seed uint64) ([]Value, error) {
	t, err := NewTestbed(arm, longDomainDelay, classes)
	if err != nil {
		return nil, err
	}
	defer t.Close()
	wait.For(ctx, 3*pollInterval)
	replies := millis(t.drive(ctx, shortWork(newRandom(seed), crossingsPerSecond, crossingsSpan)))
	return []Value{
		{"crossings", "share", float64(t.Traffic.Crossings.Load()) / float64(t.Traffic.Calls.Load())},
		{"crossings_p99", "ms", quantile(replies, 0.99)},
		{"crossings_p50", "ms", quantile(replies, 0.5)},
	}, nil
}
