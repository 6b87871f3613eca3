package wire

import "google.golang.org/protobuf/proto"

// Member holds what the records of balancers and endpoints have in common.
type Member struct {
	Instance string
	Zone     string
	// Link is the link address of the instance, host:port.
	Link string
	// Service is the service of an endpoint, empty for a balancer.
	Service string
	// IsRemoved is true for an endpoint in STATE_GONE: it has left the cluster.
	IsRemoved bool
}

// MemberOf decodes the record of a balancer or an endpoint. It returns false for
// records of other kinds and for those that cannot be decoded.
func MemberOf(record *Record) (Member, bool) {
	switch record.Kind {
	case Record_KIND_BALANCER:
		balancer := new(Balancer)
		if proto.Unmarshal(record.Value, balancer) != nil {
			return Member{}, false
		}
		return Member{Instance: balancer.Instance, Zone: balancer.Zone, Link: balancer.Link}, true
	case Record_KIND_ENDPOINT:
		endpoint := new(Endpoint)
		if proto.Unmarshal(record.Value, endpoint) != nil {
			return Member{}, false
		}
		return Member{
			Instance:  endpoint.Instance,
			Zone:      endpoint.Zone,
			Link:      endpoint.Link,
			Service:   endpoint.Service,
			IsRemoved: endpoint.State == Endpoint_STATE_GONE,
		}, true
	default:
		return Member{}, false
	}
}
