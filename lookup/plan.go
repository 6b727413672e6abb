package lookup

import (
	"hash/fnv"
	"slices"

	"azurestair.example/azurestair"
)

// NumSlots is the number of slots of a Table.
const NumSlots = 4096

// MaxChoices is the maximum number of entries of a slot.
const MaxChoices = 3

// maxLoadPercent limits the number of slots for which an entry is the first
// choice, in percent of the average. The requirement for blocks is 125; the
// difference allows for blocks that are distributed unevenly over the slots.
const maxLoadPercent azurestair.Percent = 115

// noEntry marks an unused element of choices.
const noEntry = ^uint16(0)

// choices holds the entries of a slot as indices into a list of entries, in
// order of preference.
type choices [MaxChoices]uint16

var noChoices = choices{noEntry, noEntry, noEntry}

// member is an entry of the plan with the attributes that the plan depends on.
type member struct {
	id     azurestair.InstanceID
	region azurestair.RegionName
}

// plan is the assignment of entries to slots that follows from the membership
// alone. Its choices are indices into members.
type plan struct {
	members []member
	slots   [NumSlots]choices
}

// newPlan computes the plan for members, which must be sorted by id.
func newPlan(members []member) *plan {
	p := &plan{members: members}
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = hashID(m.id)
	}
	remaining := slotCaps(len(members))
	for slot := range p.slots {
		p.slots[slot] = p.assignSlot(mix64(uint64(slot)+1), hashes, remaining)
	}
	return p
}

// slotCaps returns, for each of n entries, the maximum number of slots for
// which it may be the first choice.
func slotCaps(n int) []int {
	if n == 0 {
		return nil
	}
	ceiling := (NumSlots + n - 1) / n
	limit := max(ceiling, maxLoadPercent.Of(NumSlots)/n)
	return slices.Repeat([]int{limit}, n)
}

// assignSlot returns the choices of one slot and decrements the remaining slots
// of the first choice. The second choice is in a different region than the
// first if there is one, so that clients of the slot keep an entry when a
// region fails.
func (p *plan) assignSlot(seed uint64, hashes []uint64, remaining []int) choices {
	c := noChoices
	c[0] = highestScoringEntry(seed, hashes, func(i int) bool { return remaining[i] > 0 })
	if c[0] == noEntry {
		return c
	}
	remaining[c[0]]--
	region := p.members[c[0]].region
	c[1] = highestScoringEntry(seed, hashes, func(i int) bool { return p.members[i].region != region })
	if c[1] == noEntry {
		c[1] = highestScoringEntry(seed, hashes, func(i int) bool { return uint16(i) != c[0] })
	}
	c[2] = highestScoringEntry(seed, hashes, func(i int) bool { return uint16(i) != c[0] && uint16(i) != c[1] })
	return c
}

// highestScoringEntry returns the allowed entry with the highest rendezvous
// score.
func highestScoringEntry(seed uint64, hashes []uint64, allowed func(int) bool) uint16 {
	found, top := noEntry, uint64(0)
	for i, h := range hashes {
		score := mix64(h ^ seed)
		if (found == noEntry || score > top) && allowed(i) {
			found, top = uint16(i), score
		}
	}
	return found
}

func hashID(id azurestair.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// mix64 is the finalizer of SplitMix64, in which each input bit affects all
// output bits.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
