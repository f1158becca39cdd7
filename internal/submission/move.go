package submission

import (
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// Causes of moves.
const (
	causeLeaving = "endpoint leaves too soon"
	causeLoading = "loading weights"
	causeStalled = "stalled"
	causeSlower  = "slower than another engine"
)

// move cancels runs that stall, and runs that another engine is expected to finish sooner,
// so that they resume there with their current text. Those that lack most come first.
func (o *Owner) move(engines *engines, now time.Time) {
	var running []candidate
	for _, i := range o.items {
		if i.submission != nil && i.run != nil && !i.run.moved {
			running = append(running, o.candidateOf(i))
		}
	}
	sortOldestFirst(running)
	for _, c := range running {
		if cause, to := o.moveCause(c, engines, now); cause != "" {
			o.moveRun(c.item, cause, to, now)
		}
	}
}

// moveRun cancels a run so that its item resumes on another engine. If that engine is
// given, a slot of it is reserved for the item.
func (o *Owner) moveRun(i *item, cause string, to *fleet.Endpoint, now time.Time) {
	r := i.run
	r.moved = true
	r.cancel()
	i.timing.enter(phaseMoving, now)
	if to != nil {
		i.reserved = reservation{endpoint: to.ID, until: now.Add(reservationTime), tokens: memoryTokens(i.record)}
	}
	if cause == causeStalled {
		r.endpoint.Live.Fail(now)
	}
	event.ItemMoved.Log(o.ctx, o.options.Logger, slog.String("item", i.record.GetId()), slog.String("endpoint", r.endpoint.ID),
		slog.String("cause", cause), slog.Int("events", len(i.text.events)), slog.Int64("silent_ms", now.Sub(r.lastEvent).Milliseconds()))
}

// moveCause returns why a run must be moved, or an empty string if it stays, and the engine
// to move it to if one was chosen.
func (o *Owner) moveCause(c candidate, engines *engines, now time.Time) (string, *fleet.Endpoint) {
	r, n := c.run, o.needOf(c.item)
	if engines.leavesTooSoon(r.endpoint, c.remaining) {
		if to, ok := engines.otherEngine(r.endpoint, n, c.remaining); ok {
			return causeLeaving, to
		}
	}
	if r.endpoint.Live.IsLoading(n.model, now) && o.requiresSingleVersion(c.submission) {
		// The engine loads only after its runs have ended.
		if to, ok := engines.otherEngine(r.endpoint, n, c.remaining); ok {
			return causeLoading, to
		}
		return "", nil
	}
	limit := max(minStall, stallPaces*engines.usual)
	if r.events == 0 {
		limit = firstEventTimeout
	}
	if now.Sub(r.lastEvent) > limit {
		return causeStalled, nil
	}
	if now.Sub(r.startedAt) < minRunTime {
		return "", nil
	}
	if to, ok := engines.betterEngine(r.endpoint, n, c.remaining); ok {
		return causeSlower, to
	}
	return "", nil
}
