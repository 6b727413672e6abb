package instance

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
	"azurestair.example/azurestair/caller"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/disk"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/peer"
	"azurestair.example/azurestair/raft"
	"azurestair.example/azurestair/routing"
	"azurestair.example/azurestair/settings"
	"azurestair.example/azurestair/upstream"
)

// Options replaces parts of a process. The zero value selects the defaults.
type Options struct {
	Clock azurestair.Clock
	// LeaseClock judges leases; nil selects Clock, or that of the system.
	LeaseClock azurestair.LeaseClock
	// LogOutput receives the log lines; nil discards them.
	LogOutput io.Writer
	// Reload delivers changed settings. Tokens and the log level take effect
	// without a restart.
	Reload <-chan settings.Settings
	// Seeds delivers changed addresses of control instances.
	Seeds <-chan []peer.Address
	// Listen opens a listener.
	Listen func(network, addr string) (net.Listener, error)
	// DialPeer and DialUpstream open connections.
	DialPeer     peer.Dialer
	DialUpstream upstream.Dialer
	// OpenStore opens the log store in a data folder.
	OpenStore func(dir string, id azurestair.InstanceID) (Store, azurestair.LogState, error)
	// FrontEnd replaces the interfaces to callers and upstreams; nil selects
	// the built-in ones.
	FrontEnd *FrontEnd
}

func (o Options) withDefaults() Options {
	if o.LeaseClock == nil {
		o.LeaseClock = leaseClockFor(o.Clock)
	}
	if o.Clock == nil {
		o.Clock = SystemClock{}
	}
	if o.LogOutput == nil {
		o.LogOutput = io.Discard
	}
	if o.OpenStore == nil {
		o.OpenStore = openStore
	}
	if o.Listen == nil {
		o.Listen = net.Listen
	}
	return o
}

func openStore(dir string, id azurestair.InstanceID) (Store, azurestair.LogState, error) {
	s, state, err := disk.Open(dir, id)
	if err != nil {
		return nil, state, err
	}
	return s, state, nil
}

// stopMargin is the time that stopping may take beyond the configured grace
// period.
const stopMargin = 10 * time.Second

// New returns the fx application of one process. Its Start method listens and
// serves; its Stop method shuts down gracefully. Its Done channel receives a
// signal when the process fails.
func New(s settings.Settings, o Options) *fx.App { return fx.New(Module(s, o)) }

// Module returns the fx module of one process.
func Module(s settings.Settings, o Options) fx.Option {
	o = o.withDefaults()
	return fx.Options(
		fx.Supply(s, o),
		fx.StopTimeout(s.Limits.ShutdownGraceMs.Duration()+stopMargin),
		fx.WithLogger(func(log *slog.Logger) fxevent.Logger {
			l := &fxevent.SlogLogger{Logger: log}
			l.UseLogLevel(slog.LevelDebug)
			// Start and Stop return the same errors.
			l.UseErrorLevel(slog.LevelDebug)
			return l
		}),
		fx.Supply(&slog.LevelVar{}),
		fx.Provide(newLogger, newVersions, newConns, newClient, newEntry, newProcess, newProcessMetrics),
		fx.Invoke(func(lc fx.Lifecycle, p *Process) {
			lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
		}),
	)
}

func newLogger(s settings.Settings, o Options, level *slog.LevelVar) (*slog.Logger, error) {
	if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
		return nil, fmt.Errorf("%w: log.level: %w", azurestair.ErrInvalid, err)
	}
	h := slog.NewTextHandler(o.LogOutput, &slog.HandlerOptions{Level: level, ReplaceAttr: errorText})
	return slog.New(h).With("instance", s.Instance.ID), nil
}

// errorText logs the message of an error without its stack trace.
func errorText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

func newVersions(s settings.Settings, o Options, log *slog.Logger) *peer.Versions {
	return peer.NewVersions(peer.VersionOptions{Self: s.Instance.ID, Clock: o.Clock, Log: log})
}

