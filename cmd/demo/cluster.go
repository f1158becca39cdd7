package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// pollInterval is the pause between two checks of an awaited condition.
const pollInterval = 50 * time.Millisecond

// demonstrate starts all processes, sends the work, kills an entry while the work
// runs, and checks the guarantees.
func demonstrate(ctx context.Context, cluster *proctest.Cluster, folder string) error {
	if err := startAll(cluster); err != nil {
		return err
	}
	fmt.Printf("started %d entries, %d engines, %d services and the platform's stand-ins\n", entries, engines, services)
	if err := applyClasses(ctx, cluster, folder); err != nil {
		return err
	}
	if err := awaitReady(ctx, cluster); err != nil {
		return err
	}
	results := &results{}
	callers := &callers{balancerURL: "http://" + cluster.BalancerAddress(), http: &http.Client{}, results: results}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return callers.trainStep(ctx) })
	group.Go(func() error { return callers.lookUp(ctx) })
	group.Go(func() error { return callers.update(ctx) })
	group.Go(func() error { return killEntry(ctx, cluster, results) })
	if err := group.Wait(); err != nil {
		return err
	}
	if err := results.check(cluster); err != nil {
		return err
	}
	results.print()
	return printReport(context.WithoutCancel(ctx), cluster)
}

func startAll(cluster *proctest.Cluster) error {
	for i := range engines {
		if _, err := cluster.StartEngine(fmt.Sprintf("engine-%d", i), domain(i), model,
			"--slots", "8", "--step-base", "10ms", "--version", "1", "--checks-fence"); err != nil {
			return err
		}
	}
	for i := range services {
		if _, err := cluster.StartService(fmt.Sprintf("register-%d", i), domain(i), application, "--delay", "10ms"); err != nil {
			return err
		}
	}
	for i := range entries {
		if _, err := cluster.StartEntry(fmt.Sprintf("entry-%d", i), domain(i)); err != nil {
			return err
		}
	}
	return nil
}

func domain(i int) string {
	return []string{"larissa", "volos", "lamia", "trikala"}[i%4]
}

// applyClasses stores the classes as an operator would.
func applyClasses(ctx context.Context, cluster *proctest.Cluster, folder string) error {
	path := filepath.Join(folder, "classes.yaml")
	if err := os.WriteFile(path, []byte(classes), 0o600); err != nil {
		return err
	}
	if _, err := class.Decode([]byte(classes)); err != nil {
		return err
	}
	client := operator.NewClient(cluster.Entries()[0].InternalAddress(), &http.Client{Timeout: 10 * time.Second})
	accepted, err := client.Apply(ctx, operator.Change{ID: "demo", Who: "demo", Expect: config.AnyRevision, Classes: classes})
	if err != nil {
		return err
	}
	fmt.Printf("classes accepted as revision %d\n", accepted.Revision)
	return nil
}

// awaitReady waits until the classes are in effect at all entries.
func awaitReady(ctx context.Context, cluster *proctest.Cluster) error {
	for _, entry := range cluster.Entries() {
		client := operator.NewClient(entry.InternalAddress(), &http.Client{Timeout: time.Second})
		for {
			state, err := client.Classes(ctx)
			if err == nil && state.Revision > 0 {
				break
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return errors.Join(err, fmt.Errorf("%s is not ready", entry.ID))
			}
		}
	}
	return nil
}

// killEntry kills an entry once samplesBeforeKill samples have been delivered.
func killEntry(ctx context.Context, cluster *proctest.Cluster, results *results) error {
	for results.samples() < samplesBeforeKill {
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	victim := cluster.Entries()[0]
	victim.Kill()
	fmt.Printf("killed %s after %d samples\n", victim.ID, results.samples())
	return cluster.RemoveEntry(victim)
}

func printReport(ctx context.Context, cluster *proctest.Cluster) error {
	client := operator.NewClient(cluster.Entries()[0].InternalAddress(), &http.Client{Timeout: 10 * time.Second})
	text, err := client.Report(ctx)
	if err != nil {
		return err
	}
	fmt.Print("\n", text, "\n")
	return nil
}

// sleep waits for the duration, or returns the context's error if it ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	if wait.For(ctx, duration) {
		return nil
	}
	return ctx.Err()
}
