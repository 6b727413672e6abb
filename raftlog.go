package azurestair

import (
	"fmt"
	"slices"
)

type (
	// Term is a leader term of the replicated log.
	Term uint64
	// Index is the position of an entry in the replicated log, starting at 1.
	Index uint64
)

// EntryKind is the kind of a log entry.
type EntryKind uint8

const (
	// EntryCommands contains encoded commands of the state machine.
	EntryCommands EntryKind = iota
	// EntryEmpty is the empty entry that a new leader appends in order to
	// commit entries of earlier terms.
	EntryEmpty
	// EntryMembership contains a membership of the log.
	EntryMembership
)

// MaxEntryBytes is the maximum size of the data of a log entry.
const MaxEntryBytes Bytes = 4 << 20

// LogEntry is an entry of the replicated log. Data is opaque to the log.
// EntryMembership entries have a Membership instead of Data.
type LogEntry struct {
	Index      Index       `cbor:"1,keyasint" json:"index"`
	Term       Term        `cbor:"2,keyasint" json:"term"`
	Kind       EntryKind   `cbor:"3,keyasint,omitempty" json:"kind"`
	Data       []byte      `cbor:"4,keyasint,omitempty" json:"data,omitempty"`
	Membership *Membership `cbor:"5,keyasint,omitempty" json:"membership,omitempty"`
}

// Validate checks the entry.
func (e LogEntry) Validate() error {
	if e.Index == 0 || e.Term == 0 {
		return fmt.Errorf("%w: log entry without index or term", ErrInvalid)
	}
	if Bytes(len(e.Data)) > MaxEntryBytes {
		return fmt.Errorf("%w: log entry %d is larger than %d bytes", ErrInvalid, e.Index, MaxEntryBytes)
	}
	if (e.Kind == EntryMembership) != (e.Membership != nil) {
		return fmt.Errorf("%w: log entry %d: membership does not match its kind", ErrInvalid, e.Index)
	}
	if e.Membership != nil {
		return e.Membership.Validate()
	}
	return nil
}

// MaxVoters is the maximum number of voters and of learners of the log.
const MaxVoters = 7

// Membership lists the instances that replicate the log.
type Membership struct {
	Voters   []InstanceID `cbor:"1,keyasint" json:"voters"`
	Learners []InstanceID `cbor:"2,keyasint,omitempty" json:"learners,omitempty"`
}

// Validate checks the membership.
func (m Membership) Validate() error {
	if len(m.Voters) == 0 || len(m.Voters) > MaxVoters || len(m.Learners) > MaxVoters {
		return fmt.Errorf("%w: membership needs 1 to %d voters and at most %d learners", ErrInvalid, MaxVoters, MaxVoters)
	}
	seen := map[InstanceID]bool{}
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if err := CheckName("member", string(id)); err != nil {
			return err
		}
		if seen[id] {
			return fmt.Errorf("%w: member %s is listed twice", ErrInvalid, id)
		}
		seen[id] = true
	}
	return nil
}

// HardState is the state, other than the log entries, that a replica must
// persist across restarts.
type HardState struct {
	Term   Term       `cbor:"1,keyasint" json:"term"`
	Vote   InstanceID `cbor:"2,keyasint,omitempty" json:"vote,omitempty"`
	Commit Index      `cbor:"3,keyasint" json:"commit"`
}

// SnapshotMeta describes the prefix of the log that a stored snapshot covers.
type SnapshotMeta struct {
	Index      Index      `cbor:"1,keyasint" json:"index"`
	Term       Term       `cbor:"2,keyasint" json:"term"`
	Membership Membership `cbor:"3,keyasint" json:"membership"`
}

// LogState is the content of a LogStore as read at startup.
type LogState struct {
	HardState HardState
	Snapshot  SnapshotMeta
	// SnapshotData is the encoded state machine at Snapshot.Index.
	SnapshotData []byte
	Entries      []LogEntry
}

// RaftKind is the kind of a RaftMessage.
type RaftKind uint8

// Message kinds of the Raft protocol.
const (
	RaftPreVote RaftKind = iota + 1
	RaftPreVoteReply
	RaftVote
	RaftVoteReply
	RaftAppend
	RaftAppendReply
	RaftHeartbeat
	RaftHeartbeatReply
	RaftSnapshot
	RaftSnapshotReply
	RaftTimeoutNow
)

