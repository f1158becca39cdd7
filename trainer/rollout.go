package trainer

import (
	"context"
	"net/http"
)

// Rollout requests a weight version on all replicas of a model.
type Rollout struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// Floor is the oldest weight version whose answers are allowed once the rollout
	// is accepted.
	Floor int64 `json:"floor"`
}

// pathRollouts is the path that accepts rollouts.
const pathRollouts = "/v1/rollouts"

// Announce sends a rollout and retries until it is accepted or ctx ends. It fails
// with ErrSuperseded if a newer version was accepted earlier.
func (c *Client) Announce(ctx context.Context, rollout Rollout) error {
	return retry(ctx, func(ctx context.Context) error {
		_, err := c.call(ctx, http.MethodPost, pathRollouts, rollout)
		return err
	})
}
