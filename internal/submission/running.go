package submission

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// Timing of runs.
const (
	// fullPause is how long no run is placed on an engine that refused one.
	fullPause = 60 * time.Millisecond
	// minStall and stallPaces limit how long a stream may be idle: a run is moved when
	// it receives no event for minStall or for stallPaces times the median pace,
	// whichever is longer. firstEventTimeout is the limit before the first event.
	minStall          = 350 * time.Millisecond
	stallPaces        = 8
	firstEventTimeout = 800 * time.Millisecond
	// versionPause is the pause of an item whose text may contain only one version, after an
	// engine turned out to serve another one; the directory shows it within seconds.
	versionPause = 100 * time.Millisecond
	// minRunTime is how long a run stays on its engine before it may be moved to a faster
	// one.
	minRunTime = 300 * time.Millisecond
	// breakPause is the pause after a run that broke before its first event; it doubles
	// with each such run in a row, at most maxBreakDoublings times. An item is not suspected
	// of crashing engines: while engines are up, it must not be without one for seconds.
	breakPause        = 50 * time.Millisecond
	maxBreakDoublings = 3
	// defaultMaxQueue is how long an item may wait if its route sets no limit.
	defaultMaxQueue = 60 * time.Second
)

// place starts waiting items in priority order while engines have free slots.
func (o *Owner) place(engines *engines, now time.Time) {
	var items []candidate
	for _, i := range o.items {
		engines.reserve(i.reserved, now)
		if i.submission == nil || i.state != waiting || now.Before(i.notBefore) {
			continue
		}
		if o.overdue(i, now) {
			o.abandon(i, "not completed within the route's limit")
			continue
		}
		o.restartUnlessServed(i, engines)
		items = append(items, o.candidateOf(i))
	}
	o.sortForPlacing(items, engines, now)
	for _, c := range items {
		n := o.needOf(c.item)
		engines.release(c.reserved, now)
		e, ok := engines.choose(n, c.remaining)
		if !ok {
			c.timing.wait(engines.anyLoading(n.model), now)
			continue
		}
		o.steps.Started(c.submission.id)
		o.start(c.item, e, now)
	}
}

// restartUnlessServed discards the text of an item that no engine can continue any more,
// because it must not contain a second version.
func (o *Owner) restartUnlessServed(i *item, engines *engines) {
	n := o.needOf(i)
	if n.version == 0 || len(engines.endpoints) == 0 || engines.anyServes(n) {
		return
	}
	o.discard(i, "no engine serves the text's version any more")
}

// discard restarts an item whose text cannot be used.
func (o *Owner) discard(i *item, cause string) {
	event.ItemRestarted.Log(o.ctx, o.options.Logger, slog.String("item", i.record.GetId()), slog.String("submission", i.submissionID()),
		slog.Int("events", len(i.text.events)), slog.Any("versions", i.text.versions), slog.String("cause", cause))
	o.restart(i)
}

func (o *Owner) candidateOf(i *item) candidate {
	return candidate{item: i, remaining: o.lengths.remaining(i.expected(), len(i.text.events))}
}

// overdue reports whether the item has waited for longer than its route allows. Only time that
// passed on this node's steady clock counts: the clock of the node that accepted the submission
// may differ, and an item must not be given up early.
func (o *Owner) overdue(i *item, now time.Time) bool {
	limit := defaultMaxQueue
	if r, ok := o.routeOf(i.submission); ok && r.MaxQueue > 0 {
		limit = r.MaxQueue
	}
	return now.Sub(i.submission.openedAt) > limit
}

func (o *Owner) needOf(i *item) need {
	n := need{model: i.submission.record.GetModel(), minVersion: i.submission.record.GetMinVersion(), tokens: memoryTokens(i.record)}
	if o.requiresSingleVersion(i.submission) && len(i.text.versions) == 1 {
		n.version = i.text.versions[0]
	}
	return n
}

// start runs an item on an engine. The caller holds o.mu.
func (o *Owner) start(i *item, e *fleet.Endpoint, now time.Time) {
	ctx, cancel := context.WithCancel(o.ctx)
	r := &run{endpoint: e, cancel: cancel, startedAt: now, lastEvent: now}
	i.run, i.state, i.reserved = r, running, reservation{}
	i.timing.start(i.firstRunAt.IsZero(), now)
	if i.firstRunAt.IsZero() {
		i.firstRunAt = now
	}
	request := o.request(i)
	after := len(i.text.events)
	model := i.submission.record.GetModel()
	done := e.Live.Begin()
	go func() {
		defer cancel()
		err := o.stream(ctx, i, r, request, after, model)
		done()
		o.runEnded(i, r, err)
	}()
}

func (o *Owner) request(i *item) *call.Request {
	header := http.Header{}
	for _, h := range i.record.GetHeaders() {
		header.Set(h.GetName(), h.GetValue())
	}
	record := i.submission.record
	return &call.Request{
		ID:          i.record.GetId(),
		Method:      http.MethodPost,
		URI:         i.record.GetPath(),
		Host:        record.GetHost(),
		Header:      header,
		Body:        i.record.GetBody(),
		Account:     i.account,
		Priority:    int(record.GetPriority()),
		HasPriority: record.Priority != nil,
		Version:     o.needOf(i).version,
	}
}

