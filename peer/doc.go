// Package peer carries the messages between azurestair's own processes: gRPC
// with a CBOR codec.
//
// A Server passes decoded and checked domain values to a Handler. A Client
// finds the leader among the control instances and repeats a call there until
// its context ends; every command may be repeated, since the state machine
// recognises resends. A Transport streams raft messages and may lose some.
package peer
