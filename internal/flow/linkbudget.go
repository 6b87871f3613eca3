package flow

import "time"

// LinkBudget decides whether a balancer takes a new flow while its network link fills up.
//
// Packets that wait at a full link are late on all flows. Callers then send them again, which
// fills the link further, and probes and polls of the balancer fail, so that it stays overloaded
// after the load has gone. Each new flow brings some ten packets. The budget models a link of nine
// tenths of the rate: new flows are not taken while packets would wait there for longer than a
// limit, and the real link stays free for open flows.
//
// It is not safe for concurrent use.
type LinkBudget struct {
	// bytesPerSecond is the rate of the modelled link, 0 if the rate of the link is not known.
	bytesPerSecond float64
	// backlog is the number of bytes that would wait at the modelled link at a time.
	backlog float64
	at      time.Duration
	// sentBytes is the counter of sent bytes as of that time.
	sentBytes uint64
	// isBusy is set for each rank whose limit has been exceeded at all decisions since busySince.
	isBusy    [linkRanks]bool
	busySince [linkRanks]time.Duration
}

const (
	// linkUtilization is the share of the link's rate that may be used. The rest is for what
	// flows that were just taken send before the budget sees it.
	linkUtilization = 0.9
	linkRanks       = 3
)

// linkLimits are the longest waits at the modelled link at which flows are taken, by how many
// classes of flows are less urgent than theirs. The first is less than the time of a handshake
// between regions. The others exceed it by what flows add to the backlog that were taken in the
// round trip before, so that the less urgent ones are refused first. All are less than the 200 ms
// after which callers send a SYN again.
var linkLimits = [linkRanks]time.Duration{15 * time.Millisecond, 60 * time.Millisecond, 105 * time.Millisecond}

// NewLinkBudget returns the budget of a link with a rate in bytes per second. A rate of 0 does not
// limit anything.
func NewLinkBudget(bytesPerSecond int) *LinkBudget {
	return &LinkBudget{bytesPerSecond: linkUtilization * float64(bytesPerSecond)}
}

// LinkDecision is what becomes of a new flow.
type LinkDecision int

// Decisions on a new flow.
const (
	LinkFree LinkDecision = iota
	// LinkBusy means that the flow is not taken now, but may be with the next transmission.
	LinkBusy
	// LinkSaturated means that no flow of the class was taken for a caller's attempt, so that the
	// next transmission would hardly be.
	LinkSaturated
)

// Decide returns whether a flow is taken, given a counter of all bytes that were sent with their
// headers, and the number of classes of flows that are less urgent.
func (b *LinkBudget) Decide(now time.Duration, sentBytes uint64, lessUrgent int) LinkDecision {
	if b.bytesPerSecond <= 0 {
		return LinkFree
	}
	b.advance(now, sentBytes)
	rank := min(max(lessUrgent, 0), linkRanks-1)
	wait := b.Wait()
	for i, limit := range linkLimits {
		b.isBusy[i] = b.isBusy[i] && wait > limit
	}
	if wait <= linkLimits[rank] {
		return LinkFree
	}
	if !b.isBusy[rank] {
		b.isBusy[rank], b.busySince[rank] = true, now
	}
	if now-b.busySince[rank] > handshakeTimeout {
		return LinkSaturated
	}
	return LinkBusy
}

// Wait returns for how long packets would wait at the modelled link, as of the last decision.
func (b *LinkBudget) Wait() time.Duration {
	if b.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(b.backlog / b.bytesPerSecond * float64(time.Second))
}

func (b *LinkBudget) advance(now time.Duration, sentBytes uint64) {
	if now <= b.at {
		return
	}
	b.backlog = max(0, b.backlog+float64(sentBytes-b.sentBytes)-b.bytesPerSecond*(now-b.at).Seconds())
	b.at, b.sentBytes = now, sentBytes
}
