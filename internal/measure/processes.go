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

// Parameters of the Processes workload.
const (
	processEntries = 6
	processEngines = 3
	configChanges  = 10
	configPoll     = 5 * time.Millisecond
	processGroups  = 24
	processSamples = 8
	processTokens  = 48
	killAfter      = 16 // number of samples
	processTimeout = 60 * time.Second
)

// Processes runs the programs as separate processes. It measures the time until a
// change of the classes is in effect at all entries, and the longest time between two
// samples when the owner of a step is killed. The arms differ only in the policy of the
// entries, not in the control plane.
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

// domainCount is the number of failure domains of both deployments.
const domainCount = 4

// measureConfig applies several changes of the classes. It returns the longest time from
// the operator's call until the change is in effect at every entry.
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

// awaitRevision polls an entry until its configuration has at least the revision.
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

// deliveries records the times at which samples were delivered. It closes killDue
// after killAfter samples.
type deliveries struct {
	mu      sync.Mutex
	times   []time.Time
	killDue chan struct{}
}

func (a *deliveries) add(trainerclient.Sample) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
	if len(a.times) == killAfter {
		close(a.killDue)
	}
	return nil
}

// longestGap returns the longest time between two consecutive samples.
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

// measureFailover kills the owner of a step while samples are delivered. It returns the
// longest time between two samples.
func measureFailover(ctx context.Context, cluster *proctest.Cluster) (time.Duration, error) {
	spec := trainerclient.Spec{Trainer: "measure", Step: 1, Model: model, Class: "training", WeightVersion: 1, Staleness: 1}
	for i := range processGroups {
		spec.Groups = append(spec.Groups, trainerclient.Group{Prompt: fmt.Sprint("permit ", i), Size: processSamples, MaxTokens: processTokens})
	}
	received := &deliveries{killDue: make(chan struct{})}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		client := trainerclient.New(trainerclient.Options{URL: "http://" + cluster.BalancerAddress(), Wait: time.Second, MaxSamples: processSamples})
		return client.Run(ctx, spec, received.add)
	})
	group.Go(func() error {
		select {
		case <-received.killDue:
			return killOwner(ctx, cluster, spec)
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	if err := group.Wait(); err != nil {
		return 0, err
	}
	return received.longestGap(), nil
}

// killOwner kills the entry that owns the step, according to the owner key in the store.
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
	return fmt.Errorf("step owner %q is not an entry of the cluster", value.Data)
}
