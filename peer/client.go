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

// Address is the ID of an instance and the address of its peer listener.
type Address struct {
	ID   azurestair.InstanceID
	Addr string
}

// attemptTimeout bounds one call to one control instance, so that a frozen or
// unresponsive one does not use up the caller's whole deadline.
const attemptTimeout = 700 * time.Millisecond

// notifyTimeout bounds a notice. Over a new connection to an instance behind a
// saturated link it takes three round trips of up to a second each.
const notifyTimeout = 3 * time.Second

// attemptsPerDeadline is the number of attempts for which a report with a long
// deadline leaves time.
const attemptsPerDeadline = 2

const (
	// minBackoff is the delay between attempts of a client that has no leader.
	// After one round of all control instances it doubles with each further
	// failure up to maxBackoff: 294 instances that each looked for a leader
	// every 25 ms kept five control instances from electing one.
	minBackoff = 25 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Client calls the leader among the control instances. It is safe for
// concurrent use.
type Client struct {
	conns *ConnPool

	mu    sync.Mutex
	peers []Address
	// target is the index in peers of the instance to call.
	target int
	// leader is the instance that last answered as the leader or introduced
	// itself as such; zero if a call to it has failed since.
	leader Address
	// failures counts consecutive failed attempts.
	failures int
	// seeds are the configured peers. Only SetSeeds removes them.
	seeds []Address
	// targetCtx is cancelled by cancelAttempts when SetLeader changes the
	// target. It is nil before the first attempt.
	targetCtx      context.Context
	cancelAttempts context.CancelFunc
}

// NewClient returns a client that locates the leader among the control
// instances.
func NewClient(conns *ConnPool, control []Address) *Client {
	return &Client{conns: conns, peers: control, seeds: control}
}

// SetAlive replaces the known control instances by the seeds and the given
// instances, which are known to be alive.
func (c *Client) SetAlive(alive []Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPeers(alive)
}

// SetSeeds replaces the seeds, for example after a change of the settings.
func (c *Client) SetSeeds(seeds []Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
	c.setPeers(c.peers)
}

// setPeers sets the peers to the seeds and the alive instances and keeps the
// current target. A seed keeps its configured address, which may be that of a
// relay. The caller must hold mu.
func (c *Client) setPeers(alive []Address) {
	next := slices.Clone(c.seeds)
	for _, a := range alive {
		if slices.ContainsFunc(next, func(p Address) bool { return p.ID == a.ID }) {
			continue
		}
		// An instance that lost its disk has a new ID at the same address.
		if i := slices.IndexFunc(next, func(f Address) bool { return f.Addr == a.Addr }); i >= 0 {
			next[i] = a
			continue
		}
		next = append(next, a)
	}
	if len(next) == 0 || slices.Equal(next, c.peers) {
		return
	}
	target := 0
	if n := len(c.peers); n > 0 {
		target = max(0, slices.Index(next, c.peers[c.target%n]))
	}
	c.peers, c.target = next, target
}

// Propose has the leader apply a command. It retries until ctx ends.
func (c *Client) Propose(ctx context.Context, cmd azurestair.Command) (azurestair.Result, error) {
	var res azurestair.Result
	if cmd.Claim != nil {
		ctx = withTimeLeft(ctx, cmd.Claim.RemainingMs)
	}
	err := c.callLeader(ctx, methodPropose, &cmd, &res, attemptTimeout)
	return res, err
}

// Report sends a report to the leader and returns its reply.
func (c *Client) Report(ctx context.Context, r azurestair.Report) (azurestair.ReportReply, error) {
	var reply encodedReply
	timeout := attemptTimeout
	if deadline, ok := ctx.Deadline(); ok {
		// A deadline longer than usual means that the network is expected to be
		// slow.
		timeout = max(timeout, time.Until(deadline)/attemptsPerDeadline)
	}
	if err := c.callLeader(ctx, methodReport, &r, &reply, timeout); err != nil {
		return azurestair.ReportReply{}, err
	}
	return reply.decode()
}

// Query reads the control state from the leader.
func (c *Client) Query(ctx context.Context, q control.Query) (control.QueryResult, error) {
	var res control.QueryResult
	err := c.callLeader(ctx, methodQuery, &q, &res, attemptTimeout)
	return res, err
}

// QueryAt reads the state that the given instance has applied, whether or not
// it is the leader.
func (c *Client) QueryAt(ctx context.Context, to Address, q control.Query) (control.QueryResult, error) {
	var res control.QueryResult
	q.Local = true
	err := c.callOnce(ctx, to, methodQuery, &q, &res, attemptTimeout)
	return res, err
}

// QueryClaim reads a claim from the ledger of the leader.
func (c *Client) QueryClaim(ctx context.Context, q azurestair.ClaimQuery) (azurestair.ClaimStatus, error) {
	res, err := c.Query(ctx, control.Query{Claim: &q})
	return azurestair.ClaimStatus{Record: res.Claim}, err
}

// Notify sends a notice to an instance.
func (c *Client) Notify(ctx context.Context, to Address, n azurestair.SnapshotNotice) error {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	return c.call(ctx, to, methodNotify, &n, &empty{})
}

// FetchSnapshot returns the snapshot that a control instance holds, whether or
// not a leader has confirmed it, or nil if it is not newer than the given one.
func (c *Client) FetchSnapshot(ctx context.Context, to Address, newest azurestair.SnapshotVersion) (*azurestair.Snapshot, error) {
	var reply encodedReply
	if err := c.callOnce(ctx, to, methodHeld, &heldRequest{Newest: newest}, &reply, attemptTimeout); err != nil {
		return nil, err
	}
	r, err := reply.decode()
	return r.Snapshot, err
}

// Peers returns the known control instances.
func (c *Client) Peers() []Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.peers)
}

