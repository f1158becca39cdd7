package submission

import (
	"context"
	"log/slog"

	"github.com/comfreyfront/comfreyfront/internal/account"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// Authorize returns ErrNotFound if the caller may not use the submission. The error is the
// same as for a submission that does not exist, so that a caller does not learn that another
// account has one.
func (s *Service) Authorize(ctx context.Context, caller account.Caller, id string) error {
	if !caller.Checked {
		return nil
	}
	h, err := s.findHead(ctx, id)
	if err != nil {
		return err
	}
	if !caller.MayUse(h.Account) {
		event.SubmissionOfOther.Log(ctx, s.options.Logger, slog.String("submission", id), slog.String("account", caller.Name()))
		return ErrNotFound.New("submission %s", id)
	}
	return nil
}

// checkSubmitter returns ErrTaken if a submission that exists already belongs to another
// account than the record that was sent under the same ID. One without an account is not told
// apart from others: the configuration may have gained or lost its accounts since.
func (s *Service) checkSubmitter(ctx context.Context, record *recordpb.Submission, existing head) error {
	if existing.Account == record.GetAccount() || existing.Account == "" || record.GetAccount() == "" {
		return nil
	}
	event.SubmissionOfOther.Log(ctx, s.options.Logger, slog.String("submission", record.GetId()), slog.String("account", record.GetAccount()))
	return ErrTaken.New("the ID %s is in use; nothing was accepted", record.GetId())
}

// checkStoredSubmitter is checkSubmitter for a submission that the store already has.
func (s *Service) checkStoredSubmitter(ctx context.Context, record *recordpb.Submission) error {
	if record.GetAccount() == "" {
		return nil
	}
	existing, err := s.findHead(ctx, record.GetId())
	if err != nil {
		return ErrUnknown.Wrap(err, "the store has a submission %s, maybe of another account", record.GetId())
	}
	return s.checkSubmitter(ctx, record, existing)
}

// itemKey identifies an item at its owner. Accounts choose the IDs of their items
// independently of each other.
func itemKey(accountName, id string) string {
	if accountName == "" {
		return id
	}
	return accountName + "/" + id // an ID contains no slash
}

// key identifies the item at its owner.
func (i *item) key() string { return itemKey(i.account, i.record.GetId()) }
