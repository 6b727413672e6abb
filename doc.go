// Package azurestair defines the domain types, sentinel errors and interfaces
// that the other packages of the module share.
//
// Azurestair routes the requests of callers to healthy upstreams. An upstream
// announces itself to an entry instance. The control instances store the
// configuration of the fleet and the ledger of non-idempotent requests in a
// replicated log. Each instance uses an immutable Snapshot of this control
// state.
//
// Domain types define their own encoding tags and have a Validate method, which
// every decoder calls before it returns a value. This package performs no I/O.
// The other packages are either decision packages, which take events and a time
// and return actions, or packages named after the peer or protocol that they
// implement.
package azurestair
