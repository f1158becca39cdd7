package queue

import "github.com/comfreyfront/comfreyfront/internal/policy"

// pool separates interactive work from batch work.
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

// modelQueueKey identifies a modelQueue.
type modelQueueKey struct {
	model string
	pool  pool
}
