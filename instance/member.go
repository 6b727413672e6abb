package instance

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/lookup"
	"azurestair.example/azurestair/peer"
)

const (
	// reportInterval is the interval between reports while nothing changes.
	reportInterval = time.Second
	// minReportInterval is the minimum time between two reports.
	minReportInterval = 20 * time.Millisecond
	// renewInterval is the interval between reports while the entry wants more
	// than its floors. A lease in use then has about 1.7 s left when the leader
	// fails; elections were observed to take up to 1.45 s. With one report a
	// second, some leases expired before there was a new leader, which may
	// grant only floors for GracePeriod.
	renewInterval = 200 * time.Millisecond
	// maxStartWait bounds how long a new instance without budgets is kept out
	// of lookups. A new leader grants none during its grace period.
	maxStartWait = control.GracePeriod + reportInterval
	// tickInterval is the interval at which leases, demands and lookup table
	// changes are checked.
	tickInterval = 100 * time.Millisecond
	// announceMargin is how long before the control deadline this entry stops
	// acknowledging announcements. It is half of the control TTL: the lease of
	// an upstream began with the last report that the leader received, so an
	// upstream that is turned away here still has time to announce itself at
	// another entry before its lease expires.
	announceMargin = 1500 * time.Millisecond
	// startGrace is how long after its start an instance acknowledges
	// announcements although it has not reached the leader yet. When a whole
	// fleet starts, all instances would turn them away, and the upstreams would
	// repeat them in vain at each.
	startGrace = 2 * time.Second
	// defaultAnnouncementTTL is how long an announcement is valid at this
	// entry.
	defaultAnnouncementTTL = 2 * time.Second
	// repeatedLogInterval is the minimum time between log lines about the same
	// lasting problem: no contact with the leader, or a leader with an older
	// configuration.
	repeatedLogInterval = 5 * time.Second
)

// Member follows the leader. Only the control goroutine uses it.
type Member struct {
	log      *slog.Logger
	self     azurestair.InstanceInfo
	entry    *Entry
	reporter *reporter

	snapshot *azurestair.Snapshot
	// provisional is true while no leader has confirmed the snapshot in this
	// run: it was stored by this instance or comes from another one.
	provisional bool
	// saveSnapshot stores a snapshot for the next run; it may be nil. savedFor
	// is the last snapshot that was stored.
	saveSnapshot func(*azurestair.Snapshot)
	savedFor     *azurestair.Snapshot
	// leaderReachedOnce is closed when the first reply of a leader is applied.
	leaderReachedOnce chan struct{}
	startedAt         time.Time
	// reportAccepted is true once a leader has accepted a report of this
	// process.
	reportAccepted bool
	// term is the newest leader term from which a reply was applied.
	term            azurestair.Term
	controlDeadline time.Time
	heardAt         time.Time
	holder          control.LeaseHolder
	reportSender    control.ReportSender
	traffic         trafficReporter
	table           *lookup.Table
	locations       *lookup.LocationIndex
	index           configIndex
	tableComplete   bool
	announced       map[azurestair.UpstreamID]*announcedUpstream

	// started is true once the instance has received its first budgets or
	// startBy has passed.
	started bool
	startBy time.Time
	leaving bool
	// leaveAcked is closed when the leader has accepted a report that announces
	// the shutdown of this instance. leavingSent is true while such a report is
	// in flight.
	leaveAcked  chan<- struct{}
	leavingSent bool
	// finalReportAcked is closed when the final report has been answered. It is
	// nil until the final report is requested.
	finalReportAcked chan<- struct{}
	finalReportSent  bool
	reportInFlight   bool
	reportDue        bool
	reportSentAt     time.Time
	// aliveListedAt is when a report last listed the upstreams that are alive.
	aliveListedAt time.Time
	nextTick      time.Time
	nextTableStep time.Time
	leaderReached bool
	lostLoggedAt  time.Time
	// configLostLoggedAt is when the log last mentioned that the leader has an
	// older configuration.
	configLostLoggedAt time.Time
	// otherFleetLoggedAt is when the log last mentioned a leader of another
	// fleet.
	otherFleetLoggedAt time.Time

	// learnPeers receives the control instances of each new snapshot; it may be
	// nil.
	learnPeers func([]peer.Address)
	// learnSource receives a control instance that holds a snapshot; it may be
	// nil.
	learnSource func(peer.Address)
	// followLeader directs reports to the given leader; it may be nil.
	followLeader func(peer.Address)
	// fleet is the fleet that this instance belongs to; empty if it does not
	// know.
	fleet azurestair.FleetID
	// announcementTTL is how long an announcement is valid at this entry.
	announcementTTL time.Duration
}

