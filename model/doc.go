// Package model is a small model of clients, entries and upstreams that
// remember objects, in virtual time and without a network.
//
// Model: clients ask for objects at a Poisson rate and try once more after a
// refusal. Each entry runs its own placement.Picker, as the product does. An
// upstream has slots, a queue and a memory of the objects that it handled last;
// a remembered object takes a fraction of the work. Upstreams can be lost and
// come back without memory, the rate can burst, and the regions can have their
// busy hours at different times. A Result counts what clients see.
//
// The model leaves out what does not depend on placement: connections, bytes,
// processor time, configuration and the delays between regions.
package model
