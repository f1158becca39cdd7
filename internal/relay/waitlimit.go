package relay

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// Limits of the wait for an answer of the store.
const (
	// minWaitLimit is far above the latency of a healthy store, so that a brief pause of
	// this process does not make a call time out.
	minWaitLimit = 200 * time.Millisecond
	maxWaitLimit = directTimeout
	// averageFactor is the wait limit as a multiple of the average latency.
	averageFactor = 6
	// averageWeight is the divisor of the newest value in the moving average.
	averageWeight = 4
	// sendRate is a lower bound of the sending rate, in bytes per millisecond.
	sendRate = 1000
	// rangeBytes is the size assumed for reading a range; it yields the longest wait limit.
	rangeBytes = int(maxWaitLimit/time.Millisecond) * sendRate
)

// waitLimit determines how long to wait for an answer of the store: a multiple of the
// average latency of recent answers, doubled after each timeout, since the store may have
// become slow. The zero value is ready to use.
type waitLimit struct {
	average  time.Duration
	timeouts int
}

// timeout returns the wait limit for a call that sends the given number of bytes.
func (w *waitLimit) timeout(bytes int) time.Duration {
	wait := max(minWaitLimit, averageFactor*w.average)
	for range w.timeouts {
		wait = min(2*wait, maxWaitLimit)
	}
	return min(wait+time.Duration(bytes/sendRate)*time.Millisecond, maxWaitLimit)
}

func (w *waitLimit) answered(elapsed time.Duration) {
	w.average += (elapsed - w.average) / averageWeight
	w.timeouts = 0
}

func (w *waitLimit) timedOut() { w.timeouts++ }

// sizeOf returns the approximate number of bytes that a transaction sends.
func sizeOf(txn metastore.Txn) int {
	bytes := 0
	for _, put := range txn.Puts {
		bytes += len(put.Value)
	}
	return bytes
}
