package roster

import (
	"net/netip"
	"time"
)

const (
	// TellTime is how lately a control instance must have been heard for others to
	// be told so: a round of gossip, and some delay.
	TellTime = 600 * time.Millisecond
	// missedTime is how much later than this instance others may have heard a member:
	// two rounds of gossip that were lost, and some delay. It is over before agents
	// that only that member hears count as gone.
	missedTime = 1100 * time.Millisecond
	// contactMemory is how long an instance is remembered that is silent.
	contactMemory = 10 * time.Second
	// maxContacts bounds the control instances that are remembered.
	maxContacts = 64
)

// Contacts are the control instances that one of them hears. The roster of an
// instance that misses the gossip of another lacks agents that live, even while
// the two agree on the log through other members or another connection.
type Contacts struct {
	heard, told map[netip.AddrPort]time.Duration
	// wasComplete: nothing was missed at some time, and missedAt is when gossip was
	// last missed after that.
	wasComplete, hasMissed bool
	missedAt               time.Duration
}

// NewContacts returns those of an instance that has heard nobody.
func NewContacts() *Contacts {
	return &Contacts{heard: make(map[netip.AddrPort]time.Duration), told: make(map[netip.AddrPort]time.Duration)}
}

// RecordReceived notes that an instance has been heard.
func (c *Contacts) RecordReceived(now time.Duration, address netip.AddrPort) {
	remember(c.heard, now, address)
}

// RecordReported notes that another instance has heard the one at the address.
func (c *Contacts) RecordReported(now time.Duration, address netip.AddrPort) {
	remember(c.told, now, address)
}

func remember(times map[netip.AddrPort]time.Duration, now time.Duration, address netip.AddrPort) {
	if _, ok := times[address]; ok || len(times) < maxContacts {
		times[address] = now
	}
}

// Recent returns the instances that others are to be told of.
func (c *Contacts) Recent(now time.Duration) []netip.AddrPort {
	var recent []netip.AddrPort
	for address, at := range c.heard {
		if now-at <= TellTime {
			recent = append(recent, address)
		}
	}
	return recent
}

// Known returns all instances that were lately heard or told of, and forgets the rest.
func (c *Contacts) Known(now time.Duration) []netip.AddrPort {
	var known []netip.AddrPort
	for _, times := range []map[netip.AddrPort]time.Duration{c.heard, c.told} {
		for address, at := range times {
			if now-at > contactMemory {
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
	if c.misses(now, own, members) {
		c.missedAt, c.hasMissed = now, c.wasComplete
		return false
	}
	c.wasComplete = true
	return !c.hasMissed || now-c.missedAt > WarmUp
}

func (c *Contacts) misses(now time.Duration, own netip.AddrPort, members []netip.AddrPort) bool {
	present := 0
	for _, member := range members {
		heardAt, isHeard := c.heard[member]
		switch {
		case member == own, isHeard && now-heardAt <= missedTime:
			present++
		case !isHeard && c.told[member] > 0, isHeard && c.told[member]-heardAt > missedTime:
			return true
		}
	}
	return present <= len(members)/2
}
