package duty

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Options configures the tenure of one holder.
type Options struct {
	Credentials Credentials
	// Confirm asks the metadata store whether the holder's generation is still the newest one
	// of the duty. It returns nil only for an answer that is not older than the question.
	Confirm func(ctx context.Context) error
	// HolderChange is the shortest time between the calls of two holders.
	HolderChange time.Duration
	// Pace is shared by all duties of the node.
	Pace *Pace
	// Now is a clock that never jumps and that counts suspensions of the instance.
	Now func() time.Duration
}

// Held is the tenure of a node that owns the unit of a duty. Its calls are made one at a
// time. It is safe for concurrent use.
type Held struct {
	options Options
	rule    rule
	begins  time.Duration
	ended   context.Context
	end     context.CancelFunc
	// calling contains a value while a call is prepared or made.
	calling chan struct{}

	mu sync.Mutex
	// confirmed is when the question was sent that the store last answered with yes.
	confirmed time.Duration
	known     bool
}

var _ Tenure = (*Held)(nil)

// Begin returns the tenure of a node that acquired the duty just now.
func Begin(options Options) *Held {
	t := &Held{options: options, rule: rule{options.HolderChange}, calling: make(chan struct{}, 1)}
	t.begins = t.rule.firstCall(options.Now())
	t.ended, t.end = context.WithCancel(context.Background())
	return t
}

// End ends the tenure and waits for a call that is being made.
func (t *Held) End() {
	t.end()
	t.calling <- struct{}{}
	<-t.calling
}

// Waits returns how long the node must wait before its first call.
func (t *Held) Waits() time.Duration { return max(0, t.begins-t.options.Now()) }

// ConfirmBy asks the metadata store a question that it answers without an error only if the
// generation is still the newest one of the duty, such as a write under that condition. It
// saves the question that the next call would ask otherwise.
func (t *Held) ConfirmBy(ctx context.Context, ask func(ctx context.Context) error) error {
	sent := t.options.Now()
	if err := ask(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed, t.known = max(t.confirmed, sent), true
	return nil
}

// Do implements Tenure.
func (t *Held) Do(ctx context.Context, call func(ctx context.Context, credentials Credentials) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(t.ended, cancel)()
	select {
	case t.calling <- struct{}{}:
		defer func() { <-t.calling }()
	case <-ctx.Done():
		return ErrNotHeld.Wrap(ctx.Err(), "another call is being made")
	}
	if pause := t.Waits(); pause > 0 {
		return ErrNotHeld.New("the first call may be made in %s", pause)
	}
	if !wait.For(ctx, t.options.Pace.reserve()) {
		return ErrNotHeld.Wrap(ctx.Err(), "the call did not get its turn")
	}
	if err := t.confirm(ctx); err != nil {
		return ErrNotHeld.Wrap(err, "the duty is not confirmed")
	}
	return t.call(ctx, call)
}

// confirm makes sure that a recent confirmation leaves enough time for a call.
func (t *Held) confirm(ctx context.Context) error {
	if t.isFresh() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, t.rule.validity())
	defer cancel()
	if err := t.ConfirmBy(ctx, t.options.Confirm); err != nil {
		return err
	}
	if !t.isFresh() {
		return ErrNotHeld.New("the metadata store answered too late")
	}
	return nil
}

func (t *Held) isFresh() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known && t.rule.fresh(t.confirmed, t.options.Now())
}

// call makes a call that ends before the confirmation does.
func (t *Held) call(ctx context.Context, call func(ctx context.Context, credentials Credentials) error) error {
	t.mu.Lock()
	left := t.rule.deadline(t.confirmed) - t.options.Now()
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if err := errors.Join(t.ended.Err(), ctx.Err()); err != nil {
		return ErrNotHeld.Wrap(err, "the tenure has ended")
	}
	err := call(ctx, t.options.Credentials)
	switch {
	case errorx.IsOfType(err, ErrSuperseded):
		t.end()
	case errorx.IsOfType(err, ErrOverRate):
		t.options.Pace.refused()
	case err == nil:
		t.options.Pace.accepted()
	}
	return err
}