// stream executes one run and adds its events to the item's text.
func (o *Owner) stream(ctx context.Context, i *item, r *run, request *call.Request, after int, model string) error {
	var version int64
	return o.options.Streamer.Stream(ctx, r.endpoint, request, after, call.Receiver{
		Start: func(start call.Start) error {
			version = start.Version
			r.endpoint.Live.ObserveVersion(model, version)
			return o.checkVersion(i, version)
		},
		Event: func(e call.Event) error {
			if e.Version > 0 {
				version = e.Version
				r.endpoint.Live.ObserveVersion(model, version)
			}
			return o.addEvent(i, r, e.Data, version)
		},
	})
}

// checkVersion returns ErrVersion if the item's text must not go on under the given
// version.
func (o *Owner) checkVersion(i *item, version int64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versionError(i, version)
}

// versionError is checkVersion for callers that hold o.mu. A text without a submission may
// go on under any version: what it must fit is known when a submission contains it again.
func (o *Owner) versionError(i *item, version int64) error {
	if i.submission == nil {
		return nil
	}
	return i.text.checkVersion(version, i.submission.record.GetMinVersion(), o.requiresSingleVersion(i.submission))
}

// maxPaceGap is the longest gap between events that counts towards an engine's pace;
// longer gaps are interruptions.
const maxPaceGap = 400 * time.Millisecond

// addEvent adds one event to an item's text.
func (o *Owner) addEvent(i *item, r *run, data string, version int64) error {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if i.run != r || r.moved {
		return call.ErrEnded.New("the run was ended")
	}
	if err := o.versionError(i, version); err != nil {
		return err
	}
	if err := i.text.checkLimit(data, limitOf(i.record)); err != nil {
		return err
	}
	if gap := now.Sub(r.lastEvent); r.events > 0 && gap < maxPaceGap {
		observeGap(r.endpoint, gap, o.usualGap, o.loadSlope, now)
	}
	r.events++
	r.lastEvent = now
	i.timing.event(o.fastestGap, now)
	i.breaks = 0
	i.text.add(data, version)
	return nil
}

// runEnded handles the end of a run.
func (o *Owner) runEnded(i *item, r *run, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if i.run != r {
		return
	}
	i.run = nil
	i.state = waiting
	now := time.Now()
	i.timing.enter(phaseMoving, now)
	switch {
	case err == nil:
		r.endpoint.Live.Succeed()
		i.text.complete = true
		o.lengths.observe(i.expected(), len(i.text.events))
		event.ItemWritten.Log(o.ctx, o.options.Logger, slog.String("item", i.record.GetId()), slog.String("submission", i.submissionID()),
			slog.String("endpoint", r.endpoint.ID), slog.Int("events", len(i.text.events)), slog.Int64("expected_tokens", i.record.GetExpectedTokens()), slog.Int64("run_ms", now.Sub(r.startedAt).Milliseconds()))
		if i.submission != nil {
			o.startScoring(i)
		}
	case r.moved || o.ctx.Err() != nil:
	default:
		o.runFailed(i, r, err, now)
	}
	o.Wake()
}

// runFailed handles a run that ended without a complete text. The caller holds o.mu.
func (o *Owner) runFailed(i *item, r *run, err error, now time.Time) {
	live := r.endpoint.Live
	switch {
	case call.Is(err, call.ErrFull):
		live.MarkFull(now.Add(fullPause))
	case call.Is(err, call.ErrFailed):
		if i.attempts.fail(o.allowedAttempts(i)) && i.submission != nil {
			o.abandon(i, "failed on every attempt")
		}
	case call.Is(err, call.ErrRejected):
		i.attempts.rejected++
		if i.submission != nil {
			o.abandon(i, "permanently rejected")
		}
	case call.Is(err, ErrVersion, call.ErrMisdirected):
		live.MarkFull(now.Add(fullPause))
		if i.submission != nil && o.needOf(i).version > 0 {
			i.notBefore = now.Add(versionPause)
		}
	case call.Is(err, ErrOverlong):
		live.Fail(now)
		o.discard(i, "an engine generated more than was asked for")
	default:
		live.Fail(now)
		i.delayAfterBreak(r, now)
	}
	if !call.Is(err, call.ErrFull) {
		event.AttemptFailed.Log(o.ctx, o.options.Logger, slog.String("item", i.record.GetId()), slog.String("endpoint", r.endpoint.ID),
			slog.Int("events", len(i.text.events)), slog.String("cause", err.Error()))
	}
}

// delayAfterBreak delays an item whose run broke before its first event: the engines may
// be restarting.
func (i *item) delayAfterBreak(r *run, now time.Time) {
	if r.events > 0 {
		return
	}
	i.notBefore = now.Add(breakPause << min(i.breaks, maxBreakDoublings))
	i.breaks++
}

// allowedAttempts returns the number of attempts that the route of the item's submission
// allows. It is one if there is no submission or no route.
func (o *Owner) allowedAttempts(i *item) int {
	if i.submission == nil {
		return 1
	}
	if r, ok := o.routeOf(i.submission); ok {
		return r.MaxAttempts
	}
	return 1
}