func newConns(s settings.Settings, o Options, versions *peer.Versions) (*peer.ConnPool, error) {
	cfg, err := peer.LoadTLS(s.TLS.CertFile, s.TLS.KeyFile, s.TLS.CAFile)
	if err != nil {
		return nil, err
	}
	return peer.NewConns(o.DialPeer, cfg, versions), nil
}

func addresses(s settings.Settings) []peer.Address {
	var out []peer.Address
	for _, v := range s.Control.Voters {
		out = append(out, peer.Address{ID: v.ID, Addr: v.PeerAddr})
	}
	return out
}

func newClient(s settings.Settings, conns *peer.ConnPool) *peer.Client {
	return peer.NewClient(conns, addresses(s))
}

// instanceInfo describes this instance. Its incarnation is the time of the
// start, so that a later start has a larger one. If the clock was set back,
// handleSuperseded raises the incarnation.
func instanceInfo(s settings.Settings, o Options) azurestair.InstanceInfo {
	i := azurestair.InstanceInfo{
		ID: s.Instance.ID, Incarnation: azurestair.Incarnation(o.Clock.Now().UnixNano()), //nolint:gosec // positive
		CallerAddr: s.Listen.Callers, UpstreamAddr: s.Listen.Upstreams, PeerAddr: s.Listen.Peers,
		Region: s.Instance.Region, FailureDomain: s.Instance.FailureDomain,
		Control: s.Instance.Has(settings.RoleControl),
	}
	if o.FrontEnd != nil {
		i.LinkRate = o.FrontEnd.LinkRate
	}
	return i
}

// newEntry returns the entry of the process, or nil if it does not have that
// role.
func newEntry(s settings.Settings, o Options, client *peer.Client, log *slog.Logger, m *processMetrics) *Entry {
	if !s.Instance.Has(settings.RoleEntry) {
		return nil
	}
	e := &Entry{
		self: instanceInfo(s, o), clock: o.Clock, leaseClock: o.LeaseClock, log: log, metrics: m, ledger: client,
		upstreamClient: upstream.NewClient(o.DialUpstream, o.Clock), makeDispatcher: weightedDispatcher, ctx: context.Background(),
		maxInFlight: int64(s.Limits.MaxRequestsInFlight),
	}
	e.upstreamClient.SetLog(log)
	m.registerDials(e.upstreamClient)
	if o.FrontEnd != nil {
		e.ownLink.Rate = o.FrontEnd.LinkRate
		e.upstreamClient.SetDialect(o.FrontEnd.Dialect, o.FrontEnd.MaxReuseIdle)
	}
	e.linkPacer = &linkPacer{entry: e, limiters: map[azurestair.Resource]*routing.LinkPacer{}}
	e.quota = newQuotaGate(e.self, o.LeaseClock, log, m)
	return e
}

// weightedDispatcher returns the dispatcher for configurations with leased
// slots. It distributes requests by weight.
func weightedDispatcher(s azurestair.ServiceName, e *Entry) *dispatcher {
	homeAllowed := func(region azurestair.RegionName, inFlight azurestair.Slots, _ time.Time) bool {
		v := e.view.Load()
		return v != nil && inFlight < v.slotLimit(s, region, e.leaseNow())
	}
	shiftAllowed := func(region azurestair.RegionName, inFlight azurestair.Slots, _ time.Time) bool {
		v, now := e.view.Load(), e.leaseNow()
		return v != nil && inFlight < v.shiftLimit(s, region, now) && e.linkPacer.hasBudget(v, region, now)
	}
	p := routing.NewWeighted(routing.Options{
		Service: s, Region: e.self.Region, FailureDomain: e.self.FailureDomain,
		HomeBudget: homeAllowed, ShiftBudget: shiftAllowed, LateSlotTTL: lateSlotHold, Entries: control.DefaultMaxHolders,
	})
	source := rand.NewPCG(rand.Uint64(), rand.Uint64())
	return newDispatcher(e.clock, admission.New(admission.Options{Rand: source}), p, source)
}

