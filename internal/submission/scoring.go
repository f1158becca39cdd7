package submission

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// scorePause is the pause before a scoring call is retried. It doubles with each answer in a
// row that is neither a success nor a failure of the run, at most maxScoreDoublings times.
const (
	scorePause        = 30 * time.Millisecond
	maxScoreDoublings = 3
)

// minScoringCalls is the number of concurrent scoring calls that is always allowed,
// however few endpoints there are.
const minScoringCalls = 2

// startScoring marks a complete text for scoring, or completes the item if it needs no
// score. A text whose versions do not fit its submission is discarded. The caller holds o.mu.
func (o *Owner) startScoring(i *item) {
	if !i.text.fits(i.submission.record.GetMinVersion(), o.requiresSingleVersion(i.submission)) {
		o.discard(i, "the versions of the complete text do not fit its submission")
		return
	}
	i.timing.enter(phaseScoring, time.Now())
	if i.record.GetReward() == nil {
		o.complete(i, "")
		return
	}
	i.state = scoring
}

// startScores starts pending scoring calls up to this owner's fraction of the plain
// endpoints' slots. Older submissions come first, then groups with the fewest unfinished
// items. An item that could not be scored within its route's limit is abandoned. The caller
// holds o.mu.
func (o *Owner) startScores(now time.Time) {
	var items []*item
	for _, i := range o.items {
		if i.submission == nil || i.state != scoring || i.scoreOpen || now.Before(i.notBefore) {
			continue
		}
		if o.overdue(i, now) {
			o.abandon(i, "not scored within the route's limit")
			continue
		}
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *item) int {
		return cmp.Or(
			cmp.Compare(a.submission.head.AcceptedMillis, b.submission.head.AcceptedMillis),
			cmp.Compare(a.submission.unfinished[groupOf(a.record)], b.submission.unfinished[groupOf(b.record)]),
			cmp.Compare(a.record.GetId(), b.record.GetId()))
	})
	limit := max(o.options.ScoreSlots(), minScoringCalls)
	for _, i := range items {
		if o.scoresOpen >= limit {
			return
		}
		o.scoresOpen++
		i.scoreOpen = true
		go o.callScorer(i, i.submission, i.record.GetReward())
	}
}

// callScorer makes one scoring call for an item of a submission. Meanwhile the item may be
// carried over to another submission, with another scoring call.
func (o *Owner) callScorer(i *item, s *ownedSubmission, reward *recordpb.Reward) {
	answer, attempts, err := o.options.Scorer(s.scoringCtx, reward)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scoresOpen--
	i.scoreOpen = false
	if i.submission == s && i.state == scoring && o.ctx.Err() == nil {
		o.scoringDone(i, answer, attempts, err)
	}
	o.Wake()
}

// scoringDone handles the outcome of a scoring call. Only answers that say that the run itself
// failed count towards the attempts after which the item is abandoned: an endpoint that was too
// slow, refused the call or was not reached says nothing about the item. The caller holds o.mu.
func (o *Owner) scoringDone(i *item, answer *call.Answer, attempts int, err error) {
	pause := scorePause
	switch {
	case err != nil:
	case answer.Success():
		o.complete(i, answer.Stamp)
		return
	case answer.Failed():
		i.scoreFailures++
		i.scoreRefusals = 0
		if i.scoreFailures >= attempts {
			o.abandon(i, "the scoring call failed on every attempt")
			return
		}
	default:
		pause <<= min(i.scoreRefusals, maxScoreDoublings)
		i.scoreRefusals++
		event.ScoringRetried.Log(o.ctx, o.options.Logger, slog.String("item", i.record.GetId()), slog.String("submission", i.submission.id), slog.Int("status", answer.Status))
	}
	i.notBefore = time.Now().Add(pause)
}
