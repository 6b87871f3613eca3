package soak

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// fillDisk simulates a full disk for the duration: it lowers the file size limit of the
// process to 1 byte and restores it afterwards.
func (cl *cluster) fillDisk(i *instance, duration time.Duration) {
	if !i.claim() {
		return
	}
	defer cl.release(i)
	cl.checkRunning(i)
	var before unix.Rlimit
	if err := unix.Prlimit(i.PID(), unix.RLIMIT_FSIZE, nil, &before); err != nil {
		cl.recordViolation("reading the file size limit of %s: %v", i.name, err)
		return
	}
	cl.setFileSizeLimit(i, unix.Rlimit{Cur: 1, Max: before.Max})
	time.Sleep(duration)
	cl.setFileSizeLimit(i, before)
}

func (cl *cluster) setFileSizeLimit(i *instance, limit unix.Rlimit) {
	if err := unix.Prlimit(i.PID(), unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		cl.recordViolation("setting the file size limit of %s: %v", i.name, err)
	}
}

// tearLog kills a control instance, appends a partial record to its log, as an
// interrupted write would leave it, and starts the instance again.
func (cl *cluster) tearLog(i *instance, random *rand.Rand, downtime time.Duration) {
	if !i.claim() {
		return
	}
	defer cl.release(i)
	cl.checkRunning(i)
	cl.terminate(i, syscall.SIGKILL)
	if err := appendTornRecord(filepath.Join(cl.config.Folder, i.name+".data"), random); err != nil {
		cl.recordViolation("appending a partial record to the log of %s: %v", i.name, err)
	}
	time.Sleep(downtime)
	cl.startProcess(i)
}

// appendTornRecord appends a prefix of the first record of the newest log in a data
// folder to that log.
func appendTornRecord(folder string, random *rand.Rand) error {
	logs, err := filepath.Glob(filepath.Join(folder, "log-*"))
	if err != nil || len(logs) == 0 {
		return Error.Wrap(err)
	}
	newest := ""
	for _, name := range logs {
		if !strings.HasSuffix(name, ".new") {
			newest = max(newest, name)
		}
	}
	data, err := os.ReadFile(newest)
	if err != nil || len(data) < 2 {
		return Error.Wrap(err)
	}
	file, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return Error.Wrap(err)
	}
	defer file.Close()
	// Every record starts with a header of 12 bytes, so a shorter prefix is never complete.
	const headerBytes = 12
	_, err = file.Write(data[:1+random.IntN(min(headerBytes, len(data))-1)])
	return Error.Wrap(err)
}
