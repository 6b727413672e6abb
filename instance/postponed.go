package instance

import "time"

// maxPostponed bounds the reads that wait for committed entries.
const maxPostponed = 4096

// postpone queues a read until the entries that it must observe are applied,
// which can take a while if the log writer's queue is full. Refusing the read
// instead would cost an instance its leases while the log is busy. postpone
// returns false if the read must not wait: this instance is not the leader, the
// entries are applied, or too many reads are queued.
func (r *Replica) postpone(e event, now time.Time) bool {
	index, err := r.node.ReadIndex(now)
	if err != nil || r.state.Applied() >= index || len(r.postponed) >= maxPostponed {
		return false
	}
	r.postponed = append(r.postponed, e)
	return true
}

// takePostponed returns the postponed reads to retry. Those that must still
// wait are postponed again.
func (r *Replica) takePostponed() []event {
	if r.storesInFlight >= maxStoreJobs {
		return nil
	}
	out := r.postponed
	r.postponed = nil
	return out
}
