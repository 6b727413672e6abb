// Package try is the embedded default: it runs control, entries and stub
// upstreams inside one process, sends requests of all three ranks through
// loopback sockets and checks what comes back against the promises.
package try
