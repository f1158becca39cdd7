package submission

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

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
	// Confirmed reports whether what this node owns is surely still its own.
	Confirmed   func() bool
	Logger *slog.Logger
}

// Service answers the calls of submissions on one node, whoever owns them. It
// is safe for concurrent use.
type Service struct {
	options Options

	mu     sync.Mutex
	heads  map[string]head
	owners map[string]*Owner // by unit
	// former are owners that lost their units just now.
	former map[string]*Owner
	copies map[string]*listing
	bodies map[string]*recordpb.Submission
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
		former:  map[string]*Owner{},
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

// StartOwner makes an owner run the unit's open submissions.
func (s *Service) StartOwner(owner *Owner) {
	unit := owner.options.Unit.Name
	s.mu.Lock()
	old := s.owners[unit]
	s.owners[unit] = owner
	mine := map[string]head{}
	for id, h := range s.heads {
		if h.Unit == unit {
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

// StopOwner stops the owner of a unit.
func (s *Service) StopOwner(unit string) {
	s.mu.Lock()
	owner := s.owners[unit]
	delete(s.owners, unit)
	if owner != nil {
		s.keepFormer(unit, owner)
	}
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

// ownerHere returns the owner of a unit if that is on this node.
func (s *Service) ownerHere(unit string) *Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[unit]
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
