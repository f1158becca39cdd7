package traffic

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/queue"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

func TestRefusalOfFindsTheCause(t *testing.T) {
	wrapped := func(cause error) error {
		return request.WithRetryAfter(request.ErrRefused.Wrap(cause, "refused"), runningRetryAfter)
	}
	require.Equal(t, RefusedUnclaimed, RefusalOf(wrapped(claim.ErrUnavailable.New("down"))))
	require.Equal(t, RefusedFull, RefusalOf(wrapped(queue.ErrRefused.New("full"))))
	require.Equal(t, RefusedOther, RefusalOf(wrapped(queue.ErrCanceled.New("gone"))))
	require.Equal(t, RefusedOther, RefusalOf(wrapped(errors.New("other"))))
	require.Equal(t, RefusedNoEndpoint, RefusalOf(request.ErrNoEndpoint.New("none")))
	require.Equal(t, RefusedInvalid, RefusalOf(request.ErrInvalid.New("bad")))
	require.Equal(t, RefusedOther, RefusalOf(nil))
}
