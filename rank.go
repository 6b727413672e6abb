package azurestair

import "fmt"

// Rank orders requests by urgency. The zero value is RankDeferred, the least urgent.
type Rank uint8

const (
	// RankDeferred is work that may wait until its deadline.
	RankDeferred Rank = iota
	// RankInteractive is idempotent work that must be fast.
	RankInteractive
	// RankUrgent is served before all other work.
	RankUrgent

	// NumRanks is the number of ranks.
	NumRanks = 3
)

var rankNames = [NumRanks]string{"deferred", "interactive", "urgent"}

// String returns the name of the rank.
func (r Rank) String() string {
	if int(r) >= len(rankNames) {
		return fmt.Sprintf("rank(%d)", uint8(r))
	}
	return rankNames[r]
}

// Validate reports whether the rank is known.
func (r Rank) Validate() error {
	if r >= NumRanks {
		return fmt.Errorf("%w: rank %d is unknown", ErrInvalid, uint8(r))
	}
	return nil
}

// MarshalText writes the name of the rank.
func (r Rank) MarshalText() ([]byte, error) {
	if err := r.Validate(); err != nil {
		return nil, err
	}
	return []byte(r.String()), nil
}

// UnmarshalText reads the name of a rank.
func (r *Rank) UnmarshalText(text []byte) error {
	for i, name := range rankNames {
		if name == string(text) {
			*r = Rank(i)
			return nil
		}
	}
	return fmt.Errorf("%w: rank %q; allowed are urgent, interactive and deferred", ErrInvalid, text)
}
