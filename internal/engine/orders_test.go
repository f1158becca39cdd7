package engine

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

func TestOrderClientDistinguishesFencedFromFailed(t *testing.T) {
	status := http.StatusOK
	var got WeightOrder
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewDecoder(r.Body).Decode(&got)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"active":4,"staged":5,"fence":9}`))
	}))
	defer server.Close()
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	client, address := NewOrderClient(transport), strings.TrimPrefix(server.URL, "http://")

	state, err := client.Activate(t.Context(), address, WeightOrder{Version: 5, Fence: 9})
	require.NoError(t, err)
	require.Equal(t, WeightState{Active: 4, Staged: 5, Fence: 9}, state)
	require.EqualValues(t, 9, got.Fence)

	status = http.StatusPreconditionFailed
	_, err = client.Stage(t.Context(), address, WeightOrder{Version: 5})
	require.True(t, errorx.IsOfType(err, ErrFenced))

	status = http.StatusConflict
	_, err = client.Stage(t.Context(), address, WeightOrder{Version: 5})
	require.True(t, errorx.IsOfType(err, ErrOrderFailed))

	server.Close()
	_, err = client.State(t.Context(), address)
	require.True(t, errorx.IsOfType(err, ErrOrderFailed))
}
