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

// Errors of methods of Process.
var (
	ErrNotRunning  = errors.New("harness: process is not running")
	ErrStopTimeout = errors.New("harness: process did not exit in time")
)

// logTailBytes is the size of the part of a process's log that is printed when a
// test fails.
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

// Process is a process of the binary. It can be restarted with the same arguments
// and so on the same ports: each start is a new incarnation.
type Process struct {
	Name string
	args []string
	log  logBuffer

	mu      sync.Mutex
	cmd     *exec.Cmd
	readEnd *os.File      // read end of the pipe that cmd writes its log to
	done    chan struct{} // closed when cmd has exited
}

// StartProcess starts the binary with args. At the end of the test the process is
// killed and, if the test failed, the end of its log is printed.
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
	readEnd, writeEnd, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = writeEnd, writeEnd
	// The process has its own process group, so that it gets no SIGHUP while frozen
	// when the shell that started the tests exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := errors.Join(cmd.Start(), writeEnd.Close()); err != nil {
		t.Fatalf("start %s: %v", p.Name, err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(&p.log, readEnd) // returns when the process exits, or at CloseLog
		_ = cmd.Wait()
		_ = readEnd.Close()
	}()
	p.cmd, p.readEnd, p.done = cmd, readEnd, done
}

// Running reports whether the latest incarnation has not exited.
func (p *Process) Running() bool {
	_, done := p.current()
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// PID returns the process id of the latest incarnation.
func (p *Process) PID() int {
	cmd, _ := p.current()
	return cmd.Process.Pid
}

// Kill sends SIGKILL and waits until the process has exited.
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

// Hangup sends SIGHUP, which states that the settings may have changed.
func (p *Process) Hangup() error { return p.Signal(syscall.SIGHUP) }

// Stop sends SIGTERM and waits until the process exits, at most timeout. It returns
// an error unless the exit status is 0.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Wait(timeout)
}

// Wait waits until the process exits, at most timeout, and returns an error unless
// its exit status is 0.
func (p *Process) Wait(timeout time.Duration) error {
	cmd, done := p.current()
	select {
	case <-done:
	case <-time.After(timeout):
		return ErrStopTimeout
	}
	if !cmd.ProcessState.Success() {
		return eris.Errorf("%s: %s", p.Name, cmd.ProcessState)
	}
	return nil
}

// Restart kills the process if it is running and starts it again.
func (p *Process) Restart(t testing.TB) {
	t.Helper()
	p.Kill()
	p.Start(t)
}

// Log returns what all incarnations of the process have written so far.
func (p *Process) Log() string { return p.log.tail(-1) }

// CloseLog closes the read end of the pipe that the process writes its log to, as
// if the log's reader had exited. Nothing is added to Log until the next start.
func (p *Process) CloseLog() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return eris.Wrapf(p.readEnd.Close(), "close log of %s", p.Name)
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

// Write appends b to the buffer.
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
