package faults

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/relay"
)

// Tokens of the fleets. They need no protection because fleets listen on
// loopback addresses only.
const (
	operatorToken = "faults-operator"
	upstreamToken = "faults-upstream"
)

// location is the region and failure domain of an instance or upstream.
type location struct {
	region azurestair.RegionName
	domain azurestair.FailureDomainName
}

// node is one instance, which runs as a separate process.
type node struct {
	id        azurestair.InstanceID
	location  location
	isControl bool
	dir       string
	// program is the path of the program that start runs.
	program string
	// injectMachineFaults makes start run the instance in the program
	// faults/machine, which injects clock and disk faults.
	injectMachineFaults bool
	// shutdownGrace is the grace period of a shutdown; zero means the default.
	shutdownGrace azurestair.Millis

	callerAddr, upstreamAddr, operatorAddr, peerAddr string
	// controlRelays are the relays to the control instances by instance ID.
	controlRelays map[azurestair.InstanceID]*relay.Relay

	// learner is true for a control instance that rejoins after it has lost its
	// data.
	learner bool

	cmd     *exec.Cmd
	exited  chan error
	logFile *os.File
}

// freeAddrs returns n addresses on which nothing listens. Their IP address is
// not 127.0.0.1, from which local clients connect, so that no client connection
// takes one of the ports before the instance listens on it.
func freeAddrs(n int) []string {
	ip := fmt.Sprintf("127.%d.%d.1:0", 64+os.Getpid()%128, os.Getpid()/128%250+1)
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip)
		Expect(err).NotTo(HaveOccurred())
		defer l.Close() //nolint:errcheck // the listener only reserved the address
		out = append(out, l.Addr().String())
	}
	return out
}

func (n *node) settingsPath() string { return filepath.Join(n.dir, "settings.toml") }
func (n *node) dataDir() string      { return filepath.Join(n.dir, "data") }

// writeSettings writes the settings file, in which the addresses of the other
// voters are those of the relays.
func (n *node) writeSettings(voters []*node) {
	var b strings.Builder
	roles := `"entry"`
	if n.isControl {
		roles = `"entry", "control"`
	}
	fmt.Fprintf(&b, "[instance]\nid = %q\nregion = %q\nfailureDomain = %q\nroles = [%s]\ndataDir = %q\n",
		n.id, n.location.region, n.location.domain, roles, n.dataDir())
	fmt.Fprintf(&b, "[listen]\ncallers = %q\nupstreams = %q\noperators = %q\npeers = %q\n", n.callerAddr, n.upstreamAddr, n.operatorAddr, n.peerAddr)
	fmt.Fprintf(&b, "[control]\nlearner = %t\nvoters = [\n", n.learner)
	for _, v := range voters {
		addr := v.peerAddr
		if v != n {
			addr = n.controlRelays[v.id].Addr()
		}
		fmt.Fprintf(&b, "  { id = %q, peerAddr = %q },\n", v.id, addr)
	}
	fmt.Fprintf(&b, "]\n[tokens]\noperators = [{ name = \"faults\", sha256 = \"%x\" }]\n", sha256.Sum256([]byte(operatorToken)))
	fmt.Fprintf(&b, "upstreams = [{ name = \"faults\", sha256 = \"%x\" }]\n", sha256.Sum256([]byte(upstreamToken)))
	if n.shutdownGrace > 0 {
		fmt.Fprintf(&b, "[limits]\nshutdownGraceMs = %d\n", n.shutdownGrace)
	}
	Expect(os.WriteFile(n.settingsPath(), []byte(b.String()), 0o600)).To(Succeed())
}

// init initializes the data directory.
func (n *node) init() {
	out, err := exec.Command(n.program, "init", "--settings", n.settingsPath()).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
}

// start starts the process and appends its log to the log file.
func (n *node) start() {
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	n.logFile = log
	n.cmd = exec.Command(n.program, "serve", "--settings", n.settingsPath())
	if n.injectMachineFaults {
		n.cmd = exec.Command(filepath.Join(binDir, "machine"), "--settings", n.settingsPath(), "--faults", n.dir)
	}
	n.cmd.Stderr = log
	// The kernel kills the process when the test process ends, even if that one
	// is killed.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(n.cmd.Start()).To(Succeed())
	exited := make(chan error, 1)
	cmd := n.cmd
	go func() { exited <- cmd.Wait() }()
	n.exited = exited
}

func (n *node) signal(sig syscall.Signal) { Expect(n.cmd.Process.Signal(sig)).To(Succeed()) }

// suspend freezes the process with SIGSTOP until resume. It returns once all
// threads have stopped, some milliseconds after the signal on a busy machine:
// until then they still answer.
func (n *node) suspend() {
	n.signal(syscall.SIGSTOP)
	Eventually(n.threadStates).WithTimeout(10 * time.Second).WithPolling(time.Millisecond).Should(HaveEach("T"))
}

func (n *node) resume() { n.signal(syscall.SIGCONT) }

// threadStates returns the state of each thread of the process as in
// /proc/PID/stat, where it follows the name in parentheses.
func (n *node) threadStates() ([]string, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", n.cmd.Process.Pid))
	if err != nil {
		return nil, err
	}
	var states []string
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		_, rest, _ := strings.Cut(string(data), ") ")
		states = append(states, rest[:1])
	}
	return states, nil
}

// kill kills the process with SIGKILL and waits until it has exited.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	_ = n.waitExit()
}

// waitExit waits until the process has exited and returns its error.
func (n *node) waitExit() error {
	var err error
	Eventually(n.exited, 40*time.Second).Should(Receive(&err))
	_ = n.logFile.Close()
	n.cmd = nil
	return err
}

// terminate shuts the process down gracefully with SIGTERM.
func (n *node) terminate() {
	n.signal(syscall.SIGTERM)
	Expect(n.waitExit()).To(Succeed(), "graceful shutdown of %s", n.id)
}

// logTail returns the last 8 KB of the process's log.
func (n *node) logTail() string {
	data, _ := os.ReadFile(filepath.Join(n.dir, "log"))
	if len(data) > 8<<10 {
		data = data[len(data)-8<<10:]
	}
	return string(data)
}

// operatorTimeout is the timeout of calls of the administration API.
const operatorTimeout = 15 * time.Second

func (n *node) operatorClient() *operator.Client { return newOperatorClient(n.operatorAddr) }

func newOperatorClient(addr string) *operator.Client {
	return &operator.Client{
		Addr: addr, Token: operatorToken,
		HTTP: &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// statusTimeout is the timeout of status queries, which a suspended instance
// does not answer.
const statusTimeout = 2 * time.Second

func (n *node) status() (operator.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return n.operatorClient().Status(ctx)
}

var errNotReady = errors.New("not ready")

// checkReady returns an error unless the instance reports that it is ready, so
// that lookups may return it.
func (n *node) checkReady() error {
	c := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.callerAddr + "/readyz")
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	data, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s", errNotReady, data)
	}
	return err
}
