package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/wait"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// Bounds on the duration of a fault and on the pause after it, and details of some faults.
const (
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 3 * time.Second
	minPause     = 200 * time.Millisecond
	maxPause     = 1500 * time.Millisecond
	// pairFraction is the fraction of rounds in which two faults overlap.
	pairFraction = 0.4
	// linkDelay delays each chunk of data between a node and the store.
	linkDelay = 150 * time.Millisecond
	// brokenStreams is the number of streams that the chosen endpoint breaks in one fault. A plain
	// service has no streams, so the fault has no effect on it.
	brokenStreams = 6
	// minCutInterval and maxCutInterval bound the time between two cuts of the waiting watches.
	minCutInterval = 20 * time.Millisecond
	maxCutInterval = 1300 * time.Millisecond
)

// fault is a kind of fault. inject starts it and returns a function that undoes it.
type fault struct {
	name   string
	inject func(env *environment, random *rand.Rand) (undo func() error)
	// planned means that the fault is planned work, which breaks off no request.
	planned bool
}

// noop is the undo function of a fault that has nothing to undo.
func noop() error { return nil }

// faults lists all kinds of faults.
var faults = []fault{
	{"node killed", func(env *environment, random *rand.Rand) func() error {
		return env.killNodes(env.randomRunning(random, 1))
	}, false},
	{"half of the nodes killed", func(env *environment, random *rand.Rand) func() error {
		return env.killNodes(env.randomRunning(random, len(env.nodes)/2))
	}, false},
	{"all nodes killed", func(env *environment, random *rand.Rand) func() error { return env.killNodes(env.nodes) }, false},
	{"node terminated and restarted", func(env *environment, random *rand.Rand) func() error {
		return env.terminateNodes(env.randomRunning(random, 1))
	}, true},
	{"half of the nodes terminated in turn", func(env *environment, random *rand.Rand) func() error {
		return env.terminateNodes(env.randomRunning(random, len(env.nodes)/2))
	}, true},
	{"all nodes told to read their settings", func(env *environment, random *rand.Rand) func() error {
		for _, n := range env.randomRunning(random, len(env.nodes)) {
			if process := n.running(); process != nil {
				process.Signal(syscall.SIGHUP)
			}
		}
		return noop
	}, true},
	{"node paused", func(env *environment, random *rand.Rand) func() error {
		nodes := env.randomRunning(random, 1)
		if len(nodes) == 0 {
			return noop
		}
		process := nodes[0].running()
		process.Pause()
		return func() error { process.Resume(); return nil }
	}, false},
	{"node cut off from the store", func(env *environment, random *rand.Rand) func() error {
		link := env.randomNode(random).link
		link.Cut()
		return func() error { link.Restore(); return nil }
	}, false},
	{"connection to the store stalled", func(env *environment, random *rand.Rand) func() error {
		link := env.randomNode(random).link
		link.Stall()
		return func() error { link.Restore(); return nil }
	}, false},
	{"connection to the store slow", func(env *environment, random *rand.Rand) func() error {
		link := env.randomNode(random).link
		link.SetDelay(linkDelay)
		return func() error { link.SetDelay(0); return nil }
	}, false},
	{"store down", func(env *environment, _ *rand.Rand) func() error {
		return env.setStoreFaults(memory.Faults{Down: true})
	}, false},
	{"store loses responses", func(env *environment, _ *rand.Rand) func() error {
		return env.setStoreFaults(memory.Faults{LoseResponses: true})
	}, false},
	{"store applies writes late", func(env *environment, _ *rand.Rand) func() error {
		return env.setStoreFaults(memory.Faults{DelayCommits: true})
	}, false},
	{"store refuses requests over its rate", func(env *environment, _ *rand.Rand) func() error {
		return env.setStoreFaults(memory.Faults{OverRate: true})
	}, false},
	{"store drops its history", func(env *environment, _ *rand.Rand) func() error { env.store.DropHistory(); return noop }, false},
	{"waiting watches cut again and again", func(env *environment, random *rand.Rand) func() error {
		return env.cutWatches(randomDuration(random, minCutInterval, maxCutInterval))
	}, true},
	{"engine breaks streams", func(env *environment, random *rand.Rand) func() error {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.endpoints[random.IntN(len(env.endpoints))].BreakStreams(brokenStreams)
		return noop
	}, false},
	{"endpoint crashes and is replaced", func(env *environment, random *rand.Rand) func() error {
		return env.replaceEndpoint(random, (*environment).crashEndpoint)
	}, false},
	{"endpoint drains and is replaced", func(env *environment, random *rand.Rand) func() error {
		return env.replaceEndpoint(random, (*environment).drainEndpoint)
	}, false},
	{"endpoint says in its answers that it leaves and is replaced", func(env *environment, random *rand.Rand) func() error {
		return env.replaceEndpoint(random, (*environment).leaveEndpoint)
	}, false},
	{"endpoint leaves without saying so while watches are cut, and is replaced", func(env *environment, random *rand.Rand) func() error {
		return env.leaveUnsaid(random)
	}, true},
	{"crowd of clients outside the limits", func(env *environment, random *rand.Rand) func() error {
		return env.gatherCrowd(env.randomNode(random))
	}, false},
}

