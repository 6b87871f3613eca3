// Package catalog implements the state machine of the replicated log: service
// documents, availability zones and the routing table.
//
// Apply is deterministic: the same commands in the same order produce the same
// state and the same results on every control instance.
package catalog

import (
	"fmt"
	"sort"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/roster"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/token"
	"sassafrasturn.example/internal/wire"
)

// MaxZones is the maximum number of availability zones of a cluster. Zone
// numbers fit one byte, and 0 is not assigned.
const MaxZones = 255

// MaxZoneNameBytes limits the name of a zone that an operator's command registers.
const MaxZoneNameBytes = 100

// MaxStoredResults limits the number of submission results that are stored for
// resent commands.
const MaxStoredResults = 4096

// MaxResultDocumentBytes limits the total size of the documents in stored
// results. The documents of the oldest results are removed first. These results
// keep their outcome and version.
const MaxResultDocumentBytes = 8 << 20

// MaxTotalDocumentBytes limits the total size of all documents, so that a
// snapshot fits the journal and a message.
const MaxTotalDocumentBytes = 64 << 20

// Error is the class of this package's errors.
var Error = errs.Class("catalog")

// ErrUnknownCommand is the class of errors about a command that a newer release
// has appended to the log.
var ErrUnknownCommand = errs.Class("the log holds a command that this program does not know; install the newer program on this instance")

type service struct {
	number      uint32
	version     uint64
	index       uint64
	document    []byte
	address     string
	isWithdrawn bool
	// formerAddress is the address before the last change of address, or empty.
	formerAddress string
}

type zone struct {
	number uint32
	isOut  bool
	index  uint64
}

// Catalog is the applied state. It is not safe for concurrent use.
type Catalog struct {
	services map[string]*service
	// serviceByAddress maps each address in use to the name of its service.
	serviceByAddress map[string]string
	zones            map[string]*zone
	zoneIndex        uint64
	nextNumber       uint32
	// documentBytes is the total size of all documents, withdrawn ones included.
	documentBytes int
	results       results
	// routing is the current routing table, or nil before the first one.
	routing      *wire.ReplaceRouting
	routingIndex uint64
	// agents are the registered agents of the opaque mode.
	agents      roster.Registry
	agentsIndex uint64
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		services:         make(map[string]*service),
		serviceByAddress: make(map[string]string),
		zones:            make(map[string]*zone),
		nextNumber:       1,
		results:          newResults(),
	}
}

// StoredResult returns the result of an earlier submission with the same ID, or
// nil if none is stored.
func (c *Catalog) StoredResult(submissionID string) *wire.CommandResult {
	return c.results.get(submissionID)
}

// Prepare validates a command before it is proposed and adds the values that
// Apply needs. It returns nil, or the result of an invalid command, which must
// not be proposed.
//
// Documents are parsed only here. Apply uses the values that Prepare has added,
// so that instances with different releases apply the same values.
func Prepare(command *wire.Command) *wire.CommandResult {
	submit := command.GetSubmit()
	if submit == nil {
		return nil
	}
	if submit.File == "" {
		submit.File = "document"
	}
	doc, err := contract.Parse(submit.File, submit.Document)
	if err != nil {
		return invalid(0, "%s", err)
	}
	submit.Service = doc.Service
	submit.Address = doc.Address.String()
	submit.EditedFrom = doc.EditedFrom
	return nil
}

// Apply applies the command at the log index. A resent command gets the result
// of the first one. A rejected command is reported in the result. An
// error is returned only for an unknown command.
func (c *Catalog) Apply(index uint64, command *wire.Command) (*wire.CommandResult, error) {
	if first := c.StoredResult(command.SubmissionId); first != nil {
		return first, nil
	}
	result, err := c.applyNew(index, command)
	if err != nil {
		return nil, err
	}
	c.results.add(command.SubmissionId, result)
	return result, nil
}

func (c *Catalog) applyNew(index uint64, command *wire.Command) (*wire.CommandResult, error) {
	switch body := command.Body.(type) {
	case *wire.Command_Submit:
		return c.applySubmit(index, body.Submit), nil
	case *wire.Command_Withdraw:
		return c.applyWithdraw(index, body.Withdraw), nil
	case *wire.Command_SetZone:
		return c.applySetZone(index, body.SetZone), nil
	case *wire.Command_RegisterZone:
		return c.applyRegisterZone(index, body.RegisterZone), nil
	case *wire.Command_ReplaceRouting:
		return c.applyReplaceRouting(index, body.ReplaceRouting), nil
	case *wire.Command_RegisterAgents:
		return c.applyRegisterAgents(index, body.RegisterAgents), nil
	default:
		return nil, ErrUnknownCommand.New("index %d", index)
	}
}

