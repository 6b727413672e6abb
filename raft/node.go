package raft

import (
	"fmt"
	"slices"
	"time"

	"azurestair.example/azurestair"
)

// Role is what a replica is in its term.
type Role uint8

const (
	// RoleFollower follows a leader or waits for one.
	RoleFollower Role = iota
	// RolePreCandidate asks whether an election would succeed, without a new term.
	RolePreCandidate
	// RoleCandidate asks for votes.
	RoleCandidate
	// RoleLeader leads its term.
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

// maxTerm bounds the terms in messages, so that a bad peer cannot exhaust them.
const maxTerm azurestair.Term = 1 << 62

// Node is one replica of the log. It is not safe for concurrent use.
type Node struct {
	opts Options
	log  *entryLog
	// now is the latest time that a call brought; it never goes back.
	now time.Time

	role   Role
	term   azurestair.Term
	vote   azurestair.InstanceID
	leader azurestair.InstanceID
	// heardAt is when the replica last heard a leader; it refuses votes until
	// an election timeout later.
	heardAt          time.Time
	electionDeadline time.Time
	votes            map[azurestair.InstanceID]bool
	// transferVote is true while the candidate acts on the leader's request.
	transferVote bool

	// configs are the memberships in the log, oldest first; the first one is
	// that of the compacted prefix.
	configs []config
	joining bool

	lead leadership

	messages   []azurestair.RaftMessage
	afterStore []azurestair.RaftMessage
	output     output
	incoming   incoming
}

// leadership is the state of a leader; it is the zero value on other replicas.
type leadership struct {
	since time.Time
	// first is the index of the leader's first entry.
	first       azurestair.Index
	peers       []*progress
	heartbeatAt time.Time
	round       uint64
	rounds      [maxRounds]sentRound
	uncommitted azurestair.Bytes
	transfer    transfer
}

// New starts a replica from what its store holds. The owner restores the
// state machine from state.SnapshotData itself; committed entries after it
// arrive in the first Ready.
func New(opts Options, state azurestair.LogState, now time.Time) (*Node, error) {
	opts = opts.withDefaults(now)
	if err := opts.validate(); err != nil {
		return nil, err
	}
	log, err := newLog(state)
	if err != nil {
		return nil, err
	}
	n := &Node{opts: opts, log: log, now: now, heardAt: now, joining: opts.Joining}
	n.term, n.vote = state.Hard.Term, state.Hard.Vote
	n.output.hard = state.Hard
	n.configs = []config{{index: log.base, membership: state.Snapshot.Membership}}
	n.addConfigs(log.entries)
	if log.last() == 0 {
		n.bootstrap()
	}
	n.updateJoining()
	n.resetElection()
	return n, nil
}

// bootstrap creates the first entry, which is the same on all initial voters
// and therefore counts as committed. A replica that took part in a term
// without storing that entry is not an initial voter.
func (n *Node) bootstrap() {
	if n.joining || len(n.opts.Membership.Voters) == 0 || n.term > 1 || n.vote != "" {
		n.joining = true
		return
	}
	m := cloneMembership(n.opts.Membership)
	first := azurestair.LogEntry{Index: 1, Term: 1, Kind: azurestair.EntryMembership, Membership: &m}
	n.term = 1
	n.log.append(first)
	n.addConfigs([]azurestair.LogEntry{first})
	n.log.commit = 1
}

// observe takes over the time of a call. A leader that was stopped for too
// long learns it here, before it acts on anything else.
func (n *Node) observe(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
	if n.role == RoleLeader && !n.now.Before(n.quorumDeadline()) {
		n.becomeFollower(n.term, "")
	}
}

// Tick acts on the passing of time. It must be called at NextDeadline.
func (n *Node) Tick(now time.Time) {
	n.observe(now)
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.electionDeadline.IsZero() || n.now.Before(n.electionDeadline) {
		return
	}
	n.leader = ""
	if !n.electable() {
		n.electionDeadline = time.Time{}
		return
	}
	n.preCampaign()
}

// NextDeadline returns when Tick must be called next; zero means that only
// another call can change anything.
func (n *Node) NextDeadline() time.Time {
	if n.role != RoleLeader {
		return n.electionDeadline
	}
	next := n.lead.heartbeatAt
	if q := n.quorumDeadline(); q.Before(next) {
		next = q
	}
	if d := n.lead.transfer.deadline; !d.IsZero() && d.Before(next) {
		next = d
	}
	return next
}

// Step takes a message from another replica. An error wraps
// azurestair.ErrInvalid and means that the message changed nothing.
func (n *Node) Step(m azurestair.RaftMessage, now time.Time) error {
	n.observe(now)
	if err := n.checkMessage(m); err != nil {
		return err
	}
	switch m.Kind {
	case azurestair.RaftPreVote:
		n.handlePreVote(m)
	case azurestair.RaftVote:
		n.handleVote(m)
	case azurestair.RaftAppend, azurestair.RaftHeartbeat, azurestair.RaftSnapshot, azurestair.RaftTimeoutNow:
		n.handleLeader(m)
	default:
		n.handleReply(m)
	}
	return nil
}

// handleLeader handles what only a leader sends.
func (n *Node) handleLeader(m azurestair.RaftMessage) {
	if m.Term < n.term {
		// The sender learns of the newer term and steps down. Without this a
		// replica that alone has a newer term would refuse it for ever.
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
	n.heardAt = n.now
	n.resetElection()
	switch m.Kind {
	case azurestair.RaftAppend:
		n.handleAppend(m)
	case azurestair.RaftHeartbeat:
		n.handleHeartbeat(m)
	default:
		n.handleSnapshot(m)
	}
}

// handleReply handles answers. Those of replicas that are not members are
// ignored: nothing was asked of them.
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
	p := n.peer(m.From)
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
		// A leader is part of the majority that its lease counts on, so it
		// refuses votes for as long as the others do.
		n.heardAt = latest(n.heardAt, n.quorumAt())
	}
	if term > n.term {
		n.term, n.vote = term, ""
		n.incoming = incoming{}
	}
	n.role, n.leader = RoleFollower, leader
	n.votes, n.transferVote, n.lead = nil, false, leadership{}
	n.resetElection()
}

