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

// Options configure a stub upstream. With a zero ServiceTime it responds
// immediately.
type Options struct {
	ID            azurestair.UpstreamID
	Service       azurestair.ServiceName
	Region        azurestair.RegionName
	FailureDomain azurestair.FailureDomainName
	Slots         azurestair.Slots
	MaxConns      azurestair.Conns
	// QueueLimit is the number of requests that may wait for a slot; more are
	// shed.
	QueueLimit  azurestair.Slots
	ServiceTime time.Duration
	// Entries are the initial addresses for announcements, until a reply lists
	// others.
	Entries []string
	Token   string
	Listen  string
	// Advertise is the address that the stub announces; empty means the listen
	// address.
	Advertise string
	// Intercept, if set, may write the response in place of the stub, for
	// example an invalid one. It returns false to let the stub respond.
	Intercept func(w http.ResponseWriter, r *http.Request) bool
	// Dial opens the connections for announcements; nil means the default
	// dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Upstream is a running stub upstream. Create it with Start.
type Upstream struct {
	opts         Options
	addr         string
	server       *http.Server
	slots        chan struct{}
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	stateChanged chan struct{}

	mu          sync.Mutex
	state       azurestair.UpstreamState
	sequence    azurestair.Sequence
	incarnation azurestair.Incarnation
	entries     []string
	inFlight    int
	queued      int
	runs        map[string]int
	accepted    int
	// lastAccepted is the time at which the stub last started a request.
	lastAccepted        time.Time
	serviceTime         time.Duration
	holdPrefix          string
	announcementsPaused bool
	shedding            bool
	// drained is true if the last announcement reply said that an operator has
	// drained the stub.
	drained bool
}

// Start starts the server and the announcements of a stub.
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
		stateChanged: make(chan struct{}, 1), state: azurestair.StateServing,
		incarnation: azurestair.Incarnation(time.Now().UnixNano()), //nolint:gosec // positive
		entries:     opts.Entries, runs: map[string]int{}, serviceTime: opts.ServiceTime,
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: 5 * time.Second}
	u.wg.Go(func() { _ = u.server.Serve(l) })
	u.wg.Go(func() { u.run(ctx) })
	return u, nil
}

// Addr returns the address on which the stub listens.
func (u *Upstream) Addr() string { return u.addr }

// ID returns the upstream id of the stub.
func (u *Upstream) ID() azurestair.UpstreamID { return u.opts.ID }

// Service returns the service of the stub.
func (u *Upstream) Service() azurestair.ServiceName { return u.opts.Service }

// Region returns the region of the stub.
func (u *Upstream) Region() azurestair.RegionName { return u.opts.Region }

// Runs returns how often the request with the given Stub-Request header ran.
func (u *Upstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// Accepted returns the number of requests that the stub has started.
func (u *Upstream) Accepted() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.accepted
}

// LastAccepted returns the time at which the stub last started a request.
func (u *Upstream) LastAccepted() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastAccepted
}

// HoldRequests blocks each request whose Stub-Request header starts with the
// prefix until its deadline or cancellation. The empty prefix blocks none.
func (u *Upstream) HoldRequests(prefix string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.holdPrefix = prefix
}

// SetServiceTime sets the duration of a request.
func (u *Upstream) SetServiceTime(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serviceTime = d
}

// SetAnnouncementsPaused stops or resumes the announcements, to simulate an
// upstream whose load measurement has failed.
func (u *Upstream) SetAnnouncementsPaused(paused bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.announcementsPaused = paused
}

// SetShedding sets whether the stub sheds every request without running it.
func (u *Upstream) SetShedding(shedding bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.shedding = shedding
}

// Drain announces that the stub takes no new requests.
func (u *Upstream) Drain() { u.setState(azurestair.StateDraining) }

// Undrain announces that the stub takes requests again.
func (u *Upstream) Undrain() { u.setState(azurestair.StateServing) }

// Shutdown announces the shutdown, completes the requests in progress and stops
// the stub.
func (u *Upstream) Shutdown(ctx context.Context) error {
	u.setState(azurestair.StateLeaving)
	err := u.server.Shutdown(ctx)
	u.cancel()
	u.wg.Wait()
	return err
}

// Close stops the stub immediately, like a crash, without announcing it.
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
	case u.stateChanged <- struct{}{}:
	default:
	}
}

// Headers that tests use to control and trace requests.
const (
	// HeaderTestID identifies a request in all its attempts.
	HeaderTestID = "Stub-Request"
	// HeaderUpstream is the id of the stub that responded.
	HeaderUpstream = "Stub-Upstream"
	// HeaderWorkspace is the workspace that the request named.
	HeaderWorkspace = "Stub-Workspace"
	// HeaderHasKey is set if the request carried an API key, which an entry must
	// not forward.
	HeaderHasKey = "Stub-Has-Key"
)

// acquireSlot waits for a slot. It returns false if the request must be shed:
// shedding is on, the queue is full, or the deadline of the attempt has passed.
func (u *Upstream) acquireSlot(ctx context.Context) bool {
	if u.isShedding() || ctx.Err() != nil {
		return false
	}
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	if !u.addQueued(1) {
		return false
	}
	defer u.addQueued(-1)
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

func (u *Upstream) addQueued(n int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n > 0 && u.queued >= int(u.opts.QueueLimit) {
		return false
	}
	u.queued += n
	return true
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(upstream.HeaderAttemptID)
	w.Header().Set(upstream.HeaderAttemptID, id)
	w.Header().Set(HeaderUpstream, string(u.opts.ID))
	if workspace := r.Header.Get(upstream.HeaderWorkspace); workspace != "" {
		w.Header().Set(HeaderWorkspace, workspace)
	}
	if r.Header.Get("Azurestair-Key") != "" || r.Header.Get("Key") != "" {
		w.Header().Set(HeaderHasKey, "true")
	}
	u.mu.Lock()
	w.Header().Set(upstream.HeaderState, string(u.reportedState()))
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
	if !u.acquireSlot(ctx) {
		w.Header().Set(upstream.HeaderNotRun, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	u.runRequest(ctx, r.Header.Get(HeaderTestID))
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

// reportedState returns the state for responses. The caller must hold mu.
func (u *Upstream) reportedState() azurestair.UpstreamState {
	if u.drained && u.state == azurestair.StateServing {
		return azurestair.StateDraining
	}
	return u.state
}

func (u *Upstream) runRequest(ctx context.Context, testID string) {
	u.mu.Lock()
	u.inFlight++
	u.accepted++
	u.lastAccepted = time.Now()
	if testID != "" {
		u.runs[testID]++
	}
	d, holdPrefix := u.serviceTime, u.holdPrefix
	u.mu.Unlock()
	if holdPrefix != "" && strings.HasPrefix(testID, holdPrefix) {
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
