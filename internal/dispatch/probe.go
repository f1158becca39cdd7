package dispatch

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Bounds of the check whether an endpoint is down.
const (
	probeTimeout = 500 * time.Millisecond
	// probeIdleTime is how long a new connection must stay open for the endpoint to count as
	// alive.
	probeIdleTime = 50 * time.Millisecond
	// maxProbes bounds the probes of a process that is terminating.
	maxProbes  = 10
	probePause = 20 * time.Millisecond
)

// probeResult is the result of one probe of an endpoint.
type probeResult int

const (
	resultAlive probeResult = iota
	resultDead
	// resultClosing means that the endpoint closed or reset a new connection immediately, as
	// a terminating process does while it closes its listener.
	resultClosing
)

// dialFunc opens a connection, like net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// isDown reports whether no process listens at the address (host:port) any more.
func isDown(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	return isDownBy(ctx, dialer.DialContext, address)
}

func isDownBy(ctx context.Context, dial dialFunc, address string) bool {
	ctx = context.WithoutCancel(ctx)
	for range maxProbes {
		switch probe(ctx, dial, address) {
		case resultAlive:
			return false
		case resultDead:
			return true
		}
		wait.For(ctx, probePause)
	}
	return false
}

func probe(ctx context.Context, dial dialFunc, address string) probeResult {
	connection, err := dial(ctx, "tcp", address)
	switch {
	case err == nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		return resultDead
	case errors.Is(err, syscall.ECONNRESET):
		return resultClosing // a listener that is being closed resets the connections it had not accepted
	default:
		return resultAlive // the state is unknown, which must not count against a request
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetReadDeadline(time.Now().Add(probeIdleTime))
	_, err = connection.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return resultAlive
	}
	return resultClosing
}
