// Package config keeps the class document in the platform's key-value service:
// changes by compare-and-swap with a change identifier, the history of the
// latest ones, and one long watch for each entry.
package config

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/comfreyfront/comfreyfront/internal/class"
)

// Key is where the record stands in the platform's service.
const Key = "config/classes"

// Bounds of a record.
const (
	// MaxHistory is the number of changes that the history keeps.
	MaxHistory = 64
	// maxEntryChanges bounds the differences kept of one change.
	maxEntryChanges = 16
	// maxRecordBytes bounds an encoded record.
	maxRecordBytes = 1 << 19
	// maxTextBytes bounds a change identifier and an operator's name.
	maxTextBytes = 64
)

// ChangeID identifies one operator's change over all its repeats.
type ChangeID string

// Entry is one accepted change.
type Entry struct {
	Revision int64          `json:"revision"`
	ChangeID ChangeID       `json:"change_id"`
	Who      string         `json:"who"`
	At       time.Time      `json:"at"` // by the clock of the entry that took it
	Digest   string         `json:"digest"`
	Changes  []class.Change `json:"changes"`
	// Omitted is the number of differences left out of Changes.
	Omitted int `json:"omitted,omitempty"`
}

// Record is the class document with its latest changes, oldest first.
type Record struct {
	Document *class.Document
	History  []Entry
}

// storedRecord is the JSON form of a record.
type storedRecord struct {
	Revision int64   `json:"revision"`
	Classes  string  `json:"classes"`
	History  []Entry `json:"history,omitempty"`
}

// Encode returns the stored form of a record.
func Encode(r *Record) []byte {
	stored := storedRecord{Revision: r.Document.Revision, History: r.History}
	if len(r.Document.Classes) > 0 {
		stored.Classes = string(class.Encode(r.Document))
	}
	data, err := json.Marshal(stored)
	if err != nil {
		panic(err) // only plain values are marshalled
	}
	return data
}

// Decode reads the stored form. It fails with ErrCorrupt.
func Decode(data []byte) (*Record, error) {
	if len(data) > maxRecordBytes {
		return nil, ErrCorrupt.New("record of %d bytes, at most %d", len(data), maxRecordBytes)
	}
	var stored storedRecord
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, ErrCorrupt.New("record: %v", err)
	}
	if stored.Revision < 0 || len(stored.History) > MaxHistory {
		return nil, ErrCorrupt.New("record at revision %d with a history of %d", stored.Revision, len(stored.History))
	}
	document := &class.Document{}
	if stored.Classes != "" {
		decoded, err := class.Decode([]byte(stored.Classes))
		if err != nil {
			return nil, ErrCorrupt.New("record at revision %d: %v", stored.Revision, err)
		}
		document = decoded
	}
	return &Record{Document: document.WithRevision(stored.Revision), History: stored.History}, nil
}

// Latest returns the record with only its newest change, as peers pass it on.
func (r *Record) Latest() *Record {
	history := r.History
	if len(history) > 1 {
		history = history[len(history)-1:]
	}
	return &Record{Document: r.Document, History: history}
}

// find returns the entry of a change identifier.
func (r *Record) find(id ChangeID) (Entry, bool) {
	for _, e := range r.History {
		if e.ChangeID == id {
			return e, true
		}
	}
	return Entry{}, false
}

// since returns the changes accepted after a revision.
func (r *Record) since(revision int64) []Entry {
	for i, e := range r.History {
		if e.Revision > revision {
			return r.History[i:]
		}
	}
	return nil
}

// reaches reports whether the history holds every change after a revision.
func (r *Record) reaches(revision int64) bool {
	return int64(len(r.since(revision))) >= r.Document.Revision-revision
}

// with returns the record after one more change.
func (r *Record) with(change Change, at time.Time) *Record {
	next := change.Document.WithRevision(r.Document.Revision + 1)
	differences := class.Diff(r.Document, next)
	entry := Entry{
		Revision: next.Revision,
		ChangeID: change.ID,
		Who:      change.Who,
		At:       at.UTC(),
		Digest:   digest(change.Document),
		Changes:  differences[:min(len(differences), maxEntryChanges)],
		Omitted:  max(0, len(differences)-maxEntryChanges),
	}
	kept := r.History[max(0, len(r.History)+1-MaxHistory):]
	history := append(append(make([]Entry, 0, len(kept)+1), kept...), entry)
	return &Record{Document: next, History: history}
}

func digest(d *class.Document) string {
	return strconv.FormatUint(xxhash.Sum64(class.Encode(d)), 16)
}
