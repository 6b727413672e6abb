package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine, on its own loopback address.
const (
	frontPort     = "8161"
	directoryPort = "8164"
	controlPort   = "8166"
	readyPort     = "8167"
	metricsPort   = "9464"
	internalFirst = 7720
	internalLast  = 7735
)

// restartDelay is the delay after which the platform restarts a process that
// has ended.
const restartDelay = 300 * time.Millisecond

// site holds the settings that all machines share.
type site struct {
	zones     map[string]string
	contracts []string
	bounds    map[string]any
	tolerate  map[string]int
}

// smallSite returns settings like those of the small deployments.
func smallSite() site {
	return site{
		zones:     map[string]string{"kigali-a": "kigali", "huye-a": "huye", "musanze-a": "musanze", "kigali-b": "kigali", "huye-b": "huye", "musanze-b": "musanze"},
		contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "places"},
		tolerate:  map[string]int{"machines": 1, "zones": 1, "regions": 1},
		bounds: map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "budget_extra": 58, "cold_over": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 15, "ttl_max_s": 5, "shift_most": 0.15,
		},
	}
}

// fleet is a set of machines on loopback addresses.
type fleet struct {
	rec      *record
	site     site
	dir      string
	program  string
	prefix   string
	machines []*machine
	mu       sync.Mutex
	closing  bool
	// seedsOf returns the machines that the settings name as seeds; nil stands
	// for the first three that serve control.
	seedsOf func() []*machine
}

// machine is one machine with one process of the system.
type machine struct {
	fleet     *fleet
	name      string
	class     string
	ip        string
	zone      string
	memoryMB  int
	dataDir   string
	bootstrap bool

	mu sync.Mutex
	// cmd is the running process, or nil.
	cmd *exec.Cmd
	// down is true while the platform does not restart the process.
	down bool
	// ended counts the processes that ended by themselves, and overLimit those
	// that were ended for their memory.
	ended, overLimit int
	peakMB           float64
}

func newFleet(rec *record, s site) (*fleet, error) {
	dir, err := os.MkdirTemp("", "azurestair-case-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(cmp.Or(os.Getenv("PROGRAM"), "target/azurestair"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, site: s, dir: dir, program: program}
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if isFree(prefix) {
			f.prefix = prefix
			return f, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func isFree(prefix string) bool {
	for n := 1; n <= 24; n++ {
		for _, port := range []string{frontPort, directoryPort, controlPort, readyPort, metricsPort, strconv.Itoa(internalFirst)} {
			l, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("%s.%d", prefix, n), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// add adds a machine, which is not started yet.
func (f *fleet) add(class, zone string, memoryMB int) *machine {
	m := &machine{
		fleet: f, name: fmt.Sprintf("%s-%d", class, len(f.machines)+1), class: class, zone: zone, memoryMB: memoryMB,
		ip: fmt.Sprintf("%s.%d", f.prefix, len(f.machines)+1), bootstrap: true,
	}
	m.dataDir = filepath.Join(f.dir, m.name, "data")
	f.machines = append(f.machines, m)
	return m
}

// cores returns the machines that serve control.
func (f *fleet) cores() []*machine { return f.ofClass("core") }

// fronts returns the machines that serve clients.
func (f *fleet) fronts() []*machine { return f.ofClass("edge") }

func (f *fleet) ofClass(class string) []*machine {
	var out []*machine
	for _, m := range f.machines {
		if m.class == class {
			out = append(out, m)
		}
	}
	return out
}

func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	for _, m := range f.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

func (m *machine) addr(port string) string { return net.JoinHostPort(m.ip, port) }

func (m *machine) boot() map[string]any {
	s := m.fleet.site
	var seeds []string
	first := m.fleet.cores()[:3]
	if m.fleet.seedsOf != nil {
		first = m.fleet.seedsOf()
	}
	for _, c := range first {
		seeds = append(seeds, c.addr(controlPort))
	}
	b := map[string]any{
		"node_name": m.name, "role": "role-" + m.class, "machine_class": m.class, "ip": m.ip, "zone": m.zone, "region": s.zones[m.zone],
		"zones": s.zones, "internal_ports": []int{internalFirst, internalLast}, "seeds": seeds, "bootstrap": m.bootstrap,
		"loss_eligible": m.class == "core", "discovery": "registry", "entry": "directory", "beat_interval_ms": 1500,
		"contracts": s.contracts, "tolerate": s.tolerate, "bounds": s.bounds, "config_mode": "highest", "data_dir": nil,
		"limits": map[string]any{"cpu_share": 0.64, "cores": 1, "memory_mb": m.memoryMB, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 0},
	}
	if m.class == "core" {
		b["serves"] = []string{"control"}
		b["listen"] = map[string]string{"control": m.addr(controlPort)}
		b["data_dir"] = m.dataDir
		return b
	}
	b["serves"] = []string{"edge", "directory"}
	b["listen"] = map[string]string{"front": m.addr(frontPort), "ready": m.addr(readyPort), "directory": m.addr(directoryPort)}
	return b
}

// start starts the process of the machine.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	dir := filepath.Join(m.fleet.dir, m.name)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	if m.class == "core" {
		if err := os.MkdirAll(m.dataDir, 0o750); err != nil {
			return err
		}
	}
	data, err := json.MarshalIndent(m.boot(), "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(dir, "local.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.fleet.program, "platform")
	cmd.Env = []string{"AZURESTAIR_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + dir}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	m.cmd, m.down = cmd, false
	m.fleet.rec.line("%s at %s (%s) starts, pid %d", m.name, m.ip, m.zone, cmd.Process.Pid)
	go m.watch(cmd, log)
	return nil
}

// watch waits for the end of a process, and restarts it as the platform does.
func (m *machine) watch(cmd *exec.Cmd, log *os.File) {
	err := cmd.Wait()
	_ = log.Close()
	m.mu.Lock()
	m.cmd = nil
	down := m.down
	if !down {
		m.ended++
	}
	m.mu.Unlock()
	m.fleet.rec.line("%s pid %d has ended: %v", m.name, cmd.Process.Pid, err)
	if down || m.fleet.isClosing() {
		return
	}
	time.Sleep(restartDelay)
	if m.fleet.isClosing() {
		return
	}
	m.bootstrap = false
	if err := m.start(); err != nil {
		m.fleet.rec.line("%s does not start: %v", m.name, err)
	}
}

func (f *fleet) isClosing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closing
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd != nil {
		m.fleet.rec.line("%s gets signal %v", m.name, s)
		_ = cmd.Process.Signal(s)
	}
}

// kill ends the process for good, or until start.
func (m *machine) kill() {
	m.mu.Lock()
	m.down = true
	cmd := m.cmd
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
}

// enforceMemory ends processes over the memory of their machine, as the
// platform does, until the fleet closes. Only anonymous memory counts.
func (f *fleet) enforceMemory() {
	for !f.isClosing() {
		for _, m := range f.machines {
			m.checkMemory()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (m *machine) checkMemory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil || m.down {
		return
	}
	mb := anonymousMB(m.cmd.Process.Pid)
	m.peakMB = max(m.peakMB, mb)
	if m.memoryMB > 0 && mb > float64(m.memoryMB) {
		m.overLimit++
		m.fleet.rec.line("%s uses %.0f MB of memory, the machine has %d MB: killed", m.name, mb, m.memoryMB)
		_ = m.cmd.Process.Kill()
		m.cmd = nil
	}
}

func anonymousMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return float64(kb) / 1024
		}
	}
	return 0
}
