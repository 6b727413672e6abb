package instance

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/raft"
)

const (
	// storeDepth bounds the jobs that wait for the log writer. While one is
	// being synced, the next collects proposals; a deeper queue would only
	// spread them over more syncs.
	storeDepth = 2
	// batchBytes bounds the commands in one log entry.
	batchBytes azurestair.Bytes = 512 << 10
	// compactAfter and compactBytes say when a replica replaces its log by an image.
	compactAfter azurestair.Index = 20_000
	compactBytes azurestair.Bytes = 16 << 20
	// controlTTL is for how long a reply to a report lets an instance trust its configuration.
	controlTTL azurestair.Millis = 3_000
)

// waiter is a proposed batch whose proposers wait for its results.
type waiter struct {
	term    azurestair.Term
	replies []chan<- proposeReply
}

// ReplicaStatus describes the replicated log on an instance; the zero value
// stands for an instance that does not replicate it.
type ReplicaStatus struct {
	Raft   raft.Status
	Claims int
	// Needs is the newest protocol version that a record of the log has needed.
	Needs azurestair.ProtocolVersion
	// Versions are what the other members have announced to the leader.
	Versions map[azurestair.InstanceID]azurestair.ProtocolVersion
}

// peerList learns the addresses and versions of members of the log.
type peerList interface {
	AddPeer(a peer.Address)
	Addr(id azurestair.InstanceID) string
	Version(id azurestair.InstanceID) azurestair.ProtocolVersion
}

// Replica replicates the log and, on the leader, answers reports. It belongs
// to the control goroutine.
type Replica struct {
	log       *slog.Logger
	codec     peer.Codec
	node      *raft.Node
	state     *control.State
	transport azurestair.Transport
	peers     peerList
	// met is the snapshot whose members were looked at last.
	met      *azurestair.Snapshot
	writer   *logWriter
	imager   *imager
	notifier *notifier
	self     azurestair.InstanceID

	// logTime gives the commands that this instance proposes their times.
	logTime control.LogTime

	pending []proposeEvent
	// postponed holds reads that wait until committed entries are applied.
	postponed []event
	waiting   map[azurestair.Index]waiter
	storing   int
	// joining is true until the data folder has recorded that the log lists this instance.
	joining     bool
	imaging     bool
	compactedAt azurestair.Index

	// leading is the term in which this replica last set up its soft state.
	leading   azurestair.Term
	registry  *control.Registry
	publisher *control.Publisher
	allocator *control.Allocator
	reports   *control.ReportReceiver
	// limited is the snapshot from which the budgets' limits were derived.
	limited *azurestair.Snapshot
	// published is the configuration in effect without its document.
	published *azurestair.Config
	// saidPlans is how the log last described the plans of regions.
	saidPlans string

	// roster keeps the membership of the log; nil leaves it to operators.
	roster   *control.Roster
	rosterAt time.Time
	// peerAddr returns the address that follows from a member's id; nil when none does.
	peerAddr func(azurestair.InstanceID) string
	// keepsListing has the leader keep the list of upstreams in the log.
	keepsListing bool
	listingAt    time.Time
	// lease is how long upstreams stay confirmed; zero means the default.
	lease time.Duration
}

// newReplica starts from what the log store holds.
func newReplica(opts raft.Options, ls azurestair.LogState, now time.Time, log *slog.Logger) (*Replica, error) {
	node, err := raft.New(opts, ls, now)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		log: log, node: node, self: opts.ID, state: &control.State{},
		waiting: map[azurestair.Index]waiter{}, compactedAt: ls.Snapshot.Index,
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
	if err := r.readImage(data, &image); err != nil {
		return fmt.Errorf("read image of the control state: %w", err)
	}
	state, err := control.FromImage(image)
	if err != nil {
		return err
	}
	r.state = state
	return nil
}

// propose collects a command for the next log entry.
func (r *Replica) propose(e proposeEvent, now time.Time) {
	if _, err := r.node.ReadIndex(now); err != nil {
		e.reply <- proposeReply{err: r.notLeader()}
		return
	}
	e.command.At, e.command.ListsHolders = r.logTime.Next(now), r.mayListHolders(e.command)
	if e.command.Claim != nil {
		// The entry of this process may still read its own claim.
		claim := *e.command.Claim
		claim.SetDeadline(e.command.At)
		e.command.Claim = &claim
	}
	if err := r.checkMembers(e.command); err != nil {
		e.reply <- proposeReply{err: err}
		return
	}
	if err := r.changeMembers(e.command.Members, now); err != nil {
		e.reply <- proposeReply{err: err}
		return
	}
	r.pending = append(r.pending, e)
}

