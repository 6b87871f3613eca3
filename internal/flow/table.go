package flow

import (
	"math"
	"slices"
	"time"
)

const (
	// maxFlows bounds the flows of one endpoint. An endpoint of the largest known
	// deployment handles 2,000.
	maxFlows = 16_384
	// seqSlack is how many bytes the endpoint may have sent beyond what the agent has
	// seen: 16 packets of 1,200 bytes in flight, and the same again.
	seqSlack = 32 * 1200
	// handshakeTimeout is how long a caller waits for the answer to its SYN.
	handshakeTimeout = 1400 * time.Millisecond
	// closedRetention is how long a flow that both ends have closed is kept, to handle
	// the last acknowledgements and retransmissions.
	closedRetention = 4 * time.Second
	// inFlightTimeout is how long a request counts as in flight without packets from
	// either end.
	inFlightTimeout = 2 * time.Second
)

// Flow is a flow that the agent's endpoint has accepted or has been offered.
type Flow struct {
	Key Key
	// CallerAck is the last acknowledgement number received from the caller.
	CallerAck uint32

	// firstSeq is the sequence number of the endpoint's SYN, valid if hasFirstSeq is
	// set.
	firstSeq    uint32
	hasFirstSeq bool
	// highestSeq is the sequence number after the last byte that the endpoint has
	// sent.
	highestSeq uint32
	// isAdopted is set if the flow is older than the table. Then firstSeq is not that
	// of the SYN, but of the first packet seen from the endpoint.
	isAdopted bool

	isOpen     bool
	isInFlight bool
	// awaitsFirstRequest is set until the first request arrives, which was already
	// counted with the SYN.
	awaitsFirstRequest bool
	// isAwaitingAnswer is set if the endpoint received a SYN or data at awaitingSince
	// and has not answered since.
	isAwaitingAnswer bool
	awaitingSince    time.Duration
	// isMeasured is set if the request that awaits an answer found a free slot.
	isMeasured                       bool
	callerFinished, endpointFinished bool
	// isClosed is set if both ends have closed the flow, so that the endpoint no
	// longer has it.
	isClosed bool
	lastSeen time.Duration
	// synAckAt is when the endpoint's SYN was seen, 0 for an adopted flow.
	synAckAt time.Duration
	// heldSince is when the endpoint was first seen to have the flow, and endpointSeen when it
	// sent the latest packet of it.
	heldSince, endpointSeen time.Duration
}

// HeldSince returns a time since which the endpoint has had a flow that is open. It returns false
// if the flow is not open.
func (f *Flow) HeldSince() (at time.Duration, ok bool) { return f.heldSince, f.isOpen && f.hasFirstSeq }

// OpenedAt returns when the endpoint accepted a flow that is open. It returns false if the flow
// is not open, or is older than the table.
func (f *Flow) OpenedAt() (at time.Duration, ok bool) {
	return f.synAckAt, f.isOpen && !f.isAdopted && f.hasFirstSeq
}

// IsKept reports whether an endpoint that still runs would have the flow: neither end has
// closed it, and it is neither so old nor has it been quiet for so long that the endpoint may
// have discarded it. A time of 0 is not limited.
func (f *Flow) IsKept(now, idleTimeout, maxLifetime time.Duration) bool {
	isQuiet := idleTimeout > 0 && now-f.endpointSeen > idleTimeout/2
	isOld := maxLifetime > 0 && now-f.synAckAt > maxLifetime
	return f.isOpen && !f.callerFinished && !f.endpointFinished && !isQuiet && !isOld
}

// Table holds the flows of an agent's only endpoint. It is not safe for concurrent
// use.
type Table struct {
	flows map[Key]*Flow
	// closed is the number of closed flows, and inFlight the number of flows that wait
	// for an answer.
	closed, inFlight int
	// requestTimes are the times of the requests within requestWindow.
	requestTimes []time.Duration
	responseTime ResponseTime
	// serviceTime is measured with requests that find one of measuredSlots free.
	serviceTime   ServiceTime
	measuredSlots int
	// answeredAt is when the endpoint last answered a request.
	answeredAt time.Duration
	// failureRate is the share of requests whose flows the endpoint reset.
	failureRate FailureRate
	// cachedWait is the longest wait of a flow as of cachedWaitAt.
	cachedWait, cachedWaitAt time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{flows: make(map[Key]*Flow)}
}

// Len returns the number of flows in the table.
func (t *Table) Len() int { return len(t.flows) }

// Active returns the number of flows that the endpoint has, which excludes those that
// are kept only for late packets.
func (t *Table) Active() int { return len(t.flows) - t.closed }

// updateClosed marks the flow as closed if both ends have closed it.
func (t *Table) updateClosed(f *Flow) {
	if f.callerFinished && f.endpointFinished && !f.isClosed {
		f.isClosed = true
		t.closed++
	}
}

// InFlight returns how many flows wait for an answer of the endpoint. It estimates the
// number of requests in flight without knowledge of the protocol inside the flows.
func (t *Table) InFlight() int { return t.inFlight }

// Get returns a flow, or nil.
func (t *Table) Get(key Key) *Flow { return t.flows[key] }

