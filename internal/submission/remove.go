package submission

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// Times of removing: listTimeout bounds the reading of the keys, removePause is how
// long a submission is left alone that could not be removed.
const (
	listTimeout = 5 * time.Second
	removePause = 30 * time.Second
)

// deletesMost is how many keys one transaction removes.
const deletesMost = 30

// keys returns the keys of a submission that this owner ran, its head last: what is
// left by a failure is found by it.
func (o *open) keys() []string {
	var keys []string
	for n := range o.parts {
		keys = append(keys, recordKey(o.id, n))
	}
	for n := range o.batch {
		keys = append(keys, resultKey(o.id, n))
	}
	return append(keys, headKey(o.id))
}

// removeLeftover takes a submission out of the store that an owner before ran.
func (o *Owner) removeLeftover(id string) {
	ctx, cancel := context.WithTimeout(o.ctx, listTimeout)
	defer cancel()
	var keys []string
	for _, prefix := range []string{recordPrefix, resultPrefix} {
		found, _, err := metastore.ListAll(ctx, o.options.Store, prefix+id+"/")
		if err != nil {
			o.kept(id, err)
			return
		}
		for _, one := range found {
			keys = append(keys, one.Key)
		}
	}
	o.remove(id, append(keys, headKey(id)))
}

// remove takes the keys of a submission that nobody may read any more out of the
// store, in their order.
func (o *Owner) remove(id string, keys []string) {
	for some := range slices.Chunk(keys, deletesMost) {
		ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
		_, err := o.options.Store.Commit(ctx, metastore.Txn{
			Conditions: []metastore.Condition{o.options.Unit.Condition()}, Deletes: some,
		})
		cancel()
		if err != nil {
			o.kept(id, err)
			return
		}
	}
}

// kept notes a submission that could not be removed: it is tried again, with the
// keys that are left then.
func (o *Owner) kept(id string, err error) {
	event.RecordsNotRemoved.Log(o.ctx, o.options.Logger, slog.String("submission", id), slog.String("cause", err.Error()))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leftovers[id] = time.Now().Add(removePause)
}