// mayListHolders reports whether the list of holders begins with the command:
// it is the first configuration, and all members of the log can read the list.
func (r *Replica) mayListHolders(c azurestair.Command) bool {
	return c.Config != nil && r.state.Config().Version == 0 && r.checkNeeds(azurestair.ProtocolAnnounced) == nil
}

// changeMembers has the log change its membership; the command itself follows
// for the audit trail. A change that is carried out already is a resend.
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

func (r *Replica) notLeader() error {
	leader := r.node.Leader()
	if leader == r.self {
		return fmt.Errorf("%w: the leader's lease has run out", azurestair.ErrNoQuorum)
	}
	return azurestair.NotLeaderError{Leader: leader, Addr: r.peers.Addr(leader)}
}

// readable reports whether a read now sees every change that was acknowledged before.
func (r *Replica) readable(now time.Time) error {
	index, err := r.node.ReadIndex(now)
	if err != nil {
		return r.notLeader()
	}
	if r.state.Applied() < index {
		return fmt.Errorf("%w: entry %d is not applied yet", azurestair.ErrNoQuorum, index)
	}
	return nil
}

// maxPostponed bounds the reads that wait for committed entries.
const maxPostponed = 4096

// postpone keeps a read until the entries that it must see are applied, which
// waits for the log writer when that has all the jobs it may hold. Refusing
// the read would cost an instance its leases just when the log is busy.
func (r *Replica) postpone(e event, now time.Time) bool {
	index, err := r.node.ReadIndex(now)
	if err != nil || r.state.Applied() >= index || len(r.postponed) >= maxPostponed {
		return false
	}
	r.postponed = append(r.postponed, e)
	return true
}

// takePostponed returns the reads to try again; those that must still wait are
// postponed anew.
func (r *Replica) takePostponed() []event {
	if r.storing >= storeDepth {
		return nil
	}
	out := r.postponed
	r.postponed = nil
	return out
}

// settle writes, sends and applies what is due, and publishes the result.
func (r *Replica) settle(now time.Time, m *Member) error {
	r.node.Tick(now)
	if err := r.work(now); err != nil {
		return err
	}
	r.lead(now, m.snapshot, m.holder.Grants())
	r.maybeCompact()
	r.maybeJoined()
	r.meetMembers(m.snapshot)
	r.meetPeers()
	return nil
}

// maybeJoined has the data folder record that this instance is listed now.
func (r *Replica) maybeJoined() {
	if !r.joining || r.storing > 0 || r.node.Status().Joining {
		return
	}
	r.storing++
	r.writer.jobs <- &storeJob{joined: true}
}

// meetMembers connects to members of the log that the settings do not list.
func (r *Replica) meetMembers(held *azurestair.Snapshot) {
	if held == nil || held == r.met {
		return
	}
	r.met = held
	members := r.node.Status().Membership
	for _, i := range held.Instances {
		if i.ID != r.self && (slices.Contains(members.Voters, i.ID) || slices.Contains(members.Learners, i.ID)) {
			r.peers.AddPeer(peer.Address{ID: i.ID, Addr: i.PeerAddr})
		}
	}
}

// work proposes the collected commands and takes what the log has to do.
func (r *Replica) work(now time.Time) error {
	for r.storing < storeDepth {
		r.flush(now)
		rd, ok := r.node.Ready()
		if !ok {
			return nil
		}
		if err := r.take(rd, now); err != nil {
			return err
		}
	}
	return nil
}

// flush proposes the collected commands as one log entry or, if they are large, several.
func (r *Replica) flush(now time.Time) {
	for len(r.pending) > 0 {
		data, n, err := r.encodeBatch()
		batch := r.pending[:n]
		r.pending = r.pending[n:]
		var index azurestair.Index
		var term azurestair.Term
		if err == nil {
			index, term, err = r.node.Propose(data, now)
		}
		w := waiter{term: term}
		for _, p := range batch {
			if err != nil {
				p.reply <- proposeReply{err: err}
				continue
			}
			w.replies = append(w.replies, p.reply)
		}
		if err == nil {
			r.waiting[index] = w
		}
	}
	r.pending = nil
}

