// Package upstream implements the HTTP/1.1 client for upstreams and the handler
// for their announcements.
//
// A Client owns the connections to all upstreams. A connection carries one
// attempt at a time and is reused only after the response has been read to its
// end. The client counts the bytes that it writes, so an attempt that failed
// before the first byte is known not to have run. It never retries an attempt.
package upstream
