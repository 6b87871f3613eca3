package route

import (
	"net/netip"

	"sassafrasturn.example/internal/token"
)

// View is what a balancer knows of one service and of the zones.
type View struct {
	// Service is the number of the service that the datagram's address belongs to.
	Service uint32
	// Endpoints may take new flows.
	Endpoints []Endpoint
	// ZonesOut tells which availability zones are out of service, by number;
	// views share it.
	ZonesOut *[256]bool
	// IsFormerAddress is true at an address that the service had before: established
	// flows go on there, new ones are refused.
	IsFormerAddress bool
}

// Action is what a balancer does with a datagram.
type Action uint8

// Actions.
const (
	ActionDrop Action = iota
	// ActionForward sends the datagram of an established flow to its agent.
	ActionForward
	// ActionOffer offers a new flow to candidates.
	ActionOffer
)

// Reason says why a datagram was dropped.
type Reason string

// Reasons of drops.
const (
	ReasonNone         Reason = ""
	ReasonMalformed    Reason = "malformed"
	ReasonUnknownToken Reason = "unknown-token"
	ReasonOtherService Reason = "other-service"
	ReasonZoneOut      Reason = "zone-out"
	ReasonNoEndpoint   Reason = "no-endpoint"
	// ReasonFormerAddress: a new flow at an address that the service had before.
	ReasonFormerAddress Reason = "former-address"
)

// Decision is what to do with one datagram.
type Decision struct {
	Action Action
	Reason Reason
	// Agent is where to send: the agent of an established flow, or the first
	// candidate of a new one.
	Agent netip.AddrPort
	// Candidates are those of a new flow in order, with Agent as the first.
	Candidates Candidates
	// Route is what the connection ID of an established flow says.
	Route token.Route
}

// Router decides datagrams. It is safe for concurrent use.
type Router struct {
	codec *token.Codec
}

// NewRouter returns a router that reads connection IDs with the codec.
func NewRouter(codec *token.Codec) *Router {
	return &Router{codec: codec}
}

// Decide says what to do with a datagram that arrived at the view's service.
func (r *Router) Decide(view *View, datagram []byte) Decision {
	packet, ok := ParsePacket(datagram)
	if !ok {
		return drop(ReasonMalformed)
	}
	if flow, ok := r.codec.Decode(packet.Destination); ok {
		return decideEstablished(view, flow)
	}
	if !packet.IsInitial {
		return drop(ReasonUnknownToken)
	}
	return decideNew(view, packet.Destination)
}

func drop(reason Reason) Decision {
	return Decision{Action: ActionDrop, Reason: reason}
}

func decideEstablished(view *View, flow token.Route) Decision {
	if flow.Service != view.Service {
		return drop(ReasonOtherService)
	}
	if view.ZonesOut[flow.Zone] {
		return drop(ReasonZoneOut)
	}
	return Decision{Action: ActionForward, Agent: flow.Agent, Route: flow}
}

func decideNew(view *View, id []byte) Decision {
	if view.IsFormerAddress {
		return drop(ReasonFormerAddress)
	}
	candidates := ChooseCandidates(id, view.Endpoints)
	if candidates.count == 0 {
		return drop(ReasonNoEndpoint)
	}
	return Decision{Action: ActionOffer, Agent: candidates.agents[0], Candidates: candidates}
}
