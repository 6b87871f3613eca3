package flow

import (
	"math"
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
	// incompleteTTL is how long the room for a copy is reserved after its newest part: many
	// retries of a sender that still runs.
	incompleteTTL = time.Second
	// HandoverRetry is a round trip between regions plus a margin for delay.
	HandoverRetry = 60 * time.Millisecond
	// handoverWindow is how many parts are sent to, or requested from, a control instance at
	// once.
	handoverWindow = 8
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

// ForeignState returns the state of a flow that the endpoint does not have.
func ForeignState(key Key, idle time.Duration) *wire.FlowState {
	return &wire.FlowState{
		CallerAddress: routing.AddressNumber(key.Caller.Addr()), CallerPort: uint32(key.Caller.Port()),
		DialedAddress: routing.AddressNumber(key.Dialed.Addr()), DialedPort: uint32(key.Dialed.Port()),
		IdleMs: uint32(idle.Milliseconds()), Foreign: true,
	}
}

// SplitForeign separates the flows that the endpoint has from those that it does not have.
func SplitForeign(states []*wire.FlowState) (own, foreign []*wire.FlowState) {
	for _, s := range states {
		if s.Foreign {
			foreign = append(foreign, s)
		} else {
			own = append(own, s)
		}
	}
	return own, foreign
}

// KeyOfState returns the key of a flow.
func KeyOfState(s *wire.FlowState) Key {
	return Key{
		Caller: netip.AddrPortFrom(routing.NumberAddress(s.CallerAddress), uint16(s.CallerPort)),
		Dialed: netip.AddrPortFrom(routing.NumberAddress(s.DialedAddress), uint16(s.DialedPort)),
	}
}

// IsFull reports whether the endpoint may have flows for which the table had no room.
func (t *Table) IsFull() bool { return len(t.flows) >= maxFlows }

// Import adds flows that the previous start of the agent has exported. Flows that the endpoint has
// answered since stay as they are. One that was only offered to it is replaced: the SYN was a late
// copy, which the endpoint need not answer.
func (t *Table) Import(now time.Duration, states []*wire.FlowState) {
	for _, s := range states {
		key := KeyOfState(s)
		if offered := t.flows[key]; offered != nil && !offered.isOpen && !offered.hasFirstSeq {
			t.remove(offered)
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
	// flows is the number of flows for which there is room, including those that are still to
	// come. Each copy counts as one more.
	flows int
}

// handover is the copy of one agent's flows. Its incarnation is that of the start that has handed
// them over.
type handover struct {
	wire.Handover
	// at is when the first part arrived, and changedAt when the newest one did.
	at, changedAt time.Duration
	// early are parts that have arrived before others of lower offset.
	early map[int][]*wire.FlowState
	// successor is the incarnation of the start that may fetch the flows, 0 before one is known.
	successor uint64
	// isReleased is set when the flows are kept no longer: they have not become complete in
	// time, or a start after the successor is known.
	isReleased bool
}

func (k *handover) isComplete() bool { return !k.isReleased && len(k.Flows) >= int(k.Total) }

// add adds a part. One that arrives before others of lower offset must have the usual size.
func (k *handover) add(now time.Duration, part *wire.Handover) {
	offset, size := int(part.Offset), len(part.Flows)
	if k.isReleased || offset < len(k.Flows) || offset+size > int(k.Total) {
		return
	}
	k.changedAt = now
	if offset > len(k.Flows) {
		if offset%HandoverFlows == 0 && size == min(HandoverFlows, int(k.Total)-offset) {
			k.early[offset] = part.Flows
		}
		return
	}
	k.Flows = append(k.Flows, part.Flows...)
	for next := k.early[len(k.Flows)]; next != nil; next = k.early[len(k.Flows)] {
		delete(k.early, len(k.Flows))
		k.Flows = append(k.Flows, next...)
	}
}

// NewHandovers returns an empty store.
func NewHandovers() *Handovers { return &Handovers{byAgent: make(map[uint64]*handover)} }

// Len returns the number of flows for which the store has reserved room.
func (h *Handovers) Len() int { return h.flows }

// Record keeps a part of the flows of an agent that stops, and returns the answer to it, with the
// number of flows that are kept without a gap as Offset. The answer has Refused if the store has
// no room for all flows of the agent, or has flows of a newer start.
func (h *Handovers) Record(now time.Duration, part *wire.Handover) *wire.Handover {
	answer := &wire.Handover{Agent: part.Agent, Incarnation: part.Incarnation, Total: part.Total}
	kept := h.current(now, part.Agent)
	if kept != nil && (part.Incarnation < kept.Incarnation || part.Incarnation == kept.Incarnation && kept.isReleased && kept.successor != 0) {
		answer.Refused = true
		return answer
	}
	if kept == nil || kept.Incarnation != part.Incarnation || kept.Total != part.Total || kept.isReleased {
		if kept = h.reserve(now, part); kept == nil {
			answer.Refused = true
			return answer
		}
	}
	kept.add(now, part)
	answer.Offset = uint32(len(kept.Flows))
	return answer
}

// reserve replaces the copy of an agent's flows by an empty one. It returns nil if there is no
// room for all flows.
func (h *Handovers) reserve(now time.Duration, part *wire.Handover) *handover {
	h.remove(part.Agent)
	if h.flows+int(part.Total)+1 > maxHandoverFlows {
		return nil
	}
	kept := &handover{at: now, changedAt: now, early: make(map[int][]*wire.FlowState)}
	kept.Agent, kept.Incarnation, kept.Total, kept.AdoptMs = part.Agent, part.Incarnation, part.Total, part.AdoptMs
	h.byAgent[part.Agent] = kept
	h.flows += int(part.Total) + 1
	return kept
}

// RecordStart records that an agent runs with an incarnation. Only the first start after the one
// that has handed over its flows may fetch them, and not once a later one is known. Incarnations
// that are not higher are those of late messages, or of an agent that does not know yet that its
// wall clock went back.
func (h *Handovers) RecordStart(agent, incarnation uint64) {
	kept := h.byAgent[agent]
	if kept == nil || incarnation <= kept.Incarnation {
		return
	}
	if kept.successor == 0 {
		kept.successor = incarnation
	}
	if incarnation > kept.successor {
		h.release(kept)
	}
}

// NeverHeard is the time since which an instance hears of all starts if it does not.
const NeverHeard = time.Duration(math.MaxInt64)

// Take returns the part of an agent's flows that its next start requests, without Found if there
// are none for it, or not all. The answer has Refused if they are another start's. heardSince is
// since when the control instance has heard of all starts without a gap: it confirms only a copy
// that is not older.
func (h *Handovers) Take(now time.Duration, request *wire.Handover, heardSince time.Duration) *wire.Handover {
	answer := &wire.Handover{Agent: request.Agent, Incarnation: request.Incarnation, Offset: request.Offset}
	kept := h.current(now, request.Agent)
	if kept == nil || request.Incarnation <= kept.Incarnation {
		return answer
	}
	h.RecordStart(request.Agent, request.Incarnation)
	answer.Source = kept.Incarnation
	if kept.successor != request.Incarnation {
		answer.Refused = true
		return answer
	}
	if !kept.isComplete() || request.Offset > kept.Total {
		return answer
	}
	end := min(int(request.Offset)+HandoverFlows, len(kept.Flows))
	answer.Found, answer.Total, answer.AdoptMs = true, kept.Total, kept.AdoptMs
	answer.Flows = kept.Flows[request.Offset:end]
	answer.Confirmed = kept.changedAt >= heardSince
	return answer
}

// Sweep removes what is older than HandoverTTL, and the flows of copies that have not become
// complete within incompleteTTL.
func (h *Handovers) Sweep(now time.Duration) {
	for agent := range h.byAgent {
		h.current(now, agent)
	}
}

// current returns the copy of an agent's flows, or nil if there is none or it is too old.
func (h *Handovers) current(now time.Duration, agent uint64) *handover {
	kept := h.byAgent[agent]
	if kept == nil {
		return nil
	}
	if now-kept.at > HandoverTTL {
		h.remove(agent)
		return nil
	}
	if !kept.isComplete() && now-kept.changedAt > incompleteTTL {
		h.release(kept)
	}
	return kept
}

// release frees the room of a copy. The copy remains, so that later starts are refused.
func (h *Handovers) release(kept *handover) {
	if !kept.isReleased {
		kept.isReleased, kept.Flows, kept.early = true, nil, nil
		h.flows -= int(kept.Total)
	}
}

func (h *Handovers) remove(agent uint64) {
	if kept := h.byAgent[agent]; kept != nil {
		h.release(kept)
		h.flows--
		delete(h.byAgent, agent)
	}
}
