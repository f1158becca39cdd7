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
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// Scorer makes the call that scores a text and returns the whole answer.
type Scorer func(ctx context.Context, reward *recordpb.Reward) (*call.Answer, int, error)

// OwnerOptions are what the owner of a unit works with.
type OwnerOptions struct {
	Unit      cluster.Unit
	Service   string
	Zone      string
	Store     metastore.Store
	Directory *fleet.Directory
	Routes    *route.Holder
	Streamer  call.Streamer
	Scorer    Scorer
	// ScoreSlots bounds the scoring calls at once.
	ScoreSlots func() int
	// Status is how long an ended submission can be read; then it is removed.
	Status time.Duration
	// Ended is told how old a submission of a host and path was at its end; nil
	// is not told.
	Ended  func(host, path string, age time.Duration)
	Logger *slog.Logger
}

// Owner runs the submissions of one unit while its node owns it.
type Owner struct {
	options OwnerOptions
	ctx     context.Context
	cancel  context.CancelFunc
	kick    chan struct{}

	mu sync.Mutex
	// submissions are those that this owner opened, ended ones included.
	submissions map[string]*open
	items       map[string]*item
	// scoresOpen counts the scoring calls that are under way.
	scoresOpen int
	saved      checkpoints
	// leftovers are ended submissions that an owner before ran, and when their
	// records may go.
	leftovers map[string]time.Time
}

// NewOwner returns an owner; Run must run.
func NewOwner(ctx context.Context, options OwnerOptions) *Owner {
	ctx, cancel := context.WithCancel(ctx)
	return &Owner{
		options:     options,
		ctx:         ctx,
		cancel:      cancel,
		kick:        make(chan struct{}, 1),
		submissions: map[string]*open{},
		items:       map[string]*item{},
		saved:       checkpoints{items: map[int][]string{}},
		leftovers:   map[string]time.Time{},
	}
}

// Times of an owner's rounds.
const (
	roundEvery = 50 * time.Millisecond
	// orphanLife is how long texts of an ended submission are kept for the next.
	orphanLife = 8 * time.Second
)

// Run places items, moves slow ones and lists results until ctx ends or the
// unit is lost.
func (o *Owner) Run() {
	ticker := time.NewTicker(roundEvery)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-ticker.C:
		case <-o.kick:
		}
		o.round(time.Now())
	}
}

// Stop ends all that the owner does.
func (o *Owner) Stop() { o.cancel() }

// Poke asks for a round now.
func (o *Owner) Poke() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

func (o *Owner) round(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	engines := newEngines(o.options.Directory.Of(o.options.Service), o.options.Zone, now)
	o.place(engines, now)
	o.move(engines, now)
	o.startScores(now)
	o.list(now)
	o.startCheckpoint(now)
}

// Open takes a submission with the results that it has already.
func (o *Owner) Open(record *recordpb.Submission, h head, listed []*recordpb.Result, batches int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := record.GetId()
	if _, known := o.submissions[id]; known {
		return
	}
	s := &open{id: id, head: h, record: record, parts: partsOf(record), listed: listed, batch: batches, left: map[string]int{}, changed: make(chan struct{})}
	o.submissions[id] = s
	done := make(map[string]struct{}, len(listed))
	for _, result := range listed {
		done[result.GetId()] = struct{}{}
	}
	carried := 0
	for _, one := range record.GetItems() {
		if _, is := done[one.GetId()]; is {
			s.left[groupOf(one)] += 0 // the group counts, also when all of it is listed
			continue
		}
		s.left[groupOf(one)]++
		if o.adopt(s, one) {
			carried++
		}
	}
	event.SubmissionOpened.Log(o.ctx, o.options.Logger, slog.String("submission", id), slog.String("model", record.GetModel()),
		slog.Int64("step", record.GetStep()), slog.Int64("min_version", record.GetMinVersion()), slog.Int("items", len(record.GetItems())),
		slog.Int("listed", len(listed)), slog.Int("carried", carried))
	o.Poke()
}

