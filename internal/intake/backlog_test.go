package intake

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// TestStreamOfASlowCallerIsKept checks that writes of a stream do not wait for a caller that reads
// nothing yet, that it gets everything in order also after the connection was closed, and that the
// memory and the connection are given back.
func TestStreamOfASlowCallerIsKept(t *testing.T) {
	in := New(Limits{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	conn, client, _ := active(t, in)
	conn.keepsBacklog.Store(true)
	var sent []byte
	for i := range 50 {
		event := bytes.Repeat([]byte{byte('a' + i%26)}, 1000)
		sent = append(sent, event...)
		n, err := conn.Write(event) // would block for ever on this connection
		require.NoError(t, err)
		require.Equal(t, len(event), n)
	}
	require.EqualValues(t, len(sent), in.Used())
	require.NoError(t, conn.Close())
	conn.onState(http.StateClosed)
	require.Equal(t, 1, in.Connections(), "the caller has not read everything")
	received, err := io.ReadAll(client)
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, received))
	require.Eventually(t, func() bool { return in.Used() == 0 && in.Connections() == 0 }, 10*time.Second, time.Millisecond)
}

// TestStreamOfACallerThatNeverReadsEnds checks that what is kept is bounded, and that the caller
// loses its connection in the end.
func TestStreamOfACallerThatNeverReadsEnds(t *testing.T) {
	in := New(Limits{WriteStall: 300 * time.Millisecond}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	conn, _, _ := active(t, in)
	conn.keepsBacklog.Store(true)
	event := make([]byte, 100_000)
	var err error
	for written := 0; err == nil; written += len(event) {
		require.LessOrEqual(t, written, maxBacklog+len(event))
		_, err = conn.Write(event)
	}
	conn.onState(http.StateClosed)
	require.Eventually(t, func() bool { return in.Used() == 0 && in.Connections() == 0 }, 10*time.Second, time.Millisecond)
}
