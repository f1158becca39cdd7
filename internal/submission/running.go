package submission

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// Times of runs.
const (
	// fullPause is how long an engine that refused a run is passed over.
	fullPause = 60 * time.Millisecond
	// stallLeast and stallPaces bound the silence of a stream before it goes on
	// elsewhere; firstStall bounds the time to its first event.
	stallLeast = 350 * time.Millisecond
	stallPaces = 8
	firstStall = 800 * time.Millisecond
	// slowPatience is how long an engine must have been slow before runs leave
	// it: a move costs a connection, and most neighbours slow it only briefly.
	slowPatience = 250 * time.Millisecond
	// tailShare is the share of a submission's items at which the rest decides
	// when it is complete.
	tailShare = 0.35
	// breakPause is the pause after runs that broke without an event; it
	// doubles with each.
	breakPause  = 50 * time.Millisecond
	breaksQuiet = 3
	breakLong   = 4 * time.Second
	// queueDefault stands in for a route's bound of how long an item may wait.
	queueDefault = 60 * time.Second
)

// place starts the items that wait, in their order, while engines are free.
func (o *Owner) place(engines *engines, now time.Time) {
	var items []*item
	for _, i := range o.items {
		if i.of == nil || i.state != waiting || now.Before(i.notBefore) {
			continue
		}
		if o.overdue(i, now) {
			o.abandon(i, "not done within the route's bound")
			continue
		}
		items = append(items, i)
	}
	order(items)
	for _, i := range items {
		e, ok := engines.choose(o.needOf(i))
		if ok {
			o.start(i, e, now)
		}
	}
}

func (o *Owner) overdue(i *item, now time.Time) bool {
	limit := queueDefault
	if r, ok := o.routeOf(i.of); ok && r.MaxQueue > 0 {
		limit = r.MaxQueue
	}
	return now.Sub(i.of.head.acceptedAt()) > limit
}

func (o *Owner) needOf(i *item) need {
	n := need{model: i.of.record.GetModel(), minVersion: i.of.record.GetMinVersion()}
	if o.single(i.of) && len(i.text.versions) == 1 {
		n.version = i.text.versions[0]
	}
	return n
}

// start runs an item on an engine; o.mu is held.
func (o *Owner) start(i *item, e *fleet.Endpoint, now time.Time) {
	ctx, cancel := context.WithCancel(o.ctx)
	r := &run{endpoint: e, cancel: cancel, startedAt: now, lastEvent: now}
	i.run, i.state = r, running
	if i.begunAt.IsZero() {
		i.begunAt = now
	}
	request := o.request(i)
	after := len(i.text.events)
	minVersion := i.of.record.GetMinVersion()
	model := i.of.record.GetModel()
	done := e.Live.Begin()
	go func() {
		defer cancel()
		err := o.stream(ctx, i, r, request, after, model, minVersion)
		done()
		o.ended(i, r, err)
	}()
}

func (o *Owner) request(i *item) *call.Request {
	header := http.Header{}
	for _, h := range i.record.GetHeaders() {
		header.Set(h.GetName(), h.GetValue())
	}
	return &call.Request{
		ID:     i.record.GetId(),
		Method: http.MethodPost,
		URI:    i.record.GetPath(),
		Host:   i.of.record.GetHost(),
		Header: header,
		Body:   i.record.GetBody(),
	}
}

// stream runs one stream and adds its events to the item's text.
func (o *Owner) stream(ctx context.Context, i *item, r *run, request *call.Request, after int, model string, minVersion int64) error {
	var version int64
	return o.options.Streamer.Stream(ctx, r.endpoint, request, after, call.Receiver{
		Start: func(start call.Start) error {
			version = start.Version
			r.endpoint.Live.SawVersion(model, version)
			if version < minVersion {
				return call.ErrMisdirected.New("version %d, needed %d", version, minVersion)
			}
			return nil
		},
		Event: func(e call.Event) error {
			if e.Version > 0 {
				version = e.Version
				r.endpoint.Live.SawVersion(model, version)
			}
			return o.received(i, r, e.Data, version)
		},
	})
}

// paceGapMost bounds the gaps that count as pace: longer ones are pauses.
const paceGapMost = 400 * time.Millisecond

// received adds one event to an item's text.
func (o *Owner) received(i *item, r *run, data string, version int64) error {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if i.run != r || r.moved {
		return call.ErrEnded.New("the run was ended")
	}
	if gap := now.Sub(r.lastEvent); r.events > 0 && gap < paceGapMost {
		r.endpoint.Live.ObservePace(gap, now)
	}
	r.events++
	r.lastEvent = now
	i.breaks = 0
	i.text.add(data, version)
	return nil
}

// ended takes the end of a run.
func (o *Owner) ended(i *item, r *run, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if i.run != r {
		return
	}
	i.run = nil
	i.state = waiting
	now := time.Now()
	switch {
	case err == nil:
		r.endpoint.Live.Succeed()
		i.text.complete = true
		event.ItemWritten.Log(o.ctx, o.options.Logger, slog.String("item", i.record.GetId()), slog.String("submission", i.submission()),
			slog.String("endpoint", r.endpoint.ID), slog.Int("events", len(i.text.events)), slog.Int64("expected_tokens", i.record.GetExpectedTokens()), slog.Int64("run_ms", now.Sub(r.startedAt).Milliseconds()))
		if i.of != nil {
			o.score(i)
		}
	case r.moved || o.ctx.Err() != nil:
	default:
		o.failed(i, r, err, now)
	}
	o.Poke()
}