func invalid(index uint64, format string, args ...any) *wire.CommandResult {
	return &wire.CommandResult{
		Outcome:  wire.CommandResult_OUTCOME_INVALID,
		Index:    index,
		Findings: fmt.Sprintf(format, args...),
	}
}

func (c *Catalog) applySubmit(index uint64, submit *wire.SubmitDocument) *wire.CommandResult {
	current := c.services[submit.Service]
	if current != nil && submit.EditedFrom != current.version {
		return conflict(index, submit.File, current)
	}
	if current == nil && submit.EditedFrom != 0 {
		return invalid(index, "%s: [service] version: found %q, allowed: 0, the service is new", submit.File, fmt.Sprint(submit.EditedFrom))
	}
	if owner := c.serviceByAddress[submit.Address]; owner != "" && owner != submit.Service {
		return invalid(index, "%s: [service] address: found %q, allowed: an address that no other service has; %s has it", submit.File, submit.Address, owner)
	}
	if size := c.documentBytes + len(submit.Document); size > MaxTotalDocumentBytes {
		return invalid(index, "%s: all documents together have at most %d bytes; withdrawn ones count", submit.File, MaxTotalDocumentBytes)
	}
	if current == nil {
		if c.nextNumber > token.MaxService {
			return invalid(index, "all service numbers have been used")
		}
		current = &service{number: c.nextNumber}
		c.nextNumber++
		c.services[submit.Service] = current
	}
	if current.address != "" && current.address != submit.Address {
		current.formerAddress = current.address
	}
	delete(c.serviceByAddress, current.address)
	c.serviceByAddress[submit.Address] = submit.Service
	current.version++
	current.index = index
	c.documentBytes += len(submit.Document) - len(current.document)
	current.document = submit.Document
	current.address = submit.Address
	current.isWithdrawn = false
	return &wire.CommandResult{Outcome: wire.CommandResult_OUTCOME_ACCEPTED, Index: index, Version: current.version}
}

// applyWithdraw withdraws a service. Its name and number stay reserved, and its
// address becomes available to other services.
func (c *Catalog) applyWithdraw(index uint64, withdraw *wire.WithdrawService) *wire.CommandResult {
	current := c.services[withdraw.Service]
	if current == nil {
		return invalid(index, "there is no service %q; see list", withdraw.Service)
	}
	if withdraw.Version != current.version {
		return conflict(index, withdraw.Service, current)
	}
	if current.isWithdrawn {
		return &wire.CommandResult{Outcome: wire.CommandResult_OUTCOME_ACCEPTED, Index: current.index, Version: current.version}
	}
	delete(c.serviceByAddress, current.address)
	current.version++
	current.index = index
	current.address = ""
	current.isWithdrawn = true
	return &wire.CommandResult{Outcome: wire.CommandResult_OUTCOME_ACCEPTED, Index: index, Version: current.version}
}

func conflict(index uint64, place string, current *service) *wire.CommandResult {
	return &wire.CommandResult{
		Outcome:  wire.CommandResult_OUTCOME_CONFLICT,
		Index:    index,
		Version:  current.version,
		Document: current.document,
		Findings: fmt.Sprintf("%s: [service] version: the newest version is %d; edit from that one", place, current.version),
	}
}

// applyReplaceRouting replaces the routing table if the new version is higher.
// Other versions are accepted without effect, so that a resent command gets the
// same result.
func (c *Catalog) applyReplaceRouting(index uint64, replace *wire.ReplaceRouting) *wire.CommandResult {
	if c.routing == nil || replace.Version > c.routing.Version {
		c.routing = carryOver(c.routing, replace)
		c.routingIndex = index
	}
	return &wire.CommandResult{Outcome: wire.CommandResult_OUTCOME_ACCEPTED, Index: c.routingIndex, Version: c.routing.Version}
}

