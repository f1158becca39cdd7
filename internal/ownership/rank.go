package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders peers by their score for a unit, highest first, with rendezvous
// hashing: when a peer leaves, only the units for which it ranked first move.
func Rank(unit string, peers []string) []string {
	scored := make([]scoredPeer, len(peers))
	for i, peer := range peers {
		scored[i] = scoredPeer{id: peer, score: score(unit, peer)}
	}
	slices.SortFunc(scored, compareScored)
	ranked := make([]string, len(scored))
	for i, peer := range scored {
		ranked[i] = peer.id
	}
	return ranked
}

// Best returns the first peer of Rank without sorting the others, or "" if peers is
// empty.
func Best(unit string, peers []string) string {
	var best scoredPeer
	for i, peer := range peers {
		candidate := scoredPeer{id: peer, score: score(unit, peer)}
		if i == 0 || compareScored(candidate, best) < 0 {
			best = candidate
		}
	}
	return best.id
}

type scoredPeer struct {
	id    string
	score uint64
}

func compareScored(a, b scoredPeer) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
}

// separator makes ("ab", "c") and ("a", "bc") hash differently.
const separator = "\x00"

func score(unit, peer string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(peer)
	_, _ = digest.WriteString(separator)
	_, _ = digest.WriteString(unit)
	return digest.Sum64()
}
