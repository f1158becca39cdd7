package policy

// prefixHomes is the number of endpoints to which requests with the same prompt
// prefix are preferably sent, so that they hit the prefix cache.
const prefixHomes = 2

// prefixHome returns the index, among n endpoints, of the k-th home of a prefix. It uses
// jump consistent hashing, so a change of n moves few prefixes.
func prefixHome(prefix uint64, k, n int) int {
	key := prefix + uint64(k)*0x9e3779b97f4a7c15
	key ^= key >> 29
	var bucket, next int64 = -1, 0
	for next < int64(n) {
		bucket = next
		key = key*2862933555777941757 + 1
		next = int64(float64(bucket+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(bucket)
}
