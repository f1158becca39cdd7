package submission

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// Peers sends calls to the owners of units on other nodes.
type Peers interface {
	// Announce sends an accepted submission, encoded as a record, to its owner.
	Announce(ctx context.Context, node cluster.Node, record []byte) error
	// Read requests the results from position after on and waits up to wait for one;
	// owned is false if the node does not run the submission.
	Read(ctx context.Context, node cluster.Node, id string, after int, wait time.Duration) (total int, results []*recordpb.Result, owned bool, err error)
}

// Options configures a Service.
type Options struct {
	Store   metastore.Store
	Cluster *cluster.Cluster
	Peers   Peers
	// OwnershipConfirmed reports whether this node's ownership of its units is confirmed.
	OwnershipConfirmed func() bool
	Logger             *slog.Logger
}

// Service serves submission calls on one node, whichever node owns the submission. It is
// safe for concurrent use.
type Service struct {
	options Options
	// waiting is the number of callers whose submission is being accepted or ended.
	waiting atomic.Int64

	mu     sync.Mutex
	heads  map[string]head
	owners map[string]*Owner // by unit
	// previousOwners contains the owners, by unit, whose units this node lost recently.
	previousOwners map[string]*Owner
	resultCache    map[string]*cachedResults
	recordCache    map[string]*recordpb.Submission
}

// Sizes of the caches from which a node serves submissions that it does not own.
const (
	maxCachedResults = 8
	maxCachedRecords = 3
)

// Timeouts and retry limits of calls.
const (
	storeTimeout = time.Second
	// acceptTimeout is how long the write of a submission is retried, and acceptCall
	// bounds one attempt: a slow store can take half a second.
	acceptTimeout   = 2400 * time.Millisecond
	acceptCall      = 1200 * time.Millisecond
	announceTimeout = 500 * time.Millisecond
	// readSlack is added to a reader's wait limit to get the timeout of the call to the
	// owner.
	readSlack = 400 * time.Millisecond
	// openPause is the longest pause between two attempts to read an accepted submission.
	openPause = 100 * time.Millisecond
)

// NewService returns a service that owns no units.
func NewService(options Options) *Service {
	return &Service{
		options:        options,
		heads:          map[string]head{},
		owners:         map[string]*Owner{},
		previousOwners: map[string]*Owner{},
		resultCache:    map[string]*cachedResults{},
		recordCache:    map[string]*recordpb.Submission{},
	}
}

// CallersWait reports whether a caller waits for the store to accept or end a submission.
func (s *Service) CallersWait() bool { return s.waiting.Load() > 0 }

// Changed handles a change of a submission's head.
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
		event.RecordSkipped.Log(context.Background(), s.options.Logger, slog.String("key", e.Key))
		return
	}
	s.options.Cluster.Want(h.Unit)
	if owner := s.recordHead(id, h); owner != nil {
		go s.applyHead(owner, id, h)
	}
}

// recordHead stores the head of a submission if it is newer than the known one. It
// returns the owner of the submission's unit if that is on this node, else nil.
func (s *Service) recordHead(id string, h head) *Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, known := s.heads[id]; !known || old.Revision < h.Revision {
		s.heads[id] = h
	}
	return s.owners[h.Unit]
}

// applyHead makes an owner open a submission, or end it, according to its head.
func (s *Service) applyHead(owner *Owner, id string, h head) {
	if h.Ended {
		owner.End(id)
		return
	}
	// What was accepted is owed: the owner tries as long as the submission is open.
	for owner.ctx.Err() == nil && !owner.HasSubmission(id) && s.isOpen(id) {
		err := s.open(owner, id, h)
		if err == nil {
			return
		}
		event.ReadFailed.Log(owner.ctx, s.options.Logger, slog.String("submission", id), slog.String("cause", err.Error()))
		metastore.Pause(owner.ctx, s.options.Store, openPause)
	}
}

// isOpen reports whether a submission is known and has not ended.
func (s *Service) isOpen(id string) bool {
	h, known := s.knownHead(id)
	return known && !h.Ended
}

// open reads a submission and its results from the store and passes them to its owner.
func (s *Service) open(owner *Owner, id string, h head) error {
	record, err := s.readRecord(owner.ctx, id)
	if err != nil {
		return err
	}
	results, batches, err := s.readResults(owner.ctx, id)
	if err != nil {
		return err
	}
	if s.isOpen(id) {
		owner.Open(record, h, results, batches)
	}
	return nil
}

// StartOwner registers and runs the owner of a unit, and opens the unit's submissions.
func (s *Service) StartOwner(owner *Owner) {
	unit := owner.options.Unit.Name
	s.mu.Lock()
	old := s.owners[unit]
	s.owners[unit] = owner
	unitHeads := map[string]head{}
	for id, h := range s.heads {
		if h.Unit == unit {
			unitHeads[id] = h
		}
	}
	s.mu.Unlock()
	if old != nil {
		old.Stop()
	}
	go owner.Run()
	for id, h := range unitHeads {
		go s.applyHead(owner, id, h)
	}
}

// StopOwner stops the owner of a unit that this node has lost.
func (s *Service) StopOwner(unit string) {
	s.mu.Lock()
	owner := s.owners[unit]
	delete(s.owners, unit)
	if owner != nil {
		s.keepPreviousOwner(unit, owner)
	}
	s.mu.Unlock()
	if owner != nil {
		owner.Stop()
	}
}

// Wake triggers a scheduling round of every owner.
func (s *Service) Wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, owner := range s.owners {
		owner.Wake()
	}
}

// localOwner returns the owner of a unit if that is on this node, else nil.
func (s *Service) localOwner(unit string) *Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[unit]
}

// knownHead returns the head of a submission if this node has received it.
func (s *Service) knownHead(id string) (head, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.heads[id]
	return h, ok
}

// findHead returns the head of a submission. It returns ErrNotFound only if the store
// confirms that the submission does not exist.
func (s *Service) findHead(ctx context.Context, id string) (head, error) {
	if h, ok := s.knownHead(id); ok {
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
	if owner := s.recordHead(id, h); owner != nil {
		go s.applyHead(owner, id, h)
	}
	return h, nil
}
