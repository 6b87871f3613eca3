package catalog

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/roster"
	"sassafrasturn.example/internal/wire"
)

// Snapshot returns the serialized state, including the results stored for
// resent commands.
func (c *Catalog) Snapshot() ([]byte, error) {
	state := &wire.CatalogState{NextNumber: c.nextNumber, Routing: c.routing, RoutingIndex: c.routingIndex, AgentsIndex: c.agentsIndex}
	for name, s := range c.services {
		state.Services = append(state.Services, &wire.CatalogService{
			Name: name, Number: s.number, Version: s.version, Index: s.index,
			Document: s.document, Address: s.address, Withdrawn: s.isWithdrawn, FormerAddress: s.formerAddress,
		})
	}
	sort.Slice(state.Services, func(a, b int) bool { return state.Services[a].Number < state.Services[b].Number })
	for name, z := range c.zones {
		state.Zones = append(state.Zones, &wire.CatalogZone{Name: name, Number: z.number, Out: z.isOut, Index: z.index})
	}
	sort.Slice(state.Zones, func(a, b int) bool { return state.Zones[a].Number < state.Zones[b].Number })
	for _, agent := range c.agents {
		state.Agents = append(state.Agents, agent)
	}
	sort.Slice(state.Agents, func(a, b int) bool {
		first, second := state.Agents[a], state.Agents[b]
		return first.Address < second.Address || first.Address == second.Address && first.Port < second.Port
	})
	for _, id := range c.results.order {
		state.Remembered = append(state.Remembered, &wire.RememberedResult{SubmissionId: id, Result: c.results.byID[id]})
	}
	data, err := proto.Marshal(state)
	return data, Error.Wrap(err)
}

// Restore returns the catalog of a snapshot. Empty data results in an empty catalog.
func Restore(data []byte) (*Catalog, error) {
	c := New()
	if len(data) == 0 {
		return c, nil
	}
	state := new(wire.CatalogState)
	if err := proto.Unmarshal(data, state); err != nil {
		return nil, Error.Wrap(err)
	}
	c.nextNumber = state.NextNumber
	c.routing, c.routingIndex = state.Routing, state.RoutingIndex
	for _, s := range state.Services {
		c.services[s.Name] = &service{
			number: s.Number, version: s.Version, index: s.Index,
			document: s.Document, address: s.Address, isWithdrawn: s.Withdrawn, formerAddress: s.FormerAddress,
		}
		c.documentBytes += len(s.Document)
		if !s.Withdrawn {
			c.serviceByAddress[s.Address] = s.Name
		}
	}
	for _, z := range state.Zones {
		c.zones[z.Name] = &zone{number: z.Number, isOut: z.Out, index: z.Index}
		c.zoneIndex = max(c.zoneIndex, z.Index)
	}
	c.agents, c.agentsIndex = roster.Registry(nil).With(state.Agents, nil), state.AgentsIndex
	for _, r := range state.Remembered {
		c.results.add(r.SubmissionId, r.Result)
	}
	return c, nil
}
