package dispatch

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// listen starts a listener that passes each connection to handle, and returns its address.
func listen(t *testing.T, handle func(listener net.Listener, connection net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			handle(listener, connection)
		}
	}()
	return listener.Addr().String()
}

func TestListeningEndpointIsNotDown(t *testing.T) {
	address := listen(t, func(net.Listener, net.Conn) {}) // accepts connections and sends nothing
	require.False(t, isDown(context.Background(), address))
}

func TestTerminatingEndpointIsDown(t *testing.T) {
	accepted := 0
	address := listen(t, func(listener net.Listener, connection net.Conn) {
		_ = connection.Close() // connections are closed before the listener
		if accepted++; accepted == 2 {
			_ = listener.Close()
		}
	})
	require.True(t, isDown(context.Background(), address))
}

func TestEndpointThatOnlyClosesConnectionsIsNotDown(t *testing.T) {
	address := listen(t, func(_ net.Listener, connection net.Conn) { _ = connection.Close() })
	require.False(t, isDown(context.Background(), address))
}

// TestResetWhileConnecting checks that a connection that is reset while it is opened, as by
// a listener that is being closed, does not count as a living endpoint: the probe is
// repeated until its result is certain.
func TestResetWhileConnecting(t *testing.T) {
	for _, row := range []struct {
		name string
		errs []error
		down bool
	}{
		{"then refused", []error{syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNREFUSED}, true},
		{"then unreachable", []error{syscall.ECONNRESET, syscall.EHOSTUNREACH}, false},
		{"always reset", nil, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			dials := 0
			dial := func(context.Context, string, string) (net.Conn, error) {
				err := error(syscall.ECONNRESET)
				if dials < len(row.errs) {
					err = row.errs[dials]
				}
				dials++
				return nil, &net.OpError{Op: "dial", Err: err}
			}
			require.Equal(t, row.down, isDownBy(context.Background(), dial, "127.0.0.1:1"))
			require.LessOrEqual(t, dials, maxProbes)
		})
	}
}
