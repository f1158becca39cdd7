// Package entry assembles the components of one entry process and runs them
// from startup to graceful shutdown.
package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/intake"
	"github.com/comfreyfront/comfreyfront/internal/settings"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Limits of connections from callers and other entries.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderSize     = 32 << 10 // bytes
)

// drainDelay is how long an entry keeps accepting requests after its readiness
// check starts to fail, so that the load balancer can notice.
const drainDelay = 2 * time.Second

// handOverTimeout bounds the release of all ownerships at shutdown.
const handOverTimeout = 5 * time.Second

// listeners holds the listeners of an entry's two interfaces.
type listeners struct {
	callers, internal net.Listener
}

// Run runs an entry until ctx ends, then finishes the work in flight. It prints
// "ready CALLERS-ADDRESS INTERNAL-ADDRESS" to out and logs to logs.
func Run(ctx context.Context, cfg *settings.Entry, out, logs io.Writer) error {
	level, err := cfg.Level()
	if err != nil {
		return err
	}
	logger := slog.New(slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: level})).With(slog.String("entry", cfg.ID))
	bound, err := listen(cfg)
	if err != nil {
		return err
	}
	limitMemory(cfg.MemoryMB)
	parts := build(cfg, bound.internal.Addr().String(), logger)
	if _, err := fmt.Fprintf(out, "ready %s %s\n", bound.callers.Addr(), bound.internal.Addr()); err != nil {
		return err
	}
	event.EntryStarted.Log(ctx, logger,
		slog.String("callers", bound.callers.Addr().String()),
		slog.String("internal", bound.internal.Addr().String()),
		slog.String("failure_domain", cfg.FailureDomain),
		slog.String("policy", cfg.Policy))
	return serve(ctx, cfg, parts, bound, logger)
}

// Parameters of the Go runtime if the memory of the instance is known; a node uses the same values.
const (
	// memoryFraction is the fraction of the memory that is set as the soft limit of the runtime.
	memoryFraction = 0.6
	// gcPercent makes the garbage collector run more often than by default.
	gcPercent = 60
)

// limitMemory keeps the heap small if the memory of the instance is known.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memoryFraction * float64(megabytes) * (1 << 20)))
	}
}

func listen(cfg *settings.Entry) (listeners, error) {
	callers, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return listeners{}, err
	}
	internal, err := net.Listen("tcp", cfg.InternalListen)
	if err != nil {
		return listeners{}, errors.Join(err, callers.Close())
	}
	return listeners{callers: callers, internal: internal}, nil
}

// serve runs the components until ctx ends, and then shuts down.
func serve(ctx context.Context, cfg *settings.Entry, parts *parts, bound listeners, logger *slog.Logger) error {
	baseCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers := newServer(parts.callers)
	intake.Track(callers, intake.ConnOf)
	internal := newServer(parts.internal)
	group, groupCtx := errgroup.WithContext(baseCtx)
	group.Go(func() error { return ignoreClosed(callers.Serve(parts.intake.Listener(bound.callers))) })
	group.Go(func() error { return ignoreClosed(internal.Serve(bound.internal)) })
	for _, run := range parts.runs {
		group.Go(func() error { return run(groupCtx) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
		}
		shutdown(cfg, parts, callers, logger)
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

// shutdown finishes the work in flight: readiness fails first, then steps are drained
// while open requests run to completion, and finally claims and ownerships are released.
func shutdown(cfg *settings.Entry, parts *parts, callers *http.Server, logger *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), cfg.ShutdownTimeout)
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
		event.EntryWorkAborted.Log(ctx, logger, slog.String("cause", err.Error()))
	}
	handOver(parts, logger)
}

// handOver releases everything that the entry owns, so that other entries need not
// wait for its lease to expire. During an outage of the platform's service the release
// fails and they wait for the expiry.
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
