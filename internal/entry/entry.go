// Package entry puts the parts of one entry process together and runs them
// from its start to a graceful shutdown.
package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/settings"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Bounds of connections from callers and entries.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderSize     = 32 << 10 // bytes
)

// drainDelay is how long an entry goes on taking requests after its readiness
// check fails, so that the balancer has seen it.
const drainDelay = 2 * time.Second

// handOverTimeout bounds the time in which ownerships are given up.
const handOverTimeout = 5 * time.Second

// listeners are the two interfaces of an entry.
type listeners struct {
	callers, internal net.Listener
}

// Run runs an entry until ctx ends, then finishes what is in flight. It prints
// "ready CALLERS-ADDRESS INTERNAL-ADDRESS" to out and logs to logs.
func Run(ctx context.Context, chosen *settings.Entry, out, logs io.Writer) error {
	level, err := chosen.Level()
	if err != nil {
		return err
	}
	logger := slog.New(slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: level})).With(slog.String("entry", chosen.ID))
	open, err := listen(chosen)
	if err != nil {
		return err
	}
	parts := build(chosen, open.internal.Addr().String(), logger)
	if _, err := fmt.Fprintf(out, "ready %s %s\n", open.callers.Addr(), open.internal.Addr()); err != nil {
		return err
	}
	event.EntryStarted.Log(ctx, logger,
		slog.String("callers", open.callers.Addr().String()),
		slog.String("internal", open.internal.Addr().String()),
		slog.String("failure_domain", chosen.FailureDomain),
		slog.String("policy", chosen.Policy))
	return serve(ctx, chosen, parts, open, logger)
}

func listen(chosen *settings.Entry) (listeners, error) {
	callers, err := net.Listen("tcp", chosen.Listen)
	if err != nil {
		return listeners{}, err
	}
	internal, err := net.Listen("tcp", chosen.InternalListen)
	if err != nil {
		return listeners{}, errors.Join(err, callers.Close())
	}
	return listeners{callers: callers, internal: internal}, nil
}

// serve runs the parts until ctx ends, and then shuts down.
func serve(ctx context.Context, chosen *settings.Entry, parts *parts, open listeners, logger *slog.Logger) error {
	lasting, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers := newServer(parts.callers)
	internal := newServer(parts.internal)
	group, running := errgroup.WithContext(lasting)
	group.Go(func() error { return ignoreClosed(callers.Serve(open.callers)) })
	group.Go(func() error { return ignoreClosed(internal.Serve(open.internal)) })
	for _, run := range parts.runs {
		group.Go(func() error { return run(running) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
		}
		shutdown(chosen, parts, callers, logger)
		stop()
		return internal.Close()
	})
	err := group.Wait()
	event.EntryStopped.Log(context.WithoutCancel(ctx), logger)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// shutdown finishes what is in flight: readiness fails first, then steps and
// claims are handed over while open requests run to their ends.
func shutdown(chosen *settings.Entry, parts *parts, callers *http.Server, logger *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), chosen.ShutdownTimeout)
	defer cancel()
	event.EntryDraining.Log(ctx, logger)
	parts.health.drain()
	parts.control.Leave(ctx)
	wait.For(ctx, drainDelay)
	var group errgroup.Group
	group.Go(func() error { return parts.steps.Drain(ctx) })
	group.Go(func() error { return callers.Shutdown(ctx) })
	err := group.Wait()
	err = errors.Join(err, parts.traffic.Wait(ctx))
	if err != nil {
		event.EntryCutOff.Log(ctx, logger, slog.String("cause", err.Error()))
	}
	handOver(parts, logger)
}

// handOver gives up what the entry owns, so that other entries need not wait
// for its lease to lapse. In an outage of the platform's service it does.
func handOver(parts *parts, logger *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	parts.claims.HandOver(ctx)
	if err := parts.owner.ReleaseAll(ctx); err != nil {
		event.HandOverFailed.Log(ctx, logger, slog.String("cause", err.Error()))
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderSize,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
