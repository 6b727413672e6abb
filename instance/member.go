package instance

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/lookup"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/routing"
)

const (
	// reportEvery is the interval of reports while nothing changes.
	reportEvery = time.Second
	// reportSpacing is the least time between two reports.
	reportSpacing = 20 * time.Millisecond
	// renewEvery is the interval of reports while more than floors is wanted. A
	// lease in use then has about 1.7 s left when the leader dies, and elections
	// were seen to take up to 1.45 s. With a report a second some leases ran out
	// before there was a new leader, which may grant only floors for QuietTime.
	renewEvery = 200 * time.Millisecond
	// startWait is how long a new instance stays out of look-ups without
	// budgets. A new leader gives it none during its quiet time.
	startWait = control.QuietTime + reportEvery
	// tickEvery is how often leases, demands and look-up moves are looked at.
	tickEvery = 100 * time.Millisecond
	// announceMargin is how much of the control deadline must be left to take an
	// announcement. Half of it lets an upstream, whose lease began with the last
	// report that the leader got, announce itself elsewhere before it lapses.
	announceMargin = 1500 * time.Millisecond
	// announcedFor is how long an upstream counts as announcing itself here.
	announcedFor = 2 * time.Second
	// lostEvery is how often the log says that control is still not reached.
	lostEvery = 5 * time.Second
)

// Member follows the leader. It belongs to the control goroutine.
type Member struct {
	log      *slog.Logger
	self     azurestair.InstanceInfo
	entry    *Entry
	reporter *reporter

	snapshot *azurestair.Snapshot
	// accepted is true once a leader has taken over a report of this process.
	accepted bool
	// term is the newest term of a leader whose reply was taken over.
	term            azurestair.Term
	controlDeadline time.Time
	heardAt         time.Time
	holder          control.Holder
	reports         control.ReportSender
	traffic         control.TrafficMeter
	table           *lookup.Table
	places          *lookup.Places
	routes          *routing.Routes
	tableDone       bool
	announced       map[azurestair.UpstreamID]*announced

	// started is true once the instance has had its first budgets, or startBy has come.
	started bool
	startBy time.Time
	leaving bool
	// leftKnown is closed when the leader has taken a report that says that
	// this instance leaves; saidLeaving is true while such a report is on its way.
	leftKnown   chan<- struct{}
	saidLeaving bool
	// gone is closed when the last report has been answered; nil before the end.
	gone      chan<- struct{}
	lastSent  bool
	reporting bool
	due       bool
	sentAt    time.Time
	// aliveAt is when a report last listed the upstreams that live.
	aliveAt   time.Time
	nextTick  time.Time
	nextMove  time.Time
	connected bool
	saidLost  time.Time
	// saidAhead is when the log last said that the leader has an older configuration.
	saidAhead time.Time

	// learn takes the control instances of each new snapshot; it may be nil.
	learn func([]peer.Address)
	// follow has reports go to the given leader; it may be nil.
	follow func(azurestair.InstanceID)
	// announcedFor is how long an upstream counts as announcing itself here.
	announcedFor time.Duration
}

// announced is an upstream that announces itself at this entry.
type announced struct {
	last    azurestair.Announcement
	heard   time.Time
	unsent  bool
	sentNow azurestair.Load
}

func newMember(self azurestair.InstanceInfo, entry *Entry, rep *reporter, log *slog.Logger) *Member {
	return &Member{
		log: log, self: self, entry: entry, reporter: rep, due: true,
		announced: map[azurestair.UpstreamID]*announced{}, announcedFor: announcedFor,
	}
}

// reportSoon has the next report sent at once.
func (m *Member) reportSoon() { m.due = true }

// noticed has the next report sent at once, to a leader of a newer term if the
// notice names one. The report that may be on its way to the old one ends.
func (m *Member) noticed(n azurestair.Notice) {
	if n.Term > m.term && n.Leader != "" && m.follow != nil {
		m.follow(n.Leader)
	}
	m.reportSoon()
}

// leave takes this instance out of look-ups.
func (m *Member) leave(known chan<- struct{}, now time.Time) {
	m.leaving, m.leftKnown = true, known
	m.reportSoon()
	m.publish(now)
}

