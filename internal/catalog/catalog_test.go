package catalog_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/catalog"
	"sassafrasturn.example/internal/wire"
)

const (
	accepted = wire.CommandResult_OUTCOME_ACCEPTED
	conflict = wire.CommandResult_OUTCOME_CONFLICT
	invalid  = wire.CommandResult_OUTCOME_INVALID
)

func submit(id, service, address string, version int) *wire.Command {
	text := fmt.Sprintf("[service]\nname = %s\naddress = %s\nversion = %d\n[endpoints]\nallow = 10.0.0.0/8\n", service, address, version)
	return &wire.Command{SubmissionId: id, Body: &wire.Command_Submit{Submit: &wire.SubmitDocument{Document: []byte(text), File: service + ".ini"}}}
}

func withdraw(id, service string, version uint64) *wire.Command {
	return &wire.Command{SubmissionId: id, Body: &wire.Command_Withdraw{Withdraw: &wire.WithdrawService{Service: service, Version: version}}}
}

func register(name string) *wire.Command {
	return &wire.Command{Body: &wire.Command_RegisterZone{RegisterZone: &wire.RegisterZone{Name: name}}}
}

func setZone(id, name string, isOut bool) *wire.Command {
	return &wire.Command{SubmissionId: id, Body: &wire.Command_SetZone{SetZone: &wire.SetZone{Name: name, Out: isOut}}}
}

// commandSequence is a sequence of commands with their expected results.
var commandSequence = []struct {
	command *wire.Command
	outcome wire.CommandResult_Outcome
	index   uint64
	version uint64
}{
	{submit("a", "one", "10.0.0.1:443", 0), accepted, 1, 1},
	{submit("b", "one", "10.0.0.1:443", 0), conflict, 2, 1},
	{submit("a", "one", "10.0.0.1:443", 0), accepted, 1, 1}, // resent
	{submit("c", "two", "10.0.0.1:443", 0), invalid, 4, 0},  // address in use
	{submit("d", "two", "10.0.0.2:443", 3), invalid, 5, 0},  // edited from a version that does not exist
	{submit("e", "two", "10.0.0.2:443", 0), accepted, 6, 1},
	{submit("f", "one", "10.0.0.3:443", 1), accepted, 7, 2},
	{submit("g", "two", "10.0.0.1:443", 1), accepted, 8, 2}, // address released by the change above
	{withdraw("h", "one", 1), conflict, 9, 2},
	{withdraw("i", "one", 2), accepted, 10, 3},
	{submit("j", "two", "10.0.0.3:443", 2), accepted, 11, 3}, // address released by the withdrawal
	{submit("k", "one", "10.0.0.4:443", 2), conflict, 12, 3},
	{submit("l", "one", "10.0.0.4:443", 3), accepted, 13, 4}, // submitted again after the withdrawal
	{withdraw("m", "none", 1), invalid, 14, 0},
	{setZone("n", "a", true), invalid, 15, 0},
	{register("a"), accepted, 16, 0},
	{register("a"), accepted, 16, 0},
	{setZone("o", "a", true), accepted, 18, 0},
	{setZone("p", "a", true), accepted, 18, 0}, // no change
	{setZone("o", "a", true), accepted, 18, 0},
}

func apply(g *WithT, c *catalog.Catalog, index uint64, command *wire.Command) *wire.CommandResult {
	command = proto.CloneOf(command)
	g.Expect(catalog.Prepare(command)).To(BeNil())
	result, err := c.Apply(index, command)
	g.Expect(err).NotTo(HaveOccurred())
	return result
}

