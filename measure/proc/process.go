package proc

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const clockTicks = 100 // per second; the unit of processor times in /proc/PID/stat

// Process is one process that this program controls. Its exported fields are set before Start.
type Process struct {
	Name   string
	Binary string
	Args   []string
	Env    []string // in addition to the environment of this program
	LogDir string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	code    int
}

// Start starts the process. Its output is appended to a file that is named after the process.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.CommandContext(context.Background(), p.Binary, p.Args...)
	command.Env = append(os.Environ(), p.Env...)
	command.Stdout, command.Stderr = log, log
	// The process must not outlive this program, also when this program is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnPermanentThread(command); err != nil {
		_ = log.Close()
		return errors.Wrap(err, p.Name)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.done = command, done
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.code = command.ProcessState.ExitCode()
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// startThread runs functions on one thread that lives as long as this program. The kernel sends the parent-death
// signal when the thread that started a process ends, not when the whole program ends.
var startThread = sync.OnceValue(func() chan<- func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
})

// startOnPermanentThread starts the command on the thread that lives as long as this program.
func startOnPermanentThread(command *exec.Cmd) error {
	result := make(chan error, 1)
	startThread() <- func() { result <- command.Start() }
	return <-result
}

// LogFile returns the path of the file with the output.
func (p *Process) LogFile() string {
	return filepath.Join(p.LogDir, p.Name+".log")
}

// Log returns the output so far, or an empty string if it cannot be read.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.LogFile())
	if err != nil {
		return ""
	}
	return string(data)
}

// Signal sends a signal to the process, unless it has not started or has ended.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.Running() {
		_ = p.command.Process.Signal(signal)
	}
}

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// ExitCode returns the exit code of a process that has ended.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// Wait waits until the process ends, and reports whether it ended within the limit.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// CPU returns the processor time that the process has used so far, or zero if it cannot be read.
func (p *Process) CPU() time.Duration {
	fields := p.stat()
	if len(fields) < 15 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks
}

// stat returns the fields of /proc/PID/stat that follow the name of the program.
func (p *Process) stat() []string {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return nil
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	return strings.Fields(rest)
}

// Memory returns the resident memory in bytes, or zero if it cannot be read.
func (p *Process) Memory() int64 {
	fields := p.stat()
	if len(fields) < 22 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return pages * int64(os.Getpagesize())
}