// RaftMessage is a message between two replicas of the log.
type RaftMessage struct {
	Kind RaftKind   `cbor:"1,keyasint" json:"kind"`
	From InstanceID `cbor:"2,keyasint" json:"from"`
	To   InstanceID `cbor:"3,keyasint" json:"to"`
	Term Term       `cbor:"4,keyasint" json:"term"`
	// PrevIndex and PrevTerm identify the entry before Entries in an append
	// request, and the last log entry of the candidate in a vote request.
	PrevIndex Index      `cbor:"5,keyasint,omitempty" json:"prevIndex,omitempty"`
	PrevTerm  Term       `cbor:"6,keyasint,omitempty" json:"prevTerm,omitempty"`
	Commit    Index      `cbor:"7,keyasint,omitempty" json:"commit,omitempty"`
	Entries   []LogEntry `cbor:"8,keyasint,omitempty" json:"entries,omitempty"`
	Reject    bool       `cbor:"9,keyasint,omitempty" json:"reject,omitempty"`
	// Match is the last index known to be stored by the sender of a reply. In a
	// rejection of an append request it is a hint for the next index to try.
	Match Index `cbor:"10,keyasint,omitempty" json:"match,omitempty"`
	// HintTerm is the term of the entry at Match in a rejection of an append
	// request.
	HintTerm Term `cbor:"14,keyasint,omitempty" json:"hintTerm,omitempty"`
	// Round is the heartbeat round of the leader to which a reply belongs, used
	// for lease-based reads.
	Round uint64 `cbor:"11,keyasint,omitempty" json:"round,omitempty"`
	// Snapshot and Chunk contain one chunk of a snapshot.
	Snapshot *SnapshotMeta  `cbor:"12,keyasint,omitempty" json:"snapshot,omitempty"`
	Chunk    *SnapshotChunk `cbor:"13,keyasint,omitempty" json:"piece,omitempty"`
	// Transfer marks a vote request that is part of a leadership transfer.
	// Voters grant it even though they hear from the leader.
	Transfer bool `cbor:"15,keyasint,omitempty" json:"transfer,omitempty"`
	// Offset is the offset of the next byte of the snapshot at PrevIndex that
	// the sender of a RaftSnapshotReply needs.
	Offset Bytes `cbor:"16,keyasint,omitempty" json:"offset,omitempty"`
	// Run identifies the run of a replica that has heard from no leader since it
	// started. In the reply to a preliminary vote it is that of the sender, and
	// in a vote request that of the receiver, whose reply the candidate relies
	// on.
	Run ReplicaRun `cbor:"17,keyasint,omitempty" json:"run,omitempty"`
	// Voted is the replica that the sender of a RaftPreVoteReply with a Run has
	// voted for in its term, or that it has followed.
	Voted InstanceID `cbor:"18,keyasint,omitempty" json:"voted,omitempty"`
}

// ReplicaRun identifies a run of a replica. Zero identifies none.
type ReplicaRun uint64

// MaxChunkBytes is the maximum size of a snapshot chunk in a message.
const MaxChunkBytes Bytes = 256 << 10

// SnapshotChunk is a chunk of an encoded snapshot.
type SnapshotChunk struct {
	Offset Bytes  `cbor:"1,keyasint" json:"offset"`
	Total  Bytes  `cbor:"2,keyasint" json:"total"`
	Data   []byte `cbor:"3,keyasint" json:"data"`
}

// MaxEntriesPerMessage is the maximum number of entries in an append request.
const MaxEntriesPerMessage = 1024

// Validate checks the message.
func (m RaftMessage) Validate() error {
	if m.Kind < RaftPreVote || m.Kind > RaftTimeoutNow {
		return fmt.Errorf("%w: raft message kind %d is unknown", ErrInvalid, m.Kind)
	}
	if err := CheckName("from", string(m.From)); err != nil {
		return err
	}
	if m.Voted != "" {
		if err := CheckName("voted", string(m.Voted)); err != nil {
			return err
		}
	}
	if len(m.Entries) > MaxEntriesPerMessage {
		return fmt.Errorf("%w: raft message contains more than %d entries", ErrInvalid, MaxEntriesPerMessage)
	}
	next := m.PrevIndex + 1
	for _, e := range m.Entries {
		if err := e.Validate(); err != nil {
			return err
		}
		if e.Index != next {
			return fmt.Errorf("%w: raft message contains entry %d; expected entry %d", ErrInvalid, e.Index, next)
		}
		next++
	}
	isSnapshot := m.Kind == RaftSnapshot
	if isSnapshot != (m.Snapshot != nil) || isSnapshot != (m.Chunk != nil) {
		return fmt.Errorf("%w: raft message: snapshot fields do not match its kind", ErrInvalid)
	}
	return m.validateChunk()
}

func (m RaftMessage) validateChunk() error {
	c := m.Chunk
	if c == nil {
		return nil
	}
	n := Bytes(len(c.Data))
	if n > MaxChunkBytes || c.Offset < 0 || c.Total < n || c.Offset > c.Total-n {
		return fmt.Errorf("%w: snapshot chunk is out of bounds", ErrInvalid)
	}
	return m.Snapshot.Membership.Validate()
}
