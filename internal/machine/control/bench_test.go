package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/journal"
	"sassafrasturn.example/internal/journal/journaltest"
	"sassafrasturn.example/internal/wire"
)

// testGroup is a group of three replicas that exchange messages in memory.
type testGroup struct {
	b        testing.TB
	now      time.Duration
	replicas []*replica
	folders  []journal.Folder
	isDown   [3]bool
	messages []*wire.ConsensusMessage
}

func newTestGroup(b testing.TB, newFolder func(i int) journal.Folder) *testGroup {
	g := &testGroup{b: b}
	var members []*wire.ControlMember
	for i := range g.isDown {
		folder := newFolder(i)
		g.folders = append(g.folders, folder)
		g.replicas = append(g.replicas, nil)
		g.open(i)
		members = append(members, &wire.ControlMember{Id: uint64(i + 1), Disk: g.replicas[i].identity.Disk, Voter: true})
	}
	g.check(g.replicas[0].form(g.now, members))
	for range 10 {
		g.tick()
	}
	if g.replicas[0].core.Status(g.now).Role != consensus.Leader {
		b.Fatal("the first member does not lead")
	}
	return g
}

func (g *testGroup) check(err error) {
	if err != nil {
		g.b.Fatal(err)
	}
}

func (g *testGroup) open(i int) {
	out := outputs{
		send:    func(m *wire.ConsensusMessage) { g.messages = append(g.messages, m) },
		publish: func([]*wire.Record) {},
	}
	r, err := openReplica(g.folders[i], uint64(i+1), rand.New(rand.NewPCG(uint64(i), 1)), g.now, time.Minute, out)
	g.check(err)
	g.replicas[i] = r
}

func (g *testGroup) tick() {
	g.now += modelStep
	for i, r := range g.replicas {
		if !g.isDown[i] {
			g.check(r.tick(g.now))
		}
	}
	g.deliver()
}

func (g *testGroup) deliver() {
	for len(g.messages) > 0 {
		m := g.messages[0]
		g.messages = g.messages[1:]
		if i := m.To - 1; !g.isDown[i] {
			g.replicas[i].core.Step(g.now, m)
			g.check(g.replicas[i].process(g.now))
		}
	}
}

// commit proposes a document of 1 KiB and fails the test unless it is committed.
func (g *testGroup) commit(service int, version uint64) {
	command := &wire.Command{SubmissionId: fmt.Sprint(service, "-", version), Body: &wire.Command_Submit{Submit: &wire.SubmitDocument{
		Document: make([]byte, 1024), Service: fmt.Sprint("service-", service),
		Address: fmt.Sprintf("10.0.%d.%d:443", service/250, service%250), EditedFrom: version,
	}}}
	isDone := false
	g.replicas[0].propose(g.now, command, func(_ *wire.CommandResult, err error) {
		g.check(err)
		isDone = true
	})
	g.check(g.replicas[0].process(g.now))
	g.deliver()
	if !isDone {
		g.b.Fatal("command not committed")
	}
}

func memoryFolder(i int) journal.Folder { return journaltest.New(rand.New(rand.NewPCG(uint64(i), 2))) }

func diskFolder(b *testing.B) func(int) journal.Folder {
	return func(int) journal.Folder {
		folder, err := journal.OpenFolder(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		return folder
	}
}

// BenchmarkCommit measures a commit in a group of three, with synced disks and in
// memory. The members run one after the other.
func BenchmarkCommit(b *testing.B) {
	for _, isSynced := range []bool{true, false} {
		name, newFolder := "memory", memoryFolder
		if isSynced {
			name, newFolder = "sync", diskFolder(b)
		}
		b.Run(name, func(b *testing.B) {
			g := newTestGroup(b, newFolder)
			version := uint64(0)
			for b.Loop() {
				g.commit(0, version)
				version++
			}
		})
	}
}

// BenchmarkCatchUp measures how long a restarted member takes to catch up with the
// others after it has missed changes to 640 services.
func BenchmarkCatchUp(b *testing.B) {
	const services = 640
	for _, missed := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint(missed, " missed entries"), func(b *testing.B) {
			g := newTestGroup(b, diskFolder(b))
			versions := make([]uint64, services)
			put := func(i int) {
				g.commit(i, versions[i])
				versions[i]++
			}
			for i := range services {
				put(i)
			}
			next := 0
			for b.Loop() {
				b.StopTimer()
				g.isDown[2] = true
				for range missed {
					put(next % services)
					next++
				}
				g.check(g.replicas[2].journal.Close())
				g.isDown[2] = false
				b.StartTimer()
				g.open(2)
				for g.replicas[2].core.Status(g.now).Applied != g.replicas[0].core.Status(g.now).Applied {
					g.tick()
				}
			}
		})
	}
}
