package instance

import (
	"context"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/quota"
)

// quotaUse is what became of a request at the quota gate.
type quotaUse struct {
	decision quota.Decision
	// hasToken is true until the token is refunded.
	hasToken bool
}

// admit admits the request by the rate limit of its workspace and by the slots
// of its service. Waiting for a token holds no slot.
func (c *call) admit(ctx context.Context) azurestair.Reason {
	c.quota.decision = c.entry.quota.admit(ctx, c.config, c.work)
	switch c.quota.decision.Verdict {
	case quota.OverLimit:
		return azurestair.ReasonQuota
	case quota.Unreachable:
		return azurestair.ReasonQuotaUnreachable
	case quota.Admitted:
		c.quota.hasToken = true
	}
	return c.dispatcher.admit(ctx, c.work)
}

// settleQuota returns the token of a request that no upstream has run, and tells
// the caller of a refused one when there are tokens again.
func (c *call) settleQuota(r caller.Reply) caller.Reply {
	switch {
	case r.Reason == azurestair.ReasonQuota || r.Reason == azurestair.ReasonQuotaUnreachable:
		r.RetryAfter = c.quota.decision.RetryAfter
	case c.quota.hasToken && didNotRun(r):
		c.quota.hasToken = false
		c.entry.quota.refund(c.work.Workspace)
	}
	return r
}

// didNotRun reports whether this request, rather than an earlier one with its
// key, certainly did not run.
func didNotRun(r caller.Reply) bool {
	return r.NotRun || r.Replayed || r.Outcome == azurestair.OutcomeInProgress
}
