// Package load is a load generator that measures a fleet on the loopback
// interface.
//
// A Fleet runs each instance as a separate process, so that processor time,
// memory and I/O can be measured per instance, and the stub upstreams inside
// the measuring process. A Schedule fixes the due times of all requests in
// advance (open loop), and latency is measured from the due time. A stalled
// fleet therefore cannot hide its delay by slowing down the generator
// (coordinated omission). Every scenario has a limit on its duration and number
// of requests.
package load
