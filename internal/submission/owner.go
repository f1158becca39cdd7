package submission

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/share"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// Scorer makes the call that scores a text. It returns the complete response and the
// maximum number of attempts.
type Scorer func(ctx context.Context, reward *recordpb.Reward) (*call.Answer, int, error)

// OwnerOptions configures an Owner.
type OwnerOptions struct {
	Unit      cluster.Unit
	Service   string
	Zone      string
	Store     metastore.Store
	Directory *fleet.Directory
	Routes    *route.Holder
	Streamer  call.Streamer
	Scorer    Scorer
	// ScoreSlots returns the maximum number of concurrent scoring calls. It is this owner's
	// fraction of the slots of the plain endpoints.
	ScoreSlots func() int
	// Status is how long an ended submission stays readable before it is removed.
	Status time.Duration
	// Ended, if not nil, is called when a submission ends, with its host, path and age, and
	// with the times of its slowest item; these have no parts if no result was listed.
	Ended  func(host, path string, age time.Duration, times StepTimes)
	Logger *slog.Logger
}

// Owner runs the submissions of one unit while its node owns it.
type Owner struct {
	options OwnerOptions
	ctx     context.Context
	cancel  context.CancelFunc
	wake    chan struct{}

	mu sync.Mutex
	// submissions contains the submissions that this owner opened, including ended ones.
	submissions map[string]*ownedSubmission
	// items contains the items by their keys.
	items map[string]*item
	// scoresOpen counts the scoring calls in flight.
	scoresOpen int
	// lengths, demands (the tokens that a model's submissions ask for), arrivals (how often
	// they arrive), loadSlope, fastestGap and usualGap (the lowest and the median usual time
	// per event of an engine) are learned from the texts and engines of the unit.
	lengths    lengths
	demands    map[string]float64
	arrivals   map[string]*arrivalStats
	loadSlope  *fleet.LoadSlope
	fastestGap time.Duration
	usualGap   time.Duration
	// steps orders the submissions of accounts while the engines are short.
	steps share.Steps
	saved checkpoints
	// removals maps ended submissions that this owner did not run, or could not remove
	// yet, to the times at which their records may be removed.
	removals map[string]time.Time
}

// NewOwner returns an owner; the caller must call Run.
func NewOwner(ctx context.Context, options OwnerOptions) *Owner {
	ctx, cancel := context.WithCancel(ctx)
	return &Owner{
		options:     options,
		ctx:         ctx,
		cancel:      cancel,
		wake:        make(chan struct{}, 1),
		submissions: map[string]*ownedSubmission{},
		items:       map[string]*item{},
		demands:     map[string]float64{},
		arrivals:    map[string]*arrivalStats{},
		loadSlope:   fleet.NewLoadSlope(),
		usualGap:    initialGap,
		saved:       checkpoints{items: map[int][]string{}},
		removals:    map[string]time.Time{},
	}
}

// Timing of an owner's scheduling rounds.
const (
	roundInterval = 50 * time.Millisecond
	// orphanTTL is how long the texts of an ended submission are kept for a later
	// submission with the same items.
	orphanTTL = 8 * time.Second
	// scoringAfterEnd is how long scoring calls in flight may go on after their submission
	// ended. Most end by themselves within it, so that endpoints finish what they began.
	scoringAfterEnd = time.Second
)

// Run runs scheduling rounds until the owner's context ends: it places items on engines,
// moves slow runs and lists results.
func (o *Owner) Run() {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-ticker.C:
		case <-o.wake:
		}
		o.round(time.Now())
	}
}

// Stop cancels all work of the owner.
func (o *Owner) Stop() { o.cancel() }

// Wake triggers a scheduling round without waiting for the next tick. It does not block.
func (o *Owner) Wake() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *Owner) round(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	engines := newEngines(o.options.Directory.Of(o.options.Service), o.loadSlope, o.options.Zone, now)
	engines.memory = o.engineMemory()
	o.fastestGap, o.usualGap = engines.least, engines.usual
	o.place(engines, now)
	o.move(engines, now)
	o.startScores(now)
	o.startListing(now)
	o.startCheckpoint(now)
}

