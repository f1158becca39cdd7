package submission

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Peers reaches the owners of units on other nodes.
type Peers interface {
	// Announce hands over an accepted submission.
	Announce(ctx context.Context, node cluster.Node, record []byte) error
	// Read asks for results; owned is false when the node does not hold it.
	Read(ctx context.Context, node cluster.Node, id string, after int, wait time.Duration) (total int, results []*recordpb.Result, owned bool, err error)
}

// Options of a Service.
type Options struct {
	Store   metastore.Store
	Cluster *cluster.Cluster
	Peers   Peers
	// Sure reports whether what this node owns is surely still its own.
	Sure func() bool
	// Status is how long results can be read after a submission arrived.
	Status time.Duration
	Logger *slog.Logger
}

// Service answers the calls of submissions on one node, whoever owns them. It
// is safe for concurrent use.
type Service struct {
	options Options

	mu     sync.Mutex
	heads  map[string]head
	owners map[string]*Owner // by unit
	copies map[string]*listing
	bodies map[string]*recordpb.Submission
}

// listing are the results of a submission as read from the store.
type listing struct {
	results []*recordpb.Result
	last    string
	readAt  time.Time
}

// Bounds of what a node keeps to answer for other owners.
const (
	copiesMost = 8
	bodiesMost = 3
)

// Times of calls.
const (
	storeTimeout = time.Second
	// acceptTimeout is how long a submission's write is repeated, and acceptCall
	// bounds one try: a slow store may take half a second.
	acceptTimeout = 2400 * time.Millisecond
	acceptCall    = 1200 * time.Millisecond
	announceTime  = 500 * time.Millisecond
	// readSlack is what an owner may take beyond the time a reader waits.
	readSlack = 400 * time.Millisecond
	openTries = 40
	openPause = 100 * time.Millisecond
)

// NewService returns a service that owns nothing.
func NewService(options Options) *Service {
	return &Service{
		options: options,
		heads:   map[string]head{},
		owners:  map[string]*Owner{},
		copies:  map[string]*listing{},
		bodies:  map[string]*recordpb.Submission{},
	}
}

// Changed takes a change of a submission's head.
func (s *Service) Changed(e metastore.Event) {
	id := strings.TrimPrefix(e.Key, cluster.OpenPrefix)
	if e.Deleted {
		s.mu.Lock()
		delete(s.heads, id)
		s.mu.Unlock()
		return
	}
	h, err := decodeHead(e.Item)
	if err != nil {
		event.RecordBroken.Log(context.Background(), s.options.Logger, slog.String("key", e.Key))
		return
	}
	s.options.Cluster.Want(h.Unit)
	if owner := s.learn(id, h); owner != nil {
		go s.follow(owner, id, h)
	}
}

// learn keeps the newest head of a submission and returns its owner if that is
// on this node.
func (s *Service) learn(id string, h head) *Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, known := s.heads[id]; !known || old.Revision < h.Revision {
		s.heads[id] = h
	}
	return s.owners[h.Unit]
}

// follow makes an owner run a submission, or end it.
func (s *Service) follow(owner *Owner, id string, h head) {
	if h.Ended {
		owner.End(id)
		return
	}
	for try := 0; try < openTries && owner.ctx.Err() == nil && !owner.Known(id); try++ {
		err := s.open(owner, id, h)
		if err == nil {
			return
		}
		event.ReadFailed.Log(owner.ctx, s.options.Logger, slog.String("submission", id), slog.String("cause", err.Error()))
		wait.For(owner.ctx, openPause)
	}
}

// open reads a submission with its results from the store for its owner.
func (s *Service) open(owner *Owner, id string, h head) error {
	record, err := s.record(owner.ctx, id)
	if err != nil {
		return err
	}
	results, batches, err := s.results(owner.ctx, id)
	if err != nil {
		return err
	}
	s.mu.Lock()
	ended := s.heads[id].Ended
	s.mu.Unlock()
	if !ended {
		owner.Open(record, h, results, batches)
	}
	return nil
}

// Gain makes an owner run the unit's open submissions.
func (s *Service) Gain(owner *Owner) {
	unit := owner.options.Unit.Name
	s.mu.Lock()
	old := s.owners[unit]
	s.owners[unit] = owner
	mine := map[string]head{}
	for id, h := range s.heads {
		if h.Unit == unit && !h.Ended {
			mine[id] = h
		}
	}
	s.mu.Unlock()
	if old != nil {
		old.Stop()
	}
	go owner.Run()
	for id, h := range mine {
		go s.follow(owner, id, h)
	}
}

