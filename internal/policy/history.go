package policy

import "time"

// historySize is how many moments a History remembers.
const historySize = 64

// History remembers how many of the entry's own requests an endpoint held at
// past moments, so that a late load report can be set against them. It belongs
// to one goroutine; the zero value works.
type History struct {
	moments [historySize]moment
	next    int
}

type moment struct {
	at       time.Time
	inFlight int
}

// Record notes the number of requests in flight now.
func (h *History) Record(now time.Time, inFlight int) {
	h.moments[h.next%historySize] = moment{at: now, inFlight: inFlight}
	h.next++
}

// At returns the number at the latest recorded moment that is not after t, or
// at the earliest one that is remembered; zero when there is none.
func (h *History) At(t time.Time) int {
	earliest := max(h.next-historySize, 0)
	for i := h.next - 1; i > earliest; i-- {
		if m := h.moments[i%historySize]; !m.at.After(t) {
			return m.inFlight
		}
	}
	return h.moments[earliest%historySize].inFlight
}
