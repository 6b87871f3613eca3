package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/catalog"
	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/journal"
	"sassafrasturn.example/internal/journal/journaltest"
	"sassafrasturn.example/internal/wire"
)

// variant selects the product, or a variant with one naive part.
type variant struct {
	name string
	// ignoresVersion: the edited version is not compared, and the last write wins.
	ignoresVersion bool
	// ignoresSync: votes and entries are acknowledged before they are durable.
	ignoresSync bool
	// votesAfterLoss: an instance that has lost its disk returns under its old identity.
	votesAfterLoss bool
	// ignoresQuorum: a leader counts each append it sends as answered, and publishes
	// leases for as long as it is in the role of a leader.
	ignoresQuorum bool
	// discardsResults: a resend is applied as a new submission.
	discardsResults bool
}

const (
	modelStep  = 50 * time.Millisecond
	modelSteps = 400
	// modelSubmits is the maximum number of submissions per step.
	modelSubmits = 1
	// One schedule in modelLongEvery is long, so that members miss hundreds of entries.
	modelLongEvery   = 21
	modelLongSteps   = 1000
	modelLongSubmits = 3
	// modelEndSteps is the maximum number of steps until the nodes converge.
	modelEndSteps     = 600
	modelCompactAfter = 25
	modelServices     = 2
	// One schedule in modelLargeEvery has the larger group.
	modelVoters      = 3
	modelLargeEvery  = 5
	modelVotersLarge = 5
	// modelMaxFaultSteps is the maximum duration of a fault, and one step in
	// modelFaultEvery starts one.
	modelMaxFaultSteps = 24
	modelFaultEvery    = 20
	// modelDownFraction is the divisor of a schedule's length that gives how long a member is down.
	modelDownFraction = 4
	modelLossEvery    = 20 // one message in modelLossEvery is lost, and one duplicated
)

// modelNode is one control instance with its disk.
type modelNode struct {
	id      uint64
	folder  *journaltest.Folder
	replica *replica
	disk    uint64
	// downUntil, frozenUntil and partitionedUntil are steps.
	downUntil, frozenUntil, partitionedUntil int
	// lastConnected is the last time at which the node was not partitioned, or -1.
	lastConnected time.Duration
	isRemoved     bool
	// isDiskLost: the node runs under its old ID with an empty disk.
	isDiskLost bool
	// newest is the newest published index of each key.
	newest map[string]uint64
}

type modelMessage struct {
	at int
	m  *wire.ConsensusMessage
	// from is the sender, in the model of a group that forms itself.
	from *selfNode
}

type submission struct {
	id      string
	service string
	from    uint64
	text    string
	first   *wire.CommandResult
}

// model runs replicas through a random schedule of faults and checks the guarantees
// on their output.
type model struct {
	variant variant
	random  *rand.Rand
	step    int
	// steps is the length of the schedule, submits the maximum number of submissions per
	// step.
	steps, submits int
	voters         int
	nodes          []*modelNode
	network        []modelMessage
	// failedLinks holds the step until which messages between two nodes are dropped, by
	// their IDs.
	failedLinks map[[2]uint64]int

	submissions []*submission
	documents   map[string]string // by service and version, as published by any node
	winners     map[string]string // submission ID by service and edited version
	leaders     map[uint64]uint64
	leaseTerm   uint64
	// acknowledged is the newest log index that was acknowledged to an operator.
	acknowledged uint64
	lost         *modelNode
	repairs      int
	isHealing    bool
	violation    string
	// isLivenessFailure: the violation is one of liveness, not of safety.
	isLivenessFailure bool
}

