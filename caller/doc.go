// Package caller accepts look-ups and requests of callers over HTTP.
//
// It turns each HTTP request into a Request with a deadline and hands it to a
// Server, which decides everything; it then writes the Reply. An answer that
// breaks off is never ended as if it were whole: the connection is aborted.
package caller
