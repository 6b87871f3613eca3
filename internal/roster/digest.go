package roster

import (
	"sassafrasturn.example/internal/rendezvous"
	"sassafrasturn.example/internal/wire"
)

// bucketCount is the number of parts into which agents are divided by their key. A node
// that changes to another roster fetches only the parts whose digests differ.
const bucketCount = 32

// Digests are hashes of the live agents in each bucket.
type Digests [bucketCount]uint64

func bucketOf(key Key) int { return int(rendezvous.Mix(uint64(key)) % bucketCount) }

// add adds a record, or removes it if it was added before. Records of agents that are not
// known to be alive do not count.
func (d *Digests) add(record *wire.AgentRecord) {
	if record.Gone || record.Unseen {
		return
	}
	key := KeyOf(record)
	hash := rendezvous.Mix(uint64(key)) ^ rendezvous.Hash(record.Zone)
	hash = rendezvous.Mix(hash) ^ rendezvous.Hash(record.Service)
	hash = rendezvous.Mix(hash) ^ record.Incarnation
	hash = rendezvous.Mix(hash) ^ record.Sequence
	if record.Ready {
		hash = ^hash
	}
	d[bucketOf(key)] ^= rendezvous.Mix(hash)
}

// Selection restricts a fetch to some buckets. Its zero value selects all.
type Selection struct {
	// Until is the revision up to which only the selected buckets are fetched, since the
	// node has the others as of that revision. 0 if nothing is restricted.
	Until uint64
	// Buckets has a bit for each selected bucket.
	Buckets uint32
}

// differing selects the buckets in which two digests differ.
func differing(a, b *Digests, until uint64) Selection {
	selection := Selection{Until: until}
	for i := range a {
		if a[i] != b[i] {
			selection.Buckets |= 1 << i
		}
	}
	return selection
}

// includes reports whether a change of an agent is fetched.
func (s Selection) includes(c change) bool {
	return c.revision > s.Until || s.hasBucket(c.key)
}

func (s Selection) hasBucket(key Key) bool {
	return s.Until == 0 || s.Buckets&(1<<bucketOf(key)) != 0
}

// Position is what a node has of the rosters: the answer to its poll continues from there.
type Position struct {
	// Roster and Revision are those of the roster that the node has last fetched.
	Roster, Revision uint64
	// Selection is that of the fetch in progress.
	Selection Selection
	// Digests are those of the node's agents. They are nil if the node polls the control
	// instance that it has last fetched from.
	Digests *Digests
}

// AddTo adds the position to a poll.
func (p *Position) AddTo(poll *wire.Poll) {
	poll.Roster, poll.Revision = p.Roster, p.Revision
	poll.SelectedUntil, poll.SelectedBuckets = p.Selection.Until, p.Selection.Buckets
	if p.Digests != nil {
		poll.Digests = p.Digests[:]
	}
}

// PositionOf returns the position in a poll.
func PositionOf(poll *wire.Poll) Position {
	position := Position{
		Roster: poll.Roster, Revision: poll.Revision,
		Selection: Selection{Until: poll.SelectedUntil, Buckets: poll.SelectedBuckets},
	}
	if len(poll.Digests) == bucketCount {
		position.Digests = (*Digests)(poll.Digests)
	}
	return position
}

// AddTo adds the delta to the answer to a poll.
func (d *Delta) AddTo(answer *wire.PollAnswer) {
	answer.Roster, answer.Revision, answer.Records = d.Roster, d.Revision, d.Records
	answer.More, answer.Restart, answer.Settled, answer.Young = d.More, d.Restart, d.IsConverged, d.IsYoung
	answer.SelectedUntil, answer.SelectedBuckets = d.Selection.Until, d.Selection.Buckets
}

// DeltaOf returns the delta in the answer to a poll.
func DeltaOf(answer *wire.PollAnswer) Delta {
	return Delta{
		Roster: answer.Roster, Revision: answer.Revision, Records: answer.Records,
		More: answer.More, Restart: answer.Restart, IsConverged: answer.Settled, IsYoung: answer.Young,
		Selection: Selection{Until: answer.SelectedUntil, Buckets: answer.SelectedBuckets},
	}
}
