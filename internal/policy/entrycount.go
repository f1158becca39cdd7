package policy

import "sync/atomic"

// EntryCount is the average number of entries that share an endpoint. It is safe for
// concurrent use; the zero value counts as one.
type EntryCount struct {
	number atomic.Int64
}

// Set replaces the number of entries.
func (s *EntryCount) Set(number int) { s.number.Store(int64(number)) }

func (s *EntryCount) count() float64 {
	if s == nil {
		return 1
	}
	return float64(max(s.number.Load(), 1))
}
