// Package control holds the decisions of the control plane.
//
// State is the replicated state machine: configuration, drains, the ledger of
// claims and the audit trail. It changes only by applied log entries, in log
// order, so that every replica that applied the same entries holds the same
// state. It has no clock but Command.At, draws no random numbers, and no
// result depends on the order of a map.
//
// What Apply, Image and the accessors return shares memory with the state and
// is immutable: the state replaces a record and never writes into one. An
// image may therefore be encoded on another goroutine while commands go on.
package control

import (
	"fmt"

	"azurestair.example/azurestair"
)

// State is the replicated state machine. The zero value is the state before
// the first log entry. It is not safe for concurrent use.
type State struct {
	applied azurestair.Index
	history window[ConfigRecord]
	drains  []azurestair.Drain
	changes changeMemory
	audit   window[azurestair.AuditRecord]
	ledger  ledger
	holders *HolderList
	needs   azurestair.ProtocolVersion

	departures departures
	// listed is replaced as a whole, because images share it.
	listed map[azurestair.UpstreamID]azurestair.Announcement
}

// Apply applies a log entry that holds one command. The state keeps the
// command's slices; the caller must not write to them afterwards. An entry at
// or before the applied index changes nothing and gets ResultUnchanged.
func (s *State) Apply(index azurestair.Index, c azurestair.Command) azurestair.Result {
	return s.ApplyBatch(index, []azurestair.Command{c})[0]
}

// ApplyBatch applies a log entry that holds several commands in their order
// and returns one result for each. Without commands it only advances the
// applied index, as entries of other kinds need.
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

// Require records that a log entry needs a protocol version.
func (s *State) Require(v azurestair.ProtocolVersion) { s.needs = max(s.needs, v) }

// Needs returns the newest protocol version that an applied log entry has needed.
func (s *State) Needs() azurestair.ProtocolVersion {
	return max(s.needs, azurestair.ProtocolUnannounced)
}

// Applied returns the index of the last applied log entry.
func (s *State) Applied() azurestair.Index { return s.applied }

func (s *State) apply(c azurestair.Command) azurestair.Result {
	if err := c.Validate(); err != nil {
		return s.reject(c, err)
	}
	switch {
	case c.Config != nil:
		return s.applyChange(c, c.Config.Change, s.applyConfig)
	case c.Drain != nil:
		return s.applyChange(c, c.Drain.Change, s.applyDrain)
	case c.Members != nil:
		return s.applyChange(c, c.Members.Change, s.applyMembers)
	case c.Holder != nil:
		return s.applyHolder(*c.Holder)
	case c.Departure != nil:
		return s.applyDeparture(*c.Departure)
	case c.Listing != nil:
		return s.applyListing(*c.Listing)
	case c.Read != nil:
		return s.readConfig()
	case c.Claim != nil:
		return s.ledger.claim(c.At, *c.Claim)
	default:
		return s.ledger.finish(c.At, *c.Finish)
	}
}

// reject answers a command that failed its checks. The audit trail keeps it
// when it names a valid operator, change id and reason, which bounds the
// record's size.
func (s *State) reject(c azurestair.Command, err error) azurestair.Result {
	r := azurestair.Result{Code: azurestair.ResultInvalid, Detail: err.Error()}
	if change, ok := changeOf(c); ok && change.Validate() == nil {
		s.record(c, change, r)
	}
	return r
}

// applyMembers records a change of membership. The log itself carries it out.
func (s *State) applyMembers(azurestair.Command) azurestair.Result {
	return azurestair.Result{Code: azurestair.ResultAccepted}
}
