package weights

import "sync"

// Targets holds the versions that trainers named. They only rise. It is safe
// for concurrent use; the zero value works.
type Targets struct {
	mu      sync.Mutex
	version map[string]int64
}

// Raise records a named version of a model; it reports whether it is newer.
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

// Of returns the named version of a model; zero when none was named.
func (t *Targets) Of(model string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version[model]
}
