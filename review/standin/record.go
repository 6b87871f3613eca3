package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	breaks  int
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// logf writes a line with the time since the start.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breakf writes a line about a broken rule.
func (r *recorder) breakf(format string, args ...any) {
	r.mu.Lock()
	r.breaks++
	r.mu.Unlock()
	r.logf("BROKEN "+format, args...)
	fmt.Printf("BROKEN "+format+"\n", args...)
}

func (r *recorder) isBroken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaks > 0
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
