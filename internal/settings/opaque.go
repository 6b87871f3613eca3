package settings

import (
	"net/netip"
	"time"

	"sassafrasturn.example/internal/inifile"
)

// Mode says how callers' flows are carried.
type Mode string

// Modes.
const (
	// ModeQUIC: agents end the callers' QUIC connections.
	ModeQUIC Mode = "quic"
	// ModeOpaque: endpoints end the flows themselves, in packets whose content
	// the system cannot read.
	ModeOpaque Mode = "opaque"
)

const sectionOpaque = "opaque"

// Opaque holds the settings of the opaque mode.
type Opaque struct {
	// Packets is the UDP address at which a balancer gets callers' packets.
	Packets netip.AddrPort
	// Ready is the HTTP address at which a balancer says whether it takes packets.
	Ready netip.AddrPort
	// CallerPort is the UDP port at which callers get packets.
	CallerPort uint16
	// Endpoint is the UDP address of an agent's endpoint.
	Endpoint netip.AddrPort
	// EndpointCheck is a TCP address at which an agent's endpoint takes connections
	// for as long as it runs; not set where there is none.
	EndpointCheck netip.AddrPort
	// Service is the service of an agent's endpoint, until the endpoint says it.
	Service string
	// Outbound is the UDP address at which an agent gets its endpoint's packets.
	Outbound netip.AddrPort
	// Announce is the HTTP address at which an agent hears its endpoint.
	Announce netip.AddrPort
	// Operator is the HTTP address at which a control instance takes orders.
	Operator netip.AddrPort
	// MayBootstrap lets a control instance found a group with its peers.
	MayBootstrap bool
	// Voters is how many voters the control group is to have.
	Voters int
	// HeartbeatInterval is how often endpoints announce themselves.
	HeartbeatInterval time.Duration
	// AddressReuseDelay is how long the address of an endpoint that is gone stays unused.
	AddressReuseDelay time.Duration
	// MaxFlowLifetime is how old a flow may grow.
	MaxFlowLifetime time.Duration
	// ColdFactor and ColdSlack bound the requests in one second at a cold
	// endpoint: what its service states, times the factor, and the slack.
	ColdFactor float64
	ColdSlack  int
	// StopGracePeriod is how long a process has between the request to stop and its end.
	StopGracePeriod time.Duration
}

// Defaults of the opaque mode, those of the smaller known deployments.
const (
	defaultVoters            = 5
	maxVoters                = 7
	defaultHeartbeatInterval = time.Second
	defaultAddressReuseDelay = 2 * time.Second
	defaultMaxFlowLifetime   = time.Minute
	defaultStopGracePeriod   = 6 * time.Second
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
		s.Opaque.EndpointCheck = file.AddrPort(sectionOpaque, "endpoint_check")
		s.Opaque.Service = file.String(sectionOpaque, "service", "")
		s.Opaque.Outbound = file.RequiredAddrPort(sectionOpaque, "outbound")
		s.Opaque.Announce = file.RequiredAddrPort(sectionOpaque, "announce")
	case RoleControl:
		s.Opaque.Operator = file.RequiredAddrPort(sectionOpaque, "operator")
		if s.DataFolder == "" {
			file.Reject(sectionInstance, "data", "", "the path of a folder on a disk; control keeps its state there")
		}
	default:
		file.Reject(sectionInstance, "role", string(s.Role), "balancer, agent or control; the opaque mode has no role of several")
	}
	if s.Role != RoleControl {
		s.Opaque.CallerPort = uint16(file.Int(sectionOpaque, "caller_port", 0, 1, 65535))
		if s.Opaque.CallerPort == 0 {
			file.Reject(sectionOpaque, "caller_port", "", "the UDP port at which callers get packets, 1 to 65535")
		}
	}
	if len(s.Cluster.Peers) == 0 {
		file.Reject(sectionCluster, "peers", "", "the link addresses of some control instances")
	}
	if !s.Link.Listen.Addr().Is4() {
		file.Reject(sectionLink, "listen", s.Link.Listen.String(), "an IPv4 address and a port")
	}
	if !s.Link.Address().Addr().Is4() {
		file.Reject(sectionLink, "advertise", s.Link.Advertise.String(), "an IPv4 address and a port")
	}
}
