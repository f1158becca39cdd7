package engine

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCachedPrefixesNeedNoPrefill(t *testing.T) {
	cache, err := newPrefixCache(100)
	require.NoError(t, err)
	shared := strings.Repeat("a", 10*BlockChars)
	require.Equal(t, len(shared)+3, cache.add(shared+"xyz"))
	require.Equal(t, 3, cache.add(shared+"xyz"))
	require.Equal(t, BlockChars, cache.add(shared+strings.Repeat("b", BlockChars)))
	require.InDelta(t, 0.11, cache.usedFraction(), 1e-9)
	cache.clear()
	require.Equal(t, len(shared), cache.add(shared))
}

func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	cache, err := newPrefixCache(2)
	require.NoError(t, err)
	a, b := strings.Repeat("a", 2*BlockChars), strings.Repeat("b", 2*BlockChars)
	cache.add(a)
	cache.add(b)
	require.Equal(t, 2*BlockChars, cache.add(a))
}
