package journal

import (
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// recover reads the newest generation of the folder.
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

// readFile reads a file of one message.
func (j *Journal) readFile(name string, message proto.Message) error {
	data, err := j.folder.Read(name)
	if err != nil {
		return Error.Wrap(err)
	}
	payload, size, state := readFrame(data)
	if state != frameComplete || size != len(data) {
		return ErrDamaged.New("%s does not have the content that was stored; empty the data folder, give the instance a new id, and run sassafrasturnctl control add", name)
	}
	return Error.Wrap(proto.Unmarshal(payload, message))
}

func (j *Journal) readLog(contents *Contents) error {
	name := logName(j.generation)
	data, err := j.folder.Read(name)
	if err != nil {
		return Error.Wrap(err)
	}
	whole, err := scan(name, data, func(payload []byte) error { return contents.addRecord(name, payload) })
	if err != nil {
		return err
	}
	j.logBytes = whole
	if whole == len(data) {
		return nil
	}
	return Error.Wrap(j.folder.Truncate(name, int64(whole)))
}

// addRecord adds one record of the log file.
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
		return ErrDamaged.New("%s: entry %d does not follow the entries before it", name, first)
	}
	c.Entries = append(c.Entries[:first-base-1], record.Entries...)
	return nil
}

// removeLeftovers removes what older generations and unfinished writes have left.
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
