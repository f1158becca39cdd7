package route

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAwaitTheFirstConfiguration checks that Await returns the first configuration
// to all waiting callers, does not wait for later ones, and returns when its
// context ends.
func TestAwaitTheFirstConfiguration(t *testing.T) {
	h := &Holder{}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	require.Nil(t, h.Await(canceled))

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
			require.Fail(t, "Await did not return the first configuration")
		}
	}
	require.Same(t, first, h.Await(canceled))
	require.False(t, h.Offer(&Configuration{Version: 1}))
	require.True(t, h.Offer(&Configuration{Version: 2}))
	require.EqualValues(t, 2, h.Await(canceled).Version)
}
