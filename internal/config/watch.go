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

// Observation is what the watch of the platform's service saw.
type Observation struct {
	// Record is set when one was read.
	Record *Record
	// Reachable: the service answered.
	Reachable bool
	// ConfirmedAt is an instant at which no newer record existed than the one
	// read last; zero when the service did not answer.
	ConfirmedAt time.Time
}

// Watch holds one long watch until the context ends and hands each
// observation to deliver. It survives outages with backoff and jitter. wait
// says how long the next watch waits; zero takes Options.WatchWait.
func (s *Store) Watch(ctx context.Context, wait func() time.Duration, deliver func(Observation)) {
	w := watch{store: s, wait: wait, deliver: deliver, pause: s.options.backoff()}
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			w.failed(ctx, err)
		}
	}
}

// watch is the state of one long watch.
type watch struct {
	store   *Store
	wait    func() time.Duration
	deliver func(Observation)
	pause   *backoff
	// from is the store revision to go on from, once listed.
	from   int64
	listed bool
	// down: the last call failed.
	down bool
}

func (w *watch) step(ctx context.Context) error {
	if !w.listed {
		return w.list(ctx)
	}
	return w.await(ctx)
}

// list reads the record and the revision to watch from.
func (w *watch) list(ctx context.Context) error {
	start := w.store.options.Now()
	values, revision, err := w.store.keys.List(ctx, Key)
	if err != nil {
		return err
	}
	w.from, w.listed = revision, true
	w.answered(ctx)
	record := &Record{Document: &class.Document{}}
	for _, value := range values {
		if value.Key == Key {
			record = w.decode(ctx, value.Data)
		}
	}
	w.deliver(Observation{Record: record, Reachable: true, ConfirmedAt: start})
	return nil
}

// await waits for changes. An unchanged watch confirms the record for as long
// as it was told to wait, not for as long as the reply took: this process may
// have been frozen meanwhile.
func (w *watch) await(ctx context.Context) error {
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
	w.answered(ctx)
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

// decode reads a record; a corrupt one is reported and not taken.
func (w *watch) decode(ctx context.Context, data []byte) *Record {
	record, err := Decode(data)
	if err != nil {
		event.ConfigCorrupt.Log(ctx, w.store.logger, slog.Any("error", err))
		return nil
	}
	return record
}

func (w *watch) answered(ctx context.Context) {
	w.pause.reset()
	if w.down {
		w.down = false
		event.ConfigStoreReachable.Log(ctx, w.store.logger)
	}
}

func (w *watch) failed(ctx context.Context, err error) {
	if !w.down {
		w.down = true
		event.ConfigStoreDown.Log(ctx, w.store.logger, slog.Any("error", err))
	}
	w.deliver(Observation{})
	w.pause.wait(ctx)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