// IsAnswered reports whether the endpoint has answered the SYN of a flow.
func (t *Table) IsAnswered(key Key) bool { return t.flows[key] != nil && t.flows[key].hasFirstSeq }

// Offer records that the endpoint is given the SYN of a flow. It returns nil if the
// table is full.
func (t *Table) Offer(now time.Duration, key Key) *Flow {
	f := t.flows[key]
	if f == nil {
		if len(t.flows) >= maxFlows {
			return nil
		}
		f = &Flow{Key: key, awaitsFirstRequest: true}
		t.flows[key] = f
		t.recordRequest(now)
	}
	f.lastSeen = now
	t.startWait(now, f)
	return f
}

const (
	// requestWindow is the second to which the rate of a cold endpoint applies, plus
	// the delay between agent and endpoint.
	requestWindow = ColdWindow
	// maxRequestTimes bounds the recorded requests. It exceeds what any endpoint of
	// the known deployments handles in a second.
	maxRequestTimes = 4096
)

// recordRequest records that the endpoint is given a request.
func (t *Table) recordRequest(now time.Duration) {
	t.dropOldRequests(now)
	if len(t.requestTimes) < maxRequestTimes {
		t.requestTimes = append(t.requestTimes, now)
	}
}

func (t *Table) dropOldRequests(now time.Duration) {
	old := 0
	for old < len(t.requestTimes) && now-t.requestTimes[old] >= requestWindow {
		old++
	}
	t.requestTimes = slices.Delete(t.requestTimes, 0, old)
}

// RecentRequests returns how many requests the endpoint received within the last
// second, on new and open flows.
func (t *Table) RecentRequests(now time.Duration) int {
	t.dropOldRequests(now)
	return len(t.requestTimes)
}

// startWait records that the endpoint is given a SYN or data that it must answer.
func (t *Table) startWait(now time.Duration, f *Flow) {
	if !f.isAwaitingAnswer {
		f.isAwaitingAnswer, f.awaitingSince = true, now
		t.startMeasurement(f)
	}
	t.setInFlight(f, true)
}

// ResponseTime returns the moving average of the endpoint's time to the first byte of
// an answer.
func (t *Table) ResponseTime(now time.Duration) time.Duration { return t.responseTime.Mean(now) }

// FailureRate returns the recent share of requests that the endpoint failed by
// resetting their flow.
func (t *Table) FailureRate(now time.Duration) float64 { return t.failureRate.Value(now) }

// LongestWait returns the longest time that a flow has been waiting for an answer to
// its SYN or to a request, or the time since the endpoint answered another request if that is
// shorter: an endpoint that works on one long request besides others is not stuck.
func (t *Table) LongestWait(now time.Duration) time.Duration {
	if now-t.cachedWaitAt >= longestWaitMaxAge {
		t.cachedWait, t.cachedWaitAt = t.longestWait(now), now
	}
	return min(t.cachedWait, now-t.answeredAt)
}

// longestWaitMaxAge is how long the longest wait is cached, since computing it
// iterates over all flows.
const longestWaitMaxAge = 50 * time.Millisecond

func (t *Table) longestWait(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, f := range t.flows {
		if f.isAwaitingAnswer {
			longest = max(longest, now-f.awaitingSince)
		}
	}
	return longest
}

// Refuse removes a flow that the endpoint did not accept. Open flows stay.
func (t *Table) Refuse(key Key) {
	if f := t.flows[key]; f != nil && !f.isOpen {
		t.remove(f)
	}
}

// Remove removes a flow.
func (t *Table) Remove(key Key) {
	if f := t.flows[key]; f != nil {
		t.remove(f)
	}
}

func (t *Table) remove(f *Flow) {
	t.setInFlight(f, false)
	if f.isClosed {
		t.closed--
	}
	delete(t.flows, f.Key)
}

func (t *Table) setInFlight(f *Flow, isInFlight bool) {
	if isInFlight && !f.isInFlight {
		t.inFlight++
	} else if !isInFlight && f.isInFlight {
		t.inFlight--
	}
	f.isInFlight = isInFlight
	f.isAwaitingAnswer = f.isAwaitingAnswer && isInFlight
}

// synAnswerTime is within how long an endpoint answers a SYN, and not only once its queue is
// empty.
const synAnswerTime = 50 * time.Millisecond

// IsUnanswered reports whether the endpoint has been offered the flow and has not answered the
// SYN. It may have had the flow before.
func (f *Flow) IsUnanswered(now time.Duration) bool {
	return !f.isOpen && !f.hasFirstSeq && now-f.awaitingSince >= synAnswerTime
}

// HandleCallerPacket records a packet of a caller after its SYN and returns the flow.
// It returns nil if the packet does not belong to the agent's endpoint: either the
// flow is unknown, or the packet acknowledges data that another endpoint sent.
func (t *Table) HandleCallerPacket(now time.Duration, h *Header) *Flow {
	f := t.flows[h.KeyFromCaller()]
	if f == nil || !f.Matches(h) {
		return nil
	}
	f.lastSeen = now
	if h.IsACK {
		f.CallerAck = h.Ack
	}
	f.isOpen = true
	if h.Length > 0 {
		if !f.isAwaitingAnswer && !f.awaitsFirstRequest {
			t.recordRequest(now)
		}
		f.awaitsFirstRequest = false
		t.startWait(now, f)
	}
	if h.IsFIN {
		f.callerFinished = true
		t.updateClosed(f)
	}
	if h.IsRST {
		t.remove(f)
	}
	return f
}

