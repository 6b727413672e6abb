package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
)

// Address is where an instance accepts peers.
type Address struct {
	ID   azurestair.InstanceID
	Addr string
}

// tryTimeout bounds one try at one control instance, so that a frozen or
// silent one does not use up the caller's whole deadline.
const tryTimeout = 700 * time.Millisecond

// noticeTimeout bounds a notice. Over a new connection to an instance behind a
// full link it takes three round trips of up to a second.
const noticeTimeout = 3 * time.Second

// patientTries is how many control instances a patient reporter can try.
const patientTries = 2

const (
	// pauseBetweenTries keeps a client without a leader from calling in a tight
	// loop. After one round of all control instances it doubles with each further
	// failure up to pauseMost: 294 instances that looked for a leader each 25 ms
	// were seen to keep five control instances from electing one.
	pauseBetweenTries = 25 * time.Millisecond
	pauseMost         = 400 * time.Millisecond
)

// Client calls the leader among the control instances. It is safe for concurrent use.
type Client struct {
	conns *Conns

	mu     sync.Mutex
	peers  []Address
	leader int
	// failures counts the tries that have failed in a row.
	failures int
	// first are the peers that the client was made with; they stay known.
	first []Address
	// following ends, by endTries, when Follow changes the target; nil before the first try.
	following context.Context
	endTries  context.CancelFunc
}

// NewClient returns a client that looks for the leader among control.
func NewClient(conns *Conns, control []Address) *Client {
	return &Client{conns: conns, peers: control, first: control}
}

// Learn replaces the control instances by those that are known to be alive and
// those that the client was made with.
func (c *Client) Learn(alive []Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replace(alive)
}

// Restart replaces the control instances that the client was made with, as
// after a change of the settings.
func (c *Client) Restart(first []Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = first
	c.replace(c.peers)
}

// replace keeps the present target. An instance that the client was made with
// keeps the address from then, which may lead through a relay. The caller holds mu.
func (c *Client) replace(alive []Address) {
	next := slices.Clone(c.first)
	for _, a := range alive {
		if slices.ContainsFunc(next, func(f Address) bool { return f.ID == a.ID }) {
			continue
		}
		// A lost disk gives the instance at an address another id.
		if i := slices.IndexFunc(next, func(f Address) bool { return f.Addr == a.Addr }); i >= 0 {
			next[i] = a
			continue
		}
		next = append(next, a)
	}
	if len(next) == 0 || slices.Equal(next, c.peers) {
		return
	}
	at := 0
	if n := len(c.peers); n > 0 {
		at = max(0, slices.Index(next, c.peers[c.leader%n]))
	}
	c.peers, c.leader = next, at
}

// Propose has the leader apply a command. It repeats the command until ctx ends.
func (c *Client) Propose(ctx context.Context, cmd azurestair.Command) (azurestair.Result, error) {
	var res azurestair.Result
	if cmd.Claim != nil {
		ctx = withLeft(ctx, cmd.Claim.LeftMs)
	}
	err := c.untilLeader(ctx, methodPropose, &cmd, &res, tryTimeout)
	return res, err
}

// Report exchanges a report for the leader's reply.
func (c *Client) Report(ctx context.Context, r azurestair.Report) (azurestair.ReportReply, error) {
	var reply encodedReply
	try := tryTimeout
	if deadline, ok := ctx.Deadline(); ok {
		// A reporter with more time than usual expects a slow network.
		try = max(try, time.Until(deadline)/patientTries)
	}
	if err := c.untilLeader(ctx, methodReport, &r, &reply, try); err != nil {
		return azurestair.ReportReply{}, err
	}
	return reply.open()
}

// Query reads the control state at the leader.
func (c *Client) Query(ctx context.Context, q control.Query) (control.QueryResult, error) {
	var res control.QueryResult
	err := c.untilLeader(ctx, methodQuery, &q, &res, tryTimeout)
	return res, err
}

// QueryAt reads what one instance has applied, whether or not it leads.
func (c *Client) QueryAt(ctx context.Context, to Address, q control.Query) (control.QueryResult, error) {
	var res control.QueryResult
	q.Local = true
	err := c.tryOnce(ctx, to, methodQuery, &q, &res, tryTimeout)
	return res, err
}

// QueryClaim reads the ledger at the leader.
func (c *Client) QueryClaim(ctx context.Context, q azurestair.ClaimQuery) (azurestair.ClaimStatus, error) {
	res, err := c.Query(ctx, control.Query{Claim: &q})
	return azurestair.ClaimStatus{Record: res.Claim}, err
}

