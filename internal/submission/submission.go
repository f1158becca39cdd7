// Package submission is the aggregate of a batch of requests that is handed in
// at once and run later: accepted once, run by the owner of its unit, listed
// result by result, ended by its trainer.
package submission

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// Prefixes of keys that are read on demand.
const (
	recordPrefix = "keep/record/"
	resultPrefix = "keep/result/"
)

// Sizes of records.
const (
	// partBytes is the most of a submission that stands under one key.
	partBytes = 600 << 10
	// maxParts bounds a submission: all parts are written at once.
	maxParts = 24
	// batchBytes is the most of results that one write lists.
	batchBytes = 500 << 10
	// maxID bounds the length of an id, so that keys stay within the store's.
	maxID = 120
)

// Errors of submissions.
var (
	Errors = errorx.NewNamespace("submission")
	// ErrMalformed: the submission breaks a rule of its own; nothing runs.
	ErrMalformed = Errors.NewType("malformed")
	// ErrTooLarge: the submission does not fit into the store; nothing runs.
	ErrTooLarge = Errors.NewType("too_large")
	// ErrNotFound: no such submission, or item, exists.
	ErrNotFound = Errors.NewType("not_found", errorx.NotFound())
	// ErrUnavailable: the store was not reached; nothing was done.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrUnknown: it may have been done.
	ErrUnknown = Errors.NewType("unknown", errorx.Temporary())
)

// head is the small record of a submission that every node watches.
type head struct {
	// Unit is the unit whose owner runs it.
	Unit  string `json:"unit"`
	Total int    `json:"total"`
	Ended bool   `json:"ended,omitempty"`
	// AcceptedMillis is when it arrived, in Unix milliseconds.
	AcceptedMillis int64 `json:"accepted_ms"`
	// Revision is that of the key; it is not stored.
	Revision int64 `json:"-"`
}

func (h head) acceptedAt() time.Time { return time.UnixMilli(h.AcceptedMillis) }

func headKey(id string) string { return cluster.OpenPrefix + id }

func decodeHead(item metastore.Item) (head, error) {
	var h head
	if err := json.Unmarshal(item.Value, &h); err != nil || h.Unit == "" {
		return head{}, ErrMalformed.New("head of submission %q", item.Key)
	}
	h.Revision = item.Revision
	return h, nil
}

// Check returns ErrMalformed with what is wrong first.
func Check(s *recordpb.Submission) error {
	if err := checkID("submission", s.GetId()); err != nil {
		return err
	}
	if len(s.GetItems()) == 0 {
		return ErrMalformed.New("items: a submission needs at least one")
	}
	seen := make(map[string]struct{}, len(s.GetItems()))
	for i, item := range s.GetItems() {
		if err := checkID(fmt.Sprintf("items[%d]", i), item.GetId()); err != nil {
			return err
		}
		if _, twice := seen[item.GetId()]; twice {
			return ErrMalformed.New("items[%d]: the id %q stands twice", i, item.GetId())
		}
		seen[item.GetId()] = struct{}{}
		if !strings.HasPrefix(item.GetPath(), "/") {
			return ErrMalformed.New("items[%d]: the path %q must begin with a slash", i, item.GetPath())
		}
		if r := item.GetReward(); r != nil && (r.GetId() == "" || r.GetHost() == "" || !strings.HasPrefix(r.GetPath(), "/")) {
			return ErrMalformed.New("items[%d]: the scoring call needs an id, a host and a path", i)
		}
	}
	return nil
}

func checkID(what, id string) error {
	if id == "" || len(id) > maxID {
		return ErrMalformed.New("%s: the id must have 1 to %d characters", what, maxID)
	}
	for _, c := range id {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '_' && c != '.' && c != ':' {
			return ErrMalformed.New("%s: the id %q must hold letters, digits and -_.: only", what, id)
		}
	}
	return nil
}

// parts splits an encoded submission into the values of its keys.
func parts(s *recordpb.Submission) ([]metastore.Put, error) {
	encoded, err := proto.Marshal(s)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "submission")
	}
	var puts []metastore.Put
	for len(encoded) > 0 || len(puts) == 0 {
		n := min(len(encoded), partBytes)
		puts = append(puts, metastore.Put{Key: recordKey(s.GetId(), len(puts)), Value: encoded[:n]})
		encoded = encoded[n:]
	}
	if len(puts) > maxParts {
		return nil, ErrTooLarge.New("a submission may have %d bytes", maxParts*partBytes)
	}
	return puts, nil
}

// join decodes a submission from its keys in order.
func join(items []metastore.Item) (*recordpb.Submission, error) {
	var encoded []byte
	for _, item := range items {
		encoded = append(encoded, item.Value...)
	}
	s := &recordpb.Submission{}
	if err := proto.Unmarshal(encoded, s); err != nil {
		return nil, ErrMalformed.Wrap(err, "record")
	}
	return s, nil
}

// partsOf returns how many keys a submission's record has.
func partsOf(s *recordpb.Submission) int { return proto.Size(s)/partBytes + 1 }

func recordKey(id string, n int) string { return fmt.Sprintf("%s%s/%03d", recordPrefix, id, n) }

func resultKey(id string, n int) string { return fmt.Sprintf("%s%s/%06d", resultPrefix, id, n) }
