package control

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/journal/journaltest"
	"sassafrasturn.example/internal/wire"
)

const (
	zoneCutTime = 5 * time.Second
	// zoneCatchUp is the time after which a zone that has returned no longer counts as lost.
	zoneCatchUp = 4 * time.Second
	zoneFormed  = 15 * time.Second
	restartTime = 500 * time.Millisecond
)

// zoneLayout is the number of instances in each zone, and of voters.
type zoneLayout struct {
	instances []int
	voters    int
}

// zoneModel cuts off one zone after the other.
type zoneModel struct {
	*selfModel
	layout zoneLayout
}

func newZoneModel(t *testing.T, v selfVariant, layout zoneLayout, seed uint64) *zoneModel {
	w := &zoneModel{layout: layout, selfModel: &selfModel{
		t: t, variant: v, stepLength: modelStep / 2, random: rand.New(rand.NewPCG(seed, 12)), voters: layout.voters,
	}}
	for number, count := range layout.instances {
		for range count {
			w.addIn(zoneName(number)).mayFound = true
		}
	}
	for _, i := range w.random.Perm(len(w.nodes))[:min(3, len(w.nodes))] {
		w.peers = append(w.peers, w.nodes[i].address)
	}
	return w
}

func zoneName(number int) string { return string(rune('a' + number)) }

func (w *zoneModel) runFor(d time.Duration) {
	for range w.steps(d) {
		w.advance()
		if w.random.IntN(3) == 0 {
			w.submit()
		}
	}
}

// replaceForGood removes an instance, and starts an empty one in the same zone.
func (w *zoneModel) replaceForGood() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if n.isRemoved {
		return
	}
	n.isRemoved, n.replica = true, nil
	w.addIn(n.zone)
	w.runFor(zoneFormed)
}

// misplaced describes a zone whose loss leaves the majority of the instances without a majority
// of the voters, or returns "".
func (w *zoneModel) misplaced() string {
	leader := w.leader()
	if leader == nil {
		return "no leader"
	}
	group := leader.replica.core.Status(w.now()).Group
	voters, instances, allVoters, all := make(map[string]int), make(map[string]int), 0, 0
	for _, n := range w.nodes {
		if n.isRemoved {
			continue
		}
		instances[n.zone]++
		all++
		for _, member := range group.Members {
			if member.Voter && member.Address == n.address.String() {
				voters[n.zone]++
				allVoters++
			}
		}
	}
	if want := min(w.layout.voters, all); allVoters != want {
		return fmt.Sprintf("%d voters of %d", allVoters, want)
	}
	for zone, count := range instances {
		others := all - count
		isOthers, isZone := 2*others > all, 2*count > all
		if isOthers && 2*(allVoters-voters[zone]) <= allVoters || isZone && 2*voters[zone] <= allVoters {
			return fmt.Sprintf("instances %v, voters %v, zone %s", instances, voters, zone)
		}
	}
	return ""
}

// run cuts off zones and returns a description of the first violation, or "".
func (w *zoneModel) run() string {
	w.runFor(zoneFormed)
	for cut := range 6 {
		if violation := w.misplaced(); violation != "" {
			return fmt.Sprintf("before cut %d: %s", cut, violation)
		}
		if w.random.IntN(3) == 0 {
			w.replaceForGood()
		}
		w.cutZone = zoneName(w.random.IntN(len(w.layout.instances)))
		w.runFor(zoneCutTime)
		w.cutZone = ""
		w.runFor(zoneCatchUp)
	}
	if violation := w.misplaced(); violation != "" {
		return "after the last cut: " + violation
	}
	return ""
}

var zoneLayouts = []zoneLayout{
	{[]int{3, 3, 2}, 5},
	{[]int{3, 3, 2}, 3},
	{[]int{4, 4, 4}, 7},
	{[]int{2, 2, 1}, 5},
	{[]int{3, 3, 1}, 5},
	{[]int{4, 4, 1}, 5},
	{[]int{5, 2, 2}, 5},
	{[]int{5, 3}, 5},
	{[]int{3, 2}, 5},
	{[]int{4, 4}, 5},
	{[]int{6}, 5},
	{[]int{2, 2, 2, 2, 2}, 5},
	{[]int{2, 2, 2, 2, 2}, 3},
	{[]int{1, 1, 1, 1, 1, 1, 1}, 5},
}

// Changes were acknowledged in a zone that was cut off and had a majority of the voters (review 6).
func TestMajorityOfInstancesHoldsMajorityOfVotersAfterZoneCuts(t *testing.T) {
	const seeds = 6
	for _, layout := range zoneLayouts {
		t.Run(fmt.Sprint(layout), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				w := newZoneModel(t, selfVariant{}, layout, seed)
				NewWithT(t).Expect(w.run()).To(BeEmpty(), "seed %d", seed)
			}
		})
	}
}