// goneSoon has the last report sent next.
func (m *Member) goneSoon(done chan<- struct{}) {
	m.gone = done
	m.reportSoon()
}

// announce takes an upstream's announcement.
func (m *Member) announce(a azurestair.Announcement, now time.Time) error {
	old, known := m.announced[a.Upstream]
	if known && !a.Newer(old.last) {
		return azurestair.ErrConflict
	}
	if !known && len(m.announced) >= azurestair.MaxReportUpstreams {
		return azurestair.ErrFull
	}
	if !known {
		old = &announced{}
		m.announced[a.Upstream] = old
	}
	if !known || !old.last.IsRepeated(a) {
		old.unsent = true
		m.reportSoon()
	}
	old.last, old.heard = a, now
	if m.entry != nil {
		m.entry.confirm(a.Service, a.Upstream, a.State)
	}
	if m.controlDeadline.Sub(now) < announceMargin {
		// The leader does not hear of the announcement through this instance,
		// so that the upstream has to announce itself at another one.
		return azurestair.ErrNoQuorum
	}
	return nil
}

// settle sends a report when one is due and keeps the published view up to date.
func (m *Member) settle(now time.Time) {
	if !now.Before(m.nextTick) {
		m.nextTick = now.Add(tickEvery)
		m.tick(now)
	}
	if m.reporting || m.lastSent || now.Sub(m.sentAt) < reportSpacing {
		return
	}
	if m.due || now.Sub(m.aliveAt) >= reportEvery {
		m.send(now)
	}
}

func (m *Member) tick(now time.Time) {
	for id, a := range m.announced {
		if now.Sub(a.heard) > m.announcedFor {
			delete(m.announced, id)
		}
	}
	if m.entry == nil {
		return
	}
	m.moveTable(now)
	m.entry.tick(now)
	if !m.started {
		m.publish(now)
	}
	if m.entry.isPressed(now) || m.isRenewalDue(now) {
		m.reportSoon()
	}
}

// isRenewalDue reports whether the leases should be renewed before the next
// regular report, because this entry wants more than its floors.
func (m *Member) isRenewalDue(now time.Time) bool {
	if m.snapshot == nil || now.Sub(m.sentAt) < renewEvery {
		return false
	}
	return slices.ContainsFunc(m.entry.demands(m.snapshot, &m.holder, now), func(d azurestair.Demand) bool {
		return d.Want > d.Floor
	})
}

// moveTable takes the next step of a planned change of the look-up table.
func (m *Member) moveTable(now time.Time) {
	if m.snapshot == nil || m.tableDone || now.Before(m.nextMove) {
		return
	}
	m.buildTable(now)
	m.publish(now)
}

func (m *Member) buildTable(now time.Time) {
	d := m.snapshot.Config.Defaults.WithDefaults()
	m.table, m.tableDone = lookup.Build(m.table, lookup.EntriesOf(m.snapshot), d.LookupMovePercent)
	if !m.tableDone {
		m.nextMove = now.Add(d.ShiftIntervalMs.Duration())
	}
}

func (m *Member) nextDeadline() time.Time {
	next := m.nextTick
	if m.reporting || m.lastSent {
		return next
	}
	at := m.sentAt.Add(reportSpacing)
	if regular := m.aliveAt.Add(reportEvery); !m.due && regular.After(at) {
		at = regular
	}
	return earlier(at, next)
}

// send hands a report to the reporter.
func (m *Member) send(now time.Time) {
	r := azurestair.Report{Instance: m.self, Leaving: m.gone != nil}
	m.lastSent, m.saidLeaving = r.Leaving, m.leaving
	r.Instance.Ready = m.entry != nil && m.entry.isReady(now)
	r.Instance.InForce = m.snapshot.ConfigVersion()
	if m.snapshot != nil {
		r.HeldTerm, r.HeldRevision = m.snapshot.Term, m.snapshot.Revision
	}
	m.addUpstreams(&r, now)
	if m.entry != nil && m.snapshot != nil && !m.snapshot.Config.IsLeased() {
		r.Traffic = m.traffic.Rates(m.entry.trafficCounts(), now)
	}
	if m.entry != nil && m.snapshot != nil {
		r.Demands = m.entry.demands(m.snapshot, &m.holder, now)
		for i, d := range r.Demands {
			r.Demands[i].Held = m.holder.Leased(d.Resource, now)
		}
	}
	m.due, m.reporting, m.sentAt = false, true, now
	m.reporter.jobs <- m.reports.Prepare(r)
}

