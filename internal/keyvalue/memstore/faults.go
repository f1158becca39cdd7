package memstore

import (
	"context"
	"sync"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// Operation identifies a method of the store.
type Operation string

// Values of Operation.
const (
	OpGet            Operation = "get"
	OpList           Operation = "list"
	OpCompareAndSwap Operation = "compare-and-swap"
	OpDelete         Operation = "delete"
	OpGrant          Operation = "grant"
	OpKeepAlive      Operation = "keep-alive"
	OpRevoke         Operation = "revoke"
	OpWatch          Operation = "watch"
)

// Calls counts the calls that a view received, including those that failed.
type Calls struct {
	Reads, Writes, Watches int64
}

type faults struct {
	mu            sync.Mutex
	down          bool
	repliesToLose int
	writesToDrop  int
	calls         Calls
	intercept     func(context.Context, Operation, string) error
}

// SetDown sets whether all calls of this view fail with ErrUnavailable.
func (s *Store) SetDown(down bool) {
	s.faults.mu.Lock()
	s.faults.down = down
	s.faults.mu.Unlock()
	s.wakeWatches()
}

// LoseReplies makes the next writes (CompareAndSwap, Delete) of this view take
// effect and then fail with ErrOutcomeUnknown.
func (s *Store) LoseReplies(writes int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.repliesToLose = writes
}

// DropWrites makes the next writes (CompareAndSwap, Delete) of this view fail
// with ErrOutcomeUnknown without taking effect.
func (s *Store) DropWrites(writes int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.writesToDrop = writes
}

// Intercept makes each call of this view run f first, with the key or prefix of the
// call. If f returns an error, the call returns that error and has no effect. f may
// block. A nil f removes the interceptor.
func (s *Store) Intercept(f func(ctx context.Context, op Operation, key string) error) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.intercept = f
}

// Calls returns the counters of this view.
func (s *Store) Calls() Calls {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return s.faults.calls
}

func (s *Store) wakeWatches() {
	d := s.shared
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changed)
	d.changed = make(chan struct{})
}

func (s *Store) begin(ctx context.Context, op Operation, key string) error {
	intercept := s.faults.count(op)
	if intercept != nil {
		if err := intercept(ctx, op, key); err != nil {
			return err
		}
	}
	if s.faults.isDown() {
		return keyvalue.ErrUnavailable.New("the service is down")
	}
	if err := ctx.Err(); err != nil {
		return keyvalue.ErrUnavailable.Wrap(err, "%s not sent", string(op))
	}
	return nil
}

func (f *faults) count(op Operation) func(context.Context, Operation, string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch op {
	case OpGet, OpList:
		f.calls.Reads++
	case OpWatch:
		f.calls.Watches++
	default:
		f.calls.Writes++
	}
	return f.intercept
}

func (f *faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *faults) shouldLoseReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return decrement(&f.repliesToLose)
}

func (f *faults) shouldDropWrite() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return decrement(&f.writesToDrop)
}

func decrement(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}
