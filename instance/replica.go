package instance

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/raft"
)

const (
	// maxStoreJobs bounds the jobs queued for the log writer. While one is
	// being synced, the next collects proposals; a longer queue would only
	// spread them over more syncs.
	maxStoreJobs = 2
	// maxBatchBytes bounds the size of the commands in one log entry.
	maxBatchBytes azurestair.Bytes = 512 << 10
	// compactEntries and compactBytes are the log sizes above which a replica
	// replaces its log by an image.
	compactEntries azurestair.Index = 20_000
	compactBytes   azurestair.Bytes = 16 << 20
	// controlTTL is how long an instance may trust its configuration after a
	// reply to a report.
	controlTTL azurestair.Millis = 3_000
)

// proposalWaiter holds the channels that wait for the results of a proposed
// batch.
type proposalWaiter struct {
	term    azurestair.Term
	replies []chan<- proposeReply
}

// ReplicaStatus describes the replicated log on an instance. It is the zero
// value on an instance that does not replicate the log.
type ReplicaStatus struct {
	Raft   raft.Status
	Claims int
	// RequiredVersion is the newest protocol version that a record of the log
	// has required.
	RequiredVersion azurestair.ProtocolVersion
	// Versions holds the versions that the other members have announced to the
	// leader.
	Versions map[azurestair.InstanceID]azurestair.ProtocolVersion
	// StoreFull is true while the disk takes no more data.
	StoreFull bool
}

// peerDirectory provides the addresses and versions of the members of the log.
type peerDirectory interface {
	AddPeer(a peer.Address)
	Addr(id azurestair.InstanceID) string
	Version(id azurestair.InstanceID) azurestair.ProtocolVersion
}

// Replica replicates the log and, on the leader, answers reports. Only the
// control goroutine uses it.
type Replica struct {
	log          *slog.Logger
	codec        peer.Codec
	node         *raft.Node
	state        *control.State
	transport    azurestair.Transport
	peers        peerDirectory
	writer       *logWriter
	imageEncoder *imageEncoder
	notifier     *notifier
	self         azurestair.InstanceID

	// logTime assigns timestamps to the commands that this instance proposes.
	logTime logClock

	// pendingProposals holds the commands for the next log entry.
	pendingProposals []proposeEvent
	// postponed holds reads that wait for committed entries to be applied.
	postponed      []event
	waiters        map[azurestair.Index]proposalWaiter
	storesInFlight int
	full           fullStore
	// storeFullGauge is 1 while the disk is full.
	storeFullGauge metrics.Gauge
	// joining is true until the store has recorded that the log lists this
	// instance.
	joining       bool
	encodingImage bool
	compactedAt   azurestair.Index

	// heldIsProvisional is true if no leader has confirmed the snapshot that
	// this instance holds, in this run.
	heldIsProvisional bool
	// leaderTerm is the term for which this replica last initialized its soft
	// state as leader.
	leaderTerm     azurestair.Term
	quotas         quotaLimits
	registry       *control.Registry
	publisher      *control.Publisher
	allocator      *control.Allocator
	reportReceiver *control.ReportReceiver
	// limitsSnapshot is the snapshot from which the budget limits were derived.
	limitsSnapshot *azurestair.Snapshot
	// publishedCfg is the effective configuration without its document.
	publishedCfg *azurestair.Config
	// loggedPlans tells which plans were logged last.
	loggedPlans loggedPlans

	// contacts holds the addresses of the instances of the fleet.
	contacts contactBook
	// knownLeader returns the leader that this instance reports to; nil if that
	// is not known.
	knownLeader func() (peer.Address, bool)

	// membershipPlanner plans the membership changes of the log; if it is nil,
	// operators make them.
	membershipPlanner   *control.MembershipPlanner
	nextMembershipCheck time.Time
	// peerAddr derives a member's address from its ID; nil if that is not
	// possible.
	peerAddr func(azurestair.InstanceID) string
	// persistListing makes the leader keep the list of upstreams in the log.
	persistListing bool
	nextListingAt  time.Time
	// upstreamLease is how long upstreams stay confirmed; zero selects the
	// default.
	upstreamLease time.Duration
}