// TestCommandSequence applies the commands once without restarts, and once with
// a snapshot and a restore after each command. Both must produce the same
// results and the same state.
func TestCommandSequence(t *testing.T) {
	for _, isRestored := range []bool{false, true} {
		t.Run(fmt.Sprint("restored ", isRestored), func(t *testing.T) {
			g := NewWithT(t)
			c := catalog.New()
			for i, step := range commandSequence {
				result := apply(g, c, uint64(i+1), step.command)
				place := fmt.Sprintf("step %d: %v", i, result)
				g.Expect(result.Outcome).To(Equal(step.outcome), place)
				g.Expect(result.Index).To(Equal(step.index), place)
				g.Expect(result.Version).To(Equal(step.version), place)
				if isRestored {
					state, err := c.Snapshot()
					g.Expect(err).NotTo(HaveOccurred())
					c, err = catalog.Restore(state)
					g.Expect(err).NotTo(HaveOccurred())
				}
			}
			g.Expect(c.ZoneIndex()).To(BeEquivalentTo(18))
			g.Expect(services(g, c)).To(Equal(map[string]uint32{"one": 1, "two": 2}))
		})
	}
}

func services(g *WithT, c *catalog.Catalog) map[string]uint32 {
	numbers := make(map[string]uint32)
	for _, record := range c.Records(0) {
		if record.Kind == wire.Record_KIND_SERVICE {
			service := new(wire.Service)
			g.Expect(proto.Unmarshal(record.Value, service)).To(Succeed())
			numbers[record.Key] = service.Number
		}
	}
	return numbers
}

func TestWithdrawnServiceIsPublished(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	apply(g, c, 1, commandSequence[0].command)
	apply(g, c, 2, withdraw("w", "one", 1))
	records := c.Records(1)
	g.Expect(records).To(HaveLen(1))
	service := new(wire.Service)
	g.Expect(proto.Unmarshal(records[0].Value, service)).To(Succeed())
	g.Expect(service.Withdrawn).To(BeTrue())
	g.Expect(service.Version).To(BeEquivalentTo(2))
}

// TestApplyDoesNotReadDocuments applies values that an instance with another
// release has read from a document that this release would reject.
func TestApplyDoesNotReadDocuments(t *testing.T) {
	g := NewWithT(t)
	command := &wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitDocument{
		Document: []byte("[future]\n"), File: "f", Service: "one", Address: "10.0.0.1:443",
	}}}
	result, err := catalog.New().Apply(1, command)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Outcome).To(Equal(accepted))
}

// TestUnknownCommandIsAnError checks that an unknown command is not skipped,
// which would let the state of instances diverge.
func TestUnknownCommandIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := catalog.New().Apply(1, &wire.Command{})
	g.Expect(catalog.ErrUnknownCommand.Has(err)).To(BeTrue())
}

func TestFindingsNameTheFile(t *testing.T) {
	g := NewWithT(t)
	command := submit("a", "Bad Name", "10.0.0.1:443", 0)
	g.Expect(catalog.Prepare(command).Findings).To(HavePrefix("Bad Name.ini: [service] name"))
	c := catalog.New()
	apply(g, c, 1, commandSequence[0].command)
	g.Expect(apply(g, c, 2, commandSequence[1].command).Findings).To(HavePrefix("one.ini: [service] version"))
}

// TestStoredResultsAreBounded checks that the newest results are kept, and the
// documents in them up to their bound.
func TestStoredResultsAreBounded(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	const size = 60 << 10
	first := submit("first", "one", "10.0.0.1:443", 0)
	document := first.GetSubmit()
	document.Document = append(document.Document, "# "+string(make([]byte, size))...)
	g.Expect(c.Apply(1, &wire.Command{SubmissionId: "first", Body: &wire.Command_Submit{Submit: &wire.SubmitDocument{
		Document: document.Document, File: "one.ini", Service: "one", Address: "10.0.0.1:443",
	}}})).NotTo(BeNil())
	for i := range catalog.MaxStoredResults {
		apply(g, c, uint64(i+2), submit(fmt.Sprint(i), "one", "10.0.0.1:443", 0))
	}
	g.Expect(c.StoredResult("first")).To(BeNil())
	g.Expect(c.StoredResult("0").Outcome).To(Equal(conflict))
	g.Expect(c.StoredResult("0").Document).To(BeEmpty())
	newest := c.StoredResult(fmt.Sprint(catalog.MaxStoredResults - 1))
	g.Expect(newest.Document).To(Equal(document.Document))
	state, err := c.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(state)).To(BeNumerically("<", catalog.MaxResultDocumentBytes+2<<20))
}

