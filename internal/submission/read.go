package submission

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

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
	if owner := s.ownerHere(h.Unit); owner != nil {
		_, results, known := s.readSure(ctx, owner, id, after, patience)
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
			return s.readSure(ctx, owner, id, after, patience)
		}
	}
	return 0, nil, false
}

// readSure reads from an owner on this node. That there is no result at a
// position is believed only while the ownership surely stands: another owner may
// have listed some.
func (s *Service) readSure(ctx context.Context, owner *Owner, id string, after int, patience time.Duration) (int, []*recordpb.Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	total, results, known := owner.Read(ctx, id, after)
	if known && len(results) == 0 && !s.options.Confirmed() {
		return 0, nil, false
	}
	return total, results, known
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
