package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Report holds the event counts of a run and the violations that it found. It is safe for
// concurrent use, and the zero value is ready to use.
type Report struct {
	mu sync.Mutex
	// counts is the number of events by name.
	counts     map[string]int
	violations []string
}

// count adds one to the number of events with the given name.
func (r *Report) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[name]++
}

// recordViolation records that a guarantee to callers or trainers was violated, or that the run
// itself failed to start a process or to create a request.
func (r *Report) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Violations returns a description of each violated guarantee.
func (r *Report) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// Count returns the number of events with the given name.
func (r *Report) Count(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

// String lists the event counts and the violations, one per line.
func (r *Report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.counts)) {
		fmt.Fprintf(&b, "%7d %s\n", r.counts[name], name)
	}
	for _, line := range r.violations {
		fmt.Fprintf(&b, "VIOLATION: %s\n", line)
	}
	if len(r.violations) == 0 {
		b.WriteString("no violations\n")
	}
	return b.String()
}
