package instance

import (
	"context"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/peer"
)

// event is an input to the control goroutine.
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

// stepEvent carries a Raft message.
type stepEvent struct{ message azurestair.RaftMessage }

type queryReply struct {
	result control.QueryResult
	err    error
}

// queryEvent reads the control state from the leader.
type queryEvent struct {
	query control.Query
	reply chan<- queryReply
}

type reportReply struct {
	reply azurestair.ReportReply
	err   error
}

// reportEvent carries an instance's report to the leader.
type reportEvent struct {
	report azurestair.Report
	reply  chan<- reportReply
}

// reportDoneEvent carries the leader's reply to this instance's own report.
type reportDoneEvent struct {
	sent  time.Time
	reply azurestair.ReportReply
	err   error
}

// announceEvent carries an upstream's announcement to this entry.
type announceEvent struct {
	announcement azurestair.Announcement
	reply        chan<- error
}

// storeDoneEvent signals that the log writer has completed a job.
type storeDoneEvent struct {
	job *storeJob
	err error
}

// storeFullEvent signals that a call to the store failed because the disk is
// full. The log writer repeats the call.
type storeFullEvent struct{ err error }

// imageEncodedEvent carries an encoded image of the state machine.
type imageEncodedEvent struct {
	index azurestair.Index
	data  []byte
	err   error
}

// notifyEvent carries a notice from the leader.
type notifyEvent struct{ notice azurestair.SnapshotNotice }

// seedsEvent carries changed addresses of control instances from the settings.
type seedsEvent struct{ seeds []peer.Address }

// provisionalEvent carries the snapshot that a control instance holds.
type provisionalEvent struct{ snapshot *azurestair.Snapshot }

// heldSnapshotEvent requests the snapshot that this instance holds.
type heldSnapshotEvent struct{ reply chan<- *azurestair.Snapshot }

// leaveEvent removes this instance from lookups; it continues to serve. acked
// is closed when the leader has acknowledged it.
type leaveEvent struct{ acked chan<- struct{} }

// finalReportEvent makes the member send its final report. acked is closed when
// the report has been answered.
type finalReportEvent struct{ acked chan<- struct{} }

// transferLeadershipEvent makes a leader transfer its leadership. The reply is
// false once this instance is not the leader or has no other voter to transfer
// to.
type transferLeadershipEvent struct{ reply chan<- bool }

// statusEvent requests the status of the replica.
type statusEvent struct{ reply chan<- ReplicaStatus }

// post queues an event for the control goroutine. Events of the replicated log
// have a queue of their own, which takes precedence. Otherwise hundreds of
// queued reports or heartbeats could keep a leader from processing its
// followers' messages until its lease expires.
func (c *Controller) post(ctx context.Context, e event) error {
	queue := c.events
	switch e.(type) {
	case stepEvent, storeDoneEvent, storeFullEvent:
		queue = c.raftEvents
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

// postAndWait posts an event and waits for its reply.
func postAndWait[T any](ctx context.Context, c *Controller, e event, reply <-chan T) (T, error) {
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

// Propose applies a command if this instance is the leader.
func (c *Controller) Propose(ctx context.Context, cmd azurestair.Command) (azurestair.Result, error) {
	if err := cmd.Validate(); err != nil {
		return azurestair.Result{}, err
	}
	reply := make(chan proposeReply, 1)
	r, err := postAndWait(ctx, c, proposeEvent{command: cmd, reply: reply}, reply)
	if err != nil {
		return azurestair.Result{}, err
	}
	return r.result, r.err
}

// Report answers an instance's report if this instance is the leader.
func (c *Controller) Report(ctx context.Context, r azurestair.Report) (azurestair.ReportReply, error) {
	reply := make(chan reportReply, 1)
	a, err := postAndWait(ctx, c, reportEvent{report: r, reply: reply}, reply)
	if err != nil {
		return azurestair.ReportReply{}, err
	}
	return a.reply, a.err
}

// Query reads the control state if this instance is the leader.
func (c *Controller) Query(ctx context.Context, q control.Query) (control.QueryResult, error) {
	reply := make(chan queryReply, 1)
	a, err := postAndWait(ctx, c, queryEvent{query: q, reply: reply}, reply)
	if err != nil {
		return control.QueryResult{}, err
	}
	return a.result, a.err
}

// Step handles a Raft message.
func (c *Controller) Step(ctx context.Context, m azurestair.RaftMessage) error {
	if c.transport != nil {
		c.transport.RecordReceived(m.From)
	}
	return c.post(ctx, stepEvent{message: m})
}

// Notify makes this instance report at once, to the leader named in the notice.
func (c *Controller) Notify(ctx context.Context, n azurestair.SnapshotNotice) {
	_ = c.post(ctx, notifyEvent{notice: n})
}

// HeldSnapshot returns the snapshot that this instance holds.
func (c *Controller) HeldSnapshot(ctx context.Context) (*azurestair.Snapshot, error) {
	reply := make(chan *azurestair.Snapshot, 1)
	s, err := postAndWait(ctx, c, heldSnapshotEvent{reply: reply}, reply)
	if err == nil && s == nil {
		err = azurestair.ErrNotFound
	}
	return s, err
}

// Announce handles an upstream's announcement.
func (c *Controller) Announce(ctx context.Context, a azurestair.Announcement) error {
	reply := make(chan error, 1)
	err, postErr := postAndWait(ctx, c, announceEvent{announcement: a, reply: reply}, reply)
	if postErr != nil {
		return postErr
	}
	return err
}

// ReplicaStatus returns the state of the replicated log on this instance.
func (c *Controller) ReplicaStatus(ctx context.Context) (ReplicaStatus, error) {
	reply := make(chan ReplicaStatus, 1)
	return postAndWait(ctx, c, statusEvent{reply: reply}, reply)
}
