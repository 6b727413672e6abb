package admission

import "azurestair.example/azurestair"

// Counts describes what an Admitter has decided since it was made.
type Counts struct {
	// Reserve is the part of Slots that only urgent work uses.
	Slots, Reserve azurestair.Slots
	Ranks          [azurestair.NumRanks]RankCounts
}

// RankCounts describes one rank. Offered is the sum of Admitted, Cancelled,
// Waiting and the three counts of refusals.
type RankCounts struct {
	Offered, Admitted, Cancelled uint64
	// Refused counts by reason.
	RefusedDeadline, RefusedQueueFull, RefusedCallerShare uint64
	// InProgress, Waiting and Floor are current numbers.
	InProgress, Waiting, Floor int
}

// refused counts a refusal.
func (c *RankCounts) refused(reason azurestair.Reason) {
	switch reason {
	case azurestair.ReasonDeadline:
		c.RefusedDeadline++
	case azurestair.ReasonCallerShare:
		c.RefusedCallerShare++
	default:
		c.RefusedQueueFull++
	}
}

// Counts returns the current counts.
func (a *Admitter) Counts() Counts {
	c := Counts{Slots: azurestair.Slots(a.shares.slots), Reserve: azurestair.Slots(a.shares.reserve), Ranks: a.counts}
	for r := range c.Ranks {
		c.Ranks[r].InProgress = a.inUse[r]
		c.Ranks[r].Waiting = a.queues[r].waiting
		c.Ranks[r].Floor = a.shares.floors[r]
	}
	return c
}
