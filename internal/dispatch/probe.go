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
	// resultClosing means that the endpoint accepted a connection and closed it immediately,
	// as a terminating process does if it closes its connections before its listener.
	resultClosing
)

// isDown reports whether no process listens at the address (host:port) any more.
func isDown(ctx context.Context, address string) bool {
	ctx = context.WithoutCancel(ctx)
	for range maxProbes {
		switch probe(ctx, address) {
		case resultAlive:
			return false
		case resultDead:
			return true
		}
		wait.For(ctx, probePause)
	}
	return false
}

func probe(ctx context.Context, address string) probeResult {
	dialer := net.Dialer{Timeout: probeTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return resultDead
	}
	if err != nil {
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
