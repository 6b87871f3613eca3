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
	// maxReceiveLag limits the time by which others may have received gossip from a
	// member later than this instance: two lost rounds of gossip and some delay. It is
	// shorter than the time in which agents that poll only that member expire.
	maxReceiveLag = 1100 * time.Millisecond
	// contactRetention is how long a silent instance is remembered.
	contactRetention = 10 * time.Second
	// maxContacts is the largest number of control instances that are remembered.
	maxContacts = 64
)

// Contacts tracks from which other control instances one of them receives gossip.
// An instance that misses the gossip of another has a roster without some live
// agents, even while the two agree on the log through other members or another
// connection.
type Contacts struct {
	// received is when gossip of an instance last arrived, and reported when another
	// instance last reported to have received its gossip.
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

// RecordReceived records that gossip of the instance at the address has arrived.
func (c *Contacts) RecordReceived(now time.Duration, address netip.AddrPort) {
	remember(c.received, now, address)
}

// RecordReported records that another instance reports to have received gossip of the
// instance at the address.
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

// Known returns all instances that were received from or reported within
// contactRetention, and deletes the others.
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
// roster needs: that of a majority of the members, itself included, and of every
// member that others receive from. After a gap it takes WarmUp to catch up, as a
// roster does after its start.
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
