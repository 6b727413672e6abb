// Package upstream speaks HTTP/1.1 to upstreams: it sends attempts on its own
// connections and accepts announcements.
//
// A Client owns the connections to all upstreams. One attempt uses a
// connection at a time, and a connection is reused only after the whole answer
// was read. The client counts the bytes that it writes, so that an attempt
// that failed before the first byte is known not to have run. It never repeats
// an attempt by itself.
package upstream
