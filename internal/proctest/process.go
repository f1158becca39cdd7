// Package proctest runs the project's programs as separate processes and does
// to them what happens to processes: kill, pause, replace, cut off. It is used
// by tests and by the demonstration only; the product starts no process.
package proctest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// DefaultReadyTimeout bounds the wait for a process's ready line.
const DefaultReadyTimeout = 20 * time.Second

// readyWord begins the line that a process prints when it listens.
const readyWord = "ready"

// Errors of processes.
var (
	ErrNotReady = errors.New("process ended or stayed silent before its ready line")
	ErrRunning  = errors.New("process did not end in time")
)

// Spec says what to start.
type Spec struct {
	// Name appears in front of each line of the log.
	Name string
	// Path is the program, Args its arguments without the program's name.
	Path string
	Args []string
	// Env is added to the present environment.
	Env []string
	// Log receives what the process writes to its error output; nil discards it.
	Log io.Writer
	// NoReadyLine: the process prints no ready line, and its output goes to Log as well.
	NoReadyLine bool
	// ReadyTimeout bounds the wait for the ready line; DefaultReadyTimeout if zero.
	ReadyTimeout time.Duration
}

// Process is a process that this one started.
type Process struct {
	Name string
	// Addresses are those of its ready line.
	Addresses []string

	command *exec.Cmd
	done    chan struct{}

	mu    sync.Mutex
	ended bool
}

// Start starts a process and waits for its ready line.
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
	if err := startOnLastingThread(command); err != nil {
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

// starts feeds the goroutine that starts all processes. A child gets SIGKILL
// when the thread that started it ends, so that thread must last as long as
// this process does.
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

func startOnLastingThread(command *exec.Cmd) error {
	result := make(chan error, 1)
	starts() <- func() { result <- command.Start() }
	return <-result
}

// watch reads the output and waits for the end.
func (p *Process) watch(output io.Reader, ready chan<- []string) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 1 && fields[0] == readyWord {
			select {
			case ready <- fields[1:]:
			default:
			}
		}
	}
	// The exit code is in ProcessState; a signal's end is no failure here.
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

// Signal sends a signal unless the process has ended.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		// It fails only when the process is just ending.
		_ = p.command.Process.Signal(signal)
	}
}

// Pause stops the process as a frozen machine does.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Terminate asks the process to end.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Wait waits for the end and returns the exit code, -1 after a signal.
// ErrRunning when it has not ended by the timeout.
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