// announcedUpstream is an upstream that announces itself to this entry.
type announcedUpstream struct {
	latest     azurestair.Announcement
	receivedAt time.Time
	// coldEnd is when the upstream becomes warm; zero if it is warm.
	coldEnd  time.Time
	unsent   bool
	sentLoad azurestair.Load
	// sentColdEnd is the end that was reported last.
	sentColdEnd time.Time
}

func newMember(self azurestair.InstanceInfo, entry *Entry, rep *reporter, log *slog.Logger) *Member {
	return &Member{
		log: log, self: self, entry: entry, reporter: rep, reportDue: true,
		announced: map[azurestair.UpstreamID]*announcedUpstream{}, announcementTTL: defaultAnnouncementTTL,
		leaderReachedOnce: make(chan struct{}),
	}
}

// requestReport makes the member send a report as soon as possible.
func (m *Member) requestReport() { m.reportDue = true }

// leave removes this instance from lookups.
func (m *Member) leave(acked chan<- struct{}, now time.Time) {
	m.leaving, m.leaveAcked = true, acked
	m.requestReport()
	m.publish(now)
}

// requestFinalReport makes the next report the final one.
func (m *Member) requestFinalReport(acked chan<- struct{}) {
	m.finalReportAcked = acked
	m.requestReport()
}

// announce handles an upstream's announcement.
func (m *Member) announce(a azurestair.Announcement, now time.Time) error {
	old, known := m.announced[a.Upstream]
	if known && !a.IsNewerThan(old.latest) {
		return azurestair.ErrConflict
	}
	if !known && len(m.announced) >= azurestair.MaxReportUpstreams {
		return azurestair.ErrFull
	}
	if !known {
		old = &announcedUpstream{}
		m.announced[a.Upstream] = old
	}
	coldEnd := a.ColdEnd(now)
	if !known || !old.latest.IsRepeatedBy(a) || !azurestair.IsSameColdEnd(old.sentColdEnd, coldEnd) {
		old.unsent = true
		m.requestReport()
	}
	old.latest, old.receivedAt, old.coldEnd = a, now, coldEnd
	if m.entry != nil {
		m.entry.confirmState(a)
	}
	if m.controlDeadline.Sub(now) < announceMargin && now.Sub(m.startedAt) >= startGrace {
		// This instance may not reach the leader in time, so the upstream has
		// to announce itself to another one.
		return azurestair.ErrNoQuorum
	}
	return nil
}

// advance runs the periodic tick and sends a report if one is due.
func (m *Member) advance(now time.Time) {
	if !now.Before(m.nextTick) {
		m.nextTick = now.Add(tickInterval)
		m.tick(now)
	}
	if m.reportInFlight || m.finalReportSent || now.Sub(m.reportSentAt) < minReportInterval {
		return
	}
	if m.reportDue || now.Sub(m.aliveListedAt) >= reportInterval {
		m.sendReport(now)
	}
}

func (m *Member) tick(now time.Time) {
	for id, a := range m.announced {
		if now.Sub(a.receivedAt) > m.announcementTTL {
			delete(m.announced, id)
		}
	}
	if m.entry == nil {
		return
	}
	m.stepTable(now)
	m.entry.tick(now)
	if !m.started {
		m.publish(now)
	}
	if m.entry.hasWaiting(now) || m.isRenewalDue(now) {
		m.requestReport()
	}
}

// isRenewalDue reports whether the leases should be renewed before the next
// regular report because this entry wants more than its floors.
func (m *Member) isRenewalDue(now time.Time) bool {
	if m.snapshot == nil || now.Sub(m.reportSentAt) < renewInterval {
		return false
	}
	return slices.ContainsFunc(m.entry.demands(m.snapshot, &m.holder, now), func(d azurestair.Demand) bool {
		return d.Want > d.Floor
	})
}

// stepTable performs the next step of a gradual lookup table change.
func (m *Member) stepTable(now time.Time) {
	if m.snapshot == nil || m.tableComplete || now.Before(m.nextTableStep) {
		return
	}
	m.buildTable(now)
	m.publish(now)
}

func (m *Member) buildTable(now time.Time) {
	d := m.snapshot.Config.Defaults.WithDefaults()
	m.table, m.tableComplete = lookup.Build(m.table, lookup.EntriesOf(m.snapshot), d.LookupMovePercent)
	if !m.tableComplete {
		m.nextTableStep = now.Add(d.ShiftIntervalMs.Duration())
	}
}