func newModel(v variant, seed uint64) *model {
	w := &model{
		variant: v, random: rand.New(rand.NewPCG(seed, 1)), steps: modelSteps, submits: modelSubmits,
		documents: make(map[string]string), winners: make(map[string]string), leaders: make(map[uint64]uint64),
		failedLinks: make(map[[2]uint64]int), voters: modelVoters,
	}
	if seed%modelLongEvery == 0 {
		w.steps, w.submits = modelLongSteps, modelLongSubmits
	}
	if seed%modelLargeEvery == 0 {
		w.voters = modelVotersLarge
	}
	var members []*wire.ControlMember
	for id := range uint64(w.voters) {
		n := w.addNode(id + 1)
		members = append(members, &wire.ControlMember{Id: n.id, Disk: n.disk, Voter: true})
	}
	first := w.nodes[0]
	w.handleFailure(first, first.replica.form(w.now(), members))
	return w
}

func (w *model) now() time.Duration { return time.Duration(w.step) * modelStep }

func (w *model) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("step %d: ", w.step) + fmt.Sprintf(format, args...)
	}
}

// failLiveness reports that the group has not recovered although all faults were healed.
func (w *model) failLiveness(format string, args ...any) {
	w.isLivenessFailure = w.isLivenessFailure || w.violation == ""
	w.fail(format, args...)
}

func (w *model) addNode(id uint64) *modelNode {
	n := &modelNode{id: id, folder: w.newFolder(), newest: make(map[string]uint64), lastConnected: -1}
	w.nodes = append(w.nodes, n)
	w.open(n)
	return n
}

func (w *model) newFolder() *journaltest.Folder {
	folder := journaltest.New(w.random)
	folder.IsLogSyncIgnored = w.variant.ignoresSync
	return folder
}

func (w *model) open(n *modelNode) {
	out := outputs{
		send:    func(m *wire.ConsensusMessage) { w.send(n, m) },
		publish: func(records []*wire.Record) { w.checkPublished(n, records) },
	}
	r, err := openReplica(n.folder, n.id, w.random, w.now(), time.Minute, out)
	if err != nil {
		w.handleFailure(n, err)
		return
	}
	r.compactAfter = modelCompactAfter
	n.replica, n.disk = r, r.identity.Disk
}

// handleFailure stops a replica after an error; it is restarted later.
func (w *model) handleFailure(n *modelNode, err error) {
	if err == nil {
		return
	}
	n.replica = nil
	n.folder.LosePower()
	n.downUntil = w.step + 1 + w.random.IntN(modelMaxFaultSteps)
}

func (w *model) isPartitioned(n *modelNode) bool { return n.partitionedUntil > w.step }

func (w *model) send(n *modelNode, m *wire.ConsensusMessage) {
	if w.variant.ignoresQuorum && m.Kind == wire.ConsensusMessage_KIND_APPEND {
		w.network = append(w.network, modelMessage{at: w.step + 1, m: &wire.ConsensusMessage{
			Kind: wire.ConsensusMessage_KIND_APPEND_ANSWER, Group: m.Group, Term: m.Term, SentAt: m.SentAt, Rejected: true,
			From: m.To, FromDisk: m.ToDisk, To: m.From, ToDisk: m.FromDisk,
		}})
	}
	if w.isPartitioned(n) || w.failedLinks[[2]uint64{min(n.id, m.To), max(n.id, m.To)}] > w.step || !w.isHealing && w.random.IntN(modelLossEvery) == 0 {
		return
	}
	copies := 1
	if !w.isHealing && w.random.IntN(modelLossEvery) == 0 {
		copies = 2
	}
	for range copies {
		w.network = append(w.network, modelMessage{at: w.step + 1 + w.random.IntN(3), m: m})
	}
}

func (w *model) deliver() {
	due := w.network
	w.network = nil
	for _, message := range due {
		n := w.node(message.m.To)
		isOwn := w.variant.ignoresQuorum && message.m.Rejected
		switch {
		case message.at > w.step:
			w.network = append(w.network, message)
		case n == nil || n.replica == nil || w.isPartitioned(n) && !isOwn:
		case n.frozenUntil > w.step:
			w.network = append(w.network, message)
		default:
			n.replica.core.Step(w.now(), message.m)
			w.handleFailure(n, n.replica.process(w.now()))
		}
	}
}

