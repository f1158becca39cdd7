package usage

import (
	"sync"
	"time"
)

// tally is the count of one account in one window.
type tally struct {
	count int64
	// changed is the number of the change that set the count.
	changed int64
}

// tallies are the counts of one window.
type tallies struct {
	accounts map[string]tally
	changed  int64
}

// Counter counts the requests of one process. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	now    func() time.Duration

	mu      sync.Mutex
	windows map[Window]*tallies
	// changes is the number of changes so far.
	changes int64
	wake    chan struct{}
}

// NewCounter returns a counter for windows of the given length. now returns the time since
// the start of 1970.
func NewCounter(length time.Duration, now func() time.Duration) *Counter {
	return &Counter{length: length, now: now, windows: map[Window]*tallies{}, wake: make(chan struct{}, 1)}
}

// Count counts a request that began to run the given time ago.
func (c *Counter) Count(account string, ago time.Duration) {
	now := c.now()
	w := WindowAt(now-ago, c.length)
	c.mu.Lock()
	t := c.windows[w]
	if t == nil {
		dropBefore(c.windows, oldestKept(now, c.length))
		t = &tallies{accounts: map[string]tally{}}
		c.windows[w] = t
	}
	c.changes++
	t.changed = c.changes
	t.accounts[account] = tally{count: t.accounts[account].count + 1, changed: c.changes}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives a value after a change.
func (c *Counter) Changed() <-chan struct{} { return c.wake }

// Changes returns the number of changes so far.
func (c *Counter) Changes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changes
}

// Since returns the counts that changed after the given number of changes, and the number of
// changes so far.
func (c *Counter) Since(changes int64) (map[Window]Counts, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := map[Window]Counts{}
	for w, t := range c.windows {
		if t.changed <= changes {
			continue
		}
		counts := Counts{}
		for account, tally := range t.accounts {
			if tally.changed > changes {
				counts[account] = tally.count
			}
		}
		changed[w] = counts
	}
	return changed, c.changes
}

// Forget drops the windows before the given one, whose reports are fixed.
func (c *Counter) Forget(before Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	dropBefore(c.windows, before)
}
