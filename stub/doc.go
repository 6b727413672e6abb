// Package stub is a stand-in for an upstream, for tests, measurements and the
// embedded default. It announces itself, reports load, drains, sheds, honours
// deadlines and cancellation, answers probes, and counts how often each
// request ran.
package stub
