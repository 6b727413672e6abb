package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine. Each machine has a loopback address of its own.
const (
	frontPort    = 8161
	readyPort    = 8167
	controlPort  = 8166
	lookupPort   = 8164
	firstPeer    = 7720
	lastPeer     = 7735
	beatInterval = 1500 * time.Millisecond
	graceSeconds = 6
)

// zones of the deployment, in the order in which machines are placed.
var zones = []struct{ name, region string }{
	{"kigali-a", "kigali"},
	{"huye-a", "huye"},
	{"musanze-a", "musanze"},
	{"kigali-b", "kigali"},
	{"huye-b", "huye"},
	{"musanze-b", "musanze"},
}

// machine is one process of the system on its own loopback address.
type machine struct {
	name, ip, zone, region string
	control                bool
	dir                    string
	command                []string
	cmd                    *exec.Cmd
	exited                 chan struct{}
}

// fleet is the system under test with the stand-ins around it.
type fleet struct {
	root, dir string
	subnet    string
	rec       *recorder
	controls  []*machine
	entries   []*machine
	workers   []*worker
	client    *http.Client
	bootstrap bool
}

// recorder writes the record of a run.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{f: f, start: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// roleCommand reads the command of a role from the deploy file.
func roleCommand(root, role string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	_, section, ok := strings.Cut(string(data), "[roles."+role+"]")
	if !ok {
		return nil, fmt.Errorf("deploy file has no role %s", role)
	}
	section, _, _ = strings.Cut(section, "[roles.")
	for line := range strings.Lines(section) {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("role %s has no command", role)
}

// freeSubnet returns the first three numbers of loopback addresses on which the
// ports of a machine are free.
func freeSubnet() (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{frontPort, readyPort, controlPort, lookupPort, firstPeer, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.11:%d", subnet, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func newFleet(root string, rec *recorder, controls, entries int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, subnet: subnet, rec: rec, bootstrap: true, client: &http.Client{
		Timeout:       time.Second,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: nil,
	}}
	controlCommand, err := roleCommand(root, "control")
	if err != nil {
		return nil, err
	}
	entryCommand, err := roleCommand(root, "entry")
	if err != nil {
		return nil, err
	}
	for i := range controls + entries {
		zone := zones[i%len(zones)]
		m := &machine{ip: fmt.Sprintf("%s.%d", subnet, 11+i), zone: zone.name, region: zone.region, control: i < controls}
		if m.control {
			m.name, m.command = fmt.Sprintf("core-%d", i), controlCommand
			f.controls = append(f.controls, m)
		} else {
			m.name, m.command = fmt.Sprintf("edge-%d", i-controls), entryCommand
			f.entries = append(f.entries, m)
		}
		m.dir = filepath.Join(dir, m.name)
		if err := os.Mkdir(m.dir, 0o755); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// writeSettings writes the settings file of a machine.
func (f *fleet) writeSettings(m *machine) error {
	regionOf := map[string]string{}
	for _, z := range zones {
		regionOf[z.name] = z.region
	}
	var seeds []string
	for _, c := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	s := map[string]any{
		"node_name": m.name, "ip": m.ip, "zone": m.zone, "region": m.region, "zones": regionOf,
		"internal_ports": []int{firstPeer, lastPeer}, "seeds": seeds, "bootstrap": f.bootstrap, "loss_eligible": m.control,
		"data_dir": nil, "discovery": "registry", "entry": "directory", "beat_interval_ms": beatInterval.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "places"},
		"tolerate":  map[string]int{"machines": 1, "zones": 1, "regions": 1},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": graceSeconds,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "budget_extra": 58, "cold_over": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 15,
			"ttl_max_s": 5, "shift_most": 0.15,
		},
		"config_mode": "highest",
	}
	if m.control {
		s["role"], s["machine_class"], s["serves"] = "control", "core", []string{"control"}
		s["listen"] = map[string]string{"control": fmt.Sprintf("%s:%d", m.ip, controlPort)}
		s["data_dir"] = filepath.Join(m.dir, "data")
		s["limits"] = map[string]any{"cpu_share": 0.24, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 256}
	} else {
		s["role"], s["machine_class"], s["serves"] = "entry", "edge", []string{"edge", "directory"}
		s["listen"] = map[string]string{
			"front": m.front(), "ready": fmt.Sprintf("%s:%d", m.ip, readyPort), "directory": fmt.Sprintf("%s:%d", m.ip, lookupPort),
		}
		s["limits"] = map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(m.dir, "local.json"), data, 0o644)
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// start starts the process of a machine.
func (f *fleet) start(m *machine) error {
	if err := f.writeSettings(m); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(filepath.Join(f.root, m.command[0]), m.command[1:]...)
	m.cmd.Dir = f.root
	m.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8",
		"AZURESTAIR_BOOT=" + filepath.Join(m.dir, "local.json"),
	}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(m.cmd, m.exited)
	f.rec.log("start %s pid %d", m.name, m.cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.rec.log("signal %s to %s", s, m.name)
	_ = m.cmd.Process.Signal(s)
}

// kill kills the process of a machine and waits for its end.
func (f *fleet) kill(m *machine) {
	if m.cmd == nil || m.hasExited() {
		return
	}
	f.signal(m, syscall.SIGKILL)
	<-m.exited
}

func (m *machine) hasExited() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// close ends everything that the run started.
func (f *fleet) close() {
	for _, w := range f.workers {
		w.close()
	}
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		f.kill(m)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// order sends an order of the operator to one control machine.
func (f *fleet) order(m *machine, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// orderAnywhere sends an order to the control machines in turn until one
// acknowledges it.
func (f *fleet) orderAnywhere(method, path string, body []byte, wait time.Duration) ([]byte, error) {
	deadline := time.Now().Add(wait)
	var last error
	for i := 0; time.Now().Before(deadline); i++ {
		m := f.controls[i%len(f.controls)]
		status, data, err := f.order(m, method, path, body)
		if err == nil && status == http.StatusOK {
			f.rec.log("order %s %s acknowledged by %s", method, path, m.name)
			return data, nil
		}
		last = fmt.Errorf("%s: status %d, %s, %v", m.name, status, bytes.TrimSpace(data), err)
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("order %s %s not acknowledged: %w", method, path, last)
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs, maxAttempts      int
	priority                    int
}

const host = "ficu95.example"

// config returns a configuration document.
func config(version int, services []string, routes []route) []byte {
	clusters, rules := []any{}, []any{}
	for _, s := range services {
		clusters = append(clusters, map[string]any{
			"name": s, "health_path": "/health", "max_conns": 330, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 11.0,
		})
	}
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.name, "kind": r.kind, "target_latency_ms": 400, "priority": r.priority, "sticky": true,
			"match":  map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_ms": r.timeoutMs, "max_attempts": r.maxAttempts, "home_regions": []string{}},
		})
	}
	data, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": host, "route_rules": rules}},
		"clusters":  clusters,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// waitReady waits until all entries report that they are ready and serve the
// given number of workers; the caller checks the latter by requests.
func (f *fleet) waitReady(wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for _, m := range f.entries {
		for {
			resp, err := f.client.Get(fmt.Sprintf("http://%s:%d/azurestair/readiness", m.ip, readyPort))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// answer is what a client saw.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// attempt describes a request of a client.
type attempt struct {
	id, method, path string
	body             []byte
	deadline         time.Duration
	affinity         string
}

var attemptSeq struct {
	sync.Mutex
	n int
}

func newAttemptID() string {
	attemptSeq.Lock()
	defer attemptSeq.Unlock()
	attemptSeq.n++
	return fmt.Sprintf("%012x%04x", rand.Uint64()>>16, attemptSeq.n)
}

// send sends a request on a new connection and waits for the answer until a
// second after its deadline.
func (f *fleet) send(m *machine, a attempt) answer {
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+m.front()+a.path, bytes.NewReader(a.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(a.deadline.Milliseconds()))
	if a.affinity != "" {
		req.AddCookie(&http.Cookie{Name: "Affinity-Key", Value: a.affinity})
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: body, err: err}
}
