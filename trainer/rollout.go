package trainer

import (
	"context"
	"net/http"
)

// Rollout asks for a weight version on all replicas of a model.
type Rollout struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// Floor: no answer of an older version may be given once it is accepted.
	Floor int64 `json:"floor"`
}

// pathRollouts takes rollouts.
const pathRollouts = "/v1/rollouts"

// Announce sends a rollout until it is accepted or ctx ends. ErrSuperseded when
// a newer version was accepted before.
func (c *Client) Announce(ctx context.Context, rollout Rollout) error {
	return repeat(ctx, func(ctx context.Context) error {
		_, err := c.call(ctx, http.MethodPost, pathRollouts, rollout)
		return err
	})
}
