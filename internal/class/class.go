// Package class defines classes of work: their targets, their order of
// precedence, and the versioned document through which operators change them.
package class

import "time"

// Class is one class of work and its targets.
type Class struct {
	Name string
	// Lateness is the time within which a complete answer is due or, for
	// training work, the time within which a step's samples are due.
	Lateness time.Duration
	// Freshness bounds the age of the weights that generate an answer.
	Freshness Freshness
	// Completeness is the fraction of requests, from 0 to 1, that must be
	// answered completely within Lateness.
	Completeness float64
}

// Freshness is a bound on the age of weights. The zero value sets no bound.
type Freshness struct {
	// Newest restricts answers to the newest weight version.
	Newest bool
	// Versions is the number of versions that an answer may be behind the
	// newest; zero or less sets no bound.
	Versions int
	// Age is the maximum time since the weights of an answer were replaced by a
	// newer version; zero sets no bound.
	Age time.Duration
}

// VersionLimit returns the number of versions that an answer may be behind the
// newest, and whether such a bound is set.
func (f Freshness) VersionLimit() (int, bool) {
	if f.Newest {
		return 0, true
	}
	return max(f.Versions, 0), f.Versions > 0
}

// AgeLimit returns the maximum time since the weights of an answer were replaced by
// a newer version, and whether such a bound is set.
func (f Freshness) AgeLimit() (time.Duration, bool) {
	return f.Age, f.Age > 0
}

// Document is the complete set of classes at one revision. It is immutable.
type Document struct {
	// Revision increases by one with each accepted change; the empty document
	// has revision zero.
	Revision int64
	Classes  []Class
}

// Find returns the class with the given name. A nil document has no classes.
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

// WithRevision returns a copy of the document with the given revision.
func (d *Document) WithRevision(revision int64) *Document {
	return &Document{Revision: revision, Classes: d.Classes}
}
