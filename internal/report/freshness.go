package report

import (
	"fmt"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// Freshness is the standing of a class against its freshness target.
type Freshness struct {
	Target class.Freshness
	// Known and Unknown count answers of models of which is known, and not
	// known, what the target is about: the versions behind the newest, or how
	// long ago the weights had been replaced. Both are zero for a plain service.
	Known, Unknown int64
	// Stale counts answers over the target.
	Stale int64
	// Worst is the most versions behind; WorstAge the longest time since weights
	// had been replaced.
	Worst    int64
	WorstAge time.Duration
}

func freshnessOf(target class.Freshness, sum *peerpb.ClassDigest) Freshness {
	f := Freshness{
		Target:   target,
		Known:    sum.Versioned,
		Stale:    sum.Stale,
		Worst:    sum.MaxBehind,
		WorstAge: time.Duration(sum.MaxWeightsAgeMs) * time.Millisecond,
	}
	if _, ofAge := target.AgeLimit(); ofAge {
		f.Known = sum.Aged
	}
	f.Unknown = sum.Versioned + sum.Unversioned - f.Known
	return f
}

// Missed is by how much the worst answer was over the target.
func (f Freshness) Missed() string {
	if limit, ofVersions := f.Target.VersionLimit(); ofVersions {
		return countOf(f.Worst-int64(limit), "version")
	}
	limit, _ := f.Target.AgeLimit()
	return roughly(f.WorstAge - limit)
}

// Line renders the standing; it is empty where freshness does not apply.
func (f Freshness) Line() string {
	limit, ofVersions := f.Target.VersionLimit()
	_, ofAge := f.Target.AgeLimit()
	switch {
	case f.Known+f.Unknown == 0 || !ofVersions && !ofAge:
		return ""
	case f.Known == 0 && f.Stale == 0:
		return fmt.Sprintf("freshness not known (target %s)", f.Target)
	case ofVersions:
		return fmt.Sprintf("%s behind%s (target %d)", countOf(f.Worst, "version"), f.doubt(), limit)
	default:
		return fmt.Sprintf("%s outdated%s (target %s)", roughly(f.WorstAge), f.doubt(), f.Target)
	}
}

// doubt says of how many answers the freshness is not known.
func (f Freshness) doubt() string {
	if f.Unknown == 0 {
		return " at most"
	}
	return fmt.Sprintf(", %s not known", countText(f.Unknown))
}

// countOf renders a count of things.
func countOf(count int64, thing string) string {
	if count == 1 {
		return "1 " + thing
	}
	return countText(count) + " " + thing + "s"
}
