package placement

import (
	"hash/fnv"
	"math"
)

func hashOf(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return finish(h.Sum64())
}

// mix combines two hashes.
func mix(a, b uint64) uint64 { return finish(a ^ finish(b)) }

// finish spreads the bits of a hash; neighbouring names differ in few bits of theirs.
func finish(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// unit maps a hash to a number above 0 and below 1.
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// weighted returns the rendezvous score of a candidate; the largest wins, and
// candidates win in proportion to their weights.
func weighted(sum uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	return -weight / math.Log(unit(sum))
}