// TestTotalDocumentSizeIsBounded fills the catalog up to the bound, which must
// also apply after a restore.
func TestTotalDocumentSizeIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	const size = 1 << 20
	put := func(i int) wire.CommandResult_Outcome {
		result, err := c.Apply(uint64(i+1), &wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitDocument{
			Document: make([]byte, size), Service: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.%d:443", i),
		}}})
		g.Expect(err).NotTo(HaveOccurred())
		return result.Outcome
	}
	for i := range catalog.MaxTotalDocumentBytes / size {
		g.Expect(put(i)).To(Equal(accepted))
	}
	g.Expect(put(100)).To(Equal(invalid))
	state, err := c.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	c, err = catalog.Restore(state)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(put(101)).To(Equal(invalid))
}

// BenchmarkApply measures the replacement of a document in a catalog with 1 and
// with 640 services.
func BenchmarkApply(b *testing.B) {
	for _, count := range []int{1, 640} {
		b.Run(fmt.Sprint(count, " services"), func(b *testing.B) {
			c := catalog.New()
			index := uint64(0)
			put := func(i int, version uint64) {
				index++
				command := &wire.Command{Body: &wire.Command_Submit{Submit: &wire.SubmitDocument{
					Document: make([]byte, 1024), Service: fmt.Sprint("service-", i),
					Address: fmt.Sprintf("10.0.%d.%d:443", i/250, i%250), EditedFrom: version,
				}}}
				if _, err := c.Apply(index, command); err != nil {
					b.Fatal(err)
				}
				c.Records(index - 1)
			}
			for i := range count {
				put(i, 0)
			}
			version := uint64(1)
			for b.Loop() {
				put(0, version)
				version++
			}
		})
	}
}

func replaceRouting(version uint64, source string) *wire.Command {
	table := &wire.RoutingTable{Version: version, Routes: []*wire.Route{{
		Address: 1, Port: 1, Services: []*wire.WeightedService{{Service: source, Weight: 1}},
	}}}
	data, _ := proto.Marshal(table)
	return &wire.Command{Body: &wire.Command_ReplaceRouting{ReplaceRouting: &wire.ReplaceRouting{
		Version: version, Source: []byte(source), Table: data,
	}}}
}

// The routing table with the highest version is used. Others are accepted
// without effect, also one with different content under the current version.
func TestHighestRoutingTableVersionWins(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	g.Expect(c.Routing()).To(BeNil())
	index := uint64(0)
	for _, step := range []struct {
		version uint64
		source  string
		want    string
	}{{5, "a", "a"}, {3, "b", "a"}, {5, "c", "a"}, {9, "d", "d"}, {5, "a", "d"}} {
		index++
		result, err := c.Apply(index, replaceRouting(step.version, step.source))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Outcome).To(Equal(wire.CommandResult_OUTCOME_ACCEPTED))
		g.Expect(string(c.Routing().Source)).To(Equal(step.want))
	}
	data, err := c.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	restored, err := catalog.Restore(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(restored.Routing().Version).To(Equal(uint64(9)))
	g.Expect(string(restored.Routing().Source)).To(Equal("d"))
	table := new(wire.RoutingTable)
	g.Expect(proto.Unmarshal(restored.Routing().Table, table)).To(Succeed())
	g.Expect(table.Routes[0].Former).To(Equal([]string{"a"}), "open flows stay with the former service")
}

