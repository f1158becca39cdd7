package trainer_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
	"github.com/comfreyfront/comfreyfront/internal/rollout"
	"github.com/comfreyfront/comfreyfront/trainer"
)

// noopControl ignores all changes of versions and readiness.
type noopControl struct{}

func (noopControl) SetVersions(context.Context, string, int64, int64) {}
func (noopControl) SetUnready(context.Context, string, bool)          {}

func TestAnnounceIsAcceptedOnceAndSuperseded(t *testing.T) {
	store := memstore.New(nil)
	store.DropWrites(1) // the first write is lost and must be retried
	server := httptest.NewServer(&rollout.Acceptor{Store: store, Control: noopControl{}, Logger: slog.New(slog.DiscardHandler)})
	defer server.Close()
	client := newClient(t, server.URL, 0)
	require.NoError(t, client.Announce(t.Context(), trainer.Rollout{Model: "m", Version: 5, Floor: 4}))
	require.NoError(t, client.Announce(t.Context(), trainer.Rollout{Model: "m", Version: 5, Floor: 4}))
	err := client.Announce(t.Context(), trainer.Rollout{Model: "m", Version: 4})
	require.True(t, errorx.IsOfType(err, trainer.ErrSuperseded))
	err = client.Announce(t.Context(), trainer.Rollout{Model: "m"})
	require.True(t, errorx.IsOfType(err, trainer.ErrRejected))
}