func (w *model) node(id uint64) *modelNode {
	for _, n := range w.nodes {
		if n.id == id && !n.isRemoved {
			return n
		}
	}
	return nil
}

// checkPublished checks the records that a node publishes to the exchange.
func (w *model) checkPublished(n *modelNode, records []*wire.Record) {
	for _, record := range records {
		if record.Major < n.newest[record.Key] {
			w.fail("node %d published %s of index %d after %d", n.id, record.Key, record.Major, n.newest[record.Key])
		}
		n.newest[record.Key] = record.Major
		service := new(wire.Service)
		if err := unmarshal(record.Value, service); err != nil {
			w.fail("published record cannot be decoded: %v", err)
		}
		key := fmt.Sprintf("%s/%d", record.Key, service.Version)
		if existing, ok := w.documents[key]; ok && existing != string(service.Document) {
			w.fail("two documents were published as %s", key)
		}
		w.documents[key] = string(service.Document)
	}
}

// leader returns a random node among those in the role of a leader, or nil.
func (w *model) leader() *modelNode {
	var leaders []*modelNode
	for _, n := range w.nodes {
		if w.isRunning(n) && n.replica.core.Status(w.now()).Role == consensus.Leader {
			leaders = append(leaders, n)
		}
	}
	if len(leaders) == 0 {
		return nil
	}
	return leaders[w.random.IntN(len(leaders))]
}

func (w *model) isRunning(n *modelNode) bool {
	return !n.isRemoved && n.replica != nil && n.frozenUntil <= w.step
}

// submit proposes an edit of the version that some node has published, so that edits
// race, or resends an earlier submission.
func (w *model) submit() {
	n := w.leader()
	if n == nil {
		return
	}
	s := w.chooseSubmission()
	command := &wire.Command{SubmissionId: s.id, Body: &wire.Command_Submit{Submit: &wire.SubmitDocument{Document: []byte(s.text)}}}
	if refused := catalog.Prepare(command); refused != nil {
		w.fail("submission refused: %s", refused.Findings)
		return
	}
	if w.variant.ignoresVersion {
		command.GetSubmit().EditedFrom = w.versionAt(n, s.service)
	}
	if w.variant.discardsResults {
		command.SubmissionId = ""
	}
	isAnswerLost := w.random.IntN(5) == 0
	n.replica.propose(w.now(), command, func(result *wire.CommandResult, err error) {
		if err == nil && !isAnswerLost {
			w.checkAnswer(s, result)
		}
	})
	w.handleFailure(n, n.replica.process(w.now()))
}

func (w *model) versionAt(n *modelNode, service string) uint64 {
	for _, record := range n.replica.catalog.Records(0) {
		value := new(wire.Service)
		if record.Key == service && unmarshal(record.Value, value) == nil {
			return value.Version
		}
	}
	return 0
}

func (w *model) chooseSubmission() *submission {
	if len(w.submissions) > 0 && w.random.IntN(3) == 0 {
		recent := w.submissions[max(0, len(w.submissions)-10):]
		return recent[w.random.IntN(len(recent))]
	}
	index := w.random.IntN(modelServices)
	s := &submission{id: fmt.Sprint("s", len(w.submissions)), service: fmt.Sprint("service-", index)}
	if reader := w.nodes[w.random.IntN(len(w.nodes))]; reader.replica != nil {
		s.from = w.versionAt(reader, s.service)
	}
	s.text = fmt.Sprintf("# %s\n[service]\nname = %s\naddress = 10.0.0.%d:443\nversion = %d\n[endpoints]\nallow = 10.0.0.0/8\n", s.id, s.service, index+1, s.from)
	w.submissions = append(w.submissions, s)
	return s
}

