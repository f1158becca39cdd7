package metastore

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Defaults of a Follower.
const (
	// watchWait is how long one watch waits for a change. When the store compacts its
	// history, a pending watch may return nothing; only the next one gets the error.
	watchWait = 2 * time.Second
	// watchSlack is how long after its wait a watch is abandoned.
	watchSlack  = 1500 * time.Millisecond
	listTimeout = 2 * time.Second
	// Failed calls are retried after a random delay of 50 to 150 percent of the backoff,
	// which starts at followBackoff and doubles up to followBackoffMax.
	followBackoff    = 50 * time.Millisecond
	followBackoffMax = 400 * time.Millisecond
	// followBackoffInitial bounds the backoff until the range has been read for the first
	// time.
	followBackoffInitial = 150 * time.Millisecond
	// confirmingWait is how long the watch after a failed one waits: it is to be answered soon.
	confirmingWait = time.Millisecond
	// cutsToList is the number of watches cut in a row after which the range is read instead:
	// only calls that wait are cut.
	cutsToList = 2
)

// Follower notifies a consumer of all keys under a prefix and of their changes. Its
// callbacks run in the goroutine of Run.
type Follower struct {
	Store  Store
	Prefix string
	// Changed is called for each new, changed or removed key.
	Changed func(Event)
	// Settled is called after each batch of changes; at the first call the whole range
	// has been read.
	Settled func()
	// Listed is called with the revision each time the whole range has been read. Keys
	// that were created and removed since the previous read were not reported. It may be
	// nil.
	Listed func(revision int64)
	// Confirmed is called after each answer of the store with the revision up to which
	// all changes are known. It may be nil.
	Confirmed func(position int64)
	// Lost is called when the store becomes unreachable, and Regained when it answers
	// again. A watch that was cut while the store answers other calls does not count. Both
	// may be nil.
	Lost     func(error)
	Regained func()
	// Wait is how long one watch waits for a change; zero means watchWait.
	Wait time.Duration
	// BatchDelay is the delay after a change before the next watch, so that changes are
	// batched; zero means no delay.
	BatchDelay time.Duration
	Logger     *slog.Logger

	// known maps each known key to the revision of its last change.
	known map[string]int64
	// position is the revision up to which changes are known.
	position int64
	// relist requests that the whole range is read again.
	relist  bool
	failing bool
	// cuts is the number of watches in a row that were cut.
	cuts    int
	backoff time.Duration
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.known = map[string]int64{}
	for ctx.Err() == nil {
		if err := f.round(ctx); err != nil {
			f.failed(ctx, err)
			continue
		}
		f.answered(ctx)
	}
	return nil
}

func (f *Follower) round(ctx context.Context) error {
	if f.position == 0 || f.relist {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *Follower) failed(ctx context.Context, err error) {
	if errorx.IsOfType(err, ErrCompacted) {
		event.HistoryCompacted.Log(ctx, f.Logger, slog.String("prefix", f.Prefix), slog.Int64("position", f.position))
		f.relist = true
		return
	}
	if ctx.Err() != nil {
		return
	}
	switch {
	case errorx.IsOfType(err, ErrCut):
		f.cut(ctx, err)
	case !f.failing:
		f.failing = true
		event.StoreLost.Log(ctx, f.Logger, slog.String("prefix", f.Prefix), slog.String("cause", err.Error()))
		if f.Lost != nil {
			f.Lost(err)
		}
	}
	f.pause(ctx)
}

// cut handles a watch that was cut while the store answers other calls.
func (f *Follower) cut(ctx context.Context, err error) {
	f.cuts++
	if f.cuts >= cutsToList {
		f.relist = true
	}
	event.WatchCut.Log(ctx, f.Logger, slog.String("prefix", f.Prefix), slog.Int("in_a_row", f.cuts), slog.String("cause", err.Error()))
}

// pause waits before the next call after a failed one.
func (f *Follower) pause(ctx context.Context) {
	limit := followBackoffMax
	if f.position == 0 {
		limit = followBackoffInitial
	}
	f.backoff = min(max(2*f.backoff, followBackoff), limit)
	wait.For(ctx, f.backoff/2+rand.N(f.backoff))
}

func (f *Follower) answered(ctx context.Context) {
	f.backoff, f.cuts = 0, 0
	if f.Confirmed != nil {
		f.Confirmed(f.position)
	}
	if !f.failing {
		return
	}
	f.failing = false
	event.StoreRegained.Log(ctx, f.Logger, slog.String("prefix", f.Prefix))
	if f.Regained != nil {
		f.Regained()
	}
}

// reader returns the function that reads the range. The first read may be stale, since
// the watch from the page's revision delivers the changes that it lacks.
func (f *Follower) reader() func(ctx context.Context, prefix, after string) (Page, error) {
	if f.position > 0 || f.relist {
		return f.Store.Range
	}
	return func(ctx context.Context, prefix, after string) (Page, error) {
		return RangeStale(ctx, f.Store, prefix, after)
	}
}

// list reads the whole range and reconciles it by revision, so that a page older than
// the changes reported by a watch does not restore removed keys.
func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := listAll(ctx, f.reader(), f.Prefix)
	if err != nil {
		return err
	}
	if revision < f.position {
		return ErrUnavailable.New("read at revision %d is older than the known revision %d", revision, f.position)
	}
	present := make(map[string]struct{}, len(items))
	for _, item := range items {
		present[item.Key] = struct{}{}
		f.apply(Event{Item: item})
	}
	for key, known := range f.known {
		if _, ok := present[key]; !ok && known <= revision {
			f.apply(Event{Item: Item{Key: key, Revision: revision}, Deleted: true})
		}
	}
	f.position, f.relist = revision, false
	if f.Listed != nil {
		f.Listed(revision)
	}
	event.KeysRead.Log(ctx, f.Logger, slog.String("prefix", f.Prefix), slog.Int("keys", len(items)), slog.Int64("revision", revision))
	f.Settled()
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, f.wait()+watchSlack)
	defer cancel()
	events, revision, err := f.Store.Watch(callCtx, f.Prefix, f.position, f.wait())
	if err != nil {
		return err
	}
	for _, e := range events {
		f.apply(e)
	}
	f.position = max(f.position, revision)
	if len(events) > 0 {
		f.Settled()
		wait.For(ctx, f.BatchDelay)
	}
	return nil
}

// wait returns how long the next watch waits. It is short while the store is failing, so
// that its recovery is noticed, and after a cut, so that the changes since then are known.
func (f *Follower) wait() time.Duration {
	if f.failing || f.cuts > 0 {
		return confirmingWait
	}
	if f.Wait > 0 {
		return f.Wait
	}
	return watchWait
}

func (f *Follower) apply(e Event) {
	if e.Revision <= f.known[e.Key] && f.known[e.Key] != 0 {
		return
	}
	if e.Deleted {
		delete(f.known, e.Key)
	} else {
		f.known[e.Key] = e.Revision
	}
	f.Changed(e)
}
