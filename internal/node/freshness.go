package node

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/freshness"
	"github.com/comfreyfront/comfreyfront/platform"
)

// certainty tracks whether this node can be sure that its configuration contains all
// withdrawals of keys that are older than the limit. It is safe for concurrent use.
type certainty struct {
	// limit is the key-revocation setting; zero means no limit.
	limit   time.Duration
	now     func() freshness.Instant
	logger  *slog.Logger
	tracker freshness.Tracker

	mu sync.Mutex
	// logged is the state that was logged last.
	logged bool
}

func newCertainty(limit time.Duration, logger *slog.Logger, registerer prometheus.Registerer) *certainty {
	c := &certainty{limit: limit, now: freshness.Now, logger: logger}
	if limit > 0 {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "comfreyfront", Name: "configuration_age_seconds",
			Help: "Time since the last instant up to which all changes of the configuration are known; infinite before the first confirmation.",
		}, c.seconds))
	}
	return c
}

// KeysCertain implements platform.Front: it reports whether requests with a key may be
// accepted. It must be called after a request has arrived and before the configuration that
// decides about its key is read: a process that is suspended in between would otherwise
// decide by an old configuration and a new confirmation.
func (n *Node) KeysCertain() bool { return n.certainty.holds() }

// holds reports whether the configuration is recent enough to decide about keys.
func (c *certainty) holds() bool {
	return c.limit == 0 || c.tracker.Certain(c.now(), c.limit)
}

// seconds returns the age of the configuration, which is infinite before the first
// confirmation.
func (c *certainty) seconds() float64 {
	age, confirmed := c.tracker.Age(c.now())
	if !confirmed {
		return math.Inf(1)
	}
	return age.Seconds()
}

// logChange logs when certainty is lost or regained. Before the first confirmation nothing is
// logged, since a node that starts has not lost it.
func (c *certainty) logChange(ctx context.Context) {
	if c.limit == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	holds := c.holds()
	if holds == c.logged {
		return
	}
	c.logged = holds
	age, _ := c.tracker.Age(c.now())
	changed := event.KeysUncertain
	if holds {
		changed = event.KeysCertain
	}
	changed.Log(ctx, c.logger, slog.Int64("age_ms", age.Milliseconds()), slog.Int64("limit_ms", c.limit.Milliseconds()))
}

// watchTiming bounds the watches of a prefix so that its changes arrive within the limit of
// certainty. The zero value has no limit.
type watchTiming struct {
	certainty *certainty
}

// watchTimingOf returns the timing of the watches of a prefix. Only the operator's records
// have a limit.
func (n *Node) watchTimingOf(prefix string) watchTiming {
	if prefix != platform.KeyOperator || n.config.KeyRevocation == 0 {
		return watchTiming{}
	}
	return watchTiming{certainty: n.certainty}
}

// confirmed records that all changes of the prefix up to an instant are in force.
func (t watchTiming) confirmed(upTo freshness.Instant) {
	if t.certainty != nil {
		t.certainty.tracker.Confirmed(upTo)
	}
}

// overdue reports whether the next watch of the store must be answered at once.
func (t watchTiming) overdue(now freshness.Instant) bool {
	return t.certainty != nil && t.certainty.tracker.Overdue(now, t.certainty.limit)
}

// wait returns how long a watch of the store may wait for a change.
func (t watchTiming) wait() time.Duration {
	if t.certainty == nil {
		return hubWatchWait
	}
	return min(hubWatchWait, freshness.WatchWait(t.certainty.limit))
}

// hubWait returns how long a watch of a hub with the given wait may wait. Without a limit, a
// hub that does not answer a short watch is given the time of a long one.
func (t watchTiming) hubWait(wait time.Duration) time.Duration {
	if t.certainty == nil {
		return hubCallWait
	}
	return min(wait, hubCallWait)
}

// withTimeout returns a context for a watch of the store with the given wait.
func (t watchTiming) withTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if t.certainty == nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, wait+freshness.CallSlack(t.certainty.limit))
}
