// Package lookup decides which entry instances a client block uses.
//
// A Table maps each block to one of 4,096 slots, and each slot to an ordered
// list of up to three entry instances. The list comes from rendezvous hashing,
// so that every instance of azurestair with the same membership arrives at the
// same plan, whatever the history. A cap on the slots of one entry keeps the
// spread even where an entry has only a few slots.
//
// Build moves a table towards the plan. Entries that died are replaced at
// once; other changes of the first choice are planned moves, of which one call
// makes a limited number.
package lookup