// Notify sends a notice to an instance.
func (c *Client) Notify(ctx context.Context, to Address, n azurestair.Notice) error {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	return c.call(ctx, to, methodNotify, &n, &empty{})
}

// Follow has the client call a control instance as the leader from now on, and
// ends the present tries at others. It does nothing for an unknown instance.
func (c *Client) Follow(leader azurestair.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.peers, func(a Address) bool { return a.ID == leader })
	if i < 0 || i == c.leader%len(c.peers) {
		return
	}
	c.leader = i
	if c.endTries != nil {
		c.endTries()
		c.following = nil
	}
}

// untilFollow returns a context that ends when Follow changes the target.
func (c *Client) untilFollow() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.following == nil {
		c.following, c.endTries = context.WithCancel(context.Background())
	}
	return c.following
}

func (c *Client) untilLeader(ctx context.Context, method string, q, a any, try time.Duration) error {
	for {
		following := c.untilFollow()
		to, ok := c.target()
		if !ok {
			return azurestair.NotLeaderError{}
		}
		tryCtx, cancel := context.WithCancel(ctx)
		stop := context.AfterFunc(following, cancel)
		err := c.tryOnce(tryCtx, to, method, q, a, try)
		stop()
		cancel()
		pause := c.ended(err)
		if err == nil || isFinal(err) {
			return err
		}
		c.lookElsewhere(to, err)
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return err
		case <-following.Done():
			t.Stop()
		case <-t.C:
		}
	}
}

// ended takes account of a try and returns the pause before the next one. It is
// random from half of its bound up, so that callers that lost a leader together
// do not call together.
func (c *Client) ended(err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.failures = 0
		return 0
	}
	c.failures++
	beyond := min(max(0, c.failures-len(c.peers)), 8)
	bound := min(pauseBetweenTries<<beyond, pauseMost)
	return bound/2 + rand.N(bound/2)
}

func isFinal(err error) bool {
	return errors.Is(err, azurestair.ErrInvalid) || errors.Is(err, azurestair.ErrFull) || errors.Is(err, azurestair.ErrUnauthorized) ||
		errors.Is(err, azurestair.ErrConflict) || errors.Is(err, azurestair.ErrNotFound)
}

func (c *Client) target() (Address, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.peers) == 0 {
		return Address{}, false
	}
	return c.peers[c.leader%len(c.peers)], true
}

// lookElsewhere chooses the next control instance after a failed try at tried.
func (c *Client) lookElsewhere(tried Address, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.peers)
	if n == 0 || c.peers[c.leader%n] != tried {
		return
	}
	var notLeader azurestair.NotLeaderError
	if errors.As(err, &notLeader) {
		for i, p := range c.peers {
			if p.ID == notLeader.Leader && p != tried {
				c.leader = i
				return
			}
		}
		c.meet(notLeader)
		if c.peers[c.leader%len(c.peers)] != tried {
			return
		}
	}
	c.leader = (c.leader + 1) % n
}

// maxPeers bounds the control instances that a client remembers.
const maxPeers = 4 * azurestair.MaxVoters

// meet adds a leader that the settings do not list, as after a replacement.
func (c *Client) meet(e azurestair.NotLeaderError) {
	if e.Leader == "" || azurestair.CheckAddr(e.Addr) != nil || len(c.peers) >= maxPeers {
		return
	}
	for _, p := range c.peers {
		if p.ID == e.Leader {
			return
		}
	}
	c.peers = append(slices.Clone(c.peers), Address{ID: e.Leader, Addr: e.Addr})
	c.leader = len(c.peers) - 1
}

func (c *Client) tryOnce(ctx context.Context, to Address, method string, q, a any, try time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, try)
	defer cancel()
	return c.call(ctx, to, method, q, a)
}

func (c *Client) call(ctx context.Context, to Address, method string, q, a any) error {
	cn, err := c.conns.get(to.ID, to.Addr)
	if err != nil {
		return err
	}
	before := cn.answers.Load()
	var header metadata.MD
	err = cn.cc.Invoke(c.conns.versions.outgoing(ctx), method, q, a, grpc.WaitForReady(false), grpc.Header(&header))
	switch code := status.Code(err); {
	case code == codes.OK || code == codes.FailedPrecondition || code == codes.Unimplemented:
		cn.answers.Add(1)
	case code == codes.DeadlineExceeded && cn.answers.Load() == before && !cn.isOpening():
		// Nothing came back meanwhile; otherwise only this call was slow.
		c.conns.drop(to.ID, cn)
	}
	if versionErr := c.conns.versions.checkAnswer(to.ID, header, err); versionErr != nil {
		return versionErr
	}
	return fromStatus(err)
}