// checkAnswer checks a result that an operator has received.
func (w *model) checkAnswer(s *submission, result *wire.CommandResult) {
	if s.first == nil {
		s.first = result
	}
	if s.first.Outcome != result.Outcome || s.first.Index != result.Index || s.first.Version != result.Version {
		w.fail("%s was answered %v and then %v", s.id, s.first, result)
	}
	if result.Outcome != wire.CommandResult_OUTCOME_ACCEPTED {
		return
	}
	key := fmt.Sprintf("%s/%d", s.service, s.from)
	if winner, ok := w.winners[key]; ok && winner != s.id {
		w.fail("%s and %s were both accepted as edits of %s", winner, s.id, key)
	}
	w.winners[key] = s.id
	w.acknowledged = max(w.acknowledged, result.Index)
}

// injectFault injects one random fault.
func (w *model) injectFault() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if leader := w.leader(); leader != nil && w.random.IntN(2) == 0 {
		n = leader
	}
	if n.isRemoved || n.replica == nil {
		return
	}
	switch w.random.IntN(14) {
	case 10, 11, 12, 13:
		other := w.nodes[w.random.IntN(len(w.nodes))]
		w.failedLinks[[2]uint64{min(n.id, other.id), max(n.id, other.id)}] = w.step + 2*w.random.IntN(modelMaxFaultSteps)
	case 0, 1, 2:
		n.folder.CrashAt = n.folder.Operations + 1 + w.random.IntN(8)
	case 3:
		n.folder.FailAt = n.folder.Operations + 1 + w.random.IntN(8)
		n.folder.Failure = []error{journaltest.ErrFull, journaltest.ErrSync}[w.random.IntN(2)]
	case 4, 5:
		n.partitionedUntil = w.step + 1 + w.random.IntN(modelMaxFaultSteps)
	case 6:
		n.frozenUntil = w.step + 1 + w.random.IntN(modelMaxFaultSteps)
	case 7:
		// A graceful stop transfers leadership first; a kill does not.
		if w.random.IntN(2) == 0 {
			n.replica.core.TransferLeadership(w.now())
			w.handleFailure(n, n.replica.process(w.now()))
		}
		if w.random.IntN(2) == 0 {
			w.handleFailure(n, journaltest.ErrCrashed)
		}
	case 8:
		// Down for hundreds of entries.
		w.handleFailure(n, journaltest.ErrCrashed)
		n.downUntil = w.step + w.steps/modelDownFraction
	case 9:
		w.loseDisk(n)
	}
}

// loseDisk simulates the loss of a member's disk, possibly right after another member
// was replaced.
func (w *model) loseDisk(n *modelNode) {
	if w.lost != nil || w.step > w.steps-100 || !w.isGroupStoredElsewhere(n) {
		return
	}
	if w.variant.votesAfterLoss {
		// The naive instance returns with an empty disk under its old identity.
		n.replica = nil
		n.folder = w.newFolder()
		n.newest = make(map[string]uint64)
		_, _, err := journal.Open(n.folder, &wire.DiskIdentity{Id: n.id, Disk: n.disk})
		w.handleFailure(n, err)
		return
	}
	n.isDiskLost, n.replica = true, nil
	n.folder = w.newFolder()
	n.newest = make(map[string]uint64)
	w.lost = n
	w.addNode(uint64(len(w.nodes) + 1))
}

// isGroupStoredElsewhere reports whether another node has stored the group. Before that
// nothing can have been accepted, and the node that formed the group would form
// another one.
func (w *model) isGroupStoredElsewhere(n *modelNode) bool {
	for _, other := range w.nodes {
		if other != n && !other.isDiskLost && other.replica != nil && len(other.replica.core.Status(w.now()).Group.GetMembers()) > 0 {
			return true
		}
	}
	return false
}

// repair replaces the member that has lost its disk, as an operator would.
func (w *model) repair() {
	if w.lost == nil {
		return
	}
	n := w.leader()
	newest := w.nodes[len(w.nodes)-1]
	if n == nil || newest.replica == nil {
		return
	}
	status := n.replica.core.Status(w.now())
	if isMemberID(status.Group, newest.id) && !isMemberID(status.Group, w.lost.id) {
		if status.IsCurrent && status.Commit == status.Last {
			w.lost.isRemoved = true
			w.lost = nil
			w.repairs++
		}
		return
	}
	member := &wire.ControlMember{Id: newest.id, Disk: newest.disk, Replaces: w.lost.id}
	n.replica.addMember(w.now(), member, func(*wire.CommandResult, error) {})
	w.handleFailure(n, n.replica.process(w.now()))
}

