package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHistoryReturnsPastValues(t *testing.T) {
	var h History
	require.Zero(t, h.At(testNow))
	for i := range 2 * historySize {
		h.Record(testNow.Add(time.Duration(i)*time.Second), i)
	}
	require.Equal(t, 100, h.At(testNow.Add(100*time.Second+time.Millisecond)))
	require.Equal(t, 2*historySize-1, h.At(testNow.Add(time.Hour)))
	require.Equal(t, historySize, h.At(testNow), "the earliest stored record")
}
