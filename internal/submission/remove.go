package submission

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// Timing of removals: listTimeout bounds reading the keys, and removalRetryPause is
// the pause before a failed removal is retried.
const (
	listTimeout       = 5 * time.Second
	removalRetryPause = 30 * time.Second
)

// maxDeletes is the maximum number of keys removed in one transaction.
const maxDeletes = 30

// keys returns the keys of a submission that this owner ran. The head comes last,
// because it is needed to find the remaining keys after a failed removal.
func (o *ownedSubmission) keys() []string {
	var keys []string
	for n := range o.parts {
		keys = append(keys, recordKey(o.id, n))
	}
	for n := range o.batch {
		keys = append(keys, resultKey(o.id, n))
	}
	return append(keys, headKey(o.id))
}

// removeUnopened removes an ended submission that this owner does not have in memory
// from the store.
func (o *Owner) removeUnopened(id string) {
	ctx, cancel := context.WithTimeout(o.ctx, listTimeout)
	defer cancel()
	var keys []string
	for _, prefix := range []string{recordPrefix, resultPrefix} {
		found, _, err := metastore.ListAll(ctx, o.options.Store, prefix+id+"/")
		if err != nil {
			o.retryRemoval(id, err)
			return
		}
		for _, item := range found {
			keys = append(keys, item.Key)
		}
	}
	o.remove(id, append(keys, headKey(id)))
}

// remove deletes the keys of a submission whose reading period is over, in the given
// order.
func (o *Owner) remove(id string, keys []string) {
	for chunk := range slices.Chunk(keys, maxDeletes) {
		ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
		_, err := o.options.Store.Commit(ctx, metastore.Txn{
			Conditions: []metastore.Condition{o.options.Unit.Condition()}, Deletes: chunk,
		})
		cancel()
		if err != nil {
			o.retryRemoval(id, err)
			return
		}
	}
}

// retryRemoval logs a failed removal and schedules another attempt, which then covers
// the remaining keys.
func (o *Owner) retryRemoval(id string, err error) {
	event.RecordsNotRemoved.Log(o.ctx, o.options.Logger, slog.String("submission", id), slog.String("cause", err.Error()))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removals[id] = time.Now().Add(removalRetryPause)
}
