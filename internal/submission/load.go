package submission

import (
	"context"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// listing are the results of a submission as read from the store.
type listing struct {
	results []*recordpb.Result
	last    string
	readAt  time.Time
}

// record reads a submission from the store.
func (s *Service) record(ctx context.Context, id string) (*recordpb.Submission, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	items, _, err := metastore.ListAll(ctx, s.options.Store, recordPrefix+id+"/")
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "submission %s", id)
	}
	if len(items) == 0 {
		return nil, ErrNotFound.New("record of submission %s", id)
	}
	return join(items)
}

// results reads the listed results from the store, beyond those that were read
// before, and the number of batches that they came in.
func (s *Service) results(ctx context.Context, id string) ([]*recordpb.Result, int, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	known := s.copyOf(id)
	after := known.last
	var all []metastore.Item
	for {
		page, err := s.options.Store.Range(ctx, resultPrefix+id+"/", after)
		if err != nil {
			return nil, 0, ErrUnavailable.Wrap(err, "results of submission %s", id)
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	results := known.results[:len(known.results):len(known.results)]
	last := known.last
	for _, item := range all {
		batch := &recordpb.Batch{}
		if err := proto.Unmarshal(item.Value, batch); err != nil {
			return nil, 0, ErrUnavailable.Wrap(err, "results of submission %s", id)
		}
		results = append(results, batch.GetResults()...)
		last = item.Key
	}
	s.keepCopy(id, &listing{results: results, last: last, readAt: time.Now()})
	return results, batchesOf(id, last), nil
}

// batchesOf returns how many batches there are when last is the newest's key.
func batchesOf(id, last string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(last, resultPrefix+id+"/"))
	if err != nil {
		return 0 // no batch was read
	}
	return n + 1
}

func (s *Service) copyOf(id string) listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.copies[id]; c != nil {
		return *c
	}
	return listing{}
}

func (s *Service) keepCopy(id string, c *listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.copies[id]; !known && len(s.copies) >= copiesMost {
		oldest := ""
		for other, o := range s.copies {
			if oldest == "" || o.readAt.Before(s.copies[oldest].readAt) {
				oldest = other
			}
		}
		delete(s.copies, oldest)
	}
	if old := s.copies[id]; old == nil || len(old.results) <= len(c.results) {
		s.copies[id] = c
	}
}