// Lose stops the owner of a unit.
func (s *Service) Lose(unit string) {
	s.mu.Lock()
	owner := s.owners[unit]
	delete(s.owners, unit)
	s.mu.Unlock()
	if owner != nil {
		owner.Stop()
	}
}

// Poke asks all owners for a round.
func (s *Service) Poke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, owner := range s.owners {
		owner.Poke()
	}
}

// Accept makes a submission last. From a nil error on the system keeps it; the
// same submission is accepted again without effect.
func (s *Service) Accept(ctx context.Context, unit string, record *recordpb.Submission) error {
	if err := Check(record); err != nil {
		return err
	}
	id := record.GetId()
	if h, known := s.known(id); known && h.Revision > 0 {
		return nil
	}
	record.AcceptedUnixMs = time.Now().UnixMilli()
	puts, err := parts(record)
	if err != nil {
		return err
	}
	h := head{Unit: unit, Total: len(record.GetItems()), AcceptedMillis: record.GetAcceptedUnixMs()}
	value, err := json.Marshal(h)
	if err != nil {
		return ErrMalformed.Wrap(err, "head")
	}
	s.options.Cluster.Want(unit)
	txn := metastore.Txn{
		Conditions: []metastore.Condition{{Key: headKey(id)}},
		Puts:       append([]metastore.Put{{Key: headKey(id), Value: value}}, puts...),
	}
	h.Revision, err = s.commitOnce(ctx, txn, id)
	if err != nil {
		event.SubmissionFailed.Log(ctx, s.options.Logger, slog.String("submission", id), slog.String("cause", err.Error()))
		return err
	}
	event.SubmissionTaken.Log(ctx, s.options.Logger, slog.String("submission", id), slog.String("unit", unit),
		slog.Int("items", h.Total), slog.Int64("took_ms", time.Now().UnixMilli()-h.AcceptedMillis))
	if h.Revision > 0 {
		s.handOver(record, h)
	}
	return nil
}

// commitOnce applies a transaction that creates a head. The revision is zero
// when it stood already.
func (s *Service) commitOnce(ctx context.Context, txn metastore.Txn, id string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	unknown := false
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, acceptCall)
		revision, err := s.options.Store.Commit(callCtx, txn)
		cancelCall()
		switch {
		case err == nil:
			return revision, nil
		case errorx.IsOfType(err, metastore.ErrConflict):
			return 0, nil
		case errorx.IsOfType(err, metastore.ErrUnknown):
			unknown = true
		}
		if !wait.For(ctx, writePause) {
			break
		}
	}
	if unknown {
		return 0, ErrUnknown.New("the store did not confirm submission %s", id)
	}
	return 0, ErrUnavailable.New("the store did not take submission %s", id)
}

// handOver gives an accepted submission to its owner. When that fails, the owner
// finds it by its head.
func (s *Service) handOver(record *recordpb.Submission, h head) {
	owner := s.learn(record.GetId(), h)
	if owner != nil {
		s.openNew(owner, record, h)
		return
	}
	node, _, alive := s.options.Cluster.Owner(h.Unit)
	if !alive {
		return
	}
	go func() {
		encoded, err := proto.Marshal(record)
		if err != nil {
			return // it was encoded once already
		}
		ctx, cancel := context.WithTimeout(context.Background(), announceTime)
		defer cancel()
		if err := s.options.Peers.Announce(ctx, node, encoded); err != nil {
			event.ReadFailed.Log(ctx, s.options.Logger, slog.String("submission", record.GetId()), slog.String("cause", err.Error()))
		}
	}()
}

// known returns the head of a submission that this node has heard of.
func (s *Service) known(id string) (head, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.heads[id]
	return h, ok
}

