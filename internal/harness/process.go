// Package harness runs a cluster of real processes on loopback for tests and
// measurements: instances, the fabric stand-in and endpoint stand-ins.
package harness

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("harness")

// Binaries names the built programs.
type Binaries struct {
	Daemon string
	Ctl    string
	Bench  string
}

// Build compiles the programs into folder; root is the project's folder.
func Build(root, folder string) (Binaries, error) {
	command := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "./cmd/...")
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return Binaries{}, Error.New("build: %s", output)
	}
	return Binaries{
		Daemon: filepath.Join(folder, "sassafrasturnd"),
		Ctl:    filepath.Join(folder, "sassafrasturnctl"),
		Bench:  filepath.Join(folder, "sassafrasturnbench"),
	}, nil
}

// Process is one running process of the cluster.
type Process struct {
	name    string
	path    string
	args    []string
	logPath string
	command *exec.Cmd
	done    chan struct{}
}

// NewProcess prepares a process whose output goes to a file in the folder.
func NewProcess(folder, name, path string, args ...string) *Process {
	return &Process{name: name, path: path, args: args, logPath: filepath.Join(folder, name+".log")}
}

// Start starts the process; its output is appended to its log file.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	p.command = exec.Command(p.path, p.args...)
	// A pipe, so that a limit on the process's files is none on its log.
	output := struct{ io.Writer }{log}
	p.command.Stdout = output
	p.command.Stderr = output
	// No process outlives the test that started it.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		log.Close()
		return Error.Wrap(err)
	}
	p.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		// How it ended stands in ProcessState.
		_ = command.Wait()
		log.Close()
		close(done)
	}(p.command, p.done)
	return nil
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	return Error.Wrap(p.command.Process.Signal(signal))
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	if p.command == nil {
		return nil
	}
	// A process that has ended already cannot be signalled.
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
	return nil
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// ExitCode returns how the process ended; -1 for a signal.
func (p *Process) ExitCode() int {
	return p.command.ProcessState.ExitCode()
}

// LogPath returns the path of the process's output.
func (p *Process) LogPath() string {
	return p.logPath
}
