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

// Tokens of the fleets; they listen on loopback addresses only.
const (
	operatorToken = "faults-operator"
	upstreamToken = "faults-upstream"
)

// place is where an instance or an upstream stands.
type place struct {
	region azurestair.RegionName
	domain azurestair.FailureDomainName
}

// node is one instance, which runs as a process of its own.
type node struct {
	id      azurestair.InstanceID
	place   place
	control bool
	dir     string
	// program is what start runs.
	program string
	// machine has start run the instance on a machine whose clock and disk misbehave.
	machine bool

	callers, upstreams, operators, peers string
	// links are the relays to the control instances, by their ids.
	links map[azurestair.InstanceID]*relay.Relay

	// learner is true for a control instance that has lost its data and joins again.
	learner bool

	cmd  *exec.Cmd
	done chan error
	log  *os.File
}

// freeAddrs returns n addresses on which nothing listens. Clients on this
// machine connect from 127.0.0.1, so that none of them takes such a port.
func freeAddrs(n int) []string {
	ip := fmt.Sprintf("127.%d.%d.1:0", 64+os.Getpid()%128, os.Getpid()/128%250+1)
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip)
		Expect(err).NotTo(HaveOccurred())
		defer l.Close() //nolint:errcheck // it only held the address
		out = append(out, l.Addr().String())
	}
	return out
}

func (n *node) settingsPath() string { return filepath.Join(n.dir, "settings.toml") }
func (n *node) dataDir() string      { return filepath.Join(n.dir, "data") }

// writeSettings writes the settings file; other voters are reached through the links.
func (n *node) writeSettings(voters []*node) {
	var b strings.Builder
	roles := `"entry"`
	if n.control {
		roles = `"entry", "control"`
	}
	fmt.Fprintf(&b, "[instance]\nid = %q\nregion = %q\nfailureDomain = %q\nroles = [%s]\ndataDir = %q\n",
		n.id, n.place.region, n.place.domain, roles, n.dataDir())
	fmt.Fprintf(&b, "[listen]\ncallers = %q\nupstreams = %q\noperators = %q\npeers = %q\n", n.callers, n.upstreams, n.operators, n.peers)
	fmt.Fprintf(&b, "[control]\nlearner = %t\nvoters = [\n", n.learner)
	for _, v := range voters {
		addr := v.peers
		if v != n {
			addr = n.links[v.id].Addr()
		}
		fmt.Fprintf(&b, "  { id = %q, peerAddr = %q },\n", v.id, addr)
	}
	fmt.Fprintf(&b, "]\n[tokens]\noperators = [{ name = \"faults\", sha256 = \"%x\" }]\n", sha256.Sum256([]byte(operatorToken)))
	fmt.Fprintf(&b, "upstreams = [{ name = \"faults\", sha256 = \"%x\" }]\n", sha256.Sum256([]byte(upstreamToken)))
	Expect(os.WriteFile(n.settingsPath(), []byte(b.String()), 0o600)).To(Succeed())
}

// init prepares the data folder.
func (n *node) init() {
	out, err := exec.Command(n.program, "init", "--settings", n.settingsPath()).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
}

// start starts the process.
func (n *node) start() {
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	n.log = log
	n.cmd = exec.Command(n.program, "serve", "--settings", n.settingsPath())
	if n.machine {
		n.cmd = exec.Command(filepath.Join(binaries, "machine"), "--settings", n.settingsPath(), "--faults", n.dir)
	}
	n.cmd.Stderr = log
	// The process ends with the test process, even if that one is killed.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(n.cmd.Start()).To(Succeed())
	done := make(chan error, 1)
	cmd := n.cmd
	go func() { done <- cmd.Wait() }()
	n.done = done
}

func (n *node) signal(sig syscall.Signal) { Expect(n.cmd.Process.Signal(sig)).To(Succeed()) }

// freeze stops the process from running until thaw.
func (n *node) freeze() { n.signal(syscall.SIGSTOP) }
func (n *node) thaw()   { n.signal(syscall.SIGCONT) }

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	_ = n.wait()
}

// wait waits for the end of the process and returns its error.
func (n *node) wait() error {
	var err error
	Eventually(n.done, 40*time.Second).Should(Receive(&err))
	_ = n.log.Close()
	n.cmd = nil
	return err
}

// terminate shuts the process down gracefully.
func (n *node) terminate() {
	n.signal(syscall.SIGTERM)
	Expect(n.wait()).To(Succeed(), "graceful shutdown of %s", n.id)
}

// logText returns the end of the process's log.
func (n *node) logText() string {
	data, _ := os.ReadFile(filepath.Join(n.dir, "log"))
	if len(data) > 8<<10 {
		data = data[len(data)-8<<10:]
	}
	return string(data)
}

// adminTimeout bounds a call of the administration API.
const adminTimeout = 15 * time.Second

func (n *node) admin() *operator.Client { return adminAt(n.operators) }

func adminAt(addr string) *operator.Client {
	return &operator.Client{
		Addr: addr, Token: operatorToken,
		HTTP: &http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// statusTimeout bounds a status query, which a frozen instance does not answer.
const statusTimeout = 2 * time.Second

func (n *node) status() (operator.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return n.admin().Status(ctx)
}

var errNotReady = errors.New("not ready")

// ready asks the instance whether it may be named in look-ups.
func (n *node) ready() error {
	c := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.callers + "/readyz")
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
