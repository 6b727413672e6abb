package quota

import (
	"time"

	"azurestair.example/azurestair"
)

const (
	// LeaseTime is how long after it has sent an ask an entry may use the tokens
	// of the answer, and those that it held then.
	LeaseTime = 4 * time.Second
	// issuerLeaseTime is LeaseTime by the clock of the leader, counted from the
	// answer. Clocks may differ by 2% in rate, so that two differ by up to 4.1%.
	issuerLeaseTime = LeaseTime + LeaseTime/20

	// MaxWait is how long a request waits for a token.
	MaxWait = 150 * time.Millisecond
	// MinAskInterval is the minimum time between two asks.
	MinAskInterval = 50 * time.Millisecond
	// maxAskInterval is that time while no leader answers.
	maxAskInterval = 400 * time.Millisecond
	// AskInterval is the time between two asks when no request waits.
	AskInterval = 500 * time.Millisecond
	// refillInterval is the minimum time between two asks if no request waits,
	// but most of the expected need is used up.
	refillInterval = 100 * time.Millisecond
)

// A bucket has the total A = burst + slack. The tokens that exist are limited
// to capacityShare of A, and those that a new leader adds to the unknown ones of
// its predecessors to allowanceShare, so that three changes of leader within
// one lease time stay within A: 5/8 + 3/8.
const (
	capacityShare  = 5.0 / 8
	allowanceShare = 1.0 / 8
)

// minTokens is the least capacity and allowance. With less than a whole token, a
// workspace with a small burst would never be admitted.
const minTokens = 1

// Limit is the rate limit of a workspace.
type Limit struct {
	Workspace azurestair.WorkspaceName
	Rate      azurestair.PerSecond
	// Total is the burst plus the slack: the number of requests that a window of
	// any length may have beyond the rate.
	Total float64
}

// Limits returns the limits of a configuration.
func Limits(cfg *azurestair.Config) []Limit {
	var limits []Limit
	for _, w := range cfg.Workspaces {
		if w.IsLimited() {
			limits = append(limits, Limit{
				Workspace: w.Name, Rate: w.RatePerSecond, Total: w.Burst + float64(cfg.Defaults.QuotaSlack),
			})
		}
	}
	return limits
}