func isMemberID(group *wire.ControlGroup, id uint64) bool {
	for _, member := range group.GetMembers() {
		if member.Id == id {
			return true
		}
	}
	return false
}

func (w *model) advance() {
	w.step++
	w.deliver()
	for _, n := range w.nodes {
		if n.isRemoved {
			continue
		}
		if n.replica == nil && n.downUntil <= w.step {
			w.open(n)
		}
		if !w.isRunning(n) {
			continue
		}
		w.handleFailure(n, n.replica.tick(w.now()))
		w.checkLeader(n)
	}
}

func (w *model) checkLeader(n *modelNode) {
	if !w.isPartitioned(n) {
		n.lastConnected = w.now()
	}
	if n.replica == nil {
		return
	}
	status := n.replica.core.Status(w.now())
	if status.Role != consensus.Leader {
		return
	}
	if partitioned := w.now() - n.lastConnected; partitioned > consensus.ElectionTimeout {
		w.fail("node %d still leads %v after it was partitioned", n.id, partitioned)
	}
	w.checkOtherLeases(n, status)
	if leader, ok := w.leaders[status.Term]; ok && leader != n.id {
		w.fail("nodes %d and %d both lead in term %d", leader, n.id, status.Term)
	}
	w.leaders[status.Term] = n.id
	lease := n.replica.lease(w.now())
	if lease == nil && !w.variant.ignoresQuorum {
		return
	}
	if lease != nil && lease.Index < w.acknowledged {
		w.fail("a lease for index %d was published after index %d was acknowledged", lease.Index, w.acknowledged)
	}
	if status.Term < w.leaseTerm {
		w.fail("a lease of term %d was published after one of term %d", status.Term, w.leaseTerm)
	}
	w.leaseTerm = status.Term
	if partitioned := w.now() - n.lastConnected; partitioned > consensus.ElectionTimeout {
		w.fail("node %d published a lease %v after it was partitioned", n.id, partitioned)
	}
}

// checkOtherLeases checks that no two leaders may publish leases at the same time.
func (w *model) checkOtherLeases(n *modelNode, status consensus.Status) {
	for _, other := range w.nodes {
		if other == n || other.isRemoved || other.replica == nil || w.now()-status.LastContact > leaseInterval {
			continue
		}
		otherStatus := other.replica.core.Status(w.now())
		if otherStatus.Role == consensus.Leader && w.now()-otherStatus.LastContact <= leaseInterval {
			w.fail("nodes %d and %d may both publish leases, of terms %d and %d", n.id, other.id, status.Term, otherStatus.Term)
		}
	}
}

// run runs the schedule, then heals all faults and checks that all nodes agree and
// that nothing acknowledged is lost. It returns the violation, or "".
func (w *model) run() string {
	for w.step < w.steps && w.violation == "" {
		w.advance()
		for range w.random.IntN(w.submits + 1) {
			w.submit()
		}
		if w.random.IntN(modelFaultEvery) == 0 {
			w.injectFault()
		}
		w.repair()
	}
	w.isHealing = true
	clear(w.failedLinks)
	for _, n := range w.nodes {
		n.partitionedUntil, n.frozenUntil, n.downUntil = 0, 0, 0
		n.folder.CrashAt, n.folder.FailAt = 0, 0
	}
	for end := w.step + modelEndSteps; w.step < end && w.violation == "" && !w.isConverged(); {
		w.advance()
		w.repair()
	}
	if w.violation == "" {
		w.checkEnd()
	}
	return w.violation
}