// hearsLeader reports whether a live leader may rely on this replica to refuse votes.
func (n *Node) hearsLeader() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.now.Before(n.heardAt.Add(n.opts.ElectionTimeout))
}

// Propose appends an entry of the state machine. It is committed only when it
// comes back in Ready.Committed with the returned index and term.
func (n *Node) Propose(data []byte, now time.Time) (azurestair.Index, azurestair.Term, error) {
	n.observe(now)
	if azurestair.Bytes(len(data)) > azurestair.MaxEntryBytes {
		return 0, 0, fmt.Errorf("%w: proposal of %d bytes; allowed %d", azurestair.ErrTooLarge, len(data), azurestair.MaxEntryBytes)
	}
	if n.role != RoleLeader || n.lead.transfer.to != "" {
		return 0, 0, azurestair.ErrNotLeader
	}
	e := azurestair.LogEntry{Kind: azurestair.EntryCommands, Data: data}
	if n.lead.uncommitted+entryBytes(e) > n.opts.MaxUncommittedBytes {
		return 0, 0, fmt.Errorf("%w: %d bytes of proposals are not committed yet", azurestair.ErrFull, n.lead.uncommitted)
	}
	i := n.appendOwn(e)
	return i, n.term, nil
}

// appendOwn appends an entry of the leader; Ready sends it.
func (n *Node) appendOwn(e azurestair.LogEntry) azurestair.Index {
	e.Index, e.Term = n.log.last()+1, n.term
	n.log.append(e)
	n.lead.uncommitted += entryBytes(e)
	return e.Index
}

// commitTo advances the commit index.
func (n *Node) commitTo(i azurestair.Index) {
	i = min(i, n.log.last())
	if i <= n.log.commit {
		return
	}
	if n.role == RoleLeader {
		for _, e := range n.log.between(n.log.commit, i) {
			n.lead.uncommitted -= entryBytes(e)
		}
	}
	n.log.commit = i
}

func (n *Node) send(m azurestair.RaftMessage) {
	n.messages = append(n.messages, n.stamp(m))
}

// sendAfterStore sends a message that promises what the next Ready stores.
func (n *Node) sendAfterStore(m azurestair.RaftMessage) {
	n.afterStore = append(n.afterStore, n.stamp(m))
}

func (n *Node) stamp(m azurestair.RaftMessage) azurestair.RaftMessage {
	m.From = n.opts.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	return m
}

func (n *Node) peer(id azurestair.InstanceID) *progress {
	i := slices.IndexFunc(n.lead.peers, func(p *progress) bool { return p.id == id })
	if i < 0 {
		return nil
	}
	return n.lead.peers[i]
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
