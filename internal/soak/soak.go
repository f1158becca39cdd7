// Package soak runs nodes as real processes, does to them and to what they depend
// on what happens to systems, and checks what callers and trainers get. It is for
// tests and for its command; the product starts no process.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

// Options say what is played.
type Options struct {
	// Binary is the path of the shipped program.
	Binary string
	// Nodes is the number of node processes.
	Nodes int
	// Duration is how long faults are played; healing and checking come after it.
	Duration time.Duration
	// Seed decides the order of faults and what is sent.
	Seed uint64
	// Log receives the processes' output; nil discards it.
	Log io.Writer
	// Progress receives a line for each fault; nil discards it.
	Progress io.Writer
}

// Times of a run.
const (
	// startPatience bounds the wait for all nodes to be ready.
	startPatience = 30 * time.Second
	// healPatience bounds the wait for all that was accepted to be whole, once
	// nothing is broken any more.
	healPatience = 60 * time.Second
	pollEvery    = 50 * time.Millisecond
)

// Run plays faults for a while, heals everything, and returns what was found.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Log == nil {
		options.Log = io.Discard
	}
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	w, err := newWorld(options)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.awaitReady(ctx, startPatience); err != nil {
		return nil, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	group, _ := errgroup.WithContext(ctx)
	for i, play := range []func(context.Context, *rand.Rand){w.look, w.update, w.configure, w.train, w.train} {
		random := rand.New(rand.NewPCG(options.Seed, uint64(i)+1))
		group.Go(func() error { play(load, random); return nil })
	}
	w.playFaults(ctx, options.Duration)
	if err := w.heal(); err != nil {
		return nil, err
	}
	stop()
	_ = group.Wait() // the load gives no error
	w.checkUpdates()
	w.awaitConfiguration(ctx, healPatience)
	return w.report, ctx.Err()
}

// until polls a condition; false when it did not hold in time.
func until(ctx context.Context, patience time.Duration, holds func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return holds()
		case <-ticker.C:
		}
	}
	return true
}

// awaitReady waits until each node says that it is ready.
func (w *world) awaitReady(ctx context.Context, patience time.Duration) error {
	for _, n := range w.nodes {
		if !until(ctx, patience, n.ready) {
			return fmt.Errorf("node %s is not ready after %s", n.name, patience)
		}
	}
	return nil
}
