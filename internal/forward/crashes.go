package forward

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyfront/comfreyfront/internal/call"
)

// Bounds of what is remembered of requests that break.
const (
	// crashesToHold is how many broken runs hold a request back.
	crashesToHold = 2
	// crashMemory is how long a broken run is remembered.
	crashMemory = 30 * time.Second
	crashesMost = 4096
)

// Crashes remembers the requests at which connections to endpoints broke, so
// that one that crashes each endpoint is not sent again. It is safe for
// concurrent use; the zero value works.
type Crashes struct {
	// OnBlock is called when a request is held back here; it may be nil.
	OnBlock func(fingerprint uint64, life time.Duration)

	mu   sync.Mutex
	seen map[uint64]*crash
}

type crash struct {
	count int
	till  time.Time
}

// Fingerprint names a request by what comes again when a caller repeats it.
func Fingerprint(request *call.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request.Host, request.URI} {
		_, _ = digest.WriteString(part) // never fails
		_, _ = digest.WriteString("\x00")
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// CountBroken counts a broken run.
func (c *Crashes) CountBroken(fingerprint uint64) {
	c.mu.Lock()
	entry := c.entry(fingerprint)
	entry.count++
	entry.till = time.Now().Add(crashMemory)
	tell := entry.count == crashesToHold && c.OnBlock != nil
	c.mu.Unlock()
	if tell {
		c.OnBlock(fingerprint, crashMemory)
	}
}

// Block holds a request back on another node's word.
func (c *Crashes) Block(fingerprint uint64, life time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.entry(fingerprint)
	entry.count = max(entry.count, crashesToHold)
	entry.till = time.Now().Add(min(life, crashMemory))
}

// Blocked reports whether the request is not to be sent.
func (c *Crashes) Blocked(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.seen[fingerprint]
	return ok && entry.count >= crashesToHold && time.Now().Before(entry.till)
}

// entry returns the entry of a request; c.mu is held.
func (c *Crashes) entry(fingerprint uint64) *crash {
	if c.seen == nil {
		c.seen = map[uint64]*crash{}
	}
	now := time.Now()
	if len(c.seen) >= crashesMost {
		for key, entry := range c.seen {
			if now.After(entry.till) {
				delete(c.seen, key)
			}
		}
	}
	entry := c.seen[fingerprint]
	if entry == nil || now.After(entry.till) {
		entry = &crash{}
		c.seen[fingerprint] = entry
	}
	return entry
}
