package route

import (
	"net/netip"

	"sassafrasturn.example/internal/token"
)

// View contains the data of one service and of the zones by which a balancer routes
// datagrams.
type View struct {
	// Service is the number of the service that the datagram's address belongs to.
	Service uint32
	// Endpoints are the endpoints that may receive new flows.
	Endpoints []Endpoint
	// ZonesOut is indexed by zone number and true for availability zones that are out
	// of service. It is shared by all views.
	ZonesOut *[256]bool
	// IsFormerAddress is true for an address that the service used before. Established
	// flows continue there, and new ones are refused.
	IsFormerAddress bool
}

// Action is the action that a balancer takes for a datagram.
type Action uint8

const (
	ActionDrop Action = iota
	// ActionForward sends the datagram of an established flow to its agent.
	ActionForward
	// ActionOffer offers a new flow to candidates.
	ActionOffer
)

// Reason is the reason why a datagram was dropped.
type Reason string

// Drop reasons.
const (
	ReasonNone         Reason = ""
	ReasonMalformed    Reason = "malformed"
	ReasonUnknownToken Reason = "unknown-token"
	ReasonOtherService Reason = "other-service"
	ReasonZoneOut      Reason = "zone-out"
	ReasonNoEndpoint   Reason = "no-endpoint"
	// ReasonFormerAddress is for a new flow at an address that the service used
	// before.
	ReasonFormerAddress Reason = "former-address"
)

// Decision is the action for one datagram and its parameters.
type Decision struct {
	Action Action
	Reason Reason
	// Agent is the destination: the agent of an established flow, or the first
	// candidate for a new one.
	Agent netip.AddrPort
	// Candidates are the candidates for a new flow in order, Agent being the first.
	Candidates Candidates
	// Route is the content of an established flow's connection ID.
	Route token.Route
}

// Router makes the decisions for datagrams. It is safe for concurrent use.
type Router struct {
	codec *token.Codec
}

// NewRouter returns a router that decodes connection IDs with the codec.
func NewRouter(codec *token.Codec) *Router {
	return &Router{codec: codec}
}

// Decide returns the decision for a datagram that arrived at an address of the view's
// service.
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
