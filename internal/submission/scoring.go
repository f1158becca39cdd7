package submission

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/call"
)

// scorePause is the pause before a scoring call is made again.
const scorePause = 30 * time.Millisecond

// leastScores is how many scoring calls may be open however few endpoints there
// are.
const leastScores = 2

// score asks for the score of a complete text; o.mu is held.
func (o *Owner) score(i *item) {
	if i.record.GetReward() == nil {
		o.complete(i, "")
		return
	}
	i.state = scoring
}

// startScores makes the scoring calls that wait, up to their share of the plain
// endpoints: those of older submissions first, and of groups that lack least.
func (o *Owner) startScores(now time.Time) {
	var items []*item
	for _, i := range o.items {
		if i.of != nil && i.state == scoring && !i.scoreOpen && !now.Before(i.notBefore) {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b *item) int {
		return cmp.Or(
			cmp.Compare(a.of.head.AcceptedMillis, b.of.head.AcceptedMillis),
			cmp.Compare(a.of.left[groupOf(a.record)], b.of.left[groupOf(b.record)]),
			cmp.Compare(a.record.GetId(), b.record.GetId()))
	})
	limit := max(o.options.ScoreSlots(), leastScores)
	for _, i := range items {
		if o.scoresOpen >= limit {
			return
		}
		o.scoresOpen++
		i.scoreOpen = true
		go o.callScorer(i, i.of)
	}
}

// callScorer makes one scoring call.
func (o *Owner) callScorer(i *item, s *open) {
	answer, attempts, err := o.options.Scorer(o.ctx, i.record.GetReward())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scoresOpen--
	i.scoreOpen = false
	if i.of == s && i.state == scoring && o.ctx.Err() == nil {
		o.scored(i, answer, attempts, err)
	}
	o.Poke()
}

// scored judges the end of a scoring call; o.mu is held.
func (o *Owner) scored(i *item, answer *call.Answer, attempts int, err error) {
	switch {
	case err == nil && answer.Success():
		o.complete(i, answer.Stamp)
		return
	case err == nil:
		i.scoreFailures++
		if i.scoreFailures >= attempts {
			o.abandon(i, "the scoring call failed at each attempt")
			return
		}
	}
	i.notBefore = time.Now().Add(scorePause)
}
