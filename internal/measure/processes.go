package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/metakv"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/internal/step"
	"github.com/comfreyfront/comfreyfront/platform"
	trainerclient "github.com/comfreyfront/comfreyfront/trainer"
)

// Sizes of the measurement with processes.
const (
	processEntries = 6
	processEngines = 3
	configChanges  = 10
	configPoll     = 5 * time.Millisecond
	processGroups  = 24
	processSamples = 8
	processTokens  = 48
	killAfter      = 16 // samples
	processTimeout = 60 * time.Second
)

// Processes runs the programs as separate processes: it measures how long a
// change of classes takes until it is in force at all entries, and the longest
// time without a sample when the owner of a step is killed. Both arms share the
// control side; they differ in the policy of the entries.
func Processes(ctx context.Context, arm Arm, seed uint64) ([]Value, error) {
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	var values []Value
	err := proctest.RunTemporary(proctest.TemporaryOptions{Log: io.Discard}, func(cluster *proctest.Cluster, _ string) error {
		var err error
		values, err = measureProcesses(ctx, cluster, arm, seed)
		return err
	})
	return values, err
}

func measureProcesses(ctx context.Context, cluster *proctest.Cluster, arm Arm, seed uint64) ([]Value, error) {
	if err := startProcesses(cluster, arm); err != nil {
		return nil, err
	}
	slowest, err := measureConfig(ctx, cluster, seed)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	gap, err := measureFailover(ctx, cluster)
	if err != nil {
		return nil, fmt.Errorf("failover: %w", err)
	}
	return []Value{
		{Name: "config_p99", Unit: "ms", Value: float64(slowest.Microseconds()) / 1000},
		{Name: "failover_gap", Unit: "ms", Value: float64(gap.Microseconds()) / 1000},
	}, nil
}

func startProcesses(cluster *proctest.Cluster, arm Arm) error {
	for i := range processEngines {
		if _, err := cluster.StartEngine(fmt.Sprint("engine-", i), fmt.Sprint("domain-", i%domainCount), model,
			"--slots", "8", "--step-base", "10ms", "--version", "1"); err != nil {
			return err
		}
	}
	policy := "default"
	if arm.Name == Naive().Name {
		policy = arm.Name
	}
	for i := range processEntries {
		if _, err := cluster.StartEntry(fmt.Sprint("entry-", i), fmt.Sprint("domain-", i%domainCount), "--policy", policy, "--log-level", "ERROR"); err != nil {
			return err
		}
	}
	return nil
}

// domainCount is the number of failure domains of both users.
const domainCount = 4

// measureConfig returns the slowest of several changes, from the operator's
// call until the change is in force at every entry.
func measureConfig(ctx context.Context, cluster *proctest.Cluster, seed uint64) (time.Duration, error) {
	entries := cluster.Entries()
	var slowest time.Duration
	for i := range configChanges {
		via := entries[(int(seed)+i)%len(entries)]
		document := fmt.Sprintf("classes:\n- name: training\n  lateness: %ds\n  freshness: none\n  completeness: 99%%\n", 60+i)
		started := time.Now()
		accepted, err := operator.NewClient(via.InternalAddress(), http.DefaultClient).Apply(ctx, operator.Change{
			ID: config.ChangeID(fmt.Sprint("change-", i)), Who: "measure", Expect: config.AnyRevision, Classes: document,
		})
		if err != nil {
			return 0, err
		}
		var group errgroup.Group
		for _, entry := range entries {
			group.Go(func() error { return awaitRevision(ctx, entry, accepted.Revision) })
		}
		if err := group.Wait(); err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(started))
	}
	return slowest, nil
}

func awaitRevision(ctx context.Context, entry *proctest.Entry, revision int64) error {
	client := operator.NewClient(entry.InternalAddress(), http.DefaultClient)
	for {
		state, err := client.Classes(ctx)
		if err == nil && state.Revision >= revision {
			return nil
		}
		select {
		case <-time.After(configPoll):
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		}
	}
}

// deliveries are the times at which samples came.
type deliveries struct {
	mu     sync.Mutex
	times  []time.Time
	enough chan struct{}
}

func (a *deliveries) add(trainerclient.Sample) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
	if len(a.times) == killAfter {
		close(a.enough)
	}
	return nil
}

// longestGap returns the longest time between two samples.
func (a *deliveries) longestGap() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(a.times, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(a.times); i++ {
		longest = max(longest, a.times[i].Sub(a.times[i-1]))
	}
	return longest
}

// measureFailover kills the owner of a step in its middle.
func measureFailover(ctx context.Context, cluster *proctest.Cluster) (time.Duration, error) {
	spec := trainerclient.Spec{Trainer: "measure", Step: 1, Model: model, Class: "training", WeightVersion: 1, Staleness: 1}
	for i := range processGroups {
		spec.Groups = append(spec.Groups, trainerclient.Group{Prompt: fmt.Sprint("permit ", i), Size: processSamples, MaxTokens: processTokens})
	}
	seen := &deliveries{enough: make(chan struct{})}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		client := trainerclient.New(trainerclient.Options{URL: "http://" + cluster.BalancerAddress(), Wait: time.Second, MaxSamples: processSamples})
		return client.Run(ctx, spec, seen.add)
	})
	group.Go(func() error {
		select {
		case <-seen.enough:
			return killOwner(ctx, cluster, spec)
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	if err := group.Wait(); err != nil {
		return 0, err
	}
	return seen.longestGap(), nil
}

// killOwner kills the entry that owns the step, by the key of its lease.
func killOwner(ctx context.Context, cluster *proctest.Cluster, spec trainerclient.Spec) error {
	store := &metakv.Store{Metadata: platform.NewNamedStoreClient(cluster.Store.Addresses[0], "measure")}
	value, err := store.Get(ctx, "owner/"+step.UnitOf(spec.Trainer, spec.Step))
	if err != nil {
		return err
	}
	for _, entry := range cluster.Entries() {
		if entry.ID == string(value.Data) {
			entry.Kill()
			return cluster.RemoveEntry(entry)
		}
	}
	return fmt.Errorf("the owner %q is no entry", value.Data)
}
