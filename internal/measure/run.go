package measure

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/policy"
	"github.com/comfreyfront/comfreyfront/internal/policy/adaptive"
	"github.com/comfreyfront/comfreyfront/internal/policy/naive"
	"github.com/comfreyfront/comfreyfront/internal/queue"
)

// Workload measures one arm with the requests of one seed.
type Workload struct {
	Name string
	Run  func(ctx context.Context, arm Arm, seed uint64) ([]Value, error)
}

// Workloads returns all workloads, in the order of the report.
func Workloads() []Workload {
	return []Workload{
		{"training", Training},
		{"short", ShortBehindLong},
		{"slowed", Slowed},
		{"overload", Overload},
		{"failing", Failing},
		{"crossings", Crossings},
		{"updates", Updates},
		{"processes", Processes},
	}
}

// Naive returns the arm with the naive baseline policy.
func Naive() Arm {
	return Arm{Name: "naive", New: func(string) (policy.Policy, *queue.Queue) { return naive.New(), nil }}
}

// Ours returns the arm with the adaptive policy, which entries use by default.
func Ours() Arm {
	return Arm{Name: "ours", New: func(domain string) (policy.Policy, *queue.Queue) {
		return adaptive.New(adaptive.Options{FailureDomain: domain, Region: region})
	}}
}

// Run runs the workloads on both arms at each seed, at most atOnce runs concurrently,
// and returns the figures in the order of workloads and seeds.
func Run(ctx context.Context, workloads []Workload, seeds []uint64, atOnce int) ([]Figure, error) {
	arms := []Arm{Naive(), Ours()}
	var mu sync.Mutex
	values := map[string][]Value{}
	running, ctx := errgroup.WithContext(ctx)
	running.SetLimit(atOnce)
	for _, seed := range seeds {
		for _, workload := range workloads {
			for _, arm := range arms {
				running.Go(func() error {
					measured, err := workload.Run(ctx, arm, seed)
					if err != nil {
						return fmt.Errorf("%s: %w", workload.Name, err)
					}
					mu.Lock()
					defer mu.Unlock()
					values[runKey(workload, arm, seed)] = measured
					return nil
				})
			}
		}
	}
	if err := running.Wait(); err != nil {
		return nil, err
	}
	var figures []Figure
	for _, workload := range workloads {
		for _, seed := range seeds {
			figures = append(figures, pair(values[runKey(workload, arms[0], seed)], values[runKey(workload, arms[1], seed)], seed)...)
		}
	}
	return figures, nil
}

// runKey returns the map key of the values of one run.
func runKey(w Workload, arm Arm, seed uint64) string {
	return fmt.Sprintf("%s/%s/%d", w.Name, arm.Name, seed)
}

// pair joins the values of both arms by name. A value that only one arm has is zero for
// the other.
func pair(naiveValues, oursValues []Value, seed uint64) []Figure {
	var figures []Figure
	index := map[string]int{}
	for _, v := range naiveValues {
		index[v.Name] = len(figures)
		figures = append(figures, Figure{Name: v.Name, Unit: v.Unit, Naive: v.Value, Seed: seed})
	}
	for _, v := range oursValues {
		i, ok := index[v.Name]
		if !ok {
			i = len(figures)
			figures = append(figures, Figure{Name: v.Name, Unit: v.Unit, Seed: seed})
		}
		figures[i].Ours = v.Value
	}
	return figures
}