func (m *Member) nextDeadline() time.Time {
	next := m.nextTick
	if m.reportInFlight || m.finalReportSent {
		return next
	}
	at := m.reportSentAt.Add(minReportInterval)
	if regular := m.aliveListedAt.Add(reportInterval); !m.reportDue && regular.After(at) {
		at = regular
	}
	return earlier(at, next)
}

// sendReport passes a report to the reporter.
func (m *Member) sendReport(now time.Time) {
	r := azurestair.Report{Instance: m.self, Leaving: m.finalReportAcked != nil, Fleet: m.fleet}
	m.finalReportSent, m.leavingSent = r.Leaving, m.leaving
	r.Instance.Ready = m.entry != nil && m.entry.isReady(now)
	r.Instance.ActiveConfig = m.snapshot.ConfigVersion()
	if m.snapshot != nil {
		r.SnapshotTerm, r.SnapshotRevision = m.snapshot.Term, m.snapshot.Revision
	}
	m.addUpstreams(&r, now)
	m.traffic.addTo(&r, m.entry, m.snapshot, now)
	if m.entry != nil && m.snapshot != nil {
		r.Demands = m.entry.demands(m.snapshot, &m.holder, now)
		for i, d := range r.Demands {
			r.Demands[i].Leased = m.holder.Leased(d.Resource, now)
		}
	}
	m.reportDue, m.reportInFlight, m.reportSentAt = false, true, now
	m.reporter.jobs <- m.reportSender.Prepare(r)
}

// addUpstreams adds the announced upstreams to a report. Upstreams without
// changes are listed only once per reportInterval: a list of 3,000 upstreams
// takes 45 KB, and while other upstreams change, a report is sent every
// minReportInterval.
//
// An id in Report.Alive does not tell which process of the upstream is alive, and
// would keep a process listed after its end if the leader lists another one than
// the one that announces itself here. If the leader lists an earlier process, the
// announcement is sent again. If it lists a later one at another address, the id is
// left out. At the same address the process that announces itself is the one that
// callers reach, whatever its clock says.
func (m *Member) addUpstreams(r *azurestair.Report, now time.Time) {
	listsAlive := len(m.announced) == 0 || now.Sub(m.aliveListedAt) >= reportInterval
	if listsAlive {
		m.aliveListedAt = now
	}
	for id, a := range m.announced {
		listed, isListed := m.snapshot.Upstream(id)
		isEarlier := isListed && listed.Announcement.Incarnation < a.latest.Incarnation
		switch {
		case a.unsent || a.latest.Load != a.sentLoad || listsAlive && isEarlier:
			r.Announcements = append(r.Announcements, a.latest.WithColdEnd(a.coldEnd, now))
			a.unsent, a.sentLoad, a.sentColdEnd = false, a.latest.Load, a.coldEnd
		case isListed && listed.Announcement.IsNewerThan(a.latest) && listed.Announcement.Addr != a.latest.Addr:
			// Without incarnations, the processes differ in their sequences.
		case listsAlive:
			r.Alive = append(r.Alive, id)
		}
	}
	slices.Sort(r.Alive)
}

// handleReportDone processes the leader's reply to the last report.
func (m *Member) handleReportDone(e reportDoneEvent, now time.Time) {
	m.reportInFlight = false
	if m.finalReportSent {
		close(m.finalReportAcked)
		return
	}
	if e.err != nil {
		m.handleReportError(e.err, now)
		return
	}
	if m.leavingSent && m.leaveAcked != nil {
		close(m.leaveAcked)
		m.leaveAcked = nil
	}
	if e.reply.SupersededBy != 0 {
		m.handleSuperseded(e.reply.SupersededBy, now)
		return
	}
	if !m.leaderReached {
		m.leaderReached = true
		m.log.Info("control reached", "term", e.reply.Term)
	}
	m.reportAccepted = true
	grants, ok := m.reportSender.HandleReply(e.reply)
	if !ok {
		m.resendUpstreams()
		m.requestReport()
		return
	}
	before, lastTerm := m.snapshot, m.term
	if err := m.applyReply(e.reply); err != nil {
		m.logRejectedReply(err, now)
		return
	}
	if lastTerm > 0 && m.term > lastTerm {
		// The new leader lists what its predecessor had published.
		m.resendUpstreams()
		m.requestReport()
	}
	if d := e.sent.Add(e.reply.ControlTTLMs.Duration()); d.After(m.controlDeadline) {
		m.controlDeadline = d
	}
	m.heardAt = m.confirmedAt(e)
	m.signalLeaderReached()
	m.saveForNextRun()
	m.holder.Apply(grants, e.sent, now)
	m.markUnsent(e.reply.Unknown)
	if m.snapshot != before {
		m.snapshotChanged(before, now)
	} else if m.entry != nil && m.snapshot != nil {
		m.entry.refreshConfirmations(m.snapshot)
	}
	m.publish(now)
}

