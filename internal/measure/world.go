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

// World is a site with the entries before it.
type World struct {
	Site    *Site
	Entries []*Entry
	Traffic Traffic
	// Version is the newest weight version.
	Version atomic.Int64
	// Moves counts the samples that were moved.
	Moves atomic.Int64

	classes map[string]class.Class
	turn    atomic.Uint64
	stop    context.CancelFunc
	ended   sync.WaitGroup
}

// NewWorld starts a site and its entries with the arm's policy.
func NewWorld(arm Arm, oneWay time.Duration, classes []class.Class) (*World, error) {
	site, err := NewSite(oneWay)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &World{Site: site, stop: stop, classes: map[string]class.Class{}}
	w.Version.Store(firstVersion)
	for _, c := range classes {
		w.classes[c.Name] = c
	}
	document := &class.Document{Revision: 1, Classes: classes}
	for i := range entryCount {
		e := newEntry(site, arm, i, document, &w.Traffic, &w.Version)
		w.Entries = append(w.Entries, e)
		w.ended.Go(func() { e.follow(ctx) })
	}
	return w, nil
}

// Close stops the entries and the site.
func (w *World) Close() {
	w.stop()
	w.ended.Wait()
	w.Site.Close()
}

// balance returns the entries in turn, as the platform's balancer does.
func (w *World) balance() *Entry {
	return w.Entries[w.turn.Add(1)%uint64(len(w.Entries))]
}

// Ask is one completion that a workload asks for.
type Ask struct {
	Class     string
	Prompt    string
	MaxTokens int
	Patient   bool
	Fresh     func() int64
	// HangUp is how many times the class's lateness the caller waits; zero
	// waits for good.
	HangUp int
}

// Reply is what a caller saw.
type Reply struct {
	Took   time.Duration
	Err    error
	Effort dispatch.Effort
	Answer dispatch.Progress
}

// ask sends a completion through an entry and waits for the whole answer.
func (w *World) ask(ctx context.Context, e *Entry, a Ask) Reply {
	started := time.Now()
	if a.HangUp > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(a.HangUp)*w.classes[a.Class].Lateness)
		defer cancel()
	}
	wait.For(ctx, clientDelay)
	completion := &dispatch.Completion{
		Call: dispatch.Call{
			Class:      w.classes[a.Class],
			Arrived:    time.Now(),
			Idempotent: true,
			AllowLate:  a.Patient,
		},
		Request:        engine.CompletionRequest{Model: model, Prompt: a.Prompt, MaxTokens: a.MaxTokens},
		MinDeliverable: a.Fresh,
	}
	var answer dispatch.Progress
	var effort dispatch.Effort
	var err error
	if a.Patient && e.mover != nil {
		answer, effort, err = w.askMoving(ctx, e, completion)
	} else {
		answer, effort, err = e.Dispatcher.Complete(ctx, completion)
	}
	wait.For(ctx, clientDelay)
	return Reply{Took: time.Since(started), Err: err, Effort: effort, Answer: answer}
}
