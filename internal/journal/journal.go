// Package journal stores the log of a control instance in its data folder.
//
// The folder holds the identity of the disk, one snapshot and one log file whose
// records each have a checksum. Data passed to Save and Replace is durable when they
// return without an error. After any failure of the disk the journal refuses all
// further writes, because it is unknown what is durable.
package journal

import (
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("journal")

// ErrDamaged is the class of errors about files that cannot be read back.
var ErrDamaged = errs.Class("journal damaged")

// ErrFailed is the class of errors after which the journal refuses all writes until the
// folder is opened again.
var ErrFailed = errs.Class("journal failed, and what is durable is not known; check the disk")

const (
	identityName    = "identity"
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".new"
)

// Contents is the data read from a data folder.
type Contents struct {
	Identity *wire.DiskIdentity
	State    *wire.VoteState
	Snapshot *wire.LogSnapshot
	// Entries follow the snapshot without a gap.
	Entries []*wire.LogEntry
}

// Journal writes to a data folder. It is not safe for concurrent use.
type Journal struct {
	folder     Folder
	generation uint64
	log        File
	logBytes   int
	failure    error
}

// Open reads a data folder and makes its contents durable. An empty folder is
// initialized with the identity newIdentity. Errors are of class Error, ErrDamaged or
// ErrFailed.
func Open(folder Folder, newIdentity *wire.DiskIdentity) (*Journal, *Contents, error) {
	names, err := folder.List()
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	j := &Journal{folder: folder}
	if !slices.Contains(names, identityName) {
		return j.initialize(names, newIdentity)
	}
	contents, err := j.recover(names)
	if err != nil {
		return nil, nil, err
	}
	j.log, err = folder.Append(logName(j.generation))
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	if err := j.makeDurable(names); err != nil {
		j.log.Close()
		return nil, nil, Error.Wrap(err)
	}
	return j, contents, nil
}

// makeDurable syncs the data that has been read back, since a process that was killed
// may have written it without a sync. It would be readable now, but lost in a power
// failure. Files of older generations are removed only after the sync.
func (j *Journal) makeDurable(names []string) error {
	if err := j.log.Sync(); err != nil {
		return err
	}
	if err := j.folder.Sync(); err != nil {
		return err
	}
	return j.removeLeftovers(names)
}

func logName(generation uint64) string { return fmt.Sprintf("%s%016x", logPrefix, generation) }
func snapshotName(generation uint64) string {
	return fmt.Sprintf("%s%016x", snapshotPrefix, generation)
}

// initialize creates the files of an empty folder. The identity is stored last: a
// folder without one has never been used.
func (j *Journal) initialize(names []string, newIdentity *wire.DiskIdentity) (*Journal, *Contents, error) {
	for _, name := range names {
		if isJournalFile(name) && name != logName(0) && name != identityName+temporarySuffix {
			return nil, nil, ErrDamaged.New("the data folder has a file %s but no file %s; empty the data folder, give the instance a new id, and run sassafrasturnctl control add", name, identityName)
		}
	}
	log, err := j.folder.Create(logName(0))
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	j.log = log
	if err := j.storeFirst(newIdentity); err != nil {
		log.Close()
		return nil, nil, err
	}
	return j, &Contents{Identity: newIdentity}, nil
}

func (j *Journal) storeFirst(identity *wire.DiskIdentity) error {
	if err := j.log.Sync(); err != nil {
		return Error.Wrap(err)
	}
	if err := j.folder.Sync(); err != nil {
		return Error.Wrap(err)
	}
	return j.StoreIdentity(identity)
}

func isJournalFile(name string) bool {
	return strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix) || strings.HasPrefix(name, identityName)
}

// StoreIdentity replaces the identity of the disk.
func (j *Journal) StoreIdentity(identity *wire.DiskIdentity) error {
	if _, err := j.writeFile(identityName+temporarySuffix, identity); err != nil {
		return j.fail(err)
	}
	if err := j.folder.Rename(identityName+temporarySuffix, identityName); err != nil {
		return j.fail(err)
	}
	return j.fail(j.folder.Sync())
}

// writeFile stores a message in a file of its own and returns the file's size. The
// content is durable on return, the name only after a sync of the folder.
func (j *Journal) writeFile(name string, message proto.Message) (int, error) {
	file, size, err := j.createFile(name, message)
	if err != nil {
		return 0, err
	}
	return size, file.Close()
}

func (j *Journal) createFile(name string, message proto.Message) (File, int, error) {
	frame, err := marshalFrame(message)
	if err != nil {
		return nil, 0, err
	}
	file, err := j.folder.Create(name)
	if err != nil {
		return nil, 0, err
	}
	if err := writeSynced(file, frame); err != nil {
		file.Close()
		return nil, 0, err
	}
	return file, len(frame), nil
}

func writeSynced(file File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}

// fail records the first failure, after which all writes are refused, and returns it
// as an error of class ErrFailed.
func (j *Journal) fail(err error) error {
	if err == nil {
		return nil
	}
	if j.failure == nil {
		j.failure = ErrFailed.Wrap(err)
	}
	return j.failure
}

// Save stores entries, which replace all stored entries from the first one's index
// on, and the state, unless it is nil. Errors are of class ErrFailed.
func (j *Journal) Save(state *wire.VoteState, entries []*wire.LogEntry) error {
	if j.failure != nil {
		return j.failure
	}
	frame, err := marshalFrame(&wire.JournalRecord{State: state, Entries: entries})
	if err != nil {
		return j.fail(err)
	}
	j.logBytes += len(frame)
	return j.fail(writeSynced(j.log, frame))
}

// LogBytes returns the size of the log file in bytes.
func (j *Journal) LogBytes() int {
	return j.logBytes
}

// Replace replaces the entire content of the journal by a snapshot and the state and
// entries that follow it. Errors are of class ErrFailed.
func (j *Journal) Replace(snapshot *wire.LogSnapshot, state *wire.VoteState, entries []*wire.LogEntry) error {
	if j.failure != nil {
		return j.failure
	}
	return j.fail(j.replace(snapshot, state, entries))
}

func (j *Journal) replace(snapshot *wire.LogSnapshot, state *wire.VoteState, entries []*wire.LogEntry) error {
	next := j.generation + 1
	if _, err := j.writeFile(snapshotName(next), snapshot); err != nil {
		return err
	}
	log, size, err := j.createFile(logName(next)+temporarySuffix, &wire.JournalRecord{State: state, Entries: entries})
	if err != nil {
		return err
	}
	if err := j.publishLog(next); err != nil {
		log.Close()
		return err
	}
	old, oldLog := j.generation, j.log
	j.generation, j.log, j.logBytes = next, log, size
	return j.removeGeneration(old, oldLog)
}

// publishLog gives a log file its name. The name of the snapshot must be durable before,
// because the log's name makes both the current generation.
func (j *Journal) publishLog(generation uint64) error {
	if err := j.folder.Sync(); err != nil {
		return err
	}
	if err := j.folder.Rename(logName(generation)+temporarySuffix, logName(generation)); err != nil {
		return err
	}
	return j.folder.Sync()
}

func (j *Journal) removeGeneration(generation uint64, log File) error {
	if err := log.Close(); err != nil {
		return err
	}
	if err := j.folder.Remove(logName(generation)); err != nil {
		return err
	}
	if generation == 0 {
		return nil
	}
	return j.folder.Remove(snapshotName(generation))
}

// Close closes the log file.
func (j *Journal) Close() error {
	return Error.Wrap(j.log.Close())
}
