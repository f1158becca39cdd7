package measure

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Testbed is a site together with the entries that send requests to it.
type Testbed struct {
	Site    *Site
	Entries []*Entry
	Traffic Traffic
	// Version is the newest weight version.
	Version atomic.Int64
	// Moves is the number of times that a sample was moved to another engine.
	Moves atomic.Int64

	classes   map[string]class.Class
	nextEntry atomic.Uint64
	stop      context.CancelFunc
	running   sync.WaitGroup
}

// NewTestbed starts a site with the given one-way delay between failure domains, and its
// entries with the policy of the arm.
func NewTestbed(arm Arm, oneWay time.Duration, classes []class.Class) (*Testbed, error) {
	site, err := NewSite(oneWay)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &Testbed{Site: site, stop: stop, classes: map[string]class.Class{}}
	t.Version.Store(firstVersion)
	for _, c := range classes {
		t.classes[c.Name] = c
	}
	document := &class.Document{Revision: 1, Classes: classes}
	for i := range entryCount {
		e := newEntry(site, arm, i, document, &t.Traffic, &t.Version)
		t.Entries = append(t.Entries, e)
		t.running.Go(func() { e.follow(ctx) })
	}
	return t, nil
}

// Close stops the entries and the site.
func (t *Testbed) Close() {
	t.stop()
	t.running.Wait()
	t.Site.Close()
}

// pickEntry returns the next entry in round-robin order, like the platform's balancer.
func (t *Testbed) pickEntry() *Entry {
	return t.Entries[t.nextEntry.Add(1)%uint64(len(t.Entries))]
}

// Request is a completion request of a workload.
type Request struct {
	Class     string
	Prompt    string
	MaxTokens int
	// AllowLate prefers a late answer to a refusal. Such a request is also moved to
	// another engine when it is a straggler.
	AllowLate bool
	// MinVersion returns the oldest weight version that may be delivered; nil means
	// no limit.
	MinVersion func() int64
	// TimeoutFactor is the caller's timeout, as a multiple of the lateness of the
	// class; zero means no timeout.
	TimeoutFactor int
}

// Reply is the result of a request as observed by its caller.
type Reply struct {
	Elapsed time.Duration
	Err     error
	Effort  dispatch.Effort
	Answer  dispatch.Progress
}

// complete sends a completion request through an entry and waits for the complete
// answer.
func (t *Testbed) complete(ctx context.Context, e *Entry, r Request) Reply {
	started := time.Now()
	if r.TimeoutFactor > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.TimeoutFactor)*t.classes[r.Class].Lateness)
		defer cancel()
	}
	wait.For(ctx, clientDelay)
	completion := &dispatch.Completion{
		Call: dispatch.Call{
			Class:      t.classes[r.Class],
			Arrived:    time.Now(),
			Idempotent: true,
			AllowLate:  r.AllowLate,
		},
		Request:        engine.CompletionRequest{Model: model, Prompt: r.Prompt, MaxTokens: r.MaxTokens},
		MinDeliverable: r.MinVersion,
	}
	var answer dispatch.Progress
	var effort dispatch.Effort
	var err error
	if r.AllowLate && e.stragglers != nil {
		answer, effort, err = t.completeMoving(ctx, e, completion)
	} else {
		answer, effort, err = e.Dispatcher.Complete(ctx, completion)
	}
	wait.For(ctx, clientDelay)
	return Reply{Elapsed: time.Since(started), Err: err, Effort: effort, Answer: answer}
}
