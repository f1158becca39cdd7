package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// BlockChars is the number of characters in one block of the prefix cache.
const BlockChars = 32

// prefixCache is an LRU cache of the prompt prefixes that have been prefilled, in
// whole blocks.
type prefixCache struct {
	blocks   *lru.Cache[uint64, struct{}]
	capacity int
}

func newPrefixCache(capacity int) (*prefixCache, error) {
	blocks, err := lru.New[uint64, struct{}](capacity)
	return &prefixCache{blocks: blocks, capacity: capacity}, err
}

// add caches the blocks of text and returns the number of characters that were not
// cached and must be prefilled.
func (c *prefixCache) add(text string) int {
	uncached := len(text) % BlockChars
	cached := true
	var chain uint64
	for start := 0; start+BlockChars <= len(text); start += BlockChars {
		chain = chainHash(chain, text[start:start+BlockChars])
		cached = cached && c.blocks.Contains(chain)
		if !cached {
			uncached += BlockChars
		}
		c.blocks.Add(chain, struct{}{})
	}
	return uncached
}

// chainHash returns the hash of a block and all blocks before it, given the hash of
// those.
func chainHash(chain uint64, block string) uint64 {
	input := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+BlockChars), chain)
	return xxhash.Sum64(append(input, block...))
}

// clear removes all blocks. Cached prefixes are invalid after a change of weights.
func (c *prefixCache) clear() {
	c.blocks.Purge()
}

// usedFraction returns the fraction of the capacity that is in use, from 0 to 1.
func (c *prefixCache) usedFraction() float64 {
	return float64(c.blocks.Len()) / float64(c.capacity)
}
