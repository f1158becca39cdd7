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
	// drainTimeout bounds the wait for calls in flight at the end.
	drainTimeout = 10 * time.Second
)

// listening are the addresses that every stand-in has.
type listening struct {
	listen, control string
}

func (l *listening) flags(sub *flaggy.Subcommand) {
	l.listen, l.control = defaultListen, defaultListen
	sub.String(&l.listen, "", "listen", "host:port of the interface")
	sub.String(&l.control, "", "control", "host:port of the control interface")
}

// standin is what serve runs.
type standin struct {
	handler, control http.Handler
	// announce, if set, runs in the background with the listening address until
	// the process is told to end.
	announce func(ctx context.Context, address string) error
	// cutCalls: calls in flight, such as waiting watches, end with ctx.
	cutCalls bool
	// leave, if set, runs before calls in flight are waited for.
	leave func()
}

// serve listens, prints the ready line, and returns when ctx has ended and
// calls in flight have finished.
func (l *listening) serve(ctx context.Context, s standin) error {
	front, err := net.Listen("tcp", l.listen)
	if err != nil {
		return err
	}
	back, err := net.Listen("tcp", l.control)
	if err != nil {
		return err
	}
	servers := []*http.Server{{Handler: s.handler}, {Handler: s.control}}
	group, ctx := errgroup.WithContext(ctx)
	if s.cutCalls {
		servers[0].BaseContext = func(net.Listener) context.Context { return ctx }
	}
	for i, listener := range []net.Listener{front, back} {
		group.Go(func() error { return ignoreClosed(servers[i].Serve(listener)) })
	}
	fmt.Println("ready", front.Addr(), back.Addr())
	if s.announce != nil {
		group.Go(func() error { return s.announce(ctx, front.Addr().String()) })
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
