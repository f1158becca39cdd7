package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Bounds of a fault's length and of the calm after it.
const (
	leastFault = 300 * time.Millisecond
	mostFault  = 3 * time.Second
	leastCalm  = 200 * time.Millisecond
	mostCalm   = 1500 * time.Millisecond
	// twoShare is the share of times at which two faults come together.
	twoShare = 0.4
	// slowLink delays each piece of data between a node and the store.
	slowLink = 150 * time.Millisecond
	breaks   = 6
)

// fault is one kind: begin does it and returns what undoes it.
type fault struct {
	name  string
	begin func(w *world, random *rand.Rand) (end func() error)
}

func nothing() error { return nil }

// faults lists all kinds.
var faults = []fault{
	{"node killed", func(w *world, random *rand.Rand) func() error { return w.kill(w.some(random, 1)) }},
	{"half of the nodes killed", func(w *world, random *rand.Rand) func() error { return w.kill(w.some(random, len(w.nodes)/2)) }},
	{"all nodes killed", func(w *world, random *rand.Rand) func() error { return w.kill(w.nodes) }},
	{"node leaves and comes back", func(w *world, random *rand.Rand) func() error {
		nodes := w.some(random, 1)
		if len(nodes) == 0 {
			return nothing
		}
		nodes[0].leave()
		return nodes[0].start
	}},
	{"node frozen", func(w *world, random *rand.Rand) func() error {
		nodes := w.some(random, 1)
		if len(nodes) == 0 {
			return nothing
		}
		process := nodes[0].running()
		process.Pause()
		return func() error { process.Resume(); return nil }
	}},
	{"node cut off from the store", func(w *world, random *rand.Rand) func() error {
		link := w.any(random).link
		link.Cut()
		return func() error { link.Restore(); return nil }
	}},
	{"way to the store silent", func(w *world, random *rand.Rand) func() error {
		link := w.any(random).link
		link.Stall()
		return func() error { link.Restore(); return nil }
	}},
	{"way to the store slow", func(w *world, random *rand.Rand) func() error {
		link := w.any(random).link
		link.SetDelay(slowLink)
		return func() error { link.SetDelay(0); return nil }
	}},
	{"store down", func(w *world, _ *rand.Rand) func() error { return w.fault(memory.Faults{Down: true}) }},
	{"store loses answers", func(w *world, _ *rand.Rand) func() error { return w.fault(memory.Faults{LoseAnswers: true}) }},
	{"store applies late", func(w *world, _ *rand.Rand) func() error { return w.fault(memory.Faults{Late: true}) }},
	{"store refuses for rate", func(w *world, _ *rand.Rand) func() error { return w.fault(memory.Faults{OverRate: true}) }},
	{"store forgets its history", func(w *world, _ *rand.Rand) func() error { w.store.DropHistory(); return nothing }},
	{"engine breaks streams", func(w *world, random *rand.Rand) func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endpoints[random.IntN(len(w.endpoints))].BreakStreams(breaks)
		return nothing
	}},
	{"endpoint crashes, another comes", func(w *world, random *rand.Rand) func() error { return w.replace(random, false) }},
	{"endpoint drains, another comes", func(w *world, random *rand.Rand) func() error { return w.replace(random, true) }},
}

// playFaults plays faults, one or two at a time, for a while.
func (w *world) playFaults(ctx context.Context, length time.Duration) {
	began := time.Now()
	for ctx.Err() == nil && time.Since(began) < length {
		kinds := w.random.Perm(len(faults))[:1]
		if w.random.Float64() < twoShare {
			kinds = w.random.Perm(len(faults))[:2]
		}
		var ends []func() error
		for _, kind := range kinds {
			f := faults[kind]
			fmt.Fprintf(w.options.Progress, "%6.1f s  %s\n", time.Since(began).Seconds(), f.name)
			w.report.count("fault: " + f.name)
			ends = append(ends, f.begin(w, w.random))
		}
		wait.For(ctx, between(w.random, leastFault, mostFault))
		for _, end := range slices.Backward(ends) {
			if err := end(); err != nil {
				w.report.breach("a process did not start: %v", err)
			}
		}
		wait.For(ctx, between(w.random, leastCalm, mostCalm))
	}
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// some draws nodes whose processes run; none when another fault killed all.
func (w *world) some(random *rand.Rand, count int) []*node {
	var running []*node
	for _, i := range random.Perm(len(w.nodes)) {
		if w.nodes[i].running() != nil {
			running = append(running, w.nodes[i])
		}
	}
	return running[:min(count, len(running))]
}

func (w *world) kill(nodes []*node) func() error {
	for _, n := range nodes {
		n.kill()
	}
	return func() error {
		for _, n := range nodes {
			if err := n.start(); err != nil {
				return err
			}
		}
		return nil
	}
}

func (w *world) fault(faults memory.Faults) func() error {
	w.store.SetFaults(faults)
	return func() error {
		w.store.SetFaults(memory.Faults{})
		w.store.ApplyLate()
		return nil
	}
}

// drainTime is how long an endpoint serves after the store took its word that it
// drains.
const drainTime = 2 * time.Second

// replace ends an endpoint, with notice or without, and starts another.
func (w *world) replace(random *rand.Rand, notice bool) func() error {
	e := w.takeEndpoint(random)
	if e == nil {
		return nothing
	}
	if notice {
		w.store.Write(e.Key(), e.Record("draining"))
		time.AfterFunc(drainTime, func() { w.store.Remove(e.Key()); e.Close() })
	} else {
		e.Close()
		w.store.Remove(e.Key())
	}
	id := fmt.Sprintf("%s-%d", e.Service, random.Uint32())
	return func() error { w.addEndpoint(id, e.Service); return nil }
}
