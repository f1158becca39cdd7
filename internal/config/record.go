// Package config stores the class document in the platform's key-value service.
// Changes are compare-and-swap writes with a change identifier, the record
// includes a history of the latest changes, and each entry runs one long-polling
// watch.
package config

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/comfreyfront/comfreyfront/internal/class"
)

// Key is the key of the record in the platform's key-value service.
const Key = "config/classes"

// Limits on a record.
const (
	// MaxHistory is the largest number of changes in the history.
	MaxHistory = 64
	// maxEntryChanges bounds the differences that the history stores per change.
	maxEntryChanges = 16
	// maxRecordBytes bounds the size of an encoded record.
	maxRecordBytes = 1 << 19
	// maxTextBytes bounds the sizes of a change identifier and an operator's name.
	maxTextBytes = 64
)

// ChangeID identifies an operator's change across retries.
type ChangeID string

// Entry is the history entry of one accepted change.
type Entry struct {
	Revision int64          `json:"revision"`
	ChangeID ChangeID       `json:"change_id"`
	Who      string         `json:"who"`
	At       time.Time      `json:"at"` // time of the write, by the clock of the writing process
	Digest   string         `json:"digest"`
	Changes  []class.Change `json:"changes"`
	// Omitted is the number of differences that do not fit in Changes.
	Omitted int `json:"omitted,omitempty"`
}

// Record is the class document with the history of its latest changes, oldest
// first.
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
		panic(err) // storedRecord contains only types that json can marshal
	}
	return data
}

// Decode parses the stored form of a record. It fails with ErrCorrupt.
func Decode(data []byte) (*Record, error) {
	if len(data) > maxRecordBytes {
		return nil, ErrCorrupt.New("record has %d bytes, at most %d are allowed", len(data), maxRecordBytes)
	}
	var stored storedRecord
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, ErrCorrupt.New("record: %v", err)
	}
	if stored.Revision < 0 || len(stored.History) > MaxHistory {
		return nil, ErrCorrupt.New("record is out of range: revision %d, history of %d changes", stored.Revision, len(stored.History))
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

// Latest returns the record with only the newest change in its history, the form
// that peers exchange.
func (r *Record) Latest() *Record {
	history := r.History
	if len(history) > 1 {
		history = history[len(history)-1:]
	}
	return &Record{Document: r.Document, History: history}
}

// find returns the history entry with the given change identifier.
func (r *Record) find(id ChangeID) (Entry, bool) {
	for _, e := range r.History {
		if e.ChangeID == id {
			return e, true
		}
	}
	return Entry{}, false
}

// changesAfter returns the changes in the history after the given revision.
func (r *Record) changesAfter(revision int64) []Entry {
	for i, e := range r.History {
		if e.Revision > revision {
			return r.History[i:]
		}
	}
	return nil
}

// coversChangesAfter reports whether the history contains every change after the
// given revision.
func (r *Record) coversChangesAfter(revision int64) bool {
	return int64(len(r.changesAfter(revision))) >= r.Document.Revision-revision
}

// withChange returns the record that results from applying the change.
func (r *Record) withChange(change Change, now time.Time) *Record {
	next := change.Document.WithRevision(r.Document.Revision + 1)
	differences := class.Diff(r.Document, next)
	entry := Entry{
		Revision: next.Revision,
		ChangeID: change.ID,
		Who:      change.Who,
		At:       now.UTC(),
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
