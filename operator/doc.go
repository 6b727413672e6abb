// Package operator is the administration API: its HTTP handler and its client.
//
// All paths except the health checks and the metrics require a bearer token,
// which identifies the operator in the audit trail. Changes carry a change id,
// so that a retry after a lost response returns the result of the first
// request.
package operator