// crash kills all instances, or some of them, which restart.
func (w *zoneModel) crash() {
	isEach := w.random.IntN(2) == 0
	for _, n := range w.nodes {
		if !n.isRemoved && (isEach || w.random.IntN(3) == 0) {
			w.fail(n, journaltest.ErrCrashed)
			n.downUntil = w.step + w.steps(restartTime)
		}
	}
}

// runWithRestarts cuts off zones, or takes their power, and lets instances lose power during that
// and afterwards. It returns a description of the first violation, or "".
func (w *zoneModel) runWithRestarts(isPowerLoss bool) string {
	w.runFor(zoneFormed)
	for cut := range 5 {
		zone := zoneName(w.random.IntN(len(w.layout.instances)))
		if !isPowerLoss {
			w.cutZone = zone
		}
		for half := range 2 {
			if half == 1 {
				w.crash()
			}
			for _, n := range w.nodes {
				if isPowerLoss && n.zone == zone {
					w.fail(n, journaltest.ErrCrashed)
					n.downUntil = w.step + w.steps(zoneCutTime/2)
				}
			}
			w.runFor(zoneCutTime / 2)
		}
		w.cutZone = ""
		w.runFor(zoneCatchUp)
		if violation := w.misplaced(); violation != "" {
			return fmt.Sprintf("after cut %d: %s", cut, violation)
		}
		w.crash()
		w.runFor(2 * zoneCatchUp)
	}
	return ""
}

func TestMajorityOfInstancesHoldsMajorityOfVotersAfterRestarts(t *testing.T) {
	const seeds = 3
	for _, layout := range zoneLayouts {
		for _, isPowerLoss := range []bool{false, true} {
			t.Run(fmt.Sprint(layout, isPowerLoss), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(seeds) {
					w := newZoneModel(t, selfVariant{}, layout, seed)
					NewWithT(t).Expect(w.runWithRestarts(isPowerLoss)).To(BeEmpty(), "seed %d", seed)
				}
			})
		}
	}
}

func TestZoneModelDetectsVotersWithoutZones(t *testing.T) {
	for seed := range uint64(20) {
		w := newZoneModel(t, selfVariant{ignoresZones: true}, zoneLayouts[0], seed)
		if violation := w.run(); strings.Contains(violation, "instances") {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	t.Error("the model does not detect voters that are placed without regard to zones")
}

// Voters outside a zone that is cut off must not gather in another one even before it returns,
// or the loss of that one as soon as the first has returned would meet them there.
func TestVotersDoNotGatherInOneZoneDuringACut(t *testing.T) {
	for seed := range uint64(30) {
		g := NewWithT(t)
		w := newZoneModel(t, selfVariant{}, zoneLayouts[0], seed)
		w.runFor(zoneFormed)
		w.cutZone = zoneName(int(seed) % 3)
		w.runFor(zoneCutTime)
		g.Expect(w.misplaced()).To(BeEmpty(), "seed %d", seed)
	}
}

// A zone that stays away is lost: the group is complete again without it, and balanced once it
// has returned.
func TestGroupIsCompleteAfterTheLongLossOfAZone(t *testing.T) {
	for seed := range uint64(10) {
		g := NewWithT(t)
		w := newZoneModel(t, selfVariant{}, zoneLayouts[0], seed)
		w.runFor(zoneFormed)
		w.cutZone = zoneName(int(seed) % 3)
		w.runFor(75 * time.Second)
		for _, member := range w.leader().replica.core.Status(w.now()).Group.Members {
			g.Expect(member.Zone).NotTo(Equal(w.cutZone), "seed %d", seed)
		}
		w.cutZone = ""
		w.runFor(zoneCatchUp)
		g.Expect(w.misplaced()).To(BeEmpty(), "seed %d", seed)
	}
}

// Members that an earlier release has added have no zone until they run this one.
func TestMembersOfAnEarlierReleaseGetTheirZones(t *testing.T) {
	g := NewWithT(t)
	w := newZoneModel(t, selfVariant{ignoresZones: true}, zoneLayouts[0], 1)
	w.runFor(zoneFormed)
	zones := func() (known int) {
		for _, member := range w.leader().replica.core.Status(w.now()).Group.Members {
			if member.Zone != "" {
				known++
			}
		}
		return known
	}
	g.Expect(zones()).To(BeZero())
	w.variant.ignoresZones = false
	for _, n := range w.nodes {
		n.replica = nil
		w.runFor(time.Second)
		g.Expect(w.leader()).NotTo(BeNil())
	}
	w.runFor(zoneCatchUp)
	g.Expect(zones()).To(Equal(w.layout.voters))
	g.Expect(w.misplaced()).To(BeEmpty())
}

func TestJoinRequestsWithALongZoneAreIgnored(t *testing.T) {
	g := NewWithT(t)
	group := newTestGroup(t, memoryFolder)
	join := &wire.JoinControl{Id: 9, Disk: 5, Address: testAddress(9).String(), Zone: strings.Repeat("z", 101)}
	group.replicas[0].recordJoiner(group.now, join)
	g.Expect(group.replicas[0].joiners).To(BeEmpty())
}
