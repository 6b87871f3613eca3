package flow

import (
	"net/netip"
	"time"

	"sassafrasturn.example/internal/wire"
)

const (
	// takeoverSearchTime bounds the search for a copy of the flows. Packets of unknown flows wait
	// meanwhile.
	takeoverSearchTime = 300 * time.Millisecond
	// maxTakeoverTime bounds the search and the transfer: callers send a packet that was lost for
	// the third time after 1.4 s.
	maxTakeoverTime = 1400 * time.Millisecond
	// maxTakeoverStall is how long a copy is waited for without progress.
	maxTakeoverStall = 3 * HandoverRetry
	// minTakeoverRetry is several round trips within a region. Packets of unknown flows wait
	// for the last part, so HandoverRetry would be too long for a near control instance.
	minTakeoverRetry = 20 * time.Millisecond
)

// Takeover decides from which control instance the next start of an agent fetches the flows of the
// previous one: from the first that has a complete copy, and from another one if that fails. A copy
// is not used once an instance has answered that its flows are another start's, or that it has
// those of a newer one. It is not safe for concurrent use.
type Takeover struct {
	startedAt time.Duration
	instances []*takeoverInstance
	// holder has the copy that is fetched, nil while none is known.
	holder *takeoverInstance
	// parts are the received parts of the copy, nil where they are missing, and received their
	// number. retryAt is when each missing part may be requested again.
	parts    [][]*wire.FlowState
	received int
	retryAt  []time.Duration
	// progressAt is when the newest part arrived.
	progressAt time.Duration
	// spent is the highest incarnation whose flows were for another start.
	spent      uint64
	isComplete bool
}

type takeoverInstance struct {
	address netip.AddrPort
	// hasAnswered is set by an answer of any kind, and found by one that offers flows.
	hasAnswered bool
	found       *wire.Handover
	// askedAt is when the instance was first asked, and askAt when it is asked again.
	askedAt, askAt time.Duration
	// retry is the time after which a part that it was asked for is taken for lost.
	retry time.Duration
}

// TakeoverRequest asks a control instance for the part of the flows from Offset.
type TakeoverRequest struct {
	To     netip.AddrPort
	Offset int
}

// NewTakeover returns a takeover that begins now.
func NewTakeover(now time.Duration) *Takeover { return &Takeover{startedAt: now} }

// Next returns the requests to send now, given the known control instances, and the time after
// which to call Next again if no answer arrives. Instances that have not answered are asked again,
// so that each learns which start takes the flows.
func (t *Takeover) Next(now time.Duration, control []netip.AddrPort) (requests []TakeoverRequest, wait time.Duration) {
	for _, address := range control {
		if t.instance(address) == nil {
			t.instances = append(t.instances, &takeoverInstance{address: address, askedAt: now, askAt: now})
		}
	}
	if t.holder != nil && now-t.progressAt >= maxTakeoverStall {
		t.dropHolder(now)
	}
	wait = HandoverRetry
	for _, i := range t.instances {
		if i.hasAnswered {
			continue
		}
		if now >= i.askAt {
			requests = append(requests, TakeoverRequest{To: i.address})
			i.askAt = now + HandoverRetry
		}
		wait = min(wait, i.askAt-now)
	}
	if t.holder != nil {
		requests = t.appendRequests(requests, now)
		for number, part := range t.parts {
			if part == nil && t.retryAt[number] > now {
				wait = min(wait, t.retryAt[number]-now)
			}
		}
	}
	return requests, wait
}

// appendRequests appends requests for the first missing parts of the copy, so that a window of
// them is under way. One that was requested a round trip ago is taken for lost.
func (t *Takeover) appendRequests(requests []TakeoverRequest, now time.Duration) []TakeoverRequest {
	underWay := 0
	for number, part := range t.parts {
		if part == nil && now < t.retryAt[number] {
			underWay++
		}
	}
	for number, part := range t.parts {
		if part == nil && now >= t.retryAt[number] && underWay < handoverWindow {
			requests = append(requests, TakeoverRequest{To: t.holder.address, Offset: number * HandoverFlows})
			t.retryAt[number] = now + t.holder.retry
			underWay++
		}
	}
	return requests
}

func (t *Takeover) instance(address netip.AddrPort) *takeoverInstance {
	for _, i := range t.instances {
		if i.address == address {
			return i
		}
	}
	return nil
}

// HandleAnswer handles the answer of a control instance.
func (t *Takeover) HandleAnswer(now time.Duration, from netip.AddrPort, answer *wire.Handover) {
	i := t.instance(from)
	if i == nil || t.isComplete || answer.Total > maxHandoverFlows {
		return
	}
	if !i.hasAnswered {
		i.hasAnswered, i.retry = true, HandoverRetry
		i.recordRoundTrip(now - i.askedAt)
	}
	if answer.Refused {
		t.spent = max(t.spent, answer.Source)
	}
	if i.found = nil; answer.Found && !answer.Refused {
		i.found = answer
	}
	t.chooseHolder(now)
	if i == t.holder {
		t.addPart(now, answer)
	}
}

