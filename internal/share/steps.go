package share

import (
	"cmp"
	"slices"
	"time"
)

// Step is a trainer's step whose items compete for engines.
type Step struct {
	ID       string
	Account  string
	Priority int
	// Accepted is when the step was accepted, and Due when its results are due; zero means
	// that they are not.
	Accepted, Due time.Time
	// Tokens is what the items that the step lacks are expected to need.
	Tokens float64
	// Least is how long the step takes at least if all its items run at once.
	Least time.Duration
}

// missesDeadline reports whether the step can no longer be complete by its due time.
func (s Step) missesDeadline(now time.Time) bool { return !s.Due.IsZero() && s.Due.Sub(now) < s.Least }

// Feasible reports whether earliest-due-first scheduling completes every step that can still
// be in time by its due time. The slots run concurrently and each needs gap for a token. Steps
// that miss their due time need slots too. If a step has no due time, the answer is false.
func Feasible(steps []Step, slots int, gap time.Duration, now time.Time) bool {
	steps = slices.Clone(steps)
	slices.SortFunc(steps, func(a, b Step) int { return a.Due.Compare(b.Due) })
	tokens := 0.0
	for _, s := range steps {
		if s.Due.IsZero() {
			return false
		}
		tokens += s.Tokens
		if s.missesDeadline(now) {
			continue
		}
		if time.Duration(tokens/float64(max(slots, 1))*float64(gap)) > s.Due.Sub(now) {
			return false
		}
	}
	return true
}

// Steps orders the steps of accounts while there are too few engines. A step is scheduled as a
// unit: it gets its start tag when it is first seen, by start-time fair queueing over the
// tokens that the accounts' steps need, and keeps it until it ends.
// It is not safe for concurrent use; the zero value is ready to use.
type Steps struct {
	states map[string]*stepState
	// finish is the tag at which the last step of an account ends.
	finish map[flowKey]float64
	// accounts, levels and all count the tokens that were wanted and got.
	accounts map[flowKey]*tally
	levels   map[int]*tally
	all      tally
	agedAt   time.Time
}

// stepState is the scheduling state of one step.
type stepState struct {
	key           flowKey
	start, tokens float64
	// service is what the tallies still hold of the step's charge.
	service float64
	// charged means that the step's tokens were counted as served to its account, boosted that
	// the step goes before those of other priorities because of the floor, and unmeetable that
	// it misses its due time by the last estimate.
	charged, boosted, unmeetable bool
}

// Order sorts steps: those that the floor of their priority or account calls for first, then
// by priority, then by fair shares of the accounts. A step that can no longer be in time keeps
// its start tag, since its trainer waits for it before it goes on, but it does not count as
// served to its account. Order must be given all steps that lack items.
func (o *Steps) Order(steps []Step, now time.Time) {
	o.age(now)
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID)) })
	o.placeAll(steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(o.states[a.ID].start, o.states[b.ID].start) })
	for _, s := range steps {
		if s.missesDeadline(now) {
			o.refund(o.states[s.ID])
		} else {
			o.states[s.ID].unmeetable = false
			o.boostBelowFloor(o.states[s.ID])
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int {
		if boosted := o.states[a.ID].boosted; boosted != o.states[b.ID].boosted {
			if boosted {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Priority, b.Priority)
	})
}

// Started tells that an item of a step was started: the step now gets all its tokens.
func (o *Steps) Started(id string) {
	if p := o.states[id]; p != nil {
		o.charge(p)
	}
}

// charge counts the tokens of a step as served to its account.
func (o *Steps) charge(p *stepState) {
	if p.charged || p.unmeetable {
		return
	}
	p.charged, p.service = true, p.tokens
	o.recordService(p, p.service)
}

// refund takes back what was charged for a step that misses its due time.
func (o *Steps) refund(p *stepState) {
	if p.charged {
		o.recordService(p, -p.service)
	}
	p.charged, p.boosted, p.unmeetable = false, false, true
}

// recordService adds tokens to what the step's account and priority got.
func (o *Steps) recordService(p *stepState, tokens float64) {
	o.tally(p.key).got += tokens
	o.level(p.key.priority).got += tokens
	o.all.got += tokens
}

// boostBelowFloor lets a step go first if its priority or its account would stay below the
// floor even with it.
func (o *Steps) boostBelowFloor(p *stepState) {
	if !p.charged && (o.level(p.key.priority).belowFloor(o.all, p.tokens) || o.tally(p.key).belowFloor(o.all, p.tokens)) {
		o.charge(p)
		p.boosted = true
	}
}

// placeAll gives each new step its start tag and forgets the steps that ended.
func (o *Steps) placeAll(steps []Step) {
	if o.states == nil {
		o.states, o.finish = map[string]*stepState{}, map[flowKey]float64{}
		o.accounts, o.levels = map[flowKey]*tally{}, map[int]*tally{}
	}
	virtualTimes := o.virtualTimes(steps)
	o.forgetIdle(virtualTimes)
	states := make(map[string]*stepState, len(steps))
	for _, s := range steps {
		p, known := o.states[s.ID]
		if !known {
			key := flowKey{s.Account, s.Priority}
			p = &stepState{key: key, start: max(virtualTimes[s.Priority], o.finish[key]), tokens: s.Tokens}
			o.finish[key] = p.start + s.Tokens
			o.tally(key).wanted += s.Tokens
			o.level(s.Priority).wanted += s.Tokens
			o.all.wanted += s.Tokens
		}
		states[s.ID] = p
	}
	o.states = states
}

// virtualTimes returns the virtual time of each priority: the lowest start tag of its steps
// that were seen before.
func (o *Steps) virtualTimes(steps []Step) map[int]float64 {
	lowest := map[int]float64{}
	for _, s := range steps {
		p, known := o.states[s.ID]
		if least, has := lowest[s.Priority]; known && (!has || p.start < least) {
			lowest[s.Priority] = p.start
		}
	}
	return lowest
}

// forgetIdle drops the tags of the accounts of a priority of which no step waited before: what
// an account got while nobody waited is not held against it.
func (o *Steps) forgetIdle(virtualTimes map[int]float64) {
	for key := range o.finish {
		if _, waited := virtualTimes[key.priority]; !waited {
			delete(o.finish, key)
		}
	}
}

// halvingPeriod is the time after which what was wanted and got counts half.
const halvingPeriod = 30 * time.Second

// age halves the tallies once in each halvingPeriod and forgets accounts without recent work.
func (o *Steps) age(now time.Time) {
	if o.agedAt.IsZero() {
		o.agedAt = now
	}
	if now.Sub(o.agedAt) < halvingPeriod {
		return
	}
	o.agedAt = now
	o.all.scale(0.5)
	for _, p := range o.states {
		p.service *= 0.5
	}
	for _, t := range o.levels {
		t.scale(0.5)
	}
	for key, t := range o.accounts {
		t.scale(0.5)
		if t.wanted < 1 {
			delete(o.accounts, key)
		}
	}
}

func (o *Steps) tally(key flowKey) *tally {
	if o.accounts[key] == nil {
		o.accounts[key] = &tally{}
	}
	return o.accounts[key]
}

func (o *Steps) level(priority int) *tally {
	if o.levels[priority] == nil {
		o.levels[priority] = &tally{}
	}
	return o.levels[priority]
}
