package control

import "time"

// ReplacedFor returns how long ago a version newer than the given one was accepted,
// and zero for the newest. The result is exact if known is true. Otherwise it is a
// lower bound, because the time counts from when this entry received the newer version.
func (v Versions) ReplacedFor(version int64, now time.Time) (ago time.Duration, known bool) {
	if version >= v.Newest {
		return 0, v.Newest > 0
	}
	for _, accepted := range v.accepted {
		if accepted.version > version {
			return now.Sub(accepted.at), known
		}
		known = true
	}
	return 0, false
}
