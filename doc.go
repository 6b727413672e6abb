// Package azurestair defines the domain types, sentinel errors and interfaces
// that the rest of the module shares.
//
// Azurestair steers the requests of callers to healthy upstreams. An upstream
// announces itself to an entry instance; the control instances keep the fleet
// configuration and the ledger of non-idempotent requests in a replicated log;
// each instance works from an immutable Snapshot of that control state.
//
// Domain types carry their wire tags and check themselves with Validate, which
// every decoder calls before it passes a value on. The package does no input
// or output. The packages below it are either decision packages, which take
// events and a time and return actions, or packages named for the peer or
// protocol that they speak to.
package azurestair
