package submission

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// state is where an item stands.
type state int

const (
	waiting state = iota
	running
	scoring
	// finished: it has a result, listed or not.
	finished
)

// text is what is known of an item's generated text.
type text struct {
	events   []string
	versions []int64
	complete bool
	// saved is how many of the events checkpoints hold, and base the number of the
	// one with the first of them.
	saved int
	base  int
}

// fits reports whether the text may be used under a submission's bounds.
func (t *text) fits(minVersion int64, single bool) bool {
	for _, version := range t.versions {
		if version < minVersion {
			return false
		}
	}
	return !single || len(t.versions) <= 1
}

func (t *text) add(data string, version int64) {
	t.events = append(t.events, data)
	if !slices.Contains(t.versions, version) {
		t.versions = append(t.versions, version)
	}
}

// item is one item in its owner's memory. The owner's lock guards it.
type item struct {
	record *recordpb.Item
	// of is the submission that it belongs to; nil after that one ended, until
	// another brings it back.
	of         *open
	orphanedAt time.Time
	state      state
	text       text
	// begunAt is when this owner first ran it; restarts counts how often its text
	// was dropped.
	begunAt  time.Time
	restarts int
	// restored: its text is a former owner's, and its submission is not open yet.
	restored bool
	score    string
	// scoreOpen: a scoring call is under way.
	scoreOpen bool
	// scoreFailures counts the failures that endpoints reported of scoring calls.
	scoreFailures int
	// failures counts runs that an endpoint itself reported as failed.
	failures int
	// breaks counts broken runs in a row that brought no event.
	breaks    int
	notBefore time.Time
	run       *run
	result    *recordpb.Result
	readyAt   time.Time
	// listed: the result lasts in the store.
	listed bool
	// carried: it comes back from a submission that ended before it was listed.
	carried bool
}

// submission returns the id of the submission that the item is of; empty when it
// is of none.
func (i *item) submission() string {
	if i.of == nil {
		return ""
	}
	return i.of.record.GetId()
}

// missingMost is how many missing items the end of a submission describes.
const missingMost = 3

// describe says in a log line where an item stands that is not listed.
func (i *item) describe(now time.Time) string {
	id := i.record.GetId()
	events := len(i.text.events)
	switch {
	case i.state == finished:
		return id + " finished, not listed"
	case i.state == scoring:
		return fmt.Sprintf("%s in scoring, %d failures", id, i.scoreFailures)
	case i.run != nil:
		return fmt.Sprintf("%s at %s for %d ms, %d events", id, i.run.endpoint.ID, now.Sub(i.run.startedAt).Milliseconds(), events)
	}
	return fmt.Sprintf("%s not running, %d events, %d broken runs", id, events, i.breaks)
}

// run is one stream of an item.
type run struct {
	endpoint  *fleet.Endpoint
	cancel    context.CancelFunc
	startedAt time.Time
	lastEvent time.Time
	events    int
	// slowSince is when its engine was first found slow; zero when it is not.
	slowSince time.Time
	// moved: the owner ended it, so that it goes on elsewhere.
	moved bool
}

// drop ends the item's run, if there is one, and whatever it brings yet is not
// heard: the text that it belongs to is replaced.
func (i *item) drop() {
	if i.run != nil {
		i.run.cancel()
		i.run = nil
	}
	i.state = waiting
}

// expected estimates how many tokens are still to be generated: the order in
// which items are started, the longest first.
func (i *item) expected() int64 {
	guess := i.record.GetExpectedTokens()
	if guess == 0 {
		guess = i.record.GetTokens()
	}
	return guess
}

// settle makes the item's result.
func (i *item) settle(abandoned bool, now time.Time) {
	i.state = finished
	i.readyAt = now
	if abandoned {
		i.result = &recordpb.Result{Id: i.record.GetId(), Abandoned: true}
		return
	}
	versions := slices.Clone(i.text.versions)
	slices.Sort(versions)
	i.result = &recordpb.Result{
		Id:       i.record.GetId(),
		Output:   strings.Join(i.text.events, "\n"),
		Versions: versions,
		Score:    i.score,
	}
}

// open is a submission in its owner's memory. The owner's lock guards it.
type open struct {
	id     string
	head   head
	record *recordpb.Submission
	// parts is how many keys the record has.
	parts int
	// listed are the results that last in the store, in their order.
	listed []*recordpb.Result
	// batch is the number of the next write of results.
	batch   int
	ready   []*item
	left    map[string]int // unfinished items by group
	writing bool
	ended   bool
	endedAt time.Time
	// changed is closed when results were listed.
	changed chan struct{}
}

func groupOf(record *recordpb.Item) string {
	if record.GetGroup() != "" {
		return record.GetGroup()
	}
	return "item/" + record.GetId()
}

// gatherResults is how long results wait to share a write while the trainer's
// target is not reached: nobody waits for them, but a new owner would have to make
// them again.
const gatherResults = 700 * time.Millisecond

// due returns the results to write now: those of complete groups once the
// trainer's target is reached, and all when one has waited.
func (o *open) due(now time.Time) []*item {
	if o.ended || len(o.ready) == 0 {
		return nil
	}
	all := now.Sub(o.ready[0].readyAt) >= gatherResults
	if !all && !o.enough() {
		return nil
	}
	var due []*item
	bytes := 0
	for _, i := range o.ready {
		if !all && o.left[groupOf(i.record)] > 0 {
			continue
		}
		bytes += len(i.result.GetOutput()) + len(i.result.GetScore()) + len(i.result.GetId())
		if len(due) > 0 && bytes > batchBytes {
			break
		}
		due = append(due, i)
	}
	return due
}

// enough reports whether the groups that the trainer waits for are complete.
func (o *open) enough() bool {
	return o.complete() >= int(o.record.GetWantedGroups())
}

// complete returns the number of complete groups.
func (o *open) complete() int {
	n := 0
	for _, left := range o.left {
		if left == 0 {
			n++
		}
	}
	return n
}

// tail reports whether the items that are left decide when the submission is
// complete: then it is worth a move that one of them ends sooner.
func (o *open) tail() bool {
	left := 0
	for _, n := range o.left {
		left += n
	}
	return float64(left) <= tailShare*float64(o.head.Total)
}

// show adds results that last in the store now.
func (o *open) show(results []*recordpb.Result) {
	o.listed = append(o.listed, results...)
	o.batch++
	close(o.changed)
	o.changed = make(chan struct{})
}
