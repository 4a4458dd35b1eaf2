package procs

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// commandTimeout bounds a command that ends by itself.
const commandTimeout = 60 * time.Second

// Build builds the tanagerchute binary in dir and returns its path.
func Build(dir string) (string, error) {
	path := filepath.Join(dir, "tanagerchute")
	build := exec.Command("go", "build", "-o", path, "tanagerchute/cmd/tanagerchute")
	if out, err := build.CombinedOutput(); err != nil {
		return "", errors.Errorf("%v\n%s", err, out)
	}
	return path, nil
}

// Process is a process that may be started again after it ended.
type Process struct {
	Name    string
	LogFile string // standard output and error of all starts
	Cmd     *exec.Cmd
	Exited  chan struct{} // closed when the process started last has ended
	binary  string
	args    []string
	pid     atomic.Int64 // of the process that was started last
}

// Start starts the process, or starts it again after it ended.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	p.Cmd = exec.Command(p.binary, p.args...)
	p.Cmd.Stdout, p.Cmd.Stderr = log, log
	if err := p.Cmd.Start(); err != nil {
		log.Close()
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.pid.Store(int64(p.Cmd.Process.Pid))
	exited := make(chan struct{})
	p.Exited = exited
	cmd := p.Cmd
	go func() {
		_ = cmd.Wait() // the result is in ProcessState
		log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal. A process that has ended ignores it.
func (p *Process) Signal(s syscall.Signal) { _ = p.Cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Exited
}

// Terminate sends SIGTERM, waits until the process has exited, and returns its exit
// status.
func (p *Process) Terminate(timeout time.Duration) (int, error) {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Exited:
	case <-time.After(timeout):
		return 0, errors.Errorf("%s did not stop in %v", p.Name, timeout)
	}
	return p.Cmd.ProcessState.ExitCode(), nil
}

// HasExited reports whether the process that was started last has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.Exited:
		return true
	default:
		return false
	}
}

// Run runs a command of the binary, and returns its output and its exit status.
func (f *Fleet) Run(args ...string) (string, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, f.cfg.Binary, args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		return "", 0, errors.Wrapf(err, "run %v", args)
	}
	return string(out), cmd.ProcessState.ExitCode(), nil
}
