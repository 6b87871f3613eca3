package roster

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// Registry is the set of agents that may own flows. It is part of the replicated log,
// so a control instance knows them after a restart, before they have polled. Agents are
// offered new flows only once they are registered. A Registry is immutable.
type Registry map[Key]*wire.RegisteredAgent

// With returns the registry with some agents added and removed. Agents that would exceed
// the maximum number are not added.
func (r Registry) With(added []*wire.RegisteredAgent, removed []uint64) Registry {
	next := make(Registry, len(r)+len(added))
	for key, agent := range r {
		next[key] = agent
	}
	for _, key := range removed {
		delete(next, Key(key))
	}
	for _, agent := range added {
		key := newKey(agent.Address, agent.Port)
		if _, ok := next[key]; ok || len(next) < maxAgents {
			next[key] = agent
		}
	}
	return next
}

// contains reports whether the agent is registered with the zone and the service of its
// record.
func (r Registry) contains(key Key, record *wire.AgentRecord) bool {
	agent := r[key]
	return agent != nil && agent.Zone == record.Zone && agent.Service == record.Service
}

// SetRegistry replaces the registry of the roster. Registered agents that the roster
// lacks, or has as unseen with another service, are added as unseen: they may own flows, but
// whether they are alive is not known.
func (r *Roster) SetRegistry(now time.Duration, registry Registry) {
	r.registry = registry
	for key, agent := range registry {
		e := r.entries[key]
		if e == nil || e.record.Unseen && !registry.contains(key, e.record) {
			record := &wire.AgentRecord{
				Address: agent.Address, Port: agent.Port, Zone: agent.Zone, Service: agent.Service, Unseen: true,
			}
			r.entries[key] = &entry{record: record, lastSeen: now}
			r.recordChange(now, key, r.entries[key])
		}
	}
	for key, e := range r.entries {
		switch isRegistered := registry.contains(key, e.record); {
		case e.record.Unseen && registry[key] == nil:
			r.setGone(now, key, e, true)
		case isRegistered != e.isRegistered && e.record.Ready:
			r.recordChange(now, key, e)
		}
	}
}

// published returns the record of an entry as nodes receive it: an agent that is not
// registered yet accepts no new flows.
func (r *Roster) published(e *entry) *wire.AgentRecord {
	if e.isRegistered || !e.record.Ready || len(r.registry) == 0 {
		return e.record
	}
	record := proto.CloneOf(e.record)
	record.Ready = false
	return record
}

// PlanRegistration returns the change of the registry that the agents in the roster
// require, or nil if none does.
func (r *Roster) PlanRegistration(now time.Duration) *wire.RegisterAgents {
	plan := new(wire.RegisterAgents)
	for key, e := range r.entries {
		record := e.record
		if record.Service != "" && !record.Gone && !record.Unseen && !r.registry.contains(key, record) {
			plan.Added = append(plan.Added, &wire.RegisteredAgent{
				Address: record.Address, Port: record.Port, Zone: record.Zone, Service: record.Service,
			})
		}
	}
	for key := range r.registry {
		if e := r.entries[key]; e != nil && e.hasLeft(now) {
			plan.Removed = append(plan.Removed, uint64(key))
		}
	}
	if len(plan.Added)+len(plan.Removed) == 0 {
		return nil
	}
	return plan
}

// deregisterAfter is how long an agent must have been expired, or without an endpoint,
// before it is removed from the registry. A registered agent that does not return after
// a restart of everything delays the resets of lost flows, and one that returns after it
// was removed is offered flows only after another commit.
const deregisterAfter = 5 * time.Second

// hasLeft reports whether an agent no longer owns flows.
func (e *entry) hasLeft(now time.Duration) bool {
	hasNoEndpoint := e.record.Service == ""
	return e.record.Gone && hasNoEndpoint || (e.record.Gone || hasNoEndpoint) && now-e.changedAt > deregisterAfter
}
