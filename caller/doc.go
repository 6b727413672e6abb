// Package caller is the HTTP interface for lookups and requests from callers.
//
// It decodes each HTTP request into a Request with a deadline, passes it to a
// Server, which makes all decisions, and writes the Reply. When an upstream
// response is truncated, the connection is aborted, so that the caller cannot
// mistake it for a complete response.
package caller
