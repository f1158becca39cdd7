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

// state is the processing state of an item.
type state int

const (
	waiting state = iota
	running
	scoring
	// finished means that the item has a result, whether listed or not.
	finished
)

// text is the text generated for an item so far.
type text struct {
	events []string
	// bytes is the size of the events.
	bytes    int
	versions []int64
	complete bool
	// saved is the number of events that checkpoints contain, and firstCheckpoint is the
	// number of the checkpoint that contains the first of them.
	saved           int
	firstCheckpoint int
}

// fits reports whether the text may be used by a submission with the given minimum
// version and single-version requirement.
func (t *text) fits(minVersion int64, single bool) bool {
	for _, version := range t.versions {
		if version < minVersion {
			return false
		}
	}
	return !single || len(t.versions) <= 1
}

// checkVersion returns ErrVersion if an event of the given version must not be added to the
// text of a submission with the given minimum version and single-version requirement.
func (t *text) checkVersion(version, minVersion int64, single bool) error {
	if version < minVersion {
		return ErrVersion.New("version %d instead of %d or newer", version, minVersion)
	}
	if single && len(t.versions) > 0 && version != t.versions[0] {
		return ErrVersion.New("version %d instead of %d, under which the text began", version, t.versions[0])
	}
	return nil
}

func (t *text) add(data string, version int64) {
	t.events = append(t.events, data)
	t.bytes += len(data)
	if !slices.Contains(t.versions, version) {
		t.versions = append(t.versions, version)
	}
}

// item is the state of one item at its owner. The owner's mutex guards it.
type item struct {
	record *recordpb.Item
	// account is the account of the item's submission, also after that ended.
	account string
	// submission is the submission that the item belongs to; nil after that one ended,
	// until a later submission contains the item again.
	submission *ownedSubmission
	orphanedAt time.Time
	state      state
	text       text
	// firstRunAt is when this owner first ran the item, and restarts is the number of times
	// that its text was discarded.
	firstRunAt time.Time
	restarts   int
	// restored means that the text was saved by a previous owner and the item's
	// submission is not open yet.
	restored bool
	score    string
	// scoreOpen means that a scoring call is in flight.
	scoreOpen bool
	// scoreFailures counts the attempts of the scoring call that failed at an endpoint, and
	// scoreRefusals the answers in a row that are neither a success nor such a failure.
	scoreFailures, scoreRefusals int
	// attempts counts the runs that endpoints reported as failed or rejected.
	attempts attempts
	// breaks counts consecutive runs whose connection broke before the first event.
	breaks    int
	notBefore time.Time
	run       *run
	// reserved is the slot that is kept for the item while it moves.
	reserved reservation
	result   *recordpb.Result
	readyAt  time.Time
	timing   timing
	// listed means that the result is stored.
	listed bool
	// carriedOver means that the item was carried over from a submission that ended before
	// the item was listed.
	carriedOver bool
}

// submissionID returns the ID of the item's submission, or an empty string if the item
// has none.
func (i *item) submissionID() string {
	if i.submission == nil {
		return ""
	}
	return i.submission.record.GetId()
}

// maxDescribedItems is the maximum number of unlisted items described in the log when a
// submission ends.
const maxDescribedItems = 3

// describe returns the progress of an unlisted item for a log line.
func (i *item) describe(now time.Time) string {
	id := i.record.GetId()
	events := len(i.text.events)
	switch {
	case i.state == finished:
		return id + " finished, not yet listed"
	case i.state == scoring:
		return fmt.Sprintf("%s being scored, %d failures", id, i.scoreFailures)
	case i.run != nil:
		return fmt.Sprintf("%s at %s for %d ms, %d events", id, i.run.endpoint.ID, now.Sub(i.run.startedAt).Milliseconds(), events)
	}
	return fmt.Sprintf("%s not running, %d events, %d broken runs", id, events, i.breaks)
}

// run is one streaming request for an item.
type run struct {
	endpoint  *fleet.Endpoint
	cancel    context.CancelFunc
	startedAt time.Time
	lastEvent time.Time
	events    int
	// moved means that the owner cancelled the run so that the item resumes on another
	// engine.
	moved bool
}

// cancelRun cancels the item's run, if there is one. Events that the run still delivers
// are ignored, because its text is being replaced.
func (i *item) cancelRun() {
	if i.run != nil {
		i.run.cancel()
		i.run = nil
	}
	i.state = waiting
}

// expected estimates the number of tokens to be generated.
func (i *item) expected() int64 { return expectedTokens(i.record) }

func expectedTokens(record *recordpb.Item) int64 {
	if estimate := record.GetExpectedTokens(); estimate > 0 {
		return estimate
	}
	return record.GetTokens()
}

// setResult sets the item's result.
func (i *item) setResult(abandoned bool, now time.Time) {
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

// isOpen reports whether the item belongs to a submission and its text is not finished.
func (i *item) isOpen() bool {
	return i.submission != nil && (i.state == waiting || i.state == running)
}

// ownedSubmission is the state of one submission at its owner. The owner's mutex guards it.
type ownedSubmission struct {
	id     string
	head   head
	record *recordpb.Submission
	// parts is the number of keys that the record occupies.
	parts int
	// listed are the stored results, in listing order.
	listed []*recordpb.Result
	// batch is the number of the next batch of results to write.
	batch int
	ready []*item
	// openedAt is when this owner opened the submission, by its own clock.
	openedAt   time.Time
	unfinished map[string]int // number of unfinished items by group
	writing    bool
	ended      bool
	endedAt    time.Time
	times      stepTimes
	// readAt is when the last listed result was first read.
	readAt time.Time
	// changed is closed and replaced when results are listed.
	changed chan struct{}
	// scoringCtx is the context of its scoring calls, which stopScoring ends.
	scoringCtx  context.Context
	stopScoring context.CancelFunc
}

func groupOf(record *recordpb.Item) string {
	if record.GetGroup() != "" {
		return record.GetGroup()
	}
	return "item/" + record.GetId()
}

// gatherResults is how long results wait to share a write while the trainer's target is
// not reached: the trainer does not wait for them, but a new owner would have to
// generate unlisted ones again.
const gatherResults = 700 * time.Millisecond

// due returns the results to write now: those of complete groups once the trainer's
// target is reached, and all of them once the oldest has waited for gatherResults.
func (o *ownedSubmission) due(now time.Time) []*item {
	if o.ended || len(o.ready) == 0 {
		return nil
	}
	flushAll := now.Sub(o.ready[0].readyAt) >= gatherResults
	if !flushAll && !o.wantedGroupsComplete() {
		return nil
	}
	var due []*item
	bytes := 0
	for _, i := range o.ready {
		if !flushAll && o.unfinished[groupOf(i.record)] > 0 {
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

// wantedGroupsComplete reports whether at least as many groups are complete as the
// trainer waits for.
func (o *ownedSubmission) wantedGroupsComplete() bool {
	return o.complete() >= int(o.record.GetWantedGroups())
}

// complete returns the number of complete groups.
func (o *ownedSubmission) complete() int {
	n := 0
	for _, unfinished := range o.unfinished {
		if unfinished == 0 {
			n++
		}
	}
	return n
}

// appendListed adds a batch of results that is now stored and notifies waiting readers.
func (o *ownedSubmission) appendListed(results []*recordpb.Result) {
	o.listed = append(o.listed, results...)
	o.readAt = time.Time{}
	o.batch++
	close(o.changed)
	o.changed = make(chan struct{})
}