// failed judges a run that ended without the whole text; o.mu is held.
func (o *Owner) failed(i *item, r *run, err error, now time.Time) {
	live := r.endpoint.Live
	switch {
	case call.Is(err, call.ErrFull):
		live.MarkFull(now.Add(fullPause))
	case call.Is(err, call.ErrFailed):
		i.failures++
		if i.of != nil && i.failures >= o.attempts(i) {
			o.abandon(i, "failed at each attempt")
		}
	case call.Is(err, call.ErrRejected):
		if i.of != nil {
			o.abandon(i, "rejected for good")
		}
	case call.Is(err, call.ErrMisdirected):
		live.MarkFull(now.Add(fullPause))
	default:
		live.Fail(now)
		i.broke(r, now)
	}
	if !call.Is(err, call.ErrFull) {
		event.AttemptFailed.Log(o.ctx, o.options.Logger, slog.String("item", i.record.GetId()), slog.String("endpoint", r.endpoint.ID),
			slog.Int("events", len(i.text.events)), slog.String("cause", err.Error()))
	}
}

// broke delays an item whose runs break without an event: it may be the cause.
func (i *item) broke(r *run, now time.Time) {
	if r.events > 0 {
		return
	}
	i.breaks++
	pause := breakPause << min(i.breaks-1, 6)
	if i.breaks >= breaksQuiet {
		pause = breakLong << min(i.breaks-breaksQuiet, 4)
	}
	i.notBefore = now.Add(pause)
}

func (o *Owner) attempts(i *item) int {
	if r, ok := o.routeOf(i.of); ok {
		return r.MaxAttempts
	}
	return 1
}

// move ends runs that stall, or that grow far slower than they would elsewhere,
// so that they go on there with the text that they have.
func (o *Owner) move(engines *engines, now time.Time) {
	for _, i := range o.items {
		r := i.run
		if r == nil || r.moved {
			continue
		}
		cause := o.moveCause(i, r, engines, now)
		if cause == "" {
			continue
		}
		r.moved = true
		r.cancel()
		if cause == "stalled" {
			r.endpoint.Live.Fail(now)
		}
		event.ItemMoved.Log(o.ctx, o.options.Logger, slog.String("item", i.record.GetId()), slog.String("endpoint", r.endpoint.ID),
			slog.String("cause", cause), slog.Int("events", len(i.text.events)), slog.Int64("silent_ms", now.Sub(r.lastEvent).Milliseconds()))
	}
}

func (o *Owner) moveCause(i *item, r *run, engines *engines, now time.Time) string {
	if i.of == nil {
		return ""
	}
	n := o.needOf(i)
	if r.endpoint.Live.IsLoading(now) {
		if _, ok := engines.better(r.endpoint, n); ok {
			return "weights load"
		}
		return ""
	}
	limit := max(stallLeast, stallPaces*engines.median)
	if r.events == 0 {
		limit = firstStall
	}
	if now.Sub(r.lastEvent) > limit {
		return "stalled"
	}
	if !engines.slow(r.endpoint) {
		r.slowSince = time.Time{}
		return ""
	}
	if r.slowSince.IsZero() {
		r.slowSince = now
	}
	if now.Sub(r.slowSince) < slowPatience || !i.of.tail() {
		return ""
	}
	if _, ok := engines.better(r.endpoint, n); ok {
		return "slow"
	}
	return ""
}

// complete gives an item its result; o.mu is held.
func (o *Owner) complete(i *item, score string) {
	i.score = score
	i.settle(false, time.Now())
	event.ItemScored.Log(o.ctx, o.options.Logger, slog.String("item", i.record.GetId()), slog.String("submission", i.of.id))
	o.finish(i)
}

// abandon gives an item up; o.mu is held.
func (o *Owner) abandon(i *item, cause string) {
	event.ItemAbandoned.Log(o.ctx, o.options.Logger, slog.String("item", i.record.GetId()), slog.String("submission", i.of.id), slog.String("cause", cause))
	i.settle(true, time.Now())
	o.finish(i)
}

// finish hands a result to be listed; o.mu is held.
func (o *Owner) finish(i *item) {
	group := groupOf(i.record)
	i.of.left[group]--
	i.of.ready = append(i.of.ready, i)
}

// forget drops the listed items of complete groups; those of incomplete ones may
// come back in a later submission. o.mu is held.
func (o *Owner) forget(s *open, items []*item) {
	for _, one := range items {
		group := groupOf(one.record)
		if s.left[group] > 0 {
			continue
		}
		for id, i := range o.items {
			if i.of == s && i.state == finished && groupOf(i.record) == group && !slices.Contains(s.ready, i) {
				delete(o.items, id)
			}
		}
	}
}

// resultsOf collects the results of items.
func resultsOf(items []*item) []*recordpb.Result {
	results := make([]*recordpb.Result, 0, len(items))
	for _, i := range items {
		results = append(results, i.result)
	}
	return results
}