// encodeBatch encodes as many of the collected commands as fit and returns their number.
func (r *Replica) encodeBatch() ([]byte, int, error) {
	n := len(r.pending)
	for {
		batch := commandBatch{Commands: make([]azurestair.Command, n)}
		for i, p := range r.pending[:n] {
			batch.add(i, p.command)
		}
		data, err := r.codec.Marshal(&batch)
		if err != nil || azurestair.Bytes(len(data)) <= batchBytes || n == 1 {
			return data, n, err
		}
		n = (n + 1) / 2
	}
}

// take carries out one Ready of the log.
func (r *Replica) take(rd raft.Ready, now time.Time) error {
	for _, m := range rd.Messages {
		r.transport.Send(m)
	}
	if rd.Seq > 0 {
		r.storing++
		r.writer.jobs <- &storeJob{ready: rd}
	}
	if rd.Snapshot != nil && rd.Restore {
		if err := r.restore(rd.Snapshot.Data); err != nil {
			return err
		}
		r.compactedAt = rd.Snapshot.Meta.Index
		r.abandon(rd.Snapshot.Meta.Index)
	}
	for _, e := range rd.Committed {
		if err := r.apply(e, now); err != nil {
			return err
		}
	}
	return nil
}

// abandon ends the waits for entries that a snapshot has replaced.
func (r *Replica) abandon(upTo azurestair.Index) {
	for index, w := range r.waiting {
		if index <= upTo {
			w.answer(nil, azurestair.ErrNoQuorum)
			delete(r.waiting, index)
		}
	}
}

func (w waiter) answer(results []azurestair.Result, err error) {
	for i, ch := range w.replies {
		if err != nil {
			ch <- proposeReply{err: err}
			continue
		}
		ch <- proposeReply{result: results[i]}
	}
}

func (r *Replica) apply(e azurestair.LogEntry, now time.Time) error {
	batch, err := r.readEntry(e)
	if err != nil {
		return fmt.Errorf("log entry %d: %w", e.Index, err)
	}
	if n := len(batch.Commands); n > 0 {
		r.logTime.Observe(batch.Commands[n-1].At, now)
	}
	r.state.Require(batch.Needs)
	results := r.state.ApplyBatch(e.Index, batch.Commands)
	r.depart(batch.Commands, now)
	w, ok := r.waiting[e.Index]
	if !ok {
		return nil
	}
	delete(r.waiting, e.Index)
	if w.term != e.Term {
		w.answer(nil, azurestair.ErrNoQuorum)
		return nil
	}
	w.answer(results, nil)
	return nil
}

// depart has the leader's registry end new work for upstreams that depart.
func (r *Replica) depart(commands []azurestair.Command, now time.Time) {
	if r.registry == nil {
		return
	}
	for _, c := range commands {
		if c.Departure != nil {
			r.registry.Depart(*c.Departure, now)
		}
	}
}

func (r *Replica) stored(job *storeJob) {
	r.storing--
	if job.joined {
		r.joining = false
		return
	}
	r.node.Stored(job.ready.Seq)
}

// maybeCompact starts to encode an image when the log has grown enough.
func (r *Replica) maybeCompact() {
	if r.imaging {
		return
	}
	st := r.node.Status()
	if st.Applied-r.compactedAt < compactAfter && st.LogBytes < compactBytes {
		return
	}
	r.imaging = true
	r.imager.jobs <- r.state.Image()
}

// compact replaces the log up to the image's index by the image.
func (r *Replica) compact(e imageEvent) error {
	r.imaging = false
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
	next := r.node.NextDeadline()
	if r.registry != nil && r.node.IsLeader() {
		next = earlier(next, r.registry.NextDeadline())
	}
	return next
}

// earlier returns the earlier of two deadlines, of which zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (r *Replica) status() ReplicaStatus {
	st := ReplicaStatus{
		Raft: r.node.Status(), Claims: r.state.Claims(), Needs: r.state.Needs(),
		Versions: map[azurestair.InstanceID]azurestair.ProtocolVersion{},
	}
	if !r.node.IsLeader() {
		return st
	}
	for _, id := range r.otherMembers() {
		st.Versions[id] = r.peers.Version(id)
	}
	return st
}
