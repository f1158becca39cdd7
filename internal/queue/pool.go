package queue

import "github.com/comfreyfront/comfreyfront/internal/policy"

// pool separates work that people wait on from the rest.
type pool int

const (
	interactivePool pool = iota
	batchPool
)

var pools = []pool{interactivePool, batchPool}

func poolOf(work *policy.Work) pool {
	if work.Interactive {
		return interactivePool
	}
	return batchPool
}

// groupKey names a group.
type groupKey struct {
	model string
	pool  pool
}
