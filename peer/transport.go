package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"azurestair.example/azurestair"
)

// sendQueueSize bounds the raft messages queued for one peer. Messages beyond
// it are dropped, since raft retransmits those that matter.
const sendQueueSize = 1024

// versionRetryDelay is the delay before a new stream after the peer rejected
// this process's protocol version. Only an upgrade of one of them can change
// that.
const versionRetryDelay = time.Second

// silenceTimeout is the time after which the connection to a peer is replaced
// if messages are sent to the peer but none come back.
const silenceTimeout = time.Second

// Transport streams raft messages to the control instances. It implements
// azurestair.Transport.
type Transport struct {
	conns *ConnPool
	clock azurestair.Clock

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	links map[azurestair.InstanceID]*link
}

// NewTransport returns a transport to the given peers.
func NewTransport(conns *ConnPool, clock azurestair.Clock, peers []Address) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{conns: conns, clock: clock, ctx: ctx, cancel: cancel, links: map[azurestair.InstanceID]*link{}}
	for _, p := range peers {
		t.AddPeer(p)
	}
	return t
}

// AddPeer starts a link to a peer if there is none yet.
func (t *Transport) AddPeer(p Address) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.links[p.ID]; ok {
		return
	}
	t.conns.addVoter(p.ID)
	l := &link{to: p, conns: t.conns, clock: t.clock, queue: make(chan azurestair.RaftMessage, sendQueueSize)}
	t.links[p.ID] = l
	t.wg.Go(func() { l.run(t.ctx) })
}

// Addr returns the address of a peer, or the empty string if it is unknown.
func (t *Transport) Addr(id azurestair.InstanceID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.links[id]; ok {
		return l.to.Addr
	}
	return ""
}

// Version returns the protocol version of an instance as reported by
// Versions.Of.
func (t *Transport) Version(id azurestair.InstanceID) azurestair.ProtocolVersion {
	return t.conns.versions.Of(id)
}

// Send queues a message. It drops the message if the queue is full or the peer
// is unknown.
func (t *Transport) Send(m azurestair.RaftMessage) {
	t.mu.Lock()
	l := t.links[m.To]
	t.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.queue <- m:
	default:
	}
}

// RecordReceived records that a message from the peer was received.
func (t *Transport) RecordReceived(from azurestair.InstanceID) {
	t.mu.Lock()
	l := t.links[from]
	t.mu.Unlock()
	if l != nil {
		l.lastReceived.Store(t.clock.Now().UnixNano())
	}
}

// Close stops all links and waits for them.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
}

// link sends messages to one peer over one stream at a time.
type link struct {
	to           Address
	conns        *ConnPool
	clock        azurestair.Clock
	queue        chan azurestair.RaftMessage
	lastReceived atomic.Int64
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := minBackoff
		if err := l.stream(ctx); errors.Is(err, azurestair.ErrVersion) {
			delay = versionRetryDelay
		}
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// stream sends messages until the stream fails or the peer has sent nothing
// back for silenceTimeout. If the peer ended the stream, stream returns the
// peer's error.
func (l *link) stream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m, ok := l.next(ctx)
	if !ok {
		return nil
	}
	cn, err := l.conns.get(l.to.ID, l.to.Addr)
	if err != nil {
		return err
	}
	desc := &grpc.StreamDesc{StreamName: "Step", ClientStreams: true}
	s, err := cn.cc.NewStream(l.conns.versions.outgoing(ctx), desc, methodStep)
	if err != nil {
		return err
	}
	var unansweredSince time.Time
	for ok {
		if err := s.SendMsg(&m); err != nil {
			return l.streamError(s, err)
		}
		if unansweredSince = l.updateUnanswered(unansweredSince); l.clock.Now().Sub(unansweredSince) > silenceTimeout {
			l.conns.drop(l.to.ID, cn)
			return nil
		}
		m, ok = l.next(ctx)
	}
	return nil
}

// streamError returns the error with which the peer ended the stream, after
// sending a message failed with err.
func (l *link) streamError(s grpc.ClientStream, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	err = s.RecvMsg(&empty{})
	header, _ := s.Header()
	if versionErr := l.conns.versions.checkResponse(l.to.ID, header, err); versionErr != nil {
		return versionErr
	}
	return fromStatus(err)
}

func (l *link) next(ctx context.Context) (azurestair.RaftMessage, bool) {
	select {
	case m := <-l.queue:
		return m, true
	case <-ctx.Done():
		return azurestair.RaftMessage{}, false
	}
}

// updateUnanswered is called after each message that is sent. It returns the
// time of the first message that was sent since the last one was received from
// the peer; prev is the result of the previous call.
func (l *link) updateUnanswered(prev time.Time) time.Time {
	received := time.Unix(0, l.lastReceived.Load())
	if prev.IsZero() || received.After(prev) {
		return l.clock.Now()
	}
	return prev
}
