// Package quota distributes the rate limits of workspaces over the entries.
//
// A limit is a supply of tokens, one for each request. The Issuer, at the
// leader, refills a bucket for each workspace and leases tokens to the entries
// for a limited time. The Holder, at an entry, uses one token for each request
// and asks for more in time. The sum of the tokens that exist is bounded at all
// times, so the limit holds also for entries that are cut off: they use what
// they hold and then refuse.
//
// The package has no goroutines, locks or timers. Callers pass the time, by a
// clock that also counts the time in which a process is suspended.
package quota
