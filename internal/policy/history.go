package policy

import "time"

// historySize is the number of records that a History stores.
const historySize = 64

// History stores how many of the entry's own requests were in flight at an endpoint at
// past times, so that a delayed load report can be compared with the count at the time
// of the report. It is not safe for concurrent use; the zero value is ready to use.
type History struct {
	records [historySize]record
	next    int
}

type record struct {
	at       time.Time
	inFlight int
}

// Record stores the number of requests in flight at now.
func (h *History) Record(now time.Time, inFlight int) {
	h.records[h.next%historySize] = record{at: now, inFlight: inFlight}
	h.next++
}

// At returns the number in the latest record that is not after t, or in the
// earliest stored record if all are later. It returns zero if there is no record.
func (h *History) At(t time.Time) int {
	earliest := max(h.next-historySize, 0)
	for i := h.next - 1; i > earliest; i-- {
		if m := h.records[i%historySize]; !m.at.After(t) {
			return m.inFlight
		}
	}
	return h.records[earliest%historySize].inFlight
}