// Matches reports whether a caller's packet responds to this agent's endpoint. Two
// endpoints may have answered different transmissions of a SYN, and the caller
// continues with one of them.
func (f *Flow) Matches(h *Header) bool {
	if !f.hasFirstSeq {
		return false
	}
	if !h.IsACK {
		return true
	}
	if f.isAdopted {
		distance := int32(h.Ack - f.highestSeq)
		return distance > -adoptedSeqWindow && distance < adoptedSeqWindow
	}
	sent := f.highestSeq - f.firstSeq
	return h.Ack-f.firstSeq <= sent+seqSlack
}

// adoptedSeqWindow is how far the sequence numbers of an adopted flow may differ from
// those seen.
const adoptedSeqWindow = 1 << 20

// HandleEndpointPacket records a packet of the endpoint and returns its flow. A flow
// that is not in the table is adopted, because it started before the agent did.
func (t *Table) HandleEndpointPacket(now time.Duration, h *Header) *Flow {
	key := h.KeyFromEndpoint()
	f := t.flows[key]
	if f == nil {
		if h.IsRST || len(t.flows) >= maxFlows {
			return nil
		}
		f = &Flow{Key: key, isAdopted: !h.IsSYN, isOpen: !h.IsSYN}
		t.flows[key] = f
	}
	f.lastSeen, f.endpointSeen = now, now
	end := h.Seq + uint32(h.Length)
	if h.IsSYN || h.IsFIN {
		end++
	}
	// A FIN may overtake the answer before it.
	isAnswer := h.Length > 0 || h.IsFIN && f.hasFirstSeq && int32(h.Seq-f.highestSeq) > 0
	if !f.hasFirstSeq || h.IsSYN && !f.isOpen {
		f.firstSeq, f.highestSeq, f.hasFirstSeq, f.heldSince = h.Seq, end, true, now
		f.isAdopted = !h.IsSYN
		if h.IsSYN {
			f.synAckAt = now
		}
	} else if int32(end-f.highestSeq) > 0 {
		f.highestSeq = end
	}
	if f.isAwaitingAnswer && (isAnswer || h.IsRST) {
		t.failureRate.Observe(now, h.IsRST)
	}
	if f.isAwaitingAnswer && isAnswer {
		t.responseTime.Observe(now, now-f.awaitingSince)
		t.answeredAt = now
		if f.isMeasured {
			t.serviceTime.Observe(now - f.awaitingSince)
		}
	}
	if h.Length > 0 || h.IsFIN {
		t.setInFlight(f, false)
	} else if h.IsSYN {
		f.isAwaitingAnswer = false
	}
	if h.IsFIN {
		f.endpointFinished = true
		t.updateClosed(f)
	}
	if h.IsRST {
		t.remove(f)
	}
	return f
}

// Sweep removes flows that have ended, were never opened, or were idle for so long
// that either end may have dropped them.
func (t *Table) Sweep(now, idleTimeout time.Duration) {
	for _, f := range t.flows {
		idle := now - f.lastSeen
		switch {
		case f.isClosed && idle > closedRetention,
			!f.isOpen && idle > handshakeTimeout+closedRetention,
			idleTimeout > 0 && idle > idleTimeout+closedRetention:
			t.remove(f)
		case f.isInFlight && idle > inFlightTimeout:
			t.setInFlight(f, false)
		}
	}
}

// Clear removes all flows and returns those that were open, so that their callers can
// be notified that the endpoint has ended.
func (t *Table) Clear() []*Flow {
	open, _ := t.reset(math.MaxInt64)
	return open
}

// ClearBefore handles an endpoint that was replaced without notice and was last seen
// at the given time. It removes the flows that began before that time and returns
// those that were open, as Clear does. Later flows stay, since they may belong to the
// new endpoint; it bounces those that do not.
func (t *Table) ClearBefore(lastSeen time.Duration) []*Flow {
	open, kept := t.reset(lastSeen)
	for _, f := range kept {
		// The answer that the flow waits for may never arrive.
		f.isInFlight, f.isAwaitingAnswer = false, false
		t.flows[f.Key] = f
		if f.isClosed {
			t.closed++
		}
	}
	return open
}

// reset empties the table. It returns the open flows that began before a time, and all
// flows that the endpoint answered later.
func (t *Table) reset(before time.Duration) (open, later []*Flow) {
	for _, f := range t.flows {
		switch {
		case f.hasFirstSeq && f.synAckAt > before:
			later = append(later, f)
		case f.isOpen && !f.isClosed:
			open = append(open, f)
		}
	}
	// What was measured for this endpoint does not apply to the next one.
	*t = *NewTable()
	return open, later
}
