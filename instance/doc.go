// Package instance is one running process of azurestair.
//
// A Controller owns the control state. Its run method is the process's only
// control goroutine: it takes events from a bounded channel and publishes
// immutable snapshots. A Replica, present on control instances, is the part of
// the controller that replicates the log and, on the leader, answers reports.
// A Member is the part that follows the leader on every instance. An Entry
// serves traffic from the published snapshots; its gates have their own locks
// and never wait for the controller.
package instance
