package admission

import "azurestair.example/azurestair"

// Counts holds the counters and the current state of an Admitter.
type Counts struct {
	// Reserve is the part of Slots that only urgent requests may use.
	Slots, Reserve azurestair.Slots
	Ranks          [azurestair.NumRanks]RankCounts
}

// RankCounts holds the counters and the current state of one rank. Offered is
// the sum of Admitted, Cancelled, Waiting and the three refusal counters.
type RankCounts struct {
	Offered, Admitted, Cancelled uint64
	// Refused requests by reason.
	RefusedDeadline, RefusedQueueFull, RefusedCallerShare uint64
	// InProgress, Waiting and Floor are current values, not counters.
	InProgress, Waiting, Floor int
}

// countRefusal increments the refusal counter for the reason.
func (c *RankCounts) countRefusal(reason azurestair.Reason) {
	switch reason {
	case azurestair.ReasonDeadline:
		c.RefusedDeadline++
	case azurestair.ReasonCallerShare:
		c.RefusedCallerShare++
	default:
		c.RefusedQueueFull++
	}
}

// Counts returns the counters and the current state.
func (a *Admitter) Counts() Counts {
	c := Counts{Slots: azurestair.Slots(a.allocation.slots), Reserve: azurestair.Slots(a.allocation.reserve), Ranks: a.counts}
	for r := range c.Ranks {
		c.Ranks[r].InProgress = a.inUse[r]
		c.Ranks[r].Waiting = a.queues[r].waiting
		c.Ranks[r].Floor = a.allocation.floors[r]
	}
	return c
}
