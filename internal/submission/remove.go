package submission

import (
	"context"
	"log/slog"
	"slices"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// deletesMost is how many keys one transaction removes.
const deletesMost = 30

// remove takes a submission that nobody may read any more out of the store, its
// head last: what is left by a failure is found by it.
func (o *Owner) remove(s *open) {
	var keys []string
	for n := range s.parts {
		keys = append(keys, recordKey(s.id, n))
	}
	for n := range s.batch {
		keys = append(keys, resultKey(s.id, n))
	}
	keys = append(keys, headKey(s.id))
	for some := range slices.Chunk(keys, deletesMost) {
		ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
		_, err := o.options.Store.Commit(ctx, metastore.Txn{
			Conditions: []metastore.Condition{o.options.Unit.Condition()}, Deletes: some,
		})
		cancel()
		if err != nil {
			event.RecordsKept.Log(o.ctx, o.options.Logger, slog.String("submission", s.id), slog.String("cause", err.Error()))
			return
		}
	}
}
