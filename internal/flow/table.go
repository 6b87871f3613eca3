package flow

import (
	"math"
	"slices"
	"time"
)

// Bounds of a table.
const (
	// maxFlows bounds the flows of one endpoint; it bears 2,000 in the largest
	// known deployment.
	maxFlows = 16_384
	// seqSlack is how far beyond what the agent has seen the endpoint may have
	// sent: 16 packets of 1,200 bytes in flight, and as many again.
	seqSlack = 32 * 1200
	// handshakeTimeout is how long a caller waits for the answer to its SYN.
	handshakeTimeout = 1400 * time.Millisecond
	// closedRetention is how long a flow whose ends have both finished is remembered,
	// for the last acknowledgements and their copies.
	closedRetention = 4 * time.Second
	// inFlightTimeout is how long a request counts as in flight while neither end sends.
	inFlightTimeout = 2 * time.Second
)

// Flow is a flow that the agent's endpoint has, or has been offered.
type Flow struct {
	Key Key
	// CallerAck is the last number that the caller acknowledged.
	CallerAck uint32

	// firstSeq is the number of the endpoint's SYN, when hasFirst is set.
	firstSeq    uint32
	hasFirstSeq bool
	// highestSeq is the end of what the endpoint has sent.
	highestSeq uint32
	// isAdopted: the flow is older than the table, and first is only a number
	// that the endpoint has sent.
	isAdopted bool

	isOpen     bool
	isInFlight bool
	// awaitsFirstRequest: no request has come yet. The first one was counted with the SYN.
	awaitsFirstRequest bool
	// isAwaitingAnswer: the endpoint has been given a SYN or data at awaitedAt, and has not
	// answered since.
	isAwaitingAnswer                 bool
	awaitingSince                    time.Duration
	callerFinished, endpointFinished bool
	// isClosed: both ends have finished, and the endpoint holds the flow no more.
	isClosed bool
	lastSeen time.Duration
	// synAckAt is when the endpoint's SYN was seen, 0 of an adopted flow.
	synAckAt time.Duration
}

// Table holds the flows of an agent's one endpoint. It is not safe for
// concurrent use.
type Table struct {
	flows map[Key]*Flow
	// closed is how many of the flows are closed, and inFlight how many wait for an answer.
	closed, inFlight int
	// requestTimes are the times of the requests of the last requestWindow.
	requestTimes []time.Duration
	responseTime ResponseTime
	// failureRate are the requests whose flows the endpoint reset.
	failureRate FailureRate
	// cachedWait is the cachedWait wait of a flow as of cachedWaitAt.
	cachedWait, cachedWaitAt time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{flows: make(map[Key]*Flow)}
}

// Len returns how many flows the table holds.
func (t *Table) Len() int { return len(t.flows) }

// Active returns how many flows the endpoint holds: all but those that are remembered
// for late packets only.
func (t *Table) Active() int { return len(t.flows) - t.closed }

// updateClosed notes that an end of the flow may have finished.
func (t *Table) updateClosed(f *Flow) {
	if f.callerFinished && f.endpointFinished && !f.isClosed {
		f.isClosed = true
		t.closed++
	}
}

// InFlight returns how many flows wait for an answer of the endpoint: an estimate
// of the requests in flight that needs no knowledge of what the flows carry.
func (t *Table) InFlight() int { return t.inFlight }

// Get returns a flow, or nil.
func (t *Table) Get(key Key) *Flow { return t.flows[key] }

// Offer notes that the endpoint is given the SYN of a flow. It returns nil when
// the table is full.
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
	// requestWindow is the second in which a cold endpoint bears so many requests,
	// and the way between agent and endpoint.
	requestWindow = coldWindow + coldWindowSlack
	// maxRequestTimes bounds the requests that are remembered: more than any endpoint of
	// the known deployments works on in a second.
	maxRequestTimes = 4096
)

// recordRequest notes that the endpoint is given a request.
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

// RecentRequests returns how many requests the endpoint was given within the last second, on
// new flows and open ones.
func (t *Table) RecentRequests(now time.Duration) int {
	t.dropOldRequests(now)
	return len(t.requestTimes)
}

// startWait notes that the endpoint is given something to answer.
func (t *Table) startWait(now time.Duration, f *Flow) {
	if !f.isAwaitingAnswer {
		f.isAwaitingAnswer, f.awaitingSince = true, now
	}
	t.setInFlight(f, true)
}

