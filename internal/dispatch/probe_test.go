package dispatch

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// listen returns a listener that hands each connection to take.
func listen(t *testing.T, take func(listener net.Listener, connection net.Conn)) string {
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
			take(listener, connection)
		}
	}()
	return listener.Addr().String()
}

func TestLivingEndpointHasNotDied(t *testing.T) {
	address := listen(t, func(net.Listener, net.Conn) {}) // takes and keeps quiet
	require.False(t, died(context.Background(), address))
}

func TestEndpointThatIsJustEndingHasDied(t *testing.T) {
	taken := 0
	address := listen(t, func(listener net.Listener, connection net.Conn) {
		_ = connection.Close() // its connections go before its listener does
		if taken++; taken == 2 {
			_ = listener.Close()
		}
	})
	require.True(t, died(context.Background(), address))
}

func TestEndpointThatOnlyClosesConnectionsHasNotDied(t *testing.T) {
	address := listen(t, func(_ net.Listener, connection net.Conn) { _ = connection.Close() })
	require.False(t, died(context.Background(), address))
}
