// Package retry decides what follows an attempt: another attempt at some time,
// or the outcome that the caller gets.
//
// Model: a Request tracks its attempts and whether one of them may have run.
// Once one may have run, the outcome is never "not run", and a request that is
// not idempotent is not sent again. Retries and hedges take tokens from the
// Budget of the service, which each request refills by a fraction of a token,
// so that they multiply the load by a bounded factor. Each attempt ends early
// enough for a retry or a truthful refusal before the caller's deadline.
package retry
