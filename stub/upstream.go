package stub

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/upstream"
)

// Options describe a stub upstream. ServiceTime zero answers at once.
type Options struct {
	ID            azurestair.UpstreamID
	Service       azurestair.ServiceName
	Region        azurestair.RegionName
	FailureDomain azurestair.FailureDomainName
	Slots         azurestair.Slots
	MaxConns      azurestair.Conns
	// QueueLimit is how many requests wait for a slot before the stub sheds.
	QueueLimit  azurestair.Slots
	ServiceTime time.Duration
	// Entries are the addresses where the stub announces itself first.
	Entries []string
	Token   string
	Listen  string
	// Advertise is the address that the stub announces; empty means its own.
	Advertise string
	// Intercept, if set, may answer a request in place of the stub, for
	// instance wrongly. It returns false for a request that the stub answers.
	Intercept func(w http.ResponseWriter, r *http.Request) bool
	// Dial opens the connections for announcements; nil means a plain dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Upstream is a running stub. Create it with Start.
type Upstream struct {
	opts   Options
	addr   string
	server *http.Server
	slots  chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{}

	mu          sync.Mutex
	state       azurestair.UpstreamState
	sequence    azurestair.Sequence
	incarnation azurestair.Incarnation
	entries     []string
	inFlight    int
	waiting     int
	runs        map[string]int
	accepted    int
	// lastAccepted is when the stub last started a request.
	lastAccepted time.Time
	serviceTime  time.Duration
	held         string
	silent       bool
	shedding     bool
	// drained is true while an operator has drained the stub.
	drained bool
}

// Start listens and begins to announce the stub.
func Start(opts Options) (*Upstream, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	if opts.Slots == 0 {
		opts.Slots = 9
	}
	if opts.MaxConns == 0 {
		opts.MaxConns = 330
	}
	l, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", opts.Listen, err)
	}
	if opts.Advertise == "" {
		opts.Advertise = l.Addr().String()
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &Upstream{
		opts: opts, addr: l.Addr().String(), slots: make(chan struct{}, opts.Slots), cancel: cancel,
		wake: make(chan struct{}, 1), state: azurestair.StateServing,
		incarnation: azurestair.Incarnation(time.Now().UnixNano()), //nolint:gosec // positive
		entries:     opts.Entries, runs: map[string]int{}, serviceTime: opts.ServiceTime,
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: 5 * time.Second}
	u.wg.Go(func() { _ = u.server.Serve(l) })
	u.wg.Go(func() { u.run(ctx) })
	return u, nil
}

// Addr returns where the stub serves.
func (u *Upstream) Addr() string { return u.addr }

// ID returns the name of the stub.
func (u *Upstream) ID() azurestair.UpstreamID { return u.opts.ID }

// Service returns the service that the stub belongs to.
func (u *Upstream) Service() azurestair.ServiceName { return u.opts.Service }

// Region returns where the stub stands.
func (u *Upstream) Region() azurestair.RegionName { return u.opts.Region }

// Runs returns how often the request with the given value of Stub-Request ran.
func (u *Upstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// Accepted returns how many requests the stub has started.
func (u *Upstream) Accepted() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.accepted
}

// LastAccepted returns when the stub last started a request.
func (u *Upstream) LastAccepted() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastAccepted
}

// Hold keeps each request whose value of Stub-Request begins with the prefix
// until its deadline or its cancellation. The empty prefix holds none.
func (u *Upstream) Hold(prefix string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.held = prefix
}

// SetServiceTime changes how long a request takes.
func (u *Upstream) SetServiceTime(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serviceTime = d
}

// SetSilent stops the announcements, as a failed measurement would.
func (u *Upstream) SetSilent(silent bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = silent
}

// SetShedding has the stub shed every request before it runs.
func (u *Upstream) SetShedding(shedding bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.shedding = shedding
}

// Drain announces that the stub takes no more work.
func (u *Upstream) Drain() { u.setState(azurestair.StateDraining) }

// Undrain announces that the stub serves again.
func (u *Upstream) Undrain() { u.setState(azurestair.StateServing) }

// Leave announces the exit, finishes the work in progress and stops.
func (u *Upstream) Leave(ctx context.Context) error {
	u.setState(azurestair.StateLeaving)
	err := u.server.Shutdown(ctx)
	u.cancel()
	u.wg.Wait()
	return err
}

// Close stops the stub at once, as a crash would.
func (u *Upstream) Close() {
	u.cancel()
	_ = u.server.Close()
	u.wg.Wait()
}

func (u *Upstream) setState(s azurestair.UpstreamState) {
	u.mu.Lock()
	u.state = s
	u.mu.Unlock()
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// Headers that tests use to steer and follow requests.
const (
	// HeaderTestID names a request across its attempts.
	HeaderTestID = "Stub-Request"
	// HeaderUpstream names the stub that answered.
	HeaderUpstream = "Stub-Upstream"
)

// begin takes a slot; it returns false when the stub sheds, as it does once the
// attempt's deadline has passed.
func (u *Upstream) begin(ctx context.Context) bool {
	if u.isShedding() || ctx.Err() != nil {
		return false
	}
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	if !u.wait(1) {
		return false
	}
	defer u.wait(-1)
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *Upstream) isShedding() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.shedding
}

func (u *Upstream) wait(n int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n > 0 && u.waiting >= int(u.opts.QueueLimit) {
		return false
	}
	u.waiting += n
	return true
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(upstream.HeaderRequest)
	w.Header().Set(upstream.HeaderRequest, id)
	w.Header().Set(HeaderUpstream, string(u.opts.ID))
	u.mu.Lock()
	w.Header().Set(upstream.HeaderState, string(u.answeredState()))
	u.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get(upstream.HeaderTimeLeft), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !u.begin(ctx) {
		w.Header().Set(upstream.HeaderNotRun, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	u.work(ctx, r.Header.Get(HeaderTestID))
	if u.opts.Intercept != nil && u.opts.Intercept(w, r) {
		return
	}
	if r.Method == http.MethodGet {
		_, _ = fmt.Fprintf(w, "%s %s\n", u.opts.ID, r.URL.RequestURI())
		return
	}
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	_, _ = w.Write(body)
}

// answeredState is the state that answers carry. The caller holds mu.
func (u *Upstream) answeredState() azurestair.UpstreamState {
	if u.drained && u.state == azurestair.StateServing {
		return azurestair.StateDraining
	}
	return u.state
}

func (u *Upstream) work(ctx context.Context, testID string) {
	u.mu.Lock()
	u.inFlight++
	u.accepted++
	u.lastAccepted = time.Now()
	if testID != "" {
		u.runs[testID]++
	}
	d, held := u.serviceTime, u.held
	u.mu.Unlock()
	if held != "" && strings.HasPrefix(testID, held) {
		<-ctx.Done()
	} else if d > 0 {
		t := time.NewTimer(d)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
	u.mu.Lock()
	u.inFlight--
	u.mu.Unlock()
}
