// Package submission implements batches of requests that are submitted in one call and
// run asynchronously. A submission is accepted once, its items are run by the owner of
// its unit, their results are listed as they become available, and its trainer ends it.
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

// Prefixes of the store's keys that are read on demand and not watched.
const (
	recordPrefix = "keep/record/"
	resultPrefix = "keep/result/"
)

// Size limits of records.
const (
	// partBytes is the maximum size of a submission's part under one key.
	partBytes = 600 << 10
	// maxParts is the maximum number of parts of a submission; all parts are written in
	// one transaction.
	maxParts = 24
	// batchBytes is the maximum size of the results listed by one write.
	batchBytes = 500 << 10
	// maxID is the maximum length of an ID, so that keys stay within the store's limit.
	maxID = 120
)

// Errors of submissions.
var (
	Errors = errorx.NewNamespace("submission")
	// ErrMalformed reports that the submission violates a format rule; nothing runs.
	ErrMalformed = Errors.NewType("malformed")
	// ErrTooLarge reports that the submission exceeds the store's size limits; nothing
	// runs.
	ErrTooLarge = Errors.NewType("too_large")
	// ErrNotFound reports that the submission or item does not exist.
	ErrNotFound = Errors.NewType("not_found", errorx.NotFound())
	// ErrTaken reports that a submission of another account has the same ID; nothing runs.
	ErrTaken = Errors.NewType("taken")
	// ErrUnavailable reports that the store was unreachable; nothing was done.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrVersion reports that an engine serves a weight version that a text must not contain.
	ErrVersion = Errors.NewType("version", errorx.Temporary())
	// ErrOverlong reports that an engine generated more than the item's request allows.
	ErrOverlong = Errors.NewType("overlong", errorx.Temporary())
	// ErrUnknown reports that the outcome is unknown: the operation may have taken
	// effect.
	ErrUnknown = Errors.NewType("unknown", errorx.Temporary())
)

// head is the summary record of a submission. Every node watches the heads.
type head struct {
	// Unit is the unit whose owner runs the submission.
	Unit string `json:"unit"`
	// Account is the name of the account that submitted it; empty means none.
	Account string `json:"account,omitempty"`
	Total   int    `json:"total"`
	Ended   bool   `json:"ended,omitempty"`
	// AcceptedMillis is the time of acceptance in Unix milliseconds.
	AcceptedMillis int64 `json:"accepted_ms"`
	// Revision is the revision of the head's key; it is not part of the stored value.
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

// Check returns ErrMalformed with a description of the first format violation in a
// submission.
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
			return ErrMalformed.New("items[%d]: the id %q occurs twice", i, item.GetId())
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
			return ErrMalformed.New("%s: the id %q may contain only letters, digits and -_.:", what, id)
		}
	}
	return nil
}

// parts splits an encoded submission into values for consecutive keys.
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
		return nil, ErrTooLarge.New("a submission may have at most %d bytes", maxParts*partBytes)
	}
	return puts, nil
}

// join decodes a submission from the values of its keys, given in key order.
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

// partsOf returns the number of keys that the record of a submission occupies.
func partsOf(s *recordpb.Submission) int { return proto.Size(s)/partBytes + 1 }

func recordKey(id string, n int) string { return fmt.Sprintf("%s%s/%03d", recordPrefix, id, n) }

func resultKey(id string, n int) string { return fmt.Sprintf("%s%s/%06d", resultPrefix, id, n) }
