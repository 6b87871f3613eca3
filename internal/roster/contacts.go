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
	// maxConfirmationAge is the largest age of the gossip that a majority has confirmed
	// to have received. It covers two rounds of gossip and some delay.
	maxConfirmationAge = 1400 * time.Millisecond
	// contactRetention is how long a silent instance is remembered.
	contactRetention = 10 * time.Second
	// maxContacts is the largest number of control instances that are remembered.
	maxContacts = 64
)

// Contacts tracks the control instances from which an instance receives gossip, and
// those that receive its own. An instance that misses the gossip from another one has a
// roster without some live agents, and an instance whose gossip the others miss has
// agents that expire there, even while they agree on the log through other members or
// another connection.
type Contacts struct {
	// clockOffset is added to the send times of gossip, so that confirmations for an
	// earlier run of this instance are recognized.
	clockOffset uint64
	// received is the newest gossip from an instance, and reported when another
	// instance last reported that it receives gossip from that instance.
	received map[netip.AddrPort]receipt
	reported map[netip.AddrPort]time.Duration
	// confirmed is when the newest gossip of this instance was sent that an instance
	// has confirmed.
	confirmed map[netip.AddrPort]time.Duration
	// wasComplete is true after the first time that no gossip was missing. hasMissed and
	// missedAt report whether and when gossip was last missing after that.
	wasComplete, hasMissed bool
	missedAt               time.Duration
}

// receipt is the newest gossip received from an instance: when it arrived, and its
// send time on the sender's clock.
type receipt struct {
	at     time.Duration
	sentAt uint64
}

// Report is what an instance tells the others about the gossip that it receives: the
// instance that sent it, and the newest send time on the clock of that instance.
type Report struct {
	Address netip.AddrPort
	SentAt  uint64
}

// NewContacts returns the contacts of an instance that has received no gossip yet.
// clockOffset must differ in each run of the instance.
func NewContacts(clockOffset uint64) *Contacts {
	return &Contacts{
		clockOffset: clockOffset,
		received:    make(map[netip.AddrPort]receipt),
		reported:    make(map[netip.AddrPort]time.Duration),
		confirmed:   make(map[netip.AddrPort]time.Duration),
	}
}

// SendTime returns the send time of gossip that is sent now.
func (c *Contacts) SendTime(now time.Duration) uint64 { return c.clockOffset + uint64(now) }

// RecordReceived records that gossip from the instance at the address was received,
// and its send time.
func (c *Contacts) RecordReceived(now time.Duration, address netip.AddrPort, sentAt uint64) {
	remember(c.received, address, receipt{at: now, sentAt: sentAt})
}

// RecordConfirmed records that the instance at the address has received gossip of this
// instance that was sent at the given time. It ignores times of an earlier run.
func (c *Contacts) RecordConfirmed(now time.Duration, address netip.AddrPort, sentAt uint64) {
	age := int64(c.SendTime(now) - sentAt)
	if age < 0 || age > int64(now) {
		return
	}
	remember(c.confirmed, address, max(c.confirmed[address], now-time.Duration(age)))
}

// RecordReported records that another instance reports that it receives gossip from
// the instance at the address.
func (c *Contacts) RecordReported(now time.Duration, address netip.AddrPort) {
	remember(c.reported, address, now)
}

func remember[T any](contacts map[netip.AddrPort]T, address netip.AddrPort, value T) {
	if _, ok := contacts[address]; ok || len(contacts) < maxContacts {
		contacts[address] = value
	}
}

// Reports returns what to report to the others: the instances from which gossip was
// received within ReportWindow.
func (c *Contacts) Reports(now time.Duration) []Report {
	var reports []Report
	for address, newest := range c.received {
		if now-newest.at <= ReportWindow {
			reports = append(reports, Report{Address: address, SentAt: newest.sentAt})
		}
	}
	return reports
}

// Known returns all instances from which gossip was received, or that were reported,
// within contactRetention. It deletes the others.
func (c *Contacts) Known(now time.Duration) []netip.AddrPort {
	var known []netip.AddrPort
	for address, newest := range c.received {
		if now-newest.at > contactRetention {
			delete(c.received, address)
			delete(c.confirmed, address)
			continue
		}
		known = append(known, address)
	}
	for address, at := range c.reported {
		if now-at > contactRetention {
			delete(c.reported, address)
			continue
		}
		known = append(known, address)
	}
	return known
}

// IsComplete reports whether the instance takes part in the exchange of gossip as a
// complete roster requires: it receives gossip from a majority of the members, itself
// included, and from every member whose gossip others receive, and a majority receives
// its own. After a gap it returns true only once nothing has been missing for WarmUp,
// which is also the time that a new roster needs.
func (c *Contacts) IsComplete(now time.Duration, own netip.AddrPort, members []netip.AddrPort) bool {
	if c.isMissingGossip(now, own, members) || !c.isConfirmedByMajority(now, own, members) {
		c.missedAt, c.hasMissed = now, c.wasComplete
		return false
	}
	c.wasComplete = true
	return !c.hasMissed || now-c.missedAt > WarmUp
}

func (c *Contacts) isMissingGossip(now time.Duration, own netip.AddrPort, members []netip.AddrPort) bool {
	reachable := 0
	for _, member := range members {
		newest, hasReceived := c.received[member]
		switch {
		case member == own, hasReceived && now-newest.at <= maxReceiveLag:
			reachable++
		case !hasReceived && c.reported[member] > 0, hasReceived && c.reported[member]-newest.at > maxReceiveLag:
			return true
		}
	}
	return reachable <= len(members)/2
}

// isConfirmedByMajority reports whether a majority of the members, itself included,
// has confirmed recent gossip of this instance. The others may receive none of it
// while this instance receives all of theirs.
func (c *Contacts) isConfirmedByMajority(now time.Duration, own netip.AddrPort, members []netip.AddrPort) bool {
	confirming := 0
	for _, member := range members {
		confirmedAt, hasConfirmed := c.confirmed[member]
		if member == own || hasConfirmed && now-confirmedAt <= maxConfirmationAge {
			confirming++
		}
	}
	return confirming > len(members)/2
}