// recordRoundTrip adapts the retries to the shortest round trip to the instance.
func (i *takeoverInstance) recordRoundTrip(roundTrip time.Duration) {
	i.retry = min(i.retry, max(3*roundTrip, minTakeoverRetry))
}

// chooseHolder keeps the current holder unless it has lost the copy, the copy is another start's,
// or one of a newer start is known.
func (t *Takeover) chooseHolder(now time.Duration) {
	best := t.holder
	if best != nil && !t.isUsable(best) {
		best = nil
	}
	for _, i := range t.instances {
		if t.isUsable(i) && (best == nil || i.found.Source > best.found.Source) {
			best = i
		}
	}
	if best == t.holder {
		return
	}
	t.holder, t.parts, t.retryAt, t.received, t.progressAt = best, nil, nil, 0, now
	if best != nil {
		parts := partsOf(int(best.found.Total))
		t.parts, t.retryAt = make([][]*wire.FlowState, parts), make([]time.Duration, parts)
	}
}

// isUsable reports whether an instance offers flows that may be this start's. Earlier releases do
// not state whose they are.
func (t *Takeover) isUsable(i *takeoverInstance) bool {
	return i.found != nil && (t.spent == 0 || i.found.Source > t.spent)
}

// partsOf returns the number of parts of a number of flows. There is an empty one if there are none.
func partsOf(flows int) int { return max(1, (flows+HandoverFlows-1)/HandoverFlows) }

// addPart adds a part of the holder's copy.
func (t *Takeover) addPart(now time.Duration, answer *wire.Handover) {
	total := int(t.holder.found.Total)
	number := int(answer.Offset) / HandoverFlows
	size := min(HandoverFlows, total-int(answer.Offset))
	isPart := int(answer.Offset)%HandoverFlows == 0 && number < len(t.parts) && len(answer.Flows) == size
	if !isPart || len(t.parts) != partsOf(total) || t.parts[number] != nil {
		return
	}
	t.parts[number] = append([]*wire.FlowState{}, answer.Flows...)
	t.received++
	t.progressAt = now
	if requestedAt := t.retryAt[number] - t.holder.retry; t.retryAt[number] > 0 {
		t.holder.recordRoundTrip(now - requestedAt)
	}
	t.isComplete = t.received == len(t.parts)
}

// dropHolder gives up a copy that makes no progress. Its instance is asked again.
func (t *Takeover) dropHolder(now time.Duration) {
	t.holder.hasAnswered, t.holder.found = false, nil
	t.holder.askedAt, t.holder.askAt = now, now
	t.chooseHolder(now)
}

// IsDone reports whether the takeover ends: it is complete, all control instances have answered
// without offering flows, or the time is over. isControlKnown is set if the control instances that
// Next was given are all of them.
func (t *Takeover) IsDone(now time.Duration, isControlKnown bool) bool {
	if t.isComplete {
		return true
	}
	if t.holder != nil {
		total := int(t.holder.found.Total)
		return now-t.startedAt >= min(takeoverSearchTime+2*HandoverRetry*time.Duration(handoverRounds(total)), maxTakeoverTime)
	}
	return now-t.startedAt >= takeoverSearchTime || isControlKnown && len(t.instances) > 0 && len(t.Unanswered()) == 0
}

// Unanswered returns the control instances that have not answered.
func (t *Takeover) Unanswered() []netip.AddrPort {
	var unanswered []netip.AddrPort
	for _, i := range t.instances {
		if !i.hasAnswered {
			unanswered = append(unanswered, i.address)
		}
	}
	return unanswered
}

// IsRefused reports whether an instance has answered that the flows are another start's.
func (t *Takeover) IsRefused() bool { return t.spent > 0 }

// Source returns the incarnation of the start that has handed over the flows, 0 if no instance
// offers any.
func (t *Takeover) Source() uint64 {
	if t.holder == nil {
		return 0
	}
	return t.holder.found.Source
}

// Flows returns the flows, for how long the endpoint may have others, and which control instance
// had them. It returns false if the takeover is not complete.
func (t *Takeover) Flows() (flows []*wire.FlowState, adopt time.Duration, holder netip.AddrPort, ok bool) {
	if !t.isComplete {
		return nil, 0, netip.AddrPort{}, false
	}
	for _, part := range t.parts {
		flows = append(flows, part...)
	}
	return flows, time.Duration(t.holder.found.AdoptMs) * time.Millisecond, t.holder.address, true
}
