package flow

import (
	"net/netip"
	"time"

	"sassafrasturn.example/internal/routing"
	"sassafrasturn.example/internal/wire"
)

const (
	// HandoverTTL is how long a control instance keeps the flows of an agent that has stopped.
	// It covers a planned restart.
	HandoverTTL = 10 * time.Second
	// HandoverFlows is how many flows one message carries, so that it fits a datagram.
	HandoverFlows = 20
	// maxHandoverFlows bounds the flows that a control instance keeps, of some 100 bytes each.
	maxHandoverFlows = 200_000
)

// Export returns the state of all flows that the endpoint has answered.
func (t *Table) Export(now time.Duration) []*wire.FlowState {
	states := make([]*wire.FlowState, 0, len(t.flows))
	for _, f := range t.flows {
		if !f.hasFirstSeq {
			continue
		}
		states = append(states, &wire.FlowState{
			CallerAddress: routing.AddressNumber(f.Key.Caller.Addr()), CallerPort: uint32(f.Key.Caller.Port()),
			DialedAddress: routing.AddressNumber(f.Key.Dialed.Addr()), DialedPort: uint32(f.Key.Dialed.Port()),
			FirstSeq: f.firstSeq, HighestSeq: f.highestSeq, CallerAck: f.CallerAck,
			Open: f.isOpen, CallerFinished: f.callerFinished, EndpointFinished: f.endpointFinished,
			IdleMs: uint32((now - f.lastSeen).Milliseconds()),
		})
	}
	return states
}

// IsFull reports whether the endpoint may have flows for which the table had no room.
func (t *Table) IsFull() bool { return len(t.flows) >= maxFlows }

// Import adds flows that the previous start of the agent has exported. Flows that the table has
// already stay as they are.
func (t *Table) Import(now time.Duration, states []*wire.FlowState) {
	for _, s := range states {
		key := Key{
			Caller: netip.AddrPortFrom(routing.NumberAddress(s.CallerAddress), uint16(s.CallerPort)),
			Dialed: netip.AddrPortFrom(routing.NumberAddress(s.DialedAddress), uint16(s.DialedPort)),
		}
		if t.flows[key] != nil || len(t.flows) >= maxFlows {
			continue
		}
		f := &Flow{
			Key: key, CallerAck: s.CallerAck, firstSeq: s.FirstSeq, highestSeq: s.HighestSeq, hasFirstSeq: true,
			isOpen: s.Open, awaitsFirstRequest: !s.Open, callerFinished: s.CallerFinished, endpointFinished: s.EndpointFinished,
			// The endpoint may have sent more than the previous start has seen.
			isAdopted: s.Open,
			lastSeen:  now - time.Duration(s.IdleMs)*time.Millisecond,
		}
		t.flows[key] = f
		t.updateClosed(f)
	}
}

// Handovers keeps the flows of agents that stop, at a control instance, until the next start of
// each agent has fetched them. Only one start may: the flows that it opens afterwards are not
// among them. It is not safe for concurrent use.
type Handovers struct {
	byAgent map[uint64]*handover
	// flows is the number of all kept flows.
	flows int
}

type handover struct {
	wire.Handover
	at time.Duration
	// successor is the incarnation of the start that fetches the flows, 0 before.
	successor uint64
}

// NewHandovers returns an empty store.
func NewHandovers() *Handovers { return &Handovers{byAgent: make(map[uint64]*handover)} }

// Record keeps a part of the flows of an agent that stops, and returns the answer to it. Parts
// are accepted in order only, and not beyond the capacity.
func (h *Handovers) Record(now time.Duration, part *wire.Handover) *wire.Handover {
	kept := h.byAgent[part.Agent]
	if kept == nil || kept.Incarnation != part.Incarnation || kept.Total != part.Total {
		h.remove(part.Agent)
		kept = &handover{at: now}
		kept.Agent, kept.Incarnation, kept.Total, kept.AdoptMs = part.Agent, part.Incarnation, part.Total, part.AdoptMs
		h.byAgent[part.Agent] = kept
	}
	isNext := int(part.Offset) == len(kept.Flows) && len(kept.Flows)+len(part.Flows) <= int(kept.Total)
	if isNext && h.flows+len(part.Flows) <= maxHandoverFlows {
		kept.Flows = append(kept.Flows, part.Flows...)
		h.flows += len(part.Flows)
	}
	return &wire.Handover{Agent: part.Agent, Incarnation: part.Incarnation, Offset: uint32(len(kept.Flows)), Total: kept.Total}
}

// RecordStart records that an agent runs with an incarnation. If it is not the one that has
// handed over its flows, no later start may fetch them.
func (h *Handovers) RecordStart(agent, incarnation uint64) {
	if kept := h.byAgent[agent]; kept != nil && kept.successor == 0 && incarnation != kept.Incarnation {
		kept.successor = incarnation
	}
}

// Take returns the part of an agent's flows that its next start requests, without Found if there
// are none for it, or not all.
func (h *Handovers) Take(now time.Duration, request *wire.Handover) *wire.Handover {
	answer := &wire.Handover{Agent: request.Agent, Incarnation: request.Incarnation, Offset: request.Offset}
	h.Sweep(now)
	h.RecordStart(request.Agent, request.Incarnation)
	kept := h.byAgent[request.Agent]
	if kept == nil || kept.successor != request.Incarnation || len(kept.Flows) < int(kept.Total) || request.Offset > kept.Total {
		return answer
	}
	end := min(int(request.Offset)+HandoverFlows, len(kept.Flows))
	answer.Found, answer.Total, answer.AdoptMs = true, kept.Total, kept.AdoptMs
	answer.Flows = kept.Flows[request.Offset:end]
	return answer
}

// Sweep removes what is older than HandoverTTL.
func (h *Handovers) Sweep(now time.Duration) {
	for agent, kept := range h.byAgent {
		if now-kept.at > HandoverTTL {
			h.remove(agent)
		}
	}
}

func (h *Handovers) remove(agent uint64) {
	if kept := h.byAgent[agent]; kept != nil {
		h.flows -= len(kept.Flows)
		delete(h.byAgent, agent)
	}
}
