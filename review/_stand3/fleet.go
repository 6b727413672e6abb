package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine. Every machine has a loopback address of its own, so that
// the ports are the same on all machines.
const (
	frontPort     = 8161
	readyPort     = 8167
	controlPort   = 8166
	directoryPort = 8164
	workerPort    = 8080
	firstInternal = 7720
	lastInternal  = 7735
)

// zones maps the zones of the deployment to their regions.
var zones = map[string]string{
	"kigali-a": "kigali", "kigali-b": "kigali", "huye-a": "huye", "huye-b": "huye", "musanze-a": "musanze", "musanze-b": "musanze",
}

// machine is a process of the system under test.
type machine struct {
	name string
	ip   string
	dir  string
	boot map[string]any
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet is a small deployment: control machines with disks, and edge machines.
type fleet struct {
	repo  string
	dir   string
	block string
	core  []*machine
	edge  []*machine

	mu       sync.Mutex
	nextHost int
	workers  []*worker
}

// fleetOptions are the sizes of a deployment.
type fleetOptions struct {
	core, edge int
}

func newFleet(o fleetOptions) (*fleet, error) {
	repo, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "azurestair-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{repo: repo, dir: dir, nextHost: 10}
	if f.block, err = freeBlock(); err != nil {
		return nil, err
	}
	spots := []string{"kigali-a", "huye-a", "musanze-a", "kigali-b", "huye-b", "musanze-b"}
	for i := range o.core {
		f.core = append(f.core, f.newMachine("core", spots[i%len(spots)], i))
	}
	for i := range o.edge {
		f.edge = append(f.edge, f.newMachine("edge", spots[i%len(spots)], i))
	}
	seeds := []string{}
	for i := range min(3, len(f.core)) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.core[i].ip, controlPort))
	}
	for _, m := range f.machines() {
		m.boot["seeds"] = seeds
	}
	return f, nil
}

// freeBlock returns the first three bytes of loopback addresses that nothing
// listens on.
func freeBlock() (string, error) {
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for host := 10; host < 60 && free; host++ {
			for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, workerPort, firstInternal, 9464} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", block, host, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return block, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (f *fleet) nextIP() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextHost++
	return fmt.Sprintf("%s.%d", f.block, f.nextHost)
}

func (f *fleet) newMachine(class, zone string, i int) *machine {
	m := &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, i), ip: f.nextIP()}
	m.dir = filepath.Join(f.dir, m.name)
	listen := map[string]any{"front": m.addr(frontPort), "ready": m.addr(readyPort), "directory": m.addr(directoryPort)}
	limits := map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	serves := []string{"edge", "directory"}
	var dataDir any
	if class == "core" {
		listen = map[string]any{"control": m.addr(controlPort)}
		limits = map[string]any{"cpu_share": 0.24, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 256}
		serves = []string{"control"}
		dataDir = filepath.Join(m.dir, "data")
	}
	m.boot = map[string]any{
		"node_name": m.name, "role": class, "machine_class": class, "serves": serves, "ip": m.ip, "zone": zone, "region": zones[zone],
		"zones": zones, "listen": listen, "internal_ports": []int{firstInternal, lastInternal}, "bootstrap": true,
		"loss_eligible": class == "core", "limits": limits, "data_dir": dataDir, "discovery": "registry", "entry": "directory",
		"beat_interval_ms": 1500, "contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "places"},
		"tolerate": map[string]any{"machines": 1, "zones": 1, "regions": 1}, "config_mode": "highest",
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "budget_extra": 58, "cold_over": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 15,
			"ttl_max_s": 5, "shift_most": 0.15,
		},
	}
	return m
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (f *fleet) machines() []*machine { return append(append([]*machine{}, f.core...), f.edge...) }

// writeBoot writes the settings file of a machine.
func (m *machine) writeBoot() error {
	if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(m.boot, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.bootPath(), data, 0o644)
}

func (m *machine) bootPath() string { return filepath.Join(m.dir, "local.json") }

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	if err := m.writeBoot(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.repo, "target/azurestair"), "platform")
	cmd.Dir = f.repo
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AZURESTAIR_BOOT=" + m.bootPath()}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.done)
	return nil
}

func (f *fleet) startAll() error {
	for _, m := range f.machines() {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// ended reports whether the process has ended.
func (m *machine) ended() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.done
}

// close ends everything that the fleet has started.
func (f *fleet) close() {
	for _, w := range f.workers {
		w.close()
	}
	for _, m := range f.machines() {
		if m.cmd != nil {
			m.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// post sends a call to a control address and returns the status, or 0.
func post(addr, path string, body []byte, timeout time.Duration) int {
	c := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// order sends an order of the operator to one control machine after the other
// until it gets a clear response.
func (f *fleet) order(path string, body []byte, within time.Duration) int {
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		m := f.core[i%len(f.core)]
		status := post(m.addr(controlPort), path, body, time.Second)
		if status/100 == 2 || status/100 == 4 && status != 408 && status != 429 {
			return status
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0
}

// isReady asks a machine whether it is ready.
func (m *machine) isReady() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.addr(readyPort) + "/azurestair/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == 200
}

// waitReady waits until all edge machines are ready.
func (f *fleet) waitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, m := range f.edge {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
