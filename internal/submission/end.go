package submission

import (
	"context"
	"encoding/json"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// End ends a submission permanently.
func (s *Service) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	h, err := s.findHead(ctx, id)
	for err == nil && !h.Ended {
		h, err = s.endOnce(ctx, id, h)
	}
	if err != nil {
		return err
	}
	if owner := s.recordHead(id, h); owner != nil {
		owner.End(id)
	}
	return nil
}

// endOnce makes one attempt to mark the head as ended and returns the head as stored
// afterwards.
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
		return h, nil // End retries until its deadline
	}
	return decodeHead(found)
}
