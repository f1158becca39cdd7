package submission

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// Timeout and retry pauses of writes to the store.
const (
	writeTimeout  = time.Second
	writePause    = 40 * time.Millisecond
	writePauseMax = 500 * time.Millisecond
)

// startListing starts a write for each submission that has results to list. The caller
// holds o.mu.
func (o *Owner) startListing(now time.Time) {
	for _, s := range o.submissions {
		if s.writing {
			continue
		}
		due := s.due(now)
		if len(due) == 0 {
			continue
		}
		s.writing = true
		go o.write(s, due, resultsOf(due), s.batch)
	}
}

// write lists results: readers see them only after the store has confirmed the write.
// The write is retried unchanged until it is confirmed or the unit is lost, so that a
// delayed earlier attempt changes nothing. Meanwhile the submission may end and its items
// may be carried over to another one.
func (o *Owner) write(s *ownedSubmission, items []*item, results []*recordpb.Result, number int) {
	value, err := proto.Marshal(&recordpb.Batch{Results: results})
	if err != nil {
		event.ResultsDelayed.Log(o.ctx, o.options.Logger, slog.String("submission", s.id), slog.String("cause", err.Error()))
		return
	}
	began := time.Now()
	if !o.commitBatch(s.id, resultKey(s.id, number), value) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.writing = false
	s.appendListed(results)
	now := time.Now()
	for _, i := range items {
		if i.submission == s {
			i.listed = true
			s.times.list(i, now)
		}
	}
	s.ready = slices.DeleteFunc(s.ready, func(i *item) bool { return slices.Contains(items, i) })
	o.dropListed(s, items)
	event.ResultsListed.Log(o.ctx, o.options.Logger, slog.String("submission", s.id), slog.Int("results", len(results)),
		slog.Int("listed", len(s.listed)), slog.Int64("write_ms", now.Sub(began).Milliseconds()))
	o.Wake()
}

// commitBatch writes a batch and retries until the store is known to contain it. It
// returns false if the unit is lost.
func (o *Owner) commitBatch(id, key string, value []byte) bool {
	pause := writePause
	for o.ctx.Err() == nil {
		err := o.commit(key, value)
		if err == nil {
			return true
		}
		if errorx.IsOfType(err, metastore.ErrConflict) {
			stored, known := o.isStored(key, value)
			if known {
				return stored
			}
		}
		event.ResultsDelayed.Log(o.ctx, o.options.Logger, slog.String("submission", id), slog.String("cause", err.Error()))
		metastore.Pause(o.ctx, o.options.Store, pause/2+rand.N(pause))
		pause = min(2*pause, writePauseMax)
	}
	return false
}

func (o *Owner) commit(key string, value []byte) error {
	ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
	defer cancel()
	_, err := o.options.Store.Commit(ctx, metastore.Txn{
		Conditions: []metastore.Condition{o.options.Unit.Condition(), {Key: key}},
		Puts:       []metastore.Put{{Key: key, Value: value}},
	})
	return err
}

// isStored reports whether an earlier write of the same batch took effect. If the key
// has another value or does not exist, the unit was lost. The second result is false if
// the store could not be read.
func (o *Owner) isStored(key string, value []byte) (stored, known bool) {
	ctx, cancel := context.WithTimeout(o.ctx, writeTimeout)
	defer cancel()
	found, err := o.options.Store.Get(ctx, key)
	switch {
	case err == nil:
		return bytes.Equal(found.Value, value), true
	case errorx.IsOfType(err, metastore.ErrNotFound):
		return false, true
	}
	return false, false
}
