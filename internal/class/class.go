// Package class is the aggregate of classes of work: their targets, their
// order of precedence, and the versioned document that operators change.
package class

import "time"

// Class is one class of work and its targets.
type Class struct {
	Name string
	// Lateness is the time within which a whole answer is due; for training
	// work, the time within which a step's samples are due.
	Lateness time.Duration
	// Freshness bounds how old the weights behind an answer may be.
	Freshness Freshness
	// Completeness is the share of requests to be answered whole within
	// Lateness, 0 to 1.
	Completeness float64
}

// Freshness is a bound on the age of weights. The zero value is no bound.
type Freshness struct {
	// Versions is how many versions behind the newest an answer may be; -1 is
	// no bound.
	Versions int
	// Age is how long ago the weights may have been replaced; zero is no bound.
	Age time.Duration
}

// Document is the whole set of classes at one revision. It is immutable.
type Document struct {
	// Revision rises by one with each accepted change; zero is the empty one.
	Revision int64
	Classes  []Class
}
