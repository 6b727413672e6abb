// Package peer implements the communication between azurestair processes, using
// gRPC with a CBOR codec.
//
// A Server passes decoded and validated domain values to a Handler. A Client
// locates the leader among the control instances and retries a call until its
// context ends. Every command may be retried, since the state machine detects
// duplicates. A Transport streams raft messages and may lose some.
package peer
