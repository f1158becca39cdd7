package usage

import (
	"encoding/json"

	"github.com/joomcode/errorx"
)

// RecordKey is the key in the metadata store of the record of the newest report.
const RecordKey = "usage/report"

// Errors of this package.
var (
	Errors = errorx.NewNamespace("usage")
	// ErrMalformed means that the record in the metadata store cannot be read.
	ErrMalformed = Errors.NewType("malformed")
)

// Record is a report. It is written before the report is sent for the first time, so that
// every holder sends the same counts for a window.
type Record struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
}

// Requests returns the number of requests of all accounts.
func (r *Record) Requests() int64 {
	sum := int64(0)
	for _, count := range r.Counts {
		sum += count
	}
	return sum
}

// Encode returns the value of the record in the metadata store.
func (r *Record) Encode() ([]byte, error) {
	encoded, err := json.Marshal(r)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "the record could not be encoded")
	}
	return encoded, nil
}

// DecodeRecord decodes the value of the record in the metadata store.
func DecodeRecord(value []byte) (*Record, error) {
	record := &Record{}
	if err := json.Unmarshal(value, record); err != nil {
		return nil, ErrMalformed.Wrap(err, "the record of the newest report")
	}
	return record, nil
}
