// Package stub implements an upstream for tests, measurements and the embedded
// fleet of package try. It announces itself, reports its load, drains, sheds,
// honours deadlines and cancellation, answers probes and counts how often each
// request ran.
package stub
