package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/route"
)

// TestCallersWaitForTheFirstConfiguration: those who come while a node starts wait
// for it; later, and when it does not come, they are refused at once.
func TestCallersWaitForTheFirstConfiguration(t *testing.T) {
	const long = time.Hour
	late := &Node{routes: &route.Holder{}, started: time.Now().Add(-long)}
	require.Nil(t, late.Configuration(context.Background()))

	starting := &Node{routes: &route.Holder{}, started: time.Now().Add(long)}
	got := make(chan *route.Configuration, 1)
	go func() { got <- starting.Configuration(context.Background()) }()
	first := &route.Configuration{Version: 1}
	require.True(t, starting.routes.Offer(first))
	require.Same(t, first, <-got)

	gone, cancel := context.WithCancel(context.Background())
	cancel()
	require.Nil(t, (&Node{routes: &route.Holder{}, started: starting.started}).Configuration(gone))
}