// signalLeaderReached ends the search for a provisional snapshot.
func (m *Member) signalLeaderReached() {
	select {
	case <-m.leaderReachedOnce:
	default:
		close(m.leaderReachedOnce)
	}
}

// saveForNextRun stores the snapshot if it differs from the stored one in what
// matters to an instance that starts with it.
func (m *Member) saveForNextRun() {
	if m.saveSnapshot == nil || m.snapshot == nil || m.snapshot == m.savedFor || !isProvisionallyUsable(m.snapshot) {
		return
	}
	if m.savedFor == nil || m.savedFor.Term != m.snapshot.Term || needsNotice(m.savedFor, m.snapshot) {
		m.savedFor = m.snapshot
		m.saveSnapshot(m.snapshot)
	}
}

// handleSuperseded handles the reply of a leader that knows a later incarnation
// of this instance. If no leader has accepted a report of this process yet,
// that incarnation belongs to an earlier process whose clock was ahead, and the
// member takes a higher one. Otherwise another process is running as this
// instance.
func (m *Member) handleSuperseded(known azurestair.Incarnation, now time.Time) {
	if m.reportAccepted {
		m.handleReportError(errSuperseded, now)
		return
	}
	m.log.Info("incarnation raised; an earlier process of this instance had a clock that was ahead",
		"incarnation", known+1, "before", m.self.Incarnation)
	m.self.Incarnation = known + 1
	m.resendUpstreams()
	m.requestReport()
}

var errSuperseded = fmt.Errorf("%w: a later process reports as this instance", azurestair.ErrConflict)

// handleReportError logs a failed report. The next one contains all
// announcements again.
func (m *Member) handleReportError(err error, now time.Time) {
	if m.leaderReached || now.Sub(m.lostLoggedAt) >= repeatedLogInterval {
		m.leaderReached, m.lostLoggedAt = false, now
		m.log.Warn("control not reached", "err", err, "term", m.term, "controlUntil", m.controlDeadline)
	}
	m.resendUpstreams()
}

// resendUpstreams makes the next report contain the announcements of all
// upstreams, because the leader may not have got or used them before. An id in
// Report.Alive does not tell it which process of the upstream is alive.
func (m *Member) resendUpstreams() {
	m.aliveListedAt = time.Time{}
	for _, a := range m.announced {
		a.unsent = true
	}
}

// logRejectedReply logs a reply that could not be applied. A configuration
// older than the one in force means that the log has lost an accepted change,
// which only an operator can repair.
func (m *Member) logRejectedReply(err error, now time.Time) {
	if !errors.Is(err, errConfigLost) {
		m.log.Warn("snapshot rejected", "err", err)
		return
	}
	if now.Sub(m.configLostLoggedAt) >= repeatedLogInterval {
		m.configLostLoggedAt = now
		m.log.Error("the log has lost an accepted configuration; apply it again", "inForce", m.snapshot.ConfigVersion(), "err", err)
	}
}

// errConfigLost reports a leader whose configuration is older than the one in
// force.
var errConfigLost = fmt.Errorf("%w: the leader has an older configuration than this instance", azurestair.ErrConflict)

// markUnsent marks the announcements that the leader does not know to be sent
// again.
func (m *Member) markUnsent(unknown []azurestair.UpstreamID) {
	for _, id := range unknown {
		if a, ok := m.announced[id]; ok {
			a.unsent = true
			m.requestReport()
		}
	}
}

