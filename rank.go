package azurestair

import "fmt"

// Rank is the priority of a request. The zero value is RankDeferred, the lowest
// priority.
type Rank uint8

const (
	// RankDeferred is for requests that may be delayed until their deadline.
	RankDeferred Rank = iota
	// RankInteractive is for idempotent requests that need a low latency.
	RankInteractive
	// RankUrgent is for requests that are served before all others.
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

// Validate checks that the rank is known.
func (r Rank) Validate() error {
	if r >= NumRanks {
		return fmt.Errorf("%w: rank %d is unknown", ErrInvalid, uint8(r))
	}
	return nil
}

// MarshalText implements encoding.TextMarshaler. The text is the name of the
// rank.
func (r Rank) MarshalText() ([]byte, error) {
	if err := r.Validate(); err != nil {
		return nil, err
	}
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rank) UnmarshalText(text []byte) error {
	for i, name := range rankNames {
		if name == string(text) {
			*r = Rank(i)
			return nil
		}
	}
	return fmt.Errorf("%w: rank %q; allowed are urgent, interactive and deferred", ErrInvalid, text)
}
