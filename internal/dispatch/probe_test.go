package dispatch

import (
	"context"
	"net"
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
