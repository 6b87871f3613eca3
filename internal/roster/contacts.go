package roster

import (
	"net/netip"
	"time"
)

const (
	// ReportWindow is how recently gossip must have been received from a control
	// instance for this one to report it to the others: one round of gossip and some
	// delay.
	ReportWindow = 600 * time.Millisecond
	// maxReceiveLag is how much more recently than this instance another one may have
	// received gossip from a member: two lost rounds of gossip and some delay. It is
	// shorter than the time in which agents that poll only that member expire.
	maxReceiveLag = 1100 * time.Millisecond
	// contactRetention is how long a silent instance is remembered.
	contactRetention = 10 * time.Second
	// maxContacts is the largest number of control instances that are remembered.
	maxContacts = 64
)

// Contacts tracks the control instances from which an instance receives gossip. An
// instance that misses the gossip from another one has a roster without some live
// agents, even while the two agree on the log through other members or another
// connection.
type Contacts struct {
	// received is when gossip from an instance was last received, and reported when
	// another instance last reported that it receives gossip from that instance.
	received, reported map[netip.AddrPort]time.Duration
	// wasComplete is true after the first time that no gossip was missing. hasMissed and
	// missedAt report whether and when gossip was last missing after that.
	wasComplete, hasMissed bool
	missedAt               time.Duration
}

// NewContacts returns the contacts of an instance that has received no gossip yet.
func NewContacts() *Contacts {
	return &Contacts{received: make(map[netip.AddrPort]time.Duration), reported: make(map[netip.AddrPort]time.Duration)}
}

// RecordReceived records that gossip from the instance at the address was received.
func (c *Contacts) RecordReceived(now time.Duration, address netip.AddrPort) {
	remember(c.received, now, address)
}

// RecordReported records that another instance reports that it receives gossip from
// the instance at the address.
func (c *Contacts) RecordReported(now time.Duration, address netip.AddrPort) {
	remember(c.reported, now, address)
}

func remember(times map[netip.AddrPort]time.Duration, now time.Duration, address netip.AddrPort) {
	if _, ok := times[address]; ok || len(times) < maxContacts {
		times[address] = now
	}
}

// Recent returns the instances to report to the others: those from which gossip was
// received within ReportWindow.
func (c *Contacts) Recent(now time.Duration) []netip.AddrPort {
	var recent []netip.AddrPort
	for address, at := range c.received {
		if now-at <= ReportWindow {
			recent = append(recent, address)
		}
	}
	return recent
}

// Known returns all instances from which gossip was received, or that were reported,
// within contactRetention. It deletes the others.
func (c *Contacts) Known(now time.Duration) []netip.AddrPort {
	var known []netip.AddrPort
	for _, times := range []map[netip.AddrPort]time.Duration{c.received, c.reported} {
		for address, at := range times {
			if now-at > contactRetention {
				delete(times, address)
				continue
			}
			known = append(known, address)
		}
	}
	return known
}

// IsComplete reports whether the instance receives all the gossip that a complete
// roster needs: that from a majority of the members, itself included, and from every
// member whose gossip others receive. After a gap it returns true only once no gossip
// has been missing for WarmUp, which is also the time that a new roster needs.
func (c *Contacts) IsComplete(now time.Duration, own netip.AddrPort, members []netip.AddrPort) bool {
	if c.isMissingGossip(now, own, members) {
		c.missedAt, c.hasMissed = now, c.wasComplete
		return false
	}
	c.wasComplete = true
	return !c.hasMissed || now-c.missedAt > WarmUp
}

func (c *Contacts) isMissingGossip(now time.Duration, own netip.AddrPort, members []netip.AddrPort) bool {
	reachable := 0
	for _, member := range members {
		receivedAt, hasReceived := c.received[member]
		switch {
		case member == own, hasReceived && now-receivedAt <= maxReceiveLag:
			reachable++
		case !hasReceived && c.reported[member] > 0, hasReceived && c.reported[member]-receivedAt > maxReceiveLag:
			return true
		}
	}
	return reachable <= len(members)/2
}