// injectFaults injects random faults, one or two at a time with a pause after each round, until the
// duration has passed or ctx is done.
func (env *environment) injectFaults(ctx context.Context, duration time.Duration) {
	began := time.Now()
	for ctx.Err() == nil && time.Since(began) < duration {
		kinds := env.random.Perm(len(faults))[:1]
		if env.random.Float64() < pairFraction {
			kinds = env.random.Perm(len(faults))[:2]
		}
		var undos []func() error
		for _, kind := range kinds {
			f := faults[kind]
			fmt.Fprintf(env.options.Progress, "%6.1f s  %s\n", time.Since(began).Seconds(), f.name)
			env.report.count("fault: " + f.name)
			undos = append(undos, env.inject(f))
		}
		wait.For(ctx, randomDuration(env.random, minFaultTime, maxFaultTime))
		for _, undo := range slices.Backward(undos) {
			if err := undo(); err != nil {
				env.report.recordViolation("a process failed to start: %v", err)
			}
		}
		wait.For(ctx, randomDuration(env.random, minPause, maxPause))
	}
}

// inject starts a fault and returns the function that undoes it.
func (env *environment) inject(f fault) func() error {
	if f.planned {
		return f.inject(env, env.random)
	}
	env.disturb()
	undo := f.inject(env, env.random)
	return func() error {
		defer env.calm()
		return undo()
	}
}

// randomDuration returns a random duration in [shortest, longest).
func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// randomRunning returns up to count random nodes with a running process, which may be none if
// another fault has killed them all.
func (env *environment) randomRunning(random *rand.Rand, count int) []*node {
	var running []*node
	for _, i := range random.Perm(len(env.nodes)) {
		if env.nodes[i].running() != nil {
			running = append(running, env.nodes[i])
		}
	}
	return running[:min(count, len(running))]
}

// killNodes kills the processes of nodes and returns a function that restarts them.
func (env *environment) killNodes(nodes []*node) func() error {
	for _, n := range nodes {
		n.kill()
	}
	return func() error { return startAll(nodes) }
}

