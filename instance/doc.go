// Package instance implements a running process of azurestair.
//
// A Controller owns the control state. Its run method is the only control
// goroutine of the process: it receives events from bounded channels and
// publishes immutable snapshots. A Replica, which exists on control instances
// only, is the part of the controller that replicates the log and, on the
// leader, answers reports. A Member is the part that follows the leader on
// every instance. An Entry serves traffic from the published snapshots; its
// dispatchers have their own locks and never wait for the controller.
package instance
