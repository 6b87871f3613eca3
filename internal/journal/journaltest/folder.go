// Package journaltest provides a data folder in memory for tests. It can simulate a
// process kill or an error at any operation, and power failures in which data that was
// not synced is lost.
package journaltest

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"

	"sassafrasturn.example/internal/journal"
)

// Errors that the folder returns.
var (
	ErrCrashed = errors.New("the process has been killed")
	ErrFull    = error(syscall.ENOSPC)
	ErrSync    = errors.New("input/output error")
)

type file struct {
	data   []byte
	synced int
}

// Folder is a data folder in memory.
type Folder struct {
	// CrashAt is the number of the operation at which the process is killed, and
	// FailAt the number of the operation that returns Failure, once; 0 for never.
	CrashAt, FailAt int
	Failure         error
	// IsFull makes every write fail with ErrFull after a random part of its data.
	IsFull atomic.Bool
	// RefusesAllWhenFull makes every other operation that changes the folder, except
	// Remove, fail with ErrFull as well while IsFull is set.
	RefusesAllWhenFull bool
	// IsLogSyncIgnored makes each sync of a log file do nothing, as in a program that
	// acknowledges data before it is durable.
	IsLogSyncIgnored bool
	// IsTruncateIgnored makes Truncate do nothing, as in a program that appends to what a
	// failed write has left.
	IsTruncateIgnored bool
	// Operations counts the operations that change the folder, and Open the files that
	// are open.
	Operations, Open int

	random  *rand.Rand
	names   map[string]*file
	durable map[string]*file
	// pending are the changes of names that have not been synced.
	pending   []func(map[string]*file)
	isCrashed bool
}

// New returns an empty folder.
func New(random *rand.Rand) *Folder {
	return &Folder{random: random, names: make(map[string]*file), durable: make(map[string]*file)}
}

// LosePower simulates a power failure and a restart. Of the data and names that were not
// synced, a random prefix is kept, and one byte of that data may be corrupted.
func (f *Folder) LosePower() {
	for _, change := range f.pending[:f.random.IntN(len(f.pending)+1)] {
		change(f.durable)
	}
	f.pending = nil
	for _, name := range slices.Sorted(maps.Keys(f.durable)) {
		stored := f.durable[name]
		kept := stored.synced + f.random.IntN(len(stored.data)-stored.synced+1)
		if kept > stored.synced && f.random.IntN(4) == 0 {
			stored.data[stored.synced+f.random.IntN(kept-stored.synced)] ^= 0xff
		}
		stored.data = stored.data[:kept]
		stored.synced = kept
	}
	f.names = maps.Clone(f.durable)
	f.Kill()
}

// Kill simulates a process kill and a restart. All written data is kept, and data that
// was not synced can still be lost in a power failure.
func (f *Folder) Kill() {
	f.CrashAt, f.FailAt, f.isCrashed = 0, 0, false
}

// startOperation counts an operation. It returns an error if the process has been killed,
// is killed at this operation, or the operation is to fail.
func (f *Folder) startOperation() error {
	if f.isCrashed {
		return ErrCrashed
	}
	f.Operations++
	switch f.Operations {
	case f.CrashAt:
		f.isCrashed = true
		return ErrCrashed
	case f.FailAt:
		return f.Failure
	}
	return nil
}

// startChange is startOperation for an operation that a full disk may refuse.
func (f *Folder) startChange() error {
	if err := f.startOperation(); err != nil {
		return err
	}
	if f.RefusesAllWhenFull && f.IsFull.Load() {
		return ErrFull
	}
	return nil
}

func (f *Folder) change(change func(map[string]*file)) {
	change(f.names)
	f.pending = append(f.pending, change)
}

// Content returns the bytes of a file. A test may modify them to damage the file.
func (f *Folder) Content(name string) []byte {
	return f.names[name].data
}

// List returns the names of all files, sorted.
func (f *Folder) List() ([]string, error) {
	return slices.Sorted(maps.Keys(f.names)), nil
}

// Read returns the content of a file.
func (f *Folder) Read(name string) ([]byte, error) {
	stored := f.names[name]
	if stored == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), stored.data...), nil
}

// Create opens a new, empty file.
func (f *Folder) Create(name string) (journal.File, error) {
	if err := f.startChange(); err != nil {
		return nil, err
	}
	created := new(file)
	f.change(func(names map[string]*file) { names[name] = created })
	return f.handle(name, created), nil
}

// Append opens an existing file for writing at its end.
func (f *Folder) Append(name string) (journal.File, error) {
	return f.handle(name, f.names[name]), nil
}

// Truncate reduces a file to size bytes and syncs it.
func (f *Folder) Truncate(name string, size int64) error {
	if err := f.startChange(); err != nil || f.IsTruncateIgnored {
		return err
	}
	stored := f.names[name]
	stored.data = stored.data[:size]
	stored.synced = int(size)
	return nil
}

// Rename renames a file.
func (f *Folder) Rename(from, to string) error {
	if err := f.startChange(); err != nil {
		return err
	}
	f.change(func(names map[string]*file) {
		names[to] = names[from]
		delete(names, from)
	})
	return nil
}

// Remove deletes a file.
func (f *Folder) Remove(name string) error {
	if err := f.startOperation(); err != nil {
		return err
	}
	f.change(func(names map[string]*file) { delete(names, name) })
	return nil
}

// Sync makes created, renamed and removed names durable.
func (f *Folder) Sync() error {
	if err := f.startChange(); err != nil {
		return err
	}
	for _, change := range f.pending {
		change(f.durable)
	}
	f.pending = nil
	return nil
}

type handle struct {
	folder *Folder
	file   *file
	isLog  bool
}

func (f *Folder) handle(name string, stored *file) *handle {
	f.Open++
	return &handle{folder: f, file: stored, isLog: strings.HasPrefix(name, "log-")}
}

// Write appends data. A write that fails or is interrupted by a kill appends a random
// prefix of it.
func (h *handle) Write(data []byte) (int, error) {
	err := h.folder.startOperation()
	if err == nil && h.folder.IsFull.Load() {
		err = ErrFull
	}
	if err != nil {
		part := h.folder.random.IntN(len(data) + 1)
		h.file.data = append(h.file.data, data[:part]...)
		return part, err
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}

// Sync makes the content durable.
func (h *handle) Sync() error {
	if err := h.folder.startChange(); err != nil || h.isLog && h.folder.IsLogSyncIgnored {
		return err
	}
	h.file.synced = len(h.file.data)
	return nil
}

// Close only counts.
func (h *handle) Close() error {
	h.folder.Open--
	return nil
}
