package lookup

import (
	"hash/fnv"
	"slices"

	"azurestair.example/azurestair"
)

// NumSlots is the number of slots of a Table.
const NumSlots = 4096

// NumChoices is the largest number of entries in the list of a slot.
const NumChoices = 3

// spreadPercent bounds the slots of one entry, as a share of the average. The
// requirement is 125; the difference leaves room for blocks that spread
// unevenly over the slots.
const spreadPercent azurestair.Percent = 115

// noEntry marks an unused place in a list.
const noEntry = ^uint16(0)

// list holds indexes of entries in order of preference.
type list [NumChoices]uint16

var emptyList = list{noEntry, noEntry, noEntry}

// member is what the plan depends on.
type member struct {
	id     azurestair.InstanceID
	region azurestair.RegionName
}

// plan is the table that a membership leads to. Its lists index members.
type plan struct {
	members []member
	lists   [NumSlots]list
}

// newPlan makes the plan for members, which are sorted by id.
func newPlan(members []member) *plan {
	p := &plan{members: members}
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = hashID(m.id)
	}
	left := slotCaps(len(members))
	for slot := range p.lists {
		p.lists[slot] = p.choose(mix(uint64(slot)+1), hashes, left)
	}
	return p
}

// slotCaps returns how many slots each of n entries may have as first choice.
func slotCaps(n int) []int {
	if n == 0 {
		return nil
	}
	ceiling := (NumSlots + n - 1) / n
	c := max(ceiling, spreadPercent.Of(NumSlots)/n)
	return slices.Repeat([]int{c}, n)
}

// choose returns the list of one slot and takes the slot from the first
// choice's cap. The second choice lies in another region than the first if
// there is one, so that the loss of a region leaves the block an entry.
func (p *plan) choose(seed uint64, hashes []uint64, left []int) list {
	l := emptyList
	l[0] = best(seed, hashes, func(i int) bool { return left[i] > 0 })
	if l[0] == noEntry {
		return l
	}
	left[l[0]]--
	region := p.members[l[0]].region
	l[1] = best(seed, hashes, func(i int) bool { return p.members[i].region != region })
	if l[1] == noEntry {
		l[1] = best(seed, hashes, func(i int) bool { return uint16(i) != l[0] })
	}
	l[2] = best(seed, hashes, func(i int) bool { return uint16(i) != l[0] && uint16(i) != l[1] })
	return l
}

// best returns the allowed entry with the highest rendezvous score.
func best(seed uint64, hashes []uint64, allowed func(int) bool) uint16 {
	found, top := noEntry, uint64(0)
	for i, h := range hashes {
		score := mix(h ^ seed)
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

// mix is the finalizer of splitmix64, which spreads each input bit over the result.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
