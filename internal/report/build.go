package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// heardLately is how old an entry's figures may be to count as known.
const heardLately = Window

// Status says whether a class meets its targets.
type Status string

// The statuses, the most urgent first.
const (
	Missed Status = "MISSED"
	Met    Status = "met"
	Idle   Status = "no work"
	// NotKnown: no entry's figures were heard.
	NotKnown Status = "not known"
)

// ClassReport is one class over all entries that were heard.
type ClassReport struct {
	Class  class.Class
	Status Status
	// Share is what was answered whole in time of all, 0 to 1.
	Share float64
	// Requests, Late, NotRun, Unknown, Retries and Hedges are counts over Window.
	Requests, Late, NotRun, Unknown, Retries, Hedges int64
	// NoEndpoint, Unclaimed, Full and Invalid are the known causes of NotRun.
	NoEndpoint, Unclaimed, Full, Invalid int64
	// Freshness is the standing against the freshness target.
	Freshness Freshness
	// WorstP50 and WorstP99 are the largest of any entry.
	WorstP50, WorstP99 time.Duration
	// Serves names the models and applications that its requests asked for.
	Serves []string
	// Advice is what the operator could do now; empty when nothing is needed.
	Advice string
}

// ModelReport is the weight versions of one model's followed endpoints.
type ModelReport struct {
	Model string
	// Newest is the version that the newest rollout brings; zero is not known.
	Newest int64
	// AtNewest, Serving and Total count endpoints.
	AtNewest, Serving, Total int
}

// Report is the state of the fleet as one entry knows it.
type Report struct {
	At       time.Time
	Revision int64
	// Heard of Entries gave their figures lately.
	Heard, Entries int
	StoreDown      bool
	// Unconfirmed: the classes may not be the newest.
	Unconfirmed bool
	Demoted     int64
	// Oldest is the age of the oldest figures that were taken in.
	Oldest  time.Duration
	Classes []ClassReport
	Models  []ModelReport
	// Steps under way, the most urgent first; StepsUnseen more are known to be.
	Steps       []StepReport
	StepsUnseen int
}

// Build makes a report from a snapshot and the digests of all entries.
func Build(now time.Time, snapshot *control.Snapshot, digests []exchange.Digest) Report {
	live := liveEntries(snapshot)
	digests = slices.DeleteFunc(slices.Clone(digests), func(d exchange.Digest) bool {
		return d.Age > heardLately || !live[d.News.Entry]
	})
	r := Report{
		At:          now,
		Revision:    snapshot.Classes.Revision,
		Heard:       heard(digests),
		Entries:     len(snapshot.Peers),
		StoreDown:   !snapshot.StoreReachable,
		Unconfirmed: !snapshot.Fresh(now),
		Demoted:     demoted(snapshot),
		Models:      models(snapshot),
	}
	for _, d := range digests {
		r.Oldest = max(r.Oldest, d.Age)
	}
	for _, c := range snapshot.Classes.Precedence() {
		r.Classes = append(r.Classes, classReport(c, digests))
	}
	r.Steps, r.StepsUnseen = steps(digests)
	for i := range r.Classes {
		r.Classes[i].Advice = advise(&r.Classes[i], stateOf(snapshot, &r, r.Classes[i].Serves))
	}
	slices.SortStableFunc(r.Classes, func(a, b ClassReport) int { return cmp.Compare(urgency(a.Status), urgency(b.Status)) })
	return r
}

func urgency(s Status) int {
	return slices.Index([]Status{Missed, NotKnown, Met, Idle}, s)
}

func liveEntries(snapshot *control.Snapshot) map[string]bool {
	live := make(map[string]bool, len(snapshot.Peers))
	for _, peer := range snapshot.Peers {
		live[peer.ID] = true
	}
	return live
}

func heard(digests []exchange.Digest) int {
	entries := map[string]bool{}
	for _, d := range digests {
		entries[d.News.Entry] = true
	}
	return len(entries)
}

func classReport(c class.Class, digests []exchange.Digest) ClassReport {
	r := ClassReport{Class: c, Status: NotKnown}
	var sum peerpb.ClassDigest
	for _, d := range digests {
		if d.News.Class != c.Name {
			continue
		}
		r.Status = Idle
		addCounts(&sum, d.News)
		r.WorstP50 = max(r.WorstP50, time.Duration(d.News.P50Ms)*time.Millisecond)
		r.WorstP99 = max(r.WorstP99, time.Duration(d.News.P99Ms)*time.Millisecond)
	}
	r.take(&sum)
	return r
}

// take judges the class by its counts.
func (r *ClassReport) take(sum *peerpb.ClassDigest) {
	r.NotRun, r.Unknown, r.Retries, r.Hedges = sum.NotRun, sum.Unknown, sum.Retries, sum.Hedges
	r.NoEndpoint, r.Unclaimed, r.Full, r.Invalid = sum.NoEndpoint, sum.Unclaimed, sum.Full, sum.Invalid
	r.Requests, r.Late = sum.Answered+sum.NotRun+sum.Unknown, sum.Answered-sum.InTime
	r.Serves = sum.Serves
	r.Freshness = freshnessOf(r.Class.Freshness, sum)
	if r.Requests == 0 {
		return
	}
	r.Share = float64(sum.InTime) / float64(r.Requests)
	r.Status = Missed
	if r.Complete() && r.Freshness.Stale == 0 {
		r.Status = Met
	}
}

// Complete reports whether the completeness target is met.
func (r *ClassReport) Complete() bool { return r.Share >= r.Class.Completeness }

func models(snapshot *control.Snapshot) []ModelReport {
	var all []ModelReport
	for model, endpoints := range snapshot.Endpoints {
		m := ModelReport{Model: model, Newest: snapshot.Versions[model].Newest, Total: len(endpoints)}
		versioned := m.Newest > 0
		for _, e := range endpoints {
			versioned = versioned || e.ActiveVersion > 0
			if !e.Leaving && !e.Unready {
				m.Serving++
			}
			if e.ActiveVersion >= m.Newest && m.Newest > 0 {
				m.AtNewest++
			}
		}
		if versioned || m.Serving < m.Total {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b ModelReport) int { return cmp.Compare(a.Model, b.Model) })
	return all
}