// find returns the head of a submission; ErrNotFound only when the store itself
// says that there is none.
func (s *Service) find(ctx context.Context, id string) (head, error) {
	if h, ok := s.known(id); ok {
		return h, nil
	}
	if checkID("submission", id) != nil {
		return head{}, ErrNotFound.New("submission %s", id)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	found, err := s.options.Store.Get(ctx, headKey(id))
	if errorx.IsOfType(err, metastore.ErrNotFound) {
		return head{}, ErrNotFound.New("submission %s", id)
	}
	if err != nil {
		return head{}, ErrUnavailable.Wrap(err, "submission %s", id)
	}
	h, err := decodeHead(found)
	if err != nil {
		return head{}, ErrUnavailable.Wrap(err, "submission %s", id)
	}
	if owner := s.learn(id, h); owner != nil {
		go s.follow(owner, id, h)
	}
	return h, nil
}

// Read returns the results from position after on. It waits for one up to the
// given time.
func (s *Service) Read(ctx context.Context, id string, after int, patience time.Duration) (int, []*recordpb.Result, error) {
	h, err := s.find(ctx, id)
	if err != nil {
		return 0, nil, err
	}
	if results, known := s.readOwned(ctx, h, id, after, patience); known {
		return h.Total, results, nil
	}
	results, err := s.lasting(ctx, id, h)
	if err != nil {
		return 0, nil, err
	}
	if after >= len(results) {
		return h.Total, nil, nil
	}
	return h.Total, results[after:], nil
}

// lasting returns the results that last, from memory where none can come any
// more.
func (s *Service) lasting(ctx context.Context, id string, h head) ([]*recordpb.Result, error) {
	if known := s.copyOf(id); len(known.results) == h.Total {
		return known.results, nil
	}
	results, _, err := s.results(ctx, id)
	return results, err
}

// readOwned reads from the submission's owner, here or on another node.
func (s *Service) readOwned(ctx context.Context, h head, id string, after int, patience time.Duration) ([]*recordpb.Result, bool) {
	s.mu.Lock()
	owner := s.owners[h.Unit]
	s.mu.Unlock()
	if owner != nil {
		waitCtx, cancel := context.WithTimeout(ctx, patience)
		defer cancel()
		_, results, known := s.readSure(waitCtx, owner, id, after)
		return results, known
	}
	node, _, alive := s.options.Cluster.Owner(h.Unit)
	if !alive {
		return nil, false
	}
	callCtx, cancel := context.WithTimeout(ctx, patience+readSlack)
	defer cancel()
	_, results, owned, err := s.options.Peers.Read(callCtx, node, id, after, patience)
	if err != nil {
		event.ReadFailed.Log(ctx, s.options.Logger, slog.String("submission", id), slog.String("owner", node.Name), slog.String("cause", err.Error()))
	}
	return results, err == nil && owned
}

// ReadLocal answers another node that takes this one for the owner.
func (s *Service) ReadLocal(ctx context.Context, id string, after int, patience time.Duration) (int, []*recordpb.Result, bool) {
	s.mu.Lock()
	owners := make([]*Owner, 0, len(s.owners))
	for _, owner := range s.owners {
		owners = append(owners, owner)
	}
	s.mu.Unlock()
	for _, owner := range owners {
		if owner.Known(id) {
			waitCtx, cancel := context.WithTimeout(ctx, patience)
			defer cancel()
			return s.readSure(waitCtx, owner, id, after)
		}
	}
	return 0, nil, false
}

// readSure reads from an owner on this node. That there is no result at a
// position is believed only while the ownership surely stands: another owner may
// have listed some.
func (s *Service) readSure(ctx context.Context, owner *Owner, id string, after int) (int, []*recordpb.Result, bool) {
	total, results, known := owner.Read(ctx, id, after)
	if known && len(results) == 0 && !s.options.Sure() {
		return 0, nil, false
	}
	return total, results, known
}

// Announced takes a submission that another node accepted for this owner.
func (s *Service) Announced(record *recordpb.Submission) {
	id := record.GetId()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		h, err := s.find(ctx, id)
		if err != nil || h.Ended {
			return // the head, when it is seen, brings it back
		}
		s.mu.Lock()
		owner := s.owners[h.Unit]
		s.mu.Unlock()
		if owner != nil {
			s.openNew(owner, record, h)
		}
	}()
}

// openNew makes an owner run a submission that was just accepted. One that is
// older than the ownership may have results of an owner before, and is read from
// the store.
func (s *Service) openNew(owner *Owner, record *recordpb.Submission, h head) {
	if owner.options.Unit.Epoch > h.Revision {
		go s.follow(owner, record.GetId(), h)
		return
	}
	owner.Open(record, h, nil, 0)
}

