package admission

import (
	"math/bits"

	"azurestair.example/azurestair"
)

// hashSalts holds the current and the previous salt of the caller hash.
type hashSalts struct {
	current, previous uint64
}

// rotate replaces the current salt with a random one.
func (s *hashSalts) rotate(r azurestair.Rand) {
	s.previous = s.current
	s.current = r.Uint64()
}

// index returns the bucket of the caller, in [0, n).
func (s *hashSalts) index(c azurestair.CallerID, n int) int { return bucketIndex(s.current, c, n) }

// previousIndex returns the bucket of the caller under the previous salt.
func (s *hashSalts) previousIndex(c azurestair.CallerID, n int) int {
	return bucketIndex(s.previous, c, n)
}

// Constants of the FNV-1a hash and of the finalizer of MurmurHash3.
const (
	fnvPrime   = 0x100000001b3
	murmurMix1 = 0xff51afd7ed558ccd
	murmurMix2 = 0xc4ceb9fe1a85ec53
)

// bucketIndex maps the caller to a bucket in [0, n). It computes FNV-1a with
// the salt as offset basis and applies the finalizer of MurmurHash3, because
// the high bits of FNV-1a depend little on the last bytes of the input.
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