// newReplica returns a replica that starts from the content of the log store.
func newReplica(opts raft.Options, ls azurestair.LogState, now time.Time, log *slog.Logger) (*Replica, error) {
	node, err := raft.New(opts, ls, now)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		log: log, node: node, self: opts.ID, state: &control.State{},
		waiters: map[azurestair.Index]proposalWaiter{}, compactedAt: ls.Snapshot.Index, storeFullGauge: metrics.NilGauge{},
	}
	if len(ls.SnapshotData) > 0 {
		if err := r.restore(ls.SnapshotData); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *Replica) restore(data []byte) error {
	var image control.Image
	if err := r.decodeImage(data, &image); err != nil {
		return fmt.Errorf("read image of the control state: %w", err)
	}
	state, err := control.FromImage(image)
	if err != nil {
		return err
	}
	r.state = state
	return nil
}

// propose queues a command for the next log entry.
func (r *Replica) propose(e proposeEvent, now time.Time) {
	if _, err := r.node.ReadIndex(now); err != nil {
		e.reply <- proposeReply{err: r.notLeaderError()}
		return
	}
	if r.full.isFull() {
		e.reply <- proposeReply{err: errStoreFull}
		return
	}
	e.command.At, e.command.ListsHolders = r.logTime.Next(now), r.startsHolderList(e.command)
	e.command.Fleet = r.newFleetID(e.command)
	if e.command.Claim != nil {
		// Modify a copy: the entry in this process may still read its own
		// claim.
		claim := *e.command.Claim
		claim.ConvertDeadline(e.command.At)
		e.command.Claim = &claim
	}
	if err := r.checkCommandVersion(e.command); err != nil {
		e.reply <- proposeReply{err: err}
		return
	}
	if err := r.changeMembers(e.command.Members, now); err != nil {
		e.reply <- proposeReply{err: err}
		return
	}
	r.pendingProposals = append(r.pendingProposals, e)
}

// startsHolderList reports whether the command starts the holder list: it is
// the first configuration, and all members of the log can read the list.
func (r *Replica) startsHolderList(c azurestair.Command) bool {
	return c.Config != nil && r.state.Config().Version == 0 && r.checkMemberVersions(azurestair.ProtocolAnnounced) == nil
}

// newFleetID returns the fleet id that the command assigns: a new one for a
// configuration while there is none and all members of the log can read it.
func (r *Replica) newFleetID(c azurestair.Command) azurestair.FleetID {
	if c.Config == nil || r.state.Fleet() != "" || r.checkMemberVersions(azurestair.ProtocolFleet) != nil {
		return ""
	}
	return azurestair.FleetID(fmt.Sprintf("%016x", rand.Uint64()))
}

// setSeeds replaces the control instances that the settings name.
func (r *Replica) setSeeds(seeds []peer.Address, now time.Time) {
	r.contacts.seeds = seeds
	r.contacts.introducer.SetContacts(r.contacts.contacts(), now)
}

// changeMembers changes the membership of the log. The command itself is logged
// afterwards for the audit trail. A change that has already taken effect is a
// resend and succeeds.
func (r *Replica) changeMembers(m *azurestair.MemberChange, now time.Time) error {
	if m == nil {
		return nil
	}
	members := r.node.Status().Membership
	voter, learner := slices.Contains(members.Voters, m.Instance), slices.Contains(members.Learners, m.Instance)
	done := map[azurestair.MemberAction]bool{
		azurestair.MemberAddLearner: learner,
		azurestair.MemberPromote:    voter,
		azurestair.MemberRemove:     !voter && !learner,
	}
	if done[m.Action] {
		return nil
	}
	_, _, err := r.node.ChangeMembership(m.Action, m.Instance, now)
	return err
}

func (r *Replica) notLeaderError() error {
	leader := r.node.Leader()
	if leader == r.self {
		return fmt.Errorf("%w: the leader's lease has expired", azurestair.ErrNoQuorum)
	}
	if leader == "" && r.knownLeader != nil {
		// An instance that the log does not list hears of the leader only
		// through its reports.
		if known, ok := r.knownLeader(); ok && known.ID != r.self {
			return azurestair.NotLeaderError{Leader: known.ID, Addr: known.Addr}
		}
	}
	return azurestair.NotLeaderError{Leader: leader, Addr: r.peers.Addr(leader)}
}

