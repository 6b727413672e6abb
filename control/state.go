// Package control implements the decisions of the control instances. It
// performs no I/O and reads no clock.
//
// State is the replicated state machine: configuration, drains, the ledger of
// claims and the audit trail. It changes only by applying log entries in log
// order, so all replicas that have applied the same entries hold the same
// state. Its only time source is Command.At, it uses no random numbers, and no
// result depends on map iteration order.
//
// The values that Apply, Image and the accessors return share memory with the
// state and are immutable: the state replaces records and never modifies them.
// An image may therefore be encoded on another goroutine while commands are
// applied.
//
// The other types hold the leader's unreplicated state and are called from one
// goroutine with the current time: the Registry of upstreams and instances, the
// Publisher that turns control state into snapshots and deltas with the plans
// of a RegionPlanner, and the Allocator that leases budgets to entry instances.
// A LeaseHolder keeps these leases on the entry instance.
package control

import (
	"fmt"

	"azurestair.example/azurestair"
)

// State is the replicated state machine. The zero value is the state before the
// first log entry. It is not safe for concurrent use.
type State struct {
	applied         azurestair.Index
	history         []ConfigRecord
	drains          []azurestair.Drain
	changes         changeIndex
	audit           window[azurestair.AuditRecord]
	ledger          ledger
	holders         *HolderList
	fleet           azurestair.FleetID
	requiredVersion azurestair.ProtocolVersion

	departures departures
	// listed is replaced as a whole, because images share it.
	listed map[azurestair.UpstreamID]azurestair.Announcement
}

// Apply applies a log entry that holds one command. The state retains the
// slices of the command, and the caller must not modify them afterwards. An
// entry at or before the applied index changes nothing and returns
// ResultUnchanged.
func (s *State) Apply(index azurestair.Index, c azurestair.Command) azurestair.Result {
	return s.ApplyBatch(index, []azurestair.Command{c})[0]
}

// ApplyBatch applies a log entry that holds several commands, in order, and
// returns one result for each. Without commands it only advances the applied
// index, for entries of other kinds.
func (s *State) ApplyBatch(index azurestair.Index, commands []azurestair.Command) []azurestair.Result {
	results := make([]azurestair.Result, len(commands))
	if index <= s.applied {
		for i := range results {
			results[i] = azurestair.Result{
				Code:   azurestair.ResultUnchanged,
				Detail: fmt.Sprintf("log index %d is already applied", index),
			}
		}
		return results
	}
	s.applied = index
	for i, c := range commands {
		results[i] = s.apply(c)
	}
	return results
}

// RequireVersion records that a log entry requires a protocol version.
func (s *State) RequireVersion(v azurestair.ProtocolVersion) {
	s.requiredVersion = max(s.requiredVersion, v)
}

// RequiredVersion returns the highest protocol version that an applied log
// entry requires, and at least ProtocolUnannounced.
func (s *State) RequiredVersion() azurestair.ProtocolVersion {
	return max(s.requiredVersion, azurestair.ProtocolUnannounced)
}

// Fleet returns the id of the fleet, or an empty id if none is assigned yet.
func (s *State) Fleet() azurestair.FleetID { return s.fleet }

// Applied returns the index of the last applied log entry.
func (s *State) Applied() azurestair.Index { return s.applied }

func (s *State) apply(c azurestair.Command) azurestair.Result {
	if err := c.Validate(); err != nil {
		return s.reject(c, err)
	}
	switch {
	case c.Config != nil:
		return s.applyOnce(c, c.Config.Change, s.applyConfig)
	case c.Drain != nil:
		return s.applyOnce(c, c.Drain.Change, s.applyDrain)
	case c.Members != nil:
		return s.applyOnce(c, c.Members.Change, s.applyMembers)
	case c.HolderChange != nil:
		return s.applyHolder(*c.HolderChange)
	case c.Departure != nil:
		return s.applyDeparture(*c.Departure)
	case c.UpstreamList != nil:
		return s.applyListing(*c.UpstreamList)
	case c.Read != nil:
		return s.readConfig()
	case c.Claim != nil:
		return s.ledger.claim(c.At, *c.Claim)
	default:
		return s.ledger.finish(c.At, *c.Completion)
	}
}

// reject returns the result for a command that failed validation. It is
// recorded in the audit trail only if its operator, change id and reason are
// valid, which bounds the size of the record.
func (s *State) reject(c azurestair.Command, err error) azurestair.Result {
	r := azurestair.Result{Code: azurestair.ResultInvalid, Detail: err.Error()}
	if change, ok := operatorChange(c); ok && change.Validate() == nil {
		s.recordAudit(c, change, r)
	}
	return r
}

// applyMembers records a membership change. The log itself performs it.
func (s *State) applyMembers(azurestair.Command) azurestair.Result {
	return azurestair.Result{Code: azurestair.ResultAccepted}
}
