package admission

import "azurestair.example/azurestair"

// shares divides the slots among the ranks.
type shares struct {
	slots int
	// floors gives each rank the slots that it gets before a rank above its
	// own floor. All are zero when there are fewer slots than ranks.
	floors [azurestair.NumRanks]int
	// reserve is the part of the urgent floor that lower ranks never use.
	reserve int
}

func divide(slots int, percent [azurestair.NumRanks]azurestair.Percent) shares {
	s := shares{slots: slots}
	if slots < azurestair.NumRanks {
		return s
	}
	sum := 0
	for r, p := range percent {
		if p > 0 {
			// A floor is a guarantee: rounding down would miss it on every
			// entry of a service whose slots are spread over many.
			s.floors[r] = (slots*int(p) + 99) / 100
			sum += s.floors[r]
		}
	}
	for ; sum > slots; sum-- {
		s.floors[s.largest()]--
	}
	s.reserve = (s.floors[azurestair.RankUrgent] + reserveDivisor - 1) / reserveDivisor
	return s
}

// largest returns the rank with the largest floor.
func (s *shares) largest() int {
	found := 0
	for r, f := range s.floors {
		if f > s.floors[found] {
			found = r
		}
	}
	return found
}

// reserveDivisor sets the part of the urgent floor that lower ranks never use
// to a quarter, at least one slot. Under a flood of deferred work of 2 s, one
// reserved slot of 9 raised urgent work at a tenth of the capacity from 80% to
// 100% in time. The cost is that the slot stands idle without urgent work.
const reserveDivisor = 4

// turns gives ranks their share of admissions instead of slots. It applies
// when there are fewer slots than ranks, where a whole slot for each rank is
// not possible.
type turns struct {
	credit [azurestair.NumRanks]azurestair.Percent
}

// fullTurn is the credit that one admission costs.
const fullTurn azurestair.Percent = 100

// next chooses among the ranks with waiting work. A rank gains its floor as
// credit for each admission that it waits for.
func (t *turns) next(waiting [azurestair.NumRanks]bool, percent [azurestair.NumRanks]azurestair.Percent) azurestair.Rank {
	chosen, byCredit := azurestair.RankDeferred, false
	for r := range azurestair.Rank(azurestair.NumRanks) {
		if !waiting[r] {
			t.credit[r] = 0
			continue
		}
		t.credit[r] = min(t.credit[r]+percent[r], 2*fullTurn)
		due := t.credit[r] >= fullTurn
		if due || !byCredit {
			chosen, byCredit = r, due
		}
	}
	t.credit[chosen] = max(t.credit[chosen]-fullTurn, 0)
	return chosen
}
