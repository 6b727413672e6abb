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

// process is the operating system process of one instance.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// startProcess starts the binary and redirects its output to logFile.
func startProcess(binary, logFile string, procs int, args ...string) (*process, error) {
	log, err := os.Create(filepath.Clean(logFile))
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(binary, args...), exited: make(chan struct{})} //nolint:gosec,noctx // the operator chooses the binary; kill stops it
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
	defer close(p.exited)
	_ = p.cmd.Wait()
	_ = log.Close()
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// stopGrace is the time between SIGTERM and SIGKILL. It is longer than
// shutdownGraceMs in the settings of the instances, which is 2 s.
const stopGrace = 4 * time.Second

// stop sends SIGTERM, and SIGKILL if the process has not exited after
// stopGrace.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopGrace):
		p.kill()
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Usage is the resource usage of a process since its start and its current
// resident memory.
type Usage struct {
	CPU      time.Duration
	Resident azurestair.Bytes
	// IO is the number of bytes in all read and write calls on sockets and
	// files.
	IO azurestair.Bytes
}

// clockTick is the unit of processor times in /proc, which is 1/100 s on Linux.
const clockTick = 10 * time.Millisecond

// usage reads the resource usage of the process from /proc.
func (p *process) usage() (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	var u Usage
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	if u.CPU, err = parseCPUTime(stat); err != nil {
		return u, err
	}
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return u, err
	}
	u.Resident = azurestair.Bytes(parseField(status, "VmRSS:")) << 10
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		return u, err
	}
	u.IO = azurestair.Bytes(parseField(io, "rchar:") + parseField(io, "wchar:"))
	return u, nil
}

// Indexes of the user and system time in /proc/PID/stat, counted from the field
// after the command name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// parseCPUTime returns the processor time in the content of /proc/PID/stat.
func parseCPUTime(stat []byte) (time.Duration, error) {
	// The command name may contain spaces and parentheses; it ends at
	// the last closing parenthesis.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("%w: stat line has %d fields", azurestair.ErrInvalid, len(fields))
	}
	user, err := strconv.ParseInt(fields[statUserTime], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[statSystemTime], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// parseField returns the number that follows name in a /proc file, or zero if
// name is missing.
func parseField(data []byte, name string) int64 {
	for line := range strings.Lines(string(data)) {
		parts := strings.Fields(line)
		if len(parts) >= 2 && parts[0] == name {
			n, _ := strconv.ParseInt(parts[1], 10, 64)
			return n
		}
	}
	return 0
}
