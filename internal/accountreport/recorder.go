// Package accountreport shows how the requests of one client account ended and for which
// reasons requests were refused for their key, from the figures of all nodes.
package accountreport

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/account"
	"github.com/comfreyfront/comfreyfront/internal/routereport"
	"github.com/comfreyfront/comfreyfront/internal/share"
)

// NoAccount is the name under which requests without a known account are counted.
const NoAccount = ""

const (
	// slots is the number of slots into which the window of the report is divided, and slotTime
	// the length of each.
	slots    = 6
	slotTime = routereport.Window / slots
	// maxAccounts bounds the accounts that a node counts. Requests of further ones are not
	// counted.
	maxAccounts = 16384
)

// Figure holds the counts of one account.
type Figure struct {
	// Outcomes holds the number of requests by outcome.
	Outcomes [routereport.OutcomeCount]int64
	// Refusals holds the number of requests that were refused for their key, by reason. They
	// are also counted in Outcomes.
	Refusals [account.RefusalCount]int64
	// Shares holds the number of requests that were refused for their share, by cause. They
	// are also counted in Outcomes.
	Shares [ShareCount]int64
}

// Share is the cause for which a request was refused for its share.
type Share int

// Causes of refusals for a share.
const (
	ShareExceeded Share = iota
	ShareNoRoom
	ShareCount // number of causes
)

// String implements fmt.Stringer. The names are labels of metrics.
func (s Share) String() string { return [...]string{"exceeded", "no_room"}[s] }

// shareOf returns the cause of an error of package share, and false for any other error.
func shareOf(err error) (Share, bool) {
	switch {
	case err == nil:
		return 0, false
	case errorx.IsOfType(err, share.ErrExceeded):
		return ShareExceeded, true
	case errorx.IsOfType(err, share.ErrNoRoom):
		return ShareNoRoom, true
	}
	return 0, false
}

// Add adds the counts of another figure.
func (f *Figure) Add(other Figure) {
	for i, n := range other.Outcomes {
		f.Outcomes[i] += n
	}
	for i, n := range other.Refusals {
		f.Refusals[i] += n
	}
	for i, n := range other.Shares {
		f.Shares[i] += n
	}
}

// Requests returns the number of all requests.
func (f *Figure) Requests() int64 { return sum(f.Outcomes[:]) }

// Refused returns the number of requests that were refused for their key.
func (f *Figure) Refused() int64 { return sum(f.Refusals[:]) }

// Wanted returns the number of requests that were not refused for their key and so asked for
// a share of the endpoints.
func (f *Figure) Wanted() int64 { return f.Requests() - f.Refused() }

// Got returns the number of requests among Wanted that were not refused for their share.
func (f *Figure) Got() int64 { return f.Wanted() - sum(f.Shares[:]) }

func sum(counts []int64) int64 {
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	return total
}

// Recorder counts how the requests of accounts end on one node. The zero value is ready to
// use. It is safe for concurrent use.
type Recorder struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	accounts map[string]*counts
}

// counts holds the counts of one account since the start of the process, and those of the
// latest intervals of slotTime.
type counts struct {
	total  Figure
	times  times
	recent [slots]slot
}

// boundsSeconds are the upper bounds of the buckets of request times, in seconds.
var boundsSeconds = [...]float64{.1, .4, 1, 2.5, 10}

// times holds the times of an account's requests since the start of the process.
type times struct {
	// buckets holds the number of requests at or below each bound and above the one before;
	// the last bucket is above all bounds.
	buckets [len(boundsSeconds) + 1]uint32
	seconds float64
}

// add counts a request that took the given time.
func (t *times) add(elapsed time.Duration) {
	bucket, _ := slices.BinarySearch(boundsSeconds[:], elapsed.Seconds())
	t.buckets[bucket]++
	t.seconds += elapsed.Seconds()
}

// slot holds the counts of one account in one slot of the window. number is that of the slot
// since the start of 1970.
type slot struct {
	number   int64
	outcomes [routereport.OutcomeCount]uint32
	refusals [account.RefusalCount]uint32
	shares   [ShareCount]uint32
}

// Ended counts the end of a request of an account after the given time. err is the reason of
// a refusal, or nil.
func (r *Recorder) Ended(name string, outcome routereport.Outcome, elapsed time.Duration, err error) {
	refusal, refused := account.RefusalOf(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.countsOf(name)
	if c == nil {
		return
	}
	number := r.slotNumber()
	s := &c.recent[number%slots]
	if s.number != number {
		*s = slot{number: number}
	}
	c.times.add(elapsed)
	c.total.Outcomes[outcome]++
	s.outcomes[outcome]++
	if refused {
		c.total.Refusals[refusal]++
		s.refusals[refusal]++
	}
	if cause, ok := shareOf(err); ok {
		c.total.Shares[cause]++
		s.shares[cause]++
	}
}

// countsOf returns the counts of an account, or nil if there are too many accounts. The
// caller holds r.mu.
func (r *Recorder) countsOf(name string) *counts {
	if c := r.accounts[name]; c != nil {
		return c
	}
	if len(r.accounts) >= maxAccounts {
		return nil
	}
	if r.accounts == nil {
		r.accounts = map[string]*counts{}
	}
	c := &counts{}
	r.accounts[name] = c
	return c
}

// slotNumber returns the number of the current slot.
func (r *Recorder) slotNumber() int64 {
	now := r.Now
	if now == nil {
		now = time.Now
	}
	return now().UnixNano() / int64(slotTime)
}

// Figure returns the counts of an account within the window of the report.
func (r *Recorder) Figure(name string) Figure {
	r.mu.Lock()
	defer r.mu.Unlock()
	var f Figure
	if c := r.accounts[name]; c != nil {
		f = c.window(r.slotNumber() - slots)
	}
	return f
}

// Refusals returns how many requests of all accounts were refused for their key within the
// window of the report, by reason.
func (r *Recorder) Refusals() [account.RefusalCount]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.slotNumber() - slots
	var all Figure
	for _, c := range r.accounts {
		all.Add(c.window(oldest))
	}
	return all.Refusals
}

// window returns the counts of the slots after the given one.
func (c *counts) window(after int64) Figure {
	var f Figure
	for i := range c.recent {
		s := &c.recent[i]
		if s.number <= after {
			continue
		}
		for outcome, n := range s.outcomes {
			f.Outcomes[outcome] += int64(n)
		}
		for refusal, n := range s.refusals {
			f.Refusals[refusal] += int64(n)
		}
		for cause, n := range s.shares {
			f.Shares[cause] += int64(n)
		}
	}
	return f
}

// total holds the counts of one account since the start of the process.
type total struct {
	name   string
	figure Figure
	times  times
}

// totals returns the counts of all accounts since the start of the process.
func (r *Recorder) totals() []total {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]total, 0, len(r.accounts))
	for name, c := range r.accounts {
		all = append(all, total{name: name, figure: c.total, times: c.times})
	}
	slices.SortFunc(all, func(a, b total) int { return strings.Compare(a.name, b.name) })
	return all
}
