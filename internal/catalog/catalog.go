// Package catalog is the state machine that the replicated log drives: service
// documents and availability zones.
//
// Apply is deterministic: the same commands in the same order give the same
// state and the same results on every control instance.
package catalog

import (
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/token"
	"sassafrasturn.example/internal/wire"
)

// MaxZones is how many availability zones a cluster can know; their numbers
// fit one byte and 0 is never given out.
const MaxZones = 255

// MaxRemembered bounds how many submission results are kept for resends.
const MaxRemembered = 4096

type service struct {
	number   uint32
	version  uint64
	index    uint64
	document []byte
	address  string
	// former is the address before the last change of address.
	former string
}

type zone struct {
	number uint32
	out    bool
	index  uint64
}

// Catalog holds the applied state. It is not safe for concurrent use.
type Catalog struct {
	services   map[string]*service
	zones      map[string]*zone
	nextNumber uint32
	remembered map[string]*wire.CommandResult
	order      []string
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		services:   make(map[string]*service),
		zones:      make(map[string]*zone),
		nextNumber: 1,
		remembered: make(map[string]*wire.CommandResult),
	}
}

// Apply runs the command that stands at the log index.
func (c *Catalog) Apply(index uint64, command *wire.Command) *wire.CommandResult {
	if first, ok := c.remembered[command.SubmissionId]; ok && command.SubmissionId != "" {
		return first
	}
	result := c.applyNew(index, command)
	c.remember(command.SubmissionId, result)
	return result
}

func (c *Catalog) applyNew(index uint64, command *wire.Command) *wire.CommandResult {
	switch body := command.Body.(type) {
	case *wire.Command_Submit:
		return c.applySubmit(index, body.Submit)
	case *wire.Command_SetZone:
		return c.applySetZone(index, body.SetZone)
	case *wire.Command_RegisterZone:
		return c.applyRegisterZone(index, body.RegisterZone)
	default:
		return invalid(index, "unknown command")
	}
}

func (c *Catalog) remember(id string, result *wire.CommandResult) {
	if id == "" {
		return
	}
	c.remembered[id] = result
	c.order = append(c.order, id)
	if len(c.order) > MaxRemembered {
		delete(c.remembered, c.order[0])
		c.order = c.order[1:]
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
	doc, err := contract.Parse("document", submit.Document)
	if err != nil {
		return invalid(index, "%s", err)
	}
	held := c.services[doc.Service]
	if held != nil && doc.EditedFrom != held.version {
		return conflict(index, held)
	}
	if held == nil && doc.EditedFrom != 0 {
		return invalid(index, "document: [service] version: found %q, allowed: 0, the service is new", fmt.Sprint(doc.EditedFrom))
	}
	if owner := c.ownerOf(doc.Address.String()); owner != "" && owner != doc.Service {
		return invalid(index, "document: [service] address: found %q, allowed: an address that no other service has; %s has it", doc.Address, owner)
	}
	if held == nil {
		if c.nextNumber > token.MaxService {
			return invalid(index, "all service numbers have been used")
		}
		held = &service{number: c.nextNumber}
		c.nextNumber++
		c.services[doc.Service] = held
	}
	if address := doc.Address.String(); held.address != "" && held.address != address {
		held.former = held.address
	}
	held.version++
	held.index = index
	held.document = submit.Document
	held.address = doc.Address.String()
	return &wire.CommandResult{Outcome: wire.CommandResult_OUTCOME_ACCEPTED, Index: index, Version: held.version}
}

func conflict(index uint64, winner *service) *wire.CommandResult {
	return &wire.CommandResult{
		Outcome:  wire.CommandResult_OUTCOME_CONFLICT,
		Index:    index,
		Version:  winner.version,
		Document: winner.document,
		Findings: fmt.Sprintf("document: [service] version: the newest version is %d; edit from that one", winner.version),
	}
}

func (c *Catalog) ownerOf(address string) string {
	for name, s := range c.services {
		if s.address == address {
			return name
		}
	}
	return ""
}

func (c *Catalog) applySetZone(index uint64, set *wire.SetZone) *wire.CommandResult {
	held := c.zones[set.Name]
	if held == nil {
		return invalid(index, "zone %q is not known; known: %v", set.Name, c.zoneNames())
	}
	if held.out != set.Out {
		held.out = set.Out
		held.index = index
	}
	return &wire.CommandResult{Outcome: wire.CommandResult_OUTCOME_ACCEPTED, Index: index}
}

func (c *Catalog) applyRegisterZone(index uint64, register *wire.RegisterZone) *wire.CommandResult {
	if register.Name == "" {
		return invalid(index, "a zone needs a name")
	}
	if c.zones[register.Name] == nil {
		if len(c.zones) >= MaxZones {
			return invalid(index, "%d zones are known, no more are possible", MaxZones)
		}
		c.zones[register.Name] = &zone{number: uint32(len(c.zones) + 1), index: index}
	}
	return &wire.CommandResult{Outcome: wire.CommandResult_OUTCOME_ACCEPTED, Index: index}
}

func (c *Catalog) zoneNames() []string {
	names := make([]string, 0, len(c.zones))
	for name := range c.zones {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Records returns the state as exchange records.
func (c *Catalog) Records() []*wire.Record {
	var records []*wire.Record
	for name, s := range c.services {
		value := &wire.Service{Number: s.number, Version: s.version, Document: s.document, FormerAddress: s.former}
		records = append(records, record(wire.Record_KIND_SERVICE, name, s.index, value))
	}
	for name, z := range c.zones {
		value := &wire.Zone{Number: z.number, Name: name, Out: z.out}
		records = append(records, record(wire.Record_KIND_ZONE, name, z.index, value))
	}
	return records
}

func record(kind wire.Record_Kind, key string, index uint64, value proto.Message) *wire.Record {
	// Marshal fails only for invalid UTF-8, which the document and zone checks exclude.
	data, _ := proto.Marshal(value)
	return &wire.Record{Kind: kind, Key: key, Major: index, Value: data}
}
