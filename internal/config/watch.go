package config

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/joomcode/errorx"
)

// Observation is the result of one call of a watch to the key-value service.
type Observation struct {
	// Record is the record that was read, or nil if none was.
	Record *Record
	// Reachable reports whether the key-value service answered.
	Reachable bool
	// ConfirmedAt is a time at which the record read last was the newest one; it
	// is zero if the service did not answer.
	ConfirmedAt time.Time
}

// Watch watches the record until the context ends and passes each observation to
// deliver. It retries failed calls with backoff and jitter. wait returns how long
// the next call waits for changes; if wait is nil or returns zero,
// Options.WatchWait applies.
func (s *Store) Watch(ctx context.Context, wait func() time.Duration, deliver func(Observation)) {
	w := watch{store: s, wait: wait, deliver: deliver, pause: s.options.backoff()}
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			w.markUnreachable(ctx, err)
		}
	}
}

// watch is the state of one call of Watch.
type watch struct {
	store   *Store
	wait    func() time.Duration
	deliver func(Observation)
	pause   *backoff
	// from is the store revision from which the watch continues, valid if listed.
	from   int64
	listed bool
	// down is set while calls fail.
	down bool
}

func (w *watch) step(ctx context.Context) error {
	if !w.listed {
		return w.list(ctx)
	}
	return w.waitForChange(ctx)
}

// list reads the record and the revision to watch from.
func (w *watch) list(ctx context.Context) error {
	start := w.store.options.Now()
	values, revision, err := w.store.keys.List(ctx, Key)
	if err != nil {
		return err
	}
	w.from, w.listed = revision, true
	w.markReachable(ctx)
	record := &Record{Document: &class.Document{}}
	for _, value := range values {
		if value.Key == Key {
			record = w.decode(ctx, value.Data)
		}
	}
	w.deliver(Observation{Record: record, Reachable: true, ConfirmedAt: start})
	return nil
}

// waitForChange makes one watch call. A call that returns no changes confirms the
// record until the response is read, but no longer than the requested wait: this
// process may have been paused between the end of the wait and reading the response.
func (w *watch) waitForChange(ctx context.Context) error {
	start, wait := w.store.options.Now(), w.nextWait()
	changes, revision, err := w.store.keys.Watch(ctx, Key, w.from, wait)
	if errorx.IsOfType(err, keyvalue.ErrCompacted) {
		w.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	w.from = revision
	w.markReachable(ctx)
	observation := Observation{Reachable: true, ConfirmedAt: start}
	for _, change := range changes {
		if change.Value.Key == Key && !change.Deleted {
			observation.Record = w.decode(ctx, change.Value.Data)
		}
	}
	if len(changes) == 0 {
		observation.ConfirmedAt = earlier(w.store.options.Now(), start.Add(wait))
	}
	w.deliver(observation)
	return nil
}

func (w *watch) nextWait() time.Duration {
	if w.wait != nil {
		if wait := w.wait(); wait > 0 {
			return wait
		}
	}
	return w.store.options.WatchWait
}

// decode parses a record. It logs a corrupt record and returns nil for it.
func (w *watch) decode(ctx context.Context, data []byte) *Record {
	record, err := Decode(data)
	if err != nil {
		event.ConfigCorrupt.Log(ctx, w.store.logger, slog.Any("error", err))
		return nil
	}
	return record
}

func (w *watch) markReachable(ctx context.Context) {
	w.pause.reset()
	if w.down {
		w.down = false
		event.ConfigStoreReachable.Log(ctx, w.store.logger)
	}
}

func (w *watch) markUnreachable(ctx context.Context, err error) {
	if !w.down {
		w.down = true
		event.ConfigStoreDown.Log(ctx, w.store.logger, slog.Any("error", err))
	}
	w.deliver(Observation{})
	w.pause.sleep(ctx)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
