// Package membership is the failure detector for endpoints and balancers: it decides
// which balancers watch which members, when a watcher suspects a member, and how many
// watchers must agree for the member to be down. It consists of pure state machines, to
// which the time is passed in.
package membership

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

const (
	// Quorum is how many watchers must suspect a member for every instance to consider
	// it down.
	Quorum = 2
	// removedRetention is how long the record of a removed endpoint is kept. It is
	// longer than a partition between regions.
	removedRetention = 3 * time.Hour
	// downRetention is how long the record of a member that is down is kept.
	downRetention = 24 * time.Hour
)

// Member identifies an endpoint or a balancer.
type Member struct {
	Kind wire.Record_Kind
	Name string
}

// memberState is the state of a member according to its newest record.
type memberState struct {
	zone         string
	address      string
	major, minor uint64
	isRemoved    bool
	// since is when the member was removed or went down, or zero while it is up.
	since time.Time
}

// Table holds all members and the verdicts about them that one instance has received. It
// is safe for concurrent use.
type Table struct {
	self string
	zone string

	mu       sync.Mutex
	members  map[Member]*memberState
	verdicts map[string]*wire.Verdict
	// suspicions maps each suspected member to the suspicions of its watchers, by name.
	suspicions map[Member]map[string]*wire.Suspicion
	down       map[Member]bool
	// generation counts the changes of the possible watchers and of the watched members.
	generation uint64
}

// NewTable returns an empty table for the instance self in a zone.
func NewTable(self, zone string) *Table {
	return &Table{
		self: self, zone: zone,
		members:    make(map[Member]*memberState),
		verdicts:   make(map[string]*wire.Verdict),
		suspicions: make(map[Member]map[string]*wire.Suspicion),
		down:       make(map[Member]bool),
	}
}

// Apply applies changed records and returns the members that have gone down or come back
// up because of them.
func (t *Table) Apply(now time.Time, records []*wire.Record) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	hasChanged := false
	for _, record := range records {
		hasChanged = t.applyOne(now, record) || hasChanged
	}
	if !hasChanged {
		return nil
	}
	return t.recomputeDown(now)
}

func (t *Table) applyOne(now time.Time, record *wire.Record) bool {
	switch record.Kind {
	case wire.Record_KIND_ENDPOINT, wire.Record_KIND_BALANCER:
		return t.applyMember(now, record)
	case wire.Record_KIND_VERDICT:
		t.applyVerdict(record)
		return true
	default:
		return false
	}
}

func (t *Table) applyMember(now time.Time, record *wire.Record) bool {
	member := Member{Kind: record.Kind, Name: record.Key}
	current := t.members[member]
	if current != nil && (record.Major < current.major || record.Major == current.major && record.Minor < current.minor) {
		return false
	}
	if record.Expired {
		delete(t.members, member)
		t.generation++
		return true
	}
	next, ok := decodeMember(record)
	if !ok {
		return false
	}
	if next.isRemoved {
		next.since = now
	}
	t.members[member] = next
	if current == nil || current.zone != next.zone || current.address != next.address || current.isRemoved != next.isRemoved || current.major != next.major {
		t.generation++
	}
	return current == nil || len(t.suspicions[member]) > 0 || len(t.down) > 0
}

func decodeMember(record *wire.Record) (*memberState, bool) {
	state := &memberState{major: record.Major, minor: record.Minor}
	if record.Kind == wire.Record_KIND_BALANCER {
		balancer := new(wire.Balancer)
		if proto.Unmarshal(record.Value, balancer) != nil {
			return nil, false
		}
		state.zone, state.address = balancer.Zone, string(balancer.Address)
		return state, true
	}
	endpoint := new(wire.Endpoint)
	if proto.Unmarshal(record.Value, endpoint) != nil {
		return nil, false
	}
	state.zone, state.address = endpoint.Zone, string(endpoint.Address)
	state.isRemoved = endpoint.State == wire.Endpoint_STATE_GONE
	return state, true
}

func (t *Table) applyVerdict(record *wire.Record) {
	if earlier := t.verdicts[record.Key]; earlier != nil {
		for _, suspicion := range earlier.Suspicions {
			t.removeSuspicion(memberOf(suspicion), record.Key)
		}
		delete(t.verdicts, record.Key)
	}
	verdict := new(wire.Verdict)
	if record.Expired || proto.Unmarshal(record.Value, verdict) != nil {
		return
	}
	t.verdicts[record.Key] = verdict
	for _, suspicion := range verdict.Suspicions {
		member := memberOf(suspicion)
		if t.suspicions[member] == nil {
			t.suspicions[member] = make(map[string]*wire.Suspicion)
		}
		t.suspicions[member][record.Key] = suspicion
	}
}

