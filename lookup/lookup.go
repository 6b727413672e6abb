// Package lookup selects the entry instances that a client block or a caller at
// a location uses.
//
// A Table maps each client block to one of 4,096 slots, and each slot to an
// ordered list of up to three entry instances. The plan of these lists is
// computed by rendezvous hashing, so that all instances of azurestair with the
// same membership compute the same plan, whatever the order of earlier changes.
// The number of slots with the same first choice is capped, so that the load is
// even although an entry may have only a few slots.
//
// Build moves a table towards its plan. Entries that are no longer live are
// replaced immediately. Other changes of the first choice are planned moves, of
// which each call makes a limited number.
package lookup
