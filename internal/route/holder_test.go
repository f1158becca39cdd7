package route

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAwaitTheFirstConfiguration: those who wait get the first one; nobody waits
// for a later one, or longer than he wants.
func TestAwaitTheFirstConfiguration(t *testing.T) {
	h := &Holder{}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.Nil(t, h.Await(ended))

	const waiting = 3
	got := make(chan *Configuration, waiting)
	for range waiting {
		go func() { got <- h.Await(context.Background()) }()
	}
	first := &Configuration{Version: 1}
	require.True(t, h.Offer(first))
	for range waiting {
		select {
		case c := <-got:
			require.Same(t, first, c)
		case <-time.After(time.Minute):
			require.Fail(t, "nobody was told")
		}
	}
	require.Same(t, first, h.Await(ended))
	require.False(t, h.Offer(&Configuration{Version: 1}))
	require.True(t, h.Offer(&Configuration{Version: 2}))
	require.EqualValues(t, 2, h.Await(ended).Version)
}