// Process is a running process: its control goroutine, its listeners and their
// goroutines.
type Process struct {
	settings   settings.Settings
	options    Options
	log        *slog.Logger
	versions   *peer.Versions
	peerConns  *peer.ConnPool
	peerClient *peer.Client
	entry      *Entry
	metrics    *processMetrics
	shutdowner fx.Shutdowner
	logLevel   *slog.LevelVar
	auth       authenticator

	self           azurestair.InstanceInfo
	controller     *Controller
	store          Store
	writer         *logWriter
	imageEncoder   *imageEncoder
	contactWriter  *hintWriter[azurestair.ContactList]
	snapshotWriter *hintWriter[*azurestair.Snapshot]
	notifier       *notifier
	reporter       *reporter
	transport      *peer.Transport
	peerServer     *peer.Server
	servers        []*http.Server
	panics         *panicLog

	// runCtx ends when the process stops.
	runCtx context.Context
	cancel context.CancelFunc
	// writers end after the control goroutine, which sends them jobs.
	writers sync.WaitGroup
	wg      sync.WaitGroup
}

func newProcess(s settings.Settings, o Options, log *slog.Logger, versions *peer.Versions, conns *peer.ConnPool, client *peer.Client, entry *Entry,
	m *processMetrics, shutdowner fx.Shutdowner, logLevel *slog.LevelVar,
) *Process {
	p := &Process{
		settings: s, options: o, log: log, versions: versions, peerConns: conns, peerClient: client, entry: entry, metrics: m, shutdowner: shutdowner,
		self: instanceInfo(s, o), logLevel: logLevel,
	}
	p.panics = &panicLog{log: log, count: m.panics}
	if entry != nil {
		entry.panics = p.panics
	}
	p.auth.set(s.Tokens)
	p.limitRuntime()
	m.registerVersionMismatch(versions)
	if entry != nil {
		p.self = entry.self
		p.initMemory(&entry.clientMemory)
	}
	return p
}

// start opens the data folder and the listeners and starts all goroutines.
func (p *Process) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel, p.runCtx = cancel, ctx
	if p.entry != nil {
		p.entry.ctx = ctx
	}
	if p.entry != nil && p.options.FrontEnd != nil {
		p.entry.leaving = newLeavingReporter(p.entry, p.peerClient, p.log)
	}
	p.reporter = newReporter(p.peerClient, p.options.LeaseClock)
	p.reporter.proposer = p.peerClient
	member := newMember(p.self, p.entry, p.reporter, p.log)
	member.startedAt = p.options.LeaseClock.Now()
	member.learnPeers, member.followLeader = p.peerClient.SetAlive, p.peerClient.SetLeader
	var fetcher *snapshotFetcher
	if p.entry != nil && p.options.FrontEnd != nil {
		fetcher = newSnapshotFetcher(p.peerClient, p.post, p.log, member.leaderReachedOnce)
		member.learnSource = fetcher.offer
	}
	if f := p.options.FrontEnd; f != nil {
		member.announcementTTL = announcementTTLIntervals * f.AnnounceInterval
	}
	if p.settings.Instance.Has(settings.RoleControl) {
		p.transport = peer.NewTransport(p.peerConns, p.options.Clock, otherVoters(p.settings))
	}
	p.controller = newController(p.options.LeaseClock, p.log, member, p.transport)
	p.controller.panics = p.panics
	p.reporter.post = p.post
	if p.transport != nil {
		p.reporter.leader = localLeaderReporter{controller: p.controller, remote: p.peerClient}
	}
	if err := p.startReplica(); err != nil {
		cancel()
		return err
	}
	if err := p.listen(); err != nil {
		cancel()
		p.closeReplica()
		return err
	}
	if p.notifier != nil {
		p.wg.Go(func() { p.notifier.run(ctx) })
	}
	p.wg.Go(func() { p.reporter.run(ctx) })
	p.startQuota(ctx)
	if fetcher != nil {
		p.wg.Go(func() { p.entry.leaving.run(ctx) })
		p.wg.Go(func() { fetcher.run(ctx) })
	}
	p.wg.Go(func() { p.run(ctx) })
	p.wg.Go(func() { p.runController(ctx) })
	p.log.Info("started", "callers", p.self.CallerAddr, "peers", p.self.PeerAddr, "roles", p.settings.Instance.Roles)
	return nil
}

