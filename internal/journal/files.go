package journal

import (
	"os"
	"path/filepath"
	"syscall"
)

// File is a file that is open for writing.
type File interface {
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

// Folder is the access to the data folder that the journal needs. File names are
// relative to the folder and have no path.
type Folder interface {
	// List returns the names of all files.
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create opens a new, empty file. An existing file of that name is truncated.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Truncate reduces a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes created, renamed and removed names durable.
	Sync() error
}

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
)

// diskFolder is a folder in the file system, locked by this process.
type diskFolder struct {
	path string
	lock *os.File
}

// OpenFolder opens a data folder, which it creates if it is missing, and locks it
// against other processes.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := syncPath(filepath.Dir(path)); err != nil {
		return nil, Error.Wrap(err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, Error.New("the data folder %s is in use by another process; stop that process or use another folder", path)
	}
	return &diskFolder{path: path, lock: lock}, nil
}

func (f *diskFolder) join(name string) string {
	return filepath.Join(f.path, name)
}

// List returns the names of all files except the lock file.
func (f *diskFolder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	var names []string
	for _, entry := range entries {
		if entry.Name() != lockName {
			names = append(names, entry.Name())
		}
	}
	return names, err
}

// Read returns the content of a file.
func (f *diskFolder) Read(name string) ([]byte, error) {
	return os.ReadFile(f.join(name))
}

// Create opens a new, empty file.
func (f *diskFolder) Create(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append opens an existing file for writing at its end.
func (f *diskFolder) Append(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// Truncate reduces a file to size bytes and syncs it.
func (f *diskFolder) Truncate(name string, size int64) error {
	if err := os.Truncate(f.join(name), size); err != nil {
		return err
	}
	return syncPath(f.join(name))
}

// Rename renames a file.
func (f *diskFolder) Rename(from, to string) error {
	return os.Rename(f.join(from), f.join(to))
}

// Remove deletes a file.
func (f *diskFolder) Remove(name string) error {
	return os.Remove(f.join(name))
}

// Sync makes created, renamed and removed names durable.
func (f *diskFolder) Sync() error {
	return syncPath(f.path)
}

func syncPath(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return file.Sync()
}
