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

// cachedResults holds the results of a submission as last read from the store.
type cachedResults struct {
	results []*recordpb.Result
	last    string
	readAt  time.Time
}

// readRecord reads a submission from the store.
func (s *Service) readRecord(ctx context.Context, id string) (*recordpb.Submission, error) {
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

// readResults returns the listed results and the number of batches that contain them.
// Only batches that are not cached yet are read from the store.
func (s *Service) readResults(ctx context.Context, id string) ([]*recordpb.Result, int, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	cached := s.cachedResultsOf(id)
	after := cached.last
	var stored []metastore.Item
	for {
		page, err := s.options.Store.Range(ctx, resultPrefix+id+"/", after)
		if err != nil {
			return nil, 0, ErrUnavailable.Wrap(err, "results of submission %s", id)
		}
		stored = append(stored, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	results := cached.results[:len(cached.results):len(cached.results)]
	last := cached.last
	for _, item := range stored {
		batch := &recordpb.Batch{}
		if err := proto.Unmarshal(item.Value, batch); err != nil {
			return nil, 0, ErrUnavailable.Wrap(err, "results of submission %s", id)
		}
		results = append(results, batch.GetResults()...)
		last = item.Key
	}
	s.cacheResults(id, &cachedResults{results: results, last: last, readAt: time.Now()})
	return results, batchCount(id, last), nil
}

// batchCount returns the number of batches, given the key of the newest one.
func batchCount(id, last string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(last, resultPrefix+id+"/"))
	if err != nil {
		return 0 // no batch was read
	}
	return n + 1
}

// cachedResultsOf returns a copy of the cache entry of a submission, empty if there is
// none.
func (s *Service) cachedResultsOf(id string) cachedResults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.resultCache[id]; c != nil {
		return *c
	}
	return cachedResults{}
}

// cacheResults caches the results of a submission, unless the cache already has more of
// them. A full cache evicts the entry that was refreshed least recently.
func (s *Service) cacheResults(id string, c *cachedResults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, cached := s.resultCache[id]; !cached && len(s.resultCache) >= maxCachedResults {
		oldest := ""
		for other, o := range s.resultCache {
			if oldest == "" || o.readAt.Before(s.resultCache[oldest].readAt) {
				oldest = other
			}
		}
		delete(s.resultCache, oldest)
	}
	if old := s.resultCache[id]; old == nil || len(old.results) <= len(c.results) {
		s.resultCache[id] = c
	}
}
