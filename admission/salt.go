package admission

import (
	"math/bits"

	"azurestair.example/azurestair"
)

// salts holds the current salt of the hash of callers and the one before it.
type salts struct {
	current, old uint64
}

// renew replaces the current salt.
func (s *salts) renew(r azurestair.Rand) {
	s.old = s.current
	s.current = r.Uint64()
}

// index returns the bucket of the caller out of n.
func (s *salts) index(c azurestair.CallerID, n int) int { return bucketIndex(s.current, c, n) }

// oldIndex returns the bucket of the caller under the previous salt.
func (s *salts) oldIndex(c azurestair.CallerID, n int) int { return bucketIndex(s.old, c, n) }

// Constants of the FNV-1a hash and of the finalizer of MurmurHash3.
const (
	fnvPrime   = 0x100000001b3
	murmurMix1 = 0xff51afd7ed558ccd
	murmurMix2 = 0xc4ceb9fe1a85ec53
)

// bucketIndex is FNV-1a from a salted start value with a final mix, because
// the high bits of FNV-1a depend little on the last bytes.
func bucketIndex(salt uint64, c azurestair.CallerID, n int) int {
	h := salt
	for i := range len(c) {
		h = (h ^ uint64(c[i])) * fnvPrime
	}
	h = (h ^ h>>33) * murmurMix1
	h = (h ^ h>>33) * murmurMix2
	h ^= h >> 33
	hi, _ := bits.Mul64(h, uint64(n))
	return int(hi)
}
