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

// Binaries contains the paths of the built programs.
type Binaries struct {
	Daemon string
	Ctl    string
	Bench  string
}

// Build compiles the programs into folder. root is the root folder of the project.
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

// Process is a process of a cluster.
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

// Start starts the process and appends its output to its log file.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	p.command = exec.Command(p.path, p.args...)
	// Hiding the *os.File type makes exec use a pipe, so that a file size limit of the
	// process does not apply to its log.
	output := struct{ io.Writer }{log}
	p.command.Stdout = output
	p.command.Stderr = output
	// The kernel kills the process when its parent ends, so that no process outlives the
	// test or measurement that started it.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		log.Close()
		return Error.Wrap(err)
	}
	p.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		// The error is ignored, because ProcessState holds the exit status.
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

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() error {
	if p.command == nil {
		return nil
	}
	// Signal fails only if the process has ended already.
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
	return nil
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// ExitCode returns the exit code of the process, or -1 if a signal ended it.
func (p *Process) ExitCode() int {
	return p.command.ProcessState.ExitCode()
}

// LogPath returns the path of the process's log file.
func (p *Process) LogPath() string {
	return p.logPath
}
