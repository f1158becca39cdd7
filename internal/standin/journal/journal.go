// Package journal keeps what a stand-in truly did, in memory and, if a file is
// given, as JSON lines that outlive a killed process.
package journal

import (
	"bytes"
	"encoding/json"
	"os"
	"sync"
)

// Journal is a list of records in the order in which they happened. The zero
// value keeps them in memory only.
type Journal[T any] struct {
	mu      sync.Mutex
	records []T
	file    *os.File
}

// Open returns a journal that also appends to the file at path; an empty path
// means memory only.
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

// Append adds a record. The file holds it when Append returns.
func (j *Journal[T]) Append(record T) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, record)
	if j.file == nil {
		return
	}
	line, err := json.Marshal(record)
	if err != nil {
		panic(err) // records are plain structs
	}
	if _, err := j.file.Write(append(line, '\n')); err != nil {
		panic(err) // a journal that misses records would prove nothing
	}
}

// All returns a copy of the records.
func (j *Journal[T]) All() []T {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]T{}, j.records...)
}

// ReadFile returns the records of a journal's file. A last line that is not
// whole is left out: its writer is still at it, or was killed before the record
// held.
func ReadFile[T any](path string) ([]T, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var records []T
	whole := content[:bytes.LastIndexByte(content, '\n')+1]
	for line := range bytes.Lines(whole) {
		var record T
		if err := json.Unmarshal(line, &record); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
