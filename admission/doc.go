// Package admission implements admission control for the requests that arrive
// at an entry instance.
//
// Each rank has a bounded queue and a floor, which is its guaranteed share of
// the slots. A free slot goes to the most urgent rank that has queued requests
// and is below its floor. If there is none, it goes to the most urgent rank
// that has queued requests. Part of the urgent floor is reserved: lower ranks
// never use it, because a slot that is in use by deferred work is only released
// when that work ends.
//
// Within a rank, callers are hashed into a fixed number of buckets. The bucket
// with the fewest requests in progress is served next; ties go to the least
// recently served bucket. When the queue is full, the newest request of the
// longest bucket is refused. The salt of the hash changes at intervals, so that
// a caller does not share a bucket with a flooding caller indefinitely.
//
// A queued request is refused as soon as the time left until its deadline is
// shorter than the expected service time, which is estimated from the requests
// in progress.
package admission
