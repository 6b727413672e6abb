package instance

import (
	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/retry"
)

// entryCount returns the number of entries among which limits are divided.
func entryCount(s *azurestair.Snapshot) int {
	entries := 0
	for _, i := range s.Instances {
		if i.CallerAddr != "" {
			entries++
		}
	}
	// Entries that have just joined or left may be missing from the list.
	return max(entries+1, control.DefaultMaxHolders)
}

// configureRetryBudget applies the settings of a snapshot to the retry budget.
// The caller holds mu.
func (d *dispatcher) configureRetryBudget(s *azurestair.Snapshot, defaults azurestair.Defaults) {
	d.retryBudget.Percent = defaults.RetryPercent
	d.retryBudget.Share(defaults.RetryBurst, entryCount(s), d.clock.Now())
}

// creditRetryBudget adds one request's share to the retry budget. It is called
// when a request arrives and again when its first attempt is sent. Only
// requests that are sent count for a joint burst, since a service counts what
// reaches it.
func (d *dispatcher) creditRetryBudget(sent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retryBudget.Shares() == sent {
		d.retryBudget.AddRequest()
	}
}

// decideRetry returns the decision that follows an attempt. A free retry is not
// charged to a retry budget of this entry alone. It is charged to a joint
// burst, which bounds all attempts beyond the first.
func (d *dispatcher) decideRetry(r *retry.Request, a retry.AttemptOutcome, free bool) retry.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if free && !d.retryBudget.Shares() {
		return d.retryPolicy.Next(r, &retry.Budget{Unlimited: true}, a, d.clock.Now(), d.rand)
	}
	return d.retryPolicy.Next(r, &d.retryBudget, a, d.clock.Now(), d.rand)
}

// recordLastAttempt records an attempt that is not followed by another one,
// whatever its result. It takes nothing from the retry budget.
func (d *dispatcher) recordLastAttempt(r *retry.Request, a retry.AttemptOutcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if a.Reason == azurestair.ReasonShed {
		d.retryBudget.RecordSaturation(now)
	}
	d.retryPolicy.Next(r, &retry.Budget{Unlimited: true}, a, now, d.rand)
}
