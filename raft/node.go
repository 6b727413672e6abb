package raft

import (
	"fmt"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// Role is the role of a replica in its term.
type Role uint8

const (
	// RoleFollower replicates from a leader or waits for one.
	RoleFollower Role = iota
	// RolePreCandidate asks for pre-votes and does not start a new term.
	RolePreCandidate
	// RoleCandidate asks for votes.
	RoleCandidate
	// RoleLeader is the leader of its term.
	RoleLeader
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "preCandidate"
	case RoleCandidate:
		return "candidate"
	default:
		return "leader"
	}
}

// maxTerm bounds the terms in messages, so that a faulty peer cannot exhaust
// the term numbers.
const maxTerm azurestair.Term = 1 << 62

// Node is one replica of the replicated log. It is not safe for concurrent use.
type Node struct {
	opts Options
	log  *entryLog
	// now is the latest time passed to a call; it never decreases.
	now time.Time

	role   Role
	term   azurestair.Term
	vote   azurestair.InstanceID
	leader azurestair.InstanceID
	// leaderContactAt is the time of the last message from a leader. The
	// replica refuses votes until an election timeout later.
	leaderContactAt  time.Time
	electionDeadline time.Time
	votes            map[azurestair.InstanceID]bool
	// transferVote is true while the replica is a candidate because of a
	// leadership transfer.
	transferVote bool

	// memberships lists the memberships in the log, oldest first. The first one
	// is in effect at the start of the log, after the compacted prefix.
	memberships []membershipRecord
	joining     bool

	restart restartState

	leaderState leaderState

	messages         []azurestair.RaftMessage
	afterStore       []azurestair.RaftMessage
	output           pendingOutput
	receivedSnapshot snapshotBuffer
}

// leaderState is the volatile state of a leader. It is zero on other replicas.
type leaderState struct {
	electedAt time.Time
	// firstIndex is the index of the leader's first entry.
	firstIndex       azurestair.Index
	followers        []*progress
	nextHeartbeatAt  time.Time
	heartbeatRound   uint64
	recentRounds     [maxRecentRounds]heartbeatRound
	uncommittedBytes azurestair.Bytes
	transfer         transfer
}

// New starts a replica from the state in its store. The caller restores the
// state machine from state.SnapshotData; the first Ready holds the committed
// entries after that snapshot.
func New(opts Options, state azurestair.LogState, now time.Time) (*Node, error) {
	opts = opts.withDefaults(now)
	if err := opts.validate(); err != nil {
		return nil, err
	}
	log, err := newLog(state)
	if err != nil {
		return nil, err
	}
	n := &Node{opts: opts, log: log, now: now, leaderContactAt: now, joining: opts.Joining}
	n.term, n.vote = state.HardState.Term, state.HardState.Vote
	n.output.hardState = state.HardState
	n.memberships = []membershipRecord{{index: log.base, membership: state.Snapshot.Membership}}
	n.addMemberships(log.entries)
	if log.last() == 0 {
		n.bootstrap()
	}
	n.updateJoining()
	n.resetElectionTimeout()
	n.startRun()
	return n, nil
}

// bootstrap creates the first entry of the log. It is the same on all initial
// voters and therefore counts as committed. A replica that has an empty log but
// a later term or a vote is not an initial voter and starts as joining.
func (n *Node) bootstrap() {
	if n.joining || len(n.opts.Membership.Voters) == 0 || n.term > 1 || n.vote != "" {
		n.joining = true
		return
	}
	m := cloneMembership(n.opts.Membership)
	first := azurestair.LogEntry{Index: 1, Term: 1, Kind: azurestair.EntryMembership, Membership: &m}
	n.term = 1
	n.log.append(first)
	n.addMemberships([]azurestair.LogEntry{first})
	n.log.commit = 1
}

// advanceTime sets the current time. A leader whose process was suspended past
// its quorum check steps down here, before it handles the call.
func (n *Node) advanceTime(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
	if n.role == RoleLeader && !n.now.Before(n.quorumCheckDeadline()) {
		n.becomeFollower(n.term, "")
	}
}

// Tick handles timeouts. It must be called at NextDeadline.
func (n *Node) Tick(now time.Time) {
	n.advanceTime(now)
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.electionDeadline.IsZero() || n.now.Before(n.electionDeadline) {
		return
	}
	n.leader = ""
	if !n.canCampaign() {
		n.electionDeadline = time.Time{}
		return
	}
	n.preCampaign()
}

// NextDeadline returns when Tick must be called next. It is zero if no timeout
// is pending.
func (n *Node) NextDeadline() time.Time {
	if n.role != RoleLeader {
		return n.electionDeadline
	}
	next := n.leaderState.nextHeartbeatAt
	if q := n.quorumCheckDeadline(); q.Before(next) {
		next = q
	}
	if d := n.leaderState.transfer.deadline; !d.IsZero() && d.Before(next) {
		next = d
	}
	return next
}

// Step handles a message from another replica. An error wraps
// azurestair.ErrInvalid and means that the message was rejected and changed
// nothing.
func (n *Node) Step(m azurestair.RaftMessage, now time.Time) error {
	n.advanceTime(now)
	if err := n.validateMessage(m); err != nil {
		return err
	}
	switch m.Kind {
	case azurestair.RaftPreVote:
		n.handlePreVote(m)
	case azurestair.RaftVote:
		n.handleVote(m)
	case azurestair.RaftAppend, azurestair.RaftHeartbeat, azurestair.RaftSnapshot, azurestair.RaftTimeoutNow:
		n.handleLeaderMessage(m)
	default:
		n.handleReply(m)
	}
	return nil
}

