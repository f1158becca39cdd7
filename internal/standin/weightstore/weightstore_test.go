package weightstore_test

import (
	"io"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/standin/weightstore"
)

func TestWeightVersionIsSentCompletely(t *testing.T) {
	listener := httptest.NewServer(weightstore.New(weightstore.Options{Size: 40000, BytesPerSecond: 1e9}).Handler())
	defer listener.Close()
	resp, err := listener.Client().Get(listener.URL + weightstore.Path(7))
	require.NoError(t, err)
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Len(t, content, 40000)
}
