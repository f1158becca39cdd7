package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// BlockChars is the number of characters in one block of the prefix cache.
const BlockChars = 32

// prefixCache knows the prefixes whose prefill it has seen, in whole blocks.
type prefixCache struct {
	blocks   *lru.Cache[uint64, struct{}]
	capacity int
}

func newPrefixCache(capacity int) (*prefixCache, error) {
	blocks, err := lru.New[uint64, struct{}](capacity)
	return &prefixCache{blocks: blocks, capacity: capacity}, err
}

// load returns the number of characters that must be prefilled, and caches them.
func (c *prefixCache) load(text string) int {
	missing := len(text) % BlockChars
	known := true
	var chain uint64
	for start := 0; start+BlockChars <= len(text); start += BlockChars {
		chain = link(chain, text[start:start+BlockChars])
		known = known && c.blocks.Contains(chain)
		if !known {
			missing += BlockChars
		}
		c.blocks.Add(chain, struct{}{})
	}
	return missing
}

func link(chain uint64, block string) uint64 {
	input := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+BlockChars), chain)
	return xxhash.Sum64(append(input, block...))
}

// clear forgets everything, as new weights demand.
func (c *prefixCache) clear() {
	c.blocks.Purge()
}

func (c *prefixCache) used() float64 {
	return float64(c.blocks.Len()) / float64(c.capacity)
}