// checkReadable returns nil if a read now observes every change that was
// acknowledged before.
func (r *Replica) checkReadable(now time.Time) error {
	index, err := r.node.ReadIndex(now)
	if err != nil {
		return r.notLeaderError()
	}
	if r.state.Applied() < index {
		return fmt.Errorf("%w: entry %d is not applied yet", azurestair.ErrNoQuorum, index)
	}
	return nil
}

// advance writes, sends and applies pending work of the log and publishes the
// result.
func (r *Replica) advance(now time.Time, m *Member) error {
	if !r.full.isFull() || r.node.IsLeader() {
		// A replica that cannot store its vote must not stand for election.
		r.node.Tick(now)
	}
	if err := r.processReady(now); err != nil {
		return err
	}
	r.contacts.observe(m.snapshot, now)
	r.offerSnapshot(m, now)
	r.heldIsProvisional = m.provisional
	r.updateLeaderState(now, m.snapshot, m.holder.Grants())
	r.maybeCompact()
	r.maybeRecordJoined()
	r.connectMembers()
	return nil
}

// offerSnapshot offers a snapshot from before the start to entries, which know
// only the control instances of their settings. Once a leader is known, its
// introductions take over.
func (r *Replica) offerSnapshot(m *Member, now time.Time) {
	if !m.provisional {
		r.contacts.offersLeft = 0
		return
	}
	for _, c := range r.contacts.dueOffers(now) {
		r.notifier.introduce(peer.Address{ID: c.ID, Addr: c.Addr}, azurestair.SnapshotNotice{Source: r.self, Addr: r.contacts.self, Fleet: m.fleet})
	}
}

// maybeRecordJoined records in the store that the log now lists this instance.
func (r *Replica) maybeRecordJoined() {
	if !r.joining || r.storesInFlight > 0 || r.node.Status().Joining {
		return
	}
	r.storesInFlight++
	r.writer.jobs <- &storeJob{joined: true}
}

// processReady proposes the queued commands and processes the pending work of
// the Raft node.
func (r *Replica) processReady(now time.Time) error {
	for r.storesInFlight < maxStoreJobs || (r.full.isFull() && !r.node.NeedsStore()) {
		if !r.full.isFull() {
			r.flush(now)
		}
		rd, ok := r.node.Ready()
		if !ok {
			return nil
		}
		if err := r.handleReady(rd, now); err != nil {
			return err
		}
	}
	return nil
}

// flush proposes the queued commands as one log entry, or as several if they
// are too large.
func (r *Replica) flush(now time.Time) {
	for len(r.pendingProposals) > 0 {
		data, n, err := r.encodeBatch()
		batch := r.pendingProposals[:n]
		r.pendingProposals = r.pendingProposals[n:]
		var index azurestair.Index
		var term azurestair.Term
		if err == nil {
			index, term, err = r.node.Propose(data, now)
		}
		w := proposalWaiter{term: term}
		for _, p := range batch {
			if err != nil {
				p.reply <- proposeReply{err: err}
				continue
			}
			w.replies = append(w.replies, p.reply)
		}
		if err == nil {
			r.waiters[index] = w
		}
	}
	r.pendingProposals = nil
}

// encodeBatch encodes as many queued commands as fit into one log entry and
// returns their number.
func (r *Replica) encodeBatch() ([]byte, int, error) {
	n := len(r.pendingProposals)
	for {
		batch := commandBatch{Commands: make([]azurestair.Command, n)}
		for i, p := range r.pendingProposals[:n] {
			batch.set(i, p.command)
		}
		data, err := r.codec.Marshal(&batch)
		if err != nil || azurestair.Bytes(len(data)) <= maxBatchBytes || n == 1 {
			return data, n, err
		}
		n = (n + 1) / 2
	}
}

