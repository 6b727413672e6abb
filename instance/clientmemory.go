package instance

import (
	"context"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/admission"
	"azurestair.example/azurestair/stdout"
)

const (
	// maxBodyMemory bounds the bodies that an entry keeps if the memory of its
	// machine is not set.
	maxBodyMemory azurestair.Bytes = 48 << 20
	// clientMemoryDivisor is the part of the machine's memory that clients may
	// use. Of 136 MB, a process needs 36 MB at rest, 1,300 connections 21 MB,
	// and the garbage collector as much as clients use.
	clientMemoryDivisor = 4
	// runtimeMemoryFraction is the fraction of the machine's memory that is set
	// as the soft memory limit of the Go runtime. The rest is for unread socket
	// data and for the program itself.
	runtimeMemoryFraction = 0.6
)

// Names of the metrics of the memory that clients use.
const (
	memoryUsedMetric    = "clients.memoryBytes"
	memoryRefusedMetric = "clients.memoryRefused"
	memoryEvictedMetric = "clients.memoryEvicted"
)

// clientMemory counts the bytes that the process holds for clients. The zero
// value has maxBodyMemory available and counts only bodies. It is safe for
// concurrent use.
type clientMemory struct {
	// machine is the memory of the machine; zero if it is not set.
	machine azurestair.Bytes
	// onShort is called for each refused or evicted holder; it may be nil.
	onShort func(evicted int)

	mu     sync.Mutex
	budget *admission.ByteBudget[*memoryHolder]
}

func (m *clientMemory) limit() azurestair.Bytes {
	if m.machine > 0 {
		return m.machine / clientMemoryDivisor
	}
	return maxBodyMemory
}

// used returns the bytes that are held.
func (m *clientMemory) used() azurestair.Bytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget == nil {
		return 0
	}
	return m.budget.Used()
}

// countsHeads reports whether request heads and responses are counted.
func (m *clientMemory) countsHeads() bool { return m.machine > 0 }

// memoryHolder holds bytes for one request or one request head.
type memoryHolder struct {
	memory *clientMemory
	block  azurestair.ClientBlock
	// bytes, evict and evicted are guarded by memory.mu. evict makes the holder
	// give way; nil means that it cannot.
	bytes   azurestair.Bytes
	evict   func()
	evicted bool
}

func (m *clientMemory) newHolder(block azurestair.ClientBlock) *memoryHolder {
	return &memoryHolder{memory: m, block: block}
}

// reserve takes n more bytes and reports whether they are available.
func (h *memoryHolder) reserve(n azurestair.Bytes) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget == nil {
		m.budget = admission.NewByteBudget[*memoryHolder](m.limit())
	}
	victims, ok := m.budget.Reserve(h, h.block, n, h.evict == nil)
	for _, v := range victims {
		v.evicted = true
		if v != h && v.evict != nil {
			v.evict()
		}
	}
	if ok {
		h.bytes += n
	}
	if m.onShort != nil && (!ok || len(victims) > 0) {
		m.onShort(len(victims))
	}
	return ok
}

// release returns n bytes.
func (h *memoryHolder) release(n azurestair.Bytes) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.releaseLocked(n)
}

func (h *memoryHolder) releaseLocked(n azurestair.Bytes) {
	if h.memory.budget != nil {
		h.memory.budget.Release(h, n)
	}
	h.bytes -= n
}

// close returns all bytes. The holder can be used again.
func (h *memoryHolder) close() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.releaseLocked(h.bytes)
	h.evict, h.evicted = nil, false
}

// setEvict sets the function that makes the holder release its memory; nil means
// that it cannot.
func (h *memoryHolder) setEvict(f func()) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.evict = f
	if h.memory.budget != nil {
		h.memory.budget.Pin(h, f == nil)
	}
}

// isEvicted reports whether the holder had to give way.
func (h *memoryHolder) isEvicted() bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.evicted
}

// blockOf returns the client block of a remote address, or none.
func blockOf(a net.Addr) azurestair.ClientBlock {
	if a == nil {
		return 0
	}
	addrPort, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return 0
	}
	return azurestair.BlockOf(addrPort.Addr())
}

// connOf returns the client connection of a request, or nil.
func connOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(clientConnKey{}).(*clientConn)
	return c
}

// holderFor returns the holder for the body and the response of a request.
func (m *clientMemory) holderFor(ctx context.Context) *memoryHolder {
	if c := connOf(ctx); c != nil {
		return m.newHolder(c.block)
	}
	return m.newHolder(0)
}

// abortBody makes reads of the request body fail.
func abortBody(ctx context.Context) func() {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	return func() { _ = c.SetReadDeadline(time.Unix(1, 0)) }
}

// limitRuntime sets the memory limit of the Go runtime from the memory of the
// machine.
func (p *Process) limitRuntime() {
	if machine := p.settings.Limits.MemoryBytes; machine > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryFraction * float64(machine)))
	}
}

// initMemory sets the memory of the process for clients from the memory of its
// machine.
func (p *Process) initMemory(m *clientMemory) {
	m.machine = p.settings.Limits.MemoryBytes
	r := p.metrics.registry
	metrics.NewRegisteredFunctionalGauge(memoryUsedMetric, r, func() int64 { return int64(m.used()) })
	refused, evicted := metrics.NewRegisteredCounter(memoryRefusedMetric, r), metrics.NewRegisteredCounter(memoryEvictedMetric, r)
	lines := &stdout.LineLimiter{}
	m.onShort = func(victims int) {
		if victims == 0 {
			refused.Inc(1)
		}
		evicted.Inc(int64(victims))
		if ok, suppressed := lines.Allow(linesPerSecond, p.options.Clock.Now()); ok {
			p.log.Warn("memory for clients is short", "limitBytes", m.limit(), "evicted", victims, "linesLeftOut", suppressed)
		}
	}
}
