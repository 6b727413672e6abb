// Package routing chooses the upstream for each attempt of one service at one
// entry instance.
//
// Model: a picker keeps a record of each upstream of the service in the
// snapshot. An upstream that can take a request is in one candidate set of its
// tier: the entry's own failure domain, its own region, or one remote region.
// Events move it between sets, so that a choice samples a set and never scans
// all upstreams. Some changes come with time alone: confirmations expire,
// ejections and slow start end, late slots are released. A heap holds the time
// of the next such change of each upstream and is processed at the start of
// every call.
//
// A late slot is the slot of an attempt that timed out or was abandoned. It
// stays counted for some time, because the upstream may still be working on it.
//
// Invariants: no upstream has more requests in flight from this entry than its
// limit; no request goes to an upstream that is drained, draining, leaving,
// ejected or not confirmed; no request goes to another region unless the shift
// budget permits it; at most EjectPercent of the service's upstreams are
// ejected.
package routing
