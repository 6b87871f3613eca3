package flow

import (
	"net/netip"
	"time"
)

const (
	// trialInterval separates the trials of a packet on the endpoints of different agents while its
	// owner may be absent, so that no more than two endpoints get it within 2 s. Callers send a
	// packet again after 0.2, 0.6 and 1.4 s, and then every 1.6 s: each transmission from the one
	// at 1.4 s on is the turn of one agent, also if it comes 50 ms early.
	trialInterval = 1350 * time.Millisecond
	// maxAway bounds the agents that are probed for one packet.
	maxAway = 8
)

// Trial is what an agent believes about a packet of a flow that it does not know, while its endpoint
// may have flows that the agent does not know.
type Trial struct {
	// Earlier is the number of agents on the packet's way that do not know the flows of their
	// endpoints either.
	Earlier int
	// IsOwnerAbsent is set if an agent of the order does not answer, so that the packet may reach
	// the endpoints of all others and not its own.
	IsOwnerAbsent bool
	// RepeatedFor is how long the agent has seen transmissions of the packet.
	RepeatedFor time.Duration
}

// IsAllowed reports whether the packet is to be tried on the endpoint. While all agents of the order
// answer, the packet reaches its owner in the same pass, and a trial does no harm. Otherwise the
// agents that would try it take turns, in the order of the packet's way.
func (t *Trial) IsAllowed() bool {
	return !t.IsOwnerAbsent || t.RepeatedFor >= time.Duration(t.Earlier)*trialInterval
}

// AppendAway appends the first agents of the order, other than a given one, that do not accept flows
// or have expired: they may be restarting while their endpoints serve.
func (o *Order) AppendAway(addresses []netip.AddrPort, self *Member) []netip.AddrPort {
	for _, name := range o.Services {
		for i := range o.View.byService[name] {
			member := &o.View.byService[name][i]
			if member.Address != self.Address && (member.IsExpired || !member.IsReady) && len(addresses) < maxAway {
				addresses = append(addresses, member.Address)
			}
		}
	}
	return addresses
}
