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

// sendQueue bounds the raft messages that wait for one peer; more are dropped,
// since the log repeats what matters.
const sendQueue = 1024

// refusedPause is the same after the peer refused this program's version, which
// only the start of another program changes.
const refusedPause = time.Second

// silentAfter is how long a stream may carry messages to a peer that sends
// none back before the connection is replaced by a fresh one.
const silentAfter = time.Second

// Transport streams raft messages to the control instances. It implements
// azurestair.Transport.
type Transport struct {
	conns *Conns
	clock azurestair.Clock

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	links map[azurestair.InstanceID]*link
}

// NewTransport returns a transport to the given peers.
func NewTransport(conns *Conns, clock azurestair.Clock, peers []Address) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{conns: conns, clock: clock, ctx: ctx, cancel: cancel, links: map[azurestair.InstanceID]*link{}}
	for _, p := range peers {
		t.AddPeer(p)
	}
	return t
}

// AddPeer starts a link to a peer if there is none.
func (t *Transport) AddPeer(p Address) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.links[p.ID]; ok {
		return
	}
	t.conns.addVoter(p.ID)
	l := &link{to: p, conns: t.conns, clock: t.clock, queue: make(chan azurestair.RaftMessage, sendQueue)}
	t.links[p.ID] = l
	t.wg.Go(func() { l.run(t.ctx) })
}

// Addr returns the address of a peer, empty if it is not known.
func (t *Transport) Addr(id azurestair.InstanceID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.links[id]; ok {
		return l.to.Addr
	}
	return ""
}

// Version returns the protocol version that an instance has announced, as
// Versions.Of does.
func (t *Transport) Version(id azurestair.InstanceID) azurestair.ProtocolVersion {
	return t.conns.versions.Of(id)
}

// Send queues a message; it drops the message when the queue is full.
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

// Heard records that a message of the peer arrived.
func (t *Transport) Heard(from azurestair.InstanceID) {
	t.mu.Lock()
	l := t.links[from]
	t.mu.Unlock()
	if l != nil {
		l.heard.Store(t.clock.Now().UnixNano())
	}
}

// Close stops all links and waits for them.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
}

// link sends the messages for one peer over one stream at a time.
type link struct {
	to    Address
	conns *Conns
	clock azurestair.Clock
	queue chan azurestair.RaftMessage
	heard atomic.Int64
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := pauseBetweenTries
		if err := l.stream(ctx); errors.Is(err, azurestair.ErrVersion) {
			pause = refusedPause
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// stream sends messages until the stream fails or goes silent. It returns the
// peer's error if the peer gave one.
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
	var unanswered time.Time
	for ok {
		if err := s.SendMsg(&m); err != nil {
			return l.ended(s, err)
		}
		if unanswered = l.unansweredSince(unanswered); l.clock.Now().Sub(unanswered) > silentAfter {
			l.conns.drop(l.to.ID, cn)
			return nil
		}
		m, ok = l.next(ctx)
	}
	return nil
}

// ended returns why the peer ended the stream on which a message could not be sent.
func (l *link) ended(s grpc.ClientStream, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	err = s.RecvMsg(&empty{})
	header, _ := s.Header()
	if versionErr := l.conns.versions.checkAnswer(l.to.ID, header, err); versionErr != nil {
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

// unansweredSince returns when the first message was sent after which the
// peer has sent nothing; prev is the value before the latest message.
func (l *link) unansweredSince(prev time.Time) time.Time {
	heard := time.Unix(0, l.heard.Load())
	if prev.IsZero() || heard.After(prev) {
		return l.clock.Now()
	}
	return prev
}
