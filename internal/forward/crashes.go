package forward

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/route"
)

// Limits for tracking requests that break connections to endpoints.
const (
	// crashesToBlock is the number of broken runs after which a request is blocked.
	crashesToBlock = 2
	// crashMemory is how long a broken run is remembered.
	crashMemory = 30 * time.Second
	// maxCrashes is the number of recorded requests at which expired ones are
	// removed.
	maxCrashes = 4096
)

// Crashes records the requests during which connections to endpoints broke, so that
// a request that crashes every endpoint it reaches is blocked. It is safe for
// concurrent use; the zero value is ready to use.
type Crashes struct {
	// OnBlock is called when this node starts to block a request because of its own
	// observations; it may be nil.
	OnBlock func(fingerprint uint64, life time.Duration)
	// OnBroken is called when the connection broke while a request ran that may run only once;
	// it may be nil. Such a request is not retried by the node, and its caller may repeat it at
	// another one, so that only the counts of all nodes together reveal it.
	OnBroken func(fingerprint uint64)

	mu            sync.Mutex
	byFingerprint map[uint64]*crash
}

type crash struct {
	count   int
	expires time.Time
}

// Fingerprint returns a hash of the parts of a request that stay the same when a
// caller repeats it: its path, its account if it has one, and its body.
func Fingerprint(request *call.Request) uint64 {
	digest := xxhash.New()
	parts := []string{request.Host, request.URI}
	if request.Account != "" {
		parts = append(parts, request.Account)
	}
	for _, part := range parts {
		_, _ = digest.WriteString(part) // never fails
		_, _ = digest.WriteString("\x00")
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// crashRecord is what is known of the crashes during one request; the zero value belongs to
// a request that is never blocked.
type crashRecord struct {
	crashes     *Crashes
	fingerprint uint64
	// runsOnce means that the request may run only once and can be told from others by its body.
	runsOnce bool
}

// recordOf returns the record of a request on a route.
func (c *Crashes) recordOf(r *route.Route, request *call.Request) crashRecord {
	if request.Owed {
		return crashRecord{}
	}
	return crashRecord{crashes: c, fingerprint: Fingerprint(request), runsOnce: !r.Repeatable() && len(request.Body) > 0}
}

// blocked reports whether the request must not be sent.
func (r crashRecord) blocked() bool { return r.crashes != nil && r.crashes.Blocked(r.fingerprint) }

// countBroken counts a run during which the connection broke.
func (r crashRecord) countBroken() {
	if r.crashes == nil {
		return
	}
	r.crashes.CountBroken(r.fingerprint)
	if r.runsOnce && r.crashes.OnBroken != nil {
		r.crashes.OnBroken(r.fingerprint)
	}
}

// clear forgets earlier crashes: an endpoint has run the request to its end.
func (r crashRecord) clear() {
	if r.crashes != nil {
		r.crashes.forget(r.fingerprint)
	}
}

// CountBroken counts a run, at this node or another, during which the connection broke.
func (c *Crashes) CountBroken(fingerprint uint64) {
	c.mu.Lock()
	entry := c.entry(fingerprint)
	entry.count++
	entry.expires = time.Now().Add(crashMemory)
	blocked := entry.count == crashesToBlock && c.OnBlock != nil
	c.mu.Unlock()
	if blocked {
		c.OnBlock(fingerprint, crashMemory)
	}
}

// Block blocks a request that another node reported.
func (c *Crashes) Block(fingerprint uint64, life time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.entry(fingerprint)
	entry.count = max(entry.count, crashesToBlock)
	entry.expires = time.Now().Add(min(life, crashMemory))
}

// Blocked reports whether the request must not be sent.
func (c *Crashes) Blocked(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.byFingerprint[fingerprint]
	return ok && entry.count >= crashesToBlock && time.Now().Before(entry.expires)
}

// forget drops what is known of a request.
func (c *Crashes) forget(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byFingerprint, fingerprint)
}

// entry returns the entry of a request. The caller must lock c.mu.
func (c *Crashes) entry(fingerprint uint64) *crash {
	if c.byFingerprint == nil {
		c.byFingerprint = map[uint64]*crash{}
	}
	now := time.Now()
	if len(c.byFingerprint) >= maxCrashes {
		for key, entry := range c.byFingerprint {
			if now.After(entry.expires) {
				delete(c.byFingerprint, key)
			}
		}
	}
	entry := c.byFingerprint[fingerprint]
	if entry == nil || now.After(entry.expires) {
		entry = &crash{}
		c.byFingerprint[fingerprint] = entry
	}
	return entry
}
