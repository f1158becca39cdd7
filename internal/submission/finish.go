package submission

import (
	"log/slog"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// complete sets the result of a successful item. The caller holds o.mu.
func (o *Owner) complete(i *item, score string) {
	i.score = score
	i.setResult(false, time.Now())
	event.ItemScored.Log(o.ctx, o.options.Logger, slog.String("item", i.record.GetId()), slog.String("submission", i.submission.id))
	o.finish(i)
}

// abandon gives an item an abandoned result. The caller holds o.mu.
func (o *Owner) abandon(i *item, cause string) {
	event.ItemAbandoned.Log(o.ctx, o.options.Logger, slog.String("item", i.record.GetId()), slog.String("submission", i.submission.id), slog.String("cause", cause))
	i.setResult(true, time.Now())
	o.finish(i)
}

// finish queues an item's result for listing. The caller holds o.mu.
func (o *Owner) finish(i *item) {
	group := groupOf(i.record)
	i.timing.enter(phaseWriting, i.readyAt)
	i.submission.unfinished[group]--
	i.submission.ready = append(i.submission.ready, i)
}

// dropListed drops the listed items of complete groups. Items of incomplete groups are
// kept because a later submission may contain them again. The caller holds o.mu.
func (o *Owner) dropListed(s *ownedSubmission, items []*item) {
	for _, listed := range items {
		group := groupOf(listed.record)
		if s.unfinished[group] > 0 {
			continue
		}
		for id, i := range o.items {
			if i.submission == s && i.state == finished && groupOf(i.record) == group && !slices.Contains(s.ready, i) {
				delete(o.items, id)
			}
		}
	}
}

// resultsOf collects the results of items.
func resultsOf(items []*item) []*recordpb.Result {
	results := make([]*recordpb.Result, 0, len(items))
	for _, i := range items {
		results = append(results, i.result)
	}
	return results
}