// Body returns the body of an item of a submission.
func (s *Service) Body(ctx context.Context, id, itemID string) ([]byte, error) {
	h, err := s.find(ctx, id)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	owner := s.owners[h.Unit]
	record := s.bodies[id]
	s.mu.Unlock()
	if owner != nil {
		if body, ok := owner.Body(id, itemID); ok {
			return body, nil
		}
	}
	if record == nil {
		if record, err = s.record(ctx, id); err != nil {
			return nil, err
		}
		s.keepBodies(id, record)
	}
	for _, one := range record.GetItems() {
		if one.GetId() == itemID {
			return one.GetBody(), nil
		}
	}
	return nil, ErrNotFound.New("item %s of submission %s", itemID, id)
}

func (s *Service) keepBodies(id string, record *recordpb.Submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other := range s.bodies {
		if len(s.bodies) < bodiesMost {
			break
		}
		delete(s.bodies, other)
	}
	s.bodies[id] = record
}

// End ends a submission for good.
func (s *Service) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	h, err := s.find(ctx, id)
	for err == nil && !h.Ended {
		h, err = s.endOnce(ctx, id, h)
	}
	if err != nil {
		return err
	}
	if owner := s.learn(id, h); owner != nil {
		owner.End(id)
	}
	return nil
}

// endOnce tries to write the end and returns the head that stands then.
func (s *Service) endOnce(ctx context.Context, id string, h head) (head, error) {
	ended := h
	ended.Ended = true
	value, err := json.Marshal(ended)
	if err != nil {
		return h, ErrUnavailable.Wrap(err, "head")
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := s.options.Store.Commit(callCtx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: headKey(id), Revision: h.Revision}},
		Puts:       []metastore.Put{{Key: headKey(id), Value: value}},
	})
	if err == nil {
		ended.Revision = revision
		return ended, nil
	}
	if ctx.Err() != nil {
		return h, ErrUnavailable.Wrap(err, "end of submission %s", id)
	}
	wait.For(ctx, writePause)
	found, readErr := s.options.Store.Get(ctx, headKey(id))
	if readErr != nil {
		if ctx.Err() != nil {
			return h, ErrUnavailable.Wrap(err, "end of submission %s", id)
		}
		return h, nil // tried again while there is time
	}
	return decodeHead(found)
}

// record reads a submission from the store.
func (s *Service) record(ctx context.Context, id string) (*recordpb.Submission, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	items, _, err := metastore.ListAll(ctx, s.options.Store, recordPrefix+id+"/")
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "submission %s", id)
	}
	if len(items) == 0 {
		return nil, ErrNotFound.New("record of submission %s", id)
	}
	return join(items)
}

// results reads the listed results from the store, beyond those that were read
// before, and the number of batches that they came in.
func (s *Service) results(ctx context.Context, id string) ([]*recordpb.Result, int, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	known := s.copyOf(id)
	after := known.last
	var all []metastore.Item
	for {
		page, err := s.options.Store.Range(ctx, resultPrefix+id+"/", after)
		if err != nil {
			return nil, 0, ErrUnavailable.Wrap(err, "results of submission %s", id)
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	results := known.results[:len(known.results):len(known.results)]
	last := known.last
	for _, item := range all {
		batch := &recordpb.Batch{}
		if err := proto.Unmarshal(item.Value, batch); err != nil {
			return nil, 0, ErrUnavailable.Wrap(err, "results of submission %s", id)
		}
		results = append(results, batch.GetResults()...)
		last = item.Key
	}
	s.keepCopy(id, &listing{results: results, last: last, readAt: time.Now()})
	return results, batchesOf(id, last), nil
}

// batchesOf returns how many batches there are when last is the newest's key.
func batchesOf(id, last string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(last, resultPrefix+id+"/"))
	if err != nil {
		return 0 // no batch was read
	}
	return n + 1
}

func (s *Service) copyOf(id string) listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.copies[id]; c != nil {
		return *c
	}
	return listing{}
}

func (s *Service) keepCopy(id string, c *listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.copies[id]; !known && len(s.copies) >= copiesMost {
		oldest := ""
		for other, o := range s.copies {
			if oldest == "" || o.readAt.Before(s.copies[oldest].readAt) {
				oldest = other
			}
		}
		delete(s.copies, oldest)
	}
	if old := s.copies[id]; old == nil || len(old.results) <= len(c.results) {
		s.copies[id] = c
	}
}