// adopt makes the item of a submission, with the text of an earlier one that
// ended before it was listed. It reports whether there was one.
func (o *Owner) adopt(s *open, record *recordpb.Item) bool {
	old := o.items[record.GetId()]
	if old == nil || old.of != nil {
		o.items[record.GetId()] = &item{record: record, of: s}
		return false
	}
	sameReward := old.record.GetReward().GetId() == record.GetReward().GetId()
	if !old.restored {
		old.text.saved = 0 // the keys with its text may be gone by now
	}
	old.of, old.record, old.carried, old.restored = s, record, true, false
	if !old.text.fits(s.record.GetMinVersion(), o.single(s)) {
		o.restart(old)
		return true
	}
	if old.state == finished && !old.result.GetAbandoned() && sameReward {
		old.settle(false, time.Now())
		o.finish(old)
		return true
	}
	if old.state == finished || old.state == scoring {
		old.state, old.result, old.score, old.failures = waiting, nil, "", 0
	}
	if old.text.complete {
		o.score(old)
	}
	return true
}

// restart drops an item's text.
func (o *Owner) restart(i *item) {
	i.drop()
	i.text = text{}
	i.restarts++
	i.result, i.score = nil, ""
}

func (o *Owner) routeOf(s *open) (*route.Route, bool) {
	configuration := o.options.Routes.Load()
	if configuration == nil {
		return nil, false
	}
	return configuration.Match(s.record.GetHost(), s.record.GetPath())
}

func (o *Owner) single(s *open) bool {
	r, ok := o.routeOf(s)
	return ok && r.SingleVersion
}

// SingleVersion reports whether a running submission of the model needs texts
// of one version.
func (o *Owner) SingleVersion(model string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.submissions {
		if !s.ended && s.record.GetModel() == model && o.single(s) {
			return true
		}
	}
	return false
}

// End stops a submission: nothing of it is started any more. Runs go on for a
// while, since the next submission may bring their items back.
func (o *Owner) End(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	s := o.submissions[id]
	if s == nil {
		o.leave(id, now)
		return
	}
	if s.ended {
		return
	}
	s.ended, s.endedAt = true, now
	var left []string
	for _, one := range s.record.GetItems() {
		if i := o.items[one.GetId()]; i != nil && i.of == s {
			left = append(left, i.describe(now))
			i.of, i.orphanedAt = nil, now
		}
	}
	s.ready = nil
	s.record = &recordpb.Submission{Id: id, Host: s.record.GetHost(), Path: s.record.GetPath(), Model: s.record.GetModel()}
	age := now.Sub(s.head.acceptedAt())
	event.SubmissionEnded.Log(o.ctx, o.options.Logger, slog.String("submission", id), slog.Int("listed", len(s.listed)),
		slog.Int("unlisted", len(left)), slog.Int64("age_ms", age.Milliseconds()),
		slog.String("missing", strings.Join(left[:min(len(left), missingMost)], "; ")))
	if o.options.Ended != nil {
		o.options.Ended(s.record.GetHost(), s.record.GetPath(), age)
	}
}

// leave notes an ended submission that this owner never opened; o.mu is held.
func (o *Owner) leave(id string, now time.Time) {
	if _, known := o.leftovers[id]; !known {
		o.leftovers[id] = now.Add(o.options.Status)
	}
}

// expire drops texts that no submission brought back, and what readers had time
// to read.
func (o *Owner) expire(now time.Time) {
	for id, i := range o.items {
		if i.of != nil || now.Sub(i.orphanedAt) < orphanLife {
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
	for id, at := range o.leftovers {
		if now.After(at) {
			delete(o.leftovers, id)
			go o.removeLeftover(id)
		}
	}
}

// Read returns the results from position after on; known is false when this
// owner does not hold the submission. It waits for one until ctx ends.
func (o *Owner) Read(ctx context.Context, id string, after int) (total int, results []*recordpb.Result, known bool) {
	for {
		o.mu.Lock()
		s := o.submissions[id]
		if s == nil || o.ctx.Err() != nil {
			o.mu.Unlock()
			return 0, nil, false
		}
		total, changed, ended := s.head.Total, s.changed, s.ended
		if after < len(s.listed) {
			results = s.listed[after:len(s.listed):len(s.listed)]
		}
		o.mu.Unlock()
		if len(results) > 0 || ended || after >= total {
			return total, results, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return total, nil, true
		case <-o.ctx.Done():
			return 0, nil, false
		}
	}
}

// Body returns the body of an item that this owner holds.
func (o *Owner) Body(id, itemID string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.submissions[id]
	if s == nil {
		return nil, false
	}
	for _, one := range s.record.GetItems() {
		if one.GetId() == itemID {
			return one.GetBody(), true
		}
	}
	return nil, false
}

// Known reports whether this owner holds the submission.
func (o *Owner) Known(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.submissions[id] != nil
}
