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
	event.SubmissionAccepted.Log(ctx, s.options.Logger, slog.String("submission", id), slog.String("unit", unit),
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
		if owner := s.ownerHere(h.Unit); owner != nil {
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