// ResponseTime returns how long the endpoint has lately taken for the first byte of an answer.
func (t *Table) ResponseTime(now time.Duration) time.Duration { return t.responseTime.Mean(now) }

// FailureRate returns the share of requests that the endpoint has lately failed by
// a reset of their flow.
func (t *Table) FailureRate(now time.Duration) float64 { return t.failureRate.Value(now) }

// LongestWait returns for how long the flow has waited that has waited longest,
// for an answer to its SYN or to a request.
func (t *Table) LongestWait(now time.Duration) time.Duration {
	if now-t.cachedWaitAt >= longestWaitMaxAge {
		t.cachedWait, t.cachedWaitAt = t.longestWait(now), now
	}
	return t.cachedWait
}

// longestWaitMaxAge is how old the longest wait may be, since it costs a look at every flow.
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

// Refuse forgets a flow that the endpoint did not take.
func (t *Table) Refuse(key Key) {
	if f := t.flows[key]; f != nil && !f.isOpen {
		t.remove(f)
	}
}

// Remove forgets a flow.
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

func (t *Table) setInFlight(f *Flow, isBusy bool) {
	if isBusy && !f.isInFlight {
		t.inFlight++
	} else if !isBusy && f.isInFlight {
		t.inFlight--
	}
	f.isInFlight = isBusy
	f.isAwaitingAnswer = f.isAwaitingAnswer && isBusy
}

// HandleCallerPacket notes a later packet of a caller and returns its flow. It returns
// nil when the packet does not belong to the agent's endpoint: the flow is not
// known, or the packet acknowledges what another endpoint has sent.
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

// Matches reports whether a caller's packet answers this agent's endpoint. Two
// endpoints may have answered copies of one SYN; the caller goes on with one.
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

// adoptedSeqWindow is how far the numbers of an adopted flow may lie from those seen.
const adoptedSeqWindow = 1 << 20

// HandleEndpointPacket notes a packet of the endpoint and returns its flow. A flow that
// the table does not know is adopted: the agent has started after it.
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
	f.lastSeen = now
	end := h.Seq + uint32(h.Length)
	if h.IsSYN || h.IsFIN {
		end++
	}
	if !f.hasFirstSeq || h.IsSYN && !f.isOpen {
		f.firstSeq, f.highestSeq, f.hasFirstSeq = h.Seq, end, true
		f.isAdopted = !h.IsSYN
		if h.IsSYN {
			f.synAckAt = now
		}
	} else if int32(end-f.highestSeq) > 0 {
		f.highestSeq = end
	}
	if f.isAwaitingAnswer && (h.Length > 0 || h.IsRST) {
		t.failureRate.Observe(now, h.IsRST)
	}
	if f.isAwaitingAnswer && h.Length > 0 {
		t.responseTime.Observe(now, now-f.awaitingSince)
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

// Sweep forgets flows that have ended, never opened, or were idle so long that
// either end may forget them.
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

// Clear forgets all flows and returns those that were open, whose callers can
// be told that their endpoint is gone.
func (t *Table) Clear() []*Flow {
	open, _ := t.reset(math.MaxInt64)
	return open
}

// ClearBefore follows an endpoint that has ended unnoticed, and was last heard at a time.
// It forgets the flows that began before and returns those that were open, as Clear
// does. The rest may be flows of the next endpoint; it bounces those that are not.
func (t *Table) ClearBefore(heardAt time.Duration) []*Flow {
	open, kept := t.reset(heardAt)
	for _, f := range kept {
		// What it waits for may never come.
		f.isInFlight, f.isAwaitingAnswer = false, false
		t.flows[f.Key] = f
		if f.isClosed {
			t.closed++
		}
	}
	return open
}

// reset empties the table and returns the open flows of those that began before a
// time, and all later ones that the endpoint has answered.
func (t *Table) reset(before time.Duration) (open, later []*Flow) {
	for _, f := range t.flows {
		switch {
		case f.hasFirstSeq && f.synAckAt > before:
			later = append(later, f)
		case f.isOpen && !f.isClosed:
			open = append(open, f)
		}
	}
	// Nothing that was seen of this endpoint says anything about the next.
	*t = *NewTable()
	return open, later
}
