package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/trainer"
)

// Amounts of work, the kill threshold and the retry limits.
const (
	groups            = 8
	groupSize         = 4
	sampleTokens      = 64
	lookups           = 40
	updates           = 20
	samplesBeforeKill = 8
	maxAttempts       = 40
	retryPause        = 250 * time.Millisecond
)

// callers sends the requests of the demonstration through the balancer.
type callers struct {
	balancerURL string
	http        *http.Client
	results     *results
}

// trainStep runs one complete training step.
func (c *callers) trainStep(ctx context.Context) error {
	spec := trainer.Spec{Trainer: "permits", Step: 1, Model: model, Class: "training", WeightVersion: 1, Staleness: 1}
	for i := range groups {
		prompt := fmt.Sprintf("Summarise the permit of well %d in Thessaly.", i)
		spec.Groups = append(spec.Groups, trainer.Group{Prompt: prompt, Size: groupSize, MaxTokens: sampleTokens})
	}
	client := trainer.New(trainer.Options{URL: c.balancerURL, Wait: 2 * time.Second, MaxSamples: groupSize})
	return client.Run(ctx, spec, func(sample trainer.Sample) error {
		c.results.recordSample(sample)
		return nil
	})
}

// lookUp sends lookups sequentially, as an inspector would.
func (c *callers) lookUp(ctx context.Context) error {
	for i := range lookups {
		body, err := json.Marshal(engine.CompletionRequest{Model: model, Prompt: fmt.Sprintf("Who holds permit %d?", i), MaxTokens: 16})
		if err != nil {
			return err
		}
		answer, err := c.send(ctx, "/v1/completions", "field-lookup", "", body)
		if err != nil {
			return err
		}
		c.results.recordLookup(answer)
	}
	return nil
}

// update sends register updates, every fifth of them twice with the same key.
func (c *callers) update(ctx context.Context) error {
	for i := range updates {
		key := fmt.Sprintf("update-%d", i)
		body := fmt.Appendf(nil, "well %d changed hands", i)
		repeats := 1
		if i%5 == 0 {
			repeats = 2
		}
		for range repeats {
			answer, err := c.send(ctx, "/services/register/wells", "register-update", key, body)
			if err != nil {
				return err
			}
			c.results.recordUpdate(key, answer)
		}
	}
	return nil
}

// answer is the response that a caller received.
type answer struct {
	status  int
	outcome request.Outcome
	body    []byte
}

// send posts a request and retries it, with its idempotency key if it has one,
// until it is answered or a retry cannot change the outcome.
func (c *callers) send(ctx context.Context, path, class, key string, body []byte) (answer, error) {
	for range maxAttempts {
		got, err := c.attempt(ctx, path, class, key, body)
		if err == nil && got.final() {
			return got, nil
		}
		if err := sleep(ctx, retryPause); err != nil {
			return answer{}, err
		}
	}
	return answer{}, fmt.Errorf("%s was not answered after %d attempts", path, maxAttempts)
}

// final reports whether a retry cannot change the outcome: the request was answered
// or conflicts with another one.
func (a answer) final() bool {
	return a.outcome == request.Answered || a.status == http.StatusConflict
}

func (c *callers) attempt(ctx context.Context, path, class, key string, body []byte) (answer, error) {
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, c.balancerURL+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	post.Header.Set("Content-Type", "application/json")
	post.Header.Set(request.HeaderClass, class)
	post.Header.Set(request.HeaderTenant, "hydrometra")
	if key != "" {
		post.Header.Set(request.HeaderIdempotencyKey, key)
	}
	response, err := c.http.Do(post)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	return answer{status: response.StatusCode, outcome: request.Outcome(response.Header.Get(request.HeaderOutcome)), body: text}, nil
}
