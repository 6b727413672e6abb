package instance

import (
	"context"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// event is an input of the control goroutine.
type event interface {
	handle(c *Controller, now time.Time)
}

type proposeReply struct {
	result azurestair.Result
	err    error
}

// proposeEvent asks the leader to apply a command.
type proposeEvent struct {
	command azurestair.Command
	reply   chan<- proposeReply
}

// stepEvent carries a raft message.
type stepEvent struct{ message azurestair.RaftMessage }

type queryReply struct {
	result control.QueryResult
	err    error
}

// queryEvent reads the control state at the leader.
type queryEvent struct {
	query control.Query
	reply chan<- queryReply
}

type reportReply struct {
	reply azurestair.ReportReply
	err   error
}

// reportEvent carries the report of an instance to the leader.
type reportEvent struct {
	report azurestair.Report
	reply  chan<- reportReply
}

// reportedEvent carries the leader's reply to this instance's own report.
type reportedEvent struct {
	sent  time.Time
	reply azurestair.ReportReply
	err   error
}

// announceEvent carries an upstream's announcement to this entry.
type announceEvent struct {
	announcement azurestair.Announcement
	reply        chan<- error
}

// storedEvent says that the log writer has finished a job.
type storedEvent struct {
	job *storeJob
	err error
}

// imageEvent carries an encoded image of the state machine.
type imageEvent struct {
	index azurestair.Index
	data  []byte
	err   error
}

// notifyEvent carries a notice of the leader.
type notifyEvent struct{ notice azurestair.Notice }

// leaveEvent takes this instance out of look-ups; it goes on serving.
// known is closed when the leader knows it.
type leaveEvent struct{ known chan<- struct{} }

// goneEvent has the last report of this instance sent; done is closed when it
// has been answered.
type goneEvent struct{ done chan<- struct{} }

// handOverEvent has a leader pass its leadership on; the reply says whether
// this instance still leads with others to follow it.
type handOverEvent struct{ reply chan<- bool }

// statusEvent asks for the replica's status.
type statusEvent struct{ reply chan<- ReplicaStatus }

// post hands an event to the control goroutine. The log's own go before the
// others: hundreds of reports or heartbeats that wait would otherwise keep a
// leader from hearing its followers until its lease has run out.
func (c *Controller) post(ctx context.Context, e event) error {
	queue := c.events
	switch e.(type) {
	case stepEvent, storedEvent:
		queue = c.logEvents
	}
	select {
	case queue <- e:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-c.stopped:
		return azurestair.ErrClosed
	}
}

// ask posts an event and waits for its reply.
func ask[T any](ctx context.Context, c *Controller, e event, reply <-chan T) (T, error) {
	var zero T
	if err := c.post(ctx, e); err != nil {
		return zero, err
	}
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return zero, context.Cause(ctx)
	case <-c.stopped:
		return zero, azurestair.ErrClosed
	}
}

// Propose has the leader, if it is this instance, apply a command.
func (c *Controller) Propose(ctx context.Context, cmd azurestair.Command) (azurestair.Result, error) {
	if err := cmd.Validate(); err != nil {
		return azurestair.Result{}, err
	}
	reply := make(chan proposeReply, 1)
	r, err := ask(ctx, c, proposeEvent{command: cmd, reply: reply}, reply)
	if err != nil {
		return azurestair.Result{}, err
	}
	return r.result, r.err
}

// Report answers an instance's report, if this instance is the leader.
func (c *Controller) Report(ctx context.Context, r azurestair.Report) (azurestair.ReportReply, error) {
	reply := make(chan reportReply, 1)
	a, err := ask(ctx, c, reportEvent{report: r, reply: reply}, reply)
	if err != nil {
		return azurestair.ReportReply{}, err
	}
	return a.reply, a.err
}

// Query reads the control state, if this instance is the leader.
func (c *Controller) Query(ctx context.Context, q control.Query) (control.QueryResult, error) {
	reply := make(chan queryReply, 1)
	a, err := ask(ctx, c, queryEvent{query: q, reply: reply}, reply)
	if err != nil {
		return control.QueryResult{}, err
	}
	return a.result, a.err
}

// Step takes a raft message.
func (c *Controller) Step(ctx context.Context, m azurestair.RaftMessage) error {
	if c.transport != nil {
		c.transport.Heard(m.From)
	}
	return c.post(ctx, stepEvent{message: m})
}

// Notify has this instance report at once, to the leader that the notice names.
func (c *Controller) Notify(ctx context.Context, n azurestair.Notice) {
	_ = c.post(ctx, notifyEvent{notice: n})
}

// Announce takes an upstream's announcement.
func (c *Controller) Announce(ctx context.Context, a azurestair.Announcement) error {
	reply := make(chan error, 1)
	err, askErr := ask(ctx, c, announceEvent{announcement: a, reply: reply}, reply)
	if askErr != nil {
		return askErr
	}
	return err
}

// ReplicaStatus asks for the state of the replicated log on this instance.
func (c *Controller) ReplicaStatus(ctx context.Context) (ReplicaStatus, error) {
	reply := make(chan ReplicaStatus, 1)
	return ask(ctx, c, statusEvent{reply: reply}, reply)
}
