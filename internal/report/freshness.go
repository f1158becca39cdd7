package report

import (
	"fmt"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// Freshness compares the answers of a class with its freshness target.
type Freshness struct {
	Target class.Freshness
	// Known and Unknown count answers of models for which the quantity that the target
	// limits is known and unknown. That quantity is the number of versions behind the
	// newest, or the time since the weights were replaced. Both counts are zero for a
	// plain service.
	Known, Unknown int64
	// Stale counts answers that exceed the target.
	Stale int64
	// Worst is the largest number of versions behind; WorstAge is the longest time since
	// the weights were replaced.
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
	if _, hasAgeLimit := target.AgeLimit(); hasAgeLimit {
		f.Known = sum.Aged
	}
	f.Unknown = sum.Versioned + sum.Unversioned - f.Known
	return f
}

// Missed returns by how much the worst answer exceeded the target.
func (f Freshness) Missed() string {
	if limit, hasVersionLimit := f.Target.VersionLimit(); hasVersionLimit {
		return countOf(f.Worst-int64(limit), "version")
	}
	limit, _ := f.Target.AgeLimit()
	return roundedText(f.WorstAge - limit)
}

// Line renders the freshness; it is empty when freshness does not apply.
func (f Freshness) Line() string {
	limit, hasVersionLimit := f.Target.VersionLimit()
	_, hasAgeLimit := f.Target.AgeLimit()
	switch {
	case f.Known+f.Unknown == 0 || !hasVersionLimit && !hasAgeLimit:
		return ""
	case f.Known == 0 && f.Stale == 0:
		return fmt.Sprintf("freshness not known (target %s)", f.Target)
	case hasVersionLimit:
		return fmt.Sprintf("%s behind%s (target %d)", countOf(f.Worst, "version"), f.unknownText(), limit)
	default:
		return fmt.Sprintf("%s outdated%s (target %s)", roundedText(f.WorstAge), f.unknownText(), f.Target)
	}
}

// unknownText renders the number of answers whose freshness is unknown.
func (f Freshness) unknownText() string {
	if f.Unknown == 0 {
		return " at most"
	}
	return fmt.Sprintf(", %s not known", countText(f.Unknown))
}

// countOf renders a count and the singular or plural of thing.
func countOf(count int64, thing string) string {
	if count == 1 {
		return "1 " + thing
	}
	return countText(count) + " " + thing + "s"
}
