package usage

import "time"

// settleDivisor divides the time until a report is due to give the time after which the counts
// of a window are taken as complete. The rest is for a holder that takes over.
const settleDivisor = 4

// maxOverdue is the number of windows that are reported late, after a time in which no node
// reported anything.
const maxOverdue = 60

// schedule determines which window is reported when.
type schedule struct {
	length time.Duration
	due    time.Duration
}

// ready returns when the counts of a window are taken as complete.
func (s schedule) ready(w Window) time.Duration {
	return w.End(s.length) + s.due/settleDivisor
}

// next returns the window to report after the newest report, and how many windows it omits
// because too much time has passed. Without a report it is the given first window.
func (s schedule) next(newest *Record, first Window, now time.Duration) (w Window, omitted int64) {
	w = first
	if newest != nil {
		w = newest.Window + 1
	}
	oldest := WindowAt(now, s.length) - maxOverdue
	if w < oldest {
		return oldest, int64(oldest - w)
	}
	return w, 0
}
