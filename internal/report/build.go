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

// maxDigestAge is the maximum age of an entry's figures that are counted.
const maxDigestAge = Window

// Status says whether a class meets its targets.
type Status string

// Statuses of a class.
const (
	Missed Status = "MISSED"
	Met    Status = "met"
	Idle   Status = "no work"
	// NotKnown means that no entry reported figures of the class.
	NotKnown Status = "not known"
)

// ClassReport summarizes one class over all entries that reported.
type ClassReport struct {
	Class  class.Class
	Status Status
	// FractionInTime is the fraction of requests that were answered completely and in time, 0 to 1.
	FractionInTime float64
	// Requests, Late, NotRun, Unknown, Retries and Hedges are counts over Window.
	Requests, Late, NotRun, Unknown, Retries, Hedges int64
	// NoEndpoint, Unclaimed, Full and Invalid split NotRun by known cause.
	NoEndpoint, Unclaimed, Full, Invalid int64
	// Freshness compares the answers with the freshness target.
	Freshness Freshness
	// WorstP50 and WorstP99 are the largest latency quantiles of any entry.
	WorstP50, WorstP99 time.Duration
	// Serves names the models and applications that the class's requests are for.
	Serves []string
	// Advice is what the operator can do now; it is empty when nothing is needed.
	Advice string
}

// ModelReport summarizes the weight versions of one model's endpoints.
type ModelReport struct {
	Model string
	// Newest is the version of the newest rollout; zero means unknown.
	Newest int64
	// AtNewest, Serving and Total count endpoints: at the newest version, serving, and all.
	AtNewest, Serving, Total int
}

// Report is the state of the fleet as known to one entry.
type Report struct {
	At       time.Time
	Revision int64
	// EntriesReporting counts the entries with recent figures, Entries all known entries.
	EntriesReporting, Entries int
	StoreDown                 bool
	// Unconfirmed means that the classes may not be the newest.
	Unconfirmed bool
	Demoted     int64
	// Oldest is the age of the oldest figures included.
	Oldest  time.Duration
	Classes []ClassReport
	Models  []ModelReport
	// Steps lists steps in progress, the most urgent first; StepsOmitted counts further
	// ones that entries left out of their digests.
	Steps        []StepReport
	StepsOmitted int
}

// Build returns the report for a snapshot and the digests of all entries.
func Build(now time.Time, snapshot *control.Snapshot, digests []exchange.Digest) Report {
	live := liveEntries(snapshot)
	digests = slices.DeleteFunc(slices.Clone(digests), func(d exchange.Digest) bool {
		return d.Age > maxDigestAge || !live[d.News.Entry]
	})
	r := Report{
		At:               now,
		Revision:         snapshot.Classes.Revision,
		EntriesReporting: countEntries(digests),
		Entries:          len(snapshot.Peers),
		StoreDown:        !snapshot.StoreReachable,
		Unconfirmed:      !snapshot.Fresh(now),
		Demoted:          demoted(snapshot),
		Models:           models(snapshot),
	}
	for _, d := range digests {
		r.Oldest = max(r.Oldest, d.Age)
	}
	for _, c := range snapshot.Classes.Precedence() {
		r.Classes = append(r.Classes, classReport(c, digests))
	}
	r.Steps, r.StepsOmitted = steps(digests)
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

func countEntries(digests []exchange.Digest) int {
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
	r.applyCounts(&sum)
	return r
}

// applyCounts fills in the counts of the class and derives its status from them.
func (r *ClassReport) applyCounts(sum *peerpb.ClassDigest) {
	r.NotRun, r.Unknown, r.Retries, r.Hedges = sum.NotRun, sum.Unknown, sum.Retries, sum.Hedges
	r.NoEndpoint, r.Unclaimed, r.Full, r.Invalid = sum.NoEndpoint, sum.Unclaimed, sum.Full, sum.Invalid
	r.Requests, r.Late = sum.Answered+sum.NotRun+sum.Unknown, sum.Answered-sum.InTime
	r.Serves = sum.Serves
	r.Freshness = freshnessOf(r.Class.Freshness, sum)
	if r.Requests == 0 {
		return
	}
	r.FractionInTime = float64(sum.InTime) / float64(r.Requests)
	r.Status = Missed
	if r.Complete() && r.Freshness.Stale == 0 {
		r.Status = Met
	}
}

// Complete reports whether the completeness target is met.
func (r *ClassReport) Complete() bool { return r.FractionInTime >= r.Class.Completeness }

func models(snapshot *control.Snapshot) []ModelReport {
	var reports []ModelReport
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
			reports = append(reports, m)
		}
	}
	slices.SortFunc(reports, func(a, b ModelReport) int { return cmp.Compare(a.Model, b.Model) })
	return reports
}
