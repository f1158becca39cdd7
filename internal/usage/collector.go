package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Limits of what a collector holds.
const (
	maxProcesses = 4096
	// maxEntries bounds the counts of one window over all processes.
	maxEntries = 500_000
)

// collected are the counts of one window by process.
type collected struct {
	processes map[Process]Counts
	entries   int
}

// Collector adds up the counts of all processes. It is safe for concurrent use.
type Collector struct {
	length time.Duration
	now    func() time.Duration

	mu      sync.Mutex
	windows map[Window]*collected
	// oldest is the oldest window whose report is not fixed yet, as far as known.
	oldest Window
}

// NewCollector returns an empty collector for windows of the given length. now returns the
// time since the start of 1970.
func NewCollector(length time.Duration, now func() time.Duration) *Collector {
	return &Collector{length: length, now: now, windows: map[Window]*collected{}}
}

// Merge takes in batches. They may come more than once and in any order. Counts of windows
// that are reported, or that are far from the present, have no effect.
func (c *Collector) Merge(batches []Batch) {
	now := c.now()
	kept, latest := oldestKept(now, c.length), WindowAt(now, c.length)+1
	c.mu.Lock()
	defer c.mu.Unlock()
	dropBefore(c.windows, kept)
	for _, batch := range batches {
		for w, counts := range batch.Windows {
			if w >= max(kept, c.oldest) && w <= latest {
				c.merge(w, batch.Process, counts)
			}
		}
	}
}

// merge takes in the counts of one process in one window. The caller holds c.mu.
func (c *Collector) merge(w Window, process Process, counts Counts) {
	window := c.windows[w]
	if window == nil {
		window = &collected{processes: map[Process]Counts{}}
		c.windows[w] = window
	}
	known := window.processes[process]
	if known == nil {
		if len(window.processes) >= maxProcesses {
			return
		}
		known = Counts{}
		window.processes[process] = known
	}
	for account, count := range counts {
		before, exists := known[account]
		if !exists {
			if window.entries >= maxEntries {
				return
			}
			window.entries++
		}
		known[account] = max(before, count)
	}
}

// Batches returns the counts of all processes but one.
func (c *Collector) Batches(except Process) []Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	byProcess := map[Process]Batch{}
	for w, window := range c.windows {
		for process, counts := range window.processes {
			if process == except {
				continue
			}
			if _, exists := byProcess[process]; !exists {
				byProcess[process] = Batch{Process: process, Windows: map[Window]Counts{}}
			}
			byProcess[process].Windows[w] = maps.Clone(counts)
		}
	}
	return slices.Collect(maps.Values(byProcess))
}

// Sum returns the counts of a window over all processes.
func (c *Collector) Sum(w Window) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := Counts{}
	if window := c.windows[w]; window != nil {
		for _, counts := range window.processes {
			for account, count := range counts {
				sum[account] += count
			}
		}
	}
	return sum
}

// Earliest returns the earliest window with counts.
func (c *Collector) Earliest() (Window, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	earliest, found := Window(0), false
	for w := range c.windows {
		if !found || w < earliest {
			earliest, found = w, true
		}
	}
	return earliest, found
}

// Unreported returns the oldest window whose report is not fixed yet, or zero if that is not
// known here.
func (c *Collector) Unreported() Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.oldest
}

// Reported drops the counts of a window whose report is fixed, and of all earlier ones.
func (c *Collector) Reported(w Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oldest = max(c.oldest, w+1)
	dropBefore(c.windows, c.oldest)
}
