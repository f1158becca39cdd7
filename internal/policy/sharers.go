package policy

import "sync/atomic"

// EntryCount is how many entries share an endpoint on average. It is safe for
// concurrent use; the zero value is one.
type EntryCount struct {
	number atomic.Int64
}

// Set takes over a new number.
func (s *EntryCount) Set(number int) { s.number.Store(int64(number)) }

func (s *EntryCount) count() float64 {
	if s == nil {
		return 1
	}
	return float64(max(s.number.Load(), 1))
}