// addUpstreams adds what upstreams have announced. Those that only live are
// listed once in reportEvery: 3,000 of them take 45 KB, and while others
// announce news a report goes out each reportSpacing.
func (m *Member) addUpstreams(r *azurestair.Report, now time.Time) {
	listsAlive := len(m.announced) == 0 || now.Sub(m.aliveAt) >= reportEvery
	if listsAlive {
		m.aliveAt = now
	}
	for id, a := range m.announced {
		switch {
		case a.unsent || a.last.Load != a.sentNow:
			r.Announcements = append(r.Announcements, a.last)
			a.unsent, a.sentNow = false, a.last.Load
		case listsAlive:
			r.Alive = append(r.Alive, id)
		}
	}
	slices.Sort(r.Alive)
}

// reported takes over the leader's reply to the last report.
func (m *Member) reported(e reportedEvent, now time.Time) {
	m.reporting = false
	if m.lastSent {
		close(m.gone)
		return
	}
	if e.err != nil {
		m.failed(e.err, now)
		return
	}
	if m.saidLeaving && m.leftKnown != nil {
		close(m.leftKnown)
		m.leftKnown = nil
	}
	if e.reply.Superseded != 0 {
		m.superseded(e.reply.Superseded, now)
		return
	}
	if !m.connected {
		m.connected = true
		m.log.Info("control reached", "term", e.reply.Term)
	}
	m.accepted = true
	grants, ok := m.reports.Take(e.reply)
	if !ok {
		m.aliveAt = time.Time{}
		m.reportSoon()
		return
	}
	before := m.snapshot
	if err := m.adopt(e.reply); err != nil {
		m.rejected(err, now)
		return
	}
	if d := e.sent.Add(e.reply.ControlTTLMs.Duration()); d.After(m.controlDeadline) {
		m.controlDeadline = d
	}
	m.heardAt = e.sent
	m.holder.Apply(grants, e.sent, now)
	m.resend(e.reply.Unknown)
	if m.snapshot != before {
		m.changed(before, now)
	} else if m.entry != nil && m.snapshot != nil {
		m.entry.contact(m.snapshot)
	}
	m.publish(now)
}

// superseded takes an incarnation above the known one if no leader has accepted
// a report of this process: it started after a process of this instance whose
// clock was ahead. Otherwise another process runs as this instance.
func (m *Member) superseded(known azurestair.Incarnation, now time.Time) {
	if m.accepted {
		m.failed(errSuperseded, now)
		return
	}
	m.log.Info("incarnation raised; an earlier process of this instance had a clock that was ahead",
		"incarnation", known+1, "before", m.self.Incarnation)
	m.self.Incarnation = known + 1
	m.reportSoon()
}

var errSuperseded = fmt.Errorf("%w: a later process reports as this instance", azurestair.ErrConflict)

// failed keeps what has not reached the leader for the next report.
func (m *Member) failed(err error, now time.Time) {
	if m.connected || now.Sub(m.saidLost) >= lostEvery {
		m.connected, m.saidLost = false, now
		m.log.Warn("control not reached", "err", err, "term", m.term, "controlUntil", m.controlDeadline)
	}
	m.aliveAt = time.Time{}
	for _, a := range m.announced {
		a.unsent = true
	}
}

// rejected logs a snapshot that was not taken over. One that is older than what
// is in force here says that the log has lost an accepted change, which only an
// operator can mend.
func (m *Member) rejected(err error, now time.Time) {
	if !errors.Is(err, errConfigLost) {
		m.log.Warn("snapshot rejected", "err", err)
		return
	}
	if now.Sub(m.saidAhead) >= lostEvery {
		m.saidAhead = now
		m.log.Error("the log has lost an accepted configuration; apply it again", "inForce", m.snapshot.ConfigVersion(), "err", err)
	}
}

// errConfigLost reports a leader whose configuration is older than the one in force.
var errConfigLost = fmt.Errorf("%w: the leader has an older configuration than this instance", azurestair.ErrConflict)

