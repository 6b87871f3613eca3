package settings

import (
	"net/netip"
	"time"

	"sassafrasturn.example/internal/inifile"
)

// Mode is how callers' flows are transported and where they end.
type Mode string

// Modes.
const (
	// ModeQUIC means that agents terminate the callers' QUIC connections.
	ModeQUIC Mode = "quic"
	// ModeOpaque means that endpoints terminate the flows themselves. The system
	// forwards packets whose content it cannot read.
	ModeOpaque Mode = "opaque"
)

const sectionOpaque = "opaque"

// Opaque holds the settings of the opaque mode.
type Opaque struct {
	// Packets is the UDP address at which a balancer receives callers' packets.
	Packets netip.AddrPort
	// Ready is the HTTP address at which a balancer reports whether it accepts packets.
	Ready netip.AddrPort
	// CallerPort is the UDP port at which callers receive packets.
	CallerPort uint16
	// Endpoint is the UDP address of an agent's endpoint.
	Endpoint netip.AddrPort
	// EndpointCheck is a TCP address at which an agent's endpoint accepts connections
	// as long as it runs. It is not set if the endpoint has no such address.
	EndpointCheck netip.AddrPort
	// Service is the service of an agent's endpoint, used until a heartbeat of the
	// endpoint names its service.
	Service string
	// Outbound is the UDP address at which an agent receives its endpoint's packets.
	Outbound netip.AddrPort
	// Announce is the HTTP address at which an agent receives its endpoint's heartbeats.
	Announce netip.AddrPort
	// Operator is the HTTP address at which a control instance serves operators.
	Operator netip.AddrPort
	// MayBootstrap allows a control instance to form a new control group with its peers.
	MayBootstrap bool
	// Voters is the target number of voters in the control group.
	Voters int
	// HeartbeatInterval is the interval of the endpoints' heartbeats.
	HeartbeatInterval time.Duration
	// AddressReuseDelay is how long the address of an endpoint stays unused after the
	// endpoint has stopped.
	AddressReuseDelay time.Duration
	// MaxFlowLifetime is the maximum age of a flow.
	MaxFlowLifetime time.Duration
	// ColdFactor and ColdSlack limit the requests that a cold endpoint receives in one
	// second: the rate stated for its service, times ColdFactor, plus ColdSlack.
	ColdFactor float64
	ColdSlack  int
	// StopGracePeriod is the time in which a process must stop after the request to stop.
	StopGracePeriod time.Duration
	// ZoneLeaveCost is how much earlier a flow must be answered in another zone to leave that
	// of its balancer.
	ZoneLeaveCost time.Duration
}

// Defaults and limits of the opaque mode. The defaults are the values of the smaller
// known deployments.
const (
	defaultVoters            = 5
	maxVoters                = 7
	defaultHeartbeatInterval = time.Second
	defaultAddressReuseDelay = 2 * time.Second
	defaultMaxFlowLifetime   = time.Minute
	defaultStopGracePeriod   = 6 * time.Second
	defaultZoneLeaveCost     = 5 * time.Millisecond
	maxZoneLeaveCost         = time.Minute
	defaultColdPercent       = 150
	defaultColdSlack         = 5
	maxColdPercent           = 10_000
	maxColdSlack             = 10_000
	percent                  = 100
)

func readOpaque(file *inifile.File, s *Settings) {
	s.Opaque = Opaque{
		Voters:            file.Int(sectionOpaque, "voters", defaultVoters, 1, maxVoters),
		HeartbeatInterval: file.Duration(sectionOpaque, "heartbeat", defaultHeartbeatInterval, time.Millisecond, time.Minute),
		AddressReuseDelay: file.Duration(sectionOpaque, "address_reuse", defaultAddressReuseDelay, time.Millisecond, time.Hour),
		MaxFlowLifetime:   file.Duration(sectionOpaque, "flow_lifetime", defaultMaxFlowLifetime, time.Second, 24*time.Hour),
		StopGracePeriod:   file.Duration(sectionOpaque, "stop_time", defaultStopGracePeriod, time.Second, time.Hour),
		ZoneLeaveCost:     file.Duration(sectionOpaque, "zone_leave_cost", defaultZoneLeaveCost, 0, maxZoneLeaveCost),
		ColdFactor:        float64(file.Int(sectionOpaque, "cold_percent", defaultColdPercent, 1, maxColdPercent)) / percent,
		ColdSlack:         file.Int(sectionOpaque, "cold_slack", defaultColdSlack, 0, maxColdSlack),
		MayBootstrap:      readBool(file, sectionOpaque, "found"),
	}
	switch s.Role {
	case RoleBalancer:
		s.Opaque.Packets = file.RequiredAddrPort(sectionOpaque, "packets")
		s.Opaque.Ready = file.RequiredAddrPort(sectionOpaque, "ready")
	case RoleAgent:
		s.Opaque.Endpoint = file.RequiredAddrPort(sectionOpaque, "endpoint")
		if s.Opaque.Endpoint.IsValid() && s.Opaque.Endpoint.Port() == 0 {
			file.Reject(sectionOpaque, "endpoint", s.Opaque.Endpoint.String(), "an IP address and a port from 1 to 65535")
		}
		s.Opaque.EndpointCheck = file.AddrPort(sectionOpaque, "endpoint_check")
		s.Opaque.Service = file.String(sectionOpaque, "service", "")
		s.Opaque.Outbound = file.RequiredAddrPort(sectionOpaque, "outbound")
		s.Opaque.Announce = file.RequiredAddrPort(sectionOpaque, "announce")
	case RoleControl:
		s.Opaque.Operator = file.RequiredAddrPort(sectionOpaque, "operator")
		if s.DataFolder == "" {
			file.Reject(sectionInstance, "data", "", "the path of a folder on a disk, in which control stores its state")
		}
	default:
		file.Reject(sectionInstance, "role", string(s.Role), "balancer, agent or control; the opaque mode does not support the role all")
	}
	if s.Role != RoleControl {
		s.Opaque.CallerPort = uint16(file.Int(sectionOpaque, "caller_port", 0, 1, 65535))
		if s.Opaque.CallerPort == 0 {
			file.Reject(sectionOpaque, "caller_port", "", "the UDP port at which callers receive packets, 1 to 65535")
		}
	}
	if len(s.Cluster.Peers) == 0 {
		file.Reject(sectionCluster, "peers", "", "the link addresses of one or more control instances")
	}
	if !s.Link.Listen.Addr().Is4() {
		file.Reject(sectionLink, "listen", s.Link.Listen.String(), "an IPv4 address and a port")
	}
	if !s.Link.Address().Addr().Is4() {
		file.Reject(sectionLink, "advertise", s.Link.Advertise.String(), "an IPv4 address and a port")
	}
}
