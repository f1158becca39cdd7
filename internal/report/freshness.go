package report

import (
	"fmt"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// Freshness is the standing of a class against its freshness target.
type Freshness struct {
	Target class.Freshness
	// Known and Unknown count answers of models whose versions behind the newest
	// are known and not known. Both are zero for a plain service.
	Known, Unknown int64
	// Stale counts answers over the target; Worst is the most versions behind.
	Stale, Worst int64
}

func freshnessOf(target class.Freshness, sum *peerpb.ClassDigest) Freshness {
	return Freshness{Target: target, Known: sum.Versioned, Unknown: sum.Unversioned, Stale: sum.Stale, Worst: sum.MaxBehind}
}

// Spare is how many versions the worst answer was within the target, negative
// when it was over it. It means nothing for a target that is not of versions.
func (f Freshness) Spare() int64 {
	limit, _ := f.Target.VersionLimit()
	return int64(limit) - f.Worst
}

// Line renders the standing; it is empty where freshness does not apply.
func (f Freshness) Line() string {
	if f.Known+f.Unknown == 0 {
		return ""
	}
	_, ofVersions := f.Target.VersionLimit()
	_, ofAge := f.Target.AgeLimit()
	switch {
	case ofVersions && f.Known == 0:
		return fmt.Sprintf("freshness not known (target %s)", f.Target)
	case ofVersions && f.Unknown > 0:
		return fmt.Sprintf("%s behind, %s not known (target %d)", versions(f.Worst), countText(f.Unknown), f.limit())
	case ofVersions:
		return fmt.Sprintf("at most %s behind (target %d)", versions(f.Worst), f.limit())
	case ofAge && f.Known > 0 && f.Worst == 0 && f.Unknown == 0:
		return fmt.Sprintf("all of the newest weights (target %s)", f.Target)
	case ofAge:
		return fmt.Sprintf("age of weights not known (target %s)", f.Target)
	}
	return ""
}

func (f Freshness) limit() int {
	limit, _ := f.Target.VersionLimit()
	return limit
}

func versions(count int64) string { return countOf(count, "version") }

// countOf renders a count of things.
func countOf(count int64, thing string) string {
	if count == 1 {
		return "1 " + thing
	}
	return countText(count) + " " + thing + "s"
}
