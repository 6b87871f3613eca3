// Package journal keeps the log of a control instance in its data folder.
//
// The folder holds the identity of the disk, one snapshot and one log file,
// whose records each have a checksum. All that Save and Replace are given is
// durable when they return. After any failure of the disk the journal refuses
// all further work, because it cannot know what is durable.
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

// ErrFailed is the class of errors after which nothing can be stored until the
// folder is opened again.
var ErrFailed = errs.Class("journal failed, and what is durable is not known; check the disk")

const (
	identityName    = "identity"
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".new"
)

// Contents is what a data folder holds.
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

// Open reads a data folder. A folder that is empty is prepared, and gets fresh
// as its identity.
func Open(folder Folder, fresh *wire.DiskIdentity) (*Journal, *Contents, error) {
	names, err := folder.List()
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	j := &Journal{folder: folder}
	if !slices.Contains(names, identityName) {
		return j.initialize(names, fresh)
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

// makeDurable syncs what has been read back. A process that was killed may have
// written it without a sync: it is there, but the next loss of power would take it.
// Only then is what older generations have left removed.
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

// initialize prepares an empty folder. The identity is stored last: a folder without
// one has never been used.
func (j *Journal) initialize(names []string, fresh *wire.DiskIdentity) (*Journal, *Contents, error) {
	for _, name := range names {
		if isJournalFile(name) && name != logName(0) && name != identityName+temporarySuffix {
			return nil, nil, ErrDamaged.New("there is %s but no file %s; empty the data folder, give the instance a new id, and run sassafrasturnctl control add", name, identityName)
		}
	}
	log, err := j.folder.Create(logName(0))
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	j.log = log
	if err := log.Sync(); err != nil {
		return nil, nil, Error.Wrap(err)
	}
	if err := j.folder.Sync(); err != nil {
		return nil, nil, Error.Wrap(err)
	}
	if err := j.StoreIdentity(fresh); err != nil {
		return nil, nil, err
	}
	return j, &Contents{Identity: fresh}, nil
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

// writeFile stores one message as a file of its own; the name is not yet durable.
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

// fail remembers a failure, after which nothing more is stored.
func (j *Journal) fail(err error) error {
	if err == nil {
		return nil
	}
	if j.failure == nil {
		j.failure = ErrFailed.Wrap(err)
	}
	return j.failure
}

// Save stores entries, which replace all from the first one's index on, and
// the state, unless it is nil.
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

// LogBytes returns the size of the log file.
func (j *Journal) LogBytes() int {
	return j.logBytes
}

// Replace stores a snapshot with all that follows it in place of all that the
// journal holds.
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
	// The snapshot's name must be durable before the log's, which puts both in force.
	if err := j.folder.Sync(); err != nil {
		return err
	}
	if err := j.folder.Rename(logName(next)+temporarySuffix, logName(next)); err != nil {
		return err
	}
	if err := j.folder.Sync(); err != nil {
		return err
	}
	old, oldLog := j.generation, j.log
	j.generation, j.log, j.logBytes = next, log, size
	return j.removeGeneration(old, oldLog)
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

// Close ends the use of the folder.
func (j *Journal) Close() error {
	return Error.Wrap(j.log.Close())
}
