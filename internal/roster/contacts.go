package roster

import (
	"net/netip"
	"time"
)

const (
	// ReportWindow is how lately a control instance must have been heard for others to
	// be told so: a round of gossip, and some delay.
	ReportWindow = 600 * time.Millisecond
	// maxReceiveLag is how much later than this instance others may have heard a member:
	// two rounds of gossip that were lost, and some delay. It is over before agents
	// that only that member hears count as gone.
	maxReceiveLag = 1100 * time.Millisecond
	// contactRetention is how long an instance is remembered that is silent.
	contactRetention = 10 * time.Second
	// maxContacts bounds the control instances that are remembered.
	maxContacts = 64
)

// Contacts are the control instances that one of them hears. The roster of an
// instance that misses the gossip of another lacks agents that live, even while
// the two agree on the log through other members or another connection.
type Contacts struct {
	received, reported map[netip.AddrPort]time.Duration
	// wasComplete: nothing was missed at some time, and missedAt is when gossip was
	// last missed after that.
	wasComplete, hasMissed bool
	missedAt               time.Duration
}

// NewContacts returns those of an instance that has heard nobody.
func NewContacts() *Contacts {
	return &Contacts{received: make(map[netip.AddrPort]time.Duration), reported: make(map[netip.AddrPort]time.Duration)}
}

// RecordReceived notes that an instance has been heard.
func (c *Contacts) RecordReceived(now time.Duration, address netip.AddrPort) {
	remember(c.received, now, address)
}

// RecordReported notes that another instance has heard the one at the address.
func (c *Contacts) RecordReported(now time.Duration, address netip.AddrPort) {
	remember(c.reported, now, address)
}

func remember(times map[netip.AddrPort]time.Duration, now time.Duration, address netip.AddrPort) {
	if _, ok := times[address]; ok || len(times) < maxContacts {
		times[address] = now
	}
}

// Recent returns the instances that others are to be told of.
func (c *Contacts) Recent(now time.Duration) []netip.AddrPort {
	var recent []netip.AddrPort
	for address, at := range c.received {
		if now-at <= ReportWindow {
			recent = append(recent, address)
		}
	}
	return recent
}

// Known returns all instances that were lately heard or told of, and forgets the rest.
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

// IsComplete reports whether the instance hears what it must for a whole roster:
// the gossip of a majority of the members, itself included, and of every member
// that others hear. After it has missed some it needs WarmUp to catch up, as
// rosters need after their start.
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
