package load

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"azurestair.example/azurestair"
)

// process is one instance that runs as a process of its own.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess starts the program; its log goes to the named file.
func startProcess(binary, logFile string, procs int, args ...string) (*process, error) {
	log, err := os.Create(filepath.Clean(logFile))
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(binary, args...), done: make(chan struct{})} //nolint:gosec,noctx // the operator names the program; kill ends it
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(procs))
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	go p.run(log)
	return p, nil
}

func (p *process) run(log *os.File) {
	defer close(p.done)
	_ = p.cmd.Wait()
	_ = log.Close()
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stopGrace is how long a process may take to end after SIGTERM.
const stopGrace = 4 * time.Second

// stop ends the process gracefully and, after stopGrace, at once.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopGrace):
		p.kill()
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Usage is what a process has used since its start, and the memory that it holds.
type Usage struct {
	CPU      time.Duration
	Resident azurestair.Bytes
	// IO counts the bytes of all read and write calls on sockets and files.
	IO azurestair.Bytes
}

// clockTick is the unit of processor times in /proc, 1/100 s on Linux.
const clockTick = 10 * time.Millisecond

// usage reads the counters of the process.
func (p *process) usage() (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	var u Usage
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	if u.CPU, err = cpuOf(stat); err != nil {
		return u, err
	}
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return u, err
	}
	u.Resident = azurestair.Bytes(field(status, "VmRSS:")) << 10
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		return u, err
	}
	u.IO = azurestair.Bytes(field(io, "rchar:") + field(io, "wchar:"))
	return u, nil
}

// Positions of the user and system time in /proc/PID/stat, counted from the
// field after the command name.
const (
	statUser   = 11
	statSystem = 12
)

// cpuOf returns the processor time of a stat line.
func cpuOf(stat []byte) (time.Duration, error) {
	// The command name may hold spaces; it ends at the last parenthesis.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= statSystem {
		return 0, fmt.Errorf("%w: stat line has %d fields", azurestair.ErrInvalid, len(fields))
	}
	user, err := strconv.ParseInt(fields[statUser], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[statSystem], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// field returns the number after a name in a file of /proc, zero if it is missing.
func field(data []byte, name string) int64 {
	for line := range strings.Lines(string(data)) {
		parts := strings.Fields(line)
		if len(parts) >= 2 && parts[0] == name {
			n, _ := strconv.ParseInt(parts[1], 10, 64)
			return n
		}
	}
	return 0
}
