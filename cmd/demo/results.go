package main

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/standin/service"
	"github.com/comfreyfront/comfreyfront/trainer"
)

// results collects what callers were told. It is safe for concurrent use.
type results struct {
	mu       sync.Mutex
	delivery map[trainer.SampleID]int
	unnamed  int
	lookups  int
	outcomes map[string]request.Outcome
	repeats  int
}

func (r *results) took(sample trainer.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.delivery == nil {
		r.delivery = map[trainer.SampleID]int{}
	}
	r.delivery[trainer.SampleID{Group: sample.Group, Index: sample.Index}]++
	if len(sample.Spans) == 0 {
		r.unnamed++
	}
}

func (r *results) samples() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.delivery)
}

func (r *results) lookedUp(got answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if got.status == http.StatusOK {
		r.lookups++
	}
}

func (r *results) updated(key string, got answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomes == nil {
		r.outcomes = map[string]request.Outcome{}
	}
	if _, known := r.outcomes[key]; known {
		r.repeats++
		return
	}
	r.outcomes[key] = got.outcome
}

// check compares what callers were told with the journals of the endpoints.
func (r *results) check(cluster *proctest.Cluster) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.delivery) != groups*groupSize {
		return fmt.Errorf("%d of %d samples were delivered", len(r.delivery), groups*groupSize)
	}
	for id, times := range r.delivery {
		if times != 1 {
			return fmt.Errorf("sample %v was delivered %d times", id, times)
		}
	}
	if r.unnamed > 0 {
		return fmt.Errorf("%d samples name no weight version", r.unnamed)
	}
	if r.lookups != lookups {
		return fmt.Errorf("%d of %d lookups were answered", r.lookups, lookups)
	}
	return r.checkUpdates(cluster)
}

func (r *results) checkUpdates(cluster *proctest.Cluster) error {
	ran := map[string]int{}
	for _, endpoint := range cluster.Endpoints() {
		if endpoint.Kind != "service" {
			continue
		}
		records, err := service.ReadJournal(endpoint.Journal)
		if err != nil {
			return err
		}
		for _, record := range records {
			ran[record.Key]++
		}
	}
	for key, outcome := range r.outcomes {
		if ran[key] > 1 {
			return fmt.Errorf("update %s ran %d times", key, ran[key])
		}
		if outcome == request.Answered && ran[key] == 0 {
			return fmt.Errorf("update %s was answered and did not run", key)
		}
		if outcome == request.NotRun && ran[key] > 0 {
			return fmt.Errorf("update %s was refused as not run and ran", key)
		}
	}
	return nil
}

func (r *results) print() {
	r.mu.Lock()
	defer r.mu.Unlock()
	unknown := 0
	for _, outcome := range r.outcomes {
		if outcome != request.Answered {
			unknown++
		}
	}
	fmt.Printf("samples: %d delivered, each once, each with its weight versions\n", len(r.delivery))
	fmt.Printf("lookups: %d answered whole\n", r.lookups)
	fmt.Printf("updates: %d sent, %d of them twice; each ran at most once; %d with an unknown outcome\n", len(r.outcomes), r.repeats, unknown)
}
