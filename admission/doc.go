// Package admission decides which requests may start at an entry instance.
//
// Each rank has a bounded queue and a floor, its guaranteed share of the slots.
// A slot that becomes free goes to the most urgent rank that has work waiting
// and is below its floor, and otherwise to the most urgent rank that has work
// waiting. A small part of the urgent floor stays free of lower ranks, because
// a slot that deferred work holds comes back only when that work ends.
//
// Within a rank, callers are hashed to a fixed number of buckets. The bucket
// with the fewest requests in progress is served next, and among equals the one
// that was served longest ago. A full queue loses the newest request of the
// longest bucket. The salt of the hash changes at intervals, so that a caller
// does not share a bucket with a flooding one for ever.
//
// A queued request is refused as soon as the time that is left would not cover
// the expected service time, which is measured from the work in progress.
package admission
