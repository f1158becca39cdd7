package ownership

import (
	"context"
	"sync"
)

// unitLocks serialises the operations on each unit. The zero value is ready to use.
type unitLocks struct {
	mu     sync.Mutex
	locked map[string]chan struct{}
}

// lock waits for the unit's lock and returns the function that releases it.
func (l *unitLocks) lock(ctx context.Context, unit string) (func(), error) {
	for {
		busy := l.tryLock(unit)
		if busy == nil {
			return func() { l.unlock(unit) }, nil
		}
		select {
		case <-busy:
		case <-ctx.Done():
			return nil, ErrUnavailable.Wrap(ctx.Err(), "waiting for unit %q", unit)
		}
	}
}

// tryLock locks the unit and returns nil, or returns a channel that is closed when the
// current lock is released.
func (l *unitLocks) tryLock(unit string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if busy, exists := l.locked[unit]; exists {
		return busy
	}
	if l.locked == nil {
		l.locked = map[string]chan struct{}{}
	}
	l.locked[unit] = make(chan struct{})
	return nil
}

func (l *unitLocks) unlock(unit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.locked[unit])
	delete(l.locked, unit)
}
