// Package operator is the administration API: its HTTP handler and its client.
//
// All paths but the health checks and the metrics need a bearer token, which
// names the operator in the audit trail. Changes carry a change id, so that a
// resend after a lost answer gets the first result.
package operator
