package admission

import "azurestair.example/azurestair"

// slotAllocation is the division of the slots among the ranks.
type slotAllocation struct {
	slots int
	// floors is the number of slots guaranteed to each rank: a rank below its
	// floor goes before a rank that has reached its own. All floors are zero
	// when there are fewer slots than ranks.
	floors [azurestair.NumRanks]int
	// reserve is the part of the urgent floor that lower ranks never use.
	reserve int
}

func allocateSlots(slots int, percent [azurestair.NumRanks]azurestair.Percent) slotAllocation {
	s := slotAllocation{slots: slots}
	if slots < azurestair.NumRanks {
		return s
	}
	sum := 0
	for r, p := range percent {
		if p > 0 {
			// Floors are rounded up. Rounding down would miss the guarantee on
			// every entry of a service whose slots are spread over many
			// entries.
			s.floors[r] = (slots*int(p) + 99) / 100
			sum += s.floors[r]
		}
	}
	for ; sum > slots; sum-- {
		s.floors[s.largestFloor()]--
	}
	s.reserve = (s.floors[azurestair.RankUrgent] + reserveDivisor - 1) / reserveDivisor
	return s
}

// largestFloor returns the rank with the largest floor.
func (s *slotAllocation) largestFloor() int {
	found := 0
	for r, f := range s.floors {
		if f > s.floors[found] {
			found = r
		}
	}
	return found
}

// reserveDivisor sets the reserved part of the urgent floor to a quarter, but
// at least one slot. In a flood of deferred requests of 2 s each, one reserved
// slot of 9 raised the urgent requests served in time, at a tenth of the
// capacity, from 80% to 100%. The cost is that the slot is idle when there is
// no urgent work.
const reserveDivisor = 4

// creditScheduler divides admissions instead of slots among the ranks. It is
// used when there are fewer slots than ranks, because then each rank cannot
// have a slot of its own.
type creditScheduler struct {
	credit [azurestair.NumRanks]azurestair.Percent
}

// admissionCost is the credit that one admission costs.
const admissionCost azurestair.Percent = 100

// nextRank selects one of the ranks with queued requests. Such a rank earns its
// floor as credit for each admission. The most urgent rank with enough credit
// for an admission is selected, or else the most urgent rank; a rank without
// queued requests loses its credit.
func (s *creditScheduler) nextRank(waiting [azurestair.NumRanks]bool, percent [azurestair.NumRanks]azurestair.Percent) azurestair.Rank {
	chosen, byCredit := azurestair.RankDeferred, false
	for r := range azurestair.Rank(azurestair.NumRanks) {
		if !waiting[r] {
			s.credit[r] = 0
			continue
		}
		s.credit[r] = min(s.credit[r]+percent[r], 2*admissionCost)
		due := s.credit[r] >= admissionCost
		if due || !byCredit {
			chosen, byCredit = r, due
		}
	}
	s.credit[chosen] = max(s.credit[chosen]-admissionCost, 0)
	return chosen
}