// Open starts running a submission. The given results, which are stored in the given number
// of batches, are already listed.
func (o *Owner) Open(record *recordpb.Submission, h head, listed []*recordpb.Result, batches int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := record.GetId()
	if _, known := o.submissions[id]; known {
		return
	}
	s := &ownedSubmission{id: id, head: h, record: record, parts: partsOf(record), listed: listed, batch: batches, unfinished: map[string]int{}, changed: make(chan struct{}), openedAt: time.Now()}
	s.scoringCtx, s.stopScoring = context.WithCancel(o.ctx)
	o.submissions[id] = s
	o.observeDemand(record)
	o.observeArrival(record, h.acceptedAt())
	listedIDs := make(map[string]struct{}, len(listed))
	for _, result := range listed {
		listedIDs[result.GetId()] = struct{}{}
	}
	carried := 0
	for _, itemRecord := range record.GetItems() {
		if _, ok := listedIDs[itemRecord.GetId()]; ok {
			s.unfinished[groupOf(itemRecord)] += 0 // creates the entry even if all items of the group are listed
			continue
		}
		s.unfinished[groupOf(itemRecord)]++
		if o.attachItem(s, itemRecord) {
			carried++
		}
	}
	event.SubmissionOpened.Log(o.ctx, o.options.Logger, slog.String("submission", id), slog.String("model", record.GetModel()),
		slog.Int64("step", record.GetStep()), slog.Int64("min_version", record.GetMinVersion()), slog.Int("items", len(record.GetItems())),
		slog.Int("listed", len(listed)), slog.Int("carried", carried))
	o.Wake()
}

// demandWeight is the weight of the newest submission in the average demand of its model.
const demandWeight = 0.3

// observeDemand updates the average of what the submissions of a model ask for. The caller
// holds o.mu.
func (o *Owner) observeDemand(record *recordpb.Submission) {
	tokens := 0.0
	for _, i := range record.GetItems() {
		tokens += float64(expectedTokens(i))
	}
	average, known := o.demands[record.GetModel()]
	if !known {
		average = tokens
	}
	o.demands[record.GetModel()] = average + demandWeight*(tokens-average)
}

// Demand returns how many tokens the submissions for a model ask for on average, or zero
// if there was none.
func (o *Owner) Demand(model string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.demands[model]
}

// attachItem creates an item for a submission, or reuses the text of an item with the
// same key whose submission ended before the item was listed. It reports whether an item
// was reused.
func (o *Owner) attachItem(s *ownedSubmission, record *recordpb.Item) bool {
	key := itemKey(s.head.Account, record.GetId())
	old := o.items[key]
	if old == nil || old.submission != nil {
		o.items[key] = &item{record: record, account: s.head.Account, submission: s, timing: newTiming(s.head.acceptedAt(), time.Now())}
		return false
	}
	sameReward := old.record.GetReward().GetId() == record.GetReward().GetId()
	if !old.restored {
		old.text.saved = 0 // its checkpoints may have been deleted
	}
	old.submission, old.record, old.account, old.carriedOver, old.restored = s, record, s.head.Account, true, false
	old.timing = newTiming(s.head.acceptedAt(), time.Now())
	old.scoreFailures, old.scoreRefusals = 0, 0
	old.attempts.carryOver()
	switch {
	case !old.text.fits(s.record.GetMinVersion(), o.requiresSingleVersion(s)):
		o.restart(old)
	case old.state == finished && !old.result.GetAbandoned() && sameReward:
		old.setResult(false, time.Now())
		o.finish(old)
		return true
	case old.state == finished || old.state == scoring:
		old.state, old.result, old.score = waiting, nil, ""
	}
	switch {
	case old.text.complete:
		o.startScoring(old)
	case old.state == waiting && old.attempts.exhausted(o.allowedAttempts(old)):
		o.abandon(old, "failed or was rejected too often in earlier submissions")
	}
	return true
}

// restart discards an item's text, so that it is generated from the beginning.
func (o *Owner) restart(i *item) {
	i.cancelRun()
	i.text = text{}
	i.restarts++
	i.result, i.score = nil, ""
}

