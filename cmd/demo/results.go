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

// results collects the responses that callers received. It is safe for concurrent
// use.
type results struct {
	mu             sync.Mutex
	delivery       map[trainer.SampleID]int
	withoutVersion int
	lookups        int
	outcomes       map[string]request.Outcome
	repeats        int
}

func (r *results) recordSample(sample trainer.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.delivery == nil {
		r.delivery = map[trainer.SampleID]int{}
	}
	r.delivery[trainer.SampleID{Group: sample.Group, Index: sample.Index}]++
	if len(sample.Spans) == 0 {
		r.withoutVersion++
	}
}

func (r *results) samples() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.delivery)
}

func (r *results) recordLookup(got answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if got.status == http.StatusOK {
		r.lookups++
	}
}

func (r *results) recordUpdate(key string, got answer) {
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

// check verifies that the work was answered completely, and compares the responses
// with the journals of the endpoints.
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
	if r.withoutVersion > 0 {
		return fmt.Errorf("%d samples have no weight version", r.withoutVersion)
	}
	if r.lookups != lookups {
		return fmt.Errorf("%d of %d lookups were answered", r.lookups, lookups)
	}
	return r.checkUpdates(cluster)
}

func (r *results) checkUpdates(cluster *proctest.Cluster) error {
	runs := map[string]int{}
	for _, endpoint := range cluster.Endpoints() {
		if endpoint.Kind != "service" {
			continue
		}
		records, err := service.ReadJournal(endpoint.Journal)
		if err != nil {
			return err
		}
		for _, record := range records {
			runs[record.Key]++
		}
	}
	for key, outcome := range r.outcomes {
		if runs[key] > 1 {
			return fmt.Errorf("update %s ran %d times", key, runs[key])
		}
		if outcome == request.Answered && runs[key] == 0 {
			return fmt.Errorf("update %s was answered but did not run", key)
		}
		if outcome == request.NotRun && runs[key] > 0 {
			return fmt.Errorf("update %s was refused as not run but ran", key)
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
	fmt.Printf("samples: %d delivered, each exactly once and with its weight versions\n", len(r.delivery))
	fmt.Printf("lookups: %d answered completely\n", r.lookups)
	fmt.Printf("updates: %d sent, %d of them twice; each ran at most once; %d with an unknown outcome\n", len(r.outcomes), r.repeats, unknown)
}