func (t *Table) removeSuspicion(member Member, watcher string) {
	delete(t.suspicions[member], watcher)
	if len(t.suspicions[member]) == 0 {
		delete(t.suspicions, member)
	}
}

func memberOf(suspicion *wire.Suspicion) Member {
	return Member{Kind: suspicion.Kind, Name: suspicion.Member}
}

// recomputeDown recomputes which members are down and returns those that changed.
func (t *Table) recomputeDown(now time.Time) []Member {
	down := make(map[Member]bool)
	lost := t.lostZones()
	for member := range t.suspicions {
		if t.members[member] != nil && t.isSuspected(member) {
			down[member] = true
		}
	}
	if len(lost) > 0 {
		for member, state := range t.members {
			if lost[state.zone] && member.Name != t.self {
				down[member] = true
			}
		}
	}
	var changed []Member
	for member := range down {
		if !t.down[member] {
			changed = append(changed, member)
			t.members[member].since = now
		}
	}
	for member := range t.down {
		if !down[member] {
			changed = append(changed, member)
			t.clearSince(member)
		}
	}
	t.down = down
	for _, member := range changed {
		if member.Kind == wire.Record_KIND_BALANCER {
			t.generation++
		}
	}
	return changed
}

func (t *Table) clearSince(member Member) {
	if state := t.members[member]; state != nil && !state.isRemoved {
		state.since = time.Time{}
	}
}

// isSuspected reports whether enough trusted watchers suspect the current version of the
// member. For this instance its own suspicion is enough, whatever others report.
func (t *Table) isSuspected(member Member) bool {
	votes := 0
	for watcher, suspicion := range t.suspicions[member] {
		if !t.isUnrefuted(suspicion) || !t.isTrusted(watcher) {
			continue
		}
		if watcher == t.self {
			return true
		}
		votes++
	}
	return votes >= Quorum
}

// isUnrefuted reports whether no newer record of the member has refuted the suspicion.
func (t *Table) isUnrefuted(suspicion *wire.Suspicion) bool {
	state := t.members[memberOf(suspicion)]
	if state == nil {
		return false
	}
	if state.major != suspicion.Major {
		return state.major < suspicion.Major
	}
	return state.minor <= suspicion.Minor
}

// isTrusted reports whether the verdict of a watcher counts. It does not if the watcher
// is unknown or is suspected by Quorum watchers: its last verdict may be outdated.
func (t *Table) isTrusted(watcher string) bool {
	member := Member{Kind: wire.Record_KIND_BALANCER, Name: watcher}
	if watcher == t.self {
		return true
	}
	if t.members[member] == nil {
		return false
	}
	votes := 0
	for _, suspicion := range t.suspicions[member] {
		if t.isUnrefuted(suspicion) {
			votes++
		}
	}
	return votes < Quorum
}

// lostZones returns the zones that are unreachable from this instance's zone: at least
// half of its balancers, and at least two if it has as many, suspect all members that
// they watch there. After a partition between zones the verdicts of watchers on the
// other side do not arrive, so that Quorum may never be reached for a member.
func (t *Table) lostZones() map[string]bool {
	votes := make(map[string]int)
	for watcher, verdict := range t.verdicts {
		if verdict.Zone != t.zone || !t.isTrusted(watcher) {
			continue
		}
		for _, zone := range verdict.LostZones {
			votes[zone]++
		}
	}
	if len(votes) == 0 {
		return nil
	}
	balancers := 0
	for member, state := range t.members {
		if member.Kind == wire.Record_KIND_BALANCER && state.zone == t.zone && t.isTrusted(member.Name) {
			balancers++
		}
	}
	needed := max(min(Quorum, balancers), (balancers+1)/2)
	lost := make(map[string]bool)
	for zone, count := range votes {
		if count >= needed {
			lost[zone] = true
		}
	}
	return lost
}

// IsDown reports whether a member is down and gets no new flows.
func (t *Table) IsDown(kind wire.Record_Kind, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down[Member{Kind: kind, Name: name}]
}

// Counts returns how many members are known and how many of them are down.
func (t *Table) Counts() (known, down int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members), len(t.down)
}

// Expired returns the records, without values, of members that were removed more than
// removedRetention ago or went down more than downRetention ago.
func (t *Table) Expired(now time.Time) []*wire.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []*wire.Record
	for member, state := range t.members {
		retention := downRetention
		if state.isRemoved {
			retention = removedRetention
		}
		if !state.since.IsZero() && now.Sub(state.since) > retention {
			records = append(records, &wire.Record{Kind: member.Kind, Key: member.Name, Major: state.major, Minor: state.minor})
		}
	}
	return records
}
