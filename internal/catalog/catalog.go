// Package catalog is the state machine that the replicated log drives: service
// documents and availability zones.
//
// Apply is deterministic: the same commands in the same order give the same
// state and the same results on every control instance.
package catalog

import (
	"fmt"
	"sort"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/token"
	"sassafrasturn.example/internal/wire"
)

// MaxZones is how many availability zones a cluster can know; their numbers
// fit one byte and 0 is never given out.
const MaxZones = 255

// MaxZoneNameBytes bounds the name of a zone that an order registers.
const MaxZoneNameBytes = 100

// MaxStoredResults bounds how many submission results are kept for resends.
const MaxStoredResults = 4096

// MaxResultDocumentBytes bounds the documents in the results that are kept; the
// oldest results lose theirs first, but keep their outcome and version.
const MaxResultDocumentBytes = 8 << 20

// MaxTotalDocumentBytes bounds all documents together, so that a snapshot fits the
// journal and a message.
const MaxTotalDocumentBytes = 64 << 20

// Error is the class of this package's errors.
var Error = errs.Class("catalog")

// ErrUnknownCommand is the class of errors about a command that a newer program
// has put into the log.
var ErrUnknownCommand = errs.Class("the log holds a command that this program does not know; install the newer program on this instance")

type service struct {
	number      uint32
	version     uint64
	index       uint64
	document    []byte
	address     string
	isWithdrawn bool
	// formerAddress is the address before the last change of address.
	formerAddress string
}

type zone struct {
	number uint32
	isOut  bool
	index  uint64
}

// Catalog holds the applied state. It is not safe for concurrent use.
type Catalog struct {
	services map[string]*service
	// serviceByAddress maps the addresses in use to the names of their services.
	serviceByAddress map[string]string
	zones            map[string]*zone
	zoneIndex        uint64
	nextNumber       uint32
	// documentBytes is the size of all documents.
	documentBytes int
	results       results
	// routing is nil before the first routing table.
	routing      *wire.ReplaceRouting
	routingIndex uint64
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

// StoredResult returns the result of an earlier submission with the ID, or nil.
func (c *Catalog) StoredResult(submissionID string) *wire.CommandResult {
	return c.results.get(submissionID)
}

// Prepare checks a command before it is proposed and adds what Apply needs.
// It returns nil, or the result for a command that must not be proposed.
//
// Documents are read only here: Apply uses what Prepare has read, so that
// instances with programs of different versions apply the same.
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

// Apply runs the command that stands at the log index.
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

// applyWithdraw ends a service. Its name and number stay taken; its address is free.
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

func conflict(index uint64, place string, winner *service) *wire.CommandResult {
	return &wire.CommandResult{
		Outcome:  wire.CommandResult_OUTCOME_CONFLICT,
		Index:    index,
		Version:  winner.version,
		Document: winner.document,
		Findings: fmt.Sprintf("%s: [service] version: the newest version is %d; edit from that one", place, winner.version),
	}
}

// applyReplaceRouting takes a routing table whose version is higher than the
// one held. Others are accepted too and change nothing, so that a resend gets
// the same answer.
func (c *Catalog) applyReplaceRouting(index uint64, replace *wire.ReplaceRouting) *wire.CommandResult {
	if c.routing == nil || replace.Version > c.routing.Version {
		c.routing = carryOver(c.routing, replace)
		c.routingIndex = index
	}
	return &wire.CommandResult{Outcome: wire.CommandResult_OUTCOME_ACCEPTED, Index: c.routingIndex, Version: c.routing.Version}
}

// carryOver returns the next routing table with what open flows need of the one
// before.
func carryOver(before, next *wire.ReplaceRouting) *wire.ReplaceRouting {
	current, table := new(wire.RoutingTable), new(wire.RoutingTable)
	// Both were marshalled by the instance that proposed them; what does not
	// parse is kept as it is.
	if proto.Unmarshal(before.GetTable(), current) != nil || proto.Unmarshal(next.Table, table) != nil {
		return next
	}
	routing.CarryOver(current, table)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(table)
	if err != nil {
		return next
	}
	return &wire.ReplaceRouting{Version: next.Version, Source: next.Source, Table: data}
}

// Routing returns the routing table, or nil before the first one. It must not
// be changed.
func (c *Catalog) Routing() *wire.ReplaceRouting {
	return c.routing
}

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

// ZoneIndex returns the log index of the newest change to any zone.
func (c *Catalog) ZoneIndex() uint64 {
	return c.zoneIndex
}

// Records returns, as exchange records, the state that was changed after the
// log index; 0 gives all of it.
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
	// Marshal fails only for invalid UTF-8, which the document and zone checks exclude.
	data, _ := proto.Marshal(value)
	return &wire.Record{Kind: kind, Key: key, Major: index, Value: data}
}
