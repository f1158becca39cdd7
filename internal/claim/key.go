package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// KeySize is the size of a Key in bytes.
const KeySize = 16

// Key is the hash of a caller's idempotency key and its scope.
type Key [KeySize]byte

// Fingerprint is a hash of a request's body.
type Fingerprint uint64

// KeyOf hashes an idempotency key within its tenant and application.
func KeyOf(tenant, application, idempotencyKey string) Key {
	digest := sha256.New()
	for _, part := range []string{tenant, application, idempotencyKey} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	return Key(digest.Sum(nil)[:KeySize])
}

// FingerprintOf hashes a request's body.
func FingerprintOf(body []byte) Fingerprint {
	sum := sha256.Sum256(body)
	return Fingerprint(binary.BigEndian.Uint64(sum[:8]))
}

// Bytes returns the wire encoding of the fingerprint.
func (f Fingerprint) Bytes() []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(f))
}

// fingerprintFrom decodes a fingerprint from its wire encoding and reports whether the
// encoding is valid.
func fingerprintFrom(wire []byte) (Fingerprint, bool) {
	if len(wire) != 8 {
		return 0, false
	}
	return Fingerprint(binary.BigEndian.Uint64(wire)), true
}

// keyFrom decodes a key from its wire encoding and reports whether the encoding is valid.
func keyFrom(wire []byte) (Key, bool) {
	if len(wire) != KeySize {
		return Key{}, false
	}
	return Key(wire), true
}

// PartitionOf returns the partition of a key for a number of partitions.
func PartitionOf(key Key, count uint32) uint32 {
	return uint32(binary.BigEndian.Uint64(key[:8]) % uint64(count))
}

// UnitOf returns the name of a partition as a unit of ownership.
func UnitOf(partition uint32) string {
	return "claims/" + strconv.FormatUint(uint64(partition), 10)
}

// claimantHash returns the hash of a claimant's name that the partition's log stores.
func claimantHash(claimant string) uint64 {
	sum := sha256.Sum256([]byte(claimant))
	return binary.BigEndian.Uint64(sum[:8])
}
