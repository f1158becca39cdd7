package submission

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// Read returns the total number of items and the results from position after on. It
// waits up to maxWait for at least one result.
func (s *Service) Read(ctx context.Context, id string, after int, maxWait time.Duration) (int, []*recordpb.Result, error) {
	h, err := s.findHead(ctx, id)
	if err != nil {
		return 0, nil, err
	}
	if results, known := s.readOwned(ctx, h, id, after, maxWait); known {
		return h.Total, results, nil
	}
	results, err := s.storedResults(ctx, id, h)
	if err != nil {
		return 0, nil, err
	}
	if after >= len(results) {
		return h.Total, nil, nil
	}
	return h.Total, results[after:], nil
}

// storedResults returns the stored results, from the cache if that contains all of them.
func (s *Service) storedResults(ctx context.Context, id string, h head) ([]*recordpb.Result, error) {
	if cached := s.cachedResultsOf(id); len(cached.results) == h.Total {
		return cached.results, nil
	}
	results, _, err := s.readResults(ctx, id)
	return results, err
}

// readOwned reads results from the submission's owner, on this or another node.
func (s *Service) readOwned(ctx context.Context, h head, id string, after int, maxWait time.Duration) ([]*recordpb.Result, bool) {
	if owner := s.localOwner(h.Unit); owner != nil {
		_, results, known := s.readConfirmed(ctx, owner, id, after, maxWait)
		return results, known
	}
	node, _, alive := s.options.Cluster.Owner(h.Unit)
	if !alive {
		return nil, false
	}
	callCtx, cancel := context.WithTimeout(ctx, maxWait+readSlack)
	defer cancel()
	_, results, owned, err := s.options.Peers.Read(callCtx, node, id, after, maxWait)
	if err != nil {
		event.ReadFailed.Log(ctx, s.options.Logger, slog.String("submission", id), slog.String("owner", node.Name), slog.String("cause", err.Error()))
	}
	return results, err == nil && owned
}

// ReadLocal serves a read from another node that considers this node the owner.
func (s *Service) ReadLocal(ctx context.Context, id string, after int, maxWait time.Duration) (int, []*recordpb.Result, bool) {
	s.mu.Lock()
	owners := make([]*Owner, 0, len(s.owners))
	for _, owner := range s.owners {
		owners = append(owners, owner)
	}
	s.mu.Unlock()
	for _, owner := range owners {
		if owner.HasSubmission(id) {
			return s.readConfirmed(ctx, owner, id, after, maxWait)
		}
	}
	return 0, nil, false
}

// readConfirmed reads from an owner on this node. An empty result is returned only while
// the ownership is confirmed, because a new owner may have listed results.
func (s *Service) readConfirmed(ctx context.Context, owner *Owner, id string, after int, maxWait time.Duration) (int, []*recordpb.Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	total, results, known := owner.Read(ctx, id, after)
	if known && len(results) == 0 && !s.options.OwnershipConfirmed() {
		return 0, nil, false
	}
	return total, results, known
}

// Body returns the body of an item of a submission.
func (s *Service) Body(ctx context.Context, id, itemID string) ([]byte, error) {
	h, err := s.findHead(ctx, id)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	owner := s.owners[h.Unit]
	record := s.recordCache[id]
	s.mu.Unlock()
	if owner != nil {
		if body, ok := owner.Body(id, itemID); ok {
			return body, nil
		}
	}
	if record == nil {
		if record, err = s.readRecord(ctx, id); err != nil {
			return nil, err
		}
		s.cacheRecord(id, record)
	}
	for _, item := range record.GetItems() {
		if item.GetId() == itemID {
			return item.GetBody(), nil
		}
	}
	return nil, ErrNotFound.New("item %s of submission %s", itemID, id)
}

// cacheRecord caches the record of a submission. A full cache evicts arbitrary entries.
func (s *Service) cacheRecord(id string, record *recordpb.Submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other := range s.recordCache {
		if len(s.recordCache) < maxCachedRecords {
			break
		}
		delete(s.recordCache, other)
	}
	s.recordCache[id] = record
}