// handleReady processes one raft.Ready.
func (r *Replica) handleReady(rd raft.Ready, now time.Time) error {
	for _, m := range rd.Messages {
		r.transport.Send(m)
	}
	if rd.Seq > 0 {
		r.storesInFlight++
		r.writer.jobs <- &storeJob{ready: rd}
	}
	if rd.Snapshot != nil && rd.Restore {
		if err := r.restore(rd.Snapshot.Data); err != nil {
			return err
		}
		r.compactedAt = rd.Snapshot.Meta.Index
		r.failWaiters(rd.Snapshot.Meta.Index)
	}
	for _, e := range rd.Committed {
		if err := r.apply(e, now); err != nil {
			return err
		}
	}
	return nil
}

// failWaiters fails the proposals whose entries a snapshot has replaced.
func (r *Replica) failWaiters(upTo azurestair.Index) {
	for index, w := range r.waiters {
		if index <= upTo {
			w.reply(nil, azurestair.ErrNoQuorum)
			delete(r.waiters, index)
		}
	}
}

func (w proposalWaiter) reply(results []azurestair.Result, err error) {
	for i, ch := range w.replies {
		if err != nil {
			ch <- proposeReply{err: err}
			continue
		}
		ch <- proposeReply{result: results[i]}
	}
}

func (r *Replica) apply(e azurestair.LogEntry, now time.Time) error {
	batch, err := r.decodeEntry(e)
	if err != nil {
		return fmt.Errorf("log entry %d: %w", e.Index, err)
	}
	if n := len(batch.Commands); n > 0 {
		r.logTime.Observe(batch.Commands[n-1].At, now)
	}
	r.state.RequireVersion(batch.RequiredVersion)
	results := r.state.ApplyBatch(e.Index, batch.Commands)
	r.registerDepartures(batch.Commands, now)
	w, ok := r.waiters[e.Index]
	if !ok {
		return nil
	}
	delete(r.waiters, e.Index)
	if w.term != e.Term {
		w.reply(nil, azurestair.ErrNoQuorum)
		return nil
	}
	w.reply(results, nil)
	return nil
}

// registerDepartures makes the leader's registry stop new requests to departing
// upstreams.
func (r *Replica) registerDepartures(commands []azurestair.Command, now time.Time) {
	if r.registry == nil {
		return
	}
	for _, c := range commands {
		if c.Departure != nil {
			r.registry.MarkDeparted(*c.Departure, now)
		}
	}
}

func (r *Replica) handleStoreDone(job *storeJob) {
	r.storesInFlight--
	if job.joined {
		r.joining = false
		return
	}
	r.node.Stored(job.ready.Seq)
}

// maybeCompact starts encoding an image if the log has grown enough.
func (r *Replica) maybeCompact() {
	if r.encodingImage || r.full.isFull() {
		return
	}
	st := r.node.Status()
	if st.Applied-r.compactedAt < compactEntries && st.LogBytes < compactBytes {
		return
	}
	r.encodingImage = true
	r.imageEncoder.jobs <- r.state.Image()
}

// compact replaces the log up to the index of the image by the image.
func (r *Replica) compact(e imageEncodedEvent) error {
	r.encodingImage = false
	if e.err != nil {
		return e.err
	}
	if e.index <= r.compactedAt {
		return nil
	}
	if _, err := r.node.Compact(e.index, e.data); err != nil {
		return err
	}
	r.compactedAt = e.index
	return nil
}

func (r *Replica) nextDeadline() time.Time {
	var next time.Time
	if !r.full.isFull() || r.node.IsLeader() {
		next = r.node.NextDeadline()
	}
	if r.contacts.offersLeft > 0 {
		next = earlier(next, r.contacts.nextOfferAt)
	}
	if r.registry != nil && r.node.IsLeader() {
		next = earlier(earlier(next, r.registry.NextDeadline()), r.contacts.introducer.NextDeadline())
	}
	return next
}

// earlier returns the earlier of two deadlines. Zero means no deadline.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (r *Replica) status() ReplicaStatus {
	st := ReplicaStatus{
		Raft: r.node.Status(), Claims: r.state.ClaimCount(), RequiredVersion: r.state.RequiredVersion(),
		Versions: map[azurestair.InstanceID]azurestair.ProtocolVersion{}, StoreFull: r.full.isFull(),
	}
	if !r.node.IsLeader() {
		return st
	}
	for _, id := range r.otherMembers() {
		st.Versions[id] = r.peers.Version(id)
	}
	return st
}