// run applies changed settings until ctx ends.
func (p *Process) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case seeds := <-p.options.Seeds:
			p.peerClient.SetSeeds(seeds)
			p.post(seedsEvent{seeds: seeds})
		case s := <-p.options.Reload:
			p.auth.set(s.Tokens)
			if err := p.logLevel.UnmarshalText([]byte(s.Log.Level)); err != nil {
				p.log.Error("log level not changed", "err", err)
			}
			p.log.Info("settings reloaded", "operators", len(s.Tokens.Operators), "upstreams", len(s.Tokens.Upstreams))
		}
	}
}

// runController runs the control goroutine. If it fails, the process shuts
// down.
func (p *Process) runController(ctx context.Context) {
	p.controller.run(ctx)
	if p.controller.err != nil {
		_ = p.shutdowner.Shutdown(fx.ExitCode(1))
	}
}

// post queues an event for the control goroutine.
func (p *Process) post(e event) { _ = p.controller.post(context.Background(), e) }

func (p *Process) startReplica() error {
	if p.transport == nil {
		return nil
	}
	began := p.options.LeaseClock.Now()
	store, state, err := p.options.OpenStore(p.settings.Instance.DataDir, p.settings.Instance.ID)
	if errors.Is(err, azurestair.ErrNoIdentity) {
		return fmt.Errorf("data folder %s: %w; run 'azurestair init' for a new instance, "+
			"and see \"A lost disk\" in docs/OPERATING.md for one that has voted", p.settings.Instance.DataDir, err)
	}
	if err != nil {
		return fmt.Errorf("data folder %s: %w", p.settings.Instance.DataDir, err)
	}
	joining, err := store.Joining()
	if err != nil {
		_ = store.Close()
		return err
	}
	opts := raft.Options{ID: p.settings.Instance.ID, Joining: joining}
	if p.options.FrontEnd != nil {
		opts.ElectionTimeout = p.options.FrontEnd.ElectionTimeout
	}
	if !p.settings.Control.Learner {
		for _, v := range p.settings.Control.Voters {
			opts.Membership.Voters = append(opts.Membership.Voters, v.ID)
		}
	}
	r, err := newReplica(opts, state, p.options.LeaseClock.Now(), p.log)
	if err != nil {
		_ = store.Close()
		return err
	}
	p.log.Info("log opened", "snapshot", state.Snapshot.Index, "entries", len(state.Entries), "commit", state.HardState.Commit,
		"tookMs", p.options.LeaseClock.Now().Sub(began).Milliseconds())
	r.joining, r.peers, r.knownLeader, r.logTime.timeOfDay = joining, p.transport, p.peerClient.Leader, p.options.Clock
	p.startHints(r)
	p.store = store
	p.writer = newLogWriter(store, p.transport, p.post)
	r.storeFullGauge = p.metrics.storeFull
	p.imageEncoder = &imageEncoder{jobs: make(chan control.Image, 1), post: p.post}
	p.notifier = newNotifier(p.peerClient)
	if f := p.options.FrontEnd; f != nil {
		r.persistListing = true
		r.membershipPlanner, r.peerAddr, r.upstreamLease = &control.MembershipPlanner{Voters: f.VoterCount}, f.PeerAddr, upstreamLeaseIntervals*f.AnnounceInterval
	}
	r.transport, r.writer, r.imageEncoder, r.notifier = p.transport, p.writer, p.imageEncoder, p.notifier
	p.controller.replica = r
	if s, ok := store.(repairer); ok && s.NeedsRepair() {
		r.startRepair(p.options.LeaseClock.Now())
	}
	p.writers.Go(p.writer.run)
	p.writers.Go(p.imageEncoder.run)
	p.writers.Go(p.contactWriter.run)
	p.writers.Go(p.snapshotWriter.run)
	return nil
}

