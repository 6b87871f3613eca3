package journal

import (
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// recover reads the identity and the newest generation of snapshot and log.
func (j *Journal) recover(names []string) (*Contents, error) {
	contents := &Contents{Identity: new(wire.DiskIdentity)}
	if err := j.readFile(identityName, contents.Identity); err != nil {
		return nil, err
	}
	generation, ok := newestGeneration(names)
	if !ok {
		return nil, ErrDamaged.New("the log file is missing; empty the data folder, give the instance a new id, and run sassafrasturnctl control add")
	}
	j.generation = generation
	if generation > 0 {
		contents.Snapshot = new(wire.LogSnapshot)
		if err := j.readFile(snapshotName(generation), contents.Snapshot); err != nil {
			return nil, err
		}
	}
	return contents, j.readLog(contents)
}

func newestGeneration(names []string) (newest uint64, ok bool) {
	for _, name := range names {
		digits, isLog := strings.CutPrefix(name, logPrefix)
		generation, err := strconv.ParseUint(digits, 16, 64)
		if !isLog || err != nil {
			continue
		}
		newest, ok = max(newest, generation), true
	}
	return newest, ok
}

// readFile reads a file that holds a single message.
func (j *Journal) readFile(name string, message proto.Message) error {
	data, err := j.folder.Read(name)
	if err != nil {
		return Error.Wrap(err)
	}
	payload, size, state := readFrame(data)
	if state != frameComplete || size != len(data) {
		return ErrDamaged.New("%s is incomplete or does not match its checksum; empty the data folder, give the instance a new id, and run sassafrasturnctl control add", name)
	}
	return Error.Wrap(proto.Unmarshal(payload, message))
}

func (j *Journal) readLog(contents *Contents) error {
	name := logName(j.generation)
	data, err := j.folder.Read(name)
	if err != nil {
		return Error.Wrap(err)
	}
	complete, err := scan(name, data, func(payload []byte) error { return contents.addRecord(name, payload) })
	if err != nil {
		return err
	}
	j.logBytes = complete
	if complete == len(data) {
		return nil
	}
	return Error.Wrap(j.folder.Truncate(name, int64(complete)))
}

// addRecord adds one record of the log file to the contents.
func (c *Contents) addRecord(name string, payload []byte) error {
	record := new(wire.JournalRecord)
	if err := proto.Unmarshal(payload, record); err != nil {
		return Error.Wrap(err)
	}
	if record.State != nil {
		c.State = record.State
	}
	if len(record.Entries) == 0 {
		return nil
	}
	base := c.Snapshot.GetIndex()
	first := record.Entries[0].Index
	if first <= base || first > base+uint64(len(c.Entries))+1 {
		return ErrDamaged.New("%s: entry %d does not follow the previous entries", name, first)
	}
	c.Entries = append(c.Entries[:first-base-1], record.Entries...)
	return nil
}

// removeLeftovers removes the files of older generations and of unfinished writes.
func (j *Journal) removeLeftovers(names []string) error {
	kept := []string{identityName, logName(j.generation), snapshotName(j.generation)}
	for _, name := range names {
		if !isJournalFile(name) || slices.Contains(kept, name) {
			continue
		}
		if err := j.folder.Remove(name); err != nil {
			return err
		}
	}
	return nil
}
