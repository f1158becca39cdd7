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

// late reports whether the step can no longer be whole in time.
func (s Step) late(now time.Time) bool { return !s.Due.IsZero() && s.Due.Sub(now) < s.Least }

// Feasible reports whether all steps that can still be in time are whole in time if the one
// that is due first goes first: slots run at once, and each needs gap for a token. Steps that
// are late or have no due time need slots too.
func Feasible(steps []Step, slots int, gap time.Duration, now time.Time) bool {
	steps = slices.Clone(steps)
	slices.SortFunc(steps, func(a, b Step) int { return a.Due.Compare(b.Due) })
	tokens := 0.0
	for _, s := range steps {
		if s.Due.IsZero() {
			return false
		}
		tokens += s.Tokens
		if s.late(now) {
			continue
		}
		if time.Duration(tokens/float64(max(slots, 1))*float64(gap)) > s.Due.Sub(now) {
			return false
		}
	}
	return true
}

// Steps orders the steps of accounts while the engines are short. Each step is kept whole:
// it gets its place when it comes, by start-time fair queueing over the tokens that the
// accounts' steps need, and keeps it until it ends. It is not safe for concurrent use; the
// zero value is ready to use.
type Steps struct {
	places map[string]*place
	// finish is the tag at which the last step of an account ends.
	finish map[flowKey]float64
	// accounts, levels and all count the tokens that were wanted and got.
	accounts map[flowKey]*tally
	levels   map[int]*tally
	all      tally
	agedAt   time.Time
}

// place is the place of a step in the order of its priority.
type place struct {
	key           flowKey
	start, tokens float64
	// granted means that an item was started, owed that the step goes first, and late that it
	// can no longer be whole in time.
	granted, owed, late bool
}

// Order sorts steps: those that the floor of their priority or account calls for first, then
// by priority, then by fair shares of the accounts. A step that can no longer be in time keeps
// its place, since its trainer waits for it before it goes on, but it does not count as served
// to its account. Order must be given all steps that lack items.
func (o *Steps) Order(steps []Step, now time.Time) {
	o.age(now)
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID)) })
	o.placeAll(steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(o.places[a.ID].start, o.places[b.ID].start) })
	for _, s := range steps {
		if s.late(now) {
			o.revoke(o.places[s.ID])
		} else {
			o.raise(o.places[s.ID])
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int {
		return cmp.Or(
			compareBool(!o.places[a.ID].owed, !o.places[b.ID].owed),
			cmp.Compare(a.Priority, b.Priority))
	})
}

// Started tells that an item of a step was started: the step now gets all its tokens.
func (o *Steps) Started(id string) {
	if p := o.places[id]; p != nil {
		o.grant(p)
	}
}

func (o *Steps) grant(p *place) {
	if p.granted || p.late {
		return
	}
	p.granted = true
	o.count(p, p.tokens)
}

// revoke takes back what was counted for a step that is not whole in time.
func (o *Steps) revoke(p *place) {
	if p.granted {
		o.count(p, -p.tokens)
	}
	p.granted, p.owed, p.late = false, false, true
}

func (o *Steps) count(p *place, tokens float64) {
	o.tally(p.key).got += tokens
	o.level(p.key.priority).got += tokens
	o.all.got += tokens
}

// raise lets a step go first if its priority or its account would stay below the floor even
// with it.
func (o *Steps) raise(p *place) {
	if !p.granted && (o.level(p.key.priority).behind(o.all, p.tokens) || o.tally(p.key).behind(o.all, p.tokens)) {
		o.grant(p)
		p.owed = true
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// placeAll gives each new step its place and forgets the steps that ended.
func (o *Steps) placeAll(steps []Step) {
	if o.places == nil {
		o.places, o.finish = map[string]*place{}, map[flowKey]float64{}
		o.accounts, o.levels = map[flowKey]*tally{}, map[int]*tally{}
	}
	virtual := o.virtual(steps)
	o.forget(virtual)
	places := make(map[string]*place, len(steps))
	for _, s := range steps {
		p, known := o.places[s.ID]
		if !known {
			key := flowKey{s.Account, s.Priority}
			p = &place{key: key, start: max(virtual[s.Priority], o.finish[key]), tokens: s.Tokens}
			o.finish[key] = p.start + s.Tokens
			o.tally(key).wanted += s.Tokens
			o.level(s.Priority).wanted += s.Tokens
			o.all.wanted += s.Tokens
		}
		places[s.ID] = p
	}
	o.places = places
}

// virtual returns the lowest start tag of the steps that have a place, by priority.
func (o *Steps) virtual(steps []Step) map[int]float64 {
	lowest := map[int]float64{}
	for _, s := range steps {
		p, known := o.places[s.ID]
		if least, has := lowest[s.Priority]; known && (!has || p.start < least) {
			lowest[s.Priority] = p.start
		}
	}
	return lowest
}

// forget drops the tags of the accounts of a priority of which no step waited before: what
// an account got while nobody waited is not held against it.
func (o *Steps) forget(virtual map[int]float64) {
	for key := range o.finish {
		if _, waited := virtual[key.priority]; !waited {
			delete(o.finish, key)
		}
	}
}

// agePeriod is the time after which what was wanted and got counts half.
const agePeriod = 30 * time.Second

func (o *Steps) age(now time.Time) {
	if o.agedAt.IsZero() {
		o.agedAt = now
	}
	if now.Sub(o.agedAt) < agePeriod {
		return
	}
	o.agedAt = now
	o.all.scale(0.5)
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
