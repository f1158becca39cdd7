package event

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCataloguePageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	require.Equal(t, Markdown(), string(page), "run make generate")
}