// A command states which versions have settled, and one of an earlier release does not.
func TestFormerServicesAreRetainedAsTheCommandStates(t *testing.T) {
	former := func(settled *uint64) []string {
		g := NewWithT(t)
		c := catalog.New()
		for version := range uint64(8) {
			command := replaceRouting(version+1, string(rune('a'+version)))
			command.GetReplaceRouting().SettledVersion = settled
			_, err := c.Apply(version+1, command)
			g.Expect(err).NotTo(HaveOccurred())
		}
		data, err := c.Snapshot()
		g.Expect(err).NotTo(HaveOccurred())
		restored, err := catalog.Restore(data)
		g.Expect(err).NotTo(HaveOccurred())
		table := new(wire.RoutingTable)
		g.Expect(proto.Unmarshal(restored.Routing().Table, table)).To(Succeed())
		return table.Routes[0].Former
	}
	g := NewWithT(t)
	g.Expect(former(nil)).To(Equal([]string{"g", "f", "e", "d"}))
	g.Expect(former(proto.Uint64(0))).To(Equal([]string{"g", "f", "e", "d", "c", "b", "a"}))
	g.Expect(former(proto.Uint64(3))).To(Equal([]string{"g", "f", "e", "d", "c"}))
}

func TestUnknownZoneIsRegisteredOnRequest(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	set := func(index uint64, name string, isOut, register bool) *wire.CommandResult {
		result, err := c.Apply(index, &wire.Command{Body: &wire.Command_SetZone{SetZone: &wire.SetZone{Name: name, Out: isOut, Register: register}}})
		g.Expect(err).NotTo(HaveOccurred())
		return result
	}
	g.Expect(set(1, "a", true, false).Outcome).To(Equal(wire.CommandResult_OUTCOME_INVALID))
	g.Expect(set(2, "a", true, true).Outcome).To(Equal(wire.CommandResult_OUTCOME_ACCEPTED))
	g.Expect(c.ZonesOut()).To(Equal([]string{"a"}))
	g.Expect(c.ZoneIndex()).To(Equal(uint64(2)))
	g.Expect(set(3, "a", false, true).Outcome).To(Equal(wire.CommandResult_OUTCOME_ACCEPTED))
	g.Expect(c.ZonesOut()).To(BeEmpty())
	g.Expect(c.ZoneIndex()).To(Equal(uint64(3)))
	g.Expect(c.ZonesBack()).To(Equal(map[string]uint64{"a": 3}))
	set(4, "a", false, true)
	set(5, "b", true, true)
	g.Expect(c.ZonesBack()).To(Equal(map[string]uint64{"a": 3}))
}

func TestRegisteredAgentsSurviveASnapshot(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	agent := func(address uint32, service string) *wire.RegisteredAgent {
		return &wire.RegisteredAgent{Address: address, Port: 7000, Zone: "a", Service: service}
	}
	apply := func(index uint64, register *wire.RegisterAgents) {
		result, err := c.Apply(index, &wire.Command{Body: &wire.Command_RegisterAgents{RegisterAgents: register}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Outcome).To(Equal(accepted))
		data, err := c.Snapshot()
		g.Expect(err).NotTo(HaveOccurred())
		c, err = catalog.Restore(data)
		g.Expect(err).NotTo(HaveOccurred())
	}
	services := func() (uint64, map[uint32]string) {
		agents, index := c.Agents()
		found := make(map[uint32]string)
		for _, agent := range agents {
			found[agent.Address] = agent.Service
		}
		return index, found
	}
	apply(1, &wire.RegisterAgents{Added: []*wire.RegisteredAgent{agent(1, "orders"), agent(2, "orders")}})
	apply(2, &wire.RegisterAgents{Added: []*wire.RegisteredAgent{agent(2, "drawings"), agent(3, "orders")}})
	apply(3, &wire.RegisterAgents{Removed: []uint64{1<<16 | 7000, 9<<16 | 7000}})
	index, found := services()
	g.Expect(index).To(Equal(uint64(3)))
	g.Expect(found).To(Equal(map[uint32]string{2: "drawings", 3: "orders"}))
}
