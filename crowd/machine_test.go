package crowd

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
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/stub"
)

// The machine of the process under test.
const (
	machineMemory azurestair.Bytes = 136 << 20
	// ownDescriptors is the number of descriptors that the process may have for
	// anything but clients: its log, its listeners, its peers and its upstream.
	ownDescriptors = 250
)

// The limits that the tests set for clients.
const (
	maxBody  = 1_000_000
	maxConns = 900
	// maxHead is the default of limits.maxHeaderBytes.
	maxHead = 32 << 10
)

const token = "crowd"

var errStatus = errors.New("unexpected status")

// machine runs one process with the roles entry and control, and one upstream.
type machine struct {
	dir, callers, upstreams, operators, peers string

	cmd    *exec.Cmd
	exited chan error
	stub   *stub.Upstream
}

// startMachine starts the process with lines added to its limits, and waits
// until it serves requests.
func startMachine(limits ...string) *machine {
	dir, err := os.MkdirTemp("", "azurestair-crowd-machine-")
	Expect(err).NotTo(HaveOccurred())
	m := &machine{dir: dir}
	DeferCleanup(m.close)
	m.writeSettings(limits)
	out, err := exec.Command(program, "init", "--settings", m.settingsPath()).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	m.start()
	m.stub, err = stub.Start(stub.Options{
		ID: "catalogue-0", Service: "catalogue", Region: "kigali", FailureDomain: "kigali-a", Slots: 24, QueueLimit: 24, MaxConns: 4000,
		Token: token, Entries: []string{m.upstreams}, Intercept: largeAnswer,
	})
	Expect(err).NotTo(HaveOccurred())
	m.configure()
	Eventually(m.ordinaryRequest).Should(Succeed())
	return m
}

// largeAnswer answers a request for /large with 60,000 bytes, which an entry
// buffers as a whole.
func largeAnswer(w http.ResponseWriter, r *http.Request) bool {
	if !strings.Contains(r.URL.Path, "large") {
		return false
	}
	_, _ = w.Write(make([]byte, 60_000))
	return true
}

func (m *machine) settingsPath() string { return filepath.Join(m.dir, "settings.toml") }

func (m *machine) writeSettings(limits []string) {
	var addrs []string
	for range 4 {
		// Clients connect from 127.0.0.1, so that none of them takes a port
		// before the process listens on it.
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.2:0", 64+os.Getpid()%128, os.Getpid()/128%250+1))
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	m.callers, m.upstreams, m.operators, m.peers = addrs[0], addrs[1], addrs[2], addrs[3]
	digest := sha256.Sum256([]byte(token))
	text := fmt.Sprintf(`[instance]
id = "entry-1"
region = "kigali"
failureDomain = "kigali-a"
roles = ["entry", "control"]
dataDir = %q
[listen]
callers = %q
upstreams = %q
operators = %q
peers = %q
[control]
voters = [{ id = "entry-1", peerAddr = %q }]
[tokens]
operators = [{ name = "crowd", sha256 = "%x" }]
upstreams = [{ name = "crowd", sha256 = "%x" }]
[limits]
%s
`, filepath.Join(m.dir, "data"), m.callers, m.upstreams, m.operators, m.peers, m.peers, digest, digest, strings.Join(limits, "\n"))
	Expect(os.WriteFile(m.settingsPath(), []byte(text), 0o600)).To(Succeed())
}

func (m *machine) start() {
	log, err := os.Create(filepath.Join(m.dir, "log"))
	Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	m.cmd = exec.Command(program, "serve", "--settings", m.settingsPath())
	m.cmd.Stderr = log
	// The kernel kills the process when the test process ends, even if that one
	// is killed.
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(m.cmd.Start()).To(Succeed())
	m.exited = make(chan error, 1)
	go func() { m.exited <- m.cmd.Wait() }()
}

func (m *machine) close() {
	if CurrentSpecReport().Failed() {
		data, _ := os.ReadFile(filepath.Join(m.dir, "log"))
		_, _ = GinkgoWriter.Write(data[max(0, len(data)-8<<10):])
	}
	if m.stub != nil {
		m.stub.Close()
	}
	if m.cmd != nil {
		_ = m.cmd.Process.Kill()
		<-m.exited
	}
	_ = os.RemoveAll(m.dir)
}

// configure sets one service with an idempotent operation and one that is not.
func (m *machine) configure() {
	c := azurestair.Config{
		Defaults: azurestair.Defaults{LookupTTLMs: 500, SlowStartMs: 200},
		Regions:  []azurestair.Region{{Name: "kigali", FailureDomains: []azurestair.FailureDomainName{"kigali-a"}}},
		Services: []azurestair.Service{{Name: "catalogue", Operations: []azurestair.Operation{
			{Name: "browse", Rank: azurestair.RankInteractive, Idempotent: true, TimeoutMs: azurestair.MaxTimeoutMs, MaxBodyBytes: maxBody},
			{Name: "engrave", Rank: azurestair.RankDeferred, TimeoutMs: azurestair.MaxTimeoutMs, MaxBodyBytes: maxBody},
		}}},
	}
	client := &operator.Client{Addr: m.operators, Token: token, HTTP: &http.Client{Timeout: 15 * time.Second}}
	Eventually(func() error {
		_, err := client.Apply(context.Background(), operator.ConfigRequest{ChangeID: "start", Reason: "test", Config: c, WaitMs: 1})
		return err
	}).Should(Succeed())
}

// ordinaryRequest sends one request with a small body on a connection of its
// own.
func (m *machine) ordinaryRequest() error {
	return m.request(&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, "/v1/request/catalogue/browse/x", "ordinary")
}

func (m *machine) request(c *http.Client, path, body string) error {
	resp, err := c.Post("http://"+m.callers+path, "text/plain", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || string(got) != body) {
		err = fmt.Errorf("%w: %d, %d bytes, %s", errStatus, resp.StatusCode, len(got), resp.Header.Get("Azurestair-Reason"))
	}
	return err
}

// expectSurvived checks that the process lives, that its memory and its
// descriptors stayed within those of its machine, and that it answers an
// ordinary request.
func (m *machine) expectSurvived() {
	GinkgoHelper()
	Expect(m.exited).NotTo(Receive(), "the process has ended")
	peak, descriptors := m.peakMemory(), m.descriptors()
	_, _ = fmt.Fprintf(GinkgoWriter, "peak memory %d kB, descriptors %d\n", peak>>10, descriptors)
	Expect(peak).To(BeNumerically("<=", machineMemory), "peak of the resident memory")
	Expect(descriptors).To(BeNumerically("<=", maxConns+ownDescriptors), "open descriptors")
	Eventually(m.ordinaryRequest).Should(Succeed())
	Expect(m.exited).NotTo(Receive(), "the process has ended")
}

func (m *machine) procPath(name string) string {
	return filepath.Join("/proc", strconv.Itoa(m.cmd.Process.Pid), name)
}

var peakLine = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemory returns the peak of the resident memory of the process.
func (m *machine) peakMemory() azurestair.Bytes {
	data, err := os.ReadFile(m.procPath("status"))
	Expect(err).NotTo(HaveOccurred())
	found := peakLine.FindSubmatch(data)
	Expect(found).NotTo(BeNil())
	kb, err := strconv.ParseInt(string(found[1]), 10, 64)
	Expect(err).NotTo(HaveOccurred())
	return azurestair.Bytes(kb << 10)
}

func (m *machine) descriptors() int {
	entries, err := os.ReadDir(m.procPath("fd"))
	Expect(err).NotTo(HaveOccurred())
	return len(entries)
}