func (o *Owner) routeOf(s *ownedSubmission) (*route.Route, bool) {
	configuration := o.options.Routes.Load()
	if configuration == nil {
		return nil, false
	}
	return configuration.Match(s.record.GetHost(), s.record.GetPath())
}

// requiresSingleVersion reports whether the submission's route requires texts generated
// by one weight version.
func (o *Owner) requiresSingleVersion(s *ownedSubmission) bool {
	r, ok := o.routeOf(s)
	return ok && r.SingleVersion
}

// SingleVersion reports whether a running submission for the model requires texts
// generated by one weight version.
func (o *Owner) SingleVersion(model string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.submissions {
		if !s.ended && s.record.GetModel() == model && o.requiresSingleVersion(s) {
			return true
		}
	}
	return false
}

// MinVersion returns the highest minimum version of the open submissions for the model,
// and false if there is none.
func (o *Owner) MinVersion(model string) (highest int64, open bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.submissions {
		if !s.ended && s.record.GetModel() == model {
			highest, open = max(highest, s.record.GetMinVersion()), true
		}
	}
	return highest, open
}

// End stops a submission: no further items of it are started. Runs in flight continue
// for a while, because a later submission may contain the same items.
func (o *Owner) End(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	s := o.submissions[id]
	if s == nil {
		o.scheduleRemoval(id, now)
		return
	}
	if s.ended {
		return
	}
	s.ended, s.endedAt = true, now
	time.AfterFunc(scoringAfterEnd, s.stopScoring)
	var unlisted []string
	for _, itemRecord := range s.record.GetItems() {
		if i := o.items[itemKey(s.head.Account, itemRecord.GetId())]; i != nil && i.submission == s {
			unlisted = append(unlisted, i.describe(now))
			i.submission, i.orphanedAt = nil, now
		}
	}
	s.ready = nil
	s.record = &recordpb.Submission{Id: id, Host: s.record.GetHost(), Path: s.record.GetPath(), Model: s.record.GetModel()}
	age := now.Sub(s.head.acceptedAt())
	event.SubmissionEnded.Log(o.ctx, o.options.Logger, slog.String("submission", id), slog.Int("listed", len(s.listed)),
		slog.Int("unlisted", len(unlisted)), slog.Int64("age_ms", age.Milliseconds()),
		slog.String("missing", strings.Join(unlisted[:min(len(unlisted), maxDescribedItems)], "; ")))
	times := o.reportTimes(s)
	if o.options.Ended != nil {
		o.options.Ended(s.record.GetHost(), s.record.GetPath(), age, times)
	}
}

// reportTimes logs and returns where the time of a submission's slowest item went. The
// caller holds o.mu.
func (o *Owner) reportTimes(s *ownedSubmission) StepTimes {
	if s.times.slowest == nil {
		return StepTimes{}
	}
	times := s.times.end(s.readAt, o.fastestGap)
	attrs := []slog.Attr{slog.String("submission", s.id), slog.String("model", s.record.GetModel()), slog.Int("listed", s.times.listed)}
	event.StepTimed.Log(o.ctx, o.options.Logger, append(attrs, s.times.attributes(times)...)...)
	s.times = stepTimes{}
	return times
}

// scheduleRemoval schedules the removal of an ended submission that this owner never
// opened. The caller holds o.mu.
func (o *Owner) scheduleRemoval(id string, now time.Time) {
	if _, known := o.removals[id]; !known {
		o.removals[id] = now.Add(o.options.Status)
	}
}

// expire drops the texts that no later submission reused and removes ended submissions
// whose reading period is over. The caller holds o.mu.
func (o *Owner) expire(now time.Time) {
	for id, i := range o.items {
		if i.submission != nil || now.Sub(i.orphanedAt) < orphanTTL {
			continue
		}
		if i.run != nil {
			i.run.cancel()
		}
		delete(o.items, id)
	}
	for id, s := range o.submissions {
		if s.ended && now.Sub(s.endedAt) > o.options.Status {
			delete(o.submissions, id)
			go o.remove(id, s.keys())
		}
	}
	for id, due := range o.removals {
		if now.After(due) {
			delete(o.removals, id)
			go o.removeUnopened(id)
		}
	}
}
