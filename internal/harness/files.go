package harness

import (
	"fmt"
	"strings"
)

func (c *Cluster) commonSettings(role, name, zone string, host int) string {
	var peers []string
	for i := range c.plan.Controls {
		peers = append(peers, c.address(firstControlHost+i, linkPort))
	}
	if c.plan.BalancersArePeers {
		for i := range c.plan.Balancers {
			peers = append(peers, c.address(firstBalancerHost+i, linkPort))
		}
	}
	return fmt.Sprintf(`[instance]
role = %s
name = %s
zone = %s
data = %s

[cluster]
keys = cluster.keys
peers = %s

[link]
listen = %s

[metrics]
listen = %s

`, role, name, zone, name+".data", strings.Join(peers, ", "), c.address(host, linkPort), c.address(host, metricsPort)) + c.plan.ExtraSettings
}

func (c *Cluster) controlSettings(i int) string {
	var members []string
	for j := range c.plan.Controls {
		members = append(members, fmt.Sprintf("%d@%s", j+1, c.address(firstControlHost+j, linkPort)))
	}
	return c.commonSettings("control", ControlName(i), c.zone(i), firstControlHost+i) +
		fmt.Sprintf("\n[control]\nid = %d\nmembers = %s\n", i+1, strings.Join(members, ", "))
}

func (c *Cluster) balancerSettings(i int) string {
	host := firstBalancerHost + i
	return c.commonSettings("balancer", BalancerName(i), c.zone(i), host) +
		fmt.Sprintf("\n[balancer]\ndelivery = document-port\naddress = %s.%d\nenvelope = %s\n", c.subnet, host, c.address(host, envelopePort))
}

func (c *Cluster) agentSettings(name string, i, host int) string {
	return c.commonSettings("agent", name, c.zone(i), host) +
		fmt.Sprintf("\n[agent]\nenvelope = %s\nannounce = %s\n", c.address(host, envelopePort), c.address(host, announcePort))
}

// Document returns the service document of a planned service.
func (c *Cluster) Document(service ServicePlan, version int) string {
	return fmt.Sprintf("[service]\nname = %s\naddress = %s\nversion = %d\n\n[endpoints]\nallow = 127.0.0.0/8\n",
		service.Name, c.address(fabricHost, service.Port), version) + service.Extra
}
