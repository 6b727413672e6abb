// Package load measures a fleet on the loopback interface.
//
// A Fleet runs each instance as its own process, so that processor time,
// memory and bytes can be told apart, and the stub upstreams inside the
// measuring process. A Schedule fixes when each request is due before the
// first one is sent: latency counts from the due time, so that a stalled
// fleet cannot hide its delay by slowing down the generator (coordinated
// omission). Every scenario is bounded in time and in the number of requests.
package load
