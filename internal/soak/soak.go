// Package soak runs nodes as real processes, injects faults into them and their dependencies, and
// checks the guarantees to callers and trainers. It is used by tests and by cmd/soak; production
// code starts no processes.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

// Options configures a run.
type Options struct {
	// Binary is the path of the comfreyfront program.
	Binary string
	// Nodes is the number of node processes.
	Nodes int
	// Duration is how long faults are injected, before recovery and the final checks.
	Duration time.Duration
	// Seed determines the sequence of faults and of requests.
	Seed uint64
	// Log receives the output of the node processes; nil discards it.
	Log io.Writer
	// Progress receives one line for each fault; nil discards it.
	Progress io.Writer
}

// Wait limits of a run, and the interval at which they are checked.
const (
	// startWaitLimit bounds the wait for each node to become ready.
	startWaitLimit = 30 * time.Second
	// recoveryWaitLimit bounds the wait, after the last fault has ended, for accepted submissions
	// to complete and for each node to serve the newest configuration.
	recoveryWaitLimit = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
)

// Run injects faults under load, then ends all faults, waits for recovery and returns the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Log == nil {
		options.Log = io.Discard
	}
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	env, err := newEnvironment(options)
	if err != nil {
		return nil, err
	}
	defer env.close()
	if err := env.awaitReady(ctx, startWaitLimit); err != nil {
		return nil, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	group, _ := errgroup.WithContext(ctx)
	for i, generate := range []func(context.Context, *rand.Rand){env.sendLookups, env.sendUpdates, env.changeConfiguration, env.runTrainer, env.runTrainer} {
		random := rand.New(rand.NewPCG(options.Seed, uint64(i)+1))
		group.Go(func() error { generate(loadCtx, random); return nil })
	}
	env.injectFaults(ctx, options.Duration)
	if err := env.endFaults(); err != nil {
		return nil, err
	}
	stopLoad()
	_ = group.Wait() // the load returns no error
	env.checkUpdates()
	env.awaitConfiguration(ctx, recoveryWaitLimit)
	return env.report, ctx.Err()
}

// waitUntil polls a condition and reports whether it held within the wait limit.
func waitUntil(ctx context.Context, waitLimit time.Duration, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return condition()
		case <-ticker.C:
		}
	}
	return true
}

// awaitReady waits until each node reports that it is ready. It returns an error if a node does not
// within the wait limit.
func (env *environment) awaitReady(ctx context.Context, waitLimit time.Duration) error {
	for _, n := range env.nodes {
		if !waitUntil(ctx, waitLimit, n.ready) {
			return fmt.Errorf("node %s is not ready after %s", n.name, waitLimit)
		}
	}
	return nil
}