// AddPeer adds a control instance that is not among the peers.
func (c *Client) AddPeer(a Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ensurePeer(a)
}

// SetLeader makes the given control instance the target of all calls and
// cancels the running attempts at others. An unknown instance is added to the
// peers; without a valid address it has no effect.
func (c *Client) SetLeader(leader Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.ensurePeer(leader)
	if i < 0 {
		return
	}
	c.leader = c.peers[i]
	if i == c.target%len(c.peers) {
		return
	}
	c.target = i
	if c.cancelAttempts != nil {
		c.cancelAttempts()
		c.targetCtx = nil
	}
}

// Leader returns the instance that is believed to be the leader, or false if
// none is.
func (c *Client) Leader() (Address, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.leader.ID != ""
}

// updateLeader records the result of a call.
func (c *Client) updateLeader(to Address, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.leader = to
	case c.leader == to && !isPermanent(err):
		c.leader = Address{}
	}
}

// targetContext returns a context that is cancelled when SetLeader changes the
// target.
func (c *Client) targetContext() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.targetCtx == nil {
		c.targetCtx, c.cancelAttempts = context.WithCancel(context.Background())
	}
	return c.targetCtx
}

func (c *Client) callLeader(ctx context.Context, method string, req, resp any, timeout time.Duration) error {
	for {
		targetCtx := c.targetContext()
		to, ok := c.targetPeer()
		if !ok {
			return azurestair.NotLeaderError{}
		}
		attemptCtx, cancel := context.WithCancel(ctx)
		stop := context.AfterFunc(targetCtx, cancel)
		err := c.callOnce(attemptCtx, to, method, req, resp, timeout)
		stop()
		cancel()
		c.updateLeader(to, err)
		delay := c.nextBackoff(err)
		if err == nil || isPermanent(err) {
			return err
		}
		c.advanceTarget(to, err)
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			t.Stop()
			return err
		case <-targetCtx.Done():
			t.Stop()
		case <-t.C:
		}
	}
}

