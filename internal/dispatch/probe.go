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

// Bounds of the check whether an endpoint has died.
const (
	probeTimeout = 500 * time.Millisecond
	// probeQuiet is how long a new connection must stay open to show life.
	probeQuiet = 50 * time.Millisecond
	// probeTries bounds the checks of a process that is just ending.
	probeTries = 10
	probePause = 20 * time.Millisecond
)

// sign is what one look at an endpoint shows.
type sign int

const (
	signAlive sign = iota
	signDead
	// signEnding: it took a connection and closed it at once, as a process does
	// whose connections are closed before its listener is.
	signEnding
)

// died reports whether nobody listens at host:port any more.
func died(ctx context.Context, address string) bool {
	ctx = context.WithoutCancel(ctx)
	for range probeTries {
		switch probe(ctx, address) {
		case signAlive:
			return false
		case signDead:
			return true
		}
		wait.For(ctx, probePause)
	}
	return false
}

func probe(ctx context.Context, address string) sign {
	dialer := net.Dialer{Timeout: probeTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return signDead
	}
	if err != nil {
		return signAlive // nothing is known, which must not count against a request
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetReadDeadline(time.Now().Add(probeQuiet))
	_, err = connection.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return signAlive
	}
	return signEnding
}
