// Package faults contains fault-injection tests that run a fleet of instance
// processes on loopback addresses.
//
// Each test starts seven instances as separate processes. The stub upstreams
// run in the test process, which counts how often each request was executed.
// Every connection between two instances and every connection to an upstream
// passes through a relay, with which a test resets, silences or delays it. The
// types fleet, node and traffic form the harness; the test files hold the
// cases.
package faults
