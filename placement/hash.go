package placement

import (
	"hash/fnv"
	"math"
)

func hashOf(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return fmix64(h.Sum64())
}

// combineHashes combines two hashes.
func combineHashes(a, b uint64) uint64 { return fmix64(a ^ fmix64(b)) }

// fmix64 is the 64-bit finalizer of MurmurHash3. It spreads the bits of a hash,
// since the FNV hashes of similar names differ in few bits.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// unitInterval maps a hash to a number above 0 and below 1.
func unitInterval(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// rendezvousScore returns the score of a candidate in weighted rendezvous
// hashing. The candidate with the highest score wins, and candidates win in
// proportion to their weights.
func rendezvousScore(hash uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	return -weight / math.Log(unitInterval(hash))
}
