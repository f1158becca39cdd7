package memstore

import (
	"context"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// Watch waits until keys with the prefix change after revision from, or until
// wait has passed.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]keyvalue.Change, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if err := s.begin(ctx, OpWatch, prefix); err != nil {
		return nil, 0, err
	}
	for {
		changes, next, changed, err := s.shared.changesSince(prefix, from)
		if err != nil || len(changes) > 0 {
			return changes, next, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, keyvalue.ErrUnavailable.Wrap(ctx.Err(), "watch of %q", prefix)
		case <-timer.C:
			return nil, next, nil
		case <-changed:
		}
		if s.faults.isDown() {
			return nil, 0, keyvalue.ErrUnavailable.New("the service is down")
		}
	}
}

func (d *data) changesSince(prefix string, from int64) ([]keyvalue.Change, int64, <-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	if from < d.compacted {
		return nil, 0, nil, keyvalue.ErrCompacted.New("revision %d is older than the oldest available revision %d", from, d.compacted)
	}
	var changes []keyvalue.Change
	for _, change := range d.history {
		if change.Value.Revision > from && strings.HasPrefix(change.Value.Key, prefix) {
			changes = append(changes, change)
		}
	}
	return changes, d.revision, d.changed, nil
}

// Compact discards the history of changes, so that watches from older revisions fail
// with ErrCompacted.
func (s *Store) Compact() {
	d := s.shared
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history, d.compacted = nil, d.revision
}

func (d *data) appendHistory(change keyvalue.Change) {
	d.history = append(d.history, change)
	if len(d.history) > historyLimit {
		d.compacted = d.history[0].Value.Revision
		d.history = d.history[1:]
	}
	close(d.changed)
	d.changed = make(chan struct{})
}
