// Package journaltest is a data folder in memory for tests, which forgets what
// was not synced when it crashes, and can crash or fail at any operation.
package journaltest

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"

	"sassafrasturn.example/internal/journal"
)

// Errors of the folder.
var (
	ErrCrashed = errors.New("the process has been killed")
	ErrFull    = errors.New("no space left on device")
	ErrSync    = errors.New("input/output error")
)

type file struct {
	data   []byte
	synced int
}

// Folder is a data folder in memory.
type Folder struct {
	// CrashAt is the number of the operation at which the process is killed;
	// 0 for never. FailAt is that at which Failure is returned once.
	CrashAt, FailAt int
	Failure         error
	// IsFull refuses every write, after any part of it.
	IsFull atomic.Bool
	// IsLogSyncIgnored makes each sync of a log file do nothing, as in a program
	// that answers before the disk has.
	IsLogSyncIgnored bool
	// Operations counts the operations that change the folder.
	Operations int

	random  *rand.Rand
	names   map[string]*file
	durable map[string]*file
	// pending are the changes of names that were not synced.
	pending   []func(map[string]*file)
	isCrashed bool
}

// New returns an empty folder.
func New(random *rand.Rand) *Folder {
	return &Folder{random: random, names: make(map[string]*file), durable: make(map[string]*file)}
}

// LosePower gives the folder as a process finds it that starts after a crash:
// of what was not synced, any first part may have been kept.
func (f *Folder) LosePower() {
	for _, change := range f.pending[:f.random.IntN(len(f.pending)+1)] {
		change(f.durable)
	}
	f.pending = nil
	for _, name := range slices.Sorted(maps.Keys(f.durable)) {
		held := f.durable[name]
		kept := held.synced + f.random.IntN(len(held.data)-held.synced+1)
		if kept > held.synced && f.random.IntN(4) == 0 {
			held.data[held.synced+f.random.IntN(kept-held.synced)] ^= 0xff
		}
		held.data = held.data[:kept]
		held.synced = kept
	}
	f.names = maps.Clone(f.durable)
	f.Kill()
}

// Kill gives the folder as a process finds it that starts after the one before was
// killed: all that was written is there, and what was not synced may yet be lost.
func (f *Folder) Kill() {
	f.CrashAt, f.FailAt, f.isCrashed = 0, 0, false
}

// startOperation counts an operation; it fails when the process is dead, dies now, or
// the operation is to fail.
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

func (f *Folder) change(change func(map[string]*file)) {
	change(f.names)
	f.pending = append(f.pending, change)
}

// Content returns the bytes of a file, to be damaged by a test.
func (f *Folder) Content(name string) []byte {
	return f.names[name].data
}

// List returns the names of all files in order.
func (f *Folder) List() ([]string, error) {
	return slices.Sorted(maps.Keys(f.names)), nil
}

// Read returns the content of a file.
func (f *Folder) Read(name string) ([]byte, error) {
	held := f.names[name]
	if held == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), held.data...), nil
}

// Create opens a new, empty file.
func (f *Folder) Create(name string) (journal.File, error) {
	if err := f.startOperation(); err != nil {
		return nil, err
	}
	created := new(file)
	f.change(func(names map[string]*file) { names[name] = created })
	return f.handle(name, created), nil
}

// Append opens a file for writing at its end.
func (f *Folder) Append(name string) (journal.File, error) {
	return f.handle(name, f.names[name]), nil
}

// Truncate cuts a file and syncs it.
func (f *Folder) Truncate(name string, size int64) error {
	if err := f.startOperation(); err != nil {
		return err
	}
	held := f.names[name]
	held.data = held.data[:size]
	held.synced = int(size)
	return nil
}

// Rename gives a file another name.
func (f *Folder) Rename(from, to string) error {
	if err := f.startOperation(); err != nil {
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

// Sync makes the names durable.
func (f *Folder) Sync() error {
	if err := f.startOperation(); err != nil {
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

func (f *Folder) handle(name string, held *file) *handle {
	return &handle{folder: f, file: held, isLog: strings.HasPrefix(name, "log-")}
}

// Write appends; a write that dies or fails leaves any first part.
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
	if err := h.folder.startOperation(); err != nil || h.isLog && h.folder.IsLogSyncIgnored {
		return err
	}
	h.file.synced = len(h.file.data)
	return nil
}

// Close does nothing.
func (h *handle) Close() error { return nil }
