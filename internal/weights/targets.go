package weights

import "sync"

// Targets holds the target version of each model, as named by trainers. Targets never
// decrease. It is safe for concurrent use; the zero value is ready to use.
type Targets struct {
	mu      sync.Mutex
	version map[string]int64
}

// Raise sets the target version of a model if it is higher than the current one, and
// reports whether it is.
func (t *Targets) Raise(model string, version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version == nil {
		t.version = map[string]int64{}
	}
	if t.version[model] >= version {
		return false
	}
	t.version[model] = version
	return true
}

// Of returns the target version of a model, or zero if none is set.
func (t *Targets) Of(model string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version[model]
}