// startHints loads the stored contacts and the stored snapshot, and creates their
// writers.
func (p *Process) startHints(r *Replica) {
	dir, now := p.settings.Instance.DataDir, p.options.LeaseClock.Now()
	contacts := disk.HintFile{Dir: dir, Name: disk.ContactsFile}
	l := loadContacts(contacts, r.state.Fleet(), p.log)
	p.contactWriter = newHintWriter("contacts", contacts, encodeContacts, contactsInterval, p.log)
	r.contacts = contactBook{
		self: p.self.PeerAddr, book: *control.NewAddressBook(l, now), seeds: otherVoters(p.settings), writer: p.contactWriter,
	}
	m := p.controller.member
	m.fleet = cmp.Or(r.state.Fleet(), l.Fleet)
	p.peerClient.SetAlive(controlAddresses(l.Contacts))
	p.log.Info("contacts loaded", "contacts", len(l.Contacts), "fleet", m.fleet)

	published := disk.HintFile{Dir: dir, Name: disk.SnapshotFile}
	p.snapshotWriter = newHintWriter("snapshot", published, peer.EncodeSnapshot, snapshotInterval, p.log)
	m.saveSnapshot = p.snapshotWriter.save
	if s := loadSnapshot(published, m.fleet, p.log); s != nil {
		m.adoptProvisional(s, now)
		r.contacts.offersLeft = maxOffers
	}
}

func encodeContacts(l azurestair.ContactList) ([]byte, error) { return peer.Codec{}.Marshal(&l) }

// closeReplica stops the writers and closes the data folder.
func (p *Process) closeReplica() {
	if p.store == nil {
		return
	}
	close(p.writer.stop)
	close(p.writer.jobs)
	close(p.imageEncoder.jobs)
	p.contactWriter.close()
	p.snapshotWriter.close()
	p.writers.Wait()
	if err := p.store.Close(); err != nil {
		p.log.Error("data folder not closed", "err", err)
	}
	p.store = nil
}

// listen opens all listeners and starts serving them.
func (p *Process) listen() error {
	tlsCfg, err := peer.LoadTLS(p.settings.TLS.CertFile, p.settings.TLS.KeyFile, p.settings.TLS.CAFile)
	if err != nil {
		return err
	}
	l, err := p.options.Listen("tcp", p.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	p.peerServer = peer.NewServer(p.controller, tlsCfg, p.versions)
	p.peerServer.OnPanic = p.panics.record
	p.wg.Go(func() { _ = p.peerServer.Serve(l) })
	if p.options.FrontEnd != nil {
		return p.serveEndpoints(p.options.FrontEnd.Endpoints(p))
	}
	admin := operator.NewHandler(&backend{p}, p.auth.operator, p.options.Clock, p.metrics)
	if err := p.serveHTTP(Endpoint{Name: "operators", Addr: p.settings.Listen.Operators, Handler: admin}); err != nil {
		return err
	}
	if p.entry == nil {
		return nil
	}
	announce := upstream.NewAnnounceHandler(&announcementReceiver{p}, p.auth.upstream)
	if err := p.serveHTTP(Endpoint{Name: "upstreams", Addr: p.settings.Listen.Upstreams, Handler: announce}); err != nil {
		return err
	}
	return p.serveHTTP(Endpoint{
		Name: "callers", Addr: p.settings.Listen.Callers,
		Handler: caller.NewHandler(p.entry, p.options.Clock, p.settings.Limits.BodyTimeoutMs.Duration()),
	})
}

func (p *Process) serveEndpoints(list []Endpoint) error {
	for _, s := range list {
		if err := p.serveHTTP(s); err != nil {
			return err
		}
	}
	return nil
}

func (p *Process) serveHTTP(endpoint Endpoint) error {
	l, err := p.options.Listen("tcp", endpoint.Addr)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", endpoint.Name, err)
	}
	l, s := p.newServer(l, endpoint)
	s.ErrorLog = slog.NewLogLogger(p.log.Handler(), slog.LevelDebug)
	p.servers = append(p.servers, s)
	p.wg.Go(func() {
		if err := s.Serve(l); !caller.IsClosed(err) {
			p.log.Error("listener failed", "listener", endpoint.Name, "err", err)
		}
	})
	return nil
}