// resend repeats announcements that the leader does not know.
func (m *Member) resend(unknown []azurestair.UpstreamID) {
	for _, id := range unknown {
		if a, ok := m.announced[id]; ok {
			a.unsent = true
			m.reportSoon()
		}
	}
}

// adopt takes over the snapshot or delta of a reply. An older configuration
// than the one in force is never taken over.
func (m *Member) adopt(reply azurestair.ReportReply) error {
	if reply.Term < m.term {
		return fmt.Errorf("%w: reply of term %d after one of term %d", azurestair.ErrConflict, reply.Term, m.term)
	}
	next := reply.Snapshot
	if reply.Delta != nil {
		if m.snapshot == nil || m.snapshot.Term != reply.Term {
			m.snapshot = m.snapshot.Unheld()
			return azurestair.ErrConflict
		}
		s, err := control.ApplyDelta(m.snapshot, reply.Delta)
		if err != nil {
			m.snapshot = m.snapshot.Unheld()
			return err
		}
		next = s
	}
	switch {
	case next == nil:
		m.term = reply.Term
		return nil
	case next.Config == nil:
		return fmt.Errorf("%w: snapshot without configuration", azurestair.ErrInvalid)
	case next.Term < m.term:
		return azurestair.ErrConflict
	case next.ConfigVersion() < m.snapshot.ConfigVersion():
		return fmt.Errorf("%w: %d", errConfigLost, next.ConfigVersion())
	}
	m.snapshot, m.term = planned(next), reply.Term
	return nil
}

// planned returns the snapshot with plans of regions. A leader of an earlier
// version publishes none; they are those for the same traffic everywhere then.
func planned(s *azurestair.Snapshot) *azurestair.Snapshot {
	if len(s.Plans) > 0 || s.Config.IsLeased() {
		return s
	}
	var planner control.Planner
	next := *s
	next.Plans = planner.Step(s, nil, time.Time{})
	return &next
}

// changed reacts to a new snapshot.
func (m *Member) changed(before *azurestair.Snapshot, now time.Time) {
	if m.learn != nil {
		m.learn(controlPeers(m.snapshot))
	}
	if before == nil || before.Config != m.snapshot.Config {
		m.routes = routing.NewRoutes(m.snapshot.Config)
	}
	if before.ConfigVersion() != m.snapshot.ConfigVersion() {
		m.log.Info("configuration in force", "version", m.snapshot.ConfigVersion(), "commit", m.snapshot.Commit)
		m.reportSoon()
	}
	if before == nil || before.Term != m.snapshot.Term || hasNewDeparture(before, m.snapshot) {
		// Only a second report tells a new leader which leases it may extend, and
		// the leader that this entry holds a departure, which upstreams wait for.
		m.reportSoon()
	}
	if m.entry == nil {
		return
	}
	m.buildTable(now)
	m.places = lookup.NewPlaces(m.places, m.snapshot)
	m.entry.update(m.snapshot)
}

// hasNewDeparture reports whether an upstream takes no new work that did before.
func hasNewDeparture(before, after *azurestair.Snapshot) bool {
	departed := map[azurestair.UpstreamID]bool{}
	for _, u := range before.Upstreams {
		departed[u.Announcement.Upstream] = u.Announcement.State != azurestair.StateServing
	}
	return slices.ContainsFunc(after.Upstreams, func(u azurestair.UpstreamInfo) bool {
		return u.Announcement.State != azurestair.StateServing && !departed[u.Announcement.Upstream]
	})
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

// publish makes the present state visible to traffic.
func (m *Member) publish(now time.Time) {
	if m.entry == nil || m.snapshot == nil {
		return
	}
	wasReady := m.entry.isReady(now)
	v := &view{
		snapshot: m.snapshot, table: m.table, places: m.places, routes: m.routes, leases: m.holder.Leases(),
		controlDeadline: m.controlDeadline, heardAt: m.heardAt, leaving: m.leaving,
	}
	if m.startBy.IsZero() {
		m.startBy = now.Add(startWait)
	}
	m.started = m.started || !now.Before(m.startBy) || v.hasBudgets(m.entry.self.Region, now)
	v.starting = !m.started
	m.entry.publish(v)
	if m.entry.isReady(now) != wasReady {
		m.reportSoon()
	}
}
