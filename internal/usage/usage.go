// Package usage counts the requests of client accounts that began to run at endpoints, by
// windows of true time. Each process counts its own requests and passes its counts to the
// holder of the usage reports, which adds them up and reports each window once.
package usage

import (
	"maps"
	"time"
)

// Window is the number of a window: window k begins k times the length of a window after
// the start of 1970.
type Window int64

// WindowAt returns the window that contains a time, given as the time since the start of
// 1970.
func WindowAt(at, length time.Duration) Window { return Window(at / length) }

// End returns when the window ends, as the time since the start of 1970.
func (w Window) End(length time.Duration) time.Duration { return time.Duration(w+1) * length }

// Counts is a number of requests by account.
type Counts map[string]int64

// Process is one process of the service.
type Process struct {
	Node        string
	Incarnation int64
}

// Batch contains counts of one process. For each account in it, it contains the number of
// all requests in the window so far, so that a repeat has no effect.
type Batch struct {
	Process Process
	Windows map[Window]Counts
}

// retention is how long at most the counts of a window are kept after its end. It covers an
// outage of the metadata store, during which nothing is reported.
const retention = time.Minute

// oldestKept returns the oldest window whose counts are kept.
func oldestKept(now, length time.Duration) Window { return WindowAt(now-retention, length) }

// dropBefore deletes the windows before the given one.
func dropBefore[T any](windows map[Window]T, before Window) {
	maps.DeleteFunc(windows, func(w Window, _ T) bool { return w < before })
}
