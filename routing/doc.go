// Package routing chooses the upstream for each attempt of one service at one
// entry instance.
//
// Model: a picker keeps a worker for each upstream of the service in the
// snapshot. A worker that may take work stands in one candidate set of its
// tier (own failure domain, own region, or one other region); it moves between
// sets when an event changes its standing, so that a choice samples a set and
// never scans the workers. Standing also changes with time (confirmation,
// ejection, slow start, late slots); a heap holds the next such time of each
// worker and is advanced at the start of every call.
//
// Invariants: no worker holds more in flight from this entry than its limit;
// no work goes to a worker that is drained, draining, leaving, ejected or not
// confirmed; no work goes to another region without the shift budget's
// permission; at most EjectPercent of the service's upstreams are ejected.
package routing
