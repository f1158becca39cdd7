package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"
)

const (
	defaultListen = "127.0.0.1:0"
	// drainTimeout bounds the wait for calls in flight at shutdown.
	drainTimeout = 10 * time.Second
)

// listenAddresses are the addresses of a stand-in's main and control interfaces.
type listenAddresses struct {
	listen, control string
}

func (l *listenAddresses) flags(sub *flaggy.Subcommand) {
	l.listen, l.control = defaultListen, defaultListen
	sub.String(&l.listen, "", "listen", "host:port of the main interface")
	sub.String(&l.control, "", "control", "host:port of the control interface")
}

// standin is the set of handlers and hooks that serve runs.
type standin struct {
	handler, control http.Handler
	// announce, if set, runs in the background with the address of the main
	// interface until ctx ends.
	announce func(ctx context.Context, address string) error
	// cancelCalls makes calls in flight, such as waiting watches, end with ctx.
	cancelCalls bool
	// leave, if set, runs before serve waits for calls in flight at shutdown.
	leave func()
}

// serve listens, prints the ready line, and returns once ctx has ended and calls
// in flight have finished or drainTimeout has passed.
func (l *listenAddresses) serve(ctx context.Context, s standin) error {
	mainListener, err := net.Listen("tcp", l.listen)
	if err != nil {
		return err
	}
	controlListener, err := net.Listen("tcp", l.control)
	if err != nil {
		return err
	}
	servers := []*http.Server{{Handler: s.handler}, {Handler: s.control}}
	group, ctx := errgroup.WithContext(ctx)
	if s.cancelCalls {
		servers[0].BaseContext = func(net.Listener) context.Context { return ctx }
	}
	for i, listener := range []net.Listener{mainListener, controlListener} {
		group.Go(func() error { return ignoreClosed(servers[i].Serve(listener)) })
	}
	fmt.Println("ready", mainListener.Addr(), controlListener.Addr())
	if s.announce != nil {
		group.Go(func() error { return s.announce(ctx, mainListener.Addr().String()) })
	}
	group.Go(func() error {
		<-ctx.Done()
		return drain(s, servers)
	})
	return group.Wait()
}

func drain(s standin, servers []*http.Server) error {
	if s.leave != nil {
		s.leave()
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
	return nil
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}
