package instance

import (
	"context"
	"log/slog"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
)

const (
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueue = 4096
	// batchLimit bounds the events that are handled before the log is written,
	// so that proposals share a sync without starving the followers.
	batchLimit = 512
	// batchTime bounds the time for that. The messages that the log has to send
	// wait as long, a leader's heartbeats among them.
	batchTime = 5 * time.Millisecond
)

// Controller owns the control state of a process.
type Controller struct {
	clock     azurestair.Clock
	log       *slog.Logger
	events    chan event
	logEvents chan event
	stopped   chan struct{}
	transport *peer.Transport
	replica   *Replica
	member    *Member
	err       error
}

// newController returns a controller; replica and transport are nil on
// instances that do not replicate the log.
func newController(clock azurestair.Clock, log *slog.Logger, member *Member, transport *peer.Transport) *Controller {
	return &Controller{
		clock: clock, log: log, member: member, transport: transport,
		events:    make(chan event, eventQueue),
		logEvents: make(chan event, eventQueue),
		stopped:   make(chan struct{}),
	}
}

// run handles events until ctx ends or the log cannot be written any more.
func (c *Controller) run(ctx context.Context) {
	defer close(c.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for c.err == nil {
		select {
		case <-ctx.Done():
			return
		case e := <-c.logEvents:
			c.handle(e)
		case e := <-c.events:
			c.handle(e)
		case <-timer.C:
		}
		now := c.clock.Now()
		c.settle(now)
		timer.Reset(max(0, c.nextDeadline().Sub(c.clock.Now())))
	}
}

// handle takes an event and those that already wait behind it, the log's own
// before each of the others.
func (c *Controller) handle(e event) {
	until := c.clock.Now().Add(batchTime)
	for n := 0; ; n++ {
		now := c.clock.Now()
		e.handle(c, now)
		if n == batchLimit || !now.Before(until) {
			return
		}
		if e = c.next(); e == nil {
			return
		}
	}
}

// next returns an event that waits, or nil.
func (c *Controller) next() event {
	select {
	case e := <-c.logEvents:
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

// settle carries out what the events have led to.
func (c *Controller) settle(now time.Time) {
	if c.replica != nil {
		if err := c.replica.settle(now, c.member); err != nil {
			c.fail(err)
		}
		for _, e := range c.replica.takePostponed() {
			e.handle(c, now)
		}
	}
	c.member.settle(now)
}

func (c *Controller) nextDeadline() time.Time {
	next := c.member.nextDeadline()
	if c.replica != nil {
		next = earlier(next, c.replica.nextDeadline())
	}
	return next
}

// fail ends the control goroutine; an instance that cannot store its log must not go on.
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
	if c.replica == nil {
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
	if err := c.replica.readable(now); err != nil {
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

func (e reportedEvent) handle(c *Controller, now time.Time) { c.member.reported(e, now) }

func (e announceEvent) handle(c *Controller, now time.Time) {
	e.reply <- c.member.announce(e.announcement, now)
}

func (e storedEvent) handle(c *Controller, _ time.Time) {
	if e.err != nil {
		c.fail(e.err)
		return
	}
	c.replica.stored(e.job)
}

func (e imageEvent) handle(c *Controller, _ time.Time) {
	if err := c.replica.compact(e); err != nil {
		c.fail(err)
	}
}

func (e notifyEvent) handle(c *Controller, _ time.Time) { c.member.noticed(e.notice) }

func (e leaveEvent) handle(c *Controller, now time.Time) { c.member.leave(e.known, now) }

func (e goneEvent) handle(c *Controller, _ time.Time) { c.member.goneSoon(e.done) }

func (e handOverEvent) handle(c *Controller, now time.Time) {
	e.reply <- c.replica != nil && c.replica.handOver(now)
}

func (e statusEvent) handle(c *Controller, _ time.Time) {
	if c.replica == nil {
		e.reply <- ReplicaStatus{}
		return
	}
	e.reply <- c.replica.status()
}

// assert that the controller serves the other instances.
var _ peer.Handler = (*Controller)(nil)

// Ledger reads and changes the ledger through the leader.
type Ledger interface {
	azurestair.Ledger
	Query(ctx context.Context, q control.Query) (control.QueryResult, error)
}

var _ Ledger = (*peer.Client)(nil)
