package harness

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of processes.
var (
	ErrNotRunning  = errors.New("harness: process is not running")
	ErrStopTimeout = errors.New("harness: process did not end in time")
)

// logTailBytes is how much of a process's log is printed when a test fails.
const logTailBytes = 8 << 10

// binaryFile is the path of the built binary; Build sets it.
var binaryFile string

// Build builds the binary into dir.
func Build(dir string) error {
	binaryFile = filepath.Join(dir, "bergamotwing")
	out, err := exec.Command("go", "build", "-o", binaryFile, "bergamotwing.example/cmd/bergamotwing").CombinedOutput() //nolint:gosec // fixed arguments
	return eris.Wrapf(err, "build: %s", out)
}

// Main builds the binary, runs the tests and returns the exit code for TestMain.
func Main(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bergamotwing")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// Process is one process of the binary. It can be started again with the same
// arguments, and so on the same ports.
type Process struct {
	Name string
	args []string
	log  logBuffer

	mu     sync.Mutex
	cmd    *exec.Cmd
	output *os.File      // reading side of what cmd writes
	done   chan struct{} // closed when cmd has ended
}

// StartProcess starts the binary with args. The process is ended, and its log
// printed if the test failed, when the test is over.
func StartProcess(t testing.TB, name string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, args: args}
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.log.tail(logTailBytes))
		}
	})
	p.Start(t)
	return p
}

// Start starts the process, which must not be running.
func (p *Process) Start(t testing.TB) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(binaryFile, p.args...) //nolint:gosec // the binary that Build made
	output, written, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = written, written
	// In a process group of its own a frozen process gets no SIGHUP when the
	// shell that started the tests ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := errors.Join(cmd.Start(), written.Close()); err != nil {
		t.Fatalf("start %s: %v", p.Name, err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(&p.log, output) // ends with the process, or at CloseLog
		_ = cmd.Wait()
		_ = output.Close()
	}()
	p.cmd, p.output, p.done = cmd, output, done
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	_, done := p.current()
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// PID returns the process id of the latest run.
func (p *Process) PID() int {
	cmd, _ := p.current()
	return cmd.Process.Pid
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	cmd, done := p.current()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// Freeze stops the process's execution with SIGSTOP.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw continues a frozen process.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Hangup sends SIGHUP: the settings may have changed.
func (p *Process) Hangup() error { return p.Signal(syscall.SIGHUP) }

// Stop sends SIGTERM and waits for a clean end within limit.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Wait(limit)
}

// Wait waits for the process's end and returns an error unless its exit status is 0.
func (p *Process) Wait(limit time.Duration) error {
	cmd, done := p.current()
	select {
	case <-done:
	case <-time.After(limit):
		return ErrStopTimeout
	}
	if !cmd.ProcessState.Success() {
		return eris.Errorf("%s: %s", p.Name, cmd.ProcessState)
	}
	return nil
}

// Restart kills the process if it runs and starts it again.
func (p *Process) Restart(t testing.TB) {
	t.Helper()
	p.Kill()
	p.Start(t)
}

// Log returns what the process has written so far, over all its runs.
func (p *Process) Log() string { return p.log.tail(-1) }

// CloseLog closes the reading side of what the process writes: the reader of
// its log is gone. Nothing is added to Log until the next start.
func (p *Process) CloseLog() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return eris.Wrapf(p.output.Close(), "close log of %s", p.Name)
}

func (p *Process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.done
}

// Signal sends a signal and does not wait for its effect.
func (p *Process) Signal(s os.Signal) error {
	cmd, _ := p.current()
	if !p.Running() {
		return eris.Wrapf(ErrNotRunning, "%s: %s", p.Name, cmd.ProcessState)
	}
	return eris.Wrapf(cmd.Process.Signal(s), "signal %s", p.Name)
}

// logBuffer collects a process's output.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends b.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

// tail returns the last n bytes, or all of them if n is negative.
func (l *logBuffer) tail(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buf.Bytes()
	if n >= 0 && len(b) > n {
		b = b[len(b)-n:]
	}
	return string(b)
}
