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
	// Newest: only the newest version may answer.
	Newest bool
	// Versions is how many versions behind the newest an answer may be; zero
	// and below is no bound.
	Versions int
	// Age is how long ago the weights may have been replaced; zero is no bound.
	Age time.Duration
}

// VersionLimit returns how many versions behind the newest an answer may be,
// and whether versions are bounded at all.
func (f Freshness) VersionLimit() (int, bool) {
	if f.Newest {
		return 0, true
	}
	return max(f.Versions, 0), f.Versions > 0
}

// AgeLimit returns how long ago the weights may have been replaced, and whether
// that is bounded at all.
func (f Freshness) AgeLimit() (time.Duration, bool) {
	return f.Age, f.Age > 0
}

// Document is the whole set of classes at one revision. It is immutable.
type Document struct {
	// Revision rises by one with each accepted change; zero is the empty one.
	Revision int64
	Classes  []Class
}

// Find returns the class of that name. A nil document has none.
func (d *Document) Find(name string) (Class, bool) {
	if d == nil {
		return Class{}, false
	}
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// WithRevision returns a copy of the document at that revision.
func (d *Document) WithRevision(revision int64) *Document {
	return &Document{Revision: revision, Classes: d.Classes}
}
