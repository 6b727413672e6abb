// Package retry decides what follows an attempt: another attempt, and when, or
// the outcome that the caller gets.
//
// Model: a Request accumulates its attempts. It remembers whether one of them
// may have run; from then on no answer says "not run", and a request that is
// not idempotent is not sent again. Retries and hedges take tokens from the
// Budget of the service, which fills with a share of the requests, so that they
// multiply the load by a bounded factor. Each attempt ends early enough for a
// retry or an honest refusal to fit before the caller's deadline.
package retry
