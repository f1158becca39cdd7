package submission

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Accept stores a submission durably: once it returns nil, the submission survives
// failures of nodes. Accepting the same submission again has no effect.
func (s *Service) Accept(ctx context.Context, unit string, record *recordpb.Submission) error {
	if err := Check(record); err != nil {
		return err
	}
	id := record.GetId()
	if h, known := s.knownHead(id); known && h.Revision > 0 {
		return s.checkSubmitter(ctx, record, h)
	}
	record.AcceptedUnixMs = time.Now().UnixMilli()
	puts, err := parts(record)
	if err != nil {
		return err
	}
	h := head{Unit: unit, Account: record.GetAccount(), Total: len(record.GetItems()), AcceptedMillis: record.GetAcceptedUnixMs()}
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
	if h.Revision == 0 {
		if err := s.checkStoredSubmitter(ctx, record); err != nil {
			return err
		}
	}
	event.SubmissionAccepted.Log(ctx, s.options.Logger, slog.String("submission", id), slog.String("unit", unit),
		slog.Int("items", h.Total), slog.Int64("took_ms", time.Now().UnixMilli()-h.AcceptedMillis))
	if h.Revision > 0 {
		s.announce(record, h)
	}
	return nil
}

// commitOnce applies a transaction that creates a head and returns the head's revision,
// or zero when the head already existed.
func (s *Service) commitOnce(ctx context.Context, txn metastore.Txn, id string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
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
	return 0, ErrUnavailable.New("the store did not accept submission %s", id)
}

// announce passes an accepted submission to the owner of its unit. If this fails, the
// owner opens the submission when its watch reports the head.
func (s *Service) announce(record *recordpb.Submission, h head) {
	owner := s.recordHead(record.GetId(), h)
	if owner != nil {
		s.openAccepted(owner, record, h)
		return
	}
	node, _, alive := s.options.Cluster.Owner(h.Unit)
	if !alive {
		return
	}
	go func() {
		encoded, err := proto.Marshal(record)
		if err != nil {
			return // cannot happen: parts encoded the same record
		}
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		if err := s.options.Peers.Announce(ctx, node, encoded); err != nil {
			event.ReadFailed.Log(ctx, s.options.Logger, slog.String("submission", record.GetId()), slog.String("cause", err.Error()))
		}
	}()
}

// Announced handles a submission that another node accepted and announced to this one
// as the owner of its unit.
func (s *Service) Announced(record *recordpb.Submission) {
	id := record.GetId()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		h, err := s.findHead(ctx, id)
		if err != nil || h.Ended {
			return // the owner opens the submission when its watch reports the head
		}
		if owner := s.localOwner(h.Unit); owner != nil {
			s.openAccepted(owner, record, h)
		}
	}()
}

// openAccepted makes an owner run a submission that was just accepted. If the submission
// is older than the ownership, a previous owner may have listed results of it, so it is
// read from the store.
func (s *Service) openAccepted(owner *Owner, record *recordpb.Submission, h head) {
	if owner.options.Unit.Epoch > h.Revision {
		go s.applyHead(owner, record.GetId(), h)
		return
	}
	owner.Open(record, h, nil, 0)
}
