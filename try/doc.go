// Package try runs an embedded fleet for evaluation: a control instance,
// entries and stub upstreams inside one process. It sends requests of all three
// ranks over loopback sockets and checks the guarantees of the system end to
// end.
package try