// carryOver returns the next routing table with the parts of the previous table
// that open flows need.
func carryOver(before, next *wire.ReplaceRouting) *wire.ReplaceRouting {
	current, table := new(wire.RoutingTable), new(wire.RoutingTable)
	// Both tables were marshalled by the instances that proposed them. If one
	// does not parse, the next table is used unchanged.
	if proto.Unmarshal(before.GetTable(), current) != nil || proto.Unmarshal(next.Table, table) != nil {
		return next
	}
	if next.SettledVersion == nil {
		routing.CarryOverByCount(current, table)
	} else {
		routing.CarryOver(current, table, next.GetSettledVersion())
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(table)
	if err != nil {
		return next
	}
	return &wire.ReplaceRouting{Version: next.Version, Source: next.Source, Table: data}
}

// Routing returns the current routing table, or nil before the first one. The
// caller must not modify it.
func (c *Catalog) Routing() *wire.ReplaceRouting {
	return c.routing
}

func (c *Catalog) applyRegisterAgents(index uint64, register *wire.RegisterAgents) *wire.CommandResult {
	c.agents = c.agents.With(register.Added, register.Removed)
	c.agentsIndex = index
	return &wire.CommandResult{Outcome: wire.CommandResult_OUTCOME_ACCEPTED, Index: index}
}

// Agents returns the registered agents of the opaque mode, and the log index of their
// last change.
func (c *Catalog) Agents() (agents roster.Registry, index uint64) { return c.agents, c.agentsIndex }

// ZonesOut returns the names of the zones that are out of service, sorted.
func (c *Catalog) ZonesOut() []string {
	var names []string
	for name, z := range c.zones {
		if z.isOut {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// ZonesBack returns the log index of the last change of each zone that is in service, when it was
// taken back or registered.
func (c *Catalog) ZonesBack() map[string]uint64 {
	indexes := make(map[string]uint64)
	for name, z := range c.zones {
		if !z.isOut {
			indexes[name] = z.index
		}
	}
	return indexes
}

func (c *Catalog) applySetZone(index uint64, set *wire.SetZone) *wire.CommandResult {
	if set.Register {
		if refused := c.applyRegisterZone(index, &wire.RegisterZone{Name: set.Name}); refused.Outcome != wire.CommandResult_OUTCOME_ACCEPTED {
			return refused
		}
	}
	current := c.zones[set.Name]
	if current == nil {
		return invalid(index, "zone %q is not known; known: %v", set.Name, c.zoneNames())
	}
	if current.isOut != set.Out {
		current.isOut = set.Out
		current.index = index
		c.zoneIndex = index
	}
	return &wire.CommandResult{Outcome: wire.CommandResult_OUTCOME_ACCEPTED, Index: current.index}
}

func (c *Catalog) applyRegisterZone(index uint64, register *wire.RegisterZone) *wire.CommandResult {
	if register.Name == "" {
		return invalid(index, "a zone needs a name")
	}
	current := c.zones[register.Name]
	if current == nil {
		if len(c.zones) >= MaxZones {
			return invalid(index, "%d zones are known, no more are possible", MaxZones)
		}
		current = &zone{number: uint32(len(c.zones) + 1), index: index}
		c.zones[register.Name] = current
		c.zoneIndex = index
	}
	return &wire.CommandResult{Outcome: wire.CommandResult_OUTCOME_ACCEPTED, Index: current.index}
}

func (c *Catalog) zoneNames() []string {
	names := make([]string, 0, len(c.zones))
	for name := range c.zones {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ZoneIndex returns the log index of the last change to any zone.
func (c *Catalog) ZoneIndex() uint64 {
	return c.zoneIndex
}

// Records returns the services and zones that have changed after the log index,
// as exchange records. The index 0 returns all of them.
func (c *Catalog) Records(after uint64) []*wire.Record {
	var records []*wire.Record
	for name, s := range c.services {
		if s.index > after {
			value := &wire.Service{
				Number: s.number, Version: s.version, Document: s.document,
				Withdrawn: s.isWithdrawn, FormerAddress: s.formerAddress,
			}
			records = append(records, record(wire.Record_KIND_SERVICE, name, s.index, value))
		}
	}
	for name, z := range c.zones {
		if z.index > after {
			value := &wire.Zone{Number: z.number, Name: name, Out: z.isOut}
			records = append(records, record(wire.Record_KIND_ZONE, name, z.index, value))
		}
	}
	return records
}

func record(kind wire.Record_Kind, key string, index uint64, value proto.Message) *wire.Record {
	// Marshal fails only for invalid UTF-8, which validation of documents and zone
	// names excludes.
	data, _ := proto.Marshal(value)
	return &wire.Record{Kind: kind, Key: key, Major: index, Value: data}
}
