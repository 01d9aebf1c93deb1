package deployment

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
)

// Process is one process of the system, started from a settings file.
type Process struct {
	instance core.InstanceID
	binary   Binary
	role     string
	settings string
	logs     *os.File
	command  *exec.Cmd
}

// Binary describes how to run the system's binary.
type Binary struct {
	// Path is the path of the binary.
	Path string
	// Env holds additional environment variables, as "name=value".
	Env []string
}

// newProcess opens the process's log file in the folder without starting the
// process.
func newProcess(binary Binary, folder string, instance core.InstanceID, role, settings string) (*Process, error) {
	path := filepath.Join(folder, string(instance)+".log")
	logs, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, core.At("open log", core.Peer(path), err)
	}
	return &Process{instance: instance, binary: binary, role: role, settings: settings, logs: logs}, nil
}

// Start runs the process.
func (p *Process) Start() error {
	p.command = exec.Command(p.binary.Path, p.role, p.settings)
	p.command.Env = append(os.Environ(), p.binary.Env...)
	p.command.Stderr = p.logs
	p.command.Stdout = p.logs
	return core.At("start process", core.Peer(p.instance), p.command.Start())
}

// Stop sends the process SIGTERM and returns the error that it exited with.
func (p *Process) Stop() error {
	return p.signalAndWait(syscall.SIGTERM)
}

// Kill ends the process with SIGKILL.
func (p *Process) Kill() error {
	err := p.signalAndWait(syscall.SIGKILL)
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return nil
	}
	return err
}

// Pause suspends the process until Resume.
func (p *Process) Pause() error {
	return p.signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (p *Process) Resume() error {
	return p.signal(syscall.SIGCONT)
}

func (p *Process) signal(signal syscall.Signal) error {
	if p.command == nil {
		return core.At("signal process", core.Peer(p.instance), errors.New("process is not running"))
	}
	return core.At("signal process", core.Peer(p.instance), p.command.Process.Signal(signal))
}

func (p *Process) signalAndWait(signal syscall.Signal) error {
	err := p.signal(signal)
	if err != nil {
		return err
	}
	err = p.command.Wait()
	p.command = nil
	return core.At("end process", core.Peer(p.instance), err)
}

// running reports whether the process was started and has not been stopped or killed.
func (p *Process) running() bool {
	return p.command != nil
}
