// Package model simulates clients, entries and upstreams that cache objects, in
// virtual time and without a network.
//
// Model: clients request objects with Poisson arrivals and retry once after a
// refusal. Each entry runs its own placement.Picker, as in production. An
// upstream has slots, a queue and a cache of the most recently used objects; a
// request for a cached object takes a fraction of the service time. Upstreams
// can report a load that is out of date, and can fail and return with an empty
// cache. The request rate can have bursts, and the load of the regions can peak
// at different times. Entries can send refused requests to other upstreams,
// within their retry budgets. A Result holds what the clients observe.
//
// The model omits everything that does not depend on placement: connections,
// bytes, processor time, configuration and the delays between regions.
package model