// startAll starts the nodes that have no process.
func startAll(nodes []*node) error {
	for _, n := range nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// terminationGap is the time between the first signals to two nodes that are terminated.
const terminationGap = 300 * time.Millisecond

// terminateNodes terminates nodes in turn, without waiting for the exit of one before the
// next, and returns a function that restarts them.
func (env *environment) terminateNodes(nodes []*node) func() error {
	var exits sync.WaitGroup
	for i, n := range nodes {
		exits.Go(func() {
			time.Sleep(time.Duration(i) * terminationGap)
			n.leave()
		})
	}
	exits.Wait()
	return func() error { return startAll(nodes) }
}

// setStoreFaults sets the faults of the store and returns a function that clears them.
func (env *environment) setStoreFaults(faults memory.Faults) func() error {
	env.store.SetFaults(faults)
	return func() error {
		env.store.SetFaults(memory.Faults{})
		env.store.ApplyDelayed()
		return nil
	}
}

// cutWatches cuts the watches that wait at the store at each interval, and returns a function that
// ends this.
func (env *environment) cutWatches(interval time.Duration) func() error {
	ctx, cancel := context.WithCancel(context.Background())
	var cuts sync.WaitGroup
	cuts.Go(func() {
		for wait.For(ctx, interval) {
			env.store.CutWatches()
		}
	})
	return func() error {
		cancel()
		cuts.Wait()
		return nil
	}
}

// drainTime is how long an endpoint keeps serving after the store lists it as draining, or
// after its answers began to say that it leaves.
const drainTime = 2 * time.Second

// replaceEndpoint ends a random endpoint and returns a function that starts another one of the
// same service. The last endpoint of a service is not ended.
func (env *environment) replaceEndpoint(random *rand.Rand, end func(*environment, *platformtest.Endpoint)) func() error {
	e := env.removeEndpoint(random)
	if e == nil {
		return noop
	}
	end(env, e)
	id := fmt.Sprintf("%s-%d", e.Service, random.Uint32())
	return func() error { env.addEndpoint(id, e.Service); return nil }
}

// serveAfterDrain is how long an endpoint that leaves without saying so serves after drainTime.
const serveAfterDrain = 500 * time.Millisecond

// leaveUnsaid lets a random endpoint leave without saying so while waiting watches are cut, and
// returns a function that waits for its exit and replaces it.
func (env *environment) leaveUnsaid(random *rand.Rand) func() error {
	endCuts := env.cutWatches(randomDuration(random, minCutInterval, maxCutInterval))
	time.Sleep(stableTime)
	var exit sync.WaitGroup
	replace := env.replaceEndpoint(random, func(env *environment, e *platformtest.Endpoint) {
		exit.Go(func() { env.removeRecord(e) })
	})
	return func() error {
		exit.Wait()
		return errors.Join(endCuts(), replace())
	}
}

// removeRecord removes the record of an endpoint, which serves on for a while and then exits. It
// records a violation if requests reach the endpoint later than drainTime after that in calm.
func (env *environment) removeRecord(e *platformtest.Endpoint) {
	env.store.Remove(e.Key())
	removed := time.Now()
	time.Sleep(drainTime)
	runs := e.AllRuns()
	time.Sleep(serveAfterDrain)
	if late := e.AllRuns() - runs; late > 0 && env.calmFor(stableTime, removed) {
		env.report.recordViolation("%d requests reached %s later than %s after its record was removed", late, e.ID, drainTime)
	}
	e.Close()
}

// crashEndpoint stops an endpoint at once.
func (env *environment) crashEndpoint(e *platformtest.Endpoint) {
	e.Close()
	env.store.Remove(e.Key())
}

// drainEndpoint stops an endpoint drainTime after the store lists it as draining.
func (env *environment) drainEndpoint(e *platformtest.Endpoint) {
	env.store.Write(e.Key(), e.Record("draining"))
	env.stopAfterDrain(e)
}

// leaveEndpoint stops an endpoint drainTime after its answers began to say that it leaves. The
// store lists it as ready meanwhile.
func (env *environment) leaveEndpoint(e *platformtest.Endpoint) {
	e.Leave()
	env.stopAfterDrain(e)
}

func (env *environment) stopAfterDrain(e *platformtest.Endpoint) {
	time.AfterFunc(drainTime, func() { env.store.Remove(e.Key()); e.Close() })
}