// nextBackoff records the result of an attempt and returns the delay before the
// next one. The delay has random jitter of up to half of its bound, so that
// clients that lost the leader at the same time do not retry in step.
func (c *Client) nextBackoff(err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.failures = 0
		return 0
	}
	c.failures++
	doublings := min(max(0, c.failures-len(c.peers)), 8)
	bound := min(minBackoff<<doublings, maxBackoff)
	return bound/2 + rand.N(bound/2)
}

// isPermanent reports whether a retry would fail with the same error.
func isPermanent(err error) bool {
	return errors.Is(err, azurestair.ErrInvalid) || errors.Is(err, azurestair.ErrFull) || errors.Is(err, azurestair.ErrUnauthorized) ||
		errors.Is(err, azurestair.ErrConflict) || errors.Is(err, azurestair.ErrNotFound)
}

func (c *Client) targetPeer() (Address, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.peers) == 0 {
		return Address{}, false
	}
	return c.peers[c.target%len(c.peers)], true
}

// advanceTarget selects the next target after an attempt at the given one
// failed.
func (c *Client) advanceTarget(failed Address, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.peers)
	if n == 0 || c.peers[c.target%n] != failed {
		return
	}
	var notLeader azurestair.NotLeaderError
	if errors.As(err, &notLeader) {
		if i := c.ensurePeer(Address{ID: notLeader.Leader, Addr: notLeader.Addr}); i >= 0 && c.peers[i] != failed {
			c.target = i
			return
		}
	}
	c.target = (c.target + 1) % n
}

// maxPeers bounds the number of known control instances.
const maxPeers = 4 * azurestair.MaxVoters

// ensurePeer returns the index of a control instance among the peers. It adds
// an unknown one, in place of the oldest that is not a seed if there are too
// many. Without a valid address it returns -1. The caller must hold mu.
func (c *Client) ensurePeer(a Address) int {
	if i := slices.IndexFunc(c.peers, func(p Address) bool { return p.ID == a.ID }); i >= 0 {
		return i
	}
	if a.ID == "" || azurestair.CheckAddr(a.Addr) != nil {
		return -1
	}
	c.peers = slices.Clone(c.peers)
	// An instance that lost its disk has a new ID at the same address.
	if i := slices.IndexFunc(c.peers, func(p Address) bool { return p.Addr == a.Addr }); i >= 0 {
		c.peers[i] = a
		return i
	}
	if len(c.peers) < maxPeers {
		c.peers = append(c.peers, a)
		return len(c.peers) - 1
	}
	i := slices.IndexFunc(c.peers, func(p Address) bool { return !slices.Contains(c.seeds, p) })
	if i >= 0 {
		c.peers[i] = a
	}
	return i
}

func (c *Client) callOnce(ctx context.Context, to Address, method string, req, resp any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.call(ctx, to, method, req, resp)
}

func (c *Client) call(ctx context.Context, to Address, method string, req, resp any) error {
	cn, err := c.conns.get(to.ID, to.Addr)
	if err != nil {
		return err
	}
	responsesBefore := cn.responses.Load()
	var header metadata.MD
	err = cn.cc.Invoke(c.conns.versions.outgoing(ctx), method, req, resp, grpc.WaitForReady(false), grpc.Header(&header))
	switch code := status.Code(err); {
	case code == codes.OK || code == codes.FailedPrecondition || code == codes.Unimplemented:
		cn.responses.Add(1)
	case code == codes.DeadlineExceeded && cn.responses.Load() == responsesBefore && !cn.isConnecting():
		// No other call got a response meanwhile, so the connection is
		// considered dead. Otherwise only this call was slow.
		c.conns.drop(to.ID, cn)
	}
	if versionErr := c.conns.versions.checkResponse(to.ID, header, err); versionErr != nil {
		return versionErr
	}
	return fromStatus(err)
}
