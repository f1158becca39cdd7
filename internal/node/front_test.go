package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/route"
)

// TestCallersWaitForTheFirstConfiguration checks that callers who arrive during the
// startup of a node wait for its first configuration. Later callers, and callers
// whose context ends first, receive none.
func TestCallersWaitForTheFirstConfiguration(t *testing.T) {
	const hour = time.Hour
	running := &Node{routes: &route.Holder{}, started: time.Now().Add(-hour)}
	require.Nil(t, running.Configuration(context.Background()))

	starting := &Node{routes: &route.Holder{}, started: time.Now().Add(hour)}
	got := make(chan *route.Configuration, 1)
	go func() { got <- starting.Configuration(context.Background()) }()
	first := &route.Configuration{Version: 1}
	require.True(t, starting.routes.Offer(first))
	require.Same(t, first, <-got)

	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	require.Nil(t, (&Node{routes: &route.Holder{}, started: starting.started}).Configuration(canceled))
}
