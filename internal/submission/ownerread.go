package submission

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// Read returns the results from position after on, which must not be negative. It waits
// for at least one until ctx ends. The result known is false if this owner does not run the
// submission.
func (o *Owner) Read(ctx context.Context, id string, after int) (total int, results []*recordpb.Result, known bool) {
	for {
		present, known := o.listedFrom(id, after)
		if !known {
			return 0, nil, false
		}
		if len(present.results) > 0 || present.ended || after >= present.total {
			return present.total, present.results, true
		}
		select {
		case <-present.changed:
		case <-ctx.Done():
			return present.total, nil, true
		case <-o.ctx.Done():
			return 0, nil, false
		}
	}
}

// listing is what a reader sees of a submission.
type listing struct {
	total   int
	results []*recordpb.Result
	ended   bool
	// changed is closed when further results are listed.
	changed <-chan struct{}
}

// listedFrom returns the results that are listed from position after on. The result known
// is false if this owner does not run the submission.
func (o *Owner) listedFrom(id string, after int) (present listing, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.submissions[id]
	if s == nil || o.ctx.Err() != nil {
		return listing{}, false
	}
	present = listing{total: s.head.Total, ended: s.ended, changed: s.changed}
	if after < len(s.listed) {
		present.results = s.listed[after:len(s.listed):len(s.listed)]
		if s.readAt.IsZero() {
			s.readAt = time.Now()
		}
	}
	return present, true
}

// Body returns the body of an item if this owner runs its submission.
func (o *Owner) Body(id, itemID string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.submissions[id]
	if s == nil {
		return nil, false
	}
	for _, itemRecord := range s.record.GetItems() {
		if itemRecord.GetId() == itemID {
			return itemRecord.GetBody(), true
		}
	}
	return nil, false
}

// HasSubmission reports whether this owner has opened the submission.
func (o *Owner) HasSubmission(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.submissions[id] != nil
}
