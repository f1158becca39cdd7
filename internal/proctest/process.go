// Package proctest runs the project's programs as separate processes and injects faults: it kills,
// pauses and replaces them and cuts or stalls their connections. Only tests, measurements, the
// soak command and the demonstration use it; production code starts no processes.
package proctest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// DefaultReadyTimeout bounds the wait for the ready line of a process if Spec sets no other limit.
const DefaultReadyTimeout = 20 * time.Second

// readyKeyword is the first word of the line that a process prints once it listens; its addresses
// follow.
const readyKeyword = "ready"

// Errors returned by Start and by Process.Wait.
var (
	ErrNotReady = errors.New("process exited or timed out before printing its ready line")
	ErrRunning  = errors.New("process did not exit in time")
)

// Spec describes a process to start.
type Spec struct {
	// Name is the prefix of each line in the log.
	Name string
	// Path is the program's path; Args are its arguments without the program name.
	Path string
	Args []string
	// Env lists KEY=value pairs that are added to the current environment.
	Env []string
	// Log receives the process's standard error; nil discards it.
	Log io.Writer
	// NoReadyLine means that the process prints no ready line; Log receives its standard output as
	// well.
	NoReadyLine bool
	// ReadyTimeout bounds the wait for the ready line; zero means DefaultReadyTimeout.
	ReadyTimeout time.Duration
}

// Process is a running or exited child process.
type Process struct {
	Name string
	// Addresses are the listen addresses from the ready line, in its order.
	Addresses []string

	command *exec.Cmd
	done    chan struct{}

	mu    sync.Mutex
	ended bool
}

// Start starts a process and waits for its ready line, unless Spec.NoReadyLine is set. It returns
// ErrNotReady if the process exits before that line, or if it does not print the line in time, in
// which case Start kills it.
func Start(spec Spec) (*Process, error) {
	if spec.ReadyTimeout == 0 {
		spec.ReadyTimeout = DefaultReadyTimeout
	}
	command := exec.Command(spec.Path, spec.Args...)
	command.Env = append(os.Environ(), spec.Env...)
	command.Stderr = newLineWriter(spec.Name, spec.Log)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := startOnPermanentThread(command); err != nil {
		return nil, err
	}
	p := &Process{Name: spec.Name, command: command, done: make(chan struct{})}
	if spec.NoReadyLine {
		go p.watch(io.TeeReader(output, newLineWriter(spec.Name, spec.Log)), nil)
		return p, nil
	}
	ready := make(chan []string, 1)
	go p.watch(output, ready)
	return p, p.awaitReady(ready, spec.ReadyTimeout)
}

// starts returns the queue of the goroutine that starts all processes. Pdeathsig sends a child
// SIGKILL when the thread that started it exits, so this goroutine is locked to a thread that lives
// as long as the process.
var starts = sync.OnceValue(func() chan<- func() {
	queue := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range queue {
			start()
		}
	}()
	return queue
})

func startOnPermanentThread(command *exec.Cmd) error {
	result := make(chan error, 1)
	starts() <- func() { result <- command.Start() }
	return <-result
}

// watch reads the output, sends the fields of the ready line to ready, and waits for the process to
// exit.
func (p *Process) watch(output io.Reader, ready chan<- []string) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 1 && fields[0] == readyKeyword {
			select {
			case ready <- fields[1:]:
			default:
			}
		}
	}
	// The error is ignored: ProcessState has the exit code, and death by a signal is expected here.
	_ = p.command.Wait()
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	close(p.done)
}

func (p *Process) awaitReady(ready <-chan []string, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case p.Addresses = <-ready:
		return nil
	case <-p.done:
	case <-timer.C:
		p.Kill()
	}
	return fmt.Errorf("%s: %w", p.Name, ErrNotReady)
}

// Signal sends a signal unless the process has exited.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		// Sending fails only if the process is exiting at this moment.
		_ = p.command.Process.Signal(signal)
	}
}

// Pause suspends the process with SIGSTOP, which looks to others like a frozen machine.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which requests a graceful exit.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// ID returns the identifier of the process in the operating system.
func (p *Process) ID() int { return p.command.Process.Pid }

// PeakMemory returns the largest memory that the process has had so far, in MB, or an error if it
// has ended.
func (p *Process) PeakMemory() (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.ID()))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(content), "VmHWM:")
	text, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	kilobytes, err := strconv.ParseFloat(text, 64)
	return kilobytes / 1024, err
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Wait waits until the process has exited and returns its exit code, which is -1 if a signal killed
// it. It returns ErrRunning if the process has not exited by the timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode(), nil
	case <-timer.C:
		return 0, fmt.Errorf("%s: %w", p.Name, ErrRunning)
	}
}
