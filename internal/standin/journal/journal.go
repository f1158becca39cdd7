// Package journal records what a stand-in did, in memory and optionally in a file
// of JSON lines, so that the records survive a killed process.
package journal

import (
	"bytes"
	"encoding/json"
	"os"
	"sync"
)

// Journal is an append-only list of records, in the order of their events. The zero
// value stores them in memory only.
type Journal[T any] struct {
	mu      sync.Mutex
	records []T
	file    *os.File
}

// Open returns a journal that also appends its records to the file at path. With an
// empty path, the records are stored in memory only.
func Open[T any](path string) (*Journal[T], error) {
	if path == "" {
		return &Journal[T]{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &Journal[T]{file: file}, nil
}

// Append adds a record. It returns after the record has been written to the file.
func (j *Journal[T]) Append(record T) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, record)
	if j.file == nil {
		return
	}
	line, err := json.Marshal(record)
	if err != nil {
		panic(err) // unreachable: records are plain structs
	}
	if _, err := j.file.Write(append(line, '\n')); err != nil {
		panic(err) // tests can't rely on a journal with missing records
	}
}

// All returns a copy of all records.
func (j *Journal[T]) All() []T {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]T{}, j.records...)
}

// ReadFile returns the records of a journal file. An incomplete last line is
// skipped: the process is still writing it, or was killed before it was written
// completely.
func ReadFile[T any](path string) ([]T, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var records []T
	completeLines := content[:bytes.LastIndexByte(content, '\n')+1]
	for line := range bytes.Lines(completeLines) {
		var record T
		if err := json.Unmarshal(line, &record); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
