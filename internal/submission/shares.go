package submission

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/share"
)

// sortForPlacing sorts items into the order in which they get slots. While the open steps cannot all be
// complete in time and the configuration has accounts, submissions are ordered by priority and by
// the shares of their accounts, and groups that no trainer waits for come last. The caller
// holds o.mu.
func (o *Owner) sortForPlacing(items []candidate, engines *engines, now time.Time) {
	if !o.sharing() || !o.exceedsFreeSlots(items, engines) {
		sortOldestFirst(items)
		return
	}
	steps := o.openSteps(engines, now)
	if share.Feasible(steps, engines.totalSlots(), engines.usual, now) {
		sortOldestFirst(items)
		return
	}
	o.steps.Order(steps, now)
	place := make(map[string]int, len(steps))
	for i, s := range steps {
		place[s.ID] = i
	}
	wanted := map[*ownedSubmission]map[string]bool{}
	for _, c := range items {
		if wanted[c.submission] == nil {
			wanted[c.submission] = o.wantedGroups(c.submission)
		}
	}
	sortOldestFirst(items)
	slices.SortStableFunc(items, func(a, b candidate) int {
		return cmp.Or(
			compareBool(wanted[b.submission][groupOf(b.record)], wanted[a.submission][groupOf(a.record)]),
			cmp.Compare(place[a.submission.id], place[b.submission.id]))
	})
}

// sharing reports whether the configuration has accounts.
func (o *Owner) sharing() bool {
	configuration := o.options.Routes.Load()
	return configuration != nil && configuration.Accounts != nil
}

// exceedsFreeSlots reports whether more items of a kind wait than engines have free slots for them.
func (o *Owner) exceedsFreeSlots(items []candidate, engines *engines) bool {
	counts := map[need]int{}
	for _, c := range items {
		n := o.needOf(c.item)
		n.tokens = 0 // engines are counted, not their memory
		counts[n]++
	}
	for n, count := range counts {
		if count > engines.freeSlots(n) {
			return true
		}
	}
	return false
}

// freeSlots returns the number of runs that engines can accept now.
func (p *engines) freeSlots(n need) int {
	free := 0
	for _, e := range p.endpoints {
		if p.accepts(e, n) {
			free += slotsOf(e) - p.runs[e.ID]
		}
	}
	return free
}

// totalSlots returns the slots of all engines that may get work.
func (p *engines) totalSlots() int {
	slots := 0
	for _, e := range p.endpoints {
		if !e.Leaving() {
			slots += slotsOf(e)
		}
	}
	return slots
}

// openSteps describes the submissions that lack items. The caller holds o.mu.
func (o *Owner) openSteps(engines *engines, now time.Time) []share.Step {
	bySubmission := map[*ownedSubmission]*share.Step{}
	for _, i := range o.items {
		if !i.isOpen() {
			continue
		}
		step := bySubmission[i.submission]
		if step == nil {
			step = o.stepOf(i.submission)
			bySubmission[i.submission] = step
		}
		remaining := o.candidateOf(i).remaining
		step.Tokens += remaining
		step.Least = max(step.Least, time.Duration(remaining*float64(engines.least)))
	}
	steps := make([]share.Step, 0, len(bySubmission))
	for _, step := range bySubmission {
		steps = append(steps, *step)
	}
	return steps
}

// stepOf describes a submission without its items.
func (o *Owner) stepOf(s *ownedSubmission) *share.Step {
	step := &share.Step{ID: s.id, Account: s.head.Account, Priority: o.priorityOf(s), Accepted: s.head.acceptedAt()}
	if r, ok := o.routeOf(s); ok && r.RunDeadline > 0 {
		step.Due = step.Accepted.Add(r.RunDeadline)
	}
	return step
}

// priorityOf returns the priority of a submission: that of its account before that of its
// route.
func (o *Owner) priorityOf(s *ownedSubmission) int {
	if s.record.Priority != nil {
		return int(s.record.GetPriority())
	}
	if r, ok := o.routeOf(s); ok {
		return r.Priority
	}
	return 0
}

// wantedGroups returns the incomplete groups that the trainer waits for: as many as it
// lacks, those that need least.
func (o *Owner) wantedGroups(s *ownedSubmission) map[string]bool {
	lacks := map[string]float64{}
	for _, record := range s.record.GetItems() {
		if i := o.items[itemKey(s.head.Account, record.GetId())]; i != nil && i.submission == s && !i.text.complete {
			lacks[groupOf(record)] += o.candidateOf(i).remaining
		}
	}
	groups := make([]string, 0, len(lacks))
	for group := range lacks {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b string) int { return cmp.Or(cmp.Compare(lacks[a], lacks[b]), cmp.Compare(a, b)) })
	missing := min(max(int(s.record.GetWantedGroups())-s.complete(), 0), len(groups))
	wanted := make(map[string]bool, missing)
	for _, group := range groups[:missing] {
		wanted[group] = true
	}
	return wanted
}
