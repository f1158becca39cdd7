package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Report is what a run found. It is safe for concurrent use; the zero value works.
type Report struct {
	mu sync.Mutex
	// counts are events of the run by name.
	counts map[string]int
	broken []string
}

func (r *Report) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[name]++
}

// breach records a promise that was not kept.
func (r *Report) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// Violations returns the promises that were not kept.
func (r *Report) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.broken)
}

// Count returns how often something happened.
func (r *Report) Count(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

// String lists what happened and what was broken, a line each.
func (r *Report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.counts)) {
		fmt.Fprintf(&b, "%7d %s\n", r.counts[name], name)
	}
	for _, line := range r.broken {
		fmt.Fprintf(&b, "BROKEN: %s\n", line)
	}
	if len(r.broken) == 0 {
		b.WriteString("no promise broken\n")
	}
	return b.String()
}