// applyReply applies the snapshot or delta of a reply. It never replaces the
// configuration in force by an older one.
func (m *Member) applyReply(reply azurestair.ReportReply) error {
	if reply.Term < m.term {
		return fmt.Errorf("%w: reply of term %d after one of term %d", azurestair.ErrConflict, reply.Term, m.term)
	}
	next := reply.Snapshot
	if reply.Delta != nil {
		if m.snapshot == nil || m.snapshot.Term != reply.Term {
			m.snapshot = m.snapshot.WithoutRevision()
			return azurestair.ErrConflict
		}
		s, err := control.ApplyDelta(m.snapshot, reply.Delta)
		if err != nil {
			m.snapshot = m.snapshot.WithoutRevision()
			return err
		}
		next = s
	}
	switch {
	case next == nil:
		m.term, m.provisional = reply.Term, false
		return nil
	case next.Config == nil:
		return fmt.Errorf("%w: snapshot without configuration", azurestair.ErrInvalid)
	case m.fleet.Conflicts(next.Fleet):
		return fmt.Errorf("%w: the leader belongs to fleet %s", azurestair.ErrOtherFleet, next.Fleet)
	case next.Term < m.term:
		return azurestair.ErrConflict
	case next.ConfigVersion() < m.snapshot.ConfigVersion():
		return fmt.Errorf("%w: %d", errConfigLost, next.ConfigVersion())
	}
	m.snapshot, m.term, m.provisional = withPlans(next), reply.Term, false
	m.fleet = cmp.Or(m.fleet, next.Fleet)
	return nil
}

// withPlans returns the snapshot with region plans. A leader of an earlier
// version publishes none; the plans are then computed for equal traffic in all
// regions.
func withPlans(s *azurestair.Snapshot) *azurestair.Snapshot {
	if len(s.Plans) > 0 || s.Config.LeasesBudgets() {
		return s
	}
	var planner control.RegionPlanner
	next := *s
	next.Plans = planner.Step(s, nil, time.Time{})
	return &next
}

// snapshotChanged reacts to a new snapshot.
func (m *Member) snapshotChanged(before *azurestair.Snapshot, now time.Time) {
	if m.learnPeers != nil {
		m.learnPeers(controlPeers(m.snapshot))
	}
	if before == nil || before.Config != m.snapshot.Config {
		m.index = newConfigIndex(m.snapshot.Config)
		m.holder.Retain(m.snapshot.Config.HasResource, now)
	}
	if before.ConfigVersion() != m.snapshot.ConfigVersion() {
		m.log.Info("configuration in force", "version", m.snapshot.ConfigVersion(), "commit", m.snapshot.Commit)
		m.requestReport()
	}
	if before == nil || before.Term != m.snapshot.Term || hasNewDeparture(before, m.snapshot) {
		// Only a second report tells a new leader which leases it may extend.
		// For a departure, the upstream waits until the leader knows that this
		// entry holds it.
		m.requestReport()
	}
	if m.entry == nil {
		return
	}
	m.buildTable(now)
	m.locations = lookup.NewLocationIndex(m.locations, m.snapshot)
	m.entry.update(m.snapshot)
}

// hasNewDeparture reports whether a process of an upstream that accepted new
// requests before, or was not listed, accepts none.
func hasNewDeparture(before, after *azurestair.Snapshot) bool {
	departed := map[azurestair.Departure]bool{}
	for _, u := range before.Upstreams {
		departed[departureOf(u.Announcement)] = u.Announcement.State != azurestair.StateServing
	}
	return slices.ContainsFunc(after.Upstreams, func(u azurestair.UpstreamInfo) bool {
		return u.Announcement.State != azurestair.StateServing && !departed[departureOf(u.Announcement)]
	})
}

// departureOf returns the departure of the process that sent an announcement.
func departureOf(a azurestair.Announcement) azurestair.Departure {
	return azurestair.Departure{Upstream: a.Upstream, Incarnation: a.Incarnation}
}

// controlPeers lists the control instances of a snapshot.
func controlPeers(s *azurestair.Snapshot) []peer.Address {
	var out []peer.Address
	for _, i := range s.Instances {
		if i.Control && i.PeerAddr != "" {
			out = append(out, peer.Address{ID: i.ID, Addr: i.PeerAddr})
		}
	}
	return out
}

// publish makes the current state visible to traffic.
func (m *Member) publish(now time.Time) {
	if m.entry == nil || m.snapshot == nil {
		return
	}
	wasReady := m.entry.isReady(now)
	v := &view{
		snapshot: m.snapshot, table: m.table, locations: m.locations, routes: m.index.routes, workspaces: m.index.workspaces, leases: m.holder.Leases(),
		controlDeadline: m.controlDeadline, heardAt: m.heardAt, contact: m.contact(), leaving: m.leaving,
	}
	if m.startBy.IsZero() {
		m.startBy = now.Add(maxStartWait)
	}
	m.started = m.started || !now.Before(m.startBy) || v.hasBudgets(m.entry.self.Region, now)
	v.starting = !m.started
	m.entry.publish(v)
	if m.entry.isReady(now) != wasReady {
		m.requestReport()
	}
}
