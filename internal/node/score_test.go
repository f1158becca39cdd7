package node

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// TestScoringBeforeTheFirstConfigurationFails guards against a process that ends because a
// new owner scores a restored text before it knows a configuration.
func TestScoringBeforeTheFirstConfigurationFails(t *testing.T) {
	n := &Node{routes: &route.Holder{}}
	_, _, err := n.score(context.Background(), &recordpb.Reward{Id: "r", Host: "h", Path: "/score"})
	require.True(t, call.NotRun(err))
}
