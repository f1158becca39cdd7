package relay

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// Bounds of the wait for an answer.
const (
	// leastPatience is far above what an answer takes while all is well, so that
	// a process that is held up for a moment gives no call up.
	leastPatience = 200 * time.Millisecond
	mostPatience  = directTimeout
	// usualFactor is how many times the usual time an answer may take.
	usualFactor = 6
	// usualWeight is the divisor of the newest value in the moving average.
	usualWeight = 4
	// sendRate is a low bound of how fast bytes are sent, per millisecond.
	sendRate = 1000
	// rangeBytes stands in for the size of a range that is read: as much as takes
	// the longest wait.
	rangeBytes = int(mostPatience/time.Millisecond) * sendRate
)

// patience says how long to wait for an answer of the store: some times what
// answers took lately, and twice as long after each that did not come, since the
// store may have become slow. The zero value works.
type patience struct {
	usual  time.Duration
	misses int
}

// timeout returns the wait for a call that sends so many bytes.
func (p *patience) timeout(bytes int) time.Duration {
	wait := max(leastPatience, usualFactor*p.usual)
	for range p.misses {
		wait = min(2*wait, mostPatience)
	}
	return min(wait+time.Duration(bytes/sendRate)*time.Millisecond, mostPatience)
}

func (p *patience) answered(took time.Duration) {
	p.usual += (took - p.usual) / usualWeight
	p.misses = 0
}

func (p *patience) missed() { p.misses++ }

// sizeOf returns about how many bytes a transaction sends.
func sizeOf(txn metastore.Txn) int {
	bytes := 0
	for _, put := range txn.Puts {
		bytes += len(put.Value)
	}
	return bytes
}
