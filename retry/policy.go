package retry

import (
	"cmp"
	"math/bits"
	"time"

	"azurestair.example/azurestair"
)

// Policy holds the rules for retries and hedges. Zero fields select the
// defaults.
type Policy struct {
	// MaxAttempts limits the attempts of a request, hedges included.
	MaxAttempts int
	// Backoff is the maximum of the jittered wait before the first retry after
	// an error; it doubles with each further attempt up to MaxBackoff.
	Backoff time.Duration
	// MaxBackoff limits the wait.
	MaxBackoff time.Duration
	// TimeoutFactor multiplies the backoff after a timeout.
	TimeoutFactor int
	// MinAttempt is the minimum time left for which another attempt is started.
	MinAttempt time.Duration
	// RefusalReserve is the time reserved for the response to the caller.
	RefusalReserve time.Duration
	// ReservePercent is the percentage of the remaining time that an attempt
	// leaves for a retry, within MinReserve and MaxReserve.
	ReservePercent azurestair.Percent
	MinReserve     time.Duration
	MaxReserve     time.Duration
	// HedgePercentile is the latency percentile after which a hedge is sent.
	HedgePercentile azurestair.Percent
	// Disabled turns mechanisms off, for comparison.
	Disabled Mechanisms
}

// Mechanisms selects parts of a Policy to turn off for comparison.
type Mechanisms struct {
	// Retries is every attempt after the first.
	Retries bool
	// TimeoutBackoff is the longer backoff after a timeout.
	TimeoutBackoff bool
	// AvoidTried is the preference for upstreams that were not tried yet.
	AvoidTried bool
	// Hedging is the second attempt while the first is in flight.
	Hedging bool
	// Reserve is the time that an attempt leaves for a retry after a timeout.
	Reserve bool
}

func (p Policy) withDefaults() Policy {
	p.MaxAttempts = cmp.Or(p.MaxAttempts, 3)
	// A few milliseconds are enough to spread a burst of errors; more would add
	// latency.
	p.Backoff = cmp.Or(p.Backoff, 5*time.Millisecond)
	p.MaxBackoff = cmp.Or(p.MaxBackoff, 250*time.Millisecond)
	p.TimeoutFactor = cmp.Or(p.TimeoutFactor, 4)
	p.MinAttempt = cmp.Or(p.MinAttempt, 10*time.Millisecond)
	// The response takes 8 ms to reach the caller in both deployments.
	p.RefusalReserve = cmp.Or(p.RefusalReserve, 10*time.Millisecond)
	p.ReservePercent = cmp.Or(p.ReservePercent, 35)
	p.MinReserve = cmp.Or(p.MinReserve, 40*time.Millisecond)
	p.MaxReserve = cmp.Or(p.MaxReserve, 2*time.Second)
	p.HedgePercentile = cmp.Or(p.HedgePercentile, 95)
	return p
}

// AttemptOutcome is the result of an attempt that ended.
type AttemptOutcome struct {
	Result azurestair.AttemptResult
	// Reason is why the attempt failed; if empty, it follows from the result.
	Reason azurestair.Reason
}

func (a AttemptOutcome) reason() azurestair.Reason {
	if a.Reason != azurestair.ReasonNone {
		return a.Reason
	}
	switch a.Result {
	case azurestair.AttemptDone:
		return azurestair.ReasonNone
	case azurestair.AttemptNotRun:
		return azurestair.ReasonConnect
	case azurestair.AttemptTimeout:
		return azurestair.ReasonTimeout
	default:
		return azurestair.ReasonBroken
	}
}

// Next decides what follows an attempt that ended. If it returns a retry, it
// has taken a token from the budget.
func (p Policy) Next(r *Request, b *Budget, a AttemptOutcome, now time.Time, rnd azurestair.Rand) Decision {
	p = p.withDefaults()
	r.recordResult(a.Result)
	if a.reason() == azurestair.ReasonShed {
		b.RecordSaturation(now)
	}
	if a.Result == azurestair.AttemptDone {
		return Decision{Action: Finish, Outcome: azurestair.OutcomeDone}
	}
	if r.outstanding > 0 || p.Disabled.Retries || r.attempts >= p.maxAttempts(r) || !r.isRepeatable() {
		return r.Refuse(a.reason())
	}
	latest := p.latestStart(r)
	if !latest.IsZero() && latest.Before(now) {
		return r.Refuse(a.reason())
	}
	if !b.Spend(now) {
		return r.Refuse(a.reason())
	}
	bound := p.backoff(r.attempts, a.Result)
	return Decision{
		Action:          Retry,
		At:              capTime(now.Add(jitter(bound, rnd)), latest),
		TriedUpstreamAt: now.Add(bound),
	}
}

// maxAttempts returns the attempt limit of a request.
func (p Policy) maxAttempts(r *Request) int {
	if n := r.work.MaxAttempts; n > 0 {
		return min(n, p.MaxAttempts)
	}
	return p.MaxAttempts
}

// latestStart returns the latest time at which another attempt is worth
// starting; zero means no limit.
func (p Policy) latestStart(r *Request) time.Time {
	if r.work.Deadline.IsZero() {
		return time.Time{}
	}
	return r.work.Deadline.Add(-p.RefusalReserve - p.MinAttempt)
}

// backoff returns the maximum wait after an attempt.
func (p Policy) backoff(attempts int, result azurestair.AttemptResult) time.Duration {
	bound := p.Backoff << min(max(attempts-1, 0), 10)
	if result == azurestair.AttemptTimeout && !p.Disabled.TimeoutBackoff {
		bound *= time.Duration(p.TimeoutFactor)
	}
	return min(bound, p.MaxBackoff)
}

// Avoid returns the upstreams that the next attempt should avoid.
func (p Policy) Avoid(r *Request) []azurestair.UpstreamID {
	if p.Disabled.AvoidTried {
		return nil
	}
	return r.Avoid()
}

// jitter returns a random wait from zero to bound.
func jitter(bound time.Duration, rnd azurestair.Rand) time.Duration {
	hi, _ := bits.Mul64(rnd.Uint64(), uint64(bound)+1)
	return time.Duration(hi)
}

// capTime returns t or the limit, whichever is earlier; a zero limit is
// ignored.
func capTime(t, limit time.Time) time.Time {
	if !limit.IsZero() && limit.Before(t) {
		return limit
	}
	return t
}

// AttemptDeadline returns the deadline of an attempt that starts now; zero
// means none. It leaves enough time before the caller's deadline for a retry
// or, if no retry may follow a timeout, for the refusal.
func (p Policy) AttemptDeadline(r *Request, b *Budget, now time.Time) time.Time {
	p = p.withDefaults()
	deadline := r.work.Deadline
	if deadline.IsZero() {
		return deadline
	}
	left := max(deadline.Sub(now), 0)
	// Close to the deadline, the attempt gets half of the remaining time.
	reserve := min(p.RefusalReserve, left/2)
	if p.allowsTimeoutRetry(r, left) && (b.Unlimited || b.Available(now) > 0) {
		share := left * time.Duration(p.ReservePercent) / 100
		reserve = max(reserve, min(max(share, p.MinReserve), p.MaxReserve))
	}
	return deadline.Add(-reserve)
}

// allowsTimeoutRetry reports whether a retry may follow if the attempt times
// out.
func (p Policy) allowsTimeoutRetry(r *Request, left time.Duration) bool {
	return r.work.Idempotent && !p.Disabled.Retries && !p.Disabled.Reserve && r.attempts+1 < p.maxAttempts(r) &&
		left >= 2*p.MinReserve
}
