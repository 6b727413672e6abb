package instance

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
)

const (
	// eventQueueSize is the capacity of each event queue of the control
	// goroutine.
	eventQueueSize = 4096
	// maxBatchEvents bounds the events that are handled before the log is
	// written. Proposals of one batch share a sync; the bound keeps a long
	// batch from starving the followers.
	maxBatchEvents = 512
	// maxBatchDuration bounds the time spent on one batch, since outgoing Raft
	// messages, including a leader's heartbeats, wait until its end.
	maxBatchDuration = 5 * time.Millisecond
)

// Controller owns the control state of a process. Its clock is the lease clock,
// so that a leader that was suspended knows that its lease is over.
type Controller struct {
	clock      azurestair.Clock
	log        *slog.Logger
	events     chan event
	raftEvents chan event
	stopped    chan struct{}
	transport  *peer.Transport
	replica    *Replica
	member     *Member
	panics     *panicLog
	err        error
}

// newController returns a controller. replica and transport are nil on
// instances that do not replicate the log.
func newController(clock azurestair.Clock, log *slog.Logger, member *Member, transport *peer.Transport) *Controller {
	return &Controller{
		clock: clock, log: log, member: member, transport: transport,
		events:     make(chan event, eventQueueSize),
		raftEvents: make(chan event, eventQueueSize),
		stopped:    make(chan struct{}),
	}
}

// run handles events until ctx ends or the log can no longer be written.
func (c *Controller) run(ctx context.Context) {
	defer close(c.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for c.err == nil {
		select {
		case <-ctx.Done():
			return
		case e := <-c.raftEvents:
			c.handle(e)
		case e := <-c.events:
			c.handle(e)
		case <-timer.C:
		}
		now := c.clock.Now()
		c.advance(now)
		timer.Reset(max(0, c.nextDeadline().Sub(c.clock.Now())))
	}
}

// handle handles an event and then a batch of the queued events. Events of the
// replicated log take precedence.
func (c *Controller) handle(e event) {
	until := c.clock.Now().Add(maxBatchDuration)
	for n := 0; ; n++ {
		now := c.clock.Now()
		c.handleEvent(e, now)
		if n == maxBatchEvents || !now.Before(until) {
			return
		}
		if e = c.next(); e == nil {
			return
		}
	}
}

// handleEvent handles an event. A panic ends only the event that caused it, and
// its sender gets no answer. For the events of the replicated log it ends the
// process, since a replica whose log is half changed must not go on.
func (c *Controller) handleEvent(e event, now time.Time) {
	if !belongsToLog(e) {
		defer func() {
			if v := recover(); v != nil {
				c.panics.record(fmt.Sprintf("%T", e), v)
			}
		}()
	}
	e.handle(c, now)
}

// belongsToLog reports whether an event changes the state of the replicated
// log.
func belongsToLog(e event) bool {
	switch e.(type) {
	case stepEvent, storeDoneEvent, storeFullEvent, imageEncodedEvent:
		return true
	default:
		return false
	}
}

// next returns the next queued event, or nil if there is none.
func (c *Controller) next() event {
	select {
	case e := <-c.raftEvents:
		return e
	default:
	}
	select {
	case e := <-c.events:
		return e
	default:
		return nil
	}
}

// advance writes the log, handles postponed reads and sends reports after a
// batch of events.
func (c *Controller) advance(now time.Time) {
	if c.replica != nil {
		if err := c.replica.advance(now, c.member); err != nil {
			c.fail(err)
		}
		for _, e := range c.replica.takePostponed() {
			e.handle(c, now)
		}
	}
	c.member.advance(now)
}

func (c *Controller) nextDeadline() time.Time {
	next := c.member.nextDeadline()
	if c.replica != nil {
		next = earlier(next, c.replica.nextDeadline())
	}
	return next
}

// fail stops the control goroutine. An instance that cannot store its log must
// not continue.
func (c *Controller) fail(err error) {
	c.log.Error("control stopped", "err", err)
	c.err = err
}

func (e proposeEvent) handle(c *Controller, now time.Time) {
	if c.replica == nil {
		e.reply <- proposeReply{err: azurestair.NotLeaderError{}}
		return
	}
	c.replica.propose(e, now)
}

func (e stepEvent) handle(c *Controller, now time.Time) {
	if c.replica == nil || !c.replica.full.accepts(e.message, c.replica.node.Status().Term) {
		return
	}
	if err := c.replica.node.Step(e.message, now); err != nil {
		c.log.Warn("raft message rejected", "from", e.message.From, "err", err)
	}
}

func (e queryEvent) handle(c *Controller, now time.Time) {
	if c.replica == nil {
		e.reply <- queryReply{err: azurestair.NotLeaderError{}}
		return
	}
	if e.query.Local {
		e.reply <- queryReply{result: c.replica.query(e.query, now)}
		return
	}
	if c.replica.postpone(e, now) {
		return
	}
	if err := c.replica.checkReadable(now); err != nil {
		e.reply <- queryReply{err: err}
		return
	}
	e.reply <- queryReply{result: c.replica.query(e.query, now)}
}

func (e reportEvent) handle(c *Controller, now time.Time) {
	if c.replica == nil {
		e.reply <- reportReply{err: azurestair.NotLeaderError{}}
		return
	}
	if c.replica.postpone(e, now) {
		return
	}
	reply, err := c.replica.report(e.report, now)
	e.reply <- reportReply{reply: reply, err: err}
}

func (e reportDoneEvent) handle(c *Controller, now time.Time) { c.member.handleReportDone(e, now) }

func (e announceEvent) handle(c *Controller, now time.Time) {
	e.reply <- c.member.announce(e.announcement, now)
}

func (e storeDoneEvent) handle(c *Controller, now time.Time) {
	if e.err != nil {
		c.fail(e.err)
		return
	}
	c.replica.handleStoreDone(e.job)
	c.replica.handleStoreWorking(now)
}

func (e storeFullEvent) handle(c *Controller, now time.Time) { c.replica.handleStoreFull(e.err, now) }

func (e imageEncodedEvent) handle(c *Controller, _ time.Time) {
	if err := c.replica.compact(e); err != nil {
		c.fail(err)
	}
}

func (e notifyEvent) handle(c *Controller, now time.Time) { c.member.handleNotice(e.notice, now) }

func (e seedsEvent) handle(c *Controller, now time.Time) {
	if c.replica != nil {
		c.replica.setSeeds(e.seeds, now)
	}
}

func (e provisionalEvent) handle(c *Controller, now time.Time) {
	c.member.adoptProvisional(e.snapshot, now)
}

func (e heldSnapshotEvent) handle(c *Controller, _ time.Time) { e.reply <- c.member.snapshot }

func (e leaveEvent) handle(c *Controller, now time.Time) { c.member.leave(e.acked, now) }

func (e finalReportEvent) handle(c *Controller, _ time.Time) { c.member.requestFinalReport(e.acked) }

func (e transferLeadershipEvent) handle(c *Controller, now time.Time) {
	e.reply <- c.replica != nil && c.replica.transferLeadership(now)
}

func (e statusEvent) handle(c *Controller, _ time.Time) {
	if c.replica == nil {
		e.reply <- ReplicaStatus{}
		return
	}
	e.reply <- c.replica.status()
}

// Controller handles requests from other instances.
var _ peer.Handler = (*Controller)(nil)

// Ledger reads and updates the ledger through the leader.
type Ledger interface {
	azurestair.Ledger
	Query(ctx context.Context, q control.Query) (control.QueryResult, error)
}

var _ Ledger = (*peer.Client)(nil)
