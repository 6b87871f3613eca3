package flow

import (
	"net/netip"
	"slices"
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
	// maxAnnouncementInterval is the longest time between messages to an instance that does not
	// answer after the search, and announcementCheck the one between checks for instances that
	// have become known.
	maxAnnouncementInterval = time.Second
	announcementCheck       = 200 * time.Millisecond
)

// Takeover decides from which control instance the next start of an agent fetches the flows of the
// previous one: from the first that has a complete copy, and from another one if that fails. A copy
// is not used once an instance has answered that its flows are another start's, or that it has
// those of a newer one. So the takeover does not end before the others have had the time to answer,
// and goes on to tell each of them which start runs, so that none gives an old copy to a later one.
// It is not safe for concurrent use.
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
	// isEnded is set by End.
	isEnded bool
}

type takeoverInstance struct {
	address netip.AddrPort
	// hasAnswered is set by an answer of any kind, and found by one that offers flows.
	hasAnswered bool
	found       *wire.Handover
	// askedAt is when the instance was first asked, and askAt when it is asked again. askInterval
	// is the time between the two.
	askedAt, askAt, askInterval time.Duration
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
			t.instances = append(t.instances, &takeoverInstance{address: address, askedAt: now, askAt: now, askInterval: HandoverRetry})
		}
	}
	isFetching := t.holder != nil && !t.isComplete && !t.isEnded
	if isFetching && now-t.progressAt >= maxTakeoverStall {
		t.dropHolder(now)
		isFetching = t.holder != nil
	}
	wait = HandoverRetry
	if t.isEnded {
		wait = announcementCheck
	}
	for _, i := range t.instances {
		if i.hasAnswered {
			continue
		}
		if now >= i.askAt {
			requests = append(requests, TakeoverRequest{To: i.address})
			if t.isEnded {
				i.askInterval = min(2*i.askInterval, maxAnnouncementInterval)
			}
			i.askAt = now + i.askInterval
		}
		wait = min(wait, i.askAt-now)
	}
	if isFetching {
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
	if i == nil || answer.Total > maxHandoverFlows {
		return
	}
	if !i.hasAnswered {
		i.hasAnswered, i.retry = true, HandoverRetry
		i.recordRoundTrip(now - i.askedAt)
	}
	if t.isEnded {
		return
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
	t.holder, t.parts, t.retryAt, t.received, t.progressAt, t.isComplete = best, nil, nil, 0, now, false
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
	isPart := answer.Found && int(answer.Offset)%HandoverFlows == 0 && number < len(t.parts) && len(answer.Flows) == size
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

// IsDone reports whether the takeover ends: it has a copy that is certain, all control instances
// have answered, or the time is over. isControlKnown is set if the control instances that Next was
// given are all of them.
func (t *Takeover) IsDone(now time.Duration, isControlKnown bool) bool {
	hasAllAnswers := isControlKnown && len(t.instances) > 0 && len(t.Unanswered()) == 0
	switch {
	case t.isComplete:
		isOver := now-t.startedAt >= takeoverSearchTime
		return hasAllAnswers || isOver || isControlKnown && t.IsCertain() && t.hadTimeToAnswer(now)
	case t.holder != nil:
		total := int(t.holder.found.Total)
		return now-t.startedAt >= min(takeoverSearchTime+2*HandoverRetry*time.Duration(handoverRounds(total)), maxTakeoverTime)
	}
	return hasAllAnswers || now-t.startedAt >= takeoverSearchTime
}

// hadTimeToAnswer reports whether each control instance was first asked a round trip ago, or has
// answered.
func (t *Takeover) hadTimeToAnswer(now time.Duration) bool {
	return !slices.ContainsFunc(t.instances, func(i *takeoverInstance) bool {
		return !i.hasAnswered && now-i.askedAt < HandoverRetry
	})
}

// IsCertain reports whether the copy is complete and is that of the start before this one: an
// instance that has it would have heard of one in between. Others that know of none prove nothing,
// since they may have restarted.
func (t *Takeover) IsCertain() bool {
	return t.isComplete && slices.ContainsFunc(t.instances, func(i *takeoverInstance) bool {
		return i.found != nil && i.found.Source == t.holder.found.Source && i.found.Confirmed
	})
}

// End ends the search. Next then returns requests only for instances that have not answered, ever
// less often, to tell them which start runs.
func (t *Takeover) End() { t.isEnded = true }

// HaveCopiesExpired reports whether all copies that were made before this start are too old.
func (t *Takeover) HaveCopiesExpired(now time.Duration) bool { return now-t.startedAt >= HandoverTTL }

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