// handleLeaderMessage handles the kinds of messages that only a leader sends.
func (n *Node) handleLeaderMessage(m azurestair.RaftMessage) {
	n.endRun()
	if m.Term < n.term {
		// The reply makes the sender step down to the newer term. Without it, a
		// replica that alone has a newer term would reject this leader forever.
		n.sendAfterStore(azurestair.RaftMessage{Kind: azurestair.RaftHeartbeatReply, To: m.From, Reject: true})
		return
	}
	if m.Kind == azurestair.RaftTimeoutNow {
		n.handleTimeoutNow(m)
		return
	}
	if m.Term > n.term || n.leader != m.From || n.role != RoleFollower {
		n.becomeFollower(m.Term, m.From)
	}
	if n.vote == "" {
		// The leader of a term needs no further votes; the vote records which
		// replica it was.
		n.vote = m.From
	}
	n.leaderContactAt = n.now
	n.resetElectionTimeout()
	switch m.Kind {
	case azurestair.RaftAppend:
		n.handleAppend(m)
	case azurestair.RaftHeartbeat:
		n.handleHeartbeat(m)
	default:
		n.handleSnapshot(m)
	}
}

// handleReply handles replies. It ignores those of replicas that are not
// members, because no request is sent to them.
func (n *Node) handleReply(m azurestair.RaftMessage) {
	if !n.isMember(m.From) {
		return
	}
	granted := m.Kind == azurestair.RaftPreVoteReply && !m.Reject
	if m.Term > n.term && !granted {
		n.becomeFollower(m.Term, "")
		return
	}
	if m.Term < n.term {
		return
	}
	switch m.Kind {
	case azurestair.RaftPreVoteReply, azurestair.RaftVoteReply:
		n.handleVoteReply(m)
		return
	}
	p := n.followerProgress(m.From)
	if n.role != RoleLeader || p == nil {
		return
	}
	switch m.Kind {
	case azurestair.RaftAppendReply:
		n.handleAppendReply(p, m)
	case azurestair.RaftHeartbeatReply:
		n.handleHeartbeatReply(p, m)
	case azurestair.RaftSnapshotReply:
		n.handleSnapshotReply(p, m)
	}
}

func (n *Node) becomeFollower(term azurestair.Term, leader azurestair.InstanceID) {
	if n.role == RoleLeader {
		// The leader is part of the majority that its lease relies on, so it
		// refuses votes for as long as the voters that answered its heartbeats.
		n.leaderContactAt = latest(n.leaderContactAt, n.quorumContactAt())
	}
	if term > n.term {
		n.term, n.vote = term, ""
		n.receivedSnapshot = snapshotBuffer{}
	}
	n.role, n.leader = RoleFollower, leader
	n.votes, n.transferVote, n.leaderState = nil, false, leaderState{}
	n.resetElectionTimeout()
}

// inLeaderLease reports whether the lease of a live leader may depend on this
// replica refusing votes.
func (n *Node) inLeaderLease() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.now.Before(n.leaderContactAt.Add(n.opts.ElectionTimeout))
}

// Propose appends a command entry and returns its index and term. The entry is
// committed only once Ready.Committed holds it with this index and term.
func (n *Node) Propose(data []byte, now time.Time) (azurestair.Index, azurestair.Term, error) {
	n.advanceTime(now)
	if azurestair.Bytes(len(data)) > azurestair.MaxEntryBytes {
		return 0, 0, fmt.Errorf("%w: proposal of %d bytes; allowed %d", azurestair.ErrTooLarge, len(data), azurestair.MaxEntryBytes)
	}
	if n.role != RoleLeader || n.leaderState.transfer.target != "" {
		return 0, 0, azurestair.ErrNotLeader
	}
	e := azurestair.LogEntry{Kind: azurestair.EntryCommands, Data: data}
	if n.leaderState.uncommittedBytes+entrySize(e) > n.opts.MaxUncommittedBytes {
		return 0, 0, fmt.Errorf("%w: %d bytes of proposals are not committed yet", azurestair.ErrFull, n.leaderState.uncommittedBytes)
	}
	i := n.appendEntry(e)
	return i, n.term, nil
}

// appendEntry appends an entry to the leader's log. Ready sends it to the
// followers.
func (n *Node) appendEntry(e azurestair.LogEntry) azurestair.Index {
	e.Index, e.Term = n.log.last()+1, n.term
	n.log.append(e)
	n.leaderState.uncommittedBytes += entrySize(e)
	return e.Index
}

// commitTo advances the commit index to i, or to the end of the log if that is
// earlier.
func (n *Node) commitTo(i azurestair.Index) {
	i = min(i, n.log.last())
	if i <= n.log.commit {
		return
	}
	if n.role == RoleLeader {
		for _, e := range n.log.slice(n.log.commit, i) {
			n.leaderState.uncommittedBytes -= entrySize(e)
		}
	}
	n.log.commit = i
}

func (n *Node) send(m azurestair.RaftMessage) {
	n.messages = append(n.messages, n.addHeader(m))
}

// sendAfterStore sends a message only after the state in the next Ready is
// durable, because the message depends on that state.
func (n *Node) sendAfterStore(m azurestair.RaftMessage) {
	n.afterStore = append(n.afterStore, n.addHeader(m))
}

func (n *Node) addHeader(m azurestair.RaftMessage) azurestair.RaftMessage {
	m.From = n.opts.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	return m
}

func (n *Node) followerProgress(id azurestair.InstanceID) *progress {
	i := slices.IndexFunc(n.leaderState.followers, func(p *progress) bool { return p.id == id })
	if i < 0 {
		return nil
	}
	return n.leaderState.followers[i]
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