// isConverged reports whether the lost member has been replaced and all nodes have applied
// the same entries.
func (w *model) isConverged() bool {
	n := w.leader()
	if n == nil || w.lost != nil {
		return false
	}
	status := n.replica.core.Status(w.now())
	for _, other := range w.nodes {
		if !other.isRemoved && !other.isDiskLost && (other.replica == nil || other.replica.core.Status(w.now()).Applied != status.Applied) {
			return false
		}
	}
	return status.IsCurrent && status.Applied == status.Last
}

func (w *model) checkEnd() {
	n := w.leader()
	if n == nil {
		w.failLiveness("no leader after all faults were healed")
		return
	}
	status := n.replica.core.Status(w.now())
	if w.lost != nil || len(status.Group.Members) != w.voters {
		w.failLiveness("the member with the lost disk was not replaced: %v", status.Group)
	}
	for _, other := range w.nodes {
		if other.isRemoved || other.isDiskLost {
			continue
		}
		if other.replica == nil || other.replica.core.Status(w.now()).Applied != status.Applied {
			w.failLiveness("node %d has not applied the entries that the leader has", other.id)
			return
		}
		if a, b := w.stateOf(n), w.stateOf(other); a != b {
			w.fail("nodes %d and %d have different states", n.id, other.id)
		}
	}
	for _, s := range w.submissions {
		if s.first.GetOutcome() != wire.CommandResult_OUTCOME_ACCEPTED {
			continue
		}
		if w.documents[fmt.Sprintf("%s/%d", s.service, s.first.Version)] != s.text {
			w.fail("%s was accepted as version %d, but was not published as that version", s.id, s.first.Version)
		}
		if got := w.versionAt(n, s.service); got < s.first.Version {
			w.fail("%s was accepted as version %d, but the version is %d at the end", s.id, s.first.Version, got)
		}
	}
}

func (w *model) stateOf(n *modelNode) string {
	state, err := n.replica.catalog.Snapshot()
	if err != nil {
		w.fail("snapshot: %v", err)
	}
	return string(state)
}

const (
	modelSeeds      = 2000
	modelShortSeeds = 200
	modelShards     = 4
)

// TestModel runs random schedules of faults with fixed seeds against the product.
func TestModel(t *testing.T) {
	seeds := uint64(modelSeeds)
	if testing.Short() {
		seeds = modelShortSeeds
	}
	for shard := range uint64(modelShards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			accepted, repairs, terms := 0, 0, 0
			for seed := shard; seed < seeds; seed += modelShards {
				w := newModel(variant{name: "product"}, seed)
				NewWithT(t).Expect(w.run()).To(BeEmpty(), "seed %d", seed)
				accepted += len(w.winners)
				repairs += w.repairs
				terms += len(w.leaders)
			}
			t.Logf("%d accepted documents, %d repairs after a lost disk, %d terms with a leader", accepted, repairs, terms)
		})
	}
}

// TestModelDetectsNaiveVariants runs schedules against variants that lack one part. Each
// variant must violate a guarantee that the product keeps with the same seed.
func TestModelDetectsNaiveVariants(t *testing.T) {
	variants := []variant{
		{name: "last write wins", ignoresVersion: true},
		{name: "acknowledges before the sync", ignoresSync: true},
		{name: "votes under the old identity after a disk loss", votesAfterLoss: true},
		{name: "no check-quorum", ignoresQuorum: true},
		{name: "applies a resend as a new submission", discardsResults: true},
	}
	const seedsToTry = 200
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for seed := range uint64(seedsToTry) {
				naive := newModel(v, seed)
				if naive.run() == "" || naive.isLivenessFailure {
					continue
				}
				t.Logf("seed %d: %s", seed, naive.violation)
				g.Expect(newModel(variant{name: "product"}, seed).run()).To(BeEmpty())
				return
			}
			t.Errorf("the variant violated no guarantee in %d schedules", seedsToTry)
		})
	}
}

func unmarshal(data []byte, message proto.Message) error {
	return proto.Unmarshal(data, message)
}
